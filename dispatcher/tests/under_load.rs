//! Upgrades and drains under load. Upgrades: two processes of one dispatcher on one inherited socket, one of which is killed,
//! stopped or shut down at a step drawn from a seed. Drains: clients are rejected and reconnect later. No request may be lost
//! except those that a killed process was handling.

#[path = "faults/mod.rs"]
mod faults;
#[path = "settings/mod.rs"]
mod settings;

use faults::{Fault, FaultInjector, SystemCall};
use sedgebeam_lab::{engine, wire};
use std::io;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Ends a test that would wait forever; no assertion depends on the value.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
const CLIENTS: usize = 12;
/// Mean pause of a client between requests.
const MEAN_PAUSE: Duration = Duration::from_millis(15);

fn next_random(seed: &mut u64) -> u64 {
    *seed = sedgebeam_core::splitmix64(*seed);
    *seed
}

/// Outcomes of the clients' requests, and the times at which serving processes were killed.
#[derive(Default)]
struct Outcomes {
    served: AtomicU64,
    refused: AtomicU64,
    /// Requests sent on an idle connection while the dispatcher closed it, and then sent again on a new connection.
    retried: AtomicU64,
    /// When each failed request was sent, when it failed, and how.
    failures: Mutex<Vec<(Instant, Instant, String)>>,
    kills: Mutex<Vec<Instant>>,
    is_finished: AtomicBool,
}

impl Outcomes {
    /// Records that a process that may be serving is about to be killed.
    fn record_kill(&self) {
        let mut kills = self.kills.lock().expect("the lock is not poisoned");
        kills.push(Instant::now());
    }

    /// Whether a process was killed since `sent_at`.
    fn killed_since(&self, sent_at: Instant) -> bool {
        let kills = self.kills.lock().expect("the lock is not poisoned");
        kills.iter().any(|killed_at| sent_at <= *killed_at)
    }

    /// The failures of requests during which no process was killed.
    fn lost_requests(&self) -> Vec<String> {
        let kills = self.kills.lock().expect("the lock is not poisoned").clone();
        let failures = self.failures.lock().expect("the lock is not poisoned");
        let is_excused = |sent_at: &Instant, failed_at: &Instant| {
            kills
                .iter()
                .any(|killed_at| sent_at <= killed_at && killed_at <= failed_at)
        };
        let lost_requests = failures
            .iter()
            .filter(|(sent_at, failed_at, _)| !is_excused(sent_at, failed_at));
        lost_requests
            .map(|(_, _, failure)| failure.clone())
            .collect()
    }
}

struct Session {
    stream: TcpStream,
    bytes: bytes::BytesMut,
}

impl Session {
    /// Opens a session; the inner error is the SQLSTATE with which the dispatcher rejected it.
    async fn open(address: SocketAddr) -> io::Result<Result<Session, String>> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        stream.write_all(&wire::startup()).await?;
        let bytes = bytes::BytesMut::new();
        let mut session = Session { stream, bytes };
        let sqlstate = session.read_answer().await?;
        Ok(sqlstate.map_or(Ok(session), Err))
    }

    /// Whether the connection is open and no data has arrived.
    fn is_open(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads up to the next ReadyForQuery message, and returns the SQLSTATE if there was an error.
    async fn read_answer(&mut self) -> io::Result<Option<String>> {
        let mut sqlstate = None;
        loop {
            while let Some((kind, body)) = wire::message(&mut self.bytes)? {
                match kind {
                    b'Z' => return Ok(sqlstate),
                    b'E' => {
                        sqlstate = Some(String::from_utf8_lossy(wire::sqlstate(&body)).into_owned())
                    }
                    _ => {}
                }
            }
            if self.stream.read_buf(&mut self.bytes).await? == 0 {
                // A rejected session receives an error before its connection is closed.
                return sqlstate.map_or(Err(io::ErrorKind::UnexpectedEof.into()), |sqlstate| {
                    Ok(Some(sqlstate))
                });
            }
        }
    }

    async fn query(&mut self, id: u64, class: &str) -> io::Result<Option<String>> {
        let verb = if class == "journal-load" {
            "INSERT INTO"
        } else {
            "SELECT * FROM"
        };
        let group = id % 50;
        let text = format!(
            "/* verb={class},txn={id:016x},limit=4000,cpu=5.0,memory=8 */ {verb} sales_{group}.orders -- takes = 5000"
        );
        self.stream.write_all(&wire::query(&text)).await?;
        self.read_answer().await
    }
}

