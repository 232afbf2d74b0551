//! The actor of an engine that speaks RESP. A malformed answer ends all attempts in flight on its connection, so
//! attempts are spread over as many connections as the settings allow.
//!
//! Connects are limited (see `sedgebeam_fleet::reconnect`); otherwise an engine that rejects connections would get a
//! connect for each attempt. While no connect is permitted, attempts share the connections that are proven to work. If
//! there is none, an attempt ends at once as not run and as a failed connect, so that the gateway chooses other
//! engines.

mod codec;
mod connection;
mod write_queue;

use crate::NetworkTransport;
use bytes::{Bytes, BytesMut};
use codec::{Command, Reply, ReplyBody, ReplySubject};
use connection::{Connection, ConnectionEvent, ConnectionId, ConnectionTask};
use sedgebeam_core::{AttemptNo, LoadReport, Micros, RequestId};
use sedgebeam_fleet::reconnect::{
    Backoff, BackoffConfig, ConnectionEnd, Permit, TrackedConnection,
};
use sedgebeam_port::clock::{to_duration, to_micros};
use sedgebeam_port::{
    Attempt, AttemptResult, EngineCommand, EngineReport, EngineReporter, IdleEngine, Page,
    ProbeResult,
};
use sedgebeam_settings::ConnectionSettings;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;
use write_queue::AttemptKey;

/// Maximum number of connection events that wait for the actor. While the channel is full, the tasks of the connections
/// wait.
const EVENT_CAPACITY: usize = 1024;
/// Fraction of the engine's idle timeout after which this side closes an idle connection. A command written while the
/// engine closes the connection would count as one that may have run.
const IDLE_FRACTION: f64 = 0.7;
/// Delay of the check for overdue work after the first deadline, so that one check handles all deadlines that are close
/// together.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// A requested page that has not arrived within this time counts as lost.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// If an abort is not written within this time, its connection is closed instead. Stalls of engines are shorter.
const ABORT_WRITE_TIMEOUT: Duration = Duration::from_millis(250);

/// An attempt in flight.
struct InFlightAttempt {
    attempt_no: AttemptNo,
    connection_id: ConnectionId,
    sent_at: Instant,
    /// The attempt while its connection is being made; `None` once it is handed to the connection.
    awaiting_connection: Option<Attempt>,
    /// Cancelled when the attempt may no longer be written.
    cancel_token: CancellationToken,
    /// The result, while further pages of it are missing.
    partial_result: Option<PartialResult>,
}

/// A cancelled attempt, until its abort is written or its connection is closed.
struct PendingAbort {
    attempt_no: AttemptNo,
    requested_at: Instant,
}

/// A result with missing pages. It is reported only when it is complete: if a page is lost before, another engine can
/// run the request, provided that its class allows that.
struct PartialResult {
    pages: Vec<Option<Bytes>>,
    work_ms: Option<f64>,
    load: Option<LoadReport>,
    last_page_at: Instant,
}

impl PartialResult {
    /// All rows, if every page has arrived.
    fn complete_rows(&self) -> Option<Bytes> {
        let mut rows = BytesMut::new();
        for page in &self.pages {
            rows.extend_from_slice(page.as_ref()?);
        }
        Some(rows.freeze())
    }
}

/// Why there is no connection for an attempt.
#[derive(Clone, Copy, Debug)]
enum NoConnection {
    /// All connections are full and no more may be opened, which is not a failure of the engine.
    AtCapacity,
    /// The engine rejected the last connect, and no other connection is proven to work.
    Rejected,
}

impl NoConnection {
    fn attempt_result(self) -> AttemptResult {
        match self {
            NoConnection::AtCapacity => AttemptResult::NotRun,
            NoConnection::Rejected => AttemptResult::ConnectFailed,
        }
    }
}

struct Actor {
    endpoint: String,
    transport: NetworkTransport,
    reporter: EngineReporter,
    events: mpsc::Sender<(ConnectionId, ConnectionEvent)>,
    connections: HashMap<ConnectionId, Connection>,
    last_connection_id: u64,
    backoff: Backoff,
    /// The origin of the backoff's timestamps.
    started_at: Instant,
    attempts_in_flight: HashMap<RequestId, InFlightAttempt>,
    pending_aborts: HashMap<(ConnectionId, RequestId), PendingAbort>,
    /// The send times of unanswered probes by their tags.
    unanswered_probes: HashMap<u64, Instant>,
    last_probe_tag: u64,
    /// Attempts and probes received from the mailbox.
    received_count: u64,
}

