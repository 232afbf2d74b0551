//! The seven invariants of a gateway: for each, what the gateway must do and what it must not do.

mod common;

use common::*;
use sedgebeam_core::*;

// 1. Every request gets exactly one final answer in time.

#[test]
fn a_request_without_an_engine_is_refused_within_its_wait_limit() {
    let mut harness = Harness::new(settings());
    assert_eq!(harness.submit(1, LIGHT), vec![]);
    let actions = harness.advance(300);
    assert!(is_refused(&actions, 1));
    assert_eq!(harness.advance(2000), vec![]);
}

#[test]
fn a_timeout_at_the_deadline_is_refused_at_once() {
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
    let target = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    assert_eq!(harness.end_attempt(1, 0, target, Outcome::Ok), vec![]);
    assert_eq!(harness.end_attempt(1, 0, target, Outcome::Reset), vec![]);
    assert_eq!(harness.handle(Event::ClientLeft(RequestId(1))), vec![]);
    assert_eq!(harness.advance(2000), vec![]);
}

#[test]
fn a_request_whose_client_disconnects_is_cancelled_without_an_answer() {
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

// 2. No request takes effect twice.

#[test]
fn an_at_most_once_request_is_retried_only_if_it_cannot_have_run() {
    let not_run = [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent];
    for outcome in not_run {
        let mut harness = Harness::with_engines(settings(), 2);
        let target = sent_to(&harness.submit(1, LOAD)).expect("an engine is ready");
        let actions = harness.end_attempt(1, 0, target, outcome);
        assert_ne!(
            sent_to(&actions),
            None,
            "{outcome:?} proves that the load never ran"
        );
    }
    let may_have_run = [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ];
    for outcome in may_have_run {
        let mut harness = Harness::with_engines(settings(), 2);
        let target = sent_to(&harness.submit(1, LOAD)).expect("an engine is ready");
        let actions = harness.end_attempt(1, 0, target, outcome);
        assert_eq!(
            actions,
            vec![Action::Fail {
                request: RequestId(1)
            }],
            "the load may have run after {outcome:?}"
        );
    }
    let mut harness = Harness::with_engines(settings(), 2);
    let target = sent_to(&harness.submit(1, LOAD)).expect("an engine is ready");
    assert_eq!(harness.end_attempt(1, 0, target, Outcome::Ok), vec![]);
}

/// Sends a keyed load to engine 1 or 4, lists engines 1 to 5, and returns the engine of the load. Engines 1 and
/// 2 share a cell, 3 is in another cell of their zone; 4 and 5 share a cell of a second zone.
fn harness_with_keyed_load(scope: DedupScope) -> (Harness, u64) {
    let mut settings = settings();
    settings.classes[LOAD].effect = Effect::Keyed(scope);
    let mut harness = Harness::new(settings);
    let located = |id: u64, zone, cell| Engine {
        zone: Some(ZoneId(zone)),
        cell: CellId(cell),
        ..engine(id)
    };
    harness.set_engines(vec![located(1, 0, 1), located(4, 1, 3)]);
    let first_target = sent_to(&harness.submit(1, LOAD)).expect("an engine is ready");
    harness.set_engines(vec![
        located(1, 0, 1),
        located(2, 0, 1),
        located(3, 0, 2),
        located(4, 1, 3),
        located(5, 1, 3),
    ]);
    (harness, first_target)
}

#[test]
fn keyed_retries_stay_within_their_dedup_scope() {
    for (scope, allowed) in [
        (DedupScope::Cell, [[1, 2, 2], [4, 5, 5]]),
        (DedupScope::Zone, [[1, 2, 3], [4, 5, 5]]),
    ] {
        let (mut harness, first_target) = harness_with_keyed_load(scope);
        let actions = harness.end_attempt(1, 0, first_target, Outcome::Error);
        let retry_target = sent_to(&actions).expect("the scope has another engine");
        let scope_engines = allowed
            .iter()
            .find(|engines| engines.contains(&first_target))
            .expect("a known engine");
        assert!(
            scope_engines.contains(&retry_target),
            "{scope:?}: {first_target}, then {retry_target}"
        );
    }
    let (mut harness, first_target) = harness_with_keyed_load(DedupScope::All);
    assert!(sent_to(&harness.end_attempt(1, 0, first_target, Outcome::Error)).is_some());
}

#[test]
fn keyed_retries_stay_within_their_dedup_window() {
    for (scope, expects_refusal) in [(DedupScope::All, true), (DedupScope::Cell, false)] {
        let (mut harness, first_target) = harness_with_keyed_load(scope);
        harness.now = harness.now + ms(5000);
        let actions = harness.end_attempt(1, 0, first_target, Outcome::Error);
        assert_eq!(sent_to(&actions), None);
        assert_eq!(
            (is_refused(&actions, 1), is_failed(&actions, 1)),
            (expects_refusal, !expects_refusal),
            "{scope:?}"
        );
    }
}

/// Connecting may take longer than the rest of the deduplication window; the retry must then not start. The
/// window begins with the first attempt that may have run, and a window too short for a send to arrive allows
/// no retry.
#[test]
fn a_keyed_retry_carries_the_time_by_which_it_must_start() {
    let starts_by = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { starts_by, .. } => Some(*starts_by),
            _ => None,
        })
    };
    let mut settings = settings();
    settings.classes[LOAD].effect = Effect::Keyed(DedupScope::All);
    for (window, is_retried) in [
        (ms(5000), true),
        (ms(400), true),
        (ms(50), false),
        (ms(0), false),
    ] {
        settings.classes[LOAD].dedup_window = window;
        let mut harness = Harness::with_engines(settings.clone(), 3);
        let first_actions = harness.submit(1, LOAD);
        assert_eq!(
            starts_by(&first_actions),
            Some(None),
            "a first attempt has no time limit for its start"
        );
        let first_sent_at = harness.now;
        let target = sent_to(&first_actions).expect("an engine is ready");
        // This attempt never ran, so the window does not begin; it begins with the next one, which may have
        // run.
        let retry_actions = harness.end_attempt(1, 0, target, Outcome::ConnectFailed);
        assert_eq!(starts_by(&retry_actions), Some(None));
        harness.now = harness.now + ms(100);
        let target = sent_to(&retry_actions).expect("another engine is ready");
        let second_retry = harness.end_attempt(1, 1, target, Outcome::Reset);
        let latest_start = is_retried.then(|| first_sent_at + window - ms(50));
        assert_eq!(
            starts_by(&second_retry),
            latest_start.map(Some),
            "{window:?}"
        );
    }
    // A repeatable request has no window.
    let mut harness = Harness::with_engines(settings, 2);
    let target = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    assert_eq!(
        starts_by(&harness.end_attempt(1, 0, target, Outcome::Reset)),
        Some(None)
    );
}

