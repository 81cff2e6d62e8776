//! The state machine of one agent in the formation protocol.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_chart::ChartStep;
use celerycrank_types::{Incarnation, TimePoint, TimeSpan, VmId};

use super::chart::{CHART, FormationAction, FormationEvent, FormationState};
use crate::{
    AgentIncarnation, ExpertMap, FormationMessage, FormationOutput, FormationTimes, GroupRecord,
    MemberAssignment, MemberHello, MemberIndex, MemberSet, RecordAnswer, RecordRequestId,
    StoredRecord,
};

/// The state of one agent in the formation protocol, for one incarnation of the agent.
///
/// A group needs all of its ranks, so a new incarnation of the group is formed once every
/// member has answered. No failure detector is needed: the start of a new incarnation of an
/// agent triggers the protocol.
#[derive(Debug, Clone)]
pub struct FormationMember {
    index: MemberIndex,
    assignment: MemberAssignment,
    members: MemberSet,
    times: FormationTimes,
    /// The map of the group's first incarnation.
    first_map: Arc<ExpertMap>,
    state: FormationState,
    deadline: TimePoint,
    /// The newest known record; its incarnation never decreases.
    newest: Option<Arc<GroupRecord>>,
    /// The record of the incarnation that the agent entered last.
    ///
    /// Invariant: names this incarnation of the agent, and the group incarnation increases each
    /// time.
    entered: Option<Arc<GroupRecord>>,
    /// The VM that the VM list assigns to each member; may be out of date.
    ///
    /// Only filters answers to this agent's call: the record alone defines the membership.
    listed_vms: BTreeMap<MemberIndex, VmId>,
    /// The active map after the latest switch.
    map: Option<Arc<ExpertMap>>,
    hellos: BTreeMap<MemberIndex, MemberHello>,
    /// The record of this agent's latest write.
    draft: Option<Arc<GroupRecord>>,
    stored_revision: u64,
    /// The latest request to the key-value service; answers to earlier ones are dropped.
    record_request: RecordRequestId,
    /// The recipient of the last heartbeat.
    last_heartbeat_to: MemberIndex,
    /// Members that have not yet confirmed the record that this agent wrote.
    unconfirmed: MemberSet,
}

impl FormationMember {
    /// Creates the state of an agent that has just started with this assignment.
    #[must_use]
    pub fn new(
        index: MemberIndex,
        assignment: MemberAssignment,
        first_map: Arc<ExpertMap>,
        members: MemberSet,
        times: FormationTimes,
        now: TimePoint,
    ) -> Self {
        Self {
            index,
            assignment,
            members,
            times,
            first_map,
            state: CHART.initial(),
            deadline: now + times.order_timeout,
            newest: None,
            entered: None,
            listed_vms: BTreeMap::new(),
            map: None,
            hellos: BTreeMap::new(),
            draft: None,
            stored_revision: 0,
            record_request: RecordRequestId::default(),
            last_heartbeat_to: index,
            unconfirmed: MemberSet::default(),
        }
    }

    /// The agent's state in the formation protocol.
    #[must_use]
    pub const fn state(&self) -> FormationState {
        self.state
    }

    /// The record of the incarnation that the agent entered last.
    #[must_use]
    pub const fn entered(&self) -> Option<&Arc<GroupRecord>> {
        self.entered.as_ref()
    }

    /// When [`Self::tick`] must be called next.
    #[must_use]
    pub const fn deadline(&self) -> TimePoint {
        self.deadline
    }

    /// Records the map that a switch made active.
    pub fn set_map(&mut self, map: Arc<ExpertMap>) {
        self.map = Some(map);
    }

    /// Requests a new incarnation of the group, for example after a verdict timeout.
    pub fn request_incarnation(&mut self, now: TimePoint) -> Vec<FormationOutput> {
        let mut outputs = self.step(FormationEvent::Wanted, now);
        outputs.extend(self.finish_call_if_complete(now));
        outputs
    }

