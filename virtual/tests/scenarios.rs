//! Simulations of whole fleets: each scenario at several sizes and deployments, checked against all rules, and a faulty
//! gateway for each rule.

use sedgebeam_core::{Gateway, LoadReportMode, Micros, Settings};
use sedgebeam_virtual::*;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// Simulates a scenario to its end and checks what holds in all of them.
fn simulate(deployment: Deployment, name: &str, seed: u64, millis: u64) -> Simulation {
    let run = format!(
        "{name} {}/{} seed {seed}",
        deployment.gateways, deployment.engines
    );
    let mut simulation = Simulation::new(deployment, seed, scenario(name).expect("a scenario"));
    simulation.run(ms(millis));
    simulation.finish();
    assert!(
        simulation.violations.is_empty(),
        "{run}: {:?}",
        simulation.violations
    );
    assert_eq!(simulation.open_requests(), 0, "{run}");
    for counts in &simulation.metrics.classes {
        assert_eq!(
            counts.arrived,
            counts.ended(),
            "{run}: each request has one end"
        );
    }
    let attempts = simulation.metrics.attempts_per_request();
    assert!(attempts < 1.2, "{run}: {attempts}");
    simulation
}

#[test]
fn few_gateways_keep_the_rules_on_every_kind_of_day() {
    for (at, kind) in SCENARIOS.into_iter().enumerate() {
        let simulation = simulate(Deployment::standard(3, 7), kind, at as u64, 9000);
        assert!(
            simulation.goodput() > 0.5,
            "{kind}: {}",
            simulation.goodput()
        );
    }
}

#[test]
fn a_hundred_gateways_keep_the_rules_on_every_kind_of_day() {
    for (at, kind) in SCENARIOS.into_iter().enumerate() {
        let simulation = simulate(Deployment::standard(100, 30), kind, 50 + at as u64, 8000);
        assert!(
            simulation.goodput() > 0.4,
            "{kind}: {}",
            simulation.goodput()
        );
    }
}

#[test]
fn three_hundred_gateways_keep_the_rules_when_engines_are_replaced_or_a_zone_is_lost() {
    for kind in ["replaced", "lost"] {
        let simulation = simulate(Deployment::standard(300, 80), kind, 7, 6000);
        assert!(
            simulation.goodput() > 0.4,
            "{kind}: {}",
            simulation.goodput()
        );
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
        (900, 120),
    ];
    for (at, (gateways, engines)) in sizes.into_iter().enumerate() {
        for kind in ["rolled", "killed and replaced", "retuned"] {
            let mut deployment = Deployment::standard(gateways, engines);
            let new = Fault::replacement(0.9, 2, 2000, 1000);
            let script = match kind {
                "rolled" => scenario("rolled").expect("a scenario"),
                "retuned" => {
                    deployment.settings.gateways *= 5;
                    [new, vec![(ms(6000), Fault::ReloadSettings { gateways })]].concat()
                }
                _ => [
                    new,
                    vec![(
                        ms(3000),
                        Fault::RestartGateways {
                            from_share: 0.0,
                            to_share: 0.7,
                            downtime: ms(300),
                        },
                    )],
                ]
                .concat(),
            };
            let mut simulation = Simulation::new(deployment, 20 + at as u64, script);
            simulation.run(ms(9000));
            let violations = &simulation.violations;
            assert!(
                violations.is_empty(),
                "{gateways}/{engines} {kind}: {violations:?}"
            );
            assert_eq!(
                simulation.metrics.engine_crashes, 0,
                "{gateways}/{engines} {kind}"
            );
        }
    }
}

#[test]
fn as_many_engines_as_gateways_or_more_gateways_than_engines_can_be() {
    simulate(Deployment::standard(30, 7), "replaced", 3, 8000);
    simulate(Deployment::standard(350, 300), "rolled", 4, 3500);
}

