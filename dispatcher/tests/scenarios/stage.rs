//! The one helper of all scenarios, and their language.
//!
//! A line is `PEER VERB WORDS`. `send` makes a peer say something; `expect` waits until what the peer
//! hears next begins with the words; `close` ends a peer; `wait` waits for words in the program's log.
//! What a peer hears is queued for it, so nothing depends on how fast anything is. Peers are made by
//! their names: `c1` a PostgreSQL client, `f1` a Flight SQL client, `e1` an engine that speaks RESP,
//! `g1` one that speaks Flight SQL, `m1` one that
//! takes connections and says nothing, `d1` and `s1` change logs that are down or silent, `op` an operator at the door (`send INFO WORD` hears the figures whose
//! names begin so), `adm` the administration, `log` the change log, `tcp` bare bytes (`tf` and `ta` to
//! the Flight SQL front and the administration, `to` to the door); `app` is the
//! program: `send reload LOG`, `send half` and `send put TEXT => TEXT` replace its file, or a text in it, and tell it,
//! `close` ends it in order.

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

/// No verdict hangs on this: it only ends a scenario that would wait for ever.
const HANGS: Duration = Duration::from_secs(60);

/// A peer's two ends: what it is to say, and what it has heard.
pub struct Peer {
    pub say: mpsc::UnboundedSender<String>,
    pub heard: mpsc::UnboundedReceiver<String>,
}

/// A peer's task has the other ends.
pub struct Role {
    pub say: mpsc::UnboundedReceiver<String>,
    pub heard: mpsc::UnboundedSender<String>,
}

pub fn peer() -> (Peer, Role) {
    let (say, to_say) = mpsc::unbounded_channel();
    let (hear, heard) = mpsc::unbounded_channel();
    (
        Peer { say, heard },
        Role {
            say: to_say,
            heard: hear,
        },
    )
}

pub struct Stage {
    runtime: Runtime,
    app: Child,
    log: mpsc::UnboundedReceiver<String>,
    peers: HashMap<String, Peer>,
    /// Where the program listens, by the kind of client.
    addresses: HashMap<&'static str, String>,
    endpoints: HashMap<String, String>,
    folder: PathBuf,
    /// The platform's file, without the change log and its end.
    config: String,
}

/// How the program is started.
pub struct Options<'a> {
    pub workers: usize,
    /// The settings in the platform's file.
    pub settings: &'a str,
    /// Where clients are to connect.
    pub listen: &'a str,
    pub faults: Option<&'a FaultInjector>,
    /// The start of every engine by its own clock, as the list tells it.
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

/// Descriptors of the program.
pub const SOCKETS: usize = 128;

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

/// An engine as the change log lists it.
fn target(name: &str, endpoint: &str, state: &str) -> String {
    target_started(name, endpoint, state, 0)
}

/// The same, with its start by its own clock.
fn target_started(name: &str, endpoint: &str, state: &str, boot_ms: u64) -> String {
    let uid = name
        .bytes()
        .fold(0u32, |sum, byte| sum * 256 + u32::from(byte));
    format!(
        r#"{{"uid":"s-{uid:08x}","endpoint":"{endpoint}","az":"a","model":"std","pod_group":0,"state":"{state}","capacity_hint":1,"boot_ms":{boot_ms}}}"#
    )
}

impl Stage {
    /// Starts the program before these engines; `changelog` plays the change log too.
    pub fn new(engines: &[&str]) -> Stage {
        Stage::with_workers(engines, 1)
    }

    /// The same with the program on so many workers.
    pub fn with_workers(engines: &[&str], workers: usize) -> Stage {
        let options = Options {
            workers,
            ..Options::default()
        };
        Stage::with(engines, &options)
    }

    /// The same with the program started in this way.
    pub fn with(engines: &[&str], options: &Options) -> Stage {
        let mut stage = Stage::starting(engines, options);
        stage.serving();
        stage
    }

