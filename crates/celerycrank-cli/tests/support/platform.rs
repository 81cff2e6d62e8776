//! The platform's stand-ins, run on a separate thread, and functions that write their records.

use std::{net::SocketAddr, sync::Arc, sync::mpsc, thread};

use celerycrank_client::{Expected, KeyValueClient, SwapOutcome};
use celerycrank_config::{ConfigurationRecord, KeyHash};
use celerycrank_membership::StopsRecord;
use celerycrank_standin::{KeyValueStandin, VmListStandin};
use celerycrank_types::TimeSpan;
use serde_json::{Value, json};

use super::{
    backend::FakeBackend,
    caller::{KEY, call},
    deployment::DeploymentFiles,
    process::RunningProcess,
    wait_until,
};

const PREFIX: &str = "trial";

/// Stand-ins of the platform's key-value service and VM list.
#[derive(Debug)]
pub struct FakePlatform {
    key_value: SocketAddr,
    vm_list: SocketAddr,
    list_url: String,
}

impl FakePlatform {
    pub fn start() -> Self {
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                let any = SocketAddr::from(([127, 0, 0, 1], 0));
                let key_value = KeyValueStandin::start(any).await.expect("a port is free");
                let vm_list = VmListStandin::start(any).await.expect("a port is free");
                let addresses = (key_value.address(), vm_list.address(), vm_list.url());
                sender.send(addresses).expect("the test waits for it");
                std::future::pending::<()>().await;
            });
        });
        let (key_value, vm_list, list_url) = receiver.recv().expect("the stand-ins start");
        Self {
            key_value,
            vm_list,
            list_url,
        }
    }

    /// The platform settings for a process.
    pub fn settings(&self) -> Value {
        json!({
            "key_value": [self.key_value_url()],
            "vm_list": self.list_url,
            "prefix": PREFIX,
            "timeout": "500ms",
        })
    }

    /// Starts or ends an outage of the key-value service.
    pub fn set_down(&self, down: bool) {
        let outage = if down { "close" } else { "none" };
        let faults = json!({ "outage": outage });
        let answer = call(
            self.key_value,
            "POST",
            "/standin/faults",
            None,
            &faults.to_string(),
        );
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Sets the VM list to these entries and agents.
    pub fn list(&self, entries: &[(&str, &RunningProcess)], agents: &[(&str, &RunningProcess)]) {
        let vm = |name: &str, address: SocketAddr, offers: Value| json!({ "vm": name, "domain": "borba", "address": address, "offers": offers });
        let entries = entries
            .iter()
            .map(|(name, entry)| vm(name, entry.link, json!("entry")));
        let agents = agents.iter().map(|(name, agent)| {
            vm(
                &format!("vm-{name}"),
                agent.link,
                json!({ "service": "catalogue" }),
            )
        });
        let vms = entries.chain(agents).collect::<Vec<_>>();
        let order = json!({ "vms": vms }).to_string();
        let answer = call(self.vm_list, "POST", "/standin/vms", None, &order);
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Makes the next `count` writes take effect without an answer.
    pub fn lose_answers(&self, count: u32) {
        let faults = json!({ "lost_answers": count }).to_string();
        let answer = call(self.key_value, "POST", "/standin/faults", None, &faults);
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Announces stops of these targets; replaces all stops announced earlier.
    pub fn announce(&self, revision: u64, targets: &[Value]) {
        let stop =
            |target: &Value| json!({ "target": target, "at": 0, "reason": "", "author": "test" });
        let stops = targets.iter().map(stop).collect::<Vec<_>>();
        let record = json!({ "revision": revision, "stops": stops });
        self.write(&StopsRecord::key(PREFIX), record.to_string());
    }

    /// Writes a configuration whose only plan may use the paths below `prefix`.
    pub fn accept(&self, revision: u64, prefix: &str) {
        self.accept_plan(revision, prefix, "never", &json!({}));
    }

    /// Writes a configuration with the given rule for repeated calls.
    pub fn accept_rule(&self, revision: u64, prefix: &str, repeat: &str) {
        self.accept_plan(revision, prefix, repeat, &json!({}));
    }

    /// Writes a configuration whose only plan has further fields.
    pub fn accept_plan(&self, revision: u64, prefix: &str, repeat: &str, fields: &Value) {
        let record = record(revision, prefix, repeat, fields);
        self.write(&ConfigurationRecord::key(PREFIX), record);
    }

    /// Writes a configuration whose customer list is empty.
    pub fn accept_without_accounts(&self, revision: u64, prefix: &str) {
        let record = record(revision, prefix, "never", &json!({}));
        let mut record = serde_json::from_str::<Value>(&record).expect("it was just encoded");
        record["customers"]["accounts"] = json!([]);
        self.write(&ConfigurationRecord::key(PREFIX), record.to_string());
    }

    fn write(&self, key: &str, value: String) {
        let urls = [Arc::<str>::from(self.key_value_url())];
        let key = key.to_owned();
        let written = thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                let client = KeyValueClient::new(&urls, TimeSpan::from_secs(5));
                let present = client.get(&key).await.expect("the service is up");
                let expected =
                    present.map_or(Expected::Absent, |record| Expected::At(record.revision));
                let outcome = client.compare_and_swap(&key, expected, value.into()).await;
                matches!(outcome, Ok(SwapOutcome::Written(_)))
            })
        });
        assert!(
            written.join().expect("the writer does not panic"),
            "the write is accepted"
        );
    }

    fn key_value_url(&self) -> String {
        format!("http://{}", self.key_value)
    }
}

