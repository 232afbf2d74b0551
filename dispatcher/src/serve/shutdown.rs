//! Graceful shutdown: the process ends once every accepted request has its answer.

use crate::drain_manager::DrainManager;
use sedgebeam_operation::Drain;
use sedgebeam_port::RequestRouter;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

/// The platform sends SIGKILL no earlier than 0.7 s plus the longest time limit after SIGTERM; of that time limit it
/// counts no more than this.
const MAX_COUNTED_TIME_LIMIT: Duration = Duration::from_secs(3);
/// Open requests get their final answer this long after the longest time limit, which is 0.2 s before SIGKILL.
const LAST_ANSWERS_DELAY: Duration = Duration::from_millis(500);

/// The handles that the shutdown needs.
pub(super) struct Shutdown {
    pub drain_manager: DrainManager,
    pub router: RequestRouter,
    /// Set to true once no new requests are taken; the listeners then stop.
    pub listeners_stop: watch::Sender<bool>,
    /// The task that accepts PostgreSQL clients.
    pub accept_task: JoinHandle<Option<()>>,
    /// Closes when the last session has ended.
    pub sessions_ended: mpsc::Receiver<()>,
    /// The longest time that a client of any class waits for its answer.
    pub longest_time_limit: Duration,
}

impl Shutdown {
    /// Stops taking requests once the grace period of the shutdown is over, then waits until all accepted ones are
    /// answered.
    pub async fn run(mut self) {
        // Logged after the state has changed: a reader of the log may ask the control socket at once.
        self.drain_manager.update(Drain::start_shutdown);
        log::info!("ending: last call");
        let wait_limit = self.longest_time_limit.min(MAX_COUNTED_TIME_LIMIT) + LAST_ANSWERS_DELAY;
        let answer_deadline = Instant::now() + wait_limit;
        // After the grace period the accept task ends by itself, and so does each session once it is idle. The wait
        // can't fail: the drain manager holds the sender.
        let _ = self
            .drain_manager
            .subscribe()
            .wait_for(|state| state.is_shutdown_grace_over)
            .await;
        let _ = self.listeners_stop.send(true);
        let _ = self.accept_task.await;
        let ended = async { while self.sessions_ended.recv().await.is_some() {} };
        let mut ended = std::pin::pin!(ended);
        tokio::select! {
            () = &mut ended => {}
            // A request without an answer by then would never get one: SIGKILL ends the process.
            () = sleep_until(answer_deadline) => {
                log::info!("answering all open requests before the process is killed");
                self.router.shut_down().await;
                ended.await;
            }
        }
        log::info!("ended: all accepted requests are answered");
    }
}
