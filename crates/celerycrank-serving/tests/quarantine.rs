//! Tests of the quarantine of prompt parts that crash backend servers.

use celerycrank_serving::{
    ClearanceRecord, CrashCollector, CrashReport, CrashedBackend, PartClearance, PartQuarantine,
    PromptQuery, QuarantineChange,
};
use celerycrank_types::{ModRevision, PromptPartId, ServiceId, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::StdRng};

const COMMON: u128 = 1;
const DEADLY: u128 = 666;

/// The longest first quarantine.
const MAX_FIRST_QUARANTINE: TimeSpan = TimeSpan::from_secs(180);

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::from_millis(millis)
}

fn service() -> ServiceId {
    "llm".parse().expect("a valid name")
}

fn crashed(backend: u64) -> CrashedBackend {
    CrashedBackend {
        service: service(),
        backend: format!("w{backend}").parse().expect("a valid name"),
        incarnation: 1,
    }
}

fn ids(parts: &[u128]) -> Vec<PromptPartId> {
    parts.iter().copied().map(PromptPartId).collect()
}

/// An entry's quarantine with its random numbers.
struct TestEntry {
    quarantine: PartQuarantine,
    random: StdRng,
}

impl TestEntry {
    fn new(seed: u64) -> Self {
        Self {
            quarantine: PartQuarantine::default(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn crash(&mut self, backend: u64, prompts: &[&[u128]], now: TimePoint) -> QuarantineChange {
        self.crash_report(report(backend, prompts), now)
    }

    fn crash_report(&mut self, report: CrashReport, now: TimePoint) -> QuarantineChange {
        self.quarantine
            .note_crash(report, None, now, &mut self.random)
    }

    /// Reads a report with this revision from the store.
    fn read_report(
        &mut self,
        report: &CrashReport,
        revision: u64,
        now: TimePoint,
    ) -> QuarantineChange {
        let recorded = Some(ModRevision(revision));
        self.quarantine
            .note_crash(report.clone(), recorded, now, &mut self.random)
    }

    /// Sees a crash, and returns the report for the store.
    fn see_crash(&mut self, backend: u64, prompts: &[&[u128]], now: TimePoint) -> CrashReport {
        let mut report = report(backend, prompts);
        self.quarantine.describe_parts(&mut report);
        self.crash_report(report.clone(), now);
        report
    }

    fn admit(&mut self, parts: &[u128], now: TimePoint) -> Result<(), TimeSpan> {
        let query = PromptQuery {
            service: &service(),
            parts: &ids(parts),
        };
        self.quarantine.admit(&query, now)
    }

    fn begin(&mut self, parts: &[u128], now: TimePoint) -> bool {
        let query = PromptQuery {
            service: &service(),
            parts: &ids(parts),
        };
        self.quarantine.note_begun(&query, now)
    }
}

fn refused(change: &QuarantineChange) -> Vec<PromptPartId> {
    change.added.iter().map(|refused| refused.part).collect()
}

fn report(backend: u64, prompts: &[&[u128]]) -> CrashReport {
    let mut report = CrashReport::new(crashed(backend));
    for prompt in prompts {
        report.add(&ids(prompt));
    }
    report
}

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
    assert!(!entry.begin(&[COMMON], at(10_000)));
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
    assert!(entry.begin(&[COMMON], at(70_000)), "it is released");
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
    let mut restarted = CrashReport::new(CrashedBackend {
        incarnation: 2,
        ..crashed(1)
    });
    restarted.add(&ids(&[DEADLY]));
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
    assert!(entry.begin(&[DEADLY], trial + TimeSpan::from_millis(200)));
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

// Guards against a restart that turns crashes which answers have followed into evidence.
#[test]
fn a_restarted_entry_knows_the_answers_that_followed_crashes() {
    let mut entry = TestEntry::new(1);
    let reports = (0..6).map(|backend| report(backend, &[&[COMMON]]));
    let reports = reports.collect::<Vec<_>>();
    let mut clearances = Vec::new();
    for (revision, report) in (10..).zip(&reports) {
        entry.read_report(report, revision, at(revision * 100));
        assert!(!entry.begin(&[COMMON], at(revision * 100 + 50)));
        clearances.extend(entry.quarantine.take_pending());
    }
    let mut restarted = TestEntry::new(2);
    for clearance in &clearances {
        restarted.quarantine.note_clearance(clearance);
    }
    for (revision, report) in (10..).zip(&reports) {
        let change = restarted.read_report(report, revision, at(0));
        assert_eq!(change, QuarantineChange::default());
    }
    assert_eq!(restarted.admit(&[COMMON], at(1)), Ok(()));
}

// Guards against a restart right after crashes, before any answer could follow them, that makes an
// entry take a part that was served before for a new one.
#[test]
fn a_restarted_entry_knows_the_parts_that_were_answered_before_the_crashes() {
    let mut entry = TestEntry::new(1);
    entry.begin(&[COMMON], at(0));
    let reports = [1, 2].map(|backend| entry.see_crash(backend, &[&[COMMON]], at(10)));
    let mut restarted = TestEntry::new(2);
    for (revision, report) in (10..).zip(&reports) {
        let change = restarted.read_report(report, revision, at(0));
        assert_eq!(change, QuarantineChange::default());
    }
    assert_eq!(restarted.admit(&[COMMON], at(1)), Ok(()));
}

// Guards against a power failure of all backend servers of a service, after which entries refuse for
// minutes what all prompts share although nothing was wrong with it.
#[test]
fn one_failure_of_many_backend_servers_refuses_no_part_that_was_served_before() {
    let mut entry = TestEntry::new(1);
    entry.begin(&[COMMON], at(0));
    let mut collector = CrashCollector::default();
    for backend in 0..16 {
        collector.note(&crashed(backend), &ids(&[COMMON]), at(10));
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
        entry.begin(&[DEADLY], at(0));
        let mut crash_times = (1..).map(|number| number * interval);
        let refused_at = crash_times.find(|millis| {
            let change = entry.crash(*millis, &[&[DEADLY]], at(*millis));
            !change.added.is_empty()
        });
        let limit = 4_000.max(4 * interval);
        assert!(refused_at <= Some(limit), "{interval} ms: {refused_at:?}");
    }
}

// Guards against reports that are read again after an outage of the store, when their crashes are
// forgotten, and count as crashes of that moment.
#[test]
fn reports_that_are_read_again_are_no_new_crashes() {
    let mut entry = TestEntry::new(1);
    let reports = [10, 11, 12, 13].map(|revision| (revision, report(revision, &[&[COMMON]])));
    for (revision, report) in &reports {
        entry.read_report(report, *revision, at(revision * 2_000));
    }
    entry.begin(&[COMMON], at(30_000));
    for clearance in entry.quarantine.take_pending() {
        entry.quarantine.note_clearance(&clearance);
    }
    for (revision, report) in &reports {
        let now = at(700_000 + revision * 2_000);
        let change = entry.read_report(report, *revision, now);
        assert_eq!(change, QuarantineChange::default(), "{revision}");
    }
}

// Guards against clearances that excuse a part from the crashes that come after them.
#[test]
fn crashes_after_a_clearance_count() {
    let mut entry = TestEntry::new(1);
    entry.quarantine.note_clearance(&PartClearance {
        service: service(),
        part: PromptPartId(DEADLY),
        up_to: ModRevision(11),
    });
    for revision in 10..15 {
        let now = at(revision * 2_000);
        let change = entry.read_report(&report(revision, &[&[DEADLY]]), revision, now);
        assert_eq!(change, QuarantineChange::default(), "report {revision}");
    }
    let fourth = entry.read_report(&report(15, &[&[DEADLY]]), 15, at(30_000));
    assert_eq!(refused(&fourth), ids(&[DEADLY]));
}

// Guards against entries that refuse a part for minutes after a trial at another one has succeeded.
#[test]
fn the_successful_trial_of_another_entry_ends_a_quarantine() {
    let (mut first, mut second) = (TestEntry::new(1), TestEntry::new(2));
    for entry in [&mut first, &mut second] {
        for revision in 10..12 {
            entry.read_report(&report(revision, &[&[DEADLY]]), revision, at(0));
        }
    }
    let trial = at(181_000);
    assert_eq!(first.admit(&[DEADLY], trial), Ok(()));
    assert!(first.begin(&[DEADLY], trial));
    let clearances = first.quarantine.take_pending();
    second.read_report(&report(12, &[&[DEADLY]]), 12, trial);
    assert!(!second.quarantine.note_clearance(&clearances[0]));
    second
        .admit(&[DEADLY], trial)
        .expect_err("a crash has followed the answer");
    let later = PartClearance {
        up_to: ModRevision(12),
        ..clearances[0].clone()
    };
    assert!(second.quarantine.note_clearance(&later));
    assert_eq!(second.admit(&[DEADLY], trial), Ok(()));
}

// Guards against several entries that record the same clearance, and against one that gets lost.
#[test]
fn clearances_are_pending_until_one_entry_has_recorded_them() {
    let (mut first, mut second) = (TestEntry::new(1), TestEntry::new(2));
    for entry in [&mut first, &mut second] {
        entry.read_report(&report(1, &[&[COMMON], &[7]]), 10, at(0));
        entry.begin(&[COMMON, 7], at(10));
        entry.begin(&[COMMON], at(20));
    }
    let taken = first.quarantine.take_pending();
    assert_eq!(taken.len(), 2);
    assert!(!first.quarantine.has_pending());
    first.quarantine.restore_pending(taken.clone());
    assert_eq!(first.quarantine.take_pending(), taken, "it was not written");
    for clearance in &taken {
        second.quarantine.note_clearance(clearance);
    }
    assert!(!second.quarantine.has_pending(), "another entry has");
    second.read_report(&report(1, &[&[COMMON], &[7]]), 10, at(30));
    second.begin(&[COMMON, 7], at(40));
    assert!(!second.quarantine.has_pending(), "it was read before");
}

// Guards against state that grows with what callers send.
#[test]
fn remembered_parts_and_crashes_are_bounded() {
    let mut entry = TestEntry::new(1);
    for number in 0..2_000_u64 {
        let part = u128::from(number / 2) + 10;
        entry.crash(number, &[&[part]], at(number));
        entry.begin(&[u128::from(number) + 100_000], at(number));
    }
    assert!(entry.quarantine.len() <= 256, "{}", entry.quarantine.len());
    for number in 0..20_000_u64 {
        let part = u128::from(number) + 200_000;
        entry.read_report(&report(number, &[&[part]]), number + 1, at(number));
        entry.begin(&[part], at(number));
    }
    let batches = std::iter::from_fn(|| Some(entry.quarantine.take_pending()));
    let batches = batches.take_while(|it| !it.is_empty()).collect::<Vec<_>>();
    assert!(batches.iter().all(|batch| batch.len() <= 256));
    assert!(batches.iter().map(Vec::len).sum::<usize>() <= 8_192);
    let mut report = CrashReport::new(crashed(1));
    for number in 0..1_000 {
        report.add(&ids(&(0..100)
            .map(|part| part + number)
            .collect::<Vec<_>>()));
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

// Guards against records of other writers that end a task.
#[test]
fn malformed_clearances_are_errors() {
    let clearance = PartClearance {
        service: service(),
        part: PromptPartId(COMMON),
        up_to: ModRevision(7),
    };
    let record = ClearanceRecord::new(vec![clearance.clone()]);
    assert_eq!(ClearanceRecord::decode(&record.encode()), Ok(record));
    for bytes in [&b""[..], b"{}", b"[]", b"{\"clearances\":[1]}"] {
        ClearanceRecord::decode(bytes).expect_err("malformed");
    }
    let record = ClearanceRecord::new(vec![clearance; 257]);
    ClearanceRecord::decode(&record.encode()).expect_err("too large");
}

// Guards against an update of the entries within ten minutes of two crashes, after which they refuse
// sound prompts since the earlier version did not record what it had served.
#[test]
fn reports_of_an_earlier_version_do_not_make_known_parts_new() {
    let mut entry = TestEntry::new(1);
    for backend in 0..3_u64 {
        let value = serde_json::json!({"crashed": crashed(backend), "prompts": [["1"]]});
        let report = CrashReport::decode(value.to_string().as_bytes());
        let report = report.expect("an earlier version wrote it");
        let change = entry.read_report(&report, backend + 10, at(backend * 10_000));
        assert_eq!(change, QuarantineChange::default());
    }
    assert_eq!(entry.admit(&[COMMON], at(40_000)), Ok(()));
}

// Guards against parts that are refused since a power failure ended many backend servers at once.
#[test]
fn parts_at_a_minority_of_simultaneous_crashes_are_not_reported() {
    let mut collector = CrashCollector::default();
    for backend in 0..6 {
        let own = 10 + u128::from(backend / 2);
        collector.note(&crashed(backend), &ids(&[own]), at(0));
    }
    assert_eq!(collector.take(), []);
    for backend in 0..6 {
        let own = 10 + u128::from(backend / 2);
        collector.note(&crashed(backend), &ids(&[own, DEADLY]), at(0));
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
            entries[index].begin(&parts, now);
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

/// The records that entries share.
#[derive(Default)]
struct SharedRecords {
    revision: u64,
    reports: Vec<(u64, CrashReport)>,
    clearances: Vec<PartClearance>,
}

impl SharedRecords {
    fn write_report(&mut self, report: CrashReport) {
        self.revision += 1;
        self.reports.push((self.revision, report));
    }

    /// Starts an entry, which reads all records.
    fn start_entry(&self, seed: u64, now: TimePoint) -> TestEntry {
        let mut entry = TestEntry::new(seed);
        for clearance in &self.clearances {
            entry.quarantine.note_clearance(clearance);
        }
        for (revision, report) in &self.reports {
            entry.read_report(report, *revision, now);
        }
        entry
    }
}

/// One run of entries that restart, before backend servers that crash by themselves or at a part.
///
/// Returns the number of requests with the part that were sent later than three seconds after the
/// fifth crash, and the share of sound requests that were admitted.
fn run_restarts(seed: u64) -> (u32, f64) {
    const ENTRIES: usize = 4;
    const STEPS: u64 = 2_400;
    let mut random = StdRng::seed_from_u64(seed);
    let mut records = SharedRecords::default();
    let mut entries = (0..ENTRIES)
        .map(|it| TestEntry::new(seed + it as u64))
        .collect::<Vec<_>>();
    let (mut fatal, mut late, mut sound, mut admitted) = (Vec::new(), 0, 0_u32, 0_u32);
    for step in 0..STEPS {
        let now = at(step * 25);
        if random.random_bool(0.002) {
            // All processes are killed at the same time, some right after a crash.
            entries = (0..ENTRIES)
                .map(|it| records.start_entry(step + it as u64, now))
                .collect();
        }
        let index = random.random_range(0..ENTRIES);
        let entry = &mut entries[index];
        let is_deadly = step > 400 && random.random_bool(0.05);
        let own = random.random_range(100..140);
        let parts = if is_deadly {
            vec![COMMON, DEADLY]
        } else {
            vec![COMMON, own]
        };
        let is_admitted = entry.admit(&parts, now).is_ok();
        sound += u32::from(!is_deadly);
        admitted += u32::from(!is_deadly && is_admitted);
        if is_admitted && (is_deadly || random.random_bool(0.005)) {
            let fifth = fatal.get(4).copied();
            let is_late = fifth.is_some_and(|at| now.since(at) > TimeSpan::from_secs(3));
            late += u32::from(is_deadly && is_late);
            fatal.extend(is_deadly.then_some(now));
            let beside = [COMMON, random.random_range(100..140)];
            let report = entry.see_crash(step, &[&parts, &beside], now);
            records.write_report(report.clone());
            for other in &mut entries {
                other.read_report(&report, records.revision, now);
            }
        } else if is_admitted {
            entry.begin(&parts, now);
        }
        if step % 20 == 0 {
            let writer = random.random_range(0..ENTRIES);
            for clearance in entries[writer].quarantine.take_pending() {
                for entry in &mut entries {
                    entry.quarantine.note_clearance(&clearance);
                }
                records.clearances.push(clearance);
            }
        }
    }
    (late, f64::from(admitted) / f64::from(sound))
}

// Guards against restarts of all entries, also right after crashes, that make them refuse what all
// prompts share or forget what crashes backend servers.
#[test]
fn restarted_entries_serve_sound_parts_and_refuse_deadly_ones() {
    for seed in 0..200 {
        let (late, admitted) = run_restarts(seed);
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
