//! A soak: real processes of the program between stand-ins, under a load and faults drawn from a seed, and a judge that knows the
//! clauses and nothing of the program.
//!
//! `cargo test` runs a few seeds for a short while. A longer run is started by hand, with its seeds and how many troubles each
//! has: `SEDGEBEAM_SOAK_SEEDS=1..51 SEDGEBEAM_SOAK_TROUBLES=12 cargo test -p sedgebeam --test soak -- soak --nocapture`.

mod checker;
mod checker_tests;
mod clients;
mod dispatcher;
mod fakes;
#[path = "../faults/mod.rs"]
mod faults;

use checker::{ColdEngine, Event, MILLISECOND, Micros, RunLimits, Trace, Violation};
use clients::{Client, DispatcherEndpoint, RequestLimits, hold_idle_connections};
use dispatcher::Dispatcher;
use fakes::{ChangeLog, Engine, Recorder, SeededRng, start_change_log, start_engine};
use faults::{Fault, SystemCall};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::{sleep, timeout};

const SEEDS: Range<u64> = 1..5;
const TROUBLES: usize = 6;
const CLIENTS: u64 = 12;
const GRACE: Duration = Duration::from_millis(500);
/// What the change log has to tell counts as told by then, heard or not.
const TOLD_BY: Duration = Duration::from_secs(7);
/// The time within which a change log that is well tells of a change.
const TELLS_WITHIN: Duration = Duration::from_millis(50);

const CORES: f64 = 12.0;
const START_CAPACITY: f64 = 0.3;
const WARM_AFTER_MS: f64 = 5_000.0;
const FALL_MULTIPLE: f64 = 4.0;
const OVERLOAD_FOR: Micros = 1_000 * MILLISECOND;
/// Mean work of a request, by how often each class is asked for.
const MEAN_WORK_MS: f64 = 0.56 * 80.0 + 0.44 * 2_000.0;

const EINTR: i32 = 4;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;
const ECONNABORTED: i32 = 103;
const ENOBUFS: i32 = 105;

/// System calls that fail or do a part: of which each how many-th.
const FAILURES: [(SystemCall, i32, Fault); 8] = [
    (SystemCall::Recv, 1, Fault::OneByte),
    (SystemCall::Send, 1, Fault::OneByte),
    (SystemCall::Recv, 3, Fault::Error(EINTR)),
    (SystemCall::Send, 3, Fault::Error(EINTR)),
    (SystemCall::Accept, 2, Fault::Error(ENFILE)),
    (SystemCall::Accept, 2, Fault::Error(ECONNABORTED)),
    (SystemCall::Connect, 2, Fault::Error(EADDRNOTAVAIL)),
    (SystemCall::SetSockOpt, 1, Fault::Error(ENOBUFS)),
];

fn settings(dispatchers: usize, asked: &RequestLimits) -> String {
    let (give_up, window) = (
        asked.max_time_limit / MILLISECOND,
        asked.repeat_window / MILLISECOND,
    );
    let grace = GRACE.as_millis();
    let overload_for = OVERLOAD_FOR / MILLISECOND;
    format!(
        r#"{{"balancers": {dispatchers}, "kinds": ["std"], "zones": ["a"], "zone": "a", "tick": 5.0,
  "domain": {{"class_load": [false, false, true, false], "class_waits": [true, true, false, true], "priorities": true,
    "threads_by_class": [1, 4, 2, 1], "size_cores": [{CORES}], "size_mb": [24576.0], "tells_cost": true}},
  "limits": {{"cancel": true, "max_attempts": 3, "max_streams": 8, "connect_timeout": 250.0,
    "conn_idle": 3000.0, "max_retry_after": 1000.0}},
  "rules": {{"answer_slack": 20.0, "drain_grace": {grace}.0, "start_capacity": {START_CAPACITY},
    "warm_after": {WARM_AFTER_MS}, "fall_multiple": {FALL_MULTIPLE}, "overload_for": {overload_for}.0}},
  "services": [
    {{"name": "lookup", "worth": 1.0, "on_time": 500.0, "give_up": {give_up}.0, "effect": "repeatable"}},
    {{"name": "report", "worth": 12.0, "on_time": 1000.0, "give_up": {give_up}.0, "effect": "repeatable"}},
    {{"name": "journal-load", "worth": 12.0, "on_time": 1000.0, "give_up": {give_up}.0, "effect": "once"}},
    {{"name": "balance", "worth": 4.0, "on_time": 1000.0, "give_up": {give_up}.0, "effect": "by_key",
      "group": "all", "window": {window}.0}}]}}"#
    )
}

