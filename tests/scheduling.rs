//! Scheduling of requests: immediate sends, queues and credit, thread budget, queue bounds and choice of the
//! engine.

mod common;

use common::*;
use sedgebeam_core::*;
use std::collections::{BTreeMap, BTreeSet};

/// A gateway with one engine of one core that reports pressure, so that its budget of two threads is strict.
fn harness_under_pressure(settings: Settings) -> Harness {
    let kinds = vec![Kind {
        cores: 1.0,
        memory_mb: 16384.0,
    }];
    let mut harness = Harness::with_engines(Settings { kinds, ..settings }, 1);
    report_pressure(&mut harness);
    harness
}

fn report_pressure(harness: &mut Harness) {
    let load = LoadReport {
        queries_waiting_for_memory: Some(2.0),
        ..LoadReport::default()
    };
    harness.handle(Event::Probed(EngineId(1), Outcome::Ok, Some(load)));
}

/// Classes that differ only in their worth and use one thread.
fn classes_by_worth(worths: &[f64]) -> Settings {
    let classes = worths
        .iter()
        .map(|worth| class(*worth, 1.0, 60_000, 60_000))
        .collect();
    Settings {
        classes,
        max_retry_after: ms(1000),
        ..settings()
    }
}

/// A query with 50 ms of work whose client waits a minute.
fn patient_query(id: u64, class: usize) -> Query {
    Query {
        work: ms(50),
        ..Query::new(RequestId(id), ClassId(class), ms(60_000))
    }
}

/// Keeps three requests of each class and tenant queued, ends an attempt in each of `rounds` rounds, and returns
/// how many requests of each class and tenant were sent in response.
fn count_releases(
    harness: &mut Harness,
    classes: usize,
    tenants: usize,
    rounds: u64,
) -> BTreeMap<(usize, usize), u64> {
    let mut last_id = 1_000;
    let mut running = Vec::new();
    let mut counts = BTreeMap::new();
    // Class and tenant by request id.
    let mut owners = BTreeMap::new();
    for _ in 0..rounds {
        for class in 0..classes {
            for tenant in 0..tenants {
                let queued = owners
                    .values()
                    .filter(|owner| **owner == (class, tenant))
                    .count();
                for _ in queued..3 {
                    last_id += 1;
                    owners.insert(last_id, (class, tenant));
                    let tenant = (tenants > 1).then_some(TenantId(tenant));
                    let query = Query {
                        tenant,
                        ..patient_query(last_id, class)
                    };
                    let actions = harness.handle(Event::Request(query));
                    running.extend(sends(&actions).into_iter().map(|(id, _)| id));
                }
            }
        }
        report_pressure(harness);
        let id = running.remove(0);
        owners.remove(&id);
        for (id, _) in sends(&harness.end_attempt(id, 0, 1, Outcome::Ok)) {
            running.push(id);
            if let Some(owner) = owners.remove(&id) {
                *counts.entry(owner).or_default() += 1;
            }
        }
    }
    counts
}

#[test]
fn a_query_is_sent_at_once_if_none_is_queued_and_an_engine_has_a_free_slot() {
    let mut harness = Harness::with_engines(settings(), 1);
    let actions = harness.handle_all(vec![Event::Request(query(1, LIGHT))]);
    assert_eq!(sends(&actions), vec![(1, 1)]);
    assert!(
        matches!(actions[0], Action::AttemptResources { priority: 3, .. }),
        "the class with the most worth per thread second"
    );
    let actions = harness.handle_all(vec![Event::Request(query(2, HEAVY))]);
    assert!(
        matches!(actions[0], Action::AttemptResources { priority: 1, .. }),
        "the class with the least worth per thread second has the default priority"
    );
}

#[test]
fn releases_follow_the_worth_of_classes_in_the_long_run() {
    let mut harness = harness_under_pressure(classes_by_worth(&[1.0, 3.0]));
    let counts = count_releases(&mut harness, 2, 1, 400);
    let share = counts[&(1, 0)] as f64 / 400.0;
    assert!((share - 0.75).abs() < 0.03, "{share}");
}

