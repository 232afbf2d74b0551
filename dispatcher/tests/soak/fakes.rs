//! Fake engines, with or without faults, and fake change logs to which the dispatchers connect. Also the random number
//! generator and the event recorder of a run.

use crate::checker::{AttemptEnd, Event, MILLISECOND, Micros};
use sedgebeam_lab::wire;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// A deterministic random number generator.
#[derive(Clone, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(sedgebeam_core::splitmix64(seed))
    }

    pub fn next(&mut self) -> u64 {
        self.0 = sedgebeam_core::splitmix64(self.0);
        self.0
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    /// True with a probability of `percent` percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub fn millis_between(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }
}

/// Records all events of a run; clones share the record.
#[derive(Clone)]
pub struct Recorder {
    started_at: Instant,
    events: Arc<Mutex<Vec<(Micros, Event)>>>,
}

impl Recorder {
    pub fn new() -> Recorder {
        Recorder {
            started_at: Instant::now(),
            events: Arc::default(),
        }
    }

    pub fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    pub fn record(&self, event: Event) {
        // Reads the time under the lock, so that the trace is in order.
        let mut trace = self.events.lock().expect("the lock is not poisoned");
        let now = self.now();
        trace.push((now, event));
    }

    pub fn take(&self) -> Vec<(Micros, Event)> {
        std::mem::take(&mut self.events.lock().expect("the lock is not poisoned"))
    }
}

/// A fake engine, as the change log lists it.
pub struct Engine {
    pub number: usize,
    pub address: SocketAddr,
    /// While set, the engine sends no answers.
    pub is_hung: Arc<AtomicBool>,
}

/// Starts an engine on which `fault_percent` percent of the requests meet a fault.
pub async fn start_engine(
    number: usize,
    fault_percent: u64,
    seed: u64,
    recorder: Recorder,
) -> Engine {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let address = listener.local_addr().expect("get the local address");
    let is_hung = Arc::new(AtomicBool::new(false));
    let connection_is_hung = is_hung.clone();
    tokio::spawn(async move {
        let mut rng = SeededRng::new(seed);
        while let Ok((stream, _)) = listener.accept().await {
            let connection = Connection {
                engine: number,
                fault_percent,
                rng: SeededRng::new(rng.next()),
                recorder: recorder.clone(),
                is_hung: connection_is_hung.clone(),
                // Delays answers only: attempts are read at once, as the time at which one was received is recorded.
                answer_delay: rng.chance(10).then(|| rng.millis_between(50, 400)),
                in_flight: HashMap::new(),
            };
            let is_rejected = rng.chance(fault_percent / 4);
            if !is_rejected {
                tokio::spawn(connection.serve(stream));
            }
        }
    });
    Engine {
        number,
        address,
        is_hung,
    }
}

/// How an engine handles an attempt.
enum Plan {
    /// Answers with this status.
    Status(&'static str, AttemptEnd),
    /// Sends no answer.
    Hang,
    /// Closes the connection.
    Reset,
    /// Sends the first half of an answer.
    Truncate,
    /// Sends the answer twice.
    Duplicate,
}

/// An attempt whose answer is due.
struct DueAnswer {
    id: String,
    /// Work that the attempt counts with, which its answer tells.
    work_ms: u64,
    plan: Plan,
}

struct Connection {
    engine: usize,
    fault_percent: u64,
    rng: SeededRng,
    recorder: Recorder,
    is_hung: Arc<AtomicBool>,
    /// Extra delay of all answers on this connection.
    answer_delay: Option<Duration>,
    /// The requests of the attempts in flight on this connection, by the ids of the attempts.
    in_flight: HashMap<String, u64>,
}

impl Connection {
    fn end_attempt(&mut self, id: &str, end: AttemptEnd) {
        if let Some(request) = self.in_flight.remove(id) {
            self.recorder.record(Event::AttemptEnded {
                request,
                engine: self.engine,
                end,
            });
        }
    }

    fn draw_plan(&mut self) -> Plan {
        if !self.rng.chance(self.fault_percent) {
            return Plan::Status("OK", AttemptEnd::MayHaveRun);
        }
        match self.rng.below(8) {
            0 => Plan::Status("BUSY", AttemptEnd::NeverRan),
            1 => Plan::Status("VOID", AttemptEnd::NeverRan),
            2 => Plan::Status("ERR", AttemptEnd::MayHaveRun),
            3 => Plan::Reset,
            4 => Plan::Truncate,
            5 => Plan::Duplicate,
            _ => Plan::Hang,
        }
    }

    async fn serve(mut self, stream: TcpStream) {
        let (mut read, mut write) = stream.into_split();
        let (due_sender, mut due_answers) = mpsc::unbounded_channel::<DueAnswer>();
        let mut bytes = bytes::BytesMut::new();
        loop {
            tokio::select! {
                biased;
                count = read.read_buf(&mut bytes) => {
                    if !count.is_ok_and(|count| count > 0) {
                        break;
                    }
                    while let Ok(Some(fields)) = wire::array(&mut bytes) {
                        self.handle_command(&fields, &due_sender, &mut write).await;
                    }
                }
                Some(due_answer) = due_answers.recv() => {
                    if !self.send_answer(due_answer, &mut write).await {
                        break;
                    }
                }
            }
        }
        let unfinished: Vec<String> = self.in_flight.keys().cloned().collect();
        for id in unfinished {
            self.end_attempt(&id, AttemptEnd::MayHaveRun);
        }
    }

