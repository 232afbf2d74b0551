//! Random interleavings of shards that borrow, settle, stall and die, beside a model of what is really out.

use proptest::collection::vec;
use proptest::prelude::*;
use sedgebeam_core::{
    ClassUsage, Demand, EngineDemand, EngineId, EngineUsage, Micros, ShardUsage, TableGroupId,
};
use sedgebeam_leases::{Lease, LeaseTable, LeaseTerms, ShardId};
use std::collections::BTreeMap;

const SHARDS: usize = 4;
const ENGINES: u64 = 3;
const LIMIT: f64 = 10.0;
const HEAVIEST: f64 = 4.0;
/// What adding fractions loses.
const ROUNDING: f64 = 1e-9;
/// What all may send to the cold engine within a window, in core seconds.
const COLD_PART: f64 = 3.0;
const COLD: EngineId = EngineId(0);
const LEASE: Micros = Micros(50);
const WINDOW: Micros = Micros(400);
const OPEN: usize = 40;

#[derive(Clone, Debug)]
enum Step {
    /// Ends so many queries on each engine, and borrows.
    Borrow {
        shard: usize,
        wants: u8,
        ends: u8,
    },
    /// Sends up to so many queries of so many threads to each engine that has room, and settles.
    Settle {
        shard: usize,
        queries: u8,
        threads: u8,
    },
    Wait(u8),
    Crash(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let shard = 0..SHARDS;
    prop_oneof![
        4 => (shard.clone(), 0..30u8, 0..3u8).prop_map(|(shard, wants, ends)| {
            Step::Borrow { shard, wants, ends }
        }),
        5 => (shard.clone(), 0..6u8, 1..=4u8).prop_map(|(shard, queries, threads)| {
            Step::Settle { shard, queries, threads }
        }),
        2 => (1..60u8).prop_map(Step::Wait),
        1 => shard.prop_map(Step::Crash),
    ]
}

/// A shard as it really is: its queries out, by engine.
#[derive(Default)]
struct Shard {
    out: BTreeMap<EngineId, Vec<f64>>,
    loan: Option<(Lease, Micros)>,
    open: usize,
    sent: Vec<(Micros, f64)>,
}

impl Shard {
    fn threads(&self, engine: EngineId) -> f64 {
        self.out.get(&engine).map_or(0.0, |out| out.iter().sum())
    }

    fn publish(&self, sent: f64) -> ShardUsage {
        let out = |engine| EngineUsage {
            threads: self.threads(engine),
            ..EngineUsage::default()
        };
        let engines: Vec<_> = (0..ENGINES).map(EngineId).map(|id| (id, out(id))).collect();
        let threads = engines.iter().map(|(_, out)| out.threads).sum();
        ShardUsage {
            engines,
            classes: vec![ClassUsage {
                threads,
                memory_mb: 0.0,
            }],
            waiting_requests: vec![vec![1]],
            work_sent_core_s: vec![(COLD, sent)],
            all_ended_by: Micros::MAX,
            ..ShardUsage::default()
        }
    }
}

struct World {
    ledger: LeaseTable,
    shards: Vec<Shard>,
    now: Micros,
    /// All that was ever sent to the cold engine, whoever sent it.
    cold: Vec<(Micros, f64)>,
}

fn recent(sent: &[(Micros, f64)], now: Micros) -> f64 {
    let recent = sent.iter().filter(|(at, _)| *at + WINDOW > now);
    recent.map(|(_, work)| work).sum()
}

impl World {
    fn new() -> World {
        World {
            ledger: LeaseTable::new(terms(SHARDS)),
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
            now: Micros(1000),
            cold: Vec::new(),
        }
    }

    fn borrow(&mut self, place: usize, wants: u8, ends: u8) {
        let shard = &mut self.shards[place];
        let mut wished = Vec::new();
        for id in (0..ENGINES).map(EngineId) {
            let before = shard.threads(id);
            if let Some(out) = shard.out.get_mut(&id) {
                out.truncate(out.len().saturating_sub(usize::from(ends)));
            }
            wished.push(engine(id, id == COLD, before - shard.threads(id)));
        }
        shard.open = shard.open.saturating_sub(usize::from(ends));
        let wish = Demand {
            threads: f64::from(wants),
            heaviest_class_threads: HEAVIEST,
            engines: wished,
        };
        let loan = self
            .ledger
            .acquire(ShardId(place), self.now, &wish, shard.open);
        // It opens as many requests as it may.
        shard.open = (shard.open + usize::from(wants)).min(loan.max_open_requests);
        shard.loan = Some((loan, self.now));
    }

