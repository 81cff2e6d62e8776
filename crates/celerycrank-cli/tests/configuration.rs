//! A single configuration stays in force through outages, restarts and frozen processes.

mod support;

use support::{
    caller::{Caller, KEY},
    platform::{PlatformDeployment, status, wait_served},
};

#[test]
fn change_reaches_every_process_and_replaces_the_old_lists() {
    let deployment = PlatformDeployment::start();
    deployment.platform.accept(2, "/second");
    for process in deployment.entries.iter().chain(&deployment.agents) {
        process.wait_revision(2);
    }
    for entry in &deployment.entries {
        assert_eq!(status(entry, "/second"), 200);
        assert_eq!(status(entry, "/first"), 403);
    }
}

// Guards against a customer list that becomes empty and lets everybody in, on connections that are open.
#[test]
fn a_customer_list_that_becomes_empty_lets_no_key_pass() {
    let deployment = PlatformDeployment::start();
    let entry = &deployment.entries[0];
    let mut kept = Caller::connect(entry.listen);
    kept.send_request("GET", "/first/hello", Some(KEY), "");
    assert_eq!(kept.read_answer().status, 200);
    deployment.platform.accept_without_accounts(2, "/first");
    for process in deployment.entries.iter().chain(&deployment.agents) {
        process.wait_revision(2);
    }
    let before = deployment.backend.received("/first/hello");
    for key in [Some(KEY), Some("never-held"), None] {
        kept.send_request("GET", "/first/hello", key, "");
        assert_eq!(kept.read_answer().status, 401, "{key:?}");
    }
    assert_eq!(deployment.backend.received("/first/hello"), before);
}

#[test]
fn requests_continue_during_an_outage_and_a_new_entry_syncs_from_its_peers() {
    let deployment = PlatformDeployment::start();
    deployment.platform.set_down(true);
    for entry in &deployment.entries {
        assert_eq!(status(entry, "/first"), 200);
    }
    let settings = deployment.platform.settings();
    let third = deployment.files.start_platform_entry("entry-3", &settings);
    assert_eq!(third.revision(), 0);
    assert_eq!(status(&third, "/first"), 503);
    deployment.list_all(&[("entry-3", &third)]);
    third.wait_revision(1);
    wait_served(&third, "/first");
}

#[test]
fn entry_resumed_during_an_outage_does_not_serve_stale_lists() {
    let deployment = PlatformDeployment::start();
    let [first, second] = &deployment.entries;
    // The entry loses its watch before it is frozen, so that no event is buffered for it.
    deployment.platform.set_down(true);
    first.wait_metric("celerycrank_sync_service_faults_total", 1);
    first.signal(libc::SIGSTOP);
    deployment.platform.set_down(false);
    deployment.platform.accept(2, "/second");
    second.wait_revision(2);
    for agent in &deployment.agents {
        agent.wait_revision(2);
    }
    deployment.platform.set_down(true);
    // Only the agents can tell the entry that its lists are stale, and the requests arrive
    // before it resumes.
    second.signal(libc::SIGSTOP);
    let before = deployment.backend.received("/first/hello");
    let mut callers = (0..8)
        .map(|_| Caller::connect(first.listen))
        .collect::<Vec<_>>();
    for caller in &mut callers {
        caller.send_request("GET", "/first/hello", Some(KEY), "");
    }
    first.signal(libc::SIGCONT);
    for caller in &mut callers {
        assert_eq!(caller.read_answer().status, 403);
    }
    assert_eq!(deployment.backend.received("/first/hello"), before);
    first.wait_revision(2);
    wait_served(first, "/second");
    second.signal(libc::SIGCONT);
}

#[test]
fn agent_restarted_during_an_outage_serves_the_lists_in_force() {
    let mut deployment = PlatformDeployment::start();
    deployment.platform.accept(2, "/second");
    for process in deployment.entries.iter().chain(&deployment.agents) {
        process.wait_revision(2);
    }
    deployment.platform.set_down(true);
    for agent in &mut deployment.agents {
        agent.kill();
    }
    let settings = deployment.platform.settings();
    let backend = deployment.backend.address;
    deployment.agents = ["agent-1", "agent-2"].map(|name| {
        deployment
            .files
            .start_platform_agent(name, backend, &settings)
    });
    deployment.list_all(&[]);
    for agent in &deployment.agents {
        agent.wait_revision(2);
    }
    for entry in &deployment.entries {
        wait_served(entry, "/second");
        assert_eq!(status(entry, "/first"), 403);
    }
}
