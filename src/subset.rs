//! The few engines that one of many gateways sends to, and what it holds for crowded.

use crate::interface::{AttemptEnded, EngineId};
use crate::policy::{CONGESTED, Gateway};
use crate::state::{EngineView, Request, prefer, splitmix64};
use sedgebeam_fleet::circle;
use std::collections::BTreeSet;

/// All engines known, in the order in which every gateway walks them.
#[derive(Default)]
pub(crate) struct Ring(Vec<EngineId>);

impl Ring {
    pub fn add(&mut self, id: EngineId) {
        let place = self
            .0
            .binary_search_by_key(&splitmix64(id.0), |known| splitmix64(known.0));
        if let Err(place) = place {
            self.0.insert(place, id);
        }
    }

    pub fn keep(&mut self, stays: impl Fn(EngineId) -> bool) {
        self.0.retain(|id| stays(*id));
    }
}

impl Gateway {
    /// How many times as long as alone an answer took; without its work told, by its estimate. What an engine
    /// that has started lately can't do yet is no crowd.
    pub(crate) fn slowdown(&self, request: &Request, end: &AttemptEnded) -> f64 {
        let told = end.work.map(|work| work.0 as f64 / request.threads);
        let usual = self.stats[request.class].usual_ratio;
        let guess = usual.map(|usual| request.estimated_duration_us().unwrap_or(1e6) * usual.exp());
        let Some(alone) = told.or(guess) else {
            return 1.0;
        };
        let able = self.capacity_share(end.engine);
        // An answer is heard up to a tick late.
        let tick = self.settings.tick.0 as f64;
        end.elapsed.0 as f64 * able / (alone + tick).max(1.0)
    }

    /// Share of its capacity that an engine has by now: less than all of it where it has started lately.
    pub(crate) fn capacity_share(&self, id: EngineId) -> f64 {
        let engine = self.engines.get(&id);
        let age = engine.and_then(|engine| engine.cold_age_us(self.now, self.settings.warm_after));
        age.map_or(1.0, |age| self.settings.slow_start().able(age))
    }

    /// This gateway's number among all of them.
    pub(crate) fn gateway_number(&self) -> u32 {
        let drawn = splitmix64(self.seed) as u32 % self.settings.gateways.max(1);
        self.settings.gateway_index.unwrap_or(drawn)
    }

    /// The ring without the engines that are cold, or not listed any more.
    pub(crate) fn warm_ring(&self) -> Vec<EngineId> {
        let is_out = |engine: &&EngineView| !engine.is_listed() || self.is_cold(engine, self.now);
        let out = self.engines.values().filter(is_out);
        let out: BTreeSet<EngineId> = out.map(|engine| engine.entry.id).collect();
        let ring = self.ring.0.iter().copied();
        if out.is_empty() {
            return ring.collect();
        }
        ring.filter(|id| !out.contains(id)).collect()
    }

    /// Keeps the engines of this gateway's circle, and cold ones on which a right is open. An engine that is
    /// crowded or set aside gives its place to the next of the walk. They come by their numbers.
    pub(crate) fn narrow_to_subset(&self, eligible: &mut Vec<&EngineView>) {
        if !self.has_small_share {
            return;
        }
        let ring = &self.scan.warm_ring;
        prefer(eligible, |engine| {
            engine.congestion.stretch(self.now.0) < CONGESTED
        });
        let may = |id: &EngineId| eligible.binary_search_by_key(id, |engine| engine.entry.id);
        let (me, gateways) = (
            self.gateway_number() as usize,
            self.settings.gateways as usize,
        );
        let width = circle::width(self.concurrency_limit.rate(), ring.len());
        let walk = circle::walk(me, gateways, ring.len()).map(|place| ring[place]);
        let taken = walk.filter(|id| may(id).is_ok()).take(width);
        let circle: BTreeSet<EngineId> = taken.collect();
        eligible
            .retain(|engine| circle.contains(&engine.entry.id) || self.is_cold(engine, self.now));
    }
}
