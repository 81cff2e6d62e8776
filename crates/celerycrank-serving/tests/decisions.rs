//! Tests of routing, API keys, configuration freshness, retries and backend server choice.

use std::net::SocketAddr;

use celerycrank_serving::{
    AccountRule, AccountTable, BackendRegistration, BackendTable, ChoiceQuery, EntryCount,
    FreshnessGuard, KeyRequirement, LoadReport, RegistrationChange, RegistrationState,
    RequestSemantics, RetryAllowance, RetryWindow, RouteLocation, RouteMatch, RouteRule,
    RouteTable, WeightedService, choose_backend,
};
use celerycrank_types::{BackendId, DomainId, ServiceId, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedMutRandom};
use smallvec::smallvec;

const MICROS_PER_MILLI: u64 = 1_000;

fn at(millis: u64) -> TimePoint {
    TimePoint(millis * MICROS_PER_MILLI)
}

fn route(name: &str, host: &str, prefix: &str) -> RouteRule {
    RouteRule::builder()
        .name(name.into())
        .host(host.into())
        .prefix(prefix.into())
        .semantics(RequestSemantics::NonIdempotent)
        .timeout(TimeSpan::from_millis(1_200))
        .target(TimeSpan::from_millis(150))
        .priority(1)
        .services(smallvec![WeightedService {
            service: service(),
            weight: 1.0,
        }])
        .max_attempts(1)
        .is_anonymous(false)
        .build()
}

fn service() -> ServiceId {
    "ledger".parse().expect("a valid name")
}

fn domain(name: &str) -> DomainId {
    name.parse().expect("a valid name")
}

fn backend(name: &str) -> BackendId {
    name.parse().expect("a valid name")
}

