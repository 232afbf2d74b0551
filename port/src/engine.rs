//! Ledger engines: one actor each behind one message type, whatever its wire.

use crate::{BrokerMessage, BrokerSender, Target};
use bytes::Bytes;
use sedgebeam_core::{AttemptNo, EngineId, LoadReport, Micros, Note, RequestId};
use std::num::NonZeroU32;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// What an engine's actor is asked to do.
#[derive(Debug)]
pub enum EngineCommand {
    Send(Attempt),
    /// Gives an attempt up. [`Report::GivenUp`] is all that is reported of it from then on, unless it has ended already.
    Abort(RequestId, AttemptNo),
    Reprioritize(RequestId, AttemptNo, u8),
    Probe,
    FetchPage(PageRequest),
    /// No more pages are wanted.
    ReleaseResult(RequestId, AttemptNo),
    /// The list says that it drains or is gone: what has not been written yet comes back.
    ReturnUnsent,
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
    pub deadline: Instant,
    pub priority: u8,
    /// The memory that it is granted; without it the engine chooses.
    pub memory_grant_mb: Option<NonZeroU32>,
    pub statement: Bytes,
    /// By what engines know a repeat of the request.
    pub idempotency_token: Option<Arc<str>>,
    /// Whose order the request keeps.
    pub order_key: Option<Arc<str>>,
    /// Cancelled once it is given up, or its client has gone.
    pub cancel_token: CancellationToken,
    /// It may not begin later: its time is over then, or engines no longer drop it as a repeat.
    pub starts_by: Instant,
}

impl Attempt {
    /// What its client gave for engines to read, by the names of their wires.
    pub fn wire_fields(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let words = [("token", &self.idempotency_token), ("obj", &self.order_key)];
        words
            .into_iter()
            .filter_map(|(name, word)| Some((name, word.as_deref()?)))
    }

    /// The time for which it will still be waited for, in whole milliseconds: what its engine is told at its first byte.
    pub fn remaining_ms(&self) -> u128 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.as_millis().max(1)
    }

    /// Whether nothing of it may be written any more: asked where it is, at the moment of its first byte. It may
    /// have waited there for its connection, or behind what the engine does not read.
    pub fn is_stale(&self) -> bool {
        self.cancel_token.is_cancelled() || Instant::now() >= self.starts_by
    }
}

/// Asks for a further page of a result.
#[derive(Debug)]
pub struct PageRequest {
    pub request: RequestId,
    pub number: AttemptNo,
    pub page: u32,
    pub reply: oneshot::Sender<Page>,
}

/// Whole rows of a result as text: a tab between columns, a line feed after each row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    pub rows: Bytes,
    pub is_last: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
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
    NotRun,
    /// No connection, or never written to one.
    ConnectFailed,
    /// The connection broke while it was out.
    Reset,
}

/// What an engine's actor reports to the broker.
#[derive(Clone, Debug)]
pub enum EngineReport {
    AttemptEnded(RequestId, AttemptNo, AttemptResult),
    /// An attempt is out no longer after [`ToEngine::Abort`]: its abort is written, its connection is closed, or nothing
    /// of it was ever written.
    AbortConfirmed(RequestId, AttemptNo),
    Note(RequestId, AttemptNo, Note),
    Probed(ProbeResult),
    /// Nothing is out, no probe is unanswered and no connection is kept: the actor may end.
    Idle(IdleEngine),
}

/// An engine's actor that has nothing to do.
#[derive(Clone, Debug)]
pub struct IdleEngine {
    /// Its own mailbox.
    pub mailbox: mpsc::WeakSender<EngineCommand>,
    /// Attempts and probes that it has taken from there, since its start.
    pub received_count: u64,
}

#[derive(Clone, Debug)]
pub enum ProbeResult {
    Up(Option<LoadReport>),
    Down,
    TimedOut,
    ConnectFailed,
}

pub type EngineSender = mpsc::Sender<EngineCommand>;

/// Starts the actors of engines: the one thing that the broker needs of the world.
pub trait EngineTransport: Send + Sync {
    /// The list names an engine that was not known. Its actor is started once something is asked of it.
    fn engine_listed(&self, _target: &Target) {}

    /// Starts the actor of an engine; it ends by itself once every sender of its mailbox is gone.
    fn start(&self, target: &Target, reports: EngineReporter) -> EngineSender;
}

/// Where an engine's actor reports to.
#[derive(Clone)]
pub struct EngineReporter {
    engine: EngineId,
    broker: BrokerSender,
}

impl EngineReporter {
    pub fn new(engine: EngineId, broker: BrokerSender) -> EngineReporter {
        EngineReporter { engine, broker }
    }

    pub async fn send(&self, report: EngineReport) {
        // A broker that is gone has ended the process.
        let _ = self
            .broker
            .send(BrokerMessage::EngineReport(self.engine, report))
            .await;
    }

    pub async fn attempt_ended(&self, request: RequestId, number: AttemptNo, end: AttemptResult) {
        self.send(EngineReport::AttemptEnded(request, number, end))
            .await;
    }

    pub async fn abort_confirmed(&self, request: RequestId, number: AttemptNo) {
        self.send(EngineReport::AbortConfirmed(request, number))
            .await;
    }

    /// The engine's actor has died; what was out there may have run.
    pub async fn actor_died(&self) {
        // As above.
        let _ = self
            .broker
            .send(BrokerMessage::EngineActorDied(self.engine))
            .await;
    }
}
