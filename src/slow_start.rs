//! Sends to engines that are not warm yet: the fourth rule, for one gateway of few and for one of many.

use crate::interface::Micros;
use crate::policy::Gateway;
use crate::state::{Attempt, EngineView, Request, splitmix64};
use sedgebeam_fleet::slow_start;

/// Share of the gateway's part of a cold engine's budget that is used: estimates scatter.
const COLD_MARGIN: f64 = 0.5;

impl Gateway {
    /// What a send weighs on a cold engine, in core seconds: the usual work of its class.
    pub(crate) fn weight(&self, class: usize) -> f64 {
        let work = self.usual[class].work.0;
        work.map_or(self.held(class), |work| work / 1e6)
    }

    /// Whether the engine has started so lately that it is not warm yet.
    pub(crate) fn is_cold(&self, engine: &EngineView, now: Micros) -> bool {
        engine.cold_age(now, self.settings.warm_after).is_some()
    }

    /// This gateway's part of what a cold engine bears is under one query, and there are no shards to share it.
    pub(crate) fn by_rights(&self) -> bool {
        self.small_part && !self.elsewhere.parted
    }

    /// Share of an engine that there is room on. Where a gateway goes by its part of the whole fleet, what it
    /// may not send to cold engines, or would not to those set aside, would all come on top of the others.
    pub(crate) fn able_share(&self, engine: &EngineView) -> f64 {
        if !self.by_rights() {
            return 1.0;
        }
        if engine.rests(self.now) {
            return 0.0;
        }
        if self.is_cold(engine, self.now) {
            0.0
        } else {
            1.0
        }
    }

    /// Whether what is out of the request is on a cold engine, by a right of its own.
    pub(crate) fn on_cold(&self, request: &Request) -> bool {
        let out = |attempt: &&Attempt| attempt.outcome.is_none();
        let attempt = request.attempts.iter().rfind(out);
        let engine = attempt.and_then(|attempt| self.engines.get(&attempt.engine));
        self.by_rights() && engine.is_some_and(|engine| self.is_cold(engine, self.now))
    }

    /// A cold engine gets this gateway's part of what it can bear in any window, and nothing before an
    /// earlier life of this gateway, of which nothing is known, is a window away.
    pub(crate) fn cold_allows(&self, request: &Request, engine: &EngineView) -> bool {
        let (settings, now) = (&self.settings, self.now);
        let window = settings.overload_window;
        if !self.is_cold(engine, now) {
            return true;
        }
        let settled = self.started_at.is_some_and(|at| now >= at + window);
        if self.by_rights() {
            return settled && engine.rights.is_available(request.class, now.0);
        }
        let able = engine.cores * settings.start_capacity * window.0 as f64 / 1e6;
        let part = settings.overload_multiple * able * COLD_MARGIN / settings.all_gateways();
        let sent = engine.work_sent(now, window);
        settled && sent + self.weight(request.class) <= part
    }

    /// Lets the rights on cold engines grow.
    pub(crate) fn warm(&mut self) {
        if !self.by_rights() || !self.surveyed.any_cold {
            return;
        }
        let (now, settings, me) = (self.now, &self.settings, self.number());
        let warming = settings.warming();
        let works = (0..settings.classes.len()).map(|class| self.weight(class));
        let works: Vec<f64> = works.collect();
        // One of each class is taken for asked already: a gateway that has just started knows of none.
        let taken: f64 = self.usual.iter().map(|usual| usual.taken + 1.0).sum();
        let asked = self.usual.iter().zip(&works).zip(&settings.classes);
        let asked = asked.map(|((usual, work), class)| match class.retired {
            true => 0.0,
            false => {
                let part = (usual.taken + 1.0) / taken;
                part * work * warming.use_probability(part * self.multiple.request_rate())
            }
        });
        let asked: Vec<f64> = asked.collect();
        let all = asked.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let classes = asked.iter().map(|part| part / all).zip(works);
        let classes: Vec<(f64, f64)> = classes.collect();
        let warm_after = settings.warm_after;
        for engine in self.engines.values_mut() {
            let Some(age) = engine.cold_age(now, warm_after) else {
                continue;
            };
            let granted = warming.granted_work(age, engine.cores);
            let salt = engine.entry.id.0;
            let phase = |class: usize| {
                slow_start::phase(
                    me,
                    warming.gateway_count,
                    splitmix64(salt ^ splitmix64(class as u64)),
                )
            };
            engine
                .rights
                .refill(now.0, granted, &warming, &classes, phase);
        }
    }
}
