//! Tests of evacuated failure domains.

use std::net::SocketAddr;

use celerycrank_serving::{
    BackendChoice, BackendRegistration, BackendTable, ChoiceQuery, RegistrationChange,
    RegistrationState, SendObstacle, ServiceObstacle, choose_backend,
};
use celerycrank_types::{BackendId, DomainId, ServiceId, TimePoint, TimeSpan};
use rand::{SeedableRng, rngs::StdRng};

const NOW: TimePoint = TimePoint(0);

fn domain(name: &str) -> DomainId {
    name.parse().expect("a valid name")
}

fn service() -> ServiceId {
    "shop".parse().expect("a valid name")
}

fn registration(name: &str, in_domain: &str) -> BackendRegistration {
    let port = u16::from(name.as_bytes()[1]);
    BackendRegistration {
        backend: name.parse().expect("a valid name"),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: domain(in_domain),
        slots: 4,
        state: RegistrationState::Ready,
        incarnation: 1,
        warm_up_remaining: TimeSpan::ZERO,
    }
}

/// One backend server in each of two failure domains.
fn table() -> BackendTable {
    let mut table = BackendTable::default();
    table.replace(vec![registration("w0", "a"), registration("w1", "b")], NOW);
    table
}

fn choose(table: &BackendTable, tried: &[BackendId]) -> Option<String> {
    let mut random = StdRng::seed_from_u64(1);
    let query = ChoiceQuery {
        prompt: None,
        service: &service(),
        domain: &domain("a"),
        tried,
        load_limit: None,
        now: NOW,
    };
    match choose_backend(table, &query, &mut random) {
        BackendChoice::Chosen(state) => Some(state.registration.backend.to_string()),
        _ => None,
    }
}

// Guards against an evacuated backend server that is used since no other one is left.
#[test]
fn an_evacuated_backend_server_is_no_last_resort() {
    let mut table = table();
    table.begin_evacuation(domain("a"));
    for _ in 0..20 {
        assert_eq!(choose(&table, &[]).as_deref(), Some("w1"));
    }
    let w1 = "w1".parse::<BackendId>().expect("a valid name");
    assert_eq!(choose(&table, std::slice::from_ref(&w1)), None);
    // The other one has an obstacle that a request may overcome.
    table.note_unreachable(&w1, NOW);
    assert_eq!(choose(&table, &[]).as_deref(), Some("w1"));
    let obstacle = table.service_obstacle(&service(), NOW);
    assert_eq!(obstacle, ServiceObstacle::NoBackend);
    table.begin_evacuation(domain("b"));
    assert_eq!(choose(&table, &[]), None);
    let obstacle = table.service_obstacle(&service(), NOW);
    assert_eq!(obstacle, ServiceObstacle::Evacuated);
    table.end_evacuation(&domain("a"), NOW);
    assert_eq!(choose(&table, &[]).as_deref(), Some("w0"));
}

// Guards against a request that was queued or connecting when the evacuation began.
#[test]
fn a_backend_server_that_was_chosen_before_the_evacuation_is_sent_nothing() {
    let mut table = table();
    let chosen = registration("w0", "a");
    assert_eq!(table.admit_send(&chosen, NOW), Ok(()));
    table.begin_evacuation(domain("a"));
    assert_eq!(table.admit_send(&chosen, NOW), Err(SendObstacle::Evacuated));
    table.end_evacuation(&domain("a"), NOW);
    // It registers in another failure domain, which is evacuated.
    table.begin_evacuation(domain("c"));
    table.apply(
        RegistrationChange::Written(registration("w0", "c")),
        TimePoint(1),
    );
    assert_eq!(table.admit_send(&chosen, NOW), Err(SendObstacle::Evacuated));
}

// Guards against backend servers that register, restart or move after the evacuation has begun.
#[test]
fn registrations_do_not_change_what_is_evacuated() {
    let mut table = table();
    table.begin_evacuation(domain("a"));
    let mut restarted = registration("w0", "a");
    restarted.incarnation = 2;
    let added = registration("w2", "a");
    for written in [registration("w0", "a"), restarted, added] {
        table.apply(RegistrationChange::Written(written), NOW);
        assert_eq!(choose(&table, &[]).as_deref(), Some("w1"));
    }
    let moved = registration("w0", "b");
    table.apply(RegistrationChange::Written(moved), NOW);
    let w1 = "w1".parse().expect("a valid name");
    assert_eq!(choose(&table, &[w1]).as_deref(), Some("w0"));
}

// Guards against state that grows with the number of keys that operators write.
#[test]
fn the_number_of_evacuated_domains_is_bounded() {
    let mut table = table();
    for number in 0..256 {
        let change = table.begin_evacuation(domain(&format!("d{number}")));
        assert_eq!(change.begun.len(), 1);
    }
    assert_eq!(table.begin_evacuation(domain("a")).ignored, [domain("a")]);
    assert!(choose(&table, &[]).is_some());
    let change = table.replace_evacuated([domain("b"), domain("d7")].into(), NOW);
    assert_eq!(change.begun, [domain("b")]);
    assert_eq!(change.ended.len(), 255);
    assert_eq!(choose(&table, &[]).as_deref(), Some("w0"));
}
