//! What the dispatchers talk to: engines that are well or not, and change logs.

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

/// Draws of one seed.
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

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    /// True so many times of a hundred.
    pub fn chance(&mut self, part: u64) -> bool {
        self.below(100) < part
    }

    pub fn millis_between(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }
}

/// All that is seen in a run.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    seen: Arc<Mutex<Vec<(Micros, Event)>>>,
}

impl Recorder {
    pub fn new() -> Recorder {
        Recorder {
            began: Instant::now(),
            seen: Arc::default(),
        }
    }

    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    pub fn record(&self, seen: Event) {
        // The time is read under the lock: the trace is in order.
        let mut trace = self.seen.lock().expect("nobody panicked");
        let now = self.now();
        trace.push((now, seen));
    }

    pub fn take(&self) -> Vec<(Micros, Event)> {
        std::mem::take(&mut self.seen.lock().expect("nobody panicked"))
    }
}

/// An engine as the change log names it.
pub struct Engine {
    pub number: usize,
    pub address: SocketAddr,
    /// It answers nothing while this is set.
    pub is_hung: Arc<AtomicBool>,
}

/// Starts an engine; so many of a hundred requests meet a fault.
pub async fn start_engine(number: usize, faults: u64, seed: u64, recorder: Recorder) -> Engine {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let hangs = Arc::new(AtomicBool::new(false));
    let hanging = hangs.clone();
    tokio::spawn(async move {
        let mut draws = SeededRng::new(seed);
        while let Ok((stream, _)) = listener.accept().await {
            let connection = Connection {
                engine: number,
                faults,
                draws: SeededRng::new(draws.next()),
                recorder: recorder.clone(),
                hangs: hanging.clone(),
                // What comes is read at once: when an attempt has come whole is what counts.
                late: draws.chance(10).then(|| draws.millis_between(50, 400)),
                out: HashMap::new(),
            };
            let turned_away = draws.chance(faults / 4);
            if !turned_away {
                tokio::spawn(connection.serve(stream));
            }
        }
    });
    Engine {
        number,
        address,
        is_hung: hangs,
    }
}

/// What becomes of a request at an engine.
enum Plan {
    Word(&'static str, AttemptEnd),
    Hang,
    Reset,
    Cut,
    Twice,
}

/// An answer that is due.
struct Due {
    id: String,
    plan: Plan,
}

struct Connection {
    engine: usize,
    faults: u64,
    draws: SeededRng,
    recorder: Recorder,
    hangs: Arc<AtomicBool>,
    /// All answers on this connection are late by this time.
    late: Option<Duration>,
    /// Requests that are out here, by their names.
    out: HashMap<String, u64>,
}

impl Connection {
    fn over(&mut self, id: &str, end: AttemptEnd) {
        if let Some(request) = self.out.remove(id) {
            self.recorder.record(Event::AttemptEnded {
                request,
                engine: self.engine,
                end,
            });
        }
    }

    fn plan(&mut self) -> Plan {
        if !self.draws.chance(self.faults) {
            return Plan::Word("OK", AttemptEnd::MayHaveRun);
        }
        match self.draws.below(8) {
            0 => Plan::Word("BUSY", AttemptEnd::NeverRan),
            1 => Plan::Word("VOID", AttemptEnd::NeverRan),
            2 => Plan::Word("ERR", AttemptEnd::MayHaveRun),
            3 => Plan::Reset,
            4 => Plan::Cut,
            5 => Plan::Twice,
            _ => Plan::Hang,
        }
    }

    async fn serve(mut self, stream: TcpStream) {
        let (mut read, mut write) = stream.into_split();
        let (dues, mut due) = mpsc::unbounded_channel::<Due>();
        let mut bytes = bytes::BytesMut::new();
        loop {
            tokio::select! {
                biased;
                count = read.read_buf(&mut bytes) => {
                    if !count.is_ok_and(|count| count > 0) {
                        break;
                    }
                    while let Ok(Some(words)) = wire::array(&mut bytes) {
                        self.command(&words, &dues, &mut write).await;
                    }
                }
                Some(due) = due.recv() => {
                    if !self.answer(due, &mut write).await {
                        break;
                    }
                }
            }
        }
        let left: Vec<String> = self.out.keys().cloned().collect();
        for id in left {
            self.over(&id, AttemptEnd::MayHaveRun);
        }
    }

