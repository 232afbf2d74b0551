//! The command line of the dispatcher.

use lexopt::prelude::*;
use sedgebeam::config::{self, Environment};
use sedgebeam::serve;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str =
    "usage: sedgebeam serve [--config FILE] | check-config [--config FILE] | version";

enum Command {
    Serve(Option<PathBuf>),
    CheckConfig(Option<PathBuf>),
    Version,
}

fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut name, mut file) = (None, None);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("config") => file = Some(PathBuf::from(parser.value()?)),
            Value(word) if name.is_none() => name = Some(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    match name.as_deref() {
        Some("serve") => Ok(Command::Serve(file)),
        Some("check-config") => Ok(Command::CheckConfig(file)),
        Some("version") => Ok(Command::Version),
        Some(other) => Err(format!("no command {other:?}").into()),
        None => Err("a command is missing".into()),
    }
}

fn main() -> ExitCode {
    let filter = env_logger::Env::new().filter_or("SEDGEBEAM_LOG", "info");
    env_logger::Builder::from_env(filter).init();
    match parse() {
        Ok(Command::Serve(file)) => serve(file),
        Ok(Command::CheckConfig(file)) => match config::load(&Environment::read(), file.as_deref())
        {
            Ok(_) => ExitCode::SUCCESS,
            Err(wrong) => refuse(&wrong),
        },
        Ok(Command::Version) => {
            println!("sedgebeam {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Err(error) => refuse(&format!("{error}\n{USAGE}")),
    }
}

fn refuse(why: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("sedgebeam: {why}");
    ExitCode::from(2)
}

fn serve(file: Option<PathBuf>) -> ExitCode {
    let config = match config::load(&Environment::read(), file.as_deref()) {
        Ok(config) => config,
        Err(wrong) => return refuse(&wrong),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let served = runtime.and_then(|runtime| runtime.block_on(serve::run(config)));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sedgebeam: {error}");
            ExitCode::FAILURE
        }
    }
}
