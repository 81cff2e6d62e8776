//! Cost of connections between processes and of offers over them.

use std::{net::SocketAddr, rc::Rc};

use celerycrank_link::{DeploymentAuthority, LinkEndpoint, LinkKeys, LinkPool, PeerLink};
use celerycrank_types::{ByteSize, Incarnation, Revision};
use celerycrank_wire::{
    BackendOffer, ConfigurationReply, LoadReport, OfferKind, OfferOrder, PROTOCOL_VERSION,
    PeerOrder, PeerReply, WelcomeReply,
};
use cpu_time::ThreadTime;
use stats_alloc::Region;

use super::{ALLOCATOR, live_bytes, sweep};
use crate::capacity::slope::{ProbePoint, ProbeSweep};

const MESSAGE_LIMIT: ByteSize = ByteSize(1 << 20);

/// Measures connections to peers and one offer to each of them; the size counts peers.
///
/// Both ends of every connection are in this process, so time and memory include both.
pub(crate) fn link_sweep(repeats: usize) -> ProbeSweep {
    let sizes = [50, 100, 200, 400];
    sweep(
        "an offer to each peer over open connections, both ends; x counts peers",
        &sizes,
        |size| actix_rt::System::new().block_on(measure(size, repeats)),
    )
}

async fn measure(size: usize, repeats: usize) -> ProbePoint {
    let keys = make_keys();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let bind = || LinkEndpoint::bind(any_port, &keys, PROTOCOL_VERSION, MESSAGE_LIMIT);
    let peers = (0..size)
        .map(|_| bind().expect("a port is free"))
        .collect::<Vec<_>>();
    for peer in &peers {
        actix_rt::spawn(answer_orders(peer.clone()));
    }
    let endpoint = bind().expect("a port is free");
    let pool = LinkPool::new(endpoint, "entry-1".parse().expect("a valid id"));
    let region = Region::new(ALLOCATOR);
    let mut links = Vec::new();
    for peer in &peers {
        let address = peer.local_address().expect("the endpoint is bound");
        links.push(
            pool.connect(address, Revision(1))
                .await
                .expect("the peer answers"),
        );
    }
    let memory_bytes = live_bytes(&region);
    let mut samples = Vec::new();
    let sent_before = sent_bytes(&links);
    for _ in 0..repeats.max(1) {
        let start = ThreadTime::now();
        for link in &links {
            send_offer(link).await;
        }
        samples.push(start.elapsed().as_secs_f64() * 1e6);
    }
    samples.sort_by(f64::total_cmp);
    let wire_bytes = (sent_bytes(&links) - sent_before) as f64 / repeats.max(1) as f64;
    ProbePoint {
        size: size as f64,
        cpu_micros: samples[samples.len() / 2],
        memory_bytes,
        wire_bytes,
    }
}

fn sent_bytes(links: &[Rc<PeerLink>]) -> u64 {
    links.iter().map(|link| link.sent_bytes().0).sum()
}

async fn send_offer(link: &PeerLink) {
    let watcher = "entry-1".parse().expect("a valid id");
    let order = OfferOrder {
        watcher,
        revision: Revision(1),
        stops: Revision(1),
    };
    let sent = link.send(&PeerOrder::Offer(order)).await;
    let (_sender, mut receiver) = sent.expect("the link is open");
    receiver
        .receive::<PeerReply>()
        .await
        .expect("the peer answers");
}

async fn answer_orders(endpoint: LinkEndpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let connection = incoming
            .handshake()
            .await
            .expect("both ends trust the same authority");
        while let Some((mut sender, mut receiver)) = endpoint.accept_stream(&connection).await {
            let order = receiver
                .receive::<PeerOrder>()
                .await
                .expect("the order can be read");
            let reply = match order {
                Some(PeerOrder::Hello(_)) => PeerReply::Welcome(welcome_reply()),
                _ => PeerReply::Configuration(ConfigurationReply {
                    revision: Revision(1),
                    configuration: None,
                    stops: Revision(1),
                    stop_list: None,
                }),
            };
            sender
                .send(&reply)
                .await
                .expect("the peer awaits the reply");
            sender.finish();
        }
    }
}

fn welcome_reply() -> WelcomeReply {
    WelcomeReply {
        incarnation: Incarnation(1),
        clock: celerycrank_types::TimePoint::default(),
        revision: Revision(1),
        offer: BackendOffer {
            backend: "backend-1".parse().expect("a valid id"),
            vm: "vm-1".parse().expect("a valid id"),
            domain: "borba".parse().expect("a valid id"),
            kind: OfferKind::Entry,
        },
        load: LoadReport::default(),
    }
}

fn make_keys() -> LinkKeys {
    let directory = std::env::temp_dir().join(format!("celerycrank-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the temporary directory is writable");
    let authority = DeploymentAuthority::generate().expect("keys can be generated");
    let issued = authority.issue("probe").expect("keys can be generated");
    let write = |name: &str, text: &str| {
        let path = directory.join(name);
        std::fs::write(&path, text).expect("the temporary directory is writable");
        path
    };
    let keys = LinkKeys::load(
        &write("authority.pem", &authority.certificate()),
        &write("probe.pem", &issued.certificate),
        &write("probe.key", &issued.key),
    );
    std::fs::remove_dir_all(&directory).expect("the temporary directory is writable");
    keys.expect("the issued keys are valid")
}
