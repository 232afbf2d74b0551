//! How long a process has told nothing new.

use crate::process_pair::Incarnation;
use sedgebeam_core::Micros;
use std::collections::HashMap;

/// Processes write several times a second; one that has written nothing for this long stands still.
const LASTS: Micros = Micros::from_millis(2000);

/// What each process has told last, and when that was first read, by the reader's monotonic clock.
#[derive(Debug, Default)]
pub struct Freshness {
    read: HashMap<Incarnation, (u64, Micros)>,
}

impl Freshness {
    /// Whether what a process tells, known by this mark, is still to be believed: each of its shares has another mark.
    pub fn is_fresh(&mut self, life: Incarnation, mark: u64, now: Micros) -> bool {
        let (known, since) = self.read.entry(life).or_insert((mark, now));
        if *known != mark {
            (*known, *since) = (mark, now);
        }
        now - *since <= LASTS
    }

    /// Forgets all processes but these.
    pub fn retain(&mut self, living: &[Incarnation]) {
        self.read.retain(|life, _| living.contains(life));
    }
}
