//! Tests the rank group stand-in over HTTP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_rt::time::{sleep, timeout};
use awc::Client;
use celerycrank_groups::{
    AttemptId, AttemptNumber, EngineOrder, ExpertIndex, ExpertMap, MapChange, MapShape,
    MemberIndex, StepNumber, WeightCopy,
};
use celerycrank_standin::{RankGroupFaults, RankGroupOptions, RankGroupStandin};
use celerycrank_types::{Incarnation, TimeSpan};

/// Timeout for conditions that must become true; no test relies on a shorter one.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const MEMBERS: usize = 2;

async fn start() -> RankGroupStandin {
    let options = RankGroupOptions::builder()
        .members(MEMBERS)
        .step_time(TimeSpan::from_millis(1))
        .expert_time(TimeSpan::from_millis(1))
        .fencing(true)
        .build();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    RankGroupStandin::start(address, options).await.unwrap()
}

/// One layer of four experts on two ranks, with a spare slot on each rank.
fn first_map() -> ExpertMap {
    let shape = MapShape::builder().layers(1).experts(4).ranks(2).slots(3);
    ExpertMap::round_robin(shape.build())
}

async fn order(group: &RankGroupStandin, member: usize, number: u64, order: &EngineOrder) -> u16 {
    let url = format!("http://{}/members/{member}/orders", group.address());
    let request = Client::default().post(url);
    let request = request.insert_header(("x-fencing-number", number.to_string()));
    request.send_json(order).await.unwrap().status().as_u16()
}

async fn form(group: &RankGroupStandin, incarnation: u64) {
    let form = EngineOrder::Form {
        incarnation: Incarnation(incarnation),
        map: Arc::new(first_map()),
    };
    for member in 0..MEMBERS {
        assert_eq!(order(group, member, incarnation, &form).await, 200);
    }
}

async fn reports(group: &RankGroupStandin, member: usize) -> String {
    let url = format!("http://{}/members/{member}/reports", group.address());
    let body = Client::default()
        .get(url)
        .send()
        .await
        .unwrap()
        .body()
        .await;
    String::from_utf8(body.unwrap().to_vec()).unwrap()
}

async fn wait_until(mut check: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !check().await {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the condition becomes true in time");
}

#[actix_rt::test]
async fn step_waits_for_every_member() {
    let group = start().await;
    let form_one = EngineOrder::Form {
        incarnation: Incarnation(1),
        map: Arc::new(first_map()),
    };
    order(&group, 0, 1, &form_one).await;
    sleep(Duration::from_millis(20)).await;
    assert_eq!(group.counts().steps, 0);
    form(&group, 1).await;
    wait_until(async || group.counts().steps > 3).await;
    group.set_faults(RankGroupFaults {
        stalled: vec![1],
        ..RankGroupFaults::default()
    });
    let steps = group.counts().steps;
    sleep(Duration::from_millis(20)).await;
    assert_eq!(group.counts().steps, steps);
}

#[actix_rt::test]
async fn replica_of_the_hot_expert_balances_the_ranks() {
    let group = start().await;
    group.set_faults(RankGroupFaults {
        popularity: vec![6, 1, 0, 1],
        ..RankGroupFaults::default()
    });
    form(&group, 1).await;
    wait_until(async || group.counts().steps > 0).await;
    assert!((group.counts().skew - 1.5).abs() < 1e-9);

    let attempt = AttemptId {
        incarnation: Incarnation(1),
        lead: MemberIndex(0),
        number: AttemptNumber(1),
    };
    // Expert 0 is on the first rank; its replica goes to the spare slot of the second rank.
    let load = WeightCopy {
        layer: 0,
        slot: 5,
        expert: ExpertIndex(0),
    };
    let change = MapChange::new(&first_map(), vec![load]);
    let load = EngineOrder::Load {
        attempt,
        change: Arc::clone(&change),
    };
    for member in 0..MEMBERS {
        order(&group, member, 1, &load).await;
        wait_until(async || reports(&group, member).await.contains("loaded")).await;
    }
    assert_eq!(group.counts().loaded_experts, 1);
    let first = StepNumber(group.counts().steps + 200);
    let hold = EngineOrder::Hold { attempt, first };
    let switch = EngineOrder::Switch {
        attempt,
        first,
        map: change.next,
    };
    for member in 0..MEMBERS {
        order(&group, member, 1, &hold).await;
    }
    for member in 0..MEMBERS {
        order(&group, member, 1, &switch).await;
    }
    wait_until(async || (group.counts().skew - 1.25).abs() < 1e-9).await;
}

#[actix_rt::test]
async fn stale_fencing_number_is_refused() {
    let group = start().await;
    form(&group, 2).await;
    let stale = EngineOrder::Form {
        incarnation: Incarnation(1),
        map: Arc::new(first_map()),
    };
    assert_eq!(order(&group, 0, 1, &stale).await, 409);
    assert_eq!(group.counts().refused_orders, 1);
}
