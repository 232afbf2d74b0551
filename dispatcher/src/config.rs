//! Reads and checks the configuration and applies its defaults; no other module does this.
//!
//! `file` reads JSON files and finds the faulty key, `keys` declares the keys and the precedence of the files, `checks`
//! turns their values into settings or an error, and `limits` derives sizes from the stated limits.

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

/// The name of a dispatcher whose configuration has none.
const DEFAULT_NAME: &str = "sedgebeam";

/// The checked configuration of a dispatcher.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    /// Listen address for PostgreSQL clients.
    pub listen: SocketAddr,
    /// Listen address for Flight SQL clients.
    pub flight_listen: Option<SocketAddr>,
    /// Listen address of the administration API.
    pub admin_listen: Option<SocketAddr>,
    /// Listen address of the control socket.
    pub control_listen: Option<SocketAddr>,
    /// The descriptor of the listening socket for PostgreSQL clients, where the platform passes one.
    pub inherited_socket: Option<i32>,
    /// The address of the change log that lists the engines.
    pub change_log_address: Option<SocketAddr>,
    pub known_changes: KnownChanges,
    /// Seed of random choices, such as session keys and retry delays.
    pub seed: u64,
    /// The division of the file descriptors among their uses.
    pub descriptor_budget: DescriptorBudget,
    /// The longest message that a session accepts.
    pub max_message_bytes: usize,
    pub settings: Settings,
    pub names: Names,
    /// Limits on engine connections and open requests; `max_per_engine` applies to each shard.
    pub connection_limits: ConnectionSettings,
    /// Threads that serve connections. If there are several, each of the first `shards` has a shard of the gateway.
    pub workers: usize,
    /// Whether each worker thread is pinned to a core.
    pub pin_workers: bool,
    /// Shards of the gateway, each on one worker.
    pub shards: usize,
    /// File descriptors that the process may open.
    pub max_descriptors: usize,
    /// The platform's file as it was read; null without one.
    pub platform_config: Value,
    /// The text of the platform's file; empty without one.
    pub platform_config_text: String,
}

impl Config {
    /// The settings that a reload can change.
    pub fn runtime_settings(&self) -> RuntimeSettings {
        RuntimeSettings {
            settings: self.settings.clone(),
            names: self.names.clone(),
            max_open_requests: self.connection_limits.max_open_requests,
        }
    }
}

/// The changes of the engine list that are known at the start, and the sequence number that they reach.
#[derive(Clone, Debug, Default)]
pub struct KnownChanges {
    pub seq: u64,
    pub changes: Vec<Change>,
}

/// Reads the platform's file, which the environment names, and the dispatcher's own. A key in both is taken from the
/// platform's file.
pub fn load(environment: &Environment, own_path: Option<&Path>) -> Result<Config, ConfigError> {
    let path = environment.config_path.as_deref().map(Path::new);
    build(environment, File::read("PROXY_CONFIG", path)?, own_path)
}

/// Like `load`, with the text of the platform's file that another process uses.
pub fn load_from_text(
    environment: &Environment,
    platform_config_text: String,
    own_path: Option<&Path>,
) -> Result<Config, ConfigError> {
    let path = Path::new("the file in use before");
    let file = File::parse("PROXY_CONFIG", path, platform_config_text)?;
    build(environment, Some(file), own_path)
}

fn build(
    environment: &Environment,
    platform_file: Option<File>,
    own_path: Option<&Path>,
) -> Result<Config, ConfigError> {
    if environment.config_path.is_none() && own_path.is_none() {
        let reason = "names no file, and there is no --config";
        return Err(config_error("PROXY_CONFIG", reason));
    }
    let own_file = File::read("--config", own_path)?;
    let platform_keys: SharedKeys = file::decode_or_default(platform_file.as_ref())?;
    let fallback_keys: SharedKeys = file::decode_or_default(own_file.as_ref())?;
    let keys = platform_keys.or(fallback_keys).overridden_by(environment);
    let own_keys: OwnKeys = file::decode_or_default(own_file.as_ref())?;
    check(environment, keys, own_keys, platform_file)
}

/// Checks the keys; their order here decides which of several errors is reported.
fn check(
    environment: &Environment,
    keys: SharedKeys,
    own_keys: OwnKeys,
    platform_file: Option<File>,
) -> Result<Config, ConfigError> {
    let settings_keys = keys
        .settings
        .ok_or_else(|| config_error("settings", "missing"))?;
    let limits = Limits::from_keys(keys.limits.unwrap_or_default());
    let known_changes = checks::known_changes(keys.known, own_keys.engines)?;
    let workers = checks::workers(own_keys.workers.as_ref())?;
    let shards = checks::shards(own_keys.shards, workers)?;
    let flight_listen = checks::listener("flight.listen", own_keys.flight)?;
    let admin_listen = checks::listener("admin.listen", own_keys.admin)?;
    let has_flight = flight_listen.is_some();
    let descriptor_budget = DescriptorBudget::divide(
        limits.max_descriptors,
        workers,
        has_flight,
        admin_listen.is_some(),
    );
    let descriptor_budget = descriptor_budget.ok_or_else(|| {
        let reason = format!("limits.sockets has too few descriptors for {workers}");
        config_error("workers", reason)
    })?;
    let engine_count = change_log::fold_changes(known_changes.changes.clone()).len();
    let stated_limits = settings_keys.connections();
    // At least one for each shard, however many dispatchers share an engine.
    let stated_max_per_engine = stated_limits.max_per_engine.max(shards);
    let max_per_engine =
        limits::max_connections_per_engine(descriptor_budget.engines, engine_count)
            .min(stated_max_per_engine);
    let connection_limits = ConnectionSettings {
        max_open_requests: limits.max_open_requests(stated_limits.max_open_requests),
        max_total: descriptor_budget.engines,
        max_per_engine: checks::connections_per_shard(max_per_engine, shards)?,
        ..stated_limits
    };
    let listen = checks::address("listen", keys.listen.as_deref())?;
    let (platform_config_text, platform_config) = match platform_file {
        Some(file) => (file.text, file.root),
        None => (String::new(), Value::Null),
    };
    Ok(Config {
        name: keys.name.unwrap_or_else(|| DEFAULT_NAME.to_string()),
        listen: listen.ok_or_else(|| config_error("listen", "missing"))?,
        flight_listen,
        admin_listen,
        control_listen: checks::address("control", keys.control.as_deref())?,
        inherited_socket: checks::inherited_socket(environment.inherited_socket.as_deref())?,
        change_log_address: checks::address("changelog", keys.changelog.as_deref())?,
        known_changes,
        seed: checks::seed(keys.seed.as_deref())?,
        max_message_bytes: limits.max_message_bytes(descriptor_budget.sessions),
        descriptor_budget,
        settings: checks::settings(&settings_keys)?,
        names: settings_keys.names(),
        connection_limits,
        workers,
        pin_workers: own_keys.pin_workers.unwrap_or_default(),
        shards,
        max_descriptors: limits.max_descriptors,
        platform_config_text,
        platform_config,
    })
}
