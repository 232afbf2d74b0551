//! The laboratory's command line.

use clap::{Parser, Subcommand};
use sedgebeam_lab::{control_latency, decision_throughput, fleet_scenarios, worker_scaling};
use std::process::ExitCode;

/// Experiments on the dispatcher: the real program between stand-in engines and open-loop load, on loopback.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Throughput, latency, CPU and fairness by the number of workers.
    #[command(name = "cores")]
    WorkerScaling(worker_scaling::WorkerScaling),
    /// What decisions cost by themselves: one gateway behind a lock, and shards with a ledger.
    #[command(name = "decide")]
    DecisionThroughput(decision_throughput::DecisionThroughput),
    /// How long operators wait at the door while the program is asked for more than it can do.
    #[command(name = "door")]
    ControlLatency(control_latency::ControlLatency),
    /// What whole fleets serve in virtual time when some of it breaks, and which door turned the rest away.
    #[command(name = "fleet")]
    FleetScenarios(fleet_scenarios::FleetScenarios),
}

fn main() -> ExitCode {
    let ran = match Arguments::parse().experiment {
        Experiment::WorkerScaling(experiment) => experiment.run(),
        Experiment::DecisionThroughput(experiment) => experiment.run(),
        Experiment::ControlLatency(experiment) => experiment.run(),
        Experiment::FleetScenarios(experiment) => experiment.run(),
    };
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sedgebeam-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
