//! The memory and the connections of callers, as [`CallerBudget`] decides about them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt,
    net::IpAddr,
    rc::Rc,
};

use actix_rt::time::timeout;
use celerycrank_config::DirectEntrySettings;
use celerycrank_process::{ShutdownFlag, descriptor_limit};
use celerycrank_serving::{
    BudgetBounds, CallerBudget, ConnectionNumber, EndReason, EndedConnection, STOPPED_TIMEOUT,
    SpaceDecision,
};
use celerycrank_types::{RefusalReason, TimePoint, TimeSpan};

use tokio::sync::Notify;

use super::state::EntryState;

/// Minimum interval between two log lines about requests that give way.
const LOG_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// The limit of descriptors that is assumed if the system does not report it.
const DEFAULT_DESCRIPTOR_LIMIT: u64 = 1_024;

/// The memory and the connections of all callers.
pub(crate) struct SpaceLedger {
    budget: RefCell<CallerBudget>,
    /// By connection, the flag that ends it.
    ends: RefCell<HashMap<ConnectionNumber, ShutdownFlag>>,
    /// Wakes answers that wait for memory.
    released: Notify,
    /// Whether an idle connection was ended since this was last asked.
    has_ended_idle: Cell<bool>,
    /// When the last log line was written.
    logged_at: Cell<Option<TimePoint>>,
    /// The number of connections that ended without a log line.
    unlogged: Cell<u64>,
}

impl SpaceLedger {
    pub(crate) fn new(settings: &DirectEntrySettings) -> Self {
        Self {
            budget: RefCell::new(CallerBudget::new(read_bounds(settings))),
            ends: RefCell::default(),
            released: Notify::new(),
            has_ended_idle: Cell::new(false),
            logged_at: Cell::new(None),
            unlogged: Cell::new(0),
        }
    }

    /// Whether an idle connection was ended since this was last called.
    ///
    /// Its task closes it when it runs next.
    pub(crate) fn take_ended_idle(&self) -> bool {
        self.has_ended_idle.replace(false)
    }

    /// Applies settings that were read again.
    pub(crate) fn reload(&self, settings: &DirectEntrySettings) {
        self.budget.borrow_mut().set_bounds(read_bounds(settings));
    }
}

fn read_bounds(settings: &DirectEntrySettings) -> BudgetBounds {
    let limit = descriptor_limit().unwrap_or_else(|error| {
        tracing::warn!(fault = %error, "cannot read the limit of descriptors");
        DEFAULT_DESCRIPTOR_LIMIT
    });
    BudgetBounds::new(settings.memory, limit)
}

/// What one connection holds; released when dropped.
pub(crate) struct CallerSpace {
    state: Rc<EntryState>,
    number: ConnectionNumber,
    end: ShutdownFlag,
    /// The bytes held by the current request and the read buffer.
    request: Cell<u64>,
    /// The bytes held by the buffered answer.
    answer: Cell<u64>,
}

impl fmt::Debug for CallerSpace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerSpace").finish_non_exhaustive()
    }
}

impl CallerSpace {
    /// Admits a new connection; `None` if there are too many.
    pub(crate) fn open(state: &Rc<EntryState>, address: IpAddr) -> Option<Rc<Self>> {
        let now = state.clock.now();
        let opened = state.space.budget.borrow_mut().open(address, now);
        let Ok((number, ended)) = opened else {
            state.metrics.callers.connections_refused.inc();
            log_pressure(state, "connection refused");
            return None;
        };
        let end = ShutdownFlag::default();
        state.space.ends.borrow_mut().insert(number, end.clone());
        end_connections(state, ended);
        Some(Rc::new(Self {
            state: Rc::clone(state),
            number,
            end,
            request: Cell::new(0),
            answer: Cell::new(0),
        }))
    }

    /// The flag that is raised when the connection has to end.
    pub(crate) fn end_flag(&self) -> ShutdownFlag {
        self.end.clone()
    }

    /// Records that the connection is idle and holds nothing.
    pub(crate) fn rest(&self) {
        self.request.set(0);
        self.answer.set(0);
        let now = self.state.clock.now();
        self.state.space.budget.borrow_mut().rest(self.number, now);
        self.state.space.released.notify_waiters();
        self.show_held();
    }

    /// Records that a request begins to arrive.
    pub(crate) fn begin(&self) {
        let now = self.state.clock.now();
        self.state.space.budget.borrow_mut().begin(self.number, now);
    }

