//! Which agents of a group are reachable, and which incarnation of the leader is current.

use celerycrank_types::{TimePoint, TimeSpan};

use crate::{AgentIncarnation, MemberIndex, RankMessage};

/// Silence after which an agent counts as unreachable.
const PEER_TIMEOUT: TimeSpan = TimeSpan::from_millis(2_500);

/// Silence of a leader after which an incarnation with a lower number is accepted: incarnations
/// are numbered by a clock that starts over when the leader's machine restarts.
const LEADER_TIMEOUT: TimeSpan = TimeSpan::from_millis(5_000);

/// The times of the last messages from the agents of a group.
#[derive(Debug, Default, Clone)]
pub(crate) struct PeerLiveness {
    /// By rank.
    last_heard: Vec<Option<TimePoint>>,
    /// The current incarnation of the leader, and the time of its last message.
    leader_incarnation: Option<(AgentIncarnation, TimePoint)>,
}

impl PeerLiveness {
    /// Sets the number of ranks in the group.
    pub(crate) fn resize(&mut self, size: usize) {
        self.last_heard.resize(size, None);
    }

    /// Records a message; returns whether its sender's current incarnation has sent it.
    pub(crate) fn record(
        &mut self,
        from: MemberIndex,
        message: &RankMessage,
        now: TimePoint,
    ) -> bool {
        if from == MemberIndex(0) && !self.is_of_current_leader(message, now) {
            return false;
        }
        if let Some(heard) = self.last_heard.get_mut(usize::from(from.0)) {
            *heard = Some(now);
        }
        true
    }

    /// Whether every agent except the own one has sent a message recently.
    pub(crate) fn are_all_reachable(&self, own: MemberIndex, now: TimePoint) -> bool {
        self.unreachable(own, now).next().is_none()
    }

    /// The ranks, except the own one, whose agents have not sent a message recently.
    pub(crate) fn unreachable(
        &self,
        own: MemberIndex,
        now: TimePoint,
    ) -> impl Iterator<Item = MemberIndex> {
        let ranks = (0..).map(MemberIndex).zip(&self.last_heard);
        ranks.filter_map(move |(rank, heard)| {
            let is_reachable = heard.is_some_and(|at| now.since(at) < PEER_TIMEOUT);
            (rank != own && !is_reachable).then_some(rank)
        })
    }

    fn is_of_current_leader(&mut self, message: &RankMessage, now: TimePoint) -> bool {
        let Some(incarnation) = message.leader_incarnation() else {
            return true;
        };
        let is_current = self
            .leader_incarnation
            .is_none_or(|(known, at)| incarnation >= known || now.since(at) > LEADER_TIMEOUT);
        if is_current {
            self.leader_incarnation = Some((incarnation, now));
        }
        is_current
    }
}
