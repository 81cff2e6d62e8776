//! A fake entry that runs request state machines, and its callers.

use std::collections::BTreeMap;

use celerycrank_types::{BackendId, RequestId, RequestOutcome, RetryReason, TimePoint, TimeSpan};
use rand::Rng;

use super::{
    caller::{CallPlan, CallRule, request_id},
    fault::{AgentIndex, EntryIndex},
    message::{Frame, Message, ModelEvent, Order, OrderBody},
    run::ModelRun,
};
use crate::{
    RequestAction, RequestActions, RequestContext, RequestEvent, RequestMachine, RequestPolicy,
    RetryBudget, consumes_retry_budget,
};

/// Number of accounts in a run.
pub(super) const ACCOUNTS: usize = 2;

/// Maximum wait before a caller sends a request again, in microseconds.
const RESEND_MICROS: u64 = 8_000_000;

/// State of one entry in a run.
#[derive(Debug)]
pub(super) struct EntryNode {
    is_alive: bool,
    /// Requests credited to each retry budget before the run.
    prior_requests: u32,
    requests: BTreeMap<RequestId, LiveRequest>,
    budgets: [RetryBudget; ACCOUNTS],
    /// Retries per account that put load on a backend server and are charged to the budget.
    charged_sends: [u64; ACCOUNTS],
}

/// A request on an entry.
#[derive(Debug)]
struct LiveRequest {
    machine: RequestMachine,
    plan: CallPlan,
    /// Length of the answer's body, in bytes.
    length: u64,
    /// When the request's timer is scheduled to fire.
    wake: Option<TimePoint>,
    /// Whether the next attempt is exempt from the retry budget because of its cause.
    is_budget_exempt: bool,
}

impl EntryNode {
    pub(super) fn new(prior_requests: u32) -> Self {
        let mut budget = RetryBudget::default();
        for _ in 0..prior_requests {
            budget.record_request();
        }
        Self {
            is_alive: true,
            prior_requests,
            requests: BTreeMap::new(),
            budgets: [budget; ACCOUNTS],
            charged_sends: [0; ACCOUNTS],
        }
    }

    /// Counts an attempt if it is a charged retry, and asserts that charged retries are at most a
    /// tenth of the account's requests.
    fn check_retry_ratio(&mut self, account: usize, is_charged: bool) {
        self.charged_sends[account] += u64::from(is_charged);
        assert!(
            self.charged_sends[account] * 10 <= self.budgets[account].requests(),
            "account {account} sent more than 1.1 times its own requests"
        );
    }

    pub(super) fn request_ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    pub(super) fn check_quiescent(&self) {
        for (request, live) in &self.requests {
            assert!(
                live.machine.is_over(),
                "{request} ended the run in state {:?} without an outcome",
                live.machine.state()
            );
        }
    }
}

