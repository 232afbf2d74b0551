//! The command line: what it prints, and its exit status.

use crate::harness::create_temp_dir;
use std::process::{Command, Output};

fn run(words: &[&str], file: &str) -> Output {
    let folder = create_temp_dir();
    let path = folder.join("file");
    std::fs::write(&path, file).expect("writes");
    let words = words.iter().map(|word| match *word {
        "FILE" => path.clone().into_os_string(),
        word => word.into(),
    });
    let output = Command::new(env!("CARGO_BIN_EXE_sedgebeam"))
        .args(words)
        .env_remove("PROXY_CONFIG")
        .env_remove("PROXY_LISTEN")
        .env_remove("PROXY_NAME")
        .output()
        .expect("the program runs");
    std::fs::remove_dir_all(folder).expect("removes");
    output
}

/// Words, the file that they name, the exit status, and what is said on either output.
fn says(words: &[&str], file: &str, status: i32, told: &str) {
    let output = run(words, file);
    let said = [output.stdout, output.stderr].concat();
    let said = String::from_utf8_lossy(&said).to_string();
    assert_eq!(output.status.code(), Some(status), "{words:?}: {said}");
    assert!(said.contains(told), "{words:?}: {told:?} in {said}");
}

const GOOD: &str =
    r#"{"listen": "127.0.0.1:0", "settings": {"services": [{"name": "a", "give_up": 9}]}}"#;

#[test]
fn a_wrong_configuration_ends_with_status_2_and_the_key() {
    let check = &["check-config", "--config", "FILE"];
    says(check, GOOD, 0, "");
    says(&["check-config"], "", 2, "PROXY_CONFIG");
    says(&["serve", "--config", "FILE"], "{", 2, "--config: ");
    let wrong = [
        (r#"{"listen": 7}"#, "configuration: listen: "),
        (r#"{"listen": "here"}"#, "configuration: settings: missing"),
        (
            r#"{"settings": {"services": []}}"#,
            "configuration: listen: missing",
        ),
        (
            r#"{"listen": "a", "settings": {}}"#,
            "configuration: listen: \"a\" is not",
        ),
        (
            r#"{"listen": "[::1]:0", "settings": {}}"#,
            "settings.services: no class",
        ),
        (
            r#"{"settings": {"limits": {"cancel": "yes"}}}"#,
            "configuration: settings.limits.cancel: ",
        ),
        (
            r#"{"admin": {"listen": "x"}, "listen": "[::1]:0", "settings": {}}"#,
            "admin.listen",
        ),
        (
            r#"{"engines": [{"uid": "a", "endpoint": "b", "state": "up"}], "listen": "[::1]:0", "settings": {}}"#,
            "engines.0",
        ),
    ];
    for (file, told) in wrong {
        says(check, file, 2, told);
    }
    for (key, value) in [
        ("workers", "0"),
        ("workers", "65"),
        ("workers", "2.5"),
        ("workers", "-1"),
        ("workers", "\"all\""),
        ("workers", "{}"),
        ("pin_workers", "1"),
        ("shards", "0"),
        ("shards", "3"),
    ] {
        let file = GOOD.replacen('{', &format!("{{\"{key}\": {value}, "), 1);
        says(check, &file, 2, &format!("configuration: {key}: "));
    }
    for value in ["1", "4", "\"auto\"", "null"] {
        let file = GOOD.replacen('{', &format!("{{\"workers\": {value}, "), 1);
        says(check, &file, 0, "");
    }
    // A place among the dispatchers that there is not.
    for (fleet, key) in [
        (r#""balancers": 0"#, "settings.balancers"),
        (r#""balancers": 65537"#, "settings.balancers"),
        (r#""balancers": 3, "me": 3"#, "settings.me"),
        (r#""me": 1"#, "settings.me"),
    ] {
        let file = GOOD.replacen("\"settings\": {", &format!("\"settings\": {{{fleet}, "), 1);
        says(check, &file, 2, &format!("configuration: {key}: "));
    }
    // Each shard needs a connection to each engine.
    let tight = GOOD.replacen('{', r#"{"workers": 30, "limits": {"sockets": 64}, "#, 1);
    says(check, &tight, 2, "configuration: workers: limits.sockets");
}

#[test]
fn words_that_name_no_command_end_with_status_2_and_the_usage() {
    says(&["version"], "", 0, "sedgebeam ");
    says(&["--help"], "", 0, "import-haproxy");
    for words in [
        &[][..],
        &["nonsense"],
        &["serve", "more"],
        &["version", "--odd"],
        &["import-haproxy"],
    ] {
        says(words, "", 2, "usage:");
    }
}

#[test]
fn an_import_prints_a_configuration_that_can_be_checked() {
    let haproxy = "listen x\n bind 127.0.0.1:0\n server a 127.0.0.1:1 check\n acl b src c\n";
    let output = run(&["import-haproxy", "FILE"], haproxy);
    assert_eq!(output.status.code(), Some(0));
    let told = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(told.contains("line 4: acl: no counterpart"), "{told}");
    let file = String::from_utf8(output.stdout).expect("UTF-8");
    says(&["check-config", "--config", "FILE"], &file, 0, "");
    says(&["import-haproxy", "/nowhere"], "", 2, "/nowhere");
}
