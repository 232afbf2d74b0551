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
pub struct Life {
    pub generation: u64,
    /// Drawn: tells apart those that began at one moment.
    pub draw: u32,
}

impl Life {
    /// One that begins now, after all of these. Versions before this one have their Unix microsecond for a generation.
    pub fn after(known: impl Iterator<Item = Life>, draw: u32) -> Life {
        let newest = known.map(|life| life.generation).max();
        Life {
            generation: newest.unwrap_or_default().saturating_add(1),
            draw,
        }
    }

    /// The name under which others find it.
    pub fn name(&self) -> String {
        format!("{:020}-{}", self.generation, self.draw)
    }

    pub fn named(name: &str) -> Option<Life> {
        let (generation, draw) = name.split_once('-')?;
        Some(Life {
            generation: generation.parse().ok()?,
            draw: draw.parse().ok()?,
        })
    }
}

/// A process and the others of its dispatcher that live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    own: Life,
    phase: Phase,
    /// The phase of one of which nothing could be read is not known.
    others: Vec<(Life, Option<Phase>)>,
}

impl Pair {
    pub fn new(own: Life) -> Pair {
        Pair {
            own,
            phase: Phase::Starting,
            others: Vec::new(),
        }
    }

    /// Takes what is seen now.
    pub fn see(&mut self, phase: Phase, others: Vec<(Life, Option<Phase>)>) {
        (self.phase, self.others) = (phase, others);
    }

    /// Among how many the limits of one dispatcher are divided.
    pub fn parts(&self) -> usize {
        1 + self.others.len()
    }

    /// Whether this one may send to cold engines: at no time may two. The oldest may that is not ending; of one
    /// whose phase is not known that is not believed. One that ends may not even if it sees no other: the next may
    /// have come since it looked.
    pub fn may_warm(&self) -> bool {
        let older = |(life, _): &&(Life, Option<Phase>)| *life < self.own;
        let mut older = self.others.iter().filter(older);
        let ends = self.phase == Phase::Ending;
        !ends && older.all(|(_, phase)| *phase == Some(Phase::Ending))
    }

    /// Whom to begin from: the youngest of those that serve, or did.
    pub fn heir_of(&self) -> Option<Life> {
        let older = self.others.iter().filter(|(life, _)| *life < self.own);
        let older = older.filter(|(_, phase)| *phase != Some(Phase::Starting));
        older.map(|(life, _)| *life).max()
    }
}
