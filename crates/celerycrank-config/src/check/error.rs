//! Validation errors of a file.

use std::{fmt, sync::Arc};

use serde::{Serialize, Serializer};

/// One validation error and the path of the invalid value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationError {
    /// Path of the value, such as `plans[3].share`; empty for the whole file.
    pub path: Arc<str>,
    /// The kind of the error.
    pub kind: ValidationErrorKind,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return self.kind.fmt(f);
        }
        write!(f, "{}: {}", self.path, self.kind)
    }
}

impl std::error::Error for ValidationError {}

impl Serialize for ValidationError {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeStruct;
        let mut object = serializer.serialize_struct("ValidationError", 2)?;
        object.serialize_field("path", &self.path)?;
        object.serialize_field("fault", &self.kind.to_string())?;
        object.end()
    }
}

/// The kind of a validation error.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ValidationErrorKind {
    /// not valid JSON: {0}
    Syntax(Arc<str>),
    /// is missing
    Missing,
    /// unknown field; expected one of {0}
    UnknownField(Arc<str>),
    /// is a duplicate field
    DuplicateField,
    /// must be {0}
    UnexpectedValue(Arc<str>),
    /// must be above 0
    NotPositive,
    /// must not be empty
    Empty,
    /// {0}
    ParseFailed(Arc<str>),
    /// is already used at {0}
    DuplicateValue(Arc<str>),
    /// no plan `{0}` is in the plan list
    UnknownPlan(Arc<str>),
    /// differs from {0}, which says `{1}` for the same service and prefix
    RepeatConflict(Arc<str>, Arc<str>),
    /// overlaps the chat-completions interface
    ReservedPrefix,
}

impl ValidationErrorKind {
    /// Returns the stable name of the kind, which findings have as their code.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Syntax(_) => "json_syntax",
            Self::Missing => "field_missing",
            Self::UnknownField(_) => "field_unknown",
            Self::DuplicateField => "field_duplicate",
            Self::UnexpectedValue(_) | Self::ParseFailed(_) => "value_invalid",
            Self::NotPositive => "value_not_positive",
            Self::Empty => "value_empty",
            Self::DuplicateValue(_) => "value_duplicate",
            Self::UnknownPlan(_) => "plan_unknown",
            Self::RepeatConflict(..) => "repeat_conflict",
            Self::ReservedPrefix => "prefix_reserved",
        }
    }
}

/// The validation errors of both lists.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct ListErrors {
    /// Errors of the customer list.
    pub customers: Vec<ValidationError>,
    /// Errors of the plan list.
    pub plans: Vec<ValidationError>,
}

impl ListErrors {
    /// Returns whether both lists are valid.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.customers.is_empty() && self.plans.is_empty()
    }

    /// Returns the number of errors in both lists.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.customers.len() + self.plans.len()
    }
}

impl fmt::Display for ListErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.customers {
            writeln!(f, "customer list: {error}")?;
        }
        for error in &self.plans {
            writeln!(f, "plan list: {error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ListErrors {}
