//! Sessions of `celerycrank check` before a configuration is sent, compared with transcripts.

mod operator_session;

use std::{fs, io::pipe, path::Path, process::Command};

use operator_session::OperatorSession;
use serde_json::{Value, json};

const CUSTOMERS: &str = include_str!("../../celerycrank-config/tests/data/good-customers.json");
const PLANS: &str = include_str!("../../celerycrank-config/tests/data/good-plans.json");

/// Plans with every warning that `PLANS` cannot have; both have accounts.
const ODD_PLANS: &str = r#"{"plans": [
  {"plan": "gold", "share": 4294967295, "priority": "low", "rate": "1/s", "deadline": "9ms", "uses": [
    {"service": {"service": "bids", "prefix": "/bids", "repeat": "keyed"}},
    {"service": {"service": "lots", "prefix": "/bids/", "repeat": "never"}}]},
  {"plan": "plain", "share": 1, "priority": "low", "deadline": "1s", "uses": [
    {"service": {"service": "bids", "prefix": "/bids/", "repeat": "never"}}]}
]}"#;

/// A record that the processes accept, without a warning.
fn record() -> Value {
    json!({
        "version": 7,
        "routes": [
            {
                "name": "bid", "host": "shop.example", "prefix": "/bid/",
                "route_type": "non_idempotent", "timeout_ms": 1200, "target_latency_ms": 150,
                "priority": 1, "service": "shop",
            },
            {
                "name": "draft", "host": "shop.example", "prefix": "/stream/",
                "route_type": "streaming", "timeout_ms": 8000, "target_latency_ms": 400,
                "target_gap_ms": 120, "stream_resume": true, "max_attempts": 2, "priority": 2,
                "traffic_split": [
                    {"service": "writer", "weight": 0.9}, {"service": "shop", "weight": 0.1},
                ],
            },
        ],
        "services": [
            {"name": "shop", "max_connections": 100},
            {"name": "writer", "engine": {
                "slots": 12, "kv_capacity": 494_000, "step_ms": 4.84, "per_seq_ms": 0.362,
                "read_per_s": 74_800, "sets": 6, "experts": 64, "placements": 11, "spare": 4,
            }},
        ],
        "tenants": [
            {"name": "acme", "api_keys": ["k1"], "priority": 1},
            {"name": "depot", "api_keys": ["k2", "k3"]},
        ],
        "limits": {"max_body_bytes": 65_536},
    })
}

fn write(session: &OperatorSession, path: &str, record: &Value) {
    session.write(path, &serde_json::to_string_pretty(record).unwrap());
}

/// A changed record: everything that an operator should look at is listed, with whom it affects.
#[actix_rt::test]
async fn a_record_is_compared_with_the_one_in_force() {
    let mut session = OperatorSession::start().await;
    write(&session, "ana/in-force.json", &record());
    let mut next = record();
    next["version"] = json!(8);
    next["routes"][0]["timeout_ms"] = json!(900);
    next["routes"][0]["anonymous"] = json!(true);
    next["routes"][1]["traffic_split"][0]["weight"] = json!(0.5);
    next["routes"][1]["traffic_split"][1]["weight"] = json!(0.5);
    next["services"][0]["max_connections"] = json!(80);
    next["services"][1]["engine"]["slots"] = json!(16);
    next["tenants"][0]["api_keys"] = json!(["k2"]);
    next["tenants"][1]["api_keys"] = json!(["k3", "k4"]);
    next["limits"]["max_body_bytes"] = json!(32_768);
    write(&session, "ana/next.json", &next);
    session.run("ana", "check --platform in-force.json").await;
    let against = "check --platform --against in-force.json";
    session.run("ana", &format!("{against} next.json")).await;
    session
        .run("ana", &format!("{against} next.json --json"))
        .await;
    session.add_comment("the version was not raised");
    next["version"] = json!(7);
    write(&session, "ana/next.json", &next);
    session.run("ana", &format!("{against} next.json")).await;
    insta::assert_snapshot!(session.transcript());
}

