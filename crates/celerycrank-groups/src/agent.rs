//! The state machine of one agent in its group: group formation and map switches.

use std::sync::Arc;

use celerycrank_types::{Incarnation, TimePoint, VmId};
use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, EngineOrder, EngineReport, ExpertMap, FormationMember, FormationMessage,
    FormationOutput, FormationTimes, GroupRecord, MapChange, MemberAssignment, MemberIndex,
    MemberSet, RecordAnswer, RecordRequestId, SwitchLeader, SwitchMember, SwitchMessage,
    SwitchOutput, SwitchRefusal, SwitchTimes,
};

/// A message between two agents of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupMessage {
    /// A message of the switch protocol.
    Switch(SwitchMessage),
    /// A message of the formation protocol.
    Formation(FormationMessage),
}

/// An action that an agent requests of its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentOutput {
    /// Send a message to an agent of the group, possibly the sender itself.
    Send {
        /// The recipient.
        to: MemberIndex,
        /// The message.
        message: GroupMessage,
    },
    /// Send an order to the engine; the engine receives orders in the sequence of these outputs.
    Order(EngineOrder),
    /// Read the group's record from the key-value service.
    Read {
        /// The number of this request, repeated in the answer.
        request: RecordRequestId,
    },
    /// Write the group's record if its revision is unchanged.
    Write {
        /// The number of this request, repeated in the answer.
        request: RecordRequestId,
        /// The revision that the stored record must have.
        revision: u64,
        /// The new record.
        record: Arc<GroupRecord>,
    },
    /// The agent entered a new incarnation of the group; reported for logging.
    Entered(Incarnation),
    /// The agent committed an attempt; reported for metrics.
    Committed(AttemptId),
    /// The agent ended its part in an attempt without a switch; reported for metrics.
    Aborted(AttemptId),
    /// The agent voted no; reported for metrics.
    Refused(SwitchRefusal),
    /// The verdict did not arrive within its timeout and the agent requests a new incarnation;
    /// reported for metrics.
    Overdue(AttemptId),
}

/// The settings of an agent in its group.
#[derive(Debug, Clone, PartialEq, Eq, bon::Builder)]
pub struct GroupAgentSettings {
    /// The agent's member index.
    pub index: MemberIndex,
    /// The number of agents that drive the group's ranks.
    pub members: usize,
    /// The VM and incarnation of the agent.
    pub assignment: MemberAssignment,
    /// The map of the group's first incarnation.
    pub first_map: Arc<ExpertMap>,
    /// Times of the formation protocol.
    pub formation: FormationTimes,
    /// Times of the switch protocol.
    pub switch: SwitchTimes,
}

/// State that is bound to one incarnation of the group.
#[derive(Debug, Clone)]
struct IncarnationState {
    member: SwitchMember,
    leader: SwitchLeader,
    map: Arc<ExpertMap>,
}

/// The state machine of one agent in its group, for one incarnation of the agent.
#[derive(Debug, Clone)]
pub struct GroupAgent {
    settings: GroupAgentSettings,
    formation: FormationMember,
    current: Option<IncarnationState>,
}

impl GroupAgent {
    /// Creates the state of an agent that has just started.
    #[must_use]
    pub fn new(settings: GroupAgentSettings, now: TimePoint) -> Self {
        let formation = FormationMember::new(
            settings.index,
            settings.assignment.clone(),
            Arc::clone(&settings.first_map),
            MemberSet::first_n(settings.members),
            settings.formation,
            now,
        );
        Self {
            settings,
            formation,
            current: None,
        }
    }

    /// The newest active map that this agent knows of.
    #[must_use]
    pub fn map(&self) -> Option<&Arc<ExpertMap>> {
        self.current.as_ref().map(|current| &current.map)
    }

    /// The agent's state in the formation protocol.
    #[must_use]
    pub const fn formation(&self) -> &FormationMember {
        &self.formation
    }

    /// The agent's state in the switch protocol, once it has entered an incarnation.
    #[must_use]
    pub fn member(&self) -> Option<&SwitchMember> {
        self.current.as_ref().map(|current| &current.member)
    }

    /// When [`Self::tick`] must be called next.
    #[must_use]
    pub fn deadline(&self) -> TimePoint {
        let current = self.current.as_ref();
        let member = current.and_then(|current| current.member.deadline());
        let leader = current.and_then(|current| current.leader.deadline());
        let times = [Some(self.formation.deadline()), member, leader];
        times.into_iter().flatten().min().unwrap_or_default()
    }

    /// Starts an attempt to change the map, unless this agent already leads one.
    pub fn start(&mut self, change: Arc<MapChange>, now: TimePoint) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        if let Some(current) = &mut self.current {
            let switch_outputs = current.leader.start(change, now);
            self.handle_switch_outputs(switch_outputs, now, &mut outputs);
        }
        outputs
    }

    /// Handles a message from an agent of the group.
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

    /// Records which VM the VM list assigns to a member.
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

    /// Handles a report of the engine.
    pub fn report(&mut self, report: EngineReport, now: TimePoint) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        if let Some(current) = &mut self.current {
            let switch_outputs = current.member.report(report, now);
            current.leader.observe_progress(current.member.next_step());
            self.handle_switch_outputs(switch_outputs, now, &mut outputs);
        }
        outputs
    }

    /// Handles an answer of the key-value service.
    pub fn answer(
        &mut self,
        request: RecordRequestId,
        answer: &RecordAnswer,
        now: TimePoint,
    ) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        let formation_outputs = self.formation.answer(request, answer, now);
        self.handle_formation_outputs(formation_outputs, &mut outputs);
        outputs
    }

    /// Handles the timers that have expired.
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
                "a change produced another map than it declares"
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
                FormationOutput::Read { request } => outputs.push(AgentOutput::Read { request }),
                FormationOutput::Write {
                    request,
                    revision,
                    record,
                } => outputs.push(AgentOutput::Write {
                    request,
                    revision,
                    record,
                }),
                FormationOutput::Enter(record) => self.enter(&record, outputs),
            }
        }
    }

    /// Enters a new incarnation; the old one's attempts end.
    fn enter(&mut self, record: &GroupRecord, outputs: &mut Vec<AgentOutput>) {
        let index = self.settings.index;
        let members = MemberSet::first_n(self.settings.members);
        let times = self.settings.switch;
        let incarnation = record.incarnation;
        self.current = Some(IncarnationState {
            member: SwitchMember::new(index, members.clone(), incarnation, record.map.id(), times),
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
