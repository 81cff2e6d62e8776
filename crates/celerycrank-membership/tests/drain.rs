//! A process that shuts down turns unready, then refuses work, then exits once nothing
//! is in flight.

use celerycrank_membership::{DrainState, DrainTracker, PendingWork};
use celerycrank_types::{TimePoint, TimeSpan};

/// Number of runs per property. The low 32 bits of a seed are the size of its input.
const RUNS: u64 = 256;

fn seeds(first: u64) -> impl Iterator<Item = u64> {
    (0..RUNS).map(move |run| ((first + run) << 32) | 0x800)
}

#[test]
fn finishes_only_with_nothing_in_flight() {
    for seed in seeds(0x3300) {
        arbtest::arbtest(|u| {
            let delay = TimeSpan::from_secs(u.int_in_range(0..=5)?);
            let mut tracker = DrainTracker::new(delay);
            let mut stopped_at = None;
            for step in 0..40 {
                let now = TimePoint::default() + TimeSpan::from_secs(step);
                match u.int_in_range(0..=5)? {
                    0 => {
                        tracker.request_stop(now);
                        stopped_at.get_or_insert(now);
                    }
                    1 => {
                        tracker.withdraw_stop();
                        if tracker.state() == DrainState::Serving {
                            stopped_at = None;
                        }
                    }
                    _ => {}
                }
                let requests = u.int_in_range(0..=1)?;
                let pending = PendingWork {
                    requests,
                    ..PendingWork::default()
                };
                let before = tracker.state();
                let after = tracker.on_tick(now, pending);
                if before != DrainState::Finished && after == DrainState::Finished {
                    assert_eq!(requests, 0);
                }
                if !tracker.accepts_work() {
                    let since = stopped_at.expect("work is refused only after a stop request");
                    assert!(
                        now.since(since) >= delay,
                        "work must not be refused before the balancer delay has elapsed"
                    );
                }
            }
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn displays_pending_work() {
    let pending = PendingWork {
        requests: 2,
        oldest: TimeSpan::from_secs(90),
        claims: 1,
    };
    assert_eq!(
        pending.to_string(),
        "2 requests in flight, the oldest for 90s; 1 open claims"
    );
    assert_eq!(PendingWork::default().to_string(), "nothing in flight");
}
