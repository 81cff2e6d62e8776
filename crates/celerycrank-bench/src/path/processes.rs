//! Child processes of the path benchmark.

use std::{
    fs,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use celerycrank_config::KeyHash;
use celerycrank_link::DeploymentAuthority;
use serde_json::{Value, json};

/// API key that the callers send.
pub(crate) const API_KEY: &str = "bench-key";

/// Index of the user time among the fields after the process name in `/proc/PID/stat`.
const USER_TICKS_FIELD: usize = 11;

/// Microseconds per clock tick of the kernel's process accounting.
const MICROS_PER_TICK: u64 = 10_000;

/// Timeout for the first successful request after the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A stand-in backend server, two agents in front of it, and an entry; killed when dropped.
#[derive(Debug)]
pub(crate) struct PathProcesses {
    directory: PathBuf,
    standin: ChildProcess,
    service: ChildProcess,
    engine: ChildProcess,
    entry: ChildProcess,
}

#[derive(Debug)]
struct ChildProcess {
    child: Child,
    address: SocketAddr,
}

impl PathProcesses {
    /// Starts all processes and waits until requests succeed.
    pub(crate) fn start() -> Self {
        let directory = std::env::temp_dir().join(format!("celerycrank-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("the temporary directory is writable");
        write_keys(&directory);
        let executable = std::env::current_exe().expect("the path of this executable is known");
        let standin = ChildProcess::start(Command::new(executable).args(["path", "--target"]));
        let service = start_agent(
            &directory,
            &json!({ "service": "catalogue" }),
            standin.address,
        );
        let engine = start_agent(&directory, &json!({ "engine": "granite" }), standin.address);
        let entry = start_entry(&directory, &[service.address, engine.address]);
        let processes = Self {
            directory,
            standin,
            service,
            engine,
            entry,
        };
        processes.wait_ready();
        processes
    }

    pub(crate) const fn standin(&self) -> SocketAddr {
        self.standin.address
    }

    pub(crate) const fn entry(&self) -> SocketAddr {
        self.entry.address
    }

    /// Returns the resident memory of the entry, in KiB.
    pub(crate) fn entry_resident_kib(&self) -> u64 {
        self.entry.resident_kib()
    }

    /// Returns the resident memory of the plain service's agent, in KiB.
    pub(crate) fn agent_resident_kib(&self) -> u64 {
        self.service.resident_kib()
    }

    /// Returns the processor time used by stand-in, agents and entry, in microseconds.
    pub(crate) fn processor_micros(&self) -> [u64; 3] {
        let agents = self.service.processor_micros() + self.engine.processor_micros();
        [
            self.standin.processor_micros(),
            agents,
            self.entry.processor_micros(),
        ]
    }

    fn wait_ready(&self) {
        let deadline = Instant::now() + START_TIMEOUT;
        while !self.request_succeeds("/svc/plain", "")
            || !self.request_succeeds("/v1/chat/completions", CHAT_BODY)
        {
            assert!(
                Instant::now() < deadline,
                "no request succeeded before the start timeout"
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn request_succeeds(&self, path: &'static str, body: &'static str) -> bool {
        let url = format!("http://{}{path}", self.entry());
        actix_rt::System::new().block_on(async {
            let request = awc::Client::default().post(url).bearer_auth(API_KEY);
            let answer = request.send_body(body).await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
    }
}

const CHAT_BODY: &str = r#"{"model":"granite","tokens":1,"pause_micros":0}"#;

impl Drop for PathProcesses {
    fn drop(&mut self) {
        for process in [
            &mut self.entry,
            &mut self.engine,
            &mut self.service,
            &mut self.standin,
        ] {
            // Killing fails if the child has already exited.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl ChildProcess {
    /// Starts a process that prints its listen address to standard output.
    fn start(command: &mut Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process can be started");
        let stdout = child.stdout.take().expect("the stream is piped");
        let address = read_address(stdout, parse_stdout_line);
        Self { child, address }
    }

    /// Starts a process that logs its listen address to standard error.
    fn start_and_read_log(command: &mut Command) -> Self {
        let mut child = command
            .stderr(Stdio::piped())
            .spawn()
            .expect("the celerycrank binary is beside this one: build the whole workspace");
        let stderr = child.stderr.take().expect("the stream is piped");
        let address = read_address(stderr, parse_log_line);
        Self { child, address }
    }

    /// Processor time used so far, in microseconds.
    fn processor_micros(&self) -> u64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        // Fields are counted from the end of the process name, which may contain spaces.
        let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
        let ticks = fields
            .split_whitespace()
            .skip(USER_TICKS_FIELD)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok());
        ticks.sum::<u64>() * MICROS_PER_TICK
    }

    fn resident_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS"));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        number.unwrap_or_default()
    }
}

/// Reads lines until one contains an address; a thread drains the rest of the stream, so that
/// the writes of the process succeed.
fn read_address(
    stream: impl Read + Send + 'static,
    parse: fn(&str) -> Option<SocketAddr>,
) -> SocketAddr {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    let address = lines.find_map(|line| parse(&line));
    thread::spawn(move || lines.for_each(drop));
    address.expect("the process reports its listen address")
}

fn parse_stdout_line(line: &str) -> Option<SocketAddr> {
    line.strip_prefix("listening on ")?.parse().ok()
}

fn parse_log_line(line: &str) -> Option<SocketAddr> {
    let json = serde_json::from_str::<Value>(line).ok()?;
    json["fields"]["listen"].as_str()?.parse().ok()
}

fn write_keys(directory: &Path) {
    let authority = DeploymentAuthority::generate().expect("keys can be generated");
    let keys = authority.issue("bench").expect("keys can be generated");
    let files = [
        ("authority.pem", authority.certificate()),
        ("bench.pem", keys.certificate),
        ("bench.key", keys.key),
    ];
    for (name, text) in files {
        fs::write(directory.join(name), text).expect("the temporary directory is writable");
    }
}

fn start_agent(directory: &Path, kind: &Value, backend: SocketAddr) -> ChildProcess {
    let name = if kind.get("engine").is_some() {
        "engine"
    } else {
        "service"
    };
    let settings = json!({
        "domain": "borba",
        "vm": format!("vm-{name}"),
        "admin": "127.0.0.1:0",
        "backend": {
            "backend": name,
            "address": backend,
            "kind": kind,
            "fencing": "ignored",
            "concurrency": 1024,
            "queue": 1024,
            "idle_timeout": "30s",
        },
        "link": link_settings(directory),
        "platform": platform_settings(),
    });
    start_role("agent", directory, name, &settings, &[])
}

fn start_entry(directory: &Path, agents: &[SocketAddr]) -> ChildProcess {
    let settings = json!({
        "entry": "entry-1",
        "domain": "borba",
        "listen": "127.0.0.1:0",
        "admin": "127.0.0.1:0",
        "link": link_settings(directory),
        "platform": platform_settings(),
        "balancer_delay": "0s",
    });
    start_role("entry", directory, "entry", &settings, agents)
}

fn start_role(
    role: &str,
    directory: &Path,
    name: &str,
    settings: &Value,
    agents: &[SocketAddr],
) -> ChildProcess {
    let settings_path = directory.join(format!("{name}.json"));
    fs::write(&settings_path, settings.to_string()).expect("the temporary directory is writable");
    let deployment_path = directory.join(format!("{name}-static.json"));
    let deployment = deployment(agents).to_string();
    fs::write(&deployment_path, deployment).expect("the temporary directory is writable");
    let executable = std::env::current_exe().expect("the path of this executable is known");
    let binary = executable.with_file_name("celerycrank");
    let mut command = Command::new(binary);
    command.arg(role).arg("--settings").arg(settings_path);
    command.arg("--static").arg(deployment_path);
    ChildProcess::start_and_read_log(command.args(["--log", "json"]))
}

fn deployment(agents: &[SocketAddr]) -> Value {
    json!({
        "configuration": {
            "revision": 1,
            "customers": { "accounts": [{
                "account": "quarry",
                "plan": "bidder",
                "keys": [KeyHash::of_key(API_KEY)],
            }] },
            "plans": { "plans": [{
                "plan": "bidder",
                "share": 1,
                "priority": "normal",
                "deadline": "1s",
                "uses": [
                    { "model": { "model": "granite" } },
                    { "service": {
                        "service": "catalogue", "prefix": "/svc", "repeat": "never",
                    } },
                ],
            }] },
        },
        "agents": agents,
    })
}

fn link_settings(directory: &Path) -> Value {
    json!({
        "listen": "127.0.0.1:0",
        "authority": directory.join("authority.pem"),
        "certificate": directory.join("bench.pem"),
        "key": directory.join("bench.key"),
    })
}

fn platform_settings() -> Value {
    json!({
        "key_value": ["http://127.0.0.1:9"],
        "vm_list": "http://127.0.0.1:9",
        "prefix": "bench",
        "timeout": "1s",
    })
}
