//! Daily operation under load. Upgrades: two processes of one dispatcher on one passed socket, one of which is killed,
//! stopped or ended at a step drawn from a seed. Drains: clients are sent away and come back. No request may be lost but
//! those that a killed process held.

#[path = "faults/mod.rs"]
mod faults;
#[path = "settings/mod.rs"]
mod settings;

use faults::{Fault, FaultInjector, SystemCall};
use sedgebeam_lab::{engine, wire};
use std::io;
use std::net::{SocketAddr, TcpListener as Bound};
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

/// No verdict hangs on this: it only ends a test that would wait for ever.
const HANGS: Duration = Duration::from_secs(60);
const CLIENTS: usize = 12;
/// A client asks so often, on average.
const PACE: Duration = Duration::from_millis(15);

fn draw(seed: &mut u64) -> u64 {
    *seed = sedgebeam_core::splitmix64(*seed);
    *seed
}

/// What became of requests, and when a serving process was killed.
#[derive(Default)]
struct Told {
    served: AtomicU64,
    refused: AtomicU64,
    /// Sent on a kept connection as that was closed, and answered on another.
    crossed: AtomicU64,
    lost: Mutex<Vec<(Instant, Instant, String)>>,
    kills: Mutex<Vec<Instant>>,
    over: AtomicBool,
}

impl Told {
    /// A process that may serve is about to be killed.
    fn killed(&self) {
        let mut kills = self.kills.lock().expect("nobody panicked");
        kills.push(Instant::now());
    }

    /// Whether one was killed since then.
    fn killed_since(&self, sent: Instant) -> bool {
        let kills = self.kills.lock().expect("nobody panicked");
        kills.iter().any(|at| sent <= *at)
    }

    /// Requests that were lost although nobody had killed a process that may have had them.
    fn lost(&self) -> Vec<String> {
        let kills = self.kills.lock().expect("nobody panicked").clone();
        let lost = self.lost.lock().expect("nobody panicked");
        let excused =
            |sent: &Instant, ended: &Instant| kills.iter().any(|at| sent <= at && at <= ended);
        let lost = lost.iter().filter(|(sent, ended, _)| !excused(sent, ended));
        lost.map(|(_, _, why)| why.clone()).collect()
    }
}

struct Kept {
    stream: TcpStream,
    bytes: bytes::BytesMut,
}

impl Kept {
    /// A session, or the SQLSTATE with which it was turned away.
    async fn open(address: SocketAddr) -> io::Result<Result<Kept, String>> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        stream.write_all(&wire::startup()).await?;
        let bytes = bytes::BytesMut::new();
        let mut kept = Kept { stream, bytes };
        let state = kept.answer().await?;
        Ok(state.map_or(Ok(kept), Err))
    }

    /// Whether it has not been closed, as far as this end knows.
    fn is_open(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// The SQLSTATE of an error, or none, up to the next word that the server is ready.
    async fn answer(&mut self) -> io::Result<Option<String>> {
        let mut state = None;
        loop {
            while let Some((kind, body)) = wire::message(&mut self.bytes)? {
                match kind {
                    b'Z' => return Ok(state),
                    b'E' => {
                        state = Some(String::from_utf8_lossy(wire::sqlstate(&body)).into_owned())
                    }
                    _ => {}
                }
            }
            if self.stream.read_buf(&mut self.bytes).await? == 0 {
                // One that is turned away hears why before its connection is closed.
                return state.map_or(Err(io::ErrorKind::UnexpectedEof.into()), |state| {
                    Ok(Some(state))
                });
            }
        }
    }

    async fn ask(&mut self, id: u64, class: &str) -> io::Result<Option<String>> {
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
        self.answer().await
    }
}