    /// Records which VM the VM list assigns to a member.
    pub fn update_listed_vm(
        &mut self,
        member: MemberIndex,
        vm: &VmId,
        now: TimePoint,
    ) -> Vec<FormationOutput> {
        self.listed_vms.insert(member, vm.clone());
        if member != self.index || *vm == self.assignment.vm {
            return Vec::new();
        }
        self.step(FormationEvent::Replaced, now)
    }

    /// Handles the state's timer if it has expired.
    pub fn tick(&mut self, now: TimePoint) -> Vec<FormationOutput> {
        if now < self.deadline || self.state == FormationState::Replaced {
            return Vec::new();
        }
        let mut outputs = self.step(FormationEvent::Expire, now);
        outputs.extend(self.finish_call_if_complete(now));
        outputs
    }

    /// Handles a message from another agent.
    pub fn receive(
        &mut self,
        from: MemberIndex,
        message: &FormationMessage,
        now: TimePoint,
    ) -> Vec<FormationOutput> {
        if self.state == FormationState::Draining {
            return Vec::new();
        }
        match message {
            FormationMessage::Call {
                agent_incarnation,
                known,
            } => self.handle_call(from, *agent_incarnation, *known, now),
            FormationMessage::Hello(hello) => self.handle_hello(from, hello, now),
            FormationMessage::Formed(record) => self.handle_record(from, record, now),
            FormationMessage::Beat(known) => self.answer_heartbeat(from, *known),
            FormationMessage::Joined(incarnation) => {
                if self.known_incarnation() == *incarnation {
                    self.unconfirmed = self.unconfirmed.difference(&MemberSet::only(from));
                }
                Vec::new()
            }
        }
    }

    /// Handles an answer of the key-value service.
    pub fn answer(
        &mut self,
        request: RecordRequestId,
        answer: &RecordAnswer,
        now: TimePoint,
    ) -> Vec<FormationOutput> {
        if request != self.record_request {
            return Vec::new();
        }
        match (self.state, answer) {
            (FormationState::Reading, RecordAnswer::Found(stored)) => {
                let event = self.classify_stored(stored);
                self.step(event, now)
            }
            (FormationState::Writing, RecordAnswer::Written) => {
                self.newest.clone_from(&self.draft);
                self.step(FormationEvent::Written, now)
            }
            (FormationState::Writing, RecordAnswer::Conflict) => {
                self.step(FormationEvent::Conflict, now)
            }
            (FormationState::Reading | FormationState::Writing, RecordAnswer::Unavailable) => {
                self.step(FormationEvent::Unavailable, now)
            }
            _ => Vec::new(),
        }
    }

    fn handle_call(
        &mut self,
        from: MemberIndex,
        agent_incarnation: AgentIncarnation,
        known: Incarnation,
        now: TimePoint,
    ) -> Vec<FormationOutput> {
        if self.state == FormationState::Replaced {
            return Vec::new();
        }
        if let Some(record) = self.newest.as_ref().filter(|it| it.incarnation > known)
            && record
                .assignment(from)
                .is_some_and(|it| it.agent_incarnation == agent_incarnation)
        {
            let message = FormationMessage::Formed(Arc::clone(record));
            return vec![FormationOutput::Send { to: from, message }];
        }
        let mut outputs = Vec::new();
        if from < self.index {
            outputs = self.step(FormationEvent::Yield, now);
        }
        let message = FormationMessage::Hello(self.own_hello());
        outputs.push(FormationOutput::Send { to: from, message });
        outputs
    }

    /// Sends the newest record to a sender that lacks it, or requests it from one that has it.
    fn answer_heartbeat(&self, from: MemberIndex, known: Incarnation) -> Vec<FormationOutput> {
        let message = match &self.newest {
            Some(record) if record.incarnation > known => {
                FormationMessage::Formed(Arc::clone(record))
            }
            _ if self.known_incarnation() < known => {
                FormationMessage::Beat(self.known_incarnation())
            }
            _ => return Vec::new(),
        };
        vec![FormationOutput::Send { to: from, message }]
    }

