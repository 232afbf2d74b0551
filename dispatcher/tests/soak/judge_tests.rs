//! The judge itself: for each rule a trace that breaks it, and nothing else, is caught; a sound one is not.

use crate::judge::*;
use std::collections::BTreeMap;

const REQUEST: u64 = 7;
const LIMIT: Time = 1_000 * MILLI;

fn terms() -> Terms {
    let cold = Cold {
        from: 0,
        until: 10_000 * MILLI,
        window: 1_000 * MILLI,
        most: Cold::budget(1.0),
        mean_ms: 100.0,
    };
    Terms {
        drain_grace: 500 * MILLI,
        cold: BTreeMap::from([(9, cold)]),
        stall: 0,
    }
}

fn taken(effect: Effect) -> (Time, Seen) {
    let seen = Seen::Taken {
        request: REQUEST,
        dispatcher: 0,
        limit: LIMIT,
        behind: LIMIT,
        effect,
    };
    (0, seen)
}

fn begun(at: Time, engine: usize) -> (Time, Seen) {
    let seen = Seen::Begun {
        request: REQUEST,
        engine,
        told: LIMIT.saturating_sub(at),
        work_ms: 100,
    };
    (at, seen)
}

fn over(at: Time, engine: usize, end: End) -> (Time, Seen) {
    let seen = Seen::Over {
        request: REQUEST,
        engine,
        end,
    };
    (at, seen)
}

fn answered(at: Time) -> (Time, Seen) {
    let seen = Seen::Answered {
        request: REQUEST,
        answer: Answer::Served,
    };
    (at, seen)
}

