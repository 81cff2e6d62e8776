//! Tasks that watch the VM list and the planned stops of this process.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use celerycrank_client::{VmListClient, VmListFeed, VmOffer, VmRecord, VmState};
use celerycrank_membership::{VmDescriptor, VmRole};
use futures_util::future::join;

use crate::state::SyncState;

/// Delay before the list is read again after an error.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the process checks for its own planned stop.
const OWN_STOP_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the latest list is applied again. A VM missing from the list is
/// removed only after it has not answered for a while, so an unchanged list can still change
/// the members.
const REAPPLY_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the VM list and calls `changed` each time the list is applied.
pub async fn watch_vm_list(state: Rc<SyncState>, client: VmListClient, changed: impl Fn()) {
    let latest = RefCell::new(Vec::new());
    let apply = || {
        state.on_list(&latest.borrow());
        changed();
    };
    join(
        receive_vm_list(&state, client, &latest, &apply),
        reapply_vm_list(&latest, &apply),
    )
    .await;
}

async fn receive_vm_list(
    state: &SyncState,
    client: VmListClient,
    latest: &RefCell<Vec<(VmDescriptor, bool)>>,
    apply: &impl Fn(),
) {
    let mut feed = VmListFeed::new(client);
    loop {
        if let Ok(records) = feed.next().await {
            latest.replace(records.iter().map(parse_record).collect());
            apply();
        } else {
            state.counters.list_errors.inc();
            sleep(RETRY_INTERVAL).await;
        }
    }
}

async fn reapply_vm_list(latest: &RefCell<Vec<(VmDescriptor, bool)>>, apply: &impl Fn()) {
    loop {
        sleep(REAPPLY_INTERVAL).await;
        if !latest.borrow().is_empty() {
            apply();
        }
    }
}

fn parse_record(record: &VmRecord) -> (VmDescriptor, bool) {
    let descriptor = VmDescriptor {
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
    (descriptor, record.state == VmState::Leaving)
}

/// Periodically checks whether a planned stop of this process has begun.
pub async fn watch_own_stop(state: Rc<SyncState>) {
    loop {
        state.update_own_stop();
        sleep(OWN_STOP_INTERVAL).await;
    }
}
