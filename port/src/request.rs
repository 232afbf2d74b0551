//! Requests on their way to the broker, and all else that it is told.

use crate::{AdminError, AdminRequest, AdminResponse, Answer, EngineReport, ListUpdate, Target};
use bytes::Bytes;
use sedgebeam_core::{ClassId, EngineId, HandoverState, Micros, RequestId, TableGroupId};
use sedgebeam_reconfigure::RuntimeSettings;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub type BrokerSender = mpsc::Sender<BrokerMessage>;

/// A client's request, whatever its wire.
#[derive(Clone, Debug)]
pub struct NewRequest {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<String>,
    /// When the client stops waiting.
    pub deadline: Instant,
    pub work: Micros,
    pub memory_mb: f64,
    pub group: TableGroupId,
    pub statement: Bytes,
    /// Its client says that it has tried before.
    pub is_retry: bool,
    /// By what engines know a repeat of it, where its class is keyed; handed on as it came.
    pub idempotency_token: Option<Arc<str>>,
    /// Requests of one key run in the order in which they came, where their class keeps it; handed on as it came.
    pub order_key: Option<Arc<str>>,
    /// The session that a cancel names, where the wire has such.
    pub session: Option<SessionKey>,
    /// Cancelled once its client has gone or called it off: from then on nothing of it is sent, however many
    /// messages the broker still has before that word.
    pub cancel_token: CancellationToken,
}

/// Names a session to those who may cancel what it asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SessionKey(pub u64);

#[derive(Debug)]
pub enum BrokerMessage {
    Submit(NewRequest, oneshot::Sender<Answer>),
    /// Its client has gone, or called it off.
    ClientLeft(RequestId),
    EngineReport(EngineId, EngineReport),
    EngineActorDied(EngineId),
    EngineList(ListUpdate, Vec<Target>),
    /// Asks what the gateway holds.
    GetHandoverState(oneshot::Sender<HandoverState>),
    /// What an earlier process held, to begin with.
    RestoreHandoverState(Arc<HandoverState>),
    /// What other processes of this dispatcher hold, and whether this one may send to cold engines.
    SetPeerProcessUsage(Arc<HandoverState>, bool),
    /// The process ends: what has no answer yet gets one now.
    Shutdown,
    /// New settings; the sender is dropped once they hold.
    Reconfigure(Arc<RuntimeSettings>, oneshot::Sender<()>),
    Admin(
        AdminRequest,
        oneshot::Sender<Result<AdminResponse, AdminError>>,
    ),
}
