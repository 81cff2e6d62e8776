//! Periodically reads the report and the expert counts of the engine.

use std::{rc::Rc, time::Duration};

use actix_rt::time::{sleep, timeout};
use celerycrank_groups::RankReport;
use celerycrank_platform::{COUNTS_TARGET, REPORT_TARGET, read_counts, read_report};
use celerycrank_types::TimeSpan;
use rand::Rng;

use super::{
    engine::{CallError, unreadable},
    load::publish_load,
    output::apply_outputs,
    state::AgentState,
};

/// Interval at which the engine's report is read.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which it is read while a map is being loaded or a switch is in progress.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which the leader reads how often each expert was chosen.
const COUNT_INTERVAL: TimeSpan = TimeSpan::from_millis(95);

/// Reads the engine's report until the future is dropped.
pub(crate) async fn poll_engine(state: Rc<AgentState>) {
    let mut is_unreachable = false;
    let mut counted_at = state.clock.now();
    loop {
        match read_own_report(&state).await {
            Ok(report) => {
                if std::mem::take(&mut is_unreachable) {
                    tracing::info!(dependency = "engine", "engine regained");
                }
                handle_report(&state, report);
            }
            Err(error) => {
                state.metrics.engine_errors.inc();
                if !std::mem::replace(&mut is_unreachable, true) {
                    tracing::warn!(dependency = "engine", fault = %error, "engine lost");
                }
                sleep(IDLE_POLL_INTERVAL).await;
            }
        }
        let is_due = state.clock.now().since(counted_at) >= COUNT_INTERVAL;
        if is_due && state.agent.borrow().is_lead() {
            counted_at = state.clock.now();
            update_counts(&state).await;
        }
        let is_waiting = state.agent.borrow().is_waiting();
        let interval = if is_waiting {
            BUSY_POLL_INTERVAL
        } else {
            IDLE_POLL_INTERVAL
        };
        // Wait for the interval to pass or for a request to read the report immediately.
        let _ = timeout(interval, state.wake.notified()).await;
    }
}

async fn read_own_report(state: &AgentState) -> Result<RankReport, CallError> {
    let body = state.read_client.get(REPORT_TARGET).await?;
    read_report(&body).map_err(unreadable)
}

fn handle_report(state: &Rc<AgentState>, report: RankReport) {
    let now = state.clock.now();
    let version = i64::try_from(report.map.0).unwrap_or(i64::MAX);
    state.metrics.map_version.set(version);
    publish_load(state, &report, now);
    let before = state.agent.borrow().place().cloned();
    let outputs = state.agent.borrow_mut().on_report(report, now);
    let after = state.agent.borrow().place().cloned();
    if before != after {
        if let Some(place) = &after {
            tracing::info!(group = %place.group, epoch = %place.epoch, rank = %place.rank, is_open = place.is_open, "place in the group");
        }
        let group = |place: &Option<celerycrank_groups::RankPlace>| {
            place.as_ref().map(|place| place.group.clone())
        };
        if group(&before) != group(&after) {
            state.peers.borrow_mut().clear();
        }
    }
    apply_outputs(state, outputs);
}

/// Reads how often each expert was chosen, and proposes a map change if one is worthwhile.
async fn update_counts(state: &Rc<AgentState>) {
    let result = state.read_client.get(COUNTS_TARGET).await;
    let counts = match result.and_then(|body| read_counts(&body).map_err(unreadable)) {
        Ok(counts) => counts,
        Err(error) => {
            state.metrics.engine_errors.inc();
            tracing::info!(fault = %error, "cannot read the expert counts of the engine");
            return;
        }
    };
    let now = state.clock.now();
    let count = counts.len();
    state.load_monitor.borrow_mut().observe(now, counts);
    let (Some(profile), Some(shape)) = (state.profile.get(), state.shape()) else {
        return;
    };
    state.check_counts(count, shape);
    let mut agent = state.agent.borrow_mut();
    agent.assemble_map(shape);
    if !agent.can_propose(now) {
        return;
    }
    let Some(map) = agent.map().cloned() else {
        return;
    };
    let proposed = state
        .load_monitor
        .borrow()
        .propose(&map, profile.max_moves_per_change);
    let planned = state.clock.now().since(now);
    state.metrics.planning.observe(planned.as_secs_f64());
    let Some(proposal) = proposed else {
        return;
    };
    tracing::info!(
        loads = proposal.weight_copies.len(),
        skew = proposal.skew_before,
        expected = proposal.skew_after,
        planning = %planned,
        "map change proposed"
    );
    state
        .metrics
        .loads
        .inc_by(proposal.weight_copies.len() as u64);
    let draw = state.random.borrow_mut().random();
    let outputs = agent.propose(&proposal.weight_copies, draw, now);
    drop(agent);
    apply_outputs(state, outputs);
}
