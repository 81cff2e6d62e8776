//! The entry process: start, serve, shut down.

use std::{fmt, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use celerycrank_config::DirectEntrySettings;
use celerycrank_process::{
    HttpListener, ListenerLimits, ShutdownFlag, serve_admin, wait_for_stop_signal,
};
use celerycrank_types::TimeSpan;
use tokio::net::{TcpListener, UdpSocket};

use super::{
    admin::EntryPages, caller::serve_caller, follow::follow_store, load::follow_loads,
    metrics::EntryMetrics, probe::answer_probes, state::EntryState,
};
use crate::{DirectFault, signal::follow_reloads};

/// Time for which new connections are accepted after the signal to stop, until the balancer
/// has noticed.
const BALANCER_DELAY: Duration = Duration::from_millis(2_500);

/// Part of the grace that is kept for the process to end by itself.
const END_RESERVE: TimeSpan = TimeSpan::from_millis(400);

/// Interval at which a stopping entry looks whether its last request has ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An entry that is bound to its addresses.
pub struct DirectEntryProcess {
    state: Rc<EntryState>,
    callers: TcpListener,
    probes: TcpListener,
    admin: HttpListener,
    peers: UdpSocket,
}

impl fmt::Debug for DirectEntryProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DirectEntryProcess").finish_non_exhaustive()
    }
}

impl DirectEntryProcess {
    /// Binds the addresses.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(settings: DirectEntrySettings) -> Result<Self, DirectFault> {
        let callers = TcpListener::bind(settings.listen)
            .await
            .map_err(DirectFault::Listen)?;
        let probes = TcpListener::bind(settings.probe)
            .await
            .map_err(DirectFault::Probe)?;
        let peers = UdpSocket::bind(settings.peer)
            .await
            .map_err(DirectFault::Peer)?;
        let limits = ListenerLimits::ADMIN;
        let admin = HttpListener::bind(settings.admin, limits, ShutdownFlag::default())
            .await
            .map_err(DirectFault::Admin)?;
        let metrics = EntryMetrics::register()?;
        Ok(Self {
            state: Rc::new(EntryState::new(settings, metrics)),
            callers,
            probes,
            admin,
            peers,
        })
    }

    /// Where callers connect.
    ///
    /// # Errors
    ///
    /// Fails if the socket is gone.
    pub fn caller_address(&self) -> Result<SocketAddr, DirectFault> {
        self.callers.local_addr().map_err(DirectFault::Listen)
    }

    /// Where the balancer asks whether the entry is ready.
    ///
    /// # Errors
    ///
    /// Fails if the socket is gone.
    pub fn probe_address(&self) -> Result<SocketAddr, DirectFault> {
        self.probes.local_addr().map_err(DirectFault::Probe)
    }

    /// Serves until a signal asks to stop and the last request has its answer.
    ///
    /// `read_settings` reads the settings again when a signal says that they have changed.
    ///
    /// # Errors
    ///
    /// Fails if signals cannot be caught.
    pub async fn run<E: fmt::Display>(
        self,
        read_settings: impl Fn() -> Result<DirectEntrySettings, E> + 'static,
    ) -> Result<(), DirectFault> {
        let listen = self.caller_address()?;
        let probe = self.probe_address()?;
        let state = self.state;
        let pages = Rc::new(EntryPages {
            state: Rc::clone(&state),
        });
        let reloaded = Rc::clone(&state);
        let reload = move || match read_settings() {
            Ok(settings) => reloaded.reload(settings),
            Err(fault) => tracing::error!(%fault, "settings not reloaded; the old ones stay"),
        };
        let tasks = [
            actix_rt::spawn(follow_reloads(reload)),
            actix_rt::spawn(follow_store(Rc::clone(&state))),
            actix_rt::spawn(follow_loads(Rc::clone(&state), self.peers)),
            actix_rt::spawn(answer_probes(Rc::clone(&state), self.probes)),
            actix_rt::spawn(serve_admin(self.admin, pages)),
        ];
        let accepting = actix_rt::spawn(accept_callers(Rc::clone(&state), self.callers));
        tracing::info!(entry = %state.settings().entry, %listen, %probe, "entry serves");
        wait_for_stop_signal().await.map_err(DirectFault::Signal)?;
        tracing::info!(requests = state.requests.get(), "entry is leaving");
        leave(&state, &accepting).await;
        for task in tasks {
            task.abort();
        }
        tracing::info!(requests = state.requests.get(), "entry stopped");
        Ok(())
    }
}

async fn accept_callers(state: Rc<EntryState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                actix_rt::spawn(serve_caller(Rc::clone(&state), socket));
            }
            Err(fault) => {
                tracing::warn!(%fault, "connection of a caller not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Ends every connection after its answer, and waits for the last one.
///
/// Connections without a request are closed once the balancer has noticed; until then a
/// caller may be sending on any of them.
async fn leave(state: &EntryState, accepting: &JoinHandle<()>) {
    let begun = state.clock.now();
    state.is_stopping.set(true);
    let grace = state.settings().grace.0.saturating_sub(END_RESERVE);
    sleep(BALANCER_DELAY.min(grace.as_duration())).await;
    accepting.abort();
    state.shutdown.raise();
    while state.callers.get() > 0 && state.clock.now().since(begun) < grace {
        sleep(DRAIN_INTERVAL).await;
    }
}
