//! Light classes that run ahead of others on engines that apply priorities, in one of many gateways.

mod common;
use common::*;
use sedgebeam_core::*;

/// Many gateways; engines report their load in each answer.
fn settings_with_reports(takes_priorities: bool) -> Settings {
    Settings {
        gateways: 64,
        load_reports: LoadReportMode::InAnswers,
        takes_priorities,
        ..settings()
    }
}

/// A gateway to which all engines have reported this load.
fn harness_with_reported_load(settings: Settings, load: LoadReport) -> Harness {
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
    let mut harness = harness_with_reported_load(settings, load);
    sent_to(&harness.submit(1, class)).is_some()
}

/// All cores are busy: only queries that run ahead of others are served at once.
const BUSY: LoadReport = LoadReport {
    busy_cores_share: Some(1.0),
    active_queries: None,
    queries_waiting_for_memory: None,
    granted_memory_share: None,
};

/// Guards against delaying light queries while heavy ones keep all engines busy: hardly any light query was
/// served.
#[test]
fn a_light_class_is_sent_to_engines_that_heavy_queries_keep_busy() {
    assert!(is_sent(settings_with_reports(true), BUSY, LIGHT));
    assert!(!is_sent(settings_with_reports(true), BUSY, HEAVY));
}

#[test]
fn no_class_runs_ahead_if_engines_ignore_priorities() {
    assert!(!is_sent(settings_with_reports(false), BUSY, LIGHT));
}

/// An engine with far more queries than cores has no free slot for any class.
#[test]
fn a_light_class_waits_if_engines_run_far_more_queries_than_cores() {
    let overloaded = LoadReport {
        active_queries: Some(64.0),
        ..BUSY
    };
    assert!(!is_sent(settings_with_reports(true), overloaded, LIGHT));
}