/// Runs the actor of the engine at `endpoint` until its mailbox is closed and it has nothing in flight. `weak_mailbox`
/// is a sender of that mailbox, for the report that the actor is idle.
pub async fn run(
    endpoint: String,
    transport: NetworkTransport,
    weak_mailbox: mpsc::WeakSender<EngineCommand>,
    mut mailbox: mpsc::Receiver<EngineCommand>,
    reporter: EngineReporter,
) {
    let (events, mut incoming_events) = mpsc::channel(EVENT_CAPACITY);
    let (mut settings, mut slot_shortage) = (
        transport.connections.clone(),
        transport.slots.subscribe_shortage(),
    );
    let mut actor = Actor::new(endpoint, transport, reporter, events);
    let mut reported_count = 0;
    loop {
        if actor.is_idle() && actor.received_count != reported_count {
            reported_count = actor.received_count;
            let (mailbox, received_count) = (weak_mailbox.clone(), actor.received_count);
            let idle_report = EngineReport::Idle(IdleEngine {
                mailbox,
                received_count,
            });
            actor.reporter.send(idle_report).await;
        }
        let next_check = actor.next_check_at();
        tokio::select! {
            command = mailbox.recv() => match command {
                Some(command) => {
                    // Pending events come first: the connection of an attempt may be up, so that it is no longer
                    // unsent.
                    while let Ok((connection_id, event)) = incoming_events.try_recv() {
                        actor.handle_event(connection_id, event).await;
                    }
                    actor.handle_command(command).await;
                }
                // Attempts and results hold a sender of the mailbox, so none is in flight.
                None => return,
            },
            Some((connection_id, event)) = incoming_events.recv() =>
                actor.handle_event(connection_id, event).await,
            Ok(()) = settings.changed() => actor.check_deadlines().await,
            Ok(()) = slot_shortage.changed() => actor.close_idle(|_| true),
            () = sleep_until(next_check.unwrap_or_else(Instant::now)), if next_check.is_some() =>
                actor.check_deadlines().await,
        }
    }
}

impl Actor {
    fn new(
        endpoint: String,
        transport: NetworkTransport,
        reporter: EngineReporter,
        events: mpsc::Sender<(ConnectionId, ConnectionEvent)>,
    ) -> Actor {
        // Random in each process, so that dispatchers do not connect to an engine at the same times.
        let seed = RandomState::new().hash_one(&endpoint);
        Actor {
            endpoint,
            transport,
            reporter,
            events,
            connections: HashMap::new(),
            last_connection_id: 0,
            backoff: Backoff::new(seed),
            started_at: Instant::now(),
            attempts_in_flight: HashMap::new(),
            pending_aborts: HashMap::new(),
            unanswered_probes: HashMap::new(),
            last_probe_tag: 0,
            received_count: 0,
        }
    }

    /// Whether the actor may end. It may not while its engine rejects connections, since the state of the backoff would
    /// be lost.
    fn is_idle(&self) -> bool {
        self.attempts_in_flight.is_empty()
            && self.pending_aborts.is_empty()
            && self.unanswered_probes.is_empty()
            && self.connections.is_empty()
            && !self.backoff.is_failing()
    }

    /// When to check for overdue work next; `None` while nothing is in flight and no connection is open, so that the
    /// hundreds of engines of a dispatcher, most of them idle, need no timers.
    fn next_check_at(&self) -> Option<Instant> {
        let settings = self.settings();
        let pages = self.page_deadlines().map(|(_, deadline)| deadline);
        let aborts = self.abort_deadlines().map(|(_, deadline)| deadline);
        let probe_timeout = to_duration(settings.connect_timeout);
        let probes = self
            .unanswered_probes
            .values()
            .map(|sent_at| *sent_at + probe_timeout);
        let idle_timeout = to_duration(settings.idle_timeout).mul_f64(IDLE_FRACTION);
        let idle_connections = self
            .connections
            .values()
            .filter(|connection| !connection.is_busy());
        let idle_closes = idle_connections.map(|connection| {
            if connection.is_retiring {
                Instant::now()
            } else {
                connection.last_used_at + idle_timeout
            }
        });
        pages
            .chain(aborts)
            .chain(probes)
            .chain(idle_closes)
            .min()
            .map(|first| first + CHECK_DELAY)
    }

