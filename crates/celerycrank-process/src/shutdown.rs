//! Signal handling, and the flag that tells the rest of the process to shut down.

use std::io;

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if a signal handler cannot be installed.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Calls `reload` on each SIGHUP, which signals a changed settings file.
///
/// # Errors
///
/// Fails if the signal handler cannot be installed.
pub async fn on_reload_signal(mut reload: impl FnMut()) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    while hangup.recv().await.is_some() {
        reload();
    }
    Ok(())
}

/// Tells the tasks of a process that it is shutting down.
#[derive(Debug, Clone)]
pub struct ShutdownFlag {
    sender: watch::Sender<bool>,
}

impl Default for ShutdownFlag {
    fn default() -> Self {
        Self {
            sender: watch::Sender::new(false),
        }
    }
}

impl ShutdownFlag {
    /// Raises the flag, which is never reset.
    pub fn raise(&self) {
        self.sender.send_replace(true);
    }

    /// Whether the flag is raised.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the flag is raised.
    pub async fn raised(&self) {
        let mut receiver = self.sender.subscribe();
        // The wait cannot fail: `self` holds the sender, so the channel stays open.
        let _ = receiver.wait_for(|raised| *raised).await;
    }
}