impl ModelRun<'_> {
    /// Sends a caller's request to the first live entry, as the platform's load balancer does.
    pub(super) fn start_call(&mut self, plan: CallPlan) {
        let count = self.entries.len();
        let Some(index) = (0..count)
            .map(|step| (plan.entry.0 + step) % count)
            .find(|index| self.entries[*index].is_alive)
        else {
            return;
        };
        let entry = EntryIndex(index);
        let request = request_id(self.next_request);
        self.next_request += 1;
        self.report.requests += 1;
        self.checker.accept(request, plan);
        let policy = RequestPolicy::builder()
            .deadline(plan.deadline)
            .repeat(plan.rule.repeat())
            .stall_timeout(TimeSpan::from_secs(2))
            .build();
        let node = &mut self.entries[index];
        let budget = &mut node.budgets[plan.account];
        let (machine, actions) = RequestMachine::start(request, policy, self.now, budget);
        let live = LiveRequest {
            machine,
            plan,
            length: plan.length,
            wake: None,
            is_budget_exempt: false,
        };
        node.requests.insert(request, live);
        if let Some(at) = plan.leaves {
            self.schedule(at, ModelEvent::Leave(entry, request));
        }
        self.perform(entry, request, actions, None);
    }

    /// Delivers an event to a request, if its entry still has it.
    pub(super) fn notify(
        &mut self,
        entry: EntryIndex,
        request: RequestId,
        event: &RequestEvent,
        frame: Option<&Frame>,
    ) {
        let node = &mut self.entries[entry.0];
        let Some(live) = node.requests.get_mut(&request) else {
            return;
        };
        let mut context = RequestContext {
            now: self.now,
            budget: &mut node.budgets[live.plan.account],
            random: &mut self.random,
        };
        let actions = live.machine.handle(event, &mut context);
        let is_retried = actions
            .iter()
            .any(|action| matches!(action, RequestAction::CountRetry(_)));
        match event {
            RequestEvent::Refused(_, reason) if is_retried => {
                live.is_budget_exempt = !consumes_retry_budget(*reason);
            }
            // An attempt charged before the connection failed is not charged again.
            RequestEvent::ConnectFailed(_) => {}
            _ if is_retried => live.is_budget_exempt = false,
            _ => {}
        }
        self.perform(entry, request, actions, frame);
    }

    fn perform(
        &mut self,
        entry: EntryIndex,
        request: RequestId,
        actions: RequestActions,
        frame: Option<&Frame>,
    ) {
        for action in actions {
            self.perform_one(entry, request, action, frame);
        }
        let now = self.now;
        let live = self.live_request(entry, request);
        let wake = live.machine.wake_at().map(|at| at.max(now));
        let planned = live.wake.filter(|at| *at > now);
        live.wake = wake;
        if let Some(at) = wake
            && planned != wake
        {
            self.schedule(
                at,
                ModelEvent::Local(entry, request, RequestEvent::TimerFired),
            );
        }
    }

    fn perform_one(
        &mut self,
        entry: EntryIndex,
        request: RequestId,
        action: RequestAction,
        frame: Option<&Frame>,
    ) {
        match action {
            RequestAction::Choose { avoid } => {
                let event = RequestEvent::Chosen(self.choose(&avoid));
                self.schedule(self.now, ModelEvent::Local(entry, request, event));
            }
            RequestAction::DeliverHead => {
                if let Some(Frame {
                    replayed: Some(status),
                    ..
                }) = frame
                {
                    self.checker.replay(request, *status);
                    self.live_request(entry, request).length = 0;
                }
            }
            RequestAction::Deliver { skip } => {
                let skip = usize::try_from(skip).unwrap_or(usize::MAX);
                let bytes = frame.map_or(&[][..], |frame| &frame.bytes[skip..]);
                self.checker.deliver(request, bytes);
            }
            RequestAction::CountRetry(reason) => match reason {
                RetryReason::StreamResumed => self.report.resumed += 1,
                _ => self.report.retried += 1,
            },
            RequestAction::Report(outcome) => self.report_outcome(entry, request, outcome),
            RequestAction::Connect { .. }
            | RequestAction::Send { .. }
            | RequestAction::Revoke { .. }
            | RequestAction::Resume { .. }
            | RequestAction::Cancel { .. } => self.send_order(entry, request, action),
        }
    }

    /// Sends an action of a request to an agent as an order.
    fn send_order(&mut self, entry: EntryIndex, request: RequestId, action: RequestAction) {
        let plan = self.live_request(entry, request).plan;
        if let RequestAction::Send { attempt, .. } = &action {
            let is_charged =
                attempt.number > 1 && !self.live_request(entry, request).is_budget_exempt;
            self.entries[entry.0].check_retry_ratio(plan.account, is_charged);
            self.live_request(entry, request).is_budget_exempt = false;
        }
        let (backend, body) = match action {
            RequestAction::Connect { link, backend } => (backend, OrderBody::Connect(link)),
            RequestAction::Send {
                link,
                attempt,
                incarnation,
                deadline,
                backend,
            } => {
                let body = OrderBody::Send {
                    link,
                    attempt,
                    incarnation,
                    deadline,
                    plan,
                };
                (backend, body)
            }
            RequestAction::Revoke {
                attempt,
                backend,
                incarnation,
                deadline,
            } => {
                let body = OrderBody::Revoke {
                    attempt,
                    incarnation,
                    deadline,
                };
                (backend, body)
            }
            RequestAction::Resume {
                link,
                attempt,
                backend,
                incarnation,
                offset,
            } => {
                let body = OrderBody::Resume {
                    link,
                    attempt,
                    incarnation,
                    offset,
                };
                (backend, body)
            }
            RequestAction::Cancel { attempt, backend } => (backend, OrderBody::Cancel(attempt)),
            _ => return,
        };
        let order = Order {
            entry,
            request,
            body,
        };
        self.send(Message::ToAgent(agent_of(&backend), order));
    }

    fn choose(&mut self, avoid: &[BackendId]) -> BackendId {
        let agents = (0..self.agents.len()).map(|index| backend_of(AgentIndex(index)));
        let all = agents.collect::<Vec<_>>();
        let untried = all
            .iter()
            .filter(|backend| !avoid.contains(backend))
            .cloned()
            .collect::<Vec<_>>();
        let choices = if untried.is_empty() { all } else { untried };
        choices[self.random.random_range(0..choices.len())].clone()
    }

    fn report_outcome(&mut self, entry: EntryIndex, request: RequestId, outcome: RequestOutcome) {
        self.trace_line(&format!("{request} caller is told {outcome:?}"));
        let live = self.live_request(entry, request);
        let (plan, length, attempts) = (live.plan, live.length, live.machine.attempts());
        self.report.sends += u64::from(attempts);
        self.checker.report(request, outcome, length);
        self.report.count(outcome);
        if outcome != RequestOutcome::Answered {
            self.schedule_resend(plan);
        }
    }

    /// Schedules that the caller of a keyed call sends it again, to a random entry.
    fn schedule_resend(&mut self, plan: CallPlan) {
        if plan.resends == 0 || !matches!(plan.rule, CallRule::Keyed(_)) {
            return;
        }
        let at = self.now + TimeSpan(self.random.random_range(0..RESEND_MICROS));
        let entry = EntryIndex(self.random.random_range(0..self.entries.len()));
        let again = CallPlan {
            at,
            entry,
            resends: plan.resends - 1,
            leaves: None,
            ..plan
        };
        self.schedule(at, ModelEvent::Call(again));
    }

    /// Kills the entry's process, which breaks its callers' connections.
    pub(super) fn kill_entry(&mut self, entry: EntryIndex, span: TimeSpan) {
        let node = &mut self.entries[entry.0];
        node.is_alive = false;
        let dropped = std::mem::take(&mut node.requests);
        for live in dropped.into_values() {
            if !live.machine.is_over() {
                self.report.dropped += 1;
                self.schedule_resend(live.plan);
            }
        }
        self.schedule(self.now + span, ModelEvent::RestartEntry(entry));
    }

    pub(super) fn restart_entry(&mut self, entry: EntryIndex) {
        let prior_requests = self.entries[entry.0].prior_requests;
        self.entries[entry.0] = EntryNode::new(prior_requests);
    }

    fn live_request(&mut self, entry: EntryIndex, request: RequestId) -> &mut LiveRequest {
        self.entries[entry.0]
            .requests
            .get_mut(&request)
            .expect("a request with actions exists on its entry")
    }
}

/// Returns the backend server of an agent.
pub(super) fn backend_of(agent: AgentIndex) -> BackendId {
    format!("b{}", agent.0)
        .parse()
        .expect("the name of a fake backend server is a valid ID")
}

fn agent_of(backend: &BackendId) -> AgentIndex {
    let digits = backend.as_str().trim_start_matches('b');
    AgentIndex(
        digits
            .parse()
            .expect("the name of a fake backend server contains its number"),
    )
}

/// Returns the time of a key as simulated Unix time in seconds.
pub(super) fn key_seconds(at: TimePoint) -> u64 {
    const UNIX_ORIGIN_SECONDS: u64 = 1_700_000_000;
    UNIX_ORIGIN_SECONDS + at.0 / 1_000_000
}
