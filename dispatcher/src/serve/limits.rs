//! Divides the limits on sessions and engine connections among the processes of one dispatcher, as during an upgrade.

use crate::peer_process::PeerUsage;
use sedgebeam_fronts::session_slots::SessionSlots;
use sedgebeam_settings::ConnectionSettings;
use tokio::sync::watch;

/// A process may always have one in eight of the dispatcher's sessions, however many its peers have.
const MIN_SESSION_SHARE_DIVISOR: usize = 8;

/// The limits of the dispatcher, and the channel for this process's share of them.
pub(super) struct SharedLimits {
    /// Maximum number of sessions of all processes of the dispatcher.
    pub max_sessions: usize,
    pub session_slots: SessionSlots,
    /// Limits on engine connections for all processes of the dispatcher.
    pub dispatcher_limits: watch::Receiver<ConnectionSettings>,
    /// This process's share of `dispatcher_limits`.
    pub process_limits: watch::Sender<ConnectionSettings>,
}

impl SharedLimits {
    /// Divides the limits again whenever they or the peers change; returns when the sender of the limits is dropped.
    /// Engine connections are divided evenly. Sessions of a peer reduce the number for this process; sessions above it
    /// are not closed at once, as a request may be on its way to any of them.
    pub async fn run(mut self, mut peer_usage: watch::Receiver<PeerUsage>) {
        loop {
            let limits = *self.dispatcher_limits.borrow_and_update();
            let usage = *peer_usage.borrow_and_update();
            self.process_limits.send_replace(ConnectionSettings {
                max_per_engine: (limits.max_per_engine / usage.process_count).max(1),
                max_total: (limits.max_total / usage.process_count).max(1),
                ..limits
            });
            let remaining_sessions = self.max_sessions.saturating_sub(usage.session_count);
            self.session_slots.set_max_sessions(
                remaining_sessions.max(self.max_sessions / MIN_SESSION_SHARE_DIVISOR),
            );
            let changed = tokio::select! {
                changed = self.dispatcher_limits.changed() => changed,
                // The sender is dropped at once in a process that looks for no peers.
                changed = peer_usage.changed() => match changed {
                    Err(_) => self.dispatcher_limits.changed().await,
                    changed => changed,
                },
            };
            if changed.is_err() {
                return;
            }
        }
    }
}
