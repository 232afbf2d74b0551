//! The leases and the usage of all shards on one engine.

use sedgebeam_core::{EngineDemand, EngineUsage, Micros};
use std::collections::VecDeque;

/// The part of a shard's request for leases that is the same for all engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseRequest {
    pub now: Micros,
    /// Threads that become free on a nearly full engine are leased again after this time.
    pub redistribution_interval: Micros,
    /// The shard's share of the free threads, from 0 to 1.
    pub share: f64,
    /// Maximum number of threads that the shard can use.
    pub max_threads: f64,
    /// Threads of the heaviest query.
    pub heaviest_threads: f64,
}

/// One shard's usage of the engine.
#[derive(Clone, Debug, Default)]
struct ShardEntry {
    usage: EngineUsage,
    /// Threads of the lease that is not committed yet.
    leased_threads: f64,
    /// Threads of attempts that had ended when the shard acquired its lease; `usage` contains them
    /// until the commit.
    ended_threads: f64,
}

/// The usage of one engine by all shards.
#[derive(Debug, Default)]
pub(crate) struct EngineLeases {
    entries: Vec<ShardEntry>,
    /// Recently sent work: time, shard, and core seconds. It is kept when its shard crashes.
    sent_work: VecDeque<(Micros, usize, f64)>,
    /// Threads that were free at the last redistribution, minus those that were sent since then.
    redistributable_threads: f64,
    redistributed_at: Option<Micros>,
}

impl EngineLeases {
    fn entry(&mut self, shard: usize) -> &mut ShardEntry {
        if self.entries.len() <= shard {
            self.entries.resize(shard + 1, ShardEntry::default());
        }
        &mut self.entries[shard]
    }

    fn siblings(&self, shard: usize) -> impl Iterator<Item = &ShardEntry> {
        let entries = self.entries.iter().enumerate();
        entries.filter_map(move |(index, entry)| (index != shard).then_some(entry))
    }

    /// Threads that all shards have in flight.
    pub fn threads_in_flight(&self) -> f64 {
        self.entries.iter().map(|entry| entry.usage.threads).sum()
    }

    /// Threads of all leases that are not committed yet.
    pub fn leased_threads(&self) -> f64 {
        self.entries.iter().map(|entry| entry.leased_threads).sum()
    }

    /// Leases a part of the threads that are free below the limit, and returns their number. An
    /// unused engine always accepts one query, whatever the limit. On a cold engine only one shard
    /// at a time holds a lease, because the work that it will send is known only afterwards.
    pub fn acquire(&mut self, shard: usize, demand: &EngineDemand, request: &LeaseRequest) -> f64 {
        let LeaseRequest {
            now,
            redistribution_interval,
            share,
            max_threads,
            heaviest_threads,
        } = *request;
        let own_threads = self.entry(shard).usage.threads;
        let used_threads = self.threads_in_flight() + self.leased_threads()
            - demand.ended_threads.min(own_threads);
        let (limit, is_cold) = (demand.max_threads, demand.is_cold);
        let has_sibling_lease = self.siblings(shard).any(|entry| entry.leased_threads > 0.0);
        let free_threads = if used_threads == 0.0 {
            limit.max(heaviest_threads)
        } else {
            limit - used_threads
        };
        // Fractions of the free threads of a nearly full engine would fit light queries only, and
        // keep heavy ones out permanently.
        let is_nearly_full = free_threads < 2.0 * heaviest_threads;
        if self
            .redistributed_at
            .is_none_or(|at| now >= at + redistribution_interval)
        {
            (self.redistributable_threads, self.redistributed_at) = (free_threads, Some(now));
        }
        // As in a single gateway, threads that become free are collected for an interval. Otherwise
        // shards that decide at different moments would each find one thread, and use it for a
        // light query.
        let free_threads = if is_nearly_full {
            free_threads.min(self.redistributable_threads)
        } else {
            free_threads
        };
        self.entry(shard).ended_threads = demand.ended_threads.min(own_threads);
        let quota = if free_threads <= 0.0 || (has_sibling_lease && (is_cold || is_nearly_full)) {
            0.0
        } else if is_nearly_full {
            free_threads.min(max_threads)
        } else {
            (free_threads * share)
                .max(heaviest_threads)
                .min(free_threads)
                .min(max_threads)
        };
        self.entry(shard).leased_threads = quota;
        quota
    }

    /// What the other shards have in flight on the engine, and what they may be sending.
    pub fn sibling_usage(&self, shard: usize) -> EngineUsage {
        let mut sum = EngineUsage::default();
        for entry in self.siblings(shard) {
            sum.threads += entry.usage.threads + entry.leased_threads;
            sum.memory_mb += entry.usage.memory_mb;
            sum.table_groups
                .extend_from_slice(&entry.usage.table_groups);
        }
        sum
    }

    /// Core seconds that other shards, including crashed ones, sent within the window.
    pub fn sibling_work(&self, shard: usize, now: Micros, window: Micros) -> f64 {
        let recent_work = self
            .sent_work
            .iter()
            .filter(|(at, _, _)| *at + window > now);
        let by_siblings = recent_work.filter(|(_, sender, _)| *sender != shard);
        by_siblings.map(|(_, _, work)| work).sum()
    }

    pub fn set_usage(&mut self, shard: usize, usage: EngineUsage) {
        let entry = self.entry(shard);
        let added_threads = usage.threads - (entry.usage.threads - entry.ended_threads);
        (entry.usage, entry.ended_threads) = (usage, 0.0);
        self.redistributable_threads -= added_threads.max(0.0);
    }

    pub fn record_sent_work(&mut self, shard: usize, now: Micros, window: Micros, work: f64) {
        while self
            .sent_work
            .front()
            .is_some_and(|(at, _, _)| *at + window <= now)
        {
            self.sent_work.pop_front();
        }
        self.sent_work.push_back((now, shard, work));
    }

    pub fn release(&mut self, shard: usize) {
        if let Some(entry) = self.entries.get_mut(shard) {
            entry.leased_threads = 0.0;
        }
    }

    /// Removes the usage of a shard. The work that it sent still counts, under an index that no
    /// shard has: a shard that is restarted does not know of it.
    pub fn remove_shard(&mut self, shard: usize) {
        if let Some(entry) = self.entries.get_mut(shard) {
            *entry = ShardEntry::default();
        }
        for (_, sender, _) in &mut self.sent_work {
            if *sender == shard {
                *sender = usize::MAX;
            }
        }
    }

    pub fn is_unused(&self, now: Micros, window: Micros) -> bool {
        let is_used = |entry: &ShardEntry| entry.usage.threads > 0.0 || entry.leased_threads > 0.0;
        !self.entries.iter().any(is_used)
            && self.sent_work.iter().all(|(at, _, _)| *at + window <= now)
    }
}
