//! No process ends an answer that its backend server still gives and its caller still reads.

mod support;

use std::{io::Read, thread, time::Duration};

use serde_json::json;
use socket2::SockRef;

use support::{
    backend::HEAVY_ANSWER,
    caller::{BodyEnd, Caller, KEY, call},
    deployment::Deployment,
    process::RunningProcess,
};

/// Time for which a process is frozen, longer than an entry waits for a message from an agent.
const LONG_FREEZE: Duration = Duration::from_secs(4);

/// Time for which an agent is frozen, longer than the idle timeout of its backend server.
const SHORT_FREEZE: Duration = Duration::from_millis(1_500);

/// Number of streams during a freeze.
const STREAMS: usize = 8;

/// Size in bytes of the receive buffer of a slow caller.
const SLOW_CALLER_BUFFER: usize = 64 << 10;

/// Number of bytes that a slow caller reads at once.
const SLOW_READ_SIZE: usize = 32 << 10;

/// Pause of a slow caller before each read.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a caller reads nothing, longer than a link without messages stays open.
const CALLER_PAUSE: Duration = Duration::from_secs(14);

/// Pause of a slow caller between the parts of its body.
const UPLOAD_PAUSE: Duration = Duration::from_millis(100);

fn patient() -> serde_json::Value {
    json!({ "idle_timeout": "1h" })
}

fn freeze(process: &RunningProcess, time: Duration) {
    process.signal(libc::SIGSTOP);
    thread::sleep(time);
    process.signal(libc::SIGCONT);
}

/// Opens streams and reads their heads.
fn open_streams(deployment: &Deployment, path: &str) -> Vec<Caller> {
    let callers = (0..STREAMS).map(|_| {
        let mut caller = Caller::connect(deployment.entry.listen);
        caller.send_request("GET", path, Some(KEY), "");
        caller
    });
    callers.collect()
}

/// Counts the streams that end as complete.
fn complete_streams(callers: &mut [Caller]) -> usize {
    let answers = callers.iter_mut().map(Caller::read_answer);
    answers
        .filter(|answer| {
            answer.end == BodyEnd::Complete && answer.body.ends_with("data: [DONE]\n\n")
        })
        .count()
}

#[test]
fn answer_that_ends_with_its_connection_arrives_whole() {
    let deployment = Deployment::start();
    let answer = call(
        deployment.entry.listen,
        "GET",
        "/svc/until-close",
        Some(KEY),
        "",
    );
    assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
    assert_eq!(answer.end, BodyEnd::Complete);
}

#[test]
fn length_of_an_answer_without_a_body_ends_no_answer() {
    let deployment = Deployment::start();
    let mut caller = Caller::connect(deployment.entry.listen);
    caller.send_request("HEAD", "/svc/length-only", Some(KEY), "");
    let head = caller.read_head();
    assert_eq!(
        (head.status, head.field("content-length")),
        (200, Some("10"))
    );
    caller.send_request("GET", "/svc/next", Some(KEY), "");
    assert_eq!(caller.read_answer().body, "ok:");
}

#[test]
fn interim_answer_does_not_end_the_answer() {
    let deployment = Deployment::start();
    let answer = call(
        deployment.entry.listen,
        "GET",
        "/svc/early-hints",
        Some(KEY),
        "",
    );
    assert_eq!((answer.status, answer.body.as_str()), (200, "hinted"));
}

#[test]
fn silence_before_and_within_an_answer_ends_nothing() {
    let deployment = Deployment::start_with(&json!({}), &patient());
    let listen = deployment.entry.listen;
    let late = thread::spawn(move || call(listen, "GET", "/svc/late-head", Some(KEY), ""));
    let pausing = call(listen, "GET", "/svc/pausing", Some(KEY), "");
    assert_eq!((pausing.status, pausing.end), (200, BodyEnd::Complete));
    let late = late.join().expect("the caller does not panic");
    assert_eq!((late.status, late.body.as_str()), (200, "late"));
}

#[test]
fn frozen_entry_keeps_its_streams() {
    let deployment = Deployment::start_with(&json!({}), &patient());
    let mut callers = open_streams(&deployment, "/svc/completions");
    deployment
        .agent
        .wait_metric("celerycrank_agent_started_total", STREAMS as u64);
    freeze(&deployment.entry, LONG_FREEZE);
    assert_eq!(complete_streams(&mut callers), STREAMS);
}

#[test]
fn agent_frozen_for_longer_than_the_idle_timeout_keeps_its_streams() {
    let deployment = Deployment::start();
    let mut callers = open_streams(&deployment, "/svc/completions");
    deployment
        .agent
        .wait_metric("celerycrank_agent_started_total", STREAMS as u64);
    freeze(&deployment.agent, SHORT_FREEZE);
    assert_eq!(complete_streams(&mut callers), STREAMS);
}

#[test]
fn agent_frozen_for_longer_than_the_link_timeout_keeps_its_streams() {
    let deployment = Deployment::start_with(&json!({}), &patient());
    let mut callers = open_streams(&deployment, "/svc/completions");
    deployment
        .agent
        .wait_metric("celerycrank_agent_started_total", STREAMS as u64);
    freeze(&deployment.agent, LONG_FREEZE);
    assert_eq!(complete_streams(&mut callers), STREAMS);
}

#[test]
fn agent_frozen_before_the_head_keeps_its_answers() {
    let deployment = Deployment::start_with(&json!({}), &patient());
    let listen = deployment.entry.listen;
    let late = thread::spawn(move || call(listen, "GET", "/svc/late-head", Some(KEY), ""));
    deployment.backend.wait_received("/svc/late-head");
    freeze(&deployment.agent, LONG_FREEZE);
    let late = late.join().expect("the caller does not panic");
    assert_eq!((late.status, late.body.as_str()), (200, "late"));
}

