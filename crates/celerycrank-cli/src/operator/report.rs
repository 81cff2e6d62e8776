//! What a command has to say, in words and as JSON.

use std::{io, path::PathBuf, sync::Arc};

use celerycrank_client::{KeyValueError, VmListError};
use clap::ValueEnum;
use serde::Serialize;
use serde_json::{Value, json};

/// Form of the output.
#[derive(Debug, Default, Clone, Copy, ValueEnum)]
pub(crate) enum ReportFormat {
    /// For people.
    #[default]
    Text,
    /// For scripts: one JSON value.
    Json,
}

/// How a command ended; the numbers are listed in every command's help.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    Done = 0,
    Differences = 1,
    Invalid = 3,
    Conflict = 4,
    Unavailable = 5,
    Unknown = 6,
    NeedsForce = 7,
    FileError = 8,
}

/// What a command has to say.
#[derive(Debug)]
pub(crate) struct CommandReport {
    pub(crate) exit: ExitStatus,
    pub(crate) text: String,
    pub(crate) json: Value,
}

impl CommandReport {
    /// A write whose answer was lost and that could not be settled.
    pub(crate) fn unknown_outcome(error: &KeyValueError) -> Self {
        let text = format!(
            "it is not known whether the change was made: {error}\n\
             run the same command again: it is never made twice\n"
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
            json: serde_json::to_value(json).expect("a report has a JSON form"),
        }
    }

    pub(crate) fn done(text: impl Into<String>, json: &impl Serialize) -> Self {
        Self::new(ExitStatus::Done, text, json)
    }
}

/// Why a command could not do its work.
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
    /// no usable answer from {0}: {1}
    Process(Arc<str>, Arc<str>),
}

impl std::error::Error for CommandError {}

impl CommandError {
    /// The fault of a read, of which it does not matter whether it was carried out.
    pub(crate) fn from_read_error(error: &KeyValueError) -> Self {
        Self::ReadFailed(match error {
            KeyValueError::Unknown(answer) => answer.to_string().into(),
            other => other.to_string().into(),
        })
    }

    pub(crate) fn into_report(self) -> CommandReport {
        let exit = match self {
            Self::File(..) => ExitStatus::FileError,
            Self::Invalid(..) | Self::TooLarge(_) | Self::NoAuthor => ExitStatus::Invalid,
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
