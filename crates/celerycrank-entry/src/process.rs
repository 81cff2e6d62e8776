//! The entry process: start, serve, shut down.

use std::{cell::Cell, fmt, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use celerycrank_client::{KeyValueClient, VmListClient};
use celerycrank_config::{Configuration, EntrySettings};
use celerycrank_link::{LinkCredentials, LinkEndpoint};
use celerycrank_membership::{DrainState, DrainTracker, PendingWork, VmDescriptor, VmRole};
use celerycrank_process::{
    DeploymentSource, HttpListener, ListenerLimits, ProcessClock, ShutdownFlag, StaticDeployment,
    serve_admin, wait_for_stop_signal,
};
use celerycrank_sync::{
    SyncState, send_offers, sync_key_value_records, watch_own_stop, watch_vm_list,
};
use celerycrank_types::ByteSize;
use celerycrank_wire::PROTOCOL_VERSION;

use crate::{
    EntryError,
    accept::answer_request,
    admin::EntryAdminHandler,
    metrics::EntryMetrics,
    peer::accept_peers,
    probe::{discover_members, monitor_members, register_agent},
    state::{ConfigurationInForce, EntryState, InForceCell},
};

/// Maximum size of a peer's message, such as an answer chunk or a configuration.
const MAX_MESSAGE_SIZE: ByteSize = ByteSize(4 << 20);

/// Interval at which unidentified agents are queried.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a stopping entry checks whether its last caller has disconnected.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// An entry whose listening sockets are bound.
pub struct EntryProcess {
    state: Rc<EntryState>,
    endpoint: LinkEndpoint,
    callers: HttpListener,
    admin: HttpListener,
    agents: Vec<SocketAddr>,
    source: DeploymentSource,
}

impl fmt::Debug for EntryProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryProcess").finish_non_exhaustive()
    }
}

impl EntryProcess {
    /// Reads the credentials and the configuration and binds the listening sockets.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or an address cannot be bound.
    pub async fn start(
        settings: EntrySettings,
        source: &DeploymentSource,
    ) -> Result<Self, EntryError> {
        let link = &settings.link;
        let credentials = LinkCredentials::load(&link.authority, &link.certificate, &link.key)?;
        let endpoint = LinkEndpoint::bind(
            link.listen,
            &credentials,
            PROTOCOL_VERSION,
            MAX_MESSAGE_SIZE,
        )?;
        let limits = ListenerLimits {
            connections: settings.limits.connections,
            closes_idle: false,
            header_timeout: settings.limits.header_timeout.as_duration(),
            write_timeout: settings.limits.write_timeout.as_duration(),
        };
        let (listen, admin) = (settings.listen, settings.admin);
        let metrics = EntryMetrics::register()?;
        let in_force = InForceCell::default();
        let sync = Rc::new(new_sync_state(&settings, &metrics, &in_force));
        let state = EntryState::new(settings, endpoint.clone(), metrics, sync, in_force);
        let state = Rc::new(state);
        let mut agents = Vec::new();
        if let DeploymentSource::Static(path) = source {
            let deployment = StaticDeployment::read(path)?;
            state
                .sync
                .on_stored_configuration(&Arc::new(deployment.configuration));
            agents = deployment.agents;
        }
        let callers = HttpListener::bind(listen, limits, state.shutdown.clone())
            .await
            .map_err(EntryError::Listen)?;
        let admin = HttpListener::bind(admin, ListenerLimits::ADMIN, ShutdownFlag::default())
            .await
            .map_err(EntryError::Admin)?;
        Ok(Self {
            state,
            endpoint,
            callers,
            admin,
            agents,
            source: source.clone(),
        })
    }

    /// The address on which the entry listens for callers.
    ///
    /// # Errors
    ///
    /// Fails if the socket is closed.
    pub fn caller_address(&self) -> Result<SocketAddr, EntryError> {
        self.callers.local_address().map_err(EntryError::Listen)
    }

    /// The address on which the admin pages are served.
    ///
    /// # Errors
    ///
    /// Fails if the socket is closed.
    pub fn admin_address(&self) -> Result<SocketAddr, EntryError> {
        self.admin.local_address().map_err(EntryError::Admin)
    }

