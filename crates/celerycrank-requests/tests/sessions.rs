//! Snapshot tests of complete traces: every message of a run, in logical time.

use celerycrank_requests::model::{
    AgentIndex, CallPlan, CallRule, EntryIndex, Fault, FaultRates, KeyNumber, MessageKind,
    ModelPlan, PlannedFault, RunReport, trace_plan,
};
use celerycrank_types::{TimePoint, TimeSpan};

/// Seed of the scheduler in all runs.
const SEED: u64 = 1;

/// Length of an answer's body, in bytes.
const LENGTH: u64 = 40;

fn call(rule: CallRule) -> CallPlan {
    CallPlan {
        at: TimePoint::default(),
        entry: EntryIndex(0),
        account: 0,
        rule,
        key_time: TimePoint::default(),
        length: LENGTH,
        deadline: TimeSpan::from_secs(1),
        resends: 0,
        leaves: None,
    }
}

fn plan(agents: usize, calls: Vec<CallPlan>, faults: &[(u64, Fault)]) -> ModelPlan {
    let planned = |(millis, fault): &(u64, Fault)| PlannedFault {
        at: TimePoint(millis * 1_000),
        fault: *fault,
    };
    ModelPlan {
        entries: 2,
        agents,
        prior_requests: 100,
        calls,
        faults: faults.iter().map(planned).collect(),
        rates: FaultRates::default(),
        faults_end_at: TimePoint::default(),
    }
}

fn check_trace(name: &str, plan: &ModelPlan) -> RunReport {
    let mut lines = Vec::new();
    let report = trace_plan(SEED, plan, &mut |line| lines.push(line.to_owned()));
    insta::assert_snapshot!(name, lines.join("\n"));
    report
}

#[test]
fn normal_stream() {
    let report = check_trace("normal_stream", &plan(1, vec![call(CallRule::Once)], &[]));
    assert_eq!((report.answered, report.starts), (1, 1));
}

#[test]
fn refused_and_retried() {
    let faults = [(0, Fault::Leave(AgentIndex(0)))];
    let report = check_trace(
        "refused_and_retried",
        &plan(2, vec![call(CallRule::Once)], &faults),
    );
    assert_eq!((report.answered, report.retried, report.starts), (1, 1, 1));
}

#[test]
fn link_lost_then_revoked() {
    let faults = [(0, Fault::LoseNext(MessageKind::Send))];
    let report = check_trace(
        "link_lost_then_revoked",
        &plan(2, vec![call(CallRule::Once)], &faults),
    );
    assert_eq!((report.answered, report.retried, report.starts), (1, 1, 1));
}

#[test]
fn link_lost_then_late_copy() {
    let late = Fault::DelayNext(MessageKind::Send, TimeSpan::from_millis(700));
    let report = check_trace(
        "link_lost_then_late_copy",
        &plan(2, vec![call(CallRule::Once)], &[(0, late)]),
    );
    assert_eq!((report.answered, report.starts), (1, 1));
}

#[test]
fn link_lost_then_started() {
    let faults = [(0, Fault::LoseNext(MessageKind::Head))];
    let report = check_trace(
        "link_lost_then_started",
        &plan(1, vec![call(CallRule::Once)], &faults),
    );
    assert_eq!((report.answered, report.starts), (1, 1));
}

#[test]
fn agent_restarted() {
    let kill = Fault::KillAgent(AgentIndex(0), TimeSpan::from_millis(100));
    let report = check_trace(
        "agent_restarted",
        &plan(1, vec![call(CallRule::Once)], &[(10, kill)]),
    );
    assert_eq!((report.unknown, report.starts), (1, 1));
}

#[test]
fn keyed_call_sent_to_two_entries() {
    let first = call(CallRule::Keyed(KeyNumber(1)));
    let second = CallPlan {
        at: TimePoint(20_000),
        entry: EntryIndex(1),
        ..first
    };
    let third = CallPlan {
        at: TimePoint(3_000_000),
        ..second
    };
    let report = check_trace(
        "keyed_call_sent_to_two_entries",
        &plan(2, vec![first, second, third], &[]),
    );
    assert_eq!((report.answered, report.unknown, report.starts), (2, 1, 1));
}

#[test]
fn key_value_answer_lost() {
    let faults = [(0, Fault::LoseNext(MessageKind::SwapReply))];
    let report = check_trace(
        "key_value_answer_lost",
        &plan(1, vec![call(CallRule::Keyed(KeyNumber(1)))], &faults),
    );
    assert_eq!((report.answered, report.starts), (1, 1));
}

#[test]
fn key_value_outage() {
    let outage = Fault::KeyValueOutage(TimeSpan::from_secs(5));
    let report = check_trace(
        "key_value_outage",
        &plan(
            1,
            vec![CallPlan {
                deadline: TimeSpan::from_secs(2),
                ..call(CallRule::Keyed(KeyNumber(1)))
            }],
            &[(20, outage)],
        ),
    );
    assert_eq!((report.not_run, report.starts), (1, 0));
}
