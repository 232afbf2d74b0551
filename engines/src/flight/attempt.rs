//! One attempt at an engine that speaks Flight SQL: its calls, how it ends, and the pages of its result.

use super::connection::{Client, OpenChannel, client, is_unsent, open_channel};
use super::{ABORT_ACTION, NOT_RUN_METADATA, PendingChannel, WORK_MS_METADATA};
use crate::NetworkTransport;
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::sql::{CommandStatementQuery, ProstMessageExt};
use arrow_flight::{Action, CancelFlightInfoRequest, FlightDescriptor, FlightInfo, Ticket};
use futures::{StreamExt, TryStreamExt};
use prost::Message;
use sedgebeam_arrow as arrow;
use sedgebeam_core::{Micros, Note};
use sedgebeam_port::clock::to_duration;
use sedgebeam_port::{Attempt, AttemptResult, EngineReport, EngineReporter, Page, PageRequest};
use std::fmt;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tonic::{Code, Request, Response, Status};

/// The delay after the first poll; it doubles with each poll. It starts short because most queries are short.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(10);
const MAX_POLL_DELAY: Duration = Duration::from_millis(500);

/// Why a statement has no result.
enum StatementError {
    /// Its first call was not sent, because the connection had closed: the statement has not begun.
    Unsent,
    /// The engine or the connection failed once the first call was sent. The statement may have run unless the status
    /// carries [`NOT_RUN_METADATA`].
    Failed(Status),
}

impl From<Status> for StatementError {
    fn from(status: Status) -> StatementError {
        StatementError::Failed(status)
    }
}

impl fmt::Display for StatementError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StatementError::Unsent => formatter.write_str("its connection had closed"),
            StatementError::Failed(status) => status.fmt(formatter),
        }
    }
}

impl StatementError {
    /// The error of a call before which nothing of the statement was sent.
    fn of_first_call(status: Status) -> StatementError {
        if is_unsent(&status) {
            StatementError::Unsent
        } else {
            StatementError::Failed(status)
        }
    }

    fn attempt_result(&self) -> AttemptResult {
        match self {
            // The engine is not at fault: it may close connections that are idle.
            StatementError::Unsent => AttemptResult::NotRun,
            StatementError::Failed(status) => result_of_error(status),
        }
    }

    fn is_connection_broken(&self) -> bool {
        match self {
            StatementError::Unsent => true,
            StatementError::Failed(status) => result_of_error(status) == AttemptResult::Reset,
        }
    }
}

/// How an attempt ended whose first call was sent, according to the error of a call.
fn result_of_error(status: &Status) -> AttemptResult {
    let not_run = status.metadata().contains_key(NOT_RUN_METADATA);
    match status.code() {
        Code::ResourceExhausted if not_run => AttemptResult::Busy,
        _ if not_run => AttemptResult::NotRun,
        Code::Unavailable => AttemptResult::Reset,
        _ => AttemptResult::Error,
    }
}

/// Runs one attempt, from waiting for its connection to serving the last page of its result.
pub(super) struct AttemptTask {
    pub(super) attempt: Attempt,
    pub(super) endpoint: String,
    pub(super) reporter: EngineReporter,
    pub(super) transport: NetworkTransport,
}

impl AttemptTask {
    /// Runs the attempt and returns whether its connection is broken.
    pub(super) async fn run(
        self,
        channel: PendingChannel,
        page_requests: mpsc::Receiver<PageRequest>,
    ) -> bool {
        let (request_id, attempt_no) = (self.attempt.request, self.attempt.attempt_no);
        let Some(OpenChannel { channel, .. }) = channel.await else {
            self.reporter
                .attempt_ended(request_id, attempt_no, AttemptResult::ConnectFailed)
                .await;
            return true;
        };
        // The request may have ended while the connection was being made.
        if self.attempt.is_stale() {
            self.reporter
                .attempt_ended(request_id, attempt_no, AttemptResult::NotRun)
                .await;
            return false;
        }
        match self.execute(client(channel)).await {
            Ok((stream, work)) => {
                self.transport.metrics.count_forwards(1);
                self.serve_pages(stream, work, page_requests).await;
                false
            }
            Err(error) => {
                log::debug!("{}: an attempt failed: {error}", self.endpoint);
                if !matches!(error, StatementError::Unsent) {
                    self.transport.metrics.count_forwards(1);
                }
                self.reporter
                    .attempt_ended(request_id, attempt_no, error.attempt_result())
                    .await;
                error.is_connection_broken()
            }
        }
    }

