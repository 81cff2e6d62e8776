//! What was sent, answered and run, as it is written to `record.txt`.

use std::{
    collections::HashMap,
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// The record of a run.
pub struct Record {
    began: Instant,
    state: Mutex<RecordState>,
}

struct RecordState {
    file: BufWriter<File>,
    /// By attempt, the workers that ran it.
    runs: HashMap<String, Vec<String>>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = BufWriter::new(File::create(folder.join("record.txt"))?);
        Ok(Self {
            began: Instant::now(),
            state: Mutex::new(RecordState {
                file,
                runs: HashMap::new(),
            }),
        })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.file, "{at:9.3} s  {text}");
    }

    /// Records that a worker begins to work on an attempt.
    pub fn ran(&self, attempt: &str, worker: &str, line: &str) {
        self.line(&format!("{attempt}  worker {worker} runs it: {line}"));
        let mut state = self.state.lock().unwrap();
        let runs = state.runs.entry(attempt.to_owned()).or_default();
        runs.push(worker.to_owned());
    }

    /// Returns the workers that ran an attempt.
    pub fn runs_of(&self, attempt: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.runs.get(attempt).cloned().unwrap_or_default()
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        let _ = self.state.lock().unwrap().file.flush();
    }
}
