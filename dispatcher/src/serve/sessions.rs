//! Accepts PostgreSQL clients and assigns their sessions to workers.

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

/// Pause after a failed accept, so that a lack of descriptors doesn't make the loop spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Failed accepts after which the shutdown stops emptying the accept queue. With the pauses, they take half a second.
const MAX_ACCEPT_FAILURES: usize = 25;
/// Difference between the keys of consecutive sessions. It is odd, so a key repeats only after all 2^64 keys.
const SESSION_KEY_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Accepts sessions and gives each to a worker.
pub(super) struct Sessions {
    pub worker_pool: Arc<WorkerPool>,
    pub session_context: pg::SessionContext,
    pub drain_watcher: DrainWatcher,
    /// Each session holds a clone; the process ends when the last one is dropped.
    pub session_guard: mpsc::Sender<()>,
    pub session_slots: SessionSlots,
    /// The key of the last session; the next one is derived from it.
    pub last_key: u64,
}

impl Sessions {
    /// Accepts connections as the drain state allows, until the grace period of the shutdown is over.
    ///
    /// `owns_accept_queue` is true where no other process accepts from the same socket.
    pub async fn accept(
        mut self,
        listener: TcpListener,
        mut drain_state: watch::Receiver<DrainState>,
        owns_accept_queue: bool,
    ) {
        loop {
            let DrainState {
                new_connections,
                is_shutdown_grace_over,
                ..
            } = *drain_state.borrow_and_update();
            if is_shutdown_grace_over {
                log::info!("ending: accepting is over");
                if owns_accept_queue {
                    self.reject_queued(&listener).await;
                }
                return;
            }
            let accepted = tokio::select! {
                biased;
                changed = drain_state.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return,
                },
                accepted = listener.accept(), if new_connections != NewConnections::LeaveInBacklog => accepted,
            };
            match accepted {
                Ok((stream, _)) if new_connections == NewConnections::Reject => {
                    self.reject(stream, pg::RejectReason::Draining);
                    yield_now().await;
                }
                Ok((stream, _)) => self.start_session(stream).await,
                Err(error) => {
                    log::warn!("can't accept a client: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Rejects the connections in the accept queue with an error. Dropping the listener would reset them, although a
    /// client may have written a request already.
    async fn reject_queued(&self, listener: &TcpListener) {
        let mut failures = 0;
        while failures < MAX_ACCEPT_FAILURES {
            // Lets the runtime poll the readiness of the listener.
            yield_now().await;
            match listener.accept().now_or_never() {
                Some(Ok((stream, _))) => self.reject(stream, pg::RejectReason::Draining),
                Some(Err(error)) => {
                    log::warn!("can't accept a client: {error}");
                    failures += 1;
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
                None => return,
            }
        }
    }

    /// Sends an error and closes the connection.
    fn reject(&self, stream: TcpStream, reason: pg::RejectReason) {
        let session_context = self.session_context.clone();
        let rejection =
            async move { pg::reject_connection(stream, &session_context, reason).await };
        supervise::spawn_supervised("a rejection".to_string(), rejection, || {});
    }

    fn next_key(&mut self) -> SessionKey {
        self.last_key = self.last_key.wrapping_add(SESSION_KEY_STEP);
        SessionKey(self.last_key)
    }

    /// Starts a session on a worker if a session slot is free or an idle session can be evicted.
    async fn start_session(&mut self, stream: TcpStream) {
        let Some((session_slot, has_evicted)) = self.session_slots.acquire() else {
            log::debug!("rejecting a connection: all sessions are busy");
            self.reject(stream, pg::RejectReason::NoFreeSlot);
            // Lets the rejection close the descriptor before the next connection is accepted.
            yield_now().await;
            return;
        };
        if has_evicted {
            // Lets the evicted session close its descriptor before the next connection is accepted.
            yield_now().await;
        }
        set_nodelay(&stream);
        let (session_context, key) = (self.session_context.clone(), self.next_key());
        let connection_drain = self
            .drain_watcher
            .new_connection(sedgebeam_core::splitmix64(key.0) as f64 / u64::MAX as f64);
        let session_guard = self.session_guard.clone();
        let has_several_workers = self.worker_pool.has_several_workers();
        let (_, worker) = self.worker_pool.choose_worker();
        let connection_guard = worker.track_connection();
        let task = async move {
            // Registers the socket with the worker's own poller: the thread that serves a session receives its events.
            let stream = if has_several_workers {
                stream.into_std().and_then(TcpStream::from_std)
            } else {
                Ok(stream)
            };
            match stream {
                Ok(stream) => {
                    pg::serve(stream, session_context, key, connection_drain, session_slot).await
                }
                Err(error) => log::warn!("can't transfer a session to a worker: {error}"),
            }
            drop((session_guard, connection_guard));
        };
        worker.spawn("a session", task);
    }
}
