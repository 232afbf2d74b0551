//! A ledger engine of the RESP protocol. It runs all that it is sent at once; each request runs for the time that its
//! statement names (`/*ms*/` in the tag, see `work_ms`), and a note tells its progress twice a second.

use crate::record::{Record, unix_ms};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// One attempt, as the engine saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: String,
    pub fields: HashMap<String, String>,
    /// When the request had come whole.
    pub began_ms: f64,
    /// When its end was written or it was given up.
    pub ended_ms: Option<f64>,
}

#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    record: Record,
}

/// The work that a statement asks for, in its condition `tag = 'work-MS'`.
fn work_ms(statement: &str) -> u64 {
    let rest = statement.split("work-").nth(1).unwrap_or_default();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(20)
}

fn array(parts: &[&str]) -> Vec<u8> {
    let mut text = format!("*{}\r\n", parts.len());
    for part in parts {
        text.push_str(&format!("${}\r\n{part}\r\n", part.len()));
    }
    text.into_bytes()
}

fn read_array(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let read_length = |reader: &mut dyn BufRead, prefix: char| -> Option<usize> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        line.trim_end().strip_prefix(prefix)?.parse().ok()
    };
    let count = read_length(reader, '*')?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let length = read_length(reader, '$')?;
        let mut bytes = vec![0; length + 2];
        reader.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        parts.push(String::from_utf8(bytes).ok()?);
    }
    Some(parts)
}

impl Engine {
    pub fn start(name: &str, record: &Record) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind an engine");
        let engine = Engine {
            name: name.to_string(),
            address: listener.local_addr().expect("an address"),
            attempts: Arc::default(),
            record: record.clone(),
        };
        let served = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = served.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().expect("no writer panics").clone()
    }

    /// Ends an attempt that is out; false if it is not.
    fn end(&self, request: &str, began_ms: f64, how: &str) -> bool {
        let mut attempts = self.attempts.lock().expect("no writer panics");
        let attempt = attempts.iter_mut().find(|attempt| {
            attempt.request == request && attempt.began_ms == began_ms && attempt.ended_ms.is_none()
        });
        let Some(attempt) = attempt else { return false };
        attempt.ended_ms = Some(unix_ms());
        drop(attempts);
        self.record
            .line(&format!("engine {}: {request} {how}", self.name));
        true
    }

    fn is_out(&self, request: &str, began_ms: f64) -> bool {
        let attempts = self.attempts.lock().expect("no writer panics");
        let mut attempts = attempts.iter();
        attempts.any(|attempt| {
            attempt.request == request && attempt.began_ms == began_ms && attempt.ended_ms.is_none()
        })
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let writer = Arc::new(Mutex::new(stream.try_clone().expect("a second handle")));
        let write = |bytes: Vec<u8>| {
            let mut writer = writer.lock().expect("no writer panics");
            writer.write_all(&bytes).is_ok()
        };
        let mut reader = BufReader::new(stream);
        // The requests that are out on this connection.
        let mut out: Vec<(String, f64)> = Vec::new();
        while let Some(parts) = read_array(&mut reader) {
            let words: Vec<&str> = parts.iter().map(String::as_str).collect();
            match words[..] {
                ["fetch", request, fields, statement] => {
                    let began_ms = self.begin(request, fields, statement);
                    out.push((request.to_string(), began_ms));
                    let (engine, writer) = (self.clone(), writer.clone());
                    let (request, work) = (request.to_string(), work_ms(statement));
                    thread::spawn(move || engine.execute(&request, began_ms, work, &writer));
                }
                ["abort", request] => {
                    for (_, began_ms) in out.iter().filter(|(known, _)| known == request) {
                        self.end(request, *began_ms, "aborted by the dispatcher");
                    }
                }
                ["stats", tag] => {
                    write(array(&[tag, "UP", "gauges=util:0.30", ""]));
                }
                ["alive", tag] => {
                    write(array(&[tag, "UP", "-", ""]));
                }
                _ => {}
            }
        }
        for (request, began_ms) in out {
            self.end(&request, began_ms, "given up: its connection was closed");
        }
    }

    fn begin(&self, request: &str, fields: &str, statement: &str) -> f64 {
        let began_ms = self.record.line(&format!(
            "engine {}: {request} begins: {fields} {statement}",
            self.name
        ));
        let pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
        let fields = pairs
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        self.attempts
            .lock()
            .expect("no writer panics")
            .push(Attempt {
                request: request.to_string(),
                fields,
                began_ms,
                ended_ms: None,
            });
        began_ms
    }

    /// Runs a request to its end, with notes of its progress.
    fn execute(&self, request: &str, began_ms: f64, work: u64, writer: &Mutex<TcpStream>) {
        let mut done = 0;
        while done < work {
            let step = (work - done).min(500);
            thread::sleep(Duration::from_millis(step));
            done += step;
            if !self.is_out(request, began_ms) {
                return;
            }
            if done < work {
                let note = format!("res=p,value={:.3}", done as f64 / work as f64);
                let _ = writer
                    .lock()
                    .expect("no writer panics")
                    .write_all(&array(&[request, "NOTE", &note, ""]));
            }
        }
        // Ended before its answer is written: what comes after the answer comes after the end.
        if self.end(request, began_ms, "has run to its end: OK") {
            let fields = format!("parts=1,work={work},peak=96");
            let _ = writer.lock().expect("no writer panics").write_all(&array(&[
                request,
                "OK",
                &fields,
                "a\tb\tc\n",
            ]));
        }
    }
}
