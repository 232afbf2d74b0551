//! Real gateways as shards of one, in virtual time before engines of a simple kind: what all together do
//! beside what one gateway does with the same traffic.

use sedgebeam_core::{
    Action, AttemptEnded, AttemptNo, Class, ClassId, Effect, Engine, EngineId, Event, Gateway,
    Kind, KindId, ListKind, Micros, Outcome, Query, RequestId, Settings, TableGroupId, Tenant,
    TenantId, TimerId,
};
use sedgebeam_leases::{Lease, LeaseTable, LeaseTerms, ShardId};
use std::collections::{BTreeMap, HashMap};

const TICK: u64 = 5_000;
const LOAD: usize = 2;
/// Threads, and what a request takes on an engine, in microseconds.
const CLASSES: [(f64, u64); 3] = [(1.0, 20_000), (4.0, 60_000), (2.0, 60_000)];
const FIRMS: [f64; 3] = [0.62, 0.26, 0.12];
const ENGINES: u64 = 4;
const CORES: f64 = 8.0;
/// Threads that one gateway of one may have on an engine while it is under no pressure.
const MOST: f64 = CORES * 4.0;
const FALLS: f64 = 4.0;
const START: f64 = 0.3;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn settings() -> Settings {
    let class = |name: &str, worth, place: usize, on_time, effect| Class {
        name: name.to_string(),
        worth,
        threads: CLASSES[place].0,
        on_time: ms(on_time),
        give_up: ms(20_000),
        effect,
        holds_group: place == LOAD,
        waits_for_load: place != LOAD,
        ..Class::default()
    };
    Settings {
        gateways: 1,
        classes: vec![
            class("lookup", 1.0, 0, 500, Effect::Repeatable),
            class("report", 12.0, 1, 3000, Effect::Repeatable),
            class("journal-load", 12.0, LOAD, 3000, Effect::Once),
        ],
        tenants: FIRMS
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
        start_capacity: START,
        warm_after: ms(14_000),
        overload_multiple: FALLS,
        overload_window: ms(1000),
        answer_slack: ms(20),
        tick: Micros(TICK),
        ..Settings::default()
    }
}

/// Numbers from a seed (splitmix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let value = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((value ^ (value >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

struct Shard {
    gateway: Gateway,
    events: Vec<Event>,
    timer: Option<u64>,
    woken: bool,
    /// It does nothing until then.
    stopped_until: u64,
}

#[derive(Clone, Copy)]
struct Out {
    shard: usize,
    engine: EngineId,
    attempt: AttemptNo,
    class: usize,
    firm: usize,
}

#[derive(Default)]
struct Counts {
    /// By class and firm.
    served: [[u64; 3]; 3],
    refused: u64,
    most_out: f64,
    most_cold: f64,
    loads: HashMap<RequestId, u32>,
    doubled: u32,
    two_out: u32,
}

struct World {
    shards: Vec<Shard>,
    ledger: Option<LeaseTable>,
    now: u64,
    random: Random,
    next_id: u64,
    class_of: HashMap<RequestId, (usize, usize)>,
    out: HashMap<RequestId, Out>,
    ends: BTreeMap<(u64, u64), RequestId>,
    counts: Counts,
    /// A cold engine, and what was sent to it: when, and how many core seconds.
    cold: Option<EngineId>,
    sent: Vec<(u64, f64)>,
    /// Requests a second.
    rate: f64,
    groups: u64,
}

impl World {
    fn new(shards: usize, rate: f64, groups: u64) -> World {
        let shard = |_| Shard {
            gateway: Gateway::new(settings(), 1),
            events: Vec::new(),
            timer: None,
            woken: false,
            stopped_until: 0,
        };
        let terms = LeaseTerms {
            shard_count: shards,
            lease_duration: ms(250),
            redistribution_interval: Micros(TICK),
            cold_window: settings().overload_window,
            max_credit: sedgebeam_core::MAX_CREDIT,
            max_open_requests: 1_000_000,
        };
        let mut world = World {
            shards: (0..shards).map(shard).collect(),
            ledger: (shards > 1).then(|| LeaseTable::new(terms)),
            now: 100_000_000,
            random: Random(42),
            next_id: 0,
            class_of: HashMap::new(),
            out: HashMap::new(),
            ends: BTreeMap::new(),
            counts: Counts::default(),
            cold: None,
            sent: Vec::new(),
            rate,
            groups,
        };
        let engines: Vec<Engine> = (1..=ENGINES).map(|id| listed(id, Micros(0))).collect();
        world.list(ListKind::Complete, engines);
        world
    }

    fn list(&mut self, kind: ListKind, engines: Vec<Engine>) {
        for shard in &mut self.shards {
            let engines = engines.clone();
            shard.events.push(Event::List { kind, engines });
        }
    }

