//! Test harness: starts the program on ephemeral loopback ports between scripted peers and runs scripts against it.
//!
//! A script line is `PEER VERB ARGUMENTS`. `send` gives a peer a command, `expect` waits for the peer's next event and
//! checks its prefix, `close` ends a peer, and `wait` waits for a text in the program's log. Events are queued for each
//! peer, so a script does not depend on timing.
//!
//! The name of a peer selects its kind:
//! - `c1`: a PostgreSQL client; `f1`: a Flight SQL client
//! - `e1`: an engine that speaks RESP; `g1`: an engine that speaks Flight SQL; `m1`: an engine that accepts
//!   connections and never replies
//! - `log`: the change log; `d1`: a change log that is down; `s1`: a change log that accepts connections and sends nothing
//! - `op`: a client of the control socket (`send INFO WORD` reports the metrics whose names begin with WORD)
//! - `adm`: a client of the administration front
//! - `tcp`, `tf`, `ta`, `to`: raw bytes to the PostgreSQL front, the Flight SQL front, the administration front and the
//!   control socket
//! - `app`: the program. `send reload LOG`, `send truncated` and `send replace TEXT => TEXT` rewrite the platform's file
//!   and send SIGHUP; `close` sends SIGTERM; `expect STATUS` waits for the exit status

use crate::faults::FaultInjector;
use crate::{engines, flight_client, flight_engine, pg_client};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Ends a scenario that would otherwise wait forever; no assertion depends on its length.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// The test's ends of the channels of a peer.
pub struct Peer {
    pub commands: mpsc::UnboundedSender<String>,
    pub events: mpsc::UnboundedReceiver<String>,
}

/// The peer task's ends of the same channels.
pub struct PeerTask {
    pub commands: mpsc::UnboundedReceiver<String>,
    pub events: mpsc::UnboundedSender<String>,
}

pub fn peer_channels() -> (Peer, PeerTask) {
    let (command_sender, command_receiver) = mpsc::unbounded_channel();
    let (event_sender, event_receiver) = mpsc::unbounded_channel();
    (
        Peer {
            commands: command_sender,
            events: event_receiver,
        },
        PeerTask {
            commands: command_receiver,
            events: event_sender,
        },
    )
}

pub struct Harness {
    runtime: Runtime,
    program: Child,
    log_lines: mpsc::UnboundedReceiver<String>,
    peers: HashMap<String, Peer>,
    /// Listen addresses of the program by the first letter of the client's kind.
    listen_addresses: HashMap<&'static str, String>,
    engine_endpoints: HashMap<String, String>,
    directory: PathBuf,
    /// The platform's configuration file without the `changelog` key and the closing brace.
    platform_config: String,
}

/// How the program is started.
pub struct Options<'a> {
    pub workers: usize,
    /// The `settings` object of the platform's configuration file.
    pub settings: &'a str,
    /// The listen address for PostgreSQL clients.
    pub listen: &'a str,
    pub faults: Option<&'a FaultInjector>,
    /// `boot_ms` of every engine in the list: its start time by its own clock.
    pub boot_ms: u64,
}

impl Default for Options<'_> {
    fn default() -> Self {
        Options {
            workers: 1,
            settings: SETTINGS,
            listen: "127.0.0.1:0",
            faults: None,
            boot_ms: 0,
        }
    }
}

/// Limit on the file descriptors of the program, in its configuration and by `ulimit`.
pub const MAX_DESCRIPTORS: usize = 128;

pub const SETTINGS: &str = r#"{"balancers": 1, "kinds": ["std"], "zones": ["a"], "zone": "a", "tick": 5.0,
  "domain": {"class_load": [false, false, true], "class_waits": [true, true, false], "priorities": true,
    "threads_by_class": [1, 4, 2], "size_cores": [12], "size_mb": [24576.0], "tells_cost": true},
  "limits": {"cancel": true, "max_attempts": 3, "max_streams": 4, "connect_timeout": 250.0,
    "conn_idle": 30000.0, "max_retry_after": 1000.0},
  "rules": {"answer_slack": 20.0, "drain_grace": 500.0},
  "services": [
    {"name": "lookup", "worth": 1.0, "on_time": 500.0, "give_up": 60000.0, "effect": "repeatable"},
    {"name": "report", "worth": 12.0, "on_time": 300.0, "give_up": 60000.0, "effect": "repeatable"},
    {"name": "journal-load", "worth": 12.0, "on_time": 300.0, "give_up": 60000.0, "effect": "once"}],
  "tenants": [{"name": "acme", "portion": 1.0}]}"#;