/// Runs one client until the test is finished: it reuses its connection, and closes it from time to time.
async fn run_client(address: SocketAddr, mut seed: u64, outcomes: Arc<Outcomes>) {
    let mut idle_session: Option<Session> = None;
    while !outcomes.is_finished.load(Ordering::Relaxed) {
        sleep(MEAN_PAUSE.mul_f64(2.0 * (next_random(&mut seed) as f64 / u64::MAX as f64))).await;
        if next_random(&mut seed).is_multiple_of(10) {
            idle_session = None;
        }
        let class = if next_random(&mut seed).is_multiple_of(8) {
            "journal-load"
        } else {
            "lookup"
        };
        let (id, sent_at) = (next_random(&mut seed), Instant::now());
        let mut is_new_connection = idle_session.is_none();
        let answer = loop {
            let opened = match idle_session.take().filter(Session::is_open) {
                Some(session) => Ok(Ok(session)),
                None => Session::open(address).await,
            };
            let answer = match opened {
                Ok(Err(sqlstate)) => Ok(Some(sqlstate)),
                Ok(Ok(mut session)) => {
                    let answer = session.query(id, class).await;
                    idle_session = Some(session).filter(|_| answer.is_ok());
                    answer
                }
                Err(error) => Err(error),
            };
            match answer {
                // The request raced with the close of an idle connection: it is sent again, once.
                Err(_) if !is_new_connection && !outcomes.killed_since(sent_at) => {
                    is_new_connection = true;
                    outcomes.retried.fetch_add(1, Ordering::Relaxed);
                }
                answer => break answer,
            }
        };
        match answer {
            Ok(None) => outcomes.served.fetch_add(1, Ordering::Relaxed),
            Ok(Some(sqlstate)) if sqlstate.starts_with("53") || sqlstate == "57P03" => {
                outcomes.refused.fetch_add(1, Ordering::Relaxed)
            }
            other => {
                let failure = (sent_at, Instant::now(), format!("{class}: {other:?}"));
                outcomes
                    .failures
                    .lock()
                    .expect("the lock is not poisoned")
                    .push(failure);
                0
            }
        };
    }
}

/// What the platform provides to all processes of the dispatcher: the socket, and a directory with the configuration file.
struct Platform {
    socket: StdTcpListener,
    directory: PathBuf,
}

struct Process {
    child: Child,
    log: mpsc::UnboundedReceiver<String>,
    /// Address of the control socket; empty until the process is ready.
    control_address: String,
}

