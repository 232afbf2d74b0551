//! What holds for all engines together. It is found by looking at each, and anew only where that may say something else.

use crate::interface::{EngineId, Event, Micros};
use crate::policy::Gateway;
use crate::state::{EngineView, Fleet};

/// How far the last look at all engines holds.
#[derive(Default)]
pub(crate) struct Surveyed {
    /// Something has happened that it depends on.
    pub outdated: bool,
    /// Nothing about an engine changes by itself before.
    until: Micros,
    /// Engines that are listed and set aside, and until when if nothing is heard of them.
    resting: Vec<(EngineId, Micros)>,
    /// Engines that are listed and warm, in the order of the ring.
    pub warm_ring: Vec<EngineId>,
    pub any_cold: bool,
}

/// Whether an event may change what is known of an engine. What is sent, and what is found out by a look at what waits,
/// is noted where it happens.
pub(crate) fn bears_on_engines(event: &Event) -> bool {
    !matches!(
        event,
        Event::Request(_) | Event::Started(..) | Event::ClientLeft(_) | Event::Timer(_)
    )
}

fn rests_until(engine: &EngineView) -> Micros {
    Micros(engine.health.ejected_until(engine.attempts_out > 0))
}

impl Gateway {
    fn survey_holds(&self) -> bool {
        !self.surveyed.outdated && self.now < self.surveyed.until
    }

    /// Finds what holds for the fleet as a whole, where that may have changed. The pace is that of the middle engine: a
    /// trouble common to all slows none against the others.
    pub(crate) fn survey(&mut self) {
        if !self.survey_holds() {
            self.look_at_engines();
        }
        let most = self.settings.most_parts(self.fleet.threads);
        self.multiple.set_max(most);
    }

    fn look_at_engines(&mut self) {
        let (mut fleet, mut paces) = (Fleet::default(), Vec::with_capacity(self.engines.len()));
        for engine in self.engines.values().filter(|engine| engine.listed()) {
            paces.push(engine.pace);
            let share = self.able_share(engine);
            fleet.threads += share * self.budget(engine);
            fleet.memory_mb += share * engine.memory_mb / self.settings.all_gateways();
        }
        let middle = paces.len() / 2;
        if !paces.is_empty() {
            fleet.pace = *paces.select_nth_unstable_by(middle, f64::total_cmp).1;
        }
        self.surveyed = Surveyed {
            // Budgets go by the pace of the look before.
            outdated: fleet.pace != self.fleet.pace,
            until: self.next_change(),
            resting: self.resting(),
            warm_ring: self.warm_ring(),
            any_cold: self.engines.values().any(|e| self.is_cold(e, self.now)),
        };
        self.fleet = fleet;
    }

    /// When a rest or a warm-up ends next.
    fn next_change(&self) -> Micros {
        let changes = self.engines.values().flat_map(|engine| {
            let warm_at = engine.entry.started_at + self.settings.warm_after;
            [rests_until(engine), warm_at]
        });
        let changes = changes.filter(|at| *at > self.now);
        changes.min().unwrap_or(Micros::MAX)
    }

    fn resting(&self) -> Vec<(EngineId, Micros)> {
        let listed = self.engines.iter().filter(|(_, engine)| engine.listed());
        let until = listed.map(|(id, engine)| (*id, rests_until(engine)));
        until.filter(|(_, until)| *until > self.now).collect()
    }

    /// Engines that are listed and set aside, and until when if nothing is heard of them.
    pub fn ejected_engines(&self) -> Vec<(EngineId, Micros)> {
        if self.survey_holds() {
            self.surveyed.resting.clone()
        } else {
            self.resting()
        }
    }
}

#[cfg(test)]
mod tests;
