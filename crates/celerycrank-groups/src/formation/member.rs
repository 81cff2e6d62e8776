//! One agent's part in forming its group.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_chart::ChartStep;
use celerycrank_types::{Incarnation, TimePoint, TimeSpan, VmId};

use super::chart::{CHART, FormationAction, FormationEvent, FormationState};
use crate::{
    AgentLife, ExpertMap, FormationMessage, FormationOutput, FormationTimes, GroupRecord,
    MemberAssignment, MemberHello, MemberIndex, MemberSet, RecordAnswer, RecordCall, StoredRecord,
};

/// One agent's part in forming its group, for one life of the agent.
///
/// A group needs all of its ranks, so an incarnation is formed when every seat has answered;
/// no failure detector is needed, only the arrival of a new life.
#[derive(Debug, Clone)]
pub struct FormationMember {
    index: MemberIndex,
    assignment: MemberAssignment,
    members: MemberSet,
    times: FormationTimes,
    /// The map of a group that was never formed.
    first_map: Arc<ExpertMap>,
    state: FormationState,
    deadline: TimePoint,
    /// The newest record known; its incarnation never falls.
    newest: Option<Arc<GroupRecord>>,
    /// Invariant: holds this agent's life, and its incarnation rises with each entry.
    entered: Option<Arc<GroupRecord>>,
    /// The VM that the VM list names for each seat; may lag.
    ///
    /// Only decides who is asked to take part: the record alone says who does.
    listed_vms: BTreeMap<MemberIndex, VmId>,
    /// The map in force, as the switch left it.
    map: Option<Arc<ExpertMap>>,
    hellos: BTreeMap<MemberIndex, MemberHello>,
    /// The record that this agent tries to write.
    draft: Option<Arc<GroupRecord>>,
    stored_revision: u64,
    /// The last call to the key-value service; answers to earlier ones are dropped.
    call: RecordCall,
    /// The member that got the last beat.
    last_heartbeat_to: MemberIndex,
    /// Members that have not yet confirmed a record that this agent wrote.
    unconfirmed: MemberSet,
}

