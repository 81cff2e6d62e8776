//! Follows the VM list and the planned stops of this process.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use celerycrank_membership::{VmFact, VmRole};
use celerycrank_platform::{VmListClient, VmOffer, VmRecord, VmState};

use crate::state::SyncState;

/// Interval between readings.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between looks for a planned stop of this process.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the VM list again and again, and tells `changed` after each reading.
pub async fn follow_list(state: Rc<SyncState>, client: VmListClient, changed: impl Fn()) {
    loop {
        match client.fetch().await {
            Ok(records) => {
                state.on_list(&records.iter().map(read_record).collect::<Vec<_>>());
                changed();
            }
            Err(_) => state.counters.list_faults.inc(),
        }
        sleep(READ_INTERVAL).await;
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