    /// A call that carries the fields of the attempt as metadata.
    pub(super) fn with_metadata<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        let fields = [
            ("txn", format!("{:016x}", self.attempt.request.0)),
            ("kind", self.attempt.class.to_string()),
            ("rank", self.attempt.priority.to_string()),
            ("ms", self.attempt.remaining_ms().to_string()),
        ];
        let grant = self.attempt.memory_grant_mb;
        let grant = grant.map(|memory_mb| ("grant", memory_mb.to_string()));
        let client_fields = self
            .attempt
            .wire_fields()
            .map(|(name, value)| (name, value.to_string()));
        for (name, value) in fields.into_iter().chain(grant).chain(client_fields) {
            // Values that are not valid in a header are omitted; the name of a class may be one.
            if let Ok(value) = value.parse() {
                request.metadata_mut().insert(name, value);
            }
        }
        request
    }

    fn cancel_on_drop(&self, client: &Client, action: Action) -> CancelOnDrop<'_> {
        CancelOnDrop {
            task: self,
            client: client.clone(),
            action: Some(action),
        }
    }

    /// Runs the statement; returns the stream of its result, and the work that the engine reported.
    async fn execute(
        &self,
        mut client: Client,
    ) -> Result<(FlightRecordBatchStream, Option<Micros>), StatementError> {
        let query = String::from_utf8(self.attempt.statement.to_vec())
            .map_err(|_| Status::invalid_argument("the statement is not valid UTF-8"))?;
        let command = CommandStatementQuery {
            query,
            transaction_id: None,
        };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let info = self.poll_until_ready(&mut client, descriptor).await?;
        let mut guard = self.cancel_on_drop(&client, cancel_action(info.clone()));
        let response = client
            .do_get(self.with_metadata(single_ticket(info)?))
            .await?;
        let work_ms = response.metadata().get(WORK_MS_METADATA);
        let work_ms = work_ms.and_then(|work_ms| work_ms.to_str().ok()?.parse::<f64>().ok());
        let data = response.into_inner().map_err(Into::into);
        let stream = FlightRecordBatchStream::new_from_flight_data(data);
        // From here on, dropping the stream cancels the call at the engine.
        guard.action = None;
        Ok((
            stream,
            work_ms.map(|work_ms| Micros::from_millis(work_ms as u64)),
        ))
    }

    /// Polls the statement until its result is ready, and reports its progress to the broker.
    async fn poll_until_ready(
        &self,
        client: &mut Client,
        descriptor: FlightDescriptor,
    ) -> Result<FlightInfo, StatementError> {
        let missing_info = || Status::internal("the engine answered a poll without flight info");
        let (mut next_descriptor, mut delay) = (descriptor.clone(), FIRST_POLL_DELAY);
        let mut is_first_poll = true;
        // The engine may run the statement from the first poll on, before any response contains the flight info that
        // CancelFlightInfo needs.
        let abort_action = || Action::new(ABORT_ACTION, format!("{:016x}", self.attempt.request.0));
        let mut guard = self.cancel_on_drop(client, abort_action());
        loop {
            let poll = match client
                .poll_flight_info(self.with_metadata(next_descriptor))
                .await
            {
                Ok(poll) => poll.into_inner(),
                Err(status) if is_first_poll && status.code() == Code::Unimplemented => {
                    let info = client.get_flight_info(self.with_metadata(descriptor)).await;
                    guard.action = None;
                    return info
                        .map(Response::into_inner)
                        .map_err(StatementError::of_first_call);
                }
                Err(status) => {
                    guard.action = None;
                    return Err(if is_first_poll {
                        StatementError::of_first_call(status)
                    } else {
                        StatementError::Failed(status)
                    });
                }
            };
            is_first_poll = false;
            let Some(following_descriptor) = poll.flight_descriptor else {
                guard.action = None;
                return Ok(poll.info.ok_or_else(missing_info)?);
            };
            let action = poll.info.map_or_else(abort_action, cancel_action);
            guard.action = Some(action);
            let note = Note::Progress(poll.progress.unwrap_or_default().clamp(0.0, 1.0));
            let (request_id, attempt_no) = (self.attempt.request, self.attempt.attempt_no);
            self.reporter
                .send(EngineReport::Note(request_id, attempt_no, note))
                .await;
            sleep(delay).await;
            (next_descriptor, delay) = (following_descriptor, (delay * 2).min(MAX_POLL_DELAY));
        }
    }

    /// Reports the first page and serves the others on request.
    async fn serve_pages(
        &self,
        mut stream: FlightRecordBatchStream,
        work: Option<Micros>,
        mut page_requests: mpsc::Receiver<PageRequest>,
    ) {
        let (request_id, attempt_no) = (self.attempt.request, self.attempt.attempt_no);
        let result = match next_page(&mut stream).await {
            Ok(page) => AttemptResult::Ok {
                page,
                work,
                load: None,
            },
            Err(status) => result_of_error(&status),
        };
        let has_more_pages = matches!(&result, AttemptResult::Ok { page, .. } if !page.is_last);
        self.reporter
            .attempt_ended(request_id, attempt_no, result)
            .await;
        while has_more_pages && let Some(page_request) = page_requests.recv().await {
            let page = match next_page(&mut stream).await {
                Ok(page) => page,
                Err(status) => {
                    log::info!("{}: reading a further page failed: {status}", self.endpoint);
                    return;
                }
            };
            let is_last = page.is_last;
            // A reader that dropped its end of the reply channel asks for no further pages.
            if page_request.reply.send(page).is_err() || is_last {
                return;
            }
        }
    }
}

