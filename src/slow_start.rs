//! Slow start of engines: limits the work sent to cold engines, by a budget if gateways are few and by
//! admission tokens if gateways are many.

use crate::interface::{AttemptEnded, Micros};
use crate::policy::Gateway;
use crate::state::{Attempt, EngineView, Request};
use sedgebeam_fleet::{slow_start, splitmix64};

/// Fraction of its share of a cold engine's budget that a gateway uses, as the work of queries is estimated.
const COLD_BUDGET_FRACTION: f64 = 0.5;
/// Fraction of that budget which a request counts with at least while its class has too few answers.
const UNCONFIRMED_BUDGET_FRACTION: f64 = 0.5;
/// Share of its class's target thread time that a request counts with at least for admission tokens while
/// its class has too few answers.
const UNCONFIRMED_THREAD_TIME_SHARE: f64 = 0.025;
/// Number of answers of a class from which estimates are compared with the work that answers show.
const MIN_ANSWERS: u32 = 10;
/// Bounds of the mean estimate of a class, as multiples of the mean work that answers show.
const ESTIMATE_BOUNDS: (f64, f64) = (0.75, 4.0);
/// An estimate that is this many times below the thread time of its attempt is not believed.
const MAX_UNDERESTIMATE: f64 = 1.25;
/// Smallest work that an answer counts with: engines tell whole milliseconds.
const MIN_WORK_US: f64 = 1000.0;

/// Work of an answered request: what its engine tells, or else its estimate, as far as the thread time of
/// the attempt allows: a query can't do more work than that, and rarely far less.
pub(crate) fn observed_work_us(request: &Request, end: &AttemptEnded) -> f64 {
    let thread_time_us = (end.elapsed.0 as f64 * request.threads).max(MIN_WORK_US);
    let estimated_work_us = request.query.work.0 as f64;
    let work_us = match end.work {
        Some(work) => work.0 as f64,
        None if estimated_work_us > 0.0 => {
            estimated_work_us.clamp(thread_time_us / MAX_UNDERESTIMATE, thread_time_us)
        }
        None => thread_time_us,
    };
    work_us.max(MIN_WORK_US)
}

impl Gateway {
    /// Mean core seconds of a request of the class, as answers show; `None` before enough answers.
    fn observed_core_seconds(&self, class: usize) -> Option<f64> {
        let observed_work = &self.stats[class].observed_work;
        (observed_work.answers >= MIN_ANSWERS).then_some(observed_work.mean_us / 1e6)
    }

    /// Mean core seconds of a request of the class: as clients estimate, within bounds of what answers show;
    /// without estimates its mean thread seconds. The mean of the estimates alone would be what clients
    /// choose, and that of the answers varies too much where a gateway sees few.
    pub(crate) fn mean_core_seconds(&self, class: usize) -> f64 {
        let estimated_work_us = self.stats[class].estimated_work_us.0;
        let estimated_core_s =
            estimated_work_us.map_or(self.mean_thread_seconds(class), |work_us| work_us / 1e6);
        let (min, max) = ESTIMATE_BOUNDS;
        self.observed_core_seconds(class)
            .map_or(estimated_core_s, |observed_core_s| {
                estimated_core_s.clamp(min * observed_core_s, max * observed_core_s)
            })
    }

    /// Mean core seconds, but at least `min_core_s` while the class has too few answers.
    fn confirmed_core_seconds(&self, class: usize, min_core_s: f64) -> f64 {
        let mean_core_s = self.mean_core_seconds(class);
        match self.observed_core_seconds(class) {
            Some(_) => mean_core_s,
            None => mean_core_s.max(min_core_s),
        }
    }

    /// Core seconds that a send of the class to a cold engine counts with in the budget.
    pub(crate) fn cold_send_core_seconds(&self, class: usize, engine: &EngineView) -> f64 {
        let min_core_s = UNCONFIRMED_BUDGET_FRACTION * self.cold_budget_core_s(engine);
        self.confirmed_core_seconds(class, min_core_s)
    }

    /// Core seconds that an admission token of the class stands for.
    fn token_core_seconds(&self, class: usize) -> f64 {
        let target_core_s = self.settings.classes[class].target_thread_seconds();
        self.confirmed_core_seconds(class, UNCONFIRMED_THREAD_TIME_SHARE * target_core_s)
    }

    /// Core seconds that this gateway may send to a cold engine in any overload window: its share of a part
    /// of what the engine bears when it starts.
    fn cold_budget_core_s(&self, engine: &EngineView) -> f64 {
        let settings = &self.settings;
        let window_s = settings.overload_window.0 as f64 / 1e6;
        let initial_capacity_core_s = engine.cores * settings.start_capacity * window_s;
        settings.overload_multiple * initial_capacity_core_s * COLD_BUDGET_FRACTION
            / settings.gateway_count()
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
        if self.started_at.is_none_or(|at| now < at + window) {
            return false;
        }
        if self.uses_admission_tokens() {
            return engine.admission_tokens.is_available(request.class, now.0);
        }
        let sent_core_s = engine.cold_work_core_s(now, window);
        let send_core_s = self.cold_send_core_seconds(request.class, engine);
        sent_core_s + send_core_s <= self.cold_budget_core_s(engine)
    }

    /// Adds the admission tokens for cold engines that have become due since the last call.
    pub(crate) fn grow_admission_tokens(&mut self) {
        if !self.uses_admission_tokens() || !self.scan.any_cold {
            return;
        }
        let (now, settings, gateway_index) = (self.now, &self.settings, self.gateway_index());
        let slow_start = settings.slow_start();
        let class_work_core_s =
            (0..settings.classes.len()).map(|class| self.token_core_seconds(class));
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
