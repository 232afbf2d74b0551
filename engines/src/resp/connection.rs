//! One connection to an engine: the task that owns the socket, and the state that the engine's actor has of it.

use super::codec::{Command, Reply, RespCodec};
use super::write_queue::{AttemptKey, WriteQueue, Written};
use crate::connection_slots::ConnectionSlot;
use futures::StreamExt;
use sedgebeam_core::RequestId;
use sedgebeam_fleet::reconnect::TrackedConnection;
use sedgebeam_operation::Metrics;
use sedgebeam_sockets::{SocketReader, is_local_shortage, set_nodelay, should_retry};
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::FramedRead;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(pub u64);

/// An event that the task of a connection reports to the engine's actor.
#[derive(Debug)]
pub enum ConnectionEvent {
    Connected,
    Reply(Reply),
    /// The attempt was not written because it may no longer start.
    Withdrawn(AttemptKey),
    /// The abort of the request has been written.
    AbortWritten(RequestId),
    /// The connection has ended, or the connect failed.
    Closed {
        /// Requests of which no byte was written.
        unwritten: Vec<RequestId>,
        /// `None` if the task panicked.
        error: Option<io::Error>,
    },
}

/// Maximum number of commands in the channel to the task, and also in its write queue, while the connection is being
/// made or the engine does not read.
const COMMAND_CAPACITY: usize = 256;
/// Maximum number of requests that a connection remembers to have carried and must not carry again.
const MAX_REMEMBERED_REQUESTS: usize = 128;
/// An answer that is incomplete for this time, or at most twice this time, counts as truncated: engines write each
/// answer at once, and their stalls are shorter than this.
const PARTIAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// The delay before a connect is retried that failed because this host is short of a resource.
const LOCAL_SHORTAGE_DELAY: Duration = Duration::from_millis(20);
/// A connection counts as dead if an attempt on it is cancelled after this time and nothing was received since the
/// attempt was sent.
const SILENCE_LIMIT: Duration = Duration::from_millis(300);

/// The state of a connection that the engine's actor keeps.
pub struct Connection {
    pub commands: mpsc::Sender<Command>,
    /// The connect has succeeded.
    pub is_up: bool,
    /// Takes no new attempts and is closed once none is in flight on it.
    pub is_retiring: bool,
    pub attempts_in_flight: usize,
    pub last_used_at: Instant,
    /// When the last answer was received.
    pub last_seen_at: Instant,
    /// Identifies the connection to the backoff.
    pub tracked_connection: TrackedConnection,
    carried_requests: VecDeque<RequestId>,
    /// Dropping it ends the task, which then writes nothing more.
    _close_on_drop: oneshot::Sender<()>,
}

impl Connection {
    pub fn open(
        task: ConnectionTask,
        slot: ConnectionSlot,
        tracked_connection: TrackedConnection,
    ) -> Connection {
        let (commands, command_receiver) = mpsc::channel(COMMAND_CAPACITY);
        let (close_on_drop, closed) = oneshot::channel();
        let (id, panic_events) = (task.id, task.events.clone());
        let name = format!("connection to {}", task.endpoint);
        let running_task = task.run(command_receiver, closed, slot);
        sedgebeam_port::supervise::spawn_supervised(name, running_task, move || {
            let closed_event = ConnectionEvent::Closed {
                unwritten: Vec::new(),
                error: None,
            };
            tokio::spawn(async move { panic_events.send((id, closed_event)).await });
        });
        Connection {
            commands,
            is_up: false,
            is_retiring: false,
            attempts_in_flight: 0,
            last_used_at: Instant::now(),
            last_seen_at: Instant::now(),
            tracked_connection,
            carried_requests: VecDeque::new(),
            _close_on_drop: close_on_drop,
        }
    }

    /// Whether the connection must stay open: it is being made, or attempts are in flight on it.
    pub fn is_busy(&self) -> bool {
        self.attempts_in_flight > 0 || !self.is_up
    }

    pub fn attempt_ended(&mut self) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        self.last_used_at = Instant::now();
    }

    /// Remembers a request whose attempt has ended on this connection, so that its next attempt uses another one. A
    /// duplicate or late answer to the first attempt would be taken for the answer to the second, and a third would
    /// then run at the same time as the second.
    pub fn remember_request(&mut self, request_id: RequestId) {
        if self.carried_requests.len() >= MAX_REMEMBERED_REQUESTS {
            self.carried_requests.pop_front();
        }
        self.carried_requests.push_back(request_id);
    }

    pub fn has_carried(&self, request_id: RequestId) -> bool {
        self.carried_requests.contains(&request_id)
    }

    /// Releases an attempt that was sent at `sent_at` and has been cancelled.
    pub fn attempt_cancelled(&mut self, request_id: RequestId, sent_at: Instant) {
        self.attempt_ended();
        self.remember_request(request_id);
        self.is_retiring |= self.last_seen_at < sent_at && sent_at.elapsed() > SILENCE_LIMIT;
    }
}

