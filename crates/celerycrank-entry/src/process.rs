//! The entry process: start, serve, shut down.

use std::{cell::Cell, fmt, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use celerycrank_client::{KeyValueClient, VmListClient};
use celerycrank_config::{Configuration, EntrySettings};
use celerycrank_link::{LinkEndpoint, LinkKeys};
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
    admin::EntryPages,
    metrics::EntryMetrics,
    peer::accept_peers,
    probe::{discover_members, monitor_members, register_agent},
    state::{ConfigurationInForce, EntryState, InForceCell},
};

/// Largest message of an agent: a part of an answer, or a configuration.
const MESSAGE_LIMIT: ByteSize = ByteSize(4 << 20);

/// Interval at which unknown agents are asked who they are.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a stopping entry looks whether its last caller has left.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// An entry that is bound to its addresses.
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
    /// Reads keys and configuration and binds the addresses.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or an address cannot be bound.
    pub async fn start(
        settings: EntrySettings,
        source: &DeploymentSource,
    ) -> Result<Self, EntryError> {
        let link = &settings.link;
        let keys = LinkKeys::load(&link.authority, &link.certificate, &link.key)?;
        let endpoint = LinkEndpoint::bind(link.listen, &keys, PROTOCOL_VERSION, MESSAGE_LIMIT)?;
        let limits = ListenerLimits {
            connections: settings.limits.connections,
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

    /// Where callers connect.
    ///
    /// # Errors
    ///
    /// Fails if the socket is gone.
    pub fn caller_address(&self) -> Result<SocketAddr, EntryError> {
        self.callers.local_address().map_err(EntryError::Listen)
    }

    /// Where the admin pages are served.
    ///
    /// # Errors
    ///
    /// Fails if the socket is gone.
    pub fn admin_address(&self) -> Result<SocketAddr, EntryError> {
        self.admin.local_address().map_err(EntryError::Admin)
    }

    /// Serves until a signal asks to stop and the last caller has its answer.
    ///
    /// # Errors
    ///
    /// Fails if signals cannot be caught.
    pub async fn run(self) -> Result<(), EntryError> {
        let listen = self.caller_address()?;
        let admin_listen = self.admin_address()?;
        let state = self.state;
        let connections = self.callers.open_connections();
        let pages = Rc::new(EntryPages {
            state: Rc::clone(&state),
            connections: Rc::clone(&connections),
        });
        let admin = actix_rt::spawn(serve_admin(self.admin, pages));
        let learning = actix_rt::spawn(discover_agents(Rc::clone(&state), self.agents));
        let following = spawn_background_tasks(&state, &self.source, self.endpoint.clone());
        let serving = actix_rt::spawn(serve_callers(Rc::clone(&state), self.callers));
        let link_listen = self.endpoint.local_address()?;
        let entry = &state.settings.entry;
        tracing::info!(%entry, %listen, %admin_listen, %link_listen, "entry serves");
        wait_for_stop_signal().await.map_err(EntryError::Signal)?;
        tracing::info!("entry is leaving");
        leave(&state, &connections, &serving).await;
        learning.abort();
        for task in following {
            task.abort();
        }
        self.endpoint.close().await;
        admin.abort();
        tracing::info!("entry stopped");
        Ok(())
    }
}

async fn serve_callers(state: Rc<EntryState>, listener: HttpListener) {
    let observed = Rc::clone(&state);
    let handler = move |request| {
        let state = Rc::clone(&state);
        async move { Ok(answer_request(state, request).await) }
    };
    let observe = move |event| observed.metrics.observe(event);
    listener.serve(handler, observe).await;
}

/// Asks each agent who it is until every one has answered.
async fn discover_agents(state: Rc<EntryState>, mut unknown: Vec<SocketAddr>) {
    while !unknown.is_empty() {
        let mut silent = Vec::new();
        for address in unknown {
            match state.pool.connect(address, state.revision()).await {
                Ok(link) => {
                    if let Some(descriptor) = register_agent(&state, address, &link.welcome) {
                        state.sync.on_live_vm(&descriptor);
                    }
                }
                Err(_) => silent.push(address),
            }
        }
        unknown = silent;
        state.ready.set(true);
        if !unknown.is_empty() {
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
            .expect("every id has one form"),
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

/// Starts the tasks that follow the platform's services, the peers and the members.
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
        let learner = Rc::clone(state);
        let list = watch_vm_list(Rc::clone(&sync), client, move || discover_members(&learner));
        tasks.push(actix_rt::spawn(list));
        tasks.push(actix_rt::spawn(send_offers(sync, Rc::clone(&state.pool))));
    }
    tasks
}

/// Takes the entry through its planned stop, until the last caller has left.
async fn leave(state: &EntryState, connections: &Cell<u32>, serving: &JoinHandle<()>) {
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
            serving.abort();
        }
        if reached == DrainState::Finished {
            return;
        }
        sleep(DRAIN_INTERVAL).await;
    }
}
