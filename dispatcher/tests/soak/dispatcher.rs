//! One dispatcher: its processes, one after the other, and what it holds.

use crate::checker::Event;
use crate::fakes::Recorder;
use crate::faults::FaultInjector;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Descriptors and memory of each dispatcher.
pub const MAX_SOCKETS: u64 = 256;
/// What a build without optimisation holds beside what it uses; the program counts itself against 64 MB.
const MEMORY_KB: u64 = 64 * 1024;
/// No verdict hangs on this: it only ends a run that would wait for ever.
const HANGS: Duration = Duration::from_secs(60);

pub struct Dispatcher {
    pub number: usize,
    pub address: SocketAddr,
    control: SocketAddr,
    folder: PathBuf,
    pub faults: FaultInjector,
    recorder: Recorder,
    child: Option<Child>,
    /// New connections are not made while it ends or is away.
    pub accepts_connections: Arc<AtomicBool>,
}

/// An address that nobody has now.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

impl Dispatcher {
    pub fn new(seed: u64, number: usize, recorder: &Recorder) -> Dispatcher {
        let name = format!("sedgebeam-soak-{}-{seed}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Dispatcher {
            number,
            address: free_address(),
            control: free_address(),
            folder,
            faults: FaultInjector::new(),
            recorder: recorder.clone(),
            child: None,
            accepts_connections: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Writes the platform's file: this list, this change log, these settings.
    pub fn configure(&self, known: &str, changelog: SocketAddr, settings: &str) {
        let text = format!(
            r#"{{"name":"n{}","listen":"{}","control":"{}","seed":"8c1f30d27a5be96{}","changelog":"{changelog}",
              "limits":{{"sockets":{MAX_SOCKETS},"memory_mb":64}},"known":{known},"settings":{settings}}}"#,
            self.number, self.address, self.control, self.number
        );
        let whole = self.folder.join("new.json");
        std::fs::write(&whole, text).expect("writes");
        std::fs::rename(whole, self.folder.join("config.json")).expect("replaces");
    }

    /// Starts a process, and waits until it says that it is ready.
    pub async fn start(&mut self) {
        let number = self.number;
        self.recorder
            .record(Event::ProcessStarted { dispatcher: number });
        let limited = format!("ulimit -n {MAX_SOCKETS} && exec \"$0\" serve");
        let log = std::fs::File::create(self.folder.join("log")).expect("a log");
        let child = Command::new("sh")
            .args(["-c", &limited, env!("CARGO_BIN_EXE_sedgebeam")])
            .env("PROXY_CONFIG", self.folder.join("config.json"))
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_NAME")
            .env("SEDGEBEAM_LOG", "info")
            .envs(self.faults.environment())
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn();
        self.child = Some(child.expect("the program starts"));
        let until = Instant::now() + HANGS;
        while !self.is_ready().await && Instant::now() < until {
            sleep(Duration::from_millis(10)).await;
        }
        self.recorder
            .record(Event::ProcessReady { dispatcher: number });
        self.accepts_connections.store(true, Ordering::Relaxed);
    }

    async fn is_ready(&self) -> bool {
        let asked = async {
            let mut stream = TcpStream::connect(self.control).await?;
            stream.write_all(b"PING\n").await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            std::io::Result::Ok(answer.starts_with("200"))
        };
        let asked = timeout(Duration::from_secs(2), asked).await;
        matches!(asked, Ok(Ok(true)))
    }

    fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    pub fn signal(&self, signal: &str) {
        if let Some(id) = self.id() {
            let sent = std::process::Command::new("kill")
                .args([signal, &id.to_string()])
                .status();
            assert!(sent.is_ok(), "kill runs");
        }
    }

    /// Kills the process as a machine dies, and waits until it has gone.
    pub async fn kill(&mut self) {
        self.accepts_connections.store(false, Ordering::Relaxed);
        self.signal("-KILL");
        self.gone().await;
        // Only now: what was written to it before the signal took effect is excused too.
        self.recorder.record(Event::ProcessKilled {
            dispatcher: self.number,
        });
    }

    /// Ends the process in order: SIGTERM, with other signals behind it, and SIGKILL at the earliest moment at which the
    /// platform may send it.
    pub async fn shut_down(&mut self, longest_deadline: Duration) {
        let kill_after = longest_deadline.min(Duration::from_secs(3)) + Duration::from_millis(700);
        let began = Instant::now();
        self.signal("-TERM");
        for signal in ["-HUP", "-TERM", "-HUP"] {
            sleep(Duration::from_millis(50)).await;
            self.signal(signal);
        }
        // The front goes on connecting for a while.
        sleep(Duration::from_millis(150)).await;
        self.accepts_connections.store(false, Ordering::Relaxed);
        let left = kill_after.saturating_sub(began.elapsed());
        let Some(child) = &mut self.child else { return };
        match timeout(left, child.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            Ok(_) => self.crashed(),
            Err(_) => {
                self.signal("-KILL");
                self.gone().await;
            }
        }
        self.child = None;
    }

    fn crashed(&self) {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let last: Vec<&str> = log.lines().rev().take(5).collect();
        eprintln!("dispatcher {}: its last words: {last:?}", self.number);
        self.recorder.record(Event::ProcessCrashed {
            dispatcher: self.number,
        });
    }

    async fn gone(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = timeout(HANGS, child.wait()).await;
        }
        self.child = None;
    }

    /// Notes what the process holds, and whether it still runs.
    pub fn check_process(&mut self) {
        let ended = self.child.as_mut().is_some_and(|child| {
            let status = child.try_wait();
            matches!(status, Ok(Some(_)))
        });
        if ended {
            self.crashed();
            self.child = None;
        }
        let Some(id) = self.id() else { return };
        let held = |what, held, allowed| {
            self.recorder.record(Event::ResourceUsage {
                dispatcher: self.number,
                resource: what,
                used: held,
                allowed,
            });
        };
        if let Ok(entries) = std::fs::read_dir(format!("/proc/{id}/fd")) {
            held("descriptors", entries.count() as u64, MAX_SOCKETS);
        }
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let resident = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
        if let Some(resident) = resident {
            held("memory", resident, MEMORY_KB);
        }
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
