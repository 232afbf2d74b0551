//! Tests of the actor of a RESP engine against mock engines on loopback sockets.

use super::*;
use crate::ConnectionSlots;
use sedgebeam_core::EngineId;
use sedgebeam_operation::Metrics;
use sedgebeam_port::{BrokerMessage, EngineActorId, EngineSender};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Once, PoisonError};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::advance;

const ACTOR: EngineActorId = EngineActorId {
    engine: EngineId(1),
    instance: 0,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The time by which tests advance the paused clock.
const STEP: Duration = Duration::from_millis(10);
/// Bound on the polls of a condition, after which a test fails.
const MAX_POLLS: usize = 20_000_000;
/// Bound on the pause between two connects.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Bound on one dispatcher's concurrent connects that are not yet proven to work.
const MAX_UNPROVEN_CONNECTS: usize = 8;

/// Bound on one dispatcher's connects within `period` to an engine that rejects all: the concurrent ones at the start,
/// and one after each pause. A pause is at least half of its upper bound.
fn max_connects(period: Duration) -> usize {
    let (mut connects, mut elapsed, mut max_pause) =
        (MAX_UNPROVEN_CONNECTS, Duration::ZERO, CONNECT_TIMEOUT);
    loop {
        elapsed += max_pause / 2;
        if elapsed > period {
            return connects;
        }
        connects += 1;
        max_pause = (2 * max_pause).min(MAX_PAUSE);
    }
}

// ---- A mock engine ----

/// The behavior of a mock engine.
#[derive(Clone, Copy)]
struct Behavior {
    /// Bound on open connections; further ones are closed after the accept.
    max_connections: usize,
    /// The status word of every answer; `None` to leave all requests unanswered.
    status_word: Option<&'static str>,
}

const REJECTS_ALL: Behavior = Behavior {
    max_connections: 0,
    status_word: None,
};
const HEALTHY: Behavior = Behavior {
    max_connections: usize::MAX,
    status_word: Some("OK"),
};

/// What a mock engine counts.
#[derive(Default)]
struct EngineCounts {
    accepts: AtomicUsize,
    open_connections: AtomicUsize,
    /// The number of fetches of each request, by its id.
    fetches: Mutex<BTreeMap<String, usize>>,
}

struct MockEngine {
    address: SocketAddr,
    behavior: watch::Sender<Behavior>,
    counts: Arc<EngineCounts>,
}

impl MockEngine {
    async fn start(behavior: Behavior) -> MockEngine {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let address = listener.local_addr().expect("an address");
        let (behavior, behavior_receiver) = watch::channel(behavior);
        let counts = Arc::new(EngineCounts::default());
        tokio::spawn(accept(listener, behavior_receiver, counts.clone()));
        MockEngine {
            address,
            behavior,
            counts,
        }
    }

    fn accepts(&self) -> usize {
        self.counts.accepts.load(Ordering::Relaxed)
    }

    fn open_connections(&self) -> usize {
        self.counts.open_connections.load(Ordering::Relaxed)
    }

    /// The largest number of fetches of one request.
    fn max_fetches(&self) -> usize {
        let fetches = self.counts.fetches.lock().expect("no test panicked");
        fetches.values().copied().max().unwrap_or(0)
    }
}

async fn accept(
    listener: TcpListener,
    behavior: watch::Receiver<Behavior>,
    counts: Arc<EngineCounts>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        counts.accepts.fetch_add(1, Ordering::Relaxed);
        if counts.open_connections.load(Ordering::Relaxed) < behavior.borrow().max_connections {
            counts.open_connections.fetch_add(1, Ordering::Relaxed);
            let (behavior, counts) = (behavior.clone(), counts.clone());
            tokio::spawn(async move {
                serve(stream, behavior, &counts).await;
                counts.open_connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}

/// Answers commands until the connection is closed.
async fn serve(stream: TcpStream, behavior: watch::Receiver<Behavior>, counts: &EngineCounts) {
    let (read_half, mut write_half) = stream.into_split();
    let mut commands = BufReader::new(read_half);
    while let Some(command) = read_command(&mut commands).await {
        let id = &command[1];
        let status_word = match command[0].as_str() {
            "fetch" => {
                let mut fetches = counts.fetches.lock().expect("no test panicked");
                *fetches.entry(id.clone()).or_default() += 1;
                behavior.borrow().status_word
            }
            "stats" => Some("UP"),
            _ => None,
        };
        let Some(status_word) = status_word else {
            continue;
        };
        let (id_length, word_length) = (id.len(), status_word.len());
        let answer = format!(
            "*4\r\n${id_length}\r\n{id}\r\n${word_length}\r\n{status_word}\r\n$7\r\nparts=1\r\n$6\r\na\tb\tc\n\r\n"
        );
        if write_half.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads a command, which is an array of bulk strings.
async fn read_command(commands: &mut BufReader<OwnedReadHalf>) -> Option<Vec<String>> {
    let part_count = read_length(commands).await?;
    let mut command = Vec::new();
    for _ in 0..part_count {
        let mut part = vec![0; read_length(commands).await? + 2];
        commands.read_exact(&mut part).await.ok()?;
        part.truncate(part.len() - 2);
        command.push(String::from_utf8(part).ok()?);
    }
    Some(command)
}

async fn read_length(commands: &mut BufReader<OwnedReadHalf>) -> Option<usize> {
    let mut line = String::new();
    commands.read_line(&mut line).await.ok()?;
    line.get(1..)?.trim_end().parse().ok()
}

// ---- A dispatcher ----

fn connection_settings() -> ConnectionSettings {
    ConnectionSettings {
        max_per_engine: 64,
        max_total: 1024,
        max_streams: 32,
        connect_timeout: to_micros(CONNECT_TIMEOUT),
        idle_timeout: Micros::from_millis(30_000),
        max_open_requests: 1000,
    }
}

/// The actor of one engine, and the reports that were received from it.
struct Dispatcher {
    mailbox: EngineSender,
    reports: mpsc::Receiver<BrokerMessage>,
    sent: Vec<(RequestId, AttemptNo)>,
    ends: Vec<(RequestId, AttemptNo, AttemptResult)>,
    cancelled: Vec<(RequestId, AttemptNo)>,
    probes: Vec<ProbeResult>,
}

impl Dispatcher {
    fn start(engine: &MockEngine) -> Dispatcher {
        Dispatcher::start_with(engine, connection_settings())
    }

    fn start_with(engine: &MockEngine, settings: ConnectionSettings) -> Dispatcher {
        Dispatcher::start_at(engine.address, settings)
    }

    fn start_at(engine_address: SocketAddr, settings: ConnectionSettings) -> Dispatcher {
        let transport = NetworkTransport {
            connections: watch::channel(settings).1,
            metrics: Metrics::default(),
            slots: ConnectionSlots::default(),
        };
        let (mailbox, incoming) = mpsc::channel(1024);
        let (broker, reports) = mpsc::channel(1024);
        let reporter = EngineReporter::new(ACTOR, broker);
        let weak_mailbox = mailbox.downgrade();
        tokio::spawn(run(
            engine_address.to_string(),
            transport,
            weak_mailbox,
            incoming,
            reporter,
        ));
        Dispatcher {
            mailbox,
            reports,
            sent: Vec::new(),
            ends: Vec::new(),
            cancelled: Vec::new(),
            probes: Vec::new(),
        }
    }

    /// Sends the first attempt of a new request.
    fn send(&mut self) {
        self.send_attempt(RequestId(self.sent.len() as u64), AttemptNo(0));
    }

    fn send_attempt(&mut self, request: RequestId, attempt_no: AttemptNo) {
        self.send_statement(request, attempt_no, Bytes::from_static(b"SELECT 1"));
    }

    fn send_statement(&mut self, request: RequestId, attempt_no: AttemptNo, statement: Bytes) {
        let timeout = Duration::from_secs(60);
        let attempt = Attempt {
            request,
            attempt_no,
            class: "lookup".into(),
            deadline: Instant::now() + timeout,
            priority: 1,
            memory_grant_mb: None,
            statement,
            idempotency_token: None,
            order_key: None,
            cancel_token: CancellationToken::new(),
            starts_by: Instant::now() + timeout,
        };
        self.sent.push((request, attempt_no));
        let queued = self.mailbox.try_send(EngineCommand::Send(attempt));
        queued.expect("the mailbox has room");
    }

    fn abort(&mut self, request: RequestId, attempt_no: AttemptNo) {
        let queued = self
            .mailbox
            .try_send(EngineCommand::Abort(request, attempt_no));
        queued.expect("the mailbox has room");
    }

    fn probe(&mut self) {
        let queued = self.mailbox.try_send(EngineCommand::Probe);
        queued.expect("the mailbox has room");
    }

    fn receive_reports(&mut self) {
        while let Ok(message) = self.reports.try_recv() {
            match message {
                BrokerMessage::EngineReport(
                    _,
                    EngineReport::AttemptEnded(request, attempt_no, result),
                ) => {
                    self.ends.push((request, attempt_no, result));
                }
                BrokerMessage::EngineReport(
                    _,
                    EngineReport::AbortConfirmed(request, attempt_no),
                ) => {
                    self.cancelled.push((request, attempt_no));
                }
                BrokerMessage::EngineReport(_, EngineReport::Probed(probe)) => {
                    self.probes.push(probe)
                }
                _ => {}
            }
        }
    }

    /// Waits until all attempts have ended, without advancing the paused clock.
    async fn wait_for_ends(&mut self) {
        let sent = self.sent.len();
        self.wait_for(|dispatcher| dispatcher.ends.len() >= sent)
            .await;
    }

    /// Polls until `is_done` returns true. Yielding instead of sleeping keeps the paused clock from advancing by
    /// itself.
    async fn wait_for(&mut self, is_done: impl Fn(&Dispatcher) -> bool) {
        for _ in 0..MAX_POLLS {
            self.receive_reports();
            if is_done(self) {
                return;
            }
            yield_now().await;
        }
        panic!("{} sent, {} ended", self.sent.len(), self.ends.len());
    }

    /// Sends an attempt in each step of `period` and waits for its end.
    async fn send_for(&mut self, period: Duration) {
        let until = Instant::now() + period;
        while Instant::now() < until {
            self.send();
            self.wait_for_ends().await;
            advance(STEP).await;
        }
    }

    fn last_end(&self) -> &AttemptResult {
        &self.ends.last().expect("an attempt has ended").2
    }

    fn served_count(&self) -> usize {
        let ends = self.ends.iter();
        ends.filter(|(_, _, end)| matches!(end, AttemptResult::Ok { .. }))
            .count()
    }

    /// Asserts that each attempt has ended, and none twice.
    async fn assert_each_ended_once(&mut self) {
        self.wait_for_ends().await;
        for _ in 0..1000 {
            yield_now().await;
        }
        self.receive_reports();
        let mut ended: Vec<_> = self.ends.iter().map(|end| (end.0, end.1)).collect();
        ended.sort();
        self.sent.sort();
        assert_eq!(ended, self.sent);
    }
}

// ---- The log ----

/// Captures the log lines of all tests in the process.
struct LogCapture(Mutex<Vec<String>>);

static LOG_CAPTURE: LogCapture = LogCapture(Mutex::new(Vec::new()));

impl log::Log for LogCapture {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn capture_log() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        log::set_logger(&LOG_CAPTURE).expect("no other logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}

fn log_lines_about(engine: &MockEngine) -> Vec<String> {
    let address = engine.address.to_string();
    let lines = LOG_CAPTURE.0.lock().unwrap_or_else(PoisonError::into_inner);
    // The port of another engine may start with the same digits.
    let is_about_engine = |line: &str| {
        line.split_once(&address)
            .is_some_and(|(_, rest)| !rest.starts_with(|next: char| next.is_ascii_digit()))
    };
    let matching = lines.iter().filter(|line| is_about_engine(line));
    matching.cloned().collect()
}

// ---- Tests ----

#[tokio::test(start_paused = true)]
async fn an_engine_that_closes_each_connection_at_once_does_not_get_a_connect_per_attempt() {
    let engine = MockEngine::start(REJECTS_ALL).await;
    let mut dispatcher = Dispatcher::start(&engine);
    for _ in 0..200 {
        dispatcher.send();
        dispatcher.wait_for_ends().await;
    }
    assert_eq!(engine.accepts(), 1, "before the clock advances");
    assert!(matches!(
        dispatcher.last_end(),
        AttemptResult::ConnectFailed
    ));
    let period = Duration::from_secs(24);
    dispatcher.send_for(period).await;
    let (accepts, limit) = (engine.accepts(), max_connects(period));
    assert!(accepts <= limit, "{accepts} connects, limit {limit}");
    assert!(accepts >= 6, "connects are retried: {accepts}");
    dispatcher.assert_each_ended_once().await;
    assert_eq!(dispatcher.served_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_burst_to_an_engine_that_closes_each_connection_at_once_opens_few_connections() {
    let engine = MockEngine::start(REJECTS_ALL).await;
    let mut dispatcher = Dispatcher::start(&engine);
    for _ in 0..5 {
        for _ in 0..40 {
            dispatcher.send();
        }
        dispatcher.wait_for_ends().await;
    }
    assert!(
        engine.accepts() <= MAX_UNPROVEN_CONNECTS,
        "{}",
        engine.accepts()
    );
    dispatcher.assert_each_ended_once().await;
}

#[tokio::test(start_paused = true)]
async fn the_connects_of_several_dispatchers_stay_within_the_sum_of_their_limits() {
    const DISPATCHERS: usize = 32;
    let engine = MockEngine::start(REJECTS_ALL).await;
    let dispatchers = (0..DISPATCHERS).map(|_| Dispatcher::start(&engine));
    let mut dispatchers: Vec<Dispatcher> = dispatchers.collect();
    let period = Duration::from_secs(8);
    let until = Instant::now() + period;
    while Instant::now() < until {
        for dispatcher in &mut dispatchers {
            for _ in 0..3 {
                dispatcher.send();
            }
        }
        for dispatcher in &mut dispatchers {
            dispatcher.wait_for_ends().await;
        }
        advance(5 * STEP).await;
    }
    let (accepts, limit) = (engine.accepts(), DISPATCHERS * max_connects(period));
    assert!(accepts <= limit, "{accepts} connects, limit {limit}");
    for dispatcher in &mut dispatchers {
        dispatcher.assert_each_ended_once().await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_recovered_engine_is_used_again_and_its_failed_connects_are_logged_in_two_lines() {
    capture_log();
    let engine = MockEngine::start(REJECTS_ALL).await;
    let mut dispatcher = Dispatcher::start(&engine);
    dispatcher.send_for(Duration::from_secs(10)).await;
    let failed_count = engine.accepts();
    assert_eq!(
        log_lines_about(&engine).len(),
        1,
        "{:?}",
        log_lines_about(&engine)
    );
    engine.behavior.send_replace(HEALTHY);
    dispatcher.send_for(MAX_PAUSE).await;
    assert!(matches!(dispatcher.last_end(), AttemptResult::Ok { .. }));
    let lines = log_lines_about(&engine);
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(
        lines[1].contains(&format!("after {failed_count} failed connects")),
        "{lines:?}"
    );
    // Attempts are spread over several connections again.
    engine.behavior.send_replace(Behavior {
        status_word: None,
        ..HEALTHY
    });
    let open_connections = engine.open_connections();
    for _ in 0..6 {
        dispatcher.send();
    }
    let sent = dispatcher.sent.len();
    dispatcher
        .wait_for(|_| engine.open_connections() >= open_connections + 5)
        .await;
    assert_eq!(dispatcher.ends.len(), sent - 6);
}

#[tokio::test(start_paused = true)]
async fn attempts_share_the_connections_of_an_engine_that_limits_connections() {
    let two_connections = Behavior {
        max_connections: 2,
        status_word: Some("OK"),
    };
    let engine = MockEngine::start(two_connections).await;
    let mut dispatcher = Dispatcher::start(&engine);
    dispatcher.send();
    dispatcher.wait_for_ends().await;
    let period = Duration::from_secs(8);
    let until = Instant::now() + period;
    let mut bursts = 0;
    while Instant::now() < until {
        for _ in 0..20 {
            dispatcher.send();
        }
        dispatcher.wait_for_ends().await;
        advance(5 * STEP).await;
        bursts += 1;
    }
    // Each rejected connect loses the attempts on it; answers on the two open connections cause no further connects.
    let (accepts, limit) = (engine.accepts(), 2 + max_connects(period));
    assert!(accepts <= limit, "{accepts} connects, limit {limit}");
    let lost = dispatcher.sent.len() - dispatcher.served_count();
    assert!(lost <= 20 + accepts, "{lost} lost in {bursts} bursts");
    assert!(engine.max_fetches() == 1);
    dispatcher.assert_each_ended_once().await;
}

#[tokio::test(start_paused = true)]
async fn after_a_rejection_a_new_connection_carries_one_attempt_until_it_is_proven() {
    let engine = MockEngine::start(REJECTS_ALL).await;
    let mut dispatcher = Dispatcher::start(&engine);
    dispatcher.send();
    dispatcher.wait_for_ends().await;
    engine.behavior.send_replace(Behavior {
        status_word: None,
        ..HEALTHY
    });
    advance(CONNECT_TIMEOUT).await;
    for _ in 0..5 {
        dispatcher.send();
    }
    dispatcher
        .wait_for(|dispatcher| dispatcher.ends.len() >= 5)
        .await;
    let one_fetched = || {
        engine
            .counts
            .fetches
            .lock()
            .is_ok_and(|fetches| fetches.len() == 1)
    };
    dispatcher.wait_for(|_| one_fetched()).await;
    assert_eq!((engine.open_connections(), dispatcher.ends.len()), (1, 5));
    assert!(matches!(
        dispatcher.last_end(),
        AttemptResult::ConnectFailed
    ));
    // The connection is proven, because the engine has not closed it within the time for a rejection.
    advance(CONNECT_TIMEOUT).await;
    for _ in 0..5 {
        dispatcher.send();
    }
    let are_fetched = |count| {
        engine
            .counts
            .fetches
            .lock()
            .is_ok_and(|fetches| fetches.len() == count)
    };
    dispatcher.wait_for(|_| are_fetched(6)).await;
    assert_eq!((engine.open_connections(), dispatcher.ends.len()), (2, 5));
}

#[tokio::test(start_paused = true)]
async fn having_no_usable_connection_is_not_a_failure_of_an_engine_that_serves() {
    let one_connection = Behavior {
        max_connections: 1,
        status_word: Some("BUSY"),
    };
    let engine = MockEngine::start(one_connection).await;
    let mut dispatcher = Dispatcher::start(&engine);
    let mut ends = Vec::new();
    for attempt_no in 0..3 {
        dispatcher.send_attempt(RequestId(7), AttemptNo(attempt_no));
        dispatcher.wait_for_ends().await;
        ends.push(dispatcher.last_end().clone());
    }
    assert_eq!(ends[0], AttemptResult::Busy);
    assert!(
        matches!(ends[1], AttemptResult::ConnectFailed | AttemptResult::Reset),
        "the connect was rejected: {ends:?}"
    );
    assert_eq!(
        ends[2],
        AttemptResult::NotRun,
        "not sent again on the connection that carried it"
    );
    assert_eq!((engine.accepts(), engine.max_fetches()), (2, 1));
}

#[tokio::test(start_paused = true)]
async fn connects_for_probes_are_held_back_too() {
    let engine = MockEngine::start(REJECTS_ALL).await;
    let mut dispatcher = Dispatcher::start(&engine);
    dispatcher.send();
    dispatcher.wait_for_ends().await;
    for probe_count in 1..=100 {
        dispatcher.probe();
        dispatcher
            .wait_for(|dispatcher| dispatcher.probes.len() == probe_count)
            .await;
    }
    let is_connect_failed = |probe: &ProbeResult| matches!(probe, ProbeResult::ConnectFailed);
    assert!(dispatcher.probes.iter().all(is_connect_failed));
    assert_eq!(engine.accepts(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_first_burst_is_spread_over_few_connections_and_later_attempts_over_more() {
    let never_answers = Behavior {
        status_word: None,
        ..HEALTHY
    };
    let engine = MockEngine::start(never_answers).await;
    let mut dispatcher = Dispatcher::start(&engine);
    for _ in 0..40 {
        dispatcher.send();
    }
    let all_fetched = |_: &Dispatcher| {
        engine
            .counts
            .fetches
            .lock()
            .is_ok_and(|fetches| fetches.len() >= 40)
    };
    dispatcher.wait_for(all_fetched).await;
    assert_eq!(engine.accepts(), MAX_UNPROVEN_CONNECTS);
    // The connections are proven once they have stayed open for the connect timeout.
    advance(CONNECT_TIMEOUT).await;
    for _ in 0..4 {
        dispatcher.send();
    }
    dispatcher
        .wait_for(|_| engine.open_connections() == MAX_UNPROVEN_CONNECTS + 4)
        .await;
    assert_eq!(engine.max_fetches(), 1);
    assert!(dispatcher.ends.is_empty());
}

#[tokio::test(start_paused = true)]
async fn attempts_that_cannot_share_a_connection_open_one_each() {
    let engine = MockEngine::start(HEALTHY).await;
    let one_per_connection = ConnectionSettings {
        max_streams: 1,
        ..connection_settings()
    };
    let mut dispatcher = Dispatcher::start_with(&engine, one_per_connection);
    for _ in 0..40 {
        dispatcher.send();
    }
    dispatcher.wait_for_ends().await;
    assert_eq!(dispatcher.served_count(), 40);
    dispatcher.assert_each_ended_once().await;
}

#[tokio::test]
async fn an_actor_with_nothing_in_flight_and_no_connection_has_no_timer() {
    let settings = ConnectionSettings {
        max_per_engine: 2,
        max_total: 64,
        max_streams: 2,
        connect_timeout: Micros::from_millis(250),
        idle_timeout: Micros::from_millis(30_000),
        max_open_requests: 10,
    };
    let transport = NetworkTransport {
        connections: watch::channel(settings).1,
        metrics: Metrics::default(),
        slots: ConnectionSlots::default(),
    };
    let (broker, _reports) = mpsc::channel(4);
    let (events, _incoming_events) = mpsc::channel(4);
    let reporter = EngineReporter::new(ACTOR, broker);
    let mut actor = Actor::new("127.0.0.1:1".to_string(), transport, reporter, events);
    assert_eq!(actor.next_check_at(), None);
    actor.probe().await;
    let probe_check_at = actor.next_check_at().expect("a probe may become overdue");
    assert!(probe_check_at <= Instant::now() + Duration::from_millis(300));
    actor.unanswered_probes.clear();
    assert_eq!(actor.next_check_at(), None, "its connection is being made");
    for connection in actor.connections.values_mut() {
        connection.is_up = true;
    }
    let idle_check_at = actor.next_check_at().expect("an idle connection is open");
    assert!(idle_check_at > Instant::now() + Duration::from_secs(20));
    actor.connections.clear();
    assert_eq!(actor.next_check_at(), None);
}

// ---- Cancelled attempts ----

const REQUEST: RequestId = RequestId(7);
const FIRST_ATTEMPT: AttemptNo = AttemptNo(0);
/// More than the socket buffers of a connection hold.
const LONG_STATEMENT_BYTES: usize = 32 << 20;

/// A mock engine that reads and writes only when its test does so.
struct ManualEngine {
    listener: std::net::TcpListener,
}

impl ManualEngine {
    fn start() -> ManualEngine {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a socket");
        listener
            .set_nonblocking(true)
            .expect("the socket becomes nonblocking");
        ManualEngine { listener }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    async fn accept(&self) -> std::net::TcpStream {
        for _ in 0..MAX_POLLS {
            if let Ok((stream, _)) = self.listener.accept() {
                stream
                    .set_nonblocking(true)
                    .expect("the socket becomes nonblocking");
                return stream;
            }
            yield_now().await;
        }
        panic!("no connection");
    }
}

/// Reads all available bytes and keeps the last 1,024 of them in `last_bytes`; returns whether the connection is
/// closed.
fn read_all(stream: &mut std::net::TcpStream, last_bytes: &mut Vec<u8>) -> bool {
    let mut buffer = vec![0; 1 << 20];
    loop {
        match io::Read::read(stream, &mut buffer) {
            Ok(0) => return true,
            Ok(count) => {
                last_bytes.extend_from_slice(&buffer[..count]);
                last_bytes.drain(..last_bytes.len().saturating_sub(1 << 10));
            }
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

fn ends_with_abort(last_bytes: &[u8]) -> bool {
    last_bytes.ends_with(b"abort\r\n$16\r\n0000000000000007\r\n")
}

/// Lets all tasks run until they wait, without advancing the paused clock.
async fn run_pending_tasks() {
    for _ in 0..10_000 {
        yield_now().await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_attempt_is_reported_as_cancelled_once_its_abort_is_written() {
    let engine = ManualEngine::start();
    let mut dispatcher = Dispatcher::start_at(engine.address(), connection_settings());
    let statement = Bytes::from(vec![b'x'; LONG_STATEMENT_BYTES]);
    dispatcher.send_statement(REQUEST, FIRST_ATTEMPT, statement);
    let mut stream = engine.accept().await;
    run_pending_tasks().await;
    dispatcher.abort(REQUEST, FIRST_ATTEMPT);
    run_pending_tasks().await;
    dispatcher.receive_reports();
    assert_eq!(dispatcher.cancelled, [], "its abort is not written yet");
    let mut last_bytes = Vec::new();
    for _ in 0..MAX_POLLS {
        dispatcher.receive_reports();
        if !dispatcher.cancelled.is_empty() {
            break;
        }
        assert!(
            !read_all(&mut stream, &mut last_bytes),
            "the connection stays open"
        );
        yield_now().await;
    }
    assert_eq!(dispatcher.cancelled, [(REQUEST, FIRST_ATTEMPT)]);
    read_all(&mut stream, &mut last_bytes);
    assert!(
        ends_with_abort(&last_bytes),
        "the abort was written before the report"
    );
    assert!(dispatcher.ends.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_connection_on_which_an_abort_cannot_be_written_is_closed() {
    let engine = ManualEngine::start();
    let mut dispatcher = Dispatcher::start_at(engine.address(), connection_settings());
    let statement = Bytes::from(vec![b'x'; LONG_STATEMENT_BYTES]);
    dispatcher.send_statement(REQUEST, FIRST_ATTEMPT, statement);
    let mut stream = engine.accept().await;
    run_pending_tasks().await;
    dispatcher.abort(REQUEST, FIRST_ATTEMPT);
    run_pending_tasks().await;
    advance(ABORT_WRITE_TIMEOUT + 2 * CHECK_DELAY).await;
    dispatcher
        .wait_for(|dispatcher| !dispatcher.cancelled.is_empty())
        .await;
    let mut last_bytes = Vec::new();
    assert!(
        read_all(&mut stream, &mut last_bytes),
        "the connection was closed before the report"
    );
    assert!(!ends_with_abort(&last_bytes));
    run_pending_tasks().await;
    dispatcher.receive_reports();
    assert_eq!(dispatcher.cancelled, [(REQUEST, FIRST_ATTEMPT)]);
    assert!(dispatcher.ends.is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_unwritten_or_ended_attempt_is_reported_as_cancelled_at_once() {
    let engine = ManualEngine::start();
    let mut dispatcher = Dispatcher::start_at(engine.address(), connection_settings());
    // The connection is not up yet when the abort is received.
    dispatcher.send_attempt(REQUEST, FIRST_ATTEMPT);
    dispatcher.abort(REQUEST, FIRST_ATTEMPT);
    run_pending_tasks().await;
    dispatcher.receive_reports();
    assert_eq!(dispatcher.cancelled, [(REQUEST, FIRST_ATTEMPT)]);
    dispatcher.abort(REQUEST, FIRST_ATTEMPT);
    run_pending_tasks().await;
    dispatcher.receive_reports();
    assert_eq!(dispatcher.cancelled, [(REQUEST, FIRST_ATTEMPT); 2]);
    let mut last_bytes = Vec::new();
    read_all(&mut engine.accept().await, &mut last_bytes);
    assert!(last_bytes.is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_attempt_on_an_abandoned_connection_ends_once_the_connection_is_closed() {
    let engine = ManualEngine::start();
    let mut dispatcher = Dispatcher::start_at(engine.address(), connection_settings());
    dispatcher.send_attempt(REQUEST, FIRST_ATTEMPT);
    let mut stream = engine.accept().await;
    let mut last_bytes = Vec::new();
    while last_bytes.is_empty() {
        assert!(!read_all(&mut stream, &mut last_bytes));
        yield_now().await;
    }
    let malformed = b"*3\r\n$16\r\n0000000000000007\r\n$4\r\nWHAT\r\n$1\r\n-\r\n";
    io::Write::write_all(&mut stream, malformed).expect("the socket accepts the answer");
    dispatcher.wait_for_ends().await;
    assert!(
        read_all(&mut stream, &mut last_bytes),
        "the connection was closed before the report"
    );
    assert_eq!(
        dispatcher.ends,
        [(REQUEST, FIRST_ATTEMPT, AttemptResult::Reset)]
    );
}