    async fn command(
        &mut self,
        words: &[bytes::BytesMut],
        dues: &mpsc::UnboundedSender<Due>,
        write: &mut OwnedWriteHalf,
    ) {
        let text = |place: usize| {
            let word = words.get(place);
            word.map_or(String::new(), |word| {
                String::from_utf8_lossy(word).into_owned()
            })
        };
        let (verb, id) = (text(0), text(1));
        match verb.as_str() {
            "fetch" => {
                let request = u64::from_str_radix(&id, 16).unwrap_or_default();
                let fields = text(2);
                let field = fields
                    .split(',')
                    .find_map(|field| field.strip_prefix("ms="));
                let told = field
                    .and_then(|ms| ms.parse::<Micros>().ok())
                    .unwrap_or_default();
                self.recorder.record(Event::AttemptStarted {
                    request,
                    engine: self.engine,
                    announced_time_limit: told * MILLISECOND,
                    work_ms: if fields.starts_with("kind=lookup") {
                        80
                    } else {
                        2_000
                    },
                });
                self.out.insert(id.clone(), request);
                let plan = self.plan();
                let takes = if self.draws.chance(10) {
                    self.draws.millis_between(100, 900)
                } else {
                    self.draws.millis_between(1, 20)
                } + self.late.unwrap_or_default();
                let (dues, hangs) = (dues.clone(), self.hangs.clone());
                tokio::spawn(async move {
                    sleep(takes).await;
                    if !hangs.load(Ordering::Relaxed) {
                        let _ = dues.send(Due { id, plan });
                    }
                });
            }
            "abort" => self.over(&id, AttemptEnd::MayHaveRun),
            "stats" | "alive" => {
                let _ = write.write_all(&array(&[&id, "UP", "-", ""])).await;
            }
            _ => {}
        }
    }

    /// Answers; false where the connection ends with it.
    async fn answer(&mut self, due: Due, write: &mut OwnedWriteHalf) -> bool {
        if !self.out.contains_key(&due.id) {
            return true;
        }
        let ok = array(&[&due.id, "OK", "parts=1,work=5.0,peak=8", "a\tb\tc\n"]);
        match due.plan {
            Plan::Hang => true,
            Plan::Reset => false,
            Plan::Cut => {
                let _ = write.write_all(&ok[..ok.len() / 2]).await;
                true
            }
            Plan::Twice => {
                self.over(&due.id, AttemptEnd::MayHaveRun);
                let twice = [ok.clone(), ok].concat();
                write.write_all(&twice).await.is_ok()
            }
            Plan::Word(word, end) => {
                self.over(&due.id, end);
                let told = if word == "OK" {
                    ok
                } else {
                    array(&[&due.id, word, "-", ""])
                };
                write.write_all(&told).await.is_ok()
            }
        }
    }
}

fn array(words: &[&str]) -> Vec<u8> {
    let words: Vec<&[u8]> = words.iter().map(|word| word.as_bytes()).collect();
    let mut bytes = bytes::BytesMut::new();
    wire::put_array(&mut bytes, &words);
    bytes.to_vec()
}

/// What a change log has told so far, and how it behaves.
#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    /// It accepts and says nothing, and closes nothing, while this is set.
    pub is_silent: Arc<AtomicBool>,
    followers: Arc<AtomicUsize>,
}

const LOOK: Duration = Duration::from_millis(10);

/// Starts a change log; several may tell of the same events.
pub async fn start_change_log(events: Arc<Mutex<Vec<String>>>) -> ChangeLog {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let log = ChangeLog {
        address: listener.local_addr().expect("an address"),
        events,
        is_silent: Arc::default(),
        followers: Arc::default(),
    };
    let serving = log.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let log = serving.clone();
            tokio::spawn(async move {
                log.followers.fetch_add(1, Ordering::Relaxed);
                let _ = log.tell(stream).await;
                log.followers.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    log
}

impl ChangeLog {
    async fn tell(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let last = head
            .lines()
            .find_map(|line| line.strip_prefix("Last-Event-ID: "));
        let mut told = last
            .and_then(|last| last.parse::<usize>().ok())
            .unwrap_or(0);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            .await?;
        let mut looks = 0;
        loop {
            while self.is_silent.load(Ordering::Relaxed) {
                sleep(LOOK).await;
            }
            let new: Vec<String> = {
                let events = self.events.lock().expect("nobody panicked");
                events.get(told..).unwrap_or_default().to_vec()
            };
            for event in new {
                told += 1;
                stream
                    .write_all(format!("id: {told}\ndata: {event}\n\n").as_bytes())
                    .await?;
            }
            looks += 1;
            if looks % 50 == 0 {
                stream.write_all(b":\n\n").await?;
            }
            sleep(LOOK).await;
        }
    }
}