fn target(engine: &Engine, state: &str, boot_ms: u128) -> String {
    format!(
        r#"{{"uid":"s-{:08x}","endpoint":"{}","az":"a","model":"std","pod_group":0,"state":"{state}","capacity_hint":4,"boot_ms":{boot_ms}}}"#,
        engine.number, engine.address
    )
}

/// The longest time for which this machine kept a thread of the run from going on.
struct Stall {
    longest: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
}

impl Stall {
    fn watch() -> Stall {
        const BEAT: Duration = Duration::from_millis(5);
        let (longest, over) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let (told, done) = (longest.clone(), over.clone());
        std::thread::spawn(move || {
            while !done.load(Ordering::Relaxed) {
                let began = Instant::now();
                std::thread::sleep(BEAT);
                let late = began.elapsed().saturating_sub(BEAT).as_micros() as u64;
                told.fetch_max(late, Ordering::Relaxed);
            }
        });
        Stall { longest, over }
    }

    fn longest(&self) -> Micros {
        self.longest.load(Ordering::Relaxed)
    }
}

impl Drop for Stall {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

/// One run.
struct Run {
    seed: u64,
    draws: SeededRng,
    recorder: Recorder,
    asked: RequestLimits,
    settings: String,
    engines: Vec<Engine>,
    draining: Vec<usize>,
    events: Arc<Mutex<Vec<String>>>,
    logs: Vec<ChangeLog>,
    dispatchers: Vec<Dispatcher>,
    cold: BTreeMap<usize, ColdEngine>,
    /// When what the change log tells may last have gone astray.
    disturbed: Option<Instant>,
    over: Arc<AtomicBool>,
    /// For the clients' idle crowds.
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Run {
    async fn new(seed: u64) -> Run {
        let mut draws = SeededRng::new(seed);
        let recorder = Recorder::new();
        let dispatchers = 2 + draws.below(2) as usize;
        // Deadlines beyond the earliest kill after SIGTERM, too.
        let longest = if draws.chance(25) {
            5_000 + draws.below(15_000)
        } else {
            1_500 + draws.below(1_500)
        };
        let asked = RequestLimits {
            max_time_limit: longest * MILLISECOND,
            repeat_window: (300 + draws.below(3_000)) * MILLISECOND,
        };
        let mut engines = Vec::new();
        for number in 1..=3 + draws.below(3) as usize {
            let (faults, seed) = (draws.below(20), draws.next());
            engines.push(start_engine(number, faults, seed, recorder.clone()).await);
        }
        let targets: Vec<String> = engines
            .iter()
            .map(|engine| target(engine, "up", 0))
            .collect();
        let whole = format!(
            r#"{{"seq":1,"fleet":{{"rev":1,"all":true,"targets":[{}]}}}}"#,
            targets.join(",")
        );
        let events = Arc::new(Mutex::new(vec![whole]));
        let mut logs = Vec::new();
        for _ in 0..2 {
            logs.push(start_change_log(events.clone()).await);
        }
        let dispatchers: Vec<Dispatcher> = (0..dispatchers)
            .map(|number| Dispatcher::new(seed, number, &recorder))
            .collect();
        Run {
            seed,
            settings: settings(dispatchers.len(), &asked),
            draws,
            recorder,
            asked,
            engines,
            draining: Vec::new(),
            events,
            logs,
            dispatchers,
            cold: BTreeMap::new(),
            disturbed: None,
            over: Arc::default(),
            tasks: Vec::new(),
        }
    }

    fn configure(&self, number: usize) {
        let events = self.events.lock().expect("nobody panicked");
        let known = format!(
            r#"{{"seq":{},"results":[{}]}}"#,
            events.len(),
            events.join(",")
        );
        let log: SocketAddr = self.logs[0].address;
        self.dispatchers[number].configure(&known, log, &self.settings);
    }

    async fn start(&mut self, number: usize) {
        self.configure(number);
        self.dispatchers[number].start().await;
    }

    fn tell(&self, target: &str) {
        let mut events = self.events.lock().expect("nobody panicked");
        let seq = events.len() + 1;
        events.push(format!(
            r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":false,"targets":[{target}]}}}}"#
        ));
    }

    fn disturb(&mut self) {
        self.disturbed = Some(Instant::now());
    }

    fn one_dispatcher(&mut self) -> usize {
        self.draws.below(self.dispatchers.len() as u64) as usize
    }

    /// One trouble, and some time after it.
    async fn trouble(&mut self) {
        match self.draws.below(10) {
            0 => self.hang().await,
            1 => self.drain().await,
            2 => self.join_cold().await,
            3 => self.silence().await,
            4 => self.move_log().await,
            5 => self.end_one().await,
            6 => self.kill_one().await,
            7 => self.crowd_one(),
            _ => self.fail_calls().await,
        }
        for dispatcher in &mut self.dispatchers {
            dispatcher.check_process();
        }
        sleep(self.draws.millis_between(100, 600)).await;
    }

    /// An engine answers nothing for a while.
    async fn hang(&mut self) {
        let place = self.draws.below(self.engines.len() as u64) as usize;
        let hangs = self.engines[place].is_hung.clone();
        hangs.store(true, Ordering::Relaxed);
        let time = self.draws.millis_between(300, 1_500);
        self.tasks.push(tokio::spawn(async move {
            sleep(time).await;
            hangs.store(false, Ordering::Relaxed);
        }));
    }

    /// An engine begins to drain; two are left in any case.
    async fn drain(&mut self) {
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|place| !self.draining.contains(place))
            .collect();
        if up.len() <= 2 {
            return;
        }
        let place = up[self.draws.below(up.len() as u64) as usize];
        self.draining.push(place);
        self.tell(&target(&self.engines[place], "draining", 0));
        let calm = self.disturbed.is_none_or(|at| at.elapsed() > TOLD_BY);
        let told = if calm { TELLS_WITHIN } else { TOLD_BY };
        let (recorder, engine) = (self.recorder.clone(), self.engines[place].number);
        self.tasks.push(tokio::spawn(async move {
            sleep(told).await;
            recorder.record(Event::DrainAnnounced { engine });
        }));
    }

