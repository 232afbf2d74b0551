//! The actor of an engine that speaks Arrow Flight SQL.
//!
//! An attempt is polled with PollFlightInfo, which reports its progress, until its result is ready; engines without
//! PollFlightInfo get GetFlightInfo instead. The ticket of the result is then redeemed with DoGet. A failed attempt
//! counts as never run only if the error carries [`NOT_RUN_METADATA`].

mod attempt;
mod connection;

use crate::NetworkTransport;
use crate::connection_slots::ConnectionSlot;
use arrow_flight::Action;
use attempt::AttemptTask;
use connection::{OpenChannel, client, is_transport_failure, open_channel};
use futures::FutureExt;
use futures::future::{BoxFuture, Shared};
use sedgebeam_core::{AttemptNo, LoadReport, RequestId};
use sedgebeam_port::clock::to_duration;
use sedgebeam_port::{
    Attempt, AttemptResult, EngineCommand, EngineReport, EngineReporter, PageRequest, ProbeResult,
    supervise,
};
use sedgebeam_settings::ConnectionSettings;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};
use tonic::Code;
use tonic::transport::Channel;

/// Metadata key of an error: the statement never ran.
pub const NOT_RUN_METADATA: &str = "sedgebeam-not-run";
/// Metadata key of a result: the work that it took, in milliseconds.
pub const WORK_MS_METADATA: &str = "sedgebeam-work";
/// Non-standard action: aborts a request that has no flight info yet, which CancelFlightInfo would need.
pub const ABORT_ACTION: &str = "sedgebeam.abort";
/// Non-standard action: changes the priority of a request.
pub const REPRIORITIZE_ACTION: &str = "sedgebeam.renice";
/// Non-standard action: asks for a load report.
pub const LOAD_REPORT_ACTION: &str = "sedgebeam.stats";

/// Maximum number of page requests of one attempt that wait; a reader asks for one page at a time.
const PAGE_REQUEST_CAPACITY: usize = 4;
/// Maximum number of finished attempts that wait for the actor.
const FINISHED_CAPACITY: usize = 1024;

/// A channel that is being connected, shared by all attempts that wait for it; `None` if the connect failed.
type PendingChannel = Shared<BoxFuture<'static, Option<OpenChannel>>>;

/// A connection and the number of attempts on it.
struct Connection {
    _slot: ConnectionSlot,
    channel: PendingChannel,
    attempts_in_flight: usize,
    last_used_at: Instant,
}

impl Connection {
    /// The channel if it is open.
    fn open_channel(&self) -> Option<Channel> {
        let open_channel = self.channel.peek()?.as_ref()?;
        (!open_channel.is_closed()).then(|| open_channel.channel.clone())
    }

    /// Whether the connection was open and has closed.
    fn is_closed(&self) -> bool {
        let open_channel = self.channel.peek().and_then(Option::as_ref);
        open_channel.is_some_and(OpenChannel::is_closed)
    }
}

/// An attempt whose task is running.
struct RunningAttempt {
    attempt_no: AttemptNo,
    connection_id: u64,
    page_requests: mpsc::Sender<PageRequest>,
    /// Dropping it cancels the attempt.
    cancel_on_drop: oneshot::Sender<()>,
}

/// The task of an attempt has finished.
struct AttemptFinished {
    request_id: RequestId,
    attempt_no: AttemptNo,
    connection_id: u64,
    is_connection_broken: bool,
}

struct Actor {
    endpoint: String,
    transport: NetworkTransport,
    reporter: EngineReporter,
    finished: mpsc::Sender<AttemptFinished>,
    connections: HashMap<u64, Connection>,
    last_connection_id: u64,
    running_attempts: HashMap<RequestId, RunningAttempt>,
}

/// Runs the actor of the engine at `endpoint` until its mailbox is closed.
pub async fn run(
    endpoint: String,
    transport: NetworkTransport,
    mut mailbox: mpsc::Receiver<EngineCommand>,
    reporter: EngineReporter,
) {
    let (finished, mut finished_attempts) = mpsc::channel(FINISHED_CAPACITY);
    let mut actor = Actor {
        endpoint,
        transport,
        reporter,
        finished,
        connections: HashMap::new(),
        last_connection_id: 0,
        running_attempts: HashMap::new(),
    };
    let mut slot_shortage = actor.transport.slots.subscribe_shortage();
    loop {
        tokio::select! {
            command = mailbox.recv() => match command {
                Some(command) => actor.handle(command).await,
                None => return,
            },
            Ok(()) = slot_shortage.changed() =>
                actor.connections.retain(|_, connection| connection.attempts_in_flight > 0),
            Some(attempt) = finished_attempts.recv() => actor.attempt_finished(attempt),
        }
    }
}

impl Actor {
    fn settings(&self) -> ConnectionSettings {
        *self.transport.connections.borrow()
    }