/// Returns a different address for each name.
fn address_of(name: &str) -> SocketAddr {
    let port = name.bytes().fold(1_u16, |port, byte| {
        port.wrapping_mul(31).wrapping_add(u16::from(byte))
    });
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn registration(name: &str, domain_name: &str, incarnation: u64) -> BackendRegistration {
    BackendRegistration {
        backend: backend(name),
        service: service(),
        address: address_of(name),
        domain: domain(domain_name),
        slots: 4,
        state: RegistrationState::Ready,
        incarnation,
        warm_up_remaining: TimeSpan::ZERO,
    }
}

fn choose(table: &BackendTable, tried: &[BackendId], now: TimePoint) -> Option<BackendId> {
    let query = ChoiceQuery {
        service: &service(),
        domain: &domain("a"),
        tried,
        load_limit: None,
        now,
        prompt: None,
    };
    let mut random = StdRng::seed_from_u64(1);
    let chosen = choose_backend(table, &query, &mut random).chosen();
    chosen.map(|state| state.registration.backend.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = [
        route("short", "shop.example", "/a/"),
        route("long", "shop.example", "/a/b/"),
        route("other", "else.example", "/a/b/c/"),
    ];
    let closed = RouteLocation {
        host: "Shop.example".into(),
        prefix: "/a/closed/".into(),
    };
    let table = RouteTable::new(&routes, &[closed]);
    let found = |host: &str, path: &str| match table.find(host, path)? {
        RouteMatch::Open(route) => Some(route.name.to_string()),
        RouteMatch::Closed => Some("closed".into()),
    };
    assert_eq!(found("shop.example", "/a/b/c/d"), Some("long".into()));
    assert_eq!(found("SHOP.example:8080", "/a/bc"), Some("short".into()));
    assert_eq!(
        found("shop.example", "/a/closed/1"),
        Some("closed".into()),
        "no shorter prefix takes the requests of a closed route"
    );
    assert_eq!(found("shop.example", "/a"), None);
    assert_eq!(found("none.example", "/a/"), None);
}

#[test]
fn a_route_is_split_by_the_weights_of_its_services() {
    let mut split = route("split", "h", "/");
    let other = "other".parse::<ServiceId>().expect("a valid name");
    split.services.push(WeightedService {
        service: other.clone(),
        weight: 9.0,
    });
    let mut random = StdRng::seed_from_u64(7);
    let drawn = (0..10_000).filter(|_| split.draw_service(&mut random) == Some(&other));
    let count = drawn.count();
    assert!((8_800..9_200).contains(&count), "{count} of 10,000");
}

#[test]
fn only_a_valid_key_identifies_an_account() {
    let table = AccountTable::new(&KeyRequirement::Required(vec![AccountRule {
        account: "acme".parse().expect("a valid name"),
        keys: vec!["secret-1".into(), "secret-2".into()],
        priority: Some(0),
    }]));
    assert!(table.requires_key());
    let found = table.find(b"secret-2").map(|(account, _)| account.as_str());
    assert_eq!(found, Some("acme"));
    assert!(table.find(b"secret-3").is_none());
    assert!(
        !format!("{table:?}").contains("secret"),
        "only hashes of keys are stored"
    );
}

#[test]
fn no_accounts_and_no_list_of_accounts_differ() {
    let table = AccountTable::new(&KeyRequirement::Required(Vec::new()));
    assert!(table.requires_key() && table.find(b"secret-1").is_none());
    assert!(!AccountTable::new(&KeyRequirement::NotRequired).requires_key());
}

#[test]
fn keys_are_refused_before_the_revocation_time_is_over() {
    let revocation = TimeSpan::from_millis(5_000);
    let mut guard = FreshnessGuard::new(revocation);
    assert!(!guard.is_fresh(at(0)));
    guard.confirm(at(1_000));
    guard.confirm(at(500));
    assert!(guard.is_fresh(at(4_000)));
    // The key-value service may have failed to report a change for a second before it answered.
    assert!(!guard.is_fresh(at(1_000) + revocation - TimeSpan::from_millis(1_100)));
}

#[test]
fn retries_of_all_entries_together_stay_within_the_allowance() {
    let counts = [17, 35, 360].map(|entries| (entries, fail_everywhere(entries)));
    assert!(
        counts[0].1 > 500,
        "too few retries were allowed: {counts:?}"
    );
}

/// Lets all requests of a service fail at this many entries; returns the number of retries.
fn fail_everywhere(entries: u32) -> usize {
    let allowance = RetryAllowance {
        window: TimeSpan::from_secs(10),
        ratio: 0.2,
        slack: 90.0,
    };
    let mut random = StdRng::seed_from_u64(3);
    let mut count = EntryCount::default();
    count.observe(entries, at(0));
    let mut window = RetryWindow::new(allowance);
    window.set_entries(count.get(at(0)));
    let mut windows = vec![window; usize::try_from(entries).expect("small")];
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for milli in 0..60_000 {
        let window = windows.choose_mut(&mut random).expect("some entries");
        // Requests arrive in bursts, and all of them fail.
        if random.random_bool(if milli / 5_000 % 2 == 0 { 0.4 } else { 0.01 }) {
            window.note_request(at(milli));
            requests.push(milli);
            if window.take_retry(at(milli)) {
                retries.push(milli);
            }
        }
    }
    for start in (0..50_000_u64).step_by(100) {
        let within = |list: &[u64], from: u64| {
            list.iter()
                .filter(|it| (from..from + 10_000).contains(*it))
                .count()
        };
        let before = start.saturating_sub(5_000);
        let busiest = within(&requests, start).max(within(&requests, before));
        let bound = 0.2 * busiest as f64 + 90.0;
        let observed = within(&retries, start);
        assert!(
            observed as f64 <= bound,
            "{observed} retries of {entries} entries from {start}, {bound} allowed"
        );
    }
    retries.len()
}

/// An agent that has just started has been asked by few entries.
#[test]
fn the_count_of_entries_follows_the_largest_recent_one() {
    let mut count = EntryCount::default();
    assert_eq!(count.get(at(0)), 0);
    count.observe(35, at(1_000));
    count.observe(2, at(1_100));
    assert_eq!(count.get(at(1_200)), 35);
    count.observe(30, at(6_000));
    assert_eq!(count.get(at(6_100)), 35);
    count.observe(30, at(11_000));
    assert_eq!(count.get(at(11_100)), 30);
    assert_eq!(count.get(at(60_000)), 30, "nothing newer is known");
}

#[test]
fn the_least_loaded_backend_server_is_chosen() {
    let mut table = BackendTable::default();
    table.replace(
        vec![registration("x", "a", 1), registration("y", "a", 1)],
        at(0),
    );
    table.begin(&backend("x"), at(0));
    assert_eq!(choose(&table, &[], at(0)), Some(backend("y")));
    let load = LoadReport {
        running: 4,
        waiting: 2,
        pace: 1.0,
        group: None,
        is_open: true,
        entries: 1,
    };
    table
        .find_mut(&backend("y"))
        .expect("known")
        .load
        .observe(load, at(10));
    assert_eq!(choose(&table, &[], at(20)), Some(backend("x")));
    // The report is too old by now and is ignored.
    assert_eq!(choose(&table, &[], at(5_000)), Some(backend("y")));
    assert_eq!(choose(&table, &[backend("x"), backend("y")], at(20)), None);
}

#[test]
fn draining_unreachable_and_failing_backend_servers_are_avoided() {
    let mut table = BackendTable::default();
    let mut draining = registration("x", "a", 1);
    draining.state = RegistrationState::Draining;
    table.replace(
        vec![
            draining,
            registration("y", "b", 1),
            registration("z", "b", 1),
        ],
        at(0),
    );
    assert_ne!(choose(&table, &[], at(0)), Some(backend("x")));
    table.note_unreachable(&backend("y"), at(0));
    assert_eq!(choose(&table, &[], at(1)), Some(backend("z")));
    assert_eq!(
        choose(&table, &[backend("z")], at(1)),
        Some(backend("y")),
        "used as a last resort"
    );
    for _ in 0..10 {
        table.note_answer(&backend("z"), true, at(0));
    }
    assert_eq!(choose(&table, &[], at(1_000)), Some(backend("y")));
    assert_eq!(
        choose(&table, &[backend("y"), backend("z")], at(1_000)),
        None
    );
}

#[test]
fn a_removed_backend_server_is_a_last_resort_for_a_short_time() {
    let mut table = BackendTable::default();
    table.replace(
        vec![registration("x", "a", 1), registration("y", "a", 1)],
        at(0),
    );
    table.apply(RegistrationChange::Removed(backend("x")), at(100));
    for _ in 0..3 {
        table.begin(&backend("y"), at(100));
    }
    assert_eq!(choose(&table, &[], at(200)), Some(backend("y")));
    table.replace(Vec::new(), at(300));
    assert!(choose(&table, &[], at(400)).is_some());
    assert_eq!(choose(&table, &[], at(2_500)), None);
    table.apply(
        RegistrationChange::Written(registration("x", "a", 1)),
        at(2_600),
    );
    assert_eq!(choose(&table, &[], at(2_700)), Some(backend("x")));
}

#[test]
fn a_new_incarnation_under_the_same_name_has_no_history() {
    let mut table = BackendTable::default();
    table.replace(vec![registration("x", "a", 1)], at(0));
    for _ in 0..5 {
        table.begin(&backend("x"), at(0));
        table.note_answer(&backend("x"), true, at(0));
    }
    table.apply(
        RegistrationChange::Written(registration("x", "a", 2)),
        at(1),
    );
    let state = table.find_mut(&backend("x")).expect("known");
    assert_eq!(state.load.own(), 0);
    assert!(state.failure_rate(at(1)) < 0.01);
    // The end of a request to the previous incarnation has no effect.
    table.finish(&backend("x"));
    assert_eq!(table.find_mut(&backend("x")).expect("known").load.own(), 0);
}

/// When all VMs of a group restart together, they register their backend servers under other
/// names seconds before the registrations of the previous ones expire.
#[test]
fn a_backend_server_under_another_name_takes_the_place_of_the_one_at_its_address() {
    let mut table = BackendTable::default();
    let before = registration("before", "a", 1);
    let mut after = registration("after", "b", 2);
    after.address = before.address;
    table.apply(RegistrationChange::Written(before), at(0));
    table.apply(RegistrationChange::Written(after.clone()), at(10));
    assert_eq!(choose(&table, &[], at(20)), Some(backend("after")));
    // The order of names does not matter, and a registration of another service supersedes none.
    let mut other = registration("other", "a", 3);
    other.address = after.address;
    other.service = "drafts".parse().expect("a valid name");
    table.apply(RegistrationChange::Written(other), at(30));
    assert_eq!(choose(&table, &[], at(40)), Some(backend("after")));
    // After its removal, the previous one is used as long as it is still listed.
    table.apply(RegistrationChange::Removed(backend("after")), at(50));
    assert_eq!(choose(&table, &[], at(10_000)), Some(backend("before")));
}

#[test]
fn one_that_is_not_at_its_address_gets_nothing_until_it_is_written_anew() {
    let mut table = BackendTable::default();
    table.apply(
        RegistrationChange::Written(registration("a", "a", 1)),
        at(0),
    );
    table.note_misdirected(&backend("a"));
    assert_eq!(
        choose(&table, &[], at(10)),
        None,
        "not even as a last resort"
    );
    table.apply(
        RegistrationChange::Written(registration("a", "a", 2)),
        at(20),
    );
    assert_eq!(choose(&table, &[], at(30)), Some(backend("a")));
    // A backend server that registers an address but is not there no longer supersedes the one
    // that is.
    let mut absent = registration("absent", "a", 3);
    absent.address = address_of("a");
    table.apply(RegistrationChange::Written(absent), at(40));
    assert_eq!(choose(&table, &[], at(50)), Some(backend("absent")));
    table.note_misdirected(&backend("absent"));
    assert_eq!(choose(&table, &[], at(60)), Some(backend("a")));
}

/// Guards against many entries that see the same stale loads and all choose the backend server
/// that was least loaded.
#[test]
fn entries_with_stale_loads_do_not_all_choose_the_same_backend_server() {
    const ENTRIES: usize = 17;
    const BACKENDS: usize = 64;
    /// Requests that arrive in each report interval.
    const ARRIVALS: usize = 72;
    /// Duration of a request, in report intervals.
    const REQUEST_ROUNDS: usize = 6;
    let names = (0..BACKENDS).map(|index| backend(&format!("w{index}")));
    let names = names.collect::<Vec<_>>();
    let registrations = names.iter().map(|name| registration(name.as_str(), "a", 1));
    let registrations = registrations.collect::<Vec<_>>();
    let mut tables = Vec::new();
    for _ in 0..ENTRIES {
        let mut table = BackendTable::default();
        table.replace(registrations.clone(), at(0));
        tables.push(table);
    }
    let mut random = StdRng::seed_from_u64(11);
    let mut running = std::collections::VecDeque::new();
    let mut loads = [0_u32; BACKENDS];
    let mut peak = 0;
    for round in 0..60_u64 {
        let now = at(round * 300);
        for table in &mut tables {
            for (name, load) in names.iter().zip(loads) {
                let report = LoadReport {
                    running: load,
                    waiting: 0,
                    pace: 1.0,
                    group: None,
                    is_open: true,
                    entries: 1,
                };
                let state = table.find_mut(name).expect("known");
                state.load.observe(report, now);
            }
        }
        let mut started = Vec::new();
        for _ in 0..ARRIVALS {
            let sender = random.random_range(0..ENTRIES);
            let query = ChoiceQuery {
                service: &service(),
                domain: &domain("a"),
                tried: &[],
                load_limit: None,
                now,
                prompt: None,
            };
            let chosen = choose_backend(&tables[sender], &query, &mut random);
            let chosen = chosen
                .chosen()
                .expect("all are usable")
                .registration
                .backend
                .clone();
            tables[sender].begin(&chosen, now);
            let index = names
                .iter()
                .position(|name| *name == chosen)
                .expect("known");
            loads[index] += 1;
            started.push((sender, index));
        }
        peak = peak.max(loads.into_iter().max().unwrap_or_default());
        running.push_back(started);
        if running.len() > REQUEST_ROUNDS {
            for (sender, index) in running.pop_front().expect("not empty") {
                tables[sender].finish(&names[index]);
                loads[index] -= 1;
            }
        }
    }
    // No backend server may have more than twice the mean number of requests.
    let rounds = u32::try_from(REQUEST_ROUNDS + 1).expect("small");
    let total = u32::try_from(ARRIVALS).expect("small") * rounds;
    let bound = 2 * total / u32::try_from(BACKENDS).expect("small");
    assert!(
        peak <= bound,
        "{peak} requests at one of {BACKENDS}, bound {bound}"
    );
}