    /// The deadline for the next page of each partial result on connections that are not abandoned.
    fn page_deadlines(&self) -> impl Iterator<Item = (ConnectionId, Instant)> {
        let attempts = self.attempts_in_flight.values();
        let attempts =
            attempts.filter(|attempt| self.connections.contains_key(&attempt.connection_id));
        attempts.filter_map(|attempt| {
            Some((
                attempt.connection_id,
                attempt.partial_result.as_ref()?.last_page_at + PAGE_TIMEOUT,
            ))
        })
    }

    /// The deadline for writing each abort on connections that are not abandoned.
    fn abort_deadlines(&self) -> impl Iterator<Item = (ConnectionId, Instant)> {
        let aborts = self.pending_aborts.iter();
        let aborts =
            aborts.filter(|((connection_id, _), _)| self.connections.contains_key(connection_id));
        aborts.map(|((connection_id, _), abort)| {
            (*connection_id, abort.requested_at + ABORT_WRITE_TIMEOUT)
        })
    }

    fn settings(&self) -> ConnectionSettings {
        *self.transport.connections.borrow()
    }

    async fn handle_command(&mut self, command: EngineCommand) {
        self.received_count += u64::from(matches!(
            command,
            EngineCommand::Send(_) | EngineCommand::Probe
        ));
        match command {
            EngineCommand::Send(attempt) => self.send(attempt).await,
            EngineCommand::Abort(request_id, attempt_no) => {
                self.abort(request_id, attempt_no).await
            }
            EngineCommand::Reprioritize(request_id, attempt_no, priority) => {
                let in_flight = self
                    .attempts_in_flight
                    .get_mut(&request_id)
                    .filter(|in_flight| in_flight.attempt_no == attempt_no);
                if let Some(attempt) =
                    in_flight.and_then(|in_flight| in_flight.awaiting_connection.as_mut())
                {
                    attempt.priority = priority;
                } else if let Some(in_flight) = self
                    .attempts_in_flight
                    .get(&request_id)
                    .filter(|in_flight| in_flight.attempt_no == attempt_no)
                {
                    self.send_command(
                        in_flight.connection_id,
                        Command::Reprioritize(request_id, priority),
                    );
                }
            }
            EngineCommand::Probe => self.probe().await,
            // Results are passed on complete, so there are no further pages to request.
            EngineCommand::FetchPage(_) | EngineCommand::ReleaseResult(..) => {}
            EngineCommand::ReturnUnsent => self.return_unsent().await,
        }
    }

    // ---- Attempts ----

    async fn send(&mut self, attempt: Attempt) {
        let (request_id, attempt_no) = (attempt.request, attempt.attempt_no);
        let connection_id = match self.select_connection(Some(request_id)) {
            Ok(connection_id) => connection_id,
            Err(reason) => {
                return self
                    .reporter
                    .attempt_ended(request_id, attempt_no, reason.attempt_result())
                    .await;
            }
        };
        let is_up = match self.connections.get_mut(&connection_id) {
            Some(connection) => {
                connection.attempts_in_flight += 1;
                connection.is_up
            }
            None => false,
        };
        let in_flight = InFlightAttempt {
            attempt_no,
            connection_id,
            sent_at: Instant::now(),
            cancel_token: attempt.cancel_token.clone(),
            awaiting_connection: Some(attempt),
            partial_result: None,
        };
        self.attempts_in_flight.insert(request_id, in_flight);
        if is_up {
            self.write(request_id).await;
        }
    }

    /// Hands an attempt to its connection, which is up. Until then the attempt stays here: it may be cancelled, and
    /// must not be written after another attempt has answered its request.
    async fn write(&mut self, request_id: RequestId) {
        let Some(in_flight) = self.attempts_in_flight.get_mut(&request_id) else {
            return;
        };
        let (connection_id, attempt_no) = (in_flight.connection_id, in_flight.attempt_no);
        let Some(attempt) = in_flight.awaiting_connection.take() else {
            return;
        };
        if !self.send_command(connection_id, Command::Fetch(attempt)) {
            self.attempts_in_flight.remove(&request_id);
            self.release_from(connection_id);
            self.report_unsent(request_id, attempt_no).await;
        }
    }

