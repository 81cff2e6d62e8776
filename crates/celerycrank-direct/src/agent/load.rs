//! Reports the engine's load to the entries.

use celerycrank_groups::RankReport;
use celerycrank_serving::LoadReport;
use celerycrank_types::{TimePoint, TimeSpan};

use super::state::AgentState;
use crate::message::PeerMessage;

/// How long an entry receives reports after it has subscribed.
const SUBSCRIPTION_TTL: TimeSpan = TimeSpan::from_millis(3_500);

/// Minimum time between two reports.
const MIN_REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(180);

/// Time after which an unchanged load is reported again.
const REPEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(600);

/// Adds or renews an entry's subscription to reports.
pub(crate) fn subscribe(state: &AgentState, entry: std::net::SocketAddr) {
    let until = state.clock.now() + SUBSCRIPTION_TTL;
    state.subscribers.borrow_mut().insert(entry, until);
}

/// Sends the engine's load to the subscribed entries if a report is due.
pub(crate) fn publish_load(state: &AgentState, report: &RankReport, now: TimePoint) {
    let place = report.place.as_ref();
    let load = LoadReport {
        running: report.running,
        waiting: report.waiting,
        pace: report.pace,
        group: place.map(|place| place.group.clone()),
        is_open: place.is_none_or(|place| place.is_open),
        entries: count_subscribers(state, now),
    };
    let mut last = state.last_published.borrow_mut();
    let is_due = last.as_ref().is_none_or(|(known, at)| {
        let age = now.since(*at);
        age >= REPEAT_INTERVAL || (age >= MIN_REPORT_INTERVAL && *known != load)
    });
    if !is_due {
        return;
    }
    let datagram = PeerMessage::Load(load.clone()).encode();
    for entry in state.subscribers.borrow().keys() {
        state.send_datagram(&datagram, *entry);
    }
    *last = Some((load, now));
}

/// Returns the entries that subscribe, in the order of their addresses.
pub(crate) fn list_subscribers(state: &AgentState) -> Vec<std::net::SocketAddr> {
    count_subscribers(state, state.clock.now());
    let subscribers = state.subscribers.borrow();
    let mut entries = subscribers.keys().copied().collect::<Vec<_>>();
    entries.sort_unstable();
    entries
}

/// Removes expired subscriptions and counts the others.
fn count_subscribers(state: &AgentState, now: TimePoint) -> u32 {
    let mut subscribers = state.subscribers.borrow_mut();
    subscribers.retain(|_, until| *until > now);
    u32::try_from(subscribers.len()).unwrap_or(u32::MAX)
}
