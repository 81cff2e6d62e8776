//! Starts the project's entries as processes, with settings like those of a small deployment.

use std::{
    env, fs,
    fs::File,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use actix_rt::time::{Instant, sleep};
use serde_json::{Value, json};

use crate::client::probe;

/// Bounds of the site file that the cases name.
pub const REVOKE_MS: u64 = 5_000;
pub const GRACE_S: u64 = 8;

/// The host of all routes.
pub const HOST: &str = "auction.example";

/// A folder for settings and logs, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = env::temp_dir().join(format!("celerycrank-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An entry process; killed when dropped.
pub struct Entry {
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Entry {
    /// Starts an entry with the command of the deploy file.
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> Self {
        let [listen, ready, admin, peer] = free_addresses();
        let settings = folder.join(format!("{name}.json"));
        let text = json!({
            "entry": name,
            "domain": "estremoz",
            "listen": listen.to_string(),
            "probe": ready.to_string(),
            "admin": admin.to_string(),
            "peer": peer.to_string(),
            "store": {"address": format!("http://{store}"), "timeout": "900ms"},
            "revocation": format!("{REVOKE_MS}ms"),
            "retries": {"window": "10s", "ratio": "0.2", "slack": "90"},
            "grace": format!("{GRACE_S}s"),
        });
        fs::write(&settings, text.to_string()).expect("the folder is writable");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        Self {
            listen,
            ready,
            settings,
            log,
            child,
        }
    }

    /// Starts the process again at the same addresses, after it has ended.
    pub fn start_again(&mut self) {
        let _ = self.child.wait();
        self.child = spawn(&self.settings, &self.log);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(id)
            .status();
        assert!(status.is_ok_and(|status| status.success()), "kill works");
    }

    /// Waits until the entry says that it is ready.
    pub async fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if probe(self.ready).await {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log);
    let output = output.expect("the folder is writable");
    let root = env::var("ROOT").unwrap_or_else(|_| ".".into());
    Command::new("target/release/celerycrank")
        .arg("direct-entry")
        .current_dir(root)
        .env("CELERYCRANK_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a second handle"))
        .stderr(output)
        .spawn()
        .expect("the deploy file's build has run")
}

/// The ports of entries lie below those that the system gives to clients' sockets, so that none of
/// them takes the port of an entry that is down for a moment.
const FIRST_PORT: u16 = 20_000;
const PORTS: u32 = 10_000;

/// Returns loopback addresses that were free a moment ago, others at each call.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let own = std::process::id().wrapping_mul(37);
    [(); N].map(|()| {
        loop {
            let number = own.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
            let port = FIRST_PORT + u16::try_from(number).expect("below ten thousand");
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return address;
            }
        }
    })
}

/// A route of the manifest.
#[derive(Clone, Copy)]
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub max_attempts: u32,
    pub timeout_ms: u64,
}

/// A service of the manifest.
pub fn service_of(name: &str) -> Value {
    json!({"name": name, "health_path": "/healthz", "max_connections": 100})
}

/// Encodes a manifest with one service and these routes; requests need no key.
pub fn manifest(version: u64, service: &str, routes: &[Route]) -> Vec<u8> {
    let routes = routes
        .iter()
        .map(|route| (service, *route))
        .collect::<Vec<_>>();
    manifest_of(version, &[service_of(service)], &routes)
}

/// Encodes a manifest with one service, these routes and these tenants.
pub fn manifest_with(version: u64, service: &str, routes: &[Route], tenants: Value) -> Vec<u8> {
    let routes = routes
        .iter()
        .map(|route| (service, *route))
        .collect::<Vec<_>>();
    let mut manifest = manifest_value(version, &[service_of(service)], &routes);
    manifest["tenants"] = tenants;
    manifest.to_string().into_bytes()
}

/// Encodes a manifest with these services and routes; requests need no key.
pub fn manifest_of(version: u64, services: &[Value], routes: &[(&str, Route)]) -> Vec<u8> {
    manifest_value(version, services, routes)
        .to_string()
        .into_bytes()
}

fn manifest_value(version: u64, services: &[Value], routes: &[(&str, Route)]) -> Value {
    let routes = routes.iter().map(|(service, route)| {
        let Route {
            prefix,
            kind,
            max_attempts,
            timeout_ms,
        } = route;
        json!({
            "name": prefix.trim_matches('/'), "host": HOST, "prefix": prefix, "route_type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 200, "priority": 1, "service": service,
            "max_attempts": max_attempts, "anonymous": false, "stream_resume": *kind == "streaming",
        })
    });
    json!({
        "version": version,
        "routes": routes.collect::<Vec<Value>>(),
        "services": services,
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    })
}
