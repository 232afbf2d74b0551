//! A scripted engine that speaks Flight SQL, with the words of the one that speaks RESP.
//!
//! A statement is polled: the engine tells `fetch`, answers the first poll at once with no progress, and the
//! next ones with what it is told to say. `abort ID` is heard when a call is dropped or cancelled.

use crate::engines::rows;
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
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, Streaming};

/// Both ends of what is said of a request.
type Said = (UnboundedSender<String>, Lines);
type Lines = Arc<tokio::sync::Mutex<UnboundedReceiver<String>>>;

#[derive(Clone)]
struct Engine {
    heard: UnboundedSender<String>,
    /// What is said of each request, by its name.
    said: Arc<Mutex<HashMap<String, Said>>>,
}

/// Tells of a call that ends before its time.
struct Call {
    id: String,
    heard: UnboundedSender<String>,
    whole: bool,
}

impl Call {
    fn done(mut self) {
        self.whole = true;
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.whole {
            let _ = self.heard.send(format!("abort {}", self.id));
        }
    }
}

/// A runtime of the engine's own: with it, all its connections end at once.
struct Machine(Option<Runtime>);

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

pub async fn serve(listener: TcpListener, mut role: PeerTask) {
    let engine = Engine {
        heard: role.events.clone(),
        said: Arc::default(),
    };
    let service = FlightServiceServer::new(engine.clone());
    let listener = listener.into_std().expect("a listener");
    let machine = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    machine.spawn(async move {
        let listener = TcpListener::from_std(listener).expect("a listener");
        let server = tonic::transport::Server::builder().add_service(service);
        server
            .serve_with_incoming(TcpListenerStream::new(listener))
            .await
    });
    let mut machine = Machine(Some(machine));
    while let Some(words) = role.commands.recv().await {
        if words == "close" {
            break;
        }
        let id = words.split(' ').next().unwrap_or_default().to_string();
        let _ = engine.lines(&id).0.send(words);
    }
    let gone = machine.0.take().expect("taken only here");
    // Waits until all that ran on it has ended.
    let ended = tokio::task::spawn_blocking(|| gone.shutdown_timeout(Duration::from_secs(30)));
    ended.await.expect("ends");
    let _ = role.events.send("closed".to_string());
}

impl Engine {
    fn lines(&self, id: &str) -> Said {
        let mut said = self.said.lock().expect("nothing panics here");
        let (say, lines) = said.entry(id.to_string()).or_insert_with(|| {
            let (say, lines) = unbounded_channel();
            (say, Arc::new(tokio::sync::Mutex::new(lines)))
        });
        (say.clone(), lines.clone())
    }

    /// What is said next of a request: its words behind the name.
    async fn next(&self, id: &str) -> Vec<String> {
        let lines = self.lines(id).1;
        let line = lines.lock().await.recv().await.unwrap_or_default();
        line.split(' ').skip(1).map(str::to_string).collect()
    }

