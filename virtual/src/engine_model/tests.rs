//! Tests of the engine model.

use super::*;
use crate::Deployment;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn settings() -> Settings {
    Deployment::standard(1, 1).settings
}

fn engine(started_at: Micros) -> EngineModel {
    EngineModel::new(EngineId(1), ZoneId(0), started_at)
}

/// A query of a heavy class.
fn query(work: f64, memory_mb: f64, priority: usize) -> RunningQuery {
    RunningQuery {
        gateway: 0,
        attempt: 0,
        class: 1,
        group: TableGroupId(0),
        threads: 4.0,
        memory_mb,
        priority,
        work,
        work_left: work,
        last_note_at: ms(0),
        started_at: ms(0),
    }
}

/// Seconds until a query is done beside so many endless ones, all of this memory.
fn seconds_beside(others: u64, memory_mb: f64, priority: usize) -> f64 {
    let mut engine = engine(Micros(0));
    for id in 0..=others {
        let query = if id == 0 {
            query(4.0, memory_mb, priority)
        } else {
            query(1e6, memory_mb, 1)
        };
        let group = TableGroupId(id);
        let query = RunningQuery { group, ..query };
        engine.start(ms(0), RequestId(id), query, true);
    }
    let settings = settings();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let done = (1..100_000).find(|tick| {
        let reports = engine.advance(ms(10 * tick), ms(10), &settings, &mut rng);
        reports.contains(&(RequestId(0), QueryReport::Done))
    });
    done.expect("it ends") as f64 / 100.0
}

#[test]
fn cores_are_shared_by_priority_and_crowds_and_missing_memory_slow_all() {
    let alone = seconds_beside(0, 100.0, 1);
    assert!((alone - 1.0).abs() < 0.02, "{alone}");
    assert!(
        (seconds_beside(2, 100.0, 1) - 1.0).abs() < 0.02,
        "three fill the cores"
    );
    let (crowd, first) = (seconds_beside(11, 100.0, 1), seconds_beside(11, 100.0, 3));
    assert!(crowd > 4.5, "a crowd does less than its cores: {crowd}");
    assert!(first < crowd / 2.0, "the first by priority: {first}");
    assert!(seconds_beside(2, 12_000.0, 1) > 3.0, "missing memory");
}

#[test]
fn a_cold_engine_can_do_its_part_and_bears_what_the_settings_allow() {
    let settings = settings();
    let mut engine = engine(ms(10_000));
    assert!((engine.warm_share(ms(10_000), &settings) - 0.3).abs() < 1e-9);
    assert!((engine.warm_share(ms(30_000), &settings) - 1.0).abs() < 1e-9);
    // 12 cores, 0.3 of them, four times that: 3.6 queries of 4 core seconds, 3.8 and 2 more by chance.
    for id in 0..9 {
        engine.start(ms(10_000), RequestId(id), query(4.0, 1.0, 1), true);
    }
    assert!(engine.overload(ms(10_000), &settings, 4.0) < 1.0);
    engine.start(ms(10_000), RequestId(99), query(4.0, 1.0, 1), false);
    assert!((engine.informed_share() - 9.0 / 10.0).abs() < 1e-9);
    assert!(engine.overload(ms(10_000), &settings, 4.0) > 1.0);
    assert_eq!(
        engine.overload(ms(11_100), &settings, 4.0),
        0.0,
        "the window is over"
    );
}
