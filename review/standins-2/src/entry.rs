//! The entry as a separate process, and the platform that starts and watches it.

use std::{
    env, fs, io,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::Connection;

/// How long the entry may take until it is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// An entry process; killed when dropped.
pub struct Entry {
    child: Child,
    /// The address for clients.
    pub frontend: SocketAddr,
    /// The address for the platform's questions whether it is ready.
    pub ready: SocketAddr,
    settings: PathBuf,
}

/// The settings of an entry that differ between cases.
pub struct EntrySettings {
    /// The memory of its machine, in MB.
    pub memory_mb: u64,
    /// The zone of its machine.
    pub zone: &'static str,
}

fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Entry {
    /// Writes the settings of an entry as `platform/entry.json` does, and starts it with the command
    /// of the deploy file.
    pub fn start(folder: &Path, store: SocketAddr, settings: &EntrySettings) -> io::Result<Self> {
        let (frontend, ready, admin) = (free_port()?, free_port()?, free_port()?);
        let peer = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        let EntrySettings { memory_mb, zone } = settings;
        let text = format!(
            r#"{{
  "entry": "edge-{zone}-1",
  "domain": "{zone}",
  "listen": "{frontend}",
  "probe": "{ready}",
  "admin": "{admin}",
  "peer": "{peer}",
  "store": {{ "address": "http://{store}", "timeout": "900ms" }},
  "revocation": "5000ms",
  "retries": {{ "window": "10s", "ratio": "0.2", "slack": "92" }},
  "memory": "{memory_mb}MiB",
  "grace": "8s"
}}
"#
        );
        let path = folder.join("entry.json");
        fs::write(&path, text)?;
        let child = spawn(folder, &path)?;
        let entry = Self {
            child,
            frontend,
            ready,
            settings: path,
        };
        entry.wait_until_ready()?;
        Ok(entry)
    }

    /// Starts the process again, after it has ended.
    pub fn restart(&mut self, folder: &Path) -> io::Result<()> {
        let _ = self.child.wait();
        self.child = spawn(folder, &self.settings)?;
        Ok(())
    }

    /// Waits until the platform would send it clients.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the entry does not become ready"))
    }

    /// Asks once whether the entry is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let socket = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            let mut connection = Connection::new(socket, Duration::from_secs(1))?;
            let request = b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            connection.socket.write_all(request)?;
            Ok(connection.read_head()?.map_or(0, |answer| answer.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// The process's resident memory in bytes; `None` if it has ended.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib = line.split_whitespace().nth(1)?.parse::<u64>().ok()?;
        Some(kib << 10)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process, as the platform does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Option of `prctl`: the signal that a process gets when the one that has started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

fn spawn(folder: &Path, settings: &Path) -> io::Result<Child> {
    let program = env::var("CELERYCRANK").unwrap_or("target/release/celerycrank".into());
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(folder.join("entry.log"))?;
    let mut command = Command::new(program);
    // SAFETY: the call only sets an attribute of the new process.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command
        .arg("direct-entry")
        .env("CELERYCRANK_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
