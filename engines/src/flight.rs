//! The actor of an engine that speaks Arrow Flight SQL.
//!
//! An attempt is polled with PollFlightInfo, which tells its progress, until the engine has it ready, or,
//! where the engine does not poll, asked for with GetFlightInfo; then its ticket is redeemed with DoGet.
//! That it never ran is believed only of an error that says so in [`NOT_RUN_METADATA`].

use crate::NetworkTransport;
use crate::connection_slots::ConnectionSlot;
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::sql::{CommandStatementQuery, ProstMessageExt};
use arrow_flight::{Action, CancelFlightInfoRequest, FlightDescriptor, FlightInfo, Ticket};
use futures::future::{BoxFuture, Shared};
use futures::{FutureExt, StreamExt, TryStreamExt};
use prost::Message;
use sedgebeam_arrow as arrow;
use sedgebeam_core::{AttemptNo, LoadReport, Micros, Note, RequestId};
use sedgebeam_operation::Metrics;
use sedgebeam_port::clock::to_duration;
use sedgebeam_port::{
    Attempt, AttemptResult, EngineCommand, EngineReport, EngineReporter, Page, PageRequest,
    ProbeResult, supervise,
};
use sedgebeam_settings::ConnectionSettings;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status};

/// Metadata of an error: what was asked never ran.
pub const NOT_RUN_METADATA: &str = "sedgebeam-not-run";
/// Metadata of a result: the work that it took, in milliseconds.
pub const WORK_MS_METADATA: &str = "sedgebeam-work";
/// Actions of an engine beyond the standard ones: a new priority, a load report, and the end of what
/// has no flight info yet that CancelFlightInfo could name.
pub const ABORT_ACTION: &str = "sedgebeam.abort";
pub const REPRIORITIZE_ACTION: &str = "sedgebeam.renice";
pub const LOAD_REPORT_ACTION: &str = "sedgebeam.stats";

/// Time between polls: short at first, as most queries are.
const FIRST_POLL: Duration = Duration::from_millis(10);
const LONGEST_POLL: Duration = Duration::from_millis(500);
/// Pages that may be asked for at once: their reader asks for one at a time.
const MAILBOX: usize = 4;
const EVENTS: usize = 1024;
/// While calls are under way, a connection is pinged so often, and must answer within as long: one that is of
/// no further use though it stays open would hold its calls, and those that come after them.
const ALIVE: Duration = Duration::from_millis(700);
/// The largest message of an engine.
const MOST_MESSAGE: usize = 256 * 1024;

type Client = FlightServiceClient<Channel>;

/// A connection on its way up, for all attempts that wait for it; `None` where it can't be had.
type Opening = Shared<BoxFuture<'static, Option<Channel>>>;

/// A connection, and how many attempts it carries.
struct Lane {
    _slot: ConnectionSlot,
    opening: Opening,
    out: usize,
    used: Instant,
}

struct Running {
    number: AttemptNo,
    lane: u64,
    pages: mpsc::Sender<PageRequest>,
    /// Dropped to give the attempt up.
    kept: oneshot::Sender<()>,
}

/// An attempt is over, and whether its connection is too.
struct Over {
    id: RequestId,
    number: AttemptNo,
    lane: u64,
    broken: bool,
}

struct Actor {
    endpoint: String,
    transport: NetworkTransport,
    reports: EngineReporter,
    over: mpsc::Sender<Over>,
    lanes: HashMap<u64, Lane>,
    next_lane: u64,
    running: HashMap<RequestId, Running>,
}

/// Runs until its mailbox is closed.
pub async fn run(
    endpoint: String,
    transport: NetworkTransport,
    mut mailbox: mpsc::Receiver<EngineCommand>,
    reports: EngineReporter,
) {
    let (over, mut incoming) = mpsc::channel(EVENTS);
    let mut actor = Actor {
        endpoint,
        transport,
        reports,
        over,
        lanes: HashMap::new(),
        next_lane: 0,
        running: HashMap::new(),
    };
    let mut wanted = actor.transport.slots.subscribe_shortage();
    loop {
        tokio::select! {
            message = mailbox.recv() => match message {
                Some(message) => actor.take(message).await,
                None => return,
            },
            Ok(()) = wanted.changed() => actor.lanes.retain(|_, lane| lane.out > 0),
            Some(over) = incoming.recv() => actor.over(over),
        }
    }
}

