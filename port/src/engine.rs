//! Ledger engines: one actor each behind one message type, whatever its wire.

use crate::{BrokerBox, Target, ToBroker};
use bytes::Bytes;
use sedgebeam_core::{AttemptNo, EngineId, LoadReport, Micros, Note, RequestId};
use std::num::NonZeroU32;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// What an engine's actor is asked to do.
#[derive(Debug)]
pub enum ToEngine {
    Send(Attempt),
    /// Gives an attempt up. [`Report::GivenUp`] is all that is reported of it from then on, unless it has ended already.
    Abort(RequestId, AttemptNo),
    Renice(RequestId, AttemptNo, u8),
    Probe,
    More(More),
    /// No more pages are wanted.
    Done(RequestId, AttemptNo),
    /// The list says that it drains or is gone: what has not been written yet comes back.
    NothingNew,
}

/// The grant of so much memory, in whole megabytes; `None` for zero and for anything that is no amount of memory.
pub fn memory_grant(memory_mb: f64) -> Option<NonZeroU32> {
    let finite = Some(memory_mb).filter(|amount| amount.is_finite());
    // What is negative becomes zero.
    NonZeroU32::new(finite? as u32)
}

/// An attempt on its way to an engine.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: RequestId,
    pub number: AttemptNo,
    pub class: Arc<str>,
    /// When it is given up.
    pub until: Instant,
    pub rank: u8,
    /// The memory that it is granted; without it the engine chooses.
    pub memory_grant_mb: Option<NonZeroU32>,
    pub statement: Bytes,
    /// By what engines know a repeat of the request.
    pub token: Option<Arc<str>>,
    /// Whose order the request keeps.
    pub order_key: Option<Arc<str>>,
    /// Cancelled once it is given up, or its client has gone.
    pub cancelled: CancellationToken,
    /// It may not begin later: its time is over then, or engines no longer drop it as a repeat.
    pub starts_by: Instant,
}

impl Attempt {
    /// What its client gave for engines to read, by the names of their wires.
    pub fn words(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let words = [("token", &self.token), ("obj", &self.order_key)];
        words
            .into_iter()
            .filter_map(|(name, word)| Some((name, word.as_deref()?)))
    }

    /// The time for which it will still be waited for, in whole milliseconds: what its engine is told at its first byte.
    pub fn millis_left(&self) -> u128 {
        let left = self.until.saturating_duration_since(Instant::now());
        left.as_millis().max(1)
    }

    /// Whether nothing of it may be written any more: asked where it is, at the moment of its first byte. It may
    /// have waited there for its connection, or behind what the engine does not read.
    pub fn is_void(&self) -> bool {
        self.cancelled.is_cancelled() || Instant::now() >= self.starts_by
    }
}

/// Asks for a further page of a result.
#[derive(Debug)]
pub struct More {
    pub request: RequestId,
    pub number: AttemptNo,
    pub page: u32,
    pub reply: oneshot::Sender<Page>,
}

/// Whole rows of a result as text: a tab between columns, a line feed after each row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    pub rows: Bytes,
    pub last: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Ok {
        page: Page,
        work: Option<Micros>,
        load: Option<LoadReport>,
    },
    /// Turned away unseen.
    Busy,
    /// It may have run.
    Error,
    /// It was over already and never ran.
    Void,
    /// No connection, or never written to one.
    ConnectFailed,
    /// The connection broke while it was out.
    Reset,
}

/// What an engine's actor reports to the broker.
#[derive(Clone, Debug)]
pub enum Report {
    Ended(RequestId, AttemptNo, End),
    /// An attempt is out no longer after [`ToEngine::Abort`]: its abort is written, its connection is closed, or nothing
    /// of it was ever written.
    GivenUp(RequestId, AttemptNo),
    Note(RequestId, AttemptNo, Note),
    Probed(Probe),
    /// Nothing is out, no probe is unanswered and no connection is kept: the actor may end.
    Resting(Resting),
}

/// An engine's actor that has nothing to do.
#[derive(Clone, Debug)]
pub struct Resting {
    /// Its own mailbox.
    pub mailbox: mpsc::WeakSender<ToEngine>,
    /// Attempts and probes that it has taken from there, since its start.
    pub taken: u64,
}

#[derive(Clone, Debug)]
pub enum Probe {
    Up(Option<LoadReport>),
    Down,
    Silent,
    ConnectFailed,
}

pub type EngineBox = mpsc::Sender<ToEngine>;

/// Starts the actors of engines: the one thing that the broker needs of the world.
pub trait Engines: Send + Sync {
    /// The list names an engine that was not known. Its actor is started once something is asked of it.
    fn listed(&self, _target: &Target) {}

    /// Starts the actor of an engine; it ends by itself once every sender of its mailbox is gone.
    fn start(&self, target: &Target, reports: Reports) -> EngineBox;
}

/// Where an engine's actor reports to.
#[derive(Clone)]
pub struct Reports {
    engine: EngineId,
    broker: BrokerBox,
}

impl Reports {
    pub fn new(engine: EngineId, broker: BrokerBox) -> Reports {
        Reports { engine, broker }
    }

    pub async fn tell(&self, report: Report) {
        // A broker that is gone has ended the process.
        let _ = self
            .broker
            .send(ToBroker::Engine(self.engine, report))
            .await;
    }

    pub async fn ended(&self, request: RequestId, number: AttemptNo, end: End) {
        self.tell(Report::Ended(request, number, end)).await;
    }

    pub async fn given_up(&self, request: RequestId, number: AttemptNo) {
        self.tell(Report::GivenUp(request, number)).await;
    }

    /// The engine's actor has died; what was out there may have run.
    pub async fn died(&self) {
        // As above.
        let _ = self.broker.send(ToBroker::EngineDied(self.engine)).await;
    }
}
