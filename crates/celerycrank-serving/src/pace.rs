//! How fast the streams of a lock-step group advance, as one entry sees it.
//!
//! All ranks of a group step together. One slow rank, uneven experts or a hold delay the streams of
//! every rank, while the loads of the other ranks look as usual. The gaps between the events that
//! arrive at an entry show it, and so does their absence.

use celerycrank_types::{TimePoint, TimeSpan};

/// Weight of the newest gap in the moving average.
const GAP_SMOOTHING: f64 = 0.05;

/// Time without streams after which nothing is known about a group's pace.
const MAX_AGE: TimeSpan = TimeSpan::from_millis(2_000);

/// The gaps between the events of the streams of one group.
#[derive(Debug, Default, Clone)]
pub struct GroupPace {
    /// The moving average of gaps.
    average: Option<TimeSpan>,
    /// When the last event arrived or, without streams before it, the first stream began.
    last_event: TimePoint,
    /// Number of streams that have begun and not ended.
    streams: u32,
}

impl GroupPace {
    /// Records that a stream has begun, with its first event.
    pub fn begin(&mut self, now: TimePoint) {
        self.streams += 1;
        self.last_event = now;
    }

    /// Records that a stream has ended.
    pub fn finish(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    /// Records an event that arrived this long after the one before it in the same stream.
    pub fn note_event(&mut self, gap: TimeSpan, now: TimePoint) {
        self.last_event = now;
        let average = self.average.map_or(gap.as_secs_f64(), |average| {
            let average = average.as_secs_f64();
            average + (gap.as_secs_f64() - average) * GAP_SMOOTHING
        });
        self.average = Some(TimeSpan::from_secs_f64(average));
    }

    /// The gap to expect between two events; `None` if nothing is known.
    #[must_use]
    pub fn gap(&self, now: TimePoint) -> Option<TimeSpan> {
        let silence = now.since(self.last_event);
        if self.streams == 0 {
            return self.average.filter(|_| silence < MAX_AGE);
        }
        // With streams in progress, silence means that the group stands still.
        Some(self.average.map_or(silence, |average| average.max(silence)))
    }
}
