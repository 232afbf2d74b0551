//! Engine discovery: follows the change log over HTTP and sends its changes of the engine list to the brokers.

mod event_decoder;
mod line_buffer;

use event_decoder::EventDecoder;
use futures::StreamExt;
use miniserde::Deserialize;
use sedgebeam_discovery::{Follower, FollowerAction, RetryBackoff};
use sedgebeam_port::{ListUpdate, RequestRouter, Target, apply_update};
use sedgebeam_sockets::{SocketStream, set_nodelay};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::codec::FramedRead;

/// An event of the change log: a change of the engine list, or the complete list.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Change {
    pub seq: u64,
    pub fleet: Fleet,
}

impl Change {
    /// A change that adds these engines and has no sequence number of the change log.
    pub fn from_targets(targets: Vec<Target>) -> Change {
        let fleet = Fleet {
            is_complete: None,
            targets,
        };
        Change { seq: 0, fleet }
    }

    fn list_update(&self) -> ListUpdate {
        match self.fleet.is_complete {
            Some(true) => ListUpdate::Complete,
            _ => ListUpdate::Changes,
        }
    }
}

/// The engines that an event lists: all of them, or those that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Fleet {
    #[serde(rename = "all")]
    pub is_complete: Option<bool>,
    pub targets: Vec<Target>,
}

/// The position reached in the change log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeLogPosition {
    /// The sequence number of the last change that the brokers have received.
    pub seq: u64,
    /// Every event that the log held at the time of the request has been received.
    pub caught_up: bool,
}

/// The log sends a comment each second; after this long without a byte the connection counts as dead.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
/// The log sends its past events at once; after this long without one, all of them have arrived.
const CAUGHT_UP_SILENCE: Duration = Duration::from_millis(150);
/// Time limit of a connect. The system resends a lost first packet after one second (RFC 6298, 2.1).
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Applies changes in order to an empty list; returns the resulting engine list.
pub fn fold_changes(changes: Vec<Change>) -> Vec<Target> {
    let mut engine_list: Vec<Target> = Vec::new();
    for change in changes {
        apply_update(
            &mut engine_list,
            change.list_update(),
            &change.fleet.targets,
        );
    }
    engine_list
}

/// Follows the change log at its current address; never returns. Without an address, waits for one.
pub async fn follow(
    mut address: watch::Receiver<Option<SocketAddr>>,
    position: watch::Sender<ChangeLogPosition>,
    router: RequestRouter,
    mut backoff: RetryBackoff,
) {
    let mut follower = Follower::new(position.borrow().seq);
    loop {
        let previous_seq = position.borrow().seq;
        let Some(current_address) = *address.borrow_and_update() else {
            address_changed(&mut address).await;
            continue;
        };
        tokio::select! {
            biased;
            // Connects to the new address and continues from the sequence number reached.
            () = address_changed(&mut address) => backoff.reset(),
            result = listen(current_address, &position, &router, &mut follower) => match result {
                Ok(()) => log::info!(
                    "the change log closed the connection after change {}",
                    position.borrow().seq
                ),
                Err(error) => log::warn!("the change log after {}: {error}", position.borrow().seq),
            },
        }
        if position.borrow().seq > previous_seq {
            backoff.reset();
        }
        tokio::select! {
            () = address_changed(&mut address) => {
                backoff.reset();
                sleep(backoff.next_delay()).await;
            }
            () = sleep(backoff.next_delay()) => {}
        }
    }
}

/// Waits until the address of the change log changes; never returns once its sender is dropped.
async fn address_changed(address: &mut watch::Receiver<Option<SocketAddr>>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Receives events over one connection to the change log until it ends.
async fn listen(
    address: SocketAddr,
    position: &watch::Sender<ChangeLogPosition>,
    router: &RequestRouter,
    follower: &mut Follower,
) -> io::Result<()> {
    let timeout_error = |_| io::Error::new(io::ErrorKind::TimedOut, "no data in time");
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(timeout_error)??;
    set_nodelay(&stream);
    let mut stream = SocketStream::new(stream);
    let last_event_id = follower.resume_after();
    let request = format!(
        "GET /changes HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {last_event_id}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut events = FramedRead::new(stream, EventDecoder::default());
    loop {
        let event = match timeout(CAUGHT_UP_SILENCE, events.next()).await {
            Ok(event) => event,
            Err(_) => {
                if events.decoder().has_head() {
                    if !update_brokers(follower.handle_silence(), position, router, follower).await
                    {
                        return Ok(());
                    }
                    position.send_modify(|position| position.caught_up = true);
                }
                let next_event = timeout(SILENCE_TIMEOUT - CAUGHT_UP_SILENCE, events.next());
                next_event.await.map_err(timeout_error)?
            }
        };
        let Some(event) = event else { return Ok(()) };
        let Some(change) = event? else { continue };
        let (seq, list_update) = (change.seq, change.list_update());
        let action = follower.handle_event(seq, list_update, change.fleet.targets);
        if action == FollowerAction::Reconnect {
            let retry = if follower.is_rebuilding() {
                "asking for the whole list"
            } else {
                "asking for what is missing"
            };
            let reason = format!("{seq} follows {}: {retry}", position.borrow().seq);
            return Err(io::Error::other(reason));
        }
        if !update_brokers(action, position, router, follower).await {
            return Ok(());
        }
    }
}

/// Sends the brokers the update that the action asks for, if any; returns false if they have ended.
async fn update_brokers(
    action: FollowerAction,
    position: &watch::Sender<ChangeLogPosition>,
    router: &RequestRouter,
    follower: &mut Follower,
) -> bool {
    let FollowerAction::Publish(seq, list_update, targets) = action else {
        return true;
    };
    if router
        .update_engine_list(list_update, targets)
        .await
        .is_err()
    {
        return false;
    }
    // Marked after the update is sent: if this future is dropped while it waits for a broker, the update counts as not
    // sent.
    follower.mark_published(seq);
    position.send_modify(|position| position.seq = seq);
    true
}

#[cfg(test)]
mod tests;
