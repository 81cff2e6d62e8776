//! The fair queue in front of the backend server, for tasks that wait.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use celerycrank_process::ProcessClock;
use celerycrank_shares::{FairQueue, QueueRefusal, QueueRequest, QueueSettings, ShareBand};
use celerycrank_types::{RefusalReason, RequestId, TimeSpan, TokenCount};
use celerycrank_wire::LoadReport;
use tokio::sync::oneshot;

/// What a waiting task is told.
type SlotResult = Result<TimeSpan, QueueRefusal>;

/// The fair queue, and the tasks that wait in it.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    clock: ProcessClock,
    concurrency: u32,
    queue: RefCell<FairQueue>,
    /// Invariant: one sender for each request that waits.
    waiters: RefCell<HashMap<RequestId, oneshot::Sender<SlotResult>>>,
}

/// A place in the queue and then a slot of the backend server, until it is dropped.
#[derive(Debug)]
pub(crate) struct QueueTicket {
    slots: Rc<SlotQueue>,
    id: RequestId,
    verdict: oneshot::Receiver<SlotResult>,
    /// Work that the request turned out to need.
    used: TokenCount,
}

impl SlotQueue {
    pub(crate) fn new(concurrency: u32, capacity: u32, clock: ProcessClock) -> Self {
        let settings = QueueSettings::builder()
            .concurrency(concurrency)
            .capacity(capacity)
            .build();
        Self {
            clock,
            concurrency,
            queue: RefCell::new(FairQueue::new(settings)),
            waiters: RefCell::default(),
        }
    }

    /// Gives a request a place; refuses it where it cannot start in time.
    pub(crate) fn enter(
        self: &Rc<Self>,
        request: &QueueRequest,
    ) -> Result<QueueTicket, QueueRefusal> {
        let now = self.clock.now();
        let (sender, verdict) = oneshot::channel();
        let evicted = self.queue.borrow_mut().push(now, request)?;
        self.waiters.borrow_mut().insert(request.id, sender);
        if let Some(refusal) = evicted {
            self.tell(refusal.id, Err(refusal));
        }
        self.advance();
        Ok(QueueTicket {
            slots: Rc::clone(self),
            id: request.id,
            verdict,
            used: request.cost,
        })
    }

    /// Starts what may start and refuses what is overdue.
    pub(crate) fn advance(&self) {
        let step = self.queue.borrow_mut().advance(self.clock.now());
        for started in step.started {
            self.tell(started.id, Ok(started.waited));
        }
        for refusal in step.refused {
            self.tell(refusal.id, Err(refusal));
        }
    }

    /// How busy the backend server is.
    pub(crate) fn load(&self, leaving: bool) -> LoadReport {
        let queue = self.queue.borrow();
        LoadReport {
            running: u32::try_from(queue.running()).unwrap_or(u32::MAX),
            queued: u32::try_from(queue.waiting()).unwrap_or(u32::MAX),
            queued_cost: queue.waiting_cost(ShareBand::Within)
                + queue.waiting_cost(ShareBand::Excess),
            concurrency: self.concurrency,
            leaving,
        }
    }

    fn tell(&self, id: RequestId, verdict: SlotResult) {
        if let Some(waiter) = self.waiters.borrow_mut().remove(&id) {
            // A task that is gone gives its slot back when its ticket is dropped.
            let _ = waiter.send(verdict);
        }
    }
}

impl QueueTicket {
    /// Waits for a slot; tells how long that took.
    pub(crate) async fn slot(&mut self) -> SlotResult {
        let refused = QueueRefusal {
            id: self.id,
            reason: RefusalReason::QueueFull,
            retry_after: TimeSpan::ZERO,
        };
        (&mut self.verdict).await.unwrap_or(Err(refused))
    }

    /// Notes the work that the request needed.
    pub(crate) const fn set_used_tokens(&mut self, used: TokenCount) {
        self.used = used;
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let now = self.slots.clock.now();
        self.slots.waiters.borrow_mut().remove(&self.id);
        let mut queue = self.slots.queue.borrow_mut();
        if !queue.remove(self.id) {
            queue.settle(now, self.id, self.used);
        }
        drop(queue);
        self.slots.advance();
    }
}
