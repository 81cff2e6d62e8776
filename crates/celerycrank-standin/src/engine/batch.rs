//! Continuous batching: a limited number of slots and a step time that grows with their use.

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::BinaryHeap,
    rc::Rc,
};

use celerycrank_types::TimeSpan;
use tokio::sync::oneshot;

/// The batch slots of an engine and the queue for them.
#[derive(Debug)]
pub(crate) struct BatchSlots {
    capacity: usize,
    running: Cell<usize>,
    arrivals: Cell<u64>,
    waiting: RefCell<BinaryHeap<WaitingRequest>>,
}

#[derive(Debug)]
struct WaitingRequest {
    /// Priority and arrival number; smaller values go first, as in common engines.
    sort_key: Reverse<(i64, u64)>,
    admitted: oneshot::Sender<()>,
}

impl PartialEq for WaitingRequest {
    fn eq(&self, other: &Self) -> bool {
        self.sort_key == other.sort_key
    }
}

impl Eq for WaitingRequest {}

impl PartialOrd for WaitingRequest {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for WaitingRequest {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.sort_key.cmp(&other.sort_key)
    }
}

/// A slot in use; dropping it passes the slot to the next waiting request.
#[derive(Debug)]
pub(crate) struct BatchSlot(Rc<BatchSlots>);

impl BatchSlots {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            running: Cell::new(0),
            arrivals: Cell::new(0),
            waiting: RefCell::default(),
        }
    }

    pub(crate) const fn running(&self) -> usize {
        self.running.get()
    }

    pub(crate) fn waiting(&self) -> usize {
        let waiting = self.waiting.borrow();
        waiting.iter().filter(|w| !w.admitted.is_closed()).count()
    }

    /// Waits for a slot; waiting requests with a smaller priority number go first.
    pub(crate) async fn acquire(self: &Rc<Self>, priority: i64) -> BatchSlot {
        if self.running.get() >= self.capacity {
            let (admitted, wait) = oneshot::channel();
            self.arrivals.set(self.arrivals.get() + 1);
            let sort_key = Reverse((priority, self.arrivals.get()));
            self.waiting
                .borrow_mut()
                .push(WaitingRequest { sort_key, admitted });
            // The sender is kept in `waiting`, which `self` keeps alive during the wait.
            drop(wait.await);
        } else {
            self.running.set(self.running.get() + 1);
        }
        BatchSlot(Rc::clone(self))
    }

    /// Duration of a step with the requests that are running now.
    pub(crate) fn step_time(&self, base_time: TimeSpan, extra_request_time: TimeSpan) -> TimeSpan {
        let others = self.running.get().saturating_sub(1) as u64;
        TimeSpan(base_time.0 + extra_request_time.0 * others)
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let mut waiting = self.0.waiting.borrow_mut();
        while let Some(next) = waiting.pop() {
            // The send fails for requests that were cancelled while waiting; skip them.
            if next.admitted.send(()).is_ok() {
                return;
            }
        }
        self.0.running.set(self.0.running.get() - 1);
    }
}
