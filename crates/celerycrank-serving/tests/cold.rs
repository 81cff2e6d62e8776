//! Tests of the shares of the requests that cold backend servers take.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

use celerycrank_serving::{
    BackendRegistration, BackendTable, ChoiceQuery, ColdBounds, ColdStart, EntryList, EntryPlace,
    RegistrationChange, RegistrationState, ServiceObstacle, choose_backend,
};
use celerycrank_types::{BackendId, RequestRate, ServiceId, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Time in which requests are counted.
const WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// Number of entries that may not know their place at the same time.
const MAX_UNPLACED: usize = 24;

fn service() -> ServiceId {
    "llm".parse().expect("a valid name")
}

fn backend() -> BackendId {
    "w1".parse().expect("a valid name")
}

fn registration(cold: TimeSpan) -> BackendRegistration {
    BackendRegistration {
        backend: backend(),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: "a".parse().expect("a valid name"),
        slots: 12,
        state: RegistrationState::Ready,
        incarnation: 1,
        warm_up_remaining: cold,
    }
}

/// What the operators say about cold backend servers.
#[derive(Debug, Clone, Copy)]
struct ColdPlan {
    per_second: f64,
    bounds: ColdBounds,
}

impl ColdPlan {
    const fn new(per_second: f64, overshoot: f64, tolerance: f64) -> Self {
        let bounds = ColdBounds {
            overshoot,
            tolerance,
        };
        Self { per_second, bounds }
    }

    fn bound(self) -> f64 {
        self.per_second * self.bounds.overshoot + self.bounds.tolerance
    }

    fn table(self, cold: TimeSpan, now: TimePoint) -> BackendTable {
        let mut table = BackendTable::default();
        let start = ColdStart {
            span: TimeSpan::from_secs(3),
            rate: RequestRate::from_per_second(self.per_second).expect("a rate"),
        };
        table.set_cold_starts(HashMap::from([(service(), start)]), Some(self.bounds), now);
        table.replace(vec![registration(cold)], now);
        table
    }
}

/// Sends a request if the backend server may get one; returns whether it did.
fn send(table: &mut BackendTable, now: TimePoint, random: &mut StdRng) -> bool {
    let domain = "a".parse().expect("a valid name");
    let query = ChoiceQuery {
        prompt: None,
        service: &service(),
        domain: &domain,
        tried: &[],
        load_limit: None,
        now,
    };
    let chosen = choose_backend(table, &query, random).chosen();
    let chosen = chosen.map(|state| state.registration.clone());
    chosen.is_some_and(|chosen| table.admit_send(&chosen, now).is_ok())
}

struct TestEntry {
    id: u32,
    table: BackendTable,
    is_placed: bool,
}

/// The entries of a run, which come, go, restart and count each other late.
struct TestEntries {
    plan: ColdPlan,
    entries: Vec<TestEntry>,
    next_id: u32,
    /// Whether each entry knows its place at some time.
    are_placed: bool,
    cold_until: TimePoint,
}

impl TestEntries {
    fn add(&mut self, now: TimePoint) {
        let cold = self.cold_until.since(now);
        self.entries.push(TestEntry {
            id: self.next_id,
            table: self.plan.table(cold, now),
            is_placed: false,
        });
        self.next_id += 1;
    }

    /// Updates the place of an entry, whose list may miss one of the others.
    fn place(&mut self, index: usize, missing: Option<usize>, now: TimePoint) {
        let missing = missing.filter(|missing| *missing != index);
        let is_before = missing.is_some_and(|missing| missing < index);
        let position = index - usize::from(is_before);
        let count = self.entries.len() - usize::from(missing.is_some());
        let [position, count] = [position, count].map(|it| u32::try_from(it).unwrap());
        let entry = &mut self.entries[index];
        let place = EntryPlace::new(position, count);
        entry.table.set_cold_place(place, now);
        entry.is_placed = true;
    }

    /// Updates the places of those that have one, since no count is wrong by more than one.
    fn place_all(&mut self, now: TimePoint) {
        for index in 0..self.entries.len() {
            if self.entries[index].is_placed {
                self.place(index, None, now);
            }
        }
    }

    fn unplaced(&self) -> usize {
        self.entries.iter().filter(|it| !it.is_placed).count()
    }

    fn step(&mut self, now: TimePoint, random: &mut StdRng) {
        let index = random.random_range(0..self.entries.len());
        let may_be_unplaced = self.unplaced() < MAX_UNPLACED;
        match random.random_range(0..100) {
            0 if may_be_unplaced => {
                self.place_all(now);
                self.add(now);
                // Lists of the entries are in the order of their addresses.
                let moved = self.entries.pop().expect("it was added");
                self.entries.insert(index, moved);
            }
            1 if self.entries.len() > 1 => {
                self.place_all(now);
                self.entries.remove(index);
            }
            2 if may_be_unplaced => {
                self.add(now);
                let restarted = self.entries.swap_remove(index);
                self.entries[index].id = restarted.id;
            }
            3 if may_be_unplaced => {
                self.entries[index].table.set_cold_place(None, now);
                self.entries[index].is_placed = false;
            }
            4..40 if self.are_placed => {
                let missing = random.random_range(0..self.entries.len());
                let missing = random.random_bool(0.5).then_some(missing);
                self.place(index, missing, now);
            }
            40 => self.become_cold(now, random),
            _ => {}
        }
    }

    fn become_cold(&mut self, now: TimePoint, random: &mut StdRng) {
        let span = TimeSpan::from_millis(random.random_range(0..4_000));
        self.cold_until = self.cold_until.max(now + span);
        for entry in &mut self.entries {
            if random.random_bool(0.5) {
                entry.table.note_cold(&backend(), span, now);
            } else {
                let change = RegistrationChange::Written(registration(span));
                entry.table.apply(change, now);
            }
        }
    }
}

/// Returns when requests were sent while the backend server was cold, and for how long it was.
fn run(plan: ColdPlan, count: usize, are_placed: bool, seed: u64) -> (Vec<TimePoint>, TimeSpan) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut now = TimePoint::default() + TimeSpan::from_secs(10);
    let mut run = TestEntries {
        plan,
        entries: Vec::new(),
        next_id: 0,
        are_placed,
        cold_until: now + TimeSpan::from_secs(3),
    };
    for index in 0..count {
        run.add(now);
        if are_placed && (index >= MAX_UNPLACED || random.random_bool(0.7)) {
            run.entries[index].is_placed = true;
        }
    }
    run.place_all(now);
    let (mut sent, mut cold) = (Vec::new(), TimeSpan::ZERO);
    for _ in 0..1_500 {
        let step = TimeSpan(random.random_range(1..30_000));
        run.step(now, &mut random);
        let is_cold = now < run.cold_until;
        let is_idle = random.random_bool(0.1);
        for entry in run.entries.iter_mut().filter(|_| !is_idle) {
            if send(&mut entry.table, now, &mut random) && is_cold {
                sent.push(now);
            }
        }
        now = now + step;
        cold = TimeSpan(cold.0 + if is_cold { step.0 } else { 0 });
    }
    (sent, cold)
}

