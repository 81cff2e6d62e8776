//! Which agents of a group are there, and which life of the lead is the present one.

use celerycrank_types::{TimePoint, TimeSpan};

use crate::{AgentLife, MemberIndex, RankMessage};

/// Time after which an agent that was not heard of counts as away.
const AWAY_AFTER: TimeSpan = TimeSpan::from_millis(2_500);

/// Silence of a lead after which a life with a lower number is believed: its machine may
/// count lives anew.
const LEAD_SILENCE: TimeSpan = TimeSpan::from_millis(5_000);

/// When the agents of a group were last heard of.
#[derive(Debug, Default, Clone)]
pub(crate) struct GroupRoster {
    /// By rank.
    heard: Vec<Option<TimePoint>>,
    /// The present life of the lead, and when it was last heard of.
    lead_life: Option<(AgentLife, TimePoint)>,
}

impl GroupRoster {
    /// Sets how many ranks the group has.
    pub(crate) fn resize(&mut self, size: usize) {
        self.heard.resize(size, None);
    }

    /// Notes a message; says whether its sender's present life has sent it.
    pub(crate) fn note(
        &mut self,
        from: MemberIndex,
        message: &RankMessage,
        now: TimePoint,
    ) -> bool {
        if from == MemberIndex(0) && !self.is_of_present_lead(message, now) {
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
            rank == usize::from(own.0) || heard.is_some_and(|at| now.since(at) < AWAY_AFTER)
        })
    }

    fn is_of_present_lead(&mut self, message: &RankMessage, now: TimePoint) -> bool {
        let Some(life) = message.lead_life() else {
            return true;
        };
        let is_present = self
            .lead_life
            .is_none_or(|(known, at)| life >= known || now.since(at) > LEAD_SILENCE);
        if is_present {
            self.lead_life = Some((life, now));
        }
        is_present
    }
}
