//! Group formation with lost and late answers of the key-value service.

use std::sync::Arc;

use celerycrank_groups::{
    AgentIncarnation, ExpertMap, FormationMember, FormationMessage, FormationOutput,
    FormationState, FormationTimes, GroupRecord, MapShape, MemberAssignment, MemberHello,
    MemberIndex, MemberSet, RecordAnswer, RecordRequestId, StoredRecord,
};
use celerycrank_types::{Incarnation, TimePoint, TimeSpan};

const EMPTY: RecordAnswer = RecordAnswer::Found(StoredRecord {
    revision: 0,
    record: None,
});

fn assignment(number: u64) -> MemberAssignment {
    MemberAssignment {
        vm: format!("vm-{number}").parse().unwrap(),
        agent_incarnation: AgentIncarnation(number),
    }
}

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::from_millis(millis)
}

fn new_member(members: usize) -> FormationMember {
    let shape = MapShape::builder().layers(1).experts(2).ranks(2).slots(1);
    let map = Arc::new(ExpertMap::round_robin(shape.build()));
    let times = FormationTimes::default();
    let members = MemberSet::first_n(members);
    FormationMember::new(MemberIndex(0), assignment(0), map, members, times, at(0))
}

/// A member whose first write is in flight, with the request and record of that write.
fn writing_member() -> (FormationMember, RecordRequestId, Arc<GroupRecord>) {
    let mut member = new_member(2);
    member.tick(at(500));
    let hello = MemberHello {
        assignment: assignment(1),
        incarnation: Incarnation(0),
        map: None,
    };
    let outputs = member.receive(MemberIndex(1), &FormationMessage::Hello(hello), at(501));
    let [FormationOutput::Read { request }] = outputs[..] else {
        panic!("no read: {outputs:?}");
    };
    let (request, record) = single_write(&member.answer(request, &EMPTY, at(502)));
    (member, request, record)
}

fn single_write(outputs: &[FormationOutput]) -> (RecordRequestId, Arc<GroupRecord>) {
    match outputs {
        [
            FormationOutput::Write {
                request, record, ..
            },
        ] => (*request, Arc::clone(record)),
        other => panic!("no write: {other:?}"),
    }
}

fn has_entered(outputs: &[FormationOutput]) -> bool {
    let is_enter = |output: &FormationOutput| matches!(output, FormationOutput::Enter(_));
    outputs.iter().any(is_enter)
}

#[test]
fn an_answer_lost_after_the_write_is_read_back() {
    let (mut member, request, record) = writing_member();
    let outputs = member.answer(request, &RecordAnswer::Unavailable, at(503));
    let [FormationOutput::Read { request }] = outputs[..] else {
        panic!("no read: {outputs:?}");
    };
    let stored = StoredRecord {
        revision: 1,
        record: Some(record),
    };
    let outputs = member.answer(request, &RecordAnswer::Found(stored), at(504));
    assert!(has_entered(&outputs), "{outputs:?}");
}

#[test]
fn a_late_answer_to_an_earlier_write_is_dropped() {
    let (mut member, first, _) = writing_member();
    let outputs = member.tick(at(1_600));
    let [FormationOutput::Read { request }] = outputs[..] else {
        panic!("no read: {outputs:?}");
    };
    let (second, _) = single_write(&member.answer(request, &EMPTY, at(1_601)));
    let outputs = member.answer(first, &RecordAnswer::Written, at(1_602));
    assert!(!has_entered(&outputs), "{outputs:?}");
    let outputs = member.answer(second, &RecordAnswer::Written, at(1_603));
    assert!(has_entered(&outputs), "{outputs:?}");
}

#[test]
fn a_group_of_one_forms_by_itself() {
    let mut member = new_member(1);
    let outputs = member.tick(at(500));
    assert!(
        matches!(outputs[..], [FormationOutput::Read { .. }]),
        "{outputs:?}"
    );
    assert_eq!(member.state(), FormationState::Reading);
}
