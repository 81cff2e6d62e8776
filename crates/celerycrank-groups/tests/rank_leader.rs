//! Tests of the rank leader's state machine.

mod support;

use std::sync::Arc;

use celerycrank_groups::{
    AgentIncarnation, ArmedSwitch, ExpertMap, GroupEpoch, LeaderEvent, MapShape, MapVersion,
    MemberIndex, RankAction, RankAttemptId, RankLeader, RankMessage, RankTimes, StepNumber,
};
use celerycrank_types::TimePoint;
use support::idle_report as report;

const SHAPE: MapShape = MapShape {
    layers: 1,
    experts: 4,
    ranks: 2,
    slots: 3,
};

const EPOCH: GroupEpoch = GroupEpoch(1);

fn at(millis: u64) -> TimePoint {
    TimePoint(millis * 1_000)
}

fn leader() -> RankLeader {
    RankLeader::new(AgentIncarnation(1), 2, RankTimes::default(), at(0))
}

/// Begins an attempt to make the initial map active with another version.
fn begin(leader: &mut RankLeader, version: u64, now: TimePoint) -> RankAttemptId {
    let map = ExpertMap::round_robin(SHAPE).with_version(MapVersion(version));
    let (message, _) = leader.begin(Arc::new(map), EPOCH, now);
    let RankMessage::Prepare { attempt, .. } = message else {
        panic!("an attempt begins with the loading of its map");
    };
    attempt
}

/// Begins an attempt, has both ranks load its map, and both agents answer once more.
fn prepare_all(leader: &mut RankLeader, version: u64, begun_at: TimePoint, done_at: TimePoint) {
    let attempt = begin(leader, version, begun_at);
    for rank in 0..2 {
        let done = RankMessage::Prepared {
            attempt,
            is_prompt: true,
        };
        leader.on_message(MemberIndex(rank), &done, done_at);
    }
    check_all(leader, done_at);
}

/// Returns a leader that has requested that the group be held before step 12.
fn holding_leader() -> RankLeader {
    let mut leader = leader();
    prepare_all(&mut leader, 5, at(1), at(2));
    let hold = leader.next_action(&report(10));
    let step = StepNumber(12);
    assert_eq!(hold, Some(RankAction::Hold { step }));
    leader
}

/// Answers the leader's query on behalf of the agent of every rank.
fn check_all(leader: &mut RankLeader, now: TimePoint) {
    let Some(RankMessage::AskArmed { attempt }) = request(leader, now) else {
        panic!("every agent is asked once more");
    };
    for rank in 0..2 {
        assert_eq!(
            leader.next_action(&report(10)),
            None,
            "rank {rank} has not answered"
        );
        let answer = RankMessage::ArmedState {
            attempt,
            armed: None,
        };
        leader.on_message(MemberIndex(rank), &answer, now);
    }
}

/// The message that the leader sends to the ranks now.
fn request(leader: &mut RankLeader, now: TimePoint) -> Option<RankMessage> {
    let map = ExpertMap::round_robin(SHAPE).with_version(MapVersion(99));
    let resent = leader.resend(EPOCH, || Some(Arc::new(map)), now);
    resent.map(|(_, message)| message)
}

#[test]
fn no_rank_is_asked_to_arm_before_the_group_is_held() {
    let mut leader = holding_leader();
    assert_eq!(request(&mut leader, at(200)), None);
    let mut held = report(10);
    held.held = Some(StepNumber(12));
    leader.observe(&held, at(201));
    let message = request(&mut leader, at(201));
    let step = StepNumber(12);
    assert!(matches!(message, Some(RankMessage::Arm { step: asked, .. }) if asked == step));
}

#[test]
fn the_group_is_released_only_when_every_rank_is_armed() {
    let mut leader = holding_leader();
    let mut held = report(10);
    held.held = Some(StepNumber(12));
    leader.observe(&held, at(3));
    let Some(RankMessage::Arm { attempt, .. }) = request(&mut leader, at(3)) else {
        panic!("ranks are asked to arm");
    };
    let armed = RankMessage::Armed { attempt };
    assert_eq!(leader.on_message(MemberIndex(0), &armed, at(4)), None);
    assert_eq!(leader.next_action(&held), None);
    let event = leader.on_message(MemberIndex(1), &armed, at(5));
    assert_eq!(event, Some(LeaderEvent::Switched(attempt)));
    let release = Some(RankAction::Release {
        step: StepNumber(12),
    });
    assert_eq!(leader.next_action(&held), release);
}

