//! Clients that send one query at a time or several in one batch, in one write or in pieces. Some disconnect early, cancel,
//! stay idle, or reuse a connection until it is closed.

use crate::checker::{Answer, Effect, Event, MILLISECOND, Micros};
use crate::fakes::{Recorder, SeededRng};
use sedgebeam_lab::wire;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A dispatcher to which clients may connect.
#[derive(Clone)]
pub struct DispatcherEndpoint {
    pub dispatcher: usize,
    pub address: SocketAddr,
    pub accepts_connections: Arc<AtomicBool>,
}

/// The shortest time limit of a request.
const MIN_TIME_LIMIT: Micros = 500 * MILLISECOND;
/// How long a client waits after the time limit of a request. It exceeds what the checker allows, so that a late answer is
/// still recorded.
const EXTRA_WAIT: Duration = Duration::from_millis(1_500);

struct Session {
    stream: TcpStream,
    bytes: bytes::BytesMut,
    /// The key of the session for a cancel request.
    cancel_key: Vec<u8>,
}

/// The result of waiting for one answer.
enum WaitResult {
    Answer(Answer),
    Closed,
    TimedOut,
}

impl Session {
    async fn open(address: SocketAddr) -> Option<Session> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(&wire::startup()).await.ok()?;
        let mut session = Session {
            stream,
            bytes: bytes::BytesMut::new(),
            cancel_key: Vec::new(),
        };
        let started = timeout(Duration::from_secs(3), session.read_answer()).await;
        matches!(started, Ok(WaitResult::Answer(Answer::Served))).then_some(session)
    }

    /// Reads up to the next ReadyForQuery message, or to the close of the connection.
    async fn read_answer(&mut self) -> WaitResult {
        let mut answer = Answer::Served;
        let mut has_error = false;
        loop {
            while let Ok(Some((kind, body))) = wire::message(&mut self.bytes) {
                match kind {
                    b'Z' => return WaitResult::Answer(answer),
                    b'K' => self.cancel_key = body.to_vec(),
                    b'E' => {
                        has_error = true;
                        let sqlstate = wire::sqlstate(&body);
                        let is_refusal = sqlstate.starts_with(b"53") || sqlstate == b"57P03";
                        answer = if is_refusal {
                            Answer::Refused
                        } else {
                            Answer::Failed
                        };
                    }
                    _ => {}
                }
            }
            match self.stream.read_buf(&mut self.bytes).await {
                Ok(count) if count > 0 => {}
                // The server closes a session after an error that ends it.
                _ if has_error => return WaitResult::Answer(answer),
                _ => return WaitResult::Closed,
            }
        }
    }

    /// Whether the connection is open and no data has arrived.
    fn is_idle(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// One request of a client.
#[derive(Clone, Copy)]
struct Request {
    id: u64,
    time_limit: Micros,
    class: &'static str,
    effect: Effect,
}

impl Request {
    fn draw(rng: &mut SeededRng, limits: &RequestLimits) -> Request {
        let window = limits.repeat_window;
        let (class, effect) = match rng.below(100) {
            0..20 => ("journal-load", Effect::Once),
            20..32 => ("report", Effect::Repeatable),
            32..44 => ("balance", Effect::ByKey { window }),
            _ => ("lookup", Effect::Repeatable),
        };
        Request {
            id: rng.next(),
            time_limit: MIN_TIME_LIMIT + rng.below(limits.max_time_limit - MIN_TIME_LIMIT),
            class,
            effect,
        }
    }

    fn encode(&self) -> Vec<u8> {
        let verb = if self.effect == Effect::Repeatable {
            "SELECT * FROM"
        } else {
            "INSERT INTO"
        };
        let token = match self.effect {
            Effect::ByKey { .. } => format!(",unique={:032x}", self.id),
            _ => String::new(),
        };
        let group = self.id % 50;
        let cpu = if self.class == "lookup" { 80 } else { 2_000 };
        let text = format!(
            "/* verb={},txn={:016x},limit={}{token},cpu={cpu}.0,memory=8 */ {verb} sales_{group}.orders",
            self.class,
            self.id,
            self.time_limit / MILLISECOND
        );
        wire::query(&text).to_vec()
    }
}

/// Parameters of all requests of a run.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// The longest time limit of a request.
    pub max_time_limit: Micros,
    /// How long after its first attempt a request with a key may be repeated.
    pub repeat_window: Micros,
}

pub struct Client {
    pub rng: SeededRng,
    pub endpoints: Vec<DispatcherEndpoint>,
    pub recorder: Recorder,
    pub is_finished: Arc<AtomicBool>,
    pub request_limits: RequestLimits,
}

impl Client {
    /// Sends requests until the run is finished.
    pub async fn run(mut self) {
        let mut reusable: Option<(Session, usize)> = None;
        while !self.is_finished.load(Ordering::Relaxed) {
            let pause = if self.rng.chance(5) {
                self.rng.millis_between(200, 900)
            } else {
                self.rng.millis_between(1, 60)
            };
            sleep(pause).await;
            let session = reusable.take().filter(|(session, _)| session.is_idle());
            let was_idle = session.is_some();
            let Some((session, dispatcher)) = (match session {
                Some(session) => Some(session),
                None => self.connect().await,
            }) else {
                continue;
            };
            reusable = self.send_batch(session, dispatcher, was_idle).await;
        }
    }

