//! The memory that the bodies of callers hold, as [`CallerBudget`] decides about it.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::IpAddr,
    rc::Rc,
};

use celerycrank_config::CallerLimits;
use celerycrank_process::{ProcessClock, ShutdownFlag};
use celerycrank_serving::{BudgetBounds, CallerBudget, ConnectionNumber};
use celerycrank_types::{RefusalReason, TimePoint, TimeSpan};

/// Minimum interval between two log lines about requests that give way.
const LOG_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// The memory that all bodies hold.
#[derive(Debug)]
pub(crate) struct SpaceLedger {
    clock: ProcessClock,
    budget: RefCell<CallerBudget>,
    /// By request, the flag that ends it.
    ends: RefCell<HashMap<ConnectionNumber, ShutdownFlag>>,
    /// When the last log line was written.
    logged_at: Cell<Option<TimePoint>>,
}

impl SpaceLedger {
    pub(crate) fn new(limits: &CallerLimits, clock: ProcessClock) -> Self {
        // The listener bounds the connections.
        let bounds = BudgetBounds {
            descriptors: u64::MAX,
            ..BudgetBounds::new(Some(limits.memory), u64::MAX)
        };
        Self {
            clock,
            budget: RefCell::new(CallerBudget::new(bounds)),
            ends: RefCell::default(),
            logged_at: Cell::new(None),
        }
    }

    /// Logs that the memory for bodies is used up, at most once in an interval.
    fn log_pressure(&self) {
        let now = self.clock.now();
        let is_recent = |at: TimePoint| now.since(at) < LOG_INTERVAL;
        if !self.logged_at.get().is_some_and(is_recent) {
            self.logged_at.set(Some(now));
            let held = self.budget.borrow().held();
            tracing::warn!(held, "memory for callers is used up; a request gives way");
        }
    }
}

/// What the body of one request holds; released when dropped.
#[derive(Debug)]
pub(crate) struct BodySpace {
    ledger: Rc<SpaceLedger>,
    number: ConnectionNumber,
    end: ShutdownFlag,
}

impl BodySpace {
    /// Begins to account for a request from this address.
    pub(crate) fn open(ledger: &Rc<SpaceLedger>, address: IpAddr) -> Result<Self, RefusalReason> {
        let now = ledger.clock.now();
        let mut budget = ledger.budget.borrow_mut();
        let (number, _) = budget
            .open(address, now)
            .ok()
            .ok_or(RefusalReason::Overloaded)?;
        budget.begin(number, now);
        let end = ShutdownFlag::default();
        ledger.ends.borrow_mut().insert(number, end.clone());
        Ok(Self {
            ledger: Rc::clone(ledger),
            number,
            end,
        })
    }

    /// Changes what the body holds, after `arrived` more bytes.
    pub(crate) fn hold(&self, bytes: usize, arrived: usize) -> Result<(), RefusalReason> {
        let ledger = &self.ledger;
        let now = ledger.clock.now();
        let mut budget = ledger.budget.borrow_mut();
        let decision = budget.resize(self.number, bytes as u64, arrived as u64, now);
        drop(budget);
        for ended in &decision.ended {
            ledger.log_pressure();
            if let Some(end) = ledger.ends.borrow().get(&ended.number) {
                end.raise();
            }
        }
        if decision.is_granted {
            return Ok(());
        }
        ledger.log_pressure();
        Err(RefusalReason::Overloaded)
    }

    /// Waits until the unfinished request has to give way.
    pub(crate) async fn ended(&self) {
        self.end.raised().await;
    }

    /// Records that the request has arrived and will be forwarded.
    pub(crate) fn complete(&self) -> Result<(), RefusalReason> {
        let now = self.ledger.clock.now();
        let completed = self.ledger.budget.borrow_mut().complete(self.number, now);
        completed.ok().map(drop).ok_or(RefusalReason::Overloaded)
    }
}

impl Drop for BodySpace {
    fn drop(&mut self) {
        self.ledger.budget.borrow_mut().close(self.number);
        self.ledger.ends.borrow_mut().remove(&self.number);
    }
}
