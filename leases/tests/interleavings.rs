//! Random interleavings of shards that acquire and commit leases, stall and crash, checked against
//! a model of what is really in flight.

use proptest::collection::vec;
use proptest::prelude::*;
use sedgebeam_core::{
    ClassUsage, Demand, EngineDemand, EngineId, EngineUsage, Micros, ShardUsage, TableGroupId,
};
use sedgebeam_leases::{Lease, LeaseTable, LeaseTerms, ShardId};
use std::collections::BTreeMap;

const SHARD_COUNT: usize = 4;
const ENGINE_COUNT: u64 = 3;
const ENGINE_LIMIT: f64 = 10.0;
const HEAVIEST_THREADS: f64 = 4.0;
/// Tolerance for floating-point rounding.
const ROUNDING: f64 = 1e-9;
/// What all shards together may send to the cold engine within a window, in core seconds.
const COLD_LIMIT: f64 = 3.0;
const COLD_ENGINE: EngineId = EngineId(0);
const LEASE_DURATION: Micros = Micros(50);
const COLD_WINDOW: Micros = Micros(400);
const MAX_OPEN_REQUESTS: usize = 40;

#[derive(Clone, Debug)]
enum Step {
    /// Ends up to `ended_queries` queries on each engine, and acquires a lease.
    Acquire {
        shard: usize,
        demanded_threads: u8,
        ended_queries: u8,
    },
    /// Sends up to `queries` queries of `threads` threads to each engine within its quota, and
    /// commits.
    Commit {
        shard: usize,
        queries: u8,
        threads: u8,
    },
    Wait(u8),
    Crash(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let shard = 0..SHARD_COUNT;
    prop_oneof![
        4 => (shard.clone(), 0..30u8, 0..3u8).prop_map(|(shard, demanded_threads, ended_queries)| {
            Step::Acquire { shard, demanded_threads, ended_queries }
        }),
        5 => (shard.clone(), 0..6u8, 1..=4u8).prop_map(|(shard, queries, threads)| {
            Step::Commit { shard, queries, threads }
        }),
        2 => (1..60u8).prop_map(Step::Wait),
        1 => shard.prop_map(Step::Crash),
    ]
}

/// The model of a shard, with the threads of its queries in flight by engine.
#[derive(Default)]
struct Shard {
    in_flight: BTreeMap<EngineId, Vec<f64>>,
    lease: Option<(Lease, Micros)>,
    open_requests: usize,
    /// Work sent to the cold engine.
    sent_to_cold: Vec<(Micros, f64)>,
}

impl Shard {
    fn threads(&self, engine: EngineId) -> f64 {
        self.in_flight
            .get(&engine)
            .map_or(0.0, |queries| queries.iter().sum())
    }

    fn usage(&self, cold_work: f64) -> ShardUsage {
        let engine_usage = |engine| EngineUsage {
            threads: self.threads(engine),
            ..EngineUsage::default()
        };
        let engines: Vec<_> = (0..ENGINE_COUNT)
            .map(EngineId)
            .map(|id| (id, engine_usage(id)))
            .collect();
        let threads = engines.iter().map(|(_, usage)| usage.threads).sum();
        ShardUsage {
            engines,
            classes: vec![ClassUsage {
                threads,
                memory_mb: 0.0,
            }],
            waiting_requests: vec![vec![1]],
            work_sent_core_s: vec![(COLD_ENGINE, cold_work)],
            all_ended_by: Micros::MAX,
            ..ShardUsage::default()
        }
    }
}

struct Model {
    lease_table: LeaseTable,
    shards: Vec<Shard>,
    now: Micros,
    /// All work sent to the cold engine, by any shard.
    sent_to_cold: Vec<(Micros, f64)>,
}

fn work_in_window(sent: &[(Micros, f64)], now: Micros) -> f64 {
    let in_window = sent.iter().filter(|(at, _)| *at + COLD_WINDOW > now);
    in_window.map(|(_, work)| work).sum()
}

impl Model {
    fn new() -> Model {
        Model {
            lease_table: LeaseTable::new(terms(SHARD_COUNT)),
            shards: (0..SHARD_COUNT).map(|_| Shard::default()).collect(),
            now: Micros(1000),
            sent_to_cold: Vec::new(),
        }
    }

