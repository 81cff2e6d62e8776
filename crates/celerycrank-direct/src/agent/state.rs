//! What the tasks of an agent share.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
};

use celerycrank_client::{KeyValueClient, WireForm};
use celerycrank_config::RankAgentSettings;
use celerycrank_groups::{
    AgentIncarnation, LoadMonitor, MapShape, MemberIndex, RankAgent, RankTimes,
};
use celerycrank_process::ProcessClock;
use celerycrank_serving::{GroupProfile, LoadReport};
use celerycrank_types::TimePoint;
use rand::{SeedableRng, rngs::StdRng};
use tokio::{net::UdpSocket, sync::Notify};

use super::{
    engine::{EngineClient, ORDER_TIMEOUT, READ_TIMEOUT},
    metrics::AgentMetrics,
};

/// What the tasks of an agent share; all of them run on one arbiter.
pub(crate) struct AgentState {
    pub(crate) settings: RankAgentSettings,
    pub(crate) clock: ProcessClock,
    pub(crate) metrics: AgentMetrics,
    pub(crate) client: KeyValueClient,
    pub(crate) socket: UdpSocket,
    /// Reads the engine's pages.
    pub(crate) reader: EngineClient,
    /// Gives the engine orders, which may stay unanswered for long.
    pub(crate) order_client: EngineClient,
    pub(crate) agent: RefCell<RankAgent>,
    pub(crate) watch: RefCell<LoadMonitor>,
    pub(crate) random: RefCell<StdRng>,
    /// How groups of the service hold experts, once it is known.
    pub(crate) profile: Cell<Option<GroupProfile>>,
    /// VMs with backend servers of the same service, where other ranks may be.
    pub(crate) candidate_ips: RefCell<HashSet<IpAddr>>,
    /// The agents beside the other ranks of the group.
    pub(crate) peers: RefCell<HashMap<MemberIndex, SocketAddr>>,
    /// Entries that want reports, and until when.
    pub(crate) subscribers: RefCell<HashMap<SocketAddr, TimePoint>>,
    /// The report that entries were sent last, and when.
    pub(crate) last_published: RefCell<Option<(LoadReport, TimePoint)>>,
    /// Wakes the task that reads the engine's report.
    pub(crate) wake: Notify,
}

impl AgentState {
    pub(crate) fn new(
        settings: RankAgentSettings,
        metrics: AgentMetrics,
        socket: UdpSocket,
    ) -> Self {
        let addresses = [std::sync::Arc::clone(&settings.store.address)];
        let timeout = settings.store.timeout;
        let clock = ProcessClock::start();
        Self {
            clock,
            metrics,
            client: KeyValueClient::with_form(WireForm::Platform, &addresses, timeout),
            socket,
            reader: EngineClient::new(settings.backend, READ_TIMEOUT),
            order_client: EngineClient::new(settings.backend, ORDER_TIMEOUT),
            agent: RefCell::new(RankAgent::new(
                AgentIncarnation(clock.machine_micros()),
                RankTimes::default(),
            )),
            watch: RefCell::default(),
            random: RefCell::new(StdRng::from_os_rng()),
            profile: Cell::new(None),
            candidate_ips: RefCell::default(),
            peers: RefCell::default(),
            subscribers: RefCell::default(),
            last_published: RefCell::new(None),
            wake: Notify::new(),
            settings,
        }
    }

    /// The shape of the group's maps, once everything that makes it up is known.
    pub(crate) fn shape(&self) -> Option<MapShape> {
        let profile = self.profile.get()?;
        let agent = self.agent.borrow();
        let place = agent.place()?;
        Some(MapShape {
            layers: profile.layer_sets,
            experts: profile.experts,
            ranks: u16::from(place.size),
            slots: profile.slots,
        })
    }
}