    /// An engine starts, and is cold.
    async fn join_cold(&mut self) {
        let number = self.engines.len() + 1;
        let seed = self.draws.next();
        let new = start_engine(number, 0, seed, self.recorder.clone()).await;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let boot_ms = now.expect("a clock").as_millis();
        let from = self.recorder.now();
        self.tell(&target(&new, "up", boot_ms));
        self.engines.push(new);
        let half = OVERLOAD_FOR as f64 / MILLISECOND as f64 / 2.0 / WARM_AFTER_MS;
        let able = START_CAPACITY + (1.0 - START_CAPACITY) * half;
        let window = OVERLOAD_FOR as f64 / 1e6;
        let allowed = FALL_MULTIPLE * able * CORES * window * 1e3 / MEAN_WORK_MS;
        let cold = ColdEngine {
            from,
            until: from + OVERLOAD_FOR,
            window: OVERLOAD_FOR,
            max_requests: ColdEngine::with_margin(allowed),
            mean_work_ms: MEAN_WORK_MS,
        };
        self.cold.insert(number, cold);
    }

    /// The change log says nothing, and closes nothing; a process may start meanwhile, and an engine drain.
    async fn silence(&mut self) {
        self.disturb();
        for log in &self.logs {
            log.is_silent.store(true, Ordering::Relaxed);
        }
        if self.draws.chance(30) {
            self.kill_one().await;
        }
        if self.draws.chance(30) {
            self.drain().await;
        }
        sleep(self.draws.millis_between(200, 2_500)).await;
        for log in &self.logs {
            log.is_silent.store(false, Ordering::Relaxed);
        }
        self.disturb();
    }

    /// New configurations in a row, each with another change log.
    async fn move_log(&mut self) {
        self.disturb();
        for _ in 0..1 + self.draws.below(3) {
            self.logs.swap(0, 1);
            for number in 0..self.dispatchers.len() {
                self.configure(number);
                self.dispatchers[number].signal("-HUP");
            }
            sleep(self.draws.millis_between(10, 200)).await;
        }
    }

    async fn end_one(&mut self) {
        self.disturb();
        let number = self.one_dispatcher();
        // What hangs, hangs through all of it.
        let place = self.draws.below(self.engines.len() as u64) as usize;
        let hangs = self.engines[place].is_hung.clone();
        hangs.store(self.draws.chance(60), Ordering::Relaxed);
        let longest = Duration::from_micros(self.asked.max_time_limit);
        self.dispatchers[number].shut_down(longest).await;
        hangs.store(false, Ordering::Relaxed);
        self.start(number).await;
    }

    async fn kill_one(&mut self) {
        self.disturb();
        let number = self.one_dispatcher();
        self.dispatchers[number].kill().await;
        self.start(number).await;
    }

    /// Idle clients take what descriptors they can get.
    fn crowd_one(&mut self) {
        let number = self.one_dispatcher();
        let (place, over) = (self.place(number), self.over.clone());
        let count = 100 + self.draws.below(150) as usize;
        self.tasks
            .push(tokio::spawn(hold_idle_connections(place, count, over)));
    }

