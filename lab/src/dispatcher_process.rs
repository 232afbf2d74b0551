//! The program that is measured: started on loopback with a configuration of the experiment's own.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

const STARTS_WITHIN: Duration = Duration::from_secs(10);

/// What it is told.
#[derive(Clone, Debug)]
pub struct DispatcherOptions {
    pub workers: usize,
    pub shards: Option<usize>,
    pub pin: bool,
    /// Whether operators may call.
    pub control: bool,
    pub engines: Vec<SocketAddr>,
    /// Cores of each engine, by which the module counts its slots.
    pub engine_cores: u32,
    /// Firms and their shares.
    pub firms: Vec<(String, f64)>,
}

pub struct DispatcherProcess {
    child: Child,
    pub address: SocketAddr,
    /// Where operators call.
    pub control: Option<SocketAddr>,
    folder: PathBuf,
}

impl DispatcherOptions {
    fn config(&self) -> serde_json::Value {
        let engines = self.engines.iter().enumerate().map(|(place, address)| {
            serde_json::json!({
                "uid": format!("lab-{place:08x}"), "endpoint": address.to_string(), "az": "a",
                "model": "std", "state": "up"
            })
        });
        let firms = self.firms.iter();
        let firms =
            firms.map(|(name, portion)| serde_json::json!({"name": name, "portion": portion}));
        let class = |name: &str, worth: f64, on_time: f64, effect: &str| {
            serde_json::json!({
                "name": name, "worth": worth, "on_time": on_time, "give_up": 25000.0, "effect": effect
            })
        };
        let mut config = serde_json::json!({
            "name": "lab", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"sockets": 4096, "memory_mb": 1024},
            "engines": engines.collect::<Vec<_>>(),
            "settings": {
                "balancers": 1, "kinds": ["std"], "zones": ["a"], "zone": "a", "tick": 5.0,
                "domain": {
                    "class_load": [false, false, true], "class_waits": [true, true, false],
                    "threads_by_class": [1, 4, 2], "size_cores": [self.engine_cores],
                    "size_mb": [1e6], "priorities": true, "tells_cost": true
                },
                "limits": {
                    "cancel": true, "max_attempts": 3, "max_streams": 64, "connect_timeout": 1000.0,
                    "conn_idle": 30000.0, "max_retry_after": 1000.0, "max_open": 20000
                },
                "rules": {"answer_slack": 50.0, "drain_grace": 500.0},
                "services": [
                    class("lookup", 1.0, 250.0, "repeatable"), class("report", 12.0, 500.0, "repeatable"),
                    class("journal-load", 12.0, 500.0, "once")
                ],
                "tenants": firms.collect::<Vec<_>>()
            }
        });
        if self.control {
            config["control"] = "127.0.0.1:0".into();
        }
        if self.workers > 1 {
            config["workers"] = self.workers.into();
            config["pin_workers"] = self.pin.into();
            if let Some(shards) = self.shards {
                config["shards"] = shards.min(self.workers).into();
            }
        }
        config
    }
}

impl DispatcherProcess {
    /// Starts it and waits until it takes clients.
    pub async fn start(path: &Path, setting: &DispatcherOptions) -> io::Result<DispatcherProcess> {
        let folder = std::env::temp_dir().join(format!("sedgebeam-lab-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let file = folder.join(format!("workers-{}.json", setting.workers));
        std::fs::write(&file, setting.config().to_string())?;
        let mut child = Command::new(path)
            .args(["serve", "--config"])
            .arg(&file)
            .env_remove("PROXY_CONFIG")
            .env_remove("PROXY_LISTEN")
            .env("SEDGEBEAM_LOG", "info")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let log = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(log).lines();
        let mut control = None;
        let started = async {
            while let Some(line) = lines.next_line().await? {
                if let Some((_, door)) = line.split_once("takes calls of operators on ") {
                    control = Some(door.trim().parse().map_err(io::Error::other)?);
                }
                if let Some((_, address)) = line.split_once("serves PostgreSQL clients on ") {
                    return address.trim().parse().map_err(io::Error::other);
                }
            }
            Err(io::Error::other("the program ended before it took clients"))
        };
        let address = timeout(STARTS_WITHIN, started)
            .await
            .map_err(io::Error::other)??;
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if line.contains(" WARN ") || line.contains(" ERROR ") {
                    eprintln!("  program: {line}");
                }
            }
        });
        Ok(DispatcherProcess {
            child,
            address,
            control,
            folder,
        })
    }

    /// Processor time that it has used, of all its threads.
    pub fn cpu_time(&self) -> io::Result<Duration> {
        let id = self.child.id().ok_or(io::ErrorKind::NotFound)?;
        process_cpu_time(&id.to_string())
    }

    pub async fn stop(mut self) -> io::Result<()> {
        self.child.kill().await
    }
}

impl Drop for DispatcherProcess {
    fn drop(&mut self) {
        // What is left behind is a file in the temporary folder.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Processor time that a process has used, by its number or `self`.
pub fn process_cpu_time(process: &str) -> io::Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // Behind the name, which may hold spaces: user and system time are the 12th and 13th field.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
    // The unit of these fields is a hundredth of a second on Linux.
    Ok(Duration::from_millis(ticks * 10))
}
