//! The change log: numbered events over HTTP as server-sent events, and a comment each second.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    /// How long each call waits for its turn before the answer begins.
    wait: Duration,
}

impl ChangeLog {
    /// Starts a log with one event; event N is the Nth.
    pub fn start(first_event: String) -> ChangeLog {
        ChangeLog::start_slow(first_event, Duration::ZERO)
    }

    /// Starts a log that answers each call only after this wait; from then on it tells all as usual.
    pub fn start_slow(first_event: String, wait: Duration) -> ChangeLog {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the change log");
        let log = ChangeLog {
            address: listener.local_addr().expect("an address"),
            events: Arc::new(Mutex::new(vec![first_event])),
            wait,
        };
        let served = log.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let log = served.clone();
                thread::spawn(move || log.serve(stream));
            }
        });
        log
    }

    /// Adds an event.
    pub fn add(&self, event: String) {
        self.events.lock().expect("no writer panics").push(event);
    }

    /// The events so far, in the form of the key `known`.
    pub fn known(&self) -> String {
        let events = self.events.lock().expect("no writer panics");
        format!(
            r#"{{"seq":{},"results":[{}]}}"#,
            events.len(),
            events.join(",")
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut last_id = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            if let Some(id) = line.to_ascii_lowercase().strip_prefix("last-event-id:") {
                last_id = id.trim().parse().unwrap_or(0);
            }
            if line.trim().is_empty() {
                break;
            }
        }
        thread::sleep(self.wait);
        let mut stream = stream;
        let head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut comment_at = Instant::now();
        loop {
            let events: Vec<String> = {
                let events = self.events.lock().expect("no writer panics");
                events.iter().skip(last_id).cloned().collect()
            };
            let mut text = String::new();
            for event in events {
                last_id += 1;
                text.push_str(&format!("id: {last_id}\ndata: {event}\n\n"));
            }
            if Instant::now() >= comment_at {
                comment_at += Duration::from_secs(1);
                text.push_str(": still here\n\n");
            }
            if !text.is_empty() && stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}
