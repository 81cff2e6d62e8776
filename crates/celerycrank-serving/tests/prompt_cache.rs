//! Tests of the choice among backend servers that still hold prompts.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
};

use celerycrank_routing::{HolderKey, PromptBeginnings, PromptIndex, PromptRetention};
use celerycrank_serving::{
    BackendRegistration, BackendTable, ChoiceQuery, EngineProfile, LoadReport, PromptOutcome,
    PromptWeighing, RegistrationChange, RegistrationState, choose_backend,
};
use celerycrank_types::{BackendId, DomainId, PromptPartId, ServiceId, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedMutRandom};

const SEED: u64 = 0x0910_2026;
const ENTRIES: usize = 4;
const BACKENDS: usize = 32;
const REQUESTS: usize = 24_000;
const OWN_TOKENS: u64 = 200;

const PROFILE: EngineProfile = EngineProfile {
    slots: 12,
    kv_cache_tokens: 200_000,
    step: TimeSpan(5_000),
    step_per_request: TimeSpan(400),
    steps_per_pass: 6,
    prefill_rate: 20_000.0,
    mean_answer_tokens: 150.0,
    group: None,
};

const RETENTION: PromptRetention = PromptRetention {
    span: TimeSpan::from_secs(60),
    tokens: 100_000,
};

fn service() -> ServiceId {
    "llm".parse().expect("a valid name")
}

fn domain() -> DomainId {
    "a".parse().expect("a valid name")
}

fn backend(number: usize) -> BackendId {
    format!("w{number}").parse().expect("a valid name")
}

fn holder(number: usize) -> HolderKey {
    HolderKey::new(&backend(number), 1)
}

fn register(table: &mut BackendTable, number: usize, incarnation: u64) {
    let port = u16::try_from(number + 1).expect("few backend servers");
    let registration = BackendRegistration {
        backend: backend(number),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: domain(),
        slots: PROFILE.slots,
        state: RegistrationState::Ready,
        incarnation,
        warm_up_remaining: TimeSpan::ZERO,
    };
    table.apply(
        RegistrationChange::Written(registration),
        TimePoint::default(),
    );
}

fn table(backends: usize) -> BackendTable {
    let mut table = BackendTable::default();
    for number in 0..backends {
        register(&mut table, number, 1);
    }
    table
}

fn report(running: u32) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        pace: 1.0,
        group: None,
        is_open: true,
        entries: 4,
    }
}

fn prompt(parts: &[(u128, u64)]) -> PromptBeginnings {
    let shared = parts
        .iter()
        .map(|(id, tokens)| (PromptPartId(*id), *tokens));
    let tokens = parts.iter().map(|(_, tokens)| tokens).sum::<u64>();
    PromptBeginnings::new(&service(), shared, Some(tokens + OWN_TOKENS))
}

/// The decision under test, and those in whose place it stands.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Decision {
    Weighed,
    LoadAlone,
    AffinityAlone,
}

/// One entry with its view of loads and held prompts.
struct SimulatedEntry {
    table: BackendTable,
    index: PromptIndex,
}

impl SimulatedEntry {
    fn choose(
        &self,
        prompt: &PromptBeginnings,
        now: TimePoint,
        decision: Decision,
        random: &mut StdRng,
    ) -> (usize, Option<PromptOutcome>) {
        let holders = self.index.holders(prompt, RETENTION, now);
        let number = |name: &BackendId| name.as_str()[1..].parse::<usize>().expect("a number");
        if decision == Decision::AffinityAlone {
            let numbers = 0..self.table.of_service(&service()).len();
            let best = numbers.filter_map(|it| Some((holders.tokens_at(holder(it))?, it)));
            if let Some((_, it)) = best.max() {
                return (it, None);
            }
        }
        let target = TimeSpan::from_millis(400);
        let weighing = PromptWeighing::new(&holders, &PROFILE, prompt.tokens(), target);
        let weighing = weighing.filter(|_| decision == Decision::Weighed);
        let query = ChoiceQuery {
            service: &service(),
            domain: &domain(),
            tried: &[],
            now,
            prompt: weighing.as_ref(),
        };
        let chosen = choose_backend(&self.table, &query, random).chosen();
        let chosen = chosen.expect("all are usable");
        let outcome = weighing.map(|weighing| weighing.outcome(chosen));
        (number(&chosen.registration.backend), outcome)
    }
}

