//! Sessions of PostgreSQL clients: accepted here, and served on the workers.

use crate::worker_pool::WorkerPool;
use futures::FutureExt;
use sedgebeam_fronts::connection_drain::DrainWatcher;
use sedgebeam_fronts::pg;
use sedgebeam_fronts::session_slots::SessionSlots;
use sedgebeam_operation::{DrainState, NewConnections};
use sedgebeam_port::{SessionKey, supervise};
use sedgebeam_sockets::set_nodelay;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::sleep;

/// A pause after an accept that failed, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Accepts that may fail, with a pause each, before what waits at the end is given up: half a second.
const MOST_FAILURES: usize = 25;
/// Distance of the keys of sessions that follow on one another: an odd number, so that none comes twice soon.
const KEY_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Accepts sessions and gives each to a worker.
pub(super) struct Sessions {
    pub worker_pool: Arc<WorkerPool>,
    pub serving: pg::SessionContext,
    pub drain_watcher: DrainWatcher,
    pub alive: mpsc::Sender<()>,
    pub session_slots: SessionSlots,
    /// The key of the last session; each next one is mixed from it.
    pub last_key: u64,
}

impl Sessions {
    /// Accepts connections as the drain allows, until the last call is over.
    ///
    /// `newcomers_are_ours` where no other process accepts from the same socket.
    pub async fn accept(
        mut self,
        listener: TcpListener,
        mut orders: watch::Receiver<DrainState>,
        newcomers_are_ours: bool,
    ) {
        loop {
            let DrainState {
                new_connections: newcomers,
                is_shutdown_grace_over: over,
                ..
            } = *orders.borrow_and_update();
            if over {
                log::info!("ending: accepting is over");
                if newcomers_are_ours {
                    self.turn_away_queued(&listener).await;
                }
                return;
            }
            let accepted = tokio::select! {
                biased;
                changed = orders.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return,
                },
                accepted = listener.accept(), if newcomers != NewConnections::LeaveInBacklog => accepted,
            };
            match accepted {
                Ok((stream, _)) if newcomers == NewConnections::Reject => {
                    self.turn_away(stream, pg::RejectReason::Draining);
                    yield_now().await;
                }
                Ok((stream, _)) => self.start(stream).await,
                Err(error) => {
                    log::warn!("accepting: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Refuses what waits to be accepted: dropping the listener would reset it, and a request may have been written to it.
    async fn turn_away_queued(&self, listener: &TcpListener) {
        let mut failures = 0;
        while failures < MOST_FAILURES {
            // What the system has told of by now.
            yield_now().await;
            match listener.accept().now_or_never() {
                Some(Ok((stream, _))) => self.turn_away(stream, pg::RejectReason::Draining),
                Some(Err(error)) => {
                    log::warn!("accepting: {error}");
                    failures += 1;
                    sleep(ACCEPT_PAUSE).await;
                }
                None => return,
            }
        }
    }

    /// Refuses a connection with a word.
    fn turn_away(&self, stream: TcpStream, why: pg::RejectReason) {
        let serving = self.serving.clone();
        let refusal = async move { pg::reject_connection(stream, &serving, why).await };
        supervise::spawn_supervised("a refusal".to_string(), refusal, || {});
    }

    fn next_key(&mut self) -> SessionKey {
        self.last_key = self.last_key.wrapping_add(KEY_STEP);
        SessionKey(self.last_key)
    }

    /// Starts a session on a worker, if it gets a place.
    async fn start(&mut self, stream: TcpStream) {
        let Some((place, gave_way)) = self.session_slots.acquire() else {
            log::debug!("all sessions are busy: a connection is turned away");
            self.turn_away(stream, pg::RejectReason::NoFreeSlot);
            // Where it can't stay, its descriptor is free before the next one is accepted.
            yield_now().await;
            return;
        };
        if gave_way {
            // Whoever gave way lets its descriptor go before the next one is accepted.
            yield_now().await;
        }
        set_nodelay(&stream);
        let (serving, key) = (self.serving.clone(), self.next_key());
        let leave = self
            .drain_watcher
            .new_connection(sedgebeam_core::splitmix64(key.0) as f64 / u64::MAX as f64);
        let alive = self.alive.clone();
        let several = self.worker_pool.has_several_workers();
        let (_, worker) = self.worker_pool.choose_worker();
        let counted = worker.track_connection();
        let task = async move {
            // It is served where it is read: its socket's events must come on its worker's thread.
            let stream = if several {
                stream.into_std().and_then(TcpStream::from_std)
            } else {
                Ok(stream)
            };
            match stream {
                Ok(stream) => pg::serve(stream, serving, key, leave, place).await,
                Err(error) => log::warn!("a session is not handed over: {error}"),
            }
            drop((alive, counted));
        };
        worker.spawn("a session", task);
    }
}