    /// Serves until a stop signal is received and the last caller has its answer.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers cannot be installed.
    pub async fn run(self) -> Result<(), EntryError> {
        let listen = self.caller_address()?;
        let admin_listen = self.admin_address()?;
        let state = self.state;
        let connections = self.callers.open_connections();
        let handler = Rc::new(EntryAdminHandler {
            state: Rc::clone(&state),
            connections: Rc::clone(&connections),
        });
        let admin_task = actix_rt::spawn(serve_admin(Rc::new(self.admin), handler));
        let discovery_task = actix_rt::spawn(discover_agents(Rc::clone(&state), self.agents));
        let background_tasks = spawn_background_tasks(&state, &self.source, self.endpoint.clone());
        let serve_task = actix_rt::spawn(serve_callers(Rc::clone(&state), self.callers));
        let link_listen = self.endpoint.local_address()?;
        let entry = &state.settings.entry;
        tracing::info!(%entry, %listen, %admin_listen, %link_listen, "entry serves");
        wait_for_stop_signal().await.map_err(EntryError::Signal)?;
        tracing::info!("entry is leaving");
        drain(&state, &connections, &serve_task).await;
        discovery_task.abort();
        for task in background_tasks {
            task.abort();
        }
        self.endpoint.close().await;
        admin_task.abort();
        tracing::info!("entry stopped");
        Ok(())
    }
}

async fn serve_callers(state: Rc<EntryState>, listener: HttpListener) {
    let metrics_state = Rc::clone(&state);
    let handler = move |request| {
        let state = Rc::clone(&state);
        async move { Ok(answer_request(state, request).await) }
    };
    let observe = move |event| metrics_state.metrics.observe(event);
    listener.serve(handler, observe).await;
}

/// Connects to each agent to identify it, until all have answered.
async fn discover_agents(state: Rc<EntryState>, mut unidentified: Vec<SocketAddr>) {
    while !unidentified.is_empty() {
        let mut unresponsive = Vec::new();
        for address in unidentified {
            match state.pool.connect(address, state.revision()).await {
                Ok(link) => {
                    if let Some(descriptor) = register_agent(&state, address, &link.welcome) {
                        state.sync.on_live_vm(&descriptor);
                    }
                }
                Err(_) => unresponsive.push(address),
            }
        }
        unidentified = unresponsive;
        state.ready.set(true);
        if !unidentified.is_empty() {
            sleep(DISCOVERY_INTERVAL).await;
        }
    }
    state.ready.set(true);
}

fn new_sync_state(
    settings: &EntrySettings,
    metrics: &EntryMetrics,
    in_force: &InForceCell,
) -> SyncState {
    let own = VmDescriptor {
        vm: settings
            .entry
            .as_str()
            .parse()
            .expect("an entry id is a valid VM id"),
        domain: settings.domain.clone(),
        address: settings.link.listen,
        role: VmRole::Entry,
        backend: None,
        group: None,
    };
    let in_force = Rc::clone(in_force);
    let adopt = move |configuration: &Arc<Configuration>| {
        *in_force.borrow_mut() = Some(Rc::new(ConfigurationInForce::compile(configuration)));
    };
    SyncState::new(
        own,
        ProcessClock::start(),
        metrics.sync.clone(),
        Box::new(adopt),
    )
}

/// Starts the tasks that monitor the members, accept peers and watch the platform's services.
fn spawn_background_tasks(
    state: &Rc<EntryState>,
    source: &DeploymentSource,
    endpoint: LinkEndpoint,
) -> Vec<JoinHandle<()>> {
    let mut tasks = vec![
        actix_rt::spawn(monitor_members(Rc::clone(state))),
        actix_rt::spawn(accept_peers(Rc::clone(state), endpoint)),
        actix_rt::spawn(watch_own_stop(Rc::clone(&state.sync))),
    ];
    if let DeploymentSource::Platform(platform) = source {
        let sync = Rc::clone(&state.sync);
        let client = KeyValueClient::new(&platform.key_value, platform.timeout);
        let service =
            sync_key_value_records(Rc::clone(&sync), client, Arc::clone(&platform.prefix));
        tasks.push(actix_rt::spawn(service));
        let client = VmListClient::new(Arc::clone(&platform.vm_list), platform.timeout);
        let entry = Rc::clone(state);
        let list = watch_vm_list(Rc::clone(&sync), client, move || discover_members(&entry));
        tasks.push(actix_rt::spawn(list));
        tasks.push(actix_rt::spawn(send_offers(sync, Rc::clone(&state.pool))));
    }
    tasks
}

/// Drains the entry: performs the steps of a shutdown until the last caller has disconnected.
async fn drain(state: &EntryState, connections: &Cell<u32>, serve_task: &JoinHandle<()>) {
    let mut tracker = DrainTracker::new(state.settings.balancer_delay);
    tracker.request_stop(state.clock.now());
    state.ready.set(tracker.is_ready());
    loop {
        let pending = PendingWork {
            requests: connections.get().into(),
            ..PendingWork::default()
        };
        let reached = tracker.on_tick(state.clock.now(), pending);
        if !tracker.accepts_work() {
            state.shutdown.raise();
            serve_task.abort();
        }
        if reached == DrainState::Finished {
            return;
        }
        sleep(DRAIN_INTERVAL).await;
    }
}
