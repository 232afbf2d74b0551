//! A scripted engine that speaks Flight SQL, with the same commands as the RESP engine.
//!
//! The first poll of a statement gives the event `fetch` and is answered at once without progress; each later poll is
//! answered with the next reply of the script. A call that is dropped or cancelled gives the event `abort ID`.
//!
//! Ahead of the replies `NOTE-CLOSE SHARE` and `OK-CLOSE PARTS ROWS` their connection is told that it closes (GOAWAY), so
//! that no further call can be sent on it once they are received. The descriptor of a `NOTE-CLOSE` holds the statement
//! itself, so that polling with it elsewhere runs the statement again.
//! The command `refuse` closes the listener, and `disconnect` all connections.

use crate::engines::tab_separated_rows;
use crate::harness::PeerTask;
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::{Any, CommandStatementQuery};
use arrow_flight::{
    Action, ActionType, Criteria, Empty, FlightData, FlightDescriptor, FlightEndpoint, FlightInfo,
    HandshakeRequest, HandshakeResponse, PollInfo, PutResult, SchemaResult, Ticket,
};
use futures::stream::{self, BoxStream, StreamExt, TryStreamExt};
use prost::Message;
use sedgebeam_arrow as arrow;
use sedgebeam_engines::flight::{ABORT_ACTION, NOT_RUN_METADATA};
use sedgebeam_port::Page;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_util::sync::CancellationToken;
use tonic::{Request, Response, Status, Streaming};

/// Both ends of the queue of replies to a request.
type ReplyChannel = (UnboundedSender<String>, ReplyReceiver);
type ReplyReceiver = Arc<tokio::sync::Mutex<UnboundedReceiver<String>>>;

/// Far more turns of the scheduler than the tasks of a server need to write a frame.
const YIELDS_UNTIL_GOAWAY: usize = 100;

/// The service of one connection.
#[derive(Clone)]
struct Engine {
    events: UnboundedSender<String>,
    /// The queued replies by request id.
    replies: Arc<Mutex<HashMap<String, ReplyChannel>>>,
    /// The descriptor of the last statement that began.
    last_statement: Arc<Mutex<FlightDescriptor>>,
    /// Closes the connection once the calls in flight on it have been answered.
    close_connection: CancellationToken,
}

/// Reports a call that is dropped before it is complete.
struct TrackedCall {
    request_id: String,
    events: UnboundedSender<String>,
    is_complete: bool,
}

impl TrackedCall {
    fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for TrackedCall {
    fn drop(&mut self) {
        if !self.is_complete {
            let _ = self.events.send(format!("abort {}", self.request_id));
        }
    }
}

/// The runtime of one engine; its shutdown closes all connections of the engine.
struct EngineRuntime(Option<Runtime>);

impl Drop for EngineRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Accepts connections until `refuse` is cancelled; each is served until its token is cancelled, or that of
/// all connections that are open.
async fn accept_connections(
    listener: TcpListener,
    engine: Engine,
    refuse: CancellationToken,
    open_connections: Arc<Mutex<CancellationToken>>,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = refuse.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, _) = accepted.expect("a connection");
        let engine = Engine {
            close_connection: open_connections
                .lock()
                .expect("nothing panics here")
                .child_token(),
            ..engine.clone()
        };
        tokio::spawn(serve_connection(stream, engine));
    }
}

async fn serve_connection(connection: TcpStream, engine: Engine) {
    let close = engine.close_connection.clone();
    // The server ends with its incoming connections, so they never end here.
    let incoming = stream::iter([Ok::<_, std::io::Error>(connection)]).chain(stream::pending());
    let server = tonic::transport::Server::builder().add_service(FlightServiceServer::new(engine));
    let _ = server
        .serve_with_incoming_shutdown(incoming, close.cancelled())
        .await;
}

pub async fn run_flight_engine(listener: TcpListener, mut peer_task: PeerTask) {
    let engine = Engine {
        events: peer_task.events.clone(),
        replies: Arc::default(),
        last_statement: Arc::default(),
        close_connection: CancellationToken::new(),
    };
    let refuse = CancellationToken::new();
    let open_connections = Arc::new(Mutex::new(CancellationToken::new()));
    let listener = listener.into_std().expect("a listener");
    let engine_runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let (accepting_engine, stop_accepting) = (engine.clone(), refuse.clone());
    let connections_token = open_connections.clone();
    let accepting = engine_runtime.spawn(async move {
        let listener = TcpListener::from_std(listener).expect("a listener");
        accept_connections(
            listener,
            accepting_engine,
            stop_accepting,
            connections_token,
        )
        .await
    });
    let mut engine_runtime = EngineRuntime(Some(engine_runtime));
    let mut accepting = Some(accepting);
    while let Some(command) = peer_task.commands.recv().await {
        match command.as_str() {
            "close" => break,
            "refuse" => {
                refuse.cancel();
                if let Some(accepting) = accepting.take() {
                    accepting.await.expect("the listener closes");
                }
            }
            "disconnect" => {
                let mut open_connections = open_connections.lock().expect("nothing panics here");
                std::mem::take(&mut *open_connections).cancel();
            }
            _ => {
                let request_id = command.split(' ').next().unwrap_or_default().to_string();
                let _ = engine.reply_channel(&request_id).0.send(command);
            }
        }
    }
    let runtime = engine_runtime.0.take().expect("taken only here");
    // Waits until all tasks of the runtime have ended.
    let shutdown =
        tokio::task::spawn_blocking(|| runtime.shutdown_timeout(Duration::from_secs(30)));
    shutdown.await.expect("the runtime ends");
    let _ = peer_task.events.send("closed".to_string());
}

