//! Decides whether a backend server whose connections have ended has crashed.
//!
//! A process that ends closes its sockets one after the other, and the kernel accepts connections for
//! it as long as its listener is open. A connection that is accepted proves nothing by itself, so it is
//! held: it ends together with the listener of a process that ends, and stays open at one that has only
//! closed other connections. Where the next process takes the address at once, its registration
//! shows that the previous one has ended.

use celerycrank_types::{TimePoint, TimeSpan};

use crate::IncarnationFate;

/// Interval at which a held connection is confirmed to be open.
const HOLD_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// Largest time between two confirmations that prove that a connection was open; a longer one shows
/// that this process did not run meanwhile.
const MAX_HOLD_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// Time after which a backend server has outlived the end of its connections.
const SURVIVAL_SPAN: TimeSpan = TimeSpan::from_secs(1);

/// Time after the end of a connection in which the registration of the next process shows that the
/// previous one has crashed.
const SUCCESSION_TIMEOUT: TimeSpan = TimeSpan::from_secs(3);

/// Maximum number of connections of a check that the backend server ends.
///
/// With their delays they last longer than a backend server needs to outlive its connections.
const MAX_ENDED_CONNECTIONS: u32 = 12;

/// Maximum number of connections of a check that get no answer.
const MAX_UNANSWERED_CONNECTIONS: u32 = 3;

/// Delay before the third connection of a check; it doubles with each further one.
const INITIAL_DELAY: TimeSpan = TimeSpan::from_millis(10);

/// Maximum delay before a connection of a check.
const MAX_DELAY: TimeSpan = TimeSpan::from_millis(160);

/// What a connection of a check has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionSign {
    /// It was refused: no process listens.
    Refused,
    /// It was accepted, at least by the kernel.
    Accepted,
    /// There was no answer, or another error than a refusal.
    Unanswered,
    /// It was held and has ended.
    Ended,
    /// It was held and is still open.
    Open,
}

/// What a check does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckStep {
    /// Connect to the backend server at this time.
    Connect {
        /// When to connect.
        at: TimePoint,
    },
    /// Hold the connection until this time, or until it ends.
    Hold {
        /// When to confirm that it is open.
        until: TimePoint,
    },
    /// Hold no connection, and wait until this time, or until the fate of the incarnation changes.
    Wait {
        /// When to ask again.
        until: TimePoint,
    },
    /// Stop.
    End(CheckVerdict),
}

/// The result of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckVerdict {
    /// The process has ended without notice.
    Crashed {
        /// Its connections that had ended by then are no part of the crash, since it outlived them.
        outlived: Option<TimePoint>,
    },
    /// It ends as planned.
    Departed,
    /// It has outlived the end of its connections.
    Running,
    /// Nothing is known.
    Unproven,
}

/// What a check waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckPhase {
    /// A connection is due.
    Connecting { at: TimePoint },
    /// A connection has been held since this time, or since the last confirmation.
    Holding { since: TimePoint },
    /// Connections can prove nothing more.
    Waiting,
    /// Nothing: a connection was refused.
    Refused,
}

/// The check of one backend server whose connections have ended.
#[derive(Debug, Clone)]
pub struct CrashCheck {
    /// When the latest of these connections ended.
    ended_at: TimePoint,
    phase: CheckPhase,
    /// The latest time at which a connection of the check is known to have been open.
    open_at: Option<TimePoint>,
    /// Number of connections of the check that have ended.
    ended_connections: u32,
    /// Number of connections of the check that got no answer.
    unanswered_connections: u32,
}

impl CrashCheck {
    /// Begins the check of a backend server of which a connection ended at this time.
    #[must_use]
    pub const fn new(ended_at: TimePoint) -> Self {
        Self {
            ended_at,
            phase: CheckPhase::Connecting { at: ended_at },
            open_at: None,
            ended_connections: 0,
            unanswered_connections: 0,
        }
    }

    /// Records that another connection has ended.
    pub fn note_ended(&mut self, at: TimePoint) {
        self.ended_at = self.ended_at.max(at);
        if self.phase == CheckPhase::Waiting {
            self.phase = CheckPhase::Connecting { at };
            self.ended_connections = 0;
            self.unanswered_connections = 0;
        }
    }

    /// Records what a connection of the check has shown.
    pub fn note_sign(&mut self, sign: ConnectionSign, now: TimePoint) {
        self.phase = match sign {
            ConnectionSign::Refused => CheckPhase::Refused,
            ConnectionSign::Accepted => {
                self.open_at = Some(now);
                CheckPhase::Holding { since: now }
            }
            ConnectionSign::Open => self.confirm_open(now),
            ConnectionSign::Ended => {
                self.ended_connections += 1;
                let is_last =
                    self.has_outlived() || self.ended_connections >= MAX_ENDED_CONNECTIONS;
                connect_again(self.ended_connections, is_last, now)
            }
            ConnectionSign::Unanswered => {
                self.unanswered_connections += 1;
                let is_last = self.unanswered_connections >= MAX_UNANSWERED_CONNECTIONS;
                connect_again(self.unanswered_connections, is_last, now)
            }
        };
    }

    fn confirm_open(&mut self, now: TimePoint) -> CheckPhase {
        if let CheckPhase::Holding { since } = self.phase
            && now.since(since) <= MAX_HOLD_INTERVAL
        {
            self.open_at = Some(now);
        }
        if self.has_outlived() {
            CheckPhase::Waiting
        } else {
            CheckPhase::Holding { since: now }
        }
    }

    /// Whether the backend server has outlived the end of all these connections.
    fn has_outlived(&self) -> bool {
        let open_at = self.open_at;
        open_at.is_some_and(|at| at >= self.ended_at + SURVIVAL_SPAN)
    }

    /// What to do next, in view of the fate of the incarnation.
    #[must_use]
    pub fn next_step(&self, fate: IncarnationFate, now: TimePoint) -> CheckStep {
        match fate {
            IncarnationFate::Running => self.next_of_running(now),
            IncarnationFate::Departing => CheckStep::End(CheckVerdict::Departed),
            // The connections of the check may have been accepted by the next process.
            IncarnationFate::Replaced => CheckStep::End(CheckVerdict::Crashed {
                outlived: Some(now - SUCCESSION_TIMEOUT),
            }),
        }
    }

    fn next_of_running(&self, now: TimePoint) -> CheckStep {
        let until = self.ended_at + SUCCESSION_TIMEOUT;
        match self.phase {
            CheckPhase::Connecting { at } => CheckStep::Connect { at },
            CheckPhase::Holding { since } => CheckStep::Hold {
                until: since + HOLD_INTERVAL,
            },
            CheckPhase::Waiting if now < until => CheckStep::Wait { until },
            CheckPhase::Waiting if self.has_outlived() => CheckStep::End(CheckVerdict::Running),
            CheckPhase::Waiting => CheckStep::End(CheckVerdict::Unproven),
            CheckPhase::Refused => CheckStep::End(CheckVerdict::Crashed {
                outlived: self.open_at.map(|at| at - SURVIVAL_SPAN),
            }),
        }
    }
}

/// The phase that follows this many connections which have proved nothing: another one, after a delay, unless
/// this was the last.
fn connect_again(connections: u32, is_last: bool, now: TimePoint) -> CheckPhase {
    if is_last {
        return CheckPhase::Waiting;
    }
    let delay = match connections.checked_sub(2) {
        None => TimeSpan::ZERO,
        Some(doublings) => TimeSpan((INITIAL_DELAY.0 << doublings).min(MAX_DELAY.0)),
    };
    CheckPhase::Connecting { at: now + delay }
}
