//! Lifecycle of the entry process: start, serve, shut down.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use actix_rt::time::sleep;
use celerycrank_config::DirectEntrySettings;
use celerycrank_process::{
    HttpListener, ListenerLimits, RunningTask, ShutdownFlag, TaskSupervisor, limit_receive_buffer,
    serve_admin, wait_for_stop_signal,
};
use celerycrank_types::{RefusalReason, TimePoint};
use futures_util::FutureExt;
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    select,
    task::{unconstrained, yield_now},
};

use super::{
    admin::EntryAdminHandler,
    caller::serve_caller,
    clearance::write_clearances,
    crash_check::check_crashes,
    load::receive_loads,
    metrics::EntryMetrics,
    probe::serve_probes,
    prompt_cache::PromptCache,
    quarantine::{collect_crashes, count_answers, write_reports},
    refusal::refusal_answer,
    space::CallerSpace,
    state::EntryState,
    stop::{BALANCER_DELAY, StopSchedule},
    store::watch_store,
};
use crate::{DirectError, signal::handle_reload_signals};

/// Interval at which a stopping entry checks whether its last connection has closed.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of established connections that are accepted at the end of accepting.
const MAX_QUEUED_CONNECTIONS: u32 = 1_024;

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A direct entry that is bound to its addresses.
pub struct DirectEntryProcess {
    state: Rc<EntryState>,
    callers: TcpListener,
    probes: TcpListener,
    admin: HttpListener,
    peers: UdpSocket,
    tasks: TaskSupervisor,
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
    pub async fn start(settings: DirectEntrySettings) -> Result<Self, DirectError> {
        let callers = TcpListener::bind(settings.listen)
            .await
            .map_err(DirectError::Listen)?;
        limit_receive_buffer(&callers).map_err(DirectError::Listen)?;
        let probes = TcpListener::bind(settings.probe)
            .await
            .map_err(DirectError::Probe)?;
        let peers = UdpSocket::bind(settings.peer)
            .await
            .map_err(DirectError::Peer)?;
        let limits = ListenerLimits::ADMIN;
        let admin = HttpListener::bind(settings.admin, limits, ShutdownFlag::default())
            .await
            .map_err(DirectError::Admin)?;
        let metrics = EntryMetrics::register()?;
        let tasks = TaskSupervisor::new(&metrics.set)?;
        Ok(Self {
            state: Rc::new(EntryState::new(settings, metrics, tasks.handle())),
            callers,
            probes,
            admin,
            peers,
            tasks,
        })
    }

    /// The address to which callers connect.
    ///
    /// # Errors
    ///
    /// Fails if the socket is gone.
    pub fn caller_address(&self) -> Result<SocketAddr, DirectError> {
        self.callers.local_addr().map_err(DirectError::Listen)
    }

    /// The address at which the balancer probes whether the entry is ready.
    ///
    /// # Errors
    ///
    /// Fails if the socket is gone.
    pub fn probe_address(&self) -> Result<SocketAddr, DirectError> {
        self.probes.local_addr().map_err(DirectError::Probe)
    }

    /// Serves until a stop signal is received and the last request has been answered.
    ///
    /// `read_settings` reads the settings again on each reload signal.
    ///
    /// # Errors
    ///
    /// Fails if signals cannot be caught.
    pub async fn run<E: fmt::Display>(
        self,
        read_settings: impl Fn() -> Result<DirectEntrySettings, E> + 'static,
    ) -> Result<(), DirectError> {
        let listen = self.caller_address()?;
        let probe = self.probe_address()?;
        let state = self.state;
        let reloaded = Rc::clone(&state);
        let reload = Rc::new(move || match read_settings() {
            Ok(settings) => reloaded.reload(settings),
            Err(error) => {
                tracing::error!(fault = %error, "settings not reloaded; the previous settings stay in use");
            }
        });
        let tasks = spawn_tasks(
            self.tasks,
            &state,
            self.peers,
            self.probes,
            self.admin,
            reload,
        );
        let accepting = CallerAccept::start(&state, self.callers);
        tracing::info!(entry = %state.settings().entry, %listen, %probe, "entry serves");
        PromptCache::log(state.settings().prompt_cache);
        select! {
            stopped = wait_for_stop_signal() => stopped.map_err(DirectError::Signal)?,
            error = tasks.failed() => return Err(DirectError::Task(error)),
        }
        tracing::info!(
            requests = state.requests_in_flight.get(),
            "entry is leaving"
        );
        drain(&state, accepting).await;
        drop(tasks);
        tracing::info!(requests = state.requests_in_flight.get(), "entry stopped");
        Ok(())
    }
}