#[test]
fn the_rules_hold_by_whatever_settings_tell() {
    let deployments: [Deployment; 5] = [
        Deployment::single_class(60, 20),
        Deployment::minimal(60, 20),
        Deployment::with_load_reports(60, 20, LoadReportMode::InProbes),
        Deployment::with_load_reports(60, 20, LoadReportMode::InAnswers),
        Deployment::with_deduplication(60, 20),
    ];
    for (at, deployment) in deployments.into_iter().enumerate() {
        for kind in ["rolled", "lost", "resets"] {
            simulate(deployment.clone(), kind, 100 + at as u64, 7000);
        }
    }
}

/// Cold engines get work from the start, of every class.
#[test]
fn cold_engines_get_work_of_what_they_can_do() {
    for (gateways, engines) in [(3, 7), (30, 7), (30, 30), (100, 30), (100, 60)] {
        let simulation = simulate(Deployment::standard(gateways, engines), "replaced", 9, 8000);
        let used = simulation.metrics.cold_utilization();
        assert!(used > 0.1, "{gateways}/{engines}: {used}");
        let classes = &simulation.metrics.cold_work;
        assert!(
            gateways < 30 || classes.iter().all(|work| *work > 0.0),
            "{classes:?}"
        );
        assert_eq!(simulation.metrics.engine_crashes, 0, "{gateways}/{engines}");
    }
}

/// After three seconds at 1.3 times what the engines can do, most is served again ten seconds later.
#[test]
fn a_burst_leaves_no_crowd_behind() {
    let mut deployment = Deployment::standard(300, 80);
    deployment.set_offered_load(0.65);
    let simulation = simulate(deployment, "burst", 1, 20_000);
    let served = |from: usize, to: usize| {
        let seconds = &simulation.metrics.per_second[from..to];
        let sum = |part: fn(&WorthPerSecond) -> f64| seconds.iter().map(part).sum::<f64>();
        sum(|second| second.served) / sum(|second| second.offered)
    };
    assert!(served(5, 10) > 0.8, "{} at first", served(5, 10));
    assert!(served(12, 20) > 0.95, "{} in the end", served(12, 20));
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let play = |seed| {
        let simulation = simulate(Deployment::standard(10, 7), "rolled", seed, 5000);
        simulation.metrics.classes
    };
    assert_eq!(play(5), play(5));
    assert_ne!(play(5), play(6));
}

/// Each check notices the gateway that violates its rule, in a scenario that shows it.
#[test]
fn faulty_gateways_are_caught() {
    for (defect, rule, name) in [
        (Defect::AnswersTwice, Rule::SingleAnswer, "burst"),
        (Defect::NeverAnswers, Rule::AnswerInTime, "burst"),
        (Defect::SendsTwice, Rule::SingleAttemptInFlight, "burst"),
        (Defect::RetriesLoads, Rule::NoUnsafeRetry, "resets"),
        (Defect::SendsToDraining, Rule::NoSendAfterDrain, "replaced"),
        (
            Defect::OverloadsColdEngine,
            Rule::NoColdOverload,
            "replaced",
        ),
    ] {
        let make = move |settings, seed| {
            Box::new(FaultyGateway::new(settings, seed, defect)) as Box<dyn GatewayLogic>
        };
        let mut simulation = Simulation::with_gateways(
            Deployment::standard(12, 7),
            2,
            scenario(name).expect("a scenario"),
            Box::new(make),
        );
        simulation.run(ms(7000));
        simulation.finish();
        assert!(
            simulation.violations.contains(rule),
            "{defect:?}: {:?}",
            simulation.violations
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
    let make = move |settings, seed| {
        Box::new(Gateway::new(alone(settings), seed)) as Box<dyn GatewayLogic>
    };
    let script = scenario("replaced").expect("a scenario");
    let mut deployment = Deployment::standard(100, 10);
    deployment.set_offered_load(5.0);
    let mut simulation = Simulation::with_gateways(deployment, 7, script, Box::new(make));
    simulation.run(ms(6000));
    assert!(
        simulation.violations.contains(Rule::NoColdOverload),
        "{:?}",
        simulation.violations
    );
}
