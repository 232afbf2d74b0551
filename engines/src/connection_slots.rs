//! Limits the number of connections that are open to all engines together.
//!
//! The limit per engine does not bound their sum: with hundreds of engines the connections would use up the file
//! descriptors that clients, the change log and files need.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;

/// The count of open connections, shared by the actors of all engines.
#[derive(Clone, Debug)]
pub struct ConnectionSlots {
    in_use: Arc<AtomicUsize>,
    shortage: watch::Sender<()>,
}

impl Default for ConnectionSlots {
    fn default() -> ConnectionSlots {
        ConnectionSlots {
            in_use: Arc::default(),
            shortage: watch::Sender::new(()),
        }
    }
}

/// The slot of one connection; released when dropped.
#[derive(Debug)]
pub struct ConnectionSlot(Arc<AtomicUsize>);

impl ConnectionSlots {
    /// Acquires a slot if fewer than `max_connections` are in use.
    pub fn try_acquire(&self, max_connections: usize) -> Option<ConnectionSlot> {
        let increment = |in_use: usize| (in_use < max_connections).then_some(in_use + 1);
        let acquired = self
            .in_use
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment);
        acquired.ok().map(|_| ConnectionSlot(self.in_use.clone()))
    }

    /// Tells all engine actors that an engine without any connection found no free slot, so that they close idle
    /// connections.
    pub fn signal_shortage(&self) {
        self.shortage.send_replace(());
    }

    /// A receiver that is notified of each shortage of slots.
    pub fn subscribe_shortage(&self) -> watch::Receiver<()> {
        self.shortage.subscribe()
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
