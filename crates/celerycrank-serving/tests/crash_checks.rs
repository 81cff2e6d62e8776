//! Tests of how a crash of a backend server is told from ended connections, on simulated time.

use std::{collections::VecDeque, net::SocketAddr};

use celerycrank_serving::{
    BackendIncarnation, BackendRegistration, BackendTable, CheckStep, CheckVerdict, ConnectionSign,
    CrashCheck, IncarnationFate, RegistrationChange, RegistrationState,
};
use celerycrank_types::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// When the first connection ends.
const BEGIN: TimePoint = TimePoint(10_000_000);

/// Time until a backend server answers an attempt to connect, or ends what it has accepted.
const LATENCY: TimeSpan = TimeSpan(50);

/// Time after which an unanswered attempt to connect is given up.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);

/// Number of seeds of the random test.
const SEEDS: u64 = 2_000;

/// What a process does after the first of its connections has ended.
#[derive(Debug, Clone, Default)]
struct TestBackend {
    /// When further connections end.
    further_ends: VecDeque<TimePoint>,
    listener_ends_at: Option<TimePoint>,
    next_listens_at: Option<TimePoint>,
    next_registers_at: Option<TimePoint>,
    leaves_at: Option<TimePoint>,
    /// When it ends connections on which nothing arrives.
    idle_timeout: Option<TimeSpan>,
    is_cut_off: bool,
}

/// The end of a check.
#[derive(Debug, PartialEq, Eq)]
struct CheckEnd {
    verdict: CheckVerdict,
    at: TimePoint,
    connections: u32,
}

impl TestBackend {
    fn fate(&self, now: TimePoint) -> IncarnationFate {
        if self.next_registers_at.is_some_and(|at| at <= now) {
            IncarnationFate::Replaced
        } else if self.leaves_at.is_some_and(|at| at <= now) {
            IncarnationFate::Departing
        } else {
            IncarnationFate::Running
        }
    }

    fn connect(&self, now: TimePoint) -> ConnectionSign {
        let has_ended = self.listener_ends_at.is_some_and(|at| at <= now);
        let is_taken = self.next_listens_at.is_some_and(|at| at <= now);
        if self.is_cut_off {
            ConnectionSign::Unanswered
        } else if has_ended && !is_taken {
            ConnectionSign::Refused
        } else {
            ConnectionSign::Accepted
        }
    }

    /// When a connection accepted at this time ends.
    fn end_of(&self, accepted_at: TimePoint) -> Option<TimePoint> {
        let exit = self.listener_ends_at.filter(|at| *at > accepted_at);
        let idle = self.idle_timeout.map(|span| accepted_at + span);
        exit.into_iter().chain(idle).min()
    }

    /// The first event between two points of time that the entry notices by itself.
    fn next_event(&self, now: TimePoint, until: TimePoint) -> Option<TimePoint> {
        let fates = [self.next_registers_at, self.leaves_at];
        let events = fates.into_iter().flatten();
        let events = events.chain(self.further_ends.front().copied());
        events.filter(|at| *at > now && *at < until).min()
    }

    fn check(mut self) -> CheckEnd {
        let mut check = CrashCheck::new(BEGIN);
        let mut now = BEGIN;
        let mut connections = 0;
        let mut accepted_at = BEGIN;
        loop {
            while let Some(at) = self.further_ends.front().filter(|at| **at <= now) {
                check.note_ended(*at);
                self.further_ends.pop_front();
            }
            let (until, sign) = match check.next_step(self.fate(now), now) {
                CheckStep::End(verdict) => {
                    return CheckEnd {
                        verdict,
                        at: now,
                        connections,
                    };
                }
                CheckStep::Connect { at } => {
                    connections += 1;
                    accepted_at = now.max(at);
                    let sign = self.connect(accepted_at);
                    let is_answered = sign != ConnectionSign::Unanswered;
                    let wait = if is_answered {
                        LATENCY
                    } else {
                        CONNECT_TIMEOUT
                    };
                    now = accepted_at + wait;
                    check.note_sign(sign, now);
                    continue;
                }
                CheckStep::Hold { until } => match self.end_of(accepted_at) {
                    Some(end) if end <= until => (end, Some(ConnectionSign::Ended)),
                    _ => (until, Some(ConnectionSign::Open)),
                },
                CheckStep::Wait { until } => (until, None),
            };
            if let Some(event) = self.next_event(now, until) {
                now = event;
                continue;
            }
            now = now.max(until);
            if let Some(sign) = sign {
                check.note_sign(sign, now);
            }
        }
    }
}

fn crashed(outlived: Option<TimePoint>) -> CheckVerdict {
    CheckVerdict::Crashed { outlived }
}

fn is_crash(verdict: CheckVerdict) -> bool {
    matches!(verdict, CheckVerdict::Crashed { .. })
}

