//! Tests of the quarantine of prompt parts that crash backend servers.

mod support;

use celerycrank_serving::{BackendIncarnation, CrashCollector, CrashReport, QuarantineChange};
use celerycrank_types::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::StdRng};
use support::{COMMON, DEADLY, TestEntry, at, crashed, ids, refused, report, unanswered};

/// The longest first quarantine.
const MAX_FIRST_QUARANTINE: TimeSpan = TimeSpan::from_secs(180);

// Guards against a part that crashes backend servers for ever, and against refusals of what it shares.
#[test]
fn only_the_deepest_common_part_is_refused_after_two_crashes() {
    let mut entry = TestEntry::new(1);
    let first = entry.crash(1, &[&[COMMON, DEADLY], &[7], &[COMMON]], at(0));
    assert_eq!(first, QuarantineChange::default());
    assert_eq!(entry.admit(&[COMMON, DEADLY], at(1)), Ok(()));
    let second = entry.crash(2, &[&[8], &[COMMON, DEADLY], &[COMMON]], at(300));
    assert_eq!(refused(&second), ids(&[DEADLY]));
    entry
        .admit(&[COMMON, DEADLY], at(301))
        .expect_err("it crashes");
    entry.admit(&[9, DEADLY], at(301)).expect_err("it crashes");
    for sound in [&[COMMON][..], &[COMMON, 9], &[7], &[8]] {
        assert_eq!(entry.admit(sound, at(301)), Ok(()), "{sound:?}");
    }
}

// Guards against refusals of a popular part that was present at crashes with other causes.
#[test]
fn answers_that_begin_clear_a_part() {
    let mut entry = TestEntry::new(1);
    entry.crash(1, &[&[COMMON]], at(0));
    assert!(!entry.answer(&[COMMON], at(10_000)));
    entry.crash(2, &[&[COMMON]], at(20_000));
    entry.crash(3, &[&[COMMON]], at(30_000));
    assert_eq!(entry.admit(&[COMMON], at(40_000)), Ok(()));
    entry.crash(4, &[&[COMMON]], at(50_000));
    let fifth = entry.crash(5, &[&[COMMON]], at(60_000));
    assert_eq!(
        refused(&fifth),
        ids(&[COMMON]),
        "a part that has begun before may crash backend servers later"
    );
    assert!(entry.answer(&[COMMON], at(70_000)), "it is released");
    assert_eq!(entry.admit(&[COMMON], at(80_000)), Ok(()));
}

// Guards against several reports of one crash that count as several crashes.
#[test]
fn reports_of_one_crash_count_once() {
    let mut entry = TestEntry::new(1);
    for _ in 0..3 {
        let change = entry.crash(1, &[&[COMMON, DEADLY]], at(0));
        assert_eq!(change, QuarantineChange::default());
    }
    let merged = entry.crash(1, &[&[9, DEADLY]], at(1));
    assert_eq!(merged, QuarantineChange::default());
    let mut restarted = CrashReport::new(BackendIncarnation {
        incarnation: 2,
        ..crashed(1)
    });
    restarted.add(&unanswered(&ids(&[DEADLY])));
    let change = entry.crash_report(restarted, at(2));
    assert_eq!(
        refused(&change),
        ids(&[DEADLY]),
        "the next incarnation crashed"
    );
}

// Guards against a part that is refused for ever, and against one that is tried by everybody again.
#[test]
fn one_request_tries_a_part_again_and_a_failed_trial_doubles_the_time() {
    let mut entry = TestEntry::new(1);
    entry.crash(1, &[&[DEADLY]], at(0));
    entry.crash(2, &[&[DEADLY]], at(100));
    // A request that was sent before.
    entry.crash(3, &[&[DEADLY]], at(200));
    let remaining = entry.admit(&[DEADLY], at(200)).expect_err("it crashes");
    assert!(remaining >= TimeSpan::from_secs(120) && remaining <= MAX_FIRST_QUARANTINE);
    let trial = at(200) + remaining;
    assert_eq!(entry.admit(&[DEADLY], trial), Ok(()), "the trial");
    entry
        .admit(&[DEADLY], trial + TimeSpan::from_secs(1))
        .expect_err("one at a time");
    let crash = trial + TimeSpan::from_secs(2);
    entry.crash(4, &[&[DEADLY], &[COMMON]], crash);
    let remaining = entry.admit(&[DEADLY], crash).expect_err("it crashes still");
    assert!(remaining >= TimeSpan::from_secs(240), "{remaining}");
    let trial = crash + remaining;
    assert_eq!(entry.admit(&[DEADLY], trial), Ok(()));
    assert!(entry.answer(&[DEADLY], trial + TimeSpan::from_millis(200)));
    for offset in 0..5 {
        let now = trial + TimeSpan::from_secs(1 + offset);
        assert_eq!(entry.admit(&[DEADLY], now), Ok(()), "it is sound now");
    }
}