fn largest_window(times: &[TimePoint]) -> usize {
    let mut first = 0;
    let counts = times.iter().enumerate().map(|(last, at)| {
        while at.since(times[first]) >= WINDOW {
            first += 1;
        }
        last + 1 - first
    });
    counts.max().unwrap_or_default()
}

// Guards against a cold backend server that crashes, since each entry sends it what all of them
// together may, also if entries come, go and restart, or do not know how many there are.
#[test]
fn all_entries_together_keep_the_bound_of_a_cold_backend_server() {
    for plan in [
        ColdPlan::new(26.0, 1.5, 5.0),
        ColdPlan::new(8.0, 1.5, 5.0),
        ColdPlan::new(100.0, 1.2, 2.0),
        ColdPlan::new(2.5, 1.0, 5.0),
    ] {
        for count in [1, 2, 5, 12, 21, 24, 40, 60] {
            for (are_placed, seed) in [(true, 1), (true, 2), (false, 3)] {
                let count = if are_placed { count } else { count.min(20) };
                let (sent, cold) = run(plan, count, are_placed, seed);
                let most = largest_window(&sent);
                let bound = plan.bound();
                let name = format!("{plan:?}, {count} entries, seed {seed}");
                assert!(most as f64 <= bound, "{name}: {most} of {bound}");
                let used = sent.len() as f64 / (plan.per_second * cold.as_secs_f64());
                assert!(!are_placed || used > 0.15, "{name}: {used} of the rate");
            }
        }
    }
}

