//! The QUIC endpoint of a process, which both accepts and opens connections.

use std::{net::SocketAddr, net::UdpSocket, sync::Arc, time::Duration};

use celerycrank_types::ByteSize;
use quinn::{
    ClientConfig, Connection, Endpoint, EndpointConfig, Incoming, ServerConfig, TokioRuntime,
    TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};

use crate::{LinkCredentials, LinkError, MessageReceiver, MessageSender, StreamError};

/// The server name in the certificate of every process.
pub(crate) const SERVER_NAME: &str = "celerycrank";

/// Time without a packet from the peer after which a connection is lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between the keep-alive packets of the process that opened a connection.
///
/// An agent sends nothing on an answer that its caller does not read for a while. The pool closes
/// connections that are not in use.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(3);

/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum concurrent requests on one connection; further ones wait for a stream.
///
/// Both ends allocate state for this many streams as soon as a connection opens.
const MAX_CONCURRENT_STREAMS: u32 = 512;

/// Application error code with which a process closes its connections after a graceful
/// shutdown.
pub(crate) const CLOSE_STOPPED: u32 = 1;

/// The QUIC endpoint of a process.
#[derive(Debug, Clone)]
pub struct LinkEndpoint {
    endpoint: Endpoint,
    /// Maximum size of a received message.
    max_message_size: ByteSize,
}

/// An incoming connection whose handshake is not complete.
#[derive(Debug)]
pub struct IncomingLink {
    incoming: Incoming,
}

impl LinkEndpoint {
    /// Listens for peers that use protocol `version` and have a certificate signed by the
    /// deployment's certificate authority.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the credentials are invalid.
    pub fn bind(
        listen: SocketAddr,
        credentials: &LinkCredentials,
        version: u8,
        max_message_size: ByteSize,
    ) -> Result<Self, LinkError> {
        let protocol = protocol_name(version);
        let server = QuicServerConfig::try_from(credentials.server_config(&protocol)?)
            .map_err(|error| LinkError::Credentials(error.to_string().into()))?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(Arc::new(transport_config()));
        let client = QuicClientConfig::try_from(credentials.client_config(&protocol)?)
            .map_err(|error| LinkError::Credentials(error.to_string().into()))?;
        let mut client = ClientConfig::new(Arc::new(client));
        let mut transport = transport_config();
        transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
        client.transport_config(Arc::new(transport));
        let mut endpoint = Endpoint::new(
            EndpointConfig::new(Arc::new(credentials.reset_key())),
            Some(server),
            UdpSocket::bind(listen).map_err(listen_error)?,
            Arc::new(TokioRuntime),
        )
        .map_err(listen_error)?;
        endpoint.set_default_client_config(client);
        Ok(Self {
            endpoint,
            max_message_size,
        })
    }

    /// The address on which the endpoint listens.
    ///
    /// # Errors
    ///
    /// Fails if the socket is closed.
    pub fn local_address(&self) -> Result<SocketAddr, LinkError> {
        self.endpoint.local_addr().map_err(listen_error)
    }

    /// Returns the next incoming connection, or `None` once the endpoint is closed.
    pub async fn accept(&self) -> Option<IncomingLink> {
        let incoming = self.endpoint.accept().await?;
        Some(IncomingLink { incoming })
    }

    /// Opens a connection to the peer at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not respond within the connect timeout or the handshake fails.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, LinkError> {
        let connecting = self
            .endpoint
            .connect(address, SERVER_NAME)
            .map_err(|error| LinkError::Credentials(error.to_string().into()))?;
        match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(error.into()),
            Err(_) => Err(LinkError::Timeout),
        }
    }

    /// Opens a stream for one order.
    ///
    /// # Errors
    ///
    /// Fails if the connection was lost.
    pub async fn open_stream(
        &self,
        connection: &Connection,
    ) -> Result<(MessageSender, MessageReceiver), StreamError> {
        match connection.open_bi().await {
            Ok(streams) => Ok(self.wrap_stream(streams)),
            Err(_) => Err(StreamError::LinkLost),
        }
    }

    /// Returns the next stream that the peer opens, or `None` once the connection was lost.
    pub async fn accept_stream(
        &self,
        connection: &Connection,
    ) -> Option<(MessageSender, MessageReceiver)> {
        let streams = connection.accept_bi().await.ok()?;
        Some(self.wrap_stream(streams))
    }

    /// Closes every connection and waits until the peers were notified.
    pub async fn close(&self) {
        self.endpoint
            .close(VarInt::from_u32(CLOSE_STOPPED), b"stopped");
        self.endpoint.wait_idle().await;
    }

    fn wrap_stream(
        &self,
        (sender, receiver): (quinn::SendStream, quinn::RecvStream),
    ) -> (MessageSender, MessageReceiver) {
        (
            MessageSender::new(sender),
            MessageReceiver::new(receiver, self.max_message_size),
        )
    }
}

impl IncomingLink {
    /// Completes the handshake.
    ///
    /// # Errors
    ///
    /// Fails if the peer belongs to another deployment or uses another protocol version.
    pub async fn handshake(self) -> Result<Connection, LinkError> {
        let connecting = self.incoming.accept().map_err(LinkError::from)?;
        connecting.await.map_err(LinkError::from)
    }
}

/// The ALPN name of a protocol version.
fn protocol_name(version: u8) -> Vec<u8> {
    format!("celerycrank/{version}").into_bytes()
}

fn transport_config() -> TransportConfig {
    let mut config = TransportConfig::default();
    let idle = IDLE_TIMEOUT
        .try_into()
        .expect("the timeout fits a QUIC integer");
    config.max_idle_timeout(Some(idle));
    config.max_concurrent_bidi_streams(VarInt::from_u32(MAX_CONCURRENT_STREAMS));
    config.max_concurrent_uni_streams(VarInt::from_u32(0));
    config
}

fn listen_error(error: std::io::Error) -> LinkError {
    LinkError::Listen(Arc::new(error))
}
