//! A direct entry as a process: settings, signals and shutdown.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};

use actix_rt::time::sleep;
use celerycrank_platform_standin::{
    BackendBehaviour, BackendStandin, StoreStandin, TestCaller, TestRequest,
};
use serde_json::{Value, json};

/// Interval at which a test polls a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of polls before a wait fails.
const MAX_POLLS: u32 = 1_000;

/// A process that is killed when dropped.
struct DirectProcess {
    child: Child,
    lines: Receiver<String>,
    listen: SocketAddr,
    probe: SocketAddr,
}

impl DirectProcess {
    async fn start(settings: &Path) -> Self {
        let mut child = command(settings).spawn().expect("the binary runs");
        let stdout = child.stdout.take().expect("it is piped");
        let (sender, lines) = channel();
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                // The receiver is dropped when the test ends.
                let _ = sender.send(line);
            }
        });
        let mut process = Self {
            child,
            lines,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            probe: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let line = process.wait_line("entry serves").await;
        let line = serde_json::from_str::<Value>(&line).expect("lines are JSON");
        let address = |name: &str| {
            let text = line[name].as_str().expect("an address");
            text.parse::<SocketAddr>().expect("an address")
        };
        process.listen = address("listen");
        process.probe = address("probe");
        process
    }

    async fn wait_line(&mut self, text: &str) -> String {
        for _ in 0..MAX_POLLS {
            while let Ok(line) = self.lines.try_recv() {
                if line.contains(text) {
                    return line;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("no line with {text}");
    }

    async fn is_ready(&self) -> bool {
        let mut prober = TestCaller::connect(self.probe).await;
        let answer = prober.ask(&TestRequest::probe()).await;
        answer.is_some_and(|it| it.status == 200)
    }

    async fn wait_ready(&self) {
        for _ in 0..MAX_POLLS {
            if self.is_ready().await {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("the entry does not become ready");
    }

    async fn wait_end(&mut self) -> bool {
        for _ in 0..MAX_POLLS {
            if let Some(status) = self.child.try_wait().expect("the child is not reaped yet") {
                return status.success();
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("the process does not end");
    }

    fn signal(&self, signal: libc::c_int) {
        let id = libc::pid_t::try_from(self.child.id()).expect("ids are small");
        // SAFETY: `kill` touches no memory; the id is of a child that is not yet reaped.
        let result = unsafe { libc::kill(id, signal) };
        assert_eq!(result, 0, "the child is there");
    }
}

impl Drop for DirectProcess {
    fn drop(&mut self) {
        // The process may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn command(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_celerycrank"));
    command.arg("direct-entry");
    command.env("CELERYCRANK_CONFIG", settings);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Writes a settings file that only the test `name` uses.
fn write_settings(name: &str, settings: &Value) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    fs::write(&path, settings.to_string()).expect("the test directory is writable");
    path
}

fn settings(store: &StoreStandin) -> Value {
    json!({
        "entry": "entry-1",
        "domain": "here",
        "listen": "127.0.0.1:0",
        "probe": "127.0.0.1:0",
        "admin": "127.0.0.1:0",
        "peer": "127.0.0.1:0",
        "store": {"address": format!("http://{}", store.address()), "timeout": "900ms"},
        "revocation": "5000ms",
        "retries": {"window": "10s", "ratio": "0.2", "slack": "90"},
        "grace": "8.0s",
    })
}

async fn start_platform() -> (StoreStandin, BackendStandin) {
    let store = StoreStandin::start().await;
    let backend = BackendStandin::start("w0").await;
    store.put(
        &backend.registration_key(),
        &backend.registration("shop", "ready"),
    );
    store.put_configuration(1, "secret");
    (store, backend)
}

/// A call whose deadline is longer than the delay of a slow backend server.
fn lookup(attempt: &str) -> TestRequest {
    TestRequest::new("GET", "/look/1", attempt).deadline(5_000)
}

#[actix_rt::test]
async fn reload_interrupts_no_request_and_rejects_invalid_settings() {
    let (store, backend) = start_platform().await;
    let path = write_settings("reload", &settings(&store));
    let mut process = DirectProcess::start(&path).await;
    process.wait_ready().await;
    backend.set_behaviour(BackendBehaviour::Slow(400));
    let mut caller = TestCaller::connect(process.listen).await;
    caller.begin(&lookup("a1")).await;
    process.signal(libc::SIGHUP);
    process.wait_line("nothing has changed").await;
    let mut changed = settings(&store);
    changed["retries"]["ratio"] = json!("0.1");
    changed["memory"] = json!("160MiB");
    write_settings("reload", &changed);
    process.signal(libc::SIGHUP);
    process.wait_line("settings reloaded").await;
    write_settings("reload", &json!({"entry": "entry-1"}));
    process.signal(libc::SIGHUP);
    process.wait_line("settings not reloaded").await;
    assert_eq!(caller.read().await.expect("an answer").status, 200);
    let answer = caller.ask(&lookup("a2")).await;
    assert_eq!(answer.expect("an answer").status, 200);
}

#[actix_rt::test]
async fn stop_finishes_requests_in_flight_and_reports_not_ready() {
    let (store, backend) = start_platform().await;
    let path = write_settings("stop", &settings(&store));
    let mut process = DirectProcess::start(&path).await;
    process.wait_ready().await;
    backend.set_behaviour(BackendBehaviour::Slow(1_000));
    let mut caller = TestCaller::connect(process.listen).await;
    let mut idle = TestCaller::connect(process.listen).await;
    caller.begin(&lookup("b1")).await;
    while backend.runs() == 0 {
        sleep(POLL_INTERVAL).await;
    }
    process.signal(libc::SIGTERM);
    process.wait_line("entry is leaving").await;
    assert!(!process.is_ready().await);
    // A caller that does not know of the shutdown yet is still served.
    let late = idle.ask(&lookup("b2")).await.expect("an answer");
    assert_eq!(late.status, 200);
    let answer = caller.read().await.expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert!(process.wait_end().await);
}

#[actix_rt::test]
async fn requests_in_flight_at_the_end_of_the_grace_period_get_a_final_answer() {
    let (store, backend) = start_platform().await;
    let mut settings = settings(&store);
    settings["grace"] = json!("4.0s");
    let path = write_settings("final", &settings);
    let mut process = DirectProcess::start(&path).await;
    process.wait_ready().await;
    backend.set_behaviour(BackendBehaviour::Unresponsive);
    let mut caller = TestCaller::connect(process.listen).await;
    // The route's timeout is longer than the grace period.
    caller.begin(&lookup("c1")).await;
    while backend.runs() == 0 {
        sleep(POLL_INTERVAL).await;
    }
    process.signal(libc::SIGTERM);
    let answer = caller.read().await.expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (504, true));
    assert_eq!(answer.reason.as_deref(), Some("entry_stopped"));
    let line = process.wait_line("requests in flight are ended").await;
    assert!(line.contains("\"requests\":1"), "{line}");
    assert!(process.wait_end().await);
}

// The rest of an answer that its caller read slowly was lost at the end of a stop, since the process
// and not the kernel held it.
#[actix_rt::test]
async fn the_kernel_delivers_the_rest_of_an_answer_after_a_stop() {
    const LENGTH: usize = 1_000_000;
    let (store, backend) = start_platform().await;
    let mut settings = settings(&store);
    settings["grace"] = json!("4.0s");
    let path = write_settings("rest", &settings);
    let mut process = DirectProcess::start(&path).await;
    process.wait_ready().await;
    backend.set_behaviour(BackendBehaviour::LongAnswer(LENGTH));
    let mut caller = TestCaller::connect(process.listen).await;
    let request = TestRequest::new("POST", "/large/1", "f1").deadline(25_000);
    caller.begin(&request).await;
    while backend.runs() == 0 {
        sleep(POLL_INTERVAL).await;
    }
    process.signal(libc::SIGTERM);
    assert!(process.wait_end().await);
    let answer = caller.read().await.expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body.len(), LENGTH);
}

#[actix_rt::test]
async fn a_request_that_is_complete_too_late_in_a_stop_is_refused() {
    let (store, backend) = start_platform().await;
    let path = write_settings("late", &settings(&store));
    let mut process = DirectProcess::start(&path).await;
    process.wait_ready().await;
    backend.set_behaviour(BackendBehaviour::Unresponsive);
    let mut caller = TestCaller::connect(process.listen).await;
    // The route's timeout is longer than the grace period.
    let head = b"POST /large/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: d1\r\n\
        Credential: secret\r\nContent-Length: 4\r\n\r\nab";
    caller.send(head).await;
    process.signal(libc::SIGTERM);
    process.wait_line("entry is leaving").await;
    sleep(Duration::from_millis(3_600)).await;
    caller.send(b"cd").await;
    let answer = caller.read().await.expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (503, true));
    assert_eq!(answer.reason.as_deref(), Some("shutting_down"));
    assert_eq!(backend.received_requests(), []);
    assert!(process.wait_end().await);
}

/// When a caller connects to an entry that is stopping.
#[derive(Clone, Copy, PartialEq)]
enum Connects {
    BeforeTheStop,
    WhileFrozen,
}

/// Returns the answers to requests that arrive while a stopping entry is frozen until it is past
/// the time at which it closes its listener and idle connections.
async fn ask_while_frozen(name: &str, connects: Connects) -> Vec<Option<u16>> {
    let (store, _backend) = start_platform().await;
    let path = write_settings(name, &settings(&store));
    let mut process = DirectProcess::start(&path).await;
    process.wait_ready().await;
    let mut callers = Vec::new();
    if connects == Connects::BeforeTheStop {
        callers = connect_callers(&process).await;
    }
    process.signal(libc::SIGTERM);
    process.wait_line("entry is leaving").await;
    process.signal(libc::SIGSTOP);
    if connects == Connects::WhileFrozen {
        callers = connect_callers(&process).await;
    }
    for (index, caller) in callers.iter_mut().enumerate() {
        let request = lookup(&format!("e{index}")).deadline(2_000);
        caller.begin(&request).await;
    }
    sleep(Duration::from_secs(3)).await;
    process.signal(libc::SIGCONT);
    let mut statuses = Vec::new();
    for caller in &mut callers {
        statuses.push(caller.read().await.map(|answer| answer.status));
    }
    assert!(process.wait_end().await);
    statuses
}

async fn connect_callers(process: &DirectProcess) -> Vec<TestCaller> {
    let mut callers = Vec::new();
    for _ in 0..8 {
        callers.push(TestCaller::connect(process.listen).await);
    }
    callers
}

#[actix_rt::test]
async fn requests_on_idle_connections_are_answered_before_a_stop_closes_them() {
    let statuses = ask_while_frozen("idle", Connects::BeforeTheStop).await;
    assert_eq!(statuses, [Some(200); 8]);
}

#[actix_rt::test]
async fn connections_that_wait_to_be_accepted_are_served_before_a_stop_closes_the_listener() {
    let statuses = ask_while_frozen("backlog", Connects::WhileFrozen).await;
    assert_eq!(statuses, [Some(200); 8]);
}

/// A sound prompt, whose first part all prompts share.
fn prompt(attempt: &str) -> TestRequest {
    let request = TestRequest::new("POST", "/stream/7", attempt).body(b"a prompt");
    request.field("Prefix-Hash", &format!("c0ffee:40,{attempt}:9"))
}

async fn assert_prompts_are_answered(process: &DirectProcess) {
    for number in 0..4 {
        let mut caller = TestCaller::connect(process.listen).await;
        let answer = caller.ask(&prompt(&format!("50{number}"))).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// Crashes the backend server that holds a prompt, before it answers.
async fn crash_beside_a_prompt(
    process: &DirectProcess,
    store: &StoreStandin,
    backends: &[BackendStandin],
    attempt: &str,
) {
    let set_all = |behaviour| backends.iter().for_each(|it| it.set_behaviour(behaviour));
    set_all(BackendBehaviour::Slow(60_000));
    let mut caller = TestCaller::connect(process.listen).await;
    caller.begin(&prompt(attempt)).await;
    let backend = wait_holder(backends, attempt).await;
    backend.crash();
    set_all(BackendBehaviour::Healthy);
    let incarnation = backend.registration("shop", "ready");
    // Until the entry has noticed the crash, and the backend server is back.
    sleep(Duration::from_millis(800)).await;
    store.put(&backend.registration_key(), &incarnation);
}

/// Waits until a backend server has received this attempt.
async fn wait_holder<'a>(backends: &'a [BackendStandin], attempt: &str) -> &'a BackendStandin {
    let holds_it = |backend: &&BackendStandin| {
        let received = backend.received_requests();
        received.iter().any(|request| request.attempt == attempt)
    };
    for _ in 0..MAX_POLLS {
        if let Some(backend) = backends.iter().find(holds_it) {
            return backend;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("no backend server has received {attempt}");
}

// Guards against entries that are killed and started again after crashes of sound backend servers, and
// refuse all prompts for minutes, since the answers that followed the crashes are forgotten.
#[actix_rt::test]
async fn an_entry_that_is_killed_serves_the_prompts_that_it_served_before() {
    let (store, first) = start_platform().await;
    let second = BackendStandin::start("w1").await;
    store.put(
        &second.registration_key(),
        &second.registration("shop", "ready"),
    );
    let backends = [first, second];
    let path = write_settings("killed", &settings(&store));
    let mut process = DirectProcess::start(&path).await;
    process.wait_ready().await;
    let reports = || store.keys("celerycrank/crashes/").len();
    let mut crashes = 0;
    while reports() < 5 {
        crashes += 1;
        assert!(crashes <= 20, "crashes are not noticed");
        crash_beside_a_prompt(&process, &store, &backends, &format!("a{crashes}")).await;
        assert_prompts_are_answered(&process).await;
    }
    process.signal(libc::SIGKILL);
    assert!(!process.wait_end().await, "it is killed");
    let process = DirectProcess::start(&path).await;
    process.wait_ready().await;
    assert_prompts_are_answered(&process).await;
}

#[actix_rt::test]
async fn invalid_settings_are_reported_and_prevent_the_start() {
    let (store, _) = start_platform().await;
    let mut bad = settings(&store);
    bad["grace"] = json!("soon");
    bad.as_object_mut().expect("an object").remove("probe");
    bad["unheard"] = json!(1);
    let path = write_settings("bad", &bad);
    let output = command(&path).output().expect("the binary runs");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for word in ["grace", "probe", "unheard"] {
        assert!(text.contains(word), "{word} in {text}");
    }
}
