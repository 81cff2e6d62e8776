//! Pool of idle connections to backend servers.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr};

use celerycrank_http::HttpStream;
use celerycrank_types::{BackendId, TimePoint, TimeSpan};

/// Maximum number of idle connections kept per backend server.
const MAX_IDLE_PER_BACKEND: usize = 8;

/// How long a connection stays usable if the backend server advertises no idle timeout.
const DEFAULT_IDLE_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);

/// Part of the advertised timeout that is left unused, since the backend server starts counting
/// earlier.
const IDLE_MARGIN: TimeSpan = TimeSpan::from_millis(400);

struct IdleConnection {
    address: SocketAddr,
    stream: HttpStream,
    usable_until: TimePoint,
}

/// A pool of idle connections to backend servers.
///
/// Invariant: on each connection, the last answer was read to its end and no data followed it.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<BackendId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection to a backend server that is still usable, if any.
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
            if connection.stream.is_reusable() {
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

    /// Closes the idle connections to a backend server.
    pub(crate) fn close_backend(&self, backend: &BackendId) {
        self.idle.borrow_mut().remove(backend);
    }

    /// Closes the idle connections that a backend server has ended; returns whether there are any.
    pub(crate) fn close_ended(&self, backend: &BackendId) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(backend) else {
            return false;
        };
        let known = connections.len();
        connections.retain_mut(|it| it.stream.is_reusable());
        connections.len() < known
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&self, now: TimePoint) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|it| it.usable_until > now);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
