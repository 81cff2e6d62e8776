//! One agent's whole part in its group: forming it and switching its map.

use std::sync::Arc;

use celerycrank_types::{Incarnation, TimePoint, VmId};
use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, EngineOrder, EngineReport, ExpertMap, FormationMessage, FormationOutput,
    FormationTimes, GroupFormer, GroupRecord, MapChange, MemberIndex, MemberOutput, MemberSeat,
    MemberSet, RecordAnswer, RecordCall, SwitchLead, SwitchMember, SwitchMessage, SwitchRefusal,
    SwitchTimes,
};

/// A message between two agents of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupMessage {
    /// About a switch.
    Switch(SwitchMessage),
    /// About forming the group.
    Formation(FormationMessage),
}

/// What an agent wants done for its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentOutput {
    /// Send a message to another agent of the group, or to itself.
    Send {
        /// To whom.
        to: MemberIndex,
        /// What.
        message: GroupMessage,
    },
    /// Give the engine an order; orders reach the engine in this sequence.
    Order(EngineOrder),
    /// Read the group's record.
    Read {
        /// Which call this is; the answer carries it.
        call: RecordCall,
    },
    /// Write the group's record if its version is still this one.
    Write {
        /// Which call this is; the answer carries it.
        call: RecordCall,
        /// The version that the record must have.
        revision: u64,
        /// The new record.
        record: Arc<GroupRecord>,
    },
    /// The agent entered a new incarnation; to be logged.
    Entered(Incarnation),
    /// An attempt's map is in force; to be counted.
    Committed(AttemptId),
    /// The agent has ended its part in an attempt without a switch; to be counted.
    Aborted(AttemptId),
    /// The agent voted no; to be counted.
    Refused(SwitchRefusal),
    /// The agent asks for a new incarnation for want of a verdict; to be counted.
    Overdue(AttemptId),
}

/// Where an agent stands in its group, from its settings.
#[derive(Debug, Clone, PartialEq, Eq, bon::Builder)]
pub struct GroupSeat {
    /// The agent's place.
    pub index: MemberIndex,
    /// How many agents drive the group's ranks.
    ///
    /// Invariant: at most [`MemberSet::CAPACITY`].
    pub members: usize,
    /// The VM and life of the agent.
    pub seat: MemberSeat,
    /// The map of a group that was never formed.
    pub first_map: Arc<ExpertMap>,
    /// Times of forming the group.
    pub formation: FormationTimes,
    /// Times of a switch.
    pub switch: SwitchTimes,
}

/// The parts that live as long as one incarnation.
#[derive(Debug, Clone)]
struct IncarnationPart {
    member: SwitchMember,
    lead: SwitchLead,
    map: Arc<ExpertMap>,
}

/// One agent's whole part in its group, for one life of the agent.
#[derive(Debug, Clone)]
pub struct GroupAgent {
    seat: GroupSeat,
    former: GroupFormer,
    part: Option<IncarnationPart>,
}

impl GroupAgent {
    /// An agent that has just started.
    #[must_use]
    pub fn new(seat: GroupSeat, now: TimePoint) -> Self {
        let former = GroupFormer::new(
            seat.index,
            seat.seat.clone(),
            Arc::clone(&seat.first_map),
            MemberSet::first(seat.members),
            seat.formation,
            now,
        );
        Self {
            seat,
            former,
            part: None,
        }
    }

    /// The map in force as far as this agent knows.
    #[must_use]
    pub fn map(&self) -> Option<&Arc<ExpertMap>> {
        self.part.as_ref().map(|part| &part.map)
    }

    /// The agent's part in forming the group.
    #[must_use]
    pub const fn former(&self) -> &GroupFormer {
        &self.former
    }

    /// The agent's part in switches, once it is in an incarnation.
    #[must_use]
    pub fn member(&self) -> Option<&SwitchMember> {
        self.part.as_ref().map(|part| &part.member)
    }

    /// When [`Self::tick`] has something to do.
    #[must_use]
    pub fn deadline(&self) -> TimePoint {
        let part = self.part.as_ref();
        let member = part.and_then(|part| part.member.deadline());
        let lead = part.and_then(|part| part.lead.deadline());
        let times = [Some(self.former.deadline()), member, lead];
        times.into_iter().flatten().min().unwrap_or_default()
    }

