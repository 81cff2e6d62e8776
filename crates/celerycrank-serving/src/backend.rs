//! What an entry knows of one backend server: its load, its health and its limit.

use celerycrank_routing::HolderKey;
use celerycrank_types::{RequestRate, TimePoint, TimeSpan};

use crate::{
    BackendRegistration, EntryPlace, LimitNotice, LoadEstimate, RegistrationState, SendObstacle,
    answer_pace::AnswerPace, cold::ColdPace, departure::IncarnationState, limit::RequestAllowance,
    pause::SendPause,
};

/// Time for which a backend server may still be used as a last resort after its registration
/// was removed.
///
/// An outage of the key-value service removes the registrations of live backend servers; they
/// are written again soon after the key-value service has recovered.
const REMOVAL_GRACE: TimeSpan = TimeSpan::from_millis(1_500);

/// Initial backoff after a backend server was unreachable or refused a request.
const INITIAL_BACKOFF: TimeSpan = TimeSpan::from_millis(250);

/// Maximum backoff of an unreachable backend server.
const MAX_BACKOFF: TimeSpan = TimeSpan::from_millis(2_000);

/// Weight of the newest answer in the moving average of the failure rate.
const FAILURE_RATE_SMOOTHING: f64 = 0.2;

/// Time without an answer in which the failure rate is halved, so that the backend server is tried
/// again.
///
/// Without it, one that had failed half of its requests was not sent any of 20 in the seconds after its
/// recovery, if the others had room.
const FAILURE_RATE_HALF_LIFE: TimeSpan = TimeSpan::from_secs(3);

/// Interval at which the other entries are notified that a limit is still named.
const ANNOUNCEMENT_INTERVAL: TimeSpan = TimeSpan::from_secs(3);

/// One entry's view of a backend server.
#[derive(Debug, Clone)]
pub struct BackendState {
    /// Its latest registration.
    pub registration: BackendRegistration,
    /// Its estimated load.
    pub load: LoadEstimate,
    /// Identifies its incarnation among those that hold prompts.
    pub(crate) holder: HolderKey,
    /// The bucket of this key, beside the flags that each choice reads.
    pub(crate) holder_bucket: u8,
    /// Requests per slot of its lock-step group, as of the last reports of the ranks.
    ///
    /// Four bytes, so that it does not move the flags that each choice reads to another line.
    pub(crate) group_load: Option<f32>,
    /// When its registration was removed.
    pub(crate) removed_at: Option<TimePoint>,
    /// Whether another process answered at its address. Only a registration of a new incarnation
    /// clears this.
    pub(crate) is_misdirected: bool,
    /// Whether a backend server of the same service registered later with the same address.
    pub(crate) is_superseded: bool,
    /// What is known of the end of its incarnation.
    pub(crate) incarnation_state: IncarnationState,
    /// Whether its failure domain is evacuated.
    pub(crate) is_evacuated: bool,
    /// Until when it wants no requests.
    pub(crate) pause: SendPause,
    /// Until when it is cold, and what this entry may send to it meanwhile.
    pub(crate) cold: ColdPace,
    /// End and length of the latest backoff.
    backoff: Option<(TimePoint, TimeSpan)>,
    /// Moving average of failed answers at the latest one, from 0 to 1.
    failure_rate: f64,
    /// When the latest answer or failure was recorded.
    answered_at: TimePoint,
    /// How fast it answers, if no agent reports that.
    pub(crate) pace: AnswerPace,
    /// When its lock-step group, which is unstable, will be stable if it stays open.
    pub(crate) unstable_until: Option<TimePoint>,
    /// What this entry may send to it, while it names a limit in its answers.
    allowance: Option<RequestAllowance>,
    /// When an answer last named the limit.
    limit_named_at: TimePoint,
    /// When the other entries were last notified that it is named.
    limit_announced_at: TimePoint,
}

