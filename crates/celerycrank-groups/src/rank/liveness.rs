//! Which agents of a group are there, and which incarnation of the lead is the present one.

use celerycrank_types::{TimePoint, TimeSpan};

use crate::{AgentIncarnation, MemberIndex, RankMessage};

/// Time after which an agent that was not heard of counts as away.
const PEER_TIMEOUT: TimeSpan = TimeSpan::from_millis(2_500);

/// Silence of a lead after which a incarnation with a lower number is believed: its machine may
/// count lives anew.
const LEADER_TIMEOUT: TimeSpan = TimeSpan::from_millis(5_000);

/// When the agents of a group were last heard of.
#[derive(Debug, Default, Clone)]
pub(crate) struct PeerLiveness {
    /// By rank.
    heard: Vec<Option<TimePoint>>,
    /// The present incarnation of the lead, and when it was last heard of.
    leader_incarnation: Option<(AgentIncarnation, TimePoint)>,
}

impl PeerLiveness {
    /// Sets how many ranks the group has.
    pub(crate) fn resize(&mut self, size: usize) {
        self.heard.resize(size, None);
    }

    /// Notes a message; says whether its sender's present incarnation has sent it.
    pub(crate) fn note(
        &mut self,
        from: MemberIndex,
        message: &RankMessage,
        now: TimePoint,
    ) -> bool {
        if from == MemberIndex(0) && !self.is_of_current_leader(message, now) {
            return false;
        }
        if let Some(heard) = self.heard.get_mut(usize::from(from.0)) {
            *heard = Some(now);
        }
        true
    }

    /// Whether every agent but the own one was heard of lately.
    pub(crate) fn is_complete(&self, own: MemberIndex, now: TimePoint) -> bool {
        self.heard.iter().enumerate().all(|(rank, heard)| {
            rank == usize::from(own.0) || heard.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
        })
    }

    fn is_of_current_leader(&mut self, message: &RankMessage, now: TimePoint) -> bool {
        let Some(incarnation) = message.leader_incarnation() else {
            return true;
        };
        let is_present = self
            .leader_incarnation
            .is_none_or(|(known, at)| incarnation >= known || now.since(at) > LEADER_TIMEOUT);
        if is_present {
            self.leader_incarnation = Some((incarnation, now));
        }
        is_present
    }
}
