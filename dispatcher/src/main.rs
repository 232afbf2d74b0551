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
  sedgebeam serve [--config FILE]         serve, as PROXY_CONFIG and the file say
  sedgebeam check-config [--config FILE]  only check them
  sedgebeam import-haproxy FILE           print a configuration made from one of HAProxy
  sedgebeam version";

enum Command {
    Serve(Option<PathBuf>),
    CheckConfig(Option<PathBuf>),
    Import(PathBuf),
    Version,
    Help,
}

fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut words, mut file) = (Vec::new(), None);
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Command::Help),
            Long("config") => file = Some(PathBuf::from(parser.value()?)),
            Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match (&words[..], file) {
        (["serve"], file) => Ok(Command::Serve(file)),
        (["check-config"], file) => Ok(Command::CheckConfig(file)),
        (["import-haproxy", path], None) => Ok(Command::Import(PathBuf::from(path))),
        (["version"], None) => Ok(Command::Version),
        ([], _) => Err("a command is missing".into()),
        (words, _) => Err(format!("no command {:?} of this form", words.join(" ")).into()),
    }
}

/// Prints what can be carried over, and to standard error, by line, what can't.
fn import(path: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return refuse(&format!("{}: {error}", path.display())),
    };
    let imported = haproxy_import::import(&text);
    for (line, why) in &imported.unsupported {
        eprintln!("line {line}: {why}");
    }
    print!("{}", imported.config_json);
    ExitCode::SUCCESS
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
        Ok(Command::Import(path)) => import(&path),
        Ok(Command::Help) => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
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

fn serve(own: Option<PathBuf>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(start(own)),
        Err(error) => broken(&error),
    }
}

/// Heeds signals first of all, so that none that comes while the configuration is read ends the program.
async fn start(own: Option<PathBuf>) -> ExitCode {
    let signals = match serve::Signals::register() {
        Ok(signals) => signals,
        Err(error) => return broken(&error),
    };
    let environment = Environment::read();
    let beside = beside(&environment).await;
    let source = ConfigSource {
        environment,
        own_config_path: own,
    };
    let handed = beside
        .as_ref()
        .and_then(|beside| beside.predecessor_message.as_ref());
    let config = match handed.filter(|handed| !handed.status.config_text.is_empty()) {
        Some(handed) => source.load_for_upgrade(&handed.status.config_text),
        None => source.load(),
    };
    let config = match config {
        Ok(config) => config,
        Err(wrong) => return refuse(&wrong),
    };
    match serve::run(config, source, signals, beside).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => broken(&error),
    }
}

/// Where the platform passes the clients' socket there may be another process of this dispatcher, in the folder that
/// both have for temporary files.
async fn beside(environment: &Environment) -> Option<GroupMembership> {
    environment.inherited_socket.as_ref()?;
    let place = SharedDirectoryPath {
        parent: environment.temp_dir.clone()?,
        dispatcher_name: environment.name.clone().unwrap_or_default(),
    };
    let (member, handed) = GroupMember::join(place).await;
    Some(GroupMembership {
        member,
        predecessor_message: handed,
    })
}

fn broken(error: &std::io::Error) -> ExitCode {
    eprintln!("sedgebeam: {error}");
    ExitCode::FAILURE
}