/// Starts the tasks that run until the entry stops.
fn spawn_tasks(
    mut tasks: TaskSupervisor,
    state: &Rc<EntryState>,
    peers: UdpSocket,
    probes: TcpListener,
    admin: HttpListener,
    reload: Rc<impl Fn() + 'static>,
) -> TaskSupervisor {
    tasks.spawn("reload", move || {
        let reload = Rc::clone(&reload);
        handle_reload_signals(move || reload())
    });
    let watching = Rc::clone(state);
    tasks.spawn("store", move || watch_store(Rc::clone(&watching)));
    let checking = Rc::clone(state);
    tasks.spawn("crash checks", move || check_crashes(Rc::clone(&checking)));
    let settling = Rc::clone(state);
    tasks.spawn("finished answers", move || {
        count_answers(Rc::clone(&settling))
    });
    let collecting = Rc::clone(state);
    tasks.spawn("crashes", move || collect_crashes(Rc::clone(&collecting)));
    let writing = Rc::clone(state);
    tasks.spawn("crash reports", move || write_reports(Rc::clone(&writing)));
    let clearing = Rc::clone(state);
    tasks.spawn("clearances", move || write_clearances(Rc::clone(&clearing)));
    let (receiving, peers) = (Rc::clone(state), Rc::new(peers));
    tasks.spawn("loads", move || {
        receive_loads(Rc::clone(&receiving), Rc::clone(&peers))
    });
    let (answering, probes) = (Rc::clone(state), Rc::new(probes));
    tasks.spawn("probes", move || {
        serve_probes(Rc::clone(&answering), Rc::clone(&probes))
    });
    let handler = Rc::new(EntryAdminHandler {
        state: Rc::clone(state),
    });
    let admin = Rc::new(admin);
    tasks.spawn("admin", move || {
        serve_admin(Rc::clone(&admin), Rc::clone(&handler))
    });
    tasks
}

/// The listener for callers, and the task that accepts their connections.
struct CallerAccept {
    listener: Rc<TcpListener>,
    task: RunningTask,
}

impl CallerAccept {
    fn start(state: &Rc<EntryState>, listener: TcpListener) -> Self {
        let (accepting, listener) = (Rc::clone(state), Rc::new(listener));
        let accepted = Rc::clone(&listener);
        let task = state.tasks.keep_running("callers", move || {
            accept_callers(Rc::clone(&accepting), Rc::clone(&accepted))
        });
        Self { listener, task }
    }

    /// Accepts the connections that have been established, and no more.
    ///
    /// Closing the listener resets those that have not been accepted.
    async fn stop(self, state: &Rc<EntryState>) {
        let Self { listener, task } = self;
        drop(task);
        // The task ends, and releases the listener, when it is scheduled again.
        yield_now().await;
        for _ in 0..MAX_QUEUED_CONNECTIONS {
            match unconstrained(listener.accept()).now_or_never() {
                Some(Ok((socket, address))) => serve_accepted(state, socket, address.ip()).await,
                Some(Err(error)) => {
                    tracing::warn!(fault = %error, "cannot accept the connection of a caller");
                    return;
                }
                None => return,
            }
        }
    }
}

/// Starts to serve a new connection, and lets the connection close that ends for it.
async fn serve_accepted(state: &Rc<EntryState>, socket: TcpStream, address: IpAddr) {
    spawn_caller(state, socket, address);
    if state.space.take_ended_idle() {
        // The number of open connections stays at its bound, however many are accepted at once.
        yield_now().await;
    }
}

/// Starts to serve a new connection, or refuses it.
fn spawn_caller(state: &Rc<EntryState>, socket: TcpStream, address: IpAddr) {
    let Some(space) = CallerSpace::open(state, address) else {
        let answer = refusal_answer(state, None, RefusalReason::TooManyConnections, true);
        // The empty send buffer takes this in one write.
        if let Err(error) = socket.try_write(&answer) {
            tracing::debug!(fault = %error, "refusal not written to a new caller");
        }
        return;
    };
    let serving = serve_caller(Rc::clone(state), socket, space);
    state.tasks.spawn("caller", serving, || {});
}

async fn accept_callers(state: Rc<EntryState>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((socket, address)) => serve_accepted(&state, socket, address.ip()).await,
            Err(error) => {
                tracing::warn!(fault = %error, "cannot accept the connection of a caller");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closes every connection after its answer and waits for the last one to close.
///
/// Connections without a request are closed once the balancer has noticed the shutdown; until
/// then a caller may be sending on any of them. Requests that are in flight when the grace period
/// ends get a final answer before the process exits.
async fn drain(state: &Rc<EntryState>, accepting: CallerAccept) {
    let grace = state.settings().grace.0;
    let schedule = StopSchedule::new(state.clock.now(), grace);
    state.is_stopping.set(true);
    state.stop.set(Some(schedule));
    let until_final = state.clock.until(schedule.final_at).as_duration();
    sleep(BALANCER_DELAY.min(until_final)).await;
    accepting.stop(state).await;
    // What has arrived on the connections accepted last is read before idle ones are closed.
    sleep(DRAIN_INTERVAL).await;
    state.shutdown.raise();
    if wait_for_callers(state, schedule.final_at).await {
        return;
    }
    let requests = state.requests_in_flight.get();
    if requests > 0 {
        tracing::warn!(requests, "grace period ends; requests in flight are ended");
        state.metrics.ended_by_stop.inc_by(requests.into());
    }
    state.ending.raise();
    wait_for_callers(state, schedule.exit_at).await;
}

/// Waits until the last connection of a caller has closed; `false` if that takes beyond `end`.
async fn wait_for_callers(state: &EntryState, end: TimePoint) -> bool {
    while state.caller_connections.get() > 0 {
        if state.clock.now() >= end {
            return false;
        }
        sleep(DRAIN_INTERVAL).await;
    }
    true
}