    /// Decides as a gateway does: within its room and the limit, by what it was told of the others.
    fn settle(&mut self, place: usize, queries: u8, threads: u8) {
        let shard = &mut self.shards[place];
        let Some((loan, _)) = shard.loan.take() else {
            return;
        };
        let threads = f64::from(threads);
        let (mut sends, mut work, mut fleet) = (Vec::new(), 0.0, loan.siblings.quota.0);
        for share in &loan.siblings.engines {
            let (mut room, mut own) = (share.quota.0, shard.threads(share.engine));
            for _ in 0..queries {
                let all = own + share.usage.threads;
                let fits = all == 0.0 || all + threads <= LIMIT;
                let cold = recent(&shard.sent, self.now) + share.cold_work_core_s + work + 0.5;
                let bears = share.engine != COLD || cold <= COLD_PART;
                if threads <= room && threads <= fleet && fits && bears {
                    sends.push(share.engine);
                    (room, fleet, own) = (room - threads, fleet - threads, own + threads);
                    work += if share.engine == COLD { 0.5 } else { 0.0 };
                }
            }
        }
        // What would be out if the sends were made.
        let before = shard.out.clone();
        sends
            .iter()
            .for_each(|to| shard.out.entry(*to).or_default().push(threads));
        let told = shard.publish(work);
        if self
            .ledger
            .commit(ShardId(place), loan.id, self.now, told)
            .is_valid
        {
            shard.sent.push((self.now, work));
            self.cold.push((self.now, work));
        } else {
            self.shards[place].out = before;
        }
    }

    fn crash(&mut self, place: usize) {
        self.shards[place] = Shard::default();
        self.ledger.remove_crashed_shard(ShardId(place));
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Borrow { shard, wants, ends } => self.borrow(shard, wants, ends),
            Step::Settle {
                shard,
                queries,
                threads,
            } => self.settle(shard, queries, threads),
            Step::Wait(time) => self.now = self.now + Micros(u64::from(time)),
            Step::Crash(shard) => self.crash(shard),
        }
    }