impl Engine {
    fn reply_channel(&self, request_id: &str) -> ReplyChannel {
        let mut replies = self.replies.lock().expect("nothing panics here");
        let (reply_sender, receiver) = replies.entry(request_id.to_string()).or_insert_with(|| {
            let (reply_sender, receiver) = unbounded_channel();
            (reply_sender, Arc::new(tokio::sync::Mutex::new(receiver)))
        });
        (reply_sender.clone(), receiver.clone())
    }

    /// Waits for the next reply to a request; returns its words after the id.
    async fn next_reply(&self, request_id: &str) -> Vec<String> {
        let receiver = self.reply_channel(request_id).1;
        let line = receiver.lock().await.recv().await.unwrap_or_default();
        line.split(' ').skip(1).map(str::to_string).collect()
    }

    /// Closes the connection for further calls; the calls in flight on it are still answered.
    async fn close_connection(&self) {
        self.close_connection.cancel();
        // The tasks of the server, which run on the same thread, write the GOAWAY frame ahead of any later reply.
        for _ in 0..YIELDS_UNTIL_GOAWAY {
            tokio::task::yield_now().await;
        }
    }

    /// Rejects a call on a connection that is being closed.
    fn check_open(&self) -> Result<(), Status> {
        if self.close_connection.is_cancelled() {
            return Err(Status::unavailable("the connection is closing"));
        }
        Ok(())
    }

    fn track_call(&self, request_id: &str) -> TrackedCall {
        TrackedCall {
            request_id: request_id.to_string(),
            events: self.events.clone(),
            is_complete: false,
        }
    }
}

fn metadata<T>(request: &Request<T>, name: &str) -> String {
    let value = request.metadata().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_string()
}

fn request_id<T>(request: &Request<T>) -> String {
    metadata(request, "txn").trim_start_matches('0').to_string()
}

/// The statement of a first poll; the descriptor of a later poll has no command.
fn statement(descriptor: &FlightDescriptor) -> Option<String> {
    let any = Any::decode(&*descriptor.cmd).ok()?;
    Some(any.unpack::<CommandStatementQuery>().ok()??.query)
}

fn error_status(word: &str) -> Status {
    let (code, not_run) = match word {
        "BUSY" => (tonic::Code::ResourceExhausted, true),
        "VOID" => (tonic::Code::FailedPrecondition, true),
        "UNIMPLEMENTED" => (tonic::Code::Unimplemented, false),
        _ => (tonic::Code::Internal, false),
    };
    let mut status = Status::new(code, word);
    if not_run {
        status
            .metadata_mut()
            .insert(NOT_RUN_METADATA, "1".parse().expect("a value"));
    }
    status
}

fn page_batch(cells: &str) -> Result<arrow_array::RecordBatch, arrow_flight::error::FlightError> {
    let page = Page {
        rows: tab_separated_rows(cells).into(),
        is_last: false,
    };
    Ok(arrow::page_to_batch(&page)?)
}

type FlightResult<T> = Result<Response<T>, Status>;

fn unused_method<T>() -> FlightResult<T> {
    Err(Status::unimplemented("not used by any scenario"))
}

#[tonic::async_trait]
impl FlightService for Engine {
    type HandshakeStream = BoxStream<'static, Result<HandshakeResponse, Status>>;
    type ListFlightsStream = BoxStream<'static, Result<FlightInfo, Status>>;
    type DoGetStream = BoxStream<'static, Result<FlightData, Status>>;
    type DoPutStream = BoxStream<'static, Result<PutResult, Status>>;
    type DoExchangeStream = BoxStream<'static, Result<FlightData, Status>>;
    type DoActionStream = BoxStream<'static, Result<arrow_flight::Result, Status>>;
    type ListActionsStream = BoxStream<'static, Result<ActionType, Status>>;

