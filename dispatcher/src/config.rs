//! The one place where configuration is read, checked and given defaults.

use crate::descriptors::Descriptors;
use crate::roster::{self, Change};
use miniserde::json::{Number, Value};
use miniserde::{Deserialize, json};
use sedgebeam_core::{Micros, Settings};
use sedgebeam_port::Target;
use sedgebeam_retune::Tuning;
use sedgebeam_settings::{Connections, Facts, Names};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The share of the memory that messages may fill which come to all sessions at once, and its bounds for one.
const MESSAGES_PART: f64 = 0.25;
const SHORTEST_MESSAGE: usize = 16 * 1024;
const LONGEST_MESSAGE: usize = 256 * 1024;
/// Where the file states no limits.
const MEMORY_MB: f64 = 256.0;
const SOCKETS: u64 = 1024;
/// Requests that may be open at once for each megabyte.
const OPEN_PER_MB: f64 = 64.0;
/// Engines that may come on top of those that are known.
const NEW_ENGINES: usize = 2;
/// More workers than this are no use to a dispatcher, whose shards share every engine.
const MOST_WORKERS: usize = 64;
/// What is divided among more dispatchers than this leaves none of them anything.
const MOST_GATEWAYS: u32 = 65_536;
/// No client waits for longer.
const LONGEST: Micros = Micros::from_millis(86_400_000);
/// Bounds of the connections to one engine.
const FEWEST_CONNECTIONS: usize = 2;
const MOST_CONNECTIONS: usize = 32;

/// What a dispatcher needs to know at its start.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    /// Where clients of the PostgreSQL protocol connect.
    pub listen: SocketAddr,
    pub flight: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
    /// Where operators call.
    pub control: Option<SocketAddr>,
    /// The descriptor of the clients' socket, where the platform holds it.
    pub passed: Option<i32>,
    pub changelog: Option<SocketAddr>,
    pub known: Known,
    pub seed: u64,
    /// What the process's descriptors are for.
    pub descriptors: Descriptors,
    /// The longest message that one of them may send.
    pub message: usize,
    pub settings: Settings,
    pub names: Names,
    pub connections: Connections,
    /// Threads that serve, each with a shard of the decision module where there are several.
    pub workers: usize,
    pub pin_workers: bool,
    /// Shards of the decision module, each with a worker.
    pub shards: usize,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The platform's file as it was read, and its text.
    pub file: Value,
    pub text: String,
}

impl Config {
    /// What can change while the program runs.
    pub fn tuning(&self) -> Tuning {
        Tuning {
            settings: self.settings.clone(),
            names: self.names.clone(),
            most_open: self.connections.max_open,
        }
    }
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
    pub control: Option<String>,
    pub passed: Option<String>,
    /// Where temporary files go; not where the system would put them, as all dispatchers may share that.
    pub folder: Option<PathBuf>,
}

impl Environment {
    pub fn read() -> Environment {
        let value = |key| std::env::var(key).ok().filter(|text| !text.is_empty());
        Environment {
            name: value("PROXY_NAME"),
            listen: value("PROXY_LISTEN"),
            config: value("PROXY_CONFIG"),
            control: value("PROXY_CONTROL"),
            passed: value("PROXY_PASSED_SOCKET"),
            folder: value("TMPDIR").map(PathBuf::from),
        }
    }
}

/// What the platform tells a dispatcher; the dispatcher's own file may hold the same keys. A platform that
/// knows more keys than these is not misread: what it means by them is not for this program.
#[derive(Default, Deserialize)]
struct Shared {
    name: Option<String>,
    listen: Option<String>,
    seed: Option<String>,
    limits: Option<Limits>,
    control: Option<String>,
    changelog: Option<String>,
    known: Option<RawKnown>,
    settings: Option<Facts>,
}

/// The keys that count in the dispatcher's own file alone.
#[derive(Default, Deserialize)]
struct Own {
    engines: Option<Vec<Target>>,
    flight: Option<Listener>,
    admin: Option<Listener>,
    workers: Option<Value>,
    pin_workers: Option<bool>,
    shards: Option<u64>,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<u64>,
    memory_mb: Option<f64>,
}

