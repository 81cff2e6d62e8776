//! Detects that a backend server has crashed.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use actix_rt::time::timeout;
use tokio::net::TcpStream;

/// Timeout for the connection that shows whether a backend server still runs.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether no process listens any more at the address of a backend server whose connection has
/// ended.
///
/// A backend server that has only closed the connection accepts another one. Without any answer, the
/// network may be at fault.
pub(crate) async fn has_crashed(address: SocketAddr) -> bool {
    let error = match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => return false,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return true,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timeout".to_owned(),
    };
    tracing::info!(%address, fault = %error, "cannot check whether a backend server has crashed");
    false
}