    /// Records that a request has arrived and will be forwarded.
    pub(crate) fn complete(&self) -> Result<(), RefusalReason> {
        let now = self.state.clock.now();
        let completed = self
            .state
            .space
            .budget
            .borrow_mut()
            .complete(self.number, now);
        self.apply(SpaceDecision {
            is_granted: completed.is_ok(),
            ended: completed.into_iter().flatten().collect(),
        })
    }

    /// Changes what the request and the read buffer hold, after `arrived` more bytes.
    pub(crate) fn hold(&self, bytes: usize, arrived: usize) -> Result<(), RefusalReason> {
        self.request.set(bytes as u64);
        self.resize(arrived)
    }

    /// Records that the answer has been read.
    pub(crate) fn end_answer(&self) {
        self.state.space.budget.borrow_mut().end_answer(self.number);
        self.state.space.released.notify_waiters();
    }

    /// Waits until more of the answer may be read.
    pub(crate) async fn answer_room(&self) {
        let ledger = &self.state.space;
        loop {
            // Created before the check, so that no wake-up is lost.
            let released = ledger.released.notified();
            let now = self.state.clock.now();
            if ledger.budget.borrow_mut().may_read_answer(self.number, now) {
                return;
            }
            // The answer whose turn it is may stop, of which there is no notice.
            let _ = timeout(STOPPED_TIMEOUT.as_duration(), released).await;
        }
    }

    /// Changes what the buffered answer holds.
    pub(crate) fn hold_answer(&self, bytes: usize) {
        self.answer.set(bytes as u64);
        // A request that is being answered gets its space.
        if let Err(reason) = self.resize(0) {
            tracing::error!(%reason, "an answer has no space");
        }
    }

    /// Whether callers hold as much as they may.
    pub(crate) fn is_used_up(&self) -> bool {
        self.state.space.budget.borrow().is_used_up()
    }

    fn resize(&self, arrived: usize) -> Result<(), RefusalReason> {
        let held = self.request.get() + self.answer.get();
        let now = self.state.clock.now();
        let mut budget = self.state.space.budget.borrow_mut();
        let resized = budget.resize(self.number, held, arrived as u64, now);
        drop(budget);
        let applied = self.apply(resized);
        self.show_held();
        applied
    }

    fn apply(&self, decision: SpaceDecision) -> Result<(), RefusalReason> {
        end_connections(&self.state, decision.ended);
        if decision.is_granted {
            return Ok(());
        }
        // One that was ended before was counted then.
        if !self.end.is_raised() {
            self.end.raise();
            self.state.metrics.callers.requests_gave_way.inc();
            log_pressure(&self.state, "request refused");
        }
        Err(RefusalReason::Overloaded)
    }

    fn show_held(&self) {
        let held = self.state.space.budget.borrow().held();
        let held = i64::try_from(held).unwrap_or(i64::MAX);
        self.state.metrics.callers.caller_bytes.set(held);
    }
}

impl Drop for CallerSpace {
    fn drop(&mut self) {
        self.state.space.budget.borrow_mut().close(self.number);
        self.state.space.ends.borrow_mut().remove(&self.number);
        self.state.space.released.notify_waiters();
        self.show_held();
    }
}

fn end_connections(state: &EntryState, ended: impl IntoIterator<Item = EndedConnection>) {
    for EndedConnection { number, reason } in ended {
        if let Some(end) = state.space.ends.borrow().get(&number) {
            end.raise();
        }
        match reason {
            EndReason::Space => {
                state.metrics.callers.requests_gave_way.inc();
                log_pressure(state, "request gave way");
            }
            EndReason::Idle => {
                state.space.has_ended_idle.set(true);
                state.metrics.callers.idle_ended.inc();
                log_pressure(state, "idle connection ended");
            }
        }
    }
}

/// Logs that the memory or the descriptors for callers are used up, at most once in an interval.
fn log_pressure(state: &EntryState, effect: &str) {
    let ledger = &state.space;
    let now = state.clock.now();
    let is_recent = |at: TimePoint| now.since(at) < LOG_INTERVAL;
    if ledger.logged_at.get().is_some_and(is_recent) {
        ledger.unlogged.set(ledger.unlogged.get() + 1);
        return;
    }
    ledger.logged_at.set(Some(now));
    tracing::warn!(
        effect,
        unlogged = ledger.unlogged.replace(0),
        held = ledger.budget.borrow().held(),
        callers = state.caller_connections.get(),
        "memory or connections for callers are used up"
    );
}
