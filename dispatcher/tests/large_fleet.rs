//! What a fleet of the largest size costs one dispatcher: its memory, by the system's own account of its peak.

#[path = "settings/mod.rs"]
mod settings;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

/// No verdict hangs on this: it only ends a test that would wait for ever.
const HANGS: Duration = Duration::from_secs(60);
/// Engines at the usual size, and as many as there may be.
const USUAL: usize = 200;
const MOST: usize = 3_200;
/// Dispatchers of the largest fleet.
const DISPATCHERS: u32 = 900;
/// What the operators allow a fleet that many times larger: this multiple, and these bytes and bytes a thousand engines.
const TIMES: f64 = 1.5;
const MORE_KB: f64 = 8.0 * 1024.0;
const MORE_KB_A_THOUSAND: f64 = 4.0 * 1024.0;
/// The smallest limit under which a whole list of the largest fleet must be taken.
const SMALL_KB: u64 = 48 * 1024;
/// Bytes of a long entry of the list.
const LONG_ENTRY: usize = 500;

/// An entry of at least so many bytes.
fn entry(number: usize, least: usize) -> String {
    let (hosts, port) = (number / 200, 10_000 + number % 200);
    let entry = format!(
        r#"{{"uid":"s-{number:08x}","endpoint":"127.9.{hosts}.1:{port}","az":"a","model":"std","pod_group":0,"state":"up","capacity_hint":4,"boot_ms":0"#
    );
    let filling = " ".repeat(least.saturating_sub(entry.len() + 1));
    format!("{entry}{filling}}}")
}

fn event(seq: usize, engines: usize, least: usize) -> String {
    let entries: Vec<String> = (0..engines).map(|number| entry(number, least)).collect();
    let entries = entries.join(",");
    format!(r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":true,"targets":[{entries}]}}}}"#)
}

struct Program {
    child: Child,
    log: mpsc::Receiver<String>,
    folder: std::path::PathBuf,
}

impl Program {
    /// Starts the program before so many engines.
    fn start(engines: usize, changelog: Option<SocketAddr>) -> Program {
        // Tests run side by side: each program has a folder of its own.
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("sedgebeam-fleet-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let known = event(1, engines, 0);
        let log = changelog.map_or(String::new(), |address| {
            format!(r#","changelog":"{address}""#)
        });
        let settings = settings::for_dispatchers(DISPATCHERS);
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","control":"127.0.0.1:0","seed":"8c1f30d27a5be964",
              "limits":{{"sockets":512,"memory_mb":48}},"known":{{"seq":1,"results":[{known}]}},"settings":{settings}{log}}}"#
        );
        std::fs::write(folder.join("config.json"), config).expect("writes");
        let mut child = Command::new(env!("CARGO_BIN_EXE_sedgebeam"))
            .arg("serve")
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_NAME")
            .env("SEDGEBEAM_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (told, log) = mpsc::channel();
        // Read all the time: a program whose log nobody reads stands still.
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let _ = told.send(line);
            }
        });
        let mut program = Program { child, log, folder };
        program.logged("serves PostgreSQL clients on ");
        program
    }

    /// Waits for a line of the log that holds the words; what stands behind them.
    fn logged(&mut self, words: &str) -> String {
        while let Ok(line) = self.log.recv_timeout(HANGS) {
            assert!(!line.contains("the change log after"), "{line}");
            if let Some((_, rest)) = line.split_once(words) {
                return rest.trim().to_string();
            }
        }
        panic!("the log never said {words:?}")
    }

    /// The most memory that it has held, in kilobytes.
    fn peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("it runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.split_whitespace().next());
        peak.expect("a peak").parse().expect("a number")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn a_fleet_of_the_largest_size_costs_no_more_memory_than_is_allowed() {
    let usual = Program::start(USUAL, None).peak_kb();
    let largest = Program::start(MOST, None).peak_kb();
    let allowed = TIMES * usual as f64 + MORE_KB + MORE_KB_A_THOUSAND * MOST as f64 / 1000.0;
    println!("{usual} KB at {USUAL} engines, {largest} KB at {MOST}, {allowed:.0} KB allowed");
    assert!(largest as f64 <= allowed);
}

/// The change log tells a whole list of the largest fleet, in one line of long entries, and then one engine more.
#[test]
fn a_whole_list_of_the_largest_fleet_is_taken_in_a_small_process() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut program = Program::start(USUAL, Some(address));
    let (mut stream, _) = listener.accept().expect("it asks");
    read_head(&mut stream);
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("writes");
    let whole = event(2, MOST, LONG_ENTRY);
    let last = format!(
        r#"{{"seq":3,"fleet":{{"rev":3,"all":false,"targets":[{}]}}}}"#,
        entry(MOST, 0)
    );
    for event in [whole, last] {
        let told = stream.write_all(format!("data: {event}\n\n").as_bytes());
        told.expect("the list is read to its end");
    }
    program.logged(&format!("engine s-{MOST:08x} at "));
    let peak = program.peak_kb();
    println!("{peak} KB");
    assert!(peak <= SMALL_KB, "{peak} KB");
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a request");
        head.push(byte[0]);
    }
}
