//! The seven rules, each from both sides.

mod common;

use common::*;
use sedgebeam_core::*;

// 1. One final answer in time.

#[test]
fn a_request_that_finds_no_engine_is_answered_within_its_wait() {
    let mut harness = Harness::new(settings());
    assert_eq!(harness.submit(1, LIGHT), vec![]);
    let done = harness.advance(300);
    assert!(is_refused(&done, 1));
    assert_eq!(harness.advance(2000), vec![]);
}

#[test]
fn a_time_out_at_the_deadline_is_answered_at_once() {
    let mut harness = Harness::with_engines(settings(), 1);
    assert_eq!(sent_to(&harness.submit(1, LIGHT)), Some(1));
    harness.now = harness.now + ms(1500);
    assert!(is_refused(
        &harness.end_attempt(1, 0, 1, Outcome::TimedOut),
        1
    ));
}

#[test]
fn an_answer_ends_the_request_and_repeated_outcomes_are_ignored() {
    let mut harness = Harness::with_engines(settings(), 2);
    let to = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    assert_eq!(harness.end_attempt(1, 0, to, Outcome::Ok), vec![]);
    assert_eq!(harness.end_attempt(1, 0, to, Outcome::Reset), vec![]);
    assert_eq!(harness.handle(Event::ClientLeft(RequestId(1))), vec![]);
    assert_eq!(harness.advance(2000), vec![]);
}

#[test]
fn a_client_that_leaves_is_owed_nothing_and_its_attempt_is_called_off() {
    let mut harness = Harness::with_engines(settings(), 1);
    harness.submit(1, LIGHT);
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNo(0),
    };
    assert_eq!(
        harness.handle(Event::ClientLeft(RequestId(1))),
        vec![cancel]
    );
    assert_eq!(harness.end_attempt(1, 0, 1, Outcome::Cancelled), vec![]);
}

// 2. No effect twice.

#[test]
fn once_after_each_outcome() {
    let proves = [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent];
    for outcome in proves {
        let mut harness = Harness::with_engines(settings(), 2);
        let to = sent_to(&harness.submit(1, LOAD)).expect("an engine is ready");
        let done = harness.end_attempt(1, 0, to, outcome);
        assert_ne!(sent_to(&done), None, "{outcome:?} proves that it never ran");
    }
    let unsure = [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ];
    for outcome in unsure {
        let mut harness = Harness::with_engines(settings(), 2);
        let to = sent_to(&harness.submit(1, LOAD)).expect("an engine is ready");
        let done = harness.end_attempt(1, 0, to, outcome);
        assert_eq!(
            done,
            vec![Action::Fail {
                request: RequestId(1)
            }],
            "{outcome:?} may have run"
        );
    }
    let mut harness = Harness::with_engines(settings(), 2);
    let to = sent_to(&harness.submit(1, LOAD)).expect("an engine is ready");
    assert_eq!(harness.end_attempt(1, 0, to, Outcome::Ok), vec![]);
}

/// Two zones of two cells each; engines 1 and 2 share zone and cell, 3 only the zone, 4 nothing.
fn grouped(group: DedupScope) -> (Harness, u64) {
    let mut settings = settings();
    settings.classes[LOAD].effect = Effect::Keyed(group);
    let mut harness = Harness::new(settings);
    let place = |id: u64, zone, cell| Engine {
        zone: Some(ZoneId(zone)),
        cell: CellId(cell),
        ..engine(id)
    };
    harness.set_engines(vec![place(1, 0, 1), place(4, 1, 3)]);
    let first = sent_to(&harness.submit(1, LOAD)).expect("an engine is ready");
    harness.set_engines(vec![
        place(1, 0, 1),
        place(2, 0, 1),
        place(3, 0, 2),
        place(4, 1, 3),
        place(5, 1, 3),
    ]);
    (harness, first)
}

#[test]
fn keyed_repeats_stay_within_their_group() {
    for (group, allowed) in [
        (DedupScope::Cell, [[1, 2, 2], [4, 5, 5]]),
        (DedupScope::Zone, [[1, 2, 3], [4, 5, 5]]),
    ] {
        let (mut harness, first) = grouped(group);
        let done = harness.end_attempt(1, 0, first, Outcome::Error);
        let again = sent_to(&done).expect("the group has another engine");
        let own = allowed
            .iter()
            .find(|engines| engines.contains(&first))
            .expect("a known engine");
        assert!(own.contains(&again), "{group:?}: {first} then {again}");
    }
    let (mut harness, first) = grouped(DedupScope::All);
    assert!(sent_to(&harness.end_attempt(1, 0, first, Outcome::Error)).is_some());
}

