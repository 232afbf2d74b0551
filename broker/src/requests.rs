//! Open requests and their attempts.

use crate::timers::TimerKey;
use bytes::Bytes;
use sedgebeam_core::{AttemptNo, ClassId, Outcome, TenantId};
use sedgebeam_port::{Answer, EngineActorId, EngineSender, NewRequest};
use std::num::NonZeroU32;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// An attempt in flight.
pub struct InFlightAttempt {
    pub actor: EngineActorId,
    pub mailbox: EngineSender,
    pub sent_at: Instant,
    /// Cancelled once the attempt has ended, so that nothing more of it is written.
    pub cancel_token: CancellationToken,
    /// Aborts the attempt when its time limit has passed.
    pub timeout_timer: TimerKey,
    /// Set if the attempt is aborted and its engine's actor has not confirmed that yet.
    pub abort: Option<PendingAbort>,
}

/// The outcome of an aborted attempt, reported once the abort is confirmed.
#[derive(Clone, Copy)]
pub struct PendingAbort {
    pub outcome: Outcome,
    pub aborted_at: Instant,
    /// Ends the wait for the confirmation; `None` if no other attempt may follow.
    pub confirmation_timer: Option<TimerKey>,
}

/// A request that is not answered yet or still has an attempt in flight.
pub struct OpenRequest {
    /// Taken when the final answer is sent, so that there is only one.
    pub reply: Option<oneshot::Sender<Answer>>,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub deadline: Instant,
    /// Answers the request if the gateway has not done so in time.
    pub answer_timer: TimerKey,
    pub statement: Bytes,
    pub idempotency_token: Option<Arc<str>>,
    pub order_key: Option<Arc<str>>,
    /// Cancelled when the client disconnects or cancels the request.
    pub cancel_token: CancellationToken,
    pub priority: u8,
    /// Memory granted to the next attempt.
    pub memory_grant_mb: Option<NonZeroU32>,
    /// Attempts by number; `None` once an attempt has its outcome.
    pub attempts: Vec<Option<InFlightAttempt>>,
    /// An attempt has ended that an engine may have run.
    pub may_have_run: bool,
    /// An attempt has ended without proof that its engine has stopped.
    pub may_still_run: bool,
    pub is_removal_scheduled: bool,
}

impl OpenRequest {
    pub fn new(
        request: NewRequest,
        tenant: Option<TenantId>,
        reply: oneshot::Sender<Answer>,
        answer_timer: TimerKey,
    ) -> OpenRequest {
        OpenRequest {
            reply: Some(reply),
            class: request.class,
            tenant,
            deadline: request.deadline,
            answer_timer,
            statement: request.statement,
            idempotency_token: request.idempotency_token,
            order_key: request.order_key,
            cancel_token: request.cancel_token,
            // Used unless the gateway sets a priority.
            priority: 1,
            memory_grant_mb: None,
            attempts: Vec::new(),
            may_have_run: false,
            may_still_run: false,
            is_removal_scheduled: false,
        }
    }

    /// Records the outcome of an attempt.
    pub fn attempt_ended(&mut self, outcome: Outcome) {
        self.may_have_run |= outcome.may_have_run();
        self.may_still_run |= outcome.may_still_run();
    }

    pub fn attempt_in_flight(&self, attempt_no: AttemptNo) -> Option<&InFlightAttempt> {
        self.attempts.get(attempt_no.0 as usize)?.as_ref()
    }

    /// The attempts in flight, with their numbers.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (AttemptNo, &InFlightAttempt)> {
        let numbered_attempts = self.attempts.iter().enumerate();
        numbered_attempts.filter_map(|(attempt_no, attempt)| {
            Some((AttemptNo(attempt_no as u32), attempt.as_ref()?))
        })
    }

    /// Whether the request is answered and has no attempt in flight.
    pub fn is_finished(&self) -> bool {
        self.reply.is_none() && self.attempts_in_flight().next().is_none()
    }
}
