//! Which entries watch the key-value service.

use celerycrank_membership::{VmDescriptor, VmRole};
use celerycrank_process::{MetricSet, ProcessClock};
use celerycrank_sync::{SyncCounters, SyncState};

/// The VM list lags. If an entry that is not listed yet did not act as a watcher, a new
/// deployment would have no watcher, and no revision after the first would be distributed.
#[test]
fn entry_missing_from_the_vm_list_is_a_watcher() {
    let own = VmDescriptor {
        vm: "entry-1".parse().unwrap(),
        domain: "borba".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        role: VmRole::Entry,
        backend: None,
        group: None,
    };
    let counters = SyncCounters::register(&MetricSet::default()).unwrap();
    let state = SyncState::new(own, ProcessClock::start(), counters, Box::new(|_| ()));
    state.on_list(&[]);
    assert!(state.is_watcher());
}
