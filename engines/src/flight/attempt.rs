//! One attempt at an engine that speaks Flight SQL: its calls, how it ends, and the pages of its result.

use super::connection::{Client, client};
use super::{ABORT_ACTION, NOT_RUN_METADATA, PendingChannel, WORK_MS_METADATA};
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::sql::{CommandStatementQuery, ProstMessageExt};
use arrow_flight::{Action, CancelFlightInfoRequest, FlightDescriptor, FlightInfo, Ticket};
use futures::{StreamExt, TryStreamExt};
use prost::Message;
use sedgebeam_arrow as arrow;
use sedgebeam_core::{Micros, Note};
use sedgebeam_operation::Metrics;
use sedgebeam_port::{Attempt, AttemptResult, EngineReport, EngineReporter, Page, PageRequest};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tonic::{Code, Request, Status};

/// The delay after the first poll; it doubles with each poll. It starts short because most queries are short.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(10);
const MAX_POLL_DELAY: Duration = Duration::from_millis(500);

/// How an attempt ended, according to its error.
fn result_of_error(status: &Status) -> AttemptResult {
    let not_run = status.metadata().contains_key(NOT_RUN_METADATA);
    match status.code() {
        // The channel lost its connection earlier and could not reconnect.
        Code::Unavailable if is_connect_error(status) => AttemptResult::ConnectFailed,
        Code::ResourceExhausted if not_run => AttemptResult::Busy,
        _ if not_run => AttemptResult::NotRun,
        Code::Unavailable => AttemptResult::Reset,
        _ => AttemptResult::Error,
    }
}

fn is_connect_error(status: &Status) -> bool {
    let first_cause = std::error::Error::source(status);
    let mut causes = std::iter::successors(first_cause, |cause| cause.source());
    causes.any(|cause| cause.is::<tonic::ConnectError>())
}

/// Runs one attempt, from waiting for its connection to serving the last page of its result.
pub(super) struct AttemptTask {
    pub(super) attempt: Attempt,
    pub(super) endpoint: String,
    pub(super) reporter: EngineReporter,
    pub(super) metrics: Metrics,
}

impl AttemptTask {
    /// Runs the attempt and returns whether its connection is broken.
    pub(super) async fn run(
        self,
        channel: PendingChannel,
        page_requests: mpsc::Receiver<PageRequest>,
    ) -> bool {
        let (request_id, attempt_no) = (self.attempt.request, self.attempt.attempt_no);
        let Some(channel) = channel.await else {
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
                self.metrics.count_forwards(1);
                self.serve_pages(stream, work, page_requests).await;
                false
            }
            Err(status) => {
                log::debug!("{}: an attempt failed: {status}", self.endpoint);
                let result = result_of_error(&status);
                let is_connection_broken =
                    matches!(result, AttemptResult::Reset | AttemptResult::ConnectFailed);
                if result != AttemptResult::ConnectFailed {
                    self.metrics.count_forwards(1);
                }
                self.reporter
                    .attempt_ended(request_id, attempt_no, result)
                    .await;
                is_connection_broken
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

    /// Runs the statement; returns the stream of its result, and the work that the engine reported.
    async fn execute(
        &self,
        mut client: Client,
    ) -> Result<(FlightRecordBatchStream, Option<Micros>), Status> {
        let query = String::from_utf8(self.attempt.statement.to_vec())
            .map_err(|_| Status::invalid_argument("the statement is not valid UTF-8"))?;
        let command = CommandStatementQuery {
            query,
            transaction_id: None,
        };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let info = self.poll_until_ready(&mut client, descriptor).await?;
        let mut guard = CancelOnDrop(Some((client.clone(), cancel_action(info.clone()))));
        let response = client
            .do_get(self.with_metadata(single_ticket(info)?))
            .await?;
        let work_ms = response.metadata().get(WORK_MS_METADATA);
        let work_ms = work_ms.and_then(|work_ms| work_ms.to_str().ok()?.parse::<f64>().ok());
        let data = response.into_inner().map_err(Into::into);
        let stream = FlightRecordBatchStream::new_from_flight_data(data);
        // From here on, dropping the stream cancels the call at the engine.
        guard.0 = None;
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
    ) -> Result<FlightInfo, Status> {
        let missing_info = || Status::internal("the engine answered a poll without flight info");
        let (mut next_descriptor, mut delay) = (descriptor.clone(), FIRST_POLL_DELAY);
        // The engine may run the statement from the first poll on, before any response contains the flight info that
        // CancelFlightInfo needs.
        let abort_action = || Action::new(ABORT_ACTION, format!("{:016x}", self.attempt.request.0));
        let mut guard = CancelOnDrop(Some((client.clone(), abort_action())));
        loop {
            let poll = match client
                .poll_flight_info(self.with_metadata(next_descriptor))
                .await
            {
                Ok(poll) => poll.into_inner(),
                Err(status) if status.code() == Code::Unimplemented => {
                    let info = client.get_flight_info(self.with_metadata(descriptor)).await;
                    guard.0 = None;
                    return Ok(info?.into_inner());
                }
                Err(status) => {
                    guard.0 = None;
                    return Err(status);
                }
            };
            let Some(following_descriptor) = poll.flight_descriptor else {
                guard.0 = None;
                return poll.info.ok_or_else(missing_info);
            };
            let action = poll.info.map_or_else(abort_action, cancel_action);
            guard.0 = Some((client.clone(), action));
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
struct CancelOnDrop(Option<(Client, Action)>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some((mut client, action)) = self.0.take() else {
            return;
        };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            // Best effort: the engine also sees the call cancelled, or ends the attempt at its time limit.
            runtime.spawn(async move { client.do_action(action).await.map(drop) });
        }
    }
}
