//! `celerycrank explain`: the lines of one request in collected logs.

use std::{
    collections::VecDeque,
    fmt::Write,
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use serde_json::Value;

use crate::operator::{CommandError, CommandReport, EXIT_HELP};

/// Messages of changes to the state on which an entry bases its decisions.
///
/// They are shown before the lines of the request.
const CONTEXT_MESSAGES: [&str; 6] = [
    "configuration in force",
    "store lost",
    "store regained",
    "settings reloaded",
    "entry serves",
    "entry is leaving",
];

/// Maximum number of state-change lines shown before a line of the request.
const MAX_CONTEXT_LINES: usize = 6;

const EXAMPLES: &str = "\
Examples:
  celerycrank explain 9c41d07be2a35f68 /var/log/celerycrank/*.log
  celerycrank explain 9c41d07be2a35f68 edge-1.log --format json";

/// Shows the log lines of one request and the preceding state changes of its entry.
#[derive(Debug, clap::Args)]
#[command(after_help = format!("{EXAMPLES}\n\n{EXIT_HELP}"))]
pub(crate) struct ExplainArgs {
    /// Identifier that the caller gave its attempt.
    request: String,
    /// Log files, one per process.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
}

/// Collects the lines of one request from every log.
pub(crate) fn explain(args: &ExplainArgs) -> Result<CommandReport, CommandError> {
    let mut found = Vec::new();
    for path in &args.logs {
        let lines = read_log(path, &args.request)
            .map_err(|error| CommandError::File(path.clone(), error))?;
        found.extend(lines);
    }
    let mut text = String::new();
    for line in &found {
        write_line(&mut text, line);
    }
    if found.is_empty() {
        let request = &args.request;
        writeln!(text, "no log lines of request {request}")
            .expect("writing to a string cannot fail");
    }
    Ok(CommandReport::done(text, &found))
}

/// Reads the lines of a log that concern the request; text other than JSON is skipped.
fn read_log(path: &Path, request: &str) -> std::io::Result<Vec<Value>> {
    let mut context = VecDeque::new();
    let mut found = Vec::new();
    for line in BufReader::new(File::open(path)?).lines() {
        let line = line?;
        let start = line.find('{').unwrap_or_default();
        // Log collectors may put a prefix before a line.
        let Ok(value) = serde_json::from_str::<Value>(&line[start..]) else {
            continue;
        };
        if value["request"] == request {
            found.extend(context.drain(..));
            found.push(value);
        } else if is_context_line(&value) {
            context.push_back(value);
            if context.len() > MAX_CONTEXT_LINES {
                context.pop_front();
            }
        }
    }
    Ok(found)
}

fn is_context_line(line: &Value) -> bool {
    let message = line["message"].as_str().unwrap_or_default();
    CONTEXT_MESSAGES.contains(&message)
}

fn write_line(text: &mut String, line: &Value) {
    let field_text = |name: &str| line[name].as_str().unwrap_or_default();
    write!(
        text,
        "{} {}",
        field_text("timestamp"),
        field_text("message")
    )
    .expect("writing to a string cannot fail");
    let fields = line.as_object().into_iter().flatten();
    for (name, value) in fields {
        if matches!(name.as_str(), "timestamp" | "message" | "level" | "target") {
            continue;
        }
        let value_text = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        write!(text, " {name}={value_text}").expect("writing to a string cannot fail");
    }
    text.push('\n');
}
