//! Simulates gateways as shards of one dispatcher, in virtual time and with simple engines, and
//! compares them with a single gateway under the same traffic.

use sedgebeam_core::{
    Action, AttemptEnded, AttemptNo, Class, ClassId, Effect, Engine, EngineId, Event, Gateway,
    Kind, KindId, ListKind, Micros, Outcome, Query, RequestId, Settings, TableGroupId, Tenant,
    TenantId, TimerId, next_random,
};
use sedgebeam_leases::{Lease, LeaseTable, LeaseTerms, ShardId};
use std::collections::{BTreeMap, HashMap};

const TICK_US: u64 = 5_000;
const LOAD_CLASS: usize = 2;
/// Threads of a request, and its duration on an engine in microseconds.
const CLASSES: [(f64, u64); 3] = [(1.0, 20_000), (4.0, 60_000), (2.0, 60_000)];
const TENANT_SHARES: [f64; 3] = [0.62, 0.26, 0.12];
const ENGINE_COUNT: u64 = 4;
const CORES: f64 = 8.0;
/// Threads that a single gateway may have in flight on an engine without pressure.
const MAX_THREADS_IN_FLIGHT: f64 = CORES * 4.0;
const OVERLOAD_FACTOR: f64 = 4.0;
const START_CAPACITY: f64 = 0.3;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn settings() -> Settings {
    let class = |name: &str, worth, index: usize, on_time, effect| Class {
        name: name.to_string(),
        worth,
        threads: CLASSES[index].0,
        on_time: ms(on_time),
        give_up: ms(20_000),
        effect,
        holds_group: index == LOAD_CLASS,
        waits_for_load: index != LOAD_CLASS,
        ..Class::default()
    };
    Settings {
        gateways: 1,
        classes: vec![
            class("lookup", 1.0, 0, 500, Effect::Repeatable),
            class("report", 12.0, 1, 3000, Effect::Repeatable),
            class("journal-load", 12.0, LOAD_CLASS, 3000, Effect::Once),
        ],
        tenants: TENANT_SHARES
            .map(|share| Tenant {
                share,
                ..Tenant::default()
            })
            .to_vec(),
        kinds: vec![Kind {
            cores: CORES,
            memory_mb: 1e6,
        }],
        max_attempts: 3,
        may_cancel: true,
        start_capacity: START_CAPACITY,
        warm_after: ms(14_000),
        overload_multiple: OVERLOAD_FACTOR,
        overload_window: ms(1000),
        answer_slack: ms(20),
        tick: Micros(TICK_US),
        ..Settings::default()
    }
}

/// Pseudo-random numbers (splitmix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        (next_random(&mut self.0) >> 11) as f64 / (1u64 << 53) as f64
    }
}

struct Shard {
    gateway: Gateway,
    events: Vec<Event>,
    timer: Option<u64>,
    is_woken: bool,
    /// The shard makes no decisions until this time.
    stalled_until: u64,
}

#[derive(Clone, Copy)]
struct RunningAttempt {
    shard: usize,
    engine: EngineId,
    attempt_no: AttemptNo,
    class: usize,
    tenant: usize,
}

#[derive(Default)]
struct Counts {
    /// By class and tenant.
    served: [[u64; 3]; 3],
    refused: u64,
    max_threads_in_flight: f64,
    max_cold_work: f64,
    load_attempts: HashMap<RequestId, u32>,
    repeated_loads: u32,
    second_attempts: u32,
}

struct Simulation {
    shards: Vec<Shard>,
    lease_table: Option<LeaseTable>,
    now: u64,
    random: Random,
    next_id: u64,
    class_and_tenant: HashMap<RequestId, (usize, usize)>,
    in_flight: HashMap<RequestId, RunningAttempt>,
    /// By end time and a unique number.
    ends: BTreeMap<(u64, u64), RequestId>,
    counts: Counts,
    /// The cold engine, and the work sent to it: time and core seconds.
    cold_engine: Option<EngineId>,
    cold_sends: Vec<(u64, f64)>,
    /// Requests per second.
    request_rate: f64,
    group_count: u64,
}

