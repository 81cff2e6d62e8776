//! The bounded queue in front of the backend server.

use std::{cell::Cell, rc::Rc, sync::Arc};

use celerycrank_types::RefusalReason;
use celerycrank_wire::LoadReport;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Lets a limited number of requests run and a limited number wait.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    semaphore: Arc<Semaphore>,
    concurrency: u32,
    /// Most requests that wait.
    limit: u32,
    /// Invariant: at most `limit`.
    queued: Rc<Cell<u32>>,
}

/// The right to one order to the backend server, until it is dropped.
#[derive(Debug)]
pub(crate) struct BackendSlot {
    _permit: OwnedSemaphorePermit,
}

/// A place in the queue, until it is dropped.
#[derive(Debug)]
pub(crate) struct QueuePlace {
    semaphore: Arc<Semaphore>,
    queued: Rc<Cell<u32>>,
}

/// What a request gets on its arrival.
#[derive(Debug)]
pub(crate) enum QueueVerdict {
    /// It may run at once.
    Run(BackendSlot),
    /// It waits.
    Wait(QueuePlace),
    /// The queue is full.
    Refused(RefusalReason),
}

impl SlotQueue {
    pub(crate) fn new(concurrency: u32, limit: u32) -> Self {
        Self {
            semaphore: Arc::new(Semaphore::new(concurrency as usize)),
            concurrency,
            limit,
            queued: Rc::default(),
        }
    }

    /// Gives an arriving request a slot, a place, or neither.
    pub(crate) fn enter(&self) -> QueueVerdict {
        if self.queued.get() == 0
            && let Ok(permit) = Arc::clone(&self.semaphore).try_acquire_owned()
        {
            return QueueVerdict::Run(BackendSlot { _permit: permit });
        }
        if self.queued.get() >= self.limit {
            return QueueVerdict::Refused(RefusalReason::QueueFull);
        }
        self.queued.set(self.queued.get() + 1);
        QueueVerdict::Wait(QueuePlace {
            semaphore: Arc::clone(&self.semaphore),
            queued: Rc::clone(&self.queued),
        })
    }

    /// How busy the backend server is.
    pub(crate) fn load(&self, leaving: bool) -> LoadReport {
        let idle = u32::try_from(self.semaphore.available_permits()).unwrap_or(u32::MAX);
        LoadReport {
            running: self.concurrency.saturating_sub(idle),
            queued: self.queued.get(),
            concurrency: self.concurrency,
            leaving,
        }
    }
}

impl QueuePlace {
    /// Waits until the request may run.
    pub(crate) async fn slot(&self) -> BackendSlot {
        let permit = Arc::clone(&self.semaphore).acquire_owned().await;
        BackendSlot {
            _permit: permit.expect("the semaphore is never closed"),
        }
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.queued.set(self.queued.get() - 1);
    }
}
