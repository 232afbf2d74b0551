//! The actor of an engine that speaks RESP. An answer that is spoilt takes all with it that is out on its
//! connection, so attempts are spread over as many connections as there may be.
//!
//! Connects are limited (`sedgebeam_fleet::reconnect`): an engine that turns connections away would else be called again for
//! each attempt. While they are, attempts share the connections that have proved good. Without one, an attempt ends at once
//! as one that never ran, and counts as a failed connect, so that the module turns to other engines.

mod codec;
mod connection;
mod outgoing;

use crate::NetworkTransport;
use bytes::{Bytes, BytesMut};
use codec::{About, Command, Reply, Word};
use connection::{Came, Connection, Link, Number};
use outgoing::Named;
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

/// What came from connections and waits for the actor; they wait beyond it.
const MAILBOX: usize = 1024;
/// An idle connection is closed at this part of the time after which the engine closes it: what crosses
/// the engine's close would look as if it may have run.
const IDLE_PART: f64 = 0.7;
const LOOK_AFTER: Duration = Duration::from_millis(20);
/// A page that has been asked for comes within this time, or never.
const PAGE_LIMIT: Duration = Duration::from_millis(500);
/// An abort is written within this time, or its connection is closed instead. Engines stand still for less.
const ABORT_LIMIT: Duration = Duration::from_millis(250);

/// An attempt that is out.
struct Out {
    number: AttemptNo,
    connection: Number,
    sent: Instant,
    /// What is to be written once the connection is up; none once it has been handed to it.
    waiting: Option<Attempt>,
    /// Cancelled where it may not be written any more.
    cancelled: CancellationToken,
    /// The good answer, while pages of it are still to come.
    result: Option<Partial>,
}

/// An attempt that is given up, until its abort is written or its connection is closed.
struct Aborting {
    number: AttemptNo,
    since: Instant,
}

/// A result of which pages are still to come. It is passed on only once it is whole: what is lost before can
/// be had from another engine, where the class allows.
struct Partial {
    pages: Vec<Option<Bytes>>,
    work: Option<f64>,
    load: Option<LoadReport>,
    /// When the last page came.
    came: Instant,
}

impl Partial {
    fn whole(&self) -> Option<Bytes> {
        let mut rows = BytesMut::new();
        for page in &self.pages {
            rows.extend_from_slice(page.as_ref()?);
        }
        Some(rows.freeze())
    }
}

/// Why there is no connection for an attempt.
#[derive(Clone, Copy, Debug)]
enum Unconnected {
    /// None has room for it, and there may be no other: no fault of the engine's.
    NoRoom,
    /// The engine turned away the last connect, and serves on no other connection.
    TurnedAway,
}

impl Unconnected {
    fn end(self) -> AttemptResult {
        match self {
            Unconnected::NoRoom => AttemptResult::NotRun,
            Unconnected::TurnedAway => AttemptResult::ConnectFailed,
        }
    }
}

struct Actor {
    endpoint: String,
    transport: NetworkTransport,
    reports: EngineReporter,
    came: mpsc::Sender<(Number, Came)>,
    connections: HashMap<Number, Connection>,
    next_connection: u64,
    backoff: Backoff,
    /// The backoff's times count from here.
    started: Instant,
    out: HashMap<RequestId, Out>,
    aborting: HashMap<(Number, RequestId), Aborting>,
    probes: HashMap<u64, Instant>,
    next_probe: u64,
    /// Attempts and probes taken.
    taken: u64,
}

/// Runs until its mailbox is closed and nothing of it is out. Its own mailbox goes into the report that it rests.
pub async fn run(
    endpoint: String,
    transport: NetworkTransport,
    own: mpsc::WeakSender<EngineCommand>,
    mut mailbox: mpsc::Receiver<EngineCommand>,
    reports: EngineReporter,
) {
    let (came, mut incoming) = mpsc::channel(MAILBOX);
    let (mut limits, mut wanted) = (
        transport.connections.clone(),
        transport.slots.subscribe_shortage(),
    );
    let mut actor = Actor::new(endpoint, transport, reports, came);
    let mut reported = 0;
    loop {
        if actor.rests() && actor.taken != reported {
            reported = actor.taken;
            let (mailbox, taken) = (own.clone(), actor.taken);
            let resting = EngineReport::Idle(IdleEngine {
                mailbox,
                received_count: taken,
            });
            actor.reports.send(resting).await;
        }
        let look = actor.looks_at();
        tokio::select! {
            message = mailbox.recv() => match message {
                Some(message) => {
                    // That a connection is up is known before anything is taken back as unwritten.
                    while let Ok((number, came)) = incoming.try_recv() {
                        actor.came(number, came).await;
                    }
                    actor.take(message).await;
                }
                // Attempts and results hold a sender of the mailbox: none is left.
                None => return,
            },
            Some((number, came)) = incoming.recv() => actor.came(number, came).await,
            Ok(()) = limits.changed() => actor.look().await,
            Ok(()) = wanted.changed() => actor.close_idle(|_| true),
            () = sleep_until(look.unwrap_or_else(Instant::now)), if look.is_some() => actor.look().await,
        }
    }
}

