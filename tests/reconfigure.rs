//! New settings while requests are under way.

mod common;

use common::*;
use sedgebeam_core::*;

fn with_attempts(max_attempts: u32) -> Settings {
    Settings {
        max_attempts,
        ..settings()
    }
}

/// How often a request is sent whose every attempt ends in an error, with other settings after the first.
fn sends_in_all(before: Settings, after: Settings, class: usize) -> usize {
    let mut harness = Harness::with_engines(before, 4);
    let mut to = sent_to(&harness.submit(1, class));
    harness.gateway.reconfigure(after);
    let mut count = 0;
    while let Some(engine) = to {
        count += 1;
        to = sent_to(&harness.end_attempt(1, count as u32 - 1, engine, Outcome::Error));
    }
    count
}

#[test]
fn a_request_has_the_fewest_attempts_that_were_allowed_since_it_came() {
    for (before, after, sends) in [
        (3, 3, 3),
        (3, 1, 1),
        (3, 2, 2),
        (2, 5, 2),
        (0, 2, 2),
        (2, 0, 2),
    ] {
        let sent = sends_in_all(with_attempts(before), with_attempts(after), LIGHT);
        assert_eq!(sent, sends, "{before} attempts, then {after}");
    }
}

#[test]
fn a_request_ends_under_the_effect_under_which_it_was_taken() {
    // The light class vanishes, and another of its name, which must never run twice, stands behind the others.
    let mut after = settings();
    let once = Class {
        effect: Effect::Once,
        ..after.classes[LIGHT].clone()
    };
    after.classes[LIGHT].retired = true;
    after.classes.push(once);
    assert_eq!(sends_in_all(settings(), after.clone(), LIGHT), 5);
    let mut harness = Harness::with_engines(settings(), 4);
    harness.gateway.reconfigure(after);
    let to = sent_to(&harness.submit(2, 3)).expect("the new class is served");
    assert!(is_failed(&harness.end_attempt(2, 0, to, Outcome::Error), 2));
}

#[test]
fn what_waits_is_sent_and_answered_after_classes_and_tenants_have_come() {
    let mut harness = Harness::new(settings());
    for (id, class) in [(1, LIGHT), (2, HEAVY), (3, LOAD)] {
        assert_eq!(harness.submit(id, class), vec![]);
    }
    let mut after = settings();
    after.classes.push(class(5.0, 2.0, 1000, 5000));
    after.tenants = vec![Tenant {
        name: "firm".to_string(),
        share: 1.0,
        requests_per_second: 0.0,
    }];
    harness.gateway.reconfigure(after);
    let mut newcomer = query(4, 3);
    newcomer.tenant = Some(TenantId(0));
    harness.handle(Event::Request(newcomer));
    let mut sent = sends(&harness.set_engines((1..=4).map(engine).collect()));
    sent.sort();
    assert_eq!(
        sent.iter().map(|(id, _)| *id).collect::<Vec<_>>(),
        [1, 2, 3, 4]
    );
    for (id, engine) in sent {
        harness.end_attempt(id, 0, engine, Outcome::Ok);
    }
    assert_eq!(harness.advance(20_000), vec![], "nothing is left of them");
}

/// Guards against a load that is let go as none: its table group would stay held on its engine for ever.
#[test]
fn a_load_that_is_retired_lets_its_group_go() {
    let mut harness = Harness::with_engines(settings(), 1);
    let load = Query {
        table_group: TableGroupId(7),
        ..query(1, LOAD)
    };
    assert_eq!(sent_to(&harness.handle(Event::Request(load))), Some(1));
    let mut after = settings();
    after.classes[LOAD].retired = true;
    after.classes.push(Class {
        holds_group: true,
        ..class(15.0, 2.0, 3000, 25000)
    });
    harness.gateway.reconfigure(after);
    let next = Query {
        table_group: TableGroupId(7),
        ..query(2, 3)
    };
    assert_eq!(
        sent_to(&harness.handle(Event::Request(next))),
        None,
        "it is held"
    );
    let done = harness.end_attempt(1, 0, 1, Outcome::Ok);
    assert_eq!(sends(&done), [(2, 1)]);
}

/// A file that names fewer gateways makes each one's part larger from then on. Without this every gateway had the rights
/// of the larger part for the whole life of a cold engine at once, and one request at each pushed it over.
#[test]
fn fewer_gateways_told_of_give_nobody_rights_for_the_time_before() {
    let of = |gateways, me| Settings {
        gateways,
        gateway_index: Some(me),
        overload_multiple: 4.0,
        classes: vec![class(1.0, 1.0, 300, 1500)],
        tenants: vec![Tenant {
            requests_per_second: 1000.0,
            ..Tenant::default()
        }],
        ..settings()
    };
    let begin = ms(100_000);
    let cold = Engine {
        started_at: begin,
        ..engine(1)
    };
    let sent = (0..100).filter(|me| {
        let mut harness = Harness::new(of(1000, *me));
        harness.now = begin;
        harness.set_engines(vec![cold.clone()]);
        // Rights grow as time passes; nobody asks.
        for _ in 0..100 {
            harness.now = harness.now + ms(100);
            harness.handle(Event::Timer(TimerId(0)));
        }
        harness.gateway.reconfigure(of(100, *me));
        harness.now = harness.now + ms(10);
        harness.handle(Event::Timer(TimerId(0)));
        sent_to(&harness.submit(1, LIGHT)).is_some()
    });
    let sent = sent.count();
    assert!(sent < 30, "{sent} of 100 at one moment");
}
