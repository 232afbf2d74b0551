//! Clients: one command at a time or many at once, whole or in pieces; some leave, cancel, stay idle, or go on using a
//! connection until it is closed.

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

/// Where a client may connect.
#[derive(Clone)]
pub struct DispatcherEndpoint {
    pub dispatcher: usize,
    pub address: SocketAddr,
    pub accepts_connections: Arc<AtomicBool>,
}

/// The shortest that a client waits for an answer.
const LEAST_LIMIT: Micros = 500 * MILLISECOND;
/// A client stops waiting so long after its limit; the judge says whether that was too late.
const WAITS_ON: Duration = Duration::from_millis(1_500);

struct Session {
    stream: TcpStream,
    bytes: bytes::BytesMut,
    /// The session's key, for a cancel.
    key: Vec<u8>,
}

/// What came of waiting for one answer.
enum Came {
    Answer(Answer),
    Closed,
    Nothing,
}

impl Session {
    async fn open(address: SocketAddr) -> Option<Session> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(&wire::startup()).await.ok()?;
        let mut session = Session {
            stream,
            bytes: bytes::BytesMut::new(),
            key: Vec::new(),
        };
        let started = timeout(Duration::from_secs(3), session.answer()).await;
        matches!(started, Ok(Came::Answer(Answer::Served))).then_some(session)
    }

    /// What is said up to the next word that the server is ready, or to its close.
    async fn answer(&mut self) -> Came {
        let mut answer = Answer::Served;
        let mut told = false;
        loop {
            while let Ok(Some((kind, body))) = wire::message(&mut self.bytes) {
                match kind {
                    b'Z' => return Came::Answer(answer),
                    b'K' => self.key = body.to_vec(),
                    b'E' => {
                        told = true;
                        let state = wire::sqlstate(&body);
                        let refused = state.starts_with(b"53") || state == b"57P03";
                        answer = if refused {
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
                // The last word of a session that ends.
                _ if told => return Came::Answer(answer),
                _ => return Came::Closed,
            }
        }
    }

    /// Whether it is open and nothing has been said on it, as far as this end knows.
    fn rests(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// One request of a client.
#[derive(Clone, Copy)]
struct Request {
    id: u64,
    limit: Micros,
    class: &'static str,
    effect: Effect,
}

impl Request {
    fn draw(draws: &mut SeededRng, asked: &RequestLimits) -> Request {
        let window = asked.repeat_window;
        let (class, effect) = match draws.below(100) {
            0..20 => ("journal-load", Effect::Once),
            20..32 => ("report", Effect::Repeatable),
            32..44 => ("balance", Effect::ByKey { window }),
            _ => ("lookup", Effect::Repeatable),
        };
        Request {
            id: draws.next(),
            limit: LEAST_LIMIT + draws.below(asked.max_time_limit - LEAST_LIMIT),
            class,
            effect,
        }
    }

    fn bytes(&self) -> Vec<u8> {
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
            self.limit / MILLISECOND
        );
        wire::query(&text).to_vec()
    }
}

/// What holds of all requests of a run.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// The longest that a client waits for an answer.
    pub max_time_limit: Micros,
    /// How long a keyed request may be repeated.
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
    /// Asks until all is over.
    pub async fn run(mut self) {
        let mut kept: Option<(Session, usize)> = None;
        while !self.is_finished.load(Ordering::Relaxed) {
            let pause = if self.rng.chance(5) {
                self.rng.millis_between(200, 900)
            } else {
                self.rng.millis_between(1, 60)
            };
            sleep(pause).await;
            let session = kept.take().filter(|(session, _)| session.rests());
            let rested = session.is_some();
            let Some((session, dispatcher)) = (match session {
                Some(session) => Some(session),
                None => self.connect().await,
            }) else {
                continue;
            };
            kept = self.ask(session, dispatcher, rested).await;
        }
    }

    async fn connect(&mut self) -> Option<(Session, usize)> {
        let place = self.rng.below(self.endpoints.len() as u64) as usize;
        let place = self.endpoints[place].clone();
        if !place.accepts_connections.load(Ordering::Relaxed) {
            return None;
        }
        let session = Session::open(place.address).await?;
        Some((session, place.dispatcher))
    }

    /// Writes one command, or several at once; the session, where it stays open.
    async fn ask(
        &mut self,
        mut session: Session,
        dispatcher: usize,
        rested: bool,
    ) -> Option<(Session, usize)> {
        let count = match self.rng.below(100) {
            0..80 => 1,
            80..97 => 2 + self.rng.below(6),
            _ => 70,
        };
        let requests: Vec<Request> = (0..count)
            .map(|_| Request::draw(&mut self.rng, &self.request_limits))
            .collect();
        let bytes: Vec<u8> = requests.iter().flat_map(Request::bytes).collect();
        if !self.write(&mut session, &bytes).await {
            // The last byte of none is known to have been written.
            return None;
        }
        let mut behind = 0;
        for request in &requests {
            behind = request.limit.max(behind);
            self.recorder.record(Event::RequestSent {
                request: request.id,
                dispatcher,
                time_limit: request.limit,
                pipeline_time_limit: behind,
                effect: request.effect,
            });
        }
        let leaves = self.rng.chance(8).then(|| self.rng.millis_between(1, 300));
        let cancels = count == 1 && self.rng.chance(5);
        let mut open: VecDeque<Request> = requests.into();
        let leaves_at = leaves.map(|after| Instant::now() + after);
        let latest = open.iter().map(|request| request.limit).max().unwrap_or(0);
        let latest = Instant::now() + Duration::from_micros(latest) + WAITS_ON;
        while let Some(request) = open.front().copied() {
            let came = tokio::select! {
                biased;
                came = session.answer() => came,
                () = sleep_until(leaves_at.unwrap_or(latest)), if leaves_at.is_some() => {
                    self.leave(session, &open, cancels).await;
                    return None;
                }
                () = sleep_until(latest) => Came::Nothing,
            };
            let id = request.id;
            match came {
                Came::Answer(answer) => {
                    self.recorder.record(Event::Answered {
                        request: id,
                        answer,
                    });
                    open.pop_front();
                }
                Came::Closed => {
                    for request in open {
                        let (request, was_idle) = (request.id, rested);
                        self.recorder
                            .record(Event::ConnectionClosed { request, was_idle });
                    }
                    return None;
                }
                Came::Nothing => return None,
            }
        }
        Some((session, dispatcher))
    }

    /// Writes whole, or in pieces.
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

    /// Goes without its answers: closes, or cancels and closes half a second later.
    async fn leave(&mut self, session: Session, open: &VecDeque<Request>, cancels: bool) {
        if cancels && let Ok(peer) = session.stream.peer_addr() {
            let bytes = wire::cancel(&session.key);
            if let Ok(mut other) = TcpStream::connect(peer).await
                && other.write_all(&bytes).await.is_ok()
            {
                // It counts once it is read: the connection is closed then.
                let _ = timeout(Duration::from_secs(2), other.read(&mut [0; 64])).await;
            }
        } else {
            drop(session);
            open.iter().for_each(|request| self.gone(request));
            return;
        }
        open.iter().for_each(|request| self.gone(request));
        sleep(Duration::from_millis(500)).await;
        drop(session);
    }

    fn gone(&self, request: &Request) {
        self.recorder.record(Event::ClientLeft {
            request: request.id,
        });
    }
}

/// Connections that say nothing, or start and then rest, until all is over.
pub async fn hold_idle_connections(place: DispatcherEndpoint, count: usize, over: Arc<AtomicBool>) {
    let mut kept = Vec::new();
    for number in 0..count {
        if let Ok(mut stream) = TcpStream::connect(place.address).await {
            if number % 2 == 0 {
                let _ = stream.write_all(&wire::startup()).await;
            }
            kept.push(stream);
        }
    }
    while !over.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(50)).await;
    }
}