// Guards against trials of every entry each time that one of them has failed.
#[test]
fn the_failed_trial_of_another_entry_prolongs_the_quarantine() {
    let (mut first, mut second) = (TestEntry::new(1), TestEntry::new(2));
    for entry in [&mut first, &mut second] {
        entry.crash(1, &[&[DEADLY]], at(0));
        entry.crash(2, &[&[DEADLY]], at(100));
    }
    let failed = at(130_000);
    second.crash(3, &[&[DEADLY]], failed);
    first.crash(3, &[&[DEADLY]], failed);
    for entry in [&mut first, &mut second] {
        let remaining = entry.admit(&[DEADLY], failed).expect_err("it crashes");
        assert!(remaining >= TimeSpan::from_secs(240), "{remaining}");
    }
}

// Guards against a power failure of all backend servers of a service, after which entries refuse for
// minutes what all prompts share although nothing was wrong with it.
#[test]
fn one_failure_of_many_backend_servers_refuses_no_part_that_was_served_before() {
    let mut entry = TestEntry::new(1);
    entry.answer(&[COMMON], at(0));
    let mut collector = CrashCollector::default();
    for backend in 0..16 {
        collector.note(&crashed(backend), &unanswered(&ids(&[COMMON])), at(10));
    }
    for report in collector.take() {
        entry.crash_report(report, at(60));
    }
    assert_eq!(entry.admit(&[COMMON], at(5_000)), Ok(()));
}

// Guards against a part that was served before and crashes many backend servers each second, for
// ever.
#[test]
fn a_part_that_crashes_backend_servers_all_the_time_is_refused_though_it_was_served_before() {
    for interval in [20, 100, 250, 400, 1_000, 3_000] {
        let mut entry = TestEntry::new(1);
        entry.answer(&[DEADLY], at(0));
        let mut crash_times = (1..).map(|number| number * interval);
        let refused_at = crash_times.find(|millis| {
            let change = entry.crash(*millis, &[&[DEADLY]], at(*millis));
            !change.added.is_empty()
        });
        let limit = 4_000.max(4 * interval);
        assert!(refused_at <= Some(limit), "{interval} ms: {refused_at:?}");
    }
}

// Guards against state that grows with what callers send.
#[test]
fn remembered_parts_and_crashes_are_bounded() {
    let mut entry = TestEntry::new(1);
    for number in 0..2_000_u64 {
        let part = u128::from(number / 2) + 10;
        entry.crash(number, &[&[part]], at(number));
        entry.answer(&[u128::from(number) + 100_000], at(number));
    }
    assert!(entry.quarantine.len() <= 256, "{}", entry.quarantine.len());
    for number in 0..20_000_u64 {
        let part = u128::from(number) + 200_000;
        entry.read_report(&report(number, &[&[part]]), number + 1, at(number));
        entry.answer(&[part], at(number));
    }
    let batches = std::iter::from_fn(|| Some(entry.quarantine.take_pending()));
    let batches = batches.take_while(|it| !it.is_empty()).collect::<Vec<_>>();
    assert!(batches.iter().all(|batch| batch.len() <= 256));
    assert!(batches.iter().map(Vec::len).sum::<usize>() <= 8_192);
    let mut report = CrashReport::new(crashed(1));
    for number in 0..1_000 {
        let parts = (0..100).map(|part| part + number).collect::<Vec<_>>();
        report.add(&unanswered(&ids(&parts)));
    }
    assert_eq!(report.prompts().count(), 32);
    assert!(report.prompts().all(|prompt| prompt.len() == 32));
    assert_eq!(CrashReport::decode(&report.encode()), Ok(report));
}

