//! What two processes of one dispatcher share, as during an upgrade: connections to engines and sessions.

use crate::peer_process::PeerUsage;
use sedgebeam_fronts::session_slots::SessionSlots;
use sedgebeam_settings::ConnectionSettings;
use tokio::sync::watch;

/// A process takes at least one in so many of the sessions of one dispatcher, whatever another has.
const LEAST_SESSIONS_DIVISOR: usize = 8;

/// The limits of one dispatcher, and where this process's share of them is told.
pub(super) struct SharedLimits {
    pub sessions: usize,
    pub session_slots: SessionSlots,
    pub whole: watch::Receiver<ConnectionSettings>,
    pub divided: watch::Sender<ConnectionSettings>,
}

impl SharedLimits {
    /// Divides them whenever they change, or others do; for ever. Connections to engines are divided evenly. What
    /// sessions the other process has are its own: none of them is closed for being one too many, as a request may
    /// be on its way to it.
    pub async fn divide(mut self, mut others: watch::Receiver<PeerUsage>) {
        loop {
            let whole = *self.whole.borrow_and_update();
            let beside = *others.borrow_and_update();
            self.divided.send_replace(ConnectionSettings {
                max_per_engine: (whole.max_per_engine / beside.process_count).max(1),
                max_total: (whole.max_total / beside.process_count).max(1),
                ..whole
            });
            let left = self.sessions.saturating_sub(beside.session_count);
            self.session_slots
                .set_max_sessions(left.max(self.sessions / LEAST_SESSIONS_DIVISOR));
            let changed = tokio::select! {
                changed = self.whole.changed() => changed,
                // Where nobody looks for others there are none.
                changed = others.changed() => match changed {
                    Err(_) => self.whole.changed().await,
                    changed => changed,
                },
            };
            if changed.is_err() {
                return;
            }
        }
    }
}
