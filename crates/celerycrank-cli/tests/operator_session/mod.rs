//! Operators' terminal sessions against the platform's stand-ins, recorded as transcripts.

#![allow(dead_code, reason = "no test file uses every item")]

use std::{
    fmt::Write,
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    sync::atomic::{AtomicU32, Ordering},
};

use actix_rt::task::{JoinHandle, spawn_blocking};
use celerycrank_standin::{KeyValueStandin, VmListStandin};

/// Number of the next session's directory, since tests run in parallel.
static NEXT_SESSION: AtomicU32 = AtomicU32::new(0);

/// One terminal session.
pub(crate) struct OperatorSession {
    pub(crate) key_value: KeyValueStandin,
    pub(crate) vm_list: VmListStandin,
    root: PathBuf,
    lines: String,
}

impl OperatorSession {
    pub(crate) async fn start() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let number = NEXT_SESSION.fetch_add(1, Ordering::Relaxed);
        let name = format!("session-{}-{number}", std::process::id());
        let session = Self {
            key_value: KeyValueStandin::start(address).await.unwrap(),
            vm_list: VmListStandin::start(address).await.unwrap(),
            root: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name),
            lines: String::new(),
        };
        let platform = serde_json::json!({
            "key_value": [session.key_value.url()],
            "vm_list": session.vm_list.url(),
            "prefix": "/celerycrank",
            "timeout": "2s",
        });
        for operator in ["ana", "rui"] {
            session.write(&format!("{operator}/platform.json"), &platform.to_string());
        }
        session
    }

    pub(crate) fn write(&self, path: &str, text: &str) {
        let path = self.root.join(path);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }

    pub(crate) fn read(&self, path: &str) -> String {
        fs::read_to_string(self.root.join(path)).unwrap()
    }

    pub(crate) fn copy(&mut self, from: &str, to: &str) {
        self.write(to, &self.read(from));
        self.add_comment(&format!("cp {from} {to}"));
    }

    pub(crate) fn add_comment(&mut self, text: &str) {
        writeln!(self.lines, "# {text}").unwrap();
    }

    /// Starts a command whose output is not part of the transcript.
    pub(crate) fn spawn(&self, operator: &str, command: &str) -> JoinHandle<io::Result<Output>> {
        let mut process = Command::new(env!("CARGO_BIN_EXE_celerycrank"));
        process.args(split(command));
        process.current_dir(self.root.join(operator));
        spawn_blocking(move || process.output())
    }

    /// Runs a command in an operator's directory and records its output.
    ///
    /// The command runs on another thread, so that the stand-ins can answer it.
    pub(crate) async fn run(&mut self, operator: &str, command: &str) {
        let output = self.spawn(operator, command).await.unwrap().unwrap();
        writeln!(self.lines, "{operator}$ celerycrank {command}").unwrap();
        self.lines.push_str(&format_output(&output));
    }

    /// The transcript, with values that differ between runs masked.
    pub(crate) fn transcript(&self) -> String {
        let address = self.key_value.address().to_string();
        mask_times(&self.lines.replace(&address, "ADDRESS"))
    }
}

impl Drop for OperatorSession {
    fn drop(&mut self) {
        // A directory left behind does not affect later tests.
        drop(fs::remove_dir_all(&self.root));
    }
}

fn format_output(output: &Output) -> String {
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    let code = output.status.code().unwrap();
    if code != 0 {
        writeln!(text, "[exit {code}]").unwrap();
    }
    text
}

/// Splits a command at spaces, except within single quotes.
fn split(command: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (index, part) in command.split('\'').enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().map(str::to_owned));
        }
    }
    words
}

/// Masks nonces and the times of the run; times that a test sets are in 2030 or later.
fn mask_times(text: &str) -> String {
    let mut masked = String::new();
    for line in text.lines() {
        let mut words = Vec::new();
        for word in line.split(' ') {
            let time = word.starts_with("202") && word.contains('T') && word.contains('Z');
            words.push(if time {
                mask_time(word)
            } else {
                word.to_owned()
            });
        }
        masked.push_str(&mask_json(&words.join(" ")));
        masked.push('\n');
    }
    masked
}

fn mask_time(word: &str) -> String {
    let rest = word.split_once('Z').map_or("", |(_, rest)| rest);
    format!("TIME{rest}")
}

/// Masks the fields `at` and `nonce` in JSON output, unless a test has set the time.
fn mask_json(line: &str) -> String {
    let Ok(mut value) = serde_json::from_str::<serde_json::Value>(line) else {
        return line.to_owned();
    };
    mask_value(&mut value);
    value.to_string()
}

fn mask_value(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Object(fields) => {
            for (name, field) in fields {
                if name == "nonce" || (name == "at" && field.as_u64() < Some(1_893_456_000)) {
                    *field = "MASKED".into();
                }
                mask_value(field);
            }
        }
        serde_json::Value::Array(items) => items.iter_mut().for_each(mask_value),
        _ => {}
    }
}
