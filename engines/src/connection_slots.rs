//! Connection slots: how many connections there may be to all engines together.
//!
//! Each engine may have a few whatever there are, and there may be hundreds of engines: their sum would take the
//! descriptors that clients, the change log and files need.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;

#[derive(Clone, Debug)]
pub struct ConnectionSlots {
    taken: Arc<AtomicUsize>,
    wanted: watch::Sender<()>,
}

impl Default for ConnectionSlots {
    fn default() -> ConnectionSlots {
        ConnectionSlots {
            taken: Arc::default(),
            wanted: watch::Sender::new(()),
        }
    }
}

/// One connection's slot; given back when it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot(Arc<AtomicUsize>);

impl ConnectionSlots {
    /// A slot, where fewer than so many are taken.
    pub fn try_acquire(&self, most: usize) -> Option<ConnectionSlot> {
        let more = |taken: usize| (taken < most).then_some(taken + 1);
        let taken = self
            .taken
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
        taken.ok().map(|_| ConnectionSlot(self.taken.clone()))
    }

    /// An engine has no connection at all and found no slot: all that keep an idle one hear of it.
    pub fn signal_shortage(&self) {
        self.wanted.send_replace(());
    }

    /// Hears when a slot is wanted.
    pub fn subscribe_shortage(&self) -> watch::Receiver<()> {
        self.wanted.subscribe()
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
