//! Slow start of engines: limits the work sent to cold engines, by a budget if gateways are few and by
//! admission tokens if gateways are many.

use crate::interface::Micros;
use crate::policy::Gateway;
use crate::state::{Attempt, EngineView, Request};
use sedgebeam_fleet::{slow_start, splitmix64};

/// Fraction of its share of a cold engine's budget that a gateway uses, as the work of queries is estimated.
const COLD_BUDGET_FRACTION: f64 = 0.5;

impl Gateway {
    /// Core seconds that a send to a cold engine counts with: the mean work of its class, or else its mean
    /// thread seconds.
    pub(crate) fn mean_core_seconds(&self, class: usize) -> f64 {
        let work_us = self.stats[class].work_us.0;
        work_us.map_or(self.mean_thread_seconds(class), |work_us| work_us / 1e6)
    }

    /// Whether the engine is still in slow start.
    pub(crate) fn is_cold(&self, engine: &EngineView, now: Micros) -> bool {
        engine.cold_age_us(now, self.settings.warm_after).is_some()
    }

    /// Whether sends to cold engines need admission tokens: this gateway's share of an engine is under one
    /// query, and the gateway has no shards.
    pub(crate) fn uses_admission_tokens(&self) -> bool {
        self.has_small_share && !self.siblings.is_sharded
    }

    /// Share of an engine that counts towards the fleet's capacity. Where admission tokens are used, cold and
    /// ejected engines do not count: a gateway that is limited by its share of the fleet would otherwise use
    /// their capacity too, on the other engines.
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

    /// Whether the request's attempt in flight is on a cold engine and was allowed by an admission token.
    pub(crate) fn is_on_cold_engine(&self, request: &Request) -> bool {
        let is_in_flight = |attempt: &&Attempt| attempt.outcome.is_none();
        let attempt = request.attempts.iter().rfind(is_in_flight);
        let engine = attempt.and_then(|attempt| self.engines.get(&attempt.engine));
        self.uses_admission_tokens() && engine.is_some_and(|engine| self.is_cold(engine, self.now))
    }

    /// Whether the request may be sent to the engine as far as slow start is concerned. The work sent to a
    /// cold engine in any window is limited to this gateway's share of the engine's capacity. In the first
    /// window after the gateway's own start nothing is sent to cold engines, as the sends of an earlier
    /// process are unknown.
    pub(crate) fn slow_start_allows(&self, request: &Request, engine: &EngineView) -> bool {
        let (settings, now) = (&self.settings, self.now);
        let window = settings.overload_window;
        if !self.is_cold(engine, now) {
            return true;
        }
        let first_window_is_over = self.started_at.is_some_and(|at| now >= at + window);
        if self.uses_admission_tokens() {
            return first_window_is_over
                && engine.admission_tokens.is_available(request.class, now.0);
        }
        let initial_capacity_core_s =
            engine.cores * settings.start_capacity * window.0 as f64 / 1e6;
        let budget_core_s =
            settings.overload_multiple * initial_capacity_core_s * COLD_BUDGET_FRACTION
                / settings.gateway_count();
        let sent_core_s = engine.cold_work_core_s(now, window);
        first_window_is_over && sent_core_s + self.mean_core_seconds(request.class) <= budget_core_s
    }

    /// Adds the admission tokens for cold engines that have become due since the last call.
    pub(crate) fn grow_admission_tokens(&mut self) {
        if !self.uses_admission_tokens() || !self.scan.any_cold {
            return;
        }
        let (now, settings, gateway_index) = (self.now, &self.settings, self.gateway_index());
        let slow_start = settings.slow_start();
        let class_work_core_s =
            (0..settings.classes.len()).map(|class| self.mean_core_seconds(class));
        let class_work_core_s: Vec<f64> = class_work_core_s.collect();
        // Each class starts with a count of one request, as a gateway that has just started has
        // accepted none.
        let total_accepted: f64 = self
            .stats
            .iter()
            .map(|stats| stats.accepted_requests + 1.0)
            .sum();
        let class_demand = self
            .stats
            .iter()
            .zip(&class_work_core_s)
            .zip(&settings.classes);
        let class_demand = class_demand.map(|((stats, work_core_s), class)| match class.retired {
            true => 0.0,
            false => {
                let share = (stats.accepted_requests + 1.0) / total_accepted;
                share
                    * work_core_s
                    * slow_start.use_probability(share * self.concurrency_limit.request_rate())
            }
        });
        let class_demand: Vec<f64> = class_demand.collect();
        let total_demand = class_demand.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let classes = class_demand
            .iter()
            .map(|demand| demand / total_demand)
            .zip(class_work_core_s);
        let classes: Vec<(f64, f64)> = classes.collect();
        let warm_after = settings.warm_after;
        for engine in self.engines.values_mut() {
            let Some(age_us) = engine.cold_age_us(now, warm_after) else {
                continue;
            };
            let granted_core_s = slow_start.granted_work(age_us, engine.cores);
            let engine_salt = engine.entry.id.0;
            let phase = |class: usize| {
                slow_start::phase(
                    gateway_index,
                    slow_start.gateway_count,
                    splitmix64(engine_salt ^ splitmix64(class as u64)),
                )
            };
            engine
                .admission_tokens
                .refill(now.0, granted_core_s, &slow_start, &classes, phase);
        }
    }
}
