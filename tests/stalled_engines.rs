//! Engines on which everything stands nearly still, seen by one of many gateways.

mod common;
use common::*;
use sedgebeam_core::*;

fn crowd() -> Settings {
    let waits = |class: Class| Class {
        waits_for_load: true,
        ..class
    };
    let settings = settings();
    Settings {
        gateways: 64,
        may_probe: true,
        load_reports: LoadReportMode::InProbes,
        classes: settings.classes.into_iter().map(waits).collect(),
        ..settings
    }
}

/// Eight engines, of which the gateway knows how long its queries usually take.
fn experienced(settings: Settings) -> Harness {
    let mut harness = Harness::with_engines(settings, 8);
    for id in 1000..1020 {
        harness.submit(id, LIGHT);
        for engine in 1..=8 {
            harness.end_attempt(id, 0, engine, Outcome::Ok);
        }
    }
    harness
}

/// Without this a jammed engine, which is told of as idle since what waits for its disks takes no cores, was
/// sent more than any other, and never got over it.
#[test]
fn an_engine_on_which_queries_hardly_move_is_left_alone_and_they_go_elsewhere() {
    let mut harness = experienced(crowd());
    let jammed = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    harness.now = harness.now + ms(700);
    let hardly = Event::Note(RequestId(1), AttemptNo(0), Note::Progress(0.01));
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(harness.handle(hardly), vec![cancel]);
    let again = sent_to(&harness.end_attempt(1, 0, jammed, Outcome::Cancelled));
    assert!(again.is_some_and(|to| to != jammed), "{again:?}");
    harness.end_attempt(1, 1, again.unwrap_or_default(), Outcome::Ok);
    // It answers when asked, and has nothing to do by what it tells.
    let idle = LoadReport {
        busy_cores_share: Some(0.05),
        ..LoadReport::default()
    };
    harness.handle(Event::Probed(EngineId(jammed), Outcome::Ok, Some(idle)));
    for id in 10..60 {
        let to = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
        assert_ne!(to, jammed);
        harness.end_attempt(id, 0, to, Outcome::Ok);
    }
    // It is tried again once it has rested.
    let mut tried = false;
    for id in 100..400 {
        harness.advance(100);
        let to = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
        tried |= to == jammed;
        harness.end_attempt(id, 0, to, Outcome::Ok);
    }
    assert!(tried);
}

/// An engine that tells of each beginning at once has said nothing of how it goes on.
#[test]
fn what_has_only_begun_is_not_stuck() {
    let mut harness = experienced(crowd());
    harness.submit(1, LIGHT);
    harness.now = harness.now + ms(6);
    let begun = Event::Note(RequestId(1), AttemptNo(0), Note::Progress(0.0));
    assert_eq!(harness.handle(begun), vec![]);
}

/// What is heavy, or on a busy engine, moves too slowly for its client but is not stuck.
#[test]
fn a_query_that_moves_is_left_where_it_is() {
    let mut harness = experienced(crowd());
    harness.submit(1, LIGHT);
    harness.now = harness.now + ms(200);
    let half = Event::Note(RequestId(1), AttemptNo(0), Note::Progress(0.8));
    assert_eq!(harness.handle(half), vec![]);
}

/// Where a probe costs a good part of what a request is worth, fewer are sent, and not again while it waits.
#[test]
fn the_dearer_a_probe_the_fewer_are_asked() {
    let probes = |price: f64| {
        let settings = Settings {
            probe_cost: price,
            ..crowd()
        };
        let mut harness = experienced(settings);
        let mut done = harness.submit(1, HEAVY);
        done.extend(harness.advance(1000));
        done.iter()
            .filter(|action| matches!(action, Action::Probe { .. }))
            .count()
    };
    let counts = [0.0, 0.01, 0.08, 1.0].map(probes);
    assert!(counts.is_sorted_by(|a, b| a >= b), "{counts:?}");
    assert!(counts[0] > 3 && counts[3] == 0, "{counts:?}");
    assert!((1..=3).contains(&counts[2]), "{counts:?}");
}

/// Without this one stuck attempt took an engine from one of three gateways, and a third of its room with it.
#[test]
fn one_of_few_gateways_sets_no_engine_aside_for_one_stuck_attempt() {
    let few = Settings {
        gateways: 3,
        ..crowd()
    };
    let mut harness = experienced(few);
    harness.submit(1, LIGHT);
    harness.now = harness.now + ms(700);
    let hardly = Event::Note(RequestId(1), AttemptNo(0), Note::Progress(0.01));
    assert_eq!(harness.handle(hardly), vec![]);
}

/// Without this a look-up whose like had taken half a millisecond was called off after three, each time it was
/// tried, and refused while its answer was on the way.
#[test]
fn what_is_answered_between_two_looks_is_not_overdue_soon() {
    let mut harness = Harness::with_engines(settings(), 2);
    for id in 1..=40 {
        let sent = sent_to(&harness.submit(id, LIGHT)).expect("is sent");
        let Event::Ended(end) = attempt_ended(id, 0, sent, Outcome::Ok, true) else {
            unreachable!()
        };
        let took = Micros(500);
        harness.handle(Event::Ended(AttemptEnded {
            elapsed: took,
            ..end
        }));
    }
    assert!(sent_to(&harness.submit(100, LIGHT)).is_some());
    let done: Actions = (0..4).flat_map(|_| harness.advance(10)).collect();
    let called_off = |action: &Action| matches!(action, Action::Cancel { .. });
    assert!(!done.iter().any(called_off), "{done:?}");
}

/// A note by which the first attempt of a request has hardly begun.
fn hardly_moves(id: u64) -> Event {
    Event::Note(RequestId(id), AttemptNo(0), Note::Progress(0.01))
}

/// Without this each bad plan of a class that has many took an engine from the gateway for seconds.
#[test]
fn a_bad_plan_on_an_engine_that_answers_others_quickly_sets_no_engine_aside() {
    let mut harness = experienced(crowd());
    let engine = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    let other = (2..40).find(|id| sent_to(&harness.submit(*id, LIGHT)) == Some(engine));
    let other = other.expect("one of many goes to the same engine");
    harness.now = harness.now + ms(50);
    harness.end_attempt(other, 0, engine, Outcome::Ok);
    harness.now = harness.now + ms(650);
    let called_off = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(
        harness.handle(hardly_moves(1)),
        vec![called_off],
        "it goes elsewhere"
    );
    assert_eq!(
        harness.gateway.ejected_engines(),
        vec![],
        "no engine is set aside"
    );
}

/// An answer from before the attempt tells nothing of how the engine is now.
#[test]
fn an_answer_from_before_the_attempt_is_no_sign_that_the_engine_is_well() {
    let mut harness = experienced(crowd());
    harness.submit(1, LIGHT);
    harness.now = harness.now + ms(700);
    harness.handle(hardly_moves(1));
    assert_eq!(harness.gateway.ejected_engines().len(), 1);
}

/// Without this an engine that had just started was set aside for being as slow as one that has just started.
#[test]
fn what_moves_as_fast_as_a_starting_engine_can_is_not_stuck() {
    let stuck_at = |started_ago: Option<u64>| {
        let mut harness = Harness::with_engines(crowd(), 8);
        for id in 1000..1020 {
            let engine = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
            harness.end_attempt(id, 0, engine, Outcome::Ok);
        }
        let engine = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
        if let Some(ago) = started_ago {
            // The list names its start only now.
            let started_at = Micros(harness.now.0 - ms(ago).0);
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
    assert!(stuck_at(None), "it would have been answered six times over");
    assert!(!stuck_at(Some(0)), "it does a third of what it will");
}