impl Actor {
    fn settings(&self) -> ConnectionSettings {
        *self.transport.connections.borrow()
    }

    async fn take(&mut self, message: EngineCommand) {
        match message {
            EngineCommand::Send(attempt) => self.send(attempt).await,
            EngineCommand::Abort(id, number) | EngineCommand::ReleaseResult(id, number) => {
                self.give_up(id, number)
            }
            EngineCommand::Reprioritize(id, number, rank) => self.renice(id, number, rank),
            EngineCommand::Probe => self.probe(),
            EngineCommand::FetchPage(more) => {
                let running = self.running.get(&more.request);
                let running = running.filter(|running| running.number == more.number);
                // Without one, or with its mailbox full, the reader sees its channel end.
                if let Some(running) = running
                    && running.pages.try_send(more).is_err()
                {
                    log::debug!("{}: a page was asked for twice", self.endpoint);
                }
            }
            EngineCommand::ReturnUnsent => self.nothing_new().await,
        }
    }

    fn over(&mut self, over: Over) {
        if let Some(lane) = self.lanes.get_mut(&over.lane) {
            lane.out = lane.out.saturating_sub(1);
            lane.used = Instant::now();
        }
        if over.broken {
            self.lanes.remove(&over.lane);
        }
        if self.is_running(over.id, over.number) {
            self.running.remove(&over.id);
        }
        self.close_idle();
    }

    fn is_running(&self, id: RequestId, number: AttemptNo) -> bool {
        let running = self.running.get(&id);
        running.is_some_and(|running| running.number == number)
    }

    /// What waits for a connection to come up has not been written and is taken back.
    async fn nothing_new(&mut self) {
        let lanes = &self.lanes;
        let opening = |lane: u64| {
            lanes
                .get(&lane)
                .is_some_and(|lane| lane.opening.peek().is_none())
        };
        let waiting = self.running.extract_if(|_, running| opening(running.lane));
        // All of them end here, before the first is told of: a connection might come up meanwhile.
        let waiting = waiting.map(|(id, running)| (id, running.number));
        let waiting: Vec<(RequestId, AttemptNo)> = waiting.collect();
        for (id, number) in waiting {
            self.reports
                .attempt_ended(id, number, AttemptResult::ConnectFailed)
                .await;
        }
    }

    fn close_idle(&mut self) {
        let idle = to_duration(self.settings().idle_timeout);
        let now = Instant::now();
        self.lanes
            .retain(|_, lane| lane.out > 0 || now < lane.used + idle);
    }

    /// The fullest lane with room, or a new one.
    fn lane(&mut self) -> Option<(u64, Opening)> {
        let most = self.settings().max_streams;
        let fit = self.lanes.iter_mut().filter(|(_, lane)| lane.out < most);
        if let Some((number, lane)) = fit.max_by_key(|(number, lane)| (lane.out, **number)) {
            lane.out += 1;
            return Some((*number, lane.opening.clone()));
        }
        if self.lanes.len() >= self.settings().max_per_engine {
            return None;
        }
        let Some(slot) = self.transport.slots.try_acquire(self.settings().max_total) else {
            self.transport.slots.signal_shortage();
            return None;
        };
        self.next_lane += 1;
        let limit = to_duration(self.settings().connect_timeout);
        let opening = open(self.endpoint.clone(), limit).boxed().shared();
        let lane = Lane {
            _slot: slot,
            opening: opening.clone(),
            out: 1,
            used: Instant::now(),
        };
        self.lanes.insert(self.next_lane, lane);
        Some((self.next_lane, opening))
    }

