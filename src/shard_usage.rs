//! The records that the shards of one gateway exchange, and what a shard keeps of them. No decisions.
//!
//! `src/sharding.rs` fills and reads them; `leases/` adds up what the shards tell.

use crate::interface::{EngineId, Micros, TableGroupId};

/// What is out on an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineUsage {
    pub threads: f64,
    pub memory_mb: f64,
    /// Table groups that loads hold there; one that two loads hold stands twice.
    pub table_groups: Vec<TableGroupId>,
}

/// What is out of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassUsage {
    pub threads: f64,
    pub memory_mb: f64,
}

/// Threads that may still be sent; without a bound unless one is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ThreadQuota(pub f64);

impl Default for ThreadQuota {
    fn default() -> ThreadQuota {
        ThreadQuota(f64::INFINITY)
    }
}

/// What the siblings hold on an engine, and what this part may add.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiblingEngineUsage {
    pub engine: EngineId,
    /// What is out there of the siblings, and what they may be sending at this moment.
    pub usage: EngineUsage,
    /// Work that they sent there within the cold window, in core seconds.
    pub cold_work_core_s: f64,
    pub quota: ThreadQuota,
}

/// What a part is told of its siblings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiblingUsage {
    pub engines: Vec<SiblingEngineUsage>,
    /// By class, what is out of the siblings on all engines.
    pub classes: Vec<ClassUsage>,
    /// By class and tenant, how many requests wait at them.
    pub waiting_requests: Vec<Vec<usize>>,
    /// Threads that this part may send to all engines together.
    pub quota: ThreadQuota,
    /// The credit of classes, and of tenants by class, over all parts.
    pub class_credit: Vec<f64>,
    pub tenant_credit: Vec<Vec<f64>>,
}

/// What a part tells of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardUsage {
    pub engines: Vec<(EngineId, EngineUsage)>,
    pub classes: Vec<ClassUsage>,
    pub waiting_requests: Vec<Vec<usize>>,
    /// By engine, the work sent since the last time, in core seconds.
    pub work_sent_core_s: Vec<(EngineId, f64)>,
    /// By when all that is out has ended, one way or the other.
    pub all_ended_by: Micros,
    /// By how much the credits have changed since the part heard of its siblings.
    pub class_credit: Vec<f64>,
    pub tenant_credit: Vec<Vec<f64>>,
}

/// What a part would like to send.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Threads of all that waits.
    pub threads: f64,
    /// Threads of the heaviest class: less room than that would be of no use to it.
    pub heaviest_class_threads: f64,
    pub engines: Vec<EngineDemand>,
}

/// An engine to which a part might send.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineDemand {
    pub engine: EngineId,
    /// Threads that one gateway may have out there.
    pub max_threads: f64,
    pub is_cold: bool,
    /// Threads of what was out of this part and has ended, of which the part itself is told only now.
    pub ended_threads: f64,
}

/// What the gateway keeps of its siblings.
#[derive(Clone, Debug, Default)]
pub(crate) struct SiblingState {
    /// It has siblings: an engine of which they have told nothing yet has no room.
    pub is_sharded: bool,
    pub classes: Vec<ClassUsage>,
    pub quota: ThreadQuota,
    /// The credits as last heard: what is published is how they have changed since.
    pub class_credit: Vec<f64>,
    pub tenant_credit: Vec<Vec<f64>>,
}

impl SiblingState {
    /// By class, threads and memory that are out.
    pub fn class_usage(&self) -> impl Iterator<Item = (usize, f64, f64)> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(class, out)| (class, out.threads, out.memory_mb))
    }
}
