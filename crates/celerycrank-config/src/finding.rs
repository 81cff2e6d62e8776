//! Findings and differences that a check of a configuration reports before it is sent.

use std::{borrow::Cow, collections::BTreeMap, fmt, sync::Arc};

use serde::{Serialize, de::IgnoredAny};
use serde_json::value::RawValue;

/// Maximum number of affected accounts that the text of a difference names.
const MAX_NAMED_ACCOUNTS: usize = 5;

/// Whether the processes accept a configuration in spite of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The processes refuse the configuration, or close the part that the finding names.
    Error,
    /// The processes accept the configuration, but it is unlikely to have the intended effect.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// A position in a text; both numbers count from 1, the column in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct TextPosition {
    /// Number of the line.
    pub line: usize,
    /// Number of the byte in the line.
    pub column: usize,
}

/// One finding of a check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Whether the processes accept the configuration.
    pub severity: Severity,
    /// Stable name of the kind of finding, for scripts.
    pub code: &'static str,
    /// Name of the file.
    pub file: Arc<str>,
    /// Path of the value in the document, such as `routes[3].host`; empty for the whole document.
    pub path: Arc<str>,
    /// Position of the value, or of the closest one around it that the file has.
    #[serde(flatten)]
    pub position: Option<TextPosition>,
    /// What is wrong.
    pub message: Arc<str>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(TextPosition { line, column }) = self.position {
            write!(f, ":{line}:{column}")?;
        }
        write!(f, ": {} {}: ", self.severity, self.code)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// The document to which findings refer.
#[derive(Debug, Clone, Copy)]
pub struct CheckedDocument<'text> {
    /// Name of the file.
    pub file: &'text str,
    /// The JSON text.
    pub text: &'text str,
}

impl CheckedDocument<'_> {
    /// Creates a finding at a path of the document.
    #[must_use]
    pub fn finding(
        &self,
        severity: Severity,
        code: &'static str,
        path: &str,
        message: impl Into<Arc<str>>,
    ) -> Finding {
        Finding {
            severity,
            code,
            file: self.file.into(),
            path: path.into(),
            position: locate(self.text, path),
            message: message.into(),
        }
    }
}

/// Returns the position of the value at a path of a JSON text, or of the closest value around it
/// that exists. If the text is not valid JSON, this is the position of the syntax error.
///
/// Where a field occurs more than once, the last one counts.
#[must_use]
pub fn locate(text: &str, path: &str) -> Option<TextPosition> {
    if let Err(error) = serde_json::from_str::<IgnoredAny>(text) {
        return Some(TextPosition {
            line: error.line(),
            column: error.column(),
        });
    }
    let mut value = text.trim_start();
    for step in path.split(['.', '[']).filter(|step| !step.is_empty()) {
        let Some(inner) = find_child(value, step) else {
            break;
        };
        value = inner;
    }
    let offset = value.as_ptr().addr() - text.as_ptr().addr();
    let before = &text[..offset];
    let line_start = before.rfind('\n').map_or(0, |end| end + 1);
    Some(TextPosition {
        line: before.matches('\n').count() + 1,
        column: offset - line_start + 1,
    })
}

/// Returns the text of the item (`3]`) or field (`host`) of a JSON value.
fn find_child<'text>(value: &'text str, step: &str) -> Option<&'text str> {
    let child = if let Some(index) = step.strip_suffix(']') {
        let items = serde_json::from_str::<Vec<&RawValue>>(value).ok()?;
        *items.get(index.parse::<usize>().ok()?)?
    } else {
        let fields = serde_json::from_str::<BTreeMap<Cow<'_, str>, &RawValue>>(value).ok()?;
        *fields.get(step)?
    };
    Some(child.get())
}

/// Whether a difference restricts or favours those whom it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Tendency {
    /// Some requests that were served are refused, served later or given up earlier.
    Stricter,
    /// Some requests that were refused are served, or requests are served earlier.
    Laxer,
    /// Neither, or it depends on the requests.
    Changed,
}

impl fmt::Display for Tendency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stricter => "stricter",
            Self::Laxer => "laxer",
            Self::Changed => "changed",
        })
    }
}

impl Tendency {
    /// Returns the tendency of a limit that was raised, if a larger value allows more.
    #[must_use]
    pub fn of_limit<T: PartialOrd>(from: &T, to: &T) -> Self {
        if to > from {
            Self::Laxer
        } else {
            Self::Stricter
        }
    }
}

/// One difference from the version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Whether it restricts or favours those whom it affects.
    pub tendency: Tendency,
    /// What differs, such as `route bid`, `account acme` or `service shop`.
    pub subject: Arc<str>,
    /// The accounts that it affects, if the subject is a plan.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<Arc<str>>,
    /// What differs about the subject.
    pub message: Arc<str>,
}

impl Difference {
    /// Creates a difference that affects the subject itself.
    #[must_use]
    pub fn new(
        tendency: Tendency,
        subject: impl Into<Arc<str>>,
        message: impl Into<Arc<str>>,
    ) -> Self {
        Self {
            tendency,
            subject: subject.into(),
            accounts: Vec::new(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.tendency, self.subject)?;
        if !self.accounts.is_empty() {
            let named = self.accounts.iter().take(MAX_NAMED_ACCOUNTS);
            let named = named.map(|account| &**account).collect::<Vec<_>>();
            write!(f, " (accounts {}", named.join(", "))?;
            if self.accounts.len() > MAX_NAMED_ACCOUNTS {
                write!(f, " and {} more", self.accounts.len() - MAX_NAMED_ACCOUNTS)?;
            }
            f.write_str(")")?;
        }
        write!(f, ": {}", self.message)
    }
}