// Guards against a limit that outlives the cold time or is unknown to the caller, and against one
// that an evacuation hides.
#[test]
fn a_cold_backend_server_gets_its_pace_until_it_is_warm() {
    let at = |millis| TimePoint::default() + TimeSpan::from_millis(millis);
    let mut random = StdRng::seed_from_u64(1);
    let mut table = ColdPlan::new(2.0, 1.5, 5.0).table(TimeSpan::from_secs(3), at(0));
    table.set_cold_place(EntryPlace::new(0, 1), at(0));
    assert!(!send(&mut table, at(0), &mut random), "the bucket is empty");
    let retry_after = TimeSpan(500_001);
    assert_eq!(
        table.service_obstacle(&service(), at(0)),
        ServiceObstacle::Cold { retry_after }
    );
    assert!(send(&mut table, at(501), &mut random));
    assert!(!send(&mut table, at(900), &mut random));
    for _ in 0..20 {
        assert!(send(&mut table, at(3_000), &mut random), "it is warm");
    }
    let domain = registration(TimeSpan::ZERO).domain;
    table.begin_evacuation(domain.clone());
    table.end_evacuation(&domain, at(4_000));
    assert!(send(&mut table, at(4_000), &mut random));
    assert!(!send(&mut table, at(4_100), &mut random));
    assert!(send(&mut table, at(7_000), &mut random));
    assert!(send(&mut table, at(7_000), &mut random));
}

/// The most requests that an entry sends in any second at this place.
fn most_at(plan: ColdPlan, place: Option<EntryPlace>, random: &mut StdRng) -> usize {
    let at = |millis| TimePoint::default() + TimeSpan::from_millis(millis);
    let mut table = plan.table(TimeSpan::from_secs(3), at(0));
    table.set_cold_place(place, at(0));
    let times = (0..3_000).step_by(5).map(at);
    let sent = times.filter(|now| send(&mut table, *now, random));
    largest_window(&sent.collect::<Vec<_>>())
}

// Guards against entries whose counts of all entries are too small or too large by one, each of them
// with the count that allows it the most.
#[test]
fn counts_that_are_wrong_by_one_keep_the_bound() {
    let mut random = StdRng::seed_from_u64(1);
    let plan = ColdPlan::new(26.0, 1.5, 5.0);
    for entries in [1, 2, 3, 9, 17, 20, 21, 22, 40, 43, 44, 45, 60, 200_u32] {
        let counts = [entries - 1, entries, entries + 1];
        let mut most = 0;
        for index in 0..entries {
            let indices = [index.saturating_sub(1), index, index + 1];
            let places = counts.iter().flat_map(|count| {
                let places = indices.iter();
                places.filter_map(|index| EntryPlace::new(*index, *count))
            });
            let at_places = places.map(|place| most_at(plan, Some(place), &mut random));
            most += at_places.max().unwrap_or_default();
        }
        assert!(most as f64 <= plan.bound(), "{entries} entries: {most}");
    }
}

/// Plays engines, their agents and entries that all start within a second after a power failure.
///
/// Every second each entry subscribes to all agents that run and asks some of them for the entries.
/// Returns when the entries sent requests to one of the engines, which is cold all the time.
fn play_common_start(plan: ColdPlan, entries: u16, seed: u64) -> Vec<TimePoint> {
    const AGENTS: usize = 64;
    let at = |millis| TimePoint::default() + TimeSpan::from_millis(millis);
    let mut random = StdRng::seed_from_u64(seed);
    let agents_from = [(); AGENTS].map(|()| random.random_range(0..1_000));
    let mut subscribers = [(); AGENTS].map(|()| BTreeSet::new());
    let started = (0..entries).map(|port| {
        let start = random.random_range(0..1_000);
        let table = plan.table(TimeSpan::from_secs(20), at(start));
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        (start, table, EntryList::default(), address)
    });
    let mut started = started.collect::<Vec<_>>();
    let mut sent = Vec::new();
    for millis in (0..10_000_u64).step_by(5) {
        let now = at(millis);
        for (start, table, list, own) in started.iter_mut().filter(|it| it.0 <= millis) {
            if (millis - *start) / 5 % 200 == 0 {
                for (subscribers, from) in subscribers.iter_mut().zip(agents_from) {
                    // Datagrams are lost at times.
                    if from <= millis && random.random_bool(0.9) {
                        subscribers.insert(*own);
                    }
                }
                for _ in 0..if list.is_recent(now) { 1 } else { 3 } {
                    let asked = random.random_range(0..AGENTS);
                    if agents_from[asked] <= millis {
                        subscribers[asked].insert(*own);
                        list.note(subscribers[asked].iter().copied().collect(), now);
                    }
                }
                table.set_cold_place(list.certain_place(*own, now), now);
            }
            if send(table, now, &mut random) {
                sent.push(now);
            }
        }
    }
    sent
}

