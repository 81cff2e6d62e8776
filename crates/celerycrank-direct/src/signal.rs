//! The signal that the settings have changed.

use celerycrank_process::on_reload_signal;

/// Does something at each such signal, until the future is dropped.
pub(crate) async fn follow_reloads(reload: impl FnMut()) {
    if let Err(fault) = on_reload_signal(reload).await {
        tracing::error!(%fault, "signal to reload cannot be caught");
    }
}
