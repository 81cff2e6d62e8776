//! Reads from the key-value service how the group holds experts and where its other ranks may be.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use celerycrank_client::KeyValueError;
use celerycrank_platform::{
    CONFIGURATION_KEY, REGISTRATION_PREFIX, read_configuration, read_registration,
};

use super::{peer::search_agents, state::AgentState};

/// Initial delay before the key-value service is queried again for missing information.
const INITIAL_QUERY_DELAY: Duration = Duration::from_millis(1_500);

/// Upper bound of this delay.
const MAX_QUERY_DELAY: Duration = Duration::from_secs(12);

/// Interval at which the agent checks whether information is missing.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The interval while the agent does not know its place in the group, after its start.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Queries the key-value service for information that the agent lacks, with exponential backoff.
pub(crate) async fn discover_group(state: Rc<AgentState>) {
    let mut delay = INITIAL_QUERY_DELAY;
    loop {
        if !needs_store(&state) {
            delay = INITIAL_QUERY_DELAY;
            let is_placed = state.agent.borrow().place().is_some();
            let interval = if is_placed {
                CHECK_INTERVAL
            } else {
                START_CHECK_INTERVAL
            };
            sleep(interval).await;
            continue;
        }
        if let Err(error) = query_store(&state).await {
            tracing::info!(dependency = "store", fault = %error, "cannot read from the store");
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_QUERY_DELAY);
    }
}

/// Whether the agent leads its group and lacks the group's profile or an agent of another rank.
///
/// The other agents need neither: the leader finds them, and its messages contain the shape.
fn needs_store(state: &AgentState) -> bool {
    let agent = state.agent.borrow();
    let is_complete = state.profile.get().is_some() && agent.are_all_reachable(state.clock.now());
    agent.is_lead() && !is_complete
}

async fn query_store(state: &AgentState) -> Result<(), KeyValueError> {
    if state.profile.get().is_none() {
        fetch_group_profile(state).await?;
    }
    let service = &state.settings.service;
    let snapshot = state.store.range_serializable(REGISTRATION_PREFIX).await?;
    let registrations = snapshot.records.iter();
    // Records that cannot be read name no backend server; the entry processes log them.
    let registrations = registrations
        .filter_map(|record| Some(read_registration(&record.key, &record.value).ok()?.0));
    let same_service = registrations.filter(|registration| registration.service == *service);
    let candidate_ips = same_service
        .map(|registration| registration.address.ip())
        .collect();
    *state.candidate_ips.borrow_mut() = candidate_ips;
    search_agents(state);
    Ok(())
}

async fn fetch_group_profile(state: &AgentState) -> Result<(), KeyValueError> {
    let snapshot = state.store.range_serializable(CONFIGURATION_KEY).await?;
    let mut records = snapshot.records.iter();
    let Some(record) = records.find(|record| &*record.key == CONFIGURATION_KEY) else {
        return Ok(());
    };
    match read_configuration(&record.value) {
        Ok((configuration, _)) => {
            let mut services = configuration.services.iter();
            let own = services.find(|it| it.service == state.settings.service);
            let engine = own.and_then(|service| service.engine);
            state.profile.set(engine.and_then(|engine| engine.group));
        }
        Err(error) => tracing::error!(fault = %error, "configuration rejected"),
    }
    Ok(())
}
