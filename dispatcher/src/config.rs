//! The one place where configuration is read, checked and given defaults.

use crate::roster::Change;
use miniserde::{Deserialize, json};
use sedgebeam_core::{Micros, Settings};
use sedgebeam_settings::{Connections, Facts, Names};
use std::net::SocketAddr;
use std::path::Path;

/// What a dispatcher needs to know at its start.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    /// Where clients of the PostgreSQL protocol connect.
    pub listen: SocketAddr,
    pub flight: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
    pub changelog: Option<SocketAddr>,
    pub known: Known,
    pub seed: u64,
    pub sockets: usize,
    pub settings: Settings,
    pub names: Names,
    pub connections: Connections,
}

/// The change log up to the start.
#[derive(Clone, Debug, Default)]
pub struct Known {
    pub seq: u64,
    pub changes: Vec<Change>,
}

/// What is wrong, by its key.
#[derive(Debug, PartialEq, Eq)]
pub struct Wrong {
    pub key: String,
    pub why: String,
}

impl std::fmt::Display for Wrong {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.why)
    }
}

pub fn wrong(key: &str, why: impl Into<String>) -> Wrong {
    Wrong {
        key: key.to_string(),
        why: why.into(),
    }
}

/// The environment, as far as it is configuration.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub config: Option<String>,
}

impl Environment {
    pub fn read() -> Environment {
        let value = |key| std::env::var(key).ok().filter(|text| !text.is_empty());
        Environment {
            name: value("PROXY_NAME"),
            listen: value("PROXY_LISTEN"),
            config: value("PROXY_CONFIG"),
        }
    }
}

/// What the platform tells a dispatcher.
#[derive(Default, Deserialize)]
struct Platform {
    name: Option<String>,
    listen: Option<String>,
    seed: Option<String>,
    limits: Option<Limits>,
    changelog: Option<String>,
    known: Option<RawKnown>,
    settings: Option<Facts>,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<u64>,
}

#[derive(Default, Deserialize)]
struct RawKnown {
    seq: Option<u64>,
    results: Option<Vec<Change>>,
}

/// The file of the dispatcher's own.
#[derive(Default, Deserialize)]
struct Own {
    flight: Option<Listener>,
    admin: Option<Listener>,
}

#[derive(Default, Deserialize)]
struct Listener {
    listen: Option<String>,
}

fn decode<T: Deserialize>(key: &str, path: &Path) -> Result<T, Wrong> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| wrong(key, format!("{}: {error}", path.display())))?;
    json::from_str(&text).map_err(|_| {
        wrong(
            key,
            format!("{}: not the JSON expected here", path.display()),
        )
    })
}

fn address(key: &str, text: Option<&str>) -> Result<Option<SocketAddr>, Wrong> {
    let parse = |text: &str| {
        text.parse()
            .map_err(|_| wrong(key, format!("{text:?} is not ADDRESS:PORT")))
    };
    text.map(parse).transpose()
}

fn listener(key: &str, listener: Option<Listener>) -> Result<Option<SocketAddr>, Wrong> {
    let listen = listener.and_then(|listener| listener.listen);
    address(key, listen.as_deref())
}

fn seed(text: Option<&str>) -> Result<u64, Wrong> {
    let Some(text) = text else { return Ok(0) };
    u64::from_str_radix(text, 16).map_err(|_| wrong("seed", format!("{text:?} is not hexadecimal")))
}

/// The decision module's settings, checked for what would make them useless.
fn settings(facts: &Facts) -> Result<Settings, Wrong> {
    let mut settings = facts.settings();
    if settings.classes.is_empty() {
        return Err(wrong("settings.services", "no class is named"));
    }
    if settings.tick == Micros(0) {
        settings.tick = Micros::from_millis(5);
    }
    // Both fronts tell their clients when to come back, whatever the simulator's clients are told.
    settings.max_retry_after = facts.longest_advice();
    Ok(settings)
}

/// Reads the environment's file and the dispatcher's own.
pub fn load(environment: &Environment, own: Option<&Path>) -> Result<Config, Wrong> {
    let own: Own = match own {
        Some(path) => decode("--config", path)?,
        None => <Own as Default>::default(),
    };
    let platform: Platform = match &environment.config {
        Some(path) => decode("PROXY_CONFIG", Path::new(path))?,
        None => return Err(wrong("PROXY_CONFIG", "names no file")),
    };
    let listen = environment.listen.as_deref().or(platform.listen.as_deref());
    let facts = platform
        .settings
        .ok_or_else(|| wrong("settings", "missing"))?;
    let known = platform.known.unwrap_or_default();
    let sockets = platform.limits.and_then(|limits| limits.sockets);
    Ok(Config {
        name: environment
            .name
            .clone()
            .or(platform.name)
            .unwrap_or_else(|| "sedgebeam".to_string()),
        listen: address("listen", listen)?.ok_or_else(|| wrong("listen", "missing"))?,
        flight: listener("flight.listen", own.flight)?,
        admin: listener("admin.listen", own.admin)?,
        changelog: address("changelog", platform.changelog.as_deref())?,
        known: Known {
            seq: known.seq.unwrap_or_default(),
            changes: known.results.unwrap_or_default(),
        },
        seed: seed(platform.seed.as_deref())?,
        sockets: sockets.unwrap_or(1024).max(64) as usize,
        settings: settings(&facts)?,
        names: facts.names(),
        connections: facts.connections(),
    })
}