impl Actor {
    fn new(
        endpoint: String,
        transport: NetworkTransport,
        reports: EngineReporter,
        came: mpsc::Sender<(Number, Came)>,
    ) -> Actor {
        // Drawn anew in each process, so that dispatchers do not call an engine together.
        let seed = RandomState::new().hash_one(&endpoint);
        Actor {
            endpoint,
            transport,
            reports,
            came,
            connections: HashMap::new(),
            next_connection: 0,
            backoff: Backoff::new(seed),
            started: Instant::now(),
            out: HashMap::new(),
            aborting: HashMap::new(),
            probes: HashMap::new(),
            next_probe: 0,
            taken: 0,
        }
    }

    /// Whether it may end. Not while its engine turns connections away: the backoff would be forgotten with it.
    fn rests(&self) -> bool {
        self.out.is_empty()
            && self.aborting.is_empty()
            && self.probes.is_empty()
            && self.connections.is_empty()
            && !self.backoff.is_failing()
    }

    /// When something may be overdue next; never, where nothing is out and no connection is kept: a dispatcher has hundreds
    /// of engines, and most of them rest.
    fn looks_at(&self) -> Option<Instant> {
        let settings = self.settings();
        let pages = self.pages_due().map(|(_, due)| due);
        let aborts = self.aborts_due().map(|(_, due)| due);
        let limit = to_duration(settings.connect_timeout);
        let probes = self.probes.values().map(|asked| *asked + limit);
        let idle = to_duration(settings.idle_timeout).mul_f64(IDLE_PART);
        let kept = self.connections.values().filter(|kept| !kept.busy());
        let goes = kept.map(|kept| {
            if kept.spent {
                Instant::now()
            } else {
                kept.used + idle
            }
        });
        // A little later, so that one look finds all that is overdue at about one time.
        pages
            .chain(aborts)
            .chain(probes)
            .chain(goes)
            .min()
            .map(|first| first + LOOK_AFTER)
    }

    /// By when the next page of each result must come, on connections that are not abandoned yet.
    fn pages_due(&self) -> impl Iterator<Item = (Number, Instant)> {
        let kept = self.out.values();
        let kept = kept.filter(|out| self.connections.contains_key(&out.connection));
        kept.filter_map(|out| Some((out.connection, out.result.as_ref()?.came + PAGE_LIMIT)))
    }

    /// By when each abort must be written, on connections that are not abandoned yet.
    fn aborts_due(&self) -> impl Iterator<Item = (Number, Instant)> {
        let kept = self.aborting.iter();
        let kept = kept.filter(|((number, _), _)| self.connections.contains_key(number));
        kept.map(|((number, _), aborting)| (*number, aborting.since + ABORT_LIMIT))
    }

    fn settings(&self) -> ConnectionSettings {
        *self.transport.connections.borrow()
    }

    async fn take(&mut self, message: EngineCommand) {
        self.taken += u64::from(matches!(
            message,
            EngineCommand::Send(_) | EngineCommand::Probe
        ));
        match message {
            EngineCommand::Send(attempt) => self.send(attempt).await,
            EngineCommand::Abort(id, number) => self.abort(id, number).await,
            EngineCommand::Reprioritize(id, number, rank) => {
                let out = self.out.get_mut(&id).filter(|out| out.number == number);
                if let Some(attempt) = out.and_then(|out| out.waiting.as_mut()) {
                    attempt.priority = rank;
                } else if let Some(out) = self.out.get(&id).filter(|out| out.number == number) {
                    self.command(out.connection, Command::Renice(id, rank));
                }
            }
            EngineCommand::Probe => self.probe().await,
            // Results are passed on whole: there is nothing more to ask for.
            EngineCommand::FetchPage(_) | EngineCommand::ReleaseResult(..) => {}
            EngineCommand::ReturnUnsent => self.nothing_new().await,
        }
    }