    /// System calls of one dispatcher fail, or do a part, for a moment; or its wall clock is stepped for as long.
    async fn fail_calls(&mut self) {
        const HOUR: i32 = 3_600;
        self.disturb();
        let number = self.one_dispatcher();
        let kind = self.draws.below(FAILURES.len() as u64 + 1) as usize;
        let time = self.draws.millis_between(200, 800);
        let faults = &self.dispatchers[number].faults;
        let call = if let Some((call, every, fault)) = FAILURES.get(kind) {
            faults.inject_every_nth(*every, *call, *fault);
            *call
        } else {
            let hour = if self.draws.chance(50) { HOUR } else { -HOUR };
            faults.step_wall_clock(hour);
            SystemCall::WallClock
        };
        sleep(time).await;
        self.dispatchers[number].faults.clear(call);
    }

    fn place(&self, number: usize) -> DispatcherEndpoint {
        let dispatcher = &self.dispatchers[number];
        DispatcherEndpoint {
            dispatcher: number,
            address: dispatcher.address,
            accepts_connections: dispatcher.accepts_connections.clone(),
        }
    }

    /// Plays so many troubles; what was broken, and how many requests there were.
    async fn play(mut self, troubles: usize) -> (Vec<Violation>, Counts) {
        let stall = Stall::watch();
        for number in 0..self.dispatchers.len() {
            self.start(number).await;
        }
        let places: Vec<DispatcherEndpoint> = (0..self.dispatchers.len())
            .map(|number| self.place(number))
            .collect();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let client = Client {
                    rng: SeededRng::new((self.seed << 8) | client),
                    endpoints: places.clone(),
                    recorder: self.recorder.clone(),
                    is_finished: self.over.clone(),
                    request_limits: self.asked,
                };
                tokio::spawn(client.run())
            })
            .collect();
        sleep(Duration::from_millis(300)).await;
        for _ in 0..troubles {
            self.trouble().await;
        }
        let longest = Duration::from_micros(self.asked.max_time_limit);
        // The end of all, with clients that go on.
        for dispatcher in &mut self.dispatchers {
            dispatcher.check_process();
            dispatcher.shut_down(longest).await;
        }
        self.over.store(true, Ordering::Relaxed);
        for task in clients.into_iter().chain(std::mem::take(&mut self.tasks)) {
            let ended = timeout(Duration::from_secs(30), task).await;
            ended.expect("it ends").expect("no panic");
        }
        let terms = RunLimits {
            drain_grace: GRACE.as_micros() as Micros,
            cold_engines: self.cold.clone(),
            longest_stall: stall.longest(),
        };
        let trace = Trace(self.recorder.take());
        let counts = Counts::of(&trace, &terms);
        (trace.find_violations(&terms), counts)
    }
}

#[derive(Debug, Default)]
#[allow(dead_code, reason = "for the report of a run")]
struct Counts {
    taken: usize,
    answered: usize,
    closed: usize,
    gone: usize,
    begun: usize,
    cold: usize,
    drained: usize,
    killed: usize,
    started: usize,
    stall_ms: Micros,
}

impl Counts {
    fn of(trace: &Trace, terms: &RunLimits) -> Counts {
        let mut counts = Counts {
            cold: terms.cold_engines.len(),
            stall_ms: terms.longest_stall / MILLISECOND,
            ..Counts::default()
        };
        for (_, seen) in &trace.0 {
            match seen {
                Event::RequestSent { .. } => counts.taken += 1,
                Event::Answered { .. } => counts.answered += 1,
                Event::ConnectionClosed { .. } => counts.closed += 1,
                Event::ClientLeft { .. } => counts.gone += 1,
                Event::AttemptStarted { .. } => counts.begun += 1,
                Event::DrainAnnounced { .. } => counts.drained += 1,
                Event::ProcessKilled { .. } => counts.killed += 1,
                Event::ProcessStarted { .. } => counts.started += 1,
                _ => {}
            }
        }
        counts
    }
}

fn seeds() -> Range<u64> {
    let Ok(told) = std::env::var("SEDGEBEAM_SOAK_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = told.split_once("..").expect("FROM..TO");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    number(from)..number(to)
}

fn troubles() -> usize {
    let told = std::env::var("SEDGEBEAM_SOAK_TROUBLES").ok();
    told.map_or(TROUBLES, |told| told.parse().expect("a number"))
}

#[test]
fn a_soak_breaks_no_clause() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let mut broken = Vec::new();
    for seed in seeds() {
        let (violations, counts) = runtime.block_on(async {
            let run = Run::new(seed).await;
            run.play(troubles()).await
        });
        println!("seed {seed}: {counts:?}, {} broken", violations.len());
        for violation in &violations {
            println!("seed {seed}: {violation}");
        }
        assert!(counts.taken > 100, "seed {seed} hardly asks anything");
        broken.extend(violations.iter().map(|violation| (seed, violation.rule)));
    }
    assert!(broken.is_empty(), "{broken:?}");
}
