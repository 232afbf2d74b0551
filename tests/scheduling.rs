//! The ordinary path: direct pass, queues and credit, budget, admission, engine choice.

mod common;

use common::*;
use sedgebeam_core::*;
use std::collections::{BTreeMap, BTreeSet};

/// One small engine that says that it is pressed: its budget of two threads binds.
fn pressed(settings: Settings) -> Harness {
    let kinds = vec![Kind {
        cores: 1.0,
        memory_mb: 16384.0,
    }];
    let mut harness = Harness::with_engines(Settings { kinds, ..settings }, 1);
    press(&mut harness);
    harness
}

fn press(harness: &mut Harness) {
    let load = LoadReport {
        queries_waiting_for_memory: Some(2.0),
        ..LoadReport::default()
    };
    harness.handle(Event::Probed(EngineId(1), Outcome::Ok, Some(load)));
}

/// Classes alike but for their worth; all take the same time, on one thread.
fn alike(worths: &[f64]) -> Settings {
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

fn waiting(id: u64, class: usize) -> Query {
    Query {
        work: ms(50),
        ..Query::new(RequestId(id), ClassId(class), ms(60_000))
    }
}

/// Keeps every class waiting and returns how often each was released in `rounds` releases.
fn releases(
    harness: &mut Harness,
    classes: usize,
    tenants: usize,
    rounds: u64,
) -> BTreeMap<(usize, usize), u64> {
    let mut next = 1_000;
    let mut running = Vec::new();
    let mut counts = BTreeMap::new();
    let mut parties = BTreeMap::new();
    for _ in 0..rounds {
        for class in 0..classes {
            for tenant in 0..tenants {
                let queued = parties
                    .values()
                    .filter(|party| **party == (class, tenant))
                    .count();
                for _ in queued..3 {
                    next += 1;
                    parties.insert(next, (class, tenant));
                    let tenant = (tenants > 1).then_some(TenantId(tenant));
                    let query = Query {
                        tenant,
                        ..waiting(next, class)
                    };
                    let done = harness.handle(Event::Request(query));
                    running.extend(sends(&done).into_iter().map(|(id, _)| id));
                }
            }
        }
        press(harness);
        let id = running.remove(0);
        parties.remove(&id);
        for (id, _) in sends(&harness.end_attempt(id, 0, 1, Outcome::Ok)) {
            running.push(id);
            if let Some(party) = parties.remove(&id) {
                *counts.entry(party).or_default() += 1;
            }
        }
    }
    counts
}

#[test]
fn a_query_passes_straight_while_nothing_waits_and_a_slot_is_spare() {
    let mut harness = Harness::with_engines(settings(), 1);
    let actions = harness.handle_all(vec![Event::Request(query(1, LIGHT))]);
    assert_eq!(sends(&actions), vec![(1, 1)]);
    assert!(
        matches!(actions[0], Action::AttemptResources { priority: 3, .. }),
        "most worth for its thread time"
    );
    let actions = harness.handle_all(vec![Event::Request(query(2, HEAVY))]);
    assert!(
        matches!(actions[0], Action::AttemptResources { priority: 1, .. }),
        "least worth for its thread time at the usual priority"
    );
}

#[test]
fn long_run_shares_follow_the_weights() {
    let mut harness = pressed(alike(&[1.0, 3.0]));
    let counts = releases(&mut harness, 2, 1, 400);
    let share = counts[&(1, 0)] as f64 / 400.0;
    assert!((share - 0.75).abs() < 0.03, "{share}");
}

#[test]
fn tenants_split_a_class_by_their_shares() {
    let tenant = |share| Tenant {
        share,
        ..Tenant::default()
    };
    let mut harness = pressed(Settings {
        tenants: vec![tenant(0.8), tenant(0.2)],
        ..alike(&[1.0])
    });
    let counts = releases(&mut harness, 1, 2, 400);
    let share = counts[&(0, 0)] as f64 / 400.0;
    assert!((share - 0.8).abs() < 0.03, "{share}");
}

#[test]
fn a_class_and_tenant_line_is_first_in_first_out() {
    let mut harness = pressed(alike(&[1.0]));
    for id in 1..=5 {
        harness.handle(Event::Request(waiting(id, 0)));
    }
    let mut order = Vec::new();
    for id in 1..=3 {
        press(&mut harness);
        order.extend(
            sends(&harness.end_attempt(id, 0, 1, Outcome::Ok))
                .into_iter()
                .map(|(id, _)| id),
        );
    }
    assert_eq!(order, vec![3, 4, 5]);
}

#[test]
fn a_light_draw_pays_only_its_part_so_that_heavy_ones_do_not_starve_it() {
    // Guards against incident ic6e512: at one credit a draw the light class gets one release in 21.
    let mut settings = alike(&[1.0, 20.0]);
    settings.classes[1].threads = 2.0;
    let mut harness = pressed(settings);
    let answer = |id, took| {
        let Event::Ended(end) = attempt_ended(id, 0, 1, Outcome::Ok, true) else {
            unreachable!()
        };
        Event::Ended(AttemptEnded {
            elapsed: took,
            ..end
        })
    };
    // Both usual times are learned: 50 ms, and a second on two threads.
    harness.handle(Event::Request(waiting(1, 0)));
    harness.handle(answer(1, ms(50)));
    harness.handle(Event::Request(waiting(2, 1)));
    harness.handle(answer(2, ms(1000)));
    press(&mut harness);
    harness.handle(Event::Request(waiting(3, 1)));
    for id in 0..40 {
        harness.handle(Event::Request(waiting(100 + id, 0)));
        harness.handle(Event::Request(waiting(200 + id, 1)));
    }
    let (mut out, mut light) = (vec![3], 0);
    for _ in 0..30 {
        press(&mut harness);
        let id = out.remove(0);
        let took = if (100..200).contains(&id) {
            ms(50)
        } else {
            ms(1000)
        };
        for (id, _) in sends(&harness.handle(answer(id, took))) {
            light += u64::from((100..200).contains(&id));
            out.push(id);
        }
    }
    assert!(light >= 10, "{light} light releases of 30");
}

#[test]
fn a_class_that_fits_nowhere_yields_its_turn() {
    let mut settings = settings();
    settings.kinds.push(Kind {
        cores: 8.0,
        memory_mb: 16384.0,
    });
    settings.classes[HEAVY].only_kinds = Some(vec![KindId(1)]);
    let mut harness = Harness::with_engines(settings, 2);
    assert_eq!(harness.submit(1, HEAVY), vec![], "no engine of its kind");
    assert_eq!(sends(&harness.submit(2, LIGHT)).len(), 1);
}

#[test]
fn the_budget_binds_under_pressure_and_always_allows_one_query() {
    let mut harness = pressed(settings());
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
    let mut free = Harness::with_engines(
        Settings {
            kinds,
            ..settings()
        },
        1,
    );
    let sent: usize = (1..=3).map(|id| sends(&free.submit(id, LIGHT)).len()).sum();
    assert_eq!(sent, 3, "without pressure more than two threads may be out");
}

#[test]
fn a_queue_refuses_at_once_beyond_its_bound_with_advice() {
    let mut harness = pressed(settings());
    harness.submit(1, HEAVY);
    let answers: Vec<Actions> = (2..=20).map(|id| harness.submit(id, HEAVY)).collect();
    let refusals: Vec<&Action> = answers.iter().flatten().collect();
    assert!(
        !refusals.is_empty() && refusals.len() <= 16,
        "at least a few wait"
    );
    for refusal in refusals {
        let Action::Refuse { retry_after, .. } = refusal else {
            panic!("{refusal:?}")
        };
        assert!(*retry_after > Micros(0) && *retry_after <= ms(1000));
    }
}

#[test]
fn memory_is_part_of_the_slot() {
    // Guards against spills: two queries of 9 GB do not fit into 16 GB.
    let mut harness = Harness::with_engines(settings(), 1);
    let big = |id| {
        Event::Request(Query {
            memory_mb: 9000.0,
            ..query(id, HEAVY)
        })
    };
    assert_eq!(sends(&harness.handle(big(1))).len(), 1);
    assert_eq!(harness.handle(big(2)), vec![]);
    assert_eq!(
        sends(&harness.end_attempt(1, 0, 1, Outcome::Ok)),
        vec![(2, 1)]
    );
}

#[test]
fn the_wait_for_a_key_is_not_the_wait_for_a_slot() {
    // Guards against loads of one key refused while the first of them runs on time.
    let mut harness = Harness::with_engines(settings(), 2);
    let load = |id| {
        Event::Request(Query {
            key: Some(Key(1)),
            ..query(id, LOAD)
        })
    };
    let to = sent_to(&harness.handle(load(1))).expect("an engine is ready");
    harness.handle(load(2));
    assert_eq!(
        harness.advance(3500),
        vec![],
        "longer than it would wait for a slot"
    );
    assert_eq!(sends(&harness.end_attempt(1, 0, to, Outcome::Ok)).len(), 1);
}

#[test]
fn a_load_keeps_queries_of_its_group_off_its_engine_and_loads_leave_engines_free() {
    // Guards against incident ic6e512: loads of a hot group on every engine, look-ups still behind them.
    let mut settings = settings();
    settings.classes[LIGHT].waits_for_load = true;
    let mut harness = Harness::with_engines(settings, 5);
    let mut held = BTreeSet::new();
    for id in 1..=5 {
        held.extend(
            sends(&harness.submit(id, LOAD))
                .into_iter()
                .map(|(_, engine)| engine),
        );
    }
    assert!(held.len() < 5, "some engines stay free of the group");
    for id in 11..=30 {
        let to = sent_to(&harness.submit(id, LIGHT)).expect("an engine is ready");
        assert!(!held.contains(&to));
    }
}

#[test]
fn the_table_group_order_is_stable_when_an_engine_leaves() {
    let homes = |engines: &[u64]| -> Vec<u64> {
        let home = |group| {
            let mut harness = Harness::new(settings());
            harness.set_engines(engines.iter().copied().map(engine).collect());
            let query = Query {
                table_group: TableGroupId(group),
                ..query(1, LIGHT)
            };
            sent_to(&harness.handle(Event::Request(query))).expect("an engine is ready")
        };
        (0..60).map(home).collect()
    };
    let (all, less) = (homes(&[1, 2, 3, 4, 5]), homes(&[1, 2, 4, 5]));
    for (before, after) in all.iter().zip(&less) {
        assert!(before == after || *before == 3, "{before} became {after}");
    }
    assert_eq!(
        all.iter().collect::<BTreeSet<_>>().len(),
        5,
        "every engine is some group's first"
    );
}

#[test]
fn an_engine_above_the_near_average_is_passed_over() {
    let mut harness = Harness::with_engines(settings(), 4);
    let sent: Vec<u64> = (1..=8)
        .filter_map(|id| sent_to(&harness.submit(id, LIGHT)))
        .collect();
    let mut counts = BTreeMap::new();
    for engine in &sent {
        *counts.entry(*engine).or_insert(0) += 1;
    }
    assert_eq!(sent.len(), 8);
    assert_eq!(
        counts.len(),
        4,
        "one group, yet no engine far above the mean: {counts:?}"
    );
}
