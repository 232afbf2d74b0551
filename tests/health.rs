//! Engine health: ejection of failing engines, cancellation of lost attempts and retries on other engines.

mod common;

use common::*;
use sedgebeam_core::*;

/// Submits queries one at a time, each answered at once; returns the engines that they were sent to.
fn answered_targets(harness: &mut Harness, first_id: u64, count: u64) -> Vec<u64> {
    let mut targets = Vec::new();
    for id in first_id..first_id + count {
        let query = Query {
            table_group: TableGroupId(id),
            ..query(id, LIGHT)
        };
        let target = sent_to(&harness.handle(Event::Request(query))).expect("an engine is ready");
        harness.end_attempt(id, 0, target, Outcome::Ok);
        targets.push(target);
    }
    targets
}

#[test]
fn a_failing_engine_is_ejected_and_returns_after_a_trial() {
    let mut harness = Harness::with_engines(settings(), 3);
    let failing_engine = fail_twice(&mut harness, Outcome::Reset);
    assert!(!answered_targets(&mut harness, 10, 60).contains(&failing_engine));
    harness.advance(1100);
    assert!(
        answered_targets(&mut harness, 100, 60).contains(&failing_engine),
        "a trial follows the ejection"
    );
}

#[test]
fn failures_of_all_engines_do_not_eject_them_all() {
    let mut harness = Harness::with_engines(settings(), 3);
    for id in 1..=12 {
        harness.submit(id, LIGHT);
        for attempt_no in 0..3 {
            for engine in 1..=3 {
                harness.end_attempt(id, attempt_no, engine, Outcome::Reset);
            }
        }
    }
    assert!(
        sent_to(&harness.submit(50, LIGHT)).is_some(),
        "the last eligible engines stay in use"
    );
}

#[test]
fn a_silent_engine_gets_no_new_queries_and_its_repeatable_ones_go_to_another_engine() {
    let mut harness = Harness::with_engines(settings(), 3);
    let silent_engine = sent_to(&harness.submit(1, HEAVY)).expect("an engine is ready");
    let actions = harness.advance(2600);
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(
        actions,
        vec![cancel],
        "the attempt is cancelled well before its timeout of 15 s"
    );
    let retry_target = sent_to(&harness.end_attempt(1, 0, silent_engine, Outcome::Cancelled))
        .expect("a retry is sent");
    assert_ne!(retry_target, silent_engine);
    assert!(!answered_targets(&mut harness, 10, 60).contains(&silent_engine));
}

#[test]
fn an_engine_that_sends_notes_does_not_count_as_silent() {
    let mut harness = Harness::with_engines(settings(), 3);
    harness.submit(1, HEAVY);
    for step in 1..=5 {
        assert_eq!(harness.advance(1000), vec![]);
        let note = Note::Progress(0.15 * f64::from(step));
        assert_eq!(
            harness.handle(Event::Note(RequestId(1), AttemptNo(0), note)),
            vec![]
        );
    }
}

#[test]
fn a_query_with_a_bad_plan_is_cancelled_but_a_load_is_not() {
    let mut harness = Harness::with_engines(settings(), 3);
    for (id, class) in [(1, HEAVY), (2, LOAD)] {
        let target = sent_to(&harness.submit(id, class)).expect("an engine is ready");
        let Event::Ended(end) = attempt_ended(id, 0, target, Outcome::Ok, true) else {
            unreachable!()
        };
        harness.handle(Event::Ended(AttemptEnded {
            elapsed: ms(1000),
            ..end
        }));
    }
    harness.submit(3, HEAVY);
    harness.submit(4, LOAD);
    harness.now = harness.now + ms(1000);
    let slow_progress = Note::Progress(0.05);
    let cancel = Action::Cancel {
        request: RequestId(3),
        attempt: AttemptNo(0),
    };
    assert_eq!(
        harness.handle(Event::Note(RequestId(3), AttemptNo(0), slow_progress)),
        vec![cancel]
    );
    assert_eq!(
        harness.handle(Event::Note(RequestId(4), AttemptNo(0), slow_progress)),
        vec![]
    );
}

#[test]
fn a_restarted_gateway_uses_its_saved_engine_list() {
    let mut harness = Harness::new(settings());
    harness.handle(Event::List {
        kind: ListKind::Saved,
        engines: vec![engine(1), engine(2)],
    });
    assert!(sent_to(&harness.submit(1, LIGHT)).is_some());
}

#[test]
fn the_engine_list_is_subscribed_to_on_request_and_again_after_a_failure() {
    let mut harness = Harness::new(Settings {
        list_mode: ListMode::OnRequest,
        ..settings()
    });
    assert_eq!(
        harness
            .handle_all(vec![])
            .iter()
            .filter(|action| **action == Action::SubscribeToEngineList)
            .count(),
        1
    );
    harness.handle(Event::ListFailed);
    assert_eq!(harness.advance(1900), vec![]);
    assert_eq!(harness.advance(200), vec![Action::SubscribeToEngineList]);
}