    async fn send(&mut self, attempt: Attempt) {
        let (id, number) = (attempt.request, attempt.number);
        // Its name is out here already, for a result that is still being read: that must not be cut off.
        let lane = if self.running.contains_key(&id) {
            None
        } else {
            self.lane()
        };
        let Some((lane, opening)) = lane else {
            // No fault of the engine's.
            self.reports
                .attempt_ended(id, number, AttemptResult::NotRun)
                .await;
            return;
        };
        let (pages, asked) = mpsc::channel(MAILBOX);
        let (kept, dropped) = oneshot::channel();
        let running = Running {
            number,
            lane,
            pages,
            kept,
        };
        self.running.insert(id, running);
        let task = Task {
            attempt,
            endpoint: self.endpoint.clone(),
            reports: self.reports.clone(),
            metrics: self.transport.metrics.clone(),
        };
        let (over, died) = (self.over.clone(), self.over.clone());
        let (reports, given_up) = (self.reports.clone(), self.reports.clone());
        let word = move |broken| Over {
            id,
            number,
            lane,
            broken,
        };
        let run = async move {
            let broken = tokio::select! {
                biased;
                _ = dropped => None,
                broken = task.run(opening, asked) => Some(broken),
            };
            if broken.is_none() {
                given_up.abort_confirmed(id, number).await;
            }
            let broken = broken.unwrap_or(false);
            // An actor that is gone counts no more.
            let _ = over.send(word(broken)).await;
        };
        supervise::spawn_supervised(format!("attempt at {}", self.endpoint), run, move || {
            tokio::spawn(async move {
                reports
                    .attempt_ended(id, number, AttemptResult::Reset)
                    .await;
                let _ = died.send(word(true)).await;
            });
        });
    }

    fn give_up(&mut self, id: RequestId, number: AttemptNo) {
        if self.is_running(id, number)
            && let Some(running) = self.running.remove(&id)
        {
            drop(running.kept);
        }
    }

    fn renice(&mut self, id: RequestId, number: AttemptNo, rank: u8) {
        let running = self
            .running
            .get(&id)
            .filter(|running| running.number == number);
        let lane = running.and_then(|running| self.lanes.get(&running.lane));
        let Some(channel) = lane.and_then(|lane| lane.opening.peek().cloned().flatten()) else {
            return;
        };
        let action = Action::new(REPRIORITIZE_ACTION, format!("{:016x} {rank}", id.0));
        tokio::spawn(async move {
            // An engine that knows no priorities says so; nothing depends on it.
            let _ = client(channel).do_action(action).await;
        });
    }

    fn probe(&mut self) {
        let mut up = self
            .lanes
            .values()
            .filter_map(|lane| lane.opening.peek().cloned().flatten());
        let channel = up.next();
        drop(up);
        let (endpoint, reports) = (self.endpoint.clone(), self.reports.clone());
        let limit = to_duration(self.settings().connect_timeout);
        let (slots, in_all) = (self.transport.slots.clone(), self.settings().max_total);
        tokio::spawn(async move {
            // Only a connection of its own takes a slot, for as long as the probe lasts.
            let slot = channel.is_none().then(|| slots.try_acquire(in_all));
            let channel = match slot {
                Some(Some(_)) => open(endpoint, limit).await,
                _ => channel,
            };
            let probe = match channel {
                Some(channel) => stats(channel, limit).await,
                None => ProbeResult::ConnectFailed,
            };
            drop(slot);
            reports.send(EngineReport::Probed(probe)).await;
        });
    }
}

fn client(channel: Channel) -> Client {
    FlightServiceClient::new(channel).max_decoding_message_size(MOST_MESSAGE)
}

async fn connect(endpoint: &str, limit: Duration) -> Result<Channel, tonic::transport::Error> {
    let address = endpoint.trim_start_matches(super::FLIGHT_SCHEME);
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(limit)
        .http2_keep_alive_interval(ALIVE)
        .keep_alive_timeout(ALIVE)
        .tcp_nodelay(true);
    endpoint.connect().await
}

async fn open(endpoint: String, limit: Duration) -> Option<Channel> {
    let opened = connect(&endpoint, limit).await;
    opened
        .inspect_err(|error| log::info!("connecting to {endpoint}: {error}"))
        .ok()
}

async fn stats(channel: Channel, limit: Duration) -> ProbeResult {
    let asked = async {
        let mut results = client(channel)
            .do_action(Action::new(LOAD_REPORT_ACTION, ""))
            .await?;
        results.get_mut().message().await
    };
    match timeout(limit, asked).await {
        Err(_) => ProbeResult::TimedOut,
        Ok(Ok(result)) => ProbeResult::Up(result.and_then(|result| load(&result.body))),
        // It lives, but has no report to give.
        Ok(Err(status)) if status.code() == Code::Unimplemented => ProbeResult::Up(None),
        Ok(Err(_)) => ProbeResult::Down,
    }
}