#[test]
fn every_rank_is_cleared_before_a_release_if_one_does_not_arm_in_time() {
    let mut leader = holding_leader();
    let mut held = report(11);
    held.held = Some(StepNumber(12));
    leader.observe(&held, at(3));
    let event = leader.observe(&held, at(1_000));
    assert!(matches!(event, Some(LeaderEvent::AttemptFailed(_))));
    assert_eq!(leader.next_action(&held), None, "a rank may be armed");
    let Some(RankMessage::Clear { attempt, .. }) = request(&mut leader, at(1_000)) else {
        panic!("ranks are cleared");
    };
    let cleared = RankMessage::Cleared { attempt };
    leader.on_message(MemberIndex(0), &cleared, at(1_001));
    assert_eq!(leader.next_action(&held), None);
    leader.on_message(MemberIndex(1), &cleared, at(1_002));
    assert!(matches!(
        leader.next_action(&held),
        Some(RankAction::Release { .. })
    ));
}

#[test]
fn a_new_incarnation_queries_the_ranks_before_it_releases_a_held_group() {
    let mut leader = leader();
    let mut held = report(10);
    held.held = Some(StepNumber(12));
    let event = leader.observe(&held, at(1));
    assert_eq!(event, Some(LeaderEvent::FoundHeld(StepNumber(12))));
    assert_eq!(leader.next_action(&held), None);
    let Some(RankMessage::AskArmed { attempt }) = request(&mut leader, at(1)) else {
        panic!("ranks are asked for their armed switches");
    };
    let switch = ArmedSwitch {
        version: MapVersion(5),
        step: StepNumber(12),
    };
    let answer = |armed| RankMessage::ArmedState { attempt, armed };
    leader.on_message(MemberIndex(0), &answer(Some(switch)), at(2));
    let event = leader.on_message(MemberIndex(1), &answer(Some(switch)), at(3));
    assert_eq!(event, Some(LeaderEvent::FoundArmed(switch)));
    assert!(matches!(
        leader.next_action(&held),
        Some(RankAction::Release { .. })
    ));
}

#[test]
fn a_new_incarnation_clears_ranks_that_are_armed_differently() {
    let mut leader = leader();
    let mut held = report(10);
    held.held = Some(StepNumber(12));
    leader.observe(&held, at(1));
    let Some(RankMessage::AskArmed { attempt }) = request(&mut leader, at(1)) else {
        panic!("ranks are asked for their armed switches");
    };
    let switch = ArmedSwitch {
        version: MapVersion(5),
        step: StepNumber(12),
    };
    let answer = |armed| RankMessage::ArmedState { attempt, armed };
    leader.on_message(MemberIndex(0), &answer(Some(switch)), at(2));
    leader.on_message(MemberIndex(1), &answer(None), at(3));
    assert_eq!(leader.next_action(&held), None);
    assert!(matches!(
        request(&mut leader, at(4)),
        Some(RankMessage::Clear { .. })
    ));
}

#[test]
fn a_delayed_hold_of_the_same_incarnation_is_released_without_a_query() {
    let mut leader = holding_leader();
    leader.reset(at(3));
    let mut held = report(11);
    held.held = Some(StepNumber(12));
    assert_eq!(leader.observe(&held, at(500)), None);
    assert!(matches!(
        leader.next_action(&held),
        Some(RankAction::Release { .. })
    ));
}

#[test]
fn no_two_attempts_hold_the_group_before_the_same_step() {
    let mut leader = holding_leader();
    leader.observe(&report(10), at(1_000));
    prepare_all(&mut leader, 70, at(5_000), at(5_001));
    // The group has made no step since.
    let step = StepNumber(13);
    assert_eq!(
        leader.next_action(&report(10)),
        Some(RankAction::Hold { step })
    );
}

#[test]
fn a_group_is_not_held_while_orders_are_delayed() {
    let mut leader = leader();
    let attempt = begin(&mut leader, 5, at(1));
    let late = RankMessage::Prepared {
        attempt,
        is_prompt: false,
    };
    let event = leader.on_message(MemberIndex(1), &late, at(2));
    assert_eq!(event, Some(LeaderEvent::AttemptFailed(attempt)));
    assert_eq!(leader.next_action(&report(10)), None);
    assert!(
        !leader.is_free(at(3), &report(10)),
        "the leader waits before the next attempt"
    );
    let mut holding = holding_leader();
    let event = holding.on_answer(celerycrank_groups::OrderAnswer::Unanswered, at(3));
    assert!(
        matches!(event, Some(LeaderEvent::AttemptFailed(_))),
        "the hold itself is delayed"
    );
}