#[test]
fn zero_settings_and_unknown_kinds_and_classes_are_tolerated() {
    let default_settings = Settings {
        classes: vec![Class::default()],
        kinds: vec![Kind::default()],
        ..Settings::default()
    };
    let mut harness = Harness::new(default_settings);
    harness.set_engines(vec![
        Engine {
            kind: Some(KindId(9)),
            ..engine(1)
        },
        Engine::ready(EngineId(2)),
        engine(3),
    ]);
    assert!(sent_to(&harness.submit(1, 0)).is_some());
    assert_eq!(harness.submit(2, 7), vec![], "the class is unknown");
    harness.advance(100);
    let mut without_classes = Harness::new(Settings::default());
    assert_eq!(without_classes.submit(1, 0), vec![]);
}

#[test]
fn a_lost_attempt_is_retried_on_another_engine_long_before_its_deadline() {
    // Guards against engines that lose some queries and answer the others.
    let mut harness = Harness::with_engines(settings(), 3);
    answered_targets(&mut harness, 10, 30);
    let lossy_engine = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(
        harness.advance(200),
        vec![],
        "the attempt has taken four times as long as a new one usually takes"
    );
    assert_eq!(harness.advance(100), vec![cancel]);
    let retry_target = sent_to(&harness.end_attempt(1, 0, lossy_engine, Outcome::Cancelled))
        .expect("a retry is sent");
    assert_ne!(retry_target, lossy_engine);
}

/// Lets one engine fail two queries, which other engines then answer. Returns that engine.
fn fail_twice(harness: &mut Harness, outcome: Outcome) -> u64 {
    let failing_engine = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    for id in [1, 2] {
        if id == 2 {
            assert_eq!(sent_to(&harness.submit(2, LIGHT)), Some(failing_engine));
        }
        let retry_target =
            sent_to(&harness.end_attempt(id, 0, failing_engine, outcome)).expect("a retry is sent");
        assert_ne!(retry_target, failing_engine);
        harness.end_attempt(id, 1, retry_target, Outcome::Ok);
    }
    failing_engine
}

/// Guards against counting an error as a sign of health: errors ended an engine's trial and reset its count of
/// consecutive failures, so that an engine that failed fast attracted traffic.
#[test]
fn an_engine_that_fails_queries_which_others_answer_is_ejected() {
    let mut harness = Harness::with_engines(settings(), 3);
    let failing_engine = fail_twice(&mut harness, Outcome::Error);
    assert!(!answered_targets(&mut harness, 10, 60).contains(&failing_engine));
}

/// Guards against ejecting engines for the errors of invalid requests: the engines were ejected one after
/// another, and the remaining ones got all the traffic.
#[test]
fn a_request_that_fails_on_every_engine_ejects_none() {
    let mut harness = Harness::with_engines(settings(), 3);
    for id in 1..=6 {
        let target = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
        let retry_target =
            sent_to(&harness.end_attempt(id, 0, target, Outcome::Error)).expect("a retry is sent");
        harness.end_attempt(id, 1, retry_target, Outcome::Error);
        harness.handle(Event::ClientLeft(RequestId(id)));
        assert!(
            answered_targets(&mut harness, 100 * id, 60).contains(&target),
            "request {id}"
        );
    }
}

#[test]
fn a_query_that_waits_for_the_load_of_another_gateway_goes_to_another_engine() {
    let mut settings = settings();
    settings.classes[HEAVY].waits_for_load = true;
    let mut harness = Harness::with_engines(settings, 3);
    let loading_engine = sent_to(&harness.submit(1, HEAVY)).expect("an engine is ready");
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    let note = Event::Note(RequestId(1), AttemptNo(0), Note::WaitsForLoad);
    assert_eq!(harness.handle(note), vec![cancel]);
    let retry_target = sent_to(&harness.end_attempt(1, 0, loading_engine, Outcome::Cancelled));
    assert!(
        retry_target.is_some_and(|target| target != loading_engine),
        "{retry_target:?}"
    );
    let next_target = sent_to(&harness.submit(2, HEAVY));
    assert!(
        next_target.is_some_and(|target| target != loading_engine),
        "{next_target:?}"
    );
}

/// Guards against exempting queries that may wait for loads from the detection of lost attempts: a lost attempt
/// stayed in flight until its deadline. An attempt without a note does not wait for a load.
#[test]
fn an_attempt_without_notes_is_lost_even_if_it_may_wait_for_a_load() {
    let mut settings = settings();
    settings.classes[LIGHT].waits_for_load = true;
    let mut harness = Harness::with_engines(settings, 3);
    answered_targets(&mut harness, 10, 30);
    harness.submit(1, LIGHT);
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(
        harness.advance(350),
        vec![],
        "the attempt has taken seven times as long as a new one usually takes"
    );
    assert_eq!(harness.advance(100), vec![cancel]);
}

/// Guards against an attempt that stayed in flight until its deadline, although its engine had lost it and
/// answered other attempts.
#[test]
fn an_attempt_without_notes_from_a_healthy_engine_is_lost() {
    let mut harness = Harness::with_engines(settings(), 3);
    let target = sent_to(&harness.submit(1, HEAVY)).expect("an engine is ready");
    let mut actions = Vec::new();
    for _ in 0..6 {
        harness.handle(Event::Probed(EngineId(target), Outcome::Ok, None));
        actions.extend(harness.advance(500));
    }
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(actions, vec![cancel]);
}