fn load(body: &[u8]) -> Option<LoadReport> {
    let values = std::str::from_utf8(body)
        .ok()?
        .split(';')
        .filter_map(|gauge| {
            let (name, value) = gauge.split_once(':')?;
            Some((name, value.parse().ok()?))
        });
    Some(sedgebeam_settings::load_report(values))
}

/// What an error says of an attempt.
fn end(status: &Status) -> AttemptResult {
    let not_run = status.metadata().contains_key(NOT_RUN_METADATA);
    match status.code() {
        // The connection had broken before, and no new one could be made.
        Code::Unavailable if never_connected(status) => AttemptResult::ConnectFailed,
        Code::ResourceExhausted if not_run => AttemptResult::Busy,
        _ if not_run => AttemptResult::NotRun,
        Code::Unavailable => AttemptResult::Reset,
        _ => AttemptResult::Error,
    }
}

fn never_connected(status: &Status) -> bool {
    let first = std::error::Error::source(status);
    let mut causes = std::iter::successors(first, |cause| cause.source());
    causes.any(|cause| cause.is::<tonic::ConnectError>())
}

/// One attempt, from its connection to its last page.
struct Task {
    attempt: Attempt,
    endpoint: String,
    reports: EngineReporter,
    metrics: Metrics,
}

impl Task {
    /// Runs the attempt; whether its connection turned out to be broken.
    async fn run(self, opening: Opening, asked: mpsc::Receiver<PageRequest>) -> bool {
        let (id, number) = (self.attempt.request, self.attempt.number);
        let Some(channel) = opening.await else {
            self.reports
                .attempt_ended(id, number, AttemptResult::ConnectFailed)
                .await;
            return true;
        };
        // Its connection may have taken long.
        if self.attempt.is_stale() {
            self.reports
                .attempt_ended(id, number, AttemptResult::NotRun)
                .await;
            return false;
        }
        match self.result(client(channel)).await {
            Ok((stream, work)) => {
                self.metrics.count_forwards(1);
                self.pages(stream, work, asked).await;
                false
            }
            Err(status) => {
                log::debug!("{}: {status}", self.endpoint);
                let end = end(&status);
                let broken = matches!(end, AttemptResult::Reset | AttemptResult::ConnectFailed);
                if end != AttemptResult::ConnectFailed {
                    self.metrics.count_forwards(1);
                }
                self.reports.attempt_ended(id, number, end).await;
                broken
            }
        }
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        let fields = [
            ("txn", format!("{:016x}", self.attempt.request.0)),
            ("kind", self.attempt.class.to_string()),
            ("rank", self.attempt.priority.to_string()),
            ("ms", self.attempt.remaining_ms().to_string()),
        ];
        let grant = self.attempt.memory_grant_mb;
        let grant = grant.map(|memory_mb| ("grant", memory_mb.to_string()));
        let words = self
            .attempt
            .wire_fields()
            .map(|(name, word)| (name, word.to_string()));
        for (name, value) in fields.into_iter().chain(grant).chain(words) {
            // A class whose name no header can hold goes without it.
            if let Ok(value) = value.parse() {
                request.metadata_mut().insert(name, value);
            }
        }
        request
    }

    /// Runs the statement and opens its result.
    async fn result(
        &self,
        mut client: Client,
    ) -> Result<(FlightRecordBatchStream, Option<Micros>), Status> {
        let query = String::from_utf8(self.attempt.statement.to_vec())
            .map_err(|_| Status::invalid_argument("a statement that is not UTF-8"))?;
        let command = CommandStatementQuery {
            query,
            transaction_id: None,
        };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let info = self.info(&mut client, descriptor).await?;
        let mut guard = Guard(Some((client.clone(), cancel(info.clone()))));
        let answer = client.do_get(self.request(ticket(info)?)).await?;
        let work = answer.metadata().get(WORK_MS_METADATA);
        let work = work.and_then(|work| work.to_str().ok()?.parse::<f64>().ok());
        let data = answer.into_inner().map_err(Into::into);
        let stream = FlightRecordBatchStream::new_from_flight_data(data);
        // From here on, dropping the stream tells the engine.
        guard.0 = None;
        Ok((stream, work.map(|work| Micros::from_millis(work as u64))))
    }

