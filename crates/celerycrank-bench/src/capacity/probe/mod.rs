//! Probes that measure the cost of the mechanisms that nodes run.

use std::{alloc::System, hint::black_box, sync::Arc};

use celerycrank_config::{
    ClientAccount, Configuration, KeyHash, ModelUse, PermittedUse, PlanDefinition, PriorityClass,
};
use celerycrank_membership::{
    ConfigurationDelta, MemberTable, MemberTimings, OfferScheduler, OfferTimings, PeerDescriptor,
    VersionedDocument, VmDescriptor, VmRole, WatcherAssignments,
};
use celerycrank_types::{DomainId, Revision, ShareWeight, TimePoint, TimeSpan};
use cpu_time::ThreadTime;
use smallvec::smallvec;
use stats_alloc::{Region, StatsAlloc};

use crate::capacity::slope::{ProbePoint, ProbeSweep};

mod link;
mod list;
mod request;

pub(super) use self::{
    link::link_sweep,
    list::list_sweep,
    request::{ledger_sweep, queue_sweep, router_sweep},
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &stats_alloc::INSTRUMENTED_SYSTEM;

const DOMAINS: usize = 14;

/// Measures applying a snapshot of the VM list to a member table, with one tick after it; the
/// size counts VMs.
pub(super) fn member_sweep(repeats: usize) -> ProbeSweep {
    let sizes = [100, 300, 600, 1_200];
    sweep(
        "one reading of the VM list and one tick; x counts VMs",
        &sizes,
        |size| {
            let region = Region::new(ALLOCATOR);
            let descriptors = vm_descriptors(size);
            let descriptor_bytes = live_bytes(&region);
            let mut table = MemberTable::new(MemberTimings::default());
            let region = Region::new(ALLOCATOR);
            table.on_list(&descriptors, TimePoint::default());
            let memory_bytes = live_bytes(&region) + descriptor_bytes;
            let now = TimePoint::default() + TimeSpan::from_secs(1);
            let cpu_micros = median_micros(repeats, || {
                table.on_list(&descriptors, now);
                table.on_tick(now);
            });
            ProbePoint {
                size: size as f64,
                cpu_micros,
                memory_bytes,
                wire_bytes: 0.0,
            }
        },
    )
}

/// Measures applying a configuration change as a delta; the size counts client accounts.
pub(super) fn configuration_sweep(repeats: usize) -> ProbeSweep {
    let sizes = [10, 100, 340, 680];
    sweep(
        "one configuration change taken as a delta; x counts accounts",
        &sizes,
        |size| {
            let region = Region::new(ALLOCATOR);
            let old = configuration(size, Revision(1));
            let memory_bytes = live_bytes(&region);
            let mut new = configuration(size, Revision(2));
            new.customers.accounts[size / 2].plan = "plan-1".parse().expect("a valid id");
            let delta = ConfigurationDelta::between(&old, &new);
            let cpu_micros = median_micros(repeats, || {
                let mut document = VersionedDocument::new();
                let next = delta
                    .apply(&old)
                    .expect("the delta applies to the old revision");
                document.adopt_if_newer(next.revision, Arc::new(next));
                black_box(&document);
            });
            let wire_bytes = serde_json::to_vec(&delta)
                .expect("a delta can be serialized as JSON")
                .len();
            let wire_bytes = wire_bytes as f64;
            ProbePoint {
                size: size as f64,
                cpu_micros,
                memory_bytes,
                wire_bytes,
            }
        },
    )
}

/// Measures computing the watcher assignments from scratch; the size counts entries.
pub(super) fn assignments_sweep(repeats: usize) -> ProbeSweep {
    let sizes = [50, 100, 200, 400];
    sweep(
        "the watcher roster of 14 domains; x counts entries",
        &sizes,
        |size| {
            let region = Region::new(ALLOCATOR);
            let entries = peer_descriptors(size);
            let domains = (0..DOMAINS).map(domain).collect::<Vec<_>>();
            let assignments = WatcherAssignments::compute(&entries, &domains);
            let memory_bytes = live_bytes(&region);
            let cpu_micros = median_micros(repeats, || {
                black_box(WatcherAssignments::compute(&entries, &domains));
            });
            black_box(&assignments);
            ProbePoint {
                size: size as f64,
                cpu_micros,
                memory_bytes,
                wire_bytes: 0.0,
            }
        },
    )
}

/// Measures scheduling a watcher's offers for one second; the size counts peers of its domain.
pub(super) fn offer_schedule_sweep(repeats: usize) -> ProbeSweep {
    let sizes = [50, 100, 200, 400];
    sweep(
        "a second of one watcher's revision offers; x counts peers",
        &sizes,
        |size| {
            let region = Region::new(ALLOCATOR);
            let peers = peer_descriptors(size)
                .into_iter()
                .map(|descriptor| descriptor.vm)
                .collect();
            let mut now = TimePoint::default();
            let mut scheduler = OfferScheduler::new(OfferTimings::default(), 0, now);
            scheduler.set_peers(peers);
            let memory_bytes = live_bytes(&region);
            let mut offers = 0;
            let cpu_micros = median_micros(repeats, || {
                now = now + TimeSpan::from_secs(1);
                offers = scheduler.on_tick(now).len();
            });
            black_box(offers);
            ProbePoint {
                size: size as f64,
                cpu_micros,
                memory_bytes,
                wire_bytes: 0.0,
            }
        },
    )
}

fn sweep(
    title: &'static str,
    sizes: &[usize],
    measure: impl FnMut(usize) -> ProbePoint,
) -> ProbeSweep {
    ProbeSweep::new(title, sizes.iter().copied().map(measure).collect())
}

fn median_micros(repeats: usize, mut operation: impl FnMut()) -> f64 {
    let mut samples = (0..repeats.max(1))
        .map(|_| {
            let start = ThreadTime::now();
            operation();
            start.elapsed().as_secs_f64() * 1e6
        })
        .collect::<Vec<_>>();
    samples.sort_by(f64::total_cmp);
    samples[samples.len() / 2]
}

fn live_bytes(region: &Region<'_, System>) -> f64 {
    let change = region.change();
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

fn domain(number: usize) -> DomainId {
    format!("domain-{number}").parse().expect("a valid id")
}

fn peer_descriptors(count: usize) -> Vec<PeerDescriptor> {
    let peer = |number: usize| PeerDescriptor {
        vm: format!("entry-{number}").parse().expect("a valid id"),
        domain: domain(number % DOMAINS),
    };
    (0..count).map(peer).collect()
}

fn vm_descriptors(count: usize) -> Vec<(VmDescriptor, bool)> {
    let descriptor = |number: usize| VmDescriptor {
        vm: format!("vm-{number:08}").parse().expect("a valid id"),
        domain: domain(number % DOMAINS),
        address: (
            [
                10,
                0,
                (number >> 8).to_le_bytes()[0],
                number.to_le_bytes()[0],
            ],
            7_000,
        )
            .into(),
        role: VmRole::Engine(format!("model-{}", number % 5).parse().expect("a valid id")),
        backend: format!("backend-{number}").parse().ok(),
        group: format!("group-{}", number / 8).parse().ok(),
    };
    (0..count)
        .map(|number| (descriptor(number), false))
        .collect()
}

fn configuration(accounts: usize, revision: Revision) -> Configuration {
    let mut configuration = Configuration {
        revision,
        ..Configuration::default()
    };
    configuration.customers.accounts = (0..accounts).map(account).collect();
    configuration.plans.plans = (0..8).map(plan).collect();
    configuration
}

fn account(number: usize) -> ClientAccount {
    ClientAccount {
        account: format!("account-{number:04}").parse().expect("a valid id"),
        plan: format!("plan-{}", number % 8).parse().expect("a valid id"),
        keys: smallvec![KeyHash::of_key(&number.to_string())],
    }
}

fn plan(number: u32) -> PlanDefinition {
    let model = |number: usize| ModelUse {
        model: format!("model-{number}").parse().expect("a valid id"),
    };
    PlanDefinition {
        plan: format!("plan-{number}").parse().expect("a valid id"),
        share: ShareWeight::try_from(number + 1).expect("above zero"),
        priority: PriorityClass::Normal,
        rate: None,
        deadline: TimeSpan::from_secs(1),
        uses: (0..5)
            .map(|number| PermittedUse::Model(model(number)))
            .collect(),
    }
}
