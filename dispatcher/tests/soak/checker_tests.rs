//! The judge itself: for each rule a trace that breaks it, and nothing else, is caught; a sound one is not.

use crate::checker::*;
use std::collections::BTreeMap;

const REQUEST: u64 = 7;
const LIMIT: Micros = 1_000 * MILLISECOND;

fn terms() -> RunLimits {
    let cold = ColdEngine {
        from: 0,
        until: 10_000 * MILLISECOND,
        window: 1_000 * MILLISECOND,
        max_requests: ColdEngine::with_margin(1.0),
        mean_work_ms: 100.0,
    };
    RunLimits {
        drain_grace: 500 * MILLISECOND,
        cold_engines: BTreeMap::from([(9, cold)]),
        longest_stall: 0,
    }
}

fn taken(effect: Effect) -> (Micros, Event) {
    let seen = Event::RequestSent {
        request: REQUEST,
        dispatcher: 0,
        time_limit: LIMIT,
        pipeline_time_limit: LIMIT,
        effect,
    };
    (0, seen)
}

fn begun(at: Micros, engine: usize) -> (Micros, Event) {
    let seen = Event::AttemptStarted {
        request: REQUEST,
        engine,
        announced_time_limit: LIMIT.saturating_sub(at),
        work_ms: 100,
    };
    (at, seen)
}

fn over(at: Micros, engine: usize, end: AttemptEnd) -> (Micros, Event) {
    let seen = Event::AttemptEnded {
        request: REQUEST,
        engine,
        end,
    };
    (at, seen)
}

fn answered(at: Micros) -> (Micros, Event) {
    let seen = Event::Answered {
        request: REQUEST,
        answer: Answer::Served,
    };
    (at, seen)
}

