//! Tests of the shares of request limits that backend servers name.

use std::net::SocketAddr;

use celerycrank_serving::{
    BackendChoice, BackendRegistration, BackendState, BackendTable, ChoiceQuery, EntryPlace,
    LimitNotice, RegistrationState, choose_backend,
};
use celerycrank_types::{BackendId, DomainId, RequestRate, ServiceId, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Time of one step of a run, in milliseconds.
const STEP_MILLIS: u16 = 20;

/// Time in which the platform counts requests.
const WINDOW: TimeSpan = TimeSpan::from_secs(4);

/// Time after the first naming of a limit from which it counts.
const NOTICE_SPAN: TimeSpan = TimeSpan::from_secs(3);

/// Time after which an entry that has passed on an answer with a limit has to keep it.
const REACTION_SPAN: TimeSpan = TimeSpan::from_millis(500);

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::from_millis(millis)
}

fn backend() -> BackendId {
    "w1".parse().expect("a valid name")
}

fn service() -> ServiceId {
    "llm".parse().expect("a valid name")
}

fn table() -> BackendTable {
    let mut table = BackendTable::default();
    let registration = BackendRegistration {
        backend: backend(),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: "a".parse().expect("a valid name"),
        slots: 12,
        state: RegistrationState::Ready,
        incarnation: 1,
        warm_up_remaining: TimeSpan::ZERO,
    };
    table.replace(vec![registration], TimePoint::default());
    table
}

fn choose<'table>(
    table: &'table BackendTable,
    now: TimePoint,
    random: &mut StdRng,
) -> BackendChoice<'table> {
    let domain = "a".parse::<DomainId>().expect("a valid name");
    let query = ChoiceQuery {
        service: &service(),
        domain: &domain,
        tried: &[],
        load_limit: None,
        now,
        prompt: None,
    };
    choose_backend(table, &query, random)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).expect("a rate")
}

fn notice(limit: Option<f64>, sent: u64, now: u64) -> LimitNotice {
    LimitNotice {
        rate: limit.map(rate),
        sent_at: at(sent),
        now: at(now),
    }
}

/// Sends as many requests as are allowed, in steps of 10 ms; returns their number.
fn send_all(table: &mut BackendTable, from: u64, to: u64) -> u32 {
    let mut random = StdRng::seed_from_u64(1);
    let mut sent = 0;
    for now in (from..to).step_by(10).map(at) {
        if choose(table, now, &mut random).chosen().is_some() {
            table.begin(&backend(), now);
            table.finish(&backend());
            sent += 1;
        }
    }
    sent
}

// Guards against a limit that outlives its naming, and against one that an older answer ends.
#[test]
fn a_limit_holds_as_long_as_answers_name_it() {
    let mut table = table();
    table.set_place(EntryPlace::new(0, 1), at(0));
    assert!(table.note_limit(&backend(), notice(Some(2.0), 0, 100)));
    let sent = send_all(&mut table, 100, 10_100);
    assert!((20..=25).contains(&sent), "{sent} in 10 s");
    assert!(!table.note_limit(&backend(), notice(None, 50, 10_200)));
    let limit = table.iter().find_map(BackendState::limit);
    assert_eq!(limit, Some(rate(2.0)), "an older answer does not end it");
    assert!(table.note_limit(&backend(), notice(None, 10_200, 10_300)));
    assert_eq!(send_all(&mut table, 10_300, 10_400), 10);
}

// Guards against refusals without the time at which a limit allows another request.
#[test]
fn a_refusal_tells_when_the_limit_allows_a_request() {
    let mut table = table();
    let mut random = StdRng::seed_from_u64(1);
    table.set_place(EntryPlace::new(0, 1), at(0));
    table.note_limit(&backend(), notice(Some(1.0), 0, 0));
    send_all(&mut table, 0, 2_500);
    let BackendChoice::Limited { retry_after } = choose(&table, at(2_510), &mut random) else {
        panic!("the limit is reached");
    };
    let retry_after = retry_after.expect("the only entry has a share");
    assert!(retry_after > TimeSpan::ZERO && retry_after <= TimeSpan::from_secs(1));
    let then = at(2_510) + retry_after;
    assert!(choose(&table, then, &mut random).chosen().is_some());
}

// Guards against a limit of zero, or one whose end no entry sees since nothing is sent.
#[test]
fn a_backend_server_with_any_limit_gets_a_request_now_and_then() {
    for limit in [0.0, 0.01] {
        let mut table = table();
        table.set_place(EntryPlace::new(0, 1), at(0));
        table.note_limit(&backend(), notice(Some(limit), 0, 0));
        send_all(&mut table, 0, 1_000);
        let sent = send_all(&mut table, 1_000, 61_000);
        assert!((1..=8).contains(&sent), "{sent} in a minute");
    }
}

/// What a run of several entries looks like.
#[derive(Debug, Clone, Copy)]
struct RunPlan {
    seed: u64,
    entries: u16,
    limit: f64,
    /// When the limit is no longer named, in milliseconds.
    ends_at: u64,
}

