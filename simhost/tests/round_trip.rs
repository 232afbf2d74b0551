//! Runs the adapter on hand-written batches and checks its replies.

use serde_json::{Value, json};
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with these lines as its input.
fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sedgebeam-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    for line in lines {
        // The adapter may have rejected a line and closed its input.
        let _ = writeln!(input, "{line}");
    }
    drop(input);
    child.wait_with_output().expect("the adapter exits")
}

/// The replies to batches, which are numbered from 1 and one second apart.
fn replies(batches: &[Value]) -> Vec<Value> {
    let encode = |(turn, msgs): (usize, &Value)| {
        json!({"ts": 1000.0 * (turn + 1) as f64, "turn": turn + 1, "msgs": msgs}).to_string()
    };
    let lines: Vec<String> = batches.iter().enumerate().map(encode).collect();
    let output = run(&lines);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    text.lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect()
}

/// A message that starts an instance.
fn spawn(i: u64) -> Value {
    let facts = json!({
        "balancers": 1, "kinds": ["big"], "zones": ["a"], "zone": "a", "registry_mode": "subscribe",
        "domain": {"threads_by_class": [1], "size_cores": [8], "size_mb": [8192.0], "priorities": true,
            "takes_grants": true, "max_grant_share": 0.5, "progress": 1000.0, "unheard_of": 3},
        "limits": {"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after": 500.0},
        "rules": {"answer_slack": 20.0},
        "services": [{"name": "look-up", "worth": 1.0, "on_time": 300.0, "give_up": 1500.0,
            "effect": "repeatable"}, {"name": "load", "worth": 2.0, "on_time": 300.0,
            "give_up": 1500.0, "effect": "once"}],
        "tenants": [{"name": "t", "portion": 1.0}],
    });
    json!({"cmd": "spawn", "i": i, "rng_seed": 5, "facts": facts})
}

/// A message that sets the list of a buffer to one engine.
fn engine_list(buffer: u64, executor: u64) -> Value {
    json!({"cmd": "ledger", "buffer": buffer, "rows_in":
        [{"executor": executor, "az": "a", "type": "big", "bay": 0, "status": "U", "share": 1}]})
}

/// A message that delivers the list of a buffer to an instance.
fn announce(i: u64, buffer: u64) -> Value {
    json!({"cmd": "announce", "i": i, "kind": "Complete", "gen": 1, "buffer": buffer})
}

/// A message with a request for an instance.
fn work_item(i: u64, req: &str, band: &str) -> Value {
    json!({"cmd": "work_item", "i": i, "req": req, "band": band, "account": "t", "remaining": 9000.0,
        "estimate": 12.0, "need_mb": 100, "tables": 3, "opts": 1})
}

/// The orders of a reply: instance and command.
fn commands(reply: &Value) -> Vec<(u64, String)> {
    let orders = reply["orders"].as_array().expect("orders");
    let command = |order: &Value| {
        (
            order["i"].as_u64().expect("an instance"),
            order["cmd"].as_str().expect("a command").to_string(),
        )
    };
    orders.iter().map(command).collect()
}

/// The first order of a reply with this command.
fn order<'a>(reply: &'a Value, cmd: &str) -> &'a Value {
    let orders = reply["orders"].as_array().expect("orders");
    orders
        .iter()
        .find(|order| order["cmd"] == cmd)
        .unwrap_or_else(|| panic!("no {cmd} in {reply}"))
}

const REQUEST_A: &str = "00f4a4b95d3a91c4";
const REQUEST_B: &str = "bc9c879c0e6f2b19";

#[test]
fn empty_batches_get_empty_replies() {
    assert_eq!(
        replies(&[json!([])]),
        vec![json!({"turn": 1, "orders": []})]
    );
}

#[test]
fn a_request_is_sent_with_its_resources_and_its_unaltered_id() {
    let batch_replies = replies(&[json!([
        spawn(3),
        engine_list(0, 77),
        announce(3, 0),
        work_item(3, REQUEST_A, "look-up")
    ])]);
    let route = order(&batch_replies[0], "route");
    assert_eq!(
        (&route["req"], &route["executor"]),
        (&json!(REQUEST_A), &json!(77))
    );
    assert_eq!(route["cap"], json!(9000.0));
    let resources = order(&batch_replies[0], "limits_for");
    assert_eq!(
        (&resources["mem_mb"], &resources["prio"]),
        (&json!(125.0), &json!(1))
    );
    assert_eq!(order(&batch_replies[0], "follow")["enable"], json!(true));
    assert_eq!(
        order(&batch_replies[0], "set_alarm")["due_at"],
        json!(1010.0)
    );
}

/// As on real engines, a grant is a whole number of megabytes and at most half of the engine's 8192 MB.
#[test]
fn a_grant_is_whole_megabytes_and_bounded_by_the_share_of_one_query() {
    let cases = [(0.0, 0.0), (96.2, 121.0), (6000.0, 4096.0)];
    for (need_mb, expected_grant) in cases {
        let mut request = work_item(3, REQUEST_A, "look-up");
        request["need_mb"] = json!(need_mb);
        let batch_replies = replies(&[json!([
            spawn(3),
            engine_list(0, 77),
            announce(3, 0),
            request
        ])]);
        let resources = order(&batch_replies[0], "limits_for");
        assert_eq!(resources["mem_mb"], json!(expected_grant), "{need_mb}");
    }
}

