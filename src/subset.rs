//! The subset of engines that one of many gateways sends to, and the slowdown by which an answer indicates
//! congestion.

use crate::interface::{AttemptEnded, EngineId};
use crate::policy::{CONGESTION_SLOWDOWN, Gateway};
use crate::state::{EngineView, Request, prefer};
use sedgebeam_fleet::{splitmix64, subset};
use std::collections::BTreeSet;

/// All known engines in hash order, which is the same at every gateway.
#[derive(Default)]
pub(crate) struct Ring(Vec<EngineId>);

impl Ring {
    pub fn add(&mut self, id: EngineId) {
        let index = self
            .0
            .binary_search_by_key(&splitmix64(id.0), |known| splitmix64(known.0));
        if let Err(index) = index {
            self.0.insert(index, id);
        }
    }

    pub fn retain(&mut self, is_kept: impl Fn(EngineId) -> bool) {
        self.0.retain(|id| is_kept(*id));
    }
}

impl Gateway {
    /// Ratio of an answer's time to the time that its work takes on an idle engine. The work is the reported
    /// one, or else estimated. The reduced capacity of an engine in slow start does not count as a slowdown.
    pub(crate) fn slowdown(&self, request: &Request, end: &AttemptEnded) -> f64 {
        let reported_us = end.work.map(|work| work.0 as f64 / request.threads);
        let usual_ratio = self.stats[request.class].usual_ratio;
        let estimated_us = usual_ratio
            .map(|usual_ratio| request.estimated_duration_us().unwrap_or(1e6) * usual_ratio.exp());
        let Some(idle_us) = reported_us.or(estimated_us) else {
            return 1.0;
        };
        let capacity_share = self.capacity_share(end.engine);
        // An answer is processed up to one tick late.
        let tick_us = self.settings.tick.0 as f64;
        end.elapsed.0 as f64 * capacity_share / (idle_us + tick_us).max(1.0)
    }

    /// Share of its full capacity that an engine has now: less than 1 during slow start.
    pub(crate) fn capacity_share(&self, id: EngineId) -> f64 {
        let engine = self.engines.get(&id);
        let age_us =
            engine.and_then(|engine| engine.cold_age_us(self.now, self.settings.warm_after));
        age_us.map_or(1.0, |age_us| {
            self.settings.slow_start().capacity_share(age_us)
        })
    }

    /// This gateway's index among all gateways; pseudo-random if not configured.
    pub(crate) fn gateway_index(&self) -> u32 {
        let random_index = splitmix64(self.seed) as u32 % self.settings.gateways.max(1);
        self.settings.gateway_index.unwrap_or(random_index)
    }

    /// The ring without the engines that are cold or not listed as ready.
    pub(crate) fn warm_ring(&self) -> Vec<EngineId> {
        let is_excluded =
            |engine: &&EngineView| !engine.is_listed() || self.is_cold(engine, self.now);
        let excluded = self.engines.values().filter(is_excluded);
        let excluded: BTreeSet<EngineId> = excluded.map(|engine| engine.entry.id).collect();
        let ring = self.ring.0.iter().copied();
        if excluded.is_empty() {
            return ring.collect();
        }
        ring.filter(|id| !excluded.contains(id)).collect()
    }

    /// Removes engines outside this gateway's subset from `eligible`, except cold ones, which admission
    /// tokens allow. Congested engines are avoided if there are others, and an engine that is not eligible is
    /// replaced by the next one in the gateway's selection order. `eligible` is sorted by id.
    pub(crate) fn narrow_to_subset(&self, eligible: &mut Vec<&EngineView>) {
        if !self.has_small_share {
            return;
        }
        let ring = &self.scan.warm_ring;
        prefer(eligible, |engine| {
            engine.congestion.slowdown(self.now.0) < CONGESTION_SLOWDOWN
        });
        let find_eligible =
            |id: &EngineId| eligible.binary_search_by_key(id, |engine| engine.entry.id);
        let (gateway_index, gateway_count) = (
            self.gateway_index() as usize,
            self.settings.gateways as usize,
        );
        let subset_size = subset::subset_size(self.concurrency_limit.request_rate(), ring.len());
        let selection_order = subset::selection_order(gateway_index, gateway_count, ring.len())
            .map(|position| ring[position]);
        let members = selection_order
            .filter(|id| find_eligible(id).is_ok())
            .take(subset_size);
        let subset: BTreeSet<EngineId> = members.collect();
        eligible
            .retain(|engine| subset.contains(&engine.entry.id) || self.is_cold(engine, self.now));
    }
}
