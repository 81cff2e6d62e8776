//! Weighs what a backend server still holds of a prompt against its load.
//!
//! The load pattern: sessions whose prompts begin alike, and beginnings that many sessions share, at
//! engines that keep prompts. Where the wait is short, a holder answers sooner; a holder that is
//! crowded answers later than an engine that has to read the whole prompt.

use std::cell::Cell;

use celerycrank_routing::{DelayEstimate, PromptHolders};
use celerycrank_types::{TimePoint, TimeSpan};

use crate::{BackendState, EngineProfile, choice::expected_pace};

/// Weight of each second by which the first event is predicted to miss its target.
const LATENESS_WEIGHT: f64 = 4.0;

/// The largest saving that counts, as a fraction of the slots: callers announce the sizes of
/// prompts, and no announced size may crowd a backend server.
const MAX_SAVING_FRACTION: f64 = 1.0;

/// What became of the probable holders of a prompt in a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum PromptOutcome {
    /// sent to a probable holder of a part of the prompt
    Holder {
        /// The number of prompt tokens that it probably need not read.
        saved_tokens: u64,
    },
    /// the wait at the holders outweighs what they would save
    Outweighed,
    /// no holder may be sent the request
    NoCandidate,
}

/// What is weighed for one request whose prompt has probable holders.
#[derive(Debug)]
pub struct PromptWeighing<'request> {
    holders: &'request PromptHolders,
    profile: &'request EngineProfile,
    /// Number of tokens of the whole prompt.
    prompt_tokens: u64,
    /// Time until the latency target of the request.
    target_left: TimeSpan,
    /// The time in which a waiting request moves up one place, in seconds: what one request more at
    /// a backend server costs.
    turnover: f64,
    /// Whether a holder was among the candidates.
    has_candidate: Cell<bool>,
}

impl<'request> PromptWeighing<'request> {
    /// Creates the weighing of one request, unless its prompt has no holder or the profile says
    /// nothing about times.
    #[must_use]
    pub fn new(
        holders: &'request PromptHolders,
        profile: &'request EngineProfile,
        prompt_tokens: u64,
        target_left: TimeSpan,
    ) -> Option<Self> {
        let slots = f64::from(profile.slots);
        let full_step = profile.step.as_secs_f64() + profile.step_per_request.as_secs_f64() * slots;
        let turnover = profile.mean_answer_tokens * full_step / slots;
        let is_valid = turnover.is_finite() && turnover > 0.0 && profile.prefill_rate > 0.0;
        (is_valid && !holders.is_empty()).then(|| Self {
            holders,
            profile,
            prompt_tokens: prompt_tokens.min(profile.kv_cache_tokens),
            target_left,
            turnover,
            has_candidate: Cell::new(false),
        })
    }

    /// Whether a backend server probably holds a beginning of the prompt.
    pub(crate) fn is_holder(&self, state: &BackendState) -> bool {
        self.holders.has_bucket(state.holder_bucket)
            && self.holders.tokens_at(state.holder).is_some()
    }

    /// Predicted time to the first event at a backend server with this request, and what the
    /// reading of its prompt costs others, in requests.
    pub(crate) fn cost(&self, state: &BackendState, now: TimePoint) -> f64 {
        let profile = self.profile;
        let report = state.load.report(now);
        let pace = expected_pace(state, now);
        let requests = f64::from(state.load.total(now)) + 1.0;
        let slots = f64::from(profile.slots);
        let passes = f64::from(profile.steps_per_pass);
        let step_per_request = profile.step_per_request.as_secs_f64();
        let step = profile.step.as_secs_f64() + step_per_request * requests.min(slots);
        let load = requests / slots;
        // Without a report, the group is not known.
        let group_load = report.and(state.group_load).map(f64::from);
        let stalled_load = group_load.unwrap_or(load);
        // A request arrives in the middle of a pass on average.
        let pass_wait = 0.5 * passes * step * pace;
        let queue_wait = (requests - slots).max(0.0) * self.turnover * pace;
        let wait = pass_wait + queue_wait;
        let held = self.holders.tokens_at(state.holder);
        if held.is_some() {
            self.has_candidate.set(true);
        }
        let saved = self.reading_time(held.unwrap_or(0)) * pace;
        let max_saving = MAX_SAVING_FRACTION * slots * self.turnover;
        let saved = saved.min(max_saving / DelayEstimate::reading_factor(stalled_load));
        // A request that fails there is read in full elsewhere.
        let saved = saved * (1.0 - state.failure_rate());
        let reading = self.reading_time(self.prompt_tokens) * pace - saved;
        let estimate = DelayEstimate {
            load,
            stalled_load,
            wait,
            reading,
            crowding: passes * step_per_request * slots,
        };
        let lateness = (wait + reading - self.target_left.as_secs_f64()).max(0.0);
        (estimate.weighted_delay() + LATENESS_WEIGHT * lateness) / self.turnover
    }

    /// Returns what became of the holders when a backend server was chosen.
    #[must_use]
    pub fn outcome(&self, chosen: &BackendState) -> PromptOutcome {
        match self.holders.tokens_at(chosen.holder) {
            Some(saved_tokens) => PromptOutcome::Holder {
                saved_tokens: saved_tokens.min(self.prompt_tokens),
            },
            None if self.has_candidate.get() => PromptOutcome::Outweighed,
            None => PromptOutcome::NoCandidate,
        }
    }

    /// Time to read prompt tokens, in seconds.
    #[expect(
        clippy::cast_precision_loss,
        reason = "numbers of tokens are far below 2^52"
    )]
    fn reading_time(&self, tokens: u64) -> f64 {
        tokens.min(self.prompt_tokens) as f64 / self.profile.prefill_rate
    }
}
