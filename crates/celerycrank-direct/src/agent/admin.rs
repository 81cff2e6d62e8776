//! Admin endpoints of the agent.

use std::rc::Rc;

use celerycrank_process::AdminHandler;
use serde::Serialize;

use super::state::AgentState;

/// Serves the admin endpoints of an agent.
pub(crate) struct AgentAdminHandler {
    pub(crate) state: Rc<AgentState>,
}

#[derive(Serialize)]
struct AgentStatus {
    vm: String,
    group: Option<String>,
    epoch: Option<u64>,
    rank: Option<u16>,
    is_open: bool,
    is_lead: bool,
    map: Option<u64>,
    is_held: bool,
    peers: usize,
}

impl AdminHandler for AgentAdminHandler {
    fn metrics(&self) -> Vec<u8> {
        self.state.metrics.set.render()
    }

    fn is_ready(&self) -> bool {
        self.state.agent.borrow().report().is_some()
    }

    fn status(&self) -> Vec<u8> {
        let agent = self.state.agent.borrow();
        let place = agent.place();
        let report = agent.report();
        let status = AgentStatus {
            vm: self.state.settings.vm.to_string(),
            group: place.map(|place| place.group.to_string()),
            epoch: place.map(|place| place.epoch.0),
            rank: place.map(|place| place.rank.0),
            is_open: place.is_some_and(|place| place.is_open),
            is_lead: agent.is_lead(),
            map: report.map(|report| report.map.0),
            is_held: report.is_some_and(|report| report.held.is_some()),
            peers: self.state.peers.borrow().len(),
        };
        serde_json::to_vec(&status).expect("plain fields encode into memory")
    }
}
