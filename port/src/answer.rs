//! The final answer to a request, and the future by which a front waits for it.

use crate::request_router::SessionEntry;
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

/// The final answer to a request. It is sent on a one-shot channel, so there is at most one.
#[derive(Debug)]
pub enum Answer {
    Rows(ResultPages),
    /// Rejected without running: a retry after this time is safe. Zero means that no time is suggested.
    Refused {
        retry_after: Duration,
    },
    Failed(Failure),
}

/// Why a request has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// There is no result; the request may have run.
    OutcomeUnknown,
    /// The client cancelled the request.
    Cancelled,
    /// Another request with this id is open.
    DuplicateId,
    /// The request names a tenant that does not exist.
    UnknownTenant,
    /// The dispatcher is shutting down; the request may have run.
    ShuttingDown,
}

/// A result that is streamed to the client: further pages are fetched from the engine as the client reads them.
#[derive(Debug)]
pub struct ResultPages {
    /// Taken once it has been read.
    first_page: Option<Page>,
    /// Index of the page to fetch next, counted from 0.
    next_page: u32,
    is_complete: bool,
    deadline: Instant,
    engine: EngineSender,
    request: RequestId,
    attempt_no: AttemptNo,
    /// Records the request's disposition once the result is complete or lost.
    running_request: Option<RunningRequest>,
}

/// The rest of a result can't be fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResultLost;

impl ResultPages {
    pub fn new(
        first_page: Page,
        deadline: Instant,
        engine: EngineSender,
        request: RequestId,
        attempt_no: AttemptNo,
    ) -> ResultPages {
        ResultPages {
            first_page: Some(first_page),
            next_page: 1,
            is_complete: false,
            deadline,
            engine,
            request,
            attempt_no,
            running_request: None,
        }
    }

    fn record_disposition(&mut self, disposition: Disposition) {
        if let Some(running_request) = self.running_request.take() {
            running_request.finish(disposition);
        }
    }

    /// When the client stops waiting for the result.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the next page, or `None` once the result is complete.
    pub async fn next(&mut self) -> Result<Option<Page>, ResultLost> {
        if self.is_complete {
            // The client has read all pages.
            self.record_disposition(Disposition::Succeeded);
            return Ok(None);
        }
        let page = match self.first_page.take() {
            Some(page) => page,
            None => match self.fetch_page().await {
                Ok(page) => page,
                Err(ResultLost) => {
                    self.record_disposition(Disposition::Aborted);
                    return Err(ResultLost);
                }
            },
        };
        self.is_complete = page.is_last;
        Ok(Some(page))
    }

    async fn fetch_page(&mut self) -> Result<Page, ResultLost> {
        let (reply, page) = oneshot::channel();
        let page_request = PageRequest {
            request: self.request,
            attempt_no: self.attempt_no,
            page: self.next_page,
            reply,
        };
        self.next_page += 1;
        self.engine
            .send(EngineCommand::FetchPage(page_request))
            .await
            .map_err(|_| ResultLost)?;
        let page = timeout_at(self.deadline, page).await;
        page.map_err(|_| ResultLost)?.map_err(|_| ResultLost)
    }
}

impl Drop for ResultPages {
    fn drop(&mut self) {
        // Engines release a single-page result as soon as it is sent.
        if self.next_page > 1 || !self.is_complete {
            let release = EngineCommand::ReleaseResult(self.request, self.attempt_no);
            if self.engine.try_send(release).is_err() {
                log::debug!(
                    "could not release the result of {:?} at its engine",
                    self.request
                );
            }
        }
    }
}

/// A future for the answer to a submitted request. Dropping it before the answer cancels the request.
#[derive(Debug)]
pub struct PendingAnswer {
    request: RequestId,
    answer: oneshot::Receiver<Answer>,
    broker: Option<BrokerSender>,
    /// The answer if the broker dies before it sends one.
    fallback: Option<Answer>,
    is_answered: bool,
    /// Records the request's disposition; handed over to the result if there is one.
    running_request: Option<RunningRequest>,
    cancel_token: CancellationToken,
    /// Lets the session's request be cancelled while it is open.
    _session_entry: Option<SessionEntry>,
}

impl PendingAnswer {
    pub(crate) fn new(
        request: &NewRequest,
        answer: oneshot::Receiver<Answer>,
        broker: Option<BrokerSender>,
        fallback: Answer,
        running_request: Option<RunningRequest>,
        session_entry: Option<SessionEntry>,
    ) -> PendingAnswer {
        PendingAnswer {
            request: request.id,
            cancel_token: request.cancel_token.clone(),
            _session_entry: session_entry,
            answer,
            broker,
            fallback: Some(fallback),
            is_answered: false,
            running_request,
        }
    }

    /// Records the request's disposition; that of a result is recorded once it is complete.
    fn record_disposition(&mut self, answer: &mut Answer) {
        let Some(running_request) = self.running_request.take() else {
            return;
        };
        match answer {
            Answer::Rows(pages) => pages.running_request = Some(running_request),
            Answer::Refused { .. } => running_request.finish(Disposition::Declined),
            // This includes requests that the client cancelled: it is still connected and receives the failure.
            Answer::Failed(_) => running_request.finish(Disposition::Aborted),
        }
    }
}

impl Future for PendingAnswer {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Answer> {
        let answer = Pin::new(&mut self.answer).poll(context);
        answer.map(|answer| {
            self.is_answered = true;
            // The sender was dropped without an answer because the broker ended.
            let fallback = self.fallback.take();
            let fallback = fallback.unwrap_or(Answer::Failed(Failure::ShuttingDown));
            let mut answer = answer.unwrap_or(fallback);
            self.record_disposition(&mut answer);
            answer
        })
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        let Some(broker) = self.broker.take().filter(|_| !self.is_answered) else {
            return;
        };
        // Cancelled at once: the broker may decide on thousands of messages before it receives `ClientLeft`.
        self.cancel_token.cancel();
        // The client's session task may be ending, so a separate task waits while the mailbox is full.
        if let Err(send_error) = broker.try_send(BrokerMessage::ClientLeft(self.request)) {
            let message = send_error.into_inner();
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move { broker.send(message).await });
            }
        }
    }
}
