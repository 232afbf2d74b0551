//! One gateway as several shards: each decides for its own requests, and all together keep to the limits of one.
//!
//! A shard is told what its siblings hold before it decides ([`Gateway::update_siblings`]) and tells what it holds
//! itself afterwards ([`Gateway::publish`]). In between it sends no more than the room that it was given,
//! so what two shards decide at the same moment can't add up to more than one gateway would send. Nothing
//! is decided here: a gateway that has heard nothing of siblings acts as one whole.

use crate::interface::{EngineId, Event, Micros};
use crate::policy::Gateway;
use crate::shard_usage::{
    ClassUsage, Demand, EngineDemand, EngineUsage, ShardUsage, SiblingState, SiblingUsage,
};
use crate::sizing::OWN_BUDGET_FACTOR;
use crate::state::{EngineView, Queues, Request};
use std::collections::BTreeMap;

/// Changes from one list of credits to the next; what is new began at nothing.
fn credit_changes(before: &[f64], after: &[f64]) -> Vec<f64> {
    let before = before.iter().copied().chain(std::iter::repeat(0.0));
    after
        .iter()
        .zip(before)
        .map(|(now, was)| now - was)
        .collect()
}

fn overwrite_credits(credit: &mut [f64], told: &[f64]) {
    credit
        .iter_mut()
        .zip(told)
        .for_each(|(own, told)| *own = *told);
}

impl Gateway {
    /// What this part would like to send, once it is told of these events.
    pub fn demand(&self, now: Micros, events: &[Event]) -> Demand {
        let mut arriving = 0.0;
        let mut ended: BTreeMap<EngineId, f64> = BTreeMap::new();
        for event in events {
            match event {
                Event::Request(query) => {
                    let class = self.settings.classes.get(query.class.0);
                    arriving += class.map_or(0.0, |class| class.threads.max(1.0));
                }
                Event::Ended(end) => {
                    let threads = self.requests.get(&end.request).map_or(0.0, |r| r.threads);
                    *ended.entry(end.engine).or_default() += threads;
                }
                _ => {}
            }
        }
        let queued = self.requests.values().filter(|request| request.is_queued);
        let heaviest = self.settings.classes.iter().map(|class| class.threads);
        let listed = self.engines.values().filter(|engine| engine.is_listed());
        let engines = listed.map(|engine| {
            let ended = ended.get(&engine.entry.id).copied().unwrap_or(0.0);
            EngineDemand {
                engine: engine.entry.id,
                max_threads: self.max_threads(engine),
                is_cold: self.is_cold(engine, now),
                // No more than what it has out: of what it had called off it knows already.
                ended_threads: ended.min(engine.threads_in_flight),
            }
        });
        Demand {
            threads: arriving + queued.map(|request| request.threads).sum::<f64>(),
            heaviest_class_threads: heaviest.fold(1.0, f64::max),
            engines: engines.collect(),
        }
    }

    /// Threads that one gateway may have out on the engine while it is under no pressure.
    fn max_threads(&self, engine: &EngineView) -> f64 {
        self.thread_budget(engine) * OWN_BUDGET_FACTOR
    }

    /// Threads that may be sent to the engine now.
    pub(crate) fn thread_quota(&self, engine: &EngineView) -> f64 {
        let unheard = self.siblings.is_sharded && !engine.siblings_known;
        if unheard {
            0.0
        } else {
            engine.siblings.quota.0
        }
    }

    /// Hears what its siblings hold, and what room it has until it publishes.
    pub fn update_siblings(&mut self, siblings: SiblingUsage) {
        self.scan.is_outdated |= !self.siblings.is_sharded;
        for share in siblings.engines {
            if let Some(engine) = self.engines.get_mut(&share.engine) {
                engine.siblings = share;
                engine.siblings_known = true;
            }
        }
        self.queues.sibling_counts = siblings.waiting_requests;
        overwrite_credits(&mut self.class_credit.credit, &siblings.class_credit);
        let tenants = self.tenant_credit.iter_mut();
        for (credit, told) in tenants.zip(&siblings.tenant_credit) {
            overwrite_credits(&mut credit.credit, told);
        }
        self.siblings = SiblingState {
            is_sharded: true,
            classes: siblings.classes,
            quota: siblings.quota,
            class_credit: self.class_credit.credit.clone(),
            tenant_credit: self
                .tenant_credit
                .iter()
                .map(|c| c.credit.clone())
                .collect(),
        };
    }

    /// Tells what it holds now.
    pub fn publish(&mut self) -> ShardUsage {
        let mut classes = vec![ClassUsage::default(); self.settings.classes.len()];
        let mut until = Micros(0);
        let out = |request: &&Request| request.attempts_in_flight() > 0;
        for request in self.requests.values().filter(out) {
            classes[request.class].threads += request.threads;
            classes[request.class].memory_mb += request.granted_memory_mb;
            until = until.max(request.deadline);
        }
        let mut published = ShardUsage {
            classes,
            waiting_requests: self.queues.own_counts(),
            all_ended_by: until + self.settings.answer_slack,
            class_credit: credit_changes(&self.siblings.class_credit, &self.class_credit.credit),
            ..ShardUsage::default()
        };
        for (place, credit) in self.tenant_credit.iter().enumerate() {
            let before = self.siblings.tenant_credit.get(place);
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
            let out = EngineUsage {
                threads: engine.threads_in_flight,
                memory_mb: engine.memory_in_flight_mb,
                table_groups: engine.loading_groups.clone(),
            };
            published.engines.push((*id, out));
        }
        published
    }
}

impl Queues {
    /// By class and tenant, how many requests of this part wait.
    fn own_counts(&self) -> Vec<Vec<usize>> {
        let lines = self.by_class.iter();
        lines
            .map(|lines| lines.iter().map(|line| line.len()).collect())
            .collect()
    }
}
