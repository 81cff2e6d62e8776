//! `celerycrank check`: reports every error in the lists and settings.

use std::{
    fmt::Write,
    path::{Path, PathBuf},
};

use celerycrank_config::{ValidationError, check_agent, check_entry};
use serde_json::json;

use crate::operator::{
    CommandError, CommandReport, EXIT_HELP,
    directory::{DirectoryArgs, read},
    report::ExitStatus,
};

const EXAMPLES: &str = "\
Examples:
  celerycrank check                         both lists in this directory
  celerycrank check --dir auction-house     both lists in another directory
  celerycrank check --entry-settings e.json --agent-settings a.json";

/// Reports every error in both lists and in settings files.
#[derive(Debug, clap::Args)]
#[command(after_help = format!("{EXAMPLES}\n\n{EXIT_HELP}"))]
pub(crate) struct CheckArgs {
    #[command(flatten)]
    directory: DirectoryArgs,
    /// Settings file of an entry; may be repeated.
    #[arg(long)]
    entry_settings: Vec<PathBuf>,
    /// Settings file of an agent; may be repeated.
    #[arg(long)]
    agent_settings: Vec<PathBuf>,
}

/// Checks the files.
pub(crate) fn check(args: &CheckArgs) -> Result<CommandReport, CommandError> {
    let mut text = String::new();
    let lists = args.directory.read_lists()?;
    let list_errors = lists.as_ref().err().cloned().unwrap_or_default();
    text.push_str(&list_errors.to_string());
    let mut settings = Vec::new();
    for path in &args.entry_settings {
        let errors = check_entry(&read(path)?).err().unwrap_or_default();
        settings.push((path, errors));
    }
    for path in &args.agent_settings {
        let errors = check_agent(&read(path)?).err().unwrap_or_default();
        settings.push((path, errors));
    }
    for (path, errors) in &settings {
        append_errors(&mut text, path, errors);
    }
    let count = list_errors.len()
        + settings
            .iter()
            .map(|(_, errors)| errors.len())
            .sum::<usize>();
    let exit = if count == 0 {
        ExitStatus::Done
    } else {
        ExitStatus::Invalid
    };
    match lists {
        _ if count > 0 => append_summary(&mut text, count),
        Ok(lists) => {
            let accounts = lists.customers.accounts.len();
            let plans = lists.plans.plans.len();
            text = format!("no errors: {accounts} accounts, {plans} plans\n");
        }
        Err(_) => {}
    }
    let settings = settings
        .iter()
        .map(|(path, errors)| json!({ "file": path, "faults": errors }))
        .collect::<Vec<_>>();
    let json = json!({ "faults": count, "lists": list_errors, "settings": settings });
    Ok(CommandReport::new(exit, text, &json))
}

fn append_errors(text: &mut String, path: &Path, errors: &[ValidationError]) {
    for error in errors {
        writeln!(text, "{}: {error}", path.display()).expect("writing to a string cannot fail");
    }
}

fn append_summary(text: &mut String, count: usize) {
    let noun = if count == 1 { "error" } else { "errors" };
    writeln!(text, "{count} {noun}").expect("writing to a string cannot fail");
}
