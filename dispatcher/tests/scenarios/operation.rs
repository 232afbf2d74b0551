//! Operation: the control socket, the metrics, the drain, and reloads of the settings.

use crate::harness::Harness;
use crate::pg_client;
use sedgebeam_core::splitmix64;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn the_control_socket_answers_commands_and_rejects_unknown_ones() {
    Harness::new(&["e1"]).run_script(
        "op send PING
         op expect 200
         op send ping
         op expect 400
         op send HELLO
         op expect 400
         op send INFO dispatcher_discovered
         op expect 200
         op expect dispatcher_discovered 1
         op send INFO EOF
         op expect 200
         op expect EOF",
    );
}

#[test]
fn a_command_may_arrive_in_parts_and_incomplete_commands_block_no_other_caller() {
    let mut harness = Harness::new(&["e1"]);
    // 40 clients send an incomplete command; the control socket serves 16 connections at once.
    for caller in 0..39 {
        harness.run_script(&format!("to{caller} send 50 49"));
    }
    harness.run_script(
        "op send PING
         op expect 200
         to39 send 50 49
         op send PING
         op expect 200
         to39 send 4e
         to39 send 47 0a
         to39 expect 3230302072656164790a
         to39 expect closed
         to0 expect closed",
    );
    // 300 bytes without a line end are not a command.
    harness.run_script(&format!("tox send {}", "41".repeat(300)));
    assert!(harness.next_event("tox").starts_with("343030"), "400");
}

#[test]
fn a_lame_duck_is_not_ready_answers_its_requests_and_closes_its_connections() {
    Harness::new(&["e1"]).run_script(
        "c1 send lookup 1
         e1 expect fetch 1
         e1 send 1 OK 1 a|b|c
         c1 expect row a|b|c
         c1 expect complete 1
         c2 send report 2
         e1 expect fetch 2
         op send LAMEDUCK
         op expect 200
         op send PING
         op expect 400
         c1 expect closed
         e1 send 2 OK 1 a|b|c
         c2 expect row a|b|c
         c2 expect complete 1
         c2 expect closed
         op send LAMEDUCK
         op expect 200
         op send REJOIN
         op expect 200
         op send PING
         op expect 200
         c3 send lookup 3
         e1 expect fetch 3
         app close
         app wait last call
         op send PING
         op expect 400
         op send REJOIN
         op expect 400
         e1 send 3 OK 1 a|b|c
         c3 expect row a|b|c
         c3 expect complete 1
         app expect 0",
    );
}

/// Reads all metrics from the control socket, by name.
fn read_metrics(harness: &mut Harness) -> BTreeMap<String, i64> {
    harness.run_script("op send INFO");
    let mut metrics = BTreeMap::new();
    loop {
        let line = harness.next_event("op");
        let value = line
            .rsplit_once(' ')
            .map(|(name, value)| (name, value.parse()));
        match value {
            _ if line == "EOF" => return metrics,
            Some((name, Ok(value))) => drop(metrics.insert(name.to_string(), value)),
            _ => {}
        }
    }
}

/// Shortens the name of a metric: `CLASS DISPOSITION` or `CLASS left` for counts of requests, and no prefix for the others.
fn short_metric_name(name: &str) -> String {
    let words = name.split(['{', '"', '}']).collect::<Vec<_>>();
    match words[..] {
        ["dispatcher_results_total", _, class, _, disposition, ..] => {
            format!("{class} {disposition}")
        }
        ["dispatcher_left_total", _, class, ..] => format!("{class} left"),
        _ => name.trim_start_matches("dispatcher_").to_string(),
    }
}

