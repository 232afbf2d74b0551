//! One connection to an engine: its task, and what the engine's actor keeps of it.

use super::codec::{Command, Reply, Resp};
use super::outgoing::{Named, Outgoing, Written};
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
pub struct Number(pub u64);

/// What comes from a connection.
#[derive(Debug)]
pub enum Came {
    Up,
    Reply(Reply),
    /// This was not written, as it may not begin any more.
    Withdrawn(Named),
    /// The abort of this request is written.
    Aborted(RequestId),
    /// It has ended, or never came up; these were not written to it.
    Down {
        unwritten: Vec<RequestId>,
        /// None where its task died.
        error: Option<io::Error>,
    },
}

/// Commands that may wait while a connection comes up or its engine reads nothing.
const MAILBOX: usize = 256;
/// Requests that a connection has carried and that may come back: it does not carry them again.
const REMEMBERED: usize = 128;
/// An answer that stays half for this long, or up to twice as long, has stopped short: engines write each
/// whole, and stand still for less.
const HALF: Duration = Duration::from_millis(250);
/// A pause after a connect that failed for a lack on this side.
const LACK_PAUSE: Duration = Duration::from_millis(20);
/// An attempt given up after this long without a word on its connection says that the connection is dead.
const DEAF: Duration = Duration::from_millis(300);

pub struct Connection {
    pub mailbox: mpsc::Sender<Command>,
    pub up: bool,
    /// It is of no further use: it carries nothing new, and goes once nothing is out on it.
    pub spent: bool,
    pub out: usize,
    pub used: Instant,
    pub heard: Instant,
    /// What the backoff knows it by.
    pub connect: TrackedConnection,
    carried: VecDeque<RequestId>,
    /// Dropped with this: the task ends, and what it has not written yet stays unwritten.
    _kept: oneshot::Sender<()>,
}

impl Connection {
    pub fn open(link: Link, slot: ConnectionSlot, connect: TrackedConnection) -> Connection {
        let (mailbox, commands) = mpsc::channel(MAILBOX);
        let (kept, dropped) = oneshot::channel();
        let (number, dead) = (link.number, link.came.clone());
        let name = format!("connection to {}", link.endpoint);
        let task = link.run(commands, dropped, slot);
        sedgebeam_port::supervise::spawn_supervised(name, task, move || {
            let down = Came::Down {
                unwritten: Vec::new(),
                error: None,
            };
            tokio::spawn(async move { dead.send((number, down)).await });
        });
        Connection {
            mailbox,
            up: false,
            spent: false,
            out: 0,
            used: Instant::now(),
            heard: Instant::now(),
            connect,
            carried: VecDeque::new(),
            _kept: kept,
        }
    }

    /// Whether it can't go: something is out on it, or it is being made.
    pub fn busy(&self) -> bool {
        self.out > 0 || !self.up
    }

    pub fn ended(&mut self) {
        self.out = self.out.saturating_sub(1);
        self.used = Instant::now();
    }

    /// An attempt has ended that another may follow. A second copy of its answer, or a late one, must not be
    /// taken for one to that, which would then run beside a third.
    pub fn remember(&mut self, id: RequestId) {
        if self.carried.len() >= REMEMBERED {
            self.carried.pop_front();
        }
        self.carried.push_back(id);
    }

    pub fn has_carried(&self, id: RequestId) -> bool {
        self.carried.contains(&id)
    }

    /// An attempt sent at this time is given up.
    pub fn give_up(&mut self, id: RequestId, sent: Instant) {
        self.ended();
        self.remember(id);
        self.spent |= self.heard < sent && sent.elapsed() > DEAF;
    }
}

/// What a connection's task needs to know.
pub struct Link {
    pub number: Number,
    pub endpoint: String,
    /// It is up within this time, or never.
    pub limit: Duration,
    pub came: mpsc::Sender<(Number, Came)>,
    pub metrics: Metrics,
}

fn fetched(command: &Command) -> Option<RequestId> {
    match command {
        Command::Fetch(attempt) => Some(attempt.request),
        _ => None,
    }
}