#[test]
fn keyed_repeats_stay_within_their_window() {
    for (group, refusal) in [(DedupScope::All, true), (DedupScope::Cell, false)] {
        let (mut harness, first) = grouped(group);
        harness.now = harness.now + ms(5000);
        let done = harness.end_attempt(1, 0, first, Outcome::Error);
        assert_eq!(sent_to(&done), None);
        assert_eq!(
            (is_refused(&done, 1), is_failed(&done, 1)),
            (refusal, !refusal),
            "{group:?}"
        );
    }
}

/// A connection may take longer to come up than is left of the window: the repeat then may not begin at all. The window
/// counts from the first attempt that may have run, and one too short for a send to arrive allows no repeat.
#[test]
fn a_keyed_repeat_says_by_when_it_has_to_begin() {
    let starts_by = |done: &[Action]| {
        done.iter().find_map(|action| match action {
            Action::Send { starts_by, .. } => Some(*starts_by),
            _ => None,
        })
    };
    let mut settings = settings();
    settings.classes[LOAD].effect = Effect::Keyed(DedupScope::All);
    for (window, repeated) in [
        (ms(5000), true),
        (ms(400), true),
        (ms(50), false),
        (ms(0), false),
    ] {
        settings.classes[LOAD].dedup_window = window;
        let mut harness = Harness::with_engines(settings.clone(), 3);
        let first = harness.submit(1, LOAD);
        assert_eq!(
            starts_by(&first),
            Some(None),
            "a first attempt has no such bound"
        );
        let began = harness.now;
        let to = sent_to(&first).expect("an engine is ready");
        // That this one never ran leaves the window shut still; the next may have run, and opens it.
        let again = harness.end_attempt(1, 0, to, Outcome::ConnectFailed);
        assert_eq!(starts_by(&again), Some(None));
        harness.now = harness.now + ms(100);
        let to = sent_to(&again).expect("another engine");
        let second = harness.end_attempt(1, 1, to, Outcome::Reset);
        let by = repeated.then(|| began + window - ms(50));
        assert_eq!(starts_by(&second), by.map(Some), "{window:?}");
    }
    // What is safe to repeat has no window.
    let mut harness = Harness::with_engines(settings, 2);
    let to = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    assert_eq!(
        starts_by(&harness.end_attempt(1, 0, to, Outcome::Reset)),
        Some(None)
    );
}

#[test]
fn no_second_attempt_while_one_is_out() {
    let mut harness = Harness::with_engines(settings(), 3);
    harness.submit(1, HEAVY);
    assert_eq!(sends(&harness.advance(1000)), vec![]);
}

#[test]
fn attempts_stop_at_their_limit() {
    let mut harness = Harness::with_engines(
        Settings {
            max_attempts: 2,
            ..settings()
        },
        3,
    );
    let first = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    let second = sent_to(&harness.end_attempt(1, 0, first, Outcome::Error)).expect("another try");
    assert_ne!(first, second);
    assert!(is_refused(
        &harness.end_attempt(1, 1, second, Outcome::Error),
        1
    ));
}

// 3. Drains.

#[test]
fn nothing_new_goes_to_an_engine_that_drains_or_is_gone() {
    for state in [EngineState::Draining, EngineState::Gone] {
        let mut harness = Harness::with_engines(settings(), 1);
        harness.update_engine(Engine { state, ..engine(1) });
        assert_eq!(harness.submit(1, LIGHT), vec![]);
        assert_eq!(sent_to(&harness.update_engine(engine(1))), Some(1));
    }
}

#[test]
fn absent_from_a_complete_list_means_gone_and_a_failed_list_changes_nothing() {
    let mut harness = Harness::with_engines(settings(), 2);
    harness.set_engines(vec![engine(2)]);
    assert_eq!(sent_to(&harness.submit(1, LIGHT)), Some(2));
    harness.handle(Event::ListFailed);
    assert_eq!(sent_to(&harness.submit(2, LIGHT)), Some(2));
    harness.set_engines(vec![]);
    assert_eq!(harness.submit(3, LIGHT), vec![]);
}

// 4. Cold engines.

