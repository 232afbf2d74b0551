//! The places of sessions: so many at once, and who gives way to a newcomer when all are taken.
//!
//! Guards against connections by the hundred that say nothing, and against clients that keep theirs for
//! good: they gave usual clients no place. Strangers go first, then whoever has been idle for longest; a
//! session with a request under way never goes.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio_util::sync::CancellationToken;

/// What a session is at the moment; the first to give way stands first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SessionState {
    /// It has asked nothing yet that could be answered.
    Unproven,
    Idle,
    Busy,
}

struct Entry {
    standing: SessionState,
    /// The turn at which it came to this standing.
    turn: u64,
    gives_way: CancellationToken,
}

#[derive(Default)]
struct Table {
    most: usize,
    entries: HashMap<u64, Entry>,
    /// All that may give way, in that order.
    order: BTreeMap<(SessionState, u64), u64>,
    turn: u64,
}

impl Table {
    fn set_state(&mut self, number: u64, standing: SessionState) -> bool {
        self.turn += 1;
        let turn = self.turn;
        let Some(entry) = self.entries.get_mut(&number) else {
            return false;
        };
        self.order.remove(&(entry.standing, entry.turn));
        (entry.standing, entry.turn) = (standing, turn);
        if standing != SessionState::Busy {
            self.order.insert((standing, turn), number);
        }
        true
    }

    fn leave(&mut self, number: u64) {
        if let Some(entry) = self.entries.remove(&number) {
            self.order.remove(&(entry.standing, entry.turn));
        }
    }

    /// Has the first of the order give way; false where all are busy.
    fn make_room(&mut self) -> bool {
        let Some((_, number)) = self.order.pop_first() else {
            return false;
        };
        if let Some(entry) = self.entries.remove(&number) {
            entry.gives_way.cancel();
        }
        true
    }
}

#[derive(Clone)]
pub struct SessionSlots {
    table: Arc<Mutex<Table>>,
}

impl SessionSlots {
    pub fn new(most: usize) -> SessionSlots {
        let table = Table {
            most,
            ..Table::default()
        };
        SessionSlots {
            table: Arc::new(Mutex::new(table)),
        }
    }

    /// So many from now on. Nobody gives way at once: a request may be on its way to any of them.
    pub fn set_max_sessions(&self, most: usize) {
        self.table().most = most;
    }

    /// How many are taken.
    pub fn in_use(&self) -> usize {
        self.table().entries.len()
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        // Nothing panics while it is held; what it holds would be whole all the same.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A place for a newcomer, and whether another gave way for it; `None` where all are busy.
    pub fn acquire(&self) -> Option<(SessionSlot, bool)> {
        let mut table = self.table();
        let full = table.entries.len() >= table.most;
        if full && !table.make_room() {
            return None;
        }
        table.turn += 1;
        let number = table.turn;
        let gives_way = CancellationToken::new();
        let entry = Entry {
            standing: SessionState::Unproven,
            turn: number,
            gives_way: gives_way.clone(),
        };
        table.entries.insert(number, entry);
        table.order.insert((SessionState::Unproven, number), number);
        let place = SessionSlot {
            number,
            gives_way,
            places: self.clone(),
        };
        Some((place, full))
    }
}

/// A session's place; given back when it is dropped.
pub struct SessionSlot {
    number: u64,
    gives_way: CancellationToken,
    places: SessionSlots,
}

impl SessionSlot {
    /// Changes what the session is; false where it has been told to give way.
    pub fn set_state(&self, standing: SessionState) -> bool {
        self.places.table().set_state(self.number, standing)
    }

    /// Becomes ready when the session must give way.
    pub fn eviction(&self) -> CancellationToken {
        self.gives_way.clone()
    }
}

impl Drop for SessionSlot {
    fn drop(&mut self) {
        self.places.table().leave(self.number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn strangers_give_way_first_then_the_longest_idle_and_the_busy_never() {
        let places = SessionSlots::new(3);
        let take = || places.acquire().expect("a place").0;
        let (first, second, stranger) = (take(), take(), take());
        for place in [&second, &first] {
            assert!(place.set_state(SessionState::Busy) && place.set_state(SessionState::Idle));
        }
        let gone = |place: &SessionSlot| place.eviction().is_cancelled();
        let busy = take();
        assert!(gone(&stranger) && !gone(&second));
        assert!(
            !stranger.set_state(SessionState::Busy),
            "it has no place any more"
        );
        assert!(busy.set_state(SessionState::Busy));
        let last = take();
        assert!(gone(&second) && !gone(&first));
        assert!(first.set_state(SessionState::Busy) && last.set_state(SessionState::Busy));
        assert!(places.acquire().is_none(), "all are busy");
        drop(last);
        assert!(!places.acquire().expect("a place given back").1);
    }
}