#[test]
fn every_event_is_decoded() {
    let completed = |outcome: &str, req: &str, seq_no: u64, finished: bool| {
        json!({"cmd": "completed", "i": 3, "req": req, "outcome": outcome, "seq_no": seq_no, "bill": 69728,
            "wait_time": 18.5, "finished": finished, "executor": 77, "load": {"cpu": 0.6, "odd": 1}})
    };
    let batch_replies = replies(&[
        json!([
            spawn(3),
            engine_list(0, 77),
            announce(3, 0),
            work_item(3, REQUEST_A, "look-up"),
            work_item(3, REQUEST_B, "load")
        ]),
        json!([{"cmd": "interim", "i": 3, "req": REQUEST_A, "seq_no": 0, "executor": 77, "what": 2, "amount": 5.0},
            {"cmd": "interim", "i": 3, "req": REQUEST_A, "seq_no": 0, "executor": 77, "what": 9},
            {"cmd": "first", "i": 3, "req": REQUEST_B, "seq_no": 0, "executor": 77, "wait_time": 9.25},
            {"cmd": "inbox", "i": 3, "src": 2, "msg": "hi"}, {"cmd": "unheard_of", "x": 1},
            {"cmd": "status_back", "i": 3, "outcome": "OK", "wait_time": 1.4, "executor": 77},
            {"cmd": "announce", "i": 3, "kind": "Error", "gen": 1}]),
        json!([completed("INTERNAL", REQUEST_A, 0, false), {"cmd": "due", "i": 3, "handle": 0}]),
        json!([completed("RESOURCE_EXHAUSTED", REQUEST_A, 1, false)]),
        json!([completed("UNAVAILABLE", REQUEST_A, 2, false)]),
        json!([completed("ABORTED", REQUEST_B, 0, false), {"cmd": "client_left", "i": 3, "req": REQUEST_A}]),
        json!([{"cmd": "down", "i": 3}, work_item(3, REQUEST_A, "look-up")]),
    ]);
    assert_eq!(order(&batch_replies[2], "route")["req"], json!(REQUEST_A));
    assert_eq!(order(&batch_replies[3], "route")["req"], json!(REQUEST_A));
    let refusal = order(&batch_replies[4], "not_now");
    assert!(
        refusal["come_back"]
            .as_f64()
            .is_some_and(|wait| wait > 0.0 && wait <= 500.0)
    );
    assert_eq!(
        order(&batch_replies[5], "finish_error")["req"],
        json!(REQUEST_B)
    );
    assert_eq!(
        batch_replies[6]["orders"],
        json!([]),
        "a stopped instance does nothing"
    );
}

#[test]
fn buffer_numbers_are_reused_within_a_batch_and_instances_are_independent() {
    let batch_replies = replies(&[json!([
        spawn(1),
        spawn(2),
        engine_list(0, 77),
        announce(1, 0),
        engine_list(0, 88),
        announce(2, 0),
        work_item(1, REQUEST_A, "look-up"),
        work_item(2, REQUEST_A, "look-up")
    ])]);
    let orders = batch_replies[0]["orders"].as_array().expect("orders");
    let routes = orders.iter().filter(|order| order["cmd"] == "route");
    let targets: Vec<_> = routes
        .map(|route| (route["i"].as_u64(), route["executor"].as_u64()))
        .collect();
    assert_eq!(targets, vec![(Some(1), Some(77)), (Some(2), Some(88))]);
    assert!(commands(&batch_replies[0]).iter().any(|(i, _)| *i == 2));
}

#[test]
fn a_restart_within_a_batch_discards_the_old_state() {
    let batch_replies = replies(&[
        json!([spawn(1), engine_list(0, 77), announce(1, 0)]),
        json!([work_item(1, REQUEST_A, "look-up"), {"cmd": "down", "i": 1}, spawn(1), work_item(1, REQUEST_B, "look-up")]),
    ]);
    assert!(
        commands(&batch_replies[1])
            .iter()
            .all(|(_, cmd)| cmd != "route"),
        "the restarted instance knows no engine"
    );
}

#[test]
fn invalid_input_gets_an_error_message_and_a_failure_status() {
    let cases = [
        ("not json", ""),
        (
            r#"{"ts":1,"turn":9,"msgs":[{"cmd":"due","i":1}]}"#,
            "missing field `handle`",
        ),
        (
            r#"{"ts":1,"turn":9,"msgs":[{"i":1}]}"#,
            "missing field `cmd`",
        ),
    ];
    for (line, message) in cases {
        let output = run(&[line.to_string()]);
        assert!(!output.status.success(), "{line}");
        assert_eq!(output.stdout, b"");
        assert!(
            String::from_utf8_lossy(&output.stderr).contains(message),
            "{line}"
        );
    }
    let batch = json!({"ts": 1, "turn": 4, "msgs": [spawn(1), announce(1, 5)]}).to_string();
    let output = run(&[batch]);
    assert!(!output.status.success());
    assert!(
        String::from_utf8_lossy(&output.stderr)
            .contains("batch 4: announce: unknown list number 5")
    );
}
