//! `celerycrank status`: the status of one entry or agent.

use std::{fmt::Write, net::SocketAddr, time::Duration};

use serde_json::{Map, Value};

use crate::operator::{CommandError, CommandReport, EXIT_HELP};

/// Timeout for the status of a process.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a status.
const MAX_STATUS_BYTES: usize = 16 << 20;

const EXAMPLES: &str = "\
Examples:
  celerycrank status --address 10.0.0.5:9100
  celerycrank status --address 10.0.0.5:9100 --format json";

/// Shows the revision in force, backend servers, accounts and refusals of one process.
#[derive(Debug, clap::Args)]
#[command(after_help = format!("{EXAMPLES}\n\n{EXIT_HELP}"))]
pub(crate) struct StatusArgs {
    /// Admin address of an entry or agent.
    #[arg(long)]
    address: SocketAddr,
}

/// Fetches the status of a process.
pub(crate) async fn status(args: &StatusArgs) -> Result<CommandReport, CommandError> {
    let address = args.address.to_string();
    let error = |message: String| CommandError::Process(address.as_str().into(), message.into());
    let client = awc::Client::builder().timeout(STATUS_TIMEOUT).finish();
    let sent = client.get(format!("http://{address}/status")).send().await;
    let mut response = sent.map_err(|e| error(e.to_string()))?;
    if !response.status().is_success() {
        return Err(error(format!("status {}", response.status())));
    }
    let body = response.body().limit(MAX_STATUS_BYTES).await;
    let bytes = body.map_err(|e| error(e.to_string()))?;
    let value = serde_json::from_slice::<Value>(&bytes).map_err(|e| error(e.to_string()))?;
    let mut text = String::new();
    write_value(&mut text, 0, &value);
    Ok(CommandReport::done(text, &value))
}

/// Writes an object with one line per field.
///
/// No field names are expected, so that fields added by newer processes are shown too.
fn write_value(text: &mut String, depth: usize, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                write_field(text, depth, name, field);
            }
        }
        other => write_line(text, depth, &format_value(other)),
    }
}

fn write_field(text: &mut String, depth: usize, name: &str, field: &Value) {
    let name = name.replace('_', " ");
    match field {
        Value::Array(items) if items.is_empty() => {
            write_line(text, depth, &format!("{name}: none"));
        }
        Value::Array(items) => {
            write_line(text, depth, &format!("{name}:"));
            for item in items {
                write_line(text, depth + 1, &format_value(item));
            }
        }
        Value::Object(counts) if has_only_numbers(counts) => {
            write_line(text, depth, &format!("{name}: {}", format_counts(counts)));
        }
        Value::Object(_) => {
            write_line(text, depth, &format!("{name}:"));
            write_value(text, depth + 1, field);
        }
        other => write_line(text, depth, &format!("{name}: {}", format_value(other))),
    }
}

fn has_only_numbers(fields: &Map<String, Value>) -> bool {
    fields.values().all(Value::is_number)
}

/// Formats the counts above zero, since a reason that never occurred is of no interest.
fn format_counts(counts: &Map<String, Value>) -> String {
    let above = counts
        .iter()
        .filter(|(_, count)| count.as_f64() != Some(0.0));
    let parts = above.map(|(name, count)| format!("{} {count}", name.replace('_', " ")));
    let text = parts.collect::<Vec<_>>().join(", ");
    if text.is_empty() {
        return "none".into();
    }
    text
}

/// Formats a value on one line.
fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "none".into(),
        Value::Bool(true) => "yes".into(),
        Value::Bool(false) => "no".into(),
        Value::String(text) => text.clone(),
        Value::Number(number) => number.to_string(),
        Value::Array(items) => items
            .iter()
            .map(format_value)
            .collect::<Vec<_>>()
            .join(", "),
        Value::Object(fields) => {
            let parts = fields
                .iter()
                .map(|(name, field)| format!("{} {}", name.replace('_', " "), format_value(field)));
            parts.collect::<Vec<_>>().join(", ")
        }
    }
}

fn write_line(text: &mut String, depth: usize, line: &str) {
    writeln!(text, "{:width$}{line}", "", width = depth * 2)
        .expect("writing to a string cannot fail");
}
