//! Estimates how long a step of the group takes.

use celerycrank_types::{TimePoint, TimeSpan};

use crate::StepNumber;

/// The weight of the last measurement in the average, from 0 to 1.
const LAST_WEIGHT: f64 = 0.3;

/// The time between two measurements below which a step that has just begun would distort them.
const MIN_MEASUREMENT: TimeSpan = TimeSpan::from_millis(80);

/// The time without a step after which a group counts as idle, and the average as outdated.
const IDLE_TIME: TimeSpan = TimeSpan::from_millis(1_000);

/// Averages the duration of a group's steps over the reports of one rank.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepClock {
    /// The step and the time of the last measurement.
    last: Option<(StepNumber, TimePoint)>,
    /// The average duration of a step, if the group makes steps.
    average: Option<TimeSpan>,
}

impl StepClock {
    /// Records that a report read at `now` shows this step as the current one.
    pub(crate) fn observe(&mut self, step: StepNumber, now: TimePoint) {
        let Some((last_step, last_at)) = self.last else {
            self.last = Some((step, now));
            return;
        };
        let elapsed = now.since(last_at);
        if step < last_step || elapsed > IDLE_TIME {
            // The group has a new epoch or made no step for a while.
            self.average = None;
            self.last = Some((step, now));
            return;
        }
        if step == last_step || elapsed < MIN_MEASUREMENT {
            return;
        }
        let duration = elapsed.as_secs_f64() / (step.0 - last_step.0) as f64;
        let average = self.average.map_or(duration, TimeSpan::as_secs_f64);
        let average = average + (duration - average) * LAST_WEIGHT;
        self.average = Some(TimeSpan::from_secs_f64(average));
        self.last = Some((step, now));
    }

    /// The number of steps that the group makes in this time; 0 if it makes none.
    pub(crate) fn steps_in(&self, time: TimeSpan) -> u64 {
        let average = self.average.filter(|average| *average > TimeSpan::ZERO);
        // The current step has begun some time ago, so one more covers the whole time.
        average.map_or(0, |average| time.0.div_ceil(average.0) + 1)
    }
}
