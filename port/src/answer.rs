//! The final answer to a request, and how a front waits for it.

use crate::desk::UnderWay;
use crate::{BrokerBox, EngineBox, More, NewRequest, Page, ToBroker, ToEngine};
use sedgebeam_core::{AttemptNo, RequestId};
use sedgebeam_operation::{Disposition, Running};
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
    Rows(Delivery),
    /// Turned away; harmless to try again after this long (zero: no advice).
    Refused {
        retry_after: Duration,
    },
    Failed(Failure),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Given up, with no promise whether it ran.
    Unanswered,
    /// Its client called it off.
    Cancelled,
    /// Another request of this name is open.
    Duplicate,
    /// It names a tenant that there is not.
    Tenant,
    /// The dispatcher is ending.
    Ending,
}

/// A result on its way to the client: its pages are read as the client takes them.
#[derive(Debug)]
pub struct Delivery {
    first: Option<Page>,
    next: u32,
    whole: bool,
    deadline: Instant,
    engine: EngineBox,
    request: RequestId,
    number: AttemptNo,
    /// Counted once it is whole, or can't be.
    running: Option<Running>,
}

/// The rest of a result can't be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

impl Delivery {
    pub fn new(
        first: Page,
        deadline: Instant,
        engine: EngineBox,
        request: RequestId,
        number: AttemptNo,
    ) -> Delivery {
        Delivery {
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
            running.ended(how);
        }
    }

    /// When the client stops waiting.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// The next page; `None` once the result is whole.
    pub async fn next(&mut self) -> Result<Option<Page>, Broken> {
        if self.whole {
            // All of it has been taken.
            self.ended(Disposition::Succeeded);
            return Ok(None);
        }
        let page = match self.first.take() {
            Some(page) => page,
            None => match self.more().await {
                Ok(page) => page,
                Err(Broken) => {
                    self.ended(Disposition::Aborted);
                    return Err(Broken);
                }
            },
        };
        self.whole = page.last;
        Ok(Some(page))
    }

    async fn more(&mut self) -> Result<Page, Broken> {
        let (reply, page) = oneshot::channel();
        let more = More {
            request: self.request,
            number: self.number,
            page: self.next,
            reply,
        };
        self.next += 1;
        self.engine
            .send(ToEngine::More(more))
            .await
            .map_err(|_| Broken)?;
        let page = timeout_at(self.deadline, page).await;
        page.map_err(|_| Broken)?.map_err(|_| Broken)
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        // A result of one page is forgotten by its engine once it is sent.
        if self.next > 1 || !self.whole {
            let done = ToEngine::Done(self.request, self.number);
            if self.engine.try_send(done).is_err() {
                log::debug!("the engine of {:?} is gone", self.request);
            }
        }
    }
}

/// A request that the broker has taken: wait on it for the answer, or drop it to leave.
#[derive(Debug)]
pub struct Pending {
    request: RequestId,
    answer: oneshot::Receiver<Answer>,
    broker: Option<BrokerBox>,
    /// What the answer is where the broker dies with the request.
    lost: Option<Answer>,
    answered: bool,
    /// Counts the request; with a result it goes on to that.
    running: Option<Running>,
    cancelled: CancellationToken,
    /// Names it to those who cancel what its session has under way.
    _under_way: Option<UnderWay>,
}

impl Pending {
    pub(crate) fn new(
        request: &NewRequest,
        answer: oneshot::Receiver<Answer>,
        broker: Option<BrokerBox>,
        lost: Answer,
        running: Option<Running>,
        under_way: Option<UnderWay>,
    ) -> Pending {
        Pending {
            request: request.id,
            cancelled: request.cancelled.clone(),
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
            Answer::Refused { .. } => running.ended(Disposition::Declined),
            // Whoever called it off is still there and hears that it failed.
            Answer::Failed(_) => running.ended(Disposition::Aborted),
        }
    }
}

impl Future for Pending {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Answer> {
        let answer = Pin::new(&mut self.answer).poll(context);
        answer.map(|answer| {
            self.answered = true;
            // A sender dropped without an answer: the broker has ended.
            let lost = self.lost.take();
            let lost = lost.unwrap_or(Answer::Failed(Failure::Ending));
            let mut answer = answer.unwrap_or(lost);
            self.count(&mut answer);
            answer
        })
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        let Some(broker) = self.broker.take().filter(|_| !self.answered) else {
            return;
        };
        // At once: the broker may have thousands of messages before the word, and decides meanwhile.
        self.cancelled.cancel();
        // The client has left; its session may be gone, so the word must not depend on it.
        if let Err(full) = broker.try_send(ToBroker::ClientLeft(self.request)) {
            let word = full.into_inner();
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move { broker.send(word).await });
            }
        }
    }
}