    async fn handle(&mut self, command: EngineCommand) {
        match command {
            EngineCommand::Send(attempt) => self.send(attempt).await,
            EngineCommand::Abort(request_id, attempt_no)
            | EngineCommand::ReleaseResult(request_id, attempt_no) => {
                self.cancel(request_id, attempt_no)
            }
            EngineCommand::Reprioritize(request_id, attempt_no, priority) => {
                self.reprioritize(request_id, attempt_no, priority)
            }
            EngineCommand::Probe => self.probe(),
            EngineCommand::FetchPage(page_request) => {
                let running = self.running_attempts.get(&page_request.request);
                let running =
                    running.filter(|running| running.attempt_no == page_request.attempt_no);
                // If the attempt has ended or its channel is full, the reader's reply channel is closed.
                if let Some(running) = running
                    && running.page_requests.try_send(page_request).is_err()
                {
                    log::debug!(
                        "{}: dropped a page request: too many wait, or the result has ended",
                        self.endpoint
                    );
                }
            }
            EngineCommand::ReturnUnsent => self.return_unsent().await,
        }
    }

    fn attempt_finished(&mut self, finished: AttemptFinished) {
        if let Some(connection) = self.connections.get_mut(&finished.connection_id) {
            connection.attempts_in_flight = connection.attempts_in_flight.saturating_sub(1);
            connection.last_used_at = Instant::now();
        }
        if finished.is_connection_broken {
            self.connections.remove(&finished.connection_id);
        }
        if self.is_running(finished.request_id, finished.attempt_no) {
            self.running_attempts.remove(&finished.request_id);
        }
        self.close_idle();
    }

    fn is_running(&self, request_id: RequestId, attempt_no: AttemptNo) -> bool {
        let running = self.running_attempts.get(&request_id);
        running.is_some_and(|running| running.attempt_no == attempt_no)
    }

    /// Ends all attempts that wait for a connection and so have not been sent.
    async fn return_unsent(&mut self) {
        let connections = &self.connections;
        let is_connecting = |connection_id: u64| {
            connections
                .get(&connection_id)
                .is_some_and(|connection| connection.channel.peek().is_none())
        };
        let unsent = self
            .running_attempts
            .extract_if(|_, running| is_connecting(running.connection_id));
        // All are cancelled before the first is reported: a connection might come up during a report.
        let unsent = unsent.map(|(request_id, running)| (request_id, running.attempt_no));
        let unsent: Vec<(RequestId, AttemptNo)> = unsent.collect();
        for (request_id, attempt_no) in unsent {
            self.reporter
                .attempt_ended(request_id, attempt_no, AttemptResult::ConnectFailed)
                .await;
        }
    }

    fn close_idle(&mut self) {
        let idle_timeout = to_duration(self.settings().idle_timeout);
        let now = Instant::now();
        self.connections.retain(|_, connection| {
            connection.attempts_in_flight > 0 || now < connection.last_used_at + idle_timeout
        });
    }

    /// Adds an attempt to the connection with the most attempts that has room for one more, or to a new connection.
    fn reserve_stream(&mut self) -> Option<(u64, PendingChannel)> {
        self.connections
            .retain(|_, connection| !connection.is_closed());
        let max_streams = self.settings().max_streams;
        let available = self
            .connections
            .iter_mut()
            .filter(|(_, connection)| connection.attempts_in_flight < max_streams);
        if let Some((connection_id, connection)) =
            available.max_by_key(|(connection_id, connection)| {
                (connection.attempts_in_flight, **connection_id)
            })
        {
            connection.attempts_in_flight += 1;
            return Some((*connection_id, connection.channel.clone()));
        }
        if self.connections.len() >= self.settings().max_per_engine {
            return None;
        }
        let Some(slot) = self.transport.slots.try_acquire(self.settings().max_total) else {
            self.transport.slots.signal_shortage();
            return None;
        };
        self.last_connection_id += 1;
        let connect_timeout = to_duration(self.settings().connect_timeout);
        let channel = open_channel(self.endpoint.clone(), connect_timeout)
            .boxed()
            .shared();
        let connection = Connection {
            _slot: slot,
            channel: channel.clone(),
            attempts_in_flight: 1,
            last_used_at: Instant::now(),
        };
        self.connections.insert(self.last_connection_id, connection);
        Some((self.last_connection_id, channel))
    }