    // ---- Attempts ----

    async fn send(&mut self, attempt: Attempt) {
        let (id, number) = (attempt.request, attempt.number);
        let connection = match self.connection_for(Some(id)) {
            Ok(connection) => connection,
            Err(why) => return self.reports.attempt_ended(id, number, why.end()).await,
        };
        let up = match self.connections.get_mut(&connection) {
            Some(connection) => {
                connection.out += 1;
                connection.up
            }
            None => false,
        };
        let out = Out {
            number,
            connection,
            sent: Instant::now(),
            cancelled: attempt.cancel_token.clone(),
            waiting: Some(attempt),
            result: None,
        };
        self.out.insert(id, out);
        if up {
            self.write(id).await;
        }
    }

    /// Hands an attempt to its connection, which is up. One that waits for its connection stays here until then: it may
    /// be given up meanwhile, and must not be written after another attempt has answered its request.
    async fn write(&mut self, id: RequestId) {
        let Some(out) = self.out.get_mut(&id) else {
            return;
        };
        let (connection, number) = (out.connection, out.number);
        let Some(attempt) = out.waiting.take() else {
            return;
        };
        if !self.command(connection, Command::Fetch(attempt)) {
            self.out.remove(&id);
            self.ended_on(connection);
            self.never(id, number).await;
        }
    }

