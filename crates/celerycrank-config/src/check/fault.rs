//! Faults of a checked file.

use std::{fmt, sync::Arc};

use serde::{Serialize, Serializer};

/// One fault, named by its path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckFault {
    /// Where it is, such as `plans[3].share`; empty for the file as a whole.
    pub path: Arc<str>,
    /// What it is.
    pub kind: FaultKind,
}

impl fmt::Display for CheckFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return self.kind.fmt(f);
        }
        write!(f, "{}: {}", self.path, self.kind)
    }
}

impl std::error::Error for CheckFault {}

impl Serialize for CheckFault {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeStruct;
        let mut object = serializer.serialize_struct("CheckFault", 2)?;
        object.serialize_field("path", &self.path)?;
        object.serialize_field("fault", &self.kind.to_string())?;
        object.end()
    }
}

/// What is wrong at a path.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum FaultKind {
    /// not valid JSON: {0}
    Syntax(Arc<str>),
    /// is missing
    Missing,
    /// unknown field; expected one of {0}
    UnknownField(Arc<str>),
    /// is given twice
    GivenTwice,
    /// must be {0}
    WrongForm(Arc<str>),
    /// must be above 0
    NotAboveZero,
    /// must not be empty
    Empty,
    /// {0}
    Unreadable(Arc<str>),
    /// is already used at {0}
    AlreadyUsed(Arc<str>),
    /// no plan `{0}` is in the plan list
    UnknownPlan(Arc<str>),
    /// differs from {0}, which says `{1}` for the same service and prefix
    RepeatConflict(Arc<str>, Arc<str>),
    /// overlaps the chat-completions interface
    ReservedPrefix,
}

/// The faults of both lists.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct ListFaults {
    /// Faults of the customer list.
    pub customers: Vec<CheckFault>,
    /// Faults of the plan list.
    pub plans: Vec<CheckFault>,
}

impl ListFaults {
    /// Whether both lists are in order.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.customers.is_empty() && self.plans.is_empty()
    }

    /// How many faults there are.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.customers.len() + self.plans.len()
    }
}

impl fmt::Display for ListFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.customers {
            writeln!(f, "customer list: {fault}")?;
        }
        for fault in &self.plans {
            writeln!(f, "plan list: {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ListFaults {}
