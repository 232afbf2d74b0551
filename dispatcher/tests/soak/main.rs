//! Soak test: real processes of the program between fake clients and fake engines, under load and faults drawn from a seed. A
//! checker that knows only the rules examines what the fakes observed.
//!
//! `cargo test` runs a few seeds for a short time. Longer runs are started by hand, with a range of seeds and a number of
//! faults per seed: `SEDGEBEAM_SOAK_SEEDS=1..51 SEDGEBEAM_SOAK_TROUBLES=12 cargo test -p sedgebeam --test soak -- soak --nocapture`.

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
const FAULTS_PER_RUN: usize = 6;
const CLIENTS: u64 = 12;
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The time within which a dispatcher is assumed to know an event of the change log, even if the log was disturbed.
const MAX_EVENT_DELAY: Duration = Duration::from_secs(7);
/// The time within which an undisturbed change log delivers an event.
const EVENT_DELAY: Duration = Duration::from_millis(50);

// Settings that also determine how much work a cold engine may receive.
const CORES: f64 = 12.0;
const START_CAPACITY: f64 = 0.3;
const WARM_AFTER_MS: f64 = 5_000.0;
const FALL_MULTIPLE: f64 = 4.0;
const OVERLOAD_FOR: Micros = 1_000 * MILLISECOND;
/// Mean work of a request, by the shares of the classes.
const MEAN_WORK_MS: f64 = 0.56 * 80.0 + 0.44 * 2_000.0;

const EINTR: i32 = 4;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;
const ECONNABORTED: i32 = 103;
const ENOBUFS: i32 = 105;

/// Faults of system calls: the call, the number n of which every n-th call meets the fault, and the fault.
const SYSTEM_CALL_FAULTS: [(SystemCall, i32, Fault); 8] = [
    (SystemCall::Recv, 1, Fault::OneByte),
    (SystemCall::Send, 1, Fault::OneByte),
    (SystemCall::Recv, 3, Fault::Error(EINTR)),
    (SystemCall::Send, 3, Fault::Error(EINTR)),
    (SystemCall::Accept, 2, Fault::Error(ENFILE)),
    (SystemCall::Accept, 2, Fault::Error(ECONNABORTED)),
    (SystemCall::Connect, 2, Fault::Error(EADDRNOTAVAIL)),
    (SystemCall::SetSockOpt, 1, Fault::Error(ENOBUFS)),
];

fn settings(dispatchers: usize, limits: &RequestLimits) -> String {
    let (give_up, window) = (
        limits.max_time_limit / MILLISECOND,
        limits.repeat_window / MILLISECOND,
    );
    let drain_grace = DRAIN_GRACE.as_millis();
    let overload_for = OVERLOAD_FOR / MILLISECOND;
    format!(
        r#"{{"balancers": {dispatchers}, "kinds": ["std"], "zones": ["a"], "zone": "a", "tick": 5.0,
  "domain": {{"class_load": [false, false, true, false], "class_waits": [true, true, false, true], "priorities": true,
    "threads_by_class": [1, 4, 2, 1], "size_cores": [{CORES}], "size_mb": [24576.0], "tells_cost": true}},
  "limits": {{"cancel": true, "max_attempts": 3, "max_streams": 8, "connect_timeout": 250.0,
    "conn_idle": 3000.0, "max_retry_after": 1000.0}},
  "rules": {{"answer_slack": 20.0, "drain_grace": {drain_grace}.0, "start_capacity": {START_CAPACITY},
    "warm_after": {WARM_AFTER_MS}, "fall_multiple": {FALL_MULTIPLE}, "overload_for": {overload_for}.0}},
  "services": [
    {{"name": "lookup", "worth": 1.0, "on_time": 500.0, "give_up": {give_up}.0, "effect": "repeatable"}},
    {{"name": "report", "worth": 12.0, "on_time": 1000.0, "give_up": {give_up}.0, "effect": "repeatable"}},
    {{"name": "journal-load", "worth": 12.0, "on_time": 1000.0, "give_up": {give_up}.0, "effect": "once"}},
    {{"name": "balance", "worth": 4.0, "on_time": 1000.0, "give_up": {give_up}.0, "effect": "by_key",
      "group": "all", "window": {window}.0}}]}}"#
    )
}

