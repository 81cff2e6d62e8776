//! Tests of the VM list client against the stand-in.

use std::net::SocketAddr;

use celerycrank_client::{VmListClient, VmListError, VmListFeed, VmOffer, VmState};
use celerycrank_standin::{ListedOffer, ListedVm, VmListStandin};
use celerycrank_types::TimeSpan;

fn listed(vm: &str, leaving: bool, offers: ListedOffer) -> ListedVm {
    ListedVm {
        vm: vm.parse().unwrap(),
        domain: "borba".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 4_433)),
        offers,
        leaving,
    }
}

#[actix_rt::test]
async fn vm_list_is_read_whole_and_may_lag() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let standin = VmListStandin::start(address).await.unwrap();
    let client = VmListClient::new(standin.url().into(), TimeSpan::from_secs(5));
    assert_eq!(client.fetch().await.unwrap(), []);

    let engine = listed(
        "vm-1",
        false,
        ListedOffer::Model("drafter".parse().unwrap()),
    );
    let ledger = listed("vm-2", true, ListedOffer::Service("bids".parse().unwrap()));
    standin.set_vms(vec![engine, ledger]);
    let records = client.fetch().await.unwrap();
    assert_eq!(records.len(), 2);
    assert_eq!(records[0].vm.as_str(), "vm-1");
    assert_eq!(records[0].state, VmState::Live);
    assert_eq!(
        records[0].offers,
        VmOffer::Model("drafter".parse().unwrap())
    );
    assert_eq!(records[1].state, VmState::Leaving);
    assert_eq!(records[1].offers, VmOffer::Service("bids".parse().unwrap()));

    standin.set_lag(TimeSpan::from_secs(3_600));
    standin.set_vms(Vec::new());
    assert_eq!(client.fetch().await.unwrap(), records);
    standin.set_outage(true);
    assert_eq!(client.fetch().await, Err(VmListError::Status(503)));
    assert_eq!(client.fetches(), 4);
}

#[actix_rt::test]
async fn vm_list_feed_delivers_changes_and_restarts_after_an_outage() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let standin = VmListStandin::start(address).await.unwrap();
    let client = VmListClient::new(standin.url().into(), TimeSpan::from_secs(5));
    let mut feed = VmListFeed::new(client);
    let model = || ListedOffer::Model("drafter".parse().unwrap());
    standin.set_vms(vec![
        listed("vm-1", false, model()),
        listed("vm-2", false, model()),
    ]);
    assert_eq!(feed.next().await.unwrap().len(), 2);
    let reads = standin.reads();
    standin.set_vms(vec![
        listed("vm-1", true, model()),
        listed("vm-2", false, model()),
    ]);
    assert_eq!(feed.next().await.unwrap()[0].state, VmState::Leaving);
    standin.set_vms(vec![listed("vm-2", false, model())]);
    assert_eq!(feed.next().await.unwrap().len(), 1);
    assert_eq!(standin.reads(), reads, "changes arrive through the watch");
    standin.set_outage(true);
    feed.next().await.unwrap_err();
    standin.set_vms(Vec::new());
    standin.set_outage(false);
    assert_eq!(feed.next().await.unwrap(), []);
}
