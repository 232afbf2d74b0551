//! What a process may do beside others of its dispatcher, from who lives and in which phase.

use miniserde::{Deserialize, Serialize};

/// What a process is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Starting,
    Serving,
    /// It was told to end: it takes nothing new, and sends nothing to cold engines.
    Ending,
}

/// Names a process; the older one is the lesser. No clock tells which that is: each generation comes after all that
/// its process found when it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    pub generation: u64,
    /// Drawn: tells apart those that began at one moment.
    pub nonce: u32,
}

impl Incarnation {
    /// One that begins now, after all of these. Versions before this one have their Unix microsecond for a generation.
    pub fn after(known: impl Iterator<Item = Incarnation>, nonce: u32) -> Incarnation {
        let newest = known.map(|life| life.generation).max();
        Incarnation {
            generation: newest.unwrap_or_default().saturating_add(1),
            nonce,
        }
    }

    /// The name under which others find it.
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

/// A process and the others of its dispatcher that live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessPair {
    own: Incarnation,
    phase: Phase,
    /// The phase of one of which nothing could be read is not known.
    others: Vec<(Incarnation, Option<Phase>)>,
}

impl ProcessPair {
    pub fn new(own: Incarnation) -> ProcessPair {
        ProcessPair {
            own,
            phase: Phase::Starting,
            others: Vec::new(),
        }
    }

    /// Takes what is seen now.
    pub fn update(&mut self, phase: Phase, others: Vec<(Incarnation, Option<Phase>)>) {
        (self.phase, self.others) = (phase, others);
    }

    /// Among how many the limits of one dispatcher are divided.
    pub fn process_count(&self) -> usize {
        1 + self.others.len()
    }

    /// Whether this one may send to cold engines: at no time may two. The oldest may that is not ending; of one
    /// whose phase is not known that is not believed. One that ends may not even if it sees no other: the next may
    /// have come since it looked.
    pub fn may_use_cold_engines(&self) -> bool {
        let older = |(life, _): &&(Incarnation, Option<Phase>)| *life < self.own;
        let mut older = self.others.iter().filter(older);
        let ends = self.phase == Phase::Ending;
        !ends && older.all(|(_, phase)| *phase == Some(Phase::Ending))
    }

    /// Whom to begin from: the youngest of those that serve, or did.
    pub fn predecessor(&self) -> Option<Incarnation> {
        let older = self.others.iter().filter(|(life, _)| *life < self.own);
        let older = older.filter(|(_, phase)| *phase != Some(Phase::Starting));
        older.map(|(life, _)| *life).max()
    }
}
