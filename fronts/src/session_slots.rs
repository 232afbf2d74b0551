//! Limits the number of client sessions. When all slots are in use, a new session evicts another: first one that has
//! sent no request that could be answered, then the one that has been idle longest, never one with a request in flight.
//!
//! Without eviction, hundreds of silent connections, or of clients that never close theirs, left no slot for regular
//! clients.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio_util::sync::CancellationToken;

/// The state of a session. Sessions are evicted in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SessionState {
    /// The session has sent no request yet that could be answered.
    Unproven,
    /// The last request is answered.
    Idle,
    /// A request is in flight; the session is not evicted.
    Busy,
}

/// A session that holds a slot.
struct Entry {
    state: SessionState,
    /// The sequence number of the change to this state.
    state_sequence: u64,
    eviction: CancellationToken,
}

#[derive(Default)]
struct SlotTable {
    max_sessions: usize,
    entries: HashMap<u64, Entry>,
    /// The ids of all sessions that may be evicted, by their state and its sequence number: the first is evicted next.
    eviction_order: BTreeMap<(SessionState, u64), u64>,
    last_sequence: u64,
}

impl SlotTable {
    fn set_state(&mut self, id: u64, state: SessionState) -> bool {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let Some(entry) = self.entries.get_mut(&id) else {
            return false;
        };
        self.eviction_order
            .remove(&(entry.state, entry.state_sequence));
        (entry.state, entry.state_sequence) = (state, sequence);
        if state != SessionState::Busy {
            self.eviction_order.insert((state, sequence), id);
        }
        true
    }

    fn remove(&mut self, id: u64) {
        if let Some(entry) = self.entries.remove(&id) {
            self.eviction_order
                .remove(&(entry.state, entry.state_sequence));
        }
    }

    /// Evicts the next session in order; false if all are busy.
    fn evict_next(&mut self) -> bool {
        let Some((_, id)) = self.eviction_order.pop_first() else {
            return false;
        };
        if let Some(entry) = self.entries.remove(&id) {
            entry.eviction.cancel();
        }
        true
    }
}

/// The slots of all sessions; clones share one table.
#[derive(Clone)]
pub struct SessionSlots {
    table: Arc<Mutex<SlotTable>>,
}

impl SessionSlots {
    pub fn new(max_sessions: usize) -> SessionSlots {
        let table = SlotTable {
            max_sessions,
            ..SlotTable::default()
        };
        SessionSlots {
            table: Arc::new(Mutex::new(table)),
        }
    }

    /// Changes the limit. Sessions above it are not evicted at once: a request to any of them may be in transit.
    pub fn set_max_sessions(&self, max_sessions: usize) {
        self.table().max_sessions = max_sessions;
    }

    /// The number of slots in use.
    pub fn in_use(&self) -> usize {
        self.table().entries.len()
    }

    fn table(&self) -> MutexGuard<'_, SlotTable> {
        // No code panics while the lock is held; if it did, the table would still be consistent.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A slot for a new session, and whether another session was evicted for it; `None` if all are busy.
    pub fn acquire(&self) -> Option<(SessionSlot, bool)> {
        let mut table = self.table();
        let is_full = table.entries.len() >= table.max_sessions;
        if is_full && !table.evict_next() {
            return None;
        }
        table.last_sequence += 1;
        let id = table.last_sequence;
        let eviction = CancellationToken::new();
        let entry = Entry {
            state: SessionState::Unproven,
            state_sequence: id,
            eviction: eviction.clone(),
        };
        table.entries.insert(id, entry);
        table
            .eviction_order
            .insert((SessionState::Unproven, id), id);
        let slot = SessionSlot {
            id,
            eviction,
            slots: self.clone(),
        };
        Some((slot, is_full))
    }
}

/// The slot of one session; released when it is dropped.
pub struct SessionSlot {
    id: u64,
    eviction: CancellationToken,
    slots: SessionSlots,
}

impl SessionSlot {
    /// Changes the state of the session; false if it has been evicted.
    pub fn set_state(&self, state: SessionState) -> bool {
        self.slots.table().set_state(self.id, state)
    }

    /// Cancelled when the session is evicted.
    pub fn eviction(&self) -> CancellationToken {
        self.eviction.clone()
    }
}

impl Drop for SessionSlot {
    fn drop(&mut self) {
        self.slots.table().remove(self.id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unproven_sessions_are_evicted_first_then_the_longest_idle_and_never_a_busy_one() {
        let slots = SessionSlots::new(3);
        let acquire = || slots.acquire().expect("a slot").0;
        let (first, second, unproven) = (acquire(), acquire(), acquire());
        for slot in [&second, &first] {
            assert!(slot.set_state(SessionState::Busy) && slot.set_state(SessionState::Idle));
        }
        let is_evicted = |slot: &SessionSlot| slot.eviction().is_cancelled();
        let busy = acquire();
        assert!(is_evicted(&unproven) && !is_evicted(&second));
        assert!(
            !unproven.set_state(SessionState::Busy),
            "its slot was evicted"
        );
        assert!(busy.set_state(SessionState::Busy));
        let newest = acquire();
        assert!(is_evicted(&second) && !is_evicted(&first));
        assert!(first.set_state(SessionState::Busy) && newest.set_state(SessionState::Busy));
        assert!(slots.acquire().is_none(), "all sessions are busy");
        drop(newest);
        assert!(!slots.acquire().expect("a released slot").1);
    }
}
