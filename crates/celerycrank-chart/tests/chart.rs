//! Tests the interpreter on a small chart.

use celerycrank_chart::{ChartError, ChartStep, StateChart};
use serde::Deserialize;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Idle,
    Busy,
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Event {
    Start,
    Finish,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Action {
    Send,
}

type SmallChart = StateChart<State, Event, Action>;

const TEXT: &str = r#"{
    "initial": "idle",
    "states": {
        "idle": { "start": { "to": "busy", "do": ["send"] } },
        "busy": { "finish": { "to": "done" }, "start": "ignore" },
        "done": "final"
    }
}"#;

#[test]
fn steps_follow_the_chart() {
    let chart = SmallChart::parse(TEXT).unwrap();
    assert_eq!(chart.initial(), State::Idle);
    assert_eq!(
        chart.step(State::Idle, Event::Start),
        ChartStep::Moved {
            state: State::Busy,
            actions: &[Action::Send]
        }
    );
    assert_eq!(chart.step(State::Busy, Event::Start), ChartStep::Ignored);
    assert_eq!(
        chart.step(State::Idle, Event::Finish),
        ChartStep::Unexpected
    );
    assert_eq!(chart.step(State::Done, Event::Start), ChartStep::Unexpected);
    assert!(chart.is_final(State::Done));
}

#[test]
fn rejects_a_transition_to_an_undefined_state() {
    let text = r#"{"initial": "idle", "states": {"idle": {"start": {"to": "busy"}}}}"#;
    assert!(matches!(
        SmallChart::parse(text),
        Err(ChartError::MissingState(_))
    ));
}

#[test]
fn rejects_an_unknown_action() {
    let text = r#"{"initial": "idle", "states": {"idle": {"start": {"to": "idle", "do": ["x"]}}}}"#;
    assert!(matches!(
        SmallChart::parse(text),
        Err(ChartError::Syntax(_))
    ));
}
