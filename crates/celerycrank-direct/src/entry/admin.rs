//! Admin endpoints of the entry.

use std::rc::Rc;

use celerycrank_process::AdminHandler;
use serde::Serialize;

use super::{prompt_cache::PromptCacheStatus, state::EntryState};

/// Serves the admin endpoints of an entry.
pub(crate) struct EntryAdminHandler {
    pub(crate) state: Rc<EntryState>,
}

#[derive(Serialize)]
struct EntryStatus {
    entry: String,
    revision: Option<String>,
    configuration_age: Option<String>,
    is_ready: bool,
    callers: u32,
    requests: u32,
    backends: Vec<BackendStatus>,
    evacuated_domains: Vec<String>,
    quarantined_parts: Vec<PartStatus>,
    prompt_cache: PromptCacheStatus,
}

#[derive(Serialize)]
struct PartStatus {
    service: String,
    part: String,
    failed_trials: u32,
    remaining: String,
}

#[derive(Serialize)]
struct BackendStatus {
    backend: String,
    service: String,
    address: String,
    domain: String,
    is_usable: bool,
    obstacle: Option<String>,
    own_requests: u32,
    requests: u32,
    failures: f64,
    slowdown: f64,
    limit: Option<String>,
    cold_remaining: Option<String>,
    pause_remaining: Option<String>,
}

impl AdminHandler for EntryAdminHandler {
    fn metrics(&self) -> Vec<u8> {
        self.state.metrics.set.render()
    }

    fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    fn status(&self) -> Vec<u8> {
        let state = &self.state;
        let now = state.clock.now();
        let backends = state.backends.borrow();
        let evacuated = backends.evacuated_domains().map(ToString::to_string);
        let evacuated_domains = evacuated.collect();
        let backends = backends.iter().map(|it| BackendStatus {
            backend: it.registration.backend.to_string(),
            service: it.registration.service.to_string(),
            address: it.registration.address.to_string(),
            domain: it.registration.domain.to_string(),
            is_usable: it.is_usable(now),
            obstacle: it.obstacle(now).map(|obstacle| obstacle.to_string()),
            own_requests: it.load.own(),
            requests: it.load.total(now),
            failures: it.failure_rate(now),
            slowdown: it.slowdown(now),
            limit: it.limit().map(|limit| limit.to_string()),
            cold_remaining: it.cold_remaining(now).map(|span| span.to_string()),
            pause_remaining: it.pause_remaining(now).map(|span| span.to_string()),
        });
        let parts = state.quarantine.borrow().status(now).into_iter();
        let parts = parts.map(|it| PartStatus {
            service: it.service.to_string(),
            part: it.part.to_string(),
            failed_trials: it.failed_trials,
            remaining: it.remaining.to_string(),
        });
        let status = EntryStatus {
            entry: state.settings().entry.to_string(),
            revision: state.in_force().map(|it| it.revision.to_string()),
            configuration_age: state.configuration_age().map(|it| it.to_string()),
            is_ready: state.is_ready(),
            callers: state.caller_connections.get(),
            requests: state.requests_in_flight.get(),
            backends: backends.collect(),
            evacuated_domains,
            quarantined_parts: parts.collect(),
            prompt_cache: state.prompt_cache.status(&state.settings()),
        };
        serde_json::to_vec(&status).expect("plain fields encode into memory")
    }
}
