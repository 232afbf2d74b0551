//! The records that the shards of one gateway exchange, and what a shard keeps of them. Contains no decisions.
//! `src/sharding.rs` fills and reads them; `leases/` adds up the usage of the shards.

use crate::interface::{EngineId, Micros, TableGroupId};

/// Threads, memory and loads in flight on an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineUsage {
    pub threads: f64,
    pub memory_mb: f64,
    /// Table groups that loads hold there, one entry per load.
    pub table_groups: Vec<TableGroupId>,
}

/// Threads and memory in flight of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassUsage {
    pub threads: f64,
    pub memory_mb: f64,
}

/// Threads that may still be sent; unlimited by default.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ThreadQuota(pub f64);

impl Default for ThreadQuota {
    fn default() -> ThreadQuota {
        ThreadQuota(f64::INFINITY)
    }
}

/// The siblings' usage of an engine, and what this shard may add.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiblingEngineUsage {
    pub engine: EngineId,
    /// In flight of the siblings, including what they may be sending now.
    pub usage: EngineUsage,
    /// Work that they sent there within the overload window.
    pub cold_work_core_s: f64,
    pub quota: ThreadQuota,
}

/// What a shard gets to know of its siblings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiblingUsage {
    pub engines: Vec<SiblingEngineUsage>,
    /// By class, in flight of the siblings on all engines.
    pub classes: Vec<ClassUsage>,
    /// Number of requests queued at them, by class and tenant.
    pub waiting_requests: Vec<Vec<usize>>,
    /// Threads that this shard may send to all engines together.
    pub quota: ThreadQuota,
    /// The credit of classes, and of tenants by class, over all shards.
    pub class_credit: Vec<f64>,
    pub tenant_credit: Vec<Vec<f64>>,
}

/// What a shard publishes about itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardUsage {
    pub engines: Vec<(EngineId, EngineUsage)>,
    pub classes: Vec<ClassUsage>,
    pub waiting_requests: Vec<Vec<usize>>,
    /// By engine, the work sent since the last publication.
    pub work_sent_core_s: Vec<(EngineId, f64)>,
    /// Time by which all attempts in flight have ended, with or without an answer.
    pub all_ended_by: Micros,
    /// Changes of the credits since the last update of the siblings' usage.
    pub class_credit: Vec<f64>,
    pub tenant_credit: Vec<Vec<f64>>,
}

/// What a shard could send.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Threads of all waiting requests.
    pub threads: f64,
    /// Threads of the heaviest class: with a smaller quota its requests could not be sent.
    pub heaviest_class_threads: f64,
    pub engines: Vec<EngineDemand>,
}

/// An engine to which a shard could send.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineDemand {
    pub engine: EngineId,
    /// Threads that one gateway may have in flight there.
    pub max_threads: f64,
    pub is_cold: bool,
    /// Threads of this shard's attempts whose end is among the events that it is about to handle.
    pub ended_threads: f64,
}

/// What the gateway keeps of its siblings.
#[derive(Clone, Debug, Default)]
pub(crate) struct SiblingState {
    /// It has siblings: an engine whose usage they have not published yet has no quota.
    pub is_sharded: bool,
    pub classes: Vec<ClassUsage>,
    pub quota: ThreadQuota,
    /// The credits as last received; what is published are the changes since.
    pub class_credit: Vec<f64>,
    pub tenant_credit: Vec<Vec<f64>>,
}

impl SiblingState {
    /// By class, threads and memory in flight.
    pub fn class_usage(&self) -> impl Iterator<Item = (usize, f64, f64)> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(class, usage)| (class, usage.threads, usage.memory_mb))
    }
}
