//! One connection to an engine: its task, and what the engine's actor keeps of it.

use super::codec::{Command, Reply, Resp};
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use sedgebeam_core::RequestId;
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;

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
/// Requests given up on a connection that are remembered, so that it does not carry them again.
const REMEMBERED: usize = 512;

pub struct Connection {
    pub mailbox: mpsc::Sender<Command>,
    pub up: bool,
    pub out: usize,
    pub used: Instant,
    given_up: VecDeque<RequestId>,
    /// Dropped with this: the task ends, and what it has not written yet stays unwritten.
    _kept: oneshot::Sender<()>,
}

impl Connection {
    pub fn open(
        number: Number,
        endpoint: String,
        limit: Duration,
        came: mpsc::Sender<(Number, Came)>,
    ) -> Connection {
        let (mailbox, commands) = mpsc::channel(MAILBOX);
        let (kept, dropped) = oneshot::channel();
        let dead = came.clone();
        let name = format!("connection to {endpoint}");
        let task = run(number, endpoint, limit, commands, dropped, came);
        crate::supervise::watch(name, task, move || {
            let unwritten = Vec::new();
            tokio::spawn(async move { dead.send((number, Came::Down { unwritten })).await });
        });
        Connection {
            mailbox,
            up: false,
            out: 0,
            used: Instant::now(),
            given_up: VecDeque::new(),
            _kept: kept,
        }
    }

    pub fn ended(&mut self) {
        self.out = self.out.saturating_sub(1);
        self.used = Instant::now();
    }

    pub fn give_up(&mut self, id: RequestId) {
        self.ended();
        if self.given_up.len() >= REMEMBERED {
            self.given_up.pop_front();
        }
        self.given_up.push_back(id);
    }

    pub fn gave_up(&self, id: RequestId) -> bool {
        self.given_up.contains(&id)
    }
}

type Wire = Framed<TcpStream, Resp>;

async fn run(
    number: Number,
    endpoint: String,
    limit: Duration,
    mut commands: mpsc::Receiver<Command>,
    dropped: oneshot::Receiver<()>,
    came: mpsc::Sender<(Number, Came)>,
) {
    let serve = serve(number, &endpoint, limit, &mut commands, &came);
    let ended = tokio::select! {
        biased;
        _ = dropped => Ok(()),
        ended = serve => ended,
    };
    if let Err(error) = ended {
        log::info!("connection to {endpoint}: {error}");
    }
    commands.close();
    let mut unwritten = Vec::new();
    while let Ok(command) = commands.try_recv() {
        if let Command::Fetch(attempt) = command {
            unwritten.push(attempt.request);
        }
    }
    let _ = came.send((number, Came::Down { unwritten })).await;
}

async fn serve(
    number: Number,
    endpoint: &str,
    limit: Duration,
    commands: &mut mpsc::Receiver<Command>,
    came: &mpsc::Sender<(Number, Came)>,
) -> io::Result<()> {
    let stream = connect(endpoint, limit).await?;
    // An actor that is gone wants no more word.
    let _ = came.send((number, Came::Up)).await;
    let (sink, stream) = Framed::new(stream, Resp).split();
    tokio::select! {
        ended = write(sink, commands) => ended,
        ended = read(stream, number, came) => ended,
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

/// Writes what is asked for, until nobody can ask any more.
async fn write(
    mut sink: SplitSink<Wire, Command>,
    commands: &mut mpsc::Receiver<Command>,
) -> io::Result<()> {
    while let Some(command) = commands.recv().await {
        sink.feed(command).await?;
        while let Ok(command) = commands.try_recv() {
            sink.feed(command).await?;
        }
        sink.flush().await?;
    }
    Ok(())
}

async fn read(
    mut stream: SplitStream<Wire>,
    number: Number,
    came: &mpsc::Sender<(Number, Came)>,
) -> io::Result<()> {
    while let Some(reply) = stream.next().await {
        if came.send((number, Came::Reply(reply?))).await.is_err() {
            return Ok(());
        }
    }
    Err(io::Error::new(
        io::ErrorKind::ConnectionReset,
        "closed by the engine",
    ))
}
