//! New settings while requests are queued or in flight.

mod common;

use common::*;
use sedgebeam_core::*;

fn with_max_attempts(max_attempts: u32) -> Settings {
    Settings {
        max_attempts,
        ..settings()
    }
}

/// Number of attempts of a request that always gets an error; the settings change after the first attempt.
fn count_attempts(before: Settings, after: Settings, class: usize) -> usize {
    let mut harness = Harness::with_engines(before, 4);
    let mut target = sent_to(&harness.submit(1, class));
    harness.gateway.reconfigure(after);
    let mut count = 0;
    while let Some(engine) = target {
        count += 1;
        target = sent_to(&harness.end_attempt(1, count as u32 - 1, engine, Outcome::Error));
    }
    count
}

#[test]
fn a_request_gets_the_lowest_attempt_limit_since_its_arrival() {
    for (before, after, expected) in [
        (3, 3, 3),
        (3, 1, 1),
        (3, 2, 2),
        (2, 5, 2),
        (0, 2, 2),
        (2, 0, 2),
    ] {
        let attempt_count =
            count_attempts(with_max_attempts(before), with_max_attempts(after), LIGHT);
        assert_eq!(
            attempt_count, expected,
            "limit of {before} attempts, then {after}"
        );
    }
}

#[test]
fn a_request_keeps_the_effect_that_its_class_had_on_arrival() {
    // The light class is replaced by a class of the same name at the end of the list, which may run at most
    // once.
    let mut after = settings();
    let once = Class {
        effect: Effect::Once,
        ..after.classes[LIGHT].clone()
    };
    after.classes[LIGHT].retired = true;
    after.classes.push(once);
    assert_eq!(count_attempts(settings(), after.clone(), LIGHT), 5);
    let mut harness = Harness::with_engines(settings(), 4);
    harness.gateway.reconfigure(after);
    let target = sent_to(&harness.submit(2, 3)).expect("the new class is served");
    assert!(is_failed(
        &harness.end_attempt(2, 0, target, Outcome::Error),
        2
    ));
}

#[test]
fn queued_requests_are_sent_and_answered_after_classes_and_tenants_were_added() {
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
    let mut new_class_query = query(4, 3);
    new_class_query.tenant = Some(TenantId(0));
    harness.handle(Event::Request(new_class_query));
    let mut sent_requests = sends(&harness.set_engines((1..=4).map(engine).collect()));
    sent_requests.sort();
    assert_eq!(
        sent_requests.iter().map(|(id, _)| *id).collect::<Vec<_>>(),
        [1, 2, 3, 4]
    );
    for (id, engine) in sent_requests {
        harness.end_attempt(id, 0, engine, Outcome::Ok);
    }
    assert_eq!(harness.advance(20_000), vec![], "no request remains");
}

/// Guards against ending a load of a retired class as if it were no load: its engine would then stay marked as
/// loading the table group.
#[test]
fn a_load_of_a_retired_class_releases_its_table_group() {
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
    let next_load = Query {
        table_group: TableGroupId(7),
        ..query(2, 3)
    };
    assert_eq!(
        sent_to(&harness.handle(Event::Request(next_load))),
        None,
        "a load holds the table group"
    );
    let actions = harness.end_attempt(1, 0, 1, Outcome::Ok);
    assert_eq!(sends(&actions), [(2, 1)]);
}

/// With fewer gateways in the settings, each gateway's share is larger from then on. Guards against granting, at
/// once, the tokens of the larger share for the whole time since a cold engine's start: one request of each
/// gateway overloaded the engine.
#[test]
fn fewer_gateways_in_the_settings_grant_no_admission_tokens_for_the_time_before() {
    let settings_of = |gateways, gateway_index| Settings {
        gateways,
        gateway_index: Some(gateway_index),
        overload_multiple: 4.0,
        classes: vec![class(1.0, 1.0, 300, 1500)],
        tenants: vec![Tenant {
            requests_per_second: 1000.0,
            ..Tenant::default()
        }],
        ..settings()
    };
    let started_at = ms(100_000);
    let cold = Engine {
        started_at,
        ..engine(1)
    };
    let sending_gateways = (0..100).filter(|gateway_index| {
        let mut harness = Harness::new(settings_of(1000, *gateway_index));
        harness.now = started_at;
        harness.set_engines(vec![cold.clone()]);
        // Tokens accrue over time, without requests.
        for _ in 0..100 {
            harness.now = harness.now + ms(100);
            harness.handle(Event::Timer(TimerId(0)));
        }
        harness
            .gateway
            .reconfigure(settings_of(100, *gateway_index));
        harness.now = harness.now + ms(10);
        harness.handle(Event::Timer(TimerId(0)));
        sent_to(&harness.submit(1, LIGHT)).is_some()
    });
    let sender_count = sending_gateways.count();
    assert!(
        sender_count < 30,
        "{sender_count} of 100 gateways sent a request at the same time"
    );
}
