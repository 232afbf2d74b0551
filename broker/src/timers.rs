//! The broker's timers. Each timer of a request is cancelled with what it guards, so that the number of timers is bounded
//! by the number of open requests and attempts, and not by the rate at which requests come and go.

use sedgebeam_core::{AttemptNo, RequestId, TimerId};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// What to do when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokerTimer {
    Gateway(TimerId),
    AttemptTimeout(RequestId, AttemptNo),
    /// The confirmation of an abort is overdue.
    AbortTimeout(RequestId, AttemptNo),
    /// The final answer is overdue.
    AnswerTimeout(RequestId),
}

/// Identifies a timer that was set: its time and the order in which it was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey(Instant, u64);

/// Timers by their time and the order in which they were set.
#[derive(Debug, Default)]
pub struct Timers {
    pending: BTreeMap<TimerKey, BrokerTimer>,
    set_count: u64,
}

impl Timers {
    /// Sets a timer, which fires at `at`.
    pub fn set(&mut self, at: Instant, timer: BrokerTimer) -> TimerKey {
        self.set_count += 1;
        let key = TimerKey(at, self.set_count);
        self.pending.insert(key, timer);
        key
    }

    /// Removes a timer, unless it has fired.
    pub fn cancel(&mut self, key: TimerKey) {
        self.pending.remove(&key);
    }

    /// Removes and returns the first timer that is due.
    pub fn pop_due(&mut self, now: Instant) -> Option<BrokerTimer> {
        let first = self.pending.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    /// When the first timer fires.
    pub fn next_at(&self) -> Option<Instant> {
        self.pending.first_key_value().map(|(key, _)| key.0)
    }

    /// Number of timers that have neither fired nor been cancelled.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.pending.len()
    }
}
