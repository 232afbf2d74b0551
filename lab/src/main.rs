//! Command line of the experiments.

use clap::{Parser, Subcommand};
use sedgebeam_lab::{control_latency, decision_throughput, fleet_scenarios, worker_scaling};
use std::process::ExitCode;

/// Experiments on the dispatcher: the real program between mock engines and an open-loop load generator, on loopback.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Throughput, latency, CPU time and fairness for different numbers of workers.
    #[command(name = "cores")]
    WorkerScaling(worker_scaling::WorkerScaling),
    /// Throughput of decisions alone: one gateway behind a lock against shards with a lease table.
    #[command(name = "decide")]
    DecisionThroughput(decision_throughput::DecisionThroughput),
    /// Latency of the control socket while the dispatcher is overloaded.
    #[command(name = "door")]
    ControlLatency(control_latency::ControlLatency),
    /// Goodput of whole fleets with faults, in virtual time, and the stage at which other requests were refused.
    #[command(name = "fleet")]
    FleetScenarios(fleet_scenarios::FleetScenarios),
}

fn main() -> ExitCode {
    let result = match Arguments::parse().experiment {
        Experiment::WorkerScaling(experiment) => experiment.run(),
        Experiment::DecisionThroughput(experiment) => experiment.run(),
        Experiment::ControlLatency(experiment) => experiment.run(),
        Experiment::FleetScenarios(experiment) => experiment.run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sedgebeam-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