/// The entry of an engine in an event of the change log.
fn target(engine: &Engine, state: &str, boot_ms: u128) -> String {
    format!(
        r#"{{"uid":"s-{:08x}","endpoint":"{}","az":"a","model":"std","pod_group":0,"state":"{state}","capacity_hint":4,"boot_ms":{boot_ms}}}"#,
        engine.number, engine.address
    )
}

/// Measures the longest time for which the machine did not schedule a thread of the test.
struct StallMonitor {
    longest: Arc<AtomicU64>,
    is_finished: Arc<AtomicBool>,
}

impl StallMonitor {
    fn start() -> StallMonitor {
        const INTERVAL: Duration = Duration::from_millis(5);
        let (longest, is_finished) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let (thread_longest, thread_is_finished) = (longest.clone(), is_finished.clone());
        std::thread::spawn(move || {
            while !thread_is_finished.load(Ordering::Relaxed) {
                let started_at = Instant::now();
                std::thread::sleep(INTERVAL);
                let delay = started_at.elapsed().saturating_sub(INTERVAL).as_micros() as u64;
                thread_longest.fetch_max(delay, Ordering::Relaxed);
            }
        });
        StallMonitor {
            longest,
            is_finished,
        }
    }

    fn longest(&self) -> Micros {
        self.longest.load(Ordering::Relaxed)
    }
}

impl Drop for StallMonitor {
    fn drop(&mut self) {
        self.is_finished.store(true, Ordering::Relaxed);
    }
}

