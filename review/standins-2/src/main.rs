//! Stand-ins and checks of the second review: `review-standins-2 CASE FOLDER`.

mod client;
mod entry;
mod http;
mod json;
mod memory;
mod poison;
mod process;
mod record;
mod store;
mod worker;

use std::{env, fs, io, path::Path, process::ExitCode};

use crate::{poison::Prompts, process::CrashPlan};

fn main() -> ExitCode {
    let arguments = env::args().collect::<Vec<_>>();
    if let [_, command, id, address, events, from] = arguments.as_slice()
        && command == "worker"
    {
        let plan = CrashPlan {
            events: events.parse().unwrap_or_default(),
            from_unix_ms: from.parse().unwrap_or_default(),
        };
        let ended = process::run(id, address, plan);
        return ended.map_or(ExitCode::from(2), |()| ExitCode::SUCCESS);
    }
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").is_none_or_zero();
    let result = run_case(case, Path::new(folder), has_trouble);
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs a case with a temporary folder for the entry; returns whether the rule held.
fn run_case(case: &str, folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let temporary = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&temporary)?;
    let folders = Folders {
        record: folder,
        temporary: &temporary,
    };
    let result = match case {
        "memory" => memory::run(&folders, has_trouble),
        "poison" => poison::run(&folders, Prompts::Short, 1, has_trouble),
        "blocks" => poison::run(&folders, Prompts::ManyBlocks, 0, has_trouble),
        "digits" => poison::run(&folders, Prompts::LongIds, 0, has_trouble),
        "known" => poison::run(&folders, Prompts::Known, 0, has_trouble),
        // What the first case does without any event before the crash, to compare.
        "prompt-crash" => poison::run(&folders, Prompts::Short, 0, has_trouble),
        _ => Err(io::Error::other(format!("no such case: {case}"))),
    };
    let _ = fs::remove_dir_all(&temporary);
    result
}

/// The folders of a case.
pub struct Folders<'run> {
    /// The folder for `record.txt`.
    pub record: &'run Path,
    /// A temporary folder for settings and logs.
    pub temporary: &'run Path,
}

trait TroubleSetting {
    fn is_none_or_zero(self) -> bool;
}

impl TroubleSetting for Result<String, env::VarError> {
    /// Whether the disruption is to happen: unless the variable is `0`.
    fn is_none_or_zero(self) -> bool {
        self.map_or(true, |value| value != "0")
    }
}
