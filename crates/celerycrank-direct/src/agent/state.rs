//! State shared by the agent's tasks.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use celerycrank_client::{KeyValueClient, KeyValueProtocol};
use celerycrank_config::RankAgentSettings;
use celerycrank_groups::{
    AgentIncarnation, LoadMonitor, MapShape, MemberIndex, MemberSet, RankAgent, RankTimes,
    SearchBackoff, ShapeError,
};
use celerycrank_process::{ProcessClock, TaskHandle};
use celerycrank_serving::{GroupProfile, LoadReport};
use celerycrank_types::TimePoint;
use rand::{SeedableRng, rngs::StdRng};
use tokio::{net::UdpSocket, sync::Notify};

use super::{
    engine::{EngineClient, ORDER_TIMEOUT, READ_TIMEOUT},
    metrics::AgentMetrics,
    peer::HELLO_PARTS,
    sender::DatagramQueue,
};

/// State shared by the tasks of an agent, all of which run on one arbiter.
pub(crate) struct AgentState {
    pub(crate) settings: RankAgentSettings,
    pub(crate) clock: ProcessClock,
    pub(crate) metrics: AgentMetrics,
    pub(crate) store: KeyValueClient,
    pub(crate) socket: UdpSocket,
    /// Datagrams that wait for the link or the socket.
    pub(crate) datagrams: DatagramQueue,
    /// Client for reading the engine's report, counts and expert lists.
    pub(crate) read_client: EngineClient,
    /// Client for sending orders, which may stay unanswered for a long time.
    pub(crate) order_client: EngineClient,
    pub(crate) agent: RefCell<RankAgent>,
    pub(crate) load_monitor: RefCell<LoadMonitor>,
    pub(crate) random: RefCell<StdRng>,
    /// How groups of the service hold experts; `None` until read from the key-value service.
    pub(crate) profile: Cell<Option<GroupProfile>>,
    /// IP addresses of the service's backend servers, at which agents of other ranks may run.
    pub(crate) candidate_ips: RefCell<HashSet<IpAddr>>,
    /// Addresses of the agents of the group's other ranks.
    pub(crate) peers: RefCell<HashMap<MemberIndex, SocketAddr>>,
    /// The last shape for which the group's maps are not changed.
    rejected_shape: Cell<Option<MapShape>>,
    /// Whether the last expert counts of the engine did not fit the shape.
    has_count_mismatch: Cell<bool>,
    /// The number of ranks whose agents were unreachable when last checked, for the leader.
    unreachable: Cell<usize>,
    /// Whether hello messages of the current round also go to VMs at which an agent may run.
    pub(crate) is_searching: Cell<bool>,
    /// Spaces the rounds in which they do.
    pub(crate) search_backoff: RefCell<SearchBackoff>,
    /// The part of the group's agents to which the next hello messages go.
    pub(crate) hello_part: Cell<u32>,
    /// Entries subscribed to load reports, with the end of each subscription.
    pub(crate) subscribers: RefCell<HashMap<SocketAddr, TimePoint>>,
    /// The last report sent to the entries, and when it was sent.
    pub(crate) last_published: RefCell<Option<(LoadReport, TimePoint)>>,
    /// Wakes the task that reads the engine's report.
    pub(crate) wake: Notify,
    /// Starts the tasks that send an order or read once.
    pub(crate) tasks: TaskHandle,
}

