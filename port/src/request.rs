//! Client requests and the other messages that a broker receives.

use crate::{
    AdminError, AdminRequest, AdminResponse, Answer, EngineActorId, EngineReport, ListUpdate,
    Target,
};
use bytes::Bytes;
use sedgebeam_core::{ClassId, HandoverState, Micros, RequestId, TableGroupId};
use sedgebeam_reconfigure::RuntimeSettings;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The sender of a broker's mailbox.
pub type BrokerSender = mpsc::Sender<BrokerMessage>;

/// A client's request, independent of the client protocol.
#[derive(Clone, Debug)]
pub struct NewRequest {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<String>,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// The client's estimate of the work; zero if it gave none.
    pub work: Micros,
    /// The client's estimate of the memory; zero if it gave none.
    pub memory_mb: f64,
    /// The table group that the statement names; zero if it names none.
    pub table_group: TableGroupId,
    pub statement: Bytes,
    /// The client marked the request as a retry.
    pub is_retry: bool,
    /// Lets engines recognize a repeated request, if its class is keyed; passed on unchanged.
    pub idempotency_token: Option<Arc<str>>,
    /// Requests with the same key run in order of arrival, if their class is ordered; passed on unchanged.
    pub order_key: Option<Arc<str>>,
    /// The session by which the request can be cancelled, if the client protocol supports that.
    pub session: Option<SessionKey>,
    /// Cancelled when the client disconnects or cancels the request. Nothing is sent from then on, even while
    /// [`BrokerMessage::ClientLeft`] is still queued in the broker's mailbox.
    pub cancel_token: CancellationToken,
}

/// Identifies a session in cancel requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SessionKey(pub u64);

/// A message to the broker.
#[derive(Debug)]
pub enum BrokerMessage {
    Submit(NewRequest, oneshot::Sender<Answer>),
    /// The client disconnected or cancelled the request.
    ClientLeft(RequestId),
    EngineReport(EngineActorId, EngineReport),
    /// The actor of an engine panicked; its attempts in flight may have run.
    EngineActorDied(EngineActorId),
    /// An update of the engine list.
    EngineList(ListUpdate, Vec<Target>),
    /// Asks for the gateway's handover state.
    GetHandoverState(oneshot::Sender<HandoverState>),
    /// Restores the handover state of an earlier process.
    RestoreHandoverState(Arc<HandoverState>),
    /// Usage by other processes of this dispatcher, and whether this one may send to cold engines.
    SetPeerProcessUsage(Arc<HandoverState>, bool),
    /// The process is shutting down: all open requests are answered now.
    Shutdown,
    /// New settings; the sender is dropped once they are applied.
    Reconfigure(Arc<RuntimeSettings>, oneshot::Sender<()>),
    Admin(
        AdminRequest,
        oneshot::Sender<Result<AdminResponse, AdminError>>,
    ),
}
