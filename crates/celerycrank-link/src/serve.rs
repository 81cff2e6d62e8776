//! Serves the peers that connect to a process.

use crate::{IncomingLink, LinkEndpoint, MessageReceiver, MessageSender};

/// Serves every stream of every peer until the endpoint is closed.
///
/// `refused` is called for each peer whose handshake fails.
pub async fn serve_streams<S, T>(
    endpoint: LinkEndpoint,
    refused: impl Fn() + Clone + 'static,
    serve: S,
) where
    S: Fn(MessageSender, MessageReceiver) -> T + Clone + 'static,
    T: Future<Output = ()> + 'static,
{
    while let Some(incoming) = endpoint.accept().await {
        let (refused, serve) = (refused.clone(), serve.clone());
        actix_rt::spawn(serve_peer(endpoint.clone(), incoming, refused, serve));
    }
}

async fn serve_peer<S, T>(
    endpoint: LinkEndpoint,
    incoming: IncomingLink,
    refused: impl Fn(),
    serve: S,
) where
    S: Fn(MessageSender, MessageReceiver) -> T,
    T: Future<Output = ()> + 'static,
{
    let Ok(connection) = incoming.handshake().await else {
        refused();
        return;
    };
    while let Some((sender, receiver)) = endpoint.accept_stream(&connection).await {
        actix_rt::spawn(serve(sender, receiver));
    }
}
