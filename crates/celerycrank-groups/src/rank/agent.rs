//! The logic of one agent: the member for its rank and, for the first rank, the leader.

use std::sync::Arc;

use celerycrank_types::{TimePoint, TimeSpan};

use crate::{
    AgentIncarnation, ExpertMap, GroupEpoch, MapShape, MapVersion, MemberIndex, MemberSet,
    OrderAnswer, RankAction, RankAttemptId, RankExpertLists, RankLeader, RankMember, RankMessage,
    RankOrder, RankOutput, RankOutputs, RankPlace, RankReport, RankTimes, WeightCopy,
    rank::{
        liveness::PeerLiveness,
        map_exchange::MapExchange,
        map_tracker::MapTracker,
        version::{MapPurpose, version_above},
    },
};

/// Time after which the same order is sent again.
const ORDER_RETRY_INTERVAL: TimeSpan = TimeSpan::from_millis(50);

/// The age up to which a report counts as fresh.
const MAX_FRESH_AGE: TimeSpan = TimeSpan::from_millis(15);

/// Interval at which the leader asks for missing expert lists.
const LISTS_RETRY_INTERVAL: TimeSpan = TimeSpan::from_millis(300);

/// The part of the agent that gave the pending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderSource {
    Leader,
    Member,
}

/// The logic of the agent that controls one rank.
#[derive(Debug, Clone)]
pub struct RankAgent {
    incarnation: AgentIncarnation,
    times: RankTimes,
    report: Option<(RankReport, TimePoint)>,
    member: RankMember,
    /// Invariant: present if and only if the agent controls the first rank.
    leader: Option<RankLeader>,
    /// The order that has no answer yet, or after whose answer no report has been read.
    pending: Option<(OrderSource, RankOrder)>,
    is_answered: bool,
    /// The last reply that was sent to the leader.
    last_reply: Option<RankMessage>,
    /// The leader's query for the armed switch, until a report has been read after it.
    armed_query: Option<RankAttemptId>,
    /// The last order, and when it was sent.
    last_order: Option<(RankAction, TimePoint)>,
    liveness: PeerLiveness,
    /// The active map, for the leader.
    map_tracker: MapTracker,
    map_exchange: MapExchange,
    lists_retry_at: TimePoint,
    highest: MapVersion,
}

impl RankAgent {
    /// Creates an agent without any knowledge; later incarnations for the same rank have higher
    /// numbers.
    #[must_use]
    pub fn new(incarnation: AgentIncarnation, times: RankTimes) -> Self {
        Self {
            incarnation,
            times,
            report: None,
            member: RankMember::default(),
            leader: None,
            pending: None,
            is_answered: false,
            last_reply: None,
            armed_query: None,
            last_order: None,
            liveness: PeerLiveness::default(),
            map_tracker: MapTracker::default(),
            map_exchange: MapExchange::default(),
            lists_retry_at: TimePoint(0),
            highest: MapVersion(0),
        }
    }

    /// The place of the agent's rank, if it is known.
    #[must_use]
    pub fn place(&self) -> Option<&RankPlace> {
        self.report.as_ref()?.0.place.as_ref()
    }

    /// The own rank's last report.
    #[must_use]
    pub fn report(&self) -> Option<&RankReport> {
        self.report.as_ref().map(|(report, _)| report)
    }

    /// Whether the agent leads its group.
    #[must_use]
    pub const fn is_lead(&self) -> bool {
        self.leader.is_some()
    }

    /// The active map, if this agent is the leader and knows it.
    #[must_use]
    pub const fn map(&self) -> Option<&Arc<ExpertMap>> {
        self.map_tracker.map()
    }

