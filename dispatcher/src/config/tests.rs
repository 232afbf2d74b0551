//! Tests of reading and checking the configuration.

use super::file::faulty_key;
use super::limits::max_connections_per_engine;
use super::*;
use miniserde::json;

fn faulty_key_of(text: &str) -> String {
    let root: Value = json::from_str(text).expect("JSON");
    faulty_key::<SharedKeys>(&root)
}

#[test]
fn buffers_and_connections_fit_the_stated_limits() {
    for (memory_mb, max_descriptors, engine_count) in
        [(32.0, 256, 5), (192.0, 1024, 10), (16.0, 64, 30)]
    {
        let budget = DescriptorBudget::divide(max_descriptors, 1, false, false).expect("enough");
        let limits = Limits {
            max_descriptors,
            memory_mb,
        };
        let max_buffered_bytes = limits.max_message_bytes(budget.sessions) * budget.sessions;
        assert!(
            max_buffered_bytes as f64 <= memory_mb * 1024.0 * 1024.0 / 2.0,
            "{max_buffered_bytes}"
        );
        assert!(max_connections_per_engine(budget.engines, engine_count) <= budget.engines);
    }
}

/// Keys that belong to the dispatcher's own file are ignored in the platform's file: the platform may use them with another
/// meaning, and must not open listeners or start workers with them.
#[test]
fn keys_of_the_own_file_are_ignored_in_the_platform_file() {
    let directory = std::env::temp_dir().join(format!("sedgebeam-keys-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("creates the directory");
    let path = directory.join("platform.json");
    let text = r#"{"listen": "127.0.0.1:1", "settings": {"services": [{"name": "a", "give_up": 10}]},
        "admin": "127.0.0.2:7", "flight": [1], "workers": {}, "engines": 3, "shards": "x", "more": null}"#;
    std::fs::write(&path, text).expect("writes the file");
    let environment = Environment {
        config_path: path.to_str().map(str::to_string),
        ..Environment::default()
    };
    let loaded = load(&environment, None);
    // The same key is an error in the dispatcher's own file.
    std::fs::write(&path, r#"{"admin": "127.0.0.2:7"}"#).expect("writes the file");
    let own_file_result = load(&Environment::default(), Some(&path));
    std::fs::remove_dir_all(&directory).expect("removes the directory");
    let loaded = loaded.expect("unknown keys are ignored");
    assert_eq!(
        (loaded.admin_listen, loaded.flight_listen, loaded.workers),
        (None, None, 1)
    );
    assert_eq!(
        own_file_result.map_or_else(|error| error.key, |_| String::new()),
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
        assert_eq!(faulty_key_of(text), key, "{text}");
    }
}
