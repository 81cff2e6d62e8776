//! What the tasks of an entry share.

use std::{cell::Cell, cell::RefCell, rc::Rc};

use celerycrank_config::{Configuration, EntrySettings};
use celerycrank_link::{LinkEndpoint, LinkPool};
use celerycrank_process::{ProcessClock, ShutdownFlag};
use celerycrank_types::{RequestId, Revision};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{KeyIndex, metrics::EntryMetrics, roster::AgentRoster};

/// What the tasks of an entry share; all of them run on one arbiter.
pub(crate) struct EntryState {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: ProcessClock,
    pub(crate) shutdown: ShutdownFlag,
    pub(crate) metrics: EntryMetrics,
    pub(crate) pool: LinkPool,
    pub(crate) roster: RefCell<AgentRoster>,
    pub(crate) random: RefCell<StdRng>,
    /// Whether the balancer may send requests here.
    pub(crate) ready: Cell<bool>,
    in_force: RefCell<Option<Rc<ConfigurationInForce>>>,
}

/// The configuration that the entry has in force, and its index.
#[derive(Debug)]
pub(crate) struct ConfigurationInForce {
    pub(crate) configuration: Configuration,
    pub(crate) keys: KeyIndex,
}

impl EntryState {
    pub(crate) fn new(
        settings: EntrySettings,
        endpoint: LinkEndpoint,
        metrics: EntryMetrics,
    ) -> Self {
        Self {
            clock: ProcessClock::start(),
            shutdown: ShutdownFlag::default(),
            metrics,
            pool: LinkPool::new(endpoint, settings.entry.clone()),
            roster: RefCell::default(),
            random: RefCell::new(StdRng::from_os_rng()),
            ready: Cell::new(false),
            in_force: RefCell::default(),
            settings,
        }
    }

    /// The configuration in force, if one is known.
    pub(crate) fn in_force(&self) -> Option<Rc<ConfigurationInForce>> {
        self.in_force.borrow().as_ref().map(Rc::clone)
    }

    /// The revision in force; zero while none is known.
    pub(crate) fn revision(&self) -> Revision {
        let in_force = self.in_force.borrow();
        in_force
            .as_ref()
            .map_or(Revision(0), |known| known.configuration.revision)
    }

    /// Puts a configuration in force unless an equal or newer one is.
    pub(crate) fn adopt(&self, configuration: Configuration) {
        if configuration.revision <= self.revision() {
            return;
        }
        tracing::info!(revision = %configuration.revision, "configuration in force");
        let keys = KeyIndex::new(&configuration);
        *self.in_force.borrow_mut() = Some(Rc::new(ConfigurationInForce {
            configuration,
            keys,
        }));
    }

    pub(crate) fn draw_request_id(&self) -> RequestId {
        RequestId(self.random.borrow_mut().random())
    }
}