#[derive(Default, Deserialize)]
struct RawKnown {
    seq: Option<u64>,
    results: Option<Vec<Change>>,
}

#[derive(Default, Deserialize)]
struct Listener {
    listen: Option<String>,
}

/// The value at a path with that step of it taken out: null in an object, nothing in an array.
fn without(root: &Value, path: &[String]) -> Value {
    let mut whole = root.clone();
    let Some((last, above)) = path.split_last() else {
        return whole;
    };
    let holder = above
        .iter()
        .try_fold(&mut whole, |value, step| child(value, step));
    match holder {
        Some(Value::Object(object)) => drop(object.insert(last.clone(), Value::Null)),
        Some(Value::Array(array)) => {
            if let Some(place) = last.parse().ok().filter(|place| *place < array.len()) {
                array.remove(place);
            }
        }
        _ => {}
    }
    whole
}

fn child<'a>(value: &'a mut Value, step: &str) -> Option<&'a mut Value> {
    match value {
        Value::Object(object) => object.get_mut(step),
        Value::Array(array) => array.get_mut(step.parse::<usize>().ok()?),
        _ => None,
    }
}

fn steps(value: &Value) -> Vec<String> {
    match value {
        Value::Object(object) => object.keys().cloned().collect(),
        Value::Array(array) => (0..array.len()).map(|place| place.to_string()).collect(),
        _ => Vec::new(),
    }
}

fn reads<T: Deserialize>(value: &Value) -> bool {
    json::from_str::<T>(&json::to_string(value)).is_ok()
}

/// The deepest key without which the file could be read.
fn faulty<T: Deserialize>(root: &Value) -> String {
    let mut path: Vec<String> = Vec::new();
    loop {
        let mut here = root.clone();
        let at = path
            .iter()
            .try_fold(&mut here, |value, step| child(value, step));
        let steps = at.map(|value| steps(value)).unwrap_or_default();
        let next = steps.into_iter().find(|step| {
            let deeper: Vec<String> = path.iter().cloned().chain([step.clone()]).collect();
            reads::<T>(&without(root, &deeper))
        });
        match next {
            Some(step) => path.push(step),
            None => return path.join("."),
        }
    }
}

/// A file, read once: whoever replaces it meanwhile must not have half of each taken.
struct File<'a> {
    origin: &'a str,
    path: &'a Path,
    text: String,
    root: Value,
}

impl<'a> File<'a> {
    fn read(origin: &'a str, path: Option<&'a Path>) -> Result<Option<File<'a>>, Wrong> {
        let Some(path) = path else { return Ok(None) };
        let why = |why: &dyn std::fmt::Display| wrong(origin, format!("{}: {why}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|error| why(&error))?;
        File::of(origin, path, text).map(Some)
    }

    fn of(origin: &'a str, path: &'a Path, text: String) -> Result<File<'a>, Wrong> {
        let root = json::from_str(&text);
        let root = root.map_err(|_| wrong(origin, format!("{}: not JSON", path.display())))?;
        Ok(File {
            origin,
            path,
            text,
            root,
        })
    }

    /// Reads the keys of one kind from it.
    fn decode<T: Deserialize>(&self) -> Result<T, Wrong> {
        if let Ok(file) = json::from_str(&self.text) {
            return Ok(file);
        }
        let key = match faulty::<T>(&self.root) {
            key if key.is_empty() => self.origin.to_string(),
            key => key,
        };
        let why = format!("in {}: not of the form expected here", self.path.display());
        Err(wrong(&key, why))
    }
}

