//! The Arrow Flight SQL front.
//!
//! GetFlightInfo parses a statement and issues a ticket; DoGet redeems the ticket, once, and runs the statement. The
//! request's fields are in a comment ahead of the statement, as on the PostgreSQL front, or in the call's metadata.

mod tickets;

use super::retry_delay::RetryDelay;
use super::{FrontContext, failure_message, statement};
use arrow_array::RecordBatch;
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::server::{FlightSqlService, PeekableFlightDataStream};
use arrow_flight::sql::{
    ActionCancelQueryRequest, ActionCancelQueryResult, CommandStatementQuery,
    CommandStatementUpdate, ProstMessageExt, SqlInfo, TicketStatementQuery,
};
use arrow_flight::{
    Action, CancelFlightInfoRequest, CancelFlightInfoResult, CancelStatus, FlightDescriptor,
    FlightEndpoint, FlightInfo, Ticket,
};
use bytes::Bytes;
use futures::stream::{self, Stream, TryStreamExt};
use prost::Message;
use sedgebeam_arrow as arrow;
use sedgebeam_port::{Answer, Failure, NewRequest, ResultLost, ResultPages, supervise};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tickets::{RedeemError, TicketState, TicketTable};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;
use tonic::metadata::MetadataMap;
use tonic::{Code, Request, Response, Status};
use tonic_types::{ErrorDetails, StatusExt};

/// Bound on the size of one gRPC message from a client.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// The prefix of the metadata keys that carry request fields.
const FIELD_KEY_PREFIX: &str = "sedgebeam-";
/// The type of the action that cancels a ticket.
const CANCEL_FLIGHT_INFO: &str = "CancelFlightInfo";

type FlightStream = <Front as FlightService>::DoGetStream;

/// The Flight SQL service; clones share one table of tickets.
#[derive(Clone)]
pub struct Front {
    front_context: FrontContext,
    ticket_table: Arc<Mutex<TicketTable>>,
}

impl Front {
    /// Each worker must serve a clone of one front, so that a ticket can be redeemed on any worker. Ticket numbers
    /// continue from `seed`.
    pub fn new(front_context: FrontContext, seed: u64) -> Front {
        Front {
            front_context,
            ticket_table: Arc::new(Mutex::new(TicketTable::new(seed))),
        }
    }

    /// The gRPC service for a tonic server.
    pub fn service(&self) -> FlightServiceServer<Front> {
        FlightServiceServer::new(self.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }
}

fn invalid_argument(message: impl Into<String>) -> Status {
    Status::invalid_argument(message)
}

/// The timeout of the call, from the gRPC header `grpc-timeout`.
fn call_timeout(metadata: &MetadataMap) -> Option<Duration> {
    let text = metadata.get("grpc-timeout")?.to_str().ok()?;
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: u64 = number.parse().ok()?;
    Some(match unit {
        "H" => Duration::from_secs(number.checked_mul(3600)?),
        "M" => Duration::from_secs(number.checked_mul(60)?),
        "S" => Duration::from_secs(number),
        "m" => Duration::from_millis(number),
        "u" => Duration::from_micros(number),
        "n" => Duration::from_nanos(number),
        _ => return None,
    })
}

/// The status of a request that did not run, with a retry delay if one is suggested.
fn refused_status(retry_delay: Option<RetryDelay>) -> Status {
    let message = "too busy to run the statement; it did not run";
    let Some(retry_delay) = retry_delay else {
        return Status::resource_exhausted(message);
    };
    let details = ErrorDetails::with_retry_info(Some(retry_delay.as_duration()));
    Status::with_error_details(Code::ResourceExhausted, message, details)
}

fn failure_status(failure: Failure) -> Status {
    let code = match failure {
        // The statement may have run: the code must not tell clients that a retry is safe.
        Failure::OutcomeUnknown | Failure::ShuttingDown => Code::Aborted,
        Failure::Cancelled => Code::Cancelled,
        Failure::DuplicateId => Code::AlreadyExists,
        Failure::UnknownTenant => Code::InvalidArgument,
    };
    Status::new(code, failure_message(failure))
}

impl Front {
    fn ticket_table(&self) -> MutexGuard<'_, TicketTable> {
        // No code panics while the lock is held; if it did, the table would still be consistent.
        self.ticket_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Parses the request of a call that was received just now.
    fn parse_request(&self, query: String, metadata: &MetadataMap) -> Result<NewRequest, Status> {
        let received_at = Instant::now();
        let text = Bytes::from(query);
        let runtime_settings = self.front_context.router.runtime_settings();
        let names = &runtime_settings.names;
        let has_fields_in_comment = std::str::from_utf8(&text).is_ok_and(statement::has_fields);
        let request = if has_fields_in_comment {
            statement::parse(&text, received_at, names, None)
        } else {
            let field = |name: &str| {
                metadata
                    .get(format!("{FIELD_KEY_PREFIX}{name}"))?
                    .to_str()
                    .ok()
            };
            statement::build_request(field, text.clone(), received_at, names, None)
        };
        let mut request =
            request.map_err(|statement::InvalidStatement(message)| invalid_argument(message))?;
        if let Some(timeout) = call_timeout(metadata) {
            request.deadline = request.deadline.min(received_at + timeout);
        }
        Ok(request)
    }

