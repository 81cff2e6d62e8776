//! An asynchronous interface to the claims of idempotency keys.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use actix_rt::time::sleep;
use bytes::Bytes;
use celerycrank_client::{
    Expected, KeyValueClient, KeyValueError, KeyValueRecord, ModRevision, SwapOutcome,
};
use celerycrank_config::BackendKind;
use celerycrank_process::ProcessClock;
use celerycrank_requests::{
    CallKey, CallStatus, ClaimAnswer, ClaimLedger, ClaimOperation, ClaimOrder, ClaimOutput,
    ClaimReply, ClaimSettings, ClaimantId, RecordRevision,
};
use tokio::sync::{Notify, oneshot};

/// Maximum time for which a stopping agent waits for the pending commands of its claim ledger.
const RECORDING_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a stopping agent checks whether commands are still pending.
const RECORDING_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum sleep of the timer, so that it cannot starve the arbiter's other tasks.
const MIN_TIMER_SLEEP: Duration = Duration::from_millis(1);

/// The claim ledger, the key-value service that holds its records, and the tasks that wait for
/// claims.
#[derive(Debug)]
pub(crate) struct ClaimHandler {
    clock: ProcessClock,
    ledger: RefCell<ClaimLedger>,
    store: RefCell<Option<ClaimStore>>,
    waiters: RefCell<HashMap<ClaimantId, oneshot::Sender<ClaimAnswer>>>,
    changed: Notify,
}

/// The key-value service in which claims are recorded, and the prefix of their keys.
#[derive(Debug, Clone)]
pub(crate) struct ClaimStore {
    pub(crate) client: KeyValueClient,
    pub(crate) prefix: Arc<str>,
}

impl ClaimHandler {
    /// Creates a handler that answers claims as unavailable until it is connected to a key-value
    /// service.
    pub(crate) fn new(clock: ProcessClock, seed: u64) -> Self {
        Self {
            clock,
            ledger: RefCell::new(ClaimLedger::new(ClaimSettings::builder().build(), seed)),
            store: RefCell::default(),
            waiters: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Sets the key-value service in which claims are recorded.
    pub(crate) fn connect(&self, store: ClaimStore) {
        *self.store.borrow_mut() = Some(store);
    }

    /// Claims a key and waits for the answer.
    pub(crate) async fn claim(self: &Rc<Self>, order: ClaimOrder) -> ClaimAnswer {
        if self.store.borrow().is_none() {
            return ClaimAnswer::Unavailable;
        }
        let (sender, answer) = oneshot::channel();
        self.waiters.borrow_mut().insert(order.claimant, sender);
        let outputs = self.ledger.borrow_mut().claim(order, self.clock.now());
        self.perform(outputs);
        self.changed.notify_one();
        answer.await.unwrap_or(ClaimAnswer::Unavailable)
    }

    /// Records the status with which a claimed call was answered.
    pub(crate) fn finish(self: &Rc<Self>, key: CallKey, claimant: ClaimantId, status: CallStatus) {
        let now = self.clock.now();
        let outputs = self
            .ledger
            .borrow_mut()
            .record_status(key, claimant, status, now);
        self.perform(outputs);
        self.changed.notify_one();
    }

    /// Releases a claim whose call was not started and never will be.
    pub(crate) fn release(self: &Rc<Self>, key: CallKey, claimant: ClaimantId) {
        self.waiters.borrow_mut().remove(&claimant);
        let now = self.clock.now();
        let outputs = self.ledger.borrow_mut().release(key, claimant, now);
        self.perform(outputs);
        self.changed.notify_one();
    }

    /// Runs the ledger's timers until the future is dropped.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            let due = self.ledger.borrow().wake_at();
            let changed = self.changed.notified();
            match due {
                Some(due) => {
                    let wait = due
                        .since(self.clock.now())
                        .as_duration()
                        .max(MIN_TIMER_SLEEP);
                    tokio::select! {
                        () = sleep(wait) => {}
                        () = changed => {}
                    }
                }
                None => changed.await,
            }
            let outputs = self.ledger.borrow_mut().tick(self.clock.now());
            self.perform(outputs);
        }
    }

    /// Waits until the ledger has no pending command (claim, status or release), up to a timeout.
    pub(crate) async fn wait_until_flushed(&self) {
        let waiting = async {
            while self.ledger.borrow().waiting() > 0 {
                sleep(RECORDING_POLL_INTERVAL).await;
            }
        };
        // A claim without a recorded status is later answered as unknown, which is correct.
        let _ = actix_rt::time::timeout(RECORDING_TIMEOUT, waiting).await;
    }

    fn perform(self: &Rc<Self>, outputs: Vec<ClaimOutput>) {
        for output in outputs {
            match output {
                ClaimOutput::Answer(claimant, answer) => {
                    if let Some(waiter) = self.waiters.borrow_mut().remove(&claimant) {
                        // A task that has ended has released its claim.
                        let _ = waiter.send(answer);
                    }
                }
                ClaimOutput::Operation(operation) => {
                    let store = self.store.borrow().clone();
                    let store = store.expect("claims are made only once a store is connected");
                    actix_rt::spawn(Rc::clone(self).execute(store, operation));
                }
            }
        }
    }

    async fn execute(self: Rc<Self>, store: ClaimStore, operation: ClaimOperation) {
        let (number, reply) = match operation {
            ClaimOperation::Get { operation, record } => {
                let key = store.key(&record.to_string());
                (operation, read_reply(store.client.get(&key).await))
            }
            ClaimOperation::Swap {
                operation,
                record,
                expected,
                value,
            } => {
                let key = store.key(&record.to_string());
                let expected = match expected {
                    RecordRevision(0) => Expected::Absent,
                    RecordRevision(revision) => Expected::At(ModRevision(revision)),
                };
                let swapping = store
                    .client
                    .compare_and_swap(&key, expected, Bytes::from(value));
                (operation, swap_reply(swapping.await))
            }
        };
        let now = self.clock.now();
        let outputs = self.ledger.borrow_mut().handle(number, reply, now);
        self.perform(outputs);
        self.changed.notify_one();
    }
}

/// The prefix of the records of one service's claims.
///
/// Each service has its own prefix, since the same shard has a different owner per service.
pub(crate) fn claim_prefix(prefix: &Arc<str>, kind: &BackendKind) -> Arc<str> {
    match kind {
        BackendKind::Service(service) => {
            format!("{}/services/{service}", prefix.trim_end_matches('/')).into()
        }
        BackendKind::Engine(_) => Arc::clone(prefix),
    }
}

impl ClaimStore {
    fn key(&self, record: &str) -> String {
        format!("{}/{record}", self.prefix.trim_end_matches('/'))
    }
}

fn read_reply(result: Result<Option<KeyValueRecord>, KeyValueError>) -> ClaimReply {
    result.map_or(ClaimReply::Failed, value_reply)
}

fn swap_reply(result: Result<SwapOutcome, KeyValueError>) -> ClaimReply {
    match result {
        Ok(SwapOutcome::Written(revision)) => ClaimReply::Swapped(RecordRevision(revision.0)),
        Ok(SwapOutcome::Conflict(record)) => value_reply(record),
        Err(_) => ClaimReply::Failed,
    }
}

fn value_reply(record: Option<KeyValueRecord>) -> ClaimReply {
    match record {
        Some(record) => ClaimReply::Value {
            revision: RecordRevision(record.revision.0),
            value: Some(record.value.to_vec()),
        },
        None => ClaimReply::Value {
            revision: RecordRevision::default(),
            value: None,
        },
    }
}
