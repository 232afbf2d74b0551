//! Ledger engines: one actor each behind one message type, whatever its wire.

pub mod flight;
pub mod resp;

use crate::broker::{BrokerBox, ToBroker};
use crate::supervise;
use bytes::Bytes;
use sedgebeam_core::{AttemptNo, EngineId, Load, Micros, Note, RequestId};
use sedgebeam_settings::Connections;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// What an engine's actor is asked to do.
#[derive(Debug)]
pub enum ToEngine {
    Send(Attempt),
    /// Gives an attempt up; nothing is reported of it any more.
    Abort(RequestId, AttemptNo),
    Renice(RequestId, AttemptNo, u8),
    Probe,
    More(More),
    /// No more pages are wanted.
    Done(RequestId, AttemptNo),
    /// The list says that it drains or is gone: what has not been written yet comes back.
    NothingNew,
}

/// An attempt on its way to an engine.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: RequestId,
    pub number: AttemptNo,
    pub class: Arc<str>,
    pub timeout: Duration,
    pub rank: u8,
    pub statement: Bytes,
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
        load: Option<Load>,
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
    Note(RequestId, AttemptNo, Note),
    Probed(Probe),
}

#[derive(Clone, Debug)]
pub enum Probe {
    Up(Option<Load>),
    Down,
    Silent,
    ConnectFailed,
}

pub type EngineBox = mpsc::Sender<ToEngine>;

/// Requests that may wait in an engine's mailbox: far more than it ever runs.
const MAILBOX: usize = 4096;

/// An endpoint with this ahead of it speaks Arrow Flight SQL; any other speaks RESP.
pub const FLIGHT_SCHEME: &str = "grpc://";

/// Starts the actor of an engine.
pub fn start(
    id: EngineId,
    uid: &str,
    endpoint: &str,
    connections: Connections,
    broker: BrokerBox,
) -> EngineBox {
    let (mailbox, incoming) = mpsc::channel(MAILBOX);
    let reports = Reports {
        engine: id,
        broker: broker.clone(),
    };
    let (name, endpoint) = (format!("engine {uid}"), endpoint.to_string());
    let died = move || {
        // What was out there may have run.
        tokio::spawn(async move { broker.send(ToBroker::EngineDied(id)).await });
    };
    if endpoint.starts_with(FLIGHT_SCHEME) {
        let actor = flight::run(endpoint, connections, incoming, reports);
        supervise::watch(name, actor, died);
    } else {
        let actor = resp::run(endpoint, connections, incoming, reports);
        supervise::watch(name, actor, died);
    }
    mailbox
}

/// Where an engine's actor reports to.
#[derive(Clone)]
pub struct Reports {
    engine: EngineId,
    broker: BrokerBox,
}

impl Reports {
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
}