    /// Polls the statement until it is ready; its progress is reported.
    async fn info(
        &self,
        client: &mut Client,
        descriptor: FlightDescriptor,
    ) -> Result<FlightInfo, Status> {
        let missing = || Status::internal("an answer without flight info");
        let (mut next, mut pause) = (descriptor.clone(), FIRST_POLL);
        // From the first poll on the engine may run it, before any answer tells how to cancel it.
        let abort = || Action::new(ABORT_ACTION, format!("{:016x}", self.attempt.request.0));
        let mut guard = Guard(Some((client.clone(), abort())));
        loop {
            let poll = match client.poll_flight_info(self.request(next)).await {
                Ok(poll) => poll.into_inner(),
                Err(status) if status.code() == Code::Unimplemented => {
                    let info = client.get_flight_info(self.request(descriptor)).await;
                    guard.0 = None;
                    return Ok(info?.into_inner());
                }
                Err(status) => {
                    guard.0 = None;
                    return Err(status);
                }
            };
            let Some(more) = poll.flight_descriptor else {
                guard.0 = None;
                return poll.info.ok_or_else(missing);
            };
            let action = poll.info.map_or_else(abort, cancel);
            guard.0 = Some((client.clone(), action));
            let note = Note::Progress(poll.progress.unwrap_or_default().clamp(0.0, 1.0));
            let (id, number) = (self.attempt.request, self.attempt.number);
            self.reports
                .send(EngineReport::Note(id, number, note))
                .await;
            sleep(pause).await;
            (next, pause) = (more, (pause * 2).min(LONGEST_POLL));
        }
    }

    /// Reports the first page, and hands out the others as they are asked for.
    async fn pages(
        &self,
        mut stream: FlightRecordBatchStream,
        work: Option<Micros>,
        mut asked: mpsc::Receiver<PageRequest>,
    ) {
        let (id, number) = (self.attempt.request, self.attempt.number);
        let end = match next(&mut stream).await {
            Ok(page) => AttemptResult::Ok {
                page,
                work,
                load: None,
            },
            Err(status) => end(&status),
        };
        let more = matches!(&end, AttemptResult::Ok { page, .. } if !page.is_last);
        self.reports.attempt_ended(id, number, end).await;
        while more && let Some(asked) = asked.recv().await {
            let page = match next(&mut stream).await {
                Ok(page) => page,
                Err(status) => {
                    log::info!("{}: the rest of a result: {status}", self.endpoint);
                    return;
                }
            };
            let last = page.is_last;
            // A reader that has left asks no more.
            if asked.reply.send(page).is_err() || last {
                return;
            }
        }
    }
}

fn ticket(info: FlightInfo) -> Result<Ticket, Status> {
    let mut endpoints = info.endpoint.into_iter();
    let ticket = endpoints.next().and_then(|endpoint| endpoint.ticket);
    match endpoints.next() {
        None => ticket.ok_or_else(|| Status::internal("flight info without a ticket")),
        Some(_) => Err(Status::internal("flight info of more than one endpoint")),
    }
}

/// The next page. That it was the last is known only behind it: then an empty page follows.
async fn next(stream: &mut FlightRecordBatchStream) -> Result<Page, Status> {
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

fn cancel(info: FlightInfo) -> Action {
    let request = CancelFlightInfoRequest { info: Some(info) };
    Action::new("CancelFlightInfo", request.encode_to_vec())
}

/// Cancels at its engine what is dropped while it is being run.
struct Guard(Option<(Client, Action)>);

impl Drop for Guard {
    fn drop(&mut self) {
        let Some((mut client, action)) = self.0.take() else {
            return;
        };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            // Best effort: the engine also learns of the end of the call, or of its time.
            runtime.spawn(async move { client.do_action(action).await.map(drop) });
        }
    }
}

#[cfg(test)]
mod tests;
