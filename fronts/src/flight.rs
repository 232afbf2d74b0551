//! The Arrow Flight SQL front.
//!
//! GetFlightInfo checks a statement and gives a ticket that is good once; DoGet runs it. The fields stand
//! in a comment ahead of the statement, as on the other front, or else in the call's metadata.

use super::advice::RetryAdvice;
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
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;
use tonic::metadata::MetadataMap;
use tonic::{Code, Request, Response, Status};
use tonic_types::{ErrorDetails, StatusExt};

/// The longest message that a client may send.
const MOST_MESSAGE: usize = 256 * 1024;
/// Tickets that may be out at once.
const MOST_TICKETS: usize = 4096;
/// Metadata of the fields starts with this.
const PREFIX: &str = "sedgebeam-";
const CANCEL_FLIGHT_INFO: &str = "CancelFlightInfo";

type FlightStream = <Front as FlightService>::DoGetStream;

/// What a ticket stands for.
enum Held {
    /// Not redeemed yet.
    Ready(Box<NewRequest>),
    /// Redeemed: its token calls it off.
    Running(CancellationToken, Instant),
}

/// Tickets that are out, by their number.
#[derive(Default)]
struct Tickets {
    held: HashMap<u64, Held>,
    next: u64,
}

impl Tickets {
    fn forget_old(&mut self, now: Instant) {
        self.held.retain(|_, held| match held {
            Held::Ready(request) => now < request.deadline,
            Held::Running(_, deadline) => now < *deadline,
        });
    }
}

#[derive(Clone)]
pub struct Front {
    shared: FrontContext,
    tickets: Arc<Mutex<Tickets>>,
}

impl Front {
    /// One front, of which each worker serves a clone: a ticket is good at all of them.
    pub fn new(shared: FrontContext, seed: u64) -> Front {
        let tickets = Tickets {
            next: seed,
            ..Tickets::default()
        };
        Front {
            shared,
            tickets: Arc::new(Mutex::new(tickets)),
        }
    }

    /// The service for connections.
    pub fn service(&self) -> FlightServiceServer<Front> {
        FlightServiceServer::new(self.clone()).max_decoding_message_size(MOST_MESSAGE)
    }
}

fn invalid(why: impl Into<String>) -> Status {
    Status::invalid_argument(why)
}

/// The time that the call itself allows, from the header of gRPC.
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

/// Says that nothing ran, and where there is advice when to come back.
fn refused(advice: Option<RetryAdvice>) -> Status {
    let message = "too busy to run the statement; it did not run";
    let Some(advice) = advice else {
        return Status::resource_exhausted(message);
    };
    let details = ErrorDetails::with_retry_info(Some(advice.duration()));
    Status::with_error_details(Code::ResourceExhausted, message, details)
}

fn failed(failure: Failure) -> Status {
    let code = match failure {
        // It may have run: a client must not take it for harmless to repeat.
        Failure::OutcomeUnknown | Failure::ShuttingDown => Code::Aborted,
        Failure::Cancelled => Code::Cancelled,
        Failure::DuplicateId => Code::AlreadyExists,
        Failure::UnknownTenant => Code::InvalidArgument,
    };
    Status::new(code, failure_message(failure))
}

impl Front {
    fn tickets(&self) -> MutexGuard<'_, Tickets> {
        // Nothing panics while it is held; what it holds would be whole all the same.
        self.tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads a statement whose call has just come.
    fn read(&self, query: String, metadata: &MetadataMap) -> Result<NewRequest, Status> {
        let came = Instant::now();
        let text = Bytes::from(query);
        let tuning = self.shared.router.runtime_settings();
        let names = &tuning.names;
        let told = std::str::from_utf8(&text).is_ok_and(statement::has_fields);
        let request = if told {
            statement::parse(&text, came, names, None)
        } else {
            let field = |name: &str| metadata.get(format!("{PREFIX}{name}"))?.to_str().ok();
            statement::build_request(field, text.clone(), came, names, None)
        };
        let mut request = request.map_err(|statement::InvalidStatement(why)| invalid(why))?;
        if let Some(limit) = call_timeout(metadata) {
            request.deadline = request.deadline.min(came + limit);
        }
        Ok(request)
    }

    /// Holds a request under a new ticket.
    fn hold(&self, request: NewRequest) -> Result<u64, Status> {
        let mut tickets = self.tickets();
        if tickets.held.len() >= MOST_TICKETS {
            tickets.forget_old(Instant::now());
        }
        if tickets.held.len() >= MOST_TICKETS {
            let tuning = self.shared.router.runtime_settings();
            return Err(refused(RetryAdvice::usual(&tuning.settings)));
        }
        tickets.next = tickets.next.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let number = tickets.next;
        tickets.held.insert(number, Held::Ready(Box::new(request)));
        Ok(number)
    }

    /// Takes the request of a ticket, once: a second DoGet must not run it again.
    fn redeem(&self, handle: &[u8]) -> Result<(NewRequest, Running), Status> {
        let number = number(handle)?;
        let mut tickets = self.tickets();
        let unknown = || Status::not_found("this ticket was never given, or is over");
        match tickets.held.remove(&number).ok_or_else(unknown)? {
            Held::Ready(request) => {
                let token = request.cancel_token.clone();
                let running = Held::Running(token.clone(), request.deadline);
                tickets.held.insert(number, running);
                let running = Running {
                    front: self.clone(),
                    number,
                    token,
                };
                Ok((*request, running))
            }
            running => {
                tickets.held.insert(number, running);
                Err(Status::failed_precondition(
                    "this ticket has been redeemed already",
                ))
            }
        }
    }

