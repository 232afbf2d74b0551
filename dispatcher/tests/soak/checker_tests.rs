//! Tests of the checker: it accepts valid traces and, for each rule, reports a trace that violates just this rule.

use crate::checker::*;
use std::collections::BTreeMap;

const REQUEST: u64 = 7;
const TIME_LIMIT: Micros = 1_000 * MILLISECOND;

fn limits() -> RunLimits {
    let cold_engine = ColdEngine {
        from: 0,
        until: 10_000 * MILLISECOND,
        window: 1_000 * MILLISECOND,
        max_requests: ColdEngine::with_margin(1.0),
        mean_work_ms: 100.0,
    };
    RunLimits {
        drain_grace: 500 * MILLISECOND,
        cold_engines: BTreeMap::from([(9, cold_engine)]),
        longest_stall: 0,
    }
}

fn sent(effect: Effect) -> (Micros, Event) {
    let event = Event::RequestSent {
        request: REQUEST,
        dispatcher: 0,
        time_limit: TIME_LIMIT,
        pipeline_time_limit: TIME_LIMIT,
        effect,
    };
    (0, event)
}

fn started(time: Micros, engine: usize) -> (Micros, Event) {
    let event = Event::AttemptStarted {
        request: REQUEST,
        engine,
        announced_time_limit: TIME_LIMIT.saturating_sub(time),
        work_ms: 100,
    };
    (time, event)
}

fn ended(time: Micros, engine: usize, end: AttemptEnd) -> (Micros, Event) {
    let event = Event::AttemptEnded {
        request: REQUEST,
        engine,
        end,
    };
    (time, event)
}

fn answered(time: Micros) -> (Micros, Event) {
    let event = Event::Answered {
        request: REQUEST,
        answer: Answer::Served,
    };
    (time, event)
}

