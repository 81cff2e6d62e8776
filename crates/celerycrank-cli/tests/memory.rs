//! The memory of the product's own entry under callers that exceed the limits.

mod support;

use serde_json::json;

use support::{
    caller::{Caller, KEY, call},
    deployment::Deployment,
};

// Guards against bodies that are collected without a common bound until the memory is used up.
#[test]
fn many_bodies_that_stop_short_do_not_use_up_the_memory() {
    const CALLERS: usize = 60;
    const LENGTH: usize = 4 << 20;
    const MAX_PEAK_KIB: u64 = 128 << 10;
    let deployment = Deployment::start_with(&json!({ "memory": "128MiB" }), &json!({}));
    let entry = &deployment.entry;
    let head = format!(
        "POST /svc/x HTTP/1.1\r\nHost: trial\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {LENGTH}\r\n\r\n"
    );
    let body = vec![b'x'; LENGTH - 1];
    let callers = (0..CALLERS).map(|_| {
        let mut caller = Caller::connect(entry.listen);
        // The entry may refuse the request before it has read all of it.
        let _ = caller.send(head.as_bytes()) && caller.send(&body);
        caller
    });
    let callers = callers.collect::<Vec<_>>();
    let answer = call(entry.listen, "POST", "/svc/bids", Some(KEY), "lot 7");
    assert_eq!(answer.status, 200);
    let peak = entry.peak_kib();
    println!("peak {peak} KiB");
    assert!(peak <= MAX_PEAK_KIB, "{peak} KiB");
    drop(callers);
}
