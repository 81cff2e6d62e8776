//! The pool makes one connection attempt at a time per peer and shares its failure.

use std::{
    net::{SocketAddr, UdpSocket},
    path::Path,
    rc::Rc,
    sync::atomic::{AtomicU32, Ordering},
};

use celerycrank_link::{DeploymentAuthority, LinkCredentials, LinkEndpoint, LinkPool};
use celerycrank_types::{ByteSize, Revision};
use tokio::sync::oneshot;

const VERSION: u8 = 1;

const LIMIT: ByteSize = ByteSize(1 << 20);

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
