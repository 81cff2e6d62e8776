//! A test deployment: keys, lists, settings and processes.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use celerycrank_config::KeyHash;
use celerycrank_link::{DeploymentAuthority, LinkEndpoint, LinkKeys};
use celerycrank_types::ByteSize;
use serde_json::{Value, json};

use super::{backend::FakeBackend, caller::KEY, process::RunningProcess};

/// Maximum size of a message for the link endpoint of a test.
const MESSAGE_LIMIT: ByteSize = ByteSize(1 << 20);

static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// One entry, and one agent with its fake backend server.
#[derive(Debug)]
pub struct Deployment {
    pub files: DeploymentFiles,
    pub backend: FakeBackend,
    pub agent: RunningProcess,
    pub entry: RunningProcess,
}

impl Deployment {
    pub fn start() -> Self {
        Self::start_with(&json!({}), &json!({}))
    }

    /// Starts a deployment with changes to the caller limits and the backend settings.
    pub fn start_with(limits: &Value, backend_change: &Value) -> Self {
        let files = DeploymentFiles::make();
        let backend = FakeBackend::start();
        let agent = files.start_agent("agent", "service", backend.address, backend_change);
        let entry = files.start_entry(&[agent.listen], limits);
        entry.wait_ready();
        Self {
            files,
            backend,
            agent,
            entry,
        }
    }
}

/// The files of a deployment, which are removed on drop.
#[derive(Debug)]
pub struct DeploymentFiles {
    directory: PathBuf,
}

impl DeploymentFiles {
    pub fn make() -> Self {
        let count = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let name = format!("trial-{}-{count}", std::process::id());
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).expect("the directory is writable");
        let files = Self { directory };
        files.write_keys("");
        files
    }

    /// Writes the keys of a deployment; `prefix` keeps those of several deployments apart.
    pub fn write_keys(&self, prefix: &str) {
        let authority = DeploymentAuthority::generate().expect("random numbers are available");
        let keys = authority
            .issue("trial")
            .expect("random numbers are available");
        self.write(&format!("{prefix}authority.pem"), &authority.certificate());
        self.write(&format!("{prefix}trial.pem"), &keys.certificate);
        self.write(&format!("{prefix}trial.key"), &keys.key);
    }

    /// Runs a task with an endpoint that has the deployment's keys.
    pub fn with_link<T, R>(&self, version: u8, task: impl FnOnce(LinkEndpoint) -> R) -> T
    where
        R: Future<Output = T>,
    {
        let path = |name| self.path(name);
        let keys = LinkKeys::load(
            &path("authority.pem"),
            &path("trial.pem"),
            &path("trial.key"),
        );
        let keys = keys.expect("the keys were written");
        actix_rt::System::new().block_on(async {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let endpoint = LinkEndpoint::bind(any, &keys, version, MESSAGE_LIMIT);
            task(endpoint.expect("a port is free")).await
        })
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    /// Starts an agent that serves the model `granite` or the service `catalogue`.
    pub fn start_agent(
        &self,
        name: &str,
        kind: &str,
        backend: SocketAddr,
        change: &Value,
    ) -> RunningProcess {
        self.start_agent_with_keys(name, kind, backend, change, "")
    }

    pub fn start_agent_with_keys(
        &self,
        name: &str,
        kind: &str,
        backend: SocketAddr,
        change: &Value,
        prefix: &str,
    ) -> RunningProcess {
        let kind = match kind {
            "engine" => json!({ "engine": "granite" }),
            _ => json!({ "service": "catalogue" }),
        };
        let mut settings = json!({
            "domain": "borba",
            "vm": format!("vm-{name}"),
            "admin": "127.0.0.1:0",
            "backend": {
                "backend": name,
                "address": backend,
                "kind": kind,
                "fencing": "ignored",
                "concurrency": 8,
                "queue": 8,
                "idle_timeout": "1s",
            },
            "link": self.link(prefix),
            "platform": platform(),
        });
        merge(&mut settings["backend"], change);
        let path = self.write(&format!("{name}.json"), &settings.to_string());
        let deployment = self.write_deployment(&format!("{name}-static.json"), &[]);
        RunningProcess::start("agent", &path, Some(&deployment))
    }

    pub fn start_entry(&self, agents: &[SocketAddr], limits: &Value) -> RunningProcess {
        let settings = json!({
            "entry": "entry-1",
            "domain": "borba",
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "limits": limits,
            "link": self.link(""),
            "platform": platform(),
            "balancer_delay": "300ms",
        });
        let path = self.write("entry.json", &settings.to_string());
        let deployment = self.write_deployment("entry-static.json", agents);
        RunningProcess::start("entry", &path, Some(&deployment))
    }

    /// Starts an agent of the service `catalogue` that uses the platform instead of a static file.
    pub fn start_platform_agent(
        &self,
        name: &str,
        backend: SocketAddr,
        platform: &Value,
    ) -> RunningProcess {
        let settings = json!({
            "domain": "borba",
            "vm": format!("vm-{name}"),
            "admin": "127.0.0.1:0",
            "backend": {
                "backend": name,
                "address": backend,
                "kind": { "service": "catalogue" },
                "fencing": "ignored",
                "concurrency": 8,
                "queue": 8,
                "idle_timeout": "1s",
            },
            "link": self.link(""),
            "platform": platform,
        });
        let path = self.write(&format!("{name}.json"), &settings.to_string());
        RunningProcess::start("agent", &path, None)
    }

    /// Starts an entry that uses the platform instead of a static file.
    pub fn start_platform_entry(&self, name: &str, platform: &Value) -> RunningProcess {
        let settings = json!({
            "entry": name,
            "domain": "borba",
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "link": self.link(""),
            "platform": platform,
            "balancer_delay": "300ms",
        });
        let path = self.write(&format!("{name}.json"), &settings.to_string());
        RunningProcess::start("entry", &path, None)
    }

    fn write_deployment(&self, name: &str, agents: &[SocketAddr]) -> PathBuf {
        let deployment = json!({
            "configuration": {
                "revision": 1,
                "customers": { "accounts": [{
                    "account": "quarry",
                    "plan": "bidder",
                    "keys": [KeyHash::of_key(KEY)],
                }] },
                "plans": { "plans": [{
                    "plan": "bidder",
                    "share": 1,
                    "priority": "normal",
                    "deadline": "5s",
                    "uses": [
                        { "model": { "model": "granite" } },
                        { "service": {
                            "service": "catalogue", "prefix": "/svc", "repeat": "never",
                        } },
                    ],
                }] },
            },
            "agents": agents,
        });
        self.write(name, &deployment.to_string())
    }

    fn link(&self, prefix: &str) -> Value {
        json!({
            "listen": "127.0.0.1:0",
            "authority": self.path(&format!("{prefix}authority.pem")),
            "certificate": self.path(&format!("{prefix}trial.pem")),
            "key": self.path(&format!("{prefix}trial.key")),
        })
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        fs::write(&path, text).expect("the directory is writable");
        path
    }
}

impl Drop for DeploymentFiles {
    fn drop(&mut self) {
        // A directory left behind does not affect later tests.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn platform() -> Value {
    json!({
        "key_value": ["http://127.0.0.1:9"],
        "vm_list": "http://127.0.0.1:9",
        "prefix": "trial",
        "timeout": "1s",
    })
}

fn merge(target: &mut Value, change: &Value) {
    let change = change.as_object().expect("changes are objects");
    for (name, value) in change {
        target[name] = value.clone();
    }
}
