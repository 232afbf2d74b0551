//! Detects processes that no longer write new messages.

use crate::process_pair::Incarnation;
use sedgebeam_core::Micros;
use std::collections::HashMap;

/// Processes write several times per second; one that has written nothing new for this long is
/// stalled.
const MAX_MESSAGE_AGE: Micros = Micros::from_millis(2000);

/// The timestamp of each process's last message, and when the reader first saw it, by the reader's
/// monotonic clock.
#[derive(Debug, Default)]
pub struct Freshness {
    last_seen: HashMap<Incarnation, (u64, Micros)>,
}

impl Freshness {
    /// Whether the last message of a process is still valid. `timestamp` only has to differ between
    /// the messages of a process.
    pub fn is_fresh(&mut self, process: Incarnation, timestamp: u64, now: Micros) -> bool {
        let (known_timestamp, seen_at) = self.last_seen.entry(process).or_insert((timestamp, now));
        if *known_timestamp != timestamp {
            (*known_timestamp, *seen_at) = (timestamp, now);
        }
        now - *seen_at <= MAX_MESSAGE_AGE
    }

    /// Removes all processes but these.
    pub fn retain(&mut self, live_processes: &[Incarnation]) {
        self.last_seen
            .retain(|process, _| live_processes.contains(process));
    }
}
