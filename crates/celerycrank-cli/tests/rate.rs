//! The rate cap of a plan holds across entries.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use support::{
    caller::{Answer, KEY, call},
    platform::PlatformDeployment,
    process::RunningProcess,
};

/// Tokens per second that the plan allows; a service call counts as one token.
const RATE: u64 = 20;
/// Maximum lifetime of a grant and of a home's burst.
const GRANT_LIFETIME: Duration = Duration::from_secs(2);
const CALLERS: usize = 4;
const LOAD_SPAN: Duration = Duration::from_secs(3);

#[test]
fn two_entries_together_admit_no_more_than_the_cap() {
    let deployment = PlatformDeployment::start();
    deployment.platform.accept_plan(
        2,
        "/first",
        "never",
        &json!({ "rate": format!("{RATE}/s") }),
    );
    for process in deployment.entries.iter().chain(&deployment.agents) {
        process.wait_revision(2);
    }
    let before = deployment.entries.iter().map(admitted_tokens).sum::<u64>();
    let start = Instant::now();
    let callers = (0..CALLERS).map(|caller| {
        let entry = deployment.entries[caller % 2].listen;
        thread::spawn(move || {
            let mut answers = Vec::new();
            while start.elapsed() < LOAD_SPAN {
                answers.push(call(entry, "GET", "/first/hello", Some(KEY), ""));
            }
            answers
        })
    });
    let callers = callers.collect::<Vec<_>>();
    let answers = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap());
    let (served, refused) = answers.partition::<Vec<_>, _>(|answer| answer.status == 200);
    let span = start.elapsed() + GRANT_LIFETIME;
    let most = span.as_secs_f64() * 20.0;
    assert!(
        (served.len() as f64) <= most,
        "{} served, at most {most}",
        served.len()
    );
    assert!(
        served.len() as u64 >= RATE,
        "at least one second of the rate is used"
    );
    assert!(!refused.is_empty());
    let reported_use = deployment.entries.iter().map(admitted_tokens).sum::<u64>();
    assert_eq!(
        reported_use,
        served.len() as u64 + before,
        "the status shows the usage of each account"
    );
    let is_rate_refusal = |answer: &Answer| {
        answer.status == 429
            && answer.reason() == Some("share_exhausted")
            && answer.field("retry-after").is_some()
    };
    assert!(refused.iter().all(is_rate_refusal));
}

/// Tokens that the entry reports as admitted for the only account.
fn admitted_tokens(entry: &RunningProcess) -> u64 {
    let page = call(entry.admin, "GET", "/status", None, "").body;
    let status = serde_json::from_str::<serde_json::Value>(&page).unwrap();
    status["accounts"][0]["admitted_tokens"].as_u64().unwrap()
}
