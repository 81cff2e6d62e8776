//! Lifecycle of the agent process: start, run, stop.

use std::{fmt, rc::Rc};

use celerycrank_config::RankAgentSettings;
use celerycrank_process::{
    HttpListener, ListenerLimits, ShutdownFlag, TaskSupervisor, serve_admin, wait_for_stop_signal,
};
use tokio::{net::UdpSocket, select};

use super::{
    admin::AgentAdminHandler, discovery::discover_group, metrics::AgentMetrics, peer::serve_peers,
    poll::poll_engine, sender::send_queued, state::AgentState,
};
use crate::{DirectError, signal::handle_reload_signals};

/// A rank agent that is bound to its addresses.
pub struct RankAgentProcess {
    state: Rc<AgentState>,
    admin: HttpListener,
    tasks: TaskSupervisor,
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
        let tasks = TaskSupervisor::new(&metrics.set)?;
        let state = AgentState::new(settings, metrics, socket, tasks.handle());
        Ok(Self {
            state: Rc::new(state),
            admin,
            tasks,
        })
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
        let mut tasks = self.tasks;
        tasks.spawn("reload", || {
            handle_reload_signals(|| {
                tracing::info!("changed settings take effect at the next start");
            })
        });
        spawn_logic(&mut tasks, "engine", &state, poll_engine);
        spawn_logic(&mut tasks, "peers", &state, serve_peers);
        let sending = Rc::clone(&state);
        tasks.spawn("datagrams", move || send_queued(Rc::clone(&sending)));
        let discovering = Rc::clone(&state);
        tasks.spawn("discovery", move || discover_group(Rc::clone(&discovering)));
        let admin = Rc::new(self.admin);
        tasks.spawn("admin", move || {
            serve_admin(Rc::clone(&admin), Rc::clone(&handler))
        });
        let settings = &state.settings;
        tracing::info!(vm = %settings.vm, backend = %settings.backend, "agent runs");
        select! {
            stopped = wait_for_stop_signal() => stopped.map_err(DirectError::Signal)?,
            error = tasks.failed() => return Err(DirectError::Task(error)),
        }
        drop(tasks);
        tracing::info!("agent stopped");
        Ok(())
    }
}

/// Starts a task that drives the agent's logic; if it fails, the logic starts over with it.
fn spawn_logic<F>(
    tasks: &mut TaskSupervisor,
    task: &'static str,
    state: &Rc<AgentState>,
    run: fn(Rc<AgentState>) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let state = Rc::clone(state);
    let mut is_restart = false;
    tasks.spawn(task, move || {
        if std::mem::replace(&mut is_restart, true) {
            state.reset_agent();
        }
        run(Rc::clone(&state))
    });
}
