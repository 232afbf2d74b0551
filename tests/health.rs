//! Engine health and further attempts.

mod common;

use common::*;
use sedgebeam_core::*;

/// Sends single queries and returns to which engines they went; each is answered at once.
fn probe(harness: &mut Harness, from: u64, count: u64) -> Vec<u64> {
    let mut seen = Vec::new();
    for id in from..from + count {
        let query = Query {
            table_group: TableGroupId(id),
            ..query(id, LIGHT)
        };
        let to = sent_to(&harness.handle(Event::Request(query))).expect("an engine is ready");
        harness.end_attempt(id, 0, to, Outcome::Ok);
        seen.push(to);
    }
    seen
}

#[test]
fn a_broken_engine_is_set_aside_and_let_back_by_a_trial() {
    let mut harness = Harness::with_engines(settings(), 3);
    let first = fails_twice(&mut harness, Outcome::Reset);
    assert!(!probe(&mut harness, 10, 60).contains(&first));
    harness.advance(1100);
    assert!(
        probe(&mut harness, 100, 60).contains(&first),
        "a trial after its rest"
    );
}

#[test]
fn trouble_common_to_all_sets_none_aside_for_good() {
    let mut harness = Harness::with_engines(settings(), 3);
    for id in 1..=12 {
        harness.submit(id, LIGHT);
        for attempt in 0..3 {
            for engine in 1..=3 {
                harness.end_attempt(id, attempt, engine, Outcome::Reset);
            }
        }
    }
    assert!(
        sent_to(&harness.submit(50, LIGHT)).is_some(),
        "the last eligible ones stay"
    );
}

#[test]
fn a_silent_engine_gets_nothing_new_and_its_repeatable_queries_go_elsewhere() {
    let mut harness = Harness::with_engines(settings(), 3);
    let hung = sent_to(&harness.submit(1, HEAVY)).expect("an engine is ready");
    let done = harness.advance(2600);
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(done, vec![cancel], "well before its time-out of 15 s");
    let again = sent_to(&harness.end_attempt(1, 0, hung, Outcome::Cancelled)).expect("another try");
    assert_ne!(again, hung);
    assert!(!probe(&mut harness, 10, 60).contains(&hung));
}

