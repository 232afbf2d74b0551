//! The drain's state where all parts of the program see it: changed by calls and signals, and by time.

use sedgebeam_fronts::connection_drain::DrainWatcher;
use sedgebeam_operation::{Drain, DrainState};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Handles on one state.
#[derive(Clone)]
pub struct DrainManager {
    shared: Arc<Shared>,
}

struct Shared {
    drain: Mutex<Drain>,
    orders: watch::Sender<DrainState>,
    began: Instant,
}

impl DrainManager {
    /// `is_socket_inherited` where the platform holds the clients' socket.
    pub fn new(is_socket_inherited: bool) -> DrainManager {
        let drain = Drain::new(is_socket_inherited);
        let (orders, _) = watch::channel(drain.state(Duration::ZERO));
        let shared = Shared {
            drain: Mutex::new(drain),
            orders,
            began: Instant::now(),
        };
        DrainManager {
            shared: Arc::new(shared),
        }
    }

    /// Changes the state, and tells those who wait for other orders.
    pub fn update<T>(&self, change: impl FnOnce(&mut Drain, Duration) -> T) -> T {
        // Nothing panics while it is held; what it holds would be whole all the same.
        let mut drain = self
            .shared
            .drain
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = self.shared.began.elapsed();
        let told = change(&mut drain, now);
        let orders = drain.state(now);
        // Under the lock, so that no older orders come behind newer ones.
        self.shared
            .orders
            .send_if_modified(|known| std::mem::replace(known, orders) != orders);
        told
    }

    /// What holds now, whether or not the time for it has been told yet.
    pub fn state(&self) -> DrainState {
        self.update(|drain, now| drain.state(now))
    }

    pub fn subscribe(&self) -> watch::Receiver<DrainState> {
        self.shared.orders.subscribe()
    }

    pub fn drain_watcher(&self) -> DrainWatcher {
        DrainWatcher::new(self.subscribe(), self.shared.began)
    }

    /// Tells of what changes with time, for ever.
    pub async fn run_timer(self) {
        let mut orders = self.subscribe();
        loop {
            let next = self.update(|drain, now| drain.next_change(now));
            let at = next.map(|next| self.shared.began + next);
            tokio::select! {
                // This holds a sender: the channel stays open.
                _ = orders.changed() => {}
                () = sleep_until(at.unwrap_or(self.shared.began)), if at.is_some() => {}
            }
        }
    }
}
