//! Claims of idempotency keys, for tasks that wait for them.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use actix_rt::time::sleep;
use bytes::Bytes;
use celerycrank_client::{
    Expected, KeyValueClient, KeyValueFault, KeyValueRecord, ModRevision, SwapOutcome,
};
use celerycrank_config::BackendKind;
use celerycrank_process::ProcessClock;
use celerycrank_requests::{
    CallKey, CallStatus, ClaimAnswer, ClaimLedger, ClaimOperation, ClaimOrder, ClaimOutput,
    ClaimReply, ClaimSettings, ClaimantId, RecordRevision,
};
use tokio::sync::{Notify, oneshot};

/// Longest time for which a stopping agent waits until its claims are recorded.
const RECORDING_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a stopping agent looks whether its claims are recorded.
const RECORDING_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest sleep of the timer, so that it never keeps the arbiter from other tasks.
const MIN_TIMER_SLEEP: Duration = Duration::from_millis(1);

/// The claim ledger, its connection to the service, and the tasks that wait.
#[derive(Debug)]
pub(crate) struct ClaimHandler {
    clock: ProcessClock,
    ledger: RefCell<ClaimLedger>,
    service: RefCell<Option<ClaimStore>>,
    waiters: RefCell<HashMap<ClaimantId, oneshot::Sender<ClaimAnswer>>>,
    changed: Notify,
}

/// Where the claims are recorded.
#[derive(Debug, Clone)]
pub(crate) struct ClaimStore {
    pub(crate) client: KeyValueClient,
    pub(crate) prefix: Arc<str>,
}

impl ClaimHandler {
    /// A desk that cannot claim anything until it is given a service.
    pub(crate) fn new(clock: ProcessClock, seed: u64) -> Self {
        Self {
            clock,
            ledger: RefCell::new(ClaimLedger::new(ClaimSettings::builder().build(), seed)),
            service: RefCell::default(),
            waiters: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Records claims at this service from now on.
    pub(crate) fn connect(&self, service: ClaimStore) {
        *self.service.borrow_mut() = Some(service);
    }

    /// Claims a key and waits for what became of it.
    pub(crate) async fn claim(self: &Rc<Self>, order: ClaimOrder) -> ClaimAnswer {
        if self.service.borrow().is_none() {
            return ClaimAnswer::Unavailable;
        }
        let (sender, answer) = oneshot::channel();
        self.waiters.borrow_mut().insert(order.claimant, sender);
        let outputs = self.ledger.borrow_mut().claim(order, self.clock.now());
        self.perform(outputs);
        self.changed.notify_one();
        answer.await.unwrap_or(ClaimAnswer::Unavailable)
    }

    /// Records how a claimed call was answered.
    pub(crate) fn finish(self: &Rc<Self>, key: CallKey, claimant: ClaimantId, status: CallStatus) {
        let now = self.clock.now();
        let outputs = self.ledger.borrow_mut().finish(key, claimant, status, now);
        self.perform(outputs);
        self.changed.notify_one();
    }

    /// Gives a claim back whose call was not started and never will be.
    pub(crate) fn release(self: &Rc<Self>, key: CallKey, claimant: ClaimantId) {
        self.waiters.borrow_mut().remove(&claimant);
        let now = self.clock.now();
        let outputs = self.ledger.borrow_mut().release(key, claimant, now);
        self.perform(outputs);
        self.changed.notify_one();
    }

    /// Keeps the ledger's timers until the future is dropped.
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

    /// Waits until every status is recorded, though not for ever.
    pub(crate) async fn wait_until_recorded(&self) {
        let waiting = async {
            while self.ledger.borrow().waiting() > 0 {
                sleep(RECORDING_POLL_INTERVAL).await;
            }
        };
        // A claim whose status is not recorded is told as unknown later, which is true.
        let _ = actix_rt::time::timeout(RECORDING_TIMEOUT, waiting).await;
    }

    fn perform(self: &Rc<Self>, outputs: Vec<ClaimOutput>) {
        for output in outputs {
            match output {
                ClaimOutput::Answer(claimant, answer) => {
                    if let Some(waiter) = self.waiters.borrow_mut().remove(&claimant) {
                        // A task that is gone has released its claim.
                        let _ = waiter.send(answer);
                    }
                }
                ClaimOutput::Operation(operation) => {
                    let service = self.service.borrow().clone();
                    let service = service.expect("nothing is claimed without a service");
                    actix_rt::spawn(Rc::clone(self).execute(service, operation));
                }
            }
        }
    }

    async fn execute(self: Rc<Self>, service: ClaimStore, operation: ClaimOperation) {
        let (number, reply) = match operation {
            ClaimOperation::Get { operation, record } => {
                let key = service.key(&record.to_string());
                (operation, read_reply(service.client.get(&key).await))
            }
            ClaimOperation::Swap {
                operation,
                record,
                expected,
                value,
            } => {
                let key = service.key(&record.to_string());
                let expected = match expected {
                    RecordRevision(0) => Expected::Absent,
                    RecordRevision(revision) => Expected::At(ModRevision(revision)),
                };
                let swapping = service
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

/// Where the claims of one service's calls are kept.
///
/// Services are kept apart, since each has owners of its own for the same shards.
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

fn read_reply(result: Result<Option<KeyValueRecord>, KeyValueFault>) -> ClaimReply {
    result.map_or(ClaimReply::Failed, value_reply)
}

fn swap_reply(result: Result<SwapOutcome, KeyValueFault>) -> ClaimReply {
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