// Guards against a crash that is taken for a closed connection, since the listener ends after the
// connections (review/6).
#[test]
fn a_crash_is_recognized_however_long_the_listener_outlives_the_connections() {
    for micros in [0, 1, 60, 300, 5_000, 100_000, 240_000, 260_000, 900_000] {
        let ends_at = BEGIN + TimeSpan(micros);
        let backend = TestBackend {
            listener_ends_at: Some(ends_at),
            ..TestBackend::default()
        };
        let end = backend.check();
        assert!(is_crash(end.verdict), "{micros} µs: {end:?}");
        let delay = end.at.since(ends_at);
        assert!(delay <= TimeSpan::from_millis(1), "{micros} µs: {end:?}");
    }
}

// Guards against a check that gives up when its own connection has ended before the listener.
#[test]
fn a_crash_is_recognized_though_the_connection_of_the_check_ends_first() {
    for idle_millis in [0, 1, 30, 300] {
        for lag_millis in [1, 5, 100, 900] {
            let backend = TestBackend {
                listener_ends_at: Some(BEGIN + TimeSpan::from_millis(lag_millis)),
                idle_timeout: Some(TimeSpan::from_millis(idle_millis)),
                ..TestBackend::default()
            };
            let end = backend.check();
            assert!(
                is_crash(end.verdict),
                "{idle_millis}, {lag_millis}: {end:?}"
            );
        }
    }
}

// Guards against a crash that is never recognized, since the next process listens when the entry looks.
#[test]
fn a_crash_is_recognized_though_the_next_process_takes_the_address() {
    for registers_millis in [1, 300, 900, 1_500, 2_900] {
        let backend = TestBackend {
            listener_ends_at: Some(BEGIN),
            next_listens_at: Some(BEGIN),
            next_registers_at: Some(BEGIN + TimeSpan::from_millis(registers_millis)),
            ..TestBackend::default()
        };
        let end = backend.check();
        assert!(is_crash(end.verdict), "{registers_millis} ms: {end:?}");
        assert_eq!(end.connections, 1);
    }
}

// Guards against a living backend server that is taken for crashed.
#[test]
fn other_ends_of_connections_are_no_crashes() {
    let millis = |millis| Some(BEGIN + TimeSpan::from_millis(millis));
    let closing = TestBackend::default();
    let limiting = TestBackend {
        idle_timeout: Some(TimeSpan::ZERO),
        ..TestBackend::default()
    };
    let cut_off = TestBackend {
        is_cut_off: true,
        ..TestBackend::default()
    };
    let ending_later = TestBackend {
        listener_ends_at: millis(1_600),
        ..TestBackend::default()
    };
    let leaving = TestBackend {
        leaves_at: millis(100),
        listener_ends_at: millis(300),
        next_listens_at: millis(300),
        ..TestBackend::default()
    };
    for (backend, verdict, most) in [
        (closing, CheckVerdict::Running, 1),
        (limiting, CheckVerdict::Running, 12),
        (cut_off, CheckVerdict::Unproven, 3),
        (ending_later, CheckVerdict::Running, 1),
        (leaving, CheckVerdict::Departed, 1),
    ] {
        let end = backend.clone().check();
        assert_eq!(end.verdict, verdict, "{backend:?}");
        assert!(end.connections <= most, "{backend:?}: {end:?}");
    }
}

// Guards against sound prompts that are blamed for a crash long after their connections ended.
#[test]
fn connections_that_a_backend_server_has_outlived_are_no_part_of_its_crash() {
    let second_end = BEGIN + TimeSpan::from_millis(1_400);
    let backend = TestBackend {
        further_ends: [BEGIN + TimeSpan::from_millis(700), second_end].into(),
        listener_ends_at: Some(second_end + TimeSpan(300)),
        ..TestBackend::default()
    };
    let CheckVerdict::Crashed {
        outlived: Some(outlived),
    } = backend.check().verdict
    else {
        panic!("it has crashed");
    };
    assert!(outlived >= BEGIN, "{outlived}");
    assert!(outlived < BEGIN + TimeSpan::from_millis(700), "{outlived}");
}

// Guards against an entry that did not run for seconds and takes a crash meanwhile for survival.
#[test]
fn a_pause_of_the_entry_proves_nothing() {
    let mut check = CrashCheck::new(BEGIN);
    let accepted_at = BEGIN + TimeSpan::from_millis(1);
    check.note_sign(ConnectionSign::Accepted, accepted_at);
    let resumed_at = BEGIN + TimeSpan::from_secs(5);
    check.note_sign(ConnectionSign::Open, resumed_at);
    let until = resumed_at + TimeSpan::from_millis(250);
    let running = IncarnationFate::Running;
    let step = check.next_step(running, resumed_at);
    assert_eq!(step, CheckStep::Hold { until });
    check.note_sign(ConnectionSign::Ended, resumed_at);
    check.note_sign(ConnectionSign::Refused, resumed_at);
    let CheckStep::End(CheckVerdict::Crashed { outlived }) = check.next_step(running, resumed_at)
    else {
        panic!("it has crashed");
    };
    assert!(outlived.is_none_or(|outlived| outlived < BEGIN));
}