/// One client, until all is over: it keeps its connection, and closes it from time to time.
async fn client(address: SocketAddr, mut seed: u64, told: Arc<Told>) {
    let mut kept: Option<Kept> = None;
    while !told.over.load(Ordering::Relaxed) {
        sleep(PACE.mul_f64(2.0 * (draw(&mut seed) as f64 / u64::MAX as f64))).await;
        if draw(&mut seed).is_multiple_of(10) {
            kept = None;
        }
        let class = if draw(&mut seed).is_multiple_of(8) {
            "journal-load"
        } else {
            "lookup"
        };
        let (id, sent) = (draw(&mut seed), Instant::now());
        let mut fresh = kept.is_none();
        let answer = loop {
            let open = match kept.take().filter(Kept::is_open) {
                Some(open) => Ok(Ok(open)),
                None => Kept::open(address).await,
            };
            let answer = match open {
                Ok(Err(state)) => Ok(Some(state)),
                Ok(Ok(mut open)) => {
                    let answer = open.ask(id, class).await;
                    kept = Some(open).filter(|_| answer.is_ok());
                    answer
                }
                Err(error) => Err(error),
            };
            match answer {
                // It crossed the close of a connection that was idle: it is sent again, once.
                Err(_) if !fresh && !told.killed_since(sent) => {
                    fresh = true;
                    told.crossed.fetch_add(1, Ordering::Relaxed);
                }
                answer => break answer,
            }
        };
        match answer {
            Ok(None) => told.served.fetch_add(1, Ordering::Relaxed),
            Ok(Some(state)) if state.starts_with("53") || state == "57P03" => {
                told.refused.fetch_add(1, Ordering::Relaxed)
            }
            other => {
                let lost = (sent, Instant::now(), format!("{class}: {other:?}"));
                told.lost.lock().expect("nobody panicked").push(lost);
                0
            }
        };
    }
}

/// The platform's part: the socket, the folder and the file that all processes of the dispatcher share.
struct Platform {
    socket: Bound,
    folder: PathBuf,
}

struct Process {
    child: Child,
    log: mpsc::UnboundedReceiver<String>,
    door: String,
}