/// Errors and warnings of a record, each at its place; scripts go by the exit code.
#[actix_rt::test]
async fn a_record_is_reported_with_errors_and_warnings() {
    let mut session = OperatorSession::start().await;
    let mut odd = record();
    odd["routes"][0]["max_attempts"] = json!(2);
    odd["routes"][0]["target_latency_ms"] = json!(1500);
    odd["routes"][1]["host"] = json!("shop.example:443");
    odd["routes"][1]["traffic_split"][0]["weight"] = json!(0);
    odd["routes"][1]["priority"] = json!(10);
    odd["routes"][1]["target_gap_ms"] = Value::Null;
    odd["services"][1]["engine"]["slots"] = json!(0);
    odd["services"][1]["engine"]["placements"] = json!(0);
    odd["tenants"][0]["api_keys"] = json!(["k2"]);
    odd["tenants"][1]["api_keys"] = json!([]);
    odd["limits"] = json!({"max_body_bytes": 100, "idle_timeout_ms": 1000});
    write(&session, "ana/odd.json", &odd);
    session.run("ana", "check --platform odd.json").await;
    session
        .run("ana", "check --platform --strict odd.json")
        .await;
    odd["routes"][0]["route_type"] = json!("sideways");
    odd["tenants"][0]["api_keys"] = json!("k2");
    write(&session, "ana/odd.json", &odd);
    session.run("ana", "check --platform odd.json").await;
    odd["routes"][0]["host"] = Value::Null;
    write(&session, "ana/odd.json", &odd);
    session.write("ana/cut.json", "{\n  \"version\": 7,\n  \"routes\": [");
    session
        .run("ana", "check --platform odd.json cut.json")
        .await;
    session.add_comment("what cannot run");
    session.run("ana", "check --platform missing.json").await;
    session
        .run("ana", "check --platform --against cut.json odd.json")
        .await;
    insta::assert_snapshot!(session.transcript());
}

/// The product's lists: warnings, differences from a file and from the record in force, and the
/// exit codes for scripts.
#[actix_rt::test]
async fn lists_are_compared_with_those_in_force() {
    let mut session = OperatorSession::start().await;
    session.write("ana/customers.json", CUSTOMERS);
    session.write("ana/plans.json", PLANS);
    session.run("ana", "check --strict --in-force").await;
    session.run("ana", "apply --author ana").await;
    let plans = PLANS.replace("9000/s", "200/s");
    let plans = plans.replace("\"deadline\": \"2s\"", "\"deadline\": \"3s\"");
    session.write(
        "ana/plans.json",
        &plans.replace("\"share\": 1,", "\"share\": 3,"),
    );
    session.write(
        "ana/customers.json",
        &CUSTOMERS.replace("\"plain\"", "\"gold\""),
    );
    session.run("ana", "check").await;
    session.run("ana", "check --strict --in-force .").await;
    session.write("rui/customers.json", CUSTOMERS);
    session.write("rui/plans.json", PLANS);
    session
        .run(
            "ana",
            "check --json --against ../rui customers.json plans.json",
        )
        .await;
    session.write(
        "ana/plans.json",
        &plans.replace("\"share\": 1,", "\"share\": 0,"),
    );
    session.run("ana", "check").await;
    session.run("ana", "check --in-force").await;
    session.write("rui/plans.json", ODD_PLANS);
    session.run("rui", "check").await;
    session.write("rui/customers.json", "{\"accounts\": []}");
    session.write("rui/plans.json", "{\"plans\": []}");
    session.run("rui", "check --strict .").await;
    session.add_comment("what cannot run");
    session.run("ana", "check plans.json").await;
    session.run("ana", "check --against platform.json .").await;
    insta::assert_snapshot!(session.transcript());
}

/// Guards against a panic, and its exit code, when the reader of the output has ended, as in
/// `celerycrank check ... | head`.
#[test]
fn a_closed_pipe_leaves_the_exit_code_as_it_is() {
    for (format, file, code) in [
        ("text", "no-such-directory", 2),
        ("json", "no-such-directory", 2),
        ("json", "tests/data", 2),
    ] {
        let (reader, writer) = pipe().unwrap();
        drop(reader);
        let mut command = Command::new(env!("CARGO_BIN_EXE_celerycrank"));
        command.args(["check", "--format", format, file]);
        let output = command.stdout(writer).output().unwrap();
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{error}");
        assert_eq!(error, "");
    }
}

/// Guards against an API key that is printed because it stands in the version in force in place of
/// its hash.
#[test]
fn an_unreadable_version_in_force_is_not_quoted() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../celerycrank-config/tests/data");
    for keys in [r#"["secret-0"]"#, r#""secret-0""#] {
        let account = format!(r#"{{"account": "a", "plan": "p", "keys": {keys}}}"#);
        let lists =
            format!(r#"{{"customers": {{"accounts": [{account}]}}, "plans": {{"plans": []}}}}"#);
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("unreadable-lists.json");
        fs::write(&path, lists).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_celerycrank"));
        command.arg("check").arg("--against").arg(&path);
        command.args([
            root.join("good-customers.json"),
            root.join("good-plans.json"),
        ]);
        let output = command.output().unwrap();
        let text = String::from_utf8_lossy(&output.stdout);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(
            text.contains("line 1 column") && !text.contains("secret"),
            "{text}"
        );
    }
}
