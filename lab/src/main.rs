//! The laboratory's command line.

mod cores;
mod engine;
mod load;
mod plan;
mod program;
mod search;
mod wire;

use clap::{Parser, Subcommand};
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
    Cores(cores::Cores),
}

fn main() -> ExitCode {
    let Experiment::Cores(cores) = Arguments::parse().experiment;
    match cores.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sedgebeam-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