    fn acquire(&mut self, index: usize, demanded_threads: u8, ended_queries: u8) {
        let shard = &mut self.shards[index];
        let mut engines = Vec::new();
        for id in (0..ENGINE_COUNT).map(EngineId) {
            let threads_before = shard.threads(id);
            if let Some(queries) = shard.in_flight.get_mut(&id) {
                queries.truncate(queries.len().saturating_sub(usize::from(ended_queries)));
            }
            engines.push(engine_demand(
                id,
                id == COLD_ENGINE,
                threads_before - shard.threads(id),
            ));
        }
        shard.open_requests = shard
            .open_requests
            .saturating_sub(usize::from(ended_queries));
        let demand = Demand {
            threads: f64::from(demanded_threads),
            heaviest_class_threads: HEAVIEST_THREADS,
            engines,
        };
        let lease =
            self.lease_table
                .acquire(ShardId(index), self.now, &demand, shard.open_requests);
        // The shard opens as many requests as it may.
        shard.open_requests =
            (shard.open_requests + usize::from(demanded_threads)).min(lease.max_open_requests);
        shard.lease = Some((lease, self.now));
    }

    /// Decides like a gateway: within its thread quota, and within the limit minus the usage of its
    /// siblings.
    fn commit(&mut self, index: usize, queries: u8, threads: u8) {
        let shard = &mut self.shards[index];
        let Some((lease, _)) = shard.lease.take() else {
            return;
        };
        let threads = f64::from(threads);
        let (mut sends, mut cold_work, mut fleet_quota) = (Vec::new(), 0.0, lease.siblings.quota.0);
        for sibling_usage in &lease.siblings.engines {
            let (mut quota, mut own_threads) =
                (sibling_usage.quota.0, shard.threads(sibling_usage.engine));
            for _ in 0..queries {
                let total_threads = own_threads + sibling_usage.usage.threads;
                let fits_limit = total_threads == 0.0 || total_threads + threads <= ENGINE_LIMIT;
                let cold_total = work_in_window(&shard.sent_to_cold, self.now)
                    + sibling_usage.cold_work_core_s
                    + cold_work
                    + 0.5;
                let fits_cold_limit =
                    sibling_usage.engine != COLD_ENGINE || cold_total <= COLD_LIMIT;
                if threads <= quota && threads <= fleet_quota && fits_limit && fits_cold_limit {
                    sends.push(sibling_usage.engine);
                    (quota, fleet_quota, own_threads) = (
                        quota - threads,
                        fleet_quota - threads,
                        own_threads + threads,
                    );
                    cold_work += if sibling_usage.engine == COLD_ENGINE {
                        0.5
                    } else {
                        0.0
                    };
                }
            }
        }
        // The usage as if the sends were made; an invalid commit reverts it.
        let in_flight_before = shard.in_flight.clone();
        sends
            .iter()
            .for_each(|engine| shard.in_flight.entry(*engine).or_default().push(threads));
        let usage = shard.usage(cold_work);
        if self
            .lease_table
            .commit(ShardId(index), lease.id, self.now, usage)
            .is_valid
        {
            shard.sent_to_cold.push((self.now, cold_work));
            self.sent_to_cold.push((self.now, cold_work));
        } else {
            self.shards[index].in_flight = in_flight_before;
        }
    }

    fn crash(&mut self, index: usize) {
        self.shards[index] = Shard::default();
        self.lease_table.remove_crashed_shard(ShardId(index));
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Acquire {
                shard,
                demanded_threads,
                ended_queries,
            } => self.acquire(shard, demanded_threads, ended_queries),
            Step::Commit {
                shard,
                queries,
                threads,
            } => self.commit(shard, queries, threads),
            Step::Wait(duration) => self.now = self.now + Micros(u64::from(duration)),
            Step::Crash(shard) => self.crash(shard),
        }
    }

