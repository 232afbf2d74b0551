//! The records that the shards of one gateway exchange, and what a shard keeps of them. No decisions.
//!
//! `src/sharding.rs` fills and reads them; `leases/` adds up what the shards tell.

use crate::interface::{EngineId, GroupId, Micros};

/// What is out on an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Out {
    pub threads: f64,
    pub memory_mb: f64,
    /// Table groups that loads hold there; one that two loads hold stands twice.
    pub groups: Vec<GroupId>,
}

/// What is out of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassOut {
    pub threads: f64,
    pub memory_mb: f64,
}

/// Threads that may still be sent; without a bound unless one is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room(pub f64);

impl Default for Room {
    fn default() -> Room {
        Room(f64::INFINITY)
    }
}

/// What the siblings hold on an engine, and what this part may add.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineShare {
    pub engine: EngineId,
    /// What is out there of the siblings, and what they may be sending at this moment.
    pub out: Out,
    /// Work that they sent there within the cold window, in core seconds.
    pub cold_work: f64,
    pub room: Room,
}

/// What a part is told of its siblings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Siblings {
    pub engines: Vec<EngineShare>,
    /// By class, what is out of the siblings on all engines.
    pub classes: Vec<ClassOut>,
    /// By class and tenant, how many requests wait at them.
    pub waiting: Vec<Vec<usize>>,
    /// Threads that this part may send to all engines together.
    pub room: Room,
    /// The credit of classes, and of tenants by class, over all parts.
    pub class_credit: Vec<f64>,
    pub tenant_credit: Vec<Vec<f64>>,
}

/// What a part tells of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Published {
    pub engines: Vec<(EngineId, Out)>,
    pub classes: Vec<ClassOut>,
    pub waiting: Vec<Vec<usize>>,
    /// By engine, the work sent since the last time, in core seconds.
    pub sent: Vec<(EngineId, f64)>,
    /// By when all that is out has ended, one way or the other.
    pub until: Micros,
    /// By how much the credits have changed since the part heard of its siblings.
    pub class_credit: Vec<f64>,
    pub tenant_credit: Vec<Vec<f64>>,
}

/// What a part would like to send.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wish {
    /// Threads of all that waits.
    pub threads: f64,
    /// Threads of the heaviest class: less room than that would be of no use to it.
    pub heaviest: f64,
    pub engines: Vec<EngineWish>,
}

/// An engine to which a part might send.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineWish {
    pub engine: EngineId,
    /// Threads that one gateway may have out there.
    pub limit: f64,
    pub cold: bool,
    /// Threads of what was out of this part and has ended, of which the part itself is told only now.
    pub ended: f64,
}

/// What the gateway keeps of its siblings.
#[derive(Clone, Debug, Default)]
pub(crate) struct Elsewhere {
    /// It has siblings: an engine of which they have told nothing yet has no room.
    pub parted: bool,
    pub classes: Vec<ClassOut>,
    pub room: Room,
    /// The credits as last heard: what is published is how they have changed since.
    pub class_credit: Vec<f64>,
    pub tenant_credit: Vec<Vec<f64>>,
}

impl Elsewhere {
    /// By class, threads and memory that are out.
    pub fn out(&self) -> impl Iterator<Item = (usize, f64, f64)> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(class, out)| (class, out.threads, out.memory_mb))
    }
}