impl Platform {
    fn new(number: u64, engine: SocketAddr) -> Platform {
        let folder =
            std::env::temp_dir().join(format!("sedgebeam-upgrade-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let socket = Bound::bind("127.0.0.1:0").expect("a port");
        let target = format!(
            r#"{{"uid":"s-00000001","endpoint":"{engine}","az":"a","model":"std","pod_group":0,"state":"up","boot_ms":0}}"#
        );
        let settings = settings::for_dispatchers(1);
        let config = format!(
            r#"{{"name":"n0","listen":"{}","seed":"8c1f30d27a5be964","limits":{{"sockets":512}},"known":{{"seq":1,
              "results":[{{"seq":1,"fleet":{{"rev":1,"all":true,"targets":[{target}]}}}}]}},"settings":{settings}}}"#,
            socket.local_addr().expect("an address")
        );
        std::fs::write(folder.join("config.json"), config).expect("writes");
        Platform { socket, folder }
    }

    /// Starts a process with the socket as descriptor 7.
    fn start(&self) -> Process {
        self.start_with(&FaultInjector::new())
    }

    /// The same, with faults of system calls.
    fn start_with(&self, faults: &FaultInjector) -> Process {
        let socket = OwnedFd::from(self.socket.try_clone().expect("a copy"));
        let mut child = Command::new("sh")
            .args(["-c", r#"exec 7<&0; exec "$0" serve"#])
            .arg(env!("CARGO_BIN_EXE_sedgebeam"))
            .env("PROXY_CONFIG", self.folder.join("config.json"))
            .env("PROXY_NAME", "n0")
            .env("PROXY_CONTROL", "127.0.0.1:0")
            .env("PROXY_PASSED_SOCKET", "7")
            .env("TMPDIR", &self.folder)
            .env_remove("PROXY_LISTEN")
            .envs(faults.environment())
            .env("SEDGEBEAM_LOG", "info")
            .stdin(Stdio::from(socket))
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the program starts");
        let (told, log) = mpsc::unbounded_channel();
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                let _ = told.send(line);
            }
        });
        Process {
            child,
            log,
            door: String::new(),
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    /// Waits for a line of the log that holds the words; what stands behind them.
    async fn logged(&mut self, words: &str) -> String {
        self.logged_one_of(&[words]).await.1
    }

    /// Waits for a line of the log that holds any of these words; which, and what stands behind them.
    async fn logged_one_of<'words>(&mut self, any: &[&'words str]) -> (&'words str, String) {
        loop {
            let line = timeout(HANGS, self.log.recv()).await;
            let line = line.unwrap_or_else(|_| panic!("the log never said {any:?}"));
            let line = line.unwrap_or_else(|| panic!("the log ended before {any:?}"));
            for words in any {
                if let Some((_, rest)) = line.split_once(words) {
                    return (words, rest.trim().to_string());
                }
            }
        }
    }

    /// Waits until it says at the door that it takes work.
    async fn ready(&mut self) {
        self.door = self.logged("takes calls of operators on ").await;
        while !self.call("PING").await.starts_with("200") {
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn call(&self, word: &str) -> String {
        let mut stream = TcpStream::connect(&self.door).await.expect("a door");
        stream
            .write_all(format!("{word}\n").as_bytes())
            .await
            .expect("writes");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("reads");
        answer
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = std::process::Command::new("kill")
            .args([signal, &id])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    async fn ended(&mut self) -> Option<i32> {
        let status = timeout(HANGS, self.child.wait()).await;
        status.expect("it ends").expect("a status").code()
    }
}

/// One upgrade, at one of whose steps something goes wrong; the process that serves afterwards.
async fn upgrade(platform: &Platform, mut old: Process, mut seed: u64, told: &Told) -> Process {
    let mut new = platform.start();
    let step = draw(&mut seed) % 6;
    // From before the new one has read a line to well after it takes work.
    let moment = Duration::from_micros(draw(&mut seed) % 400_000);
    match step {
        0 | 1 => {
            sleep(moment).await;
            told.killed();
            new.signal("-KILL");
            new.ended().await;
            return old;
        }
        2 => {
            old.signal("-STOP");
            sleep(moment).await;
            old.signal("-CONT");
        }
        _ => {}
    }
    new.ready().await;
    match step {
        3 => {
            sleep(moment / 8).await;
            told.killed();
            old.signal("-KILL");
            old.ended().await;
        }
        _ => {
            old.signal("-TERM");
            old.logged("ending: last call").await;
            let answer = old.call("PING").await;
            assert!(answer.starts_with("400"), "{answer}");
            assert_eq!(old.ended().await, Some(0));
        }
    }
    let answer = new.call("PING").await;
    assert!(answer.starts_with("200"), "{answer}");
    new
}

/// A platform with one engine, and clients that ask throughout.
struct Field {
    platform: Platform,
    seen: Arc<engine::Seen>,
    told: Arc<Told>,
    clients: Vec<tokio::task::JoinHandle<()>>,
}

impl Field {
    async fn new(number: u64) -> Field {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen = Arc::new(engine::Seen::default());
        tokio::spawn(engine::serve(listener, seen.clone()));
        let platform = Platform::new(number, address);
        let told = Arc::new(Told::default());
        let address = platform.socket.local_addr().expect("an address");
        let clients = (0..CLIENTS as u64).map(|client| {
            let seed = (number << 32) | (client << 16) | 1;
            tokio::spawn(self::client(address, seed, told.clone()))
        });
        let clients = clients.collect();
        Field {
            platform,
            seen,
            told,
            clients,
        }
    }
}

/// Ends the clients, and sees that they lost nothing.
async fn finish(told: &Told, clients: Vec<tokio::task::JoinHandle<()>>) {
    told.over.store(true, Ordering::Relaxed);
    for client in clients {
        let ended = timeout(HANGS, client).await;
        ended.expect("it ends").expect("no panic");
    }
    assert_eq!(told.lost(), Vec::<String>::new());
}

/// Upgrades by these seeds, one after the other, under load throughout.
async fn upgrades(number: u64, seeds: impl Iterator<Item = u64>) {
    let Field {
        platform,
        seen,
        told,
        clients,
    } = Field::new(number).await;
    let mut serving = platform.start();
    serving.ready().await;
    let mut count = 0;
    for seed in seeds {
        serving = upgrade(&platform, serving, seed, &told).await;
        count += 1;
        assert_eq!(told.lost(), Vec::<String>::new(), "seed {seed}");
    }
    finish(&told, clients).await;
    assert_eq!(seen.doubled(), 0, "a load was sent twice");
    let served = told.served.load(Ordering::Relaxed);
    assert!(served > 20 * count, "{served} served in {count} upgrades");
    println!(
        "{count} upgrades: {served} served, {} refused, {} crossed a close",
        told.refused.load(Ordering::Relaxed),
        told.crossed.load(Ordering::Relaxed)
    );
}

fn inside(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(test);
}

fn run(number: u64, seeds: std::ops::Range<u64>) {
    inside(upgrades(number, seeds));
}

#[test]
fn upgrades_lose_no_request_whatever_dies_at_which_step_1() {
    run(1, 0..26);
}

#[test]
fn upgrades_lose_no_request_whatever_dies_at_which_step_2() {
    run(2, 26..52);
}

#[test]
fn upgrades_lose_no_request_whatever_dies_at_which_step_3() {
    run(3, 52..78);
}

#[test]
fn upgrades_lose_no_request_whatever_dies_at_which_step_4() {
    run(4, 78..104);
}

#[test]
fn drains_lose_no_request_and_every_kept_connection_goes() {
    inside(async {
        let Field {
            platform,
            seen,
            told,
            clients,
        } = Field::new(5).await;
        let mut serving = platform.start();
        serving.ready().await;
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        for _ in 0..3 {
            let served = count(&told.served);
            while count(&told.served) < served + 50 {
                sleep(Duration::from_millis(5)).await;
            }
            let answer = serving.call("LAMEDUCK").await;
            assert!(answer.starts_with("200") && serving.call("PING").await.starts_with("400"));
            // Each client has lost its connection, and then been turned away, several times.
            let refused = count(&told.refused);
            while count(&told.refused) < refused + 10 * CLIENTS as u64 {
                sleep(Duration::from_millis(5)).await;
            }
            let served = count(&told.served);
            sleep(Duration::from_millis(50)).await;
            assert_eq!(count(&told.served), served, "nobody is kept");
            let answer = serving.call("REJOIN").await;
            assert!(answer.starts_with("200") && serving.call("PING").await.starts_with("200"));
        }
        finish(&told, clients).await;
        assert_eq!(seen.doubled(), 0, "a load was sent twice");
    });
}

/// Starts a process, and then another with these faults; whether that began with what the first one knew.
async fn second_begins_with_what_the_first_knew(
    platform: &Platform,
    faults: &FaultInjector,
) -> bool {
    let mut first = platform.start();
    first.ready().await;
    let mut second = platform.start_with(faults);
    let words = [
        "begun with what the process before it knew",
        "serves PostgreSQL clients",
    ];
    let (said, _) = second.logged_one_of(&words).await;
    second.signal("-TERM");
    assert_eq!(second.ended().await, Some(0));
    said == words[0]
}

/// Which of two processes came first, and how old is what the other tells, does not hang on the wall clock.
#[test]
fn a_step_of_the_wall_clock_between_two_processes_hides_neither_from_the_other() {
    inside(async {
        for step in [-3600, 3600] {
            let Field { platform, .. } = Field::new(6).await;
            let faults = FaultInjector::new();
            faults.step_wall_clock(step);
            let handed_over = second_begins_with_what_the_first_knew(&platform, &faults).await;
            assert!(handed_over, "stepped by {step} s");
        }
    });
}

/// A process that can't join its folder for a while is not alone for good.
#[test]
fn a_process_joins_its_folder_once_files_can_be_written_again() {
    const ENOSPC: i32 = 28;
    inside(async {
        let Field { platform, .. } = Field::new(7).await;
        let mut first = platform.start();
        first.ready().await;
        let faults = FaultInjector::new();
        faults.inject_always(SystemCall::Create, Fault::Error(ENOSPC));
        let mut second = platform.start_with(&faults);
        second.ready().await;
        faults.clear(SystemCall::Create);
        assert!(faults.injected_count(SystemCall::Create) > 0);
        let words = "2 processes serve as one dispatcher";
        assert_eq!(first.logged(words).await, "");
        assert_eq!(second.logged(words).await, "");
    });
}

/// The checker itself: a dispatcher that takes a request and closes is caught, and one that is slow is not.
#[test]
fn a_dispatcher_that_drops_requests_is_caught() {
    inside(async {
        for drops in [true, false] {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port");
            let address = listener.local_addr().expect("an address");
            tokio::spawn(async move {
                loop {
                    let (mut stream, _) = listener.accept().await.expect("accepts");
                    tokio::spawn(async move {
                        let (ready, mut bytes) = (b"Z\0\0\0\x05I", [0; 1024]);
                        // The start of a session, and then requests.
                        let mut turn = 0;
                        while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
                            turn += 1;
                            if (drops && turn > 1) || stream.write_all(ready).await.is_err() {
                                return;
                            }
                        }
                    });
                }
            });
            let told = Arc::new(Told::default());
            let client = tokio::spawn(client(address, 1, told.clone()));
            while told.lost().is_empty() && told.served.load(Ordering::Relaxed) < 20 {
                sleep(Duration::from_millis(5)).await;
            }
            told.over.store(true, Ordering::Relaxed);
            client.await.expect("no panic");
            assert_eq!(told.lost().is_empty(), !drops);
        }
    });
}
