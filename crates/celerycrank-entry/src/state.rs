//! State shared by the tasks of an entry.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
};

use celerycrank_config::{Configuration, EntrySettings, PolicyTable};
use celerycrank_link::{LinkEndpoint, LinkPool};
use celerycrank_process::{ProcessClock, ShutdownFlag};
use celerycrank_requests::RetryBudget;
use celerycrank_sync::SyncState;
use celerycrank_types::{AccountId, RequestId, Revision, TokenCount};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    agents::AgentTable, allowance::AllowanceService, metrics::EntryMetrics, space::SpaceLedger,
};

/// State shared by the tasks of an entry, all of which run on one arbiter.
pub(crate) struct EntryState {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: ProcessClock,
    pub(crate) shutdown: ShutdownFlag,
    pub(crate) metrics: EntryMetrics,
    pub(crate) pool: Rc<LinkPool>,
    pub(crate) sync: Rc<SyncState>,
    pub(crate) agents: RefCell<AgentTable>,
    pub(crate) random: RefCell<StdRng>,
    pub(crate) allowances: AllowanceService,
    /// The memory that the bodies of callers hold.
    pub(crate) space: Rc<SpaceLedger>,
    /// Whether the first round of agent discovery is complete and the entry is not shutting
    /// down.
    pub(crate) ready: Cell<bool>,
    budgets: RefCell<HashMap<AccountId, RetryBudget>>,
    /// Estimated tokens of the requests that this entry has admitted, by account.
    admitted: RefCell<HashMap<AccountId, TokenCount>>,
    in_force: InForceCell,
}

/// Holds the configuration in force; shared with the callback that replaces it.
pub(crate) type InForceCell = Rc<RefCell<Option<Rc<ConfigurationInForce>>>>;

/// The configuration in force, with its compiled policies.
#[derive(Debug)]
pub(crate) struct ConfigurationInForce {
    pub(crate) revision: Revision,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) table: PolicyTable,
}

impl ConfigurationInForce {
    /// Compiles a configuration.
    pub(crate) fn compile(configuration: &Arc<Configuration>) -> Self {
        Self {
            revision: configuration.revision,
            table: PolicyTable::new(configuration),
            configuration: Arc::clone(configuration),
        }
    }
}

impl EntryState {
    pub(crate) fn new(
        settings: EntrySettings,
        endpoint: LinkEndpoint,
        metrics: EntryMetrics,
        sync: Rc<SyncState>,
        in_force: InForceCell,
    ) -> Self {
        let space = SpaceLedger::new(&settings.limits, sync.clock());
        let space = Rc::new(space);
        Self {
            clock: sync.clock(),
            shutdown: ShutdownFlag::default(),
            metrics,
            pool: Rc::new(LinkPool::new(endpoint, settings.entry.clone())),
            sync,
            agents: RefCell::new(AgentTable::new(settings.domain.clone())),
            random: RefCell::new(StdRng::from_os_rng()),
            allowances: AllowanceService::default(),
            space,
            ready: Cell::new(false),
            budgets: RefCell::default(),
            admitted: RefCell::default(),
            in_force,
            settings,
        }
    }

    /// The configuration in force, if one is known.
    pub(crate) fn in_force(&self) -> Option<Rc<ConfigurationInForce>> {
        self.in_force.borrow().as_ref().map(Rc::clone)
    }

    /// The revision of the configuration in force; zero if none is known.
    pub(crate) fn revision(&self) -> Revision {
        self.sync.revision()
    }

    /// Calls `work` with an account's retry budget and the shared random number generator.
    pub(crate) fn with_retry_budget<T>(
        &self,
        account: &AccountId,
        work: impl FnOnce(&mut RetryBudget, &mut StdRng) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let mut random = self.random.borrow_mut();
        match budgets.get_mut(account) {
            Some(budget) => work(budget, &mut random),
            None => work(budgets.entry(account.clone()).or_default(), &mut random),
        }
    }

    /// Whether the load balancer may send requests to this entry.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get() && !self.sync.is_stopping()
    }

    /// Adds a request to the tokens admitted for its account.
    pub(crate) fn record_admitted(&self, account: &AccountId, cost: TokenCount) {
        let mut admitted = self.admitted.borrow_mut();
        match admitted.get_mut(account) {
            Some(tokens) => *tokens += cost,
            None => drop(admitted.insert(account.clone(), cost)),
        }
    }

    /// Estimated tokens of the requests that this entry has admitted for an account.
    pub(crate) fn admitted(&self, account: &AccountId) -> TokenCount {
        self.admitted
            .borrow()
            .get(account)
            .copied()
            .unwrap_or_default()
    }

    pub(crate) fn generate_request_id(&self) -> RequestId {
        RequestId(self.random.borrow_mut().random())
    }
}