    /// Selects the recipient of the next heartbeat, round-robin over the other members.
    fn next_heartbeat_target(&mut self) -> MemberIndex {
        let others = self.other_members();
        let later = others
            .iter()
            .find(|member| *member > self.last_heartbeat_to);
        self.last_heartbeat_to = later.or_else(|| others.iter().next()).unwrap_or(self.index);
        self.last_heartbeat_to
    }

    fn handle_hello(
        &mut self,
        from: MemberIndex,
        hello: &MemberHello,
        now: TimePoint,
    ) -> Vec<FormationOutput> {
        if self.state != FormationState::Calling {
            return Vec::new();
        }
        if self
            .listed_vms
            .get(&from)
            .is_some_and(|vm| *vm != hello.assignment.vm)
        {
            return Vec::new();
        }
        self.hellos.insert(from, hello.clone());
        self.finish_call_if_complete(now)
    }

    /// Proceeds once every member has answered; a group of one proceeds immediately.
    fn finish_call_if_complete(&mut self, now: TimePoint) -> Vec<FormationOutput> {
        let is_calling = self.state == FormationState::Calling;
        if !is_calling || self.hellos.len() < self.members.len() {
            return Vec::new();
        }
        self.step(FormationEvent::AllHere, now)
    }

    fn handle_record(
        &mut self,
        from: MemberIndex,
        record: &Arc<GroupRecord>,
        now: TimePoint,
    ) -> Vec<FormationOutput> {
        let mut outputs = Vec::new();
        if record.incarnation > self.known_incarnation() {
            self.newest = Some(Arc::clone(record));
            if self.is_assigned(record) {
                outputs = self.step(FormationEvent::Formed, now);
            } else {
                return self.step(FormationEvent::Unseated, now);
            }
        }
        if self
            .entered
            .as_ref()
            .is_some_and(|it| it.incarnation == record.incarnation)
        {
            let message = FormationMessage::Joined(record.incarnation);
            outputs.push(FormationOutput::Send { to: from, message });
        }
        outputs
    }

    /// Classifies a record that was read.
    fn classify_stored(&mut self, stored: &StoredRecord) -> FormationEvent {
        self.stored_revision = stored.revision;
        if let Some(record) = &stored.record
            && record.incarnation > self.known_incarnation()
        {
            self.newest = Some(Arc::clone(record));
            if record.writer == self.assignment.agent_incarnation {
                return FormationEvent::FoundOwn;
            }
            if self.is_assigned(record) {
                return FormationEvent::FoundNewer;
            }
        }
        FormationEvent::Found
    }

    fn step(&mut self, event: FormationEvent, now: TimePoint) -> Vec<FormationOutput> {
        let mut outputs = Vec::new();
        let (state, actions) = match CHART.step(self.state, event) {
            ChartStep::Moved { state, actions } => (state, actions),
            ChartStep::Ignored => return outputs,
            ChartStep::Unexpected if self.state == FormationState::Replaced => return outputs,
            ChartStep::Unexpected => panic!("unexpected event {event:?} in state {:?}", self.state),
        };
        self.state = state;
        self.deadline = now + self.state_timeout();
        for action in actions {
            self.perform(*action, &mut outputs);
        }
        outputs
    }

