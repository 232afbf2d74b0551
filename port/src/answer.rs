//! The final answer to a request, and how a front waits for it.

use crate::request_router::UnderWay;
use crate::{
    BrokerMessage, BrokerSender, EngineCommand, EngineSender, NewRequest, Page, PageRequest,
};
use sedgebeam_core::{AttemptNo, RequestId};
use sedgebeam_operation::{Disposition, RunningRequest};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

/// The final answer to a request. Whoever holds its sender can give it only once.
#[derive(Debug)]
pub enum Answer {
    Rows(ResultPages),
    /// Turned away; harmless to try again after this long (zero: no advice).
    Refused {
        retry_after: Duration,
    },
    Failed(Failure),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Given up, with no promise whether it ran.
    OutcomeUnknown,
    /// Its client called it off.
    Cancelled,
    /// Another request of this name is open.
    DuplicateId,
    /// It names a tenant that there is not.
    UnknownTenant,
    /// The dispatcher is ending.
    ShuttingDown,
}

/// A result on its way to the client: its pages are read as the client takes them.
#[derive(Debug)]
pub struct ResultPages {
    first: Option<Page>,
    next: u32,
    whole: bool,
    deadline: Instant,
    engine: EngineSender,
    request: RequestId,
    number: AttemptNo,
    /// Counted once it is whole, or can't be.
    running: Option<RunningRequest>,
}

/// The rest of a result can't be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResultLost;

impl ResultPages {
    pub fn new(
        first: Page,
        deadline: Instant,
        engine: EngineSender,
        request: RequestId,
        number: AttemptNo,
    ) -> ResultPages {
        ResultPages {
            first: Some(first),
            next: 1,
            whole: false,
            deadline,
            engine,
            request,
            number,
            running: None,
        }
    }

    fn ended(&mut self, how: Disposition) {
        if let Some(running) = self.running.take() {
            running.finish(how);
        }
    }

    /// When the client stops waiting.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// The next page; `None` once the result is whole.
    pub async fn next(&mut self) -> Result<Option<Page>, ResultLost> {
        if self.whole {
            // All of it has been taken.
            self.ended(Disposition::Succeeded);
            return Ok(None);
        }
        let page = match self.first.take() {
            Some(page) => page,
            None => match self.more().await {
                Ok(page) => page,
                Err(ResultLost) => {
                    self.ended(Disposition::Aborted);
                    return Err(ResultLost);
                }
            },
        };
        self.whole = page.is_last;
        Ok(Some(page))
    }

    async fn more(&mut self) -> Result<Page, ResultLost> {
        let (reply, page) = oneshot::channel();
        let more = PageRequest {
            request: self.request,
            number: self.number,
            page: self.next,
            reply,
        };
        self.next += 1;
        self.engine
            .send(EngineCommand::FetchPage(more))
            .await
            .map_err(|_| ResultLost)?;
        let page = timeout_at(self.deadline, page).await;
        page.map_err(|_| ResultLost)?.map_err(|_| ResultLost)
    }
}

impl Drop for ResultPages {
    fn drop(&mut self) {
        // A result of one page is forgotten by its engine once it is sent.
        if self.next > 1 || !self.whole {
            let done = EngineCommand::ReleaseResult(self.request, self.number);
            if self.engine.try_send(done).is_err() {
                log::debug!("the engine of {:?} is gone", self.request);
            }
        }
    }
}

/// A request that the broker has taken: wait on it for the answer, or drop it to leave.
#[derive(Debug)]
pub struct PendingAnswer {
    request: RequestId,
    answer: oneshot::Receiver<Answer>,
    broker: Option<BrokerSender>,
    /// What the answer is where the broker dies with the request.
    lost: Option<Answer>,
    answered: bool,
    /// Counts the request; with a result it goes on to that.
    running: Option<RunningRequest>,
    cancelled: CancellationToken,
    /// Names it to those who cancel what its session has under way.
    _under_way: Option<UnderWay>,
}

impl PendingAnswer {
    pub(crate) fn new(
        request: &NewRequest,
        answer: oneshot::Receiver<Answer>,
        broker: Option<BrokerSender>,
        lost: Answer,
        running: Option<RunningRequest>,
        under_way: Option<UnderWay>,
    ) -> PendingAnswer {
        PendingAnswer {
            request: request.id,
            cancelled: request.cancel_token.clone(),
            _under_way: under_way,
            answer,
            broker,
            lost: Some(lost),
            answered: false,
            running,
        }
    }

    /// Counts how the request has ended; a result ends only once it is whole.
    fn count(&mut self, answer: &mut Answer) {
        let Some(running) = self.running.take() else {
            return;
        };
        match answer {
            Answer::Rows(delivery) => delivery.running = Some(running),
            Answer::Refused { .. } => running.finish(Disposition::Declined),
            // Whoever called it off is still there and hears that it failed.
            Answer::Failed(_) => running.finish(Disposition::Aborted),
        }
    }
}

impl Future for PendingAnswer {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Answer> {
        let answer = Pin::new(&mut self.answer).poll(context);
        answer.map(|answer| {
            self.answered = true;
            // A sender dropped without an answer: the broker has ended.
            let lost = self.lost.take();
            let lost = lost.unwrap_or(Answer::Failed(Failure::ShuttingDown));
            let mut answer = answer.unwrap_or(lost);
            self.count(&mut answer);
            answer
        })
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        let Some(broker) = self.broker.take().filter(|_| !self.answered) else {
            return;
        };
        // At once: the broker may have thousands of messages before the word, and decides meanwhile.
        self.cancelled.cancel();
        // The client has left; its session may be gone, so the word must not depend on it.
        if let Err(full) = broker.try_send(BrokerMessage::ClientLeft(self.request)) {
            let word = full.into_inner();
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move { broker.send(word).await });
            }
        }
    }
}
