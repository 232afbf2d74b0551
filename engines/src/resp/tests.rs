//! The actor of an engine, before stand-in engines on loopback sockets.

use super::*;
use crate::ConnectionSlots;
use sedgebeam_core::EngineId;
use sedgebeam_operation::Metrics;
use sedgebeam_port::{BrokerMessage, EngineSender};
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

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const STEP: Duration = Duration::from_millis(10);
/// Looks after which what is waited for is taken not to come.
const LOOKS: usize = 20_000_000;
/// The longest pause between two connects.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Connects of one dispatcher that may be without proof at once.
const IN_FLIGHT: usize = 8;

/// Connects of one dispatcher in this time at the most, to an engine that turns all away: those in flight together, and one
/// after each pause, of which none is shorter than half of its bound.
fn most_connects(time: Duration) -> usize {
    let (mut connects, mut at, mut bound) = (IN_FLIGHT, Duration::ZERO, CONNECT_TIMEOUT);
    loop {
        at += bound / 2;
        if at > time {
            return connects;
        }
        connects += 1;
        bound = (2 * bound).min(LONGEST_PAUSE);
    }
}

// ---- A stand-in engine ----

/// How a stand-in engine serves.
#[derive(Clone, Copy)]
struct Service {
    /// Connections held at once; it closes what comes beyond them at once.
    connections: usize,
    /// Its word to every request; none, and it keeps it without an answer.
    word: Option<&'static str>,
}

const TURNS_ALL_AWAY: Service = Service {
    connections: 0,
    word: None,
};
const WELL: Service = Service {
    connections: usize::MAX,
    word: Some("OK"),
};

/// What a stand-in engine has seen.
#[derive(Default)]
struct Seen {
    accepts: AtomicUsize,
    held: AtomicUsize,
    /// How often each request was written, by its name.
    fetches: Mutex<BTreeMap<String, usize>>,
}

struct StandIn {
    address: SocketAddr,
    service: watch::Sender<Service>,
    seen: Arc<Seen>,
}

impl StandIn {
    async fn start(service: Service) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let address = listener.local_addr().expect("an address");
        let (service, served) = watch::channel(service);
        let seen = Arc::new(Seen::default());
        tokio::spawn(accept(listener, served, seen.clone()));
        StandIn {
            address,
            service,
            seen,
        }
    }

    fn accepts(&self) -> usize {
        self.seen.accepts.load(Ordering::Relaxed)
    }

    fn held(&self) -> usize {
        self.seen.held.load(Ordering::Relaxed)
    }

    /// The most that any request was written.
    fn most_fetches(&self) -> usize {
        let fetches = self.seen.fetches.lock().expect("no test has failed");
        fetches.values().copied().max().unwrap_or(0)
    }
}