/// One run of the soak test: the dispatchers, and the fakes around them.
struct Run {
    seed: u64,
    rng: SeededRng,
    recorder: Recorder,
    request_limits: RequestLimits,
    settings: String,
    engines: Vec<Engine>,
    draining: Vec<usize>,
    /// The events of the change log, as JSON.
    events: Arc<Mutex<Vec<String>>>,
    change_logs: Vec<ChangeLog>,
    dispatchers: Vec<Dispatcher>,
    cold_engines: BTreeMap<usize, ColdEngine>,
    /// The last time at which an event of the change log may have been lost or delayed.
    disturbed_at: Option<Instant>,
    is_finished: Arc<AtomicBool>,
    /// Background tasks: idle connections, and faults that end later.
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Run {
    async fn new(seed: u64) -> Run {
        let mut rng = SeededRng::new(seed);
        let recorder = Recorder::new();
        let dispatchers = 2 + rng.below(2) as usize;
        // Some runs have time limits beyond the earliest SIGKILL after SIGTERM.
        let max_time_limit_ms = if rng.chance(25) {
            5_000 + rng.below(15_000)
        } else {
            1_500 + rng.below(1_500)
        };
        let request_limits = RequestLimits {
            max_time_limit: max_time_limit_ms * MILLISECOND,
            repeat_window: (300 + rng.below(3_000)) * MILLISECOND,
        };
        let mut engines = Vec::new();
        for number in 1..=3 + rng.below(3) as usize {
            let (fault_percent, seed) = (rng.below(20), rng.next());
            engines.push(start_engine(number, fault_percent, seed, recorder.clone()).await);
        }
        let targets: Vec<String> = engines
            .iter()
            .map(|engine| target(engine, "up", 0))
            .collect();
        let complete_list = format!(
            r#"{{"seq":1,"fleet":{{"rev":1,"all":true,"targets":[{}]}}}}"#,
            targets.join(",")
        );
        let events = Arc::new(Mutex::new(vec![complete_list]));
        let mut change_logs = Vec::new();
        for _ in 0..2 {
            change_logs.push(start_change_log(events.clone()).await);
        }
        let dispatchers: Vec<Dispatcher> = (0..dispatchers)
            .map(|number| Dispatcher::new(seed, number, &recorder))
            .collect();
        Run {
            seed,
            settings: settings(dispatchers.len(), &request_limits),
            rng,
            recorder,
            request_limits,
            engines,
            draining: Vec::new(),
            events,
            change_logs,
            dispatchers,
            cold_engines: BTreeMap::new(),
            disturbed_at: None,
            is_finished: Arc::default(),
            tasks: Vec::new(),
        }
    }

    fn configure(&self, number: usize) {
        let events = self.events.lock().expect("the lock is not poisoned");
        let known = format!(
            r#"{{"seq":{},"results":[{}]}}"#,
            events.len(),
            events.join(",")
        );
        let change_log: SocketAddr = self.change_logs[0].address;
        self.dispatchers[number].configure(&known, change_log, &self.settings);
    }

    async fn start(&mut self, number: usize) {
        self.configure(number);
        self.dispatchers[number].start().await;
    }

    /// Appends an event about this engine to the change log.
    fn append_event(&self, target: &str) {
        let mut events = self.events.lock().expect("the lock is not poisoned");
        let seq = events.len() + 1;
        events.push(format!(
            r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":false,"targets":[{target}]}}}}"#
        ));
    }

    fn mark_disturbed(&mut self) {
        self.disturbed_at = Some(Instant::now());
    }

    fn draw_dispatcher(&mut self) -> usize {
        self.rng.below(self.dispatchers.len() as u64) as usize
    }

    /// Injects one fault, and waits for some time.
    async fn inject_fault(&mut self) {
        match self.rng.below(10) {
            0 => self.hang_engine().await,
            1 => self.drain_engine().await,
            2 => self.add_cold_engine().await,
            3 => self.silence_change_log().await,
            4 => self.move_change_log().await,
            5 => self.restart_dispatcher().await,
            6 => self.kill_dispatcher().await,
            7 => self.open_idle_connections(),
            _ => self.fault_system_calls().await,
        }
        for dispatcher in &mut self.dispatchers {
            dispatcher.check_process();
        }
        sleep(self.rng.millis_between(100, 600)).await;
    }

    /// One engine sends no answers for a while.
    async fn hang_engine(&mut self) {
        let index = self.rng.below(self.engines.len() as u64) as usize;
        let is_hung = self.engines[index].is_hung.clone();
        is_hung.store(true, Ordering::Relaxed);
        let duration = self.rng.millis_between(300, 1_500);
        self.tasks.push(tokio::spawn(async move {
            sleep(duration).await;
            is_hung.store(false, Ordering::Relaxed);
        }));
    }

    /// One engine starts to drain, unless only two are up.
    async fn drain_engine(&mut self) {
        let up_engines: Vec<usize> = (0..self.engines.len())
            .filter(|index| !self.draining.contains(index))
            .collect();
        if up_engines.len() <= 2 {
            return;
        }
        let index = up_engines[self.rng.below(up_engines.len() as u64) as usize];
        self.draining.push(index);
        self.append_event(&target(&self.engines[index], "draining", 0));
        let is_undisturbed = self
            .disturbed_at
            .is_none_or(|at| at.elapsed() > MAX_EVENT_DELAY);
        let delay = if is_undisturbed {
            EVENT_DELAY
        } else {
            MAX_EVENT_DELAY
        };
        let (recorder, engine) = (self.recorder.clone(), self.engines[index].number);
        self.tasks.push(tokio::spawn(async move {
            sleep(delay).await;
            recorder.record(Event::DrainAnnounced { engine });
        }));
    }

    /// Adds an engine that has just booted, which is cold.
    async fn add_cold_engine(&mut self) {
        let number = self.engines.len() + 1;
        let seed = self.rng.next();
        let new_engine = start_engine(number, 0, seed, self.recorder.clone()).await;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let boot_ms = now.expect("the clock is past the epoch").as_millis();
        let from = self.recorder.now();
        self.append_event(&target(&new_engine, "up", boot_ms));
        self.engines.push(new_engine);
        let warm_share_mid_window = OVERLOAD_FOR as f64 / MILLISECOND as f64 / 2.0 / WARM_AFTER_MS;
        let mean_capacity = START_CAPACITY + (1.0 - START_CAPACITY) * warm_share_mid_window;
        let window_s = OVERLOAD_FOR as f64 / 1e6;
        let allowed = FALL_MULTIPLE * mean_capacity * CORES * window_s * 1e3 / MEAN_WORK_MS;
        let cold_engine = ColdEngine {
            from,
            until: from + OVERLOAD_FOR,
            window: OVERLOAD_FOR,
            max_requests: ColdEngine::with_margin(allowed),
            mean_work_ms: MEAN_WORK_MS,
        };
        self.cold_engines.insert(number, cold_engine);
    }

    /// The change log sends nothing, and closes nothing, for a while; meanwhile a process may be killed and restarted, and an
    /// engine may drain.
    async fn silence_change_log(&mut self) {
        self.mark_disturbed();
        for log in &self.change_logs {
            log.is_silent.store(true, Ordering::Relaxed);
        }
        if self.rng.chance(30) {
            self.kill_dispatcher().await;
        }
        if self.rng.chance(30) {
            self.drain_engine().await;
        }
        sleep(self.rng.millis_between(200, 2_500)).await;
        for log in &self.change_logs {
            log.is_silent.store(false, Ordering::Relaxed);
        }
        self.mark_disturbed();
    }

    /// Applies several configurations in a row, each with the other change log.
    async fn move_change_log(&mut self) {
        self.mark_disturbed();
        for _ in 0..1 + self.rng.below(3) {
            self.change_logs.swap(0, 1);
            for number in 0..self.dispatchers.len() {
                self.configure(number);
                self.dispatchers[number].signal("-HUP");
            }
            sleep(self.rng.millis_between(10, 200)).await;
        }
    }

    /// Shuts one dispatcher down, while an engine may be hung, and starts it again.
    async fn restart_dispatcher(&mut self) {
        self.mark_disturbed();
        let number = self.draw_dispatcher();
        // An engine that hangs does so during the whole shutdown.
        let index = self.rng.below(self.engines.len() as u64) as usize;
        let is_hung = self.engines[index].is_hung.clone();
        is_hung.store(self.rng.chance(60), Ordering::Relaxed);
        let max_time_limit = Duration::from_micros(self.request_limits.max_time_limit);
        self.dispatchers[number].shut_down(max_time_limit).await;
        is_hung.store(false, Ordering::Relaxed);
        self.start(number).await;
    }

    async fn kill_dispatcher(&mut self) {
        self.mark_disturbed();
        let number = self.draw_dispatcher();
        self.dispatchers[number].kill().await;
        self.start(number).await;
    }

    /// Idle connections use up the descriptors of a dispatcher.
    fn open_idle_connections(&mut self) {
        let number = self.draw_dispatcher();
        let (endpoint, is_finished) = (self.endpoint(number), self.is_finished.clone());
        let count = 100 + self.rng.below(150) as usize;
        self.tasks.push(tokio::spawn(hold_idle_connections(
            endpoint,
            count,
            is_finished,
        )));
    }

    /// For a moment, system calls of one dispatcher fail or transfer one byte, or its wall clock is off by an hour.
    async fn fault_system_calls(&mut self) {
        const HOUR_SECONDS: i32 = 3_600;
        self.mark_disturbed();
        let number = self.draw_dispatcher();
        let fault_index = self.rng.below(SYSTEM_CALL_FAULTS.len() as u64 + 1) as usize;
        let duration = self.rng.millis_between(200, 800);
        let faults = &self.dispatchers[number].faults;
        let call = if let Some((call, every_nth, fault)) = SYSTEM_CALL_FAULTS.get(fault_index) {
            faults.inject_every_nth(*every_nth, *call, *fault);
            *call
        } else {
            let offset = if self.rng.chance(50) {
                HOUR_SECONDS
            } else {
                -HOUR_SECONDS
            };
            faults.step_wall_clock(offset);
            SystemCall::WallClock
        };
        sleep(duration).await;
        self.dispatchers[number].faults.clear(call);
    }

    fn endpoint(&self, number: usize) -> DispatcherEndpoint {
        let dispatcher = &self.dispatchers[number];
        DispatcherEndpoint {
            dispatcher: number,
            address: dispatcher.address,
            accepts_connections: dispatcher.accepts_connections.clone(),
        }
    }

    /// Runs the load with this many faults, and returns the violations and the counts of events.
    async fn execute(mut self, faults: usize) -> (Vec<Violation>, Counts) {
        let stall_monitor = StallMonitor::start();
        for number in 0..self.dispatchers.len() {
            self.start(number).await;
        }
        let endpoints: Vec<DispatcherEndpoint> = (0..self.dispatchers.len())
            .map(|number| self.endpoint(number))
            .collect();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let client = Client {
                    rng: SeededRng::new((self.seed << 8) | client),
                    endpoints: endpoints.clone(),
                    recorder: self.recorder.clone(),
                    is_finished: self.is_finished.clone(),
                    request_limits: self.request_limits,
                };
                tokio::spawn(client.run())
            })
            .collect();
        sleep(Duration::from_millis(300)).await;
        for _ in 0..faults {
            self.inject_fault().await;
        }
        let max_time_limit = Duration::from_micros(self.request_limits.max_time_limit);
        // Shuts all dispatchers down while the clients keep sending.
        for dispatcher in &mut self.dispatchers {
            dispatcher.check_process();
            dispatcher.shut_down(max_time_limit).await;
        }
        self.is_finished.store(true, Ordering::Relaxed);
        for task in clients.into_iter().chain(std::mem::take(&mut self.tasks)) {
            let ended = timeout(Duration::from_secs(30), task).await;
            ended
                .expect("the task ends in time")
                .expect("the task does not panic");
        }
        let limits = RunLimits {
            drain_grace: DRAIN_GRACE.as_micros() as Micros,
            cold_engines: self.cold_engines.clone(),
            longest_stall: stall_monitor.longest(),
        };
        let trace = Trace(self.recorder.take());
        let counts = Counts::of(&trace, &limits);
        (trace.find_violations(&limits), counts)
    }
}

