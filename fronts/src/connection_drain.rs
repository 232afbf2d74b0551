//! Closes existing client connections during a drain: determines for each one whether and when it must close.

use sedgebeam_operation::drain::idle_close_at;
use sedgebeam_operation::{DrainState, ExistingConnections};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The state of the drain, for all connections.
#[derive(Clone)]
pub struct DrainWatcher {
    drain_state: watch::Receiver<DrainState>,
    /// The instant from which the drain's times are counted.
    epoch: Instant,
}

impl DrainWatcher {
    pub fn new(drain_state: watch::Receiver<DrainState>, epoch: Instant) -> DrainWatcher {
        DrainWatcher { drain_state, epoch }
    }

    /// Tracks a connection that was accepted now. `jitter`, from 0 to 1, spreads the closing times of idle connections.
    pub fn new_connection(&self, jitter: f64) -> ConnectionDrain {
        ConnectionDrain {
            drain_state: self.drain_state.clone(),
            epoch: self.epoch,
            accepted_at: self.epoch.elapsed(),
            jitter,
        }
    }
}

/// The state of the drain, for one connection.
pub struct ConnectionDrain {
    drain_state: watch::Receiver<DrainState>,
    epoch: Instant,
    /// When the connection was accepted, as time since the epoch.
    accepted_at: Duration,
    /// From 0 to 1; spreads the closing times of idle connections.
    jitter: f64,
}

impl ConnectionDrain {
    /// Whether the dispatcher takes new work.
    pub fn accepts_work(&self) -> bool {
        self.drain_state.borrow().is_ready
    }

    /// Whether the connection closes after the answer that it has just sent.
    pub fn closes_after_answer(&self) -> bool {
        self.drain_state.borrow().existing_connections != ExistingConnections::Keep
    }

    /// Completes when the idle connection must close.
    pub async fn wait_for_idle_close(&mut self) {
        loop {
            let policy = self.drain_state.borrow_and_update().existing_connections;
            let close_at = match policy {
                ExistingConnections::CloseWhenIdle => return,
                ExistingConnections::CloseGradually(since) => {
                    Some(self.epoch + idle_close_at(self.accepted_at, since, self.jitter))
                }
                ExistingConnections::Keep => None,
            };
            tokio::select! {
                // The sender is dropped only when the dispatcher ends.
                changed = self.drain_state.changed() => if changed.is_err() { return },
                () = sleep_until(close_at.unwrap_or(self.epoch)), if close_at.is_some() => return,
            }
        }
    }
}