/// The keys of one kind from a file; none without one.
fn keys<T: Default + Deserialize>(file: Option<&File>) -> Result<T, Wrong> {
    match file {
        Some(file) => file.decode(),
        None => Ok(<T as Default>::default()),
    }
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

/// A descriptor beyond those of standard input, output and error.
fn passed(text: Option<&str>) -> Result<Option<i32>, Wrong> {
    let parse = |text: &str| match text.parse() {
        Ok(descriptor) if descriptor > 2 => Ok(descriptor),
        _ => Err(wrong(
            "PROXY_PASSED_SOCKET",
            format!("{text:?} is no descriptor"),
        )),
    };
    text.map(parse).transpose()
}

fn seed(text: Option<&str>) -> Result<u64, Wrong> {
    let Some(text) = text else { return Ok(0) };
    u64::from_str_radix(text, 16).map_err(|_| wrong("seed", format!("{text:?} is not hexadecimal")))
}

/// The decision module's settings, checked for what would make them useless.
fn settings(facts: &Facts) -> Result<Settings, Wrong> {
    let mut settings = facts.settings();
    let classes = &settings.classes;
    if classes.is_empty() {
        return Err(wrong("settings.services", "no class is named"));
    }
    for (place, class) in classes.iter().enumerate() {
        let key = |key: &str| format!("settings.services.{place}.{key}");
        if class.name.is_empty() || classes[..place].iter().any(|c| c.name == class.name) {
            let why = format!("{:?}: each class has a name of its own", class.name);
            return Err(wrong(&key("name"), why));
        }
        if !(Micros(1)..=LONGEST).contains(&class.give_up) {
            let why = format!("{:?}: it is more than 0, and at most a day", class.name);
            return Err(wrong(&key("give_up"), why));
        }
    }
    if facts.attempts() == Some(0) {
        return Err(wrong(
            "settings.limits.max_attempts",
            "it must be more than 0",
        ));
    }
    let (gateways, me) = facts.fleet();
    if gateways.is_some_and(|count| !(1..=MOST_GATEWAYS).contains(&count)) {
        let why = format!("it is from 1 to {MOST_GATEWAYS}");
        return Err(wrong("settings.balancers", why));
    }
    // Two with one number would take one place among the gateways, and both what is granted to it.
    if me.is_some_and(|me| me >= gateways.unwrap_or(1)) {
        let why = "it counts the dispatchers from 0 and is less than settings.balancers";
        return Err(wrong("settings.me", why));
    }
    if settings.tick == Micros(0) {
        settings.tick = Micros::from_millis(5);
    }
    // Both fronts tell their clients when to come back, whatever the simulator's clients are told.
    settings.max_retry_after = facts.longest_advice();
    Ok(settings)
}

/// The engines at the start: those of the change log, and those that the file names itself.
fn known(raw: Option<RawKnown>, engines: Option<Vec<Target>>) -> Result<Known, Wrong> {
    let raw = raw.unwrap_or_default();
    let mut changes = raw.results.unwrap_or_default();
    if let Some(targets) = engines {
        let named = |target: &Target| !target.uid.is_empty() && target.endpoint.contains(':');
        if let Some(place) = targets.iter().position(|target| !named(target)) {
            let key = format!("engines.{place}");
            return Err(wrong(
                &key,
                "it needs a uid, and an endpoint like ADDRESS:PORT",
            ));
        }
        changes.push(Change::of(targets));
    }
    Ok(Known {
        seq: raw.seq.unwrap_or_default(),
        changes,
    })
}

/// Reads the environment's file and the dispatcher's own; where both hold a key, the former counts.
pub fn load(environment: &Environment, own: Option<&Path>) -> Result<Config, Wrong> {
    let config = environment.config.as_deref().map(Path::new);
    build(environment, File::read("PROXY_CONFIG", config)?, own)
}

/// The same from the text of the environment's file that an earlier process had in use.
pub fn load_text(
    environment: &Environment,
    text: String,
    own: Option<&Path>,
) -> Result<Config, Wrong> {
    let path = Path::new("the file in use before");
    build(
        environment,
        Some(File::of("PROXY_CONFIG", path, text)?),
        own,
    )
}

fn build(
    environment: &Environment,
    config: Option<File>,
    own: Option<&Path>,
) -> Result<Config, Wrong> {
    if environment.config.is_none() && own.is_none() {
        return Err(wrong(
            "PROXY_CONFIG",
            "names no file, and there is no --config",
        ));
    }
    let own = File::read("--config", own)?;
    let platform: Shared = keys(config.as_ref())?;
    let fallback: Shared = keys(own.as_ref())?;
    let own: Own = keys(own.as_ref())?;
    let listen = environment
        .listen
        .clone()
        .or(platform.listen)
        .or(fallback.listen);
    let control = environment
        .control
        .clone()
        .or(platform.control)
        .or(fallback.control);
    let changelog = platform.changelog.or(fallback.changelog);
    let facts = platform.settings.or(fallback.settings);
    let facts = facts.ok_or_else(|| wrong("settings", "missing"))?;
    let limits = platform.limits.or(fallback.limits).unwrap_or_default();
    let sockets = limits.sockets.unwrap_or(SOCKETS).max(64) as usize;
    let memory_mb = limits.memory_mb.unwrap_or(MEMORY_MB).max(16.0);
    let known = known(platform.known.or(fallback.known), own.engines)?;
    let mut connections = facts.connections();
    connections.max_open = connections.max_open.min((memory_mb * OPEN_PER_MB) as usize);
    let workers = workers(own.workers.as_ref())?;
    let shards = shards(own.shards, workers)?;
    let flight = listener("flight.listen", own.flight)?;
    let admin = listener("admin.listen", own.admin)?;
    let descriptors = Descriptors::of(sockets, workers, flight.is_some(), admin.is_some());
    let descriptors = descriptors.ok_or_else(|| {
        let why = format!("limits.sockets has too few descriptors for {workers}");
        wrong("workers", why)
    })?;
    let engines = roster::fold(known.changes.clone()).len();
    let to_engine = engine_connections(descriptors.engines, engines);
    connections.in_all = descriptors.engines;
    connections.most = divided(to_engine, shards)?;
    let name = environment.name.clone().or(platform.name).or(fallback.name);
    let seeded = platform.seed.or(fallback.seed);
    Ok(Config {
        name: name.unwrap_or_else(|| "sedgebeam".to_string()),
        listen: address("listen", listen.as_deref())?.ok_or_else(|| wrong("listen", "missing"))?,
        flight,
        admin,
        control: address("control", control.as_deref())?,
        passed: passed(environment.passed.as_deref())?,
        changelog: address("changelog", changelog.as_deref())?,
        known,
        seed: seed(seeded.as_deref())?,
        message: message(memory_mb, descriptors.sessions),
        descriptors,
        settings: settings(&facts)?,
        names: facts.names(),
        connections,
        workers,
        pin_workers: own.pin_workers.unwrap_or_default(),
        shards,
        sockets,
        text: config
            .as_ref()
            .map_or_else(String::new, |config| config.text.clone()),
        file: config.map_or(Value::Null, |config| config.root),
    })
}

/// The number of workers, from a number or "auto", which is one for each core.
fn workers(told: Option<&Value>) -> Result<usize, Wrong> {
    let bad = |why: &str| Err(wrong("workers", why));
    let count = match told {
        None | Some(Value::Null) => 1,
        Some(Value::String(word)) if word == "auto" => {
            std::thread::available_parallelism().map_or(1, |cores| cores.get().min(MOST_WORKERS))
        }
        Some(Value::Number(Number::U64(count))) => usize::try_from(*count).unwrap_or(usize::MAX),
        Some(_) => return bad("it is a whole number from 1, or \"auto\""),
    };
    match count {
        0 => bad("there must be one at least"),
        count if count > MOST_WORKERS => bad(&format!("there are {MOST_WORKERS} at most")),
        count => Ok(count),
    }
}

/// The shards of the decision module: one for each worker, unless there are to be fewer.
fn shards(told: Option<u64>, workers: usize) -> Result<usize, Wrong> {
    let told = told.map(|told| usize::try_from(told).unwrap_or(usize::MAX));
    match told.unwrap_or(workers) {
        shards if (1..=workers).contains(&shards) => Ok(shards),
        _ => Err(wrong(
            "shards",
            format!("it is from 1 to the workers, which are {workers}"),
        )),
    }
}

/// The part of each shard of the connections to an engine.
fn divided(connections: usize, shards: usize) -> Result<usize, Wrong> {
    match connections / shards {
        0 => {
            let why = format!(
                "limits.sockets has room for {connections} connections to each engine: too few for {shards} shards"
            );
            Err(wrong("workers", why))
        }
        part => Ok(part),
    }
}

/// The longest message: guards against sessions that all send the longest one at once.
fn message(memory_mb: f64, sessions: usize) -> usize {
    let part = memory_mb * 1024.0 * 1024.0 * MESSAGES_PART / sessions as f64;
    (part as usize).clamp(SHORTEST_MESSAGE, LONGEST_MESSAGE)
}

/// Connections to one engine: its part of the descriptors that engines may hold, with room for new engines. All of them
/// together are bounded by those.
fn engine_connections(descriptors: usize, engines: usize) -> usize {
    let part = descriptors / (engines + NEW_ENGINES);
    part.clamp(FEWEST_CONNECTIONS, MOST_CONNECTIONS)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(text: &str) -> String {
        let root: Value = json::from_str(text).expect("JSON");
        faulty::<Shared>(&root)
    }

    #[test]
    fn buffers_and_connections_fit_the_limits_stated() {
        for (memory_mb, sockets, engines) in [(32.0, 256, 5), (192.0, 1024, 10), (16.0, 64, 30)] {
            let descriptors = Descriptors::of(sockets, 1, false, false).expect("enough");
            let filled = message(memory_mb, descriptors.sessions) * descriptors.sessions;
            assert!(
                filled as f64 <= memory_mb * 1024.0 * 1024.0 / 2.0,
                "{filled}"
            );
            assert!(engine_connections(descriptors.engines, engines) <= descriptors.engines);
        }
    }

    /// Guards against a platform that gives a key of ours a meaning of its own, and against one that opens a
    /// listener or starts workers that the dispatcher's own file does not name.
    #[test]
    fn the_platform_s_further_keys_are_not_ours() {
        let dir = std::env::temp_dir().join(format!("sedgebeam-keys-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let path = dir.join("platform.json");
        let text = r#"{"listen": "127.0.0.1:1", "settings": {"services": [{"name": "a", "give_up": 10}]},
            "admin": "127.0.0.2:7", "flight": [1], "workers": {}, "engines": 3, "shards": "x", "more": null}"#;
        std::fs::write(&path, text).expect("a file");
        let environment = Environment {
            config: path.to_str().map(str::to_string),
            ..Environment::default()
        };
        let loaded = load(&environment, None);
        // The same key is wrong in the dispatcher's own file.
        std::fs::write(&path, r#"{"admin": "127.0.0.2:7"}"#).expect("a file");
        let own = load(&Environment::default(), Some(&path));
        std::fs::remove_dir_all(&dir).expect("the folder goes");
        let loaded = loaded.expect("what is not ours is skipped");
        assert_eq!(
            (loaded.admin, loaded.flight, loaded.workers),
            (None, None, 1)
        );
        assert_eq!(
            own.map_or_else(|wrong| wrong.key, |_| String::new()),
            "admin"
        );
    }

    #[test]
    fn the_faulty_key_is_named() {
        let cases = [
            (r#"{"listen": 5}"#, "listen"),
            (r#"{"settings": {"tick": "x"}}"#, "settings.tick"),
            (
                r#"{"settings": {"limits": {"max_streams": -1}}}"#,
                "settings.limits.max_streams",
            ),
            (
                r#"{"settings": {"services": [{"name": "a"}, {"name": "b", "worth": "x"}]}}"#,
                "settings.services.1.worth",
            ),
            (
                r#"{"settings": {"services": [{"name": "a"}, {"worth": 1}]}}"#,
                "settings.services.1",
            ),
            ("[]", ""),
        ];
        for (text, key) in cases {
            assert_eq!(told(text), key, "{text}");
        }
    }
}