#[test]
fn no_second_attempt_while_one_is_in_flight() {
    let mut harness = Harness::with_engines(settings(), 3);
    harness.submit(1, HEAVY);
    assert_eq!(sends(&harness.advance(1000)), vec![]);
}

#[test]
fn attempts_stop_at_the_configured_limit() {
    let mut harness = Harness::with_engines(
        Settings {
            max_attempts: 2,
            ..settings()
        },
        3,
    );
    let first_target = sent_to(&harness.submit(1, LIGHT)).expect("an engine is ready");
    let second_target =
        sent_to(&harness.end_attempt(1, 0, first_target, Outcome::Error)).expect("a retry is sent");
    assert_ne!(first_target, second_target);
    assert!(is_refused(
        &harness.end_attempt(1, 1, second_target, Outcome::Error),
        1
    ));
}

// 3. Draining and removed engines get no new requests.

#[test]
fn draining_and_removed_engines_get_no_new_requests() {
    for state in [EngineState::Draining, EngineState::Gone] {
        let mut harness = Harness::with_engines(settings(), 1);
        harness.update_engine(Engine { state, ..engine(1) });
        assert_eq!(harness.submit(1, LIGHT), vec![]);
        assert_eq!(sent_to(&harness.update_engine(engine(1))), Some(1));
    }
}

#[test]
fn an_engine_absent_from_a_complete_list_is_removed_and_a_failed_list_changes_nothing() {
    let mut harness = Harness::with_engines(settings(), 2);
    harness.set_engines(vec![engine(2)]);
    assert_eq!(sent_to(&harness.submit(1, LIGHT)), Some(2));
    harness.handle(Event::ListFailed);
    assert_eq!(sent_to(&harness.submit(2, LIGHT)), Some(2));
    harness.set_engines(vec![]);
    assert_eq!(harness.submit(3, LIGHT), vec![]);
}