    /// Starts the program, and does not wait until it serves.
    pub fn starting(engines: &[&str], options: &Options) -> Stage {
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
        let mut endpoints = HashMap::new();
        for name in engines {
            let (peer, role) = peer();
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
                    runtime.spawn(engines::resp(listener, role));
                    targets.push(target_started(name, &endpoint, "up", *boot_ms));
                }
                "g" => {
                    runtime.spawn(flight_engine::serve(listener, role));
                    targets.push(target_started(name, &endpoint, "up", *boot_ms));
                }
                "m" => {
                    runtime.spawn(engines::mute(listener, role));
                    targets.push(target_started(name, &endpoint, "up", *boot_ms));
                }
                "d" | "s" => {
                    // A change log that is down, or one that takes connections and never says anything.
                    let kept = (&name[..1] == "s").then_some(listener);
                    runtime.spawn(async move {
                        let _kept = (kept, role);
                        std::future::pending::<()>().await;
                    });
                    changelog.get_or_insert(address);
                }
                _ => {
                    runtime.spawn(engines::changelog(listener, role));
                    // Others than the first are for a reload.
                    changelog.get_or_insert(address);
                }
            }
            endpoints.insert(name.to_string(), endpoint);
            peers.insert(name.to_string(), peer);
        }
        let folder = folder();
        let known = format!(
            r#"{{"seq":1,"fleet":{{"rev":1,"all":true,"targets":[{}]}}}}"#,
            targets.join(",")
        );
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","control":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{{"sockets":{SOCKETS}}},
               "known":{{"seq":1,"results":[{known}]}},"settings":{settings}"#
        );
        let own = format!(
            r#"{{"flight": {{"listen": "127.0.0.1:0"}}, "admin": {{"listen": "127.0.0.1:0"}}, "workers": {workers}}}"#
        );
        write_config(&folder, &config, changelog.as_deref());
        std::fs::write(folder.join("own.json"), own).expect("writes");
        let _inside = runtime.enter();
        // It gets no more descriptors than it is told of.
        let limited = format!("ulimit -n {SOCKETS} && exec \"$0\" \"$@\"");
        let mut app = Command::new("sh")
            .args(["-c", &limited, env!("CARGO_BIN_EXE_sedgebeam")])
            .args(["serve", "--config"])
            .arg(folder.join("own.json"))
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_NAME")
            .env("SEDGEBEAM_LOG", "info")
            .envs(faults.iter().flat_map(|faults| faults.environment()))
            .stderr(std::process::Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the program starts");
        let (told, log) = mpsc::unbounded_channel();
        let mut lines = BufReader::new(app.stderr.take().expect("piped")).lines();
        runtime.spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                let _ = told.send(line);
            }
        });
        drop(_inside);
        Stage {
            runtime,
            app,
            log,
            peers,
            addresses: HashMap::new(),
            endpoints,
            folder,
            config,
        }
    }

    /// Waits until the program serves.
    pub fn serving(&mut self) {
        for (kind, words) in [
            ("o", "takes calls of operators on "),
            ("f", "serves Flight SQL clients on "),
            ("a", "is administered on "),
            ("c", "serves PostgreSQL clients on "),
        ] {
            let address = self.logged(words);
            self.addresses.insert(kind, address);
        }
    }

    /// Waits for a line of the log that holds the words; what stands behind them.
    pub fn logged(&mut self, words: &str) -> String {
        let mut last = String::new();
        loop {
            let line = self
                .runtime
                .block_on(async { timeout(HANGS, self.log.recv()).await });
            let line = line.unwrap_or_else(|_| panic!("the log never said {words:?}"));
            let ended = || panic!("the log ended before {words:?}, with {last:?}");
            let line = line.unwrap_or_else(ended);
            if let Some((_, rest)) = line.split_once(words) {
                return rest.trim().to_string();
            }
            last = line;
        }
    }

    /// Plays the lines of a scenario, in order.
    pub fn play(&mut self, scenario: &str) {
        for line in scenario
            .lines()
            .map(str::trim)
            .filter(|line| !line.is_empty())
        {
            let mut parts = line.splitn(3, ' ');
            println!("{line}");
            let (who, verb) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
            let words = parts.next().unwrap_or("");
            match (who, verb) {
                ("app", "wait") => {
                    self.logged(words);
                }
                ("app", "close") => self.signal("-TERM"),
                ("app", "send") => self.reload(words),
                ("app", "expect") => self.ended(words),
                (_, "send") => self.send(who, words),
                (_, "expect") => self.expect(who, words, line),
                (_, "close") => self.send(who, "close"),
                _ => panic!("no such line: {line}"),
            }
        }
    }

    fn send(&mut self, who: &str, words: &str) {
        if !self.peers.contains_key(who) {
            self.join(who);
        }
        let peer = &self.peers[who];
        let words = self.resolved(words);
        peer.say
            .send(words)
            .unwrap_or_else(|_| panic!("{who} has ended"));
    }

    /// The words, with the endpoint of an engine for `@NAME`.
    fn resolved(&self, words: &str) -> String {
        let word = |word: &str| match word.strip_prefix('@') {
            Some(name) => self.endpoints[name].clone(),
            None => word.to_string(),
        };
        words.split(' ').map(word).collect::<Vec<_>>().join(" ")
    }

    fn join(&mut self, who: &str) {
        let (peer, role) = peer();
        let address = |kind| self.addresses[kind].clone();
        match &who[..1] {
            "c" => drop(self.runtime.spawn(pg_client::run(address("c"), role))),
            "f" => drop(self.runtime.spawn(flight_client::run(address("f"), role))),
            "o" => drop(self.runtime.spawn(operator(address("o"), role))),
            "a" => drop(self.runtime.spawn(administrator(address("a"), role))),
            "t" => {
                let kind = ["f", "a", "o"]
                    .into_iter()
                    .find(|kind| who[1..].starts_with(kind));
                drop(self.runtime.spawn(bare(address(kind.unwrap_or("c")), role)));
            }
            _ => panic!("no peer {who}"),
        }
        self.peers.insert(who.to_string(), peer);
    }

    fn expect(&mut self, who: &str, words: &str, line: &str) {
        if !self.peers.contains_key(who) {
            self.join(who);
        }
        let heard = self.hear(who);
        assert!(heard.starts_with(words), "{line}: but heard {heard:?}");
    }

    /// What a peer hears next.
    pub fn hear(&mut self, who: &str) -> String {
        let peer = self.peers.get_mut(who).expect("a peer");
        let heard = self
            .runtime
            .block_on(async { timeout(HANGS, peer.heard.recv()).await });
        let heard = heard.unwrap_or_else(|_| panic!("{who} hears nothing more"));
        heard.unwrap_or_else(|| panic!("{who} has ended"))
    }

    /// What any of these peers hears next, and which.
    pub fn hear_any(&mut self, who: &[&str]) -> (String, String) {
        let peers = self.peers.iter_mut();
        let peers = peers.filter(|(name, _)| who.contains(&name.as_str()));
        let next =
            peers.map(|(name, peer)| Box::pin(async { (name.clone(), peer.heard.recv().await) }));
        let next = futures::future::select_all(next);
        let heard = self.runtime.block_on(async { timeout(HANGS, next).await });
        let ((name, heard), _, _) = heard.expect("something is heard");
        (name, heard.expect("a peer that has not ended"))
    }

    /// All that a peer has heard up to now and has not been expected.
    pub fn left(&mut self, who: &str) -> Vec<String> {
        let peer = self.peers.get_mut(who).expect("a peer");
        std::iter::from_fn(|| peer.heard.try_recv().ok()).collect()
    }

    /// Has the program read a file that names another change log, or one that is half written.
    fn reload(&mut self, words: &str) {
        match words.strip_prefix("reload ") {
            Some(name) => write_config(&self.folder, &self.config, Some(&self.endpoints[name])),
            None if words == "half" => {
                let half = self.config[..self.config.len() / 2].to_string();
                self.replace(&half);
            }
            None => {
                let (old, new) = words["put ".len()..].split_once(" => ").expect("two texts");
                assert!(self.config.contains(old), "{old} is in the file");
                self.config = self.config.replace(old, new);
                write_config(&self.folder, &self.config, None);
            }
        }
        self.signal("-HUP");
    }

    /// Replaces the platform's file.
    pub fn replace(&self, text: &str) {
        std::fs::write(self.folder.join("config.json"), text).expect("writes");
    }

    /// Replaces the platform's file, tells the program, and waits for these words in its log.
    pub fn retune(&mut self, text: &str, words: &str) {
        self.replace(text);
        self.signal("-HUP");
        self.logged(words);
    }

    /// Where the program listens, by the kind of client.
    pub fn address(&self, kind: &str) -> &str {
        &self.addresses[kind]
    }

    /// Descriptors that the program holds.
    pub fn descriptors(&self) -> usize {
        let id = self.app.id().expect("it runs");
        let held = std::fs::read_dir(format!("/proc/{id}/fd"));
        held.expect("they are listed").count()
    }

    /// The platform's file as it is without a change log.
    pub fn config(&self) -> String {
        format!("{}}}", self.config)
    }

    fn signal(&mut self, signal: &str) {
        let id = self.app.id().expect("it runs").to_string();
        let kill = std::process::Command::new("kill")
            .args([signal, &id])
            .status();
        assert!(kill.expect("kill runs").success());
    }

    fn ended(&mut self, words: &str) {
        let status = self
            .runtime
            .block_on(async { timeout(HANGS, self.app.wait()).await });
        let status = status.expect("the program ends").expect("a status");
        assert_eq!(
            status.code().map(|code| code.to_string()).as_deref(),
            Some(words)
        );
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn write_config(folder: &Path, config: &str, changelog: Option<&str>) {
    let log = changelog.map_or(String::new(), |address| {
        format!(r#","changelog":"{address}""#)
    });
    std::fs::write(folder.join("config.json"), format!("{config}{log}}}")).expect("writes");
}

/// A folder of this scenario's own.
pub fn folder() -> PathBuf {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("sedgebeam-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// An entry of the change log: `SEQ STATE NAME ENDPOINT`; with `whole` as state, the whole list.
pub fn change(seq: &str, state: &str, name: &str, endpoint: &str) -> String {
    let all = state == "whole";
    let target = target(name, endpoint, if all { "up" } else { state });
    format!(r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":{all},"targets":[{target}]}}}}"#)
}

/// Administers: `send METHOD PATH [BODY]`; hears the status and the body.
async fn administrator(address: String, mut role: Role) {
    while let Some(words) = role.say.recv().await {
        let mut parts = words.splitn(3, ' ');
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
        let _ = role.heard.send(format!("{status} {body}"));
    }
}

/// Calls at the door, each on a connection of its own; hears the first line, and the figures asked for.
async fn operator(address: String, mut role: Role) {
    while let Some(words) = role.say.recv().await {
        let (call, wanted) = words.split_once(' ').unwrap_or((&words, "-"));
        // All that is told, but for one who asks only whether it is.
        let wanted = if words == "INFO" { "" } else { wanted };
        let mut stream = TcpStream::connect(&address).await.expect("connects");
        let line = format!("{call}\n");
        stream.write_all(line.as_bytes()).await.expect("writes");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("reads");
        let mut lines = answer.lines();
        let first = lines.next().unwrap_or("no answer");
        let _ = role.heard.send(first.to_string());
        for line in lines.filter(|line| line.starts_with(wanted)) {
            let _ = role.heard.send(line.to_string());
        }
    }
}

/// Bytes as they are: `send` takes hexadecimal; what comes back is told in it.
async fn bare(address: String, mut role: Role) {
    let stream = TcpStream::connect(address).await.expect("connects");
    let (mut read, mut write) = stream.into_split();
    let heard = role.heard.clone();
    tokio::spawn(async move {
        let mut bytes = [0; 4096];
        while let Ok(count) = read.read(&mut bytes).await
            && count > 0
        {
            let hex: String = bytes[..count]
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect();
            let _ = heard.send(hex);
        }
        let _ = heard.send("closed".to_string());
    });
    while let Some(words) = role.say.recv().await {
        let digits: Vec<u8> = words.bytes().filter(u8::is_ascii_hexdigit).collect();
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
