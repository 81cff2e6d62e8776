//! Tests of backend servers that shut down or want no requests for a time, over random orders of events.

use std::{collections::HashSet, net::SocketAddr};

use celerycrank_serving::{
    BackendChoice, BackendRegistration, BackendTable, ChoiceQuery, MAX_PAUSE, RegistrationChange,
    RegistrationState, SendObstacle, ServiceObstacle, choose_backend, estimate_cost,
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
    /// Until when they want no requests.
    paused_until: [TimePoint; BACKENDS],
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut run = Self {
            table: BackendTable::default(),
            random: StdRng::seed_from_u64(seed),
            now: TimePoint::default() + TimeSpan::from_secs(1),
            incarnations: [1; BACKENDS],
            left: HashSet::new(),
            paused_until: [TimePoint::default(); BACKENDS],
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
        match self.random.random_range(0..12) {
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
            7 => self.table.note_answer(&backend, false, self.now),
            8 => self.write(BackendRegistration {
                service: "other".parse().expect("a valid name"),
                ..current
            }),
            9 => {
                let span = TimeSpan::from_millis(self.random.random_range(0..2_000));
                self.now = self.now + span;
                self.table.prune_removed(self.now);
            }
            10 => {
                let span = TimeSpan::from_millis(self.random.random_range(0..60_000));
                // The request was in flight, so that its backend server is in the table.
                if self.table.registration(&backend).is_some() {
                    let was_paused = self.is_paused(index);
                    let has_begun = self.table.note_pause(&backend, span, self.now);
                    let until = self.now + span.min(MAX_PAUSE);
                    self.paused_until[index] = self.paused_until[index].max(until);
                    assert_eq!(has_begun, !was_paused && self.is_paused(index));
                }
            }
            _ => self.check(),
        }
    }

    fn write(&mut self, registration: BackendRegistration) {
        let change = RegistrationChange::Written(registration);
        self.table.apply(change, self.now);
    }

    fn is_paused(&self, index: usize) -> bool {
        self.now < self.paused_until[index]
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
            let index = usize::from(chosen.address.port() - 9_000);
            assert!(!self.is_paused(index), "{chosen:?}");
            tried.push(chosen.backend);
        }
        for index in 0..BACKENDS {
            for incarnation in 1..=self.incarnations[index] {
                let chosen = registration(index, incarnation);
                let admitted = self.table.admit_send(&chosen, self.now);
                if self.has_left(&chosen) {
                    assert_eq!(admitted, Err(SendObstacle::Leaving));
                } else if self.is_paused(index) {
                    assert!(admitted.is_err());
                }
            }
        }
        let states = self.table.of_service(&service()).iter();
        let obstacles = states.map(|it| (it.registration.clone(), it.obstacle(self.now)));
        for (listed, obstacle) in obstacles.collect::<Vec<_>>() {
            let is_leaving = obstacle == Some(SendObstacle::Leaving);
            assert_eq!(is_leaving, self.has_left(&listed), "{listed:?}");
            let index = usize::from(listed.address.port() - 9_000);
            let is_paused = obstacle == Some(SendObstacle::Paused);
            assert!(!is_paused || self.is_paused(index), "{listed:?}");
        }
    }
}

// Guards against a backend server that is sent requests after it has said that it shuts down, whatever
// is listed, and against one that is not used after a new incarnation has registered.
#[test]
fn no_order_of_events_sends_a_request_to_one_that_leaves_or_pauses() {
    for seed in 0..200 {
        let mut run = Run::new(seed);
        for _ in 0..EVENTS {
            run.step();
        }
        for incarnation in &mut run.incarnations {
            *incarnation += 1;
        }
        run.now = run.now + MAX_PAUSE;
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

// Guards against a refusal that names another time than the shortest pause, and against a backend
// server that gets all requests at the end of its pause since it is the least loaded one.
#[test]
fn a_backend_server_is_used_gradually_after_its_pause() {
    let mut run = Run::new(1);
    for index in 0..BACKENDS {
        let pause = TimeSpan::from_secs(5 + index as u64);
        let backend = registration(index, 1).backend;
        assert!(run.table.note_pause(&backend, pause, run.now));
    }
    let retry_after = TimeSpan::from_secs(5);
    let obstacle = run.table.service_obstacle(&service(), run.now);
    assert_eq!(obstacle, ServiceObstacle::Paused { retry_after });
    run.now = run.now + retry_after;
    assert_eq!(run.table.take_ended_pauses(run.now).len(), 1);
    assert!(run.table.take_ended_pauses(run.now).is_empty());
    let costs = [0, 250, 500, 1_000, 2_000].map(|millis| {
        let now = run.now + TimeSpan::from_millis(millis);
        let query = ChoiceQuery {
            prompt: None,
            service: &service(),
            domain: &domain(),
            tried: &[],
            load_limit: None,
            now,
        };
        estimate_cost(&run.table.of_service(&service())[0], &query)
    });
    assert_eq!(format!("{costs:?}"), "[5.0, 4.0, 3.0, 1.0, 1.0]");
}