/// The task that makes a connection and reads and writes on it.
pub struct ConnectionTask {
    pub id: ConnectionId,
    pub endpoint: String,
    pub connect_timeout: Duration,
    pub events: mpsc::Sender<(ConnectionId, ConnectionEvent)>,
    pub metrics: Metrics,
}

fn fetched_request(command: &Command) -> Option<RequestId> {
    match command {
        Command::Fetch(attempt) => Some(attempt.request),
        _ => None,
    }
}

impl ConnectionTask {
    async fn run(
        self,
        mut commands: mpsc::Receiver<Command>,
        closed: oneshot::Receiver<()>,
        slot: ConnectionSlot,
    ) {
        let mut write_queue = WriteQueue::default();
        let result = tokio::select! {
            biased;
            _ = closed => Ok(()),
            result = self.serve(&mut commands, &mut write_queue) => result,
        };
        // The socket's descriptor is closed by now.
        drop(slot);
        let mut unwritten: Vec<RequestId> = write_queue.into_unstarted_requests().collect();
        commands.close();
        while let Ok(command) = commands.try_recv() {
            unwritten.extend(fetched_request(&command));
        }
        let error = result.err();
        self.report(ConnectionEvent::Closed { unwritten, error })
            .await;
    }

    async fn report(&self, event: ConnectionEvent) {
        // Sending fails only if the actor has ended.
        let _ = self.events.send((self.id, event)).await;
    }

    async fn serve(
        &self,
        commands: &mut mpsc::Receiver<Command>,
        write_queue: &mut WriteQueue,
    ) -> io::Result<()> {
        let stream = self.connect().await?;
        self.report(ConnectionEvent::Connected).await;
        let (read_half, write_half) = stream.into_split();
        tokio::select! {
            // Reading first detects an idle connection that the engine has closed before anything is written to it.
            biased;
            result = self.read(read_half) => result,
            result = self.write(write_half, commands, write_queue) => result,
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let timed_out = |_| io::Error::new(io::ErrorKind::TimedOut, "the connect timed out");
        let stream = timeout(self.connect_timeout, self.connect_with_retries()).await;
        let stream = stream.map_err(timed_out)??;
        set_nodelay(&stream);
        Ok(stream)
    }

    /// Retries while the connect fails because this host is short of a resource, which is not a failure of the engine.
    async fn connect_with_retries(&self) -> io::Result<TcpStream> {
        loop {
            match TcpStream::connect(&self.endpoint).await {
                Err(error) if is_local_shortage(&error) => sleep(LOCAL_SHORTAGE_DELAY).await,
                result => return result,
            }
        }
    }

    /// Writes commands until their channel is closed. Attempts that may no longer start are reported as withdrawn. If
    /// the connection is reset, attempts of which no byte was written have not run.
    async fn write(
        &self,
        write_half: OwnedWriteHalf,
        commands: &mut mpsc::Receiver<Command>,
        write_queue: &mut WriteQueue,
    ) -> io::Result<()> {
        loop {
            let is_writable = tokio::select! {
                biased;
                // Commands are received even while the engine does not read: an abort may withdraw a queued attempt.
                command = commands.recv(), if write_queue.len() < COMMAND_CAPACITY => match command {
                    Some(command) => {
                        write_queue.push(command)?;
                        false
                    }
                    None => return Ok(()),
                },
                writable = write_half.writable(), if write_queue.len() > 0 => {
                    writable?;
                    true
                }
            };
            let withdrawn = write_queue.withdraw();
            let mut written = Written::default();
            if is_writable && write_queue.len() > 0 {
                match write_half.try_write_vectored(&write_queue.slices()) {
                    Ok(count) => written = write_queue.advance(count),
                    Err(error) if should_retry(&error) => write_queue.release_unstarted(),
                    Err(error) => return Err(error),
                }
            }
            for attempt_key in withdrawn {
                self.report(ConnectionEvent::Withdrawn(attempt_key)).await;
            }
            self.metrics.count_forwards(written.started_attempts);
            for request_id in written.aborted_requests {
                self.report(ConnectionEvent::AbortWritten(request_id)).await;
            }
        }
    }

    /// Reports each answer. An answer that can't be parsed or is incomplete for too long ends the connection.
    async fn read(&self, read_half: OwnedReadHalf) -> io::Result<()> {
        let mut replies = FramedRead::new(SocketReader(read_half), RespCodec);
        let mut is_partial = false;
        loop {
            match timeout(PARTIAL_ANSWER_TIMEOUT, replies.next()).await {
                Ok(Some(reply)) => {
                    is_partial = false;
                    self.report(ConnectionEvent::Reply(reply?)).await;
                }
                Ok(None) => {
                    let reason = "closed by the engine";
                    return Err(io::Error::new(io::ErrorKind::ConnectionReset, reason));
                }
                Err(_) if is_partial => {
                    let reason = "an answer is truncated";
                    return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
                }
                Err(_) => is_partial = !replies.read_buffer().is_empty(),
            }
        }
    }
}
