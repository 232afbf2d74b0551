//! Starts the dispatcher on loopback with the configuration of an experiment, and measures its CPU time.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

const MAX_STARTUP_TIME: Duration = Duration::from_secs(10);

/// The options of a dispatcher under test.
#[derive(Clone, Debug)]
pub struct DispatcherOptions {
    /// Number of workers.
    pub workers: usize,
    /// Number of gateway shards, at most one for each worker; `None` leaves the dispatcher's default.
    pub shards: Option<usize>,
    /// Whether each worker is pinned to a core.
    pub pin_workers: bool,
    /// Whether the control socket is open.
    pub control_socket: bool,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Cores of each engine, from which the gateway derives its slots.
    pub engine_cores: u32,
    /// Tenants and their shares.
    pub tenants: Vec<(String, f64)>,
}

/// A running dispatcher.
pub struct DispatcherProcess {
    child: Child,
    /// The address for PostgreSQL clients.
    pub address: SocketAddr,
    /// The address of the control socket, if it is open.
    pub control_address: Option<SocketAddr>,
    config_dir: PathBuf,
}

impl DispatcherOptions {
    fn config(&self) -> serde_json::Value {
        let engines = self.engines.iter().enumerate().map(|(index, address)| {
            serde_json::json!({
                "uid": format!("lab-{index:08x}"), "endpoint": address.to_string(), "az": "a",
                "model": "std", "state": "up"
            })
        });
        let tenants = self.tenants.iter();
        let tenants =
            tenants.map(|(name, portion)| serde_json::json!({"name": name, "portion": portion}));
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
                "tenants": tenants.collect::<Vec<_>>()
            }
        });
        if self.control_socket {
            config["control"] = "127.0.0.1:0".into();
        }
        if self.workers > 1 {
            config["workers"] = self.workers.into();
            config["pin_workers"] = self.pin_workers.into();
            if let Some(shards) = self.shards {
                config["shards"] = shards.min(self.workers).into();
            }
        }
        config
    }
}

impl DispatcherProcess {
    /// Starts the dispatcher and waits until it accepts clients.
    pub async fn start(path: &Path, options: &DispatcherOptions) -> io::Result<DispatcherProcess> {
        let config_dir = std::env::temp_dir().join(format!("sedgebeam-lab-{}", std::process::id()));
        std::fs::create_dir_all(&config_dir)?;
        let config_path = config_dir.join(format!("workers-{}.json", options.workers));
        std::fs::write(&config_path, options.config().to_string())?;
        let mut child = Command::new(path)
            .args(["serve", "--config"])
            .arg(&config_path)
            .env_remove("PROXY_CONFIG")
            .env_remove("PROXY_LISTEN")
            .env("SEDGEBEAM_LOG", "info")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let log = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(log).lines();
        let mut control_address = None;
        let startup = async {
            while let Some(line) = lines.next_line().await? {
                if let Some((_, address)) = line.split_once("takes calls of operators on ") {
                    control_address = Some(address.trim().parse().map_err(io::Error::other)?);
                }
                if let Some((_, address)) = line.split_once("serves PostgreSQL clients on ") {
                    return address.trim().parse().map_err(io::Error::other);
                }
            }
            Err(io::Error::other(
                "the dispatcher exited before it accepted clients",
            ))
        };
        let address = timeout(MAX_STARTUP_TIME, startup)
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
            control_address,
            config_dir,
        })
    }

    /// CPU time used so far by all threads of the process.
    pub fn cpu_time(&self) -> io::Result<Duration> {
        let pid = self.child.id().ok_or(io::ErrorKind::NotFound)?;
        process_cpu_time(&pid.to_string())
    }

    pub async fn stop(mut self) -> io::Result<()> {
        self.child.kill().await
    }
}

impl Drop for DispatcherProcess {
    fn drop(&mut self) {
        // A failure only leaves a file in the temporary directory.
        let _ = std::fs::remove_dir_all(&self.config_dir);
    }
}

/// CPU time that a process has used so far. `pid` is its id or `self`.
pub fn process_cpu_time(pid: &str) -> io::Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name in parentheses may contain spaces, so count from its end: user and system time are the 12th and
    // 13th field after it.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
    // These fields are in units of 1/100 s on Linux.
    Ok(Duration::from_millis(ticks * 10))
}
