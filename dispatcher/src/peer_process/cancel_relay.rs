//! Passes cancel requests on between the processes of one dispatcher.
//!
//! During an upgrade both processes accept connections on one socket, and a client sends its cancel request on a new
//! connection: it may reach the process that does not have the session. That process writes the session's key to a file in
//! the shared directory, which its peers read every 20 ms: nothing may be sent later than 100 ms after a cancel.
//!
//! No clock is shared: the file tells how old a cancel was when it was written. To its reader it looks younger by the time
//! until it is read, so that it may also end a request that the session sent within that time.

use super::shared_directory::SharedDirectory;
use sedgebeam_handover::{CancelInbox, CancelOutbox, Incarnation, SessionCancel};
use sedgebeam_port::clock::{Clock, to_duration};
use sedgebeam_port::{RequestRouter, SessionKey, UnmatchedCancel};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{broadcast, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Time between two reads of the peers' cancels, while there are peers.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends this process's unmatched cancels to its peers, and executes theirs.
pub(super) struct CancelRelay {
    directory: Arc<SharedDirectory>,
    router: RequestRouter,
    clock: Clock,
    unmatched_cancels: broadcast::Receiver<UnmatchedCancel>,
    live_peers: watch::Receiver<Vec<Incarnation>>,
    outbox: CancelOutbox,
    inbox: CancelInbox,
}

impl CancelRelay {
    /// `unmatched_cancels` are those that the fronts of this process receive.
    pub(super) fn new(
        directory: Arc<SharedDirectory>,
        router: RequestRouter,
        unmatched_cancels: broadcast::Receiver<UnmatchedCancel>,
        live_peers: watch::Receiver<Vec<Incarnation>>,
    ) -> CancelRelay {
        CancelRelay {
            directory,
            router,
            clock: Clock::start(),
            unmatched_cancels,
            live_peers,
            outbox: CancelOutbox::default(),
            inbox: CancelInbox::default(),
        }
    }

    /// Runs until the sender of the peers is dropped.
    pub(super) async fn run(mut self) {
        let mut poll = interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let has_peers = !self.live_peers.borrow().is_empty();
            tokio::select! {
                changed = self.live_peers.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.peers_changed().await;
                }
                received = self.unmatched_cancels.recv() => {
                    self.queue(received);
                    while let Ok(cancel) = self.unmatched_cancels.try_recv() {
                        self.queue(Ok(cancel));
                    }
                    if has_peers {
                        self.publish().await;
                    }
                }
                _ = poll.tick(), if has_peers => self.receive().await,
            }
        }
    }

    fn queue(&mut self, received: Result<UnmatchedCancel, broadcast::error::RecvError>) {
        match received {
            Ok(UnmatchedCancel {
                session,
                received_at,
            }) => self.outbox.push(session.0, self.clock.micros(received_at)),
            Err(error) => log::warn!("cancel requests were not passed on: {error}"),
        }
    }

    /// Publishes what was received before the first peer was seen.
    async fn peers_changed(&mut self) {
        let live_peers = self.live_peers.borrow_and_update().clone();
        self.inbox.retain(&live_peers);
        if !live_peers.is_empty() {
            self.publish().await;
        }
    }

    async fn publish(&mut self) {
        let directory = self.directory.clone();
        let now = self.clock.micros(Instant::now());
        let message = self.outbox.message(&directory.dispatcher_name, now);
        let written =
            tokio::task::spawn_blocking(move || directory.publish_cancels(&message)).await;
        if let Err(error) = written
            .map_err(io::Error::other)
            .and_then(|written| written)
        {
            log::warn!("can't write cancel requests for the other process: {error}");
        }
    }

    async fn receive(&mut self) {
        let (directory, peers) = (self.directory.clone(), self.live_peers.borrow().clone());
        let read_all = move || -> Vec<_> {
            let messages = peers.into_iter();
            messages
                .filter_map(|peer| Some((peer, directory.read_cancels(peer)?)))
                .collect()
        };
        // A read that panics is tried again at the next poll.
        let messages = tokio::task::spawn_blocking(read_all)
            .await
            .unwrap_or_default();
        for (peer, message) in messages {
            for cancel in self.inbox.take_new(peer, &message) {
                self.execute(cancel).await;
            }
        }
    }

    /// Cancels the session's request if it was open when the peer received the cancel.
    async fn execute(&self, cancel: SessionCancel) {
        let Some(cancelled_at) = Instant::now().checked_sub(to_duration(cancel.age)) else {
            return;
        };
        let session = SessionKey(cancel.session_key);
        let is_cancelled = self
            .router
            .cancel_request_open_at(session, cancelled_at)
            .await;
        if is_cancelled {
            log::debug!("cancelled a request that another process was asked to cancel");
        }
    }
}
