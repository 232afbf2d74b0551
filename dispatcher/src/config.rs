//! The one place where configuration is read, checked and given defaults.
//!
//! `file` reads JSON files and finds the faulty key, `keys` lists the keys and which file counts, `checks` turns their
//! values into settings or an error, and `limits` derives sizes from the limits stated.

mod checks;
mod environment;
mod error;
mod file;
mod keys;
mod limits;
#[cfg(test)]
mod tests;

pub use environment::Environment;
pub use error::{ConfigError, config_error};

use crate::change_log::{self, Change};
use crate::descriptors::DescriptorBudget;
use file::File;
use keys::{OwnKeys, SharedKeys};
use limits::Limits;
use miniserde::json::Value;
use sedgebeam_core::Settings;
use sedgebeam_reconfigure::RuntimeSettings;
use sedgebeam_settings::{ConnectionSettings, Names};
use std::net::SocketAddr;
use std::path::Path;

/// The name of a dispatcher that is given none.
const DEFAULT_NAME: &str = "sedgebeam";

/// What a dispatcher needs to know at its start.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    /// Where clients of the PostgreSQL protocol connect.
    pub listen: SocketAddr,
    /// Where Flight SQL clients connect.
    pub flight_listen: Option<SocketAddr>,
    /// Where the administration listens.
    pub admin_listen: Option<SocketAddr>,
    /// Where operators call.
    pub control_listen: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, where the platform holds it.
    pub inherited_socket: Option<i32>,
    pub change_log_address: Option<SocketAddr>,
    pub known_changes: KnownChanges,
    pub seed: u64,
    /// What the process's descriptors are for.
    pub descriptor_budget: DescriptorBudget,
    /// The longest message that a session may send.
    pub max_message_bytes: usize,
    pub settings: Settings,
    pub names: Names,
    pub connection_limits: ConnectionSettings,
    /// Threads that serve, each with a shard of the decision module where there are several.
    pub workers: usize,
    pub pin_workers: bool,
    /// Shards of the decision module, each with a worker.
    pub shards: usize,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The platform's file as it was read, and its text.
    pub platform_config: Value,
    pub platform_config_text: String,
}

impl Config {
    /// What can change while the program runs.
    pub fn runtime_settings(&self) -> RuntimeSettings {
        RuntimeSettings {
            settings: self.settings.clone(),
            names: self.names.clone(),
            max_open_requests: self.connection_limits.max_open_requests,
        }
    }
}

/// The change log up to the start.
#[derive(Clone, Debug, Default)]
pub struct KnownChanges {
    pub seq: u64,
    pub changes: Vec<Change>,
}

/// Reads the environment's file and the dispatcher's own; where both hold a key, the former counts.
pub fn load(environment: &Environment, own: Option<&Path>) -> Result<Config, ConfigError> {
    let path = environment.config_path.as_deref().map(Path::new);
    build(environment, File::read("PROXY_CONFIG", path)?, own)
}

/// The same from the text of the environment's file that an earlier process had in use.
pub fn load_from_text(
    environment: &Environment,
    text: String,
    own: Option<&Path>,
) -> Result<Config, ConfigError> {
    let path = Path::new("the file in use before");
    let file = File::parse("PROXY_CONFIG", path, text)?;
    build(environment, Some(file), own)
}

fn build(
    environment: &Environment,
    platform: Option<File>,
    own: Option<&Path>,
) -> Result<Config, ConfigError> {
    if environment.config_path.is_none() && own.is_none() {
        let why = "names no file, and there is no --config";
        return Err(config_error("PROXY_CONFIG", why));
    }
    let own = File::read("--config", own)?;
    let platform_keys: SharedKeys = file::decode_or_default(platform.as_ref())?;
    let fallback_keys: SharedKeys = file::decode_or_default(own.as_ref())?;
    let keys = platform_keys.or(fallback_keys).overridden_by(environment);
    let own_keys: OwnKeys = file::decode_or_default(own.as_ref())?;
    check(environment, keys, own_keys, platform)
}

/// Checks the keys, in the order in which faults are reported.
fn check(
    environment: &Environment,
    keys: SharedKeys,
    own: OwnKeys,
    platform: Option<File>,
) -> Result<Config, ConfigError> {
    let facts = keys
        .settings
        .ok_or_else(|| config_error("settings", "missing"))?;
    let limits = Limits::of(keys.limits.unwrap_or_default());
    let known = checks::known(keys.known, own.engines)?;
    let workers = checks::workers(own.workers.as_ref())?;
    let shards = checks::shards(own.shards, workers)?;
    let flight = checks::listener("flight.listen", own.flight)?;
    let admin = checks::listener("admin.listen", own.admin)?;
    let has_flight = flight.is_some();
    let descriptors =
        DescriptorBudget::divide(limits.sockets, workers, has_flight, admin.is_some());
    let descriptors = descriptors.ok_or_else(|| {
        let why = format!("limits.sockets has too few descriptors for {workers}");
        config_error("workers", why)
    })?;
    let engines = change_log::fold_changes(known.changes.clone()).len();
    let told = facts.connections();
    // One for each shard, however many dispatchers there are.
    let told_most = told.max_per_engine.max(shards);
    let to_engine = limits::engine_connections(descriptors.engines, engines).min(told_most);
    let connections = ConnectionSettings {
        max_open_requests: limits.max_open(told.max_open_requests),
        max_total: descriptors.engines,
        max_per_engine: checks::connections_per_shard(to_engine, shards)?,
        ..told
    };
    let listen = checks::address("listen", keys.listen.as_deref())?;
    let (text, file) = match platform {
        Some(file) => (file.text, file.root),
        None => (String::new(), Value::Null),
    };
    Ok(Config {
        name: keys.name.unwrap_or_else(|| DEFAULT_NAME.to_string()),
        listen: listen.ok_or_else(|| config_error("listen", "missing"))?,
        flight_listen: flight,
        admin_listen: admin,
        control_listen: checks::address("control", keys.control.as_deref())?,
        inherited_socket: checks::passed_socket(environment.inherited_socket.as_deref())?,
        change_log_address: checks::address("changelog", keys.changelog.as_deref())?,
        known_changes: known,
        seed: checks::seed(keys.seed.as_deref())?,
        max_message_bytes: limits.longest_message(descriptors.sessions),
        descriptor_budget: descriptors,
        settings: checks::settings(&facts)?,
        names: facts.names(),
        connection_limits: connections,
        workers,
        pin_workers: own.pin_workers.unwrap_or_default(),
        shards,
        max_descriptors: limits.sockets,
        platform_config_text: text,
        platform_config: file,
    })
}
