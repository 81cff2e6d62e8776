//! Calls with an idempotency key run at most once, and their answers report the known outcome.

mod support;

use std::time::{SystemTime, UNIX_EPOCH};

use support::{
    backend::{BackendEvent, FakeBackend},
    caller::{Answer, Caller, KEY},
    deployment::DeploymentFiles,
    platform::FakePlatform,
    process::RunningProcess,
    wait_until,
};

/// An entry and two agents that share a backend server for keyed calls.
struct KeyedDeployment {
    files: DeploymentFiles,
    platform: FakePlatform,
    backend: FakeBackend,
    entry: RunningProcess,
    agents: [RunningProcess; 2],
}

impl KeyedDeployment {
    fn start() -> Self {
        let files = DeploymentFiles::make();
        let platform = FakePlatform::start();
        let settings = platform.settings();
        platform.accept_rule(1, "/bids", "keyed");
        let backend = FakeBackend::start();
        let agents = ["agent-1", "agent-2"]
            .map(|name| files.start_platform_agent(name, backend.address, &settings));
        let entry = files.start_platform_entry("entry-1", &settings);
        let deployment = Self {
            files,
            platform,
            backend,
            entry,
            agents,
        };
        deployment.list();
        wait_until("keyed calls are served", || {
            deployment.bid("/bids/first", &key("first"), "").status == 200
        });
        deployment
    }

    fn list(&self) {
        let [one, two] = &self.agents;
        self.platform.list(
            &[("entry-1", &self.entry)],
            &[("agent-1", one), ("agent-2", two)],
        );
    }

    fn bid(&self, path: &str, key: &str, body: &str) -> Answer {
        send_bid(&self.entry, path, key, body).read_answer()
    }
}

/// An idempotency key in the form that callers use: Unix time in seconds, then a name.
fn key(name: &str) -> String {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let seconds = elapsed.expect("the clock is after 1970").as_secs();
    format!("{seconds}-{name}")
}

fn send_bid(entry: &RunningProcess, path: &str, key: &str, body: &str) -> Caller {
    let mut caller = Caller::connect(entry.listen);
    let length = body.len();
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {KEY}\r\n\
         Idempotency-Key: {key}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    assert!(caller.send(text.as_bytes()), "the entry reads requests");
    caller
}

#[test]
fn repeated_bid_is_answered_from_its_record() {
    let deployment = KeyedDeployment::start();
    let key = key("lot-7");
    let first = deployment.bid("/bids/lot-7", &key, "900");
    assert_eq!((first.status, first.body.as_str()), (200, "ok:900"));
    wait_until("the status is recorded", || {
        let again = deployment.bid("/bids/lot-7", &key, "900");
        assert!(again.status == 200 || again.outcome() == Some("unknown"));
        again.field("x-celerycrank-replayed") == Some("1")
    });
    assert_eq!(deployment.backend.received("/bids/lot-7"), 1);
}

#[test]
fn bid_without_a_usable_key_is_refused() {
    let deployment = KeyedDeployment::start();
    let entry = &deployment.entry;
    let missing = support::caller::call(entry.listen, "POST", "/bids/x", Some(KEY), "1");
    assert_eq!(
        (missing.status, missing.reason()),
        (400, Some("bad_request"))
    );
    let timeless = deployment.bid("/bids/x", "lot-7", "1");
    assert_eq!(
        (timeless.status, timeless.reason()),
        (400, Some("bad_request"))
    );
    assert_eq!(deployment.backend.received("/bids/x"), 0);
}

#[test]
fn key_reused_for_another_bid_is_refused() {
    let deployment = KeyedDeployment::start();
    let key = key("lot-8");
    assert_eq!(deployment.bid("/bids/lot-8", &key, "900").status, 200);
    let other = deployment.bid("/bids/lot-8", &key, "950");
    assert_eq!((other.status, other.reason()), (422, Some("key_reused")));
    assert_eq!(deployment.backend.received("/bids/lot-8"), 1);
}

#[test]
fn bid_is_refused_while_claims_cannot_be_recorded() {
    let deployment = KeyedDeployment::start();
    deployment.platform.set_down(true);
    let key = key("lot-9");
    let refused = deployment.bid("/bids/lot-9", &key, "1");
    assert_eq!((refused.status, refused.outcome()), (503, Some("not-run")));
    assert_eq!(refused.reason(), Some("claim_unavailable"));
    assert_eq!(deployment.backend.received("/bids/lot-9"), 0);
    deployment.platform.set_down(false);
    wait_until("the bid is accepted", || {
        deployment.bid("/bids/lot-9", &key, "1").status == 200
    });
    assert_eq!(deployment.backend.received("/bids/lot-9"), 1);
}

#[test]
fn bid_of_a_killed_agent_is_never_retried() {
    let mut deployment = KeyedDeployment::start();
    let key = key("lot-10");
    let mut caller = send_bid(&deployment.entry, "/bids/mute", &key, "1");
    deployment.backend.wait_received("/bids/mute");
    for agent in &mut deployment.agents {
        agent.kill();
    }
    assert_eq!(caller.read_answer().outcome(), Some("unknown"));
    let settings = deployment.platform.settings();
    let address = deployment.backend.address;
    deployment.agents = ["agent-3", "agent-4"].map(|name| {
        deployment
            .files
            .start_platform_agent(name, address, &settings)
    });
    let [one, two] = &deployment.agents;
    deployment.platform.list(
        &[("entry-1", &deployment.entry)],
        &[("agent-3", one), ("agent-4", two)],
    );
    wait_until("the new agents are used", || {
        let again = deployment.bid("/bids/mute", &key, "1");
        assert_ne!(again.status, 200, "nothing is known of the bid");
        again.reason() == Some("claimed_elsewhere")
    });
    assert_eq!(deployment.backend.received("/bids/mute"), 1);
}

#[test]
fn bid_continues_after_its_caller_disconnects() {
    let deployment = KeyedDeployment::start();
    let key = key("lot-11");
    let caller = send_bid(&deployment.entry, "/bids/slow", &key, "1");
    deployment.backend.wait_received("/bids/slow");
    drop(caller);
    wait_until("the bid is recorded", || {
        let again = deployment.bid("/bids/slow", &key, "1");
        again.field("x-celerycrank-replayed") == Some("1")
    });
    assert_eq!(deployment.backend.received("/bids/slow"), 1);
    let cancelled = deployment
        .backend
        .events()
        .contains(&BackendEvent::Cancelled);
    assert!(!cancelled, "its outcome still had to be recorded");
}

#[test]
fn lost_key_value_answer_does_not_lose_the_bid() {
    let deployment = KeyedDeployment::start();
    deployment.platform.lose_answers(1);
    let key = key("lot-12");
    wait_until("the bid is accepted", || {
        let answer = deployment.bid("/bids/lot-12", &key, "1");
        answer.status == 200 || answer.outcome() == Some("unknown")
    });
    assert_eq!(deployment.backend.received("/bids/lot-12"), 1);
}
