//! Checks that a new configuration file has all keys of the running one.
//!
//! This detects incomplete files that still parse: an absent key has a default, which is not the value intended by an
//! operator who lost the key by accident.

use miniserde::json::{Object, Value};

/// The path of the first key that the running file has and the new one lacks, or whose value is an object or a list
/// only in the running one. In lists of objects a key counts if all objects of the running list have it. The contents
/// of `skipped` keys are not compared.
pub fn first_missing_key(running: &Value, new: &Value, skipped: &[&str]) -> Option<String> {
    let mut path = Vec::new();
    find_missing_key(running, new, skipped, &mut path).then(|| path.join("."))
}

/// Whether a key is missing; if so, `path` holds its path.
fn find_missing_key(
    running: &Value,
    new: &Value,
    skipped: &[&str],
    path: &mut Vec<String>,
) -> bool {
    match (running, new) {
        (Value::Object(running), Value::Object(new)) => running.iter().any(|(key, value)| {
            path.push(key.clone());
            let is_missing = match new.get(key) {
                None | Some(Value::Null) => !matches!(value, Value::Null),
                Some(_) if skipped.contains(&key.as_str()) => false,
                Some(new) => find_missing_key(value, new, skipped, path),
            };
            if !is_missing {
                path.pop();
            }
            is_missing
        }),
        (Value::Array(running), Value::Array(new)) => {
            let common_keys = common_keys(running);
            if common_keys.is_empty() {
                return false;
            }
            let common_keys = Value::Object(common_keys);
            new.iter().enumerate().any(|(index, entry)| {
                path.push(index.to_string());
                let is_missing = find_missing_key(&common_keys, entry, skipped, path);
                if !is_missing {
                    path.pop();
                }
                is_missing
            })
        }
        (Value::Object(_) | Value::Array(_), _) => true,
        _ => false,
    }
}

/// The keys that all entries have, with the values of the first entry; empty if any entry is not an object.
fn common_keys(entries: &[Value]) -> Object {
    let mut objects = entries.iter().map(|entry| match entry {
        Value::Object(object) => Some(object),
        _ => None,
    });
    let first = objects.next().flatten().cloned().unwrap_or_default();
    let others: Vec<Option<&Object>> = objects.collect();
    let is_common = |key: &String| {
        let has_key = |other: &Option<&Object>| other.is_some_and(|other| other.contains_key(key));
        others.iter().all(has_key)
    };
    first
        .into_iter()
        .filter(|(key, _)| is_common(key))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use miniserde::json;

    fn parse(text: &str) -> Value {
        json::from_str(text).expect("JSON")
    }

    /// The paths of all keys at any depth, also within lists, except those below `known`.
    fn key_paths(value: &Value) -> Vec<Vec<String>> {
        let children: Vec<(String, &Value)> = match value {
            Value::Object(object) => object
                .iter()
                .map(|(key, value)| (key.clone(), value))
                .collect(),
            Value::Array(list) => list
                .iter()
                .enumerate()
                .map(|(index, value)| (index.to_string(), value))
                .collect(),
            _ => Vec::new(),
        };
        let mut paths = Vec::new();
        for (key, child) in children {
            if matches!(value, Value::Object(_)) {
                paths.push(vec![key.clone()]);
            }
            if key != "known" {
                let descendants = key_paths_below(&key, child);
                paths.extend(descendants);
            }
        }
        paths
    }

    fn key_paths_below(key: &str, value: &Value) -> Vec<Vec<String>> {
        let paths = key_paths(value).into_iter();
        paths
            .map(|path| [vec![key.to_string()], path].concat())
            .collect()
    }

    fn remove(value: &mut Value, path: &[String]) {
        match (value, path) {
            (Value::Object(object), [last]) => drop(object.remove(last)),
            (Value::Object(object), [key, rest @ ..]) => {
                remove(object.get_mut(key).expect("the key exists"), rest);
            }
            (Value::Array(list), [index, rest @ ..]) => {
                remove(&mut list[index.parse::<usize>().expect("an index")], rest);
            }
            _ => panic!("the path does not exist"),
        }
    }

    #[test]
    fn a_file_without_any_one_key_of_the_running_one_is_incomplete() {
        let running = parse(
            r#"{"name": "n0", "listen": "x", "known": {"seq": 1, "results": []}, "limits": {"cores": 1.0, "sockets": 9},
            "settings": {"kinds": ["a"], "domain": {"class_load": [false, true], "priorities": true},
            "limits": {"max_attempts": 3}, "services": [{"name": "a", "give_up": 1, "worth": 1},
            {"name": "b", "give_up": 2, "worth": 2}], "tenants": [{"name": "x", "portion": 1}]}}"#,
        );
        assert_eq!(first_missing_key(&running, &running, &["known"]), None);
        let paths = key_paths(&running);
        assert_eq!(paths.len(), 23, "{paths:?}");
        for path in paths {
            let mut incomplete = running.clone();
            remove(&mut incomplete, &path);
            assert_eq!(
                first_missing_key(&running, &incomplete, &["known"]),
                Some(path.join("."))
            );
        }
    }

    #[test]
    fn the_first_missing_key_is_found_in_objects_and_lists() {
        let running = parse(
            r#"{"name": "n0", "known": {"seq": 1, "results": [{"seq": 1}]}, "note": null, "settings":
            {"kinds": ["a"], "limits": {"max_attempts": 3}, "services":
            [{"name": "a", "give_up": 1, "only": 1}, {"name": "b", "give_up": 2}]}}"#,
        );
        let complete = r#"{"name": "n1", "known": {"seq": 2}, "more": 1, "settings": {"kinds": ["b", "c"],
            "limits": {"max_attempts": 2}, "services": [{"name": "c", "give_up": 4}]}}"#;
        assert_eq!(
            first_missing_key(&running, &parse(complete), &["known"]),
            None
        );
        for (old, new, key) in [
            (r#""name": "n1", "#, "", "name"),
            (r#""name": "n1""#, r#""name": null"#, "name"),
            (r#""seq": 2"#, r#""seq": 2"#, "known.results"),
            (
                r#""max_attempts": 2"#,
                r#""most": 2"#,
                "settings.limits.max_attempts",
            ),
            (r#"{"max_attempts": 2}"#, "[]", "settings.limits"),
            (
                r#""give_up": 4"#,
                r#""give": 4"#,
                "settings.services.0.give_up",
            ),
            (r#"{"name": "c", "give_up": 4}"#, "7", "settings.services.0"),
        ] {
            let text = complete.replace(old, new);
            let skipped: &[&str] = if key.starts_with("known") {
                &[]
            } else {
                &["known"]
            };
            let found = first_missing_key(&running, &parse(&text), skipped);
            assert_eq!(found.as_deref(), Some(key), "{text}");
        }
    }
}