    fn arrive(&mut self) {
        self.next_id += 1;
        let id = RequestId((self.random.next() * 1e18) as u64);
        let draw = self.random.next();
        let class = if draw < 0.79 {
            0
        } else if draw < 0.94 {
            1
        } else {
            LOAD
        };
        let firm = ((self.random.next() * 3.0) as usize).min(2);
        let group = TableGroupId((self.random.next() * self.groups as f64) as u64);
        let count = self.shards.len() as u64;
        let shard = (id.0 % count) as usize;
        let query = Query {
            tenant: Some(TenantId(firm)),
            table_group: group,
            work: Micros((CLASSES[class].0 * CLASSES[class].1 as f64) as u64),
            memory_mb: 1.0,
            ..Query::new(id, ClassId(class), ms(20_000))
        };
        self.class_of.insert(id, (class, firm));
        self.shards[shard].events.push(Event::Request(query));
    }

    /// Lets time pass, in steps of a millisecond.
    fn run(&mut self, millis: u64) {
        let mut owed = 0.0;
        for _ in 0..millis {
            self.now += 1000;
            owed += self.rate / 1000.0 * 2.0 * self.random.next();
            while owed >= 1.0 {
                owed -= 1.0;
                self.arrive();
            }
            while let Some(first) = self
                .ends
                .first_entry()
                .filter(|end| end.key().0 <= self.now)
            {
                let id = first.remove();
                self.end(id);
            }
            // Their ticks are not in step, but some of them decide at the same time: what one has borrowed the
            // others of that moment don't have.
            let mut deciding = Vec::new();
            for place in 0..self.shards.len() {
                let turn = self.now / 1000 % 5 == place as u64 / 2 % 5;
                let shard = &mut self.shards[place];
                if shard.timer.is_some_and(|at| at <= self.now) {
                    shard.timer = None;
                    shard.events.push(Event::Timer(TimerId(0)));
                }
                let news = shard.woken || !shard.events.is_empty();
                if turn && news && self.now >= shard.stopped_until {
                    deciding.push(self.borrow(place));
                }
            }
            for (place, events, loan) in deciding {
                self.decide(place, events, loan);
            }
            let mut threads: HashMap<EngineId, f64> = HashMap::new();
            for out in self.out.values() {
                *threads.entry(out.engine).or_default() += CLASSES[out.class].0;
            }
            let most = threads.values().copied().fold(0.0, f64::max);
            self.counts.most_out = self.counts.most_out.max(most);
            let recent = self.sent.iter().filter(|(at, _)| at + 1_000_000 > self.now);
            let cold: f64 = recent.map(|(_, work)| work).sum();
            self.counts.most_cold = self.counts.most_cold.max(cold);
        }
    }

    fn end(&mut self, id: RequestId) {
        let Some(out) = self.out.remove(&id) else {
            return;
        };
        self.counts.served[out.class][out.firm] += 1;
        let took = Micros(CLASSES[out.class].1);
        self.shards[out.shard]
            .events
            .push(Event::Ended(AttemptEnded {
                request: id,
                attempt: out.attempt,
                engine: out.engine,
                outcome: Outcome::Ok,
                elapsed: took,
                request_finished: true,
                work: Some(Micros((took.0 as f64 * CLASSES[out.class].0) as u64)),
                load_report: None,
            }));
    }

    fn borrow(&mut self, place: usize) -> (usize, Vec<Event>, Option<Lease>) {
        let now = Micros(self.now);
        let shard = &mut self.shards[place];
        shard.woken = false;
        let events = std::mem::take(&mut shard.events);
        let loan = self.ledger.as_mut().map(|ledger| {
            let wish = shard.gateway.demand(now, &events);
            ledger.acquire(ShardId(place), now, &wish, 0)
        });
        (place, events, loan)
    }

    fn decide(&mut self, place: usize, events: Vec<Event>, loan: Option<Lease>) {
        let now = Micros(self.now);
        let shard = &mut self.shards[place];
        let ticket = loan.as_ref().map(|loan| loan.id);
        if let Some(loan) = loan {
            shard.gateway.update_siblings(loan.siblings);
        }
        let actions = shard.gateway.handle(now, events);
        if let (Some(ledger), Some(ticket)) = (&mut self.ledger, ticket) {
            let told = shard.gateway.publish();
            let settled = ledger.commit(ShardId(place), ticket, now, told);
            assert!(settled.is_valid);
            for waiter in settled.shards_to_wake {
                self.shards[waiter.0].woken = true;
            }
        }
        for action in actions {
            self.act(place, action);
        }
    }

