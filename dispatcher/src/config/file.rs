//! Reads a JSON file, and names the key that makes it unreadable.

use super::error::{ConfigError, config_error};
use miniserde::json::Value;
use miniserde::{Deserialize, json};
use std::path::Path;

/// A file, read once: whoever replaces it meanwhile must not have half of each taken.
pub(super) struct File<'a> {
    /// The variable or option that names it.
    origin: &'a str,
    path: &'a Path,
    pub text: String,
    pub root: Value,
}

impl<'a> File<'a> {
    /// Reads the file at a path; none where there is no path.
    pub fn read(origin: &'a str, path: Option<&'a Path>) -> Result<Option<File<'a>>, ConfigError> {
        let Some(path) = path else { return Ok(None) };
        let text = std::fs::read_to_string(path)
            .map_err(|error| config_error(origin, format!("{}: {error}", path.display())))?;
        File::parse(origin, path, text).map(Some)
    }

    pub fn parse(origin: &'a str, path: &'a Path, text: String) -> Result<File<'a>, ConfigError> {
        let root = json::from_str(&text);
        let root =
            root.map_err(|_| config_error(origin, format!("{}: not JSON", path.display())))?;
        Ok(File {
            origin,
            path,
            text,
            root,
        })
    }

    /// Reads the keys of one kind from it.
    pub fn decode<T: Deserialize>(&self) -> Result<T, ConfigError> {
        if let Ok(keys) = json::from_str(&self.text) {
            return Ok(keys);
        }
        let key = match faulty_key::<T>(&self.root) {
            key if key.is_empty() => self.origin.to_string(),
            key => key,
        };
        let why = format!("in {}: not of the form expected here", self.path.display());
        Err(config_error(&key, why))
    }
}

/// The keys of one kind from a file; the defaults without one.
pub(super) fn decode_or_default<T: Default + Deserialize>(
    file: Option<&File>,
) -> Result<T, ConfigError> {
    match file {
        Some(file) => file.decode(),
        None => Ok(<T as Default>::default()),
    }
}

/// The deepest key without which the file could be read.
pub(super) fn faulty_key<T: Deserialize>(root: &Value) -> String {
    let mut path: Vec<String> = Vec::new();
    while let Some(step) = faulty_step::<T>(root, &path) {
        path.push(step);
    }
    path.join(".")
}

/// The step below the path without which the file could be read.
fn faulty_step<T: Deserialize>(root: &Value, path: &[String]) -> Option<String> {
    let mut copy = root.clone();
    let holder = descend(&mut copy, path)?;
    let mut steps = steps_of(holder).into_iter();
    steps.find(|step| {
        let mut deeper = path.to_vec();
        deeper.push(step.clone());
        can_decode::<T>(&without(root, &deeper))
    })
}

/// The value at a path.
fn descend<'a>(root: &'a mut Value, path: &[String]) -> Option<&'a mut Value> {
    path.iter().try_fold(root, |value, step| child(value, step))
}

/// The whole with the value at a path taken out: null in an object, nothing in an array.
fn without(root: &Value, path: &[String]) -> Value {
    let mut whole = root.clone();
    let Some((last, above)) = path.split_last() else {
        return whole;
    };
    match descend(&mut whole, above) {
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

fn steps_of(value: &Value) -> Vec<String> {
    match value {
        Value::Object(object) => object.keys().cloned().collect(),
        Value::Array(array) => (0..array.len()).map(|place| place.to_string()).collect(),
        _ => Vec::new(),
    }
}

fn can_decode<T: Deserialize>(value: &Value) -> bool {
    json::from_str::<T>(&json::to_string(value)).is_ok()
}