    async fn connect(&mut self) -> Option<(Session, usize)> {
        let index = self.rng.below(self.endpoints.len() as u64) as usize;
        let endpoint = self.endpoints[index].clone();
        if !endpoint.accepts_connections.load(Ordering::Relaxed) {
            return None;
        }
        let session = Session::open(endpoint.address).await?;
        Some((session, endpoint.dispatcher))
    }

    /// Writes one query, or several at once, and waits for the answers. Returns the session if it stays open.
    async fn send_batch(
        &mut self,
        mut session: Session,
        dispatcher: usize,
        was_idle: bool,
    ) -> Option<(Session, usize)> {
        let count = match self.rng.below(100) {
            0..80 => 1,
            80..97 => 2 + self.rng.below(6),
            _ => 70,
        };
        let requests: Vec<Request> = (0..count)
            .map(|_| Request::draw(&mut self.rng, &self.request_limits))
            .collect();
        let bytes: Vec<u8> = requests.iter().flat_map(Request::encode).collect();
        if !self.write(&mut session, &bytes).await {
            // It is unknown whether the last byte of any request was written.
            return None;
        }
        let mut pipeline_time_limit = 0;
        for request in &requests {
            pipeline_time_limit = request.time_limit.max(pipeline_time_limit);
            self.recorder.record(Event::RequestSent {
                request: request.id,
                dispatcher,
                time_limit: request.time_limit,
                pipeline_time_limit,
                effect: request.effect,
            });
        }
        let leaves_after = self.rng.chance(8).then(|| self.rng.millis_between(1, 300));
        let sends_cancel = count == 1 && self.rng.chance(5);
        let mut unanswered: VecDeque<Request> = requests.into();
        let leaves_at = leaves_after.map(|after| Instant::now() + after);
        let max_time_limit = unanswered
            .iter()
            .map(|request| request.time_limit)
            .max()
            .unwrap_or(0);
        let wait_until = Instant::now() + Duration::from_micros(max_time_limit) + EXTRA_WAIT;
        while let Some(request) = unanswered.front().copied() {
            let result = tokio::select! {
                biased;
                result = session.read_answer() => result,
                () = sleep_until(leaves_at.unwrap_or(wait_until)), if leaves_at.is_some() => {
                    self.leave(session, &unanswered, sends_cancel).await;
                    return None;
                }
                () = sleep_until(wait_until) => WaitResult::TimedOut,
            };
            let id = request.id;
            match result {
                WaitResult::Answer(answer) => {
                    self.recorder.record(Event::Answered {
                        request: id,
                        answer,
                    });
                    unanswered.pop_front();
                }
                WaitResult::Closed => {
                    for request in unanswered {
                        let (request, was_idle) = (request.id, was_idle);
                        self.recorder
                            .record(Event::ConnectionClosed { request, was_idle });
                    }
                    return None;
                }
                WaitResult::TimedOut => return None,
            }
        }
        Some((session, dispatcher))
    }

    /// Writes the bytes at once, or in pieces with pauses.
    async fn write(&mut self, session: &mut Session, bytes: &[u8]) -> bool {
        if !self.rng.chance(15) {
            return session.stream.write_all(bytes).await.is_ok();
        }
        let pieces = 2 + self.rng.below(4) as usize;
        for piece in bytes.chunks(bytes.len() / pieces + 1) {
            if session.stream.write_all(piece).await.is_err() {
                return false;
            }
            sleep(self.rng.millis_between(1, 30)).await;
        }
        true
    }

    /// Leaves before the answers: closes the connection, or sends a cancel request and closes it half a second later.
    async fn leave(
        &mut self,
        session: Session,
        unanswered: &VecDeque<Request>,
        sends_cancel: bool,
    ) {
        if sends_cancel && let Ok(peer) = session.stream.peer_addr() {
            let bytes = wire::cancel(&session.cancel_key);
            if let Ok(mut cancel_stream) = TcpStream::connect(peer).await
                && cancel_stream.write_all(&bytes).await.is_ok()
            {
                // The cancel counts once the dispatcher has read it, which then closes this connection.
                let _ = timeout(Duration::from_secs(2), cancel_stream.read(&mut [0; 64])).await;
            }
        } else {
            drop(session);
            unanswered
                .iter()
                .for_each(|request| self.record_left(request));
            return;
        }
        unanswered
            .iter()
            .for_each(|request| self.record_left(request));
        sleep(Duration::from_millis(500)).await;
        drop(session);
    }

    fn record_left(&self, request: &Request) {
        self.recorder.record(Event::ClientLeft {
            request: request.id,
        });
    }
}

/// Holds connections open until the run is finished; every other one starts a session, the rest send nothing.
pub async fn hold_idle_connections(
    endpoint: DispatcherEndpoint,
    count: usize,
    is_finished: Arc<AtomicBool>,
) {
    let mut streams = Vec::new();
    for number in 0..count {
        if let Ok(mut stream) = TcpStream::connect(endpoint.address).await {
            if number % 2 == 0 {
                let _ = stream.write_all(&wire::startup()).await;
            }
            streams.push(stream);
        }
    }
    while !is_finished.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(50)).await;
    }
}
