//! Whether a request may be sent again, and by when: at most once or within the deduplication window, as its class
//! demands, and within the limits on attempts.

use crate::interface::*;
use crate::policy::Gateway;
use crate::state::Request;

/// A keyed repeat begins this long before its window ends, as a send takes time to arrive.
const DEDUP_WINDOW_MARGIN: Micros = Micros::from_millis(50);

impl Gateway {
    pub(crate) fn effect_allows(&self, request: &Request, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.class];
        let Some(earlier) = request.first_that_may_have_run() else {
            return true;
        };
        let first = self.engines.get(&earlier.engine).map(|first| &first.entry);
        let is_deduplicated = match class.effect {
            Effect::Repeatable => return true,
            Effect::Once => false,
            Effect::Keyed(DedupScope::All) => true,
            Effect::Keyed(DedupScope::Zone) => first.is_some_and(|first| first.zone == engine.zone),
            Effect::Keyed(DedupScope::Cell) => first.is_some_and(|first| first.cell == engine.cell),
        };
        is_deduplicated
            && self
                .latest_repeat_start(request)
                .is_some_and(|latest| self.now < latest)
    }

    /// When a repeat must begin at the latest: engines drop it within the window after the first attempt that may
    /// have run.
    pub(crate) fn latest_repeat_start(&self, request: &Request) -> Option<Micros> {
        let class = &self.settings.classes[request.class];
        let keyed = matches!(class.effect, Effect::Keyed(_));
        let earlier = request.first_that_may_have_run().filter(|_| keyed)?;
        Some(earlier.sent_at + (class.dedup_window - DEDUP_WINDOW_MARGIN))
    }

    pub(crate) fn attempt_limits_allow(&self, request: &Request) -> bool {
        let (made, in_flight) = (request.attempts.len(), request.attempts_in_flight());
        let copies = usize::from(self.settings.second_copies);
        let over_budget = self.settings.attempt_budget.is_some_and(|budget| {
            let extra = self.extra_attempts.count(self.now, budget.window) + 1.0;
            extra
                > budget.free_attempts
                    + budget.extra_per_request * self.accepted.count(self.now, budget.window)
        });
        made < request.max_attempts && in_flight <= copies && (made == 0 || !over_budget)
    }
}