// Guards against records of other writers that end a task.
#[test]
fn malformed_reports_are_errors() {
    for bytes in [
        &b""[..],
        b"{}",
        b"[1]",
        b"\xff",
        b"{\"crashed\":1,\"prompts\":[]}",
    ] {
        CrashReport::decode(bytes).expect_err("malformed");
    }
    let long = vec![vec!["a"; 40]];
    let value = serde_json::json!({
        "crashed": {"service": "s", "backend": "b", "incarnation": 1},
        "prompts": long,
    });
    CrashReport::decode(value.to_string().as_bytes()).expect_err("too large");
    let value = serde_json::json!({
        "crashed": {"service": "s", "backend": "b", "incarnation": 1},
        "prompts": [["a"]],
        "answered": vec!["a"; 1_025],
    });
    CrashReport::decode(value.to_string().as_bytes()).expect_err("too large");
}

// Guards against parts that are refused since a power failure ended many backend servers at once.
#[test]
fn parts_at_a_minority_of_simultaneous_crashes_are_not_reported() {
    let mut collector = CrashCollector::default();
    for backend in 0..6 {
        let own = 10 + u128::from(backend / 2);
        collector.note(&crashed(backend), &unanswered(&ids(&[own])), at(0));
    }
    assert_eq!(collector.take(), []);
    for backend in 0..6 {
        let own = 10 + u128::from(backend / 2);
        collector.note(&crashed(backend), &unanswered(&ids(&[own, DEADLY])), at(0));
    }
    let reports = collector.take();
    assert_eq!(reports.len(), 6);
    assert!(reports.iter().all(|it| it.prompts().eq([ids(&[DEADLY])])));
}

/// One run of several entries before backend servers that crash at a part, or by themselves.
///
/// Returns the number of requests with the part that were sent later than three seconds after the
/// fifth crash, and the share of sound requests that were admitted.
fn run_entries(seed: u64) -> (u32, f64) {
    const ENTRIES: usize = 5;
    const SECONDS: u64 = 40;
    let mut random = StdRng::seed_from_u64(seed);
    let mut entries = (0..ENTRIES)
        .map(|it| TestEntry::new(seed + it as u64))
        .collect::<Vec<_>>();
    let shared_by_deadly = random.random_range(0..60);
    let (mut crashes, mut late, mut sound, mut admitted) = (Vec::new(), 0, 0_u32, 0_u32);
    let mut reports = Vec::<(TimePoint, usize, CrashReport)>::new();
    for step in 0..SECONDS * 40 {
        let now = at(step * 25);
        reports.retain(|(due, entry, report)| {
            let is_due = *due <= now;
            if is_due {
                entries[*entry].crash_report(report.clone(), now);
            }
            !is_due
        });
        let index = random.random_range(0..ENTRIES);
        if random.random_bool(0.005) {
            // A restart forgets everything but the reports in the store.
            entries[index] = TestEntry::new(step);
            for (_, report) in &crashes {
                let report: &CrashReport = report;
                entries[index].crash_report(report.clone(), now);
            }
        }
        let first = random.random_range(0..60);
        let is_deadly = random.random_bool(0.1);
        let parts = if is_deadly {
            vec![shared_by_deadly, DEADLY]
        } else {
            vec![first]
        };
        let is_admitted = entries[index].admit(&parts, now).is_ok();
        if !is_deadly {
            sound += 1;
            admitted += u32::from(is_admitted);
        }
        let is_own_crash = random.random_bool(0.002);
        if is_admitted && (is_deadly || is_own_crash) {
            let fifth = crashes.get(4).map(|(at, _): &(TimePoint, CrashReport)| *at);
            let is_late = fifth.is_some_and(|at| now.since(at) > TimeSpan::from_secs(3));
            late += u32::from(is_deadly && is_late);
            let beside = random.random_range(0..60);
            let report = report(step, &[&parts, &[beside]]);
            crashes.push((now, report.clone()));
            for entry in 0..ENTRIES {
                let delay = TimeSpan::from_millis(random.random_range(0..400));
                reports.push((now + delay, entry, report.clone()));
            }
        } else if is_admitted {
            entries[index].answer(&parts, now);
        }
    }
    (late, f64::from(admitted) / f64::from(sound))
}

// Guards against requests of one kind that crash one backend server after the other at several entries.
#[test]
fn entries_stop_a_deadly_part_and_serve_what_shares_the_rest() {
    for seed in 0..200 {
        let (late, admitted) = run_entries(seed);
        assert!(
            late <= 3,
            "seed {seed}: {late} requests after the fifth crash"
        );
        assert!(
            admitted > 0.95,
            "seed {seed}: {admitted} of the sound requests admitted"
        );
    }
}
