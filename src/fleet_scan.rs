//! What holds for all engines together. It is found by looking at each, and anew only where that may say something else.

use crate::interface::{EngineId, Event, Micros};
use crate::policy::Gateway;
use crate::state::{EngineView, FleetTotals};

/// How far the last look at all engines holds.
#[derive(Default)]
pub(crate) struct FleetScan {
    /// Something has happened that it depends on.
    pub is_outdated: bool,
    /// Nothing about an engine changes by itself before.
    valid_until: Micros,
    /// Engines that are listed and set aside, and until when if nothing is heard of them.
    ejected: Vec<(EngineId, Micros)>,
    /// Engines that are listed and warm, in the order of the ring.
    pub warm_ring: Vec<EngineId>,
    pub any_cold: bool,
}

/// Whether an event may change what is known of an engine. What is sent, and what is found out by a look at what waits,
/// is noted where it happens.
pub(crate) fn affects_engines(event: &Event) -> bool {
    !matches!(
        event,
        Event::Request(_) | Event::Started(..) | Event::ClientLeft(_) | Event::Timer(_)
    )
}

fn ejected_until(engine: &EngineView) -> Micros {
    Micros(engine.health.rests_until(engine.attempts_in_flight > 0))
}

impl Gateway {
    fn is_scan_current(&self) -> bool {
        !self.scan.is_outdated && self.now < self.scan.valid_until
    }

    /// Finds what holds for the fleet as a whole, where that may have changed. The pace is that of the middle engine: a
    /// trouble common to all slows none against the others.
    pub(crate) fn refresh_scan(&mut self) {
        if !self.is_scan_current() {
            self.scan_engines();
        }
        let most = self.settings.max_share_multiple(self.fleet.thread_share);
        self.concurrency_limit.bound(most);
    }

    fn scan_engines(&mut self) {
        let (mut fleet, mut paces) = (
            FleetTotals::default(),
            Vec::with_capacity(self.engines.len()),
        );
        for engine in self.engines.values().filter(|engine| engine.is_listed()) {
            paces.push(engine.service_time_ratio);
            let share = self.usable_share(engine);
            fleet.thread_share += share * self.thread_budget(engine);
            fleet.memory_share_mb += share * engine.memory_mb / self.settings.gateway_count();
        }
        let middle = paces.len() / 2;
        if !paces.is_empty() {
            fleet.median_ratio = *paces.select_nth_unstable_by(middle, f64::total_cmp).1;
        }
        self.scan = FleetScan {
            // Budgets go by the pace of the look before.
            is_outdated: fleet.median_ratio != self.fleet.median_ratio,
            valid_until: self.next_change(),
            ejected: self.find_ejected(),
            warm_ring: self.warm_ring(),
            any_cold: self.engines.values().any(|e| self.is_cold(e, self.now)),
        };
        self.fleet = fleet;
    }

    /// When a rest or a warm-up ends next.
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

    /// Engines that are listed and set aside, and until when if nothing is heard of them.
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