// Guards against entries that have just started and take their place from the list of an agent to
// which few entries have subscribed yet.
#[test]
fn entries_that_start_together_with_the_engines_keep_the_bound() {
    let plan = ColdPlan::new(26.0, 1.5, 5.0);
    for entries in [2, 8, 14, 24] {
        for seed in 0..8 {
            let sent = play_common_start(plan, entries, seed);
            let most = largest_window(&sent);
            assert!(most <= 44, "{entries} entries, seed {seed}: {most}");
            let last = sent.iter().filter(|it| it.0 >= 9_000_000).count();
            assert!(last >= 18, "{entries} entries, seed {seed}: {last}");
        }
    }
    // They ask for their places before anything is cold.
    assert!(plan.table(TimeSpan::ZERO, TimePoint(0)).needs_place());
    assert!(!BackendTable::default().needs_place());
}

// Guards against a backend server that has restarted and counts as warm: its registration does not
// say that it is cold, or arrives late.
#[test]
fn a_backend_server_that_may_have_restarted_is_cold() {
    let at = |millis| TimePoint::default() + TimeSpan::from_millis(millis);
    let warm = || registration(TimeSpan::ZERO);
    let new_table = || ColdPlan::new(26.0, 1.5, 5.0).table(TimeSpan::ZERO, at(0));
    let cold_at = |table: &BackendTable, millis| {
        let mut states = table.iter();
        states.any(|state| state.cold_remaining(at(millis)).is_some())
    };
    let mut table = new_table();
    assert!(!cold_at(&table, 0));
    table.note_unreachable(&backend(), at(100));
    assert!(cold_at(&table, 3_099) && !cold_at(&table, 3_100));
    table.note_broken(&backend(), at(5_000));
    assert!(cold_at(&table, 7_999) && !cold_at(&table, 8_000));
    let mut restarted = warm();
    restarted.incarnation = 2;
    table.apply(RegistrationChange::Written(restarted.clone()), at(10_000));
    assert!(cold_at(&table, 12_999) && !cold_at(&table, 13_000));
    // The same process, in another service and back.
    let mut elsewhere = restarted.clone();
    elsewhere.service = "other".parse().expect("a valid name");
    for written in [elsewhere, restarted.clone()] {
        table.apply(RegistrationChange::Written(written), at(10_500));
        assert!(cold_at(&table, 12_999) && !cold_at(&table, 13_000));
    }
    // It leaves an evacuated failure domain.
    table.apply(RegistrationChange::Written(restarted.clone()), at(13_500));
    assert!(!cold_at(&table, 13_500));
    let domain = warm().domain;
    table.begin_evacuation(domain);
    restarted.domain = "b".parse().expect("a valid name");
    table.apply(RegistrationChange::Written(restarted), at(14_000));
    assert!(cold_at(&table, 16_999) && !cold_at(&table, 17_000));
}

// Guards against entries that refuse every request after a restart of all ranks, although they have
// sent these nothing in the last second.
#[test]
fn a_restarted_backend_server_takes_a_request_at_once() {
    let at = |millis| TimePoint::default() + TimeSpan::from_millis(millis);
    let mut random = StdRng::seed_from_u64(1);
    let mut restarted = registration(TimeSpan::from_secs(3));
    restarted.incarnation = 2;
    let mut renamed = restarted.clone();
    renamed.backend = "w2".parse().expect("a valid name");
    for written in [restarted, renamed] {
        let mut table = ColdPlan::new(26.0, 1.5, 5.0).table(TimeSpan::ZERO, at(0));
        table.set_cold_place(EntryPlace::new(0, 14), at(0));
        table.apply(RegistrationChange::Removed(backend()), at(4_000));
        let change = RegistrationChange::Written(written);
        table.apply(change.clone(), at(6_000));
        assert!(send(&mut table, at(6_000), &mut random));
        assert!(!send(&mut table, at(6_010), &mut random));
        // It is removed and forgotten, and registers again.
        let removed = table.of_service(&service());
        let names = removed.iter().map(|it| it.registration.backend.clone());
        for name in names.collect::<Vec<_>>() {
            table.apply(RegistrationChange::Removed(name), at(4_500));
        }
        table.prune_removed(at(6_020));
        table.apply(change, at(6_030));
        assert!(!send(&mut table, at(6_040), &mut random));
        assert!(send(&mut table, at(6_700), &mut random));
    }
}
