//! Processes that are stopped by a signal finish their requests in flight.

mod support;

use serde_json::json;

use support::{
    backend::FakeBackend,
    caller::{BodyEnd, Caller, KEY, call},
    deployment::{Deployment, DeploymentFiles},
};

const CHAT: &str = r#"{"model":"granite","stream":true}"#;

#[test]
fn stopping_entry_reports_not_ready_and_finishes_its_streams() {
    let files = DeploymentFiles::make();
    let backend = FakeBackend::start();
    let agent = files.start_agent("agent", "engine", backend.address, &json!({}));
    let mut entry = files.start_entry(&[agent.listen], &json!({}));
    entry.wait_ready();
    let mut idle = Caller::connect(entry.listen);
    let mut caller = Caller::connect(entry.listen);
    caller.send_request("POST", "/v1/chat/completions", Some(KEY), CHAT);
    let mut answer = caller.read_head();
    assert_eq!(answer.status, 200);
    entry.signal(libc::SIGTERM);
    entry.wait_line("entry is leaving");
    assert_eq!(call(entry.admin, "GET", "/readyz", None, "").status, 503);
    assert_eq!(call(entry.admin, "GET", "/healthz", None, "").status, 200);
    // The balancer has not stopped sending yet: requests on its open connections are served.
    idle.send_request("POST", "/v1/chat/completions", Some(KEY), CHAT);
    assert_eq!(idle.read_answer().end, BodyEnd::Complete);
    caller.read_body(&mut answer);
    assert_eq!(answer.end, BodyEnd::Complete);
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    assert!(entry.wait_end(), "the entry exits successfully");
}

#[test]
fn stopping_agent_finishes_its_streams_and_refuses_new_requests() {
    let files = DeploymentFiles::make();
    let backend = FakeBackend::start();
    let mut agent = files.start_agent("agent", "engine", backend.address, &json!({}));
    let entry = files.start_entry(&[agent.listen], &json!({}));
    entry.wait_ready();
    let mut caller = Caller::connect(entry.listen);
    caller.send_request("POST", "/v1/chat/completions", Some(KEY), CHAT);
    let mut answer = caller.read_head();
    agent.signal(libc::SIGTERM);
    agent.wait_line("agent is leaving");
    let refused = call(
        entry.listen,
        "POST",
        "/v1/chat/completions",
        Some(KEY),
        CHAT,
    );
    assert_eq!((refused.status, refused.outcome()), (503, Some("not-run")));
    assert_eq!(refused.reason(), Some("backend_leaving"));
    assert!(agent.is_running(), "its stream is not finished");
    caller.read_body(&mut answer);
    assert_eq!(answer.end, BodyEnd::Complete);
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    assert!(agent.wait_end(), "the agent exits successfully");
    assert_eq!(backend.received("/v1/chat/completions"), 1);
}

#[test]
fn idle_processes_stop_immediately() {
    let mut deployment = Deployment::start();
    let answer = call(deployment.entry.listen, "GET", "/svc/x", Some(KEY), "");
    assert_eq!(answer.status, 200);
    deployment.agent.signal(libc::SIGTERM);
    deployment.entry.signal(libc::SIGTERM);
    assert!(deployment.agent.wait_end() && deployment.entry.wait_end());
}

#[test]
fn requests_go_to_another_agent_when_one_stops() {
    let files = DeploymentFiles::make();
    let backend = FakeBackend::start();
    let mut first = files.start_agent("agent-1", "service", backend.address, &json!({}));
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
    first.signal(libc::SIGTERM);
    for index in 0..40 {
        let body = index.to_string();
        let answer = call(entry.listen, "POST", "/svc/x", Some(KEY), &body);
        assert_eq!((answer.status, answer.body), (200, format!("ok:{index}")));
    }
    assert!(first.wait_end());
    assert_eq!(backend.received("/svc/x"), 40);
}
