//! Lifecycle of the agent process: start, run, stop.

use std::{fmt, rc::Rc};

use celerycrank_config::RankAgentSettings;
use celerycrank_process::{
    HttpListener, ListenerLimits, ShutdownFlag, serve_admin, wait_for_stop_signal,
};
use tokio::net::UdpSocket;

use super::{
    admin::AgentAdminHandler, discovery::discover_group, metrics::AgentMetrics, peer::serve_peers,
    poll::poll_engine, sender::send_queued, state::AgentState,
};
use crate::{DirectError, signal::handle_reload_signals};

/// A rank agent that is bound to its addresses.
pub struct RankAgentProcess {
    state: Rc<AgentState>,
    admin: HttpListener,
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
    pub async fn start(settings: RankAgentSettings) -> Result<Self, DirectError> {
        let socket = UdpSocket::bind(settings.peer)
            .await
            .map_err(DirectError::Peer)?;
        let limits = ListenerLimits::ADMIN;
        let admin = HttpListener::bind(settings.admin, limits, ShutdownFlag::default())
            .await
            .map_err(DirectError::Admin)?;
        let metrics = AgentMetrics::register()?;
        let state = Rc::new(AgentState::new(settings, metrics, socket));
        Ok(Self { state, admin })
    }

    /// Runs until a stop signal is received.
    ///
    /// A reload signal is only logged, because the settings of an agent are fixed for its whole
    /// incarnation. Nothing is handed over on exit: any operation in progress in the group is
    /// settled by the next incarnation of this agent, or by the leader without it.
    ///
    /// # Errors
    ///
    /// Fails if signals cannot be caught.
    pub async fn run(self) -> Result<(), DirectError> {
        let state = self.state;
        let handler = Rc::new(AgentAdminHandler {
            state: Rc::clone(&state),
        });
        let reload = || tracing::info!("changed settings take effect at the next start");
        let tasks = [
            actix_rt::spawn(handle_reload_signals(reload)),
            actix_rt::spawn(poll_engine(Rc::clone(&state))),
            actix_rt::spawn(serve_peers(Rc::clone(&state))),
            actix_rt::spawn(send_queued(Rc::clone(&state))),
            actix_rt::spawn(discover_group(Rc::clone(&state))),
            actix_rt::spawn(serve_admin(self.admin, handler)),
        ];
        let settings = &state.settings;
        tracing::info!(vm = %settings.vm, backend = %settings.backend, "agent runs");
        wait_for_stop_signal().await.map_err(DirectError::Signal)?;
        for task in tasks {
            task.abort();
        }
        tracing::info!("agent stopped");
        Ok(())
    }
}
