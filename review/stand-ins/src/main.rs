//! Stand-ins for the platform around a dispatcher, and the cases of the review. Each case starts the dispatcher with the
//! command of the deploy file, plays one disruption (or, with TROUBLE=0, none) and checks one rule.
//!
//! Exit status of a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod change_log;
mod dispatcher;
mod flight_engine;
mod pg;
mod record;
mod resp_engine;
mod settings;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["flight-engine", address, journal, work_ms] => {
            flight_engine::run(address, journal, work_ms.parse().expect("milliseconds"));
            ExitCode::SUCCESS
        }
        ["case", name, root, record] => cases::run(name, root, record),
        _ => {
            eprintln!("usage: review-stand-ins case NAME ROOT RECORD");
            ExitCode::from(2)
        }
    }
}
