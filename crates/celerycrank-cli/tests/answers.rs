//! Requests that are answered, and requests that the entry refuses by itself.

mod support;

use serde_json::json;

use support::{
    backend::{BackendEvent, FakeBackend},
    caller::{BodyEnd, Caller, KEY, call},
    deployment::{Deployment, DeploymentFiles},
};

const CHAT: &str = r#"{"model":"granite","stream":true,"messages":[]}"#;

#[test]
fn service_call_is_answered() {
    let deployment = Deployment::start();
    let answer = call(
        deployment.entry.listen,
        "POST",
        "/svc/bids",
        Some(KEY),
        "lot 7",
    );
    assert_eq!((answer.status, answer.end), (200, BodyEnd::Complete));
    assert_eq!(answer.body, "ok:lot 7");
    assert_eq!(answer.outcome(), None);
}

#[test]
fn streamed_answer_arrives_complete_and_in_order() {
    let files = DeploymentFiles::make();
    let backend = support::backend::FakeBackend::start();
    let agent = files.start_agent("agent", "engine", backend.address, &json!({}));
    let entry = files.start_entry(&[agent.listen], &json!({}));
    entry.wait_ready();
    let answer = call(
        entry.listen,
        "POST",
        "/v1/chat/completions",
        Some(KEY),
        CHAT,
    );
    let events = (0..200).map(|index| format!("data: {index}\n\n"));
    let expected = events.collect::<String>() + "data: [DONE]\n\n";
    assert_eq!((answer.status, answer.end), (200, BodyEnd::Complete));
    assert_eq!(answer.body, expected);
    assert_eq!(answer.field("content-type"), Some("text/event-stream"));
    assert_eq!(
        entry.metric("celerycrank_entry_first_token_seconds_count"),
        1
    );
}

#[test]
fn api_key_is_not_forwarded() {
    let deployment = Deployment::start();
    let answer = call(deployment.entry.listen, "GET", "/svc/fields", Some(KEY), "");
    assert!(!answer.body.contains(KEY), "{}", answer.body);
    assert!(answer.body.contains("x-request-id: "), "{}", answer.body);
}

#[test]
fn unknown_key_and_uses_outside_the_plan_are_refused() {
    let deployment = Deployment::start();
    let entry = &deployment.entry;
    let unknown = call(entry.listen, "GET", "/svc/x", Some("nobody's"), "");
    assert_eq!(
        (unknown.status, unknown.reason()),
        (401, Some("unknown_key"))
    );
    assert_eq!(unknown.outcome(), Some("not-run"));
    let missing = call(entry.listen, "GET", "/svc/x", None, "");
    assert_eq!(missing.status, 401);
    let outside = call(entry.listen, "GET", "/ledger", Some(KEY), "");
    assert_eq!(
        (outside.status, outside.reason()),
        (403, Some("outside_plan"))
    );
    let model = r#"{"model":"basalt"}"#;
    let other = call(
        entry.listen,
        "POST",
        "/v1/chat/completions",
        Some(KEY),
        model,
    );
    assert_eq!(other.status, 403);
    assert_eq!(
        entry.metric("celerycrank_entry_refusals_total{reason=\"unknown_key\"}"),
        2
    );
    assert_eq!(
        entry.metric("celerycrank_entry_refusals_total{reason=\"outside_plan\"}"),
        2
    );
    assert_eq!(deployment.backend.events(), []);
}

#[test]
fn model_without_backend_is_refused_with_retry_after() {
    let deployment = Deployment::start();
    let entry = &deployment.entry;
    let answer = call(
        entry.listen,
        "POST",
        "/v1/chat/completions",
        Some(KEY),
        CHAT,
    );
    assert_eq!((answer.status, answer.reason()), (503, Some("no_backend")));
    assert_eq!(answer.field("retry-after"), Some("1"));
}

#[test]
fn truncated_body_reaches_no_backend() {
    let deployment = Deployment::start();
    let entry = &deployment.entry;
    let mut caller = Caller::connect(entry.listen);
    let head = format!(
        "POST /svc/x HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 9\r\n\r\n"
    );
    assert!(caller.send(head.as_bytes()) && caller.send(b"half"));
    caller
        .stream
        .shutdown(std::net::Shutdown::Write)
        .expect("the socket is open");
    entry.wait_metric(
        "celerycrank_entry_refusals_total{reason=\"bad_request\"}",
        1,
    );
    assert_eq!(deployment.backend.events(), []);
}

#[test]
fn large_header_is_refused_and_counted() {
    let deployment = Deployment::start();
    let entry = &deployment.entry;
    for bytes in [70 << 10, 1 << 20] {
        let mut caller = Caller::connect(entry.listen);
        let head = format!(
            "GET /svc/x HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {KEY}\r\nX-Large: {}\r\n\r\n",
            "a".repeat(bytes)
        );
        // The send may fail: the entry answers before it has read a head of a megabyte.
        caller.send(head.as_bytes());
        assert_eq!(caller.read_head().status, 431);
    }
    entry.wait_metric(
        "celerycrank_entry_refusals_total{reason=\"header_too_large\"}",
        2,
    );
    assert_eq!(deployment.backend.events(), []);
}