impl BackendState {
    pub(crate) fn new(registration: BackendRegistration, cold: ColdPace) -> Self {
        let holder = HolderKey::new(&registration.backend, registration.incarnation);
        Self {
            holder,
            holder_bucket: holder.bucket(),
            group_load: None,
            registration,
            cold,
            load: LoadEstimate::default(),
            removed_at: None,
            is_misdirected: false,
            is_superseded: false,
            incarnation_state: IncarnationState::Staying,
            pause: SendPause::default(),
            is_evacuated: false,
            backoff: None,
            failure_rate: 0.0,
            answered_at: TimePoint::default(),
            pace: AnswerPace::default(),
            unstable_until: None,
            allowance: None,
            limit_named_at: TimePoint::default(),
            limit_announced_at: TimePoint::default(),
        }
    }

    /// The limit that it names on the requests of all entries together, if any.
    #[must_use]
    pub fn limit(&self) -> Option<RequestRate> {
        self.allowance.as_ref().map(RequestAllowance::limit)
    }

    /// Whether its limit, if it names one, allows this entry a request.
    #[must_use]
    pub fn is_within_limit(&self, now: TimePoint) -> bool {
        let allowance = self.allowance.as_ref();
        allowance.is_none_or(|allowance| allowance.has_room(now))
    }

    /// The time until its limit allows this entry a request; `None` if it never does.
    #[must_use]
    pub fn time_until_room(&self, now: TimePoint) -> Option<TimeSpan> {
        let allowance = self.allowance.as_ref();
        allowance.map_or(Some(TimeSpan::ZERO), |it| it.time_until_room(now))
    }

    /// The time for which it wants no requests; `None` if it takes some.
    #[must_use]
    pub fn pause_remaining(&self, now: TimePoint) -> Option<TimeSpan> {
        self.pause.remaining(now)
    }

    /// The time for which it is still cold; `None` if it is not.
    #[must_use]
    pub fn cold_remaining(&self, now: TimePoint) -> Option<TimeSpan> {
        self.cold.remaining(now)
    }

    /// Whether the entries share a limit of it, or the requests that it takes while it is cold.
    pub(crate) fn is_shared(&self) -> bool {
        self.allowance.is_some() || self.cold.has_share()
    }

    /// Why it is not sent requests; `None` if it may be sent some.
    #[must_use]
    pub fn obstacle(&self, now: TimePoint) -> Option<SendObstacle> {
        if self.incarnation_state == IncarnationState::Leaving {
            Some(SendObstacle::Leaving)
        } else if self.registration.state == RegistrationState::Draining {
            Some(SendObstacle::Draining)
        } else if self.is_misdirected {
            Some(SendObstacle::Misdirected)
        } else if self.is_grace_over(now) {
            Some(SendObstacle::Removed)
        } else if self.is_evacuated {
            Some(SendObstacle::Evacuated)
        } else if self.pause.remaining(now).is_some() {
            Some(SendObstacle::Paused)
        } else if !self.cold.has_room(now) {
            Some(SendObstacle::Cold)
        } else if self.removed_at.is_some() {
            Some(SendObstacle::RemovedRecently)
        } else if self.is_superseded {
            Some(SendObstacle::Superseded)
        } else if self.backoff.is_some_and(|(until, _)| now < until) {
            Some(SendObstacle::BackingOff)
        } else {
            None
        }
    }

    /// Whether it may receive new requests.
    #[must_use]
    pub fn is_usable(&self, now: TimePoint) -> bool {
        self.obstacle(now).is_none()
    }

    /// Whether it may receive new requests if no usable backend server is left.
    #[must_use]
    pub fn is_last_resort(&self, now: TimePoint) -> bool {
        self.obstacle(now)
            .is_none_or(SendObstacle::allows_last_resort)
    }

