//! A rolling replacement of every entry and every agent under load.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use support::{
    caller::{Answer, BodyEnd, KEY, call},
    platform::{PlatformDeployment, status},
    process::RunningProcess,
    wait_until,
};

const CALLERS: usize = 4;
/// Interval at which the balancer polls readiness, well below the entries' balancer delay.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A stand-in of the platform's balancer, which sends each caller to an entry that is ready.
#[derive(Debug, Clone, Default)]
struct FakeBalancer {
    /// Admin and caller address of each entry.
    entries: Arc<Mutex<Vec<(SocketAddr, SocketAddr)>>>,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
}

impl FakeBalancer {
    fn add(&self, entry: &RunningProcess) {
        self.entries
            .lock()
            .unwrap()
            .push((entry.admin, entry.listen));
        wait_until("the balancer has the entry", || {
            self.ready.lock().unwrap().contains(&entry.listen)
        });
    }

    fn remove(&self, entry: &RunningProcess) {
        self.entries
            .lock()
            .unwrap()
            .retain(|(admin, _)| *admin != entry.admin);
    }

    fn run(&self) -> JoinHandle<()> {
        let balancer = self.clone();
        thread::spawn(move || {
            while !balancer.stop.load(Ordering::Relaxed) {
                let entries = balancer.entries.lock().unwrap().clone();
                let ready = entries.iter().filter(|(admin, _)| is_ready(*admin));
                let ready = ready.map(|(_, listen)| *listen).collect();
                *balancer.ready.lock().unwrap() = ready;
                thread::sleep(POLL_INTERVAL);
            }
        })
    }

    /// Sends requests until the balancer stops.
    fn load(&self, caller: usize) -> JoinHandle<CallerReport> {
        let balancer = self.clone();
        thread::spawn(move || {
            let mut report = CallerReport::default();
            for number in 0.. {
                if balancer.stop.load(Ordering::Relaxed) {
                    break;
                }
                let ready = balancer.ready.lock().unwrap().clone();
                let path = format!("/first/{caller}-{number}");
                let answer = call(ready[number % ready.len()], "GET", &path, Some(KEY), "");
                if answer.status != 200 || answer.end != BodyEnd::Complete {
                    report.failed.push((path.clone(), answer));
                }
                report.paths.push(path);
            }
            report
        })
    }
}

/// The results of one caller.
#[derive(Debug, Default)]
struct CallerReport {
    /// Requests that did not get a complete answer with status 200.
    failed: Vec<(String, Answer)>,
    /// Every request that was sent.
    paths: Vec<String>,
}

/// Whether an entry reports that it is ready; one that has exited is not.
fn is_ready(admin: SocketAddr) -> bool {
    std::net::TcpStream::connect(admin).is_ok()
        && std::panic::catch_unwind(|| call(admin, "GET", "/readyz", None, "").status == 200)
            .unwrap_or(false)
}

/// Sends SIGTERM to a process and waits until it has exited.
fn stop(mut process: RunningProcess) {
    process.signal(libc::SIGTERM);
    assert!(process.wait_end(), "a stopped process exits successfully");
}

#[test]
fn rolling_replacement_refuses_truncates_and_repeats_nothing() {
    let mut deployment = PlatformDeployment::start();
    let settings = deployment.platform.settings();
    let balancer = FakeBalancer::default();
    let polling = balancer.run();
    for entry in &deployment.entries {
        balancer.add(entry);
    }
    let callers = (0..CALLERS)
        .map(|caller| balancer.load(caller))
        .collect::<Vec<_>>();

    for (index, name) in ["agent-3", "agent-4"].into_iter().enumerate() {
        let address = deployment.backend.address;
        let fresh = deployment
            .files
            .start_platform_agent(name, address, &settings);
        let vms = [("agent-1", 0), ("agent-2", 1)];
        let staying = vms.map(|(old, at)| (old, &deployment.agents[at]));
        let names = if index == 0 {
            [staying[0], staying[1]]
        } else {
            [("agent-3", &deployment.agents[0]), staying[1]]
        };
        let listed = names
            .into_iter()
            .chain([(name, &fresh)])
            .collect::<Vec<_>>();
        let [first, second] = &deployment.entries;
        let entries = [("entry-1", first), ("entry-2", second)];
        deployment.platform.list(&entries, &listed);
        for entry in &deployment.entries {
            wait_until("the entry knows the new agent", || {
                status_text(entry).contains(name)
            });
        }
        let old = std::mem::replace(&mut deployment.agents[index], fresh);
        stop(old);
    }

    let agents = [("agent-3", 0), ("agent-4", 1)];
    for (index, name) in ["entry-3", "entry-4"].into_iter().enumerate() {
        let fresh = deployment.files.start_platform_entry(name, &settings);
        let listed = agents.map(|(name, at)| (name, &deployment.agents[at]));
        let old_name = ["entry-1", "entry-2"][index];
        let other = if index == 0 { "entry-2" } else { "entry-3" };
        let entries = [
            (old_name, &deployment.entries[index]),
            (other, &deployment.entries[1 - index]),
            (name, &fresh),
        ];
        deployment.platform.list(&entries, &listed);
        wait_until("the new entry serves", || status(&fresh, "/first") == 200);
        balancer.add(&fresh);
        let old = std::mem::replace(&mut deployment.entries[index], fresh);
        old.signal(libc::SIGTERM);
        wait_until("the balancer has removed the entry", || {
            !balancer.ready.lock().unwrap().contains(&old.listen)
        });
        balancer.remove(&old);
        stop(old);
    }

    balancer.stop.store(true, Ordering::Relaxed);
    polling.join().unwrap();
    for caller in callers {
        let CallerReport { failed, paths } = caller.join().unwrap();
        assert_eq!(failed, [], "of {} requests", paths.len());
        for path in paths {
            assert_eq!(deployment.backend.received(&path), 1, "{path} ran once");
        }
    }
}

fn status_text(process: &RunningProcess) -> String {
    call(process.admin, "GET", "/status", None, "").body
}
