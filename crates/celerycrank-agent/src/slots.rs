//! An asynchronous interface to the fair queue for the slots of the backend server.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use celerycrank_process::ProcessClock;
use celerycrank_shares::{FairQueue, QueueRefusal, QueueRequest, QueueSettings, ShareBand};
use celerycrank_types::{RefusalReason, RequestId, TimeSpan, TokenCount};
use celerycrank_wire::LoadReport;
use tokio::sync::oneshot;

/// The wait time of a request that got a slot, or its refusal.
type SlotResult = Result<TimeSpan, QueueRefusal>;

/// The fair queue and the channels to the tasks that wait for it.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    clock: ProcessClock,
    concurrency: u32,
    queue: RefCell<FairQueue>,
    /// Invariant: one sender for each queued request.
    waiters: RefCell<HashMap<RequestId, oneshot::Sender<SlotResult>>>,
}

/// A place in the queue and later a slot of the backend server; dropping it releases either.
#[derive(Debug)]
pub(crate) struct QueueTicket {
    slots: Rc<SlotQueue>,
    id: RequestId,
    result: oneshot::Receiver<SlotResult>,
    /// Tokens that the request used; its estimated cost until they are known.
    used_tokens: TokenCount,
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

    /// Enqueues a request, or refuses it if it cannot start in time.
    pub(crate) fn enqueue(
        self: &Rc<Self>,
        request: &QueueRequest,
    ) -> Result<QueueTicket, QueueRefusal> {
        let now = self.clock.now();
        let (sender, result) = oneshot::channel();
        let evicted = self.queue.borrow_mut().push(now, request)?;
        self.waiters.borrow_mut().insert(request.id, sender);
        if let Some(refusal) = evicted {
            self.notify(refusal.id, Err(refusal));
        }
        self.advance();
        Ok(QueueTicket {
            slots: Rc::clone(self),
            id: request.id,
            result,
            used_tokens: request.cost,
        })
    }

    /// Starts the requests that have a slot and refuses those whose deadline has passed.
    pub(crate) fn advance(&self) {
        let step = self.queue.borrow_mut().advance(self.clock.now());
        for started in step.started {
            self.notify(started.id, Ok(started.waited));
        }
        for refusal in step.refused {
            self.notify(refusal.id, Err(refusal));
        }
    }

    /// Reports the load of the backend server.
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

    fn notify(&self, id: RequestId, result: SlotResult) {
        if let Some(waiter) = self.waiters.borrow_mut().remove(&id) {
            // If the task has ended, dropping its ticket releases the slot.
            let _ = waiter.send(result);
        }
    }
}

impl QueueTicket {
    /// Waits for a slot and returns the time waited.
    pub(crate) async fn wait(&mut self) -> SlotResult {
        let refused = QueueRefusal {
            id: self.id,
            reason: RefusalReason::QueueFull,
            retry_after: TimeSpan::ZERO,
        };
        (&mut self.result).await.unwrap_or(Err(refused))
    }

    /// Sets the number of tokens that the request used.
    pub(crate) const fn set_used_tokens(&mut self, used_tokens: TokenCount) {
        self.used_tokens = used_tokens;
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let now = self.slots.clock.now();
        self.slots.waiters.borrow_mut().remove(&self.id);
        let mut queue = self.slots.queue.borrow_mut();
        if !queue.remove(self.id) {
            queue.finish(now, self.id, self.used_tokens);
        }
        drop(queue);
        self.slots.advance();
    }
}