#[test]
fn releases_of_a_class_follow_the_shares_of_tenants() {
    let tenant = |share| Tenant {
        share,
        ..Tenant::default()
    };
    let mut harness = harness_under_pressure(Settings {
        tenants: vec![tenant(0.8), tenant(0.2)],
        ..classes_by_worth(&[1.0])
    });
    let counts = count_releases(&mut harness, 1, 2, 400);
    let share = counts[&(0, 0)] as f64 / 400.0;
    assert!((share - 0.8).abs() < 0.03, "{share}");
}

#[test]
fn the_queue_of_a_class_and_tenant_is_first_in_first_out() {
    let mut harness = harness_under_pressure(classes_by_worth(&[1.0]));
    for id in 1..=5 {
        harness.handle(Event::Request(patient_query(id, 0)));
    }
    let mut order = Vec::new();
    for id in 1..=3 {
        report_pressure(&mut harness);
        order.extend(
            sends(&harness.end_attempt(id, 0, 1, Outcome::Ok))
                .into_iter()
                .map(|(id, _)| id),
        );
    }
    assert_eq!(order, vec![3, 4, 5]);
}

#[test]
fn a_light_release_costs_less_credit_so_that_heavy_queries_do_not_starve_light_ones() {
    // Guards against a cost of one credit per release, whatever its work: the light class then got one release
    // in 21.
    let mut settings = classes_by_worth(&[1.0, 20.0]);
    settings.classes[1].threads = 2.0;
    let mut harness = harness_under_pressure(settings);
    let answer = |id, elapsed| {
        let Event::Ended(end) = attempt_ended(id, 0, 1, Outcome::Ok, true) else {
            unreachable!()
        };
        Event::Ended(AttemptEnded { elapsed, ..end })
    };
    // The gateway learns the usual times: 50 ms on one thread, and a second on two threads.
    harness.handle(Event::Request(patient_query(1, 0)));
    harness.handle(answer(1, ms(50)));
    harness.handle(Event::Request(patient_query(2, 1)));
    harness.handle(answer(2, ms(1000)));
    report_pressure(&mut harness);
    harness.handle(Event::Request(patient_query(3, 1)));
    for id in 0..40 {
        harness.handle(Event::Request(patient_query(100 + id, 0)));
        harness.handle(Event::Request(patient_query(200 + id, 1)));
    }
    let (mut in_flight, mut light_releases) = (vec![3], 0);
    for _ in 0..30 {
        report_pressure(&mut harness);
        let id = in_flight.remove(0);
        let elapsed = if (100..200).contains(&id) {
            ms(50)
        } else {
            ms(1000)
        };
        for (id, _) in sends(&harness.handle(answer(id, elapsed))) {
            light_releases += u64::from((100..200).contains(&id));
            in_flight.push(id);
        }
    }
    assert!(
        light_releases >= 10,
        "{light_releases} light releases of 30"
    );
}

#[test]
fn a_class_without_a_suitable_engine_yields_its_turn() {
    let mut settings = settings();
    settings.kinds.push(Kind {
        cores: 8.0,
        memory_mb: 16384.0,
    });
    settings.classes[HEAVY].only_kinds = Some(vec![KindId(1)]);
    let mut harness = Harness::with_engines(settings, 2);
    assert_eq!(
        harness.submit(1, HEAVY),
        vec![],
        "there is no engine of its kind"
    );
    assert_eq!(sends(&harness.submit(2, LIGHT)).len(), 1);
}

#[test]
fn the_thread_budget_is_strict_under_pressure_but_always_allows_one_query() {
    let mut harness = harness_under_pressure(settings());
    assert_eq!(
        sends(&harness.submit(1, HEAVY)).len(),
        1,
        "four threads on a budget of two"
    );
    assert_eq!(sends(&harness.submit(2, HEAVY)), vec![]);
    let kinds = vec![Kind {
        cores: 1.0,
        memory_mb: 16384.0,
    }];
    let mut without_pressure = Harness::with_engines(
        Settings {
            kinds,
            ..settings()
        },
        1,
    );
    let sent_count: usize = (1..=3)
        .map(|id| sends(&without_pressure.submit(id, LIGHT)).len())
        .sum();
    assert_eq!(
        sent_count, 3,
        "without pressure more than two threads may be in flight"
    );
}

