//! Tests of the decoded settings.

use super::*;

#[test]
fn absent_keys_have_their_defaults_and_unknown_ones_are_skipped() {
    let text = r#"{"unheard_of": [1, {"deep": null}], "zones": ["a", "b"], "zone": "b",
        "services": [{"name": "load"}], "limits": {"max_retry_after": 500}}"#;
    let facts: GatewaySettings = miniserde::json::from_str(text).expect("decodes");
    let settings = facts.settings();
    assert_eq!(settings.zone, Some(ZoneId(1)));
    assert_eq!(settings.classes[0].effect, Effect::Once);
    // Advice counts only where clients are given any.
    assert_eq!(settings.max_retry_after, Micros(0));
    assert_eq!(facts.connections().connect_timeout, Micros(250_000));
    assert_eq!(facts.names().class("load"), Some(ClassId(0)));
}

/// Connections to one engine where so many dispatchers stand before engines of so many cores.
fn connections_to_engine(dispatchers: u32, cores: &str) -> usize {
    let text = format!(r#"{{"balancers": {dispatchers}, "domain": {{"size_cores": [{cores}]}}}}"#);
    let facts: GatewaySettings = miniserde::json::from_str(&text).expect("decodes");
    facts.connections().max_per_engine
}

/// Without this 32 dispatchers kept 26 connections each to engines whose tables hold fewer than 130 of them together.
#[test]
fn all_dispatchers_together_leave_room_in_an_engine_s_connection_table() {
    assert_eq!(connections_to_engine(3, "8, 16"), 22);
    assert_eq!(connections_to_engine(32, "8, 16"), 2);
    assert_eq!(connections_to_engine(800, "16"), FEWEST_CONNECTIONS);
    assert_eq!(connections_to_engine(1, "64"), MOST_CONNECTIONS);
    assert_eq!(
        connections_to_engine(32, ""),
        MOST_CONNECTIONS,
        "cores are not told"
    );
}

#[test]
fn clients_are_advised_unless_the_settings_say_that_they_are_not() {
    let longest = |limits: &str| {
        let facts = format!(r#"{{"services": [{{"name": "load"}}], "limits": {limits}}}"#);
        let facts: GatewaySettings = miniserde::json::from_str(&facts).expect("settings");
        facts.max_retry_after()
    };
    let half = Micros::from_millis(500);
    assert_eq!(
        longest(r#"{"max_retry_after": 500, "retry_after": true}"#),
        half
    );
    assert_eq!(longest(r#"{"max_retry_after": 500}"#), half);
    let none = longest(r#"{"max_retry_after": 500, "retry_after": false}"#);
    assert_eq!(none, Micros(0));
}
