//! The pool makes one connection attempt at a time per peer, shares its failure, and closes
//! connections that are not in use.

use std::{
    net::{SocketAddr, UdpSocket},
    path::Path,
    rc::Rc,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use celerycrank_link::{
    DeploymentAuthority, LinkCredentials, LinkEndpoint, LinkPool, MessageReceiver, MessageSender,
    serve_streams,
};
use celerycrank_types::{ByteSize, Incarnation, Revision, TimePoint};
use celerycrank_wire::{BackendOffer, LoadReport, OfferKind, PeerOrder, PeerReply, WelcomeReply};
use tokio::sync::oneshot;

const VERSION: u8 = 1;

const LIMIT: ByteSize = ByteSize(1 << 20);

/// Interval at which a test checks whether a connection is closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Concurrent requests for a connection to the unresponsive peer.
const WAITERS: usize = 40;

static FILE_COUNT: AtomicU32 = AtomicU32::new(0);

fn make_credentials() -> LinkCredentials {
    let count = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("link-{}-{count}", std::process::id());
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("the test's directory is writable");
    let authority = DeploymentAuthority::generate().expect("the random number generator works");
    let issued = authority
        .issue("peer")
        .expect("the random number generator works");
    let write = |name: &str, text: &str| {
        let path = directory.join(name);
        std::fs::write(&path, text).expect("the test's directory is writable");
        path
    };
    let credentials = LinkCredentials::load(
        &write("authority.pem", &authority.certificate()),
        &write("peer.pem", &issued.certificate),
        &write("peer.key", &issued.key),
    );
    std::fs::remove_dir_all(&directory).expect("the test's directory is writable");
    credentials.expect("the credentials are readable")
}

/// A request that arrives while an attempt is in progress waits for that attempt only: the
/// pool must not retry once per waiting request.
#[actix_rt::test]
async fn waiters_share_the_failure_of_one_attempt() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    // A socket that is never read acts as an unresponsive peer.
    let unresponsive = UdpSocket::bind(any).expect("a port is free");
    let address = unresponsive.local_addr().expect("the socket is bound");
    let endpoint =
        LinkEndpoint::bind(any, &make_credentials(), VERSION, LIMIT).expect("a port is free");
    let entry = "entry-1".parse().expect("a valid id");
    let pool = Rc::new(LinkPool::new(endpoint, entry));
    let waiters = (0..WAITERS).map(|_| {
        let pool = Rc::clone(&pool);
        let (sender, has_failed) = oneshot::channel();
        actix_rt::spawn(async move {
            let failure = pool.connect(address, Revision(1)).await.err();
            // The test awaits every receiver, so this cannot fail.
            let _ = sender.send(failure.is_some());
        });
        has_failed
    });
    for has_failed in waiters.collect::<Vec<_>>() {
        assert!(has_failed.await.expect("the task ends"));
    }
    assert_eq!(pool.connection_attempts(), 1);
}

/// An answer may bring no message for longer than a connection without packets lasts.
#[actix_rt::test]
async fn connection_is_closed_only_when_it_is_not_in_use() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let credentials = make_credentials();
    let bind = || LinkEndpoint::bind(any, &credentials, VERSION, LIMIT).expect("a port is free");
    let peer = bind();
    let address = peer.local_address().expect("the endpoint is bound");
    actix_rt::spawn(serve_streams(peer, || {}, welcome));
    let new_pool = || LinkPool::new(bind(), "entry-1".parse().expect("a valid id"));
    let (used_pool, unused_pool) = (new_pool(), new_pool());
    let connect = async |pool: &LinkPool| pool.connect(address, Revision(1)).await;
    let used = connect(&used_pool).await.expect("the peer answers");
    // The temporary link is dropped, so that only the pool holds it.
    let unused = Rc::downgrade(&connect(&unused_pool).await.expect("the peer answers"));
    while unused.strong_count() > 0 {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
    }
    assert!(used.is_open(), "the link is in use");
}

async fn welcome(mut sender: MessageSender, mut receiver: MessageReceiver) {
    let order = receiver.receive::<PeerOrder<'_>>().await;
    assert!(matches!(order, Ok(Some(PeerOrder::Hello(_)))), "{order:?}");
    let welcome = WelcomeReply {
        incarnation: Incarnation(1),
        clock: TimePoint(0),
        revision: Revision(1),
        offer: BackendOffer {
            backend: "agent".parse().expect("a valid id"),
            vm: "vm-agent".parse().expect("a valid id"),
            domain: "borba".parse().expect("a valid id"),
            kind: OfferKind::Entry,
        },
        load: LoadReport::default(),
    };
    let sent = sender.send(&PeerReply::Welcome(welcome)).await;
    assert!(sent.is_ok(), "{sent:?}");
    sender.finish();
}
