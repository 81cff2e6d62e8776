//! Sends a watcher's offers to its peers, each followed by an exchange of updates.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};

use actix_rt::time::{sleep, timeout};
use celerycrank_link::{LinkPool, PeerLink};
use celerycrank_membership::VmDescriptor;
use celerycrank_types::VmId;
use celerycrank_wire::{ConfigurationReply, PeerOrder, PeerReply};

use crate::state::SyncState;

/// Interval at which the process checks for due offers.
const OFFER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends the offers of this process when they are due, at most one to each peer at a time.
pub async fn send_offers(state: Rc<SyncState>, pool: Rc<LinkPool>) {
    let busy = Rc::new(RefCell::new(BTreeSet::new()));
    loop {
        for peer in state.due_offers() {
            if busy.borrow_mut().insert(peer.vm.clone()) {
                let (state, pool) = (Rc::clone(&state), Rc::clone(&pool));
                actix_rt::spawn(offer_to_peer(state, pool, peer, Rc::clone(&busy)));
            }
        }
        sleep(OFFER_POLL_INTERVAL).await;
    }
}

/// Peers with an exchange in progress.
type PeersInExchange = Rc<RefCell<BTreeSet<VmId>>>;

async fn offer_to_peer(
    state: Rc<SyncState>,
    pool: Rc<LinkPool>,
    peer: VmDescriptor,
    busy: PeersInExchange,
) {
    state.counters.offers.inc();
    let exchanged = timeout(EXCHANGE_TIMEOUT, exchange(&state, &pool, &peer));
    if !matches!(exchanged.await, Ok(Some(()))) {
        state.counters.unanswered.inc();
    }
    busy.borrow_mut().remove(&peer.vm);
}

async fn exchange(state: &SyncState, pool: &LinkPool, peer: &VmDescriptor) -> Option<()> {
    let link = pool.connect(peer.address, state.revision()).await.ok()?;
    let reply = send_order(&link, PeerOrder::Offer(state.offer())).await?;
    if let Some(order) = state.follow_up(peer, &reply) {
        state.on_reply(&send_order(&link, order).await?);
    }
    Some(())
}

async fn send_order(link: &PeerLink, order: PeerOrder<'_>) -> Option<ConfigurationReply> {
    let (_sender, mut receiver) = link.send(&order).await.ok()?;
    match receiver.receive().await {
        Ok(Some(PeerReply::Configuration(reply))) => Some(reply),
        _ => None,
    }
}
