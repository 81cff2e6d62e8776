//! Failures of backend servers, agents and links: every caller gets the true outcome.

mod support;

use celerycrank_link::LinkError;
use celerycrank_wire::{PROTOCOL_VERSION, PeerReply};
use serde_json::json;

use support::{
    backend::{BackendEvent, FakeBackend},
    caller::{Answer, BodyEnd, Caller, KEY, call},
    closed::ClosedPort,
    deployment::{Deployment, DeploymentFiles},
};

/// Size in bytes of a request that the sockets between an agent and its backend server do not hold.
const HUGE_REQUEST: usize = 16 << 20;

#[test]
fn garbage_answer_is_reported_as_unknown() {
    let deployment = Deployment::start();
    let entry = &deployment.entry;
    let answer = call(entry.listen, "GET", "/svc/garbage", Some(KEY), "");
    assert_eq!((answer.status, answer.outcome()), (502, Some("unknown")));
    assert_eq!(answer.reason(), Some("bad_answer"));
    assert_eq!(deployment.backend.received("/svc/garbage"), 1);
}

fn assert_reported_as_unknown(paths: &[&str]) {
    let deployment = Deployment::start();
    for path in paths {
        let answer = call(deployment.entry.listen, "GET", path, Some(KEY), "");
        assert_eq!(
            (answer.status, answer.reason()),
            (502, Some("bad_answer")),
            "{path}: {answer:?}"
        );
        assert_eq!(deployment.backend.received(path), 1);
    }
}

#[test]
fn answer_with_an_invalid_status_is_reported_as_unknown() {
    assert_reported_as_unknown(&["/svc/status-000", "/svc/status-600"]);
}

#[test]
fn answer_with_a_malformed_field_name_is_reported_as_unknown() {
    assert_reported_as_unknown(&[
        "/svc/name-with-blank",
        "/svc/name-before-blank",
        "/svc/name-with-control-byte",
    ]);
}

#[test]
fn answer_with_another_id_is_never_forwarded() {
    let deployment = Deployment::start();
    let answer = call(
        deployment.entry.listen,
        "GET",
        "/svc/other-id",
        Some(KEY),
        "",
    );
    assert_eq!((answer.status, answer.reason()), (502, Some("bad_answer")));
    assert!(!answer.body.contains("other!"), "{}", answer.body);
}

#[test]
fn connection_closed_within_the_head_is_reported_as_unknown() {
    let deployment = Deployment::start();
    let answer = call(
        deployment.entry.listen,
        "GET",
        "/svc/cut-head",
        Some(KEY),
        "",
    );
    assert_eq!(
        (answer.status, answer.reason()),
        (502, Some("backend_broke"))
    );
    assert_eq!(deployment.backend.received("/svc/cut-head"), 1);
}

#[test]
fn truncated_answers_are_marked() {
    let deployment = Deployment::start();
    let entry = &deployment.entry;
    for path in ["/svc/cut-length", "/svc/cut-chunked"] {
        let answer = call(entry.listen, "GET", path, Some(KEY), "");
        assert_eq!(
            (answer.status, answer.end),
            (200, BodyEnd::Truncated),
            "{path}"
        );
        assert_eq!(deployment.backend.received(path), 1);
    }
    entry.wait_metric(
        "celerycrank_entry_unknown_total{reason=\"backend_broke\"}",
        2,
    );
}

/// Sends a request that the sockets do not hold, and whose body the backend server does not read.
fn upload(deployment: &Deployment, path: &str) -> Answer {
    let body = "b".repeat(HUGE_REQUEST);
    let listen = deployment.entry.listen;
    call(listen, "POST", path, Some(KEY), &body)
}

fn start_with_huge_bodies() -> Deployment {
    Deployment::start_with(&json!({ "body": "32MiB" }), &json!({}))
}

