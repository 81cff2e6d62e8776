//! Reports of commands, as text and as JSON.

use std::{io, path::PathBuf, sync::Arc};

use celerycrank_client::{KeyValueError, VmListError};
use clap::ValueEnum;
use serde::Serialize;
use serde_json::{Value, json};

/// Output format.
#[derive(Debug, Default, Clone, Copy, ValueEnum)]
pub(crate) enum ReportFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON value, for scripts.
    Json,
}

/// Outcome of a command; the values are the exit codes that the help of each command lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    Done = 0,
    /// `diff` has found differences, or `check` errors.
    Found = 1,
    /// `check` could not run; invalid command lines have the same code.
    CannotRun = 2,
    Invalid = 3,
    Conflict = 4,
    Unavailable = 5,
    Unknown = 6,
    NeedsForce = 7,
    FileError = 8,
}

/// The report of a command.
#[derive(Debug)]
pub(crate) struct CommandReport {
    pub(crate) exit: ExitStatus,
    pub(crate) text: String,
    pub(crate) json: Value,
}

impl CommandReport {
    /// Reports a write whose answer was lost and whose outcome could not be determined.
    pub(crate) fn unknown_outcome(error: &KeyValueError) -> Self {
        let text = format!(
            "it is unknown whether the change was made: {error}\n\
             run the same command again: the change is never made twice\n"
        );
        Self::new(
            ExitStatus::Unknown,
            text,
            &json!({ "error": error.to_string() }),
        )
    }

    pub(crate) fn new(exit: ExitStatus, text: impl Into<String>, json: &impl Serialize) -> Self {
        Self {
            exit,
            text: text.into(),
            json: serde_json::to_value(json).expect("reports serialize to JSON"),
        }
    }

    pub(crate) fn done(text: impl Into<String>, json: &impl Serialize) -> Self {
        Self::new(ExitStatus::Done, text, json)
    }
}

/// Why a command failed.
///
/// The messages are also part of the JSON output.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum CommandError {
    /// cannot use {0}: {1}
    File(PathBuf, io::Error),
    /// {0} has faults: {1}
    Invalid(PathBuf, Arc<str>),
    /// the key-value service cannot be read, and nothing was changed: {0}
    ReadFailed(Arc<str>),
    /// nothing was changed: {0}
    Service(KeyValueError),
    /// the VM list cannot be used: {0}; --force goes on without it
    VmList(VmListError),
    /// the record {0} is malformed: {1}
    MalformedRecord(Arc<str>, Arc<str>),
    /// the lists do not fit into a record: {0}
    TooLarge(KeyValueError),
    /// say who you are with --author, or set USER
    NoAuthor,
    /// give a directory, or the customer list and the plan list
    ListFiles,
    /// no usable answer from {0}: {1}
    Process(Arc<str>, Arc<str>),
}

impl std::error::Error for CommandError {}

impl CommandError {
    /// The error of a read.
    ///
    /// Whether a read was carried out does not matter, so the message of an unknown
    /// outcome is reduced to its cause.
    pub(crate) fn from_read_error(error: &KeyValueError) -> Self {
        Self::ReadFailed(match error {
            KeyValueError::Unknown(answer) => answer.to_string().into(),
            other => other.to_string().into(),
        })
    }

    pub(crate) fn into_report(self) -> CommandReport {
        let exit = match self {
            Self::File(..) => ExitStatus::FileError,
            Self::Invalid(..) | Self::TooLarge(_) | Self::NoAuthor | Self::ListFiles => {
                ExitStatus::Invalid
            }
            Self::ReadFailed(_)
            | Self::Service(_)
            | Self::VmList(_)
            | Self::MalformedRecord(..)
            | Self::Process(..) => ExitStatus::Unavailable,
        };
        let message = match &self {
            Self::Invalid(path, lines) => format!("{} has faults:\n{lines}", path.display()),
            other => other.to_string(),
        };
        let text = format!("celerycrank: {}\n", message.trim_end());
        CommandReport::new(exit, text, &json!({ "error": message }))
    }
}