#[test]
fn body_above_the_limit_is_refused() {
    let deployment = Deployment::start_with(&json!({ "body": "1KiB" }), &json!({}));
    let entry = &deployment.entry;
    let body = "b".repeat(2 << 10);
    let answer = call(entry.listen, "POST", "/svc/x", Some(KEY), &body);
    assert_eq!(
        (answer.status, answer.reason()),
        (413, Some("body_too_large"))
    );
    assert_eq!(answer.outcome(), Some("not-run"));
    assert_eq!(deployment.backend.events(), []);
}

#[test]
fn malformed_request_is_refused_and_counted() {
    let deployment = Deployment::start();
    let entry = &deployment.entry;
    let mut caller = Caller::connect(entry.listen);
    assert!(caller.send(b"\x16\x03\x01 no HTTP at all\r\n\r\n"));
    assert_eq!(caller.read_head().status, 400);
    let chat = call(entry.listen, "POST", "/v1/chat/completions", Some(KEY), "{");
    assert_eq!((chat.status, chat.reason()), (400, Some("bad_request")));
    entry.wait_metric(
        "celerycrank_entry_refusals_total{reason=\"bad_request\"}",
        2,
    );
}

#[test]
fn slow_callers_are_refused_and_counted() {
    let limits = json!({ "header_timeout": "1s", "body_timeout": "1s" });
    let deployment = Deployment::start_with(&limits, &json!({}));
    let entry = &deployment.entry;
    let mut head = Caller::connect(entry.listen);
    assert!(head.send(b"GET /svc/x HTTP/1.1\r\n"));
    assert_eq!(head.read_head().status, 408);
    let mut body = Caller::connect(entry.listen);
    let text = format!(
        "POST /svc/x HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 9\r\n\r\n"
    );
    assert!(body.send(text.as_bytes()));
    let answer = body.read_answer();
    assert_eq!(
        (answer.status, answer.reason()),
        (408, Some("caller_too_slow"))
    );
    entry.wait_metric(
        "celerycrank_entry_refusals_total{reason=\"caller_too_slow\"}",
        2,
    );
    assert_eq!(deployment.backend.events(), []);
}

#[test]
fn connections_above_the_limit_are_refused() {
    let deployment = Deployment::start_with(&json!({ "connections": 2 }), &json!({}));
    let entry = &deployment.entry;
    let open = [Caller::connect(entry.listen), Caller::connect(entry.listen)];
    let mut caller = Caller::connect(entry.listen);
    let answer = caller.read_answer();
    assert_eq!(
        (answer.status, answer.reason()),
        (503, Some("too_many_connections"))
    );
    drop(open);
    support::wait_until("a connection is free", || {
        let mut caller = Caller::connect(entry.listen);
        caller.send_request("GET", "/svc/x", Some(KEY), "");
        caller.read_head().status == 200
    });
}

#[test]
fn caller_that_never_reads_is_disconnected_and_its_request_cancelled() {
    let deployment = Deployment::start_with(&json!({ "write_timeout": "300ms" }), &json!({}));
    let mut caller = Caller::connect(deployment.entry.listen);
    caller.send_request("GET", "/svc/large", Some(KEY), "");
    deployment.backend.wait_for(&BackendEvent::Cancelled);
    deployment
        .entry
        .wait_metric("celerycrank_entry_answers_unread_total", 1);
}

#[test]
fn caller_that_disconnects_cancels_its_request() {
    let deployment = Deployment::start();
    let mut caller = Caller::connect(deployment.entry.listen);
    caller.send_request("GET", "/svc/endless", Some(KEY), "");
    assert_eq!(caller.read_head().status, 200);
    assert!(caller.read_chunk().is_some());
    drop(caller);
    deployment.backend.wait_for(&BackendEvent::Cancelled);
    deployment
        .agent
        .wait_metric("celerycrank_agent_cancelled_total", 1);
    deployment
        .entry
        .wait_metric("celerycrank_entry_callers_left_total", 1);
}

#[test]
fn caller_that_disconnects_before_the_answer_cancels_its_request() {
    let deployment = Deployment::start_with(&json!({}), &json!({ "idle_timeout": "1h" }));
    let mut caller = Caller::connect(deployment.entry.listen);
    caller.send_request("GET", "/svc/mute", Some(KEY), "");
    deployment.backend.wait_received("/svc/mute");
    drop(caller);
    deployment.backend.wait_for(&BackendEvent::Cancelled);
}

#[test]
fn prompts_with_a_common_prefix_go_to_one_engine() {
    const PROMPTS: usize = 8;
    let files = DeploymentFiles::make();
    let backends = [FakeBackend::start(), FakeBackend::start()];
    let agents = ["engine-1", "engine-2"];
    let agents = [0, 1].map(|index| {
        files.start_agent(agents[index], "engine", backends[index].address, &json!({}))
    });
    let entry = files.start_entry(&[agents[0].listen, agents[1].listen], &json!({}));
    entry.wait_ready();
    support::wait_until("both agents are known", || {
        let status = call(entry.admin, "GET", "/status", None, "").body;
        status.matches("\"backend\":").count() == 2
    });
    let lot = "marble of Estremoz ".repeat(200);
    for question in 0..PROMPTS {
        let prompt = format!(r#"{{"model":"granite","messages":["{lot}","{question}"]}}"#);
        let mut caller = Caller::connect(entry.listen);
        caller.send_request("POST", "/v1/chat/completions", Some(KEY), &prompt);
        assert_eq!(caller.read_head().status, 200);
    }
    let received = backends.map(|backend| backend.received("/v1/chat/completions"));
    assert!(received.contains(&PROMPTS), "{received:?}");
}
