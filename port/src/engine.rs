//! Messages between the broker and the actors of engines, independent of the engine's protocol.

use crate::{BrokerMessage, BrokerSender, Target};
use bytes::Bytes;
use sedgebeam_core::{AttemptNo, EngineId, LoadReport, Micros, Note, RequestId};
use std::num::NonZeroU32;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A command to the actor of one engine.
#[derive(Debug)]
pub enum EngineCommand {
    Send(Attempt),
    /// Aborts an attempt. Unless the attempt has already ended, its only later report is
    /// [`EngineReport::AbortConfirmed`].
    Abort(RequestId, AttemptNo),
    /// Changes the priority of an attempt.
    Reprioritize(RequestId, AttemptNo, u8),
    /// Asks the engine for a load report; the answer is [`EngineReport::Probed`].
    Probe,
    FetchPage(PageRequest),
    /// The result is no longer needed; no further pages will be fetched.
    ReleaseResult(RequestId, AttemptNo),
    /// The engine is draining or no longer listed: attempts that are not yet written end as [`AttemptResult::NotRun`].
    ReturnUnsent,
}

/// Converts a memory grant to whole megabytes; `None` if the amount is not finite, negative or below 1 MB.
pub fn memory_grant(memory_mb: f64) -> Option<NonZeroU32> {
    let finite_mb = Some(memory_mb).filter(|amount| amount.is_finite());
    // The cast saturates: negative amounts become zero.
    NonZeroU32::new(finite_mb? as u32)
}

/// An attempt to run a request on one engine.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: RequestId,
    pub attempt_no: AttemptNo,
    pub class: Arc<str>,
    /// When the broker stops waiting for the attempt.
    pub deadline: Instant,
    pub priority: u8,
    /// Memory granted to the attempt; without a grant the engine chooses the amount.
    pub memory_grant_mb: Option<NonZeroU32>,
    pub statement: Bytes,
    /// Lets engines recognize a repeated request.
    pub idempotency_token: Option<Arc<str>>,
    /// Requests with the same key run in order.
    pub order_key: Option<Arc<str>>,
    /// Cancelled when the attempt is aborted or its client disconnects.
    pub cancel_token: CancellationToken,
    /// Latest time to start. After it the deadline has passed, or engines no longer recognize the attempt as a repeat.
    pub starts_by: Instant,
}

impl Attempt {
    /// Fields that the client set for engines, with their names in the engine protocols.
    pub fn wire_fields(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let fields = [("token", &self.idempotency_token), ("obj", &self.order_key)];
        fields
            .into_iter()
            .filter_map(|(name, value)| Some((name, value.as_deref()?)))
    }

    /// Time until the deadline in whole milliseconds, at least 1. The engine gets the value of the time at which the
    /// attempt's first byte is written.
    pub fn remaining_ms(&self) -> u128 {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        remaining.as_millis().max(1)
    }

    /// Whether the attempt is cancelled or too late to start. Checked just before its first byte is written, because
    /// the attempt may have waited for a connection, or for the engine to read earlier data.
    pub fn is_stale(&self) -> bool {
        self.cancel_token.is_cancelled() || Instant::now() >= self.starts_by
    }
}

/// A request for another page of a result.
#[derive(Debug)]
pub struct PageRequest {
    pub request: RequestId,
    pub attempt_no: AttemptNo,
    /// Index of the page, counted from 0; the first page needs no request.
    pub page: u32,
    pub reply: oneshot::Sender<Page>,
}

/// Complete rows of a result as text: columns are separated by tabs, each row ends with a line feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    pub rows: Bytes,
    pub is_last: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    Ok {
        /// The first page of the result.
        page: Page,
        /// The work that the engine reported for the attempt.
        work: Option<Micros>,
        load: Option<LoadReport>,
    },
    /// The engine rejected the attempt without running it.
    Busy,
    /// The engine reported an error; the attempt may have run.
    Error,
    /// The attempt was cancelled or too late, and never ran.
    NotRun,
    /// No connection was made, or nothing was written to it.
    ConnectFailed,
    /// The connection broke while the attempt was in flight; it may have run.
    Reset,
}

/// A report from an engine's actor to the broker.
#[derive(Clone, Debug)]
pub enum EngineReport {
    AttemptEnded(RequestId, AttemptNo, AttemptResult),
    /// The attempt is no longer in flight after [`EngineCommand::Abort`]: the abort is written, the connection is
    /// closed, or nothing of the attempt was ever written.
    AbortConfirmed(RequestId, AttemptNo),
    Note(RequestId, AttemptNo, Note),
    Probed(ProbeResult),
    /// No attempt or probe is in flight and no connection is open: the actor may be stopped.
    Idle(IdleEngine),
}

/// Identifies an idle actor of an engine and the commands that it has received.
#[derive(Clone, Debug)]
pub struct IdleEngine {
    /// The actor's own mailbox.
    pub mailbox: mpsc::WeakSender<EngineCommand>,
    /// Attempts and probes received from the mailbox since the actor started.
    pub received_count: u64,
}

/// How a probe ended.
#[derive(Clone, Debug)]
pub enum ProbeResult {
    /// The engine is up, with its load report if it sent one.
    Up(Option<LoadReport>),
    /// The engine answered that it is down, or with an error.
    Down,
    TimedOut,
    /// There was no connection for the probe.
    ConnectFailed,
}

/// The sender of the mailbox of an engine's actor.
pub type EngineSender = mpsc::Sender<EngineCommand>;

/// Starts the actors of engines.
pub trait EngineTransport: Send + Sync {
    /// Called when an engine is first listed. Its actor is started with the first attempt or probe.
    fn engine_listed(&self, _target: &Target) {}

    /// Starts the actor of an engine. The actor ends once all senders of its mailbox are dropped.
    fn start(&self, target: &Target, reporter: EngineReporter) -> EngineSender;
}

/// Identifies an actor. An engine has another one after it was idle, has died or has moved, and another engine may get the
/// id of one that is gone: late reports of an earlier actor must not be taken for those of a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineActorId {
    pub engine: EngineId,
    /// Number of actors that the broker had started before.
    pub instance: u64,
}

/// Sends the reports of one engine's actor to the broker.
#[derive(Clone)]
pub struct EngineReporter {
    actor: EngineActorId,
    broker: BrokerSender,
}

impl EngineReporter {
    pub fn new(actor: EngineActorId, broker: BrokerSender) -> EngineReporter {
        EngineReporter { actor, broker }
    }

    pub async fn send(&self, report: EngineReport) {
        // The channel closes only when the process is ending.
        let _ = self
            .broker
            .send(BrokerMessage::EngineReport(self.actor, report))
            .await;
    }

    pub async fn attempt_ended(
        &self,
        request: RequestId,
        attempt_no: AttemptNo,
        result: AttemptResult,
    ) {
        self.send(EngineReport::AttemptEnded(request, attempt_no, result))
            .await;
    }

    pub async fn abort_confirmed(&self, request: RequestId, attempt_no: AttemptNo) {
        self.send(EngineReport::AbortConfirmed(request, attempt_no))
            .await;
    }

    /// Reports that the engine's actor panicked; its attempts in flight may have run.
    pub async fn actor_died(&self) {
        // The channel closes only when the process is ending.
        let _ = self
            .broker
            .send(BrokerMessage::EngineActorDied(self.actor))
            .await;
    }
}
