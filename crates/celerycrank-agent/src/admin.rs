//! The agent's admin pages.

use std::rc::Rc;

use celerycrank_membership::StopTarget;
use celerycrank_process::AdminHandler;
use celerycrank_types::{BackendId, DomainId, Incarnation, Revision};
use celerycrank_wire::OfferKind;
use serde::Serialize;

use crate::state::AgentState;

/// The agent's admin pages.
pub(crate) struct AgentAdminHandler {
    pub(crate) state: Rc<AgentState>,
}

/// The agent's status, as `/status` shows it.
#[derive(Debug, Serialize)]
struct AgentStatus {
    backend: BackendId,
    kind: OfferKind,
    domain: DomainId,
    revision: Revision,
    incarnation: Incarnation,
    leaving: bool,
    /// The planned stop of this agent, if it has begun.
    stopping: Option<StopTarget>,
    /// The work that a planned stop still waits for.
    waits_for: String,
    running: u32,
    queued: u32,
    concurrency: u32,
    in_flight: u32,
    refusals: std::collections::BTreeMap<&'static str, u64>,
    unknown: std::collections::BTreeMap<&'static str, u64>,
}

impl AdminHandler for AgentAdminHandler {
    fn metrics(&self) -> Vec<u8> {
        let load = self.state.load();
        self.state.metrics.running.set(load.running.into());
        self.state.metrics.queued.set(load.queued.into());
        self.state.metrics.set.render()
    }

    fn is_ready(&self) -> bool {
        !self.state.refuses_work()
    }

    fn status(&self) -> Vec<u8> {
        let welcome = self.state.welcome();
        let status = AgentStatus {
            backend: welcome.offer.backend,
            kind: welcome.offer.kind,
            domain: welcome.offer.domain,
            revision: welcome.revision,
            incarnation: welcome.incarnation,
            leaving: welcome.load.leaving,
            stopping: self.state.sync.own_stop(),
            waits_for: self.state.pending_work().to_string(),
            running: welcome.load.running,
            queued: welcome.load.queued,
            concurrency: welcome.load.concurrency,
            in_flight: self.state.in_flight(),
            refusals: self.state.metrics.refusals.counts().collect(),
            unknown: self.state.metrics.unknowns.counts().collect(),
        };
        serde_json::to_vec(&status).expect("the status is serializable")
    }
}