    /// Whether the agent waits for its rank, so that reports are to be read more often.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        let is_leading = self.leader.as_ref().is_some_and(RankLeader::is_under_way);
        let report = self.report();
        is_leading || report.is_some_and(|report| self.member.is_under_way(report))
    }

    /// Whether the group has reached the step before which the own rank holds it.
    #[must_use]
    pub fn is_group_waiting(&self) -> bool {
        let report = self.report();
        report.is_some_and(|report| report.held.is_some_and(|held| held <= report.step.next()))
    }

    /// The message that announces to the other agents the rank that this agent controls.
    #[must_use]
    pub fn hello(&self) -> Option<RankMessage> {
        let place = self.place()?;
        Some(RankMessage::Hello {
            group: place.group.clone(),
            epoch: place.epoch,
            rank: place.rank,
            incarnation: self.incarnation,
            highest: self.highest,
        })
    }

    /// Whether the leader can begin an attempt now: the group serves requests, every agent is
    /// reachable, and no attempt is in progress.
    #[must_use]
    pub fn can_propose(&self, now: TimePoint) -> bool {
        let (Some(leader), Some((report, _))) = (&self.leader, &self.report) else {
            return false;
        };
        let is_open = report.place.as_ref().is_some_and(|place| place.is_open);
        let is_in_use = |map: &Arc<ExpertMap>| map.version() == report.map;
        let is_map_known = self.map().is_some_and(is_in_use);
        let is_idle = self.pending.is_none() && leader.is_free(now, report);
        is_open && is_map_known && is_idle && self.are_all_reachable(now)
    }

    /// Begins an attempt to apply these changes to the active map.
    ///
    /// `draw` is a random number from which the version of the new map is derived.
    pub fn propose(&mut self, changes: &[WeightCopy], draw: u64, now: TimePoint) -> RankOutputs {
        let mut outputs = RankOutputs::new();
        let (Some(map), Some(epoch)) = (self.map().cloned(), self.epoch()) else {
            return outputs;
        };
        if let Some(leader) = &mut self.leader {
            let version = leader.version_after(self.highest, draw);
            let next = Arc::new(map.successor(changes).with_version(version));
            self.highest = version;
            let (message, event) = leader.begin(next, epoch, now);
            outputs.push(RankOutput::Event(event));
            self.send_map(&self.all_ranks(), &message, now, &mut outputs);
        }
        self.advance(now, &mut outputs);
        outputs
    }

    /// Handles a report of the own rank.
    pub fn on_report(&mut self, report: RankReport, now: TimePoint) -> RankOutputs {
        let mut outputs = RankOutputs::new();
        if self.is_new_epoch(&report) {
            self.begin_epoch(&report, now);
        }
        self.member.observe(&report);
        self.highest = self.highest.max(self.member.highest());
        if self.is_answered {
            self.pending = None;
            self.is_answered = false;
        }
        let armed = report.armed;
        self.report = Some((report, now));
        self.track_map();
        if self.pending.is_none()
            && let Some(attempt) = self.armed_query.take()
        {
            let state = RankMessage::ArmedState { attempt, armed };
            self.send_leader(&state, now, &mut outputs);
        }
        self.advance(now, &mut outputs);
        outputs
    }

    /// Handles the answer to the last order.
    pub fn on_answer(&mut self, answer: OrderAnswer, now: TimePoint) -> RankOutputs {
        let mut outputs = RankOutputs::new();
        if let Some((source, _)) = &self.pending {
            match source {
                OrderSource::Member => self.member.on_answer(answer),
                OrderSource::Leader => {
                    let leader = self.leader.as_mut();
                    let event = leader.and_then(|leader| leader.on_answer(answer, now));
                    outputs.extend(event.map(RankOutput::Event));
                }
            }
        }
        self.is_answered = true;
        outputs.push(RankOutput::ReadReport);
        outputs
    }

    /// Handles a message from the agent of another rank of the group.
    pub fn on_message(
        &mut self,
        from: MemberIndex,
        message: &RankMessage,
        now: TimePoint,
    ) -> RankOutputs {
        let mut outputs = RankOutputs::new();
        if !self.liveness.record(from, message, now) {
            return outputs;
        }
        self.handle_message(from, message, now, &mut outputs);
        self.advance(now, &mut outputs);
        outputs
    }

    /// Handles the own rank's expert lists, for which the leader has asked.
    pub fn on_lists(&mut self, lists: RankExpertLists, now: TimePoint) -> RankOutputs {
        let mut outputs = RankOutputs::new();
        let message = RankMessage::Lists(lists);
        self.send_leader(&message, now, &mut outputs);
        outputs
    }

    /// Assembles the active map from the lists of all ranks, once all are known.
    pub fn assemble_map(&mut self, shape: MapShape) {
        let version = self.report().map(|report| report.map);
        if let (Some(version), true) = (version, self.is_lead()) {
            self.map_tracker.assemble(version, shape);
        }
    }

    fn handle_message(
        &mut self,
        from: MemberIndex,
        message: &RankMessage,
        now: TimePoint,
        outputs: &mut RankOutputs,
    ) {
        match message {
            RankMessage::Hello { highest, .. } | RankMessage::Failed { highest, .. } => {
                self.highest = self.highest.max(*highest);
            }
            RankMessage::Prepare { epoch, .. }
            | RankMessage::Clear { epoch, .. }
            | RankMessage::PrepareDelta { epoch, .. }
            | RankMessage::ClearDelta { epoch, .. }
                if Some(*epoch) != self.epoch() =>
            {
                return;
            }
            RankMessage::PrepareDelta { attempt, .. } if self.member.is_known(*attempt) => {}
            RankMessage::PrepareDelta { attempt, delta, .. }
            | RankMessage::ClearDelta { attempt, delta, .. } => {
                let Some(map) = self.map_exchange.derive(delta) else {
                    let attempt = *attempt;
                    self.send_leader(&RankMessage::UnknownBase { attempt }, now, outputs);
                    return;
                };
                let message = message.clone().with_map(map);
                self.handle_message(from, &message, now, outputs);
                return;
            }
            RankMessage::Prepare { map, .. } | RankMessage::Clear { map, .. } => {
                let active = self.report().map(|report| report.map);
                self.map_exchange.insert(map, active.unwrap_or_default());
            }
            RankMessage::UnknownBase { attempt } => {
                self.map_exchange.note_unknown_base(from, *attempt, now);
            }
            RankMessage::AskArmed { attempt } => {
                // Only a report that is read after the query shows the current state.
                self.armed_query = Some(*attempt);
                outputs.push(RankOutput::ReadReport);
            }
            RankMessage::AskLists => outputs.push(RankOutput::ReadLists),
            RankMessage::Lists(lists) => {
                self.map_tracker.record_lists(from, lists);
            }
            _ => {}
        }
        if from == MemberIndex(0) {
            // A leader that asks again has not received the last reply.
            self.last_reply = None;
            if self.report.is_some() {
                self.member.on_message(message);
            }
        }
        if let Some(leader) = &mut self.leader {
            let event = leader.on_message(from, message, now);
            outputs.extend(event.map(RankOutput::Event));
        }
    }

    /// Replies, resends unanswered messages, and sends the next order.
    fn advance(&mut self, now: TimePoint, outputs: &mut RankOutputs) {
        let Some(epoch) = self.epoch() else {
            return;
        };
        self.reply(now, outputs);
        if let (Some(leader), Some((report, _))) = (&mut self.leader, &self.report) {
            let event = leader.observe(report, now);
            outputs.extend(event.map(RankOutput::Event));
        }
        let version = version_above(self.highest, MapPurpose::Invalidate);
        let in_use = self.map_tracker.map();
        let invalidating_map = || in_use.map(|map| Arc::new(map.with_version(version)));
        let leader = self.leader.as_mut();
        let resent = leader.and_then(|leader| leader.resend(epoch, invalidating_map, now));
        if let Some((targets, message)) = resent {
            self.send_map(&targets, &message, now, outputs);
            self.reply(now, outputs);
        }
        if let Some((ranks, message)) = self.map_exchange.take_due(now) {
            self.send_others(&ranks, message, outputs);
        }
        self.ask_lists(now, outputs);
        self.send_order(epoch, now, outputs);
    }

    fn send_order(&mut self, epoch: GroupEpoch, now: TimePoint, outputs: &mut RankOutputs) {
        let Some((report, read_at)) = &self.report else {
            return;
        };
        if self.pending.is_some() {
            return;
        }
        let needs_fresh = self
            .leader
            .as_ref()
            .is_some_and(RankLeader::needs_fresh_report);
        if needs_fresh && now.since(*read_at) > MAX_FRESH_AGE {
            outputs.push(RankOutput::ReadReport);
            return;
        }
        let leader_action = self
            .leader
            .as_mut()
            .and_then(|leader| leader.next_action(report));
        let (source, action) = if let Some(action) = leader_action {
            (OrderSource::Leader, action)
        } else if let Some(action) = self.member.next_action(report) {
            (OrderSource::Member, action)
        } else {
            return;
        };
        let was_just_sent = self
            .last_order
            .as_ref()
            .is_some_and(|(last, at)| *last == action && now.since(*at) < ORDER_RETRY_INTERVAL);
        if was_just_sent {
            return;
        }
        self.last_order = Some((action.clone(), now));
        if let RankAction::Prepare(map) = &action {
            self.highest = self.highest.max(map.version());
        }
        let order = RankOrder {
            action,
            epoch,
            expected: report.sequence,
        };
        self.pending = Some((source, order.clone()));
        self.is_answered = false;
        outputs.push(RankOutput::Order(order));
    }

    fn reply(&mut self, now: TimePoint, outputs: &mut RankOutputs) {
        // Only a report that is read after the answer shows the effect of an order.
        let Some((report, _)) = &self.report else {
            return;
        };
        if self.pending.is_some() {
            return;
        }
        let reply = self.member.reply(report);
        if reply == self.last_reply {
            return;
        }
        self.last_reply.clone_from(&reply);
        if let Some(reply) = reply {
            self.send_leader(&reply, now, outputs);
        }
    }

    fn ask_lists(&mut self, now: TimePoint, outputs: &mut RankOutputs) {
        let is_unknown = self.leader.is_some() && self.map().is_none();
        if !is_unknown || now < self.lists_retry_at {
            return;
        }
        self.lists_retry_at = now + LISTS_RETRY_INTERVAL;
        let active = self.report().map(|report| report.map);
        let unknown = self
            .map_tracker
            .ranks_without_lists(active.unwrap_or_default());
        self.send(&unknown, &RankMessage::AskLists, now, outputs);
    }

    fn all_ranks(&self) -> MemberSet {
        let size = self.place().map_or(0, |place| usize::from(place.size));
        MemberSet::first_n(size)
    }

    fn send_leader(&mut self, message: &RankMessage, now: TimePoint, outputs: &mut RankOutputs) {
        let leader = MemberSet::only(MemberIndex(0));
        self.send(&leader, message, now, outputs);
    }

    /// Sends a message of the leader; a map that it carries goes to other ranks as its difference
    /// from the active map.
    fn send_map(
        &mut self,
        targets: &MemberSet,
        message: &RankMessage,
        now: TimePoint,
        outputs: &mut RankOutputs,
    ) {
        let active = self.map_tracker.map();
        let sent = self.map_exchange.outgoing(message, active);
        self.send_others(targets, sent, outputs);
        self.send_own(targets, message, now, outputs);
    }

    /// Sends a message; one to the own rank is handled immediately.
    fn send(
        &mut self,
        targets: &MemberSet,
        message: &RankMessage,
        now: TimePoint,
        outputs: &mut RankOutputs,
    ) {
        self.send_others(targets, message.clone(), outputs);
        self.send_own(targets, message, now, outputs);
    }

    fn send_others(&self, targets: &MemberSet, message: RankMessage, outputs: &mut RankOutputs) {
        let own = self.place().map(|place| MemberSet::only(place.rank));
        let others = targets.difference(&own.unwrap_or_default());
        if !others.is_empty() {
            outputs.push(RankOutput::Send(others, message));
        }
    }

    fn send_own(
        &mut self,
        targets: &MemberSet,
        message: &RankMessage,
        now: TimePoint,
        outputs: &mut RankOutputs,
    ) {
        let own = self.place().map(|place| place.rank);
        if let Some(own) = own.filter(|own| targets.contains(*own)) {
            self.handle_message(own, message, now, outputs);
        }
    }

    fn epoch(&self) -> Option<GroupEpoch> {
        self.place().map(|place| place.epoch)
    }

    /// The ranks whose agents have not sent a message recently; none before the own rank is known.
    #[must_use]
    pub fn unreachable_ranks(&self, now: TimePoint) -> MemberSet {
        let mut ranks = MemberSet::default();
        if let Some(place) = self.place() {
            for rank in self.liveness.unreachable(place.rank, now) {
                ranks.insert(rank);
            }
        }
        ranks
    }

    /// Whether the agents of all other ranks have sent a message recently.
    #[must_use]
    pub fn are_all_reachable(&self, now: TimePoint) -> bool {
        let own = self.place().map(|place| place.rank);
        own.is_some_and(|own| self.liveness.are_all_reachable(own, now))
    }

    fn is_new_epoch(&self, report: &RankReport) -> bool {
        self.report().is_none_or(|known| {
            let identity = |it: &RankReport| {
                let place = it.place.as_ref();
                place.map(|place| (place.group.clone(), place.epoch, place.rank, place.size))
            };
            known.incarnation != report.incarnation || identity(known) != identity(report)
        })
    }

    fn begin_epoch(&mut self, report: &RankReport, now: TimePoint) {
        self.member.reset();
        self.pending = None;
        self.is_answered = false;
        self.last_reply = None;
        self.armed_query = None;
        self.last_order = None;
        let place = report.place.as_ref();
        let size = place.map_or(0, |place| usize::from(place.size));
        self.liveness.resize(size);
        self.map_tracker.reset(size);
        self.map_exchange = MapExchange::default();
        let leader_place = place.filter(|place| place.rank == MemberIndex(0));
        match (leader_place, &mut self.leader) {
            (None, _) => self.leader = None,
            (Some(_), Some(leader)) => leader.reset(now),
            (Some(place), leader @ None) => {
                *leader = Some(RankLeader::new(
                    self.incarnation,
                    place.size,
                    self.times,
                    now,
                ));
            }
        }
    }

    /// Records the version of the active map.
    fn track_map(&mut self) {
        let version = self.report().map(|report| report.map);
        let next = self.leader.as_ref().and_then(RankLeader::next_map);
        if let Some(version) = version {
            self.map_tracker.set_version(version, next);
        }
    }
}
