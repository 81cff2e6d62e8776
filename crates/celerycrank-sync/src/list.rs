//! Follows the VM list and the planned stops of this process.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use celerycrank_client::{VmListClient, VmListFeed, VmOffer, VmRecord, VmState};
use celerycrank_membership::{VmFact, VmRole};
use futures_util::future::join;

use crate::state::SyncState;

/// Wait after the list could not be followed.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between looks for a planned stop of this process.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the last reading is taken again: a VM that the list does not name
/// is gone only once it has not answered for a while.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the VM list, and tells `changed` after each change.
pub async fn follow_list(state: Rc<SyncState>, client: VmListClient, changed: impl Fn()) {
    let last = RefCell::new(Vec::new());
    let take = || {
        state.on_list(&last.borrow());
        changed();
    };
    join(
        feed_list(&state, client, &last, &take),
        repeat_list(&last, &take),
    )
    .await;
}

async fn feed_list(
    state: &SyncState,
    client: VmListClient,
    last: &RefCell<Vec<(VmFact, bool)>>,
    take: &impl Fn(),
) {
    let mut feed = VmListFeed::new(client);
    loop {
        if let Ok(records) = feed.next().await {
            last.replace(records.iter().map(read_record).collect());
            take();
        } else {
            state.counters.list_faults.inc();
            sleep(RETRY_INTERVAL).await;
        }
    }
}

async fn repeat_list(last: &RefCell<Vec<(VmFact, bool)>>, take: &impl Fn()) {
    loop {
        sleep(REPEAT_INTERVAL).await;
        if !last.borrow().is_empty() {
            take();
        }
    }
}

fn read_record(record: &VmRecord) -> (VmFact, bool) {
    let fact = VmFact {
        vm: record.vm.clone(),
        domain: record.domain.clone(),
        address: record.address,
        role: match &record.offers {
            VmOffer::Model(model) => VmRole::Engine(model.clone()),
            VmOffer::Service(service) => VmRole::Service(service.clone()),
            VmOffer::Entry => VmRole::Entry,
        },
        backend: None,
        group: None,
    };
    (fact, record.state == VmState::Leaving)
}

/// Looks again and again whether a planned stop of this process has begun.
pub async fn follow_own_stop(state: Rc<SyncState>) {
    loop {
        state.look_for_own_stop();
        sleep(LOOK_INTERVAL).await;
    }
}
