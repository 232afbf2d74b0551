//! One gateway as several shards: each shard decides for its own requests, and together they keep the limits
//! of one gateway. Contains no decisions; a gateway without siblings acts alone.
//!
//! A shard gets the usage of its siblings before it decides ([`Gateway::update_siblings`]) and publishes its
//! own afterwards ([`Gateway::publish`]). In between it sends at most its thread quota. Shards that decide at
//! the same time therefore can't send more than one gateway would.

use crate::interface::{EngineId, Event, Micros};
use crate::policy::Gateway;
use crate::shard_usage::{
    ClassUsage, Demand, EngineDemand, EngineUsage, ShardUsage, SiblingState, SiblingUsage,
};
use crate::sizing::OWN_BUDGET_FACTOR;
use crate::state::{EngineView, Queues, Request};
use std::collections::BTreeMap;

/// Change of each party's credit between two lists; parties that the first list lacks start at zero.
fn credit_changes(before: &[f64], after: &[f64]) -> Vec<f64> {
    let before = before.iter().copied().chain(std::iter::repeat(0.0));
    after
        .iter()
        .zip(before)
        .map(|(after, before)| after - before)
        .collect()
}

fn overwrite_credits(credit: &mut [f64], shared: &[f64]) {
    credit
        .iter_mut()
        .zip(shared)
        .for_each(|(own, shared)| *own = *shared);
}

impl Gateway {
    /// What this shard could send once it has handled `events`.
    pub fn demand(&self, now: Micros, events: &[Event]) -> Demand {
        let mut arriving_threads = 0.0;
        let mut ended_threads: BTreeMap<EngineId, f64> = BTreeMap::new();
        for event in events {
            match event {
                Event::Request(query) => {
                    let class = self.settings.classes.get(query.class.0);
                    arriving_threads += class.map_or(0.0, |class| class.threads.max(1.0));
                }
                Event::Ended(end) => {
                    let threads = self
                        .requests
                        .get(&end.request)
                        .map_or(0.0, |request| request.threads);
                    *ended_threads.entry(end.engine).or_default() += threads;
                }
                _ => {}
            }
        }
        let queued = self.requests.values().filter(|request| request.is_queued);
        let class_threads = self.settings.classes.iter().map(|class| class.threads);
        let listed = self.engines.values().filter(|engine| engine.is_listed());
        let engines = listed.map(|engine| {
            let ended = ended_threads.get(&engine.entry.id).copied().unwrap_or(0.0);
            EngineDemand {
                engine: engine.entry.id,
                max_threads: self.max_threads(engine),
                is_cold: self.is_cold(engine, now),
                // Limited to the threads in flight, as cancelled attempts may have been counted as ended
                // before.
                ended_threads: ended.min(engine.threads_in_flight),
            }
        });
        Demand {
            threads: arriving_threads + queued.map(|request| request.threads).sum::<f64>(),
            heaviest_class_threads: class_threads.fold(1.0, f64::max),
            engines: engines.collect(),
        }
    }

    /// Threads that one gateway may have in flight on the engine while it is not under pressure.
    fn max_threads(&self, engine: &EngineView) -> f64 {
        self.thread_budget(engine) * OWN_BUDGET_FACTOR
    }

    /// Threads that this shard may send to the engine now.
    pub(crate) fn thread_quota(&self, engine: &EngineView) -> f64 {
        let is_usage_unknown = self.siblings.is_sharded && !engine.siblings_known;
        if is_usage_unknown {
            0.0
        } else {
            engine.siblings.quota.0
        }
    }

    /// Applies the usage of the siblings, and the quota for this shard's sends until it publishes its usage.
    pub fn update_siblings(&mut self, siblings: SiblingUsage) {
        self.scan.is_outdated |= !self.siblings.is_sharded;
        for usage in siblings.engines {
            if let Some(engine) = self.engines.get_mut(&usage.engine) {
                engine.siblings = usage;
                engine.siblings_known = true;
            }
        }
        self.queues.sibling_counts = siblings.waiting_requests;
        overwrite_credits(&mut self.class_credit.credit, &siblings.class_credit);
        let tenants = self.tenant_credit.iter_mut();
        for (credit, shared) in tenants.zip(&siblings.tenant_credit) {
            overwrite_credits(&mut credit.credit, shared);
        }
        self.siblings = SiblingState {
            is_sharded: true,
            classes: siblings.classes,
            quota: siblings.quota,
            class_credit: self.class_credit.credit.clone(),
            tenant_credit: self
                .tenant_credit
                .iter()
                .map(|tenants| tenants.credit.clone())
                .collect(),
        };
    }

    /// Returns the current usage, the work sent since the last call, and the changes of credits since the
    /// last update of the siblings' usage.
    pub fn publish(&mut self) -> ShardUsage {
        let mut classes = vec![ClassUsage::default(); self.settings.classes.len()];
        let mut last_deadline = Micros(0);
        let in_flight = |request: &&Request| request.attempts_in_flight() > 0;
        for request in self.requests.values().filter(in_flight) {
            classes[request.class].threads += request.threads;
            classes[request.class].memory_mb += request.granted_memory_mb;
            last_deadline = last_deadline.max(request.deadline);
        }
        let mut published = ShardUsage {
            classes,
            waiting_requests: self.queues.own_counts(),
            all_ended_by: last_deadline + self.settings.answer_slack,
            class_credit: credit_changes(&self.siblings.class_credit, &self.class_credit.credit),
            ..ShardUsage::default()
        };
        for (class, credit) in self.tenant_credit.iter().enumerate() {
            let before = self.siblings.tenant_credit.get(class);
            let before = before.map_or(&[][..], Vec::as_slice);
            published
                .tenant_credit
                .push(credit_changes(before, &credit.credit));
        }
        for (id, engine) in &mut self.engines {
            let work = std::mem::take(&mut engine.unpublished_work_core_s);
            if work > 0.0 {
                published.work_sent_core_s.push((*id, work));
            }
            let usage = EngineUsage {
                threads: engine.threads_in_flight,
                memory_mb: engine.memory_in_flight_mb,
                table_groups: engine.loading_groups.clone(),
            };
            published.engines.push((*id, usage));
        }
        published
    }
}

impl Queues {
    /// Number of queued requests of this shard, by class and tenant.
    fn own_counts(&self) -> Vec<Vec<usize>> {
        let classes = self.by_class.iter();
        classes
            .map(|queues| queues.iter().map(|queue| queue.len()).collect())
            .collect()
    }
}
