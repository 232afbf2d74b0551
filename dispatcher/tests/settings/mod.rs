//! The settings of a small deployment, as the platform writes them to the configuration file.

/// Two classes, of which `journal-load` must not be repeated, on a deployment of `dispatchers` dispatchers.
pub fn for_dispatchers(dispatchers: u32) -> String {
    format!(
        r#"{{"balancers": {dispatchers}, "kinds": ["std"], "zones": ["a"], "zone": "a", "tick": 5.0,
  "domain": {{"class_load": [false, true], "class_waits": [true, false], "threads_by_class": [1, 2],
    "size_cores": [12], "size_mb": [24576.0], "tells_cost": true}},
  "limits": {{"cancel": true, "max_attempts": 3, "max_streams": 32, "connect_timeout": 250.0,
    "conn_idle": 30000.0, "max_retry_after": 1000.0}},
  "rules": {{"answer_slack": 20.0, "drain_grace": 500.0}},
  "services": [
    {{"name": "lookup", "worth": 1.0, "on_time": 2000.0, "give_up": 4000.0, "effect": "repeatable"}},
    {{"name": "journal-load", "worth": 12.0, "on_time": 2000.0, "give_up": 4000.0, "effect": "once"}}]}}"#
    )
}