    /// Nothing is handed out twice, whatever has happened.
    fn check(&self) -> Result<(), TestCaseError> {
        for engine in (0..ENGINES).map(EngineId) {
            let out: f64 = self.shards.iter().map(|shard| shard.threads(engine)).sum();
            let (_, lent) = self.ledger.engine_threads(engine);
            prop_assert!(
                out <= LIMIT + ROUNDING,
                "{out} threads are out on {engine:?}"
            );
            prop_assert!(
                out + lent <= LIMIT + ROUNDING,
                "{out} out and {lent} lent on {engine:?}"
            );
        }
        let cold = recent(&self.cold, self.now);
        prop_assert!(
            cold <= COLD_PART + ROUNDING,
            "{cold} core seconds sent to a cold engine"
        );
        let open: usize = self.shards.iter().map(|shard| shard.open).sum();
        prop_assert!(open <= OPEN, "{open} requests are open");
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn shards_together_never_hold_more_than_one_gateway_may(steps in vec(step(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            world.play(step);
            world.check()?;
        }
    }

    /// What a shard is told of the others is what they told, whatever was lent and voided in between.
    #[test]
    fn what_has_been_lent_comes_back(steps in vec(step(), 1..60)) {
        let mut world = World::new();
        for step in steps {
            world.play(step);
        }
        world.now = world.now + LEASE + Micros(1);
        world.ledger.expire_leases(world.now);
        for engine in (0..ENGINES).map(EngineId) {
            let out: f64 = world.shards.iter().map(|shard| shard.threads(engine)).sum();
            let (told, lent) = world.ledger.engine_threads(engine);
            prop_assert_eq!(lent, 0.0);
            // What ended on a lease that was void is told with the next one that stands.
            prop_assert!(out <= told, "{} out, {} known", out, told);
        }
    }
}

fn engine(engine: EngineId, cold: bool, ended: f64) -> EngineDemand {
    EngineDemand {
        engine,
        max_threads: LIMIT,
        is_cold: cold,
        ended_threads: ended,
    }
}

fn terms(shards: usize) -> LeaseTerms {
    LeaseTerms {
        shard_count: shards,
        lease_duration: LEASE,
        redistribution_interval: Micros(0),
        cold_window: WINDOW,
        max_credit: 4.0,
        max_open_requests: OPEN,
    }
}

fn wish(threads: f64, cold: bool) -> Demand {
    Demand {
        threads,
        heaviest_class_threads: HEAVIEST,
        engines: vec![engine(EngineId(1), cold, 0.0)],
    }
}

fn holds(threads: f64, until: Micros) -> ShardUsage {
    let out = EngineUsage {
        threads,
        table_groups: vec![TableGroupId(7)],
        ..EngineUsage::default()
    };
    ShardUsage {
        engines: vec![(EngineId(1), out)],
        classes: vec![ClassUsage {
            threads,
            memory_mb: 0.0,
        }],
        waiting_requests: vec![vec![0, 2]],
        all_ended_by: until,
        ..ShardUsage::default()
    }
}

fn room(loan: &Lease) -> f64 {
    loan.siblings.engines[0].quota.0
}

#[test]
fn what_is_free_goes_to_the_shard_that_waits_at_its_next_decision() {
    let mut ledger = LeaseTable::new(terms(2));
    let (first, second) = (ShardId(0), ShardId(1));
    let loan = ledger.acquire(first, Micros(0), &wish(30.0, false), 0);
    assert_eq!(room(&loan), LIMIT, "nobody else wants any");
    assert!(
        ledger
            .commit(first, loan.id, Micros(1), holds(8.0, Micros(900)))
            .is_valid
    );
    let loan = ledger.acquire(second, Micros(2), &wish(30.0, false), 0);
    assert_eq!(room(&loan), 2.0);
    assert_eq!(loan.siblings.engines[0].usage.threads, 8.0);
    assert_eq!(loan.siblings.waiting_requests, [[0, 2]]);
    assert!(
        ledger
            .commit(second, loan.id, Micros(3), holds(2.0, Micros(900)))
            .is_valid
    );
    // Its end is told to the one that waits, which then has the room.
    let loan = ledger.acquire(first, Micros(4), &wish(0.0, false), 0);
    let settled = ledger.commit(first, loan.id, Micros(5), holds(0.0, Micros(900)));
    assert_eq!(settled.shards_to_wake, [second]);
    let loan = ledger.acquire(second, Micros(6), &wish(30.0, false), 0);
    assert_eq!(room(&loan), 8.0);
}

#[test]
fn a_lease_that_ran_out_is_void_and_its_room_is_lent_again() {
    let mut ledger = LeaseTable::new(terms(2));
    let (first, second) = (ShardId(0), ShardId(1));
    let stalled = ledger.acquire(first, Micros(0), &wish(30.0, false), 0);
    let loan = ledger.acquire(second, Micros(10), &wish(30.0, false), 0);
    assert_eq!(room(&loan), 0.0);
    assert!(
        ledger
            .commit(second, loan.id, Micros(11), holds(0.0, Micros(0)))
            .is_valid
    );
    let loan = ledger.acquire(second, Micros(60), &wish(30.0, false), 0);
    assert_eq!(room(&loan), LIMIT);
    let late = ledger.commit(first, stalled.id, Micros(61), holds(8.0, Micros(900)));
    assert!(!late.is_valid, "what it decided must not be sent");
    assert_eq!(ledger.expired_lease_count(), 1);
    assert!(
        ledger
            .commit(second, loan.id, Micros(62), holds(8.0, Micros(900)))
            .is_valid
    );
}

#[test]
fn what_a_silent_shard_has_out_counts_until_it_must_have_ended() {
    let mut ledger = LeaseTable::new(terms(2));
    let (silent, other) = (ShardId(0), ShardId(1));
    let loan = ledger.acquire(silent, Micros(0), &wish(8.0, false), 0);
    assert!(
        ledger
            .commit(silent, loan.id, Micros(1), holds(8.0, Micros(500)))
            .is_valid
    );
    let loan = ledger.acquire(other, Micros(400), &wish(30.0, false), 0);
    assert_eq!(
        (
            room(&loan),
            loan.siblings.engines[0].usage.table_groups.len()
        ),
        (2.0, 1)
    );
    let loan = ledger.acquire(other, Micros(600), &wish(30.0, false), 0);
    assert_eq!(room(&loan), LIMIT);
}

#[test]
fn of_a_shard_that_died_nothing_is_out_but_what_it_sent_to_a_cold_engine_counts() {
    let mut ledger = LeaseTable::new(terms(2));
    let (dead, other) = (ShardId(0), ShardId(1));
    let loan = ledger.acquire(dead, Micros(0), &wish(8.0, true), 0);
    let mut told = holds(8.0, Micros(500));
    told.work_sent_core_s = vec![(EngineId(1), 2.5)];
    assert!(ledger.commit(dead, loan.id, Micros(1), told).is_valid);
    ledger.remove_crashed_shard(dead);
    for shard in [other, dead] {
        let loan = ledger.acquire(shard, Micros(100), &wish(8.0, true), 0);
        let share = &loan.siblings.engines[0];
        assert_eq!((share.usage.threads, share.cold_work_core_s), (0.0, 2.5));
        assert!(
            ledger
                .commit(shard, loan.id, Micros(101), holds(0.0, Micros(0)))
                .is_valid
        );
    }
}

#[test]
fn only_one_shard_at_a_time_borrows_room_on_a_cold_engine() {
    let mut ledger = LeaseTable::new(terms(2));
    let first = ledger.acquire(ShardId(0), Micros(0), &wish(4.0, true), 0);
    let second = ledger.acquire(ShardId(1), Micros(0), &wish(4.0, true), 0);
    assert_eq!((room(&first), room(&second)), (4.0, 0.0));
    assert!(
        ledger
            .commit(ShardId(0), first.id, Micros(1), holds(0.0, Micros(0)))
            .is_valid
    );
    let second = ledger.acquire(ShardId(1), Micros(2), &wish(4.0, true), 0);
    assert_eq!(room(&second), 4.0);
}

#[test]
fn credit_is_one_for_all_shards() {
    let mut ledger = LeaseTable::new(terms(2));
    for (shard, change) in [(0, 0.5), (1, 0.75)] {
        let loan = ledger.acquire(ShardId(shard), Micros(0), &wish(0.0, false), 0);
        let told = ShardUsage {
            class_credit: vec![change, -change],
            tenant_credit: vec![vec![], vec![change]],
            ..ShardUsage::default()
        };
        assert!(
            ledger
                .commit(ShardId(shard), loan.id, Micros(1), told)
                .is_valid
        );
    }
    let loan = ledger.acquire(ShardId(0), Micros(2), &wish(0.0, false), 0);
    assert_eq!(loan.siblings.class_credit, [1.25, -1.25]);
    assert_eq!(loan.siblings.tenant_credit, [vec![], vec![1.25]]);
}

#[test]
fn what_another_process_holds_counts_for_every_shard_until_it_must_have_ended() {
    let mut ledger = LeaseTable::new(terms(2));
    let beside = |threads, until| ShardUsage {
        waiting_requests: Vec::new(),
        ..holds(threads, until)
    };
    ledger.set_peer_process_usage(Micros(0), beside(8.0, Micros(900)));
    for shard in [ShardId(0), ShardId(1)] {
        let loan = ledger.acquire(shard, Micros(1), &wish(30.0, false), 0);
        let told = &loan.siblings.engines[0].usage;
        assert_eq!((room(&loan), told.threads), (LIMIT - 8.0, 8.0));
        assert_eq!(loan.siblings.classes[0].threads, 8.0);
        assert!(told.table_groups.contains(&TableGroupId(7)));
        let nothing = beside(0.0, Micros(0));
        assert!(ledger.commit(shard, loan.id, Micros(2), nothing).is_valid);
    }
    // It tells of less, and then nothing more: it may have died without a word.
    ledger.set_peer_process_usage(Micros(3), beside(4.0, Micros(900)));
    let loan = ledger.acquire(ShardId(0), Micros(4), &wish(30.0, false), 0);
    assert_eq!(room(&loan), LIMIT - 4.0);
    let loan = ledger.acquire(ShardId(0), Micros(1000), &wish(30.0, false), 0);
    assert_eq!(room(&loan), LIMIT);
}