#[test]
fn each_outcome_of_a_request_is_counted_once() {
    // Scripts and the increases of the metrics that each causes.
    let cases: [(&str, &[(&str, i64)]); 15] = [
        // A deadline without a second attempt, because the usual service time is not known yet.
        (
            "c1 send lookup 8 300\ne1 expect fetch 8\ne1 expect abort 8\nc1 expect error 53300",
            &[("lookup declined", 1), ("forwards_total", 1)],
        ),
        (
            "c1 send lookup 1\ne1 expect fetch 1\ne1 send 1 OK 1 a|b|c\nc1 expect row\nc1 expect complete",
            &[("lookup succeeded", 1), ("forwards_total", 1)],
        ),
        (
            "f1 send lookup 2\ne1 expect fetch 2\ne1 send 2 OK 1 a|b|c\nf1 expect row\nf1 expect complete",
            &[("lookup succeeded", 1), ("forwards_total", 1)],
        ),
        // Rejected by the engine and sent again.
        (
            "c1 send lookup 3\ne1 expect fetch 3\ne1 send 3 BUSY\ne1 expect fetch 3\ne1 send 3 OK 1 a|b|c
             c1 expect row\nc1 expect complete",
            &[("lookup succeeded", 1), ("forwards_total", 2)],
        ),
        (
            "c1 send journal-load 4\ne1 expect fetch 4\ne1 send 4 ERR\nc1 expect error 58000",
            &[("journal-load aborted", 1), ("forwards_total", 1)],
        ),
        (
            "c1 send report 5\ne1 expect fetch 5\nc1 send cancel\ne1 expect abort 5\nc1 expect error 57014",
            &[("report aborted", 1), ("forwards_total", 1)],
        ),
        (
            "c2 send report 6\ne1 expect fetch 6\nc2 close\ne1 expect abort 6",
            &[("report left", 1), ("forwards_total", 1)],
        ),
        (
            "f2 send report 7\ne1 expect fetch 7\nf2 close\ne1 expect abort 7",
            &[("report left", 1), ("forwards_total", 1)],
        ),
        (
            "c1 send journal-load 9 300\ne1 expect fetch 9\ne1 expect abort 9\nc1 expect error 58000",
            &[("journal-load aborted", 1), ("forwards_total", 1)],
        ),
        // A request in flight and a second one with the same id.
        (
            "c1 send report 10\ne1 expect fetch 10\nc3 send report 10\nc3 expect error 42710",
            &[("report aborted", 1), ("forwards_total", 1), ("outstanding", 1)],
        ),
        (
            "e1 send 10 OK 1 a|b|c\nc1 expect row\nc1 expect complete",
            &[("report succeeded", 1), ("outstanding", -1)],
        ),
        (
            "c4 send report 11 9000 nobody\nc4 expect error 42704",
            &[("report aborted", 1)],
        ),
        // A request of an unknown class.
        ("c5 send raport 12\nc5 expect error 42601\nc1 send empty\nc1 expect empty", &[]),
        // The engine dies before the result is complete.
        (
            "c1 send journal-load 13\ne1 expect fetch 13\ne1 send 13 OK 2 a|b|c\ne1 expect more 13 1
             e1 close\nc1 expect error 58000",
            &[("journal-load aborted", 1), ("forwards_total", 1)],
        ),
        (
            "adm send POST /engines/s-00006531/drain\nadm expect 200\nc1 send lookup 14\nc1 expect error 53300",
            &[("lookup declined", 1)],
        ),
    ];
    let mut harness = Harness::new(&["e1"]);
    let mut before = read_metrics(&mut harness);
    assert!(
        before
            .keys()
            .any(|name| short_metric_name(name) == "report declined"),
        "all classes are listed from the start"
    );
    for (script, expected_increases) in cases {
        harness.run_script(script);
        let after = read_metrics(&mut harness);
        let increases = after.iter().filter_map(|(name, value)| {
            let increase = value - before.get(name).copied().unwrap_or_default();
            (increase != 0).then(|| (short_metric_name(name), increase))
        });
        let expected_increases = expected_increases
            .iter()
            .map(|(name, value)| (name.to_string(), *value));
        let (increases, expected_increases): (BTreeMap<_, _>, BTreeMap<_, _>) =
            (increases.collect(), expected_increases.collect());
        assert_eq!(increases, expected_increases, "{script}");
        before = after;
    }
}

#[test]
fn a_result_that_breaks_off_while_its_client_reads_it_is_counted_as_aborted() {
    let mut harness = Harness::new(&["g1"]);
    harness.run_script(
        "f1 send report 1
         g1 expect fetch 1
         g1 send 1 OK 3 a|b|c
         f1 expect row
         g1 expect more 1 1",
    );
    assert_eq!(read_metrics(&mut harness)["dispatcher_outstanding"], 1);
    harness.run_script("g1 send 1 ERR\nf1 expect error");
    let metrics = read_metrics(&mut harness);
    let aborted = r#"dispatcher_results_total{service="report",disposition="aborted"}"#;
    assert_eq!(
        (metrics[aborted], metrics["dispatcher_outstanding"]),
        (1, 0)
    );
    assert_eq!(metrics["dispatcher_forwards_total"], 1);
}

#[test]
fn the_metrics_of_several_workers_add_up() {
    let mut harness = Harness::with_workers(&["e1", "e2"], 4);
    for id in 1..=24 {
        harness.run_script(&format!("c{id} send lookup {id}"));
        let (engine, _) = harness.next_event_of(&["e1", "e2"]);
        if id <= 16 {
            harness.run_script(&format!(
                "{engine} send {id} OK 1 a|b|c\nc{id} expect row\nc{id} expect complete"
            ));
        }
    }
    let metrics = read_metrics(&mut harness);
    let succeeded = r#"dispatcher_results_total{service="lookup",disposition="succeeded"}"#;
    assert_eq!(
        (metrics[succeeded], metrics["dispatcher_outstanding"]),
        (16, 8)
    );
    assert_eq!(
        (
            metrics["dispatcher_forwards_total"],
            metrics["dispatcher_discovered"]
        ),
        (24, 2)
    );
}

