//! Open connections to backend servers that wait for their next request.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr};

use celerycrank_http::HttpStream;
use celerycrank_types::{BackendId, TimePoint, TimeSpan};

/// Most idle connections that are kept to one backend server.
const MAX_IDLE_PER_BACKEND: usize = 8;

/// Time for which a connection stays usable where the backend server names none.
const DEFAULT_IDLE_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);

/// Part of the named time that is left unused, since the backend server counts from earlier.
const IDLE_MARGIN: TimeSpan = TimeSpan::from_millis(400);

struct IdleConnection {
    address: SocketAddr,
    stream: HttpStream,
    usable_until: TimePoint,
}

/// Open connections to backend servers that wait for their next request.
///
/// Invariant: an answer was read to its end on each of them, and nothing came behind it.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<BackendId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the connection to a backend server that was used last, if one is sound.
    pub(crate) fn take(
        &self,
        backend: &BackendId,
        address: SocketAddr,
        now: TimePoint,
    ) -> Option<HttpStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(backend)?;
        connections.retain(|it| it.usable_until > now && it.address == address);
        while let Some(mut connection) = connections.pop() {
            if connection.stream.is_quiet() {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub(crate) fn put(
        &self,
        backend: &BackendId,
        address: SocketAddr,
        stream: HttpStream,
        advertised_timeout: Option<TimeSpan>,
        now: TimePoint,
    ) {
        let span = advertised_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |span| {
            span.saturating_sub(IDLE_MARGIN)
        });
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(backend.clone()).or_default();
        connections.retain(|it| it.usable_until > now && it.address == address);
        if connections.len() < MAX_IDLE_PER_BACKEND && span > TimeSpan::ZERO {
            connections.push(IdleConnection {
                address,
                stream,
                usable_until: now + span,
            });
        }
    }

    /// Closes connections that waited too long.
    pub(crate) fn close_expired(&self, now: TimePoint) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|it| it.usable_until > now);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