    /// Begins an attempt to change the map, unless this agent leads one already.
    pub fn start(&mut self, change: Arc<MapChange>, now: TimePoint) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        if let Some(part) = &mut self.part {
            let started = part.lead.start(change, now);
            self.take_switch(started, now, &mut outputs);
        }
        outputs
    }

    /// Takes a message.
    pub fn receive(
        &mut self,
        from: MemberIndex,
        message: &GroupMessage,
        now: TimePoint,
    ) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        match message {
            GroupMessage::Formation(message) => {
                let formed = self.former.receive(from, message, now);
                self.take_formation(formed, &mut outputs);
            }
            GroupMessage::Switch(message) => {
                let Some(part) = &mut self.part else {
                    return outputs;
                };
                let mut switched = part.member.receive(from, message, now);
                switched.extend(part.lead.receive(from, message, now));
                self.take_switch(switched, now, &mut outputs);
            }
        }
        outputs
    }

    /// Takes note of the VM that the VM list names for a seat.
    pub fn list(&mut self, member: MemberIndex, vm: &VmId, now: TimePoint) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        let formed = self.former.list(member, vm, now);
        self.take_formation(formed, &mut outputs);
        outputs
    }

    /// Takes a report of the engine.
    pub fn report(&mut self, report: EngineReport, now: TimePoint) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        if let Some(part) = &mut self.part {
            let switched = part.member.report(report, now);
            part.lead.progress(part.member.progress());
            self.take_switch(switched, now, &mut outputs);
        }
        outputs
    }

    /// Takes an answer of the key-value service.
    pub fn answer(
        &mut self,
        call: RecordCall,
        answer: &RecordAnswer,
        now: TimePoint,
    ) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        let formed = self.former.answer(call, answer, now);
        self.take_formation(formed, &mut outputs);
        outputs
    }

    /// Acts on the passage of time.
    pub fn tick(&mut self, now: TimePoint) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        let formed = self.former.tick(now);
        self.take_formation(formed, &mut outputs);
        if let Some(part) = &mut self.part {
            let mut switched = part.member.tick(now);
            switched.extend(part.lead.tick(now));
            self.take_switch(switched, now, &mut outputs);
        }
        outputs
    }

    fn take_switch(
        &mut self,
        switched: Vec<MemberOutput>,
        now: TimePoint,
        outputs: &mut Vec<AgentOutput>,
    ) {
        for output in switched {
            match output {
                MemberOutput::Send { to, message } => outputs.push(AgentOutput::Send {
                    to,
                    message: GroupMessage::Switch(message),
                }),
                MemberOutput::Order(order) => outputs.push(AgentOutput::Order(order)),
                MemberOutput::Refused(refusal) => outputs.push(AgentOutput::Refused(refusal)),
                MemberOutput::Committed { attempt, change } => {
                    self.commit(attempt, &change, now);
                    outputs.push(AgentOutput::Committed(attempt));
                }
                MemberOutput::Aborted(attempt) => {
                    if let Some(part) = &mut self.part {
                        part.lead.settle(attempt, now);
                    }
                    outputs.push(AgentOutput::Aborted(attempt));
                }
                MemberOutput::Overdue(attempt) => {
                    outputs.push(AgentOutput::Overdue(attempt));
                    let formed = self.former.want(now);
                    self.take_formation(formed, outputs);
                }
            }
        }
    }

    fn commit(&mut self, attempt: AttemptId, change: &MapChange, now: TimePoint) {
        if let Some(part) = &mut self.part {
            part.lead.settle(attempt, now);
            part.map = Arc::new(part.map.successor(&change.loads));
            assert_eq!(
                part.map.id(),
                change.next,
                "a change led to another map than it named"
            );
            self.former.set_map(Arc::clone(&part.map));
        }
    }

    fn take_formation(&mut self, formed: Vec<FormationOutput>, outputs: &mut Vec<AgentOutput>) {
        for output in formed {
            match output {
                FormationOutput::Send { to, message } => outputs.push(AgentOutput::Send {
                    to,
                    message: GroupMessage::Formation(message),
                }),
                FormationOutput::Read { call } => outputs.push(AgentOutput::Read { call }),
                FormationOutput::Write {
                    call,
                    revision,
                    record,
                } => outputs.push(AgentOutput::Write {
                    call,
                    revision,
                    record,
                }),
                FormationOutput::Enter(record) => self.enter(&record, outputs),
            }
        }
    }

    /// Leaves the old incarnation with all its attempts and enters the new one.
    fn enter(&mut self, record: &GroupRecord, outputs: &mut Vec<AgentOutput>) {
        let index = self.seat.index;
        let members = MemberSet::first(self.seat.members);
        let times = self.seat.switch;
        let incarnation = record.incarnation;
        self.part = Some(IncarnationPart {
            member: SwitchMember::new(index, members, incarnation, record.map.id(), times),
            lead: SwitchLead::new(index, members, incarnation, times),
            map: Arc::clone(&record.map),
        });
        outputs.push(AgentOutput::Order(EngineOrder::Form {
            incarnation,
            map: Arc::clone(&record.map),
        }));
        outputs.push(AgentOutput::Entered(incarnation));
    }
}
