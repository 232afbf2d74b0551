//! What all shards hold on one engine.

use sedgebeam_core::{EngineDemand, EngineUsage, Micros};
use std::collections::VecDeque;

/// What a shard asks of each engine alike.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseRequest {
    pub now: Micros,
    /// What comes free on an engine that is nearly full is lent again after this.
    pub redistribution_interval: Micros,
    /// Its part of what is free, from 0 to 1.
    pub part: f64,
    /// Threads of all that it waits for, and of the heaviest query.
    pub most: f64,
    pub heaviest: f64,
}

/// What one shard holds there.
#[derive(Clone, Debug, Default)]
struct Holding {
    out: EngineUsage,
    /// Threads that it has borrowed and not settled.
    lent: f64,
    /// Threads of what had ended when it borrowed, and of which it has not told yet.
    ended: f64,
}

/// An engine's page of the ledger.
#[derive(Debug, Default)]
pub(crate) struct EngineLeases {
    holdings: Vec<Holding>,
    /// Work sent lately: when, by whom, and how much in core seconds. It outlives the shard that sent it.
    sends: VecDeque<(Micros, usize, f64)>,
    /// What was free when the engine was last looked at anew, less what was sent since, and when that was.
    open: f64,
    opened_at: Option<Micros>,
}

impl EngineLeases {
    fn holding(&mut self, shard: usize) -> &mut Holding {
        if self.holdings.len() <= shard {
            self.holdings.resize(shard + 1, Holding::default());
        }
        &mut self.holdings[shard]
    }

    fn others(&self, shard: usize) -> impl Iterator<Item = &Holding> {
        let holdings = self.holdings.iter().enumerate();
        holdings.filter_map(move |(place, holding)| (place != shard).then_some(holding))
    }

    pub fn threads(&self) -> f64 {
        self.holdings
            .iter()
            .map(|holding| holding.out.threads)
            .sum()
    }

    pub fn lent(&self) -> f64 {
        self.holdings.iter().map(|holding| holding.lent).sum()
    }

    /// Lends a part of the threads that are free below the limit. One query always has room on an engine
    /// on which there is nothing, whatever the limit; on a cold one, only one shard borrows at a time, since
    /// what it will send is known only afterwards.
    pub fn lend(&mut self, shard: usize, wished: &EngineDemand, claim: &LeaseRequest) -> f64 {
        let LeaseRequest {
            now,
            redistribution_interval,
            part,
            most,
            heaviest,
        } = *claim;
        let own = self.holding(shard).out.threads;
        let held = self.threads() + self.lent() - wished.ended_threads.min(own);
        let (limit, cold) = (wished.max_threads, wished.is_cold);
        let busy = self.others(shard).any(|holding| holding.lent > 0.0);
        let free = if held == 0.0 {
            limit.max(heaviest)
        } else {
            limit - held
        };
        // Pieces of what is nearly full would fit light queries only, and keep heavy ones out for good.
        let tight = free < 2.0 * heaviest;
        if self
            .opened_at
            .is_none_or(|at| now >= at + redistribution_interval)
        {
            (self.open, self.opened_at) = (free, Some(now));
        }
        // As with one gateway, what comes free is gathered for a tick: many shards that each look at another
        // moment would find one slot at a time, and give it to a light query.
        let free = if tight { free.min(self.open) } else { free };
        self.holding(shard).ended = wished.ended_threads.min(own);
        let room = if free <= 0.0 || (busy && (cold || tight)) {
            0.0
        } else if tight {
            free.min(most)
        } else {
            (free * part).max(heaviest).min(free).min(most)
        };
        self.holding(shard).lent = room;
        room
    }

    /// What the others have out there, and what they may be sending.
    pub fn elsewhere(&self, shard: usize) -> EngineUsage {
        let mut sum = EngineUsage::default();
        for holding in self.others(shard) {
            sum.threads += holding.out.threads + holding.lent;
            sum.memory_mb += holding.out.memory_mb;
            sum.table_groups
                .extend_from_slice(&holding.out.table_groups);
        }
        sum
    }

    pub fn work_of_others(&self, shard: usize, now: Micros, window: Micros) -> f64 {
        let recent = self.sends.iter().filter(|(at, _, _)| *at + window > now);
        let others = recent.filter(|(_, by, _)| *by != shard);
        others.map(|(_, _, work)| work).sum()
    }

    pub fn publish(&mut self, shard: usize, out: EngineUsage) {
        let holding = self.holding(shard);
        let sent = out.threads - (holding.out.threads - holding.ended);
        (holding.out, holding.ended) = (out, 0.0);
        self.open -= sent.max(0.0);
    }

    pub fn sent(&mut self, shard: usize, now: Micros, window: Micros, work: f64) {
        while self
            .sends
            .front()
            .is_some_and(|(at, _, _)| *at + window <= now)
        {
            self.sends.pop_front();
        }
        self.sends.push_back((now, shard, work));
    }

    pub fn take_back(&mut self, shard: usize) {
        if let Some(holding) = self.holdings.get_mut(shard) {
            holding.lent = 0.0;
        }
    }

    /// Nothing of the shard is out there; what it sent counts on, under a name that no living shard has: one
    /// that is started anew remembers nothing of it.
    pub fn forget(&mut self, shard: usize) {
        if let Some(holding) = self.holdings.get_mut(shard) {
            *holding = Holding::default();
        }
        for (_, by, _) in &mut self.sends {
            if *by == shard {
                *by = usize::MAX;
            }
        }
    }

    pub fn is_empty(&self, now: Micros, window: Micros) -> bool {
        let held = |holding: &Holding| holding.out.threads > 0.0 || holding.lent > 0.0;
        !self.holdings.iter().any(held) && self.sends.iter().all(|(at, _, _)| *at + window <= now)
    }
}