fn broken(trace: Vec<(Micros, Event)>) -> Vec<Rule> {
    let broken = Trace(trace).find_violations(&terms());
    broken.into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_sound_trace_breaks_no_rule() {
    let once = vec![
        taken(Effect::Once),
        begun(1, 1),
        over(2, 1, AttemptEnd::NeverRan),
        begun(3, 2),
        over(4, 2, AttemptEnd::MayHaveRun),
        answered(5),
    ];
    assert_eq!(broken(once), []);
    let left = vec![
        taken(Effect::Repeatable),
        begun(1, 1),
        (2, Event::ClientLeft { request: REQUEST }),
    ];
    assert_eq!(broken(left), []);
    let crossed = vec![
        taken(Effect::Once),
        (
            20 * MILLISECOND,
            Event::ConnectionClosed {
                request: REQUEST,
                was_idle: true,
            },
        ),
    ];
    assert_eq!(broken(crossed), []);
    let killed = vec![
        taken(Effect::Once),
        begun(1, 1),
        (2, Event::ProcessKilled { dispatcher: 0 }),
    ];
    assert_eq!(broken(killed), []);
}

#[test]
fn what_has_no_answer_or_a_late_one_or_two_is_caught() {
    assert_eq!(
        broken(vec![taken(Effect::Repeatable)]),
        [Rule::AnsweredInTime]
    );
    let late = LIMIT + 600 * MILLISECOND;
    assert_eq!(
        broken(vec![taken(Effect::Repeatable), answered(late)]),
        [Rule::AnsweredInTime]
    );
    let twice = vec![taken(Effect::Repeatable), answered(5), answered(6)];
    assert_eq!(broken(twice), [Rule::AtMostOneAnswer]);
    let closed = |at, rested| {
        let request = REQUEST;
        vec![
            taken(Effect::Repeatable),
            (
                at,
                Event::ConnectionClosed {
                    request,
                    was_idle: rested,
                },
            ),
        ]
    };
    assert_eq!(
        broken(closed(20 * MILLISECOND, false)),
        [Rule::AnsweredInTime]
    );
    assert_eq!(
        broken(closed(200 * MILLISECOND, true)),
        [Rule::AnsweredInTime]
    );
    let mut sent_on = closed(20 * MILLISECOND, true);
    sent_on.push(begun(30 * MILLISECOND, 1));
    assert_eq!(broken(sent_on), [Rule::AnsweredInTime]);
    let long_ago = vec![
        (0, Event::ProcessKilled { dispatcher: 0 }),
        (300 * MILLISECOND, taken(Effect::Repeatable).1),
    ];
    assert_eq!(broken(long_ago), [Rule::AnsweredInTime]);
    let other = vec![
        taken(Effect::Repeatable),
        (2, Event::ProcessKilled { dispatcher: 1 }),
    ];
    assert_eq!(broken(other), [Rule::AnsweredInTime]);
}

#[test]
fn what_is_repeated_or_out_twice_is_caught() {
    let repeated = |effect, again| {
        vec![
            taken(effect),
            begun(1, 1),
            over(2, 1, AttemptEnd::MayHaveRun),
            begun(again, 2),
            answered(again + 2),
        ]
    };
    let keyed = Effect::ByKey {
        window: 3 * MILLISECOND,
    };
    let (soon, within, after) = (3, 50 * MILLISECOND, 60 * MILLISECOND);
    assert_eq!(broken(repeated(Effect::Repeatable, after)), []);
    assert_eq!(broken(repeated(Effect::Once, soon)), [Rule::NoUnsafeRepeat]);
    assert_eq!(broken(repeated(keyed, within)), []);
    assert_eq!(broken(repeated(keyed, after)), [Rule::NoUnsafeRepeat]);
    let doubled = vec![
        taken(Effect::Repeatable),
        begun(1, 1),
        begun(3, 2),
        over(200 * MILLISECOND, 1, AttemptEnd::MayHaveRun),
        answered(201 * MILLISECOND),
    ];
    assert_eq!(broken(doubled), [Rule::OneAttemptInFlight]);
}

#[test]
fn a_refusal_of_what_may_have_run_and_may_not_be_repeated_is_caught() {
    let refused = |effect, end| {
        let answer = Answer::Refused;
        let request = REQUEST;
        let refusal = Event::Answered { request, answer };
        vec![taken(effect), begun(1, 1), over(2, 1, end), (3, refusal)]
    };
    assert_eq!(broken(refused(Effect::Once, AttemptEnd::NeverRan)), []);
    assert_eq!(
        broken(refused(Effect::Once, AttemptEnd::MayHaveRun)),
        [Rule::NoRefusalAfterRun]
    );
    for effect in [Effect::Repeatable, Effect::ByKey { window: 0 }] {
        assert_eq!(broken(refused(effect, AttemptEnd::MayHaveRun)), []);
    }
}

#[test]
fn what_begins_too_late_or_for_too_long_is_caught() {
    let gone = vec![
        taken(Effect::Repeatable),
        (1, Event::ClientLeft { request: REQUEST }),
        begun(200 * MILLISECOND, 1),
    ];
    assert_eq!(broken(gone), [Rule::NoAttemptAfterClientLeft]);
    let drained = vec![
        (0, Event::DrainAnnounced { engine: 1 }),
        taken(Effect::Repeatable),
        begun(600 * MILLISECOND, 1),
        answered(601 * MILLISECOND),
    ];
    assert_eq!(broken(drained), [Rule::NoAttemptWhileDraining]);
    let long = Event::AttemptStarted {
        request: REQUEST,
        engine: 1,
        announced_time_limit: LIMIT,
        work_ms: 100,
    };
    let long = vec![
        taken(Effect::Repeatable),
        (300 * MILLISECOND, long),
        answered(301 * MILLISECOND),
    ];
    assert_eq!(broken(long), [Rule::RemainingTimePassed]);
}

#[test]
fn what_a_process_or_all_together_do_is_caught() {
    let held = Event::ResourceUsage {
        dispatcher: 0,
        resource: "descriptors",
        used: 5,
        allowed: 4,
    };
    assert_eq!(broken(vec![(0, held)]), [Rule::ResourceLimits]);
    assert_eq!(
        broken(vec![(0, Event::ProcessCrashed { dispatcher: 0 })]),
        [Rule::NoCrash]
    );
    let late = [
        (0, Event::ProcessStarted { dispatcher: 0 }),
        (11_000 * MILLISECOND, Event::ProcessReady { dispatcher: 0 }),
    ];
    assert_eq!(broken(late.to_vec()), [Rule::ReadyInTime]);
    // More than one and three times its root and three in a window.
    let many = |count: u64, step: Micros| {
        let sends = (0..count).map(|request| {
            let begun = Event::AttemptStarted {
                request,
                engine: 9,
                announced_time_limit: 0,
                work_ms: 100,
            };
            (request * step, begun)
        });
        broken(sends.collect())
    };
    assert_eq!(many(7, 1), []);
    assert_eq!(many(8, 1), [Rule::ColdEngineBudget]);
    assert_eq!(many(8, 200 * MILLISECOND), []);
}
