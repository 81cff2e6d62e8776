//! Learns from the store how the group holds experts, and where the other ranks are.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use celerycrank_client::KeyValueFault;
use celerycrank_platform::{CONFIGURATION_KEY, ENTRY_PREFIX, read_configuration, read_entry};

use super::state::AgentState;

/// Wait before the store is asked again for what is missing.
const INITIAL_QUERY_DELAY: Duration = Duration::from_millis(1_500);

/// Longest such wait.
const MAX_QUERY_DELAY: Duration = Duration::from_secs(12);

/// Interval at which the agent looks whether something is missing.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Asks the store for what the agent misses, less often the longer it is missing.
pub(crate) async fn discover_group(state: Rc<AgentState>) {
    let mut delay = INITIAL_QUERY_DELAY;
    loop {
        if state.profile.get().is_some() && knows_all_peers(&state) {
            delay = INITIAL_QUERY_DELAY;
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        if let Err(error) = query_store(&state).await {
            tracing::info!(dependency = "store", fault = %error, "store not read");
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_QUERY_DELAY);
    }
}

/// Whether every other rank of the group was heard of.
fn knows_all_peers(state: &AgentState) -> bool {
    let agent = state.agent.borrow();
    let size = agent.place().map_or(0, |place| usize::from(place.size));
    size > 0 && state.peers.borrow().len() + 1 >= size
}

async fn query_store(state: &AgentState) -> Result<(), KeyValueFault> {
    if state.profile.get().is_none() {
        fetch_group_profile(state).await?;
    }
    let service = &state.settings.service;
    let snapshot = state.client.range_of_any_age(ENTRY_PREFIX).await?;
    let entries = snapshot.records.iter();
    // An entry that cannot be read names no backend server, and the entries tell of it.
    let entries = entries.filter_map(|record| read_entry(&record.key, &record.value).ok());
    let same = entries.filter(|entry| entry.service == *service);
    let candidate_ips = same.map(|entry| entry.address.ip()).collect();
    *state.candidate_ips.borrow_mut() = candidate_ips;
    Ok(())
}

async fn fetch_group_profile(state: &AgentState) -> Result<(), KeyValueFault> {
    let snapshot = state.client.range_of_any_age(CONFIGURATION_KEY).await?;
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
        Err(error) => tracing::error!(fault = %error, "configuration refused"),
    }
    Ok(())
}
