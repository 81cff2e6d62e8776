//! Handling of the signal that announces changed settings.

use celerycrank_process::on_reload_signal;

/// Calls `reload` on each reload signal until the future is dropped.
pub(crate) async fn handle_reload_signals(reload: impl FnMut()) {
    if let Err(error) = on_reload_signal(reload).await {
        tracing::error!(fault = %error, "cannot handle the reload signal");
    }
}
