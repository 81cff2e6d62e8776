//! A direct entry under callers that exceed the limits.
//!
//! Each test starts the real program, lets a crowd of callers misuse it and checks only what does
//! not depend on the speed of the machine: the process is alive, its peak memory and its open
//! descriptors stay under a bound, and an ordinary request is answered while the crowd is still
//! connected.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};

use actix_rt::time::{sleep, timeout};
use celerycrank_platform_standin::{BackendStandin, StoreStandin, TestCaller, TestRequest};
use futures_util::future::{join_all, select_all};
use serde_json::{Value, json};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    select,
    sync::{Mutex, MutexGuard},
};

/// Interval at which a test polls a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of polls before a wait fails.
const MAX_POLLS: u32 = 1_000;

/// The number of callers that send bodies or half a head at the same time.
const CROWD: usize = 60;

/// The number of idle connections that are opened.
const IDLE_CROWD: usize = 400;

/// Maximum peak of the resident memory of the process, in KiB.
const MAX_PEAK_KIB: u64 = 80 << 10;

/// The limit of open descriptors under which the process runs.
const DESCRIPTOR_LIMIT: usize = 300;

/// Maximum number of descriptors that the process has open.
const MAX_DESCRIPTORS: usize = 250;

/// The largest legal body, in bytes.
const MAX_BODY: usize = 4 << 20;

/// The time after which a caller stops writing to a process that does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(8);

/// Size of one write of callers that send as fast as they can, in bytes.
const WRITE_SIZE: usize = 64 << 10;

/// Serializes the tests of this file, so that their load does not add up.
static TURN: Mutex<()> = Mutex::const_new(());

/// A process that is killed when dropped.
struct DirectProcess {
    child: Child,
    lines: Receiver<String>,
    listen: SocketAddr,
    probe: SocketAddr,
    _turn: MutexGuard<'static, ()>,
    platform: (StoreStandin, BackendStandin),
}

