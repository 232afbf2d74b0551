//! Slow start of engines: limits the work sent to cold engines, by a budget if gateways are few and by admission
//! tokens if they are many.

use crate::interface::Micros;
use crate::policy::Gateway;
use crate::state::{Attempt, EngineView, Request, splitmix64};
use sedgebeam_fleet::slow_start;

/// Share of its part of a cold engine's budget that a gateway uses, as estimates vary.
const COLD_BUDGET_SHARE: f64 = 0.5;

impl Gateway {
    /// Core seconds that a send counts on a cold engine: the mean work of its class.
    pub(crate) fn mean_core_seconds(&self, class: usize) -> f64 {
        let work = self.stats[class].work_us.0;
        work.map_or(self.mean_thread_seconds(class), |work| work / 1e6)
    }

    /// Whether the engine is still in slow start.
    pub(crate) fn is_cold(&self, engine: &EngineView, now: Micros) -> bool {
        engine.cold_age_us(now, self.settings.warm_after).is_some()
    }

    /// Whether cold engines need tokens: this gateway's share of them is under one query, and it has no shards.
    pub(crate) fn uses_admission_tokens(&self) -> bool {
        self.has_small_share && !self.siblings.is_sharded
    }

    /// Share of an engine that counts in the fleet's capacity. If the gateway is limited by its share of the
    /// fleet, the capacity of cold and ejected engines would otherwise be used on top of the others'.
    pub(crate) fn usable_share(&self, engine: &EngineView) -> f64 {
        if !self.uses_admission_tokens() {
            return 1.0;
        }
        if engine.is_ejected(self.now) {
            return 0.0;
        }
        if self.is_cold(engine, self.now) {
            0.0
        } else {
            1.0
        }
    }

    /// Whether the request's attempt in flight is on a cold engine, allowed by an admission token.
    pub(crate) fn is_on_cold_engine(&self, request: &Request) -> bool {
        let in_flight = |attempt: &&Attempt| attempt.outcome.is_none();
        let attempt = request.attempts.iter().rfind(in_flight);
        let engine = attempt.and_then(|attempt| self.engines.get(&attempt.engine));
        self.uses_admission_tokens() && engine.is_some_and(|engine| self.is_cold(engine, self.now))
    }

    /// Limits the work for a cold engine to this gateway's share of its capacity in any window. Sends nothing in
    /// the first window after the gateway's own start, as the sends of an earlier process are unknown.
    pub(crate) fn slow_start_allows(&self, request: &Request, engine: &EngineView) -> bool {
        let (settings, now) = (&self.settings, self.now);
        let window = settings.overload_window;
        if !self.is_cold(engine, now) {
            return true;
        }
        let settled = self.started_at.is_some_and(|at| now >= at + window);
        if self.uses_admission_tokens() {
            return settled && engine.admission_tokens.is_available(request.class, now.0);
        }
        let capacity = engine.cores * settings.start_capacity * window.0 as f64 / 1e6;
        let budget =
            settings.overload_multiple * capacity * COLD_BUDGET_SHARE / settings.gateway_count();
        let sent = engine.cold_work_core_s(now, window);
        settled && sent + self.mean_core_seconds(request.class) <= budget
    }

    /// Adds admission tokens for cold engines.
    pub(crate) fn grow_admission_tokens(&mut self) {
        if !self.uses_admission_tokens() || !self.scan.any_cold {
            return;
        }
        let (now, settings, gateway) = (self.now, &self.settings, self.gateway_index());
        let slow_start = settings.slow_start();
        let works = (0..settings.classes.len()).map(|class| self.mean_core_seconds(class));
        let works: Vec<f64> = works.collect();
        // Each class counts one request in advance, as a gateway that has just started has seen none.
        let total_accepted: f64 = self
            .stats
            .iter()
            .map(|stats| stats.accepted_requests + 1.0)
            .sum();
        let demand = self.stats.iter().zip(&works).zip(&settings.classes);
        let demand = demand.map(|((stats, work), class)| match class.retired {
            true => 0.0,
            false => {
                let share = (stats.accepted_requests + 1.0) / total_accepted;
                share
                    * work
                    * slow_start.use_probability(share * self.concurrency_limit.request_rate())
            }
        });
        let demand: Vec<f64> = demand.collect();
        let total = demand.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let classes = demand.iter().map(|part| part / total).zip(works);
        let classes: Vec<(f64, f64)> = classes.collect();
        let warm_after = settings.warm_after;
        for engine in self.engines.values_mut() {
            let Some(age_us) = engine.cold_age_us(now, warm_after) else {
                continue;
            };
            let granted = slow_start.granted_work(age_us, engine.cores);
            let salt = engine.entry.id.0;
            let phase = |class: usize| {
                slow_start::phase(
                    gateway,
                    slow_start.gateway_count,
                    splitmix64(salt ^ splitmix64(class as u64)),
                )
            };
            engine
                .admission_tokens
                .refill(now.0, granted, &slow_start, &classes, phase);
        }
    }
}
