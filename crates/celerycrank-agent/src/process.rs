//! The agent process: start, serve, shut down.

use std::{
    fmt,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use celerycrank_client::KeyValueClient;
use celerycrank_config::AgentSettings;
use celerycrank_link::{LinkCredentials, LinkEndpoint};
use celerycrank_process::{
    DeploymentSource, HttpListener, ListenerLimits, ShutdownFlag, StaticDeployment, serve_admin,
    wait_for_stop_signal,
};
use celerycrank_sync::{sync_key_value_records, watch_own_stop};
use celerycrank_types::{ByteSize, Incarnation};
use celerycrank_wire::PROTOCOL_VERSION;

use crate::{
    AgentError,
    admin::AgentAdminHandler,
    claims::{ClaimStore, claim_prefix},
    metrics::AgentMetrics,
    order::accept_entries,
    state::AgentState,
};

/// Maximum size of an entry's message: a body of maximum size and its header.
const MAX_MESSAGE_SIZE: ByteSize = ByteSize(64 << 20);

/// An agent whose listening sockets are bound.
pub struct AgentProcess {
    state: Rc<AgentState>,
    endpoint: LinkEndpoint,
    admin: HttpListener,
    source: DeploymentSource,
}

impl fmt::Debug for AgentProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AgentProcess").finish_non_exhaustive()
    }
}

impl AgentProcess {
    /// Reads the credentials and the configuration and binds the listening sockets.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or an address cannot be bound.
    pub async fn start(
        settings: AgentSettings,
        source: &DeploymentSource,
    ) -> Result<Self, AgentError> {
        let link = &settings.link;
        let credentials = LinkCredentials::load(&link.authority, &link.certificate, &link.key)?;
        let endpoint = LinkEndpoint::bind(
            link.listen,
            &credentials,
            PROTOCOL_VERSION,
            MAX_MESSAGE_SIZE,
        )?;
        let admin_address = settings.admin;
        let metrics = AgentMetrics::register()?;
        let state = Rc::new(AgentState::new(settings, new_incarnation(), metrics));
        if let DeploymentSource::Static(path) = source {
            let deployment = StaticDeployment::read(path)?;
            state
                .sync
                .on_stored_configuration(&Arc::new(deployment.configuration));
        }
        let admin = HttpListener::bind(
            admin_address,
            ListenerLimits::ADMIN,
            ShutdownFlag::default(),
        )
        .await
        .map_err(AgentError::Admin)?;
        Ok(Self {
            state,
            endpoint,
            admin,
            source: source.clone(),
        })
    }

    /// The address on which the agent listens for entries.
    ///
    /// # Errors
    ///
    /// Fails if the socket is closed.
    pub fn link_address(&self) -> Result<SocketAddr, AgentError> {
        Ok(self.endpoint.local_address()?)
    }

    /// The address on which the admin pages are served.
    ///
    /// # Errors
    ///
    /// Fails if the socket is closed.
    pub fn admin_address(&self) -> Result<SocketAddr, AgentError> {
        self.admin.local_address().map_err(AgentError::Admin)
    }

    /// Serves until a stop signal is received and every request in flight has ended.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers cannot be installed.
    pub async fn run(self) -> Result<(), AgentError> {
        let listen = self.link_address()?;
        let admin_listen = self.admin_address()?;
        let handler = Rc::new(AgentAdminHandler {
            state: Rc::clone(&self.state),
        });
        let admin_task = actix_rt::spawn(serve_admin(Rc::new(self.admin), handler));
        let accepting = accept_entries(Rc::clone(&self.state), self.endpoint.clone());
        let accept_task = actix_rt::spawn(accepting);
        let service_task = match &self.source {
            DeploymentSource::Static(_) => None,
            DeploymentSource::Platform(platform) => {
                let client = KeyValueClient::new(&platform.key_value, platform.timeout);
                let prefix = Arc::clone(&platform.prefix);
                let sync = Rc::clone(&self.state.sync);
                self.state.claims.connect(ClaimStore {
                    client: client.clone(),
                    prefix: claim_prefix(&prefix, &self.state.settings.backend.kind),
                });
                Some(actix_rt::spawn(sync_key_value_records(
                    sync, client, prefix,
                )))
            }
        };
        let stop_task = actix_rt::spawn(watch_own_stop(Rc::clone(&self.state.sync)));
        let claim_task = actix_rt::spawn(Rc::clone(&self.state.claims).run());
        let backend = &self.state.settings.backend.backend;
        tracing::info!(%backend, %listen, %admin_listen, "agent serves");
        wait_for_stop_signal().await.map_err(AgentError::Signal)?;
        tracing::info!(in_flight = self.state.in_flight(), "agent is leaving");
        self.state.shutdown.raise();
        self.state.wait_until_drained().await;
        self.state.claims.wait_until_flushed().await;
        self.endpoint.close().await;
        accept_task.abort();
        stop_task.abort();
        claim_task.abort();
        if let Some(service_task) = service_task {
            service_task.abort();
        }
        admin_task.abort();
        tracing::info!("agent stopped");
        Ok(())
    }
}

/// Returns a number that no other incarnation of this agent has: the Unix time in microseconds.
fn new_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = elapsed.map_or(0, |elapsed| elapsed.as_micros());
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}
