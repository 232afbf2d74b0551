//! Leases of the resources that the shards of one dispatcher share.
//!
//! A shard is a gateway that decides about a part of the requests. Before each decision it acquires
//! a lease from the [`LeaseTable`]; after it, it commits the lease, which publishes its usage and
//! returns what it did not use. Leased resources count for all other shards as if they were in
//! flight, so whatever shards decide at the same moment, the sum never exceeds what one gateway
//! would have sent. Does no I/O and reads no clock; callers pass the time in microseconds, by one
//! clock for all shards.
//!
//! | shared resource | how it is divided |
//! | --- | --- |
//! | threads of an engine, and of the fleet | leased for one decision, and counted while in flight |
//! | memory of an engine, table groups held by loads | counted while in flight |
//! | work that a cold engine may be sent | leased by only one shard at a time; sent work counts for a window |
//! | credit of classes and tenants | one balance for all shards; each shard adds its changes to it |
//! | open requests | a quota, renewed with each lease ([`quota`]) |
//!
//! Another process of the same dispatcher, during an upgrade, counts as one more shard that never
//! acquires a lease.
//!
//! A lease that is not committed in time expires: its resources become free for others, and the
//! caller must not send what it decided. The attempts of a shard that is silent count until the
//! last of them must have ended. Those of a crashed shard, whose connections are closed, no longer
//! count. Work sent to a cold engine still counts in both cases.

mod engine_leases;
pub mod placement;
pub mod quota;

use engine_leases::{EngineLeases, LeaseRequest};
use quota::SharedQuota;
use sedgebeam_core::{
    ClassUsage, Demand, EngineId, EngineUsage, Micros, ShardUsage, SiblingEngineUsage,
    SiblingUsage, ThreadQuota,
};
use std::collections::BTreeMap;

/// Index of a shard, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub usize);

/// Identifies one lease; invalid once the lease is committed or expired, or its shard has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(u64);

/// Limits and durations of a lease table.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms {
    pub shard_count: usize,
    /// A lease that is not committed within this time expires.
    pub lease_duration: Micros,
    /// Threads that become free on a nearly full engine are leased again after this time.
    pub redistribution_interval: Micros,
    /// How long work sent to an engine counts against the limit of a cold engine.
    pub cold_window: Micros,
    /// Maximum credit or debt of a class or tenant.
    pub max_credit: f64,
    /// Maximum number of open requests over all shards.
    pub max_open_requests: usize,
}

/// A shard's lease for one decision.
#[derive(Debug)]
pub struct Lease {
    pub id: LeaseId,
    /// What the other shards use, and what this shard may add.
    pub siblings: SiblingUsage,
    /// Maximum number of open requests of the shard until its next lease.
    pub max_open_requests: usize,
}

/// Result of a commit.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CommitResult {
    /// Whether the lease was valid until the commit; otherwise nothing that was decided under it
    /// may be sent.
    pub is_valid: bool,
    /// Shards that may be waiting for resources that the commit has freed.
    pub shards_to_wake: Vec<ShardId>,
}

/// A lease that is neither committed nor expired.
#[derive(Clone, Copy, Debug)]
struct ActiveLease {
    id: LeaseId,
    acquired_at: Micros,
    /// Threads that the shard may send to the fleet under the lease.
    max_threads: f64,
}

/// What is known of a shard.
#[derive(Clone, Debug, Default)]
struct ShardState {
    lease: Option<ActiveLease>,
    demanded_threads: f64,
    /// Usage by class.
    classes: Vec<ClassUsage>,
    /// Number of waiting requests by class and tenant.
    waiting_requests: Vec<Vec<usize>>,
    /// Deadline by which all of its attempts in flight must have ended.
    attempts_end_by: Micros,
    threads_in_flight: f64,
}

impl ShardState {
    fn has_waiting_requests(&self) -> bool {
        self.waiting_requests
            .iter()
            .flatten()
            .any(|count| *count > 0)
    }
}

/// The leases and the usage of all shards of one dispatcher.
#[derive(Debug)]
pub struct LeaseTable {
    terms: LeaseTerms,
    shards: Vec<ShardState>,
    engines: BTreeMap<EngineId, EngineLeases>,
    class_credit: Vec<f64>,
    tenant_credit: Vec<Vec<f64>>,
    open_requests: SharedQuota,
    last_lease_id: u64,
    /// Leases that expired before they were committed.
    expired_lease_count: u64,
}

impl LeaseTable {
    pub fn new(terms: LeaseTerms) -> LeaseTable {
        LeaseTable {
            terms,
            // One more for the other processes of this dispatcher, which acquire no leases here.
            shards: vec![ShardState::default(); terms.shard_count + 1],
            engines: BTreeMap::new(),
            class_credit: Vec::new(),
            tenant_credit: Vec::new(),
            open_requests: SharedQuota::new(terms.shard_count, terms.max_open_requests),
            last_lease_id: 0,
            expired_lease_count: 0,
        }
    }

