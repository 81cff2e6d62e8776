//! A port that refuses connections for the duration of a test.

use std::net::SocketAddr;

use socket2::{Domain, Socket, Type};

/// A port that is bound without listening, so that no other process gets it.
#[derive(Debug)]
pub struct ClosedPort {
    /// Address that refuses connections.
    pub address: SocketAddr,
    _socket: Socket,
}

impl ClosedPort {
    pub fn bind() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is free");
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&free.into()).expect("a port is free");
        let address = socket.local_addr().expect("it is bound");
        Self {
            address: address.as_socket().expect("an IP address"),
            _socket: socket,
        }
    }
}