impl Simulation {
    fn new(shard_count: usize, request_rate: f64, group_count: u64) -> Simulation {
        let shard = |_| Shard {
            gateway: Gateway::new(settings(), 1),
            events: Vec::new(),
            timer: None,
            is_woken: false,
            stalled_until: 0,
        };
        let terms = LeaseTerms {
            shard_count,
            lease_duration: ms(250),
            redistribution_interval: Micros(TICK_US),
            cold_window: settings().overload_window,
            max_credit: sedgebeam_core::MAX_CREDIT,
            max_open_requests: 1_000_000,
        };
        let mut simulation = Simulation {
            shards: (0..shard_count).map(shard).collect(),
            lease_table: (shard_count > 1).then(|| LeaseTable::new(terms)),
            now: 100_000_000,
            random: Random(42),
            next_id: 0,
            class_and_tenant: HashMap::new(),
            in_flight: HashMap::new(),
            ends: BTreeMap::new(),
            counts: Counts::default(),
            cold_engine: None,
            cold_sends: Vec::new(),
            request_rate,
            group_count,
        };
        let engines: Vec<Engine> = (1..=ENGINE_COUNT)
            .map(|id| listed_engine(id, Micros(0)))
            .collect();
        simulation.send_list(ListKind::Complete, engines);
        simulation
    }

    fn send_list(&mut self, kind: ListKind, engines: Vec<Engine>) {
        for shard in &mut self.shards {
            let engines = engines.clone();
            shard.events.push(Event::List { kind, engines });
        }
    }

    fn add_request(&mut self) {
        self.next_id += 1;
        let id = RequestId((self.random.next() * 1e18) as u64);
        let draw = self.random.next();
        let class = if draw < 0.79 {
            0
        } else if draw < 0.94 {
            1
        } else {
            LOAD_CLASS
        };
        let tenant = ((self.random.next() * 3.0) as usize).min(2);
        let group = TableGroupId((self.random.next() * self.group_count as f64) as u64);
        let shard_count = self.shards.len() as u64;
        let shard = (id.0 % shard_count) as usize;
        let query = Query {
            tenant: Some(TenantId(tenant)),
            table_group: group,
            work: Micros((CLASSES[class].0 * CLASSES[class].1 as f64) as u64),
            memory_mb: 1.0,
            ..Query::new(id, ClassId(class), ms(20_000))
        };
        self.class_and_tenant.insert(id, (class, tenant));
        self.shards[shard].events.push(Event::Request(query));
    }

    /// Advances the time in steps of a millisecond.
    fn run(&mut self, millis: u64) {
        let mut due_requests = 0.0;
        for _ in 0..millis {
            self.now += 1000;
            due_requests += self.request_rate / 1000.0 * 2.0 * self.random.next();
            while due_requests >= 1.0 {
                due_requests -= 1.0;
                self.add_request();
            }
            while let Some(next_end) = self
                .ends
                .first_entry()
                .filter(|end| end.key().0 <= self.now)
            {
                let id = next_end.remove();
                self.end(id);
            }
            // Shards decide at different times, except for pairs that decide at the same time: what
            // one of a pair has leased is not available to the other.
            let mut deciding = Vec::new();
            for index in 0..self.shards.len() {
                let is_decision_time = self.now / 1000 % 5 == index as u64 / 2 % 5;
                let shard = &mut self.shards[index];
                if shard.timer.is_some_and(|at| at <= self.now) {
                    shard.timer = None;
                    shard.events.push(Event::Timer(TimerId(0)));
                }
                let has_events = shard.is_woken || !shard.events.is_empty();
                if is_decision_time && has_events && self.now >= shard.stalled_until {
                    deciding.push(self.acquire(index));
                }
            }
            for (index, events, lease) in deciding {
                self.decide(index, events, lease);
            }
            let mut threads: HashMap<EngineId, f64> = HashMap::new();
            for attempt in self.in_flight.values() {
                *threads.entry(attempt.engine).or_default() += CLASSES[attempt.class].0;
            }
            let max_threads = threads.values().copied().fold(0.0, f64::max);
            self.counts.max_threads_in_flight = self.counts.max_threads_in_flight.max(max_threads);
            let recent = self
                .cold_sends
                .iter()
                .filter(|(at, _)| at + 1_000_000 > self.now);
            let cold_work: f64 = recent.map(|(_, work)| work).sum();
            self.counts.max_cold_work = self.counts.max_cold_work.max(cold_work);
        }
    }

