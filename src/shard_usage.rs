//! The records that the shards of one gateway exchange, and what a shard keeps of them. Contains no
//! decisions. `src/sharding.rs` fills and reads the records; `leases/` adds up the usage of the shards.

use crate::interface::{EngineId, Micros, TableGroupId};

/// Threads, memory and loads in flight on an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineUsage {
    pub threads: f64,
    pub memory_mb: f64,
    /// Table groups that loads hold there, one entry per load.
    pub table_groups: Vec<TableGroupId>,
}

/// Threads and memory of a class in flight on all engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassUsage {
    pub threads: f64,
    pub memory_mb: f64,
}

/// Number of threads that a shard may still send; unlimited by default.
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
    /// What the siblings have in flight there, including what they may be sending now.
    pub usage: EngineUsage,
    /// Work that the siblings sent there within the overload window.
    pub cold_work_core_s: f64,
    /// Threads that this shard may send there.
    pub quota: ThreadQuota,
}

/// What a shard knows of its siblings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiblingUsage {
    pub engines: Vec<SiblingEngineUsage>,
    /// What the siblings have in flight, by class.
    pub classes: Vec<ClassUsage>,
    /// Number of requests queued at the siblings, by class and tenant.
    pub waiting_requests: Vec<Vec<usize>>,
    /// Threads that this shard may send to all engines together.
    pub quota: ThreadQuota,
    /// The credit of each class, shared by all shards.
    pub class_credit: Vec<f64>,
    /// The credit of each tenant, by class, shared by all shards.
    pub tenant_credit: Vec<Vec<f64>>,
}

/// What a shard publishes about itself after a decision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardUsage {
    /// What it has in flight, by engine.
    pub engines: Vec<(EngineId, EngineUsage)>,
    /// What it has in flight, by class.
    pub classes: Vec<ClassUsage>,
    /// Number of its queued requests, by class and tenant.
    pub waiting_requests: Vec<Vec<usize>>,
    /// Work that it sent since it last published its usage, by engine.
    pub work_sent_core_s: Vec<(EngineId, f64)>,
    /// Time by which all attempts in flight have ended, with or without an answer.
    pub all_ended_by: Micros,
    /// Change of each class's credit since the last update of the siblings' usage.
    pub class_credit: Vec<f64>,
    /// Change of each tenant's credit, by class, since then.
    pub tenant_credit: Vec<Vec<f64>>,
}

/// What a shard could send now, if its quota allowed it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Threads of all queued and arriving requests.
    pub threads: f64,
    /// Threads of a query of the heaviest class, which can't be sent with a smaller quota.
    pub heaviest_class_threads: f64,
    pub engines: Vec<EngineDemand>,
}

/// An engine to which a shard could send.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineDemand {
    pub engine: EngineId,
    /// Threads that the gateway, with all its shards, may have in flight there.
    pub max_threads: f64,
    /// The engine is in slow start.
    pub is_cold: bool,
    /// Threads of this shard's attempts whose end is among the events that it handles next.
    pub ended_threads: f64,
}

/// What a shard keeps of its siblings, apart from the usage kept with each engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct SiblingState {
    /// Whether it has siblings. If so, an engine whose usage they have not published yet has no quota.
    pub is_sharded: bool,
    /// What the siblings have in flight, by class.
    pub classes: Vec<ClassUsage>,
    /// Threads that this shard may still send to all engines together.
    pub quota: ThreadQuota,
    /// The credits as last received. Only the changes since then are published.
    pub class_credit: Vec<f64>,
    /// The same for tenants, by class.
    pub tenant_credit: Vec<Vec<f64>>,
}

impl SiblingState {
    /// Each class's index, and its threads and memory in megabytes in flight.
    pub fn class_usage(&self) -> impl Iterator<Item = (usize, f64, f64)> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(class, usage)| (class, usage.threads, usage.memory_mb))
    }
}