#[derive(Debug)]
struct TestEntry {
    table: BackendTable,
    /// When it first passed on an answer with the limit.
    told_at: Option<TimePoint>,
}

impl TestEntry {
    fn new() -> Self {
        Self {
            table: table(),
            told_at: None,
        }
    }
}

/// The outcome of a run.
#[derive(Debug)]
struct RunResult {
    /// When requests that count were sent.
    counted: Vec<TimePoint>,
    /// Requests while the limit was named.
    sent: u32,
    /// Number of entries that still keep the limit at the end.
    keepers: usize,
}

/// Sends the limit's announcements of one entry to the others, of which a tenth is lost.
fn announce(
    entries: &mut [TestEntry],
    from: usize,
    limit: Option<f64>,
    now: TimePoint,
    random: &mut StdRng,
) {
    for (index, entry) in entries.iter_mut().enumerate() {
        if index != from && random.random_bool(0.9) {
            entry
                .table
                .note_announced_limit(&backend(), limit.map(rate), now);
        }
    }
}

fn run(plan: RunPlan) -> RunResult {
    const STEPS: u16 = 2_000;
    let mut random = StdRng::seed_from_u64(plan.seed);
    let count = usize::from(plan.entries);
    let mut entries = (0..count).map(|_| TestEntry::new()).collect::<Vec<_>>();
    let mut result = RunResult {
        counted: Vec::new(),
        sent: 0,
        keepers: 0,
    };
    for step in 0..STEPS {
        let millis = u64::from(step) * u64::from(STEP_MILLIS);
        let now = at(millis);
        if random.random_bool(0.002) {
            entries[random.random_range(0..count)] = TestEntry::new();
        }
        // Lists of the entries arrive each second, and some are lost.
        let index = step % 50;
        for entry in (index..plan.entries).step_by(50) {
            if random.random_bool(0.9) {
                let place = EntryPlace::new(entry.into(), plan.entries.into());
                entries[usize::from(entry)].table.set_place(place, now);
            }
        }
        // Far more requests than the limit, most of them at the first half of the entries.
        let arrivals = 10 + count / 10;
        for _ in 0..arrivals {
            let half = if random.random_bool(0.8) {
                count.div_ceil(2)
            } else {
                count
            };
            let chosen = random.random_range(0..half);
            let entry = &mut entries[chosen];
            if choose(&entry.table, now, &mut random).chosen().is_none() {
                continue;
            }
            entry.table.begin(&backend(), now);
            entry.table.finish(&backend());
            let is_told = entry
                .told_at
                .is_some_and(|at| now.since(at) >= REACTION_SPAN);
            if is_told && now.since(at(0)) >= NOTICE_SPAN && millis < plan.ends_at {
                result.counted.push(now);
            }
            result.sent += u32::from(millis < plan.ends_at);
            let limit = (millis < plan.ends_at).then_some(plan.limit);
            let answered = now + TimeSpan::from_millis(5);
            if limit.is_some() {
                entry.told_at.get_or_insert(answered);
            }
            let told = LimitNotice {
                rate: limit.map(rate),
                sent_at: now,
                now: answered,
            };
            if entry.table.note_limit(&backend(), told) {
                announce(&mut entries, chosen, limit, answered, &mut random);
            }
        }
    }
    let keeps = |entry: &&TestEntry| entry.table.iter().any(|it| it.limit().is_some());
    result.keepers = entries.iter().filter(keeps).count();
    result
}

/// The largest number of requests in any window.
fn largest_window(times: &[TimePoint]) -> usize {
    let within = |start: &TimePoint| {
        let later = times.iter().filter(|at| *at >= start);
        later.filter(|at| at.since(*start) < WINDOW).count()
    };
    times.iter().map(within).max().unwrap_or_default()
}

// Guards against entries that each keep a limit while their sum exceeds it, also after restarts,
// lost datagrams and for limits below the number of entries.
#[test]
fn all_entries_together_keep_a_limit_and_use_it() {
    for entries in [1, 2, 5, 17, 35, 120] {
        for limit in [0.3, 1.0, 2.2, 5.6, 40.0] {
            for seed in 0..4 {
                let plan = RunPlan {
                    seed,
                    entries,
                    limit,
                    ends_at: 40_000,
                };
                let result = run(plan);
                let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
                let most = largest_window(&result.counted);
                assert!(
                    most as f64 <= allowed,
                    "{plan:?}: {most} of {allowed} in 4 s"
                );
                let used = f64::from(result.sent) / (limit * 40.0);
                assert!(used >= 0.6, "{plan:?}: {used} of the limit used");
            }
        }
    }
}

// Guards against entries without a share that keep a limit for ever after it has ended.
#[test]
fn every_entry_hears_of_the_end_of_a_limit() {
    for entries in [1, 5, 35] {
        for seed in 0..10 {
            let plan = RunPlan {
                seed,
                entries,
                limit: 1.0,
                ends_at: 12_000,
            };
            let result = run(plan);
            assert!(
                result.keepers * 10 <= usize::from(entries),
                "{plan:?}: {result:?}"
            );
        }
    }
}