#[test]
fn a_cold_engine_gets_its_part_and_no_more_in_a_window() {
    let mut harness = Harness::new(Settings {
        gateways: 2,
        ..settings()
    });
    let cold = Engine {
        started_at: harness.now,
        ..engine(1)
    };
    harness.set_engines(vec![cold]);
    assert_eq!(
        harness.submit(1, LIGHT),
        vec![],
        "an earlier life may have sent"
    );
    harness.advance(2000);
    let mut sent = 0;
    for id in 10..500 {
        let done = harness.submit(id, LIGHT);
        sent += sends(&done).len();
        if let Some(to) = sent_to(&done) {
            harness.end_attempt(id, 0, to, Outcome::Ok);
        }
    }
    // Two times a third of 8 cores for 2 s are 10.5 core seconds for both gateways, 50 ms a query.
    assert!(sent > 0 && sent as f64 * 0.05 <= 10.56 / 2.0, "{sent} sent");
    harness.now = harness.now + ms(13_000);
    assert_eq!(sent_to(&harness.submit(900, LIGHT)), Some(1), "warm");
}

// 5. Order by key.

fn keyed(id: u64) -> Event {
    Event::Request(Query {
        key: Some(Key(7)),
        ..query(id, LOAD)
    })
}

#[test]
fn one_key_runs_one_at_a_time_in_order() {
    let mut harness = Harness::with_engines(settings(), 3);
    let first = sent_to(&harness.handle(keyed(1))).expect("an engine is ready");
    assert_eq!(harness.handle(keyed(2)), vec![]);
    assert_eq!(harness.handle(keyed(3)), vec![]);
    let other = Event::Request(Query {
        key: Some(Key(8)),
        table_group: TableGroupId(9),
        ..query(4, LOAD)
    });
    assert_eq!(
        sends(&harness.handle(other)).len(),
        1,
        "another key does not wait"
    );
    let done = harness.end_attempt(1, 0, first, Outcome::Ok);
    assert_eq!(
        sends(&done).iter().map(|(id, _)| *id).collect::<Vec<_>>(),
        vec![2]
    );
}

#[test]
fn a_key_rests_after_an_attempt_that_may_still_run() {
    let mut harness = Harness::with_engines(
        Settings {
            key_quiet_period: ms(500),
            ..settings()
        },
        3,
    );
    let first = sent_to(&harness.handle(keyed(1))).expect("an engine is ready");
    harness.handle(keyed(2));
    assert!(is_failed(
        &harness.end_attempt(1, 0, first, Outcome::Reset),
        1
    ));
    assert_eq!(sends(&harness.advance(480)), vec![]);
    assert_eq!(sends(&harness.advance(40)).len(), 1);
}

// 6. Placement.

#[test]
fn a_bound_class_goes_only_to_its_kinds_and_zones() {
    let mut settings = settings();
    settings.kinds.push(Kind {
        cores: 8.0,
        memory_mb: 8192.0,
    });
    settings.classes[HEAVY].only_kinds = Some(vec![KindId(1)]);
    settings.classes[LOAD].only_zones = Some(vec![ZoneId(3)]);
    let mut harness = Harness::with_engines(settings, 3);
    assert_eq!(harness.submit(1, HEAVY), vec![]);
    assert_eq!(harness.submit(2, LOAD), vec![]);
    let done = harness.update_engine(Engine {
        kind: Some(KindId(1)),
        ..engine(4)
    });
    assert_eq!(sends(&done), vec![(1, 4)]);
    let again = harness.end_attempt(1, 0, 4, Outcome::ConnectFailed);
    assert_eq!(
        sent_to(&again),
        Some(4),
        "the only one of its kind, even when it refuses"
    );
    let done = harness.update_engine(Engine {
        zone: Some(ZoneId(3)),
        ..engine(5)
    });
    assert_eq!(sends(&done), vec![(2, 5)]);
}

// 7. Attempt budget.

#[test]
fn further_attempts_stay_within_the_budget() {
    let budget = AttemptBudget {
        window: ms(10_000),
        free_attempts: 1.0,
        extra_per_request: 0.5,
    };
    let mut harness = Harness::with_engines(
        Settings {
            attempt_budget: Some(budget),
            ..settings()
        },
        4,
    );
    let mut further = 0;
    for id in 1..=4 {
        let to = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
        if sent_to(&harness.end_attempt(id, 0, to, Outcome::Error)).is_some() {
            further += 1;
        }
    }
    // After 1, 2, 3, 4 requests: 1.5, 2, 2.5, 3 further attempts are allowed.
    assert_eq!(further, 3);
    harness.now = harness.now + ms(10_001);
    let to = sent_to(&harness.submit(9, LIGHT)).expect("an engine is ready");
    assert!(
        sent_to(&harness.end_attempt(9, 0, to, Outcome::Error)).is_some(),
        "the window has passed"
    );
}