impl FormationMember {
    /// An agent that has just started in this seat.
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
            call: RecordCall::default(),
            last_heartbeat_to: index,
            unconfirmed: MemberSet::default(),
        }
    }

    /// Where the agent stands.
    #[must_use]
    pub const fn state(&self) -> FormationState {
        self.state
    }

    /// The incarnation that the agent has entered last.
    #[must_use]
    pub const fn entered(&self) -> Option<&Arc<GroupRecord>> {
        self.entered.as_ref()
    }

    /// When [`Self::tick`] has something to do.
    #[must_use]
    pub const fn deadline(&self) -> TimePoint {
        self.deadline
    }

    /// Takes note of the map that a switch has put in force.
    pub fn set_map(&mut self, map: Arc<ExpertMap>) {
        self.map = Some(map);
    }

    /// Asks for a new incarnation, as after an overdue verdict.
    pub fn request_incarnation(&mut self, now: TimePoint) -> Vec<FormationOutput> {
        let mut outputs = self.step(FormationEvent::Wanted, now);
        outputs.extend(self.finish_call_if_complete(now));
        outputs
    }

    /// Takes note of the VM that the VM list names for a seat.
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

    /// Acts on the passage of time.
    pub fn tick(&mut self, now: TimePoint) -> Vec<FormationOutput> {
        if now < self.deadline || self.state == FormationState::Replaced {
            return Vec::new();
        }
        let mut outputs = self.step(FormationEvent::Expire, now);
        outputs.extend(self.finish_call_if_complete(now));
        outputs
    }

    /// Takes a message of another agent.
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
            FormationMessage::Call { life, known } => self.answer_call(from, *life, *known, now),
            FormationMessage::Hello(hello) => self.handle_hello(from, hello, now),
            FormationMessage::Formed(record) => self.handle_record(from, record, now),
            FormationMessage::Beat(known) => self.answer_heartbeat(from, *known),
            FormationMessage::Joined(incarnation) => {
                if self.known() == *incarnation {
                    self.unconfirmed = self.unconfirmed.difference(MemberSet::only(from));
                }
                Vec::new()
            }
        }
    }

    /// Takes an answer of the key-value service.
    pub fn answer(
        &mut self,
        call: RecordCall,
        answer: &RecordAnswer,
        now: TimePoint,
    ) -> Vec<FormationOutput> {
        if call != self.call {
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

    fn answer_call(
        &mut self,
        from: MemberIndex,
        agent_incarnation: AgentLife,
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
        let message = FormationMessage::Hello(self.hello());
        outputs.push(FormationOutput::Send { to: from, message });
        outputs
    }

    /// Brings whichever side is behind up to the newest record.
    fn answer_heartbeat(&self, from: MemberIndex, known: Incarnation) -> Vec<FormationOutput> {
        let message = match &self.newest {
            Some(record) if record.incarnation > known => {
                FormationMessage::Formed(Arc::clone(record))
            }
            _ if self.known() < known => FormationMessage::Beat(self.known()),
            _ => return Vec::new(),
        };
        vec![FormationOutput::Send { to: from, message }]
    }

    /// The members in turn, so that each is asked in time.
    fn next_heartbeat_target(&mut self) -> MemberIndex {
        let others = self.others();
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
            .is_some_and(|vm| *vm != hello.seat.vm)
        {
            return Vec::new();
        }
        self.hellos.insert(from, hello.clone());
        self.finish_call_if_complete(now)
    }

    /// Goes on once every seat has answered; in a group of one that is at once.
    fn finish_call_if_complete(&mut self, now: TimePoint) -> Vec<FormationOutput> {
        let is_calling = self.state == FormationState::Calling;
        if !is_calling || self.hellos.len() < self.members.iter().count() {
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
        if record.incarnation > self.known() {
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

    /// What a record that was read means to this agent.
    fn classify_stored(&mut self, stored: &StoredRecord) -> FormationEvent {
        self.stored_revision = stored.revision;
        if let Some(record) = &stored.record
            && record.incarnation > self.known()
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
            ChartStep::Unexpected => panic!("{event:?} has no place in {:?}", self.state),
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
                self.hellos.insert(self.index, self.hello());
                self.call_missing_members(outputs);
            }
            FormationAction::RepeatCall => self.call_missing_members(outputs),
            FormationAction::Read => {
                self.call = self.call.next();
                outputs.push(FormationOutput::Read { call: self.call });
            }
            FormationAction::Write => {
                let record = Arc::new(self.draft_record());
                self.draft = Some(Arc::clone(&record));
                self.call = self.call.next();
                outputs.push(FormationOutput::Write {
                    call: self.call,
                    revision: self.stored_revision,
                    record,
                });
            }
            FormationAction::Enter => {
                let record = self.newest.clone().expect("an entered record is known");
                assert!(
                    self.is_assigned(&record),
                    "a record of another life is not entered"
                );
                let last = self.entered.as_ref().map(|entered| entered.incarnation);
                assert!(last < Some(record.incarnation), "incarnations only rise");
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
                    self.unconfirmed = self.others();
                }
                send_all(self.unconfirmed, &FormationMessage::Formed(record), outputs);
            }
            FormationAction::SendBeat => {
                let to = self.next_heartbeat_target();
                let message = FormationMessage::Beat(self.known());
                outputs.push(FormationOutput::Send { to, message });
            }
        }
    }

    fn call_missing_members(&self, outputs: &mut Vec<FormationOutput>) {
        let missing = self
            .others()
            .iter()
            .filter(|member| !self.hellos.contains_key(member));
        outputs.extend(missing.map(|to| FormationOutput::Send {
            to,
            message: FormationMessage::Call {
                life: self.assignment.agent_incarnation,
                known: self.known(),
            },
        }));
    }

    /// The next incarnation with whoever answered, and the newest map among them.
    fn draft_record(&self) -> GroupRecord {
        let newest = self.newest.as_ref();
        let recorded = newest.map(|record| (record.incarnation, &record.map));
        let told = self.hellos.values();
        let maps = told.filter_map(|hello| Some((hello.incarnation, hello.map.as_ref()?)));
        let best = maps
            .chain(recorded)
            .max_by_key(|(incarnation, map)| (*incarnation, map.id()));
        let assignments = self.hellos.values().map(|hello| hello.seat.clone());
        GroupRecord {
            incarnation: self.known().next(),
            writer: self.assignment.agent_incarnation,
            assignments: assignments.collect(),
            map: best.map_or_else(|| Arc::clone(&self.first_map), |(_, map)| Arc::clone(map)),
        }
    }

    fn hello(&self) -> MemberHello {
        let entered = self.entered.as_ref();
        MemberHello {
            seat: self.assignment.clone(),
            incarnation: entered.map_or(Incarnation::default(), |record| record.incarnation),
            map: self.map.clone(),
        }
    }

    /// How long the agent stays in its state before it tries something else.
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

    fn known(&self) -> Incarnation {
        let newest = self.newest.as_ref();
        newest.map_or(Incarnation::default(), |record| record.incarnation)
    }

    fn others(&self) -> MemberSet {
        self.members.difference(MemberSet::only(self.index))
    }

    fn is_assigned(&self, record: &GroupRecord) -> bool {
        record.assignment(self.index) == Some(&self.assignment)
    }
}

fn send_all(to: MemberSet, message: &FormationMessage, outputs: &mut Vec<FormationOutput>) {
    outputs.extend(to.iter().map(|to| FormationOutput::Send {
        to,
        message: message.clone(),
    }));
}
