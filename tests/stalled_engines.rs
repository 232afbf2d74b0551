//! Stalled engines, on which queries hardly progress, and their detection by one of many gateways.

mod common;
use common::*;
use sedgebeam_core::*;

/// 64 gateways that may probe engines; queries of every class wait for loads of their table group.
fn many_gateways() -> Settings {
    let waits_for_load = |class: Class| Class {
        waits_for_load: true,
        ..class
    };
    let settings = settings();
    Settings {
        gateways: 64,
        may_probe: true,
        load_reports: LoadReportMode::InProbes,
        classes: settings.classes.into_iter().map(waits_for_load).collect(),
        ..settings
    }
}

/// A gateway with eight engines that has learned how long light queries usually take.
fn trained_harness(settings: Settings) -> Harness {
    let mut harness = Harness::with_engines(settings, 8);
    for id in 1000..1020 {
        harness.submit(id, LIGHT);
        for engine in 1..=8 {
            harness.end_attempt(id, 0, engine, Outcome::Ok);
        }
    }
    harness
}

/// Guards against trusting the load report of a stalled engine: it looks idle, because queries that wait for its
/// disks use no cores. It got more queries than any other engine and never recovered.
#[test]
fn a_stalled_engine_is_ejected_and_its_queries_go_to_other_engines() {
    let mut harness = trained_harness(many_gateways());
    let stalled_engine = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    harness.now = harness.now + ms(700);
    let slow_note = Event::Note(RequestId(1), AttemptNo(0), Note::Progress(0.01));
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(harness.handle(slow_note), vec![cancel]);
    let retry_target = sent_to(&harness.end_attempt(1, 0, stalled_engine, Outcome::Cancelled));
    assert!(
        retry_target.is_some_and(|target| target != stalled_engine),
        "{retry_target:?}"
    );
    harness.end_attempt(1, 1, retry_target.unwrap_or_default(), Outcome::Ok);
    // It replies to probes and reports almost no load.
    let idle = LoadReport {
        busy_cores_share: Some(0.05),
        ..LoadReport::default()
    };
    harness.handle(Event::Probed(
        EngineId(stalled_engine),
        Outcome::Ok,
        Some(idle),
    ));
    for id in 10..60 {
        let target = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
        assert_ne!(target, stalled_engine);
        harness.end_attempt(id, 0, target, Outcome::Ok);
    }
    // It gets a trial after the ejection.
    let mut had_trial = false;
    for id in 100..400 {
        harness.advance(100);
        let target = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
        had_trial |= target == stalled_engine;
        harness.end_attempt(id, 0, target, Outcome::Ok);
    }
    assert!(had_trial);
}

/// A note that an attempt has started does not indicate how fast it progresses.
#[test]
fn an_attempt_that_has_only_started_is_not_stalled() {
    let mut harness = trained_harness(many_gateways());
    harness.submit(1, LIGHT);
    harness.now = harness.now + ms(6);
    let started = Event::Note(RequestId(1), AttemptNo(0), Note::Progress(0.0));
    assert_eq!(harness.handle(started), vec![]);
}

/// A heavy query, or one on a busy engine, may progress too slowly for its client although the engine is not
/// stalled.
#[test]
fn a_query_that_progresses_is_not_cancelled() {
    let mut harness = trained_harness(many_gateways());
    harness.submit(1, LIGHT);
    harness.now = harness.now + ms(200);
    let progress = Event::Note(RequestId(1), AttemptNo(0), Note::Progress(0.8));
    assert_eq!(harness.handle(progress), vec![]);
}

/// If a probe costs a considerable share of a request's worth, fewer are sent, and they are not repeated
/// while the request waits.
#[test]
fn the_more_a_probe_costs_the_fewer_are_sent() {
    let probe_count = |probe_cost: f64| {
        let settings = Settings {
            probe_cost,
            ..many_gateways()
        };
        let mut harness = trained_harness(settings);
        let mut actions = harness.submit(1, HEAVY);
        actions.extend(harness.advance(1000));
        actions
            .iter()
            .filter(|action| matches!(action, Action::Probe { .. }))
            .count()
    };
    let counts = [0.0, 0.01, 0.08, 1.0].map(probe_count);
    assert!(counts.is_sorted_by(|a, b| a >= b), "{counts:?}");
    assert!(counts[0] > 3 && counts[3] == 0, "{counts:?}");
    assert!((1..=3).contains(&counts[2]), "{counts:?}");
}

