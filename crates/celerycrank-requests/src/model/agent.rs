//! A fake agent, built around the real ledgers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use celerycrank_types::{Incarnation, RefusalReason, RequestId, TimePoint, TimeSpan};
use rand::Rng;

use super::{
    caller::{CallPlan, CallRule},
    claims::call_key,
    fault::{AgentIndex, EntryIndex},
    message::{Message, ModelEvent, Order, OrderBody},
    run::ModelRun,
};
use crate::{
    AttemptAction, AttemptActions, AttemptEvent, AttemptId, AttemptLedger, AttemptLedgerSettings,
    CallKind, CallStatus, ClaimLayout, ClaimLedger, ClaimOrder, ClaimSettings, ClaimantId,
    LinkNumber, PeerClock, RequestDigest, RequestEvent,
};

/// Number of requests that a backend server processes concurrently.
const CONCURRENCY: usize = 3;

/// Maximum number of requests queued at an agent.
const QUEUE_LIMIT: usize = 6;

/// Capacity of an agent's attempt ledger; small, so that runs reach the limit.
const LEDGER_CAPACITY: usize = 24;

/// Retention of finished attempts; short, so that runs reach the limit.
const LEDGER_RETENTION: TimeSpan = TimeSpan::from_secs(3);

/// Timeout of a claim.
const MODEL_CLAIM_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_200);

/// Initial value of the agents' clocks, which leaves room to set them back.
const CLOCK_ORIGIN: TimeSpan = TimeSpan::from_secs(1_000);

/// State of one agent in a run.
#[derive(Debug)]
pub(super) struct AgentNode {
    pub(super) is_alive: bool,
    /// Whether the backend server accepts no new work.
    pub(super) is_leaving: bool,
    pub(super) frozen_until: TimePoint,
    /// Messages that arrived while the process was frozen, in order.
    pub(super) inbox: Vec<Message>,
    pub(super) clock_forward: TimeSpan,
    pub(super) clock_back: TimeSpan,
    pub(super) ledger: AttemptLedger,
    pub(super) claims: ClaimLedger,
    pub(super) jobs: BTreeMap<AttemptId, AgentJob>,
    pub(super) queue: VecDeque<AttemptId>,
    pub(super) running: usize,
    /// Claimants whose calls were not started and never will be.
    pub(super) unstarted_claimants: BTreeSet<ClaimantId>,
}

/// State of one attempt on an agent.
#[derive(Debug, Clone, Copy)]
pub(super) struct AgentJob {
    pub(super) entry: EntryIndex,
    pub(super) request: RequestId,
    pub(super) link: LinkNumber,
    pub(super) plan: CallPlan,
    pub(super) claimant: ClaimantId,
    pub(super) has_head: bool,
    /// Number of answer bytes that the agent has received.
    pub(super) produced: u64,
    pub(super) has_end: bool,
    pub(super) is_broken: bool,
    pub(super) replayed: Option<CallStatus>,
}

impl AgentNode {
    pub(super) fn new<R: Rng>(index: u64, incarnation: u64, random: &mut R) -> Self {
        let layout = ClaimLayout::builder()
            .shards(2)
            .bucket(TimeSpan::from_secs(1))
            .bucket_count(6)
            .build();
        let settings = ClaimSettings::builder().layout(layout).build();
        let start = AttemptLedgerSettings {
            capacity: LEDGER_CAPACITY,
            retention: LEDGER_RETENTION,
        };
        Self {
            is_alive: true,
            is_leaving: false,
            frozen_until: TimePoint::default(),
            inbox: Vec::new(),
            clock_forward: TimeSpan(index * 1_000_000),
            clock_back: TimeSpan::ZERO,
            ledger: AttemptLedger::new(Incarnation(incarnation), start),
            claims: ClaimLedger::new(settings, random.random()),
            jobs: BTreeMap::new(),
            queue: VecDeque::new(),
            running: 0,
            unstarted_claimants: BTreeSet::new(),
        }
    }