    /// An attempt is on this connection no longer.
    fn ended_on(&mut self, connection: Number) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.ended();
        }
    }

    /// An attempt was taken out before a byte of it was written.
    async fn withdrawn(&mut self, connection: Number, (id, number): Named) {
        if self
            .on(connection, id)
            .is_some_and(|out| out.number == number)
        {
            self.end(connection, id, AttemptResult::NotRun).await;
        } else {
            self.aborted(connection, id).await;
        }
    }

    /// An attempt that was given up is out no longer.
    async fn aborted(&mut self, connection: Number, id: RequestId) {
        if let Some(aborting) = self.aborting.remove(&(connection, id)) {
            self.reports.abort_confirmed(id, aborting.number).await;
        }
    }

    /// An attempt was not written to any connection.
    async fn never(&self, id: RequestId, number: AttemptNo) {
        self.reports
            .attempt_ended(id, number, AttemptResult::ConnectFailed)
            .await;
    }

    /// The connection that was idle least long, or a new one while there may be more, or the one that carries
    /// least.
    fn connection_for(&mut self, request: Option<RequestId>) -> Result<Number, Unconnected> {
        let shared = self.least_loaded(request);
        let idle = |number: Number| self.connections.get(&number).is_some_and(|c| c.out == 0);
        if let Some(number) = shared
            && (request.is_none() || idle(number))
        {
            return Ok(number);
        }
        match (self.backoff.permit(self.now()), shared) {
            (Permit::BackingOff, None) => Err(self.why_unconnected()),
            (Permit::BackingOff | Permit::PreferReuse, Some(number)) => Ok(number),
            (Permit::Granted | Permit::PreferReuse, _) => {
                let opened = self.open(shared.is_none());
                opened.or(shared).ok_or(Unconnected::NoRoom)
            }
        }
    }

    /// The connection that carries least, of those that have room. None that has carried this request before, nor one that
    /// is of no further use. While the engine turns connections away, one that has not proved good carries one attempt at a
    /// time: all that is written to it may be lost.
    fn least_loaded(&self, request: Option<RequestId>) -> Option<Number> {
        let (now, most) = (self.now(), self.settings().max_streams);
        let fit = self.connections.iter().filter(|(_, connection)| {
            let again = request.is_some_and(|id| connection.has_carried(id));
            let alone = self.backoff.is_failing()
                && connection.out > 0
                && !self.backoff.is_proven(&connection.connect, now);
            !connection.spent && connection.out < most && !again && !alone
        });
        let least =
            |connection: &Connection| (Reverse(connection.out), connection.up, connection.used);
        let best = fit.max_by_key(|(number, connection)| (least(connection), number.0));
        best.map(|(number, _)| *number)
    }

    /// Why an attempt has no connection while connects are held back.
    fn why_unconnected(&self) -> Unconnected {
        let now = self.now();
        let serves = |connection: &Connection| {
            !connection.spent && self.backoff.is_proven(&connection.connect, now)
        };
        if self.connections.values().any(serves) {
            Unconnected::NoRoom
        } else {
            Unconnected::TurnedAway
        }
    }

    /// Opens a connection, where there may be one more and a slot is free. Where it is needed, others hear that a slot is
    /// wanted.
    fn open(&mut self, needed: bool) -> Option<Number> {
        let settings = self.settings();
        if self.connections.len() >= settings.max_per_engine {
            return None;
        }
        let Some(slot) = self.transport.slots.try_acquire(settings.max_total) else {
            if needed {
                self.transport.slots.signal_shortage();
            }
            return None;
        };
        self.next_connection += 1;
        let number = Number(self.next_connection);
        let link = Link {
            number,
            endpoint: self.endpoint.clone(),
            limit: to_duration(settings.connect_timeout),
            came: self.came.clone(),
            metrics: self.transport.metrics.clone(),
        };
        let connect = self.backoff.begin(self.now());
        let connection = Connection::open(link, slot, connect);
        self.connections.insert(number, connection);
        Some(number)
    }

    /// The time for the backoff.
    fn now(&self) -> u64 {
        to_micros(self.started.elapsed()).0
    }

    fn pauses(&self) -> BackoffConfig {
        BackoffConfig::new(self.settings().connect_timeout.0)
    }

    /// Hands a command to a connection; false where it is full or gone.
    fn command(&self, number: Number, command: Command) -> bool {
        let connection = self.connections.get(&number);
        connection.is_some_and(|connection| connection.mailbox.try_send(command).is_ok())
    }

    async fn abort(&mut self, id: RequestId, number: AttemptNo) {
        let out = match self.out.entry(id) {
            Entry::Occupied(entry) if entry.get().number == number => entry.remove(),
            // It has ended.
            _ => return self.reports.abort_confirmed(id, number).await,
        };
        if out.waiting.is_some() {
            self.ended_on(out.connection);
            return self.reports.abort_confirmed(id, number).await;
        }
        out.cancelled.cancel();
        // Of a result that is on its way no more is wanted; all else is called off.
        let answered = out.result.is_some();
        let command = if answered {
            Command::Done(id)
        } else {
            Command::Abort(id)
        };
        let told = self.command(out.connection, command);
        if let Some(connection) = self.connections.get_mut(&out.connection) {
            connection.give_up(id, out.sent);
            // Its engine would run on what it is not told of; it gives all up once the connection is closed.
            connection.spent |= !told;
        }
        if answered {
            return self.reports.abort_confirmed(id, number).await;
        }
        let since = Instant::now();
        let aborting = Aborting { number, since };
        self.aborting.insert((out.connection, id), aborting);
    }

    /// The attempt that an answer on this connection is about. A late answer on an older one must leave the
    /// attempt that is out now alone.
    fn on(&mut self, connection: Number, id: RequestId) -> Option<&mut Out> {
        let out = self.out.get_mut(&id);
        out.filter(|out| out.connection == connection)
    }

    /// Ends an attempt that has had its answer on this connection.
    async fn end(&mut self, connection: Number, id: RequestId, end: AttemptResult) {
        if self.on(connection, id).is_none() {
            return;
        }
        let Some(out) = self.out.remove(&id) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.ended();
            if !matches!(end, AttemptResult::Ok { .. }) {
                connection.remember(id);
            }
        }
        self.reports.attempt_ended(id, out.number, end).await;
    }

    // ---- Results ----

    async fn ok(&mut self, connection: Number, id: RequestId, mut result: Partial) {
        let Some(out) = self.on(connection, id) else {
            // Called off meanwhile: nobody wants its pages. What was never asked for here is left alone.
            let here = self.connections.get(&connection);
            if here.is_some_and(|connection| connection.has_carried(id)) {
                self.command(connection, Command::Done(id));
            }
            return;
        };
        // A second copy must not begin the result anew.
        if out.result.is_some() {
            return;
        }
        let parts = result.pages.len() as u32;
        result.came = Instant::now();
        out.result = Some(result);
        let asked = (1..parts).all(|page| self.command(connection, Command::More(id, page)));
        if asked {
            self.passed_on(connection, id).await;
        } else {
            self.abandon(connection, "it takes no more commands");
        }
    }

    async fn page(&mut self, connection: Number, id: RequestId, number: u32, rows: Bytes) {
        let Some(out) = self.on(connection, id) else {
            return;
        };
        let place = out.result.as_mut().and_then(|result| {
            result.came = Instant::now();
            result.pages.get_mut(number as usize)
        });
        let Some(place) = place else {
            // No such page was asked for: the answer is spoilt, and what follows it would be.
            return self.abandon(connection, "a page that can't be");
        };
        if place.is_none() {
            *place = Some(rows);
            self.passed_on(connection, id).await;
        }
    }

    /// Reports a result once it is whole.
    async fn passed_on(&mut self, connection: Number, id: RequestId) {
        let result = self.on(connection, id).and_then(|out| out.result.as_ref());
        let Some((rows, result)) = result.and_then(|result| Some((result.whole()?, result))) else {
            return;
        };
        // Whole milliseconds, as the simulator's bill has them.
        let work = result.work.map(|work| Micros::from_millis(work as u64));
        let (load, paged) = (result.load, result.pages.len() > 1);
        if paged {
            self.command(connection, Command::Done(id));
        }
        let page = Page {
            rows,
            is_last: true,
        };
        self.end(connection, id, AttemptResult::Ok { page, work, load })
            .await;
    }

    // ---- Answers ----

    async fn came(&mut self, number: Number, came: Came) {
        match came {
            Came::Up => {
                let (now, pauses) = (self.now(), self.pauses());
                if let Some(connection) = self.connections.get_mut(&number) {
                    connection.up = true;
                    self.backoff
                        .record_connected(&connection.connect, now, &pauses);
                }
                let waiting = self.out.iter().filter(|(_, out)| out.connection == number);
                let waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
                for id in waiting {
                    self.write(id).await;
                }
            }
            Came::Reply(reply) => self.reply(number, reply).await,
            Came::Withdrawn(named) => self.withdrawn(number, named).await,
            Came::Aborted(id) => self.aborted(number, id).await,
            Came::Down { unwritten, error } => self.down(number, &unwritten, error).await,
        }
    }

    async fn reply(&mut self, connection: Number, reply: Reply) {
        self.heard_on(connection);
        let id = match reply.about {
            About::Request(id) => id,
            About::Tag(tag) => return self.probed(tag, reply.word).await,
            About::Nobody => return,
        };
        // Nothing is believed of a connection that is abandoned, though it may not be closed yet.
        if !self.connections.contains_key(&connection) {
            return;
        }
        match reply.word {
            Word::Note(note) => {
                let out = self.on(connection, id).map(|out| out.number);
                if let Some((number, note)) = out.zip(note) {
                    self.reports
                        .send(EngineReport::Note(id, number, note))
                        .await;
                }
            }
            Word::Rows { page, rows } => self.page(connection, id, page, rows).await,
            Word::Ok {
                parts,
                work,
                load,
                rows,
            } => {
                let mut pages = vec![None; parts as usize];
                pages[0] = Some(rows);
                let came = Instant::now();
                let result = Partial {
                    pages,
                    work,
                    load,
                    came,
                };
                self.ok(connection, id, result).await;
            }
            Word::Busy => self.end(connection, id, AttemptResult::Busy).await,
            Word::Void => self.end(connection, id, AttemptResult::NotRun).await,
            // Also for a page that is lost. A probe's word about a request is no answer to it.
            Word::Err => self.end(connection, id, AttemptResult::Error).await,
            Word::Spoilt(why) if self.on(connection, id).is_some() => {
                self.abandon(connection, &why);
            }
            Word::Spoilt(_) | Word::Up(_) | Word::Down => {}
        }
    }

    // ---- Connections ----

    /// A word came on a connection.
    fn heard_on(&mut self, number: Number) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.heard = Instant::now();
        if let Some(failed) = self.backoff.record_response(&mut connection.connect) {
            log::info!(
                "connects to {} succeed again, after {failed} that failed",
                self.endpoint
            );
        }
    }

    /// A connection has ended, or did not come up.
    async fn down(&mut self, number: Number, unwritten: &[RequestId], error: Option<io::Error>) {
        if let Some(connection) = self.connections.remove(&number) {
            self.connect_ended(connection.connect, error);
        }
        self.lose(number, unwritten).await;
    }

    /// Logs a run of failed connects once, and each end of a connection that was good.
    fn connect_ended(&mut self, connect: TrackedConnection, error: Option<io::Error>) {
        let (now, pauses) = (self.now(), self.pauses());
        let ended = self.backoff.record_end(connect, now, &pauses);
        let why = error.map_or("its task died".to_string(), |error| error.to_string());
        match ended {
            ConnectionEnd::Proven => log::info!("connection to {}: {why}", self.endpoint),
            ConnectionEnd::FirstFailure => log::info!(
                "connects to {} fail: {why}; those that follow are counted",
                self.endpoint
            ),
            ConnectionEnd::RepeatedFailure => {}
        }
    }

    /// Ends all attempts that were out on a connection that is closed.
    async fn lose(&mut self, number: Number, unwritten: &[RequestId]) {
        let here = self.out.extract_if(|_, out| out.connection == number);
        let lost: Vec<(RequestId, Out)> = here.collect();
        for (id, out) in lost {
            let answered = out.result.is_some();
            let never = !answered && (out.waiting.is_some() || unwritten.contains(&id));
            let end = if never {
                AttemptResult::ConnectFailed
            } else {
                AttemptResult::Reset
            };
            self.reports.attempt_ended(id, out.number, end).await;
        }
        let here = self
            .aborting
            .extract_if(|(connection, _), _| *connection == number);
        let given_up: Vec<((Number, RequestId), Aborting)> = here.collect();
        for ((_, id), aborting) in given_up {
            self.reports.abort_confirmed(id, aborting.number).await;
        }
    }

    /// Lets a connection go that is of no further use though it stays open. What is out on it ends once its task has
    /// closed it, and no sooner: its engine runs all of it until then.
    fn abandon(&mut self, number: Number, why: &str) {
        if let Some(connection) = self.connections.remove(&number) {
            log::info!("connection to {}: abandoned: {why}", self.endpoint);
            self.backoff.record_local_close(connection.connect);
        }
    }

    /// Closes the idle connections of which this is true.
    fn close_idle(&mut self, mut goes: impl FnMut(&Connection) -> bool) {
        let idle = self
            .connections
            .extract_if(|_, connection| !connection.busy() && goes(connection));
        for (_, connection) in idle {
            self.backoff.record_local_close(connection.connect);
        }
    }

    /// What waits for a connection to come up has not been written and is taken back, all of it before the first is
    /// told of: while that waits for the broker, a connection might come up. What waits behind others at its connection
    /// is taken out there.
    async fn nothing_new(&mut self) {
        self.out.values().for_each(|out| out.cancelled.cancel());
        let connections = self.connections.keys().copied();
        for number in connections.collect::<Vec<_>>() {
            self.command(number, Command::LookAgain);
        }
        let waiting = self.out.extract_if(|_, out| out.waiting.is_some());
        let waiting: Vec<(RequestId, Out)> = waiting.collect();
        for (_, out) in &waiting {
            self.ended_on(out.connection);
        }
        for (id, out) in waiting {
            self.never(id, out.number).await;
        }
    }

    async fn look(&mut self) {
        let now = Instant::now();
        let idle = to_duration(self.settings().idle_timeout).mul_f64(IDLE_PART);
        let (mut open, most) = (self.connections.len(), self.settings().max_per_engine);
        self.close_idle(|connection| {
            // Fewer may be open than were: idle ones go at once.
            let goes = connection.spent || now >= connection.used + idle || open > most;
            open -= usize::from(goes);
            goes
        });
        let overdue = |due: &(Number, Instant)| now >= due.1;
        let stopped: Vec<_> = self.pages_due().filter(overdue).collect();
        for (number, _) in stopped {
            self.abandon(number, "a page never came");
        }
        let unwritten: Vec<_> = self.aborts_due().filter(overdue).collect();
        for (number, _) in unwritten {
            self.abandon(number, "it does not take an abort");
        }
        let limit = to_duration(self.settings().connect_timeout);
        let late = self.probes.extract_if(|_, asked| now >= *asked + limit);
        for _ in late.collect::<Vec<_>>() {
            self.reports
                .send(EngineReport::Probed(ProbeResult::TimedOut))
                .await;
        }
    }

    // ---- Probes ----

    async fn probe(&mut self) {
        self.next_probe += 1;
        let tag = self.next_probe;
        let connection = self.connection_for(None);
        if connection.is_ok_and(|number| self.command(number, Command::Stats(tag))) {
            self.probes.insert(tag, Instant::now());
        } else {
            self.reports
                .send(EngineReport::Probed(ProbeResult::ConnectFailed))
                .await;
        }
    }

    async fn probed(&mut self, tag: u64, word: Word) {
        if self.probes.remove(&tag).is_none() {
            return;
        }
        let probe = match word {
            Word::Up(load) => ProbeResult::Up(load),
            _ => ProbeResult::Down,
        };
        self.reports.send(EngineReport::Probed(probe)).await;
    }
}

#[cfg(test)]
mod tests;
