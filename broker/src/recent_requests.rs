//! Ids of requests that have ended while their work may go on or may have been done. A request that comes under such an id
//! is not run: it could run beside the first, or repeat it.

use sedgebeam_core::RequestId;
use std::collections::{BTreeSet, HashMap};
use tokio::time::Instant;

/// Ids, each until a time of its own.
#[derive(Debug, Default)]
pub struct RecentRequests {
    expires_at: HashMap<RequestId, Instant>,
    by_expiry: BTreeSet<(Instant, RequestId)>,
}

impl RecentRequests {
    /// Remembers an id until a time. If more than `max_ids` would be kept, returns the one that would have expired first,
    /// which is forgotten.
    pub fn insert(&mut self, id: RequestId, until: Instant, max_ids: usize) -> Option<RequestId> {
        if let Some(previous) = self.expires_at.insert(id, until) {
            self.by_expiry.remove(&(previous, id));
        }
        self.by_expiry.insert((until, id));
        if self.by_expiry.len() <= max_ids {
            return None;
        }
        self.pop_first()
    }

    /// Whether the id is remembered at `now`.
    pub fn contains(&self, id: RequestId, now: Instant) -> bool {
        self.expires_at.get(&id).is_some_and(|until| now < *until)
    }

    /// Forgets and returns an id that has expired.
    pub fn pop_expired(&mut self, now: Instant) -> Option<RequestId> {
        let (until, _) = self.by_expiry.first()?;
        if now < *until {
            return None;
        }
        self.pop_first()
    }

    fn pop_first(&mut self) -> Option<RequestId> {
        let (_, id) = self.by_expiry.pop_first()?;
        self.expires_at.remove(&id);
        Some(id)
    }

    /// Number of ids that are kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.by_expiry.len()
    }
}
