//! A ledger engine that speaks Arrow Flight SQL, in a process of its own so that it can crash.
//!
//! A statement runs from its first PollFlightInfo on, for a fixed time. Each poll is answered at once, with the progress
//! or, after the end, with the flight info; DoGet gives the rows. What begins and what is committed goes into a journal
//! file, line by line.

use crate::record::unix_ms;
use arrow_array::{ArrayRef, RecordBatch, StringArray};
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::{Any, CommandStatementQuery};
use arrow_flight::{
    Action, ActionType, Criteria, Empty, FlightData, FlightDescriptor, FlightEndpoint, FlightInfo,
    HandshakeRequest, HandshakeResponse, PollInfo, PutResult, SchemaResult, Ticket,
};
use arrow_schema::{DataType, Field, Schema};
use futures::stream::{self, BoxStream, StreamExt, TryStreamExt};
use prost::Message;
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tonic::{Request, Response, Status, Streaming};

#[derive(Clone)]
struct Engine {
    journal: Arc<Mutex<File>>,
    work: Duration,
    /// The statements that run or have run, by request: when they began.
    running: Arc<Mutex<HashMap<String, Instant>>>,
}

pub fn run(address: &str, journal: &str, work_ms: u64) {
    let journal = OpenOptions::new()
        .create(true)
        .append(true)
        .open(journal)
        .expect("open the journal");
    let engine = Engine {
        journal: Arc::new(Mutex::new(journal)),
        work: Duration::from_millis(work_ms),
        running: Arc::default(),
    };
    let address = address.parse().expect("an address");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let server = tonic::transport::Server::builder()
        .add_service(FlightServiceServer::new(engine))
        .serve(address);
    runtime.block_on(server).expect("the engine serves");
}

impl Engine {
    fn journal(&self, text: &str) {
        let mut journal = self.journal.lock().expect("no writer panics");
        // One write: a line is there whole or not at all, also after a kill.
        journal
            .write_all(format!("{:.3} {text}\n", unix_ms()).as_bytes())
            .expect("write the journal");
    }

    fn begin(&self, request: &str, kind: &str) {
        let began_at = Instant::now();
        self.running
            .lock()
            .expect("no writer panics")
            .insert(request.to_string(), began_at);
        self.journal(&format!("begin {request} {kind}"));
        let (engine, request) = (self.clone(), request.to_string());
        tokio::spawn(async move {
            tokio::time::sleep(engine.work).await;
            let is_running = engine
                .running
                .lock()
                .expect("no writer panics")
                .contains_key(&request);
            if is_running {
                engine.journal(&format!("commit {request}"));
            }
        });
    }

    fn abort(&self, request: &str) {
        if self
            .running
            .lock()
            .expect("no writer panics")
            .remove(request)
            .is_some()
        {
            self.journal(&format!("abort {request}"));
        }
    }

    fn began_at(&self, request: &str) -> Option<Instant> {
        self.running
            .lock()
            .expect("no writer panics")
            .get(request)
            .copied()
    }
}

fn metadata<T>(request: &Request<T>, name: &str) -> String {
    let value = request
        .metadata()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}

fn is_statement(descriptor: &FlightDescriptor) -> bool {
    let command = Any::decode(&*descriptor.cmd).ok();
    let command =
        command.and_then(|command| command.unpack::<CommandStatementQuery>().ok().flatten());
    command.is_some()
}

type FlightResult<T> = Result<Response<T>, Status>;

fn unused<T>() -> FlightResult<T> {
    Err(Status::unimplemented("not used here"))
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
        let id = metadata(&request, "txn");
        if is_statement(request.get_ref()) {
            self.begin(&id, &metadata(&request, "kind"));
        }
        let began_at = self
            .began_at(&id)
            .ok_or_else(|| Status::not_found("no such statement"))?;
        let elapsed = began_at.elapsed();
        let poll = if elapsed < self.work {
            PollInfo {
                flight_descriptor: Some(FlightDescriptor::new_path(vec![id])),
                progress: Some(elapsed.as_secs_f64() / self.work.as_secs_f64()),
                ..PollInfo::default()
            }
        } else {
            let endpoint = FlightEndpoint::new().with_ticket(Ticket::new(id));
            PollInfo {
                info: Some(FlightInfo::new().with_endpoint(endpoint)),
                progress: Some(1.0),
                ..PollInfo::default()
            }
        };
        Ok(Response::new(poll))
    }

    async fn do_get(&self, request: Request<Ticket>) -> FlightResult<Self::DoGetStream> {
        let id = String::from_utf8_lossy(&request.get_ref().ticket).to_string();
        if self.began_at(&id).is_none() {
            return Err(Status::not_found("no such result"));
        }
        self.journal(&format!("result {id}"));
        let fields: Vec<Field> = (1..=3)
            .map(|number| Field::new(format!("column{number}"), DataType::Utf8, true))
            .collect();
        let schema = Arc::new(Schema::new(fields));
        let columns: Vec<ArrayRef> = ["a", "b", "c"]
            .map(|cell| Arc::new(StringArray::from(vec![cell])) as ArrayRef)
            .to_vec();
        let batch = RecordBatch::try_new(schema.clone(), columns)
            .map_err(|error| Status::internal(error.to_string()))?;
        let data = FlightDataEncoderBuilder::new()
            .with_schema(schema)
            .build(stream::iter([Ok(batch)]));
        Ok(Response::new(data.map_err(Status::from).boxed()))
    }

    async fn do_action(&self, request: Request<Action>) -> FlightResult<Self::DoActionStream> {
        let action = request.into_inner();
        let body = String::from_utf8_lossy(&action.body).to_string();
        let results = match action.r#type.as_str() {
            "sedgebeam.stats" => vec![Ok(arrow_flight::Result {
                body: "util:0.30".into(),
            })],
            "sedgebeam.abort" => {
                self.abort(&body);
                Vec::new()
            }
            _ => Vec::new(),
        };
        Ok(Response::new(stream::iter(results).boxed()))
    }

    async fn get_flight_info(&self, _: Request<FlightDescriptor>) -> FlightResult<FlightInfo> {
        unused()
    }
    async fn handshake(
        &self,
        _: Request<Streaming<HandshakeRequest>>,
    ) -> FlightResult<Self::HandshakeStream> {
        unused()
    }
    async fn list_flights(&self, _: Request<Criteria>) -> FlightResult<Self::ListFlightsStream> {
        unused()
    }
    async fn get_schema(&self, _: Request<FlightDescriptor>) -> FlightResult<SchemaResult> {
        unused()
    }
    async fn do_put(&self, _: Request<Streaming<FlightData>>) -> FlightResult<Self::DoPutStream> {
        unused()
    }
    async fn do_exchange(
        &self,
        _: Request<Streaming<FlightData>>,
    ) -> FlightResult<Self::DoExchangeStream> {
        unused()
    }
    async fn list_actions(&self, _: Request<Empty>) -> FlightResult<Self::ListActionsStream> {
        unused()
    }
}