#[test]
fn answer_without_a_length_that_is_reset_during_the_upload_is_marked() {
    let deployment = start_with_huge_bodies();
    let answer = upload(&deployment, "/svc/unread-reset");
    assert_eq!(answer.end, BodyEnd::Truncated, "{answer:?}");
    assert_eq!(deployment.backend.received("/svc/unread-reset"), 1);
    deployment.entry.wait_metric(
        "celerycrank_entry_unknown_total{reason=\"backend_broke\"}",
        1,
    );
}

#[test]
fn whole_answer_to_an_upload_that_is_not_read_arrives() {
    let deployment = start_with_huge_bodies();
    for path in ["/svc/unread-length", "/svc/unread-closed"] {
        let answer = upload(&deployment, path);
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, "a part"),
            "{path}"
        );
        assert_eq!(answer.end, BodyEnd::Complete, "{path}");
        assert_eq!(deployment.backend.received(path), 1);
    }
}

#[test]
fn stalled_answer_is_reported_as_unknown_and_cancelled() {
    let deployment = Deployment::start();
    let entry = &deployment.entry;
    let silent = call(entry.listen, "GET", "/svc/silent", Some(KEY), "");
    assert_eq!(
        (silent.status, silent.reason()),
        (502, Some("backend_timeout"))
    );
    let mute = call(entry.listen, "GET", "/svc/mute", Some(KEY), "");
    assert_eq!((mute.status, mute.reason()), (502, Some("backend_timeout")));
    entry.wait_metric(
        "celerycrank_entry_unknown_total{reason=\"backend_timeout\"}",
        2,
    );
    support::wait_until("both are cancelled", || {
        let events = deployment.backend.events();
        let cancels = events
            .iter()
            .filter(|event| **event == BackendEvent::Cancelled);
        cancels.count() == 2
    });
}

#[test]
fn connection_with_an_unread_answer_is_not_reused() {
    let deployment = Deployment::start();
    let entry = &deployment.entry;
    for _ in 0..3 {
        let mut caller = Caller::connect(entry.listen);
        caller.send_request("GET", "/svc/endless", Some(KEY), "");
        assert_eq!(caller.read_head().status, 200);
        drop(caller);
        let whole = call(entry.listen, "GET", "/svc/next", Some(KEY), "");
        assert_eq!((whole.status, whole.body.as_str()), (200, "ok:"));
    }
}

#[test]
fn unreachable_backend_is_reported_as_not_run() {
    let files = DeploymentFiles::make();
    let closed = ClosedPort::bind();
    let agent = files.start_agent("agent", "service", closed.address, &json!({}));
    let entry = files.start_entry(&[agent.listen], &json!({}));
    entry.wait_ready();
    let answer = call(entry.listen, "GET", "/svc/x", Some(KEY), "");
    assert_eq!((answer.status, answer.outcome()), (503, Some("not-run")));
    assert_eq!(answer.reason(), Some("backend_unreachable"));
}

#[test]
fn agent_of_another_deployment_gets_no_request() {
    let files = DeploymentFiles::make();
    files.write_keys("other-");
    let backend = FakeBackend::start();
    let agent =
        files.start_agent_with_keys("agent", "service", backend.address, &json!({}), "other-");
    let entry = files.start_entry(&[agent.listen], &json!({}));
    entry.wait_ready();
    let answer = call(entry.listen, "GET", "/svc/x", Some(KEY), "");
    assert_eq!((answer.status, answer.outcome()), (503, Some("not-run")));
    agent.wait_metric("celerycrank_agent_handshake_faults_total", 1);
    assert_eq!(backend.events(), []);
}

#[test]
fn peer_of_another_version_is_refused_and_counted() {
    let deployment = Deployment::start();
    let error = deployment
        .files
        .with_link(PROTOCOL_VERSION + 1, |endpoint| {
            let address = deployment.agent.listen;
            async move { endpoint.connect(address).await.err() }
        });
    assert!(
        matches!(error, Some(LinkError::ProtocolVersion)),
        "{error:?}"
    );
    deployment
        .agent
        .wait_metric("celerycrank_agent_handshake_faults_total", 1);
}

