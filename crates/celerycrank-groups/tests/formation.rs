//! Forming a group against lost and late answers of the key-value service.

use std::sync::Arc;

use celerycrank_groups::{
    AgentIncarnation, ExpertMap, FormationMessage, FormationOutput, FormationState, FormationTimes,
    GroupFormer, GroupRecord, MapShape, MemberHello, MemberIndex, MemberSeat, MemberSet,
    RecordAnswer, RecordCall, StoredRecord,
};
use celerycrank_types::{Incarnation, TimePoint, TimeSpan};

const EMPTY: RecordAnswer = RecordAnswer::Found(StoredRecord {
    revision: 0,
    record: None,
});

fn seat(number: u64) -> MemberSeat {
    MemberSeat {
        vm: format!("vm-{number}").parse().unwrap(),
        life: AgentIncarnation(number),
    }
}

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::from_millis(millis)
}

fn former(members: usize) -> GroupFormer {
    let shape = MapShape::builder().layers(1).experts(2).ranks(2).slots(1);
    let map = Arc::new(ExpertMap::round_robin(shape.build()));
    let times = FormationTimes::default();
    let members = MemberSet::first(members);
    GroupFormer::new(MemberIndex(0), seat(0), map, members, times, at(0))
}

/// A former whose first write is under way, with the call and record of that write.
fn writing() -> (GroupFormer, RecordCall, Arc<GroupRecord>) {
    let mut former = former(2);
    former.tick(at(500));
    let hello = MemberHello {
        seat: seat(1),
        incarnation: Incarnation(0),
        map: None,
    };
    let outputs = former.receive(MemberIndex(1), &FormationMessage::Hello(hello), at(501));
    let [FormationOutput::Read { call }] = outputs[..] else {
        panic!("no read: {outputs:?}");
    };
    let (call, record) = written(&former.answer(call, &EMPTY, at(502)));
    (former, call, record)
}

fn written(outputs: &[FormationOutput]) -> (RecordCall, Arc<GroupRecord>) {
    match outputs {
        [FormationOutput::Write { call, record, .. }] => (*call, Arc::clone(record)),
        other => panic!("no write: {other:?}"),
    }
}

fn has_entered(outputs: &[FormationOutput]) -> bool {
    let is_enter = |output: &FormationOutput| matches!(output, FormationOutput::Enter(_));
    outputs.iter().any(is_enter)
}

#[test]
fn an_answer_lost_after_the_write_is_read_back() {
    let (mut former, call, record) = writing();
    let outputs = former.answer(call, &RecordAnswer::Unavailable, at(503));
    let [FormationOutput::Read { call }] = outputs[..] else {
        panic!("no read: {outputs:?}");
    };
    let stored = StoredRecord {
        revision: 1,
        record: Some(record),
    };
    let outputs = former.answer(call, &RecordAnswer::Found(stored), at(504));
    assert!(has_entered(&outputs), "{outputs:?}");
}

#[test]
fn a_late_answer_to_an_earlier_write_is_dropped() {
    let (mut former, first, _) = writing();
    let outputs = former.tick(at(1_600));
    let [FormationOutput::Read { call }] = outputs[..] else {
        panic!("no read: {outputs:?}");
    };
    let (second, _) = written(&former.answer(call, &EMPTY, at(1_601)));
    let outputs = former.answer(first, &RecordAnswer::Written, at(1_602));
    assert!(!has_entered(&outputs), "{outputs:?}");
    let outputs = former.answer(second, &RecordAnswer::Written, at(1_603));
    assert!(has_entered(&outputs), "{outputs:?}");
}

#[test]
fn a_group_of_one_forms_by_itself() {
    let mut former = former(1);
    let outputs = former.tick(at(500));
    assert!(
        matches!(outputs[..], [FormationOutput::Read { .. }]),
        "{outputs:?}"
    );
    assert_eq!(former.state(), FormationState::Reading);
}