    /// Stores a request under a new ticket, whose number is returned.
    fn issue_ticket(&self, request: NewRequest) -> Result<u64, Status> {
        let number = self.ticket_table().issue(request, Instant::now());
        number.ok_or_else(|| {
            let runtime_settings = self.front_context.router.runtime_settings();
            refused_status(RetryDelay::default_for(&runtime_settings.settings))
        })
    }

    /// Returns the request of a ticket, only once: a second DoGet must not run it again.
    fn redeem(&self, handle: &[u8]) -> Result<(NewRequest, RedeemedTicket), Status> {
        let number = ticket_number(handle)?;
        let redeemed = self.ticket_table().redeem(number);
        let request = redeemed.map_err(|error| match error {
            RedeemError::Unknown => Status::not_found("this ticket was never given, or is over"),
            RedeemError::Redeemed => {
                Status::failed_precondition("this ticket has been redeemed already")
            }
        })?;
        let ticket = RedeemedTicket {
            front: self.clone(),
            number,
            cancel_token: request.cancel_token.clone(),
        };
        Ok((request, ticket))
    }

    /// Cancels the request of a ticket, whether it has been redeemed or not.
    fn cancel(&self, info: &FlightInfo) -> Result<(), Status> {
        let ticket = info
            .endpoint
            .first()
            .and_then(|endpoint| endpoint.ticket.as_ref());
        let ticket = ticket.ok_or_else(|| invalid_argument("flight info without a ticket"))?;
        let any = arrow_flight::sql::Any::decode(&*ticket.ticket);
        let query = any
            .ok()
            .and_then(|any| any.unpack::<TicketStatementQuery>().ok().flatten());
        let query = query.ok_or_else(|| invalid_argument("a ticket that was not given here"))?;
        let number = ticket_number(&query.statement_handle)?;
        let state = self.ticket_table().remove(number);
        match state.ok_or_else(|| Status::not_found("this ticket is over"))? {
            TicketState::Issued(_) => {}
            TicketState::Redeemed(cancel_token, _) => cancel_token.cancel(),
        }
        Ok(())
    }

    /// Submits a request and waits for its answer. Dropping the future meanwhile cancels the request.
    async fn run_request(
        &self,
        request: NewRequest,
        cancel_token: &CancellationToken,
    ) -> Result<ResultPages, Status> {
        let pending = self.front_context.router.submit(request).await;
        let answer = tokio::select! {
            answer = pending => answer,
            () = cancel_token.cancelled() => return Err(failure_status(Failure::Cancelled)),
        };
        match answer {
            Answer::Rows(result) => Ok(result),
            Answer::Refused { retry_after } => Err(refused_status(RetryDelay::new(retry_after))),
            Answer::Failed(failure) => Err(failure_status(failure)),
        }
    }
}

fn ticket_number(handle: &[u8]) -> Result<u64, Status> {
    let handle = handle
        .try_into()
        .map_err(|_| invalid_argument("a ticket that was not given here"))?;
    Ok(u64::from_be_bytes(handle))
}

/// A ticket whose call has not ended. Dropping it removes the ticket from the table.
struct RedeemedTicket {
    front: Front,
    number: u64,
    cancel_token: CancellationToken,
}

impl Drop for RedeemedTicket {
    fn drop(&mut self) {
        self.front.ticket_table().remove(self.number);
    }
}

type BatchResult = Result<RecordBatch, FlightError>;

/// The status that ends a stream whose client has not read the complete result before its deadline.
fn deadline_exceeded() -> Status {
    Status::deadline_exceeded("the result was not taken before its deadline")
}

/// Streams a result to the client page by page, until the request's deadline. Only a complete result ends without an
/// error.
fn stream_result(result: ResultPages, ticket: RedeemedTicket) -> impl Stream<Item = BatchResult> {
    let (sender, receiver) = mpsc::channel(1);
    let task = read_pages(result, ticket, sender);
    supervise::spawn_supervised("the reader of a Flight SQL result".to_string(), task, || {});
    stream::unfold(Some(receiver), |receiver| async {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Ok(Some(batch))) => Some((Ok(batch), Some(receiver))),
            Some(Ok(None)) => None,
            Some(Err(status)) => Some((Err(status.into()), None)),
            // The reader reached the deadline while it waited for the client.
            None => Some((Err(deadline_exceeded().into()), None)),
        }
    })
}