    /// Calls off what a ticket stands for.
    fn cancel(&self, info: &FlightInfo) -> Result<(), Status> {
        let ticket = info
            .endpoint
            .first()
            .and_then(|endpoint| endpoint.ticket.as_ref());
        let ticket = ticket.ok_or_else(|| invalid("flight info without a ticket"))?;
        let any = arrow_flight::sql::Any::decode(&*ticket.ticket);
        let query = any
            .ok()
            .and_then(|any| any.unpack::<TicketStatementQuery>().ok().flatten());
        let query = query.ok_or_else(|| invalid("a ticket that was not given here"))?;
        let number = number(&query.statement_handle)?;
        let held = self.tickets().held.remove(&number);
        match held.ok_or_else(|| Status::not_found("this ticket is over"))? {
            Held::Ready(_) => {}
            Held::Running(token, _) => token.cancel(),
        }
        Ok(())
    }

    /// Runs a request to its answer. A call that is dropped meanwhile leaves the broker.
    async fn answer(
        &self,
        request: NewRequest,
        token: &CancellationToken,
    ) -> Result<ResultPages, Status> {
        let pending = self.shared.router.submit(request).await;
        let answer = tokio::select! {
            answer = pending => answer,
            () = token.cancelled() => return Err(failed(Failure::Cancelled)),
        };
        match answer {
            Answer::Rows(delivery) => Ok(delivery),
            Answer::Refused { retry_after } => Err(refused(RetryAdvice::new(retry_after))),
            Answer::Failed(failure) => Err(failed(failure)),
        }
    }
}

fn number(handle: &[u8]) -> Result<u64, Status> {
    let handle = handle
        .try_into()
        .map_err(|_| invalid("a ticket that was not given here"))?;
    Ok(u64::from_be_bytes(handle))
}

/// A ticket under way, forgotten when its call ends.
struct Running {
    front: Front,
    number: u64,
    token: CancellationToken,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.front.tickets().held.remove(&self.number);
    }
}

type Batch = Result<RecordBatch, FlightError>;

/// What a stream ends with that its client has not taken whole in time.
fn unfinished() -> Status {
    Status::deadline_exceeded("the result was not taken before its deadline")
}

/// Passes a result on, page by page as the client takes them, until its deadline. Only a whole result ends
/// without an error.
fn pass(delivery: ResultPages, running: Running) -> impl Stream<Item = Batch> {
    let (pages, taken) = mpsc::channel(1);
    let task = read_pages(delivery, running, pages);
    supervise::spawn_supervised("a Flight SQL result".to_string(), task, || {});
    stream::unfold(Some(taken), |taken| async {
        let mut taken = taken?;
        match taken.recv().await {
            Some(Ok(Some(batch))) => Some((Ok(batch), Some(taken))),
            Some(Ok(None)) => None,
            Some(Err(status)) => Some((Err(status.into()), None)),
            // Its reader gave up waiting for the client.
            None => Some((Err(unfinished().into()), None)),
        }
    })
}

/// Reads the pages of a result as their batches are taken; `None` stands for its end.
async fn read_pages(
    mut delivery: ResultPages,
    running: Running,
    pages: mpsc::Sender<Result<Option<RecordBatch>, Status>>,
) {
    let deadline = delivery.deadline();
    loop {
        let next = tokio::select! {
            biased;
            () = pages.closed() => return,
            () = running.token.cancelled() => Err(failed(Failure::Cancelled)),
            page = delivery.next() => match page {
                Ok(page) => page.as_ref().map(arrow::page_to_batch).transpose(),
                Err(ResultLost) => Err(lost()),
            },
        };
        let more = matches!(next, Ok(Some(_)));
        let sent = timeout_at(deadline, pages.send(next)).await;
        if !more || !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

fn lost() -> Status {
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
        let held = self.read(query.query, request.metadata())?;
        let number = self.hold(held)?;
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
        let (mut held, running) = self.redeem(&ticket.statement_handle)?;
        if let Some(limit) = call_timeout(request.metadata()) {
            held.deadline = held.deadline.min(Instant::now() + limit);
        }
        let delivery = self.answer(held, &running.token).await?;
        let encoder = FlightDataEncoderBuilder::new().with_schema(arrow::schema());
        let data = encoder.build(pass(delivery, running)).map_err(Status::from);
        Ok(Response::new(Box::pin(data)))
    }

    async fn do_put_statement_update(
        &self,
        update: CommandStatementUpdate,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        let held = self.read(update.query, request.metadata())?;
        let cancelled = held.cancel_token.clone();
        let mut delivery = self.answer(held, &cancelled).await?;
        let mut rows = 0;
        while let Some(page) = delivery.next().await.map_err(|ResultLost| lost())? {
            rows += page.rows.iter().filter(|byte| **byte == b'\n').count();
        }
        Ok(rows as i64)
    }

    async fn do_action_cancel_query(
        &self,
        query: ActionCancelQueryRequest,
        _request: Request<Action>,
    ) -> Result<ActionCancelQueryResult, Status> {
        let info = FlightInfo::decode(query.info).map_err(|error| invalid(error.to_string()))?;
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
            return Err(invalid(format!("no action {:?} here", action.r#type)));
        }
        let request = CancelFlightInfoRequest::decode(action.body)
            .map_err(|error| invalid(error.to_string()))?;
        let info = request.info.ok_or_else(|| invalid("no flight info"))?;
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