    /// Moving average of failed answers, from 0 to 1, which decreases while there is no answer.
    #[must_use]
    pub fn failure_rate(&self, now: TimePoint) -> f64 {
        if self.failure_rate <= 0.0 {
            return 0.0;
        }
        let age = now.since(self.answered_at).as_secs_f64();
        self.failure_rate * (-age / FAILURE_RATE_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Slowdown factor of its answers compared with the other backend servers of its service, as far
    /// as this entry has seen; 1 if an agent reports its pace.
    #[must_use]
    pub fn slowdown(&self, now: TimePoint) -> f64 {
        if self.load.is_reported() {
            1.0
        } else {
            self.pace.slowdown(now)
        }
    }

    /// Whether its lock-step group has closed repeatedly and another group may be preferred.
    #[must_use]
    pub fn is_in_unstable_group(&self, now: TimePoint) -> bool {
        self.unstable_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_available(&self) -> bool {
        self.registration.state == RegistrationState::Ready
            && !self.is_misdirected
            && self.removed_at.is_none()
    }

    /// Whether it ends as planned: it is shutting down, or its registration was removed.
    pub(crate) fn is_departing(&self) -> bool {
        !self.is_available() || self.incarnation_state == IncarnationState::Leaving
    }

    pub(crate) fn note_answer(&mut self, is_failure: bool, now: TimePoint) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (sample - rate) * FAILURE_RATE_SMOOTHING;
        self.answered_at = now;
        if !is_failure {
            self.backoff = None;
        }
    }

    /// Whether its registration was removed so long ago that it is not used any more.
    pub(crate) fn is_grace_over(&self, now: TimePoint) -> bool {
        let removed_at = self.removed_at;
        removed_at.is_some_and(|at| now.since(at) >= REMOVAL_GRACE)
    }

    /// Records that a request is sent.
    pub(crate) fn begin(&mut self, now: TimePoint) {
        self.load.begin();
        if let Some(allowance) = &mut self.allowance {
            allowance.take(now);
        }
    }

    /// Records that it refused to run a request.
    pub(crate) fn note_refused(&mut self, now: TimePoint) {
        self.backoff
            .get_or_insert((now + INITIAL_BACKOFF, INITIAL_BACKOFF));
    }

    /// Records the limit in an answer, or its absence; returns whether the other entries have to be
    /// notified.
    pub(crate) fn note_limit(&mut self, notice: LimitNotice, place: Option<EntryPlace>) -> bool {
        let LimitNotice { rate, sent_at, now } = notice;
        // An answer to an earlier request may have been made before the limit.
        if rate.is_none() && sent_at <= self.limit_named_at {
            return false;
        }
        let has_changed = self.set_limit(rate, place, now);
        if rate.is_some() {
            self.limit_named_at = now;
        }
        let is_due = now.since(self.limit_announced_at) >= ANNOUNCEMENT_INTERVAL;
        let is_announced = has_changed || (rate.is_some() && is_due);
        if is_announced {
            self.limit_announced_at = now;
        }
        is_announced
    }

    /// Records a notice of another entry about the limit; returns whether it has changed.
    ///
    /// All entries receive the notice, so this one need not send it soon.
    pub(crate) fn note_announced_limit(
        &mut self,
        rate: Option<RequestRate>,
        place: Option<EntryPlace>,
        now: TimePoint,
    ) -> bool {
        self.limit_announced_at = now;
        self.set_limit(rate, place, now)
    }

    /// Updates the place of this entry among all entries, which share the limit.
    pub(crate) fn set_place(&mut self, place: Option<EntryPlace>, now: TimePoint) {
        let backend = &self.registration.backend;
        if let Some(allowance) = &mut self.allowance {
            allowance.set_place(place, backend, now);
        }
    }

    /// Sets the limit; returns whether it has changed.
    fn set_limit(
        &mut self,
        rate: Option<RequestRate>,
        place: Option<EntryPlace>,
        now: TimePoint,
    ) -> bool {
        let known = self.limit();
        let backend = &self.registration.backend;
        match (rate, &mut self.allowance) {
            (Some(rate), Some(allowance)) => allowance.confirm(rate, backend, now),
            (Some(rate), None) => {
                self.allowance = Some(RequestAllowance::new(rate, backend, place, now));
            }
            (None, _) => self.allowance = None,
        }
        known != rate
    }

    pub(crate) fn note_unreachable(&mut self, now: TimePoint) {
        let span = match self.backoff {
            // Requests that fail at the same time extend the backoff only once.
            Some((until, span)) if now < until => span,
            Some((_, span)) => TimeSpan((span.0 * 2).min(MAX_BACKOFF.0)),
            None => INITIAL_BACKOFF,
        };
        self.backoff = Some((now + span, span));
    }
}
