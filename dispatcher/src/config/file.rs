//! Reads JSON configuration files and names the key that makes one invalid.

use super::error::{ConfigError, config_error};
use miniserde::json::Value;
use miniserde::{Deserialize, json};
use std::path::Path;

/// A configuration file. It is read once, so that a replacement in the meantime can't mix two versions.
pub(super) struct File<'a> {
    /// The environment variable or option that gives its path.
    origin: &'a str,
    path: &'a Path,
    pub text: String,
    pub root: Value,
}

impl<'a> File<'a> {
    /// Reads the file at a path; `None` without a path.
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

    /// Decodes the keys that `T` declares.
    pub fn decode<T: Deserialize>(&self) -> Result<T, ConfigError> {
        if let Ok(keys) = json::from_str(&self.text) {
            return Ok(keys);
        }
        let key = match faulty_key::<T>(&self.root) {
            key if key.is_empty() => self.origin.to_string(),
            key => key,
        };
        let reason = format!("in {}: not of the expected form", self.path.display());
        Err(config_error(&key, reason))
    }
}

/// Decodes the keys that `T` declares; the defaults without a file.
pub(super) fn decode_or_default<T: Default + Deserialize>(
    file: Option<&File>,
) -> Result<T, ConfigError> {
    match file {
        Some(file) => file.decode(),
        None => Ok(<T as Default>::default()),
    }
}

/// The path of the deepest key without which the file could be decoded.
pub(super) fn faulty_key<T: Deserialize>(root: &Value) -> String {
    let mut path: Vec<String> = Vec::new();
    while let Some(step) = faulty_step::<T>(root, &path) {
        path.push(step);
    }
    path.join(".")
}

/// The step below the path without which the file could be decoded.
fn faulty_step<T: Deserialize>(root: &Value, path: &[String]) -> Option<String> {
    let mut copy = root.clone();
    let parent = descend(&mut copy, path)?;
    let mut steps = steps_of(parent).into_iter();
    steps.find(|step| {
        let mut step_path = path.to_vec();
        step_path.push(step.clone());
        can_decode::<T>(&without(root, &step_path))
    })
}

/// The value at a path.
fn descend<'a>(root: &'a mut Value, path: &[String]) -> Option<&'a mut Value> {
    path.iter().try_fold(root, |value, step| child(value, step))
}

/// A copy of `root` without the value at a path: it becomes null in an object and is removed from an array.
fn without(root: &Value, path: &[String]) -> Value {
    let mut copy = root.clone();
    let Some((last, parent_path)) = path.split_last() else {
        return copy;
    };
    match descend(&mut copy, parent_path) {
        Some(Value::Object(object)) => drop(object.insert(last.clone(), Value::Null)),
        Some(Value::Array(array)) => {
            if let Some(index) = last.parse().ok().filter(|index| *index < array.len()) {
                array.remove(index);
            }
        }
        _ => {}
    }
    copy
}

fn child<'a>(value: &'a mut Value, step: &str) -> Option<&'a mut Value> {
    match value {
        Value::Object(object) => object.get_mut(step),
        Value::Array(array) => array.get_mut(step.parse::<usize>().ok()?),
        _ => None,
    }
}

/// The keys of an object, or the indices of an array.
fn steps_of(value: &Value) -> Vec<String> {
    match value {
        Value::Object(object) => object.keys().cloned().collect(),
        Value::Array(array) => (0..array.len()).map(|index| index.to_string()).collect(),
        _ => Vec::new(),
    }
}

fn can_decode<T: Deserialize>(value: &Value) -> bool {
    json::from_str::<T>(&json::to_string(value)).is_ok()
}
