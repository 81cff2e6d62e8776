//! The member beside one rank, and the versions of the maps it is asked to load.

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
fn messages_of_an_older_attempt_do_not_take_a_newer_one_back() {
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
    // What the lead sent in its attempt before arrives late, while the agent stood still.
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
fn a_rank_that_was_armed_when_last_seen_is_looked_at_again_before_an_attempt_fails() {
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
    // The step has begun since, as the next report shows.
    let mut member = RankMember::default();
    member.observe(&armed);
    member.on_message(&prepare);
    assert_eq!(member.next_action(&armed), None);
    assert_eq!(member.reply(&armed), None);
    let switched = report();
    member.observe(&switched);
    let action = member.next_action(&switched);
    assert_eq!(action, Some(RankAction::Prepare(map(8))));
    // The rank is armed indeed.
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

/// Lets an agent that is alone in its group begin an attempt, and gives its orders.
struct LoneAgent {
    agent: RankAgent,
    report: RankReport,
    now: TimePoint,
}

impl LoneAgent {
    fn new() -> Self {
        let mut lone = Self {
            agent: RankAgent::new(AgentIncarnation(1), RankTimes::default()),
            report: report(),
            now: TimePoint(1_000),
        };
        lone.read_report();
        lone.agent.assemble_map(SHAPE);
        lone
    }

    fn read_report(&mut self) -> RankOutputs {
        self.now = TimePoint(self.now.0 + 60_000);
        self.agent.on_report(self.report.clone(), self.now)
    }

    /// The next order that the agent gives within a second.
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
fn maps_to_be_used_and_maps_that_void_others_never_share_a_version() {
    for draw in 0..200 {
        let mut lone = LoneAgent::new();
        let outputs = lone.agent.propose(&[], draw, lone.now);
        let RankAction::Prepare(used) = lone.next_order(outputs) else {
            panic!("an attempt begins with the loading of its map");
        };
        lone.report.prepared = Some(used.version());
        let outputs = lone.accept();
        let RankAction::Hold { step } = lone.next_order(outputs) else {
            panic!("the group is held once the map is loaded");
        };
        lone.report.held = Some(step);
        let outputs = lone.accept();
        assert!(matches!(lone.next_order(outputs), RankAction::Arm { .. }));
        // The order is accepted and not carried out; in the end the attempt is taken back.
        let outputs = lone.accept();
        let RankAction::Prepare(void) = lone.next_order(outputs) else {
            panic!("an attempt is taken back by a newer map");
        };
        assert!(void.version() > used.version());
        assert_eq!(used.version().0 % 2, 0, "draw {draw}");
        assert_eq!(void.version().0 % 2, 1, "draw {draw}");
    }
}
