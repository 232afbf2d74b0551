//! How much a gateway remembers: what a long run must not let grow.

use crate::policy::Gateway;
use std::collections::VecDeque;

/// Entries of all that grows with what happens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSizes {
    pub engines: usize,
    /// Requests that have no end yet, or an attempt out.
    pub requests: usize,
    /// Of them, those in a queue.
    pub queued_requests: usize,
    /// Keys whose requests keep their order.
    pub keys: usize,
    /// Sends, groups and rights kept with engines, and times within the budget's window.
    pub recent_entries: usize,
}

impl Gateway {
    pub fn state_sizes(&self) -> StateSizes {
        let lines = self.queues.by_class.iter().flatten();
        let engines = self.engines.values();
        let kept = engines.map(|engine| {
            let groups = engine.loading_groups.len() + engine.foreign_loading_groups.len();
            groups + engine.recent_sends.len() + engine.siblings.usage.table_groups.len()
        });
        StateSizes {
            engines: self.engines.len(),
            requests: self.requests.len(),
            queued_requests: lines.map(VecDeque::len).sum(),
            keys: self.key_queues.len(),
            recent_entries: kept.sum::<usize>() + self.accepted.len() + self.extra_attempts.len(),
        }
    }
}