/// The ticket of a result, which must have exactly one endpoint.
fn single_ticket(info: FlightInfo) -> Result<Ticket, Status> {
    let mut endpoints = info.endpoint.into_iter();
    let ticket = endpoints.next().and_then(|endpoint| endpoint.ticket);
    match endpoints.next() {
        None => ticket.ok_or_else(|| Status::internal("the flight info has no ticket")),
        Some(_) => Err(Status::internal(
            "the flight info has more than one endpoint",
        )),
    }
}

/// The next page. The end of the stream is known only after the last rows, so an empty last page follows them.
async fn next_page(stream: &mut FlightRecordBatchStream) -> Result<Page, Status> {
    match stream.next().await {
        None => Ok(Page {
            rows: bytes::Bytes::new(),
            is_last: true,
        }),
        Some(Ok(batch)) => Ok(Page {
            rows: arrow::batch_to_rows(&batch)?,
            is_last: false,
        }),
        Some(Err(error)) => Err(error.into()),
    }
}

fn cancel_action(info: FlightInfo) -> Action {
    let request = CancelFlightInfoRequest { info: Some(info) };
    Action::new("CancelFlightInfo", request.encode_to_vec())
}

/// Sends the action to the engine when dropped, unless the action has been cleared.
struct CancelOnDrop<'task> {
    task: &'task AttemptTask,
    client: Client,
    action: Option<Action>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let Some(action) = self.action.take() else {
            return;
        };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            let (endpoint, transport) = (self.task.endpoint.clone(), self.task.transport.clone());
            runtime.spawn(send_cancel(
                self.client.clone(),
                action,
                endpoint,
                transport,
            ));
        }
    }
}

/// Sends the cancel of an attempt, over a new connection if that of the attempt has closed. Best effort: the engine also
/// sees the call cancelled, or ends the attempt at its time limit.
async fn send_cancel(
    mut client_of_attempt: Client,
    action: Action,
    endpoint: String,
    transport: NetworkTransport,
) {
    match client_of_attempt.do_action(action.clone()).await {
        Err(status) if is_unsent(&status) => {}
        _ => return,
    }
    let settings = *transport.connections.borrow();
    let Some(_slot) = transport.slots.try_acquire(settings.max_total) else {
        log::debug!("{endpoint}: no connection for the cancel of an attempt");
        return;
    };
    let connect_timeout = to_duration(settings.connect_timeout);
    if let Some(opened) = open_channel(endpoint, connect_timeout).await {
        let _ = client(opened.channel).do_action(action).await;
    }
}
