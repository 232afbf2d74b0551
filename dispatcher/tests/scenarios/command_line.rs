//! Command line: output and exit status of the program.

use crate::harness::create_temp_dir;
use std::process::{Command, Output};

fn run_program(arguments: &[&str], file: &str) -> Output {
    let directory = create_temp_dir();
    let path = directory.join("file");
    std::fs::write(&path, file).expect("writes");
    let arguments = arguments.iter().map(|argument| match *argument {
        "FILE" => path.clone().into_os_string(),
        argument => argument.into(),
    });
    let output = Command::new(env!("CARGO_BIN_EXE_sedgebeam"))
        .args(arguments)
        .env_remove("PROXY_CONFIG")
        .env_remove("PROXY_LISTEN")
        .env_remove("PROXY_NAME")
        .output()
        .expect("the program runs");
    std::fs::remove_dir_all(directory).expect("removes");
    output
}

/// Runs the program with these arguments, where `FILE` names a file with this text. Checks the exit status and that standard
/// output or standard error contains the expected text.
fn expect_output(arguments: &[&str], file: &str, status: i32, expected: &str) {
    let output = run_program(arguments, file);
    let output_text = [output.stdout, output.stderr].concat();
    let output_text = String::from_utf8_lossy(&output_text).to_string();
    assert_eq!(
        output.status.code(),
        Some(status),
        "{arguments:?}: {output_text}"
    );
    assert!(
        output_text.contains(expected),
        "{arguments:?}: no {expected:?} in {output_text}"
    );
}

const VALID_CONFIG: &str =
    r#"{"listen": "127.0.0.1:0", "settings": {"services": [{"name": "a", "give_up": 9}]}}"#;

#[test]
fn an_invalid_configuration_ends_with_status_2_and_the_key() {
    let check_config = &["check-config", "--config", "FILE"];
    expect_output(check_config, VALID_CONFIG, 0, "");
    expect_output(&["check-config"], "", 2, "PROXY_CONFIG");
    expect_output(&["serve", "--config", "FILE"], "{", 2, "--config: ");
    let invalid_configs = [
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
    for (file, expected) in invalid_configs {
        expect_output(check_config, file, 2, expected);
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
        let file = VALID_CONFIG.replacen('{', &format!("{{\"{key}\": {value}, "), 1);
        expect_output(check_config, &file, 2, &format!("configuration: {key}: "));
    }
    for value in ["1", "4", "\"auto\"", "null"] {
        let file = VALID_CONFIG.replacen('{', &format!("{{\"workers\": {value}, "), 1);
        expect_output(check_config, &file, 0, "");
    }
    // An index or a number of dispatchers that is out of range.
    for (settings_keys, key) in [
        (r#""balancers": 0"#, "settings.balancers"),
        (r#""balancers": 65537"#, "settings.balancers"),
        (r#""balancers": 3, "me": 3"#, "settings.me"),
        (r#""me": 1"#, "settings.me"),
    ] {
        let file = VALID_CONFIG.replacen(
            "\"settings\": {",
            &format!("\"settings\": {{{settings_keys}, "),
            1,
        );
        expect_output(check_config, &file, 2, &format!("configuration: {key}: "));
    }
    // 64 descriptors are too few for a connection of each of the 30 shards to each engine.
    let too_few_descriptors =
        VALID_CONFIG.replacen('{', r#"{"workers": 30, "limits": {"sockets": 64}, "#, 1);
    expect_output(
        check_config,
        &too_few_descriptors,
        2,
        "configuration: workers: limits.sockets",
    );
}

#[test]
fn invalid_arguments_end_with_status_2_and_the_usage() {
    expect_output(&["version"], "", 0, "sedgebeam ");
    expect_output(&["--help"], "", 0, "import-haproxy");
    for arguments in [
        &[][..],
        &["nonsense"],
        &["serve", "more"],
        &["version", "--odd"],
        &["import-haproxy"],
    ] {
        expect_output(arguments, "", 2, "usage:");
    }
}

#[test]
fn an_import_prints_a_configuration_that_passes_the_check() {
    let haproxy = "listen x\n bind 127.0.0.1:0\n server a 127.0.0.1:1 check\n acl b src c\n";
    let output = run_program(&["import-haproxy", "FILE"], haproxy);
    assert_eq!(output.status.code(), Some(0));
    let errors = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(errors.contains("line 4: acl: no counterpart"), "{errors}");
    let file = String::from_utf8(output.stdout).expect("UTF-8");
    expect_output(&["check-config", "--config", "FILE"], &file, 0, "");
    expect_output(&["import-haproxy", "/nowhere"], "", 2, "/nowhere");
}
