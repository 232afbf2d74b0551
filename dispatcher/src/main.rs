//! The command line of the dispatcher.

use lexopt::prelude::*;
use sedgebeam::config::{self, Environment};
use sedgebeam::peer_process::{GroupMember, SharedDirectoryPath};
use sedgebeam::reload::ConfigSource;
use sedgebeam::serve::GroupMembership;
use sedgebeam::{haproxy_import, serve};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const USAGE: &str = "usage:
  sedgebeam serve [--config FILE]         serve clients, configured by PROXY_CONFIG and FILE
  sedgebeam check-config [--config FILE]  check that configuration and exit
  sedgebeam import-haproxy FILE           convert an HAProxy configuration and print the result
  sedgebeam version                       print the version";

enum Command {
    Serve(Option<PathBuf>),
    CheckConfig(Option<PathBuf>),
    Import(PathBuf),
    Version,
    Help,
}

fn parse_command_line() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut positional, mut config_path) = (Vec::new(), None);
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Command::Help),
            Long("config") => config_path = Some(PathBuf::from(parser.value()?)),
            Value(argument) => positional.push(argument.string()?),
            option => return Err(option.unexpected()),
        }
    }
    let positional: Vec<&str> = positional.iter().map(String::as_str).collect();
    match (&positional[..], config_path) {
        (["serve"], config_path) => Ok(Command::Serve(config_path)),
        (["check-config"], config_path) => Ok(Command::CheckConfig(config_path)),
        (["import-haproxy", path], None) => Ok(Command::Import(PathBuf::from(path))),
        (["version"], None) => Ok(Command::Version),
        ([], _) => Err("missing command".into()),
        (positional, _) => Err(format!("unknown command {:?}", positional.join(" ")).into()),
    }
}

/// Prints the converted configuration to standard output and the number of each unsupported line, with the reason, to
/// standard error.
fn import_haproxy(path: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return exit_invalid_input(&format!("{}: {error}", path.display())),
    };
    let imported = haproxy_import::import(&text);
    for (line_number, reason) in &imported.unsupported {
        eprintln!("line {line_number}: {reason}");
    }
    print!("{}", imported.config_json);
    ExitCode::SUCCESS
}

fn main() -> ExitCode {
    let filter = env_logger::Env::new().filter_or("SEDGEBEAM_LOG", "info");
    env_logger::Builder::from_env(filter).init();
    match parse_command_line() {
        Ok(Command::Serve(config_path)) => run_server(config_path),
        Ok(Command::CheckConfig(config_path)) => {
            match config::load(&Environment::read(), config_path.as_deref()) {
                Ok(_) => ExitCode::SUCCESS,
                Err(error) => exit_invalid_input(&error),
            }
        }
        Ok(Command::Import(path)) => import_haproxy(&path),
        Ok(Command::Help) => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("sedgebeam {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Err(error) => exit_invalid_input(&format!("{error}\n{USAGE}")),
    }
}

/// Status 2: the command line or the configuration is invalid.
fn exit_invalid_input(reason: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("sedgebeam: {reason}");
    ExitCode::from(2)
}

fn run_server(own_config_path: Option<PathBuf>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(load_and_serve(own_config_path)),
        Err(error) => exit_failure(&error),
    }
}

/// Registers signal handlers first: a signal that arrives while the configuration is read must not kill the process.
async fn load_and_serve(own_config_path: Option<PathBuf>) -> ExitCode {
    let signals = match serve::Signals::register() {
        Ok(signals) => signals,
        Err(error) => return exit_failure(&error),
    };
    let environment = Environment::read();
    let membership = join_process_group(&environment).await;
    let source = ConfigSource {
        environment,
        own_config_path,
    };
    let predecessor_message = membership
        .as_ref()
        .and_then(|membership| membership.predecessor_message.as_ref());
    let config = match predecessor_message.filter(|message| !message.status.config_text.is_empty())
    {
        Some(message) => source.load_for_upgrade(&message.status.config_text),
        None => source.load(),
    };
    let config = match config {
        Ok(config) => config,
        Err(error) => return exit_invalid_input(&error),
    };
    match serve::run(config, source, signals, membership).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_failure(&error),
    }
}

/// Joins the other processes of this dispatcher, through a directory below the one for temporary files. There can be
/// others only where the platform passes the clients' listening socket.
async fn join_process_group(environment: &Environment) -> Option<GroupMembership> {
    environment.inherited_socket.as_ref()?;
    let path = SharedDirectoryPath {
        parent: environment.temp_dir.clone()?,
        dispatcher_name: environment.name.clone().unwrap_or_default(),
    };
    let (member, predecessor_message) = GroupMember::join(path).await;
    Some(GroupMembership {
        member,
        predecessor_message,
    })
}

fn exit_failure(error: &std::io::Error) -> ExitCode {
    eprintln!("sedgebeam: {error}");
    ExitCode::FAILURE
}
