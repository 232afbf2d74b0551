//! Sends to engines that are not warm yet: the fourth rule, for one gateway of few and for one of many.

use crate::interface::Micros;
use crate::policy::Gateway;
use crate::state::{Attempt, EngineView, Request, splitmix64};
use sedgebeam_fleet::cold;

/// Share of the gateway's part of a cold engine's budget that is used: estimates scatter.
const COLD_MARGIN: f64 = 0.5;

impl Gateway {
    /// What a send weighs on a cold engine, in core seconds: the usual work of its class.
    pub(crate) fn core_secs(&self, class: usize) -> f64 {
        let work = self.stats[class].work_us.0;
        work.map_or(self.thread_secs(class), |work| work / 1e6)
    }

    /// Whether the engine has started so lately that it is not warm yet.
    pub(crate) fn is_cold(&self, engine: &EngineView, now: Micros) -> bool {
        engine.cold_age_us(now, self.settings.warm_after).is_some()
    }

    /// This gateway's part of what a cold engine bears is under one query, and there are no shards to share it.
    pub(crate) fn uses_admission_tokens(&self) -> bool {
        self.has_small_share && !self.siblings.is_sharded
    }

    /// Share of an engine that there is room on. Where a gateway goes by its part of the whole fleet, what it
    /// may not send to cold engines, or would not to those set aside, would all come on top of the others.
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

    /// Whether what is out of the request is on a cold engine, by a right of its own.
    pub(crate) fn on_cold_engine(&self, request: &Request) -> bool {
        let out = |attempt: &&Attempt| attempt.outcome.is_none();
        let attempt = request.attempts.iter().rfind(out);
        let engine = attempt.and_then(|attempt| self.engines.get(&attempt.engine));
        self.uses_admission_tokens() && engine.is_some_and(|engine| self.is_cold(engine, self.now))
    }

    /// A cold engine gets this gateway's part of what it can bear in any window, and nothing before an
    /// earlier life of this gateway, of which nothing is known, is a window away.
    pub(crate) fn slow_start_allows(&self, request: &Request, engine: &EngineView) -> bool {
        let (settings, now) = (&self.settings, self.now);
        let window = settings.overload_window;
        if !self.is_cold(engine, now) {
            return true;
        }
        let settled = self.started_at.is_some_and(|at| now >= at + window);
        if self.uses_admission_tokens() {
            return settled && engine.admission_tokens.open(request.class, now.0);
        }
        let able = engine.cores * settings.start_capacity * window.0 as f64 / 1e6;
        let part = settings.overload_multiple * able * COLD_MARGIN / settings.gateway_count();
        let sent = engine.cold_work_core_s(now, window);
        settled && sent + self.core_secs(request.class) <= part
    }

    /// Lets the rights on cold engines grow.
    pub(crate) fn grow_admission_tokens(&mut self) {
        if !self.uses_admission_tokens() || !self.scan.any_cold {
            return;
        }
        let (now, settings, me) = (self.now, &self.settings, self.gateway_number());
        let warming = settings.slow_start();
        let works = (0..settings.classes.len()).map(|class| self.core_secs(class));
        let works: Vec<f64> = works.collect();
        // One of each class is taken for asked already: a gateway that has just started knows of none.
        let taken: f64 = self
            .stats
            .iter()
            .map(|usual| usual.accepted_requests + 1.0)
            .sum();
        let asked = self.stats.iter().zip(&works).zip(&settings.classes);
        let asked = asked.map(|((usual, work), class)| match class.retired {
            true => 0.0,
            false => {
                let part = (usual.accepted_requests + 1.0) / taken;
                part * work * warming.met(part * self.concurrency_limit.rate())
            }
        });
        let asked: Vec<f64> = asked.collect();
        let all = asked.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let classes = asked.iter().map(|part| part / all).zip(works);
        let classes: Vec<(f64, f64)> = classes.collect();
        let warm_after = settings.warm_after;
        for engine in self.engines.values_mut() {
            let Some(age) = engine.cold_age_us(now, warm_after) else {
                continue;
            };
            let granted = warming.granted(age, engine.cores);
            let salt = engine.entry.id.0;
            let phase = |class: usize| {
                cold::phase(
                    me,
                    warming.gateways,
                    splitmix64(salt ^ splitmix64(class as u64)),
                )
            };
            engine
                .admission_tokens
                .grow(now.0, granted, &warming, &classes, phase);
        }
    }
}
