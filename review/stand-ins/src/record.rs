//! The record of a run: what was sent, answered and run, with the time of each.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_ms: f64,
}

/// The system's Unix clock, in milliseconds.
pub fn unix_ms() -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("a time after 1970").as_secs_f64() * 1000.0
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("create the record");
        Record {
            file: Arc::new(Mutex::new(file)),
            started_ms: unix_ms(),
        }
    }

    /// Writes a line with the time since the start of the run; returns the Unix time.
    pub fn line(&self, text: &str) -> f64 {
        let now = unix_ms();
        self.line_at(now, text);
        now
    }

    /// Writes a line about something that happened at this Unix time.
    pub fn line_at(&self, at: f64, text: &str) {
        let mut file = self.file.lock().expect("no writer panics");
        writeln!(file, "{:9.1} ms  {text}", at - self.started_ms).expect("write the record");
    }

    /// Writes a text as it is.
    pub fn text(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer panics");
        writeln!(file, "{text}").expect("write the record");
    }
}
