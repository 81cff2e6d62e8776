//! Log lines on standard output, in bounded memory and without ever waiting for the reader.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use tracing_subscriber::fmt::MakeWriter;

/// Most bytes of lines that wait to be written; further lines are counted and left out.
const MAX_PENDING_BYTES: usize = 256 << 10;

/// Interval at which waiting lines are written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Takes log lines and has a thread write them to standard output.
#[derive(Debug, Default, Clone)]
pub struct LogBuffer {
    pending: Arc<Mutex<PendingLines>>,
}

impl LogBuffer {
    /// A buffer with a thread that empties it.
    #[must_use]
    pub fn start() -> Self {
        let buffer = Self::default();
        let writer = buffer.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(FLUSH_INTERVAL);
                writer.flush_lines();
            }
        });
        buffer
    }

    /// Writes the waiting lines now, as a process does before it ends.
    pub fn flush_lines(&self) {
        let mut lines = std::mem::take(&mut *self.lock());
        if lines.dropped > 0 {
            let count = lines.dropped;
            let line =
                format!("{{\"level\":\"WARN\",\"message\":\"{count} log lines left out\"}}\n");
            lines.bytes.extend_from_slice(line.as_bytes());
        }
        // Nobody is left to tell if standard output is closed.
        let _ = io::stdout().write_all(&lines.bytes);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PendingLines> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for LogBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut lines = self.lock();
        if lines.bytes.len() + buf.len() > MAX_PENDING_BYTES {
            lines.dropped += 1;
        } else {
            lines.bytes.extend_from_slice(buf);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'writer> MakeWriter<'writer> for LogBuffer {
    type Writer = Self;

    fn make_writer(&'writer self) -> Self::Writer {
        self.clone()
    }
}