    pub(super) fn shift_clock(&mut self, span: TimeSpan, is_forward: bool) {
        let total = if is_forward {
            &mut self.clock_forward
        } else {
            &mut self.clock_back
        };
        *total = *total + span;
    }

    /// Asserts that no claim command waits and that no call that will never start is claimed.
    pub(super) fn check_quiescent(&self, open: &[ClaimantId]) {
        assert!(
            self.claims.waiting() == 0,
            "the run ended while claim commands were waiting"
        );
        for claimant in &self.unstarted_claimants {
            assert!(
                !open.contains(claimant),
                "the claim of a call that will never start was not released"
            );
        }
    }

    /// Returns the agent's clock at a logical time.
    pub(super) fn clock(&self, now: TimePoint) -> TimePoint {
        now + CLOCK_ORIGIN + self.clock_forward - self.clock_back
    }

    /// Returns the logical time at which the agent's clock, at its current offset, reaches a point.
    pub(super) fn model_time(&self, point: TimePoint) -> TimePoint {
        point + self.clock_back - self.clock_forward - CLOCK_ORIGIN
    }
}

impl ModelRun<'_> {
    /// Handles an entry's order on a running agent.
    pub(super) fn handle_order(&mut self, agent: AgentIndex, order: Order) {
        let Order {
            entry,
            request,
            body,
        } = order;
        match body {
            OrderBody::Connect(link) => self.answer_connect(agent, entry, request, link),
            OrderBody::Send {
                link,
                attempt,
                incarnation,
                deadline,
                plan,
            } => {
                let claimant = ClaimantId::from(self.random.random::<u64>());
                let job = AgentJob {
                    entry,
                    request,
                    link,
                    plan,
                    claimant,
                    has_head: false,
                    produced: 0,
                    has_end: false,
                    is_broken: false,
                    replayed: None,
                };
                let node = &mut self.agents[agent.0];
                node.jobs.entry(attempt).or_insert(job);
                let call = match plan.rule {
                    CallRule::Keyed(_) => CallKind::Keyed,
                    CallRule::Once | CallRule::Repeatable => CallKind::Plain,
                };
                let event = AttemptEvent::Arrived {
                    incarnation,
                    deadline,
                    call,
                };
                self.handle_attempt_event(agent, attempt, event, Some((entry, request, link)));
            }
            OrderBody::Revoke {
                attempt,
                incarnation,
                deadline,
            } => {
                let event = AttemptEvent::Revoked {
                    incarnation,
                    deadline,
                };
                let to = (entry, request, LinkNumber::default());
                self.handle_attempt_event(agent, attempt, event, Some(to));
            }
            OrderBody::Resume {
                link,
                attempt,
                incarnation,
                offset,
            } => self.resume(agent, (entry, request, link), attempt, incarnation, offset),
            OrderBody::Cancel(attempt) => {
                self.handle_attempt_event(agent, attempt, AttemptEvent::Cancelled, None);
            }
        }
    }

    fn answer_connect(
        &mut self,
        agent: AgentIndex,
        entry: EntryIndex,
        request: RequestId,
        link: LinkNumber,
    ) {
        let node = &self.agents[agent.0];
        let clock = PeerClock::new(node.clock(self.now), self.now);
        let event = RequestEvent::Connected {
            link,
            incarnation: node.ledger.incarnation(),
            clock,
        };
        self.send_frame((entry, request, link), event, Vec::new(), None);
    }

    /// Passes an event to the attempt ledger and carries out the resulting actions.
    pub(super) fn handle_attempt_event(
        &mut self,
        agent: AgentIndex,
        attempt: AttemptId,
        event: AttemptEvent,
        to: Option<(EntryIndex, RequestId, LinkNumber)>,
    ) {
        let node = &mut self.agents[agent.0];
        let now = node.clock(self.now);
        let actions = node.ledger.handle(attempt, event, now);
        self.perform_actions(agent, attempt, actions, to);
    }

    fn perform_actions(
        &mut self,
        agent: AgentIndex,
        attempt: AttemptId,
        actions: AttemptActions,
        to: Option<(EntryIndex, RequestId, LinkNumber)>,
    ) {
        let job = self.agents[agent.0].jobs.get(&attempt).copied();
        let Some(to) = to.or(job.map(|job| (job.entry, job.request, job.link))) else {
            return;
        };
        for action in actions {
            match action {
                AttemptAction::Refuse(reason) => {
                    self.send_frame(to, RequestEvent::Refused(attempt, reason), Vec::new(), None);
                }
                AttemptAction::TellUnproved(reason) => {
                    self.send_frame(
                        to,
                        RequestEvent::Unproved(attempt, reason),
                        Vec::new(),
                        None,
                    );
                }
                AttemptAction::Answer(answer) => {
                    let event = RequestEvent::RevokeAnswered(attempt, answer);
                    self.send_frame(to, event, Vec::new(), None);
                }
                AttemptAction::Cancel => {}
                other => {
                    if let Some(job) = job {
                        self.perform_job_action(agent, attempt, job, other);
                    }
                }
            }
        }
    }

    fn perform_job_action(
        &mut self,
        agent: AgentIndex,
        attempt: AttemptId,
        job: AgentJob,
        action: AttemptAction,
    ) {
        let node = &mut self.agents[agent.0];
        let now = node.clock(self.now);
        let outputs = match action {
            AttemptAction::Queue => {
                self.enqueue(agent, attempt);
                return;
            }
            AttemptAction::Start => {
                self.start_backend(agent, attempt, job);
                return;
            }
            AttemptAction::Replay(status) => {
                self.replay(agent, attempt, job, status);
                return;
            }
            AttemptAction::Claim => {
                let order = ClaimOrder::builder()
                    .key(call_key(&job.plan))
                    .request(RequestDigest::of("POST", "/bids", &[]))
                    .claimant(job.claimant)
                    .deadline(now + MODEL_CLAIM_TIMEOUT)
                    .build();
                node.claims.claim(order, now)
            }
            AttemptAction::ReleaseClaim => {
                node.unstarted_claimants.insert(job.claimant);
                node.claims.release(call_key(&job.plan), job.claimant, now)
            }
            AttemptAction::RecordClaim(status) => {
                node.claims
                    .record_status(call_key(&job.plan), job.claimant, status, now)
            }
            _ => return,
        };
        self.handle_claim_outputs(agent, outputs);
    }

    fn enqueue(&mut self, agent: AgentIndex, attempt: AttemptId) {
        let node = &mut self.agents[agent.0];
        let refusal = if node.is_leaving {
            Some(RefusalReason::BackendLeaving)
        } else {
            (node.queue.len() >= QUEUE_LIMIT).then_some(RefusalReason::QueueFull)
        };
        if let Some(reason) = refusal {
            self.handle_attempt_event(agent, attempt, AttemptEvent::AdmissionRefused(reason), None);
            return;
        }
        node.queue.push_back(attempt);
        self.start_queued(agent);
    }

    /// Starts queued attempts while the backend server has free slots.
    pub(super) fn start_queued(&mut self, agent: AgentIndex) {
        while self.agents[agent.0].running < CONCURRENCY {
            let Some(attempt) = self.agents[agent.0].queue.pop_front() else {
                return;
            };
            self.handle_attempt_event(agent, attempt, AttemptEvent::SlotFree, None);
        }
    }

    /// Kills the agent's process; its backend server keeps running.
    pub(super) fn kill_agent(&mut self, agent: AgentIndex, span: TimeSpan) {
        self.agents[agent.0].is_alive = false;
        let jobs = std::mem::take(&mut self.agents[agent.0].jobs);
        for job in jobs.into_values() {
            self.plan_link_lost(job.entry, job.request, job.link);
        }
        self.schedule(self.now + span, ModelEvent::RestartAgent(agent));
    }

    pub(super) fn restart_agent(&mut self, agent: AgentIndex) {
        let old = &self.agents[agent.0];
        if old.is_alive {
            return;
        }
        let incarnation = old.ledger.incarnation().next().0;
        let index = agent.0 as u64;
        self.agents[agent.0] = AgentNode::new(index, incarnation, &mut self.random);
    }
}