    /// Checks that nothing is leased or used beyond its limit.
    fn check(&self) -> Result<(), TestCaseError> {
        for engine in (0..ENGINE_COUNT).map(EngineId) {
            let in_flight: f64 = self.shards.iter().map(|shard| shard.threads(engine)).sum();
            let (_, leased) = self.lease_table.engine_threads(engine);
            prop_assert!(
                in_flight <= ENGINE_LIMIT + ROUNDING,
                "{in_flight} threads are in flight on {engine:?}"
            );
            prop_assert!(
                in_flight + leased <= ENGINE_LIMIT + ROUNDING,
                "{in_flight} threads in flight and {leased} leased on {engine:?}"
            );
        }
        let cold_work = work_in_window(&self.sent_to_cold, self.now);
        prop_assert!(
            cold_work <= COLD_LIMIT + ROUNDING,
            "{cold_work} core seconds sent to a cold engine"
        );
        let open_requests: usize = self.shards.iter().map(|shard| shard.open_requests).sum();
        prop_assert!(
            open_requests <= MAX_OPEN_REQUESTS,
            "{open_requests} requests are open"
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1500,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn shards_together_never_exceed_the_limits_of_one_gateway(steps in vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in steps {
            model.apply(step);
            model.check()?;
        }
    }

    /// Whichever leases have expired before, in the end only the committed usage counts.
    #[test]
    fn expired_leases_are_returned(steps in vec(step(), 1..60)) {
        let mut model = Model::new();
        for step in steps {
            model.apply(step);
        }
        model.now = model.now + LEASE_DURATION + Micros(1);
        model.lease_table.expire_leases(model.now);
        for engine in (0..ENGINE_COUNT).map(EngineId) {
            let in_flight: f64 = model.shards.iter().map(|shard| shard.threads(engine)).sum();
            let (committed, leased) = model.lease_table.engine_threads(engine);
            prop_assert_eq!(leased, 0.0);
            // Ended queries reported under an expired lease are reported again under the next valid
            // one.
            prop_assert!(
                in_flight <= committed,
                "{} in flight, {} committed", in_flight, committed
            );
        }
    }
}

fn engine_demand(engine: EngineId, is_cold: bool, ended_threads: f64) -> EngineDemand {
    EngineDemand {
        engine,
        max_threads: ENGINE_LIMIT,
        is_cold,
        ended_threads,
    }
}

fn terms(shard_count: usize) -> LeaseTerms {
    LeaseTerms {
        shard_count,
        lease_duration: LEASE_DURATION,
        redistribution_interval: Micros(0),
        cold_window: COLD_WINDOW,
        max_credit: 4.0,
        max_open_requests: MAX_OPEN_REQUESTS,
    }
}

fn demand(threads: f64, is_cold: bool) -> Demand {
    Demand {
        threads,
        heaviest_class_threads: HEAVIEST_THREADS,
        engines: vec![engine_demand(EngineId(1), is_cold, 0.0)],
    }
}

fn usage(threads: f64, all_ended_by: Micros) -> ShardUsage {
    let engine_usage = EngineUsage {
        threads,
        table_groups: vec![TableGroupId(7)],
        ..EngineUsage::default()
    };
    ShardUsage {
        engines: vec![(EngineId(1), engine_usage)],
        classes: vec![ClassUsage {
            threads,
            memory_mb: 0.0,
        }],
        waiting_requests: vec![vec![0, 2]],
        all_ended_by,
        ..ShardUsage::default()
    }
}

fn quota(lease: &Lease) -> f64 {
    lease.siblings.engines[0].quota.0
}

#[test]
fn free_threads_go_to_the_waiting_shard_at_its_next_decision() {
    let mut lease_table = LeaseTable::new(terms(2));
    let (first, second) = (ShardId(0), ShardId(1));
    let lease = lease_table.acquire(first, Micros(0), &demand(30.0, false), 0);
    assert_eq!(quota(&lease), ENGINE_LIMIT, "no other shard has any demand");
    assert!(
        lease_table
            .commit(first, lease.id, Micros(1), usage(8.0, Micros(900)))
            .is_valid
    );
    let lease = lease_table.acquire(second, Micros(2), &demand(30.0, false), 0);
    assert_eq!(quota(&lease), 2.0);
    assert_eq!(lease.siblings.engines[0].usage.threads, 8.0);
    assert_eq!(lease.siblings.waiting_requests, [[0, 2]]);
    assert!(
        lease_table
            .commit(second, lease.id, Micros(3), usage(2.0, Micros(900)))
            .is_valid
    );
    // The waiting shard is woken when the queries end, and then gets the threads.
    let lease = lease_table.acquire(first, Micros(4), &demand(0.0, false), 0);
    let result = lease_table.commit(first, lease.id, Micros(5), usage(0.0, Micros(900)));
    assert_eq!(result.shards_to_wake, [second]);
    let lease = lease_table.acquire(second, Micros(6), &demand(30.0, false), 0);
    assert_eq!(quota(&lease), 8.0);
}

#[test]
fn an_expired_lease_is_invalid_and_its_threads_are_leased_again() {
    let mut lease_table = LeaseTable::new(terms(2));
    let (first, second) = (ShardId(0), ShardId(1));
    let stalled_lease = lease_table.acquire(first, Micros(0), &demand(30.0, false), 0);
    let lease = lease_table.acquire(second, Micros(10), &demand(30.0, false), 0);
    assert_eq!(quota(&lease), 0.0);
    assert!(
        lease_table
            .commit(second, lease.id, Micros(11), usage(0.0, Micros(0)))
            .is_valid
    );
    let lease = lease_table.acquire(second, Micros(60), &demand(30.0, false), 0);
    assert_eq!(quota(&lease), ENGINE_LIMIT);
    let late_commit =
        lease_table.commit(first, stalled_lease.id, Micros(61), usage(8.0, Micros(900)));
    assert!(!late_commit.is_valid, "its decisions must not be sent");
    assert_eq!(lease_table.expired_lease_count(), 1);
    assert!(
        lease_table
            .commit(second, lease.id, Micros(62), usage(8.0, Micros(900)))
            .is_valid
    );
}

#[test]
fn attempts_of_a_silent_shard_count_until_they_must_have_ended() {
    let mut lease_table = LeaseTable::new(terms(2));
    let (silent, other) = (ShardId(0), ShardId(1));
    let lease = lease_table.acquire(silent, Micros(0), &demand(8.0, false), 0);
    assert!(
        lease_table
            .commit(silent, lease.id, Micros(1), usage(8.0, Micros(500)))
            .is_valid
    );
    let lease = lease_table.acquire(other, Micros(400), &demand(30.0, false), 0);
    assert_eq!(
        (
            quota(&lease),
            lease.siblings.engines[0].usage.table_groups.len()
        ),
        (2.0, 1)
    );
    let lease = lease_table.acquire(other, Micros(600), &demand(30.0, false), 0);
    assert_eq!(quota(&lease), ENGINE_LIMIT);
}

#[test]
fn a_crashed_shard_has_nothing_in_flight_but_its_work_sent_to_a_cold_engine_counts() {
    let mut lease_table = LeaseTable::new(terms(2));
    let (crashed, other) = (ShardId(0), ShardId(1));
    let lease = lease_table.acquire(crashed, Micros(0), &demand(8.0, true), 0);
    let mut published_usage = usage(8.0, Micros(500));
    published_usage.work_sent_core_s = vec![(EngineId(1), 2.5)];
    assert!(
        lease_table
            .commit(crashed, lease.id, Micros(1), published_usage)
            .is_valid
    );
    lease_table.remove_crashed_shard(crashed);
    for shard in [other, crashed] {
        let lease = lease_table.acquire(shard, Micros(100), &demand(8.0, true), 0);
        let sibling_usage = &lease.siblings.engines[0];
        assert_eq!(
            (sibling_usage.usage.threads, sibling_usage.cold_work_core_s),
            (0.0, 2.5)
        );
        assert!(
            lease_table
                .commit(shard, lease.id, Micros(101), usage(0.0, Micros(0)))
                .is_valid
        );
    }
}

#[test]
fn only_one_shard_at_a_time_holds_a_lease_on_a_cold_engine() {
    let mut lease_table = LeaseTable::new(terms(2));
    let first = lease_table.acquire(ShardId(0), Micros(0), &demand(4.0, true), 0);
    let second = lease_table.acquire(ShardId(1), Micros(0), &demand(4.0, true), 0);
    assert_eq!((quota(&first), quota(&second)), (4.0, 0.0));
    assert!(
        lease_table
            .commit(ShardId(0), first.id, Micros(1), usage(0.0, Micros(0)))
            .is_valid
    );
    let second = lease_table.acquire(ShardId(1), Micros(2), &demand(4.0, true), 0);
    assert_eq!(quota(&second), 4.0);
}

#[test]
fn all_shards_share_one_credit() {
    let mut lease_table = LeaseTable::new(terms(2));
    for (shard, change) in [(0, 0.5), (1, 0.75)] {
        let lease = lease_table.acquire(ShardId(shard), Micros(0), &demand(0.0, false), 0);
        let published_usage = ShardUsage {
            class_credit: vec![change, -change],
            tenant_credit: vec![vec![], vec![change]],
            ..ShardUsage::default()
        };
        assert!(
            lease_table
                .commit(ShardId(shard), lease.id, Micros(1), published_usage)
                .is_valid
        );
    }
    let lease = lease_table.acquire(ShardId(0), Micros(2), &demand(0.0, false), 0);
    assert_eq!(lease.siblings.class_credit, [1.25, -1.25]);
    assert_eq!(lease.siblings.tenant_credit, [vec![], vec![1.25]]);
}

#[test]
fn usage_of_a_peer_process_counts_for_every_shard_until_it_must_have_ended() {
    let mut lease_table = LeaseTable::new(terms(2));
    let peer_usage = |threads, all_ended_by| ShardUsage {
        waiting_requests: Vec::new(),
        ..usage(threads, all_ended_by)
    };
    lease_table.set_peer_process_usage(Micros(0), peer_usage(8.0, Micros(900)));
    for shard in [ShardId(0), ShardId(1)] {
        let lease = lease_table.acquire(shard, Micros(1), &demand(30.0, false), 0);
        let sibling_usage = &lease.siblings.engines[0].usage;
        assert_eq!(
            (quota(&lease), sibling_usage.threads),
            (ENGINE_LIMIT - 8.0, 8.0)
        );
        assert_eq!(lease.siblings.classes[0].threads, 8.0);
        assert!(sibling_usage.table_groups.contains(&TableGroupId(7)));
        let no_usage = peer_usage(0.0, Micros(0));
        assert!(
            lease_table
                .commit(shard, lease.id, Micros(2), no_usage)
                .is_valid
        );
    }
    // The peer process reports less usage and then nothing more: it may have crashed.
    lease_table.set_peer_process_usage(Micros(3), peer_usage(4.0, Micros(900)));
    let lease = lease_table.acquire(ShardId(0), Micros(4), &demand(30.0, false), 0);
    assert_eq!(quota(&lease), ENGINE_LIMIT - 4.0);
    let lease = lease_table.acquire(ShardId(0), Micros(1000), &demand(30.0, false), 0);
    assert_eq!(quota(&lease), ENGINE_LIMIT);
}
