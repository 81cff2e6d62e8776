//! Cost of watching the VM list over HTTP, against a stand-in of the list service.

use celerycrank_client::{VmListClient, VmListFeed};
use celerycrank_standin::{ListedOffer, ListedVm, VmListStandin};
use celerycrank_types::TimeSpan;
use cpu_time::ThreadTime;

use super::{domain, sweep};
use crate::capacity::slope::{ProbePoint, ProbeSweep};

/// Measures a change of one VM received by the feed; the size counts VMs.
///
/// The stand-in runs in the same thread, so the processor time includes both ends.
pub(crate) fn list_sweep(repeats: usize) -> ProbeSweep {
    let sizes = [100, 300, 600, 1_200];
    sweep(
        "one change of the VM list, both ends; x counts VMs",
        &sizes,
        |size| actix_rt::System::new().block_on(measure(size, repeats)),
    )
}

async fn measure(size: usize, repeats: usize) -> ProbePoint {
    let address = ([127, 0, 0, 1], 0).into();
    let standin = VmListStandin::start(address).await.expect("a port is free");
    let mut vms = (0..size).map(listed_vm).collect::<Vec<_>>();
    standin.set_vms(vms.clone());
    let client = VmListClient::new(standin.url().into(), TimeSpan::from_secs(5));
    let mut feed = VmListFeed::new(client);
    feed.next().await.expect("the stand-in answers");
    let mut samples = Vec::new();
    for _ in 0..repeats.max(1) {
        vms[size / 2].leaving = !vms[size / 2].leaving;
        let start = ThreadTime::now();
        standin.set_vms(vms.clone());
        feed.next().await.expect("the watch stays open");
        samples.push(start.elapsed().as_secs_f64() * 1e6);
    }
    samples.sort_by(f64::total_cmp);
    let body = awc::Client::default().get(standin.url()).send().await;
    let body = body
        .expect("the stand-in answers")
        .body()
        .limit(64 << 20)
        .await;
    let list_bytes = body.expect("the list body is complete").len();
    ProbePoint {
        size: size as f64,
        cpu_micros: samples[samples.len() / 2],
        memory_bytes: 0.0,
        // An event carries the `EndpointSlice` of one VM; the list holds one for each VM.
        wire_bytes: list_bytes as f64 / size as f64,
    }
}

fn listed_vm(number: usize) -> ListedVm {
    ListedVm {
        vm: format!("vm-{number:08}").parse().expect("a valid id"),
        domain: domain(number % 14),
        address: ([10, 0, 0, 1], 7_000).into(),
        offers: ListedOffer::Model("drafting".parse().expect("a valid id")),
        leaving: false,
    }
}