#[test]
fn malformed_frame_is_refused_and_counted() {
    let deployment = Deployment::start();
    let reply = deployment.files.with_link(PROTOCOL_VERSION, |endpoint| {
        let address = deployment.agent.listen;
        async move {
            let connection = endpoint.connect(address).await.expect("the agent listens");
            let streams = endpoint.open_stream(&connection).await;
            let (mut sender, mut receiver) = streams.expect("the link is up");
            sender.send(&u64::MAX).await.expect("the link is up");
            receiver.receive::<PeerReply>().await
        }
    });
    assert!(reply.is_err(), "{reply:?}");
    deployment
        .agent
        .wait_metric("celerycrank_agent_wire_faults_total", 1);
    assert_eq!(deployment.backend.events(), []);
}

#[test]
fn killed_agent_leaves_its_requests_marked_unknown() {
    let mut deployment = Deployment::start_with(&json!({}), &json!({ "idle_timeout": "1h" }));
    let listen = deployment.entry.listen;
    let mut streaming = Caller::connect(listen);
    streaming.send_request("GET", "/svc/endless", Some(KEY), "");
    let mut streamed = streaming.read_head();
    let mut waiting = Caller::connect(listen);
    waiting.send_request("GET", "/svc/mute", Some(KEY), "");
    deployment.backend.wait_received("/svc/mute");
    deployment.agent.kill();
    streaming.read_body(&mut streamed);
    assert_eq!(streamed.end, BodyEnd::Truncated);
    assert!(streamed.body.contains("\"outcome\":\"unknown\""));
    let answer = waiting.read_answer();
    assert_eq!((answer.status, answer.outcome()), (502, Some("unknown")));
    assert_eq!(deployment.backend.received("/svc/mute"), 1);
}

#[test]
fn frozen_agent_leaves_its_request_unknown_and_starts_nothing_later() {
    let deployment = Deployment::start_with(&json!({}), &json!({ "idle_timeout": "1h" }));
    let entry = &deployment.entry;
    assert_eq!(
        call(entry.listen, "GET", "/svc/a", Some(KEY), "").status,
        200
    );
    deployment.agent.signal(libc::SIGSTOP);
    let answer = call(entry.listen, "GET", "/svc/late", Some(KEY), "");
    // The frozen agent may still read the order from its socket when it resumes.
    assert_eq!((answer.status, answer.outcome()), (502, Some("unknown")));
    let again = call(entry.listen, "GET", "/svc/later", Some(KEY), "");
    assert_eq!(again.outcome(), Some("not-run"));
    deployment.agent.signal(libc::SIGCONT);
    support::wait_until("the agent serves again", || {
        call(entry.listen, "GET", "/svc/b", Some(KEY), "").status == 200
    });
    assert_eq!(deployment.backend.received("/svc/later"), 0);
}

#[test]
fn refused_attempt_is_retried_on_another_agent() {
    let files = DeploymentFiles::make();
    let closed = ClosedPort::bind();
    let backend = FakeBackend::start();
    let first = files.start_agent("agent-1", "service", closed.address, &json!({}));
    let second = files.start_agent("agent-2", "service", backend.address, &json!({}));
    let entry = files.start_entry(&[first.listen, second.listen], &json!({}));
    entry.wait_ready();
    support::wait_until("both agents are known", || {
        call(entry.admin, "GET", "/status", None, "")
            .body
            .matches("\"backend\":")
            .count()
            == 2
    });
    for index in 0..20 {
        let body = index.to_string();
        let answer = call(entry.listen, "POST", "/svc/x", Some(KEY), &body);
        assert_eq!(answer.body, format!("ok:{index}"));
    }
    assert_eq!(backend.received("/svc/x"), 20);
    entry.wait_metric("celerycrank_entry_retries_total{reason=\"refused\"}", 1);
}
