//! Findings and differences that a check of a configuration reports before it is sent.

use std::{
    borrow::Cow,
    cell::OnceCell,
    collections::{BTreeMap, HashMap},
    fmt, iter,
    sync::Arc,
};

use serde::{Serialize, de::IgnoredAny};
use serde_json::value::RawValue;

use crate::check::join;

/// Maximum number of affected accounts that the text of a difference names.
const MAX_NAMED_ACCOUNTS: usize = 5;

/// Maximum depth of values whose positions are collected; deeper ones have that of the value around
/// them.
///
/// It is the depth beyond which the readers of configurations refuse a document.
const MAX_DEPTH: usize = 128;

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
#[derive(Debug, Clone)]
pub struct CheckedDocument<'text> {
    file: &'text str,
    text: &'text str,
    /// The positions of all values, once they are needed.
    positions: OnceCell<ValuePositions>,
}

/// The positions of the values of a JSON text.
#[derive(Debug, Clone)]
enum ValuePositions {
    /// The text is not valid JSON; the position of the error.
    SyntaxError(TextPosition),
    /// The offset of each value by its path, and the offsets at which lines start, in ascending
    /// order.
    Values(HashMap<String, usize>, Vec<usize>),
}

impl<'text> CheckedDocument<'text> {
    /// Creates the document of a file with a JSON text.
    #[must_use]
    pub const fn new(file: &'text str, text: &'text str) -> Self {
        Self {
            file,
            text,
            positions: OnceCell::new(),
        }
    }

    /// Returns the JSON text.
    #[must_use]
    pub const fn text(&self) -> &'text str {
        self.text
    }

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
            position: self.locate(path),
            message: message.into(),
        }
    }

    /// Returns the position of the value at a path, or of the closest value around it that exists.
    /// If the text is not valid JSON, this is the position of the syntax error.
    ///
    /// Where a field occurs more than once, the last one counts.
    #[must_use]
    pub fn locate(&self, path: &str) -> Option<TextPosition> {
        let positions = self.positions.get_or_init(|| find_positions(self.text));
        let (offsets, line_starts) = match positions {
            ValuePositions::SyntaxError(position) => return Some(*position),
            ValuePositions::Values(offsets, line_starts) => (offsets, line_starts),
        };
        let mut path = path;
        let offset = loop {
            if let Some(offset) = offsets.get(path) {
                break *offset;
            }
            path = &path[..path.rfind(['.', '[']).unwrap_or(0)];
        };
        let line = line_starts.partition_point(|start| *start <= offset);
        Some(TextPosition {
            line,
            column: offset - line_starts[line - 1] + 1,
        })
    }
}

fn find_positions(text: &str) -> ValuePositions {
    if let Err(error) = serde_json::from_str::<IgnoredAny>(text) {
        return ValuePositions::SyntaxError(TextPosition {
            line: error.line(),
            column: error.column(),
        });
    }
    let mut offsets = HashMap::new();
    collect_offsets(String::new(), text.trim_start(), text, 0, &mut offsets);
    let ends = text.match_indices('\n').map(|(end, _)| end + 1);
    ValuePositions::Values(offsets, iter::once(0).chain(ends).collect())
}

/// Adds the offsets of a value of `text` and of the values in it, up to `MAX_DEPTH`.
fn collect_offsets(
    path: String,
    value: &str,
    text: &str,
    depth: usize,
    offsets: &mut HashMap<String, usize>,
) {
    if depth == MAX_DEPTH {
        // The value itself is added below.
    } else if let Ok(items) = serde_json::from_str::<Vec<&RawValue>>(value) {
        for (index, item) in items.into_iter().enumerate() {
            collect_offsets(
                format!("{path}[{index}]"),
                item.get(),
                text,
                depth + 1,
                offsets,
            );
        }
    } else if let Ok(fields) = serde_json::from_str::<BTreeMap<Cow<'_, str>, &RawValue>>(value) {
        for (name, field) in fields {
            collect_offsets(join(&path, &name), field.get(), text, depth + 1, offsets);
        }
    }
    offsets.insert(path, value.as_ptr().addr() - text.as_ptr().addr());
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