    fn act(&mut self, place: usize, action: Action) {
        match action {
            Action::Send {
                request, engine, ..
            } => {
                let (class, firm) = self.class_of[&request];
                let attempt = AttemptNo(0);
                let out = Out {
                    shard: place,
                    engine,
                    attempt,
                    class,
                    firm,
                };
                if self.out.insert(request, out).is_some() {
                    self.counts.two_out += 1;
                }
                if class == LOAD {
                    let sent = self.counts.loads.entry(request).or_default();
                    *sent += 1;
                    self.counts.doubled += u32::from(*sent > 1);
                }
                let (threads, takes) = CLASSES[class];
                if self.cold == Some(engine) {
                    self.sent.push((self.now, threads * takes as f64 / 1e6));
                }
                self.next_id += 1;
                // Spread, so that slots come free one by one and not in the pieces in which they were taken.
                let takes = (takes as f64 * (0.5 + self.random.next())) as u64;
                self.ends.insert((self.now + takes, self.next_id), request);
            }
            Action::Refuse { .. } => self.counts.refused += 1,
            Action::Timer { at, .. } => self.shards[place].timer = Some(at.0),
            _ => {}
        }
    }

    /// By firm, its part of the thread time that was served, in points.
    fn firms(&self) -> [f64; 3] {
        let time = |firm: usize| -> f64 {
            let classes = self.counts.served.iter().zip(CLASSES);
            classes
                .map(|(counts, (threads, takes))| counts[firm] as f64 * threads * takes as f64)
                .sum()
        };
        let times = [0, 1, 2].map(time);
        let sum: f64 = times.iter().sum();
        times.map(|time| 100.0 * time / sum)
    }

    /// By class, its part of the thread time that was served, in points.
    fn classes(&self) -> [f64; 3] {
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

fn listed(id: u64, started_at: Micros) -> Engine {
    Engine {
        kind: Some(KindId(0)),
        started_at,
        ..Engine::ready(EngineId(id))
    }
}

/// Three times what the engines bear, for twenty seconds.
fn overload(shards: usize) -> World {
    let mut world = World::new(shards, 6000.0, 40);
    world.run(5_000);
    world.counts.served = Default::default();
    world.run(20_000);
    world
}

fn off(parts: [f64; 3], owed: [f64; 3]) -> f64 {
    let off = parts
        .iter()
        .zip(owed)
        .map(|(part, owed)| (part - owed).abs());
    off.fold(0.0, f64::max)
}

#[test]
fn shares_of_classes_and_firms_hold_over_shards_as_in_one_gateway() {
    let one = overload(1);
    println!("1: {:?} {:?} {}", one.firms(), one.classes(), one.served());
    for shards in [2, 4, 8] {
        {
            let world = overload(shards);
            let (firms, classes) = (world.firms(), world.classes());
            println!("{shards}: {firms:?} {classes:?} {}", world.served());
            assert!(
                off(firms, one.firms()) < 3.0,
                "{shards} shards: firms {firms:?}"
            );
            assert!(
                off(classes, one.classes()) < 3.0,
                "{shards} shards: classes {classes:?}"
            );
            let kept = world.served() as f64 / one.served() as f64;
            assert!(
                kept > 0.97,
                "{shards} shards serve {kept} of what one gateway does"
            );
            assert!(
                world.counts.most_out <= MOST,
                "{} threads out",
                world.counts.most_out
            );
        }
    }
}

#[test]
fn a_cold_engine_gets_no_more_from_busy_shards_than_from_one_gateway() {
    let budget = FALLS * START * CORES;
    for shards in [1, 8] {
        let mut world = World::new(shards, 6000.0, 40);
        world.run(3_000);
        let joins = ENGINES + 1;
        world.cold = Some(EngineId(joins));
        let engine = listed(joins, Micros(world.now));
        world.list(ListKind::Changes, vec![engine]);
        world.run(12_000);
        let most = world.counts.most_cold;
        println!("{shards}: {most} of {budget}");
        assert!(
            most > 0.0 && most <= budget,
            "{most} core seconds of {budget}"
        );
    }
}

#[test]
fn with_all_traffic_on_one_group_no_load_is_sent_twice_and_none_has_two_attempts_out() {
    for shards in [1, 4, 8] {
        let mut world = World::new(shards, 2000.0, 1);
        world.run(10_000);
        let counts = &world.counts;
        assert!(counts.loads.len() > 20, "{} loads", counts.loads.len());
        assert_eq!((counts.doubled, counts.two_out), (0, 0));
    }
}

#[test]
fn while_a_shard_stands_still_the_others_go_on_and_its_loads_are_not_sent_again() {
    let mut world = World::new(4, 2000.0, 40);
    world.run(3_000);
    world.shards[1].stopped_until = world.now + 2_000_000;
    let before = world.served();
    world.run(2_000);
    let during = world.served() - before;
    world.run(4_000);
    assert!(during > 1000, "{during} served meanwhile");
    let counts = &world.counts;
    assert_eq!((counts.doubled, counts.two_out), (0, 0));
    assert!(counts.most_out <= MOST);
}