    fn perform(&mut self, action: FormationAction, outputs: &mut Vec<FormationOutput>) {
        match action {
            FormationAction::SendCall => {
                self.hellos.clear();
                self.hellos.insert(self.index, self.own_hello());
                self.call_missing_members(outputs);
            }
            FormationAction::RepeatCall => self.call_missing_members(outputs),
            FormationAction::Read => {
                self.record_request = self.record_request.next();
                outputs.push(FormationOutput::Read {
                    request: self.record_request,
                });
            }
            FormationAction::Write => {
                let record = Arc::new(self.draft_record());
                self.draft = Some(Arc::clone(&record));
                self.record_request = self.record_request.next();
                outputs.push(FormationOutput::Write {
                    request: self.record_request,
                    revision: self.stored_revision,
                    record,
                });
            }
            FormationAction::Enter => {
                let record = self
                    .newest
                    .clone()
                    .expect("a record is known before it is entered");
                assert!(
                    self.is_assigned(&record),
                    "an agent enters only records that name its own incarnation"
                );
                let last = self.entered.as_ref().map(|entered| entered.incarnation);
                assert!(
                    last < Some(record.incarnation),
                    "the group incarnation increases each time the agent enters a record"
                );
                self.entered = Some(Arc::clone(&record));
                self.map = Some(Arc::clone(&record.map));
                self.unconfirmed = MemberSet::default();
                outputs.push(FormationOutput::Enter(record));
            }
            FormationAction::Announce => {
                let Some(record) = self.entered.clone() else {
                    return;
                };
                if outputs
                    .iter()
                    .any(|it| matches!(it, FormationOutput::Enter(_)))
                {
                    self.unconfirmed = self.other_members();
                }
                send_all(
                    &self.unconfirmed,
                    &FormationMessage::Formed(record),
                    outputs,
                );
            }
            FormationAction::SendBeat => {
                let to = self.next_heartbeat_target();
                let message = FormationMessage::Beat(self.known_incarnation());
                outputs.push(FormationOutput::Send { to, message });
            }
        }
    }

    fn call_missing_members(&self, outputs: &mut Vec<FormationOutput>) {
        let others = self.other_members();
        let missing = others
            .iter()
            .filter(|member| !self.hellos.contains_key(member));
        outputs.extend(missing.map(|to| FormationOutput::Send {
            to,
            message: FormationMessage::Call {
                agent_incarnation: self.assignment.agent_incarnation,
                known: self.known_incarnation(),
            },
        }));
    }

    /// Builds the record of the next incarnation from the collected answers, with the newest map
    /// that any member reported.
    fn draft_record(&self) -> GroupRecord {
        let newest = self.newest.as_ref();
        let recorded = newest.map(|record| (record.incarnation, &record.map));
        let answers = self.hellos.values();
        let maps = answers.filter_map(|hello| Some((hello.incarnation, hello.map.as_ref()?)));
        let best = maps
            .chain(recorded)
            .max_by_key(|(incarnation, map)| (*incarnation, map.id()));
        let assignments = self.hellos.values().map(|hello| hello.assignment.clone());
        GroupRecord {
            incarnation: self.known_incarnation().next(),
            writer: self.assignment.agent_incarnation,
            assignments: assignments.collect(),
            map: best.map_or_else(|| Arc::clone(&self.first_map), |(_, map)| Arc::clone(map)),
        }
    }

    fn own_hello(&self) -> MemberHello {
        let entered = self.entered.as_ref();
        MemberHello {
            assignment: self.assignment.clone(),
            incarnation: entered.map_or(Incarnation::default(), |record| record.incarnation),
            map: self.map.clone(),
        }
    }

    /// The timeout of the current state.
    fn state_timeout(&self) -> TimeSpan {
        let delay = TimeSpan(self.times.member_delay.0 * u64::from(self.index.0));
        match self.state {
            FormationState::Draining => self.times.order_timeout,
            FormationState::Waiting => self.times.answer_timeout + delay,
            FormationState::Reading | FormationState::Writing => self.times.answer_timeout,
            FormationState::Calling | FormationState::Inside | FormationState::Replaced => {
                self.times.call_interval + delay
            }
        }
    }

    fn known_incarnation(&self) -> Incarnation {
        let newest = self.newest.as_ref();
        newest.map_or(Incarnation::default(), |record| record.incarnation)
    }

    fn other_members(&self) -> MemberSet {
        self.members.difference(&MemberSet::only(self.index))
    }

    fn is_assigned(&self, record: &GroupRecord) -> bool {
        record.assignment(self.index) == Some(&self.assignment)
    }
}

fn send_all(to: &MemberSet, message: &FormationMessage, outputs: &mut Vec<FormationOutput>) {
    outputs.extend(to.iter().map(|to| FormationOutput::Send {
        to,
        message: message.clone(),
    }));
}
