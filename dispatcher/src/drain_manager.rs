//! The drain state shared by the whole process: operators' calls, signals and timers change it.

use sedgebeam_fronts::connection_drain::DrainWatcher;
use sedgebeam_operation::{Drain, DrainState};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// A handle to the shared drain state; clones share it.
#[derive(Clone)]
pub struct DrainManager {
    shared: Arc<Shared>,
}

struct Shared {
    drain: Mutex<Drain>,
    state: watch::Sender<DrainState>,
    started_at: Instant,
}

impl DrainManager {
    /// `is_socket_inherited` is true where the platform holds the clients' listening socket.
    pub fn new(is_socket_inherited: bool) -> DrainManager {
        let drain = Drain::new(is_socket_inherited);
        let (state, _) = watch::channel(drain.state(Duration::ZERO));
        let shared = Shared {
            drain: Mutex::new(drain),
            state,
            started_at: Instant::now(),
        };
        DrainManager {
            shared: Arc::new(shared),
        }
    }

    /// Applies a change to the drain and notifies the subscribers if the state differs afterwards.
    pub fn update<T>(&self, change: impl FnOnce(&mut Drain, Duration) -> T) -> T {
        // No code panics while it holds this lock, and every change leaves the drain consistent: a poisoned lock is usable.
        let mut drain = self
            .shared
            .drain
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = self.shared.started_at.elapsed();
        let result = change(&mut drain, now);
        let state = drain.state(now);
        // Sent under the lock, so that subscribers never see an older state after a newer one.
        self.shared
            .state
            .send_if_modified(|published| std::mem::replace(published, state) != state);
        result
    }

    /// The state at this moment, which may be ahead of the one that subscribers have seen.
    pub fn state(&self) -> DrainState {
        self.update(|drain, now| drain.state(now))
    }

    pub fn subscribe(&self) -> watch::Receiver<DrainState> {
        self.shared.state.subscribe()
    }

    pub fn drain_watcher(&self) -> DrainWatcher {
        DrainWatcher::new(self.subscribe(), self.shared.started_at)
    }

    /// Publishes the changes of the state that time alone causes; never returns.
    pub async fn run_timer(self) {
        let mut state = self.subscribe();
        loop {
            let next_change = self.update(|drain, now| drain.next_change(now));
            let wake_at = next_change.map(|offset| self.shared.started_at + offset);
            tokio::select! {
                // Never fails: `self` holds the sender.
                _ = state.changed() => {}
                () = sleep_until(wake_at.unwrap_or(self.shared.started_at)), if wake_at.is_some() => {}
            }
        }
    }
}