/// An engine that keeps prompts, the least recently used of which it evicts.
#[derive(Default)]
struct SimulatedEngine {
    /// Beginnings by their parts, with their last use and their size without the ones before.
    kept: HashMap<Vec<u128>, (TimePoint, u64)>,
    running: u32,
    /// When the prompts of all requests so far have been read.
    read_at: TimePoint,
}

impl SimulatedEngine {
    /// Reads a prompt; returns the number of tokens that were not held.
    fn read(&mut self, parts: &[(u128, u64)], now: TimePoint) -> u64 {
        let ids = parts.iter().map(|(id, _)| *id).collect::<Vec<_>>();
        let mut missing = 0;
        for length in 1..=parts.len() {
            let key = ids[..length].to_vec();
            let tokens = parts[length - 1].1;
            if missing > 0 || !self.kept.contains_key(&key) {
                missing += tokens;
            }
            self.kept.insert(key, (now, tokens));
        }
        while self.kept.values().map(|it| it.1).sum::<u64>() > RETENTION.tokens {
            let oldest = self.kept.iter();
            let oldest = oldest.min_by_key(|(key, (used, _))| (*used, Reverse(key.len())));
            let oldest = oldest.expect("it holds prompts").0.clone();
            self.kept.remove(&oldest);
        }
        missing
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Report,
    Begun(usize),
    Ended(usize),
    Arrival(usize),
}

struct LoadResult {
    read_tokens: u64,
    /// The largest number of requests of one backend server, relative to the mean.
    largest_share: f64,
}

/// Sessions with shared beginnings, of which one is that of two fifths of the sessions, at entries
/// that see each other's requests in late load reports only.
fn run(decision: Decision) -> LoadResult {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut sessions = (0..600_u128)
        .map(|session| {
            let beginning = if session % 5 < 2 { 0 } else { 1 + session % 40 };
            vec![(1_000_000 + beginning, 2_000), (session, 400)]
        })
        .collect::<Vec<_>>();
    let mut entries = (0..ENTRIES)
        .map(|_| SimulatedEntry {
            table: table(BACKENDS),
            index: PromptIndex::default(),
        })
        .collect::<Vec<_>>();
    let mut engines = (0..BACKENDS)
        .map(|_| SimulatedEngine::default())
        .collect::<Vec<_>>();
    let mut sent = [0_u32; BACKENDS];
    let mut read_tokens = 0;
    let mut in_flight = Vec::<(usize, usize, PromptBeginnings)>::new();
    let mut events = BinaryHeap::from([Reverse((TimePoint(0), Event::Report))]);
    events.push(Reverse((TimePoint(1), Event::Arrival(0))));
    while let Some(Reverse((now, event))) = events.pop() {
        match event {
            Event::Report if in_flight.len() < REQUESTS => {
                for entry in &mut entries {
                    for (number, engine) in engines.iter().enumerate() {
                        let state = entry.table.find_mut(&backend(number));
                        let state = state.expect("it is registered");
                        state.load.observe(report(engine.running), now);
                    }
                }
                let next = now + TimeSpan::from_millis(200);
                events.push(Reverse((next, Event::Report)));
            }
            Event::Report => {}
            Event::Arrival(request) => {
                let session = sessions.choose_mut(&mut random).expect("not empty");
                if session.len() < 8 && random.random_bool(0.2) {
                    session.push((random.random(), 300));
                }
                let (entry, prompt) = (random.random_range(0..ENTRIES), prompt(session));
                let chosen = entries[entry].choose(&prompt, now, decision, &mut random);
                let number = chosen.0;
                entries[entry].table.begin(&backend(number), now);
                let (index, answer) = (&mut entries[entry].index, 150);
                let count = u32::try_from(ENTRIES).expect("few entries");
                index.note_sent(&prompt, holder(number), answer, count, RETENTION, now);
                let engine = &mut engines[number];
                let missing = engine.read(session, now) + OWN_TOKENS;
                engine.running += 1;
                let reading = TimeSpan(missing * 50);
                engine.read_at = engine.read_at.max(now) + reading;
                let (begun, full) = (engine.read_at, engine.running.saturating_sub(12));
                let end = begun + TimeSpan::from_millis(1_000 + 85 * u64::from(full));
                events.push(Reverse((begun, Event::Begun(request))));
                events.push(Reverse((end, Event::Ended(request))));
                in_flight.push((entry, number, prompt));
                sent[number] += 1;
                read_tokens += missing;
                if request + 1 < REQUESTS {
                    let next = now + TimeSpan(random.random_range(0..10_000));
                    events.push(Reverse((next, Event::Arrival(request + 1))));
                }
            }
            Event::Begun(request) => {
                let (entry, number, prompt) = &in_flight[request];
                entries[*entry]
                    .index
                    .note_begun(prompt, holder(*number), now);
            }
            Event::Ended(request) => {
                let (entry, number, _) = &in_flight[request];
                engines[*number].running -= 1;
                entries[*entry].table.finish(&backend(*number));
            }
        }
    }
    let largest = f64::from(*sent.iter().max().expect("not empty"));
    LoadResult {
        read_tokens,
        largest_share: largest * BACKENDS as f64 / REQUESTS as f64,
    }
}

/// Guards against prompts that are read again although an engine holds them, and against engines
/// that are crowded by a popular beginning. The bounds are between the decision and each naive one.
#[test]
fn sessions_meet_their_prompts_and_a_popular_beginning_crowds_no_backend() {
    let load_alone = run(Decision::LoadAlone);
    let is_met = |result: &LoadResult| {
        let is_read_less = result.read_tokens * 10 < load_alone.read_tokens * 7;
        (is_read_less, result.largest_share <= 2.0)
    };
    for decision in [
        Decision::Weighed,
        Decision::LoadAlone,
        Decision::AffinityAlone,
    ] {
        let result = run(decision);
        println!(
            "{decision:?}: {} tokens read, largest share {:.2}",
            result.read_tokens, result.largest_share
        );
        let expected = match decision {
            Decision::Weighed => (true, true),
            Decision::LoadAlone => (false, true),
            Decision::AffinityAlone => (true, false),
        };
        assert_eq!(is_met(&result), expected, "{decision:?}");
    }
}

/// Guards against a holder that is missed among many backend servers, or used although it is
/// crowded, not usable or a new incarnation.
#[test]
fn a_holder_is_found_among_many_and_yields_to_load_and_rules() {
    let mut random = StdRng::seed_from_u64(SEED);
    let now = TimePoint(1);
    let prompt = prompt(&[(1, 4_000)]);
    for backends in [64, 1_200] {
        let mut entry = SimulatedEntry {
            table: table(backends),
            index: PromptIndex::default(),
        };
        entry.index.note_begun(&prompt, holder(17), now);
        let mut choose = |entry: &SimulatedEntry| {
            let choices = 0..50;
            let choices =
                choices.map(|_| entry.choose(&prompt, now, Decision::Weighed, &mut random));
            let choices = choices.collect::<Vec<_>>();
            let hits = choices.iter().filter(|(number, _)| *number == 17).count();
            (hits, choices[0].1)
        };
        let held = PromptOutcome::Holder {
            saved_tokens: 4_000,
        };
        assert_eq!(choose(&entry), (50, Some(held)));
        let observe = |entry: &mut SimulatedEntry, running| {
            let state = entry.table.find_mut(&backend(17));
            let state = state.expect("it is registered");
            state.load.observe(report(running), now);
        };
        observe(&mut entry, 11);
        assert_eq!(choose(&entry), (0, Some(PromptOutcome::Outweighed)));
        observe(&mut entry, 0);
        entry.table.note_unreachable(&backend(17), now);
        assert_eq!(choose(&entry), (0, Some(PromptOutcome::NoCandidate)));
        register(&mut entry.table, 17, 2);
        assert_eq!(choose(&entry).1, Some(PromptOutcome::NoCandidate));
    }
}

/// Guards against a change of the choice where the feature is off: the numbers are those of the
/// code before it (25bb84c).
#[test]
fn without_holders_the_choice_uses_the_same_random_numbers() {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut table = table(64);
    let mut digest = 0_u64;
    for step in 0..2_000_u64 {
        let now = TimePoint(step * 1_000);
        let query = ChoiceQuery {
            service: &service(),
            domain: &domain(),
            tried: &[backend(3)],
            now,
            prompt: None,
        };
        let chosen = choose_backend(&table, &query, &mut random).chosen();
        let name = chosen.expect("all are usable").registration.backend.clone();
        table.begin(&name, now);
        if step % 3 == 0 {
            table.finish(&name);
        }
        for byte in name.as_str().bytes() {
            digest = digest.wrapping_mul(31).wrapping_add(u64::from(byte));
        }
    }
    let expected = (5_839_689_841_334_784_427, 17_986_712_785_723_397_055);
    assert_eq!((digest, random.random::<u64>()), expected);
}