// 4. Cold engines are not overloaded.

#[test]
fn a_cold_engine_gets_at_most_the_gateways_share_of_its_capacity_in_a_window() {
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
        "an earlier process of this gateway may have sent requests"
    );
    harness.advance(2000);
    let mut sent_count = 0;
    for id in 10..500 {
        let actions = harness.submit(id, LIGHT);
        sent_count += sends(&actions).len();
        if let Some(target) = sent_to(&actions) {
            harness.end_attempt(id, 0, target, Outcome::Ok);
        }
    }
    // Twice a third of 8 cores during 2 s is 10.5 core seconds for both gateways; a query takes 50 ms.
    assert!(
        sent_count > 0 && sent_count as f64 * 0.05 <= 10.56 / 2.0,
        "{sent_count} queries sent"
    );
    harness.now = harness.now + ms(13_000);
    assert_eq!(
        sent_to(&harness.submit(900, LIGHT)),
        Some(1),
        "the engine is warm"
    );
}

// 5. Requests of one key run in order.

fn load_with_key(id: u64) -> Event {
    Event::Request(Query {
        key: Some(Key(7)),
        ..query(id, LOAD)
    })
}

#[test]
fn requests_of_one_key_run_one_at_a_time_in_order() {
    let mut harness = Harness::with_engines(settings(), 3);
    let first_target = sent_to(&harness.handle(load_with_key(1))).expect("an engine is ready");
    assert_eq!(harness.handle(load_with_key(2)), vec![]);
    assert_eq!(harness.handle(load_with_key(3)), vec![]);
    let other_key = Event::Request(Query {
        key: Some(Key(8)),
        table_group: TableGroupId(9),
        ..query(4, LOAD)
    });
    assert_eq!(
        sends(&harness.handle(other_key)).len(),
        1,
        "another key does not wait"
    );
    let actions = harness.end_attempt(1, 0, first_target, Outcome::Ok);
    assert_eq!(
        sends(&actions)
            .iter()
            .map(|(id, _)| *id)
            .collect::<Vec<_>>(),
        vec![2]
    );
}

#[test]
fn a_key_waits_for_its_quiet_period_after_an_attempt_that_may_still_run() {
    let mut harness = Harness::with_engines(
        Settings {
            key_quiet_period: ms(500),
            ..settings()
        },
        3,
    );
    let first_target = sent_to(&harness.handle(load_with_key(1))).expect("an engine is ready");
    harness.handle(load_with_key(2));
    assert!(is_failed(
        &harness.end_attempt(1, 0, first_target, Outcome::Reset),
        1
    ));
    assert_eq!(sends(&harness.advance(480)), vec![]);
    assert_eq!(sends(&harness.advance(40)).len(), 1);
}

// 6. Requests run only on the kinds and zones of their class.

#[test]
fn a_restricted_class_goes_only_to_its_kinds_and_zones() {
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
    let actions = harness.update_engine(Engine {
        kind: Some(KindId(1)),
        ..engine(4)
    });
    assert_eq!(sends(&actions), vec![(1, 4)]);
    let retry_actions = harness.end_attempt(1, 0, 4, Outcome::ConnectFailed);
    assert_eq!(
        sent_to(&retry_actions),
        Some(4),
        "the only engine of its kind, even after it refused a connection"
    );
    let actions = harness.update_engine(Engine {
        zone: Some(ZoneId(3)),
        ..engine(5)
    });
    assert_eq!(sends(&actions), vec![(2, 5)]);
}

// 7. Retries stay within the attempt budget.

#[test]
fn retries_stay_within_the_attempt_budget() {
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
    let mut retries = 0;
    for id in 1..=4 {
        let target = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
        if sent_to(&harness.end_attempt(id, 0, target, Outcome::Error)).is_some() {
            retries += 1;
        }
    }
    // After 1, 2, 3 and 4 requests, 1.5, 2, 2.5 and 3 retries are allowed.
    assert_eq!(retries, 3);
    harness.now = harness.now + ms(10_001);
    let target = sent_to(&harness.submit(9, LIGHT)).expect("an engine is ready");
    assert!(
        sent_to(&harness.end_attempt(9, 0, target, Outcome::Error)).is_some(),
        "the budget's window has passed"
    );
}
