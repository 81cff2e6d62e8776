//! Tests of backend servers that shut down, over random orders of events.

use std::{collections::HashSet, net::SocketAddr};

use celerycrank_serving::{
    BackendChoice, BackendRegistration, BackendTable, ChoiceQuery, RegistrationChange,
    RegistrationState, SendObstacle, ServiceObstacle, choose_backend,
};
use celerycrank_types::{BackendId, DomainId, ServiceId, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::StdRng};

const BACKENDS: usize = 4;

/// Number of events of a run.
const EVENTS: u32 = 400;

fn service() -> ServiceId {
    "shop".parse().expect("a valid name")
}

fn domain() -> DomainId {
    "a".parse().expect("a valid name")
}

fn registration(index: usize, incarnation: u64) -> BackendRegistration {
    BackendRegistration {
        backend: format!("w{index}").parse().expect("a valid name"),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + u16::try_from(index).expect("small"))),
        domain: domain(),
        slots: 4,
        state: RegistrationState::Ready,
        incarnation,
        warm_up_remaining: TimeSpan::ZERO,
    }
}

/// A table, and what the backend servers have said.
struct Run {
    table: BackendTable,
    random: StdRng,
    now: TimePoint,
    /// The latest incarnations.
    incarnations: [u64; BACKENDS],
    left: HashSet<(usize, u64)>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut run = Self {
            table: BackendTable::default(),
            random: StdRng::seed_from_u64(seed),
            now: TimePoint::default() + TimeSpan::from_secs(1),
            incarnations: [1; BACKENDS],
            left: HashSet::new(),
        };
        run.list_all();
        run
    }

    fn list_all(&mut self) {
        let listed = self.incarnations.iter().enumerate();
        let listed = listed.map(|(index, incarnation)| registration(index, *incarnation));
        self.table.replace(listed.collect(), self.now);
    }

    /// Applies a random event to a random backend server.
    fn step(&mut self) {
        let index = self.random.random_range(0..BACKENDS);
        let current = registration(index, self.incarnations[index]);
        let backend = current.backend.clone();
        match self.random.random_range(0..11) {
            0 => {
                self.incarnations[index] += 1;
                let next = registration(index, self.incarnations[index]);
                self.write(next);
            }
            1 => self.write(current),
            2 => {
                let change = RegistrationChange::Removed(backend);
                self.table.apply(change, self.now);
            }
            3 => self.list_all(),
            4 => {
                // The answer may come from an earlier incarnation.
                let earlier = self.random.random_range(0..2);
                let incarnation = self.incarnations[index].saturating_sub(earlier).max(1);
                let is_new = self.left.insert((index, incarnation));
                let sent_to = registration(index, incarnation);
                assert_eq!(self.table.note_leaving(&sent_to), is_new);
            }
            5 => self.table.note_unreachable(&backend, self.now),
            6 => self.table.note_refused(&backend, self.now),
            7 => self.table.note_answer(&backend, false),
            8 => self.write(BackendRegistration {
                service: "other".parse().expect("a valid name"),
                ..current
            }),
            9 => {
                let span = TimeSpan::from_millis(self.random.random_range(0..2_000));
                self.now = self.now + span;
                self.table.prune_removed(self.now);
            }
            _ => self.check(),
        }
    }

    fn write(&mut self, registration: BackendRegistration) {
        let change = RegistrationChange::Written(registration);
        self.table.apply(change, self.now);
    }

    fn has_left(&self, registration: &BackendRegistration) -> bool {
        let index = registration.address.port() - 9_000;
        let key = (usize::from(index), registration.incarnation);
        self.left.contains(&key)
    }

    fn choose(&mut self, tried: &[BackendId]) -> Option<BackendRegistration> {
        let query = ChoiceQuery {
            prompt: None,
            service: &service(),
            domain: &domain(),
            tried,
            load_limit: None,
            now: self.now,
        };
        match choose_backend(&self.table, &query, &mut self.random) {
            BackendChoice::Chosen(state) => Some(state.registration.clone()),
            _ => None,
        }
    }

    /// Checks whom requests reach, and that only those are left out that may be.
    fn check(&mut self) {
        let mut tried = Vec::new();
        while let Some(chosen) = self.choose(&tried) {
            assert!(!self.has_left(&chosen), "{chosen:?}");
            tried.push(chosen.backend);
        }
        for index in 0..BACKENDS {
            for incarnation in 1..=self.incarnations[index] {
                let chosen = registration(index, incarnation);
                let admitted = self.table.admit_send(&chosen, self.now);
                if self.has_left(&chosen) {
                    assert_eq!(admitted, Err(SendObstacle::Leaving));
                }
            }
        }
        let states = self.table.of_service(&service()).iter();
        let obstacles = states.map(|it| (it.registration.clone(), it.obstacle(self.now)));
        for (listed, obstacle) in obstacles.collect::<Vec<_>>() {
            let is_leaving = obstacle == Some(SendObstacle::Leaving);
            assert_eq!(is_leaving, self.has_left(&listed), "{listed:?}");
        }
    }
}

// Guards against a backend server that is sent requests after it has said that it shuts down, whatever
// is listed, and against one that is not used after a new incarnation has registered.
#[test]
fn no_order_of_events_sends_a_request_to_a_leaving_backend_server() {
    for seed in 0..200 {
        let mut run = Run::new(seed);
        for _ in 0..EVENTS {
            run.step();
        }
        for incarnation in &mut run.incarnations {
            *incarnation += 1;
        }
        run.list_all();
        run.check();
        assert!(run.choose(&[]).is_some(), "seed {seed}");
    }
}

// Guards against a refusal without its cause, and against requests that wait for backend servers which
// want none.
#[test]
fn a_service_whose_backend_servers_all_leave_is_closed() {
    let mut run = Run::new(1);
    for index in 0..BACKENDS {
        assert!(!run.table.is_closed(&service(), run.now));
        run.table.note_leaving(&registration(index, 1));
    }
    assert_eq!(run.choose(&[]), None);
    let obstacle = run.table.service_obstacle(&service(), run.now);
    assert_eq!(obstacle, ServiceObstacle::Leaving);
    assert!(run.table.is_closed(&service(), run.now));
}
