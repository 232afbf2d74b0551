//! Tests of the decoded settings.

use super::*;

#[test]
fn absent_keys_have_their_defaults_and_unknown_ones_are_ignored() {
    let text = r#"{"unknown_key": [1, {"deep": null}], "zones": ["a", "b"], "zone": "b",
        "services": [{"name": "load"}], "limits": {"max_retry_after": 500}}"#;
    let gateway_settings: GatewaySettings = miniserde::json::from_str(text).expect("decodes");
    let settings = gateway_settings.settings();
    assert_eq!(settings.zone, Some(ZoneId(1)));
    assert_eq!(settings.classes[0].effect, Effect::Once);
    // The limit applies only if `retry_after` is true.
    assert_eq!(settings.max_retry_after, Micros(0));
    assert_eq!(
        gateway_settings.connections().connect_timeout,
        Micros(250_000)
    );
    assert_eq!(gateway_settings.names().class("load"), Some(ClassId(0)));
}

/// The maximum number of connections from each dispatcher to one engine.
fn max_connections_to_engine(dispatchers: u32, cores: &str) -> usize {
    let text = format!(r#"{{"balancers": {dispatchers}, "domain": {{"size_cores": [{cores}]}}}}"#);
    let gateway_settings: GatewaySettings = miniserde::json::from_str(&text).expect("decodes");
    gateway_settings.connections().max_per_engine
}

/// Guards against 32 dispatchers that keep 26 connections each to engines whose connection tables have fewer than 130
/// entries.
#[test]
fn all_dispatchers_together_leave_room_in_the_connection_table_of_an_engine() {
    assert_eq!(max_connections_to_engine(3, "8, 16"), 22);
    assert_eq!(max_connections_to_engine(32, "8, 16"), 2);
    assert_eq!(
        max_connections_to_engine(800, "16"),
        MIN_CONNECTIONS_PER_ENGINE
    );
    assert_eq!(
        max_connections_to_engine(1, "64"),
        MAX_CONNECTIONS_PER_ENGINE
    );
    assert_eq!(
        max_connections_to_engine(32, ""),
        MAX_CONNECTIONS_PER_ENGINE,
        "the cores are not configured"
    );
}

#[test]
fn clients_get_retry_advice_unless_the_settings_disable_it() {
    let max_retry_after = |limits: &str| {
        let text = format!(r#"{{"services": [{{"name": "load"}}], "limits": {limits}}}"#);
        let gateway_settings: GatewaySettings = miniserde::json::from_str(&text).expect("settings");
        gateway_settings.max_retry_after()
    };
    let half_second = Micros::from_millis(500);
    assert_eq!(
        max_retry_after(r#"{"max_retry_after": 500, "retry_after": true}"#),
        half_second
    );
    assert_eq!(max_retry_after(r#"{"max_retry_after": 500}"#), half_second);
    let disabled = max_retry_after(r#"{"max_retry_after": 500, "retry_after": false}"#);
    assert_eq!(disabled, Micros(0));
}
