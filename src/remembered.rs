//! How much a gateway remembers: what a long run must not let grow.

use crate::policy::Gateway;
use std::collections::VecDeque;

/// Entries of all that grows with what happens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remembered {
    pub engines: usize,
    /// Requests that have no end yet, or an attempt out.
    pub requests: usize,
    /// Of them, those in a queue.
    pub waiting: usize,
    /// Keys whose requests keep their order.
    pub keys: usize,
    /// Sends, groups and rights kept with engines, and times within the budget's window.
    pub recent: usize,
}

impl Gateway {
    pub fn remembered(&self) -> Remembered {
        let lines = self.queues.lines.iter().flatten();
        let engines = self.engines.values();
        let kept = engines.map(|engine| {
            let groups = engine.held.len() + engine.held_by_others.len();
            groups + engine.sends.len() + engine.elsewhere.out.groups.len()
        });
        Remembered {
            engines: self.engines.len(),
            requests: self.requests.len(),
            waiting: lines.map(VecDeque::len).sum(),
            keys: self.keys.len(),
            recent: kept.sum::<usize>() + self.taken.len() + self.extra.len(),
        }
    }
}
