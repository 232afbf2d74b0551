//! What decisions cost by themselves: threads that share one gateway behind a lock, beside threads that each
//! have a shard and share a ledger. No sockets: each thread makes up requests, and answers what it has sent.

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
    /// Numbers of threads.
    #[arg(long, value_delimiter = ',', default_value = "1,2,4,8")]
    threads: Vec<usize>,
    #[arg(long, default_value_t = 8)]
    engines: u64,
    /// Requests that a thread brings to a decision.
    #[arg(long, default_value_t = 32)]
    batch: u64,
    /// Length of each run, in seconds.
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

/// The requests of one thread: new ones, and the ends of those that were sent.
struct Feed {
    next: u64,
    batch: u64,
    ends: Vec<Event>,
    done: u64,
}

impl Feed {
    fn events(&mut self) -> Vec<Event> {
        let mut events = std::mem::take(&mut self.ends);
        self.done += events.len() as u64;
        for _ in 0..self.batch {
            self.next += 1;
            let class = match self.next % 20 {
                0 => 2,
                1..=3 => 1,
                _ => 0,
            };
            events.push(Event::Request(Query {
                table_group: TableGroupId(self.next % 40),
                work: Micros(2000),
                memory_mb: 1.0,
                ..Query::new(
                    RequestId(self.next),
                    ClassId(class),
                    Micros::from_millis(20_000),
                )
            }));
        }
        events
    }

    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send {
                request, engine, ..
            } = action
            {
                self.ends.push(Event::Ended(AttemptEnded {
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
    let listed = |id| Engine {
        kind: Some(KindId(0)),
        ..Engine::ready(EngineId(id))
    };
    let list = Event::List {
        kind: ListKind::Complete,
        engines: (1..=engines).map(listed).collect(),
    };
    gateway.handle(Micros(1), vec![list]);
    gateway
}

/// One decision on these events.
trait Decides {
    fn decide(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action>;
}

struct Locked(Arc<Mutex<Gateway>>);

impl Decides for Locked {
    fn decide(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        let mut gateway = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        gateway.handle(now, events)
    }
}

struct Sharded {
    gateway: Gateway,
    shard: ShardId,
    ledger: Arc<Mutex<LeaseTable>>,
}

impl Decides for Sharded {
    fn decide(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        let wish = self.gateway.demand(now, &events);
        let ledger = || self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        let loan = ledger().acquire(self.shard, now, &wish, 0);
        self.gateway.update_siblings(loan.siblings);
        let actions = self.gateway.handle(now, events);
        let told = self.gateway.publish();
        ledger().commit(self.shard, loan.id, now, told);
        actions
    }
}

impl DecisionThroughput {
    pub fn run(&self) -> io::Result<()> {
        println!("{} cores", thread::available_parallelism()?.get());
        println!("threads  decisions/s: one behind a lock     shards with a ledger");
        for threads in &self.threads {
            let shared = Arc::new(Mutex::new(gateway(self.engines)));
            let locked = |_| Locked(shared.clone());
            let lock = self.rate((0..*threads).map(locked).collect())?;
            let terms = LeaseTerms {
                shard_count: *threads,
                lease_duration: Micros::from_millis(250),
                redistribution_interval: Micros::from_millis(5),
                cold_window: Micros::from_millis(1000),
                max_credit: MAX_CREDIT,
                max_open_requests: 1_000_000,
            };
            let ledger = Arc::new(Mutex::new(LeaseTable::new(terms)));
            let sharded = |shard| Sharded {
                gateway: gateway(self.engines),
                shard: ShardId(shard),
                ledger: ledger.clone(),
            };
            let shards = self.rate((0..*threads).map(sharded).collect())?;
            println!("{threads:7} {lock:33.0} {shards:24.0}");
        }
        Ok(())
    }

    /// Requests decided and ended in a second, over all threads.
    fn rate<D: Decides + Send + 'static>(&self, deciders: Vec<D>) -> io::Result<f64> {
        let (length, batch) = (Duration::from_secs_f64(self.seconds), self.batch);
        let start = Instant::now();
        let mut threads = Vec::new();
        for (place, mut decider) in deciders.into_iter().enumerate() {
            threads.push(thread::spawn(move || {
                let mut feed = Feed {
                    next: (place as u64) << 40,
                    batch,
                    ends: Vec::new(),
                    done: 0,
                };
                while start.elapsed() < length {
                    let now = Micros(1000 + start.elapsed().as_micros() as u64);
                    let events = feed.events();
                    let actions = decider.decide(now, events);
                    feed.take(actions);
                }
                feed.done
            }));
        }
        let mut done = 0;
        for thread in threads {
            done += thread
                .join()
                .map_err(|_| io::Error::other("a thread died"))?;
        }
        Ok(done as f64 / start.elapsed().as_secs_f64())
    }
}
