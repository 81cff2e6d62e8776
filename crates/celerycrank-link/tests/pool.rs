//! The pool: one attempt at a time for each peer, and its failure shared.

use std::{
    net::{SocketAddr, UdpSocket},
    path::Path,
    rc::Rc,
    sync::atomic::{AtomicU32, Ordering},
};

use celerycrank_link::{DeploymentAuthority, LinkEndpoint, LinkKeys, LinkPool};
use celerycrank_types::{ByteSize, Revision};
use tokio::sync::oneshot;

const VERSION: u8 = 1;

const LIMIT: ByteSize = ByteSize(1 << 20);

/// Requests that ask for the silent peer at the same time.
const WAITERS: usize = 40;

static FILE_COUNT: AtomicU32 = AtomicU32::new(0);

fn make_keys() -> LinkKeys {
    let count = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("link-{}-{count}", std::process::id());
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("the directory is ours");
    let authority = DeploymentAuthority::generate().expect("random numbers");
    let issued = authority.issue("trial").expect("random numbers");
    let write = |name: &str, text: &str| {
        let path = directory.join(name);
        std::fs::write(&path, text).expect("the directory is ours");
        path
    };
    let keys = LinkKeys::load(
        &write("authority.pem", &authority.certificate()),
        &write("trial.pem", &issued.certificate),
        &write("trial.key", &issued.key),
    );
    std::fs::remove_dir_all(&directory).expect("the directory is ours");
    keys.expect("the keys were written")
}

/// A request that comes while an attempt is under way waits for that attempt only.
#[actix_rt::test]
async fn waiters_share_the_failure_of_one_attempt() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    // A socket that is never read is a peer that is silent.
    let silent = UdpSocket::bind(any).expect("a port is free");
    let address = silent.local_addr().expect("it is bound");
    let endpoint = LinkEndpoint::bind(any, &make_keys(), VERSION, LIMIT).expect("a port is free");
    let entry = "entry-1".parse().expect("an id");
    let pool = Rc::new(LinkPool::new(endpoint, entry));
    let waiting = (0..WAITERS).map(|_| {
        let pool = Rc::clone(&pool);
        let (sender, failed) = oneshot::channel();
        actix_rt::spawn(async move {
            let failure = pool.connect(address, Revision(1)).await.err();
            // The test waits for every one.
            let _ = sender.send(failure.is_some());
        });
        failed
    });
    for failed in waiting.collect::<Vec<_>>() {
        assert!(failed.await.expect("the task ends"));
    }
    assert_eq!(pool.attempts(), 1);
}
