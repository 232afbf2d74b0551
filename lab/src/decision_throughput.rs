//! Measures the throughput of decisions alone: threads that share one gateway behind a lock, against threads
//! with one shard each and a common lease table. There are no sockets: each thread generates requests and
//! answers its own attempts.

use clap::Args;
use sedgebeam_core::{
    Action, AttemptEnded, AttemptNo, Class, ClassId, Effect, Engine, EngineId, Event, Gateway,
    Kind, KindId, ListKind, MAX_CREDIT, Micros, Outcome, Query, RequestId, Settings, TableGroupId,
};
use sedgebeam_leases::{LeaseTable, LeaseTerms, ShardId};
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct DecisionThroughput {
    /// Numbers of threads to measure.
    #[arg(long = "threads", value_delimiter = ',', default_value = "1,2,4,8")]
    thread_counts: Vec<usize>,
    #[arg(long, default_value_t = 8)]
    engines: u64,
    /// Number of new requests per decision.
    #[arg(long = "batch", default_value_t = 32)]
    batch_size: u64,
    /// Duration of each run, in seconds.
    #[arg(long, default_value_t = 2.0)]
    seconds: f64,
}

fn settings() -> Settings {
    let class = |threads, effect| Class {
        worth: 1.0,
        threads,
        on_time: Micros::from_millis(500),
        give_up: Micros::from_millis(25_000),
        effect,
        ..Class::default()
    };
    Settings {
        gateways: 1,
        classes: vec![
            class(1.0, Effect::Repeatable),
            class(4.0, Effect::Repeatable),
            class(2.0, Effect::Once),
        ],
        kinds: vec![Kind {
            cores: 256.0,
            memory_mb: 1e9,
        }],
        max_attempts: 3,
        tick: Micros::from_millis(5),
        ..Settings::default()
    }
}

/// The events of one thread: new requests, and the answers to attempts that were sent.
struct EventSource {
    last_request_id: u64,
    batch_size: u64,
    pending_answers: Vec<Event>,
    answered_count: u64,
}

impl EventSource {
    fn next_events(&mut self) -> Vec<Event> {
        let mut events = std::mem::take(&mut self.pending_answers);
        self.answered_count += events.len() as u64;
        for _ in 0..self.batch_size {
            self.last_request_id += 1;
            let class = match self.last_request_id % 20 {
                0 => 2,
                1..=3 => 1,
                _ => 0,
            };
            events.push(Event::Request(Query {
                table_group: TableGroupId(self.last_request_id % 40),
                work: Micros(2000),
                memory_mb: 1.0,
                ..Query::new(
                    RequestId(self.last_request_id),
                    ClassId(class),
                    Micros::from_millis(20_000),
                )
            }));
        }
        events
    }

    /// Queues a successful answer to each attempt that the gateway sent.
    fn record(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send {
                request, engine, ..
            } = action
            {
                self.pending_answers.push(Event::Ended(AttemptEnded {
                    request,
                    attempt: AttemptNo(0),
                    engine,
                    outcome: Outcome::Ok,
                    elapsed: Micros(2000),
                    request_finished: true,
                    work: None,
                    load_report: None,
                }));
            }
        }
    }
}

fn gateway(engines: u64) -> Gateway {
    let mut gateway = Gateway::new(settings(), 1);
    let engine = |id| Engine {
        kind: Some(KindId(0)),
        ..Engine::ready(EngineId(id))
    };
    let list = Event::List {
        kind: ListKind::Complete,
        engines: (1..=engines).map(engine).collect(),
    };
    gateway.handle(Micros(1), vec![list]);
    gateway
}

/// Decides on batches of events.
trait DecisionMaker {
    fn decide(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action>;
}

/// One gateway that all threads share behind a lock.
struct LockedGateway(Arc<Mutex<Gateway>>);

impl DecisionMaker for LockedGateway {
    fn decide(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        let mut gateway = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        gateway.handle(now, events)
    }
}

/// A gateway of one thread, with a lease table that all threads share.
struct ShardedGateway {
    gateway: Gateway,
    shard: ShardId,
    lease_table: Arc<Mutex<LeaseTable>>,
}

impl DecisionMaker for ShardedGateway {
    fn decide(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        let demand = self.gateway.demand(now, &events);
        let lease_table = || {
            self.lease_table
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
        };
        let lease = lease_table().acquire(self.shard, now, &demand, 0);
        self.gateway.update_siblings(lease.siblings);
        let actions = self.gateway.handle(now, events);
        let usage = self.gateway.publish();
        lease_table().commit(self.shard, lease.id, now, usage);
        actions
    }
}

impl DecisionThroughput {
    pub fn run(&self) -> io::Result<()> {
        println!("{} cores", thread::available_parallelism()?.get());
        println!("threads  decisions/s: one behind a lock     shards with a ledger");
        for thread_count in &self.thread_counts {
            let shared_gateway = Arc::new(Mutex::new(gateway(self.engines)));
            let locked_gateway = |_| LockedGateway(shared_gateway.clone());
            let locked_rate = self.measure((0..*thread_count).map(locked_gateway).collect())?;
            let terms = LeaseTerms {
                shard_count: *thread_count,
                lease_duration: Micros::from_millis(250),
                redistribution_interval: Micros::from_millis(5),
                cold_window: Micros::from_millis(1000),
                max_credit: MAX_CREDIT,
                max_open_requests: 1_000_000,
            };
            let lease_table = Arc::new(Mutex::new(LeaseTable::new(terms)));
            let sharded_gateway = |shard| ShardedGateway {
                gateway: gateway(self.engines),
                shard: ShardId(shard),
                lease_table: lease_table.clone(),
            };
            let sharded_rate = self.measure((0..*thread_count).map(sharded_gateway).collect())?;
            println!("{thread_count:7} {locked_rate:33.0} {sharded_rate:24.0}");
        }
        Ok(())
    }

    /// Runs one thread for each decision maker and returns the answered requests per second of all threads
    /// together.
    fn measure<D: DecisionMaker + Send + 'static>(
        &self,
        decision_makers: Vec<D>,
    ) -> io::Result<f64> {
        let (duration, batch_size) = (Duration::from_secs_f64(self.seconds), self.batch_size);
        let start = Instant::now();
        let mut threads = Vec::new();
        for (index, mut decision_maker) in decision_makers.into_iter().enumerate() {
            threads.push(thread::spawn(move || {
                let mut source = EventSource {
                    // Each thread has a separate range of ids.
                    last_request_id: (index as u64) << 40,
                    batch_size,
                    pending_answers: Vec::new(),
                    answered_count: 0,
                };
                while start.elapsed() < duration {
                    let now = Micros(1000 + start.elapsed().as_micros() as u64);
                    let events = source.next_events();
                    let actions = decision_maker.decide(now, events);
                    source.record(actions);
                }
                source.answered_count
            }));
        }
        let mut answered_count = 0;
        for thread in threads {
            answered_count += thread
                .join()
                .map_err(|_| io::Error::other("a thread panicked"))?;
        }
        Ok(answered_count as f64 / start.elapsed().as_secs_f64())
    }
}
