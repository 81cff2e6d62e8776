//! A pool of connections to peers, opened on demand.

use std::{
    cell::Cell,
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use celerycrank_types::{ByteSize, EntryId, Revision, TimeSpan};
use celerycrank_wire::{HelloOrder, PeerOrder, PeerReply, WelcomeReply};
use quinn::{Connection, ConnectionError, VarInt};
use tokio::sync::Mutex;

use crate::{
    LinkEndpoint, LinkError, MessageReceiver, MessageSender, StreamError, endpoint::CLOSE_STOPPED,
};

/// Timeout of the hello exchange on a new connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without use after which a pooled connection is closed.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which the use of a pooled connection is checked.
const USE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A connection to a peer that has completed the hello exchange.
#[derive(Debug)]
pub struct PeerLink {
    endpoint: LinkEndpoint,
    connection: Connection,
    /// The peer's reply to the hello; its incarnation is valid for this connection only.
    pub welcome: WelcomeReply,
    /// When `welcome` was received.
    welcomed_at: Instant,
    /// When the latest order was sent.
    used_at: Cell<Instant>,
}

impl PeerLink {
    /// Sends an order on a new stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection was lost.
    pub async fn send(
        &self,
        order: &PeerOrder<'_>,
    ) -> Result<(MessageSender, MessageReceiver), StreamError> {
        self.used_at.set(Instant::now());
        let (mut sender, receiver) = self.endpoint.open_stream(&self.connection).await?;
        sender.send(order).await?;
        sender.finish();
        Ok((sender, receiver))
    }

    /// Whether the peer closed the connection in a graceful shutdown.
    ///
    /// A peer closes only after it has answered every request that it had started and the
    /// answers were acknowledged, so a request without a reply was not started.
    #[must_use]
    pub fn is_shut_down(&self) -> bool {
        let Some(ConnectionError::ApplicationClosed(close)) = self.connection.close_reason() else {
            return false;
        };
        close.error_code == VarInt::from_u32(CLOSE_STOPPED)
    }

    /// Time since the peer's welcome was received.
    #[must_use]
    pub fn welcome_age(&self) -> TimeSpan {
        self.welcomed_at.elapsed().into()
    }

    /// Bytes sent on this connection, without UDP and IP headers.
    #[must_use]
    pub fn sent_bytes(&self) -> ByteSize {
        ByteSize(self.connection.stats().udp_tx.bytes)
    }

    /// Whether the connection is open, as far as is known.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }
}

/// At most one shared connection per peer, opened on demand.
#[derive(Debug)]
pub struct LinkPool {
    endpoint: LinkEndpoint,
    entry: EntryId,
    links: RefCell<HashMap<SocketAddr, Rc<PooledLink>>>,
    /// Number of connection attempts made.
    connection_attempts: Cell<u64>,
}

/// The connection to one peer. The lock is held while connecting, so that concurrent tasks wait
/// for a single connection attempt.
type PooledLink = Mutex<PooledLinkState>;

/// State of the connection to one peer.
#[derive(Debug, Default)]
struct PooledLinkState {
    link: Option<Rc<PeerLink>>,
    /// The latest connection error, and when it occurred.
    failure: Option<(Instant, LinkError)>,
}

impl LinkPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(endpoint: LinkEndpoint, entry: EntryId) -> Self {
        Self {
            endpoint,
            entry,
            links: RefCell::default(),
            connection_attempts: Cell::new(0),
        }
    }

    /// Returns the connection to the peer at `address`, opening one if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened.
    pub async fn connect(
        &self,
        address: SocketAddr,
        revision: Revision,
    ) -> Result<Rc<PeerLink>, LinkError> {
        let requested_at = Instant::now();
        let pooled = self.pooled(address);
        let mut state = pooled.lock().await;
        if let Some(link) = state.link.as_ref().filter(|link| link.is_open()) {
            return Ok(Rc::clone(link));
        }
        // Tasks that waited for a connection attempt share its failure. If each retried in turn,
        // the last one would wait for as many connect timeouts as there are tasks.
        if let Some((failed_at, error)) = &state.failure
            && *failed_at >= requested_at
        {
            return Err(error.clone());
        }
        match self.open(address, revision).await {
            Ok(link) => {
                let link = Rc::new(link);
                state.link = Some(Rc::clone(&link));
                let unused = close_when_unused(Rc::downgrade(&pooled), Rc::downgrade(&link));
                actix_rt::spawn(unused);
                Ok(link)
            }
            Err(error) => {
                state.failure = Some((Instant::now(), error.clone()));
                Err(error)
            }
        }
    }

    /// Opens a connection that is not pooled, to ask about requests that were sent on a
    /// connection that may be lost.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened.
    pub async fn open(
        &self,
        address: SocketAddr,
        revision: Revision,
    ) -> Result<PeerLink, LinkError> {
        self.connection_attempts
            .set(self.connection_attempts.get() + 1);
        let connection = self.endpoint.connect(address).await?;
        let hello = PeerOrder::Hello(HelloOrder {
            entry: self.entry.clone(),
            revision,
        });
        let exchange = exchange_hello(&self.endpoint, &connection, &hello);
        let welcome = match tokio::time::timeout(HELLO_TIMEOUT, exchange).await {
            Ok(result) => result.map_err(LinkError::Hello)?,
            Err(_) => return Err(LinkError::Timeout),
        };
        let now = Instant::now();
        Ok(PeerLink {
            endpoint: self.endpoint.clone(),
            connection,
            welcome,
            welcomed_at: now,
            used_at: Cell::new(now),
        })
    }

    /// Number of connection attempts made.
    #[must_use]
    pub fn connection_attempts(&self) -> u64 {
        self.connection_attempts.get()
    }

    /// Removes the connection to `address` from the pool, so that the next request opens a
    /// new one.
    pub fn discard(&self, address: SocketAddr) {
        self.links.borrow_mut().remove(&address);
    }

    fn pooled(&self, address: SocketAddr) -> Rc<PooledLink> {
        Rc::clone(self.links.borrow_mut().entry(address).or_default())
    }
}

/// Closes a pooled connection that was not in use for [`UNUSED_TIMEOUT`].
///
/// A connection is in use while another task holds its link.
async fn close_when_unused(pooled: Weak<PooledLink>, link: Weak<PeerLink>) {
    loop {
        tokio::time::sleep(USE_CHECK_INTERVAL).await;
        let (Some(pooled), Some(link)) = (pooled.upgrade(), link.upgrade()) else {
            return;
        };
        let Ok(mut state) = pooled.try_lock() else {
            continue;
        };
        if !state.link.as_ref().is_some_and(|it| Rc::ptr_eq(it, &link)) {
            return;
        }
        // One reference is the pool's and one is held here.
        if Rc::strong_count(&link) > 2 {
            link.used_at.set(Instant::now());
        } else if link.used_at.get().elapsed() >= UNUSED_TIMEOUT {
            state.link = None;
            return;
        }
    }
}

async fn exchange_hello(
    endpoint: &LinkEndpoint,
    connection: &Connection,
    hello: &PeerOrder<'_>,
) -> Result<WelcomeReply, StreamError> {
    let (mut sender, mut receiver) = endpoint.open_stream(connection).await?;
    sender.send(hello).await?;
    sender.finish();
    match receiver.receive().await? {
        Some(PeerReply::Welcome(welcome)) => Ok(welcome),
        _ => Err(StreamError::Aborted),
    }
}
