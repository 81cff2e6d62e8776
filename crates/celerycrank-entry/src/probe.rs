//! Looks whether an agent that failed has come back.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;

use crate::{roster::AgentRecord, state::EntryState};

/// Interval at which a failed agent is asked whether it is back.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Leaves an agent alone until it answers again.
///
/// The agent is asked in the background, so that no request waits for it meanwhile.
pub(crate) fn watch_return(state: &Rc<EntryState>, record: &Rc<AgentRecord>) {
    if !record.note_failure() {
        return;
    }
    tracing::info!(backend = %record.offer.backend, "agent failed");
    actix_rt::spawn(probe(Rc::clone(state), Rc::clone(record)));
}

async fn probe(state: Rc<EntryState>, record: Rc<AgentRecord>) {
    loop {
        let connecting = state.pool.connect(record.address, state.revision());
        if let Ok(link) = connecting.await {
            tracing::info!(backend = %record.offer.backend, "agent is back");
            record.note_return(link.welcome.load);
            return;
        }
        sleep(PROBE_INTERVAL).await;
    }
}
