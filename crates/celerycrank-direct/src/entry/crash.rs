//! Detects that a backend server has crashed.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use actix_rt::time::timeout;
use tokio::net::TcpStream;

/// Timeout for the connection that shows whether a backend server still runs.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether no process listens any more at the address of a backend server whose connection has
/// ended.
///
/// A backend server that has only closed the connection accepts another one.
pub(crate) async fn has_crashed(address: SocketAddr) -> bool {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        // Without any answer, the network may be at fault.
        Ok(Ok(_)) | Err(_) => false,
    }
}
