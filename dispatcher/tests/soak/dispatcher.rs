//! One dispatcher: runs its processes, one after the other, and samples their use of descriptors and memory.

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

/// File descriptors that a process of a dispatcher may open.
pub const MAX_SOCKETS: u64 = 256;
/// Bound of the private resident memory of a process, including the overhead of a build without optimization. The program
/// limits itself to 64 MB.
const MAX_MEMORY_KB: u64 = 64 * 1024;
/// Ends a run that would wait forever; no rule depends on the value.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

pub struct Dispatcher {
    pub number: usize,
    pub address: SocketAddr,
    control_address: SocketAddr,
    directory: PathBuf,
    pub faults: FaultInjector,
    recorder: Recorder,
    child: Option<Child>,
    /// Cleared while the process shuts down or does not run: clients open no connections then.
    pub accepts_connections: Arc<AtomicBool>,
}

/// An address that is unused at the moment.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    listener.local_addr().expect("get the local address")
}

impl Dispatcher {
    pub fn new(seed: u64, number: usize, recorder: &Recorder) -> Dispatcher {
        let name = format!("sedgebeam-soak-{}-{seed}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("create the directory");
        Dispatcher {
            number,
            address: free_address(),
            control_address: free_address(),
            directory,
            faults: FaultInjector::new(),
            recorder: recorder.clone(),
            child: None,
            accepts_connections: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Writes the configuration file with this list of engines, this change log and these settings.
    pub fn configure(&self, known: &str, change_log: SocketAddr, settings: &str) {
        let text = format!(
            r#"{{"name":"n{}","listen":"{}","control":"{}","seed":"8c1f30d27a5be96{}","changelog":"{change_log}",
              "limits":{{"sockets":{MAX_SOCKETS},"memory_mb":64}},"known":{known},"settings":{settings}}}"#,
            self.number, self.address, self.control_address, self.number
        );
        let new_file = self.directory.join("new.json");
        std::fs::write(&new_file, text).expect("write the configuration file");
        std::fs::rename(new_file, self.directory.join("config.json"))
            .expect("replace the configuration file");
    }

    /// Starts a process, and waits until its control socket reports that it is ready.
    pub async fn start(&mut self) {
        let number = self.number;
        self.recorder
            .record(Event::ProcessStarted { dispatcher: number });
        let command = format!("ulimit -n {MAX_SOCKETS} && exec \"$0\" serve");
        let log = std::fs::File::create(self.directory.join("log")).expect("create the log file");
        let child = Command::new("sh")
            .args(["-c", &command, env!("CARGO_BIN_EXE_sedgebeam")])
            .env("PROXY_CONFIG", self.directory.join("config.json"))
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_NAME")
            .env("SEDGEBEAM_LOG", "info")
            .envs(self.faults.environment())
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn();
        self.child = Some(child.expect("start the program"));
        let deadline = Instant::now() + HANG_TIMEOUT;
        while !self.is_ready().await && Instant::now() < deadline {
            sleep(Duration::from_millis(10)).await;
        }
        self.recorder
            .record(Event::ProcessReady { dispatcher: number });
        self.accepts_connections.store(true, Ordering::Relaxed);
    }

    async fn is_ready(&self) -> bool {
        let ping = async {
            let mut stream = TcpStream::connect(self.control_address).await?;
            stream.write_all(b"PING\n").await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            std::io::Result::Ok(answer.starts_with("200"))
        };
        let answer = timeout(Duration::from_secs(2), ping).await;
        matches!(answer, Ok(Ok(true)))
    }

    fn process_id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    pub fn signal(&self, signal: &str) {
        if let Some(process_id) = self.process_id() {
            let status = std::process::Command::new("kill")
                .args([signal, &process_id.to_string()])
                .status();
            assert!(status.is_ok(), "kill can be run");
        }
    }

    /// Kills the process as the failure of a machine would, and waits for its exit.
    pub async fn kill(&mut self) {
        self.accepts_connections.store(false, Ordering::Relaxed);
        self.signal("-KILL");
        self.wait_for_exit().await;
        // Recorded after the exit, so that requests written before the signal took effect are excused too.
        self.recorder.record(Event::ProcessKilled {
            dispatcher: self.number,
        });
    }

    /// Shuts the process down with SIGTERM, followed by other signals, and sends SIGKILL at the earliest time at which the
    /// platform may.
    pub async fn shut_down(&mut self, max_time_limit: Duration) {
        let kill_after = max_time_limit.min(Duration::from_secs(3)) + Duration::from_millis(700);
        let started_at = Instant::now();
        self.signal("-TERM");
        for signal in ["-HUP", "-TERM", "-HUP"] {
            sleep(Duration::from_millis(50)).await;
            self.signal(signal);
        }
        // Clients keep connecting for a while after the signal.
        sleep(Duration::from_millis(150)).await;
        self.accepts_connections.store(false, Ordering::Relaxed);
        let remaining = kill_after.saturating_sub(started_at.elapsed());
        let Some(child) = &mut self.child else { return };
        match timeout(remaining, child.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            Ok(_) => self.record_crash(),
            Err(_) => {
                self.signal("-KILL");
                self.wait_for_exit().await;
            }
        }
        self.child = None;
    }

    fn record_crash(&self) {
        let log = std::fs::read_to_string(self.directory.join("log")).unwrap_or_default();
        let last_lines: Vec<&str> = log.lines().rev().take(5).collect();
        eprintln!(
            "dispatcher {}: last lines of its log, newest first: {last_lines:?}",
            self.number
        );
        self.recorder.record(Event::ProcessCrashed {
            dispatcher: self.number,
        });
    }

    async fn wait_for_exit(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = timeout(HANG_TIMEOUT, child.wait()).await;
        }
        self.child = None;
    }

    /// Samples the resources of the process, and records a crash if it does not run any more.
    pub fn check_process(&mut self) {
        let has_exited = self.child.as_mut().is_some_and(|child| {
            let status = child.try_wait();
            matches!(status, Ok(Some(_)))
        });
        if has_exited {
            self.record_crash();
            self.child = None;
        }
        let Some(process_id) = self.process_id() else {
            return;
        };
        let record_usage = |resource, used, allowed| {
            self.recorder.record(Event::ResourceUsage {
                dispatcher: self.number,
                resource,
                used,
                allowed,
            });
        };
        if let Ok(entries) = std::fs::read_dir(format!("/proc/{process_id}/fd")) {
            record_usage("descriptors", entries.count() as u64, MAX_SOCKETS);
        }
        let status =
            std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
        let resident_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let resident_kb = resident_kb.and_then(|text| text.split_whitespace().next()?.parse().ok());
        if let Some(resident_kb) = resident_kb {
            record_usage("memory", resident_kb, MAX_MEMORY_KB);
        }
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
