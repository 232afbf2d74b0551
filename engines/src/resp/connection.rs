//! One connection to an engine: its task, and what the engine's actor keeps of it.

use super::codec::{Command, Reply, Resp};
use futures::{SinkExt, StreamExt};
use sedgebeam_core::RequestId;
use sedgebeam_operation::Figures;
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Number(pub u64);

/// What comes from a connection.
#[derive(Debug)]
pub enum Came {
    Up,
    Reply(Reply),
    /// It has ended, or never came up; these were not written to it.
    Down {
        unwritten: Vec<RequestId>,
    },
}

/// Commands that may wait while a connection comes up or its engine reads nothing.
const MAILBOX: usize = 256;
/// Requests that a connection has carried and that may come back: it does not carry them again.
const REMEMBERED: usize = 128;
/// An answer that stays half for this long, or up to twice as long, has stopped short: engines write each
/// whole, and stand still for less.
const HALF: Duration = Duration::from_millis(250);
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
    carried: VecDeque<RequestId>,
    /// Dropped with this: the task ends, and what it has not written yet stays unwritten.
    _kept: oneshot::Sender<()>,
}

impl Connection {
    pub fn open(
        number: Number,
        endpoint: String,
        limit: Duration,
        came: mpsc::Sender<(Number, Came)>,
        figures: Figures,
    ) -> Connection {
        let (mailbox, commands) = mpsc::channel(MAILBOX);
        let (kept, dropped) = oneshot::channel();
        let dead = came.clone();
        let name = format!("connection to {endpoint}");
        let task = run(number, endpoint, limit, commands, dropped, came, figures);
        sedgebeam_port::supervise::watch(name, task, move || {
            let unwritten = Vec::new();
            tokio::spawn(async move { dead.send((number, Came::Down { unwritten })).await });
        });
        Connection {
            mailbox,
            up: false,
            spent: false,
            out: 0,
            used: Instant::now(),
            heard: Instant::now(),
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

async fn run(
    number: Number,
    endpoint: String,
    limit: Duration,
    mut commands: mpsc::Receiver<Command>,
    dropped: oneshot::Receiver<()>,
    came: mpsc::Sender<(Number, Came)>,
    figures: Figures,
) {
    let mut unwritten = Vec::new();
    let serve = serve(
        number,
        &endpoint,
        limit,
        &mut commands,
        &came,
        &mut unwritten,
        &figures,
    );
    let ended = tokio::select! {
        biased;
        _ = dropped => Ok(()),
        ended = serve => ended,
    };
    if let Err(error) = ended {
        log::info!("connection to {endpoint}: {error}");
    }
    commands.close();
    while let Ok(command) = commands.try_recv() {
        unwritten.extend(fetched(&command));
    }
    let _ = came.send((number, Came::Down { unwritten })).await;
}

fn fetched(command: &Command) -> Option<RequestId> {
    match command {
        Command::Fetch(attempt) => Some(attempt.request),
        _ => None,
    }
}

async fn serve(
    number: Number,
    endpoint: &str,
    limit: Duration,
    commands: &mut mpsc::Receiver<Command>,
    came: &mpsc::Sender<(Number, Came)>,
    unwritten: &mut Vec<RequestId>,
    figures: &Figures,
) -> io::Result<()> {
    let stream = connect(endpoint, limit).await?;
    // An actor that is gone wants no more word.
    let _ = came.send((number, Came::Up)).await;
    let (read_half, write_half) = stream.into_split();
    tokio::select! {
        ended = write(write_half, commands, unwritten, figures) => ended,
        ended = read(read_half, number, came) => ended,
    }
}

async fn connect(endpoint: &str, limit: Duration) -> io::Result<TcpStream> {
    let late = |_| io::Error::new(io::ErrorKind::TimedOut, "not up in time");
    let stream = timeout(limit, TcpStream::connect(endpoint))
        .await
        .map_err(late)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Writes what is asked for, until nobody can ask any more. Where a connection turns out to be reset before
/// a byte of what was to go out has been written, that is unwritten, and so never ran.
async fn write(
    half: OwnedWriteHalf,
    commands: &mut mpsc::Receiver<Command>,
    unwritten: &mut Vec<RequestId>,
    figures: &Figures,
) -> io::Result<()> {
    let mut sink = FramedWrite::new(half, Resp);
    while let Some(command) = commands.recv().await {
        let mut fetches = Vec::from_iter(fetched(&command));
        sink.feed(command).await?;
        while sink.write_buffer().len() < sink.backpressure_boundary()
            && let Ok(command) = commands.try_recv()
        {
            fetches.extend(fetched(&command));
            sink.feed(command).await?;
        }
        let whole = sink.write_buffer().len();
        if let Err(error) = sink.flush().await {
            if sink.write_buffer().len() == whole {
                unwritten.append(&mut fetches);
            }
            return Err(error);
        }
        figures.forwarded(fetches.len());
    }
    Ok(())
}

/// Passes on what comes; what can't be read, or stops in the middle, ends the connection.
async fn read(
    half: OwnedReadHalf,
    number: Number,
    came: &mpsc::Sender<(Number, Came)>,
) -> io::Result<()> {
    let mut replies = FramedRead::new(half, Resp);
    let mut stopped = false;
    loop {
        match timeout(HALF, replies.next()).await {
            Ok(Some(reply)) => {
                stopped = false;
                if came.send((number, Came::Reply(reply?))).await.is_err() {
                    return Ok(());
                }
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
