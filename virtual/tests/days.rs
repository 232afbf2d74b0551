//! Days of whole fleets: each fault at several sizes and deployments, with all rules held against it, and a double
//! for each rule.

use sedgebeam_core::{Gateway, Micros, Reports, Settings};
use sedgebeam_virtual::*;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// A day to its end: what holds on any day is checked.
fn day(deployment: Deployment, kind: &str, seed: u64, lasts: u64) -> World {
    let name = format!(
        "{kind} {}/{} seed {seed}",
        deployment.gateways, deployment.engines
    );
    let mut world = World::new(deployment, seed, script(kind).expect("a kind"));
    world.run(ms(lasts));
    world.finish();
    assert!(
        world.verdict.broken.is_empty(),
        "{name}: {:?}",
        world.verdict.broken
    );
    assert_eq!(world.outstanding(), 0, "{name}");
    for tally in &world.tallies {
        assert_eq!(
            tally.asked,
            tally.ended(),
            "{name}: each request has one end"
        );
    }
    assert!(
        world.amplification() < 1.2,
        "{name}: {}",
        world.amplification()
    );
    world
}

#[test]
fn few_gateways_keep_the_rules_on_every_kind_of_day() {
    for (at, kind) in KINDS.into_iter().enumerate() {
        let world = day(Deployment::usual(3, 7), kind, at as u64, 9000);
        assert!(world.worth() > 0.5, "{kind}: {}", world.worth());
    }
}

#[test]
fn a_hundred_gateways_keep_the_rules_on_every_kind_of_day() {
    for (at, kind) in KINDS.into_iter().enumerate() {
        let world = day(Deployment::usual(100, 30), kind, 50 + at as u64, 8000);
        assert!(world.worth() > 0.4, "{kind}: {}", world.worth());
    }
}

#[test]
fn three_hundred_gateways_keep_the_rules_when_engines_are_replaced_or_a_zone_is_lost() {
    for kind in ["replaced", "lost"] {
        let world = day(Deployment::usual(300, 80), kind, 7, 6000);
        assert!(world.worth() > 0.4, "{kind}: {}", world.worth());
    }
}

/// The ramp of a cold engine holds for the sum of all gateways: where they count, where they go by rights, and at the
/// border between, while they restart, are killed, and all engines are new at once, and when a file names fewer gateways
/// than it did.
#[test]
fn no_cold_engine_falls_at_any_number_of_gateways() {
    let sizes = [
        (3, 7),
        (6, 7),
        (8, 7),
        (20, 10),
        (30, 10),
        (100, 20),
        (300, 40),
    ];
    for (at, (gateways, engines)) in sizes.into_iter().enumerate() {
        for kind in ["rolled", "killed and replaced", "retuned"] {
            let mut deployment = Deployment::usual(gateways, engines);
            let new = Fault::replacement(0.9, 2, 2000, 1000);
            let script = match kind {
                "rolled" => script("rolled").expect("a kind"),
                "retuned" => {
                    deployment.settings.gateways *= 5;
                    [new, vec![(ms(6000), Fault::Retune { gateways })]].concat()
                }
                _ => [
                    new,
                    vec![(
                        ms(3000),
                        Fault::Restart {
                            from: 0.0,
                            to: 0.7,
                            away: ms(300),
                        },
                    )],
                ]
                .concat(),
            };
            let mut world = World::new(deployment, 20 + at as u64, script);
            world.run(ms(9000));
            let broken = &world.verdict.broken;
            assert!(broken.is_empty(), "{gateways}/{engines} {kind}: {broken:?}");
            assert_eq!(world.falls, 0, "{gateways}/{engines} {kind}");
        }
    }
}

#[test]
fn as_many_engines_as_gateways_or_more_gateways_than_engines_can_be() {
    day(Deployment::usual(30, 7), "replaced", 3, 8000);
    day(Deployment::usual(350, 300), "rolled", 4, 3500);
}