    fn call(&self, id: &str) -> Call {
        Call {
            id: id.to_string(),
            heard: self.heard.clone(),
            whole: false,
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

fn id<T>(request: &Request<T>) -> String {
    metadata(request, "txn").trim_start_matches('0').to_string()
}

/// The statement of a first poll; a later one names no command.
fn query(descriptor: &FlightDescriptor) -> Option<String> {
    let any = Any::decode(&*descriptor.cmd).ok()?;
    Some(any.unpack::<CommandStatementQuery>().ok()??.query)
}

fn refused(word: &str) -> Status {
    let (code, not_run) = match word {
        "BUSY" => (tonic::Code::ResourceExhausted, true),
        "VOID" => (tonic::Code::FailedPrecondition, true),
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

fn batch(cells: &str) -> Result<arrow_array::RecordBatch, arrow_flight::error::FlightError> {
    let page = Page {
        rows: rows(cells).into(),
        is_last: false,
    };
    Ok(arrow::page_to_batch(&page)?)
}

type Answer<T> = Result<Response<T>, Status>;

fn none<T>() -> Answer<T> {
    Err(Status::unimplemented("no part of any scenario"))
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

    async fn poll_flight_info(&self, request: Request<FlightDescriptor>) -> Answer<PollInfo> {
        let id = id(&request);
        let descriptor = request.get_ref().clone();
        let mut poll = PollInfo {
            flight_descriptor: Some(FlightDescriptor::new_path(vec![id.clone()])),
            ..PollInfo::default()
        };
        if let Some(query) = query(&descriptor) {
            let (kind, rank) = (metadata(&request, "kind"), metadata(&request, "rank"));
            let ms = metadata(&request, "ms");
            let _ = self.heard.send(format!(
                "fetch {id} kind={kind},ms={ms},rank={rank} {query}"
            ));
            return Ok(Response::new(poll));
        }
        let mut call = self.call(&id);
        let words = self.next(&id).await;
        call.whole = true;
        match words.first().map(String::as_str) {
            Some("NOTE") => poll.progress = words.get(1).and_then(|share| share.parse().ok()),
            Some("OK") => {
                let ticket = Ticket::new(words.join(" "));
                let endpoint = FlightEndpoint::new().with_ticket(ticket);
                poll.info = Some(FlightInfo::new().with_endpoint(endpoint));
                poll.flight_descriptor = None;
            }
            word => return Err(refused(word.unwrap_or_default())),
        }
        Ok(Response::new(poll))
    }

    async fn do_get(&self, request: Request<Ticket>) -> Answer<Self::DoGetStream> {
        let id = id(&request);
        let ticket = String::from_utf8(request.get_ref().ticket.to_vec()).expect("text");
        let words: Vec<&str> = ticket.split(' ').collect();
        let parts: usize = words[1].parse().expect("a count");
        let first = batch(words[2]);
        let later = stream::unfold(
            (self.clone(), self.call(&id), 1),
            move |(engine, mut call, page)| async move {
                if page >= parts {
                    call.done();
                    return None;
                }
                let _ = call.heard.send(format!("more {} {page}", call.id));
                let words = engine.next(&call.id).await;
                let batch = match words.first().map(String::as_str) {
                    Some("ROWS") => batch(&words[2]),
                    word => {
                        call.whole = true;
                        Err(refused(word.unwrap_or_default()).into())
                    }
                };
                Some((batch, (engine, call, page + 1)))
            },
        );
        let batches = stream::iter([first]).chain(later);
        let data = FlightDataEncoderBuilder::new()
            .with_schema(arrow::schema())
            .build(batches);
        Ok(Response::new(data.map_err(Status::from).boxed()))
    }

    async fn do_action(&self, request: Request<Action>) -> Answer<Self::DoActionStream> {
        let action = request.into_inner();
        let body = String::from_utf8_lossy(&action.body).to_string();
        let _ = self.heard.send(match action.r#type.as_str() {
            ABORT_ACTION => format!("abort {}", body.trim_start_matches('0')),
            other => format!("action {other}"),
        });
        Ok(Response::new(stream::empty().boxed()))
    }

    async fn get_flight_info(&self, _: Request<FlightDescriptor>) -> Answer<FlightInfo> {
        none()
    }
    async fn handshake(
        &self,
        _: Request<Streaming<HandshakeRequest>>,
    ) -> Answer<Self::HandshakeStream> {
        none()
    }
    async fn list_flights(&self, _: Request<Criteria>) -> Answer<Self::ListFlightsStream> {
        none()
    }
    async fn get_schema(&self, _: Request<FlightDescriptor>) -> Answer<SchemaResult> {
        none()
    }
    async fn do_put(&self, _: Request<Streaming<FlightData>>) -> Answer<Self::DoPutStream> {
        none()
    }
    async fn do_exchange(
        &self,
        _: Request<Streaming<FlightData>>,
    ) -> Answer<Self::DoExchangeStream> {
        none()
    }
    async fn list_actions(&self, _: Request<Empty>) -> Answer<Self::ListActionsStream> {
        none()
    }
}
