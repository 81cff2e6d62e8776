//! The member for one rank, and the versions of the maps that it is asked to load.

mod support;

use std::sync::Arc;

use celerycrank_groups::{
    AgentIncarnation, ArmedSwitch, AttemptNumber, ExpertMap, GroupEpoch, MapShape, MapVersion,
    MemberIndex, OrderAnswer, RankAction, RankAgent, RankAttemptId, RankMember, RankMessage,
    RankOutput, RankOutputs, RankPlace, RankReport, RankTimes, StepNumber,
};
use celerycrank_types::TimePoint;
use support::idle_report;

const SHAPE: MapShape = MapShape {
    layers: 1,
    experts: 2,
    ranks: 1,
    slots: 3,
};

const EPOCH: GroupEpoch = GroupEpoch(1);

fn report() -> RankReport {
    RankReport {
        place: Some(RankPlace {
            group: "g0".parse().expect("a plain name"),
            epoch: EPOCH,
            rank: MemberIndex(0),
            size: 1,
            is_open: true,
        }),
        running: 1,
        ..idle_report(10)
    }
}

fn attempt(number: u64) -> RankAttemptId {
    RankAttemptId {
        incarnation: AgentIncarnation(1),
        number: AttemptNumber(number),
    }
}

fn map(version: u64) -> Arc<ExpertMap> {
    Arc::new(ExpertMap::round_robin(SHAPE).with_version(MapVersion(version)))
}

#[test]
fn messages_of_an_older_attempt_do_not_roll_back_a_newer_one() {
    let mut member = RankMember::default();
    let mut report = report();
    let prepare = RankMessage::Prepare {
        attempt: attempt(2),
        epoch: EPOCH,
        map: map(8),
    };
    member.on_message(&prepare);
    report.prepared = Some(MapVersion(8));
    let step = StepNumber(12);
    let arm = |number| RankMessage::Arm {
        attempt: attempt(number),
        step,
    };
    member.on_message(&arm(2));
    report.armed = Some(ArmedSwitch {
        version: MapVersion(8),
        step,
    });
    // The leader's messages of the previous attempt arrive late, because the agent was frozen.
    member.on_message(&arm(1));
    let clear = RankMessage::Clear {
        attempt: attempt(1),
        epoch: EPOCH,
        map: map(7),
    };
    member.on_message(&clear);
    assert_eq!(member.next_action(&report), None);
    let armed = RankMessage::Armed {
        attempt: attempt(2),
    };
    assert_eq!(member.reply(&report), Some(armed));
}

#[test]
fn an_attempt_fails_only_if_a_new_report_shows_the_rank_still_armed() {
    let prepare = RankMessage::Prepare {
        attempt: attempt(2),
        epoch: EPOCH,
        map: map(8),
    };
    let mut armed = report();
    armed.armed = Some(ArmedSwitch {
        version: MapVersion(6),
        step: StepNumber(11),
    });
    // The next report shows that the step has begun since.
    let mut member = RankMember::default();
    member.observe(&armed);
    member.on_message(&prepare);
    assert_eq!(member.next_action(&armed), None);
    assert_eq!(member.reply(&armed), None);
    let switched = report();
    member.observe(&switched);
    let action = member.next_action(&switched);
    assert_eq!(action, Some(RankAction::Prepare(map(8))));
    // The next report shows that the rank is still armed.
    let mut member = RankMember::default();
    member.observe(&armed);
    member.on_message(&prepare);
    member.observe(&armed);
    let reply = member.reply(&armed);
    assert!(
        matches!(reply, Some(RankMessage::Failed { .. })),
        "{reply:?}"
    );
}

/// Drives the agent of a group with a single rank.
struct SingleAgent {
    agent: RankAgent,
    report: RankReport,
    now: TimePoint,
}

impl SingleAgent {
    fn new() -> Self {
        let mut single = Self {
            agent: RankAgent::new(AgentIncarnation(1), RankTimes::default()),
            report: report(),
            now: TimePoint(1_000),
        };
        single.read_report();
        single.agent.assemble_map(SHAPE);
        single
    }

    fn read_report(&mut self) -> RankOutputs {
        self.now = TimePoint(self.now.0 + 60_000);
        self.agent.on_report(self.report.clone(), self.now)
    }

    /// The next order that the agent sends within a second.
    fn next_order(&mut self, outputs: RankOutputs) -> RankAction {
        let mut outputs = outputs;
        for _ in 0..17 {
            let order = outputs.into_iter().find_map(|output| match output {
                RankOutput::Order(order) => Some(order.action),
                _ => None,
            });
            if let Some(action) = order {
                return action;
            }
            outputs = self.read_report();
        }
        panic!("no order within a second");
    }

    fn accept(&mut self) -> RankOutputs {
        self.agent.on_answer(OrderAnswer::Accepted, self.now);
        self.read_report()
    }
}

#[test]
fn used_maps_and_invalidating_maps_never_share_a_version() {
    for draw in 0..200 {
        let mut single = SingleAgent::new();
        let outputs = single.agent.propose(&[], draw, single.now);
        let RankAction::Prepare(used) = single.next_order(outputs) else {
            panic!("an attempt begins with the loading of its map");
        };
        single.report.prepared = Some(used.version());
        let outputs = single.accept();
        let RankAction::Hold { step } = single.next_order(outputs) else {
            panic!("the group is held once the map is loaded");
        };
        single.report.held = Some(step);
        let outputs = single.accept();
        assert!(matches!(single.next_order(outputs), RankAction::Arm { .. }));
        // The order is accepted but not executed, so the attempt is rolled back in the end.
        let outputs = single.accept();
        let RankAction::Prepare(invalidating) = single.next_order(outputs) else {
            panic!("an attempt is rolled back by a newer map");
        };
        assert!(invalidating.version() > used.version());
        assert_eq!(used.version().0 % 2, 0, "draw {draw}");
        assert_eq!(invalidating.version().0 % 2, 1, "draw {draw}");
    }
}
