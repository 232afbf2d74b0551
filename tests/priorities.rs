//! Classes that go ahead of others on an engine, where engines heed priorities, seen by one of many gateways.

mod common;
use common::*;
use sedgebeam_core::*;

/// Many gateways before engines that tell their load with each answer.
fn settings_with_reports(takes_priorities: bool) -> Settings {
    Settings {
        gateways: 64,
        load_reports: LoadReportMode::InAnswers,
        takes_priorities,
        ..settings()
    }
}

/// A gateway that has been told so much load by all of its engines.
fn bench_told(settings: Settings, load: LoadReport) -> Harness {
    let mut harness = Harness::with_engines(settings, 8);
    for id in 1000..1016 {
        if let Some(engine) = sent_to(&harness.submit(id, LIGHT)) {
            harness.end_attempt(id, 0, engine, Outcome::Ok);
        }
    }
    for engine in 1..=8 {
        harness.handle(Event::Probed(EngineId(engine), Outcome::Ok, Some(load)));
    }
    harness
}

fn is_sent(settings: Settings, load: LoadReport, class: usize) -> bool {
    let mut harness = bench_told(settings, load);
    sent_to(&harness.submit(1, class)).is_some()
}

/// Every core has work: what goes ahead of it is still served at once.
const BUSY: LoadReport = LoadReport {
    busy_cores_share: Some(1.0),
    active_queries: None,
    queries_waiting_for_memory: None,
    granted_memory_share: None,
};

/// Without this the light class was hardly served while heavy queries kept all engines busy.
#[test]
fn a_light_class_goes_to_engines_that_heavy_queries_keep_busy() {
    assert!(is_sent(settings_with_reports(true), BUSY, LIGHT));
    assert!(!is_sent(settings_with_reports(true), BUSY, HEAVY));
}

#[test]
fn where_priorities_are_not_heeded_no_class_goes_ahead() {
    assert!(!is_sent(settings_with_reports(false), BUSY, LIGHT));
}

/// Many more queries than cores are no room for anybody.
#[test]
fn a_light_class_waits_where_far_more_runs_than_the_engine_bears() {
    let crowded = LoadReport {
        active_queries: Some(64.0),
        ..BUSY
    };
    assert!(!is_sent(settings_with_reports(true), crowded, LIGHT));
}
