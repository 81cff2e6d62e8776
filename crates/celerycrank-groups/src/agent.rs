//! One agent's whole part in its group: forming it and switching its map.

use std::sync::Arc;

use celerycrank_types::{Incarnation, TimePoint, VmId};
use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, EngineOrder, EngineReport, ExpertMap, FormationMember, FormationMessage,
    FormationOutput, FormationTimes, GroupRecord, MapChange, MemberAssignment, MemberIndex,
    MemberSet, RecordAnswer, RecordCall, SwitchLeader, SwitchMember, SwitchMessage, SwitchOutput,
    SwitchRefusal, SwitchTimes,
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
pub struct GroupAgentSettings {
    /// The agent's place.
    pub index: MemberIndex,
    /// How many agents drive the group's ranks.
    ///
    /// Invariant: at most [`MemberSet::CAPACITY`].
    pub members: usize,
    /// The VM and life of the agent.
    pub assignment: MemberAssignment,
    /// The map of a group that was never formed.
    pub first_map: Arc<ExpertMap>,
    /// Times of forming the group.
    pub formation: FormationTimes,
    /// Times of a switch.
    pub switch: SwitchTimes,
}

/// The parts that live as long as one incarnation.
#[derive(Debug, Clone)]
struct IncarnationState {
    member: SwitchMember,
    leader: SwitchLeader,
    map: Arc<ExpertMap>,
}

/// One agent's whole part in its group, for one life of the agent.
#[derive(Debug, Clone)]
pub struct GroupAgent {
    settings: GroupAgentSettings,
    formation: FormationMember,
    current: Option<IncarnationState>,
}

impl GroupAgent {
    /// An agent that has just started.
    #[must_use]
    pub fn new(settings: GroupAgentSettings, now: TimePoint) -> Self {
        let formation = FormationMember::new(
            settings.index,
            settings.assignment.clone(),
            Arc::clone(&settings.first_map),
            MemberSet::first(settings.members),
            settings.formation,
            now,
        );
        Self {
            settings,
            formation,
            current: None,
        }
    }

    /// The map in force as far as this agent knows.
    #[must_use]
    pub fn map(&self) -> Option<&Arc<ExpertMap>> {
        self.current.as_ref().map(|current| &current.map)
    }

    /// The agent's part in forming the group.
    #[must_use]
    pub const fn formation(&self) -> &FormationMember {
        &self.formation
    }

    /// The agent's part in switches, once it is in an incarnation.
    #[must_use]
    pub fn member(&self) -> Option<&SwitchMember> {
        self.current.as_ref().map(|current| &current.member)
    }

    /// When [`Self::tick`] has something to do.
    #[must_use]
    pub fn deadline(&self) -> TimePoint {
        let current = self.current.as_ref();
        let member = current.and_then(|current| current.member.deadline());
        let leader = current.and_then(|current| current.leader.deadline());
        let times = [Some(self.formation.deadline()), member, leader];
        times.into_iter().flatten().min().unwrap_or_default()
    }

    /// Begins an attempt to change the map, unless this agent leads one already.
    pub fn start(&mut self, change: Arc<MapChange>, now: TimePoint) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        if let Some(current) = &mut self.current {
            let switch_outputs = current.leader.start(change, now);
            self.handle_switch_outputs(switch_outputs, now, &mut outputs);
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
                let formation_outputs = self.formation.receive(from, message, now);
                self.handle_formation_outputs(formation_outputs, &mut outputs);
            }
            GroupMessage::Switch(message) => {
                let Some(current) = &mut self.current else {
                    return outputs;
                };
                let mut switch_outputs = current.member.receive(from, message, now);
                switch_outputs.extend(current.leader.receive(from, message, now));
                self.handle_switch_outputs(switch_outputs, now, &mut outputs);
            }
        }
        outputs
    }

    /// Takes note of the VM that the VM list names for a seat.
    pub fn update_listed_vm(
        &mut self,
        member: MemberIndex,
        vm: &VmId,
        now: TimePoint,
    ) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        let formation_outputs = self.formation.update_listed_vm(member, vm, now);
        self.handle_formation_outputs(formation_outputs, &mut outputs);
        outputs
    }

    /// Takes a report of the engine.
    pub fn report(&mut self, report: EngineReport, now: TimePoint) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        if let Some(current) = &mut self.current {
            let switch_outputs = current.member.report(report, now);
            current.leader.observe_progress(current.member.progress());
            self.handle_switch_outputs(switch_outputs, now, &mut outputs);
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
        let formation_outputs = self.formation.answer(call, answer, now);
        self.handle_formation_outputs(formation_outputs, &mut outputs);
        outputs
    }

    /// Acts on the passage of time.
    pub fn tick(&mut self, now: TimePoint) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        let formation_outputs = self.formation.tick(now);
        self.handle_formation_outputs(formation_outputs, &mut outputs);
        if let Some(current) = &mut self.current {
            let mut switch_outputs = current.member.tick(now);
            switch_outputs.extend(current.leader.tick(now));
            self.handle_switch_outputs(switch_outputs, now, &mut outputs);
        }
        outputs
    }

    fn handle_switch_outputs(
        &mut self,
        switch_outputs: Vec<SwitchOutput>,
        now: TimePoint,
        outputs: &mut Vec<AgentOutput>,
    ) {
        for output in switch_outputs {
            match output {
                SwitchOutput::Send { to, message } => outputs.push(AgentOutput::Send {
                    to,
                    message: GroupMessage::Switch(message),
                }),
                SwitchOutput::Order(order) => outputs.push(AgentOutput::Order(order)),
                SwitchOutput::Refused(refusal) => outputs.push(AgentOutput::Refused(refusal)),
                SwitchOutput::Committed { attempt, change } => {
                    self.commit(attempt, &change, now);
                    outputs.push(AgentOutput::Committed(attempt));
                }
                SwitchOutput::Aborted(attempt) => {
                    if let Some(current) = &mut self.current {
                        current.leader.end_attempt(attempt, now);
                    }
                    outputs.push(AgentOutput::Aborted(attempt));
                }
                SwitchOutput::Overdue(attempt) => {
                    outputs.push(AgentOutput::Overdue(attempt));
                    let formation_outputs = self.formation.request_incarnation(now);
                    self.handle_formation_outputs(formation_outputs, outputs);
                }
            }
        }
    }

    fn commit(&mut self, attempt: AttemptId, change: &MapChange, now: TimePoint) {
        if let Some(current) = &mut self.current {
            current.leader.end_attempt(attempt, now);
            current.map = Arc::new(current.map.successor(&change.loads));
            assert_eq!(
                current.map.id(),
                change.next,
                "a change led to another map than it named"
            );
            self.formation.set_map(Arc::clone(&current.map));
        }
    }

    fn handle_formation_outputs(
        &mut self,
        formation_outputs: Vec<FormationOutput>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        for output in formation_outputs {
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
        let index = self.settings.index;
        let members = MemberSet::first(self.settings.members);
        let times = self.settings.switch;
        let incarnation = record.incarnation;
        self.current = Some(IncarnationState {
            member: SwitchMember::new(index, members, incarnation, record.map.id(), times),
            leader: SwitchLeader::new(index, members, incarnation, times),
            map: Arc::clone(&record.map),
        });
        outputs.push(AgentOutput::Order(EngineOrder::Form {
            incarnation,
            map: Arc::clone(&record.map),
        }));
        outputs.push(AgentOutput::Entered(incarnation));
    }
}