    /// An attempt is no longer in flight on the connection.
    fn release_from(&mut self, connection_id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.attempt_ended();
        }
    }

    /// An attempt was withdrawn before its first byte was written.
    async fn attempt_withdrawn(
        &mut self,
        connection_id: ConnectionId,
        (request_id, attempt_no): AttemptKey,
    ) {
        if self
            .in_flight_on(connection_id, request_id)
            .is_some_and(|in_flight| in_flight.attempt_no == attempt_no)
        {
            self.end_attempt(connection_id, request_id, AttemptResult::NotRun)
                .await;
        } else {
            self.abort_written(connection_id, request_id).await;
        }
    }

    /// The abort of an attempt has been written, or the attempt was withdrawn: it is no longer in flight.
    async fn abort_written(&mut self, connection_id: ConnectionId, request_id: RequestId) {
        if let Some(abort) = self.pending_aborts.remove(&(connection_id, request_id)) {
            self.reporter
                .abort_confirmed(request_id, abort.attempt_no)
                .await;
        }
    }

    /// Reports that an attempt was not written to any connection.
    async fn report_unsent(&self, request_id: RequestId, attempt_no: AttemptNo) {
        self.reporter
            .attempt_ended(request_id, attempt_no, AttemptResult::ConnectFailed)
            .await;
    }

    /// The most recently used idle connection; else a new one, if one may be opened; else the one with the fewest
    /// attempts in flight. A probe (no request) gets the latter even if it is not idle.
    fn select_connection(
        &mut self,
        request_id: Option<RequestId>,
    ) -> Result<ConnectionId, NoConnection> {
        let shared = self.least_loaded(request_id);
        let has_none_in_flight = |connection_id: ConnectionId| {
            self.connections
                .get(&connection_id)
                .is_some_and(|connection| connection.attempts_in_flight == 0)
        };
        if let Some(connection_id) = shared
            && (request_id.is_none() || has_none_in_flight(connection_id))
        {
            return Ok(connection_id);
        }
        match (self.backoff.permit(self.backoff_now()), shared) {
            (Permit::BackingOff, None) => Err(self.no_connection_reason()),
            (Permit::BackingOff | Permit::PreferReuse, Some(connection_id)) => Ok(connection_id),
            (Permit::Granted | Permit::PreferReuse, _) => {
                let opened = self.open_connection(shared.is_none());
                opened.or(shared).ok_or(NoConnection::AtCapacity)
            }
        }
    }

    /// The connection with the fewest attempts in flight that has room for one more, is not retiring and has not
    /// carried this request before. While the engine rejects connections, an unproven connection carries only one
    /// attempt at a time, because everything written to it may be lost.
    fn least_loaded(&self, request_id: Option<RequestId>) -> Option<ConnectionId> {
        let (now, max_streams) = (self.backoff_now(), self.settings().max_streams);
        let usable = self.connections.iter().filter(|(_, connection)| {
            let has_carried =
                request_id.is_some_and(|request_id| connection.has_carried(request_id));
            let is_reserved = self.backoff.is_failing()
                && connection.attempts_in_flight > 0
                && !self.backoff.is_proven(&connection.tracked_connection, now);
            !connection.is_retiring
                && connection.attempts_in_flight < max_streams
                && !has_carried
                && !is_reserved
        });
        let preference = |connection: &Connection| {
            (
                Reverse(connection.attempts_in_flight),
                connection.is_up,
                connection.last_used_at,
            )
        };
        let best = usable
            .max_by_key(|(connection_id, connection)| (preference(connection), connection_id.0));
        best.map(|(connection_id, _)| *connection_id)
    }

    /// Why an attempt has no connection while the backoff permits no connect.
    fn no_connection_reason(&self) -> NoConnection {
        let now = self.backoff_now();
        let is_proven = |connection: &Connection| {
            !connection.is_retiring && self.backoff.is_proven(&connection.tracked_connection, now)
        };
        if self.connections.values().any(is_proven) {
            NoConnection::AtCapacity
        } else {
            NoConnection::Rejected
        }
    }

    /// Opens a connection, if the settings allow one more and a slot is free. If no slot is free and the engine has no
    /// other connection (`is_required`), the actors of other engines close idle connections.
    fn open_connection(&mut self, is_required: bool) -> Option<ConnectionId> {
        let settings = self.settings();
        if self.connections.len() >= settings.max_per_engine {
            return None;
        }
        let Some(slot) = self.transport.slots.try_acquire(settings.max_total) else {
            if is_required {
                self.transport.slots.signal_shortage();
            }
            return None;
        };
        self.last_connection_id += 1;
        let connection_id = ConnectionId(self.last_connection_id);
        let task = ConnectionTask {
            id: connection_id,
            endpoint: self.endpoint.clone(),
            connect_timeout: to_duration(settings.connect_timeout),
            events: self.events.clone(),
            metrics: self.transport.metrics.clone(),
        };
        let tracked_connection = self.backoff.begin(self.backoff_now());
        let connection = Connection::open(task, slot, tracked_connection);
        self.connections.insert(connection_id, connection);
        Some(connection_id)
    }

    /// The current time of the backoff, in microseconds since the actor started.
    fn backoff_now(&self) -> u64 {
        to_micros(self.started_at.elapsed()).0
    }

    fn backoff_config(&self) -> BackoffConfig {
        BackoffConfig::new(self.settings().connect_timeout.0)
    }

    /// Hands a command to a connection; returns false if its channel is full or the connection is closed.
    fn send_command(&self, connection_id: ConnectionId, command: Command) -> bool {
        let connection = self.connections.get(&connection_id);
        connection.is_some_and(|connection| connection.commands.try_send(command).is_ok())
    }

    async fn abort(&mut self, request_id: RequestId, attempt_no: AttemptNo) {
        let in_flight = match self.attempts_in_flight.entry(request_id) {
            Entry::Occupied(entry) if entry.get().attempt_no == attempt_no => entry.remove(),
            // The attempt has ended.
            _ => return self.reporter.abort_confirmed(request_id, attempt_no).await,
        };
        if in_flight.awaiting_connection.is_some() {
            self.release_from(in_flight.connection_id);
            return self.reporter.abort_confirmed(request_id, attempt_no).await;
        }
        in_flight.cancel_token.cancel();
        // If the first page has arrived, `Done` declines the others; otherwise the request is aborted.
        let is_answered = in_flight.partial_result.is_some();
        let command = if is_answered {
            Command::Done(request_id)
        } else {
            Command::Abort(request_id)
        };
        let is_queued = self.send_command(in_flight.connection_id, command);
        if let Some(connection) = self.connections.get_mut(&in_flight.connection_id) {
            connection.attempt_cancelled(request_id, in_flight.sent_at);
            // Without the command the engine would continue to run the request. When the connection is closed, the
            // engine aborts all requests on it.
            connection.is_retiring |= !is_queued;
        }
        if is_answered {
            return self.reporter.abort_confirmed(request_id, attempt_no).await;
        }
        let requested_at = Instant::now();
        let pending_abort = PendingAbort {
            attempt_no,
            requested_at,
        };
        self.pending_aborts
            .insert((in_flight.connection_id, request_id), pending_abort);
    }

    /// The attempt that an answer on this connection refers to. A late answer on another connection must not affect the
    /// attempt that is in flight now.
    fn in_flight_on(
        &mut self,
        connection_id: ConnectionId,
        request_id: RequestId,
    ) -> Option<&mut InFlightAttempt> {
        let in_flight = self.attempts_in_flight.get_mut(&request_id);
        in_flight.filter(|in_flight| in_flight.connection_id == connection_id)
    }

    /// Removes an attempt from this connection and reports its result.
    async fn end_attempt(
        &mut self,
        connection_id: ConnectionId,
        request_id: RequestId,
        result: AttemptResult,
    ) {
        if self.in_flight_on(connection_id, request_id).is_none() {
            return;
        }
        let Some(in_flight) = self.attempts_in_flight.remove(&request_id) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.attempt_ended();
            if !matches!(result, AttemptResult::Ok { .. }) {
                connection.remember_request(request_id);
            }
        }
        self.reporter
            .attempt_ended(request_id, in_flight.attempt_no, result)
            .await;
    }

    // ---- Results ----

    async fn begin_result(
        &mut self,
        connection_id: ConnectionId,
        request_id: RequestId,
        mut result: PartialResult,
    ) {
        let Some(in_flight) = self.in_flight_on(connection_id, request_id) else {
            // A cancelled attempt needs no pages. Requests that were never sent on this connection are ignored.
            let connection = self.connections.get(&connection_id);
            if connection.is_some_and(|connection| connection.has_carried(request_id)) {
                self.send_command(connection_id, Command::Done(request_id));
            }
            return;
        };
        // A duplicate of the answer must not start the result again.
        if in_flight.partial_result.is_some() {
            return;
        }
        let page_count = result.pages.len() as u32;
        result.last_page_at = Instant::now();
        in_flight.partial_result = Some(result);
        let all_requested = (1..page_count)
            .all(|page| self.send_command(connection_id, Command::More(request_id, page)));
        if all_requested {
            self.report_if_complete(connection_id, request_id).await;
        } else {
            self.abandon(connection_id, "it accepts no more commands");
        }
    }

    async fn add_page(
        &mut self,
        connection_id: ConnectionId,
        request_id: RequestId,
        page_index: u32,
        rows: Bytes,
    ) {
        let Some(in_flight) = self.in_flight_on(connection_id, request_id) else {
            return;
        };
        let page = in_flight.partial_result.as_mut().and_then(|result| {
            result.last_page_at = Instant::now();
            result.pages.get_mut(page_index as usize)
        });
        let Some(page) = page else {
            // The page was never requested, so this answer and those that follow can't be trusted.
            return self.abandon(connection_id, "a page arrived that was not requested");
        };
        if page.is_none() {
            *page = Some(rows);
            self.report_if_complete(connection_id, request_id).await;
        }
    }

    /// Reports a result once all its pages have arrived.
    async fn report_if_complete(&mut self, connection_id: ConnectionId, request_id: RequestId) {
        let result = self
            .in_flight_on(connection_id, request_id)
            .and_then(|in_flight| in_flight.partial_result.as_ref());
        let Some((rows, result)) =
            result.and_then(|result| Some((result.complete_rows()?, result)))
        else {
            return;
        };
        // Truncated to whole milliseconds, like the work that the simulator bills.
        let work = result
            .work_ms
            .map(|work_ms| Micros::from_millis(work_ms as u64));
        let (load, has_several_pages) = (result.load, result.pages.len() > 1);
        if has_several_pages {
            self.send_command(connection_id, Command::Done(request_id));
        }
        let page = Page {
            rows,
            is_last: true,
        };
        self.end_attempt(
            connection_id,
            request_id,
            AttemptResult::Ok { page, work, load },
        )
        .await;
    }

    // ---- Answers ----

    async fn handle_event(&mut self, connection_id: ConnectionId, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Connected => {
                let (now, backoff_config) = (self.backoff_now(), self.backoff_config());
                if let Some(connection) = self.connections.get_mut(&connection_id) {
                    connection.is_up = true;
                    self.backoff.record_connected(
                        &connection.tracked_connection,
                        now,
                        &backoff_config,
                    );
                }
                let waiting = self
                    .attempts_in_flight
                    .iter()
                    .filter(|(_, in_flight)| in_flight.connection_id == connection_id);
                let waiting: Vec<RequestId> = waiting.map(|(request_id, _)| *request_id).collect();
                for request_id in waiting {
                    self.write(request_id).await;
                }
            }
            ConnectionEvent::Reply(reply) => self.handle_reply(connection_id, reply).await,
            ConnectionEvent::Withdrawn(attempt_key) => {
                self.attempt_withdrawn(connection_id, attempt_key).await
            }
            ConnectionEvent::AbortWritten(request_id) => {
                self.abort_written(connection_id, request_id).await
            }
            ConnectionEvent::Closed { unwritten, error } => {
                self.connection_closed(connection_id, &unwritten, error)
                    .await
            }
        }
    }

    async fn handle_reply(&mut self, connection_id: ConnectionId, reply: Reply) {
        self.reply_received(connection_id);
        let request_id = match reply.subject {
            ReplySubject::Request(request_id) => request_id,
            ReplySubject::ProbeTag(tag) => return self.probe_answered(tag, reply.body).await,
            ReplySubject::Unknown => return,
        };
        // Answers on an abandoned connection are ignored, although it may not be closed yet.
        if !self.connections.contains_key(&connection_id) {
            return;
        }
        match reply.body {
            ReplyBody::Note(note) => {
                let attempt_no = self
                    .in_flight_on(connection_id, request_id)
                    .map(|in_flight| in_flight.attempt_no);
                if let Some((attempt_no, note)) = attempt_no.zip(note) {
                    self.reporter
                        .send(EngineReport::Note(request_id, attempt_no, note))
                        .await;
                }
            }
            ReplyBody::Rows { page, rows } => {
                self.add_page(connection_id, request_id, page, rows).await
            }
            ReplyBody::Ok {
                page_count,
                work_ms,
                load,
                rows,
            } => {
                let mut pages = vec![None; page_count as usize];
                pages[0] = Some(rows);
                let last_page_at = Instant::now();
                let result = PartialResult {
                    pages,
                    work_ms,
                    load,
                    last_page_at,
                };
                self.begin_result(connection_id, request_id, result).await;
            }
            ReplyBody::Busy => {
                self.end_attempt(connection_id, request_id, AttemptResult::Busy)
                    .await
            }
            ReplyBody::Void => {
                self.end_attempt(connection_id, request_id, AttemptResult::NotRun)
                    .await
            }
            // Engines also send this for a lost page.
            ReplyBody::Err => {
                self.end_attempt(connection_id, request_id, AttemptResult::Error)
                    .await
            }
            ReplyBody::Malformed(reason)
                if self.in_flight_on(connection_id, request_id).is_some() =>
            {
                self.abandon(connection_id, &reason);
            }
            // `Up` and `Down` answer probes, not requests.
            ReplyBody::Malformed(_) | ReplyBody::Up(_) | ReplyBody::Down => {}
        }
    }

    // ---- Connections ----

    /// Records that an answer arrived on a connection.
    fn reply_received(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return;
        };
        connection.last_seen_at = Instant::now();
        if let Some(failed_count) = self
            .backoff
            .record_response(&mut connection.tracked_connection)
        {
            log::info!(
                "connecting to {} succeeds again after {failed_count} failed connects",
                self.endpoint
            );
        }
    }

    /// A connection has ended, or its connect failed.
    async fn connection_closed(
        &mut self,
        connection_id: ConnectionId,
        unwritten: &[RequestId],
        error: Option<io::Error>,
    ) {
        if let Some(connection) = self.connections.remove(&connection_id) {
            self.connect_ended(connection.tracked_connection, error);
        }
        self.end_attempts_on(connection_id, unwritten).await;
    }

    /// Logs each end of a proven connection, and of a series of failed connects only the first.
    fn connect_ended(&mut self, tracked_connection: TrackedConnection, error: Option<io::Error>) {
        let (now, backoff_config) = (self.backoff_now(), self.backoff_config());
        let connection_end = self
            .backoff
            .record_end(tracked_connection, now, &backoff_config);
        let reason = error.map_or("its task panicked".to_string(), |error| error.to_string());
        match connection_end {
            ConnectionEnd::Proven => log::info!("connection to {} ended: {reason}", self.endpoint),
            ConnectionEnd::FirstFailure => log::info!(
                "connecting to {} failed: {reason}; further failures are counted, not logged",
                self.endpoint
            ),
            ConnectionEnd::RepeatedFailure => {}
        }
    }

    /// Ends all attempts that were in flight on a closed connection.
    async fn end_attempts_on(&mut self, connection_id: ConnectionId, unwritten: &[RequestId]) {
        let lost_attempts = self
            .attempts_in_flight
            .extract_if(|_, in_flight| in_flight.connection_id == connection_id);
        let lost_attempts: Vec<(RequestId, InFlightAttempt)> = lost_attempts.collect();
        for (request_id, in_flight) in lost_attempts {
            let is_answered = in_flight.partial_result.is_some();
            let never_ran = !is_answered
                && (in_flight.awaiting_connection.is_some() || unwritten.contains(&request_id));
            let result = if never_ran {
                AttemptResult::ConnectFailed
            } else {
                AttemptResult::Reset
            };
            self.reporter
                .attempt_ended(request_id, in_flight.attempt_no, result)
                .await;
        }
        let aborted_attempts = self
            .pending_aborts
            .extract_if(|(abort_connection_id, _), _| *abort_connection_id == connection_id);
        let aborted_attempts: Vec<((ConnectionId, RequestId), PendingAbort)> =
            aborted_attempts.collect();
        for ((_, request_id), abort) in aborted_attempts {
            self.reporter
                .abort_confirmed(request_id, abort.attempt_no)
                .await;
        }
    }

    /// Drops a connection that is still open but no longer usable. Its attempts end only when its task has closed it,
    /// because the engine runs them until then.
    fn abandon(&mut self, connection_id: ConnectionId, reason: &str) {
        if let Some(connection) = self.connections.remove(&connection_id) {
            log::info!("connection to {} abandoned: {reason}", self.endpoint);
            self.backoff
                .record_local_close(connection.tracked_connection);
        }
    }

    /// Closes the idle connections for which `should_close` returns true.
    fn close_idle(&mut self, mut should_close: impl FnMut(&Connection) -> bool) {
        let closing = self
            .connections
            .extract_if(|_, connection| !connection.is_busy() && should_close(connection));
        for (_, connection) in closing {
            self.backoff
                .record_local_close(connection.tracked_connection);
        }
    }

    /// Returns all attempts that have not been written. Those that wait for a connection to come up are removed before
    /// the first is reported: a connection might come up while a report waits for the broker. Those that are queued at
    /// their connection are withdrawn there.
    async fn return_unsent(&mut self) {
        self.attempts_in_flight
            .values()
            .for_each(|in_flight| in_flight.cancel_token.cancel());
        let connection_ids = self.connections.keys().copied();
        for connection_id in connection_ids.collect::<Vec<_>>() {
            self.send_command(connection_id, Command::RecheckQueue);
        }
        let unsent = self
            .attempts_in_flight
            .extract_if(|_, in_flight| in_flight.awaiting_connection.is_some());
        let unsent: Vec<(RequestId, InFlightAttempt)> = unsent.collect();
        for (_, in_flight) in &unsent {
            self.release_from(in_flight.connection_id);
        }
        for (request_id, in_flight) in unsent {
            self.report_unsent(request_id, in_flight.attempt_no).await;
        }
    }

    async fn check_deadlines(&mut self) {
        let now = Instant::now();
        let idle_timeout = to_duration(self.settings().idle_timeout).mul_f64(IDLE_FRACTION);
        let (mut open_count, max_connections) =
            (self.connections.len(), self.settings().max_per_engine);
        self.close_idle(|connection| {
            // After the limit was lowered, idle connections beyond it are closed at once.
            let should_close = connection.is_retiring
                || now >= connection.last_used_at + idle_timeout
                || open_count > max_connections;
            open_count -= usize::from(should_close);
            should_close
        });
        let is_overdue = |deadline: &(ConnectionId, Instant)| now >= deadline.1;
        let overdue_pages: Vec<_> = self.page_deadlines().filter(is_overdue).collect();
        for (connection_id, _) in overdue_pages {
            self.abandon(connection_id, "a page did not arrive in time");
        }
        let overdue_aborts: Vec<_> = self.abort_deadlines().filter(is_overdue).collect();
        for (connection_id, _) in overdue_aborts {
            self.abandon(connection_id, "an abort was not written in time");
        }
        let probe_timeout = to_duration(self.settings().connect_timeout);
        let overdue_probes = self
            .unanswered_probes
            .extract_if(|_, sent_at| now >= *sent_at + probe_timeout);
        for _ in overdue_probes.collect::<Vec<_>>() {
            self.reporter
                .send(EngineReport::Probed(ProbeResult::TimedOut))
                .await;
        }
    }

    // ---- Probes ----

    async fn probe(&mut self) {
        self.last_probe_tag += 1;
        let tag = self.last_probe_tag;
        let connection_id = self.select_connection(None);
        if connection_id
            .is_ok_and(|connection_id| self.send_command(connection_id, Command::Stats(tag)))
        {
            self.unanswered_probes.insert(tag, Instant::now());
        } else {
            self.reporter
                .send(EngineReport::Probed(ProbeResult::ConnectFailed))
                .await;
        }
    }

    async fn probe_answered(&mut self, tag: u64, body: ReplyBody) {
        if self.unanswered_probes.remove(&tag).is_none() {
            return;
        }
        let probe_result = match body {
            ReplyBody::Up(load) => ProbeResult::Up(load),
            _ => ProbeResult::Down,
        };
        self.reporter.send(EngineReport::Probed(probe_result)).await;
    }
}

#[cfg(test)]
mod tests;
