//! The end of the program: all that was taken is answered first.

use crate::drain_manager::DrainManager;
use sedgebeam_operation::Drain;
use sedgebeam_port::RequestRouter;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

/// SIGKILL comes as early as the longest deadline, counted as this where it is longer, and 0.7 s after SIGTERM.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// What is still open is answered so long after that deadline: 0.2 s before the kill.
const LAST_ANSWERS_AFTER: Duration = Duration::from_millis(500);

/// What it takes to end.
pub(super) struct Shutdown {
    pub drain_manager: DrainManager,
    pub router: RequestRouter,
    /// Tells listeners that the last call is over.
    pub end: watch::Sender<bool>,
    /// The task that accepts clients of the PostgreSQL protocol.
    pub accepting: JoinHandle<Option<()>>,
    /// Closed when the last session has ended.
    pub all_ended: mpsc::Receiver<()>,
    /// The longest that a client waits.
    pub longest_deadline: Duration,
}

impl Shutdown {
    /// Ends: takes nothing new after the last call, and waits until all that was taken is answered.
    pub async fn run(mut self) {
        // Said once it holds: whoever reads it may ask at the door at once.
        self.drain_manager.update(Drain::start_shutdown);
        log::info!("ending: last call");
        let patience = self.longest_deadline.min(MAX_DEADLINE) + LAST_ANSWERS_AFTER;
        let last_answers = Instant::now() + patience;
        // Accepting ends by itself then; sessions end when they are idle. The sender is held by the drain's state.
        let _ = self
            .drain_manager
            .subscribe()
            .wait_for(|orders| orders.is_shutdown_grace_over)
            .await;
        let _ = self.end.send(true);
        let _ = self.accepting.await;
        let ended = async { while self.all_ended.recv().await.is_some() {} };
        let mut ended = std::pin::pin!(ended);
        tokio::select! {
            () = &mut ended => {}
            // What engines have not answered by then would be killed with the process.
            () = sleep_until(last_answers) => {
                log::info!("the last moment: all that is open is answered");
                self.router.shut_down().await;
                ended.await;
            }
        }
        log::info!("ended: all that was taken is answered");
    }
}
