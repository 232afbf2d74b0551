//! Checks the values of keys and converts them to the types that the dispatcher works with.

use super::KnownChanges;
use super::error::{ConfigError, config_error};
use super::keys::{KnownKeys, ListenerKeys};
use crate::change_log::Change;
use miniserde::json::{Number, Value};
use sedgebeam_core::{Class, Micros, Settings};
use sedgebeam_port::Target;
use sedgebeam_settings::GatewaySettings;
use std::net::SocketAddr;

/// More workers than this don't help a dispatcher, as its shards share every engine.
const MAX_WORKERS: usize = 64;
/// Limits divided among more dispatchers than this leave nothing to any of them.
const MAX_GATEWAYS: u32 = 65_536;
/// No client waits longer than a day.
const MAX_GIVE_UP: Micros = Micros::from_millis(86_400_000);
/// The shortest time between two decisions where the settings state none.
const DEFAULT_TICK: Micros = Micros::from_millis(5);
/// The highest descriptor that can't be an inherited socket.
const STANDARD_ERROR_DESCRIPTOR: i32 = 2;

pub(super) fn address(key: &str, text: Option<&str>) -> Result<Option<SocketAddr>, ConfigError> {
    let parse = |text: &str| {
        text.parse()
            .map_err(|_| config_error(key, format!("{text:?} is not ADDRESS:PORT")))
    };
    text.map(parse).transpose()
}

pub(super) fn listener(
    key: &str,
    listener: Option<ListenerKeys>,
) -> Result<Option<SocketAddr>, ConfigError> {
    let listen = listener.and_then(|listener| listener.listen);
    address(key, listen.as_deref())
}

/// Parses the descriptor of an inherited socket, which is above those of standard input, output and error.
pub(super) fn inherited_socket(text: Option<&str>) -> Result<Option<i32>, ConfigError> {
    let parse = |text: &str| match text.parse() {
        Ok(descriptor) if descriptor > STANDARD_ERROR_DESCRIPTOR => Ok(descriptor),
        _ => Err(config_error(
            "PROXY_PASSED_SOCKET",
            format!("{text:?} is no descriptor"),
        )),
    };
    text.map(parse).transpose()
}

pub(super) fn seed(text: Option<&str>) -> Result<u64, ConfigError> {
    let Some(text) = text else { return Ok(0) };
    u64::from_str_radix(text, 16)
        .map_err(|_| config_error("seed", format!("{text:?} is not hexadecimal")))
}

/// Checks the settings for values with which the gateway could not work, and completes them.
pub(super) fn settings(settings_keys: &GatewaySettings) -> Result<Settings, ConfigError> {
    let mut settings = settings_keys.settings();
    check_classes(&settings.classes)?;
    if settings_keys.max_attempts() == Some(0) {
        let reason = "it must be more than 0";
        return Err(config_error("settings.limits.max_attempts", reason));
    }
    check_fleet(settings_keys)?;
    if settings.tick == Micros(0) {
        settings.tick = DEFAULT_TICK;
    }
    // Both fronts send retry advice to their clients, whether or not the simulator's clients get any.
    settings.max_retry_after = settings_keys.max_retry_after();
    Ok(settings)
}

fn check_classes(classes: &[Class]) -> Result<(), ConfigError> {
    if classes.is_empty() {
        return Err(config_error("settings.services", "no class is named"));
    }
    for (index, class) in classes.iter().enumerate() {
        let key = |key: &str| format!("settings.services.{index}.{key}");
        let earlier = &classes[..index];
        if class.name.is_empty() || earlier.iter().any(|other| other.name == class.name) {
            let reason = format!("{:?}: each class needs a unique name", class.name);
            return Err(config_error(&key("name"), reason));
        }
        if !(Micros(1)..=MAX_GIVE_UP).contains(&class.give_up) {
            let reason = format!("{:?}: it is more than 0, and at most a day", class.name);
            return Err(config_error(&key("give_up"), reason));
        }
    }
    Ok(())
}

fn check_fleet(settings_keys: &GatewaySettings) -> Result<(), ConfigError> {
    let (gateway_count, gateway_index) = settings_keys.gateway_count_and_index();
    if gateway_count.is_some_and(|count| !(1..=MAX_GATEWAYS).contains(&count)) {
        let reason = format!("it is from 1 to {MAX_GATEWAYS}");
        return Err(config_error("settings.balancers", reason));
    }
    // Two dispatchers with one number would both use the share of one gateway.
    if gateway_index.is_some_and(|index| index >= gateway_count.unwrap_or(1)) {
        let reason = "it counts the dispatchers from 0 and is less than settings.balancers";
        return Err(config_error("settings.me", reason));
    }
    Ok(())
}

/// The changes known at the start: those under `known`, and one for the engines that the file lists under `engines`.
pub(super) fn known_changes(
    keys: Option<KnownKeys>,
    engines: Option<Vec<Target>>,
) -> Result<KnownChanges, ConfigError> {
    let keys = keys.unwrap_or_default();
    let mut changes = keys.results.unwrap_or_default();
    if let Some(targets) = engines {
        let is_valid = |target: &Target| !target.uid.is_empty() && target.endpoint.contains(':');
        if let Some(index) = targets.iter().position(|target| !is_valid(target)) {
            let key = format!("engines.{index}");
            let reason = "it needs a uid, and an endpoint like ADDRESS:PORT";
            return Err(config_error(&key, reason));
        }
        changes.push(Change::from_targets(targets));
    }
    Ok(KnownChanges {
        seq: keys.seq.unwrap_or_default(),
        changes,
    })
}

/// The number of workers: a number, or "auto" for one per core.
pub(super) fn workers(value: Option<&Value>) -> Result<usize, ConfigError> {
    let invalid = |reason: &str| Err(config_error("workers", reason));
    let count = match value {
        None | Some(Value::Null) => 1,
        Some(Value::String(word)) if word == "auto" => {
            std::thread::available_parallelism().map_or(1, |cores| cores.get().min(MAX_WORKERS))
        }
        Some(Value::Number(Number::U64(count))) => usize::try_from(*count).unwrap_or(usize::MAX),
        Some(_) => return invalid("it is a whole number from 1, or \"auto\""),
    };
    match count {
        0 => invalid("there must be at least one"),
        count if count > MAX_WORKERS => invalid(&format!("there are at most {MAX_WORKERS}")),
        count => Ok(count),
    }
}

/// The number of shards of the gateway: one for each worker, unless the file states fewer.
pub(super) fn shards(count: Option<u64>, workers: usize) -> Result<usize, ConfigError> {
    let count = count.map(|count| usize::try_from(count).unwrap_or(usize::MAX));
    match count.unwrap_or(workers) {
        shards if (1..=workers).contains(&shards) => Ok(shards),
        _ => Err(config_error(
            "shards",
            format!("it is from 1 to the number of workers, which is {workers}"),
        )),
    }
}

/// Divides the connections to one engine among the shards.
pub(super) fn connections_per_shard(
    connections: usize,
    shards: usize,
) -> Result<usize, ConfigError> {
    match connections / shards {
        0 => {
            let reason = format!(
                "limits.sockets has room for {connections} connections to each engine: too few for {shards} shards"
            );
            Err(config_error("workers", reason))
        }
        per_shard => Ok(per_shard),
    }
}
