//! One gateway as several shards: each decides for its own requests, and all together keep to the limits of one.
//!
//! A shard is told what its siblings hold before it decides ([`Gateway::update_siblings`]) and tells what it holds
//! itself afterwards ([`Gateway::publish`]). In between it sends no more than the room that it was given,
//! so what two shards decide at the same moment can't add up to more than one gateway would send. Nothing
//! is decided here: a gateway that has heard nothing of siblings acts as one whole.

use crate::interface::{EngineId, Event, Micros};
use crate::policy::Gateway;
use crate::shard_usage::{
    ClassUsage, Demand, Elsewhere, EngineDemand, EngineUsage, ShardUsage, SiblingUsage,
};
use crate::sizing::OWN_EXCESS;
use crate::state::{EngineView, Queues, Request};
use std::collections::BTreeMap;

/// Changes from one list of credits to the next; what is new began at nothing.
fn changes(before: &[f64], after: &[f64]) -> Vec<f64> {
    let before = before.iter().copied().chain(std::iter::repeat(0.0));
    after
        .iter()
        .zip(before)
        .map(|(now, was)| now - was)
        .collect()
}

fn overwrite(credit: &mut [f64], told: &[f64]) {
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
        let queued = self.requests.values().filter(|request| request.queued);
        let heaviest = self.settings.classes.iter().map(|class| class.threads);
        let listed = self.engines.values().filter(|engine| engine.listed());
        let engines = listed.map(|engine| {
            let ended = ended.get(&engine.entry.id).copied().unwrap_or(0.0);
            EngineDemand {
                engine: engine.entry.id,
                max_threads: self.most_threads(engine),
                is_cold: self.is_cold(engine, now),
                // No more than what it has out: of what it had called off it knows already.
                ended_threads: ended.min(engine.threads_out),
            }
        });
        Demand {
            threads: arriving + queued.map(|request| request.threads).sum::<f64>(),
            heaviest_class_threads: heaviest.fold(1.0, f64::max),
            engines: engines.collect(),
        }
    }

    /// Threads that one gateway may have out on the engine while it is under no pressure.
    fn most_threads(&self, engine: &EngineView) -> f64 {
        self.budget(engine) * OWN_EXCESS
    }

    /// Threads that may be sent to the engine now.
    pub(crate) fn room(&self, engine: &EngineView) -> f64 {
        let unheard = self.elsewhere.parted && !engine.told_of;
        if unheard {
            0.0
        } else {
            engine.elsewhere.quota.0
        }
    }

    /// Hears what its siblings hold, and what room it has until it publishes.
    pub fn update_siblings(&mut self, siblings: SiblingUsage) {
        self.surveyed.outdated |= !self.elsewhere.parted;
        for share in siblings.engines {
            if let Some(engine) = self.engines.get_mut(&share.engine) {
                engine.elsewhere = share;
                engine.told_of = true;
            }
        }
        self.queues.elsewhere = siblings.waiting_requests;
        overwrite(&mut self.class_credit.credit, &siblings.class_credit);
        let tenants = self.tenant_credit.iter_mut();
        for (credit, told) in tenants.zip(&siblings.tenant_credit) {
            overwrite(&mut credit.credit, told);
        }
        self.elsewhere = Elsewhere {
            parted: true,
            classes: siblings.classes,
            room: siblings.quota,
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
        let out = |request: &&Request| request.attempts_out() > 0;
        for request in self.requests.values().filter(out) {
            classes[request.class].threads += request.threads;
            classes[request.class].memory_mb += request.memory_held;
            until = until.max(request.deadline);
        }
        let mut published = ShardUsage {
            classes,
            waiting_requests: self.queues.own(),
            all_ended_by: until + self.settings.answer_slack,
            class_credit: changes(&self.elsewhere.class_credit, &self.class_credit.credit),
            ..ShardUsage::default()
        };
        for (place, credit) in self.tenant_credit.iter().enumerate() {
            let before = self.elsewhere.tenant_credit.get(place);
            let before = before.map_or(&[][..], Vec::as_slice);
            published
                .tenant_credit
                .push(changes(before, &credit.credit));
        }
        for (id, engine) in &mut self.engines {
            let work = std::mem::take(&mut engine.unpublished);
            if work > 0.0 {
                published.work_sent_core_s.push((*id, work));
            }
            let out = EngineUsage {
                threads: engine.threads_out,
                memory_mb: engine.memory_out,
                table_groups: engine.held.clone(),
            };
            published.engines.push((*id, out));
        }
        published
    }
}

impl Queues {
    /// By class and tenant, how many requests of this part wait.
    fn own(&self) -> Vec<Vec<usize>> {
        let lines = self.lines.iter();
        lines
            .map(|lines| lines.iter().map(|line| line.len()).collect())
            .collect()
    }
}