impl Platform {
    fn new(number: u64, engine: SocketAddr) -> Platform {
        let directory =
            std::env::temp_dir().join(format!("sedgebeam-upgrade-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("create the directory");
        let socket = StdTcpListener::bind("127.0.0.1:0").expect("bind a port");
        let target = format!(
            r#"{{"uid":"s-00000001","endpoint":"{engine}","az":"a","model":"std","pod_group":0,"state":"up","boot_ms":0}}"#
        );
        let settings = settings::for_dispatchers(1);
        let config = format!(
            r#"{{"name":"n0","listen":"{}","seed":"8c1f30d27a5be964","limits":{{"sockets":512}},"known":{{"seq":1,
              "results":[{{"seq":1,"fleet":{{"rev":1,"all":true,"targets":[{target}]}}}}]}},"settings":{settings}}}"#,
            socket.local_addr().expect("get the local address")
        );
        std::fs::write(directory.join("config.json"), config)
            .expect("write the configuration file");
        Platform { socket, directory }
    }

    /// Starts a process that inherits the socket as descriptor 7.
    fn start(&self) -> Process {
        self.start_with(&FaultInjector::new())
    }

    /// Like `start`, with faults in system calls.
    fn start_with(&self, faults: &FaultInjector) -> Process {
        let socket = OwnedFd::from(self.socket.try_clone().expect("duplicate the socket"));
        let mut child = Command::new("sh")
            .args(["-c", r#"exec 7<&0; exec "$0" serve"#])
            .arg(env!("CARGO_BIN_EXE_sedgebeam"))
            .env("PROXY_CONFIG", self.directory.join("config.json"))
            .env("PROXY_NAME", "n0")
            .env("PROXY_CONTROL", "127.0.0.1:0")
            .env("PROXY_PASSED_SOCKET", "7")
            .env("TMPDIR", &self.directory)
            .env_remove("PROXY_LISTEN")
            .envs(faults.environment())
            .env("SEDGEBEAM_LOG", "info")
            .stdin(Stdio::from(socket))
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("start the program");
        let (line_sender, log) = mpsc::unbounded_channel();
        let mut lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                let _ = line_sender.send(line);
            }
        });
        Process {
            child,
            log,
            control_address: String::new(),
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Process {
    /// Waits for a log line that contains `text`, and returns what follows it.
    async fn wait_for_log(&mut self, text: &str) -> String {
        self.wait_for_any_log(&[text]).await.1
    }

    /// Waits for a log line that contains any of `texts`, and returns which one and what follows it.
    async fn wait_for_any_log<'text>(&mut self, texts: &[&'text str]) -> (&'text str, String) {
        loop {
            let line = timeout(HANG_TIMEOUT, self.log.recv()).await;
            let line = line.unwrap_or_else(|_| panic!("no log line contains any of {texts:?}"));
            let line = line.unwrap_or_else(|| panic!("the log ended without any of {texts:?}"));
            for text in texts {
                if let Some((_, rest)) = line.split_once(text) {
                    return (text, rest.trim().to_string());
                }
            }
        }
    }

    /// Waits until the control socket reports that the process is ready.
    async fn wait_until_ready(&mut self) {
        self.control_address = self.wait_for_log("takes calls of operators on ").await;
        while !self.control("PING").await.starts_with("200") {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends a command to the control socket, and returns its answer.
    async fn control(&self, command: &str) -> String {
        let mut stream = TcpStream::connect(&self.control_address)
            .await
            .expect("connect to the control socket");
        stream
            .write_all(format!("{command}\n").as_bytes())
            .await
            .expect("write the command");
        let mut answer = String::new();
        stream
            .read_to_string(&mut answer)
            .await
            .expect("read the answer");
        answer
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let status = std::process::Command::new("kill")
            .args([signal, &id])
            .status();
        assert!(status.expect("run kill").success());
    }

    /// Waits for the process to exit, and returns its exit code.
    async fn wait_for_exit(&mut self) -> Option<i32> {
        let status = timeout(HANG_TIMEOUT, self.child.wait()).await;
        status
            .expect("the process exits")
            .expect("wait for the process")
            .code()
    }
}

/// Runs one upgrade with a fault at one of its steps, and returns the process that serves afterwards.
async fn upgrade(
    platform: &Platform,
    mut old_process: Process,
    mut seed: u64,
    outcomes: &Outcomes,
) -> Process {
    let mut new_process = platform.start();
    let step = next_random(&mut seed) % 6;
    // Covers the time from the start of the new process to well after it accepts requests.
    let delay = Duration::from_micros(next_random(&mut seed) % 400_000);
    match step {
        0 | 1 => {
            sleep(delay).await;
            outcomes.record_kill();
            new_process.signal("-KILL");
            new_process.wait_for_exit().await;
            return old_process;
        }
        2 => {
            old_process.signal("-STOP");
            sleep(delay).await;
            old_process.signal("-CONT");
        }
        _ => {}
    }
    new_process.wait_until_ready().await;
    match step {
        3 => {
            sleep(delay / 8).await;
            outcomes.record_kill();
            old_process.signal("-KILL");
            old_process.wait_for_exit().await;
        }
        _ => {
            old_process.signal("-TERM");
            old_process.wait_for_log("ending: last call").await;
            let answer = old_process.control("PING").await;
            assert!(answer.starts_with("400"), "{answer}");
            assert_eq!(old_process.wait_for_exit().await, Some(0));
        }
    }
    let answer = new_process.control("PING").await;
    assert!(answer.starts_with("200"), "{answer}");
    new_process
}

/// A platform with one engine, and clients that send requests until the end of the test.
struct Harness {
    platform: Platform,
    load_counts: Arc<engine::LoadCounts>,
    outcomes: Arc<Outcomes>,
    clients: Vec<tokio::task::JoinHandle<()>>,
}

impl Harness {
    async fn new(number: u64) -> Harness {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("bind a port");
        let address = listener.local_addr().expect("get the local address");
        let load_counts = Arc::new(engine::LoadCounts::default());
        tokio::spawn(engine::serve(listener, load_counts.clone()));
        let platform = Platform::new(number, address);
        let outcomes = Arc::new(Outcomes::default());
        let address = platform.socket.local_addr().expect("get the local address");
        let clients = (0..CLIENTS as u64).map(|client| {
            let seed = (number << 32) | (client << 16) | 1;
            tokio::spawn(run_client(address, seed, outcomes.clone()))
        });
        let clients = clients.collect();
        Harness {
            platform,
            load_counts,
            outcomes,
            clients,
        }
    }
}

/// Stops the clients, and checks that no request was lost.
async fn stop_clients(outcomes: &Outcomes, clients: Vec<tokio::task::JoinHandle<()>>) {
    outcomes.is_finished.store(true, Ordering::Relaxed);
    for client in clients {
        let ended = timeout(HANG_TIMEOUT, client).await;
        ended
            .expect("the client ends in time")
            .expect("the task does not panic");
    }
    assert_eq!(outcomes.lost_requests(), Vec::<String>::new());
}

/// Runs one upgrade per seed, one after the other, under continuous load.
async fn run_upgrades(number: u64, seeds: impl Iterator<Item = u64>) {
    let Harness {
        platform,
        load_counts,
        outcomes,
        clients,
    } = Harness::new(number).await;
    let mut serving = platform.start();
    serving.wait_until_ready().await;
    let mut count = 0;
    for seed in seeds {
        serving = upgrade(&platform, serving, seed, &outcomes).await;
        count += 1;
        assert_eq!(
            outcomes.lost_requests(),
            Vec::<String>::new(),
            "seed {seed}"
        );
    }
    stop_clients(&outcomes, clients).await;
    assert_eq!(load_counts.take_duplicates(), 0, "a load was sent twice");
    let served = outcomes.served.load(Ordering::Relaxed);
    assert!(served > 20 * count, "{served} served in {count} upgrades");
    println!(
        "{count} upgrades: {served} served, {} refused, {} sent again after a close",
        outcomes.refused.load(Ordering::Relaxed),
        outcomes.retried.load(Ordering::Relaxed)
    );
}

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("build the runtime").block_on(test);
}