impl DirectProcess {
    /// Starts a ready entry with one backend server.
    async fn start(name: &str) -> Self {
        let turn = TURN.lock().await;
        let store = StoreStandin::start().await;
        let backend = BackendStandin::start("w0").await;
        let registration = backend.registration("shop", "ready");
        store.put(&backend.registration_key(), &registration);
        store.put_changed_configuration(1, "secret", |configuration| {
            configuration["limits"]["max_body_bytes"] = json!(MAX_BODY);
        });
        let settings = json!({
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
        });
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("overload-{name}.json"));
        fs::write(&path, settings.to_string()).expect("the test directory is writable");
        let mut command = Command::new("sh");
        command.arg("-c");
        command.arg(format!(
            "ulimit -n {DESCRIPTOR_LIMIT} && exec \"$0\" \"$@\""
        ));
        command.args([env!("CARGO_BIN_EXE_celerycrank"), "direct-entry"]);
        command.env("CELERYCRANK_CONFIG", path);
        command.stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().expect("the binary runs");
        let stdout = child.stdout.take().expect("it is piped");
        let (sender, lines) = channel();
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                // The receiver is dropped when the test ends.
                let _ = sender.send(line);
            }
        });
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = Self {
            child,
            lines,
            listen: nowhere,
            probe: nowhere,
            _turn: turn,
            platform: (store, backend),
        };
        let line = process.wait_line("entry serves").await;
        let address = |name: &str| {
            let text = line[name].as_str().expect("an address");
            text.parse::<SocketAddr>().expect("an address")
        };
        (process.listen, process.probe) = (address("listen"), address("probe"));
        process.wait_ready().await;
        process
    }

    async fn wait_line(&mut self, text: &str) -> Value {
        for _ in 0..MAX_POLLS {
            while let Ok(line) = self.lines.try_recv() {
                if line.contains(text) {
                    return serde_json::from_str(&line).expect("lines are JSON");
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("no line with {text}");
    }

    async fn wait_ready(&self) {
        for _ in 0..MAX_POLLS {
            let mut prober = TestCaller::connect(self.probe).await;
            let answer = prober.ask(&TestRequest::probe()).await;
            if answer.is_some_and(|it| it.status == 200) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("the entry does not become ready");
    }

    /// The peak of the resident memory in KiB.
    fn peak_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("the process is alive");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let size = line.and_then(|line| line.split_whitespace().nth(1));
        size.expect("the process is alive").parse().expect("a size")
    }

    fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        fs::read_dir(path).expect("the process is alive").count()
    }

    /// Checks the bounds and that an ordinary request is answered.
    async fn check(&mut self, case: &str) {
        let request = TestRequest::new("POST", "/look/1", "ordinary").deadline(5_000);
        let request = request.body(&[b'o'; 2_000]);
        let mut descriptors = self.descriptors();
        let mut caller = TestCaller::connect(self.listen).await;
        let sampling = async {
            loop {
                descriptors = descriptors.max(self.descriptors());
                sleep(POLL_INTERVAL).await;
            }
        };
        let answer = select! {
            answer = caller.ask(&request) => answer,
            () = sampling => None,
        };
        // All earlier connections were accepted before the one of this request.
        descriptors = descriptors.max(self.descriptors());
        let peak = self.peak_kib();
        println!("{case}: peak {peak} KiB, {descriptors} descriptors");
        let status = answer.map(|it| it.status);
        assert_eq!(status, Some(200), "{case}: an ordinary request is answered");
        let ended = self.child.try_wait().expect("the child can be reaped");
        assert!(ended.is_none(), "{case}: the process is alive");
        assert!(peak <= MAX_PEAK_KIB, "{case}: peak {peak} KiB");
        let bound = MAX_DESCRIPTORS;
        assert!(descriptors <= bound, "{case}: {descriptors} descriptors");
    }
}

impl Drop for DirectProcess {
    fn drop(&mut self) {
        // The process may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What one caller of the crowd sends.
#[derive(Clone, Copy)]
struct Misuse<'a> {
    framing: &'a str,
    /// The part that is sent again and again.
    part: &'a [u8],
    /// The number of bytes that are sent after the head.
    length: usize,
    /// The largest number of bytes of one write.
    write_size: usize,
}

/// Sends one request without its end; the connection stays open if the process does not close it.
async fn misuse(listen: SocketAddr, misuse: Misuse<'_>) -> TcpStream {
    let mut socket = TcpStream::connect(listen).await.expect("an entry listens");
    let head = format!(
        "POST /large/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: crowd\r\n\
         Deadline-Ms: 20000\r\nCredential: secret\r\n{}\r\n\r\n",
        misuse.framing
    );
    let block = misuse
        .part
        .repeat(misuse.write_size.div_ceil(misuse.part.len()));
    let sending = async {
        socket.write_all(head.as_bytes()).await?;
        let mut sent = 0;
        while sent < misuse.length {
            let size = block.len().min(misuse.length - sent);
            socket.write_all(&block[..size]).await?;
            sent += size;
        }
        std::io::Result::Ok(())
    };
    // The process may refuse the request, close the connection or stop reading.
    let _ = timeout(SEND_TIMEOUT, sending).await;
    socket
}

/// Lets the whole crowd misuse an entry in one way and checks the entry afterwards.
async fn check_crowd(case: &str, kind: Misuse<'_>) {
    let mut process = DirectProcess::start(case).await;
    let callers = (0..CROWD).map(|_| misuse(process.listen, kind));
    let sockets = join_all(callers).await;
    process.check(case).await;
    drop(sockets);
}

fn chunk(size: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

// Guards against bodies that are collected without a common bound until the memory is used up.
#[actix_rt::test]
async fn bodies_in_large_chunks_that_stop_short() {
    let part = chunk(64 << 10);
    let kind = Misuse {
        framing: "Transfer-Encoding: chunked",
        part: &part,
        length: part.len() * (MAX_BODY / (64 << 10) - 1),
        write_size: part.len(),
    };
    check_crowd("large-chunks", kind).await;
}

// Guards against an overhead for each chunk that is a multiple of its bytes.
#[actix_rt::test]
async fn bodies_in_tiny_chunks_that_stop_short() {
    let part = chunk(2);
    let kind = Misuse {
        framing: "Transfer-Encoding: chunked",
        part: &part,
        length: part.len() * (MAX_BODY / 2 - 1),
        write_size: WRITE_SIZE,
    };
    check_crowd("tiny-chunks", kind).await;
}

// Guards against storing a body that is known to be refused.
#[actix_rt::test]
async fn bodies_announced_over_the_limit() {
    let framing = format!("Content-Length: {}", MAX_BODY * 8);
    let kind = Misuse {
        framing: &framing,
        part: b"x",
        length: MAX_BODY * 8 - 1,
        write_size: WRITE_SIZE,
    };
    check_crowd("announced", kind).await;
}

// Guards against storing what arrives after the limit is exceeded.
#[actix_rt::test]
async fn bodies_sent_over_the_limit() {
    let part = chunk(64 << 10);
    let kind = Misuse {
        framing: "Transfer-Encoding: chunked",
        part: &part,
        length: part.len() * (MAX_BODY / (64 << 10)) * 8,
        write_size: part.len(),
    };
    check_crowd("sent", kind).await;
}

// Guards against many legal bodies that add up to more than the memory.
#[actix_rt::test]
async fn legal_bodies_that_stop_short() {
    let framing = format!("Content-Length: {MAX_BODY}");
    let kind = Misuse {
        framing: &framing,
        part: b"x",
        length: MAX_BODY - 1,
        write_size: WRITE_SIZE,
    };
    check_crowd("legal", kind).await;
}

// Guards against buffers that cost a multiple of the pieces that they hold.
#[actix_rt::test]
async fn legal_bodies_in_pieces_that_stop_short() {
    let framing = format!("Content-Length: {MAX_BODY}");
    let kind = Misuse {
        framing: &framing,
        part: b"x",
        length: MAX_BODY - 1,
        write_size: 1_000,
    };
    check_crowd("pieces", kind).await;
}

// Guards against half-open heads that keep ordinary requests from being read.
#[actix_rt::test]
async fn half_heads() {
    let mut process = DirectProcess::start("half-heads").await;
    let head = format!("POST /large/1 HTTP/1.1\r\nX-Half: {}", "x".repeat(8_000));
    let mut sockets = Vec::new();
    for _ in 0..CROWD {
        let mut socket = TcpStream::connect(process.listen)
            .await
            .expect("an entry listens");
        // The process may close the connection.
        let _ = socket.write_all(head.as_bytes()).await;
        sockets.push(socket);
    }
    process.check("half-heads").await;
}

// Guards against idle connections that use up the descriptors of the process.
#[actix_rt::test]
async fn idle_connections() {
    let mut process = DirectProcess::start("idle").await;
    let mut sockets = Vec::new();
    for _ in 0..IDLE_CROWD {
        sockets.push(
            TcpStream::connect(process.listen)
                .await
                .expect("an entry listens"),
        );
    }
    process.check("idle").await;
}

// Guards against a bound that refuses a legal request without pressure.
#[actix_rt::test]
async fn a_body_of_the_largest_legal_size_is_answered() {
    let mut process = DirectProcess::start("largest").await;
    let request = TestRequest::new("POST", "/large/1", "largest").deadline(20_000);
    let request = request.body(&vec![b'x'; MAX_BODY]);
    let answer = TestCaller::connect(process.listen)
        .await
        .ask(&request)
        .await;
    assert_eq!(answer.map(|it| it.status), Some(200));
    process.check("largest").await;
}

// Guards against a request that gives way without an answer, or after it was forwarded.
#[actix_rt::test]
async fn a_body_that_gives_way_is_refused_as_not_run() {
    const CALLERS: usize = 8;
    let mut process = DirectProcess::start("gives-way").await;
    let head = format!(
        "POST /large/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: large\r\n\
         Deadline-Ms: 20000\r\nCredential: secret\r\nContent-Length: {MAX_BODY}\r\n\r\n"
    );
    let body = vec![b'x'; MAX_BODY - 1];
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = TestCaller::connect(process.listen).await;
        caller.send(head.as_bytes()).await;
        caller.send(&body).await;
        callers.push(caller);
    }
    let answers = callers.iter_mut().map(|it| Box::pin(it.read()));
    let (answer, ..) = select_all(answers).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    assert_eq!(answer.reason.as_deref(), Some("overloaded"));
    assert!(answer.retry_after.is_some());
    let (_, backend) = &process.platform;
    assert_eq!(backend.runs(), 0);
    process.check("gives-way").await;
}
