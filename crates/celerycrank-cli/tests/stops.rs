//! Planned stops interrupt no request in flight and admit no new ones.

mod support;

use serde_json::json;
use support::{
    caller::{BodyEnd, Caller, KEY, call},
    platform::{PlatformDeployment, status, wait_served},
    process::RunningProcess,
    wait_until,
};

fn status_text(process: &RunningProcess) -> String {
    call(process.admin, "GET", "/status", None, "").body
}

fn is_ready(process: &RunningProcess) -> bool {
    call(process.admin, "GET", "/readyz", None, "").status == 200
}

#[test]
fn announced_stop_of_every_agent_refuses_new_requests_and_cuts_no_stream() {
    let deployment = PlatformDeployment::start();
    let [first, second] = &deployment.entries;
    let mut stream = Caller::connect(first.listen);
    stream.send_request("GET", "/first/completions", Some(KEY), "");
    let mut answer = stream.read_head();
    let mut endless = Caller::connect(second.listen);
    endless.send_request("GET", "/first/endless", Some(KEY), "");
    assert_eq!(endless.read_head().status, 200);
    deployment
        .platform
        .announce(1, &[json!({ "domain": "borba" })]);
    for agent in &deployment.agents {
        wait_until("the agent is leaving", || !is_ready(agent));
    }
    for entry in [first, second] {
        wait_until("new requests are refused", || {
            status(entry, "/first") == 503
        });
        wait_until("the entry is not ready", || !is_ready(entry));
    }
    let texts = deployment.agents.each_ref().map(status_text);
    let busy = texts.iter().any(|text| text.contains("in flight, the"));
    assert!(busy, "the status shows what the stop waits for: {texts:?}");
    stream.read_body(&mut answer);
    assert_eq!((answer.status, answer.end), (200, BodyEnd::Complete));
    assert!(
        endless.read_chunk().is_some(),
        "a stream continues while its agent is stopping"
    );
    deployment.platform.announce(2, &[]);
    for entry in [first, second] {
        wait_served(entry, "/first");
        wait_until("the entry is ready", || is_ready(entry));
    }
}

#[test]
fn stopping_agent_gets_no_new_requests() {
    let deployment = PlatformDeployment::start();
    deployment
        .platform
        .announce(1, &[json!({ "backend": "agent-1" })]);
    let [stopping, staying] = &deployment.agents;
    wait_until("the agent is leaving", || !is_ready(stopping));
    let before = started(stopping);
    for entry in &deployment.entries {
        for _ in 0..20 {
            assert_eq!(status(entry, "/first"), 200);
        }
    }
    assert_eq!(started(stopping), before);
    assert!(started(staying) >= 40);
}

fn started(agent: &RunningProcess) -> u64 {
    agent.metric("celerycrank_agent_started_total")
}