    fn end(&mut self, id: RequestId) {
        let Some(attempt) = self.in_flight.remove(&id) else {
            return;
        };
        self.counts.served[attempt.class][attempt.tenant] += 1;
        let duration = Micros(CLASSES[attempt.class].1);
        self.shards[attempt.shard]
            .events
            .push(Event::Ended(AttemptEnded {
                request: id,
                attempt: attempt.attempt_no,
                engine: attempt.engine,
                outcome: Outcome::Ok,
                elapsed: duration,
                request_finished: true,
                work: Some(Micros(
                    (duration.0 as f64 * CLASSES[attempt.class].0) as u64,
                )),
                load_report: None,
            }));
    }

    fn acquire(&mut self, index: usize) -> (usize, Vec<Event>, Option<Lease>) {
        let now = Micros(self.now);
        let shard = &mut self.shards[index];
        shard.is_woken = false;
        let events = std::mem::take(&mut shard.events);
        let lease = self.lease_table.as_mut().map(|lease_table| {
            let demand = shard.gateway.demand(now, &events);
            lease_table.acquire(ShardId(index), now, &demand, 0)
        });
        (index, events, lease)
    }

    fn decide(&mut self, index: usize, events: Vec<Event>, lease: Option<Lease>) {
        let now = Micros(self.now);
        let shard = &mut self.shards[index];
        let lease_id = lease.as_ref().map(|lease| lease.id);
        if let Some(lease) = lease {
            shard.gateway.update_siblings(lease.siblings);
        }
        let actions = shard.gateway.handle(now, events);
        if let (Some(lease_table), Some(lease_id)) = (&mut self.lease_table, lease_id) {
            let usage = shard.gateway.publish();
            let result = lease_table.commit(ShardId(index), lease_id, now, usage);
            assert!(result.is_valid);
            for waiting_shard in result.shards_to_wake {
                self.shards[waiting_shard.0].is_woken = true;
            }
        }
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Send {
                request, engine, ..
            } => {
                let (class, tenant) = self.class_and_tenant[&request];
                let attempt_no = AttemptNo(0);
                let running = RunningAttempt {
                    shard: index,
                    engine,
                    attempt_no,
                    class,
                    tenant,
                };
                if self.in_flight.insert(request, running).is_some() {
                    self.counts.second_attempts += 1;
                }
                if class == LOAD_CLASS {
                    let attempts = self.counts.load_attempts.entry(request).or_default();
                    *attempts += 1;
                    self.counts.repeated_loads += u32::from(*attempts > 1);
                }
                let (threads, duration_us) = CLASSES[class];
                if self.cold_engine == Some(engine) {
                    self.cold_sends
                        .push((self.now, threads * duration_us as f64 / 1e6));
                }
                self.next_id += 1;
                // Random, so that threads become free one by one and not in the groups in which
                // they were used.
                let duration_us = (duration_us as f64 * (0.5 + self.random.next())) as u64;
                self.ends
                    .insert((self.now + duration_us, self.next_id), request);
            }
            Action::Refuse { .. } => self.counts.refused += 1,
            Action::Timer { at, .. } => self.shards[index].timer = Some(at.0),
            _ => {}
        }
    }

    /// Each tenant's share of the served thread time, in percent.
    fn tenant_shares(&self) -> [f64; 3] {
        let thread_time = |tenant: usize| -> f64 {
            let classes = self.counts.served.iter().zip(CLASSES);
            classes
                .map(|(counts, (threads, micros))| counts[tenant] as f64 * threads * micros as f64)
                .sum()
        };
        let times = [0, 1, 2].map(thread_time);
        let sum: f64 = times.iter().sum();
        times.map(|time| 100.0 * time / sum)
    }

    /// Each class's share of the served thread time, in percent.
    fn class_shares(&self) -> [f64; 3] {
        let times = [0, 1, 2].map(|class| {
            let count: u64 = self.counts.served[class].iter().sum();
            count as f64 * CLASSES[class].0 * CLASSES[class].1 as f64
        });
        let sum: f64 = times.iter().sum();
        times.map(|time| 100.0 * time / sum)
    }

    fn served(&self) -> u64 {
        self.counts.served.iter().flatten().sum()
    }
}