/// Guards against ejecting an engine for one stalled attempt if there are few gateways: one of three gateways
/// lost a third of the capacity that it could use.
#[test]
fn one_of_few_gateways_ejects_no_engine_for_one_stalled_attempt() {
    let few_gateways = Settings {
        gateways: 3,
        ..many_gateways()
    };
    let mut harness = trained_harness(few_gateways);
    harness.submit(1, LIGHT);
    harness.now = harness.now + ms(700);
    let slow_note = Event::Note(RequestId(1), AttemptNo(0), Note::Progress(0.01));
    assert_eq!(harness.handle(slow_note), vec![]);
}

/// Guards against limits shorter than the interval of checks: look-ups of a class that usually take half a
/// millisecond were cancelled after three milliseconds, on every retry, and refused although an answer was about
/// to arrive.
#[test]
fn an_attempt_is_not_overdue_within_a_few_check_intervals() {
    let mut harness = Harness::with_engines(settings(), 2);
    for id in 1..=40 {
        let target = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
        let Event::Ended(end) = attempt_ended(id, 0, target, Outcome::Ok, true) else {
            unreachable!()
        };
        let elapsed = Micros(500);
        harness.handle(Event::Ended(AttemptEnded { elapsed, ..end }));
    }
    assert!(sent_to(&harness.submit(100, LIGHT)).is_some());
    let actions: Actions = (0..4).flat_map(|_| harness.advance(10)).collect();
    let is_cancel = |action: &Action| matches!(action, Action::Cancel { .. });
    assert!(!actions.iter().any(is_cancel), "{actions:?}");
}

/// A note that the first attempt of a request has done only a hundredth of its work.
fn slow_progress_note(id: u64) -> Event {
    Event::Note(RequestId(id), AttemptNo(0), Note::Progress(0.01))
}

/// Guards against taking a bad plan for a stalled engine: in a class with many bad plans, each one ejected an
/// engine for seconds.
#[test]
fn a_bad_plan_on_an_engine_that_answers_others_quickly_ejects_no_engine() {
    let mut harness = trained_harness(many_gateways());
    let engine = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    let other = (2..40).find(|id| sent_to(&harness.submit(*id, LIGHT)) == Some(engine));
    let other = other.expect("one of many requests goes to the same engine");
    harness.now = harness.now + ms(50);
    harness.end_attempt(other, 0, engine, Outcome::Ok);
    harness.now = harness.now + ms(650);
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(
        harness.handle(slow_progress_note(1)),
        vec![cancel],
        "the query is cancelled, to be retried"
    );
    assert_eq!(
        harness.gateway.ejected_engines(),
        vec![],
        "no engine is ejected"
    );
}

/// An answer from before the attempt does not indicate the engine's present state.
#[test]
fn an_answer_from_before_the_attempt_does_not_prove_that_the_engine_is_healthy() {
    let mut harness = trained_harness(many_gateways());
    harness.submit(1, LIGHT);
    harness.now = harness.now + ms(700);
    harness.handle(slow_progress_note(1));
    assert_eq!(harness.gateway.ejected_engines().len(), 1);
}

/// Guards against ejecting an engine that has just started because it is as slow as any cold engine.
#[test]
fn an_attempt_as_fast_as_a_cold_engine_allows_is_not_stalled() {
    let is_ejected = |started_ms_ago: Option<u64>| {
        let mut harness = Harness::with_engines(many_gateways(), 8);
        for id in 1000..1020 {
            let engine = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
            harness.end_attempt(id, 0, engine, Outcome::Ok);
        }
        let engine = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
        if let Some(started_ms_ago) = started_ms_ago {
            // The engine list reports the start only now.
            let started_at = Micros(harness.now.0 - ms(started_ms_ago).0);
            harness.update_engine(Engine {
                started_at,
                ..common::engine(engine)
            });
        }
        harness.now = harness.now + ms(300);
        let note = Event::Note(RequestId(1), AttemptNo(0), Note::Progress(0.6));
        harness.handle(note);
        !harness.gateway.ejected_engines().is_empty()
    };
    assert!(
        is_ejected(None),
        "six such queries would usually have been answered in this time"
    );
    assert!(
        !is_ejected(Some(0)),
        "a cold engine has a third of its capacity"
    );
}
