//! Log lines on standard output through a bounded buffer, so that logging never blocks.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use tracing_subscriber::fmt::MakeWriter;

/// Maximum size of the buffered lines in bytes; further lines are dropped and counted.
const MAX_PENDING_BYTES: usize = 256 << 10;

/// Interval at which buffered lines are written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Buffers log lines, which a background thread writes to standard output.
#[derive(Debug, Default, Clone)]
pub struct LogBuffer {
    pending: Arc<Mutex<PendingLines>>,
}

impl LogBuffer {
    /// Creates a buffer and starts the thread that writes it out.
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

    /// Writes the buffered lines now; called before the process exits.
    pub fn flush_lines(&self) {
        let mut lines = std::mem::take(&mut *self.lock());
        if lines.dropped > 0 {
            let count = lines.dropped;
            let line =
                format!("{{\"level\":\"WARN\",\"message\":\"{count} log lines dropped\"}}\n");
            lines.bytes.extend_from_slice(line.as_bytes());
        }
        // If standard output is closed, there is nowhere to report the error.
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