    async fn poll_flight_info(&self, request: Request<FlightDescriptor>) -> FlightResult<PollInfo> {
        self.check_open()?;
        let request_id = request_id(&request);
        let descriptor = request.get_ref().clone();
        let mut poll = PollInfo {
            flight_descriptor: Some(FlightDescriptor::new_path(vec![request_id.clone()])),
            ..PollInfo::default()
        };
        if let Some(statement) = statement(&descriptor) {
            let (kind, priority) = (metadata(&request, "kind"), metadata(&request, "rank"));
            let ms = metadata(&request, "ms");
            let _ = self.events.send(format!(
                "fetch {request_id} kind={kind},ms={ms},rank={priority} {statement}"
            ));
            *self.last_statement.lock().expect("nothing panics here") = descriptor;
            return Ok(Response::new(poll));
        }
        let mut call = self.track_call(&request_id);
        let words = self.next_reply(&request_id).await;
        call.is_complete = true;
        match words.first().map(String::as_str) {
            Some(word @ ("NOTE" | "NOTE-CLOSE")) => {
                poll.progress = words.get(1).and_then(|share| share.parse().ok());
                if word == "NOTE-CLOSE" {
                    let statement = self
                        .last_statement
                        .lock()
                        .expect("nothing panics here")
                        .clone();
                    poll.flight_descriptor = Some(statement);
                    self.close_connection().await;
                }
            }
            Some(word @ ("OK" | "OK-CLOSE")) => {
                if word == "OK-CLOSE" {
                    self.close_connection().await;
                }
                let ticket = Ticket::new(words.join(" "));
                let endpoint = FlightEndpoint::new().with_ticket(ticket);
                poll.info = Some(FlightInfo::new().with_endpoint(endpoint));
                poll.flight_descriptor = None;
            }
            word => return Err(error_status(word.unwrap_or_default())),
        }
        Ok(Response::new(poll))
    }

    async fn do_get(&self, request: Request<Ticket>) -> FlightResult<Self::DoGetStream> {
        self.check_open()?;
        let request_id = request_id(&request);
        let ticket = String::from_utf8(request.get_ref().ticket.to_vec()).expect("text");
        let words: Vec<&str> = ticket.split(' ').collect();
        let page_count: usize = words[1].parse().expect("a count");
        let first_batch = page_batch(words[2]);
        let later_batches = stream::unfold(
            (self.clone(), self.track_call(&request_id), 1),
            move |(engine, mut call, page_no)| async move {
                if page_no >= page_count {
                    call.complete();
                    return None;
                }
                let _ = call
                    .events
                    .send(format!("more {} {page_no}", call.request_id));
                let words = engine.next_reply(&call.request_id).await;
                let batch = match words.first().map(String::as_str) {
                    Some("ROWS") => page_batch(&words[2]),
                    word => {
                        call.is_complete = true;
                        Err(error_status(word.unwrap_or_default()).into())
                    }
                };
                Some((batch, (engine, call, page_no + 1)))
            },
        );
        let batches = stream::iter([first_batch]).chain(later_batches);
        let data = FlightDataEncoderBuilder::new()
            .with_schema(arrow::schema())
            .build(batches);
        Ok(Response::new(data.map_err(Status::from).boxed()))
    }

    async fn do_action(&self, request: Request<Action>) -> FlightResult<Self::DoActionStream> {
        let action = request.into_inner();
        let body = String::from_utf8_lossy(&action.body).to_string();
        let _ = self.events.send(match action.r#type.as_str() {
            ABORT_ACTION => format!("abort {}", body.trim_start_matches('0')),
            other => format!("action {other}"),
        });
        Ok(Response::new(stream::empty().boxed()))
    }

    async fn get_flight_info(
        &self,
        request: Request<FlightDescriptor>,
    ) -> FlightResult<FlightInfo> {
        let statement = statement(request.get_ref()).unwrap_or_default();
        let _ = self
            .events
            .send(format!("fetch-info {} {statement}", request_id(&request)));
        unused_method()
    }
    async fn handshake(
        &self,
        _: Request<Streaming<HandshakeRequest>>,
    ) -> FlightResult<Self::HandshakeStream> {
        unused_method()
    }
    async fn list_flights(&self, _: Request<Criteria>) -> FlightResult<Self::ListFlightsStream> {
        unused_method()
    }
    async fn get_schema(&self, _: Request<FlightDescriptor>) -> FlightResult<SchemaResult> {
        unused_method()
    }
    async fn do_put(&self, _: Request<Streaming<FlightData>>) -> FlightResult<Self::DoPutStream> {
        unused_method()
    }
    async fn do_exchange(
        &self,
        _: Request<Streaming<FlightData>>,
    ) -> FlightResult<Self::DoExchangeStream> {
        unused_method()
    }
    async fn list_actions(&self, _: Request<Empty>) -> FlightResult<Self::ListActionsStream> {
        unused_method()
    }
}
