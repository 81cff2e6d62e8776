//! Pool of idle connections to the backend server.

use std::cell::RefCell;

use celerycrank_http::HttpStream;
use celerycrank_types::{TimePoint, TimeSpan};

/// Idle time after which a connection to the backend server is closed.
const KEEP_ALIVE: TimeSpan = TimeSpan::from_secs(3);

/// A connection on which no request runs.
struct IdleConnection {
    stream: HttpStream,
    usable_until: TimePoint,
}

/// A pool of idle connections to the backend server.
///
/// Invariant: on each connection, the last answer was read to its end and no data followed it.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection that is still usable, if any.
    pub(crate) fn take(&self, now: TimePoint) -> Option<HttpStream> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.usable_until > now);
        while let Some(mut connection) = idle.pop() {
            if connection.stream.is_reusable() {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Keeps a connection for the next request, unless data follows its last answer.
    pub(crate) fn put(&self, mut stream: HttpStream, now: TimePoint) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.usable_until > now);
        if stream.is_reusable() {
            idle.push(IdleConnection {
                stream,
                usable_until: now + KEEP_ALIVE,
            });
        }
    }
}