/// How often each event was recorded in a run.
#[derive(Debug, Default)]
#[allow(dead_code, reason = "for the report of a run")]
struct Counts {
    requests_sent: usize,
    answered: usize,
    connections_closed: usize,
    clients_left: usize,
    attempts_started: usize,
    cold_engines: usize,
    drains: usize,
    kills: usize,
    process_starts: usize,
    longest_stall_ms: u64,
}

impl Counts {
    fn of(trace: &Trace, limits: &RunLimits) -> Counts {
        let mut counts = Counts {
            cold_engines: limits.cold_engines.len(),
            longest_stall_ms: limits.longest_stall / MILLISECOND,
            ..Counts::default()
        };
        for (_, event) in &trace.0 {
            match event {
                Event::RequestSent { .. } => counts.requests_sent += 1,
                Event::Answered { .. } => counts.answered += 1,
                Event::ConnectionClosed { .. } => counts.connections_closed += 1,
                Event::ClientLeft { .. } => counts.clients_left += 1,
                Event::AttemptStarted { .. } => counts.attempts_started += 1,
                Event::DrainAnnounced { .. } => counts.drains += 1,
                Event::ProcessKilled { .. } => counts.kills += 1,
                Event::ProcessStarted { .. } => counts.process_starts += 1,
                _ => {}
            }
        }
        counts
    }
}

