//! Processes of the dispatcher, started with the command of the deploy file.

use crate::record::Record;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// The command `run` of the deploy file.
fn run_command(root: &str) -> String {
    let text = fs::read_to_string(Path::new(root).join("deploy/balancer.toml"))
        .expect("read the deploy file");
    let line = text
        .lines()
        .find(|line| line.starts_with("run = \""))
        .expect("the deploy file has `run`");
    let rest = line.trim_start_matches("run = \"");
    rest[..rest.find('"').expect("a closing quote")].to_string()
}

/// An address that nobody uses at the moment.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    listener.local_addr().expect("an address")
}

/// The folder of one dispatcher: its configuration and its $TMPDIR, which all its processes share.
pub struct Folder {
    pub path: PathBuf,
    /// Descriptors and memory that the configuration allows.
    pub sockets: u32,
    pub memory_mb: u32,
}

impl Folder {
    pub fn create(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(path.join("tmp")).expect("create a temporary folder");
        Folder {
            path,
            sockets: 1024,
            memory_mb: 192,
        }
    }

    pub fn configure(
        &self,
        listen: SocketAddr,
        control: Option<SocketAddr>,
        change_log: SocketAddr,
        known: &str,
        settings: &str,
    ) {
        let control = control.map_or(String::new(), |address| {
            format!(r#""control":"{address}","#)
        });
        let text = format!(
            r#"{{"name":"n1","listen":"{listen}",{control}"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"changelog":"{change_log}","known":{known},"settings":{settings}}}"#,
            self.memory_mb, self.sockets
        );
        fs::write(self.path.join("config.json"), text).expect("write the configuration");
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// The children that run.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all children, where a case does not end by itself.
pub fn kill_all() {
    for id in CHILDREN.lock().expect("no writer panics").iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

/// A child process, killed when it is dropped.
pub struct Process {
    pub name: String,
    pub child: Child,
    log: Option<PathBuf>,
    record: Record,
}

impl Process {
    pub fn wrap(name: &str, child: Child, record: &Record) -> Process {
        CHILDREN.lock().expect("no writer panics").push(child.id());
        Process {
            name: name.to_string(),
            child,
            log: None,
            record: record.clone(),
        }
    }

    /// Starts a dispatcher process. `socket` is the clients' listening socket where the platform holds it; the process
    /// inherits it as descriptor 7.
    pub fn dispatcher(
        name: &str,
        root: &str,
        folder: &Folder,
        listen: SocketAddr,
        control: Option<SocketAddr>,
        socket: Option<&TcpListener>,
        record: &Record,
    ) -> Process {
        let run = run_command(root);
        let log_path = folder.path.join(format!("log-{name}"));
        let log = File::create(&log_path).expect("create a log");
        let mut command = Command::new("/bin/sh");
        command
            .current_dir(root)
            .env("PROXY_NAME", "n1")
            .env("PROXY_LISTEN", listen.to_string())
            .env("PROXY_CONFIG", folder.path.join("config.json"))
            .env("TMPDIR", folder.path.join("tmp"))
            .env_remove("PROXY_CONTROL")
            .env_remove("PROXY_PASSED_SOCKET")
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log);
        if let Some(control) = control {
            command.env("PROXY_CONTROL", control.to_string());
        }
        match socket {
            Some(socket) => {
                let descriptor: OwnedFd = socket.try_clone().expect("a second handle").into();
                command
                    .env("PROXY_PASSED_SOCKET", "7")
                    .stdin(Stdio::from(descriptor))
                    .args(["-c", &format!("exec 7<&0 0</dev/null; {run}")]);
            }
            None => {
                command.stdin(Stdio::null()).args(["-c", &run]);
            }
        }
        let child = command.spawn().expect("start the dispatcher");
        record.line(&format!("{name}: started: {run}"));
        let mut process = Process::wrap(name, child, record);
        process.log = Some(log_path);
        process
    }

    pub fn signal(&self, signal: &str) {
        self.record.line(&format!("{}: SIG{signal}", self.name));
        let status = Command::new("kill")
            .args([&format!("-{signal}"), &self.child.id().to_string()])
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "a signal was not sent"
        );
    }

    /// Waits for the process to end; false if it does not in time.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait().expect("the state of a child") {
                self.record.line(&format!("{}: ended: {status}", self.name));
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        CHILDREN
            .lock()
            .expect("no writer panics")
            .retain(|known| *known != id);
        if let Some(log) = &self.log {
            let text = fs::read_to_string(log).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let start = lines.len().saturating_sub(60);
            self.record.text(&format!(
                "--- log of {} ---\n{}",
                self.name,
                lines[start..].join("\n")
            ));
        }
    }
}

/// One call of the control socket; its answer.
pub fn control(address: SocketAddr, call: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{call}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Polls until the check holds; false if it does not in time.
pub fn wait_until(limit: Duration, mut check: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if check() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
