//! Sizes of a gateway's collections, which must stay bounded during a long run.

use crate::policy::Gateway;
use std::collections::VecDeque;

/// Numbers of entries in the collections that grow with events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSizes {
    pub engines: usize,
    /// Requests without a final answer, or with an attempt in flight.
    pub requests: usize,
    /// Requests in a queue; `requests` includes them.
    pub queued_requests: usize,
    /// Order keys with open requests, or with a quiet period.
    pub keys: usize,
    /// Sends and table groups kept with engines, and times kept for the attempt budget.
    pub recent_entries: usize,
}

impl Gateway {
    /// The current sizes.
    pub fn state_sizes(&self) -> StateSizes {
        let queues = self.queues.by_class.iter().flatten();
        let engines = self.engines.values();
        let recent = engines.map(|engine| {
            let groups = engine.loading_groups.len() + engine.foreign_loading_groups.len();
            groups + engine.recent_sends.len() + engine.siblings.usage.table_groups.len()
        });
        StateSizes {
            engines: self.engines.len(),
            requests: self.requests.len(),
            queued_requests: queues.map(VecDeque::len).sum(),
            keys: self.key_queues.len(),
            recent_entries: recent.sum::<usize>() + self.accepted.len() + self.extra_attempts.len(),
        }
    }
}
