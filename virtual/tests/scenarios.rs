//! Simulations of whole fleets: scenarios at several sizes and deployments, checked against all rules, and a
//! faulty gateway for each rule.

use sedgebeam_core::{Gateway, LoadReportMode, Micros, Settings};
use sedgebeam_virtual::*;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// Simulates a scenario until all requests are closed and checks the properties that hold in all scenarios.
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
            "{run}: each request has exactly one outcome"
        );
    }
    let attempts = simulation.metrics.attempts_per_request();
    assert!(attempts < 1.2, "{run}: {attempts}");
    simulation
}

#[test]
fn a_few_gateways_keep_the_rules_in_every_scenario() {
    for (index, name) in SCENARIOS.into_iter().enumerate() {
        let simulation = simulate(Deployment::standard(3, 7), name, index as u64, 9000);
        assert!(
            simulation.goodput() > 0.5,
            "{name}: {}",
            simulation.goodput()
        );
    }
}

#[test]
fn a_hundred_gateways_keep_the_rules_in_every_scenario() {
    for (index, name) in SCENARIOS.into_iter().enumerate() {
        let simulation = simulate(Deployment::standard(100, 30), name, 50 + index as u64, 8000);
        assert!(
            simulation.goodput() > 0.4,
            "{name}: {}",
            simulation.goodput()
        );
    }
}

#[test]
fn three_hundred_gateways_keep_the_rules_when_engines_are_replaced_or_a_zone_is_lost() {
    for name in ["replaced", "lost"] {
        let simulation = simulate(Deployment::standard(300, 80), name, 7, 6000);
        assert!(
            simulation.goodput() > 0.4,
            "{name}: {}",
            simulation.goodput()
        );
    }
}

/// The slow start of a cold engine limits the sum of all gateways. Small fleets count their attempts, large
/// ones use admission tokens, and the sizes include the border between the two. The limit holds while gateways
/// restart or are killed, while almost all engines are new, and when reloaded settings name fewer gateways than
/// before.
#[test]
fn no_cold_engine_crashes_at_any_number_of_gateways() {
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
    for (index, (gateways, engines)) in sizes.into_iter().enumerate() {
        for name in ["rolled", "killed and replaced", "reloaded"] {
            let mut deployment = Deployment::standard(gateways, engines);
            let replacement = Fault::replacement(0.9, 2, 2000, 1000);
            let script = match name {
                "rolled" => scenario("rolled").expect("a scenario"),
                "reloaded" => {
                    deployment.settings.gateways *= 5;
                    [
                        replacement,
                        vec![(ms(6000), Fault::ReloadSettings { gateways })],
                    ]
                    .concat()
                }
                _ => [
                    replacement,
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
            let mut simulation = Simulation::new(deployment, 20 + index as u64, script);
            simulation.run(ms(9000));
            let violations = &simulation.violations;
            assert!(
                violations.is_empty(),
                "{gateways}/{engines} {name}: {violations:?}"
            );
            assert_eq!(
                simulation.metrics.engine_crashes, 0,
                "{gateways}/{engines} {name}"
            );
        }
    }
}

#[test]
fn fleets_may_have_more_gateways_than_engines_or_about_as_many() {
    simulate(Deployment::standard(30, 7), "replaced", 3, 8000);
    simulate(Deployment::standard(350, 300), "rolled", 4, 3500);
}

#[test]
fn the_rules_hold_with_all_kinds_of_settings() {
    let deployments: [Deployment; 5] = [
        Deployment::single_class(60, 20),
        Deployment::minimal(60, 20),
        Deployment::with_load_reports(60, 20, LoadReportMode::InProbes),
        Deployment::with_load_reports(60, 20, LoadReportMode::InAnswers),
        Deployment::with_deduplication(60, 20),
    ];
    for (index, deployment) in deployments.into_iter().enumerate() {
        for name in ["rolled", "lost", "resets"] {
            simulate(deployment.clone(), name, 100 + index as u64, 7000);
        }
    }
}

/// Cold engines get work from their start on, and in larger fleets work of every class.
#[test]
fn cold_engines_get_work_within_their_capacity() {
    for (gateways, engines) in [(3, 7), (30, 7), (30, 30), (100, 30), (100, 60)] {
        let simulation = simulate(Deployment::standard(gateways, engines), "replaced", 9, 8000);
        let utilization = simulation.metrics.cold_utilization();
        assert!(utilization > 0.1, "{gateways}/{engines}: {utilization}");
        let classes = &simulation.metrics.cold_work;
        assert!(
            gateways < 30 || classes.iter().all(|work| *work > 0.0),
            "{classes:?}"
        );
        assert_eq!(simulation.metrics.engine_crashes, 0, "{gateways}/{engines}");
    }
}

/// After three seconds at 1.3 times the engines' capacity, more than 95 % of the worth is served on time again
/// ten seconds after the burst began: no backlog persists.
#[test]
fn a_burst_leaves_no_persistent_backlog() {
    let mut deployment = Deployment::standard(300, 80);
    deployment.set_offered_load(0.65);
    let simulation = simulate(deployment, "burst", 1, 20_000);
    let served_share = |from: usize, to: usize| {
        let seconds = &simulation.metrics.per_second[from..to];
        let sum = |worth: fn(&WorthPerSecond) -> f64| seconds.iter().map(worth).sum::<f64>();
        sum(|second| second.served) / sum(|second| second.offered)
    };
    assert!(
        served_share(5, 10) > 0.8,
        "{} during and after the burst",
        served_share(5, 10)
    );
    assert!(
        served_share(12, 20) > 0.95,
        "{} at the end",
        served_share(12, 20)
    );
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let class_counts = |seed| {
        let simulation = simulate(Deployment::standard(10, 7), "rolled", seed, 5000);
        simulation.metrics.classes
    };
    assert_eq!(class_counts(5), class_counts(5));
    assert_ne!(class_counts(5), class_counts(6));
}

/// Each check detects the gateway that violates its rule, in a scenario in which the defect matters.
#[test]
fn faulty_gateways_are_detected() {
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
        let factory = move |settings, seed| {
            Box::new(FaultyGateway::new(settings, seed, defect)) as Box<dyn GatewayLogic>
        };
        let mut simulation = Simulation::with_gateways(
            Deployment::standard(12, 7),
            2,
            scenario(name).expect("a scenario"),
            Box::new(factory),
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

/// Each gateway behaves as if it were the only one and cold engines had full capacity; only their sum violates
/// the rule.
#[test]
fn gateways_that_assume_a_whole_engine_are_detected() {
    let as_only_gateway = |settings| Settings {
        gateways: 1,
        start_capacity: 1e9,
        warm_after: ms(1),
        ..settings
    };
    let factory = move |settings, seed| {
        Box::new(Gateway::new(as_only_gateway(settings), seed)) as Box<dyn GatewayLogic>
    };
    let script = scenario("replaced").expect("a scenario");
    let mut deployment = Deployment::standard(100, 10);
    deployment.set_offered_load(5.0);
    let mut simulation = Simulation::with_gateways(deployment, 7, script, Box::new(factory));
    simulation.run(ms(6000));
    assert!(
        simulation.violations.contains(Rule::NoColdOverload),
        "{:?}",
        simulation.violations
    );
}