impl Link {
    async fn run(
        self,
        mut commands: mpsc::Receiver<Command>,
        dropped: oneshot::Receiver<()>,
        slot: ConnectionSlot,
    ) {
        let mut outgoing = Outgoing::default();
        let ended = tokio::select! {
            biased;
            _ = dropped => Ok(()),
            ended = self.serve(&mut commands, &mut outgoing) => ended,
        };
        // Its descriptor is closed by now.
        drop(slot);
        let mut unwritten: Vec<RequestId> = outgoing.unwritten().collect();
        commands.close();
        while let Ok(command) = commands.try_recv() {
            unwritten.extend(fetched(&command));
        }
        let error = ended.err();
        self.tell(Came::Down { unwritten, error }).await;
    }

    async fn tell(&self, came: Came) {
        // An actor that is gone wants no more word.
        let _ = self.came.send((self.number, came)).await;
    }

    async fn serve(
        &self,
        commands: &mut mpsc::Receiver<Command>,
        outgoing: &mut Outgoing,
    ) -> io::Result<()> {
        let stream = self.connect().await?;
        self.tell(Came::Up).await;
        let (read_half, write_half) = stream.into_split();
        tokio::select! {
            // That the engine has closed an idle connection is seen before anything is written to it.
            biased;
            ended = self.read(read_half) => ended,
            ended = self.write(write_half, commands, outgoing) => ended,
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let late = |_| io::Error::new(io::ErrorKind::TimedOut, "not up in time");
        let stream = timeout(self.limit, self.connect_with_patience()).await;
        let stream = stream.map_err(late)??;
        set_nodelay(&stream);
        Ok(stream)
    }

    /// Tries again while it fails for a lack on this side, of which the engine knows nothing.
    async fn connect_with_patience(&self) -> io::Result<TcpStream> {
        loop {
            match TcpStream::connect(&self.endpoint).await {
                Err(error) if is_local_shortage(&error) => sleep(LACK_PAUSE).await,
                connected => return connected,
            }
        }
    }

    /// Writes what is asked for, until nobody can ask any more. What may not begin any more when the socket would take
    /// it is told of instead. Where the connection turns out to be reset, that of which no byte was written never ran.
    async fn write(
        &self,
        half: OwnedWriteHalf,
        commands: &mut mpsc::Receiver<Command>,
        outgoing: &mut Outgoing,
    ) -> io::Result<()> {
        loop {
            let writable = tokio::select! {
                biased;
                // Also while the engine reads nothing: an abort may take out what still waits.
                command = commands.recv(), if outgoing.len() < MAILBOX => match command {
                    Some(command) => {
                        outgoing.push(command)?;
                        false
                    }
                    None => return Ok(()),
                },
                writable = half.writable(), if outgoing.len() > 0 => {
                    writable?;
                    true
                }
            };
            let withdrawn = outgoing.withdraw();
            let mut written = Written::default();
            if writable && outgoing.len() > 0 {
                match half.try_write_vectored(&outgoing.slices()) {
                    Ok(count) => written = outgoing.written(count),
                    Err(error) if should_retry(&error) => {}
                    Err(error) => return Err(error),
                }
            }
            for named in withdrawn {
                self.tell(Came::Withdrawn(named)).await;
            }
            self.metrics.count_forwards(written.begun);
            for id in written.aborted {
                self.tell(Came::Aborted(id)).await;
            }
        }
    }

    /// Passes on what comes; what can't be read, or stops in the middle, ends the connection.
    async fn read(&self, half: OwnedReadHalf) -> io::Result<()> {
        let mut replies = FramedRead::new(SocketReader(half), Resp);
        let mut stopped = false;
        loop {
            match timeout(HALF, replies.next()).await {
                Ok(Some(reply)) => {
                    stopped = false;
                    self.tell(Came::Reply(reply?)).await;
                }
                Ok(None) => {
                    let why = "closed by the engine";
                    return Err(io::Error::new(io::ErrorKind::ConnectionReset, why));
                }
                Err(_) if stopped => {
                    let why = "an answer stopped short";
                    return Err(io::Error::new(io::ErrorKind::TimedOut, why));
                }
                Err(_) => stopped = !replies.read_buffer().is_empty(),
            }
        }
    }
}
