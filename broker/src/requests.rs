//! Open requests and their attempts.

use bytes::Bytes;
use sedgebeam_core::{AttemptNo, ClassId, EngineId, Outcome, TenantId};
use sedgebeam_port::{Answer, EngineSender, NewRequest};
use std::num::NonZeroU32;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// An attempt that is out.
pub struct Out {
    pub engine: EngineId,
    pub mailbox: EngineSender,
    pub sent: Instant,
    /// Cancelled once it is over: what of it is unwritten must stay so.
    pub cancelled: CancellationToken,
    /// Set where it is given up, and its engine's actor has not confirmed that yet.
    pub given_up: Option<GivenUp>,
}

/// How an attempt that was given up ends, once that is confirmed.
#[derive(Clone, Copy)]
pub struct GivenUp {
    pub outcome: Outcome,
    pub at: Instant,
}

/// A request from its start until it is over and nothing of it is out.
pub struct Open {
    /// Taken when the final answer is given: there is no second one to give.
    pub reply: Option<oneshot::Sender<Answer>>,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub deadline: Instant,
    pub statement: Bytes,
    pub token: Option<Arc<str>>,
    pub order_key: Option<Arc<str>>,
    /// Cancelled once its client has gone or called it off.
    pub cancelled: CancellationToken,
    pub rank: u8,
    /// The memory that its next attempt is granted.
    pub memory_grant_mb: Option<NonZeroU32>,
    /// By number; `None` once it has had its outcome.
    pub attempts: Vec<Option<Out>>,
    /// It is noted as over, with nothing out.
    pub noted: bool,
}

impl Open {
    pub fn new(
        request: NewRequest,
        tenant: Option<TenantId>,
        reply: oneshot::Sender<Answer>,
    ) -> Open {
        Open {
            reply: Some(reply),
            class: request.class,
            tenant,
            deadline: request.deadline,
            statement: request.statement,
            token: request.idempotency_token,
            order_key: request.order_key,
            cancelled: request.cancel_token,
            // The priority of what has none set.
            rank: 1,
            memory_grant_mb: None,
            attempts: Vec::new(),
            noted: false,
        }
    }

    pub fn out(&self, number: AttemptNo) -> Option<&Out> {
        self.attempts.get(number.0 as usize)?.as_ref()
    }

    pub fn all_out(&self) -> impl Iterator<Item = (AttemptNo, &Out)> {
        let numbered = self.attempts.iter().enumerate();
        numbered.filter_map(|(number, out)| Some((AttemptNo(number as u32), out.as_ref()?)))
    }

    pub fn is_settled(&self) -> bool {
        self.reply.is_none() && self.all_out().next().is_none()
    }
}