    /// Applies new terms to the same shards.
    pub fn reconfigure(&mut self, terms: LeaseTerms) {
        self.open_requests.reconfigure(terms.max_open_requests);
        self.terms = terms;
    }

    /// Sets the total usage of the other processes of this dispatcher. It counts for every shard
    /// until the next update, or until all of their attempts must have ended.
    pub fn set_peer_process_usage(&mut self, now: Micros, usage: ShardUsage) {
        self.set_usage(self.terms.shard_count, now, usage);
    }

    /// Number of leases that expired before they were committed.
    pub fn expired_lease_count(&self) -> u64 {
        self.expired_lease_count
    }

    /// Leases resources for one decision of a shard that has `open_requests`.
    pub fn acquire(
        &mut self,
        shard: ShardId,
        now: Micros,
        demand: &Demand,
        open_requests: usize,
    ) -> Lease {
        self.expire_leases(now);
        self.release(shard);
        self.last_lease_id += 1;
        let id = LeaseId(self.last_lease_id);
        let index = shard.0;
        let demanded_threads = demand.threads.max(0.0);
        self.shards[index].demanded_threads = demanded_threads;
        let sibling_demand: f64 = self
            .siblings(shard)
            .map(|sibling| sibling.demanded_threads)
            .sum();
        // The shard's share of what is free is its share of the total demand.
        let share = if demanded_threads > 0.0 {
            demanded_threads / (demanded_threads + sibling_demand)
        } else {
            0.0
        };
        let max_threads = demanded_threads.max(demand.heaviest_class_threads);
        let request = LeaseRequest {
            now,
            redistribution_interval: self.terms.redistribution_interval,
            share,
            max_threads,
            heaviest_threads: demand.heaviest_class_threads,
        };
        let engines = demand.engines.iter().map(|engine_demand| {
            let engine_leases = self.engines.entry(engine_demand.engine).or_default();
            let quota = engine_leases.acquire(index, engine_demand, &request);
            SiblingEngineUsage {
                engine: engine_demand.engine,
                usage: engine_leases.sibling_usage(index),
                cold_work_core_s: engine_leases.sibling_work(index, now, self.terms.cold_window),
                quota: ThreadQuota(quota),
            }
        });
        let engines: Vec<SiblingEngineUsage> = engines.collect();
        let (classes, waiting) = (self.sibling_classes(shard), self.waiting_at_siblings(shard));
        self.shards[index].lease = Some(ActiveLease {
            id,
            acquired_at: now,
            max_threads,
        });
        Lease {
            id,
            siblings: SiblingUsage {
                engines,
                classes,
                waiting_requests: waiting,
                quota: ThreadQuota(max_threads),
                class_credit: self.class_credit.clone(),
                tenant_credit: self.tenant_credit.clone(),
            },
            max_open_requests: self.open_requests.renew(index, open_requests),
        }
    }

    /// Ends a lease and sets the shard's usage. The usage is ignored if the lease has expired,
    /// because it contains attempts that must not be sent.
    pub fn commit(
        &mut self,
        shard: ShardId,
        id: LeaseId,
        now: Micros,
        usage: ShardUsage,
    ) -> CommitResult {
        self.expire_leases(now);
        let index = shard.0;
        let lease = self.shards[index].lease;
        if lease.is_none_or(|lease| lease.id != id) {
            return CommitResult::default();
        }
        self.release(shard);
        let threads_before = self.shards[index].threads_in_flight;
        self.set_usage(index, now, usage);
        let has_freed_threads = self.shards[index].threads_in_flight < threads_before;
        let shards_to_wake = if has_freed_threads {
            self.waiting_siblings(shard)
        } else {
            Vec::new()
        };
        CommitResult {
            is_valid: true,
            shards_to_wake,
        }
    }

    /// Removes all usage of a shard that has crashed and whose connections to engines are closed.
    /// Returns the shards that may be waiting for what it used.
    pub fn remove_crashed_shard(&mut self, shard: ShardId) -> Vec<ShardId> {
        self.remove_usage(shard);
        self.open_requests.release(shard.0);
        self.waiting_siblings(shard)
    }

    /// Ends leases that were not committed in time, and removes the usage of silent shards whose
    /// attempts must have ended.
    pub fn expire_leases(&mut self, now: Micros) {
        for index in 0..self.shards.len() {
            let shard = &self.shards[index];
            let is_late = |lease: ActiveLease| now > lease.acquired_at + self.terms.lease_duration;
            if shard.lease.is_some_and(is_late) {
                self.expired_lease_count += 1;
                self.release(ShardId(index));
                self.shards[index].demanded_threads = 0.0;
            }
            // A live shard publishes its usage again long before this.
            let shard = &self.shards[index];
            if shard.threads_in_flight > 0.0
                && now > shard.attempts_end_by + self.terms.lease_duration
            {
                self.remove_usage(ShardId(index));
            }
        }
    }

    /// Threads in flight on an engine, and threads leased there, over all shards.
    pub fn engine_threads(&self, engine: EngineId) -> (f64, f64) {
        let engine_leases = self.engines.get(&engine);
        engine_leases.map_or((0.0, 0.0), |engine_leases| {
            (
                engine_leases.threads_in_flight(),
                engine_leases.leased_threads(),
            )
        })
    }