/// A target of the engine list in the format of the change log.
fn target_json(name: &str, endpoint: &str, state: &str, boot_ms: u64) -> String {
    let uid = name
        .bytes()
        .fold(0u32, |sum, byte| sum * 256 + u32::from(byte));
    format!(
        r#"{{"uid":"s-{uid:08x}","endpoint":"{endpoint}","az":"a","model":"std","pod_group":0,"state":"{state}","capacity_hint":1,"boot_ms":{boot_ms}}}"#
    )
}

impl Harness {
    /// Starts the program with one worker and these scripted servers: engines and change logs.
    pub fn new(servers: &[&str]) -> Harness {
        Harness::with_workers(servers, 1)
    }

    pub fn with_workers(servers: &[&str], workers: usize) -> Harness {
        let options = Options {
            workers,
            ..Options::default()
        };
        Harness::with_options(servers, &options)
    }

    /// Starts the program and waits until it serves.
    pub fn with_options(servers: &[&str], options: &Options) -> Harness {
        let mut harness = Harness::start(servers, options);
        harness.wait_until_serving();
        harness
    }

    /// Starts the program without waiting until it serves.
    pub fn start(servers: &[&str], options: &Options) -> Harness {
        let Options {
            workers,
            settings,
            listen,
            faults,
            boot_ms,
        } = options;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let (mut peers, mut targets, mut changelog) = (HashMap::new(), Vec::new(), None);
        let mut engine_endpoints = HashMap::new();
        for name in servers {
            let (peer, peer_task) = peer_channels();
            let listener = runtime
                .block_on(TcpListener::bind("127.0.0.1:0"))
                .expect("a port");
            let address = listener.local_addr().expect("an address").to_string();
            let endpoint = match &name[..1] {
                "g" | "m" => format!("grpc://{address}"),
                _ => address.clone(),
            };
            match &name[..1] {
                "e" => {
                    runtime.spawn(engines::run_resp_engine(listener, peer_task));
                    targets.push(target_json(name, &endpoint, "up", *boot_ms));
                }
                "g" => {
                    runtime.spawn(flight_engine::run_flight_engine(listener, peer_task));
                    targets.push(target_json(name, &endpoint, "up", *boot_ms));
                }
                "m" => {
                    runtime.spawn(engines::run_unresponsive_engine(listener, peer_task));
                    targets.push(target_json(name, &endpoint, "up", *boot_ms));
                }
                "d" | "s" => {
                    // Without a listener the change log is down; a listener that is never read accepts
                    // connections into its backlog and sends nothing.
                    let open_listener = (&name[..1] == "s").then_some(listener);
                    runtime.spawn(async move {
                        let _open = (open_listener, peer_task);
                        std::future::pending::<()>().await;
                    });
                    changelog.get_or_insert(address);
                }
                _ => {
                    runtime.spawn(engines::run_change_log(listener, peer_task));
                    // The program starts with the first change log; a script can reload to the others.
                    changelog.get_or_insert(address);
                }
            }
            engine_endpoints.insert(name.to_string(), endpoint);
            peers.insert(name.to_string(), peer);
        }
        let directory = create_temp_dir();
        let engine_list_event = format!(
            r#"{{"seq":1,"fleet":{{"rev":1,"all":true,"targets":[{}]}}}}"#,
            targets.join(",")
        );
        let platform_config = format!(
            r#"{{"name":"n0","listen":"{listen}","control":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{{"sockets":{MAX_DESCRIPTORS}}},
               "known":{{"seq":1,"results":[{engine_list_event}]}},"settings":{settings}"#
        );
        let program_config = format!(
            r#"{{"flight": {{"listen": "127.0.0.1:0"}}, "admin": {{"listen": "127.0.0.1:0"}}, "workers": {workers}}}"#
        );
        write_config_file(&directory, &platform_config, changelog.as_deref());
        std::fs::write(directory.join("own.json"), program_config).expect("writes");
        let _runtime_guard = runtime.enter();
        // The kernel enforces the limit that the configuration states.
        let shell_command = format!("ulimit -n {MAX_DESCRIPTORS} && exec \"$0\" \"$@\"");
        let mut program = Command::new("sh")
            .args(["-c", &shell_command, env!("CARGO_BIN_EXE_sedgebeam")])
            .args(["serve", "--config"])
            .arg(directory.join("own.json"))
            .env("PROXY_CONFIG", directory.join("config.json"))
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_NAME")
            .env("SEDGEBEAM_LOG", "info")
            .envs(faults.iter().flat_map(|faults| faults.environment()))
            .stderr(std::process::Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the program starts");
        let (log_sender, log_lines) = mpsc::unbounded_channel();
        let mut lines = BufReader::new(program.stderr.take().expect("piped")).lines();
        runtime.spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                let _ = log_sender.send(line);
            }
        });
        drop(_runtime_guard);
        Harness {
            runtime,
            program,
            log_lines,
            peers,
            listen_addresses: HashMap::new(),
            engine_endpoints,
            directory,
            platform_config,
        }
    }

    /// Reads the listen addresses from the log, which the program prints once it serves.
    pub fn wait_until_serving(&mut self) {
        for (kind, text) in [
            ("o", "takes calls of operators on "),
            ("f", "serves Flight SQL clients on "),
            ("a", "is administered on "),
            ("c", "serves PostgreSQL clients on "),
        ] {
            let address = self.wait_for_log(text);
            self.listen_addresses.insert(kind, address);
        }
    }

    /// Waits for a log line that contains the text and returns the rest of the line.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        let mut last_line = String::new();
        loop {
            let line = self
                .runtime
                .block_on(async { timeout(HANG_TIMEOUT, self.log_lines.recv()).await });
            let line = line.unwrap_or_else(|_| panic!("the log has no line with {text:?}"));
            let log_ended = || panic!("the log ended before {text:?}, with {last_line:?}");
            let line = line.unwrap_or_else(log_ended);
            if let Some((_, rest)) = line.split_once(text) {
                return rest.trim().to_string();
            }
            last_line = line;
        }
    }

    pub fn run_script(&mut self, script: &str) {
        for line in script
            .lines()
            .map(str::trim)
            .filter(|line| !line.is_empty())
        {
            let mut parts = line.splitn(3, ' ');
            println!("{line}");
            let (peer_name, verb) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
            let arguments = parts.next().unwrap_or("");
            match (peer_name, verb) {
                ("app", "wait") => {
                    self.wait_for_log(arguments);
                }
                ("app", "close") => self.signal("-TERM"),
                ("app", "send") => self.reload_config(arguments),
                ("app", "expect") => self.expect_exit_status(arguments),
                (_, "send") => self.send_command(peer_name, arguments),
                (_, "expect") => self.expect_event(peer_name, arguments, line),
                (_, "close") => self.send_command(peer_name, "close"),
                _ => panic!("invalid script line: {line}"),
            }
        }
    }

    fn send_command(&mut self, peer_name: &str, command: &str) {
        if !self.peers.contains_key(peer_name) {
            self.start_client(peer_name);
        }
        let peer = &self.peers[peer_name];
        let command = self.resolve_endpoints(command);
        peer.commands
            .send(command)
            .unwrap_or_else(|_| panic!("{peer_name} has ended"));
    }

    /// Replaces each `@NAME` by the endpoint of that engine.
    fn resolve_endpoints(&self, command: &str) -> String {
        let resolve = |word: &str| match word.strip_prefix('@') {
            Some(name) => self.engine_endpoints[name].clone(),
            None => word.to_string(),
        };
        command
            .split(' ')
            .map(resolve)
            .collect::<Vec<_>>()
            .join(" ")
    }

    fn start_client(&mut self, peer_name: &str) {
        let (peer, peer_task) = peer_channels();
        let address = |kind| self.listen_addresses[kind].clone();
        match &peer_name[..1] {
            "c" => drop(self.runtime.spawn(pg_client::run(address("c"), peer_task))),
            "f" => drop(
                self.runtime
                    .spawn(flight_client::run(address("f"), peer_task)),
            ),
            "o" => drop(
                self.runtime
                    .spawn(run_control_client(address("o"), peer_task)),
            ),
            "a" => drop(
                self.runtime
                    .spawn(run_admin_client(address("a"), peer_task)),
            ),
            "t" => {
                let kind = ["f", "a", "o"]
                    .into_iter()
                    .find(|kind| peer_name[1..].starts_with(kind));
                drop(
                    self.runtime
                        .spawn(run_raw_client(address(kind.unwrap_or("c")), peer_task)),
                );
            }
            _ => panic!("unknown kind of peer: {peer_name}"),
        }
        self.peers.insert(peer_name.to_string(), peer);
    }

    fn expect_event(&mut self, peer_name: &str, prefix: &str, line: &str) {
        if !self.peers.contains_key(peer_name) {
            self.start_client(peer_name);
        }
        let event = self.next_event(peer_name);
        assert!(event.starts_with(prefix), "{line}: got {event:?}");
    }

    /// Waits for the next event of a peer.
    pub fn next_event(&mut self, peer_name: &str) -> String {
        let peer = self.peers.get_mut(peer_name).expect("a peer");
        let event = self
            .runtime
            .block_on(async { timeout(HANG_TIMEOUT, peer.events.recv()).await });
        let event = event.unwrap_or_else(|_| panic!("{peer_name} got no event in time"));
        event.unwrap_or_else(|| panic!("{peer_name} has ended"))
    }

    /// Waits for the next event of any of these peers; returns the peer's name and the event.
    pub fn next_event_of(&mut self, peer_names: &[&str]) -> (String, String) {
        let peers = self.peers.iter_mut();
        let peers = peers.filter(|(name, _)| peer_names.contains(&name.as_str()));
        let next_events =
            peers.map(|(name, peer)| Box::pin(async { (name.clone(), peer.events.recv().await) }));
        let next_event = futures::future::select_all(next_events);
        let event = self
            .runtime
            .block_on(async { timeout(HANG_TIMEOUT, next_event).await });
        let ((name, event), _, _) = event.expect("an event in time");
        (name, event.expect("a peer that has not ended"))
    }

    /// Takes all events of a peer that are queued and not consumed yet.
    pub fn take_pending_events(&mut self, peer_name: &str) -> Vec<String> {
        let peer = self.peers.get_mut(peer_name).expect("a peer");
        std::iter::from_fn(|| peer.events.try_recv().ok()).collect()
    }

    /// Rewrites the platform's file as the command asks and has the program reload it.
    fn reload_config(&mut self, command: &str) {
        match command.strip_prefix("reload ") {
            Some(name) => write_config_file(
                &self.directory,
                &self.platform_config,
                Some(&self.engine_endpoints[name]),
            ),
            None if command == "truncated" => {
                let truncated = self.platform_config[..self.platform_config.len() / 2].to_string();
                self.write_platform_config(&truncated);
            }
            None => {
                let (old_text, new_text) = command["replace ".len()..]
                    .split_once(" => ")
                    .expect("two texts");
                assert!(
                    self.platform_config.contains(old_text),
                    "the file has no {old_text}"
                );
                self.platform_config = self.platform_config.replace(old_text, new_text);
                write_config_file(&self.directory, &self.platform_config, None);
            }
        }
        self.signal("-HUP");
    }

    pub fn write_platform_config(&self, config_text: &str) {
        std::fs::write(self.directory.join("config.json"), config_text).expect("writes");
    }

    /// Rewrites the platform's file, sends SIGHUP and waits for this text in the log.
    pub fn write_config_and_reload(&mut self, config_text: &str, log_text: &str) {
        self.write_platform_config(config_text);
        self.signal("-HUP");
        self.wait_for_log(log_text);
    }

    /// The listen address for a kind of client: `c`, `f`, `a` or `o`.
    pub fn listen_address(&self, kind: &str) -> &str {
        &self.listen_addresses[kind]
    }

    /// Number of file descriptors that the program has open.
    pub fn open_descriptors(&self) -> usize {
        let process_id = self.program.id().expect("the program runs");
        let descriptors = std::fs::read_dir(format!("/proc/{process_id}/fd"));
        descriptors.expect("a directory listing").count()
    }

    /// The platform's configuration file without a change log.
    pub fn platform_config(&self) -> String {
        format!("{}}}", self.platform_config)
    }

    fn signal(&mut self, signal: &str) {
        let process_id = self.program.id().expect("the program runs").to_string();
        let kill = std::process::Command::new("kill")
            .args([signal, &process_id])
            .status();
        assert!(kill.expect("kill runs").success());
    }

    fn expect_exit_status(&mut self, expected: &str) {
        let status = self
            .runtime
            .block_on(async { timeout(HANG_TIMEOUT, self.program.wait()).await });
        let status = status.expect("the program ends").expect("a status");
        assert_eq!(
            status.code().map(|code| code.to_string()).as_deref(),
            Some(expected)
        );
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn write_config_file(directory: &Path, platform_config: &str, changelog: Option<&str>) {
    let changelog_entry = changelog.map_or(String::new(), |address| {
        format!(r#","changelog":"{address}""#)
    });
    std::fs::write(
        directory.join("config.json"),
        format!("{platform_config}{changelog_entry}}}"),
    )
    .expect("writes");
}

/// Creates a temporary directory that no other test uses.
pub fn create_temp_dir() -> PathBuf {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let directory = std::env::temp_dir().join(format!("sedgebeam-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    directory
}

/// The change log event for `SEQ STATE NAME ENDPOINT`; the state `snapshot` makes it the complete list. `STATE@BOOT_MS`
/// gives the engine a start time.
pub fn change_event(seq: &str, state: &str, name: &str, endpoint: &str) -> String {
    let (state, boot_ms) = state.split_once('@').unwrap_or((state, "0"));
    let is_complete = state == "snapshot";
    let state = if is_complete { "up" } else { state };
    let boot_ms = boot_ms.parse().expect("a start time");
    let target = target_json(name, endpoint, state, boot_ms);
    format!(r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":{is_complete},"targets":[{target}]}}}}"#)
}

/// A client of the administration front: `send METHOD PATH [BODY]`; its event is the status and the body.
async fn run_admin_client(address: String, mut peer_task: PeerTask) {
    while let Some(command_line) = peer_task.commands.recv().await {
        let mut parts = command_line.splitn(3, ' ');
        let (method, path) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let body = parts.next().unwrap_or("");
        let mut stream = TcpStream::connect(&address).await.expect("connects");
        let request = format!(
            "{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.expect("writes");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("reads");
        let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
        let status = head.split(' ').nth(1).expect("a status");
        let _ = peer_task.events.send(format!("{status} {body}"));
    }
}

/// A client of the control socket, with one connection per command. Its events are the first line of the answer and the
/// metrics that were asked for.
async fn run_control_client(address: String, mut peer_task: PeerTask) {
    while let Some(command_line) = peer_task.commands.recv().await {
        let (command, name_prefix) = command_line.split_once(' ').unwrap_or((&command_line, "-"));
        // A bare INFO reports all lines; any other command without an argument only the first.
        let name_prefix = if command_line == "INFO" {
            ""
        } else {
            name_prefix
        };
        let mut stream = TcpStream::connect(&address).await.expect("connects");
        let line = format!("{command}\n");
        stream.write_all(line.as_bytes()).await.expect("writes");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("reads");
        let mut lines = answer.lines();
        let first_line = lines.next().unwrap_or("no answer");
        let _ = peer_task.events.send(first_line.to_string());
        for line in lines.filter(|line| line.starts_with(name_prefix)) {
            let _ = peer_task.events.send(line.to_string());
        }
    }
}

/// A client that sends and receives raw bytes, written in hexadecimal.
async fn run_raw_client(address: String, mut peer_task: PeerTask) {
    let stream = TcpStream::connect(address).await.expect("connects");
    let (mut read, mut write) = stream.into_split();
    let events = peer_task.events.clone();
    tokio::spawn(async move {
        let mut bytes = [0; 4096];
        while let Ok(count) = read.read(&mut bytes).await
            && count > 0
        {
            let hex: String = bytes[..count]
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect();
            let _ = events.send(hex);
        }
        let _ = events.send("closed".to_string());
    });
    while let Some(command_line) = peer_task.commands.recv().await {
        let digits: Vec<u8> = command_line.bytes().filter(u8::is_ascii_hexdigit).collect();
        let pairs = digits
            .chunks(2)
            .map(|pair| std::str::from_utf8(pair).expect("ASCII"));
        let bytes: Vec<u8> = pairs
            .map(|pair| u8::from_str_radix(pair, 16).expect("hex"))
            .collect();
        if write.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