/// SIGHUP applies new settings in each state: as a lame duck, after a rejoin, and during shutdown.
#[test]
fn settings_are_applied_in_every_state_of_the_drain() {
    Harness::new(&["e1"]).run_script(
        r#"c1 send report 1
         e1 expect fetch 1
         op send LAMEDUCK
         op expect 200
         app send replace "max_attempts": 3 => "max_attempts": 2
         app wait read again and taken
         op send PING
         op expect 400
         op send REJOIN
         op expect 200
         app close
         app wait last call
         app send replace "max_attempts": 2 => "max_attempts": 1
         app wait read again and taken
         e1 send 1 ERR
         c1 expect error 53300
         app expect 0"#,
    );
}

#[test]
fn a_file_that_becomes_complete_between_read_attempts_counts_once_as_applied() {
    let mut harness = Harness::new(&["e1"]);
    let complete = harness.platform_config();
    let truncated = complete[..complete.len() / 2].to_string();
    harness.write_config_and_reload(&truncated, "the running configuration is kept (1 of 4)");
    // Without another SIGHUP.
    harness.write_platform_config(&complete);
    harness.run_script("app wait read again and taken");
    let metrics = read_metrics(&mut harness);
    let count = |word: &str| metrics[&format!("dispatcher_sighup_{word}_total")];
    assert_eq!((count("applied"), count("rejected")), (1, 0));
}

const RELOAD_APPLIED: &str = "read again and taken";
const RELOAD_REJECTED: &str = "the running configuration is kept (4 of 4)";

#[test]
fn classes_are_added_and_removed_while_their_requests_are_in_flight() {
    Harness::new(&["e1"]).run_script(
        r#"c1 send report 1
         e1 expect fetch 1 kind=report
         app send replace "name": "report" => "name": "report-2"
         app wait read again and taken
         c2 send report-2 2
         e1 expect fetch 2 kind=report-2
         c3 send report 3
         e1 expect fetch 3 kind=report
         e1 send 1 ERR
         e1 expect fetch 1 kind=report
         e1 send 1 OK 1 a|b|c
         c1 expect row a|b|c
         c1 expect complete 1
         e1 send 2 OK 1 a|b|c
         c2 expect row a|b|c
         c2 expect complete 1
         e1 send 3 OK 1 a|b|c
         c3 expect row a|b|c
         c3 expect complete 1
         c4 send journal-load-2 4
         c4 expect error 42601
         app send replace "effect": "once" => "effect": "once", "worth": 3.0
         app wait read again and taken
         app send replace "name": "lookup", "worth" => "name": "lookup", "value"
         app wait the running configuration is kept (4 of 4): configuration: settings.services.0.worth
         c2 send lookup 5
         e1 expect fetch 5 kind=lookup
         op send INFO dispatcher_sighup
         op expect 200
         op expect dispatcher_sighup_applied_total 2
         op expect dispatcher_sighup_rejected_total 1"#,
    );
}

#[test]
fn a_lower_attempt_limit_applies_to_requests_in_flight_and_a_higher_one_does_not() {
    Harness::new(&["e1"]).run_script(
        r#"c1 send lookup 1
         e1 expect fetch 1
         app send replace "max_attempts": 3 => "max_attempts": 1
         app wait read again and taken
         e1 send 1 ERR
         c1 expect error 53300
         c1 send lookup 2
         e1 expect fetch 2
         app send replace "max_attempts": 1 => "max_attempts": 3
         app wait read again and taken
         e1 send 2 ERR
         c1 expect error 53300
         c1 send lookup 3
         e1 expect fetch 3
         e1 send 3 ERR
         e1 expect fetch 3"#,
    );
}