/// Reads the body of the heavy answer slowly and returns the number of bytes that arrived.
fn read_slowly(caller: &mut Caller) -> usize {
    let head = caller.read_head();
    assert_eq!(head.status, 200);
    let mut buffer = vec![0; SLOW_READ_SIZE];
    let mut total = caller.take_buffered();
    while total < HEAVY_ANSWER {
        thread::sleep(SLOW_READ_PAUSE);
        match caller.stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(read) => total += read,
        }
    }
    total
}

fn slow_caller(deployment: &Deployment) -> Caller {
    let mut caller = Caller::connect(deployment.entry.listen);
    SockRef::from(&caller.stream)
        .set_recv_buffer_size(SLOW_CALLER_BUFFER)
        .expect("the size is allowed");
    caller.send_request("GET", "/svc/heavy", Some(KEY), "");
    caller
}

#[test]
fn caller_that_reads_slowly_gets_its_whole_answer() {
    let deployment = Deployment::start_with(&json!({ "write_timeout": "2s" }), &json!({}));
    let mut caller = slow_caller(&deployment);
    assert_eq!(read_slowly(&mut caller), HEAVY_ANSWER);
}

#[test]
fn caller_that_pauses_for_longer_than_an_idle_link_lasts_gets_its_whole_answer() {
    let deployment = Deployment::start_with(&json!({}), &json!({}));
    let mut caller = slow_caller(&deployment);
    deployment
        .agent
        .wait_metric("celerycrank_agent_started_total", 1);
    thread::sleep(CALLER_PAUSE);
    assert_eq!(read_slowly(&mut caller), HEAVY_ANSWER);
}

#[test]
fn stops_of_entry_and_agent_leave_the_answer_of_a_slow_caller_whole() {
    let mut deployment = Deployment::start_with(&json!({}), &json!({}));
    let mut caller = slow_caller(&deployment);
    deployment
        .agent
        .wait_metric("celerycrank_agent_started_total", 1);
    deployment.agent.signal(libc::SIGTERM);
    deployment.entry.signal(libc::SIGTERM);
    assert_eq!(read_slowly(&mut caller), HEAVY_ANSWER);
    assert!(deployment.agent.wait_end() && deployment.entry.wait_end());
}

#[test]
fn stops_of_entry_and_agent_leave_a_silent_stream_whole() {
    let mut deployment = Deployment::start_with(&json!({}), &patient());
    let mut caller = Caller::connect(deployment.entry.listen);
    caller.send_request("GET", "/svc/pausing", Some(KEY), "");
    let mut answer = caller.read_head();
    deployment.agent.signal(libc::SIGTERM);
    deployment.entry.signal(libc::SIGTERM);
    caller.read_body(&mut answer);
    assert_eq!((answer.status, answer.end), (200, BodyEnd::Complete));
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    assert!(deployment.agent.wait_end() && deployment.entry.wait_end());
}

#[test]
fn stop_of_the_entry_leaves_a_slow_upload_whole() {
    let mut deployment = Deployment::start();
    let mut caller = Caller::connect(deployment.entry.listen);
    let body = "0123456789";
    let head = format!(
        "POST /svc/x HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    assert!(caller.send(head.as_bytes()));
    deployment
        .entry
        .wait_metric("celerycrank_entry_requests_total", 1);
    deployment.entry.signal(libc::SIGTERM);
    deployment.entry.wait_line("entry is leaving");
    for byte in body.as_bytes() {
        thread::sleep(UPLOAD_PAUSE);
        assert!(caller.send(&[*byte]));
    }
    let answer = caller.read_answer();
    assert_eq!((answer.status, answer.body), (200, format!("ok:{body}")));
    assert!(deployment.entry.wait_end());
}

#[test]
fn stop_of_the_agent_leaves_its_queue_whole() {
    let change = json!({ "concurrency": 1, "queue": 8, "idle_timeout": "1h" });
    let mut deployment = Deployment::start_with(&json!({}), &change);
    let listen = deployment.entry.listen;
    let waiting = (0..STREAMS)
        .map(|_| thread::spawn(move || call(listen, "GET", "/svc/slow", Some(KEY), "")));
    let waiting = waiting.collect::<Vec<_>>();
    support::wait_until("the requests wait", || {
        let status = call(deployment.agent.admin, "GET", "/status", None, "").body;
        let status = serde_json::from_str::<serde_json::Value>(&status).expect("a status");
        status["queued"] == json!(STREAMS - 1)
    });
    deployment.agent.signal(libc::SIGTERM);
    for answer in waiting {
        let answer = answer.join().expect("the caller does not panic");
        assert_eq!((answer.status, answer.body.as_str()), (200, "slow"));
    }
    assert!(deployment.agent.wait_end());
}

#[test]
fn backend_server_that_reads_slowly_gives_its_answer() {
    const BODY_BYTES: usize = 16 << 20;
    let deployment = Deployment::start_with(&json!({ "body": "32MiB" }), &json!({}));
    let body = "b".repeat(BODY_BYTES);
    let answer = call(
        deployment.entry.listen,
        "POST",
        "/svc/slow-reader",
        Some(KEY),
        &body,
    );
    assert_eq!((answer.status, answer.end), (200, BodyEnd::Complete));
    assert_eq!(answer.body.len(), "ok:".len() + BODY_BYTES);
}
