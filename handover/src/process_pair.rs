//! Decides which of several concurrent processes of a dispatcher may use cold engines, and from
//! which one a new process takes over state, by their start order and phases.

use miniserde::{Deserialize, Serialize};

/// Phase of a process's lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Starting,
    Serving,
    /// The process was told to exit: it accepts no new work, and sends nothing to cold engines.
    Ending,
}

/// Identifies one run of a process; an older process compares as less. The order needs no clock:
/// the generation is greater than those of all processes that existed at the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    pub generation: u64,
    /// Random: distinguishes processes that start at the same time.
    pub nonce: u32,
}

impl Incarnation {
    /// The incarnation of a process that starts now, after all `known` ones. Earlier versions use
    /// their Unix time in microseconds as generation.
    pub fn after(known: impl Iterator<Item = Incarnation>, nonce: u32) -> Incarnation {
        let newest = known.map(|incarnation| incarnation.generation).max();
        Incarnation {
            generation: newest.unwrap_or_default().saturating_add(1),
            nonce,
        }
    }

    /// The name in file names and messages, by which other processes find this one.
    pub fn name(&self) -> String {
        format!("{:020}-{}", self.generation, self.nonce)
    }

    pub fn parse(name: &str) -> Option<Incarnation> {
        let (generation, nonce) = name.split_once('-')?;
        Some(Incarnation {
            generation: generation.parse().ok()?,
            nonce: nonce.parse().ok()?,
        })
    }
}

/// A process and the other live processes of its dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessPair {
    own_incarnation: Incarnation,
    phase: Phase,
    /// The other live processes. The phase is `None` for a process whose message could not be read.
    peers: Vec<(Incarnation, Option<Phase>)>,
}

impl ProcessPair {
    pub fn new(own_incarnation: Incarnation) -> ProcessPair {
        ProcessPair {
            own_incarnation,
            phase: Phase::Starting,
            peers: Vec::new(),
        }
    }

    /// Sets the phase of this process, and the peers that it sees now.
    pub fn update(&mut self, phase: Phase, peers: Vec<(Incarnation, Option<Phase>)>) {
        (self.phase, self.peers) = (phase, peers);
    }

    /// Number of processes among which the limits of the dispatcher are divided.
    pub fn process_count(&self) -> usize {
        1 + self.peers.len()
    }

    /// Whether this process may send to cold engines; at most one process may at any time. It is
    /// the oldest process that is not ending; a process whose phase is unknown counts as not
    /// ending. An ending process may not, even if it sees no peer: a successor may have started
    /// since it looked.
    pub fn may_use_cold_engines(&self) -> bool {
        let is_older = |(peer, _): &&(Incarnation, Option<Phase>)| *peer < self.own_incarnation;
        let mut older_peers = self.peers.iter().filter(is_older);
        let is_ending = self.phase == Phase::Ending;
        !is_ending && older_peers.all(|(_, phase)| *phase == Some(Phase::Ending))
    }

    /// The process from which this one takes over state: the youngest older one that serves or has
    /// served.
    pub fn predecessor(&self) -> Option<Incarnation> {
        let older_peers = self
            .peers
            .iter()
            .filter(|(peer, _)| *peer < self.own_incarnation);
        let older_peers = older_peers.filter(|(_, phase)| *phase != Some(Phase::Starting));
        older_peers.map(|(peer, _)| *peer).max()
    }
}
