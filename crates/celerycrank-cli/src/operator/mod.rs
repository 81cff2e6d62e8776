//! The operators' commands.
//!
//! Each command returns a [`CommandReport`]; only [`finish`] prints.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod diff;
mod directory;
pub(crate) mod explain;
pub(crate) mod history;
pub(crate) mod key;
mod report;
mod service;
pub(crate) mod show;
pub(crate) mod status;
pub(crate) mod stop;
mod time;

use std::{
    io::{self, Write},
    process::ExitCode,
};

pub(crate) use crate::operator::report::{CommandError, CommandReport, ReportFormat};

/// Exit codes, shown at the end of the help of each command.
pub(crate) const EXIT_HELP: &str = "\
Exit codes:
  0  done
  1  done, and there are differences (diff)
  2  the command line is invalid
  3  a file has errors; nothing was changed
  4  another operator changed the lists in the meantime; nothing was changed
  5  a platform service cannot be used; nothing was changed
  6  it is unknown whether the change was made; run the command again
  7  too little capacity would remain; nothing was changed without --force
  8  a file cannot be read or written";

/// Runs a command in an actix system of its own and prints its report.
pub(crate) fn run<F>(format: ReportFormat, command: F) -> ExitCode
where
    F: Future<Output = Result<CommandReport, CommandError>>,
{
    finish(format, actix_rt::System::new().block_on(command))
}

/// Prints a report or an error and returns the exit code.
///
/// A reader that has ended, as in `celerycrank check | head`, changes nothing about the exit code.
pub(crate) fn finish(
    format: ReportFormat,
    result: Result<CommandReport, CommandError>,
) -> ExitCode {
    let report = result.unwrap_or_else(CommandError::into_report);
    let mut output = io::stdout().lock();
    let written = match format {
        ReportFormat::Text => write!(output, "{}", report.text),
        ReportFormat::Json => writeln!(output, "{}", report.json),
    };
    if let Err(error) = written.and_then(|()| output.flush())
        && error.kind() != io::ErrorKind::BrokenPipe
    {
        // The exit code still says what the command did.
        eprintln!("celerycrank: cannot write the report: {error}");
    }
    ExitCode::from(report.exit as u8)
}