/// Reads the pages of a result as the client reads them, and sends `None` after the last one.
async fn read_pages(
    mut result: ResultPages,
    ticket: RedeemedTicket,
    batches: mpsc::Sender<Result<Option<RecordBatch>, Status>>,
) {
    let deadline = result.deadline();
    loop {
        let next_batch = tokio::select! {
            biased;
            () = batches.closed() => return,
            () = ticket.cancel_token.cancelled() => Err(failure_status(Failure::Cancelled)),
            page = result.next() => match page {
                Ok(page) => page.as_ref().map(arrow::page_to_batch).transpose(),
                Err(ResultLost) => Err(result_lost()),
            },
        };
        let has_more_pages = matches!(next_batch, Ok(Some(_)));
        let send_result = timeout_at(deadline, batches.send(next_batch)).await;
        if !has_more_pages || !matches!(send_result, Ok(Ok(()))) {
            return;
        }
    }
}

/// The status of a result whose further pages can't be fetched.
fn result_lost() -> Status {
    Status::data_loss("the rest of the result was lost with its engine")
}

#[tonic::async_trait]
impl FlightSqlService for Front {
    type FlightService = Front;

    async fn get_flight_info_statement(
        &self,
        query: CommandStatementQuery,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let new_request = self.parse_request(query.query, request.metadata())?;
        let number = self.issue_ticket(new_request)?;
        let ticket = TicketStatementQuery {
            statement_handle: Bytes::copy_from_slice(&number.to_be_bytes()),
        };
        let ticket = Ticket::new(ticket.as_any().encode_to_vec());
        let info = FlightInfo::new()
            .try_with_schema(&arrow::schema())
            .map_err(|error| Status::internal(error.to_string()))?
            .with_endpoint(FlightEndpoint::new().with_ticket(ticket))
            .with_descriptor(request.into_inner());
        Ok(Response::new(info))
    }

    async fn do_get_statement(
        &self,
        ticket: TicketStatementQuery,
        request: Request<Ticket>,
    ) -> Result<Response<FlightStream>, Status> {
        let (mut new_request, redeemed) = self.redeem(&ticket.statement_handle)?;
        if let Some(timeout) = call_timeout(request.metadata()) {
            new_request.deadline = new_request.deadline.min(Instant::now() + timeout);
        }
        let result = self
            .run_request(new_request, &redeemed.cancel_token)
            .await?;
        let encoder = FlightDataEncoderBuilder::new().with_schema(arrow::schema());
        let data = encoder
            .build(stream_result(result, redeemed))
            .map_err(Status::from);
        Ok(Response::new(Box::pin(data)))
    }

    async fn do_put_statement_update(
        &self,
        update: CommandStatementUpdate,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        let new_request = self.parse_request(update.query, request.metadata())?;
        let cancel_token = new_request.cancel_token.clone();
        let mut result = self.run_request(new_request, &cancel_token).await?;
        let mut row_count = 0;
        while let Some(page) = result.next().await.map_err(|ResultLost| result_lost())? {
            row_count += page.rows.iter().filter(|byte| **byte == b'\n').count();
        }
        Ok(row_count as i64)
    }

    async fn do_action_cancel_query(
        &self,
        query: ActionCancelQueryRequest,
        _request: Request<Action>,
    ) -> Result<ActionCancelQueryResult, Status> {
        let info =
            FlightInfo::decode(query.info).map_err(|error| invalid_argument(error.to_string()))?;
        self.cancel(&info)?;
        Ok(ActionCancelQueryResult {
            result: CancelStatus::Cancelled as i32,
        })
    }

    async fn do_action_fallback(
        &self,
        request: Request<Action>,
    ) -> Result<Response<<Self as FlightService>::DoActionStream>, Status> {
        let action = request.into_inner();
        if action.r#type != CANCEL_FLIGHT_INFO {
            return Err(invalid_argument(format!(
                "no action {:?} here",
                action.r#type
            )));
        }
        let request = CancelFlightInfoRequest::decode(action.body)
            .map_err(|error| invalid_argument(error.to_string()))?;
        let info = request
            .info
            .ok_or_else(|| invalid_argument("no flight info"))?;
        self.cancel(&info)?;
        let result = CancelFlightInfoResult {
            status: CancelStatus::Cancelled as i32,
        };
        let result = arrow_flight::Result::new(result.encode_to_vec());
        Ok(Response::new(Box::pin(stream::iter([Ok(result)]))))
    }

    async fn register_sql_info(&self, _id: i32, _result: &SqlInfo) {}
}

#[cfg(test)]
mod tests;
