//! When a connection that is kept between requests must go.

use sedgebeam_operation::drain::idle_close_at;
use sedgebeam_operation::{DrainState, ExistingConnections};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// What the drain orders, for all connections.
#[derive(Clone)]
pub struct DrainWatcher {
    orders: watch::Receiver<DrainState>,
    /// The moment since which the drain counts time.
    began: Instant,
}

impl DrainWatcher {
    pub fn new(orders: watch::Receiver<DrainState>, began: Instant) -> DrainWatcher {
        DrainWatcher { orders, began }
    }

    /// For a connection that comes now; its draw, from 0 to 1, sets it apart from the others.
    pub fn new_connection(&self, draw: f64) -> ConnectionDrain {
        ConnectionDrain {
            orders: self.orders.clone(),
            began: self.began,
            came: self.began.elapsed(),
            draw,
        }
    }
}

/// The same for one connection.
pub struct ConnectionDrain {
    orders: watch::Receiver<DrainState>,
    began: Instant,
    came: Duration,
    draw: f64,
}

impl ConnectionDrain {
    /// Whether the dispatcher takes work.
    pub fn accepts_work(&self) -> bool {
        self.orders.borrow().is_ready
    }

    /// Whether it goes now that it has answered.
    pub fn closes_after_answer(&self) -> bool {
        self.orders.borrow().existing_connections != ExistingConnections::Keep
    }

    /// Becomes ready when it goes, idle as it is.
    pub async fn wait_for_idle_close(&mut self) {
        loop {
            let kept = self.orders.borrow_and_update().existing_connections;
            let at = match kept {
                ExistingConnections::CloseWhenIdle => return,
                ExistingConnections::CloseGradually(since) => {
                    Some(self.began + idle_close_at(self.came, since, self.draw))
                }
                ExistingConnections::Keep => None,
            };
            tokio::select! {
                // Whoever gave the orders has ended, and all with him.
                changed = self.orders.changed() => if changed.is_err() { return },
                () = sleep_until(at.unwrap_or(self.began)), if at.is_some() => return,
            }
        }
    }
}
