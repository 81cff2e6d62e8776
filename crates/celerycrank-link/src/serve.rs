//! Serves incoming connections.

use crate::{IncomingLink, LinkEndpoint, MessageReceiver, MessageSender};

/// Serves every stream of every peer until the endpoint is closed.
///
/// `on_handshake_error` is called for each peer whose handshake fails.
pub async fn serve_streams<S, T>(
    endpoint: LinkEndpoint,
    on_handshake_error: impl Fn() + Clone + 'static,
    serve: S,
) where
    S: Fn(MessageSender, MessageReceiver) -> T + Clone + 'static,
    T: Future<Output = ()> + 'static,
{
    while let Some(incoming) = endpoint.accept().await {
        let (on_handshake_error, serve) = (on_handshake_error.clone(), serve.clone());
        actix_rt::spawn(serve_peer(
            endpoint.clone(),
            incoming,
            on_handshake_error,
            serve,
        ));
    }
}

async fn serve_peer<S, T>(
    endpoint: LinkEndpoint,
    incoming: IncomingLink,
    on_handshake_error: impl Fn(),
    serve: S,
) where
    S: Fn(MessageSender, MessageReceiver) -> T,
    T: Future<Output = ()> + 'static,
{
    let Ok(connection) = incoming.handshake().await else {
        on_handshake_error();
        return;
    };
    while let Some((sender, receiver)) = endpoint.accept_stream(&connection).await {
        actix_rt::spawn(serve(sender, receiver));
    }
}