#[test]
fn a_queue_refuses_requests_beyond_its_bound_at_once_with_a_retry_delay() {
    let mut harness = harness_under_pressure(settings());
    harness.submit(1, HEAVY);
    let answers: Vec<Actions> = (2..=20).map(|id| harness.submit(id, HEAVY)).collect();
    let refusals: Vec<&Action> = answers.iter().flatten().collect();
    assert!(
        !refusals.is_empty() && refusals.len() <= 16,
        "at least a few requests are queued"
    );
    for refusal in refusals {
        let Action::Refuse { retry_after, .. } = refusal else {
            panic!("{refusal:?}")
        };
        assert!(*retry_after > Micros(0) && *retry_after <= ms(1000));
    }
}

#[test]
fn a_free_slot_needs_free_memory() {
    // Guards against spills to disk: two queries of 9 GB do not fit into 16 GB of memory.
    let mut harness = Harness::with_engines(settings(), 1);
    let large_query = |id| {
        Event::Request(Query {
            memory_mb: 9000.0,
            ..query(id, HEAVY)
        })
    };
    assert_eq!(sends(&harness.handle(large_query(1))).len(), 1);
    assert_eq!(harness.handle(large_query(2)), vec![]);
    assert_eq!(
        sends(&harness.end_attempt(1, 0, 1, Outcome::Ok)),
        vec![(2, 1)]
    );
}

#[test]
fn the_wait_limit_for_a_slot_does_not_apply_while_a_request_waits_for_its_key() {
    // Guards against refusing the loads of one key while the first of them still runs on time.
    let mut harness = Harness::with_engines(settings(), 2);
    let load = |id| {
        Event::Request(Query {
            key: Some(Key(1)),
            ..query(id, LOAD)
        })
    };
    let target = sent_to(&harness.handle(load(1))).expect("an engine is ready");
    harness.handle(load(2));
    assert_eq!(
        harness.advance(3500),
        vec![],
        "the wait is longer than the limit for a slot"
    );
    assert_eq!(
        sends(&harness.end_attempt(1, 0, target, Outcome::Ok)).len(),
        1
    );
}

#[test]
fn queries_avoid_engines_that_load_their_table_group_and_loads_leave_some_engines_free() {
    // Guards against loads of one table group on every engine, behind which all of its look-ups waited.
    let mut settings = settings();
    settings.classes[LIGHT].waits_for_load = true;
    let mut harness = Harness::with_engines(settings, 5);
    let mut loading_engines = BTreeSet::new();
    for id in 1..=5 {
        loading_engines.extend(
            sends(&harness.submit(id, LOAD))
                .into_iter()
                .map(|(_, engine)| engine),
        );
    }
    assert!(
        loading_engines.len() < 5,
        "some engines run no load of the group"
    );
    for id in 11..=30 {
        let target = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
        assert!(!loading_engines.contains(&target));
    }
}

#[test]
fn only_groups_whose_preferred_engine_is_removed_get_another_one() {
    let preferred_engines = |engines: &[u64]| -> Vec<u64> {
        let preferred = |group| {
            let mut harness = Harness::new(settings());
            harness.set_engines(engines.iter().copied().map(engine).collect());
            let query = Query {
                table_group: TableGroupId(group),
                ..query(1, LIGHT)
            };
            sent_to(&harness.handle(Event::Request(query))).expect("an engine is ready")
        };
        (0..60).map(preferred).collect()
    };
    let (with_all, without_3) = (
        preferred_engines(&[1, 2, 3, 4, 5]),
        preferred_engines(&[1, 2, 4, 5]),
    );
    for (before, after) in with_all.iter().zip(&without_3) {
        assert!(
            before == after || *before == 3,
            "a group moved from engine {before} to {after}"
        );
    }
    assert_eq!(
        with_all.iter().collect::<BTreeSet<_>>().len(),
        5,
        "every engine is preferred by some group"
    );
}

#[test]
fn an_engine_far_above_the_mean_utilization_is_skipped() {
    let mut harness = Harness::with_engines(settings(), 4);
    let targets: Vec<u64> = (1..=8)
        .filter_map(|id| sent_to(&harness.submit(id, LIGHT)))
        .collect();
    let mut counts = BTreeMap::new();
    for engine in &targets {
        *counts.entry(*engine).or_insert(0) += 1;
    }
    assert_eq!(targets.len(), 8);
    assert_eq!(
        counts.len(),
        4,
        "one table group is spread over all engines: {counts:?}"
    );
}
