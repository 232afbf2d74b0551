//! The settings of a small deployment: the example of the interface page, with one dispatcher and three classes.

/// What a case changes in the settings.
#[derive(Clone, Copy, Default)]
pub struct Variant {
    /// There is a fourth class, `posting`, whose requests keep the order of their keys and may never run twice.
    pub ordered_class: bool,
    /// There are two kinds of engine, and loads may run on the first alone.
    pub two_kinds: bool,
    /// The two kinds are listed in the other order, with all that goes by their order.
    pub kinds_reversed: bool,
}

pub fn settings(variant: Variant) -> String {
    let posting = r#",
   {"fifo_by_key": true, "aim_stretch": 2.5, "effect": "once", "give_up": 25000.0, "group": "all", "late_share": 0.6,
     "name": "posting", "on_time": 3000.0, "stream": false, "window": 5000.0, "worth": 6.0}"#;
    let posting = if variant.ordered_class { posting } else { "" };
    let quiet = if variant.ordered_class {
        r#""key_quiet": 1000.0, "#
    } else {
        ""
    };
    let (loads, waits, threads) = if variant.ordered_class {
        (", false", ", false", ", 1")
    } else {
        ("", "", "")
    };
    let (kinds, cores, memory) = match (variant.two_kinds, variant.kinds_reversed) {
        (false, _) => (r#""std-12""#, "12", "24576.0"),
        (true, false) => (r#""std-12", "big-24""#, "12, 24", "24576.0, 49152.0"),
        (true, true) => (r#""big-24", "std-12""#, "24, 12", "49152.0, 24576.0"),
    };
    let allowed = if variant.two_kinds {
        r#""kinds_allowed": ["std-12"], "#
    } else {
        ""
    };
    format!(
        r#"{{"balancers": 1, "me": 0,
 "clients": {{"marks_retry": false}},
 "domain": {{"class_load": [false, false, true{loads}], "class_waits": [true, true, false{waits}], "max_grant_share": 0.4,
   "notes": "ok: milliseconds of work x 4096, plus memory needed in units of 4 MB", "on_shortage": "page",
   "priorities": true, "progress": 1000.0, "report_x0": "share of memory granted", "report_x1": "share of disks busy",
   "size_cores": [{cores}], "size_mb": [{memory}], "takes_grants": false, "tells_cost": true, "threads_by_class": [1, 4, 2{threads}]}},
 "family": "queries",
 "goal": {{"whole": 0.3, "worst_class": 0.2, "worst_tenant": 0.35, "worst_window": 0.15}},
 "kinds": [{kinds}],
 "limits": {{"cancel": true, "conn_idle": 30000.0, "connect_timeout": 250.0, "cpu_us_per_request": 0.0,
   "cpu_us_per_s": 500000, "max_attempts": 3, "max_open": 20000, "max_retry_after": 1000.0, "max_streams": 32,
   "may_tell": false, "probes": true, "retry_after": false, "second_copies": false}},
 "over_share_worth": 0.2,
 "prices": {{"connection": 0.0, "cross_zone": 0.018, "handshake": 0.0, "late_fail": 0.05, "moves": 0.0, "origin": 0.0,
   "peer": 0.0, "probe": 0.01, "registry_mode": 0.0, "waste": 0.03}},
 "registry_mode": "automatic",
 "rules": {{{quiet}"answer_slack": 20.0, "ask_every": 10000.0, "drain_grace": 500.0, "fall_multiple": 4.0,
   "overload_for": 1000.0, "start_capacity": 0.3, "warm_after": 14000.0}},
 "services": [
   {{"aim_stretch": 1.5, "effect": "repeatable", "give_up": 2500.0, "group": "all", "late_share": 0.1, "name": "lookup",
     "on_time": 500.0, "stream": false, "window": 5000.0, "worth": 1.0}},
   {{"aim_stretch": 2.5, "effect": "repeatable", "give_up": 25000.0, "group": "all", "late_share": 0.3, "name": "report",
     "on_time": 3000.0, "stream": false, "window": 5000.0, "worth": 12.0}},
   {{{allowed}"aim_stretch": 2.5, "effect": "once", "give_up": 25000.0, "group": "all", "late_share": 0.6,
     "name": "journal-load", "on_time": 3000.0, "stream": false, "window": 5000.0, "worth": 12.0}}{posting}],
 "telemetry": {{"fields": ["cpu"], "how": "pull"}},
 "tenants": [{{"allowance_per_s": 117.0, "name": "fraser-cpa", "portion": 0.62}},
   {{"allowance_per_s": 49.0, "name": "island-ledger", "portion": 0.26}},
   {{"allowance_per_s": 23.0, "name": "kootenay-books", "portion": 0.12}}],
 "tick": 5.0, "tier": 0, "tiers": ["ledger-engines"], "weight_source": "silent", "worth_by": "request",
 "zone": "room-a", "zones": ["room-a", "room-b", "room-c"]}}"#
    )
}

/// The first event of the change log: the whole list, with these engines (uid, endpoint and kind) up and warm.
pub fn first_event_of_kinds(engines: &[(&str, String, &str)]) -> String {
    let targets: Vec<String> = engines
        .iter()
        .map(|(uid, endpoint, kind)| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"room-a","model":"{kind}","pod_group":0,"state":"up","capacity_hint":1,"boot_ms":0}}"#
            )
        })
        .collect();
    let targets = targets.join(",");
    format!(r#"{{"seq":1,"fleet":{{"rev":1,"all":true,"targets":[{targets}]}}}}"#)
}

/// The same with engines of one kind.
pub fn first_event(engines: &[(&str, String)]) -> String {
    let engines: Vec<(&str, String, &str)> = engines
        .iter()
        .map(|(uid, endpoint)| (*uid, endpoint.clone(), "std-12"))
        .collect();
    first_event_of_kinds(&engines)
}

/// An event that tells that an engine drains.
pub fn drain_event(seq: u64, uid: &str, endpoint: &str) -> String {
    format!(
        r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":false,"targets":[{{"uid":"{uid}","endpoint":"{endpoint}","az":"room-a","model":"std-12","pod_group":0,"state":"draining","capacity_hint":1,"boot_ms":0}}]}}}}"#
    )
}