async fn accept(listener: TcpListener, service: watch::Receiver<Service>, seen: Arc<Seen>) {
    while let Ok((stream, _)) = listener.accept().await {
        seen.accepts.fetch_add(1, Ordering::Relaxed);
        if seen.held.load(Ordering::Relaxed) < service.borrow().connections {
            seen.held.fetch_add(1, Ordering::Relaxed);
            let (service, seen) = (service.clone(), seen.clone());
            tokio::spawn(async move {
                serve(stream, service, &seen).await;
                seen.held.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}

/// Answers until the connection is closed.
async fn serve(stream: TcpStream, service: watch::Receiver<Service>, seen: &Seen) {
    let (read_half, mut write_half) = stream.into_split();
    let mut commands = BufReader::new(read_half);
    while let Some(command) = command(&mut commands).await {
        let name = &command[1];
        let word = match command[0].as_str() {
            "fetch" => {
                let mut fetches = seen.fetches.lock().expect("no test has failed");
                *fetches.entry(name.clone()).or_default() += 1;
                service.borrow().word
            }
            "stats" => Some("UP"),
            _ => None,
        };
        let Some(word) = word else { continue };
        let (name_length, word_length) = (name.len(), word.len());
        let answer = format!(
            "*4\r\n${name_length}\r\n{name}\r\n${word_length}\r\n{word}\r\n$7\r\nparts=1\r\n$6\r\na\tb\tc\n\r\n"
        );
        if write_half.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// The next command, an array of bulk strings.
async fn command(commands: &mut BufReader<OwnedReadHalf>) -> Option<Vec<String>> {
    let parts = count(commands).await?;
    let mut command = Vec::new();
    for _ in 0..parts {
        let mut part = vec![0; count(commands).await? + 2];
        commands.read_exact(&mut part).await.ok()?;
        part.truncate(part.len() - 2);
        command.push(String::from_utf8(part).ok()?);
    }
    Some(command)
}

async fn count(commands: &mut BufReader<OwnedReadHalf>) -> Option<usize> {
    let mut line = String::new();
    commands.read_line(&mut line).await.ok()?;
    line.get(1..)?.trim_end().parse().ok()
}

// ---- A dispatcher ----

fn connections() -> ConnectionSettings {
    ConnectionSettings {
        max_per_engine: 64,
        max_total: 1024,
        max_streams: 32,
        connect_timeout: to_micros(CONNECT_TIMEOUT),
        idle_timeout: Micros::from_millis(30_000),
        max_open_requests: 1000,
    }
}

/// The actor of one engine, and the reports that come of it.
struct Dispatcher {
    mailbox: EngineSender,
    told: mpsc::Receiver<BrokerMessage>,
    sent: Vec<(RequestId, AttemptNo)>,
    ends: Vec<(RequestId, AttemptNo, AttemptResult)>,
    given_up: Vec<(RequestId, AttemptNo)>,
    probes: Vec<ProbeResult>,
}

impl Dispatcher {
    fn start(engine: &StandIn) -> Dispatcher {
        Dispatcher::start_with(engine, connections())
    }

    fn start_with(engine: &StandIn, connections: ConnectionSettings) -> Dispatcher {
        Dispatcher::start_at(engine.address, connections)
    }

    fn start_at(engine: SocketAddr, connections: ConnectionSettings) -> Dispatcher {
        let transport = NetworkTransport {
            connections: watch::channel(connections).1,
            metrics: Metrics::default(),
            slots: ConnectionSlots::default(),
        };
        let (mailbox, incoming) = mpsc::channel(1024);
        let (broker, told) = mpsc::channel(1024);
        let reports = EngineReporter::new(EngineId(1), broker);
        let own = mailbox.downgrade();
        tokio::spawn(run(engine.to_string(), transport, own, incoming, reports));
        Dispatcher {
            mailbox,
            told,
            sent: Vec::new(),
            ends: Vec::new(),
            given_up: Vec::new(),
            probes: Vec::new(),
        }
    }

    /// Sends the first attempt of a new request.
    fn send(&mut self) {
        self.send_again(RequestId(self.sent.len() as u64), AttemptNo(0));
    }

    fn send_again(&mut self, request: RequestId, number: AttemptNo) {
        self.send_statement(request, number, Bytes::from_static(b"SELECT 1"));
    }

    fn send_statement(&mut self, request: RequestId, number: AttemptNo, statement: Bytes) {
        let timeout = Duration::from_secs(60);
        let attempt = Attempt {
            request,
            number,
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
        self.sent.push((request, number));
        let told = self.mailbox.try_send(EngineCommand::Send(attempt));
        told.expect("room in the mailbox");
    }

    fn abort(&mut self, request: RequestId, number: AttemptNo) {
        let told = self.mailbox.try_send(EngineCommand::Abort(request, number));
        told.expect("room in the mailbox");
    }

    fn probe(&mut self) {
        let told = self.mailbox.try_send(EngineCommand::Probe);
        told.expect("room in the mailbox");
    }

    fn hear(&mut self) {
        while let Ok(told) = self.told.try_recv() {
            match told {
                BrokerMessage::EngineReport(
                    _,
                    EngineReport::AttemptEnded(request, number, end),
                ) => {
                    self.ends.push((request, number, end));
                }
                BrokerMessage::EngineReport(_, EngineReport::AbortConfirmed(request, number)) => {
                    self.given_up.push((request, number));
                }
                BrokerMessage::EngineReport(_, EngineReport::Probed(probe)) => {
                    self.probes.push(probe)
                }
                _ => {}
            }
        }
    }

    /// Waits until all that was sent has ended; the clock stands still.
    async fn settle(&mut self) {
        let sent = self.sent.len();
        self.wait_for(|dispatcher| dispatcher.ends.len() >= sent)
            .await;
    }

    /// A test that never rests keeps the paused clock from going on by itself.
    async fn wait_for(&mut self, done: impl Fn(&Dispatcher) -> bool) {
        for _ in 0..LOOKS {
            self.hear();
            if done(self) {
                return;
            }
            yield_now().await;
        }
        panic!("{} sent, {} ended", self.sent.len(), self.ends.len());
    }

    /// Sends one attempt after the other, each after a step of time, and waits for each.
    async fn send_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.send();
            self.settle().await;
            advance(STEP).await;
        }
    }

    fn last_end(&self) -> &AttemptResult {
        &self.ends.last().expect("an attempt has ended").2
    }

    fn served(&self) -> usize {
        let ends = self.ends.iter();
        ends.filter(|(_, _, end)| matches!(end, AttemptResult::Ok { .. }))
            .count()
    }

    /// All that was sent has ended, and nothing twice.
    async fn assert_each_ended_once(&mut self) {
        self.settle().await;
        for _ in 0..1000 {
            yield_now().await;
        }
        self.hear();
        let mut ended: Vec<_> = self.ends.iter().map(|end| (end.0, end.1)).collect();
        ended.sort();
        self.sent.sort();
        assert_eq!(ended, self.sent);
    }
}

// ---- What is logged ----

/// Keeps all lines, of all tests together.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn keep_lines() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        log::set_logger(&LINES).expect("no other logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}

fn lines_about(engine: &StandIn) -> Vec<String> {
    let address = engine.address.to_string();
    let lines = LINES.0.lock().unwrap_or_else(PoisonError::into_inner);
    // Another's port may begin with the same digits.
    let about = |line: &str| {
        line.split_once(&address)
            .is_some_and(|(_, rest)| !rest.starts_with(|next: char| next.is_ascii_digit()))
    };
    let about = lines.iter().filter(|line| about(line));
    about.cloned().collect()
}

// ---- Tests ----

#[tokio::test(start_paused = true)]
async fn an_engine_that_closes_at_once_is_not_called_again_for_each_attempt() {
    let engine = StandIn::start(TURNS_ALL_AWAY).await;
    let mut dispatcher = Dispatcher::start(&engine);
    for _ in 0..200 {
        dispatcher.send();
        dispatcher.settle().await;
    }
    assert_eq!(engine.accepts(), 1, "at one moment");
    assert!(matches!(
        dispatcher.last_end(),
        AttemptResult::ConnectFailed
    ));
    let time = Duration::from_secs(24);
    dispatcher.send_for(time).await;
    let (accepts, most) = (engine.accepts(), most_connects(time));
    assert!(accepts <= most, "{accepts} connects, {most} stated");
    assert!(accepts >= 6, "it is tried again: {accepts}");
    dispatcher.assert_each_ended_once().await;
    assert_eq!(dispatcher.served(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_burst_at_an_engine_that_closes_at_once_opens_few_connections() {
    let engine = StandIn::start(TURNS_ALL_AWAY).await;
    let mut dispatcher = Dispatcher::start(&engine);
    for _ in 0..5 {
        for _ in 0..40 {
            dispatcher.send();
        }
        dispatcher.settle().await;
    }
    assert!(engine.accepts() <= IN_FLIGHT, "{}", engine.accepts());
    dispatcher.assert_each_ended_once().await;
}

#[tokio::test(start_paused = true)]
async fn several_dispatchers_together_call_no_more_than_each_may() {
    const DISPATCHERS: usize = 32;
    let engine = StandIn::start(TURNS_ALL_AWAY).await;
    let dispatchers = (0..DISPATCHERS).map(|_| Dispatcher::start(&engine));
    let mut dispatchers: Vec<Dispatcher> = dispatchers.collect();
    let time = Duration::from_secs(8);
    let until = Instant::now() + time;
    while Instant::now() < until {
        for dispatcher in &mut dispatchers {
            for _ in 0..3 {
                dispatcher.send();
            }
        }
        for dispatcher in &mut dispatchers {
            dispatcher.settle().await;
        }
        advance(5 * STEP).await;
    }
    let (accepts, most) = (engine.accepts(), DISPATCHERS * most_connects(time));
    assert!(accepts <= most, "{accepts} connects, {most} stated");
    for dispatcher in &mut dispatchers {
        dispatcher.assert_each_ended_once().await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_is_well_again_is_used_again_and_the_log_tells_of_the_run_in_two_lines() {
    keep_lines();
    let engine = StandIn::start(TURNS_ALL_AWAY).await;
    let mut dispatcher = Dispatcher::start(&engine);
    dispatcher.send_for(Duration::from_secs(10)).await;
    let failed = engine.accepts();
    assert_eq!(lines_about(&engine).len(), 1, "{:?}", lines_about(&engine));
    engine.service.send_replace(WELL);
    dispatcher.send_for(LONGEST_PAUSE).await;
    assert!(matches!(dispatcher.last_end(), AttemptResult::Ok { .. }));
    let lines = lines_about(&engine);
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(
        lines[1].contains(&format!("after {failed} that failed")),
        "{lines:?}"
    );
    // Attempts are spread over connections again.
    engine.service.send_replace(Service { word: None, ..WELL });
    let held = engine.held();
    for _ in 0..6 {
        dispatcher.send();
    }
    let sent = dispatcher.sent.len();
    dispatcher.wait_for(|_| engine.held() >= held + 5).await;
    assert_eq!(dispatcher.ends.len(), sent - 6);
}

#[tokio::test(start_paused = true)]
async fn attempts_share_the_connections_of_an_engine_at_its_limit_of_them() {
    let two = Service {
        connections: 2,
        word: Some("OK"),
    };
    let engine = StandIn::start(two).await;
    let mut dispatcher = Dispatcher::start(&engine);
    dispatcher.send();
    dispatcher.settle().await;
    let time = Duration::from_secs(8);
    let until = Instant::now() + time;
    let mut bursts = 0;
    while Instant::now() < until {
        for _ in 0..20 {
            dispatcher.send();
        }
        dispatcher.settle().await;
        advance(5 * STEP).await;
        bursts += 1;
    }
    // Each call that was turned away took what was on it; answers on the two that are up bring no more calls.
    let (accepts, most) = (engine.accepts(), 2 + most_connects(time));
    assert!(accepts <= most, "{accepts} connects, {most} stated");
    let lost = dispatcher.sent.len() - dispatcher.served();
    assert!(lost <= 20 + accepts, "{lost} lost in {bursts} bursts");
    assert!(engine.most_fetches() == 1);
    dispatcher.assert_each_ended_once().await;
}

#[tokio::test(start_paused = true)]
async fn a_connection_to_an_engine_that_turned_others_away_carries_one_attempt_until_it_has_proved_good()
 {
    let engine = StandIn::start(TURNS_ALL_AWAY).await;
    let mut dispatcher = Dispatcher::start(&engine);
    dispatcher.send();
    dispatcher.settle().await;
    engine.service.send_replace(Service { word: None, ..WELL });
    advance(CONNECT_TIMEOUT).await;
    for _ in 0..5 {
        dispatcher.send();
    }
    dispatcher
        .wait_for(|dispatcher| dispatcher.ends.len() >= 5)
        .await;
    let fetched = || engine.seen.fetches.lock().is_ok_and(|f| f.len() == 1);
    dispatcher.wait_for(|_| fetched()).await;
    assert_eq!((engine.held(), dispatcher.ends.len()), (1, 5));
    assert!(matches!(
        dispatcher.last_end(),
        AttemptResult::ConnectFailed
    ));
    // It was not closed within the time in which engines turn connections away.
    advance(CONNECT_TIMEOUT).await;
    for _ in 0..5 {
        dispatcher.send();
    }
    let fetched = |count| engine.seen.fetches.lock().is_ok_and(|f| f.len() == count);
    dispatcher.wait_for(|_| fetched(6)).await;
    assert_eq!((engine.held(), dispatcher.ends.len()), (2, 5));
}

#[tokio::test(start_paused = true)]
async fn a_request_for_which_no_connection_is_left_is_no_fault_of_an_engine_that_serves() {
    let one = Service {
        connections: 1,
        word: Some("BUSY"),
    };
    let engine = StandIn::start(one).await;
    let mut dispatcher = Dispatcher::start(&engine);
    let mut ends = Vec::new();
    for number in 0..3 {
        dispatcher.send_again(RequestId(7), AttemptNo(number));
        dispatcher.settle().await;
        ends.push(dispatcher.last_end().clone());
    }
    assert_eq!(ends[0], AttemptResult::Busy);
    assert!(
        matches!(ends[1], AttemptResult::ConnectFailed | AttemptResult::Reset),
        "turned away: {ends:?}"
    );
    assert_eq!(
        ends[2],
        AttemptResult::NotRun,
        "not on the connection that carried it"
    );
    assert_eq!((engine.accepts(), engine.most_fetches()), (2, 1));
}

#[tokio::test(start_paused = true)]
async fn probes_are_held_back_alike() {
    let engine = StandIn::start(TURNS_ALL_AWAY).await;
    let mut dispatcher = Dispatcher::start(&engine);
    dispatcher.send();
    dispatcher.settle().await;
    for asked in 1..=100 {
        dispatcher.probe();
        dispatcher
            .wait_for(|dispatcher| dispatcher.probes.len() == asked)
            .await;
    }
    let refused = |probe: &ProbeResult| matches!(probe, ProbeResult::ConnectFailed);
    assert!(dispatcher.probes.iter().all(refused));
    assert_eq!(engine.accepts(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_cold_burst_is_spread_over_few_connections_and_later_attempts_over_more() {
    let silent = Service { word: None, ..WELL };
    let engine = StandIn::start(silent).await;
    let mut dispatcher = Dispatcher::start(&engine);
    for _ in 0..40 {
        dispatcher.send();
    }
    let written = |_: &Dispatcher| engine.seen.fetches.lock().is_ok_and(|f| f.len() >= 40);
    dispatcher.wait_for(written).await;
    assert_eq!(engine.accepts(), IN_FLIGHT);
    // They are up for so long by then that they were not turned away.
    advance(CONNECT_TIMEOUT).await;
    for _ in 0..4 {
        dispatcher.send();
    }
    dispatcher
        .wait_for(|_| engine.held() == IN_FLIGHT + 4)
        .await;
    assert_eq!(engine.most_fetches(), 1);
    assert!(dispatcher.ends.is_empty());
}

#[tokio::test(start_paused = true)]
async fn attempts_that_can_not_share_open_connections_of_their_own() {
    let engine = StandIn::start(WELL).await;
    let alone = ConnectionSettings {
        max_streams: 1,
        ..connections()
    };
    let mut dispatcher = Dispatcher::start_with(&engine, alone);
    for _ in 0..40 {
        dispatcher.send();
    }
    dispatcher.settle().await;
    assert_eq!(dispatcher.served(), 40);
    dispatcher.assert_each_ended_once().await;
}

#[tokio::test]
async fn an_engine_with_nothing_out_and_no_connection_has_nobody_wake() {
    let connections = ConnectionSettings {
        max_per_engine: 2,
        max_total: 64,
        max_streams: 2,
        connect_timeout: Micros::from_millis(250),
        idle_timeout: Micros::from_millis(30_000),
        max_open_requests: 10,
    };
    let transport = NetworkTransport {
        connections: watch::channel(connections).1,
        metrics: Metrics::default(),
        slots: ConnectionSlots::default(),
    };
    let (broker, _told) = mpsc::channel(4);
    let (came, _coming) = mpsc::channel(4);
    let reports = EngineReporter::new(EngineId(1), broker);
    let mut actor = Actor::new("127.0.0.1:1".to_string(), transport, reports, came);
    assert_eq!(actor.looks_at(), None);
    actor.probe().await;
    let probed = actor.looks_at().expect("a probe may be overdue");
    assert!(probed <= Instant::now() + Duration::from_millis(300));
    actor.probes.clear();
    assert_eq!(actor.looks_at(), None, "its connection is being made");
    for connection in actor.connections.values_mut() {
        connection.up = true;
    }
    let idle = actor.looks_at().expect("it is kept for a while");
    assert!(idle > Instant::now() + Duration::from_secs(20));
    actor.connections.clear();
    assert_eq!(actor.looks_at(), None);
}

// ---- Attempts that are given up ----

const REQUEST: RequestId = RequestId(7);
const FIRST: AttemptNo = AttemptNo(0);
/// More than the sockets of a connection hold.
const LONG_STATEMENT: usize = 32 << 20;

/// A stand-in engine that reads and writes only where its test says so.
struct HandHeld {
    listener: std::net::TcpListener,
}

impl HandHeld {
    fn start() -> HandHeld {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a socket");
        listener.set_nonblocking(true).expect("a setting");
        HandHeld { listener }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    async fn accept(&self) -> std::net::TcpStream {
        for _ in 0..LOOKS {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(true).expect("a setting");
                return stream;
            }
            yield_now().await;
        }
        panic!("no connection");
    }
}

/// All that has come: whether the connection is closed, and the last bytes before.
fn read_all(stream: &mut std::net::TcpStream, last: &mut Vec<u8>) -> bool {
    let mut part = vec![0; 1 << 20];
    loop {
        match io::Read::read(stream, &mut part) {
            Ok(0) => return true,
            Ok(count) => {
                last.extend_from_slice(&part[..count]);
                last.drain(..last.len().saturating_sub(1 << 10));
            }
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

fn ends_with_abort(last: &[u8]) -> bool {
    last.ends_with(b"abort\r\n$16\r\n0000000000000007\r\n")
}

/// Lets everything go on that can, while the clock stands still.
async fn rest() {
    for _ in 0..10_000 {
        yield_now().await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_attempt_is_given_up_once_its_abort_is_written() {
    let engine = HandHeld::start();
    let mut dispatcher = Dispatcher::start_at(engine.address(), connections());
    let statement = Bytes::from(vec![b'x'; LONG_STATEMENT]);
    dispatcher.send_statement(REQUEST, FIRST, statement);
    let mut stream = engine.accept().await;
    rest().await;
    dispatcher.abort(REQUEST, FIRST);
    rest().await;
    dispatcher.hear();
    assert_eq!(dispatcher.given_up, [], "its abort waits");
    let mut last = Vec::new();
    for _ in 0..LOOKS {
        dispatcher.hear();
        if !dispatcher.given_up.is_empty() {
            break;
        }
        assert!(!read_all(&mut stream, &mut last), "it stays open");
        yield_now().await;
    }
    assert_eq!(dispatcher.given_up, [(REQUEST, FIRST)]);
    read_all(&mut stream, &mut last);
    assert!(ends_with_abort(&last), "it was written by then");
    assert!(dispatcher.ends.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_does_not_take_an_abort_is_closed() {
    let engine = HandHeld::start();
    let mut dispatcher = Dispatcher::start_at(engine.address(), connections());
    let statement = Bytes::from(vec![b'x'; LONG_STATEMENT]);
    dispatcher.send_statement(REQUEST, FIRST, statement);
    let mut stream = engine.accept().await;
    rest().await;
    dispatcher.abort(REQUEST, FIRST);
    rest().await;
    advance(ABORT_LIMIT + 2 * LOOK_AFTER).await;
    dispatcher
        .wait_for(|dispatcher| !dispatcher.given_up.is_empty())
        .await;
    let mut last = Vec::new();
    assert!(read_all(&mut stream, &mut last), "it is closed by then");
    assert!(!ends_with_abort(&last));
    rest().await;
    dispatcher.hear();
    assert_eq!(dispatcher.given_up, [(REQUEST, FIRST)]);
    assert!(dispatcher.ends.is_empty());
}

#[tokio::test(start_paused = true)]
async fn what_was_not_written_or_has_ended_is_given_up_at_once() {
    let engine = HandHeld::start();
    let mut dispatcher = Dispatcher::start_at(engine.address(), connections());
    // Its connection is not up when the abort comes.
    dispatcher.send_again(REQUEST, FIRST);
    dispatcher.abort(REQUEST, FIRST);
    rest().await;
    dispatcher.hear();
    assert_eq!(dispatcher.given_up, [(REQUEST, FIRST)]);
    dispatcher.abort(REQUEST, FIRST);
    rest().await;
    dispatcher.hear();
    assert_eq!(dispatcher.given_up, [(REQUEST, FIRST); 2]);
    let mut last = Vec::new();
    read_all(&mut engine.accept().await, &mut last);
    assert!(last.is_empty());
}

#[tokio::test(start_paused = true)]
async fn what_is_out_on_an_abandoned_connection_ends_once_that_is_closed() {
    let engine = HandHeld::start();
    let mut dispatcher = Dispatcher::start_at(engine.address(), connections());
    dispatcher.send_again(REQUEST, FIRST);
    let mut stream = engine.accept().await;
    let mut last = Vec::new();
    while last.is_empty() {
        assert!(!read_all(&mut stream, &mut last));
        yield_now().await;
    }
    let spoilt = b"*3\r\n$16\r\n0000000000000007\r\n$4\r\nWHAT\r\n$1\r\n-\r\n";
    io::Write::write_all(&mut stream, spoilt).expect("room");
    dispatcher.settle().await;
    assert!(read_all(&mut stream, &mut last), "it is closed by then");
    assert_eq!(dispatcher.ends, [(REQUEST, FIRST, AttemptResult::Reset)]);
}
