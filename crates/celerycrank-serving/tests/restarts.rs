//! Tests of what an entry that starts knows of crashes and of the answers that followed them.

mod support;

use celerycrank_serving::{ClearanceRecord, CrashReport, PartClearance, QuarantineChange};
use celerycrank_types::{ModRevision, PromptPartId, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::StdRng};
use support::{COMMON, DEADLY, TestEntry, at, crashed, ids, refused, report, service};

// Guards against a restart that turns crashes which answers have followed into evidence.
#[test]
fn a_restarted_entry_knows_the_answers_that_followed_crashes() {
    let mut entry = TestEntry::new(1);
    let reports = (0..6).map(|backend| report(backend, &[&[COMMON]]));
    let reports = reports.collect::<Vec<_>>();
    let mut clearances = Vec::new();
    for (revision, report) in (10..).zip(&reports) {
        entry.read_report(report, revision, at(revision * 100));
        assert!(!entry.answer(&[COMMON], at(revision * 100 + 50)));
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
    entry.answer(&[COMMON], at(0));
    let reports = [1, 2].map(|backend| entry.see_crash(backend, &[&[COMMON]], at(10)));
    let mut restarted = TestEntry::new(2);
    for (revision, report) in (10..).zip(&reports) {
        let change = restarted.read_report(report, revision, at(0));
        assert_eq!(change, QuarantineChange::default());
    }
    assert_eq!(restarted.admit(&[COMMON], at(1)), Ok(()));
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
    entry.answer(&[COMMON], at(30_000));
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
    assert!(first.answer(&[DEADLY], trial));
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
        entry.answer(&[COMMON, 7], at(10));
        entry.answer(&[COMMON], at(20));
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
    second.answer(&[COMMON, 7], at(40));
    assert!(!second.quarantine.has_pending(), "it was read before");
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
            entry.answer(&parts, now);
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
