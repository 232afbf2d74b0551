//! Caches values that depend on all engines. They are computed again only after a change that may affect
//! them, as a scan of all engines in each call would be slow.

use crate::interface::{EngineId, Event, Micros};
use crate::policy::Gateway;
use crate::state::{EngineView, FleetTotals};

/// Result of the last scan of all engines, and how long it is valid.
#[derive(Default)]
pub(crate) struct FleetScan {
    /// Something that may affect the result has happened since the scan.
    pub is_outdated: bool,
    /// Time of the next change without an event: the end of an ejection or of a slow start.
    valid_until: Micros,
    /// Listed engines that are ejected, and when their ejection ends unless they reply before.
    ejected: Vec<(EngineId, Micros)>,
    /// Engines that are listed and warm, in ring order.
    pub warm_ring: Vec<EngineId>,
    /// Whether any engine is in slow start.
    pub any_cold: bool,
}

/// Whether an event may change the state of an engine. Sends and the checks of requests are no events; they
/// set `is_outdated` themselves.
pub(crate) fn affects_engines(event: &Event) -> bool {
    !matches!(
        event,
        Event::Request(_) | Event::Started(..) | Event::ClientLeft(_) | Event::Timer(_)
    )
}

fn ejected_until(engine: &EngineView) -> Micros {
    Micros(engine.health.ejected_until(engine.attempts_in_flight > 0))
}

impl Gateway {
    fn is_scan_current(&self) -> bool {
        !self.scan.is_outdated && self.now < self.scan.valid_until
    }

    /// Scans the engines if the last result may be outdated.
    pub(crate) fn refresh_scan(&mut self) {
        if !self.is_scan_current() {
            self.scan_engines();
        }
        let max_multiple = self.settings.max_share_multiple(self.fleet.share_threads);
        self.concurrency_limit.set_max(max_multiple);
    }

    /// Computes all cached values. The fleet's service time ratio is the median of the engines', so that
    /// trouble common to all engines makes none of them appear slow.
    fn scan_engines(&mut self) {
        let (mut fleet, mut ratios) = (
            FleetTotals::default(),
            Vec::with_capacity(self.engines.len()),
        );
        for engine in self.engines.values().filter(|engine| engine.is_listed()) {
            ratios.push(engine.service_time_ratio);
            let engine_share = self.usable_share(engine);
            fleet.share_threads += engine_share * self.thread_budget(engine);
            fleet.share_memory_mb +=
                engine_share * engine.memory_mb / self.settings.gateway_count();
        }
        let median_index = ratios.len() / 2;
        if !ratios.is_empty() {
            fleet.median_service_time_ratio = *ratios
                .select_nth_unstable_by(median_index, f64::total_cmp)
                .1;
        }
        self.scan = FleetScan {
            // Thread budgets were computed with the median of the previous scan.
            is_outdated: fleet.median_service_time_ratio != self.fleet.median_service_time_ratio,
            valid_until: self.next_change(),
            ejected: self.find_ejected(),
            warm_ring: self.warm_ring(),
            any_cold: self
                .engines
                .values()
                .any(|engine| self.is_cold(engine, self.now)),
        };
        self.fleet = fleet;
    }

    /// When the next ejection or slow start ends.
    fn next_change(&self) -> Micros {
        let changes = self.engines.values().flat_map(|engine| {
            let warm_at = engine.entry.started_at + self.settings.warm_after;
            [ejected_until(engine), warm_at]
        });
        let changes = changes.filter(|at| *at > self.now);
        changes.min().unwrap_or(Micros::MAX)
    }

    fn find_ejected(&self) -> Vec<(EngineId, Micros)> {
        let listed = self.engines.iter().filter(|(_, engine)| engine.is_listed());
        let until = listed.map(|(id, engine)| (*id, ejected_until(engine)));
        until.filter(|(_, until)| *until > self.now).collect()
    }

    /// Listed engines that are ejected, and when their ejection ends unless they reply before.
    pub fn ejected_engines(&self) -> Vec<(EngineId, Micros)> {
        if self.is_scan_current() {
            self.scan.ejected.clone()
        } else {
            self.find_ejected()
        }
    }
}

#[cfg(test)]
mod tests;