impl AgentState {
    pub(crate) fn new(
        settings: RankAgentSettings,
        metrics: AgentMetrics,
        socket: UdpSocket,
        tasks: TaskHandle,
    ) -> Self {
        let addresses = [std::sync::Arc::clone(&settings.store.address)];
        let timeout = settings.store.timeout;
        let clock = ProcessClock::start();
        Self {
            clock,
            metrics,
            store: KeyValueClient::with_protocol(KeyValueProtocol::Platform, &addresses, timeout),
            socket,
            datagrams: DatagramQueue::new(settings.bandwidth, clock.now()),
            read_client: EngineClient::new(settings.backend, READ_TIMEOUT),
            order_client: EngineClient::new(settings.backend, ORDER_TIMEOUT),
            agent: RefCell::new(new_agent(clock)),
            load_monitor: RefCell::default(),
            random: RefCell::new(StdRng::from_os_rng()),
            profile: Cell::new(None),
            candidate_ips: RefCell::default(),
            peers: RefCell::default(),
            rejected_shape: Cell::new(None),
            has_count_mismatch: Cell::new(false),
            unreachable: Cell::new(0),
            is_searching: Cell::new(false),
            search_backoff: RefCell::default(),
            hello_part: Cell::new(0),
            subscribers: RefCell::default(),
            last_published: RefCell::new(None),
            wake: Notify::new(),
            tasks,
            settings,
        }
    }

    /// Discards what the logic of the agent has in progress, as a restart of the process would.
    ///
    /// Needed after a task has panicked, since it may have left a change half made.
    pub(crate) fn reset_agent(&self) {
        *self.agent.borrow_mut() = new_agent(self.clock);
    }

    /// Returns the part of the agents to which hello messages are sent now, and advances to the
    /// next part.
    pub(crate) fn next_hello_part(&self) -> u32 {
        let part = self.hello_part.get();
        self.hello_part.set((part + 1) % HELLO_PARTS);
        part
    }

    /// Logs a change in the number of ranks whose agents the leader cannot reach.
    pub(crate) fn record_unreachable(&self, ranks: &MemberSet) {
        if self.unreachable.replace(ranks.len()) == ranks.len() {
            return;
        }
        if let Some(first) = ranks.iter().next() {
            tracing::warn!(
                ranks = ranks.len(),
                %first,
                "agents of other ranks are unreachable; the map is not changed"
            );
        } else {
            tracing::info!("the agents of all ranks are reachable");
        }
    }

    /// Logs and counts expert counts of the engine that do not fit the shape of the group's maps,
    /// once until they fit.
    pub(crate) fn check_counts(&self, counts: usize, shape: MapShape) {
        let expected = usize::from(shape.layers) * usize::from(shape.experts);
        let is_mismatch = counts != expected;
        if self.has_count_mismatch.replace(is_mismatch) || !is_mismatch {
            return;
        }
        self.metrics.shapes_rejected.inc();
        tracing::error!(
            counts,
            expected,
            "the engine counts other experts than are configured; the map is not changed"
        );
    }

    /// Sends a datagram, or queues it until the link and the socket have room.
    pub(crate) fn send_datagram(&self, datagram: &Rc<[u8]>, target: SocketAddr) {
        let now = self.clock.now();
        self.datagrams
            .send(&self.socket, &self.metrics, datagram, target, now);
    }

    /// The shape of the group's maps; `None` until the profile and the agent's place are known, and
    /// for a group that is configured with a shape that no map can have.
    pub(crate) fn shape(&self) -> Option<MapShape> {
        let profile = self.profile.get()?;
        let agent = self.agent.borrow();
        let place = agent.place()?;
        let shape = MapShape {
            layers: profile.layer_sets,
            experts: profile.experts,
            ranks: place.size,
            slots: profile.slots,
        };
        match shape.check() {
            Ok(shape) => Some(shape),
            Err(error) => {
                self.record_shape_error(shape, error);
                None
            }
        }
    }

    /// Logs and counts a shape that no map can have, once until it changes.
    fn record_shape_error(&self, shape: MapShape, error: ShapeError) {
        if self.rejected_shape.replace(Some(shape)) == Some(shape) {
            return;
        }
        self.metrics.shapes_rejected.inc();
        tracing::error!(
            layers = shape.layers,
            experts = shape.experts,
            ranks = shape.ranks,
            slots = shape.slots,
            fault = %error,
            "the maps of this group are not changed"
        );
    }
}

fn new_agent(clock: ProcessClock) -> RankAgent {
    let incarnation = AgentIncarnation(clock.micros_since_boot());
    RankAgent::new(incarnation, RankTimes::default())
}
