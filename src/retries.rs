//! Whether a request may be sent again, and by when. A class may forbid repeats, or allow them only within
//! the deduplication window; the number of attempts is limited too.

use crate::interface::*;
use crate::policy::Gateway;
use crate::state::Request;

/// A repeat must begin this long before the deduplication window ends, as a send takes time to arrive.
const DEDUP_WINDOW_MARGIN: Micros = Micros::from_millis(50);

impl Gateway {
    /// Whether the effect of the request's class allows another attempt on the engine.
    pub(crate) fn effect_allows(&self, request: &Request, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.class];
        let Some(first_attempt) = request.first_that_may_have_run() else {
            return true;
        };
        let first_entry = self
            .engines
            .get(&first_attempt.engine)
            .map(|engine| &engine.entry);
        let is_deduplicated = match class.effect {
            Effect::Repeatable => return true,
            Effect::Once => false,
            Effect::Keyed(DedupScope::All) => true,
            Effect::Keyed(DedupScope::Zone) => {
                first_entry.is_some_and(|first| first.zone == engine.zone)
            }
            Effect::Keyed(DedupScope::Cell) => {
                first_entry.is_some_and(|first| first.cell == engine.cell)
            }
        };
        is_deduplicated
            && self
                .latest_repeat_start(request)
                .is_some_and(|latest| self.now < latest)
    }

    /// Until when a repeat may begin, if the class is keyed: engines drop duplicates within the window after
    /// the first attempt that may have run. `None` without one.
    pub(crate) fn latest_repeat_start(&self, request: &Request) -> Option<Micros> {
        let class = &self.settings.classes[request.class];
        let is_keyed = matches!(class.effect, Effect::Keyed(_));
        let first_attempt = request.first_that_may_have_run().filter(|_| is_keyed)?;
        Some(first_attempt.sent_at + (class.dedup_window - DEDUP_WINDOW_MARGIN))
    }

    /// Whether the limits on attempts, on attempts in flight and on extra attempts allow another attempt.
    pub(crate) fn attempt_limits_allow(&self, request: &Request) -> bool {
        let (attempts_made, attempts_in_flight) =
            (request.attempts.len(), request.attempts_in_flight());
        let max_other_attempts = usize::from(self.settings.second_copies);
        let is_over_budget = self.settings.attempt_budget.is_some_and(|budget| {
            let extra_attempts = self.extra_attempts.count(self.now, budget.window) + 1.0;
            extra_attempts
                > budget.free_attempts
                    + budget.extra_per_request * self.accepted.count(self.now, budget.window)
        });
        attempts_made < request.max_attempts
            && attempts_in_flight <= max_other_attempts
            && (attempts_made == 0 || !is_over_budget)
    }
}