    async fn handle_command(
        &mut self,
        fields: &[bytes::BytesMut],
        due_sender: &mpsc::UnboundedSender<DueAnswer>,
        write: &mut OwnedWriteHalf,
    ) {
        let text = |index: usize| {
            let field = fields.get(index);
            field.map_or(String::new(), |field| {
                String::from_utf8_lossy(field).into_owned()
            })
        };
        let (verb, id) = (text(0), text(1));
        match verb.as_str() {
            "fetch" => {
                let request = u64::from_str_radix(&id, 16).unwrap_or_default();
                let header = text(2);
                let time_limit_field = header
                    .split(',')
                    .find_map(|field| field.strip_prefix("ms="));
                let time_limit_ms = time_limit_field
                    .and_then(|ms| ms.parse::<Micros>().ok())
                    .unwrap_or_default();
                let is_lookup = header.starts_with("kind=lookup");
                let work_ms = if is_lookup { 80 } else { 2_000 };
                self.recorder.record(Event::AttemptStarted {
                    request,
                    engine: self.engine,
                    announced_time_limit: time_limit_ms * MILLISECOND,
                    work_ms,
                });
                self.in_flight.insert(id.clone(), request);
                let plan = self.draw_plan();
                let answer_time = if self.rng.chance(10) {
                    self.rng.millis_between(100, 900)
                } else {
                    self.rng.millis_between(1, 20)
                } + self.answer_delay.unwrap_or_default();
                let (due_sender, is_hung) = (due_sender.clone(), self.is_hung.clone());
                tokio::spawn(async move {
                    sleep(answer_time).await;
                    if !is_hung.load(Ordering::Relaxed) {
                        let _ = due_sender.send(DueAnswer { id, work_ms, plan });
                    }
                });
            }
            "abort" => self.end_attempt(&id, AttemptEnd::MayHaveRun),
            "stats" | "alive" => {
                let _ = write.write_all(&encode_array(&[&id, "UP", "-", ""])).await;
            }
            _ => {}
        }
    }

    /// Sends the answer according to its plan, and returns whether the connection stays open.
    async fn send_answer(&mut self, due_answer: DueAnswer, write: &mut OwnedWriteHalf) -> bool {
        if !self.in_flight.contains_key(&due_answer.id) {
            return true;
        }
        let fields = format!("parts=1,work={}.0,peak=8", due_answer.work_ms);
        let ok_answer = encode_array(&[&due_answer.id, "OK", &fields, "a\tb\tc\n"]);
        match due_answer.plan {
            Plan::Hang => true,
            Plan::Reset => false,
            Plan::Truncate => {
                let _ = write.write_all(&ok_answer[..ok_answer.len() / 2]).await;
                true
            }
            Plan::Duplicate => {
                self.end_attempt(&due_answer.id, AttemptEnd::MayHaveRun);
                let both = [ok_answer.clone(), ok_answer].concat();
                write.write_all(&both).await.is_ok()
            }
            Plan::Status(status, end) => {
                self.end_attempt(&due_answer.id, end);
                let answer = if status == "OK" {
                    ok_answer
                } else {
                    encode_array(&[&due_answer.id, status, "-", ""])
                };
                write.write_all(&answer).await.is_ok()
            }
        }
    }
}

fn encode_array(fields: &[&str]) -> Vec<u8> {
    let fields: Vec<&[u8]> = fields.iter().map(|field| field.as_bytes()).collect();
    let mut bytes = bytes::BytesMut::new();
    wire::put_array(&mut bytes, &fields);
    bytes.to_vec()
}

/// A fake change log.
#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    /// While set, the log accepts connections, but sends nothing and closes nothing.
    pub is_silent: Arc<AtomicBool>,
    followers: Arc<AtomicUsize>,
}

/// Interval at which a change log looks for new events.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Starts a change log; several logs may serve the same events.
pub async fn start_change_log(events: Arc<Mutex<Vec<String>>>) -> ChangeLog {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let log = ChangeLog {
        address: listener.local_addr().expect("get the local address"),
        events,
        is_silent: Arc::default(),
        followers: Arc::default(),
    };
    let shared = log.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let log = shared.clone();
            tokio::spawn(async move {
                log.followers.fetch_add(1, Ordering::Relaxed);
                let _ = log.serve(stream).await;
                log.followers.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    log
}

impl ChangeLog {
    /// Sends events on one connection until it fails.
    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let last_event_id = head
            .lines()
            .find_map(|line| line.strip_prefix("Last-Event-ID: "));
        let mut delivered_count = last_event_id
            .and_then(|id| id.parse::<usize>().ok())
            .unwrap_or(0);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            .await?;
        let mut polls = 0;
        loop {
            while self.is_silent.load(Ordering::Relaxed) {
                sleep(POLL_INTERVAL).await;
            }
            let new_events: Vec<String> = {
                let events = self.events.lock().expect("the lock is not poisoned");
                events.get(delivered_count..).unwrap_or_default().to_vec()
            };
            for event in new_events {
                delivered_count += 1;
                stream
                    .write_all(format!("id: {delivered_count}\ndata: {event}\n\n").as_bytes())
                    .await?;
            }
            polls += 1;
            if polls % 50 == 0 {
                stream.write_all(b":\n\n").await?;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
