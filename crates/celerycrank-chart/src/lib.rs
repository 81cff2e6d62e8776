//! An interpreter for state charts defined in JSON.
//!
//! A chart lists its states, the events each state accepts, and for each event the
//! next state and the actions to perform. The interpreter holds no current state and
//! performs no action: [`StateChart::step`] returns the next state and the actions, and
//! the caller applies them.
//!
//! ```json
//! {
//!   "initial": "idle",
//!   "states": {
//!     "idle": { "start": { "to": "busy", "do": ["send"] } },
//!     "busy": { "finish": { "to": "done" }, "start": "ignore" },
//!     "done": "final"
//!   }
//! }
//! ```

use std::{collections::BTreeMap, fmt::Debug, sync::Arc};

use serde::{Deserialize, de::DeserializeOwned};

/// Error from parsing a chart.
#[derive(Debug, displaydoc::Display)]
pub enum ChartError {
    /// invalid state chart: {0}
    Syntax(serde_json::Error),
    /// state chart refers to the undefined state {0}
    MissingState(Arc<str>),
}

impl std::error::Error for ChartError {}

/// The result of looking up an event in a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChartStep<'chart, S, A> {
    /// The chart enters `state`, and the caller performs `actions` in order.
    Moved {
        /// The next state.
        state: S,
        /// The actions to perform, in order.
        actions: &'chart [A],
    },
    /// The chart explicitly ignores the event in this state.
    Ignored,
    /// The chart defines no transition for the event in this state.
    Unexpected,
}

/// A parsed state chart over closed sets of states, events and actions.
#[derive(Debug, Clone)]
pub struct StateChart<S, E, A> {
    initial: S,
    /// Invariant: contains the initial state and every target of a transition.
    states: BTreeMap<S, StateRule<S, E, A>>,
}

impl<S, E, A> StateChart<S, E, A>
where
    S: Copy + Ord + Debug + DeserializeOwned,
    E: Copy + Ord + DeserializeOwned,
    A: DeserializeOwned,
{
    /// Parses a chart from JSON and checks that every state it refers to is defined.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a chart of these states, events and actions, or if the
    /// initial state or the target of a transition is not defined.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file = serde_json::from_str::<ChartFile<S, E, A>>(text).map_err(ChartError::Syntax)?;
        let chart = Self {
            initial: file.initial,
            states: file.states,
        };
        chart.check()?;
        Ok(chart)
    }

    /// The initial state.
    #[must_use]
    pub const fn initial(&self) -> S {
        self.initial
    }

    /// Looks up the transition for `event` in `state`.
    #[must_use]
    pub fn step(&self, state: S, event: E) -> ChartStep<'_, S, A> {
        let Some(StateRule::Events(events)) = self.states.get(&state) else {
            return ChartStep::Unexpected;
        };
        match events.get(&event) {
            Some(EventRule::Transition(rule)) => ChartStep::Moved {
                state: rule.to,
                actions: &rule.actions,
            },
            Some(EventRule::Keyword(EventKeyword::Ignore)) => ChartStep::Ignored,
            None => ChartStep::Unexpected,
        }
    }

    /// Whether `state` is marked as final.
    #[must_use]
    pub fn is_final(&self, state: S) -> bool {
        matches!(
            self.states.get(&state),
            Some(StateRule::Keyword(StateKeyword::Final))
        )
    }

    /// The states that the chart defines, in ascending order.
    pub fn states(&self) -> impl Iterator<Item = S> + '_ {
        self.states.keys().copied()
    }

    fn check(&self) -> Result<(), ChartError> {
        let targets = self.states.values().flat_map(StateRule::targets);
        match targets
            .chain([self.initial])
            .find(|state| !self.states.contains_key(state))
        {
            Some(state) => Err(ChartError::MissingState(format!("{state:?}").into())),
            None => Ok(()),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(bound(
    deserialize = "S: Ord + Deserialize<'de>, E: Ord + Deserialize<'de>, A: Deserialize<'de>"
))]
struct ChartFile<S, E, A> {
    initial: S,
    states: BTreeMap<S, StateRule<S, E, A>>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
#[serde(bound(
    deserialize = "S: Deserialize<'de>, E: Ord + Deserialize<'de>, A: Deserialize<'de>"
))]
enum StateRule<S, E, A> {
    Keyword(StateKeyword),
    Events(BTreeMap<E, EventRule<S, A>>),
}

impl<S: Copy, E, A> StateRule<S, E, A> {
    fn targets(&self) -> Vec<S> {
        match self {
            Self::Keyword(StateKeyword::Final) => Vec::new(),
            Self::Events(events) => events.values().filter_map(EventRule::target).collect(),
        }
    }
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateKeyword {
    Final,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
#[serde(bound(deserialize = "S: Deserialize<'de>, A: Deserialize<'de>"))]
enum EventRule<S, A> {
    Keyword(EventKeyword),
    Transition(Transition<S, A>),
}

impl<S: Copy, A> EventRule<S, A> {
    fn target(&self) -> Option<S> {
        match self {
            Self::Keyword(EventKeyword::Ignore) => None,
            Self::Transition(rule) => Some(rule.to),
        }
    }
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EventKeyword {
    Ignore,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(bound(deserialize = "S: Deserialize<'de>, A: Deserialize<'de>"))]
struct Transition<S, A> {
    to: S,
    #[serde(default = "Vec::new", rename = "do")]
    actions: Vec<A>,
}