#[test]
fn notes_keep_an_engine_from_counting_as_silent() {
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
fn a_bad_plan_is_called_off_and_tried_elsewhere_but_a_load_is_not() {
    let mut harness = Harness::with_engines(settings(), 3);
    for (id, class) in [(1, HEAVY), (2, LOAD)] {
        let to = sent_to(&harness.submit(id, class)).expect("an engine is ready");
        let Event::Ended(end) = attempt_ended(id, 0, to, Outcome::Ok, true) else {
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
    let slow = Note::Progress(0.05);
    let cancel = Action::Cancel {
        request: RequestId(3),
        attempt: AttemptNo(0),
    };
    assert_eq!(
        harness.handle(Event::Note(RequestId(3), AttemptNo(0), slow)),
        vec![cancel]
    );
    assert_eq!(
        harness.handle(Event::Note(RequestId(4), AttemptNo(0), slow)),
        vec![]
    );
}

#[test]
fn a_restarted_gateway_serves_from_its_saved_list() {
    let mut harness = Harness::new(settings());
    harness.handle(Event::List {
        kind: ListKind::Saved,
        engines: vec![engine(1), engine(2)],
    });
    assert!(sent_to(&harness.submit(1, LIGHT)).is_some());
}

#[test]
fn asks_for_the_list_where_it_must_and_again_after_a_failure() {
    let mut harness = Harness::new(Settings {
        list_mode: ListMode::OnRequest,
        ..settings()
    });
    assert_eq!(
        harness
            .handle_all(vec![])
            .iter()
            .filter(|a| **a == Action::SubscribeToEngineList)
            .count(),
        1
    );
    harness.handle(Event::ListFailed);
    assert_eq!(harness.advance(1900), vec![]);
    assert_eq!(harness.advance(200), vec![Action::SubscribeToEngineList]);
}

#[test]
fn zero_and_unknown_settings_do_no_harm() {
    let bare = Settings {
        classes: vec![Class::default()],
        kinds: vec![Kind::default()],
        ..Settings::default()
    };
    let mut harness = Harness::new(bare);
    harness.set_engines(vec![
        Engine {
            kind: Some(KindId(9)),
            ..engine(1)
        },
        Engine::ready(EngineId(2)),
        engine(3),
    ]);
    assert!(sent_to(&harness.submit(1, 0)).is_some());
    assert_eq!(harness.submit(2, 7), vec![], "an unknown class");
    harness.advance(100);
    let mut none = Harness::new(Settings::default());
    assert_eq!(none.submit(1, 0), vec![]);
}

#[test]
fn an_attempt_that_got_lost_is_tried_elsewhere_long_before_its_deadline() {
    // Guards against incident i1f3ff0: engines that lose a part of what they get and answer the rest.
    let mut harness = Harness::with_engines(settings(), 3);
    probe(&mut harness, 10, 30);
    let lossy = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(harness.advance(200), vec![], "four times a fresh one");
    assert_eq!(harness.advance(100), vec![cancel]);
    let again =
        sent_to(&harness.end_attempt(1, 0, lossy, Outcome::Cancelled)).expect("another try");
    assert_ne!(again, lossy);
}

/// The same engine fails two queries that another one answers.
fn fails_twice(harness: &mut Harness, how: Outcome) -> u64 {
    let failing = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    for id in [1, 2] {
        if id == 2 {
            assert_eq!(sent_to(&harness.submit(2, LIGHT)), Some(failing));
        }
        let again = sent_to(&harness.end_attempt(id, 0, failing, how)).expect("another try");
        assert_ne!(again, failing);
        harness.end_attempt(id, 1, again, Outcome::Ok);
    }
    failing
}

/// Without this an error ended an engine's trial and cleared its strikes: one that fails fast drew traffic.
#[test]
fn an_engine_that_fails_what_others_can_do_is_set_aside() {
    let mut harness = Harness::with_engines(settings(), 3);
    let failing = fails_twice(&mut harness, Outcome::Error);
    assert!(!probe(&mut harness, 10, 60).contains(&failing));
}

/// Without this bad clients had all engines set aside in turn, and the rest got all the traffic.
#[test]
fn a_request_that_no_engine_can_use_sets_none_aside() {
    let mut harness = Harness::with_engines(settings(), 3);
    for id in 1..=6 {
        let to = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
        let next = sent_to(&harness.end_attempt(id, 0, to, Outcome::Error)).expect("another try");
        harness.end_attempt(id, 1, next, Outcome::Error);
        harness.handle(Event::ClientLeft(RequestId(id)));
        assert!(probe(&mut harness, 100 * id, 60).contains(&to), "{id}");
    }
}

#[test]
fn what_stands_still_behind_the_load_of_another_gateway_goes_elsewhere() {
    let mut settings = settings();
    settings.classes[HEAVY].waits_for_load = true;
    let mut harness = Harness::with_engines(settings, 3);
    let held = sent_to(&harness.submit(1, HEAVY)).expect("an engine is ready");
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    let note = Event::Note(RequestId(1), AttemptNo(0), Note::WaitsForLoad);
    assert_eq!(harness.handle(note), vec![cancel]);
    let again = sent_to(&harness.end_attempt(1, 0, held, Outcome::Cancelled));
    assert!(again.is_some_and(|again| again != held), "{again:?}");
    let next = sent_to(&harness.submit(2, HEAVY));
    assert!(next.is_some_and(|next| next != held), "{next:?}");
}

/// Without this a request that an engine lost was waited for until its deadline: lookups may wait for loads.
#[test]
fn what_has_said_nothing_got_lost_also_where_a_load_might_hold_it() {
    let mut settings = settings();
    settings.classes[LIGHT].waits_for_load = true;
    let mut harness = Harness::with_engines(settings, 3);
    probe(&mut harness, 10, 30);
    harness.submit(1, LIGHT);
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(harness.advance(350), vec![], "seven times a fresh one");
    assert_eq!(harness.advance(100), vec![cancel]);
}

/// Without this an attempt that its engine lost, while it answers the others, was waited for till its deadline.
#[test]
fn an_attempt_of_which_a_well_engine_tells_nothing_is_lost() {
    let mut harness = Harness::with_engines(settings(), 3);
    let to = sent_to(&harness.submit(1, HEAVY)).expect("an engine is ready");
    let mut done = Vec::new();
    for _ in 0..6 {
        harness.handle(Event::Probed(EngineId(to), Outcome::Ok, None));
        done.extend(harness.advance(500));
    }
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(done, vec![cancel]);
}
