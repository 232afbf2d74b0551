//! Tests of reading and checking configuration.

use super::file::faulty_key;
use super::limits::engine_connections;
use super::*;
use miniserde::json;

fn told(text: &str) -> String {
    let root: Value = json::from_str(text).expect("JSON");
    faulty_key::<SharedKeys>(&root)
}

#[test]
fn buffers_and_connections_fit_the_limits_stated() {
    for (memory_mb, sockets, engines) in [(32.0, 256, 5), (192.0, 1024, 10), (16.0, 64, 30)] {
        let descriptors = DescriptorBudget::divide(sockets, 1, false, false).expect("enough");
        let limits = Limits { sockets, memory_mb };
        let filled = limits.longest_message(descriptors.sessions) * descriptors.sessions;
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
        config_path: path.to_str().map(str::to_string),
        ..Environment::default()
    };
    let loaded = load(&environment, None);
    // The same key is wrong in the dispatcher's own file.
    std::fs::write(&path, r#"{"admin": "127.0.0.2:7"}"#).expect("a file");
    let own = load(&Environment::default(), Some(&path));
    std::fs::remove_dir_all(&dir).expect("the folder goes");
    let loaded = loaded.expect("what is not ours is skipped");
    assert_eq!(
        (loaded.admin_listen, loaded.flight_listen, loaded.workers),
        (None, None, 1)
    );
    assert_eq!(
        own.map_or_else(|error| error.key, |_| String::new()),
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