    fn siblings(&self, shard: ShardId) -> impl Iterator<Item = &ShardState> {
        let shards = self.shards.iter().enumerate();
        shards.filter_map(move |(index, sibling)| (index != shard.0).then_some(sibling))
    }

    fn waiting_siblings(&self, shard: ShardId) -> Vec<ShardId> {
        let shards = self.shards.iter().enumerate();
        let waiting =
            shards.filter(|(index, sibling)| *index != shard.0 && sibling.has_waiting_requests());
        waiting.map(|(index, _)| ShardId(index)).collect()
    }

    /// Ends the lease of the shard, if it has one.
    fn release(&mut self, shard: ShardId) {
        if self.shards[shard.0].lease.take().is_some() {
            self.engines
                .values_mut()
                .for_each(|engine_leases| engine_leases.release(shard.0));
        }
    }

    fn remove_usage(&mut self, shard: ShardId) {
        self.release(shard);
        self.engines
            .values_mut()
            .for_each(|engine_leases| engine_leases.remove_shard(shard.0));
        self.shards[shard.0] = ShardState::default();
    }

    fn set_usage(&mut self, index: usize, now: Micros, mut usage: ShardUsage) {
        usage.engines.sort_by_key(|(id, _)| *id);
        let threads: f64 = usage.engines.iter().map(|(_, usage)| usage.threads).sum();
        let window = self.terms.cold_window;
        let engines = &usage.engines;
        self.engines.retain(|id, engine_leases| {
            let is_known = engines
                .binary_search_by_key(id, |(engine, _)| *engine)
                .is_ok();
            if !is_known {
                // The shard has nothing in flight on an engine that it no longer knows.
                engine_leases.set_usage(index, EngineUsage::default());
            }
            is_known || !engine_leases.is_unused(now, window)
        });
        for (id, engine_usage) in usage.engines {
            self.engines
                .entry(id)
                .or_default()
                .set_usage(index, engine_usage);
        }
        for (id, work) in usage.work_sent_core_s {
            let engine_leases = self.engines.entry(id).or_default();
            engine_leases.record_sent_work(index, now, window, work);
        }
        let shard = &mut self.shards[index];
        (shard.classes, shard.waiting_requests) = (usage.classes, usage.waiting_requests);
        shard.attempts_end_by = usage.all_ended_by;
        // The part of the demand that the shard could not send remains.
        let sent_threads = (threads - shard.threads_in_flight).max(0.0);
        shard.demanded_threads = if shard.has_waiting_requests() {
            (shard.demanded_threads - sent_threads).max(0.0)
        } else {
            0.0
        };
        shard.threads_in_flight = threads;
        let max_credit = self.terms.max_credit;
        add_credit(&mut self.class_credit, &usage.class_credit, max_credit);
        let class_count = usage.tenant_credit.len().max(self.tenant_credit.len());
        self.tenant_credit.resize(class_count, Vec::new());
        for (credit, change) in self.tenant_credit.iter_mut().zip(&usage.tenant_credit) {
            add_credit(credit, change, max_credit);
        }
    }

    /// What the other shards have in flight or may be sending, by class.
    fn sibling_classes(&self, shard: ShardId) -> Vec<ClassUsage> {
        let mut sum: Vec<ClassUsage> = Vec::new();
        for sibling in self.siblings(shard) {
            sum.resize(sum.len().max(sibling.classes.len()), ClassUsage::default());
            for (sum, class_usage) in sum.iter_mut().zip(&sibling.classes) {
                sum.threads += class_usage.threads;
                sum.memory_mb += class_usage.memory_mb;
            }
        }
        // Queries sent under active leases may be of any class.
        let leases = self.siblings(shard).filter_map(|sibling| sibling.lease);
        let leased_threads: f64 = leases.map(|lease| lease.max_threads).sum();
        sum.iter_mut()
            .for_each(|class_usage| class_usage.threads += leased_threads);
        sum
    }

    /// Number of requests that wait at the other shards, by class and tenant.
    fn waiting_at_siblings(&self, shard: ShardId) -> Vec<Vec<usize>> {
        let mut sum: Vec<Vec<usize>> = Vec::new();
        for sibling in self.siblings(shard) {
            sum.resize(sum.len().max(sibling.waiting_requests.len()), Vec::new());
            for (sum, class) in sum.iter_mut().zip(&sibling.waiting_requests) {
                sum.resize(sum.len().max(class.len()), 0);
                sum.iter_mut()
                    .zip(class)
                    .for_each(|(sum, count)| *sum += count);
            }
        }
        sum
    }
}

/// Adds changes to credits, within `-max_credit..=max_credit`.
fn add_credit(credit: &mut Vec<f64>, change: &[f64], max_credit: f64) {
    credit.resize(credit.len().max(change.len()), 0.0);
    for (credit, change) in credit.iter_mut().zip(change) {
        *credit = (*credit + change).clamp(-max_credit, max_credit);
    }
}