fn record(revision: u64, prefix: &str, repeat: &str, fields: &Value) -> String {
    let mut record = json!({
        "revision": revision,
        "nonce": format!("nonce-{revision}"),
        "author": "test",
        "note": "",
        "at": 0,
        "customers": { "accounts": [{
            "account": "quarry", "plan": "bidder", "keys": [KeyHash::of_key(KEY)],
        }] },
        "plans": { "plans": [{
            "plan": "bidder",
            "share": 1,
            "priority": "normal",
            "deadline": "5s",
            "uses": [{ "service": {
                "service": "catalogue", "prefix": prefix, "repeat": repeat,
            } }],
        }] },
        "changes": [],
    });
    let plan = &mut record["plans"]["plans"][0];
    for (name, value) in fields.as_object().expect("fields are an object") {
        plan[name] = value.clone();
    }
    record.to_string()
}

/// Two entries and two agents that use the platform's services.
#[derive(Debug)]
pub struct PlatformDeployment {
    pub files: DeploymentFiles,
    pub platform: FakePlatform,
    pub backend: FakeBackend,
    pub entries: [RunningProcess; 2],
    pub agents: [RunningProcess; 2],
}

impl PlatformDeployment {
    pub fn start() -> Self {
        let files = DeploymentFiles::make();
        let platform = FakePlatform::start();
        let settings = platform.settings();
        platform.accept(1, "/first");
        let backend = FakeBackend::start();
        let agents = ["agent-1", "agent-2"]
            .map(|name| files.start_platform_agent(name, backend.address, &settings));
        let entries =
            ["entry-1", "entry-2"].map(|name| files.start_platform_entry(name, &settings));
        let deployment = Self {
            files,
            platform,
            backend,
            entries,
            agents,
        };
        deployment.list_all(&[]);
        for entry in &deployment.entries {
            wait_served(entry, "/first");
        }
        deployment
    }

    pub fn list_all(&self, more: &[(&str, &RunningProcess)]) {
        let [first, second] = &self.entries;
        let entries = [("entry-1", first), ("entry-2", second)];
        let [one, two] = &self.agents;
        let entries = entries.iter().chain(more).copied().collect::<Vec<_>>();
        self.platform
            .list(&entries, &[("agent-1", one), ("agent-2", two)]);
    }
}

pub fn wait_served(entry: &RunningProcess, prefix: &str) {
    wait_until(&format!("{prefix} is served"), || {
        status(entry, prefix) == 200
    });
}

pub fn status(entry: &RunningProcess, prefix: &str) -> u16 {
    call(
        entry.listen,
        "GET",
        &format!("{prefix}/hello"),
        Some(KEY),
        "",
    )
    .status
}