fn broken(trace: Vec<(Time, Seen)>) -> Vec<Rule> {
    let broken = Trace(trace).judge(&terms());
    broken.into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_sound_trace_breaks_no_rule() {
    let once = vec![
        taken(Effect::Once),
        begun(1, 1),
        over(2, 1, End::NeverRan),
        begun(3, 2),
        over(4, 2, End::MayHaveRun),
        answered(5),
    ];
    assert_eq!(broken(once), []);
    let left = vec![
        taken(Effect::Repeatable),
        begun(1, 1),
        (2, Seen::Gone { request: REQUEST }),
    ];
    assert_eq!(broken(left), []);
    let crossed = vec![
        taken(Effect::Once),
        (
            20 * MILLI,
            Seen::Closed {
                request: REQUEST,
                rested: true,
            },
        ),
    ];
    assert_eq!(broken(crossed), []);
    let killed = vec![
        taken(Effect::Once),
        begun(1, 1),
        (2, Seen::Killed { dispatcher: 0 }),
    ];
    assert_eq!(broken(killed), []);
}

#[test]
fn what_has_no_answer_or_a_late_one_or_two_is_caught() {
    assert_eq!(broken(vec![taken(Effect::Repeatable)]), [Rule::Answered]);
    let late = LIMIT + 600 * MILLI;
    assert_eq!(
        broken(vec![taken(Effect::Repeatable), answered(late)]),
        [Rule::Answered]
    );
    let twice = vec![taken(Effect::Repeatable), answered(5), answered(6)];
    assert_eq!(broken(twice), [Rule::AnsweredOnce]);
    let closed = |at, rested| {
        let request = REQUEST;
        vec![
            taken(Effect::Repeatable),
            (at, Seen::Closed { request, rested }),
        ]
    };
    assert_eq!(broken(closed(20 * MILLI, false)), [Rule::Answered]);
    assert_eq!(broken(closed(200 * MILLI, true)), [Rule::Answered]);
    let mut sent_on = closed(20 * MILLI, true);
    sent_on.push(begun(30 * MILLI, 1));
    assert_eq!(broken(sent_on), [Rule::Answered]);
    let long_ago = vec![
        (0, Seen::Killed { dispatcher: 0 }),
        (300 * MILLI, taken(Effect::Repeatable).1),
    ];
    assert_eq!(broken(long_ago), [Rule::Answered]);
    let other = vec![
        taken(Effect::Repeatable),
        (2, Seen::Killed { dispatcher: 1 }),
    ];
    assert_eq!(broken(other), [Rule::Answered]);
}

#[test]
fn what_is_repeated_or_out_twice_is_caught() {
    let repeated = |effect, again| {
        vec![
            taken(effect),
            begun(1, 1),
            over(2, 1, End::MayHaveRun),
            begun(again, 2),
            answered(again + 2),
        ]
    };
    let keyed = Effect::ByKey { window: 3 * MILLI };
    let (soon, within, after) = (3, 50 * MILLI, 60 * MILLI);
    assert_eq!(broken(repeated(Effect::Repeatable, after)), []);
    assert_eq!(broken(repeated(Effect::Once, soon)), [Rule::NotRepeated]);
    assert_eq!(broken(repeated(keyed, within)), []);
    assert_eq!(broken(repeated(keyed, after)), [Rule::NotRepeated]);
    let doubled = vec![
        taken(Effect::Repeatable),
        begun(1, 1),
        begun(3, 2),
        over(200 * MILLI, 1, End::MayHaveRun),
        answered(201 * MILLI),
    ];
    assert_eq!(broken(doubled), [Rule::OneAttemptOut]);
}

#[test]
fn a_refusal_of_what_may_have_run_and_may_not_be_repeated_is_caught() {
    let refused = |effect, end| {
        let answer = Answer::Refused;
        let request = REQUEST;
        let refusal = Seen::Answered { request, answer };
        vec![taken(effect), begun(1, 1), over(2, 1, end), (3, refusal)]
    };
    assert_eq!(broken(refused(Effect::Once, End::NeverRan)), []);
    assert_eq!(
        broken(refused(Effect::Once, End::MayHaveRun)),
        [Rule::RefusedUnrun]
    );
    for effect in [Effect::Repeatable, Effect::ByKey { window: 0 }] {
        assert_eq!(broken(refused(effect, End::MayHaveRun)), []);
    }
}

#[test]
fn what_begins_too_late_or_for_too_long_is_caught() {
    let gone = vec![
        taken(Effect::Repeatable),
        (1, Seen::Gone { request: REQUEST }),
        begun(200 * MILLI, 1),
    ];
    assert_eq!(broken(gone), [Rule::NothingAfterItsClient]);
    let drained = vec![
        (0, Seen::Drained { engine: 1 }),
        taken(Effect::Repeatable),
        begun(600 * MILLI, 1),
        answered(601 * MILLI),
    ];
    assert_eq!(broken(drained), [Rule::DrainKept]);
    let long = Seen::Begun {
        request: REQUEST,
        engine: 1,
        told: LIMIT,
        work_ms: 100,
    };
    let long = vec![
        taken(Effect::Repeatable),
        (300 * MILLI, long),
        answered(301 * MILLI),
    ];
    assert_eq!(broken(long), [Rule::TimeLeft]);
}

#[test]
fn what_a_process_or_all_together_do_is_caught() {
    let held = Seen::Held {
        dispatcher: 0,
        what: "descriptors",
        held: 5,
        allowed: 4,
    };
    assert_eq!(broken(vec![(0, held)]), [Rule::Limits]);
    assert_eq!(
        broken(vec![(0, Seen::Crashed { dispatcher: 0 })]),
        [Rule::NoCrash]
    );
    let late = [
        (0, Seen::Started { dispatcher: 0 }),
        (11_000 * MILLI, Seen::Ready { dispatcher: 0 }),
    ];
    assert_eq!(broken(late.to_vec()), [Rule::Ready]);
    // More than one and three times its root and three in a window.
    let many = |count: u64, step: Time| {
        let sends = (0..count).map(|request| {
            let begun = Seen::Begun {
                request,
                engine: 9,
                told: 0,
                work_ms: 100,
            };
            (request * step, begun)
        });
        broken(sends.collect())
    };
    assert_eq!(many(7, 1), []);
    assert_eq!(many(8, 1), [Rule::ColdBudget]);
    assert_eq!(many(8, 200 * MILLI), []);
}