fn seeds() -> Range<u64> {
    let Ok(range) = std::env::var("SEDGEBEAM_SOAK_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = range
        .split_once("..")
        .expect("SEDGEBEAM_SOAK_SEEDS is FROM..TO");
    let number = |text: &str| text.parse::<u64>().expect("a seed is a number");
    number(from)..number(to)
}

fn fault_count() -> usize {
    let count = std::env::var("SEDGEBEAM_SOAK_TROUBLES").ok();
    count.map_or(FAULTS_PER_RUN, |count| {
        count.parse().expect("SEDGEBEAM_SOAK_TROUBLES is a number")
    })
}

#[test]
fn soak_violates_no_rule() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.expect("build the runtime");
    let mut all_violations = Vec::new();
    for seed in seeds() {
        let (violations, counts) = runtime.block_on(async {
            let run = Run::new(seed).await;
            run.execute(fault_count()).await
        });
        println!("seed {seed}: {counts:?}, {} violations", violations.len());
        for violation in &violations {
            println!("seed {seed}: {violation}");
        }
        assert!(
            counts.requests_sent > 100,
            "seed {seed} sends hardly any requests"
        );
        all_violations.extend(violations.iter().map(|violation| (seed, violation.rule)));
    }
    assert!(all_violations.is_empty(), "{all_violations:?}");
}
