//! The agent process: start, run, stop.

use std::{fmt, time::Duration};

use celerycrank_config::RankAgentSettings;
use celerycrank_http::{HttpStream, MessageWriter, StreamTimeouts};
use celerycrank_process::wait_for_stop_signal;
use tokio::net::UdpSocket;

use crate::DirectFault;

/// An agent that is bound to its addresses.
pub struct RankAgentProcess {
    settings: RankAgentSettings,
    peers: UdpSocket,
}

impl fmt::Debug for RankAgentProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RankAgentProcess").finish_non_exhaustive()
    }
}

impl RankAgentProcess {
    /// Binds the addresses.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(settings: RankAgentSettings) -> Result<Self, DirectFault> {
        let peers = UdpSocket::bind(settings.peer)
            .await
            .map_err(DirectFault::Peer)?;
        Ok(Self { settings, peers })
    }

    /// Runs until a signal asks to stop.
    ///
    /// # Errors
    ///
    /// Fails if signals cannot be caught.
    pub async fn run(self) -> Result<(), DirectFault> {
        let _ = &self.peers;
        let backend = self.settings.backend;
        actix_rt::spawn(async move {
            loop {
                for target in ["/-/report", "/-/picked", "/-/picked?lists=1"] {
                    let t = StreamTimeouts {
                        unacknowledged: Duration::from_secs(1),
                        silence: Duration::from_secs(1),
                        interval: Duration::from_secs(1),
                        questions: 2,
                    };
                    if let Ok(mut stream) = HttpStream::connect(backend, t).await {
                        let mut writer = MessageWriter::request(b"GET", target.as_bytes());
                        writer.field("Host", b"x");
                        writer.end_head();
                        let _ = stream.send(&writer.into_bytes()).await;
                        let _ = stream.fill().await;
                        actix_rt::time::sleep(Duration::from_millis(50)).await;
                        let _ = stream.fill().await;
                        let text = String::from_utf8_lossy(&stream.buffer);
                        tracing::info!(%target, %text, "raw");
                    }
                }
                actix_rt::time::sleep(Duration::from_secs(3)).await;
            }
        });
        wait_for_stop_signal().await.map_err(DirectFault::Signal)
    }
}
