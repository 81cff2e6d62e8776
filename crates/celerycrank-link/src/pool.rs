//! Connections to peers, opened on demand and shared.

use std::{
    cell::Cell,
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use celerycrank_types::{ByteSize, EntryId, Revision, TimeSpan};
use celerycrank_wire::{HelloOrder, PeerOrder, PeerReply, WelcomeReply};
use quinn::{Connection, ConnectionError, VarInt};
use tokio::sync::Mutex;

use crate::{
    LinkEndpoint, LinkError, MessageReceiver, MessageSender, StreamError, endpoint::CLOSE_STOPPED,
};

/// Longest wait for a connected peer to introduce itself.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to a peer that has introduced itself.
#[derive(Debug)]
pub struct PeerLink {
    endpoint: LinkEndpoint,
    connection: Connection,
    /// What the peer said of itself; its incarnation holds for this connection.
    pub welcome: WelcomeReply,
    /// When the peer's introduction was heard.
    heard: Instant,
}

impl PeerLink {
    /// Sends an order on a stream of its own.
    ///
    /// # Errors
    ///
    /// Fails if the link was lost.
    pub async fn send(
        &self,
        order: &PeerOrder<'_>,
    ) -> Result<(MessageSender, MessageReceiver), StreamError> {
        let (mut sender, receiver) = self.endpoint.open_stream(&self.connection).await?;
        sender.send(order).await?;
        sender.finish();
        Ok((sender, receiver))
    }

    /// Whether the peer has closed the connection by a graceful shutdown.
    ///
    /// It closes only after every request that it had started was answered, and the answer
    /// acknowledged: a request without a reply was not started.
    #[must_use]
    pub fn is_shut_down(&self) -> bool {
        let Some(ConnectionError::ApplicationClosed(close)) = self.connection.close_reason() else {
            return false;
        };
        close.error_code == VarInt::from_u32(CLOSE_STOPPED)
    }

    /// Time since the peer's introduction was heard.
    #[must_use]
    pub fn welcome_age(&self) -> TimeSpan {
        self.heard.elapsed().into()
    }

    /// Bytes sent on this connection, packet heads of UDP and IP left out.
    #[must_use]
    pub fn sent_bytes(&self) -> ByteSize {
        ByteSize(self.connection.stats().udp_tx.bytes)
    }

    /// Whether the connection is still usable as far as is known.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }
}

/// One connection a peer, opened on demand.
#[derive(Debug)]
pub struct LinkPool {
    endpoint: LinkEndpoint,
    entry: EntryId,
    slots: RefCell<HashMap<SocketAddr, Rc<PooledLink>>>,
    /// Connections that were tried.
    attempts: Cell<u64>,
}

/// The connection to one peer; the lock lets one connect while others wait for it.
type PooledLink = Mutex<PooledLinkState>;

/// What is known of the connection to one peer.
#[derive(Debug, Default)]
struct PooledLinkState {
    link: Option<Rc<PeerLink>>,
    /// The last failure to connect, and when it was known.
    failure: Option<(Instant, LinkError)>,
}

impl LinkPool {
    /// A pool without connections.
    #[must_use]
    pub fn new(endpoint: LinkEndpoint, entry: EntryId) -> Self {
        Self {
            endpoint,
            entry,
            slots: RefCell::default(),
            attempts: Cell::new(0),
        }
    }

    /// The connection to the peer at `address`, opened if there is none.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn connect(
        &self,
        address: SocketAddr,
        revision: Revision,
    ) -> Result<Rc<PeerLink>, LinkError> {
        let asked = Instant::now();
        let slot = self.slot(address);
        let mut state = slot.lock().await;
        if let Some(link) = state.link.as_ref().filter(|link| link.is_open()) {
            return Ok(Rc::clone(link));
        }
        // Those who waited for an attempt share its failure; were each to try again, the
        // last would wait as often as there are others.
        if let Some((at, error)) = &state.failure
            && *at >= asked
        {
            return Err(error.clone());
        }
        match self.open(address, revision).await {
            Ok(link) => {
                let link = Rc::new(link);
                state.link = Some(Rc::clone(&link));
                Ok(link)
            }
            Err(error) => {
                state.failure = Some((Instant::now(), error.clone()));
                Err(error)
            }
        }
    }

    /// Opens a connection beside the pooled one, to ask about requests of a doubtful one.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn open(
        &self,
        address: SocketAddr,
        revision: Revision,
    ) -> Result<PeerLink, LinkError> {
        self.attempts.set(self.attempts.get() + 1);
        let connection = self.endpoint.connect(address).await?;
        let hello = PeerOrder::Hello(HelloOrder {
            entry: self.entry.clone(),
            revision,
        });
        let introduction = exchange_hello(&self.endpoint, &connection, &hello);
        let welcome = match tokio::time::timeout(HELLO_TIMEOUT, introduction).await {
            Ok(result) => result.map_err(LinkError::Hello)?,
            Err(_) => return Err(LinkError::Timeout),
        };
        Ok(PeerLink {
            endpoint: self.endpoint.clone(),
            connection,
            welcome,
            heard: Instant::now(),
        })
    }

    /// How many connections were tried.
    #[must_use]
    pub fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// Forgets the connection to `address`, so that the next request opens a new one.
    pub fn discard(&self, address: SocketAddr) {
        self.slots.borrow_mut().remove(&address);
    }

    fn slot(&self, address: SocketAddr) -> Rc<PooledLink> {
        Rc::clone(self.slots.borrow_mut().entry(address).or_default())
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