fn run_upgrade_test(number: u64, seeds: std::ops::Range<u64>) {
    run_test(run_upgrades(number, seeds));
}

#[test]
fn upgrades_lose_no_request_whichever_process_is_killed_or_stopped_at_any_step_1() {
    run_upgrade_test(1, 0..26);
}

#[test]
fn upgrades_lose_no_request_whichever_process_is_killed_or_stopped_at_any_step_2() {
    run_upgrade_test(2, 26..52);
}

#[test]
fn upgrades_lose_no_request_whichever_process_is_killed_or_stopped_at_any_step_3() {
    run_upgrade_test(3, 52..78);
}

#[test]
fn upgrades_lose_no_request_whichever_process_is_killed_or_stopped_at_any_step_4() {
    run_upgrade_test(4, 78..104);
}

#[test]
fn drains_lose_no_request_and_close_every_idle_connection() {
    run_test(async {
        let Harness {
            platform,
            load_counts,
            outcomes,
            clients,
        } = Harness::new(5).await;
        let mut serving = platform.start();
        serving.wait_until_ready().await;
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        for _ in 0..3 {
            let served = count(&outcomes.served);
            while count(&outcomes.served) < served + 50 {
                sleep(Duration::from_millis(5)).await;
            }
            let answer = serving.control("LAMEDUCK").await;
            assert!(answer.starts_with("200") && serving.control("PING").await.starts_with("400"));
            // By then each client has lost its connection and was rejected several times.
            let refused = count(&outcomes.refused);
            while count(&outcomes.refused) < refused + 10 * CLIENTS as u64 {
                sleep(Duration::from_millis(5)).await;
            }
            let served = count(&outcomes.served);
            sleep(Duration::from_millis(50)).await;
            assert_eq!(
                count(&outcomes.served),
                served,
                "no session is served during a drain"
            );
            let answer = serving.control("REJOIN").await;
            assert!(answer.starts_with("200") && serving.control("PING").await.starts_with("200"));
        }
        stop_clients(&outcomes, clients).await;
        assert_eq!(load_counts.take_duplicates(), 0, "a load was sent twice");
    });
}