    async fn send(&mut self, attempt: Attempt) {
        let (request_id, attempt_no) = (attempt.request, attempt.attempt_no);
        // An earlier attempt of this request may still be serving its result, which must not be cut off.
        let stream = if self.running_attempts.contains_key(&request_id) {
            None
        } else {
            self.reserve_stream()
        };
        let Some((connection_id, channel)) = stream else {
            // `NotRun` does not count as a failure of the engine.
            self.reporter
                .attempt_ended(request_id, attempt_no, AttemptResult::NotRun)
                .await;
            return;
        };
        let (page_requests, page_receiver) = mpsc::channel(PAGE_REQUEST_CAPACITY);
        let (cancel_on_drop, cancelled) = oneshot::channel();
        let running = RunningAttempt {
            attempt_no,
            connection_id,
            page_requests,
            cancel_on_drop,
        };
        self.running_attempts.insert(request_id, running);
        let task = AttemptTask {
            attempt,
            endpoint: self.endpoint.clone(),
            reporter: self.reporter.clone(),
            transport: self.transport.clone(),
        };
        let (finished, finished_by_panic) = (self.finished.clone(), self.finished.clone());
        let (panic_reporter, cancel_reporter) = (self.reporter.clone(), self.reporter.clone());
        let to_finished = move |is_connection_broken| AttemptFinished {
            request_id,
            attempt_no,
            connection_id,
            is_connection_broken,
        };
        let run = async move {
            let is_connection_broken = tokio::select! {
                biased;
                _ = cancelled => None,
                is_broken = task.run(channel, page_receiver) => Some(is_broken),
            };
            if is_connection_broken.is_none() {
                cancel_reporter
                    .abort_confirmed(request_id, attempt_no)
                    .await;
            }
            let is_connection_broken = is_connection_broken.unwrap_or(false);
            // Sending fails only if the actor has ended.
            let _ = finished.send(to_finished(is_connection_broken)).await;
        };
        supervise::spawn_supervised(format!("attempt at {}", self.endpoint), run, move || {
            tokio::spawn(async move {
                panic_reporter
                    .attempt_ended(request_id, attempt_no, AttemptResult::Reset)
                    .await;
                let _ = finished_by_panic.send(to_finished(true)).await;
            });
        });
    }

    fn cancel(&mut self, request_id: RequestId, attempt_no: AttemptNo) {
        if self.is_running(request_id, attempt_no)
            && let Some(running) = self.running_attempts.remove(&request_id)
        {
            drop(running.cancel_on_drop);
        }
    }

    fn reprioritize(&mut self, request_id: RequestId, attempt_no: AttemptNo, priority: u8) {
        let running = self
            .running_attempts
            .get(&request_id)
            .filter(|running| running.attempt_no == attempt_no);
        let connection = running.and_then(|running| self.connections.get(&running.connection_id));
        let Some(channel) = connection.and_then(Connection::open_channel) else {
            return;
        };
        let action = Action::new(
            REPRIORITIZE_ACTION,
            format!("{:016x} {priority}", request_id.0),
        );
        tokio::spawn(async move {
            // Engines that do not support priorities answer with an error, which is ignored.
            let _ = client(channel).do_action(action).await;
        });
    }

    fn probe(&mut self) {
        let channel = self.connections.values().find_map(Connection::open_channel);
        let (endpoint, reporter) = (self.endpoint.clone(), self.reporter.clone());
        let connect_timeout = to_duration(self.settings().connect_timeout);
        let (slots, max_connections) = (self.transport.slots.clone(), self.settings().max_total);
        tokio::spawn(async move {
            let answer = match channel {
                Some(channel) => request_load_report(channel, connect_timeout).await,
                None => None,
            };
            let probe = match answer {
                Some(probe) => probe,
                // There was no open connection, or it has just failed, which says nothing of the engine.
                None => match slots.try_acquire(max_connections) {
                    Some(_slot) => probe_over_new_connection(endpoint, connect_timeout).await,
                    None => ProbeResult::ConnectFailed,
                },
            };
            reporter.send(EngineReport::Probed(probe)).await;
        });
    }
}

async fn probe_over_new_connection(endpoint: String, connect_timeout: Duration) -> ProbeResult {
    let Some(opened) = open_channel(endpoint, connect_timeout).await else {
        return ProbeResult::ConnectFailed;
    };
    // A connection that closes at once is no sign of an engine that is up.
    let answer = request_load_report(opened.channel, connect_timeout).await;
    answer.unwrap_or(ProbeResult::Down)
}

/// Asks for a load report; `None` if the connection failed before the answer.
async fn request_load_report(channel: Channel, time_limit: Duration) -> Option<ProbeResult> {
    let call = async {
        let mut results = client(channel)
            .do_action(Action::new(LOAD_REPORT_ACTION, ""))
            .await?;
        results.get_mut().message().await
    };
    Some(match timeout(time_limit, call).await {
        Err(_) => ProbeResult::TimedOut,
        Ok(Ok(result)) => ProbeResult::Up(result.and_then(|result| parse_load(&result.body))),
        Ok(Err(status)) if is_transport_failure(&status) => return None,
        // The engine is up but does not support load reports.
        Ok(Err(status)) if status.code() == Code::Unimplemented => ProbeResult::Up(None),
        Ok(Err(_)) => ProbeResult::Down,
    })
}

fn parse_load(body: &[u8]) -> Option<LoadReport> {
    let values = std::str::from_utf8(body)
        .ok()?
        .split(';')
        .filter_map(|gauge| {
            let (name, value) = gauge.split_once(':')?;
            Some((name, value.parse().ok()?))
        });
    Some(sedgebeam_settings::load_report(values))
}

#[cfg(test)]
mod tests;
