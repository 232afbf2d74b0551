//! Whether a file holds all that the running one does.
//!
//! Guards against files that are incomplete and yet read well: a key that is absent has a default, which
//! is not what whoever lost it meant.

use miniserde::json::{Object, Value};

/// The first key that the running file has and the new one lacks, or has as something else than an object or
/// a list. In lists of objects that is a key that all running ones have. What stands under `skipped` need only be
/// there.
pub fn first_missing_key(running: &Value, new: &Value, skipped: &[&str]) -> Option<String> {
    let mut path = Vec::new();
    lacks(running, new, skipped, &mut path).then(|| path.join("."))
}

/// Whether a key is missing; its path is left where it was found.
fn lacks(running: &Value, new: &Value, skipped: &[&str], path: &mut Vec<String>) -> bool {
    match (running, new) {
        (Value::Object(running), Value::Object(new)) => running.iter().any(|(key, value)| {
            path.push(key.clone());
            let found = match new.get(key) {
                None | Some(Value::Null) => !matches!(value, Value::Null),
                Some(_) if skipped.contains(&key.as_str()) => false,
                Some(new) => lacks(value, new, skipped, path),
            };
            if !found {
                path.pop();
            }
            found
        }),
        (Value::Array(running), Value::Array(new)) => {
            let common = common(running);
            if common.is_empty() {
                return false;
            }
            let common = Value::Object(common);
            new.iter().enumerate().any(|(place, entry)| {
                path.push(place.to_string());
                let found = lacks(&common, entry, skipped, path);
                if !found {
                    path.pop();
                }
                found
            })
        }
        (Value::Object(_) | Value::Array(_), _) => true,
        _ => false,
    }
}

/// The keys that all entries have, each with the first one's value; none where an entry is no object.
fn common(entries: &[Value]) -> Object {
    let mut objects = entries.iter().map(|entry| match entry {
        Value::Object(object) => Some(object),
        _ => None,
    });
    let first = objects.next().flatten().cloned().unwrap_or_default();
    let others: Vec<Option<&Object>> = objects.collect();
    let everywhere = |key: &String| {
        let has = |other: &Option<&Object>| other.is_some_and(|other| other.contains_key(key));
        others.iter().all(has)
    };
    first
        .into_iter()
        .filter(|(key, _)| everywhere(key))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use miniserde::json;

    fn value(text: &str) -> Value {
        json::from_str(text).expect("JSON")
    }

    /// Every key of objects, however deep, with those of entries of lists; not what stands under `known`.
    fn paths(value: &Value) -> Vec<Vec<String>> {
        let steps: Vec<(String, &Value)> = match value {
            Value::Object(object) => object
                .iter()
                .map(|(key, value)| (key.clone(), value))
                .collect(),
            Value::Array(list) => list
                .iter()
                .enumerate()
                .map(|(at, v)| (at.to_string(), v))
                .collect(),
            _ => Vec::new(),
        };
        let mut paths = Vec::new();
        for (step, below) in steps {
            if matches!(value, Value::Object(_)) {
                paths.push(vec![step.clone()]);
            }
            if step != "known" {
                let deeper = paths_below(&step, below);
                paths.extend(deeper);
            }
        }
        paths
    }

    fn paths_below(step: &str, value: &Value) -> Vec<Vec<String>> {
        let below = paths(value).into_iter();
        below
            .map(|path| [vec![step.to_string()], path].concat())
            .collect()
    }

    fn remove(value: &mut Value, path: &[String]) {
        match (value, path) {
            (Value::Object(object), [last]) => drop(object.remove(last)),
            (Value::Object(object), [step, rest @ ..]) => {
                remove(object.get_mut(step).expect("is there"), rest);
            }
            (Value::Array(list), [step, rest @ ..]) => {
                remove(&mut list[step.parse::<usize>().expect("a place")], rest);
            }
            _ => panic!("no path"),
        }
    }

    #[test]
    fn a_file_that_lacks_any_one_key_of_the_running_one_is_not_taken() {
        let running = value(
            r#"{"name": "n0", "listen": "x", "known": {"seq": 1, "results": []}, "limits": {"cores": 1.0, "sockets": 9},
            "settings": {"kinds": ["a"], "domain": {"class_load": [false, true], "priorities": true},
            "limits": {"max_attempts": 3}, "services": [{"name": "a", "give_up": 1, "worth": 1},
            {"name": "b", "give_up": 2, "worth": 2}], "tenants": [{"name": "x", "portion": 1}]}}"#,
        );
        assert_eq!(first_missing_key(&running, &running, &["known"]), None);
        let paths = paths(&running);
        assert_eq!(paths.len(), 23, "{paths:?}");
        for path in paths {
            let mut lacks = running.clone();
            remove(&mut lacks, &path);
            assert_eq!(
                first_missing_key(&running, &lacks, &["known"]),
                Some(path.join("."))
            );
        }
    }

    #[test]
    fn a_key_that_the_running_file_has_must_be_there() {
        let running = value(
            r#"{"name": "n0", "known": {"seq": 1, "results": [{"seq": 1}]}, "note": null, "settings":
            {"kinds": ["a"], "limits": {"max_attempts": 3}, "services":
            [{"name": "a", "give_up": 1, "only": 1}, {"name": "b", "give_up": 2}]}}"#,
        );
        let whole = r#"{"name": "n1", "known": {"seq": 2}, "more": 1, "settings": {"kinds": ["b", "c"],
            "limits": {"max_attempts": 2}, "services": [{"name": "c", "give_up": 4}]}}"#;
        assert_eq!(first_missing_key(&running, &value(whole), &["known"]), None);
        for (from, to, key) in [
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
            let text = whole.replace(from, to);
            let skipped: &[&str] = if key.starts_with("known") {
                &[]
            } else {
                &["known"]
            };
            let found = first_missing_key(&running, &value(&text), skipped);
            assert_eq!(found.as_deref(), Some(key), "{text}");
        }
    }
}