fn listed_engine(id: u64, started_at: Micros) -> Engine {
    Engine {
        kind: Some(KindId(0)),
        started_at,
        ..Engine::ready(EngineId(id))
    }
}

/// Runs at three times the capacity of the engines; counts twenty seconds after a warm-up.
fn run_overloaded(shard_count: usize) -> Simulation {
    let mut simulation = Simulation::new(shard_count, 6000.0, 40);
    simulation.run(5_000);
    simulation.counts.served = Default::default();
    simulation.run(20_000);
    simulation
}

fn max_difference(shares: [f64; 3], expected: [f64; 3]) -> f64 {
    let differences = shares
        .iter()
        .zip(expected)
        .map(|(share, expected)| (share - expected).abs());
    differences.fold(0.0, f64::max)
}

#[test]
fn shares_of_classes_and_tenants_over_shards_match_a_single_gateway() {
    let single = run_overloaded(1);
    println!(
        "1: {:?} {:?} {}",
        single.tenant_shares(),
        single.class_shares(),
        single.served()
    );
    for shard_count in [2, 4, 8] {
        {
            let simulation = run_overloaded(shard_count);
            let (tenants, classes) = (simulation.tenant_shares(), simulation.class_shares());
            println!(
                "{shard_count}: {tenants:?} {classes:?} {}",
                simulation.served()
            );
            assert!(
                max_difference(tenants, single.tenant_shares()) < 3.0,
                "{shard_count} shards: tenants {tenants:?}"
            );
            assert!(
                max_difference(classes, single.class_shares()) < 3.0,
                "{shard_count} shards: classes {classes:?}"
            );
            let served_ratio = simulation.served() as f64 / single.served() as f64;
            assert!(
                served_ratio > 0.97,
                "{shard_count} shards serve {served_ratio} of what one gateway does"
            );
            assert!(
                simulation.counts.max_threads_in_flight <= MAX_THREADS_IN_FLIGHT,
                "{} threads in flight",
                simulation.counts.max_threads_in_flight
            );
        }
    }
}

#[test]
fn busy_shards_together_keep_the_limit_of_a_cold_engine() {
    let limit = OVERLOAD_FACTOR * START_CAPACITY * CORES;
    for shard_count in [1, 8] {
        let mut simulation = Simulation::new(shard_count, 6000.0, 40);
        simulation.run(3_000);
        let new_engine = ENGINE_COUNT + 1;
        simulation.cold_engine = Some(EngineId(new_engine));
        let engine = listed_engine(new_engine, Micros(simulation.now));
        simulation.send_list(ListKind::Changes, vec![engine]);
        simulation.run(12_000);
        let max_work = simulation.counts.max_cold_work;
        println!("{shard_count}: {max_work} of {limit}");
        assert!(
            max_work > 0.0 && max_work <= limit,
            "{max_work} core seconds of {limit}"
        );
    }
}

#[test]
fn with_all_traffic_on_one_group_no_load_is_sent_twice_or_has_two_attempts_in_flight() {
    for shard_count in [1, 4, 8] {
        let mut simulation = Simulation::new(shard_count, 2000.0, 1);
        simulation.run(10_000);
        let counts = &simulation.counts;
        assert!(
            counts.load_attempts.len() > 20,
            "{} loads",
            counts.load_attempts.len()
        );
        assert_eq!((counts.repeated_loads, counts.second_attempts), (0, 0));
    }
}

#[test]
fn while_a_shard_is_stalled_the_others_continue_and_its_loads_are_not_sent_again() {
    let mut simulation = Simulation::new(4, 2000.0, 40);
    simulation.run(3_000);
    simulation.shards[1].stalled_until = simulation.now + 2_000_000;
    let served_before = simulation.served();
    simulation.run(2_000);
    let served_during_stall = simulation.served() - served_before;
    simulation.run(4_000);
    assert!(
        served_during_stall > 1000,
        "{served_during_stall} served meanwhile"
    );
    let counts = &simulation.counts;
    assert_eq!((counts.repeated_loads, counts.second_attempts), (0, 0));
    assert!(counts.max_threads_in_flight <= MAX_THREADS_IN_FLIGHT);
}
