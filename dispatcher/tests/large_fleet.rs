//! The memory of one dispatcher in a fleet of the maximum size, by the peak resident size that the kernel reports.

#[path = "settings/mod.rs"]
mod settings;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

/// Ends a test that would wait forever; no assertion depends on the value.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of engines in a fleet of the usual size, and in one of the maximum size.
const USUAL_ENGINES: usize = 200;
const MAX_ENGINES: usize = 3_200;
/// Number of dispatchers in a fleet of the maximum size.
const DISPATCHERS: u32 = 900;
/// The operators' memory bound at the maximum size: this multiple of the usage at the usual size, plus a constant, plus an
/// amount per 1000 engines.
const MAX_MEMORY_RATIO: f64 = 1.5;
const MAX_EXTRA_KB: f64 = 8.0 * 1024.0;
const MAX_EXTRA_KB_PER_1000_ENGINES: f64 = 4.0 * 1024.0;
/// The lowest memory limit under which a dispatcher must accept a complete list of the maximum size.
const MIN_MEMORY_LIMIT_KB: u64 = 48 * 1024;
/// Size of a long entry of the engine list.
const LONG_ENTRY_BYTES: usize = 500;

/// A list entry, padded to at least `min_bytes`.
fn list_entry(number: usize, min_bytes: usize) -> String {
    let (host, port) = (number / 200, 10_000 + number % 200);
    let entry = format!(
        r#"{{"uid":"s-{number:08x}","endpoint":"127.9.{host}.1:{port}","az":"a","model":"std","pod_group":0,"state":"up","capacity_hint":4,"boot_ms":0"#
    );
    let padding = " ".repeat(min_bytes.saturating_sub(entry.len() + 1));
    format!("{entry}{padding}}}")
}

/// The event with a complete list of this many engines.
fn complete_list_event(seq: usize, engines: usize, min_entry_bytes: usize) -> String {
    let entries: Vec<String> = (0..engines)
        .map(|number| list_entry(number, min_entry_bytes))
        .collect();
    let entries = entries.join(",");
    format!(r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":true,"targets":[{entries}]}}}}"#)
}

struct Program {
    child: Child,
    log: mpsc::Receiver<String>,
    directory: std::path::PathBuf,
}

impl Program {
    /// Starts the program with a list of this many engines.
    fn start(engines: usize, changelog: Option<SocketAddr>) -> Program {
        // Tests run in parallel, so each program gets its own directory.
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("sedgebeam-fleet-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("create the directory");
        let known = complete_list_event(1, engines, 0);
        let changelog = changelog.map_or(String::new(), |address| {
            format!(r#","changelog":"{address}""#)
        });
        let settings = settings::for_dispatchers(DISPATCHERS);
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","control":"127.0.0.1:0","seed":"8c1f30d27a5be964",
              "limits":{{"sockets":512,"memory_mb":48}},"known":{{"seq":1,"results":[{known}]}},"settings":{settings}{changelog}}}"#
        );
        std::fs::write(directory.join("config.json"), config)
            .expect("write the configuration file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_sedgebeam"))
            .arg("serve")
            .env("PROXY_CONFIG", directory.join("config.json"))
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_NAME")
            .env("SEDGEBEAM_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the program");
        let lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        let (line_sender, log) = mpsc::channel();
        // Reads continuously: a program blocks once the pipe of its log is full.
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let _ = line_sender.send(line);
            }
        });
        let mut program = Program {
            child,
            log,
            directory,
        };
        program.wait_for_log("serves PostgreSQL clients on ");
        program
    }

    /// Waits for a log line that contains `text`, and returns what follows it.
    fn wait_for_log(&mut self, text: &str) -> String {
        while let Ok(line) = self.log.recv_timeout(HANG_TIMEOUT) {
            assert!(!line.contains("the change log after"), "{line}");
            if let Some((_, rest)) = line.split_once(text) {
                return rest.trim().to_string();
            }
        }
        panic!("no log line contains {text:?}")
    }

    /// The peak resident size of the process in KiB.
    fn peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process is running");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.split_whitespace().next());
        peak.expect("the status has a peak size")
            .parse()
            .expect("parse the peak size")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

#[test]
fn maximum_fleet_stays_within_the_memory_bound() {
    let usual_kb = Program::start(USUAL_ENGINES, None).peak_kb();
    let max_fleet_kb = Program::start(MAX_ENGINES, None).peak_kb();
    let allowed_kb = MAX_MEMORY_RATIO * usual_kb as f64
        + MAX_EXTRA_KB
        + MAX_EXTRA_KB_PER_1000_ENGINES * MAX_ENGINES as f64 / 1000.0;
    println!(
        "{usual_kb} KB at {USUAL_ENGINES} engines, {max_fleet_kb} KB at {MAX_ENGINES}, {allowed_kb:.0} KB allowed"
    );
    assert!(max_fleet_kb as f64 <= allowed_kb);
}

/// The change log sends a complete list of the maximum size, in one line of long entries, and then one more engine.
#[test]
fn complete_list_of_the_maximum_fleet_fits_into_a_small_process() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("get the local address");
    let mut program = Program::start(USUAL_ENGINES, Some(address));
    let (mut stream, _) = listener.accept().expect("accept the program's connection");
    read_request_head(&mut stream);
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("write");
    let complete_list = complete_list_event(2, MAX_ENGINES, LONG_ENTRY_BYTES);
    let added_engine = format!(
        r#"{{"seq":3,"fleet":{{"rev":3,"all":false,"targets":[{}]}}}}"#,
        list_entry(MAX_ENGINES, 0)
    );
    for event in [complete_list, added_engine] {
        let written = stream.write_all(format!("data: {event}\n\n").as_bytes());
        written.expect("the program reads the event to its end");
    }
    program.wait_for_log(&format!("engine s-{MAX_ENGINES:08x} at "));
    let peak_kb = program.peak_kb();
    println!("{peak_kb} KB");
    assert!(peak_kb <= MIN_MEMORY_LIMIT_KB, "{peak_kb} KB");
}

fn read_request_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("read the request");
        head.push(byte[0]);
    }
}
