//! The signal that the settings have changed.

use celerycrank_process::on_reload_signal;

/// Does something at each such signal, until the future is dropped.
pub(crate) async fn handle_reload_signals(reload: impl FnMut()) {
    if let Err(error) = on_reload_signal(reload).await {
        tracing::error!(fault = %error, "signal to reload cannot be caught");
    }
}
