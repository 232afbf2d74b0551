//! Checks the values of keys and turns them into what the program works with.

use super::KnownChanges;
use super::error::{ConfigError, config_error};
use super::keys::{KnownKeys, ListenerKeys};
use crate::change_log::Change;
use miniserde::json::{Number, Value};
use sedgebeam_core::{Class, Micros, Settings};
use sedgebeam_port::Target;
use sedgebeam_settings::GatewaySettings;
use std::net::SocketAddr;

/// More workers than this are no use to a dispatcher, whose shards share every engine.
const MAX_WORKERS: usize = 64;
/// What is divided among more dispatchers than this leaves none of them anything.
const MAX_GATEWAYS: u32 = 65_536;
/// No client waits for longer.
const MAX_GIVE_UP: Micros = Micros::from_millis(86_400_000);
/// The shortest time between two decisions, where the settings name none.
const DEFAULT_TICK: Micros = Micros::from_millis(5);
/// The highest descriptor that is not free to be passed: that of standard error.
const STANDARD_ERROR: i32 = 2;

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

/// A descriptor beyond those of standard input, output and error.
pub(super) fn passed_socket(text: Option<&str>) -> Result<Option<i32>, ConfigError> {
    let parse = |text: &str| match text.parse() {
        Ok(descriptor) if descriptor > STANDARD_ERROR => Ok(descriptor),
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

/// The decision module's settings, checked for what would make them useless.
pub(super) fn settings(facts: &GatewaySettings) -> Result<Settings, ConfigError> {
    let mut settings = facts.settings();
    check_classes(&settings.classes)?;
    if facts.max_attempts() == Some(0) {
        let why = "it must be more than 0";
        return Err(config_error("settings.limits.max_attempts", why));
    }
    check_fleet(facts)?;
    if settings.tick == Micros(0) {
        settings.tick = DEFAULT_TICK;
    }
    // Both fronts tell their clients when to come back, whatever the simulator's clients are told.
    settings.max_retry_after = facts.max_retry_after();
    Ok(settings)
}

fn check_classes(classes: &[Class]) -> Result<(), ConfigError> {
    if classes.is_empty() {
        return Err(config_error("settings.services", "no class is named"));
    }
    for (place, class) in classes.iter().enumerate() {
        let key = |key: &str| format!("settings.services.{place}.{key}");
        let earlier = &classes[..place];
        if class.name.is_empty() || earlier.iter().any(|other| other.name == class.name) {
            let why = format!("{:?}: each class has a name of its own", class.name);
            return Err(config_error(&key("name"), why));
        }
        if !(Micros(1)..=MAX_GIVE_UP).contains(&class.give_up) {
            let why = format!("{:?}: it is more than 0, and at most a day", class.name);
            return Err(config_error(&key("give_up"), why));
        }
    }
    Ok(())
}

fn check_fleet(facts: &GatewaySettings) -> Result<(), ConfigError> {
    let (gateways, me) = facts.gateway_count_and_index();
    if gateways.is_some_and(|count| !(1..=MAX_GATEWAYS).contains(&count)) {
        let why = format!("it is from 1 to {MAX_GATEWAYS}");
        return Err(config_error("settings.balancers", why));
    }
    // Two with one number would take one place among the gateways, and both what is granted to it.
    if me.is_some_and(|me| me >= gateways.unwrap_or(1)) {
        let why = "it counts the dispatchers from 0 and is less than settings.balancers";
        return Err(config_error("settings.me", why));
    }
    Ok(())
}

/// The engines at the start: those of the change log, and those that the file names itself.
pub(super) fn known(
    keys: Option<KnownKeys>,
    engines: Option<Vec<Target>>,
) -> Result<KnownChanges, ConfigError> {
    let keys = keys.unwrap_or_default();
    let mut changes = keys.results.unwrap_or_default();
    if let Some(targets) = engines {
        let is_named = |target: &Target| !target.uid.is_empty() && target.endpoint.contains(':');
        if let Some(place) = targets.iter().position(|target| !is_named(target)) {
            let key = format!("engines.{place}");
            let why = "it needs a uid, and an endpoint like ADDRESS:PORT";
            return Err(config_error(&key, why));
        }
        changes.push(Change::from_targets(targets));
    }
    Ok(KnownChanges {
        seq: keys.seq.unwrap_or_default(),
        changes,
    })
}

/// The number of workers, from a number or "auto", which is one for each core.
pub(super) fn workers(told: Option<&Value>) -> Result<usize, ConfigError> {
    let bad = |why: &str| Err(config_error("workers", why));
    let count = match told {
        None | Some(Value::Null) => 1,
        Some(Value::String(word)) if word == "auto" => {
            std::thread::available_parallelism().map_or(1, |cores| cores.get().min(MAX_WORKERS))
        }
        Some(Value::Number(Number::U64(count))) => usize::try_from(*count).unwrap_or(usize::MAX),
        Some(_) => return bad("it is a whole number from 1, or \"auto\""),
    };
    match count {
        0 => bad("there must be one at least"),
        count if count > MAX_WORKERS => bad(&format!("there are {MAX_WORKERS} at most")),
        count => Ok(count),
    }
}

/// The shards of the decision module: one for each worker, unless there are to be fewer.
pub(super) fn shards(told: Option<u64>, workers: usize) -> Result<usize, ConfigError> {
    let told = told.map(|told| usize::try_from(told).unwrap_or(usize::MAX));
    match told.unwrap_or(workers) {
        shards if (1..=workers).contains(&shards) => Ok(shards),
        _ => Err(config_error(
            "shards",
            format!("it is from 1 to the workers, which are {workers}"),
        )),
    }
}

/// Each shard's share of the connections to an engine.
pub(super) fn connections_per_shard(
    connections: usize,
    shards: usize,
) -> Result<usize, ConfigError> {
    match connections / shards {
        0 => {
            let why = format!(
                "limits.sockets has room for {connections} connections to each engine: too few for {shards} shards"
            );
            Err(config_error("workers", why))
        }
        share => Ok(share),
    }
}
