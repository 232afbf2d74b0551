//! Tests of the engine model: shared cores, slowdown under excess load, and the tolerance of cold engines.

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
        attempt_no: 0,
        class: 1,
        group: TableGroupId(0),
        threads: 4.0,
        memory_mb,
        priority,
        work,
        remaining_work: work,
        last_note_at: ms(0),
        started_at: ms(0),
    }
}

/// Seconds that a query takes while this many endless queries run, each with the same memory.
fn seconds_with_others(others: u64, memory_mb: f64, priority: usize) -> f64 {
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
    done.expect("the query ends") as f64 / 100.0
}

#[test]
fn cores_are_shared_by_priority_and_excess_threads_or_memory_slow_all_queries() {
    let alone = seconds_with_others(0, 100.0, 1);
    assert!((alone - 1.0).abs() < 0.02, "{alone}");
    assert!(
        (seconds_with_others(2, 100.0, 1) - 1.0).abs() < 0.02,
        "three queries of four threads fill the cores"
    );
    let (crowded, prioritized) = (
        seconds_with_others(11, 100.0, 1),
        seconds_with_others(11, 100.0, 3),
    );
    assert!(
        crowded > 4.5,
        "excess threads reduce the throughput: {crowded}"
    );
    assert!(
        prioritized < crowded / 2.0,
        "a higher priority gets more: {prioritized}"
    );
    assert!(
        seconds_with_others(2, 12_000.0, 1) > 3.0,
        "missing memory slows all queries"
    );
}

#[test]
fn a_cold_engine_has_reduced_capacity_and_tolerates_the_allowed_overload() {
    let settings = settings();
    let mut engine = engine(ms(10_000));
    assert!((engine.capacity_share(ms(10_000), &settings) - 0.3).abs() < 1e-9);
    assert!((engine.capacity_share(ms(30_000), &settings) - 1.0).abs() < 1e-9);
    // 0.3 of 12 cores times the overload multiple of 4 is 3.6 queries of 4 core seconds; 3.8 (two standard
    // deviations, each the root of 3.6) and 2 more are tolerated.
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
