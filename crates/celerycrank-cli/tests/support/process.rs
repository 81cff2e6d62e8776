//! A process of the deployment, run from the real binary.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
};

use super::{caller, wait_until};

/// A process that is killed when dropped.
#[derive(Debug)]
pub struct RunningProcess {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Address for peers or callers.
    pub listen: SocketAddr,
    /// Address of the admin endpoints.
    pub admin: SocketAddr,
    /// Address of an entry for its peers; for an agent the same as `listen`.
    pub link: SocketAddr,
}

/// The addresses that a process writes to its log.
type ServingAddresses = (SocketAddr, SocketAddr, SocketAddr);

impl RunningProcess {
    /// Starts the binary in a role and waits until it serves.
    ///
    /// Without a static deployment, the process reads its configuration and peers from the platform.
    pub fn start(role: &str, settings: &Path, deployment: Option<&Path>) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_celerycrank"));
        command.arg(role).arg("--settings").arg(settings);
        if let Some(deployment) = deployment {
            command.arg("--static").arg(deployment);
        }
        let mut child = command
            .args(["--log", "json"])
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary runs");
        let stderr = child.stderr.take().expect("it is piped");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let written = Arc::clone(&lines);
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                written.lock().expect("no holder panics").push(line);
            }
        });
        let addresses = wait_for_addresses(&lines);
        Self {
            child,
            lines,
            listen: addresses.0,
            admin: addresses.1,
            link: addresses.2,
        }
    }

    pub fn signal(&self, signal: libc::c_int) {
        let id = libc::pid_t::try_from(self.child.id()).expect("ids are small");
        // SAFETY: `kill` touches no memory; the id is of a child that is not yet reaped.
        let result = unsafe { libc::kill(id, signal) };
        assert_eq!(result, 0, "the child is there");
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the child can be killed");
        self.child.wait().expect("the child can be reaped");
    }

    /// Waits until the process exits by itself, and returns whether it succeeded.
    pub fn wait_end(&mut self) -> bool {
        let mut success = None;
        wait_until("the process ends", || {
            success = self.child.try_wait().expect("the child can be reaped");
            success.is_some()
        });
        success.is_some_and(|status| status.success())
    }

    /// The peak of the resident memory in KiB.
    pub fn peak_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process is alive");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let size = line.and_then(|line| line.split_whitespace().nth(1));
        size.expect("the process is alive").parse().expect("a size")
    }

    pub fn is_running(&mut self) -> bool {
        let status = self.child.try_wait().expect("the child can be reaped");
        status.is_none()
    }

    /// Waits for a log line that contains `text`.
    pub fn wait_line(&self, text: &str) {
        wait_until(text, || {
            let lines = self.lines.lock().expect("no holder panics");
            lines.iter().any(|line| line.contains(text))
        });
    }

    /// The current value of a metric.
    pub fn metric(&self, name: &str) -> u64 {
        let page = caller::call(self.admin, "GET", "/metrics", None, "").body;
        let line = page
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        let value = line.unwrap_or_else(|| panic!("no metric {name} in {page}"));
        value.parse().expect("a whole number")
    }

    /// The revision in force according to the status endpoint.
    pub fn revision(&self) -> u64 {
        let page = caller::call(self.admin, "GET", "/status", None, "").body;
        let status = serde_json::from_str::<serde_json::Value>(&page).expect("a status");
        status["revision"].as_u64().expect("a revision")
    }

    pub fn wait_revision(&self, revision: u64) {
        wait_until(&format!("revision {revision} is in force"), || {
            self.revision() == revision
        });
    }

    pub fn wait_metric(&self, name: &str, at_least: u64) {
        wait_until(&format!("{name} reaches {at_least}"), || {
            self.metric(name) >= at_least
        });
    }

    pub fn wait_ready(&self) {
        wait_until("the process is ready", || {
            caller::call(self.admin, "GET", "/readyz", None, "").status == 200
        });
    }
}

impl Drop for RunningProcess {
    fn drop(&mut self) {
        // `kill` fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn wait_for_addresses(lines: &Mutex<Vec<String>>) -> ServingAddresses {
    let mut found = None;
    wait_until("the process serves", || {
        let lines = lines.lock().expect("no holder panics");
        found = lines.iter().find_map(|line| read_addresses(line));
        found.is_some()
    });
    found.expect("the wait ends when addresses are found")
}

fn read_addresses(line: &str) -> Option<ServingAddresses> {
    let json = serde_json::from_str::<serde_json::Value>(line).ok()?;
    let fields = &json["fields"];
    let read = |name: &str| fields[name].as_str()?.parse().ok();
    let listen = read("listen")?;
    Some((
        listen,
        read("admin_listen")?,
        read("link_listen").unwrap_or(listen),
    ))
}