fn broken_rules(trace: Vec<(Micros, Event)>) -> Vec<Rule> {
    let violations = Trace(trace).find_violations(&limits());
    violations
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn valid_traces_have_no_violation() {
    let once = vec![
        sent(Effect::Once),
        started(1, 1),
        ended(2, 1, AttemptEnd::NeverRan),
        started(3, 2),
        ended(4, 2, AttemptEnd::MayHaveRun),
        answered(5),
    ];
    assert_eq!(broken_rules(once), []);
    let client_left = vec![
        sent(Effect::Repeatable),
        started(1, 1),
        (2, Event::ClientLeft { request: REQUEST }),
    ];
    assert_eq!(broken_rules(client_left), []);
    let raced_with_close = vec![
        sent(Effect::Once),
        (
            20 * MILLISECOND,
            Event::ConnectionClosed {
                request: REQUEST,
                was_idle: true,
            },
        ),
    ];
    assert_eq!(broken_rules(raced_with_close), []);
    let killed = vec![
        sent(Effect::Once),
        started(1, 1),
        (2, Event::ProcessKilled { dispatcher: 0 }),
    ];
    assert_eq!(broken_rules(killed), []);
}

#[test]
fn requests_with_no_answer_a_late_answer_or_two_answers_are_reported() {
    assert_eq!(
        broken_rules(vec![sent(Effect::Repeatable)]),
        [Rule::AnsweredInTime]
    );
    let late = TIME_LIMIT + 600 * MILLISECOND;
    assert_eq!(
        broken_rules(vec![sent(Effect::Repeatable), answered(late)]),
        [Rule::AnsweredInTime]
    );
    let twice = vec![sent(Effect::Repeatable), answered(5), answered(6)];
    assert_eq!(broken_rules(twice), [Rule::AtMostOneAnswer]);
    let closed = |time, was_idle| {
        let request = REQUEST;
        vec![
            sent(Effect::Repeatable),
            (time, Event::ConnectionClosed { request, was_idle }),
        ]
    };
    assert_eq!(
        broken_rules(closed(20 * MILLISECOND, false)),
        [Rule::AnsweredInTime]
    );
    assert_eq!(
        broken_rules(closed(200 * MILLISECOND, true)),
        [Rule::AnsweredInTime]
    );
    let mut forwarded = closed(20 * MILLISECOND, true);
    forwarded.push(started(30 * MILLISECOND, 1));
    assert_eq!(broken_rules(forwarded), [Rule::AnsweredInTime]);
    let killed_long_before = vec![
        (0, Event::ProcessKilled { dispatcher: 0 }),
        (300 * MILLISECOND, sent(Effect::Repeatable).1),
    ];
    assert_eq!(broken_rules(killed_long_before), [Rule::AnsweredInTime]);
    let other_killed = vec![
        sent(Effect::Repeatable),
        (2, Event::ProcessKilled { dispatcher: 1 }),
    ];
    assert_eq!(broken_rules(other_killed), [Rule::AnsweredInTime]);
}

#[test]
fn unsafe_repeats_and_concurrent_attempts_are_reported() {
    let repeated = |effect, second_start| {
        vec![
            sent(effect),
            started(1, 1),
            ended(2, 1, AttemptEnd::MayHaveRun),
            started(second_start, 2),
            answered(second_start + 2),
        ]
    };
    let keyed = Effect::ByKey {
        window: 3 * MILLISECOND,
    };
    let (soon, within_window, after_window) = (3, 50 * MILLISECOND, 60 * MILLISECOND);
    assert_eq!(broken_rules(repeated(Effect::Repeatable, after_window)), []);
    assert_eq!(
        broken_rules(repeated(Effect::Once, soon)),
        [Rule::NoUnsafeRepeat]
    );
    assert_eq!(broken_rules(repeated(keyed, within_window)), []);
    assert_eq!(
        broken_rules(repeated(keyed, after_window)),
        [Rule::NoUnsafeRepeat]
    );
    let concurrent = vec![
        sent(Effect::Repeatable),
        started(1, 1),
        started(3, 2),
        ended(200 * MILLISECOND, 1, AttemptEnd::MayHaveRun),
        answered(201 * MILLISECOND),
    ];
    assert_eq!(broken_rules(concurrent), [Rule::OneAttemptInFlight]);
}

#[test]
fn refusals_of_requests_that_may_have_run_and_must_not_repeat_are_reported() {
    let refused = |effect, end| {
        let answer = Answer::Refused;
        let request = REQUEST;
        let refusal = Event::Answered { request, answer };
        vec![sent(effect), started(1, 1), ended(2, 1, end), (3, refusal)]
    };
    assert_eq!(
        broken_rules(refused(Effect::Once, AttemptEnd::NeverRan)),
        []
    );
    assert_eq!(
        broken_rules(refused(Effect::Once, AttemptEnd::MayHaveRun)),
        [Rule::NoRefusalAfterRun]
    );
    for effect in [Effect::Repeatable, Effect::ByKey { window: 0 }] {
        assert_eq!(broken_rules(refused(effect, AttemptEnd::MayHaveRun)), []);
    }
}

#[test]
fn attempts_that_start_too_late_or_with_too_long_a_time_limit_are_reported() {
    let client_left = vec![
        sent(Effect::Repeatable),
        (1, Event::ClientLeft { request: REQUEST }),
        started(200 * MILLISECOND, 1),
    ];
    assert_eq!(broken_rules(client_left), [Rule::NoAttemptAfterClientLeft]);
    let draining = vec![
        (0, Event::DrainAnnounced { engine: 1 }),
        sent(Effect::Repeatable),
        started(600 * MILLISECOND, 1),
        answered(601 * MILLISECOND),
    ];
    assert_eq!(broken_rules(draining), [Rule::NoAttemptWhileDraining]);
    let long_attempt = Event::AttemptStarted {
        request: REQUEST,
        engine: 1,
        announced_time_limit: TIME_LIMIT,
        work_ms: 100,
    };
    let long_limit = vec![
        sent(Effect::Repeatable),
        (300 * MILLISECOND, long_attempt),
        answered(301 * MILLISECOND),
    ];
    assert_eq!(broken_rules(long_limit), [Rule::AttemptTimeLimitBounded]);
}

#[test]
fn violations_by_processes_and_of_cold_engine_budgets_are_reported() {
    let over_limit = Event::ResourceUsage {
        dispatcher: 0,
        resource: "descriptors",
        used: 5,
        allowed: 4,
    };
    assert_eq!(broken_rules(vec![(0, over_limit)]), [Rule::ResourceLimits]);
    assert_eq!(
        broken_rules(vec![(0, Event::ProcessCrashed { dispatcher: 0 })]),
        [Rule::NoCrash]
    );
    let ready_late = [
        (0, Event::ProcessStarted { dispatcher: 0 }),
        (11_000 * MILLISECOND, Event::ProcessReady { dispatcher: 0 }),
    ];
    assert_eq!(broken_rules(ready_late.to_vec()), [Rule::ReadyInTime]);
    // The budget is 1.0 with its margin: 1 + 3 * sqrt(1) + 3 = 7 requests of mean work in a window.
    let attempts = |count: u64, interval: Micros| {
        let events = (0..count).map(|request| {
            let started = Event::AttemptStarted {
                request,
                engine: 9,
                announced_time_limit: 0,
                work_ms: 100,
            };
            (request * interval, started)
        });
        broken_rules(events.collect())
    };
    assert_eq!(attempts(7, 1), []);
    assert_eq!(attempts(8, 1), [Rule::ColdEngineBudget]);
    assert_eq!(attempts(8, 200 * MILLISECOND), []);
}