/// Starts a process, and then another one with these faults; whether the second one restored the handover state of the first.
async fn second_process_restores_handover_state(
    platform: &Platform,
    faults: &FaultInjector,
) -> bool {
    let mut first = platform.start();
    first.wait_until_ready().await;
    let mut second = platform.start_with(faults);
    let log_texts = [
        "begun with what the process before it knew",
        "serves PostgreSQL clients",
    ];
    let (logged, _) = second.wait_for_any_log(&log_texts).await;
    second.signal("-TERM");
    assert_eq!(second.wait_for_exit().await, Some(0));
    logged == log_texts[0]
}

/// The start order of two processes, and the age of the state that they hand over, must not depend on the wall clock.
#[test]
fn handover_succeeds_across_a_step_of_the_wall_clock() {
    run_test(async {
        for step in [-3600, 3600] {
            let Harness { platform, .. } = Harness::new(6).await;
            let faults = FaultInjector::new();
            faults.step_wall_clock(step);
            let restored = second_process_restores_handover_state(&platform, &faults).await;
            assert!(restored, "stepped by {step} s");
        }
    });
}

/// A process that could not create files in the shared directory at its start must not stay unaware of its peer forever.
#[test]
fn process_joins_its_peers_once_files_can_be_created_again() {
    const ENOSPC: i32 = 28;
    run_test(async {
        let Harness { platform, .. } = Harness::new(7).await;
        let mut first = platform.start();
        first.wait_until_ready().await;
        let faults = FaultInjector::new();
        faults.inject_always(SystemCall::Create, Fault::Error(ENOSPC));
        let mut second = platform.start_with(&faults);
        second.wait_until_ready().await;
        faults.clear(SystemCall::Create);
        assert!(faults.injected_count(SystemCall::Create) > 0);
        let log_text = "2 processes serve as one dispatcher";
        assert_eq!(first.wait_for_log(log_text).await, "");
        assert_eq!(second.wait_for_log(log_text).await, "");
    });
}

/// Checks the clients of the other tests: they must report a dispatcher that closes the connection after it has
/// received a request, and accept one that answers.
#[test]
fn a_dispatcher_that_drops_requests_is_detected() {
    run_test(async {
        for drops_requests in [true, false] {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("bind a port");
            let address = listener.local_addr().expect("get the local address");
            tokio::spawn(async move {
                loop {
                    let (mut stream, _) = listener.accept().await.expect("accept a connection");
                    tokio::spawn(async move {
                        let (ready, mut bytes) = (b"Z\0\0\0\x05I", [0; 1024]);
                        // The first message starts the session; requests follow.
                        let mut messages = 0;
                        while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
                            messages += 1;
                            if (drops_requests && messages > 1)
                                || stream.write_all(ready).await.is_err()
                            {
                                return;
                            }
                        }
                    });
                }
            });
            let outcomes = Arc::new(Outcomes::default());
            let client = tokio::spawn(run_client(address, 1, outcomes.clone()));
            while outcomes.lost_requests().is_empty()
                && outcomes.served.load(Ordering::Relaxed) < 20
            {
                sleep(Duration::from_millis(5)).await;
            }
            outcomes.is_finished.store(true, Ordering::Relaxed);
            client.await.expect("the task does not panic");
            assert_eq!(outcomes.lost_requests().is_empty(), !drops_requests);
        }
    });
}