/// The configuration with class names, `max_attempts` and a worth that vary with the round.
fn changed_config(config: &str, round: u64) -> String {
    let random = splitmix64(round);
    let renamed_class = |name: &str, other: u64| format!(r#""name": "{name}-{}""#, other % 4);
    config
        .replace(r#""name": "report""#, &renamed_class("report", random))
        .replace(
            r#""name": "journal-load""#,
            &renamed_class("journal-load", random >> 8),
        )
        .replace(
            r#""max_attempts": 3"#,
            &format!(r#""max_attempts": {}"#, 1 + (random >> 16) % 3),
        )
        .replace(
            r#""worth": 1.0"#,
            &format!(r#""worth": {}.0"#, 1 + (random >> 24) % 5),
        )
}

/// The configuration with one of four errors.
fn invalid_config(config: &str, round: u64) -> String {
    let cut_at = splitmix64(round) as usize;
    match round % 4 {
        0 => config[..cut_at % config.len()].to_string(),
        1 => config.replace("give_up", "gives_up"),
        2 => config.replace(r#""max_attempts": "#, r#""max_attempts": -"#),
        _ => config.replace(r#""settings""#, r#""setting""#),
    }
}

#[test]
fn two_hundred_reloads_lose_no_request_and_are_each_counted() {
    let mut harness = Harness::new(&["e1"]);
    let config = harness.platform_config();
    let (mut applied_count, mut rejected_count) = (0, 0);
    harness.run_script("c0 send lookup 999\ne1 expect fetch 999 kind=lookup");
    for round in 0..200u64 {
        let config_text = changed_config(&config, round);
        // A load of a class from the last file is in flight while the file changes.
        let class = config_text
            .split(r#""name": "journal-load"#)
            .nth(1)
            .and_then(|rest| rest.split('"').next());
        let class = format!("journal-load{}", class.expect("a load"));
        if round % 10 == 9 {
            harness.write_config_and_reload(
                &invalid_config(&config_text, round / 10),
                RELOAD_REJECTED,
            );
            rejected_count += 1;
            continue;
        }
        harness.write_config_and_reload(&config_text, RELOAD_APPLIED);
        applied_count += 1;
        let id = round + 1000;
        harness.run_script(&format!(
            "c1 send {class} {id}
             e1 expect fetch {id} kind={class}"
        ));
        harness.write_config_and_reload(&changed_config(&config, round + 7777), RELOAD_APPLIED);
        applied_count += 1;
        let (reply, client_script) = match round % 2 {
            0 => (format!("{id} ERR"), "c1 expect error 58000"),
            _ => (
                format!("{id} OK 1 a|b|c"),
                "c1 expect row a|b|c\nc1 expect complete 1",
            ),
        };
        harness.run_script(&format!("e1 send {reply}\n{client_script}"));
    }
    harness.run_script(&format!(
        "e1 send 999 OK 1 a|b|c
         c0 expect row a|b|c
         c0 expect complete 1
         op send INFO dispatcher_sighup
         op expect 200
         op expect dispatcher_sighup_applied_total {applied_count}
         op expect dispatcher_sighup_rejected_total {rejected_count}
         op send INFO dispatcher_outstanding
         op expect 200
         op expect dispatcher_outstanding 0"
    ));
}

/// The bytes that a client sends before it disconnects, for each point of its first request.
fn bytes_before_disconnect(point: usize, id: usize) -> Vec<u8> {
    let query = pg_client::query(&pg_client::statement(&format!("report {id}")));
    let complete = [pg_client::startup(), query].concat();
    let startup_bytes = pg_client::startup().len();
    let length = match point {
        0 => 0,
        1 => startup_bytes / 2,
        2 => startup_bytes,
        3 => startup_bytes + 7,
        4 => complete.len() - 1,
        _ => complete.len(),
    };
    complete[..length].to_vec()
}

#[test]
fn clients_that_disconnect_at_any_point_leave_no_request_or_descriptor_open() {
    let mut harness = Harness::new(&["e1"]);
    harness.run_script("c1 send lookup 1\ne1 expect fetch 1\ne1 send 1 OK 1 a|b|c\nc1 expect row\nc1 expect complete");
    let descriptors_before = harness.open_descriptors();
    let mut sent_queries = 0;
    for id in 0..210 {
        let point = id % 7;
        let mut client = TcpStream::connect(harness.listen_address("c")).expect("connects");
        client
            .write_all(&bytes_before_disconnect(point, id + 2))
            .expect("writes");
        if point < 5 {
            continue;
        }
        sent_queries += 1;
        // At point 6 the client disconnects while the engine runs its query, at point 5 right after sending it.
        let fetch = format!("fetch {}", id + 2);
        if point == 6 {
            while !harness.next_event("e1").starts_with(&fetch) {}
        }
        drop(client);
        let abort = format!("abort {}", id + 2);
        while point == 6 && !harness.next_event("e1").starts_with(&abort) {}
    }
    let clients_left = r#"dispatcher_left_total{service="report"}"#;
    for round in 0.. {
        let metrics = read_metrics(&mut harness);
        assert!(
            round < 2000,
            "{metrics:?}, {} of {descriptors_before} descriptors",
            harness.open_descriptors()
        );
        // An incomplete query is no request, and a query whose client disconnects at once may never be read.
        let all_ended =
            metrics["dispatcher_outstanding"] == 0 && metrics[clients_left] >= sent_queries / 2;
        if all_ended && harness.open_descriptors() <= descriptors_before + 2 {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    harness.run_script("c1 send lookup 999");
    while !harness.next_event("e1").starts_with("fetch 999") {}
    harness.run_script("e1 send 999 OK 1 a|b|c\nc1 expect row");
}
