//! At the design size, a revision reaches every process in time even if watchers are lost.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_membership::{
    OfferScheduler, OfferTimings, PeerDescriptor, VersionedDocument, WATCHERS_PER_DOMAIN,
    WatcherAssignments,
};
use celerycrank_types::{DomainId, Revision, TimePoint, TimeSpan, VmId};

const DOMAINS: usize = 14;
const ENTRIES: usize = 360;
const AGENTS: usize = 1_200;
const TICK: TimeSpan = TimeSpan::from_millis(100);
const IN_FORCE: TimeSpan = TimeSpan::from_secs(5);

fn domain(number: usize) -> DomainId {
    format!("domain-{number}").parse().unwrap()
}

fn peers(kind: &str, count: usize) -> Vec<PeerDescriptor> {
    let peer = |number: usize| PeerDescriptor {
        vm: format!("{kind}-{number}").parse().unwrap(),
        domain: domain(number % DOMAINS),
    };
    (0..count).map(peer).collect()
}

/// Propagates a revision in a domain whose first `dead` watchers are dead; returns the time that
/// it took.
fn spread_time(
    assignments: &WatcherAssignments,
    everyone: &[PeerDescriptor],
    name: &DomainId,
    dead: usize,
) -> TimeSpan {
    let start = TimePoint::default();
    let members = everyone
        .iter()
        .filter(|peer| peer.domain == *name)
        .map(|peer| peer.vm.clone());
    let members = members.collect::<Vec<VmId>>();
    let mut schedulers = (dead..WATCHERS_PER_DOMAIN)
        .map(|rank| OfferScheduler::new(OfferTimings::default(), rank, start))
        .collect::<Vec<_>>();
    let mut documents = members
        .iter()
        .map(|vm| (vm.clone(), VersionedDocument::<()>::new()))
        .collect::<BTreeMap<_, _>>();
    let dead_watchers = &assignments.watchers(name)[..dead];
    let mut now = start;
    for scheduler in &mut schedulers {
        scheduler.set_peers(members.clone());
        for vm in scheduler.on_new_revision() {
            documents
                .get_mut(vm)
                .unwrap()
                .offer(Revision(1), Arc::new(()));
        }
    }
    while documents
        .iter()
        .any(|(vm, document)| document.revision() == Revision(0) && !dead_watchers.contains(vm))
    {
        now = now + TICK;
        for scheduler in &mut schedulers {
            for vm in scheduler.on_tick(now) {
                documents
                    .get_mut(&vm)
                    .unwrap()
                    .offer(Revision(1), Arc::new(()));
            }
        }
    }
    now.since(start)
}

#[test]
fn in_force_within_five_seconds_with_two_of_three_watchers_lost() {
    let entries = peers("entry", ENTRIES);
    let everyone = entries
        .iter()
        .cloned()
        .chain(peers("agent", AGENTS))
        .collect::<Vec<_>>();
    let domains = (0..DOMAINS).map(domain).collect::<Vec<_>>();
    let assignments = WatcherAssignments::compute(&entries, &domains);
    for name in &domains {
        assert_eq!(
            spread_time(&assignments, &everyone, name, 0),
            TimeSpan::ZERO
        );
        for dead in 1..WATCHERS_PER_DOMAIN {
            assert!(spread_time(&assignments, &everyone, name, dead) <= IN_FORCE);
        }
    }
}

#[test]
fn each_domain_has_its_own_watchers() {
    let entries = peers("entry", ENTRIES);
    let domains = (0..DOMAINS).map(domain).collect::<Vec<_>>();
    let assignments = WatcherAssignments::compute(&entries, &domains);
    let watchers = entries
        .iter()
        .filter(|entry| assignments.is_watcher(&entry.vm))
        .count();
    assert_eq!(watchers, DOMAINS * WATCHERS_PER_DOMAIN);
    for name in &domains {
        for watcher in assignments.watchers(name) {
            let own = entries.iter().find(|entry| entry.vm == *watcher).unwrap();
            assert_eq!(own.domain, *name);
        }
    }
}

#[test]
fn losing_an_entry_reassigns_only_its_domains() {
    let entries = peers("entry", ENTRIES);
    let domains = (0..DOMAINS).map(domain).collect::<Vec<_>>();
    let before = WatcherAssignments::compute(&entries, &domains);
    let lost = before.watchers(&domains[0])[0].clone();
    let rest = entries
        .into_iter()
        .filter(|entry| entry.vm != lost)
        .collect::<Vec<_>>();
    let after = WatcherAssignments::compute(&rest, &domains);
    assert_eq!(before.watchers(&domains[1]), after.watchers(&domains[1]));
    let kept = &before.watchers(&domains[0])[1..];
    assert_eq!(
        kept,
        &after.watchers(&domains[0])[..WATCHERS_PER_DOMAIN - 1]
    );
}

#[test]
fn three_entries_watch_all_domains() {
    let entries = peers("entry", 3);
    let domains = (0..4).map(domain).collect::<Vec<_>>();
    let assignments = WatcherAssignments::compute(&entries, &domains);
    for name in &domains {
        assert_eq!(assignments.watchers(name).len(), WATCHERS_PER_DOMAIN);
    }
}

/// Returns the times at which the watchers of these ranks offer a revision to each peer of a
/// domain, given that they got it at the start.
fn offer_times(ranks: &[usize], until: TimeSpan) -> BTreeMap<VmId, Vec<TimePoint>> {
    let start = TimePoint::default();
    let members = peers("agent", AGENTS / DOMAINS)
        .into_iter()
        .map(|peer| peer.vm);
    let members = members.collect::<Vec<_>>();
    let mut times = BTreeMap::<VmId, Vec<TimePoint>>::new();
    for rank in ranks {
        let mut scheduler = OfferScheduler::new(OfferTimings::default(), *rank, start);
        scheduler.set_peers(members.clone());
        for vm in scheduler.on_new_revision() {
            times.entry(vm.clone()).or_default().push(start);
        }
        let mut now = start;
        while now.since(start) < until {
            now = now + TICK;
            for vm in scheduler.on_tick(now) {
                times.entry(vm).or_default().push(now);
            }
        }
    }
    for times in times.values_mut() {
        times.sort_unstable();
    }
    times
}

#[test]
fn single_watcher_offers_every_peer_twice_in_time() {
    for rank in 0..WATCHERS_PER_DOMAIN {
        for times in offer_times(&[rank], IN_FORCE).values() {
            assert!(
                times.len() >= 2,
                "a lost offer must not delay a change beyond its time limit"
            );
        }
    }
}

#[test]
fn peers_get_an_offer_every_third_of_a_round() {
    let third = TimeSpan(OfferTimings::default().round.0 / 3 + TICK.0);
    let times = offer_times(&[0, 1, 2], TimeSpan::from_secs(30));
    for times in times.values() {
        let settled = times
            .iter()
            .filter(|time| time.0 > IN_FORCE.0)
            .collect::<Vec<_>>();
        for pair in settled.windows(2) {
            assert!(pair[1].since(*pair[0]) <= third);
        }
    }
}
