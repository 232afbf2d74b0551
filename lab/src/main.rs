//! The laboratory's command line.

use clap::{Parser, Subcommand};
use sedgebeam_lab::{cores, decide, door, fleet};
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
    /// What decisions cost by themselves: one gateway behind a lock, and shards with a ledger.
    Decide(decide::Decide),
    /// How long operators wait at the door while the program is asked for more than it can do.
    Door(door::Door),
    /// What whole fleets serve in virtual time when some of it breaks, and which door turned the rest away.
    Fleet(fleet::Fleet),
}

fn main() -> ExitCode {
    let ran = match Arguments::parse().experiment {
        Experiment::Cores(cores) => cores.run(),
        Experiment::Decide(decide) => decide.run(),
        Experiment::Door(door) => door.run(),
        Experiment::Fleet(fleet) => fleet.run(),
    };
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sedgebeam-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
