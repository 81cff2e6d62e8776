//! The lists and settings of both example deployments, checked and applied.

mod operator_session;

use std::{fs, path::PathBuf};

use celerycrank_standin::ListedVm;
use operator_session::OperatorSession;

fn example_path(example: &str, file: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(example).join(file)
}

fn read(example: &str, file: &str) -> String {
    fs::read_to_string(example_path(example, file)).unwrap()
}

#[derive(serde::Deserialize)]
struct VmFile {
    vms: Vec<ListedVm>,
}

async fn run_example(example: &str, domain: &str, model_vm: &str) -> OperatorSession {
    let mut session = OperatorSession::start().await;
    for file in [
        "customers.json",
        "plans.json",
        "entry.json",
        "agent-engine.json",
        "agent-service.json",
    ] {
        session.write(&format!("ana/{file}"), &read(example, file));
    }
    let file = serde_json::from_str::<VmFile>(&read(example, "vms.json")).unwrap();
    session.vm_list.set_vms(file.vms);
    let check = "check --entry-settings entry.json --agent-settings agent-engine.json \
                 --agent-settings agent-service.json";
    session.run("ana", check).await;
    session
        .run("ana", "apply --author ana --note 'first start'")
        .await;
    let stop = format!("stop announce domain:{domain} --at 2030-01-01T00:00:00Z --author ana");
    session.run("ana", &stop).await;
    let stop = format!("stop announce vm:{model_vm} --at 2030-01-01T00:00:00Z --author ana");
    session.run("ana", &stop).await;
    session
}

#[actix_rt::test]
async fn auction_house_example() {
    let session = run_example("auction-house", "borba", "vm-auction-room-1").await;
    insta::assert_snapshot!(session.transcript());
}

#[actix_rt::test]
async fn co_op_example() {
    let session = run_example("co-op", "east-2", "vm-ledger-1").await;
    insta::assert_snapshot!(session.transcript());
}

/// The `platform.json` of an example must match the platform settings of its processes.
#[test]
fn platform_settings_agree_across_files() {
    for example in ["auction-house", "co-op"] {
        let json = |file| serde_json::from_str::<serde_json::Value>(&read(example, file)).unwrap();
        let platform = json("platform.json");
        for file in ["entry.json", "agent-engine.json", "agent-service.json"] {
            assert_eq!(json(file)["platform"], platform, "{example}/{file}");
        }
    }
}