#[test]
fn the_rules_hold_by_whatever_settings_tell() {
    let deployments: [Deployment; 5] = [
        Deployment::one_class(60, 20),
        Deployment::bare(60, 20),
        Deployment::reporting(60, 20, Reports::InProbes),
        Deployment::reporting(60, 20, Reports::InAnswers),
        Deployment::keyed(60, 20),
    ];
    for (at, deployment) in deployments.into_iter().enumerate() {
        for kind in ["rolled", "lost", "resets"] {
            day(deployment.clone(), kind, 100 + at as u64, 7000);
        }
    }
}

/// Cold engines get work from the start, of every class.
#[test]
fn cold_engines_get_work_of_what_they_can_do() {
    for (gateways, engines) in [(3, 7), (30, 7), (30, 30), (100, 30), (100, 60)] {
        let world = day(Deployment::usual(gateways, engines), "replaced", 9, 8000);
        let used = world.cold_used();
        assert!(used > 0.1, "{gateways}/{engines}: {used}");
        let classes = &world.cold_work;
        assert!(
            gateways < 30 || classes.iter().all(|work| *work > 0.0),
            "{classes:?}"
        );
        assert_eq!(world.falls, 0, "{gateways}/{engines}");
    }
}

/// After three seconds at 1.3 times what the engines can do, most is served again ten seconds later.
#[test]
fn a_burst_leaves_no_crowd_behind() {
    let mut deployment = Deployment::usual(300, 80);
    deployment.ask(0.65);
    let world = day(deployment, "burst", 1, 20_000);
    let served = |from: usize, to: usize| {
        let seconds = &world.by_second[from..to];
        let sum = |part: fn(&(f64, f64)) -> f64| seconds.iter().map(part).sum::<f64>();
        sum(|second| second.1) / sum(|second| second.0)
    };
    assert!(served(5, 10) > 0.8, "{} at first", served(5, 10));
    assert!(served(12, 20) > 0.95, "{} in the end", served(12, 20));
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let play = |seed| {
        let world = day(Deployment::usual(10, 7), "rolled", seed, 5000);
        world.tallies
    };
    assert_eq!(play(5), play(5));
    assert_ne!(play(5), play(6));
}

/// Each checker sees the double that breaks its rule, on a day of the kind that shows it.
#[test]
fn doubles_are_caught() {
    for (breaks, rule, kind) in [
        (Breaks::AnswersTwice, Rule::OneAnswer, "burst"),
        (Breaks::SaysNothing, Rule::Answered, "burst"),
        (Breaks::SendsTwice, Rule::OneOut, "burst"),
        (Breaks::RepeatsLoads, Rule::OnceOnly, "resets"),
        (Breaks::KeepsDrained, Rule::Drained, "replaced"),
        (Breaks::PushesCold, Rule::ColdLoad, "replaced"),
    ] {
        let make =
            move |settings, seed| Box::new(Double::new(settings, seed, breaks)) as Box<dyn Decides>;
        let mut world = World::of(
            Deployment::usual(12, 7),
            2,
            script(kind).expect("a kind"),
            Box::new(make),
        );
        world.run(ms(7000));
        world.finish();
        assert!(
            world.verdict.broke(rule),
            "{breaks:?}: {:?}",
            world.verdict.broken
        );
    }
}

/// Each gateway acts as if it were alone: only all of them together break the rule.
#[test]
fn gateways_that_count_on_a_whole_engine_are_caught() {
    let alone = |settings| Settings {
        gateways: 1,
        start_capacity: 1e9,
        warm_after: ms(1),
        ..settings
    };
    let make =
        move |settings, seed| Box::new(Gateway::new(alone(settings), seed)) as Box<dyn Decides>;
    let script = script("replaced").expect("a kind");
    let mut deployment = Deployment::usual(100, 10);
    deployment.ask(5.0);
    let mut world = World::of(deployment, 7, script, Box::new(make));
    world.run(ms(6000));
    assert!(
        world.verdict.broke(Rule::ColdLoad),
        "{:?}",
        world.verdict.broken
    );
}
