//! Property tests of waiting requests and of the places for which they wait.

use std::ops::ControlFlow;

use celerycrank_serving::{
    AccountShare, AdmissionQueue, BackendChoice, BackendRegistration, BackendTable, ChoiceQuery,
    LoadLimit, LoadReport, RegistrationState, UrgencyLevel, WaitBand, WaitRank, WaitTicket,
    choose_backend, is_full,
};
use celerycrank_types::{BackendId, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::StdRng};

const CAPACITY: usize = 6;

fn random_rank(random: &mut StdRng) -> WaitRank {
    WaitRank {
        level: UrgencyLevel(random.random_range(0..3)),
        band: [WaitBand::InTime, WaitBand::Late][random.random_range(0..2)],
        share: [AccountShare::Within, AccountShare::Exceeded][random.random_range(0..2)],
        due: TimePoint(random.random_range(0..4)),
    }
}

// Guards against requests that are lost, returned twice, out of order, or more than the capacity.
#[test]
fn the_queue_equals_a_sorted_list() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut queue = AdmissionQueue::new(CAPACITY);
        // The waiting requests in order, by rank and number.
        let mut expected: Vec<(WaitRank, u32)> = Vec::new();
        let mut tickets: Vec<(WaitTicket, u32)> = Vec::new();
        for number in 0..400 {
            match random.random_range(0..4) {
                0 | 1 => {
                    let rank = random_rank(&mut random);
                    expected.push((rank, number));
                    expected.sort_unstable();
                    let displaced = (expected.len() > CAPACITY).then(|| expected.pop());
                    let displaced = displaced.flatten().map(|(_, number)| number);
                    match queue.push(rank, number) {
                        Ok((ticket, evicted)) => {
                            assert_eq!(evicted, displaced);
                            tickets.push((ticket, number));
                        }
                        Err(value) => assert_eq!(Some(value), displaced),
                    }
                }
                2 if !tickets.is_empty() => {
                    let index = random.random_range(0..tickets.len());
                    let (ticket, number) = tickets.swap_remove(index);
                    let position = expected.iter().position(|it| it.1 == number);
                    assert_eq!(queue.remove(&ticket), position.is_some());
                    position.map(|position| expected.remove(position));
                }
                _ => {
                    // Some requests cannot use the place, and the search ends at one of them.
                    let (divisor, last) = (random.random_range(1..4), random.random_range(0..9));
                    let position = expected.iter().position(|it| it.1 % divisor == 0);
                    let position = position.filter(|position| *position <= last);
                    let taken = position.map(|position| expected.remove(position).1);
                    let mut passed = 0;
                    let found = queue.take_first(|_, number| {
                        if passed > last {
                            return ControlFlow::Break(());
                        }
                        passed += 1;
                        ControlFlow::Continue(number % divisor == 0)
                    });
                    assert_eq!(found, taken, "seed {seed}");
                }
            }
            assert_eq!(queue.len(), expected.len());
            assert_eq!(queue.first_rank(), expected.first().map(|it| it.0));
        }
    }
}

fn at(millis: u64) -> TimePoint {
    TimePoint(millis * 1_000)
}

/// A table of ranks of four groups with random loads; some groups are closed or unstable, some ranks
/// drain, and some have no report.
fn random_table(random: &mut StdRng, names: &[BackendId]) -> BackendTable {
    let registrations = names.iter().zip(1..).map(|(backend, port)| {
        let states = [RegistrationState::Ready, RegistrationState::Draining];
        BackendRegistration {
            backend: backend.clone(),
            service: "llm".parse().expect("a plain name"),
            address: ([10, 0, 0, 1], port).into(),
            domain: "a".parse().expect("a plain name"),
            slots: 4,
            state: states[usize::from(random.random_bool(0.3))],
            incarnation: 1,
            warm_up_remaining: TimeSpan::ZERO,
        }
    });
    let registrations = registrations.collect::<Vec<_>>();
    let mut table = BackendTable::default();
    table.replace(registrations, at(0));
    for (index, backend) in names.iter().enumerate() {
        for _ in 0..random.random_range(0..3) {
            table.begin(backend, at(10));
        }
        if random.random_bool(0.2) {
            continue;
        }
        let open = [(20, true), (30, false), (40, true), (50, false), (60, true)];
        let changes = [1, 2, 5][random.random_range(0..3)];
        for (millis, is_open) in open.into_iter().take(changes) {
            let report = LoadReport {
                running: random.random_range(0..7),
                waiting: [0, 0, 30][random.random_range(0..3)],
                pace: f64::NAN,
                group: Some(format!("g{}", index % 4).parse().expect("a plain name")),
                is_open,
                entries: 1,
            };
            table.observe_load(backend, report, at(millis));
        }
    }
    table
}

// Guards against a request that waits although it could be sent or has to be refused, and against one
// that is woken again and again without a place.
#[test]
fn a_service_is_full_exactly_if_the_choice_says_so() {
    let mut outcomes = [0; 3];
    for seed in 0..2_000 {
        let mut random = StdRng::seed_from_u64(seed);
        let names = (0..random.random_range(0..9)).map(|it| format!("w{it}").parse());
        let names = names.collect::<Result<Vec<BackendId>, _>>();
        let names = names.expect("plain names");
        let table = random_table(&mut random, &names);
        let tried = names.iter().filter(|_| random.random_bool(0.3)).cloned();
        let tried = tried.collect::<Vec<_>>();
        let query = ChoiceQuery {
            service: &"llm".parse().expect("a plain name"),
            domain: &"a".parse().expect("a plain name"),
            tried: &tried,
            load_limit: Some(LoadLimit {
                requests: 4,
                entries: random.random_range(1..4),
                part: [1.0, 0.5][random.random_range(0..2)],
                reserve: [0.0, 2.5][random.random_range(0..2)],
                max_reserve: 0.2,
            }),
            now: at(100),
            prompt: None,
        };
        let choice = choose_backend(&table, &query, &mut random);
        let is_choice_full = matches!(choice, BackendChoice::Full);
        assert_eq!(is_full(&table, &query), is_choice_full, "seed {seed}");
        outcomes[usize::from(is_choice_full) + usize::from(choice.chosen().is_some()) * 2] += 1;
    }
    assert!(outcomes.iter().all(|count| *count >= 50), "{outcomes:?}");
}