// Guards against a check that never ends, connects without bound, or errs where it could know.
#[test]
fn checks_end_with_the_right_verdict() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut point = |chance: f64, max_millis: u64| {
            let span = TimeSpan(random.random_range(0..max_millis * 1_000));
            random.random_bool(chance).then_some(BEGIN + span)
        };
        let backend = TestBackend {
            listener_ends_at: point(0.5, 900),
            next_listens_at: point(0.5, 2_000),
            leaves_at: point(0.1, 2_000),
            idle_timeout: point(0.2, 500).map(|at| at.since(BEGIN)),
            is_cut_off: point(0.1, 1).is_some(),
            ..TestBackend::default()
        };
        let end = backend.clone().check();
        assert!(end.connections <= 13, "seed {seed}: {backend:?}, {end:?}");
        let span = end.at.since(BEGIN);
        assert!(span <= TimeSpan::from_secs(4), "seed {seed}: {end:?}");
        if backend.listener_ends_at.is_none() || backend.is_cut_off {
            assert!(!is_crash(end.verdict), "seed {seed}: {backend:?}, {end:?}");
        }
        let is_plain =
            backend.next_listens_at.is_none() && backend.leaves_at.is_none() && !backend.is_cut_off;
        if backend.listener_ends_at.is_some() && is_plain {
            assert!(is_crash(end.verdict), "seed {seed}: {backend:?}, {end:?}");
        }
    }
}

fn registration(backend: &str, port: u16, incarnation: u64) -> BackendRegistration {
    BackendRegistration {
        backend: backend.parse().expect("a valid name"),
        service: "shop".parse().expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: "a".parse().expect("a valid name"),
        slots: 4,
        state: RegistrationState::Ready,
        incarnation,
        warm_up_remaining: TimeSpan::ZERO,
    }
}

fn write(table: &mut BackendTable, registration: BackendRegistration) {
    table.apply(RegistrationChange::Written(registration), BEGIN);
}

fn table_of(registration: &BackendRegistration) -> (BackendTable, BackendIncarnation) {
    let mut table = BackendTable::default();
    table.replace(vec![registration.clone()], BEGIN);
    (table, registration.to_incarnation())
}

// Guards against a next process that does not show that the previous one has crashed.
#[test]
fn an_incarnation_whose_address_another_one_takes_has_been_replaced() {
    let first = registration("w0", 9_000, 1);
    for next in [registration("w0", 9_000, 2), registration("w1", 9_000, 1)] {
        let (mut table, incarnation) = table_of(&first);
        assert_eq!(table.fate(&incarnation), IncarnationFate::Running);
        write(&mut table, next.clone());
        assert_eq!(table.fate(&incarnation), IncarnationFate::Replaced);
        let next = next.to_incarnation();
        assert_eq!(table.fate(&next), IncarnationFate::Running);
    }
    let (mut table, incarnation) = table_of(&first);
    table.note_misdirected(&first.backend);
    assert_eq!(table.fate(&incarnation), IncarnationFate::Replaced);
}

// Guards against a rollout that is taken for crashes.
#[test]
fn an_incarnation_that_ends_as_planned_is_not_replaced() {
    let first = registration("w0", 9_000, 1);
    let next = registration("w0", 9_000, 2);
    let (mut draining, incarnation) = table_of(&first);
    let state = RegistrationState::Draining;
    write(
        &mut draining,
        BackendRegistration {
            state,
            ..first.clone()
        },
    );
    let (mut removed, _) = table_of(&first);
    removed.apply(RegistrationChange::Removed(first.backend.clone()), BEGIN);
    let (mut leaving, _) = table_of(&first);
    leaving.note_leaving(&first);
    for table in [&mut draining, &mut removed, &mut leaving] {
        assert_eq!(table.fate(&incarnation), IncarnationFate::Departing);
        write(table, next.clone());
        assert_eq!(table.fate(&incarnation), IncarnationFate::Departing);
    }
}

// Guards against a running process that counts as replaced, since the store lists its predecessor again.
#[test]
fn an_earlier_incarnation_replaces_none() {
    let first = registration("w0", 9_000, 1);
    let next = registration("w1", 9_000, 1);
    let (mut table, _) = table_of(&first);
    for _ in 0..2 {
        table.replace(vec![first.clone(), next.clone()], BEGIN);
        let fate = table.fate(&next.to_incarnation());
        assert_eq!(fate, IncarnationFate::Running);
    }
}

// Guards against a crash that counts although nothing listens, when the process has said that it leaves.
#[test]
fn a_refused_connection_of_a_departing_backend_server_is_no_crash() {
    let mut check = CrashCheck::new(BEGIN);
    check.note_sign(ConnectionSign::Refused, BEGIN);
    let step = check.next_step(IncarnationFate::Departing, BEGIN);
    assert_eq!(step, CheckStep::End(CheckVerdict::Departed));
    let step = check.next_step(IncarnationFate::Running, BEGIN);
    assert_eq!(step, CheckStep::End(crashed(None)));
}
