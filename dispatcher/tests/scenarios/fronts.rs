//! Both fronts and both engine protocols: the same requests get the same answers.

use crate::harness::Harness;

/// Runs a script for every front and every engine protocol, with one worker and with three. In the script `C` is the client
/// and `E` the engine.
fn run_for_all_fronts_and_engines(script: &str) {
    let peers = [("c1", "e1"), ("c1", "g1"), ("f1", "e1"), ("f1", "g1")];
    let combinations =
        [1, 3].map(|workers| peers.map(|(client, engine)| (workers, client, engine)));
    for (workers, client, engine) in combinations.concat() {
        println!("{client} and {engine}, {workers} workers");
        let lines = script
            .lines()
            .map(str::trim)
            .map(|line| match line.split_at(1) {
                ("C", rest) => format!("{client}{rest}\n"),
                ("E", rest) => format!("{engine}{rest}\n"),
                _ => panic!("neither client nor engine: {line}"),
            });
        let mut harness = Harness::with_workers(&[engine], workers);
        harness.run_script(&lines.collect::<String>());
        let extra_events = harness.take_pending_events(engine);
        let sent_again = extra_events.iter().any(|event| event.starts_with("fetch"));
        assert!(!sent_again, "sent again: {extra_events:?}");
    }
}

#[test]
fn a_result_of_several_pages_arrives_complete_and_in_order() {
    run_for_all_fronts_and_engines(
        "C send report 1
         E expect fetch 1 kind=report,ms=
         E send 1 OK 2 a|b|c;d|e|f
         E expect more 1 1
         E send 1 ROWS 1 g|h|i
         C expect row a|b|c
         C expect row d|e|f
         C expect row g|h|i
         C expect complete 3",
    );
}

#[test]
fn the_engine_gets_the_statement_unchanged_without_its_comment() {
    for (client, engine) in [("c1", "e1"), ("f1", "g1")] {
        let mut harness = Harness::new(&[engine]);
        harness.run_script(&format!("{client} send lookup 1"));
        let fetch_event = harness.next_event(engine);
        let (fetch_start, statement) = fetch_event.split_at("fetch 1 kind=lookup,ms=".len());
        assert_eq!(fetch_start, "fetch 1 kind=lookup,ms=");
        let (_, statement) = statement.split_once(' ').expect("a statement");
        assert_eq!(statement, "SELECT * FROM sales_1.orders");
    }
}

#[test]
fn a_load_that_a_busy_engine_rejects_is_sent_again() {
    run_for_all_fronts_and_engines(
        "C send journal-load 1
         E expect fetch 1
         E send 1 BUSY
         E expect fetch 1
         E send 1 OK 1 a|b|c
         C expect row a|b|c
         C expect complete 1",
    );
}

#[test]
fn a_failed_load_is_not_sent_again_on_either_front() {
    run_for_all_fronts_and_engines(
        "C send journal-load 1
         E expect fetch 1
         E send 1 ERR
         C expect error",
    );
}

#[test]
fn an_unknown_tenant_or_the_id_of_an_open_request_is_an_error_and_reaches_no_engine() {
    for (client, other_client) in [("c1", "c2"), ("f1", "f2")] {
        let mut harness = Harness::new(&["e1"]);
        harness.run_script(&format!(
            "{client} send report 1
             e1 expect fetch 1
             {other_client} send lookup 1
             {other_client} expect error
             {other_client} send lookup 2 1000 nobody
             {other_client} expect error
             e1 send 1 OK 1 a|b|c
             {client} expect row a|b|c"
        ));
        assert!(
            harness.take_pending_events("e1").is_empty(),
            "an engine received a request"
        );
    }
}

#[test]
fn a_result_with_a_missing_page_ends_in_an_error() {
    for client in ["c1", "f1"] {
        Harness::new(&["g1"]).run_script(&format!(
            "{client} send report 1
             g1 expect fetch 1
             g1 send 1 OK 3 a|b|c
             {client} expect row a|b|c
             g1 send 1 ERR
             {client} expect error"
        ));
        Harness::new(&["e1"]).run_script(&format!(
            "{client} send journal-load 1
             e1 expect fetch 1
             e1 send 1 OK 3 a|b|c
             e1 expect more 1 1
             e1 send 1 ERR
             {client} expect error"
        ));
    }
}

#[test]
fn a_report_whose_page_is_lost_or_malformed_is_run_again_and_returned_once() {
    for (client, broken_page) in [("c1", "ERR"), ("f1", "ERR"), ("c1", "ROWS 7 x|y|z")] {
        Harness::new(&["e1"]).run_script(&format!(
            "{client} send report 1
             e1 expect fetch 1
             e1 send 1 OK 2 a|b|c
             e1 expect more 1 1
             e1 send 1 {broken_page}
             e1 expect fetch 1
             e1 send 1 OK 1 d|e|f
             {client} expect row d|e|f
             {client} expect complete 1"
        ));
    }
}

#[test]
fn a_refusal_contains_the_time_to_retry_after() {
    // No engine is listed: the gateway gives up the report after the `on_time` of its class and refuses it at once.
    let mut harness = Harness::new(&[]);
    for (client, id) in [("c1", 1), ("f1", 2)] {
        harness.run_script(&format!("{client} send report {id}"));
        let event = harness.next_event(client);
        assert!(event.starts_with("error 53300"), "{event}");
        let expected_texts: &[&str] = match client {
            "c1" => &["later=1000 ", "try again in 1000 ms"],
            _ => &["retry in 1000 ms"],
        };
        assert!(
            expected_texts
                .iter()
                .all(|expected| event.contains(expected)),
            "{event}"
        );
    }
}

#[test]
fn a_deadline_aborts_the_attempt_and_fails_a_load_that_may_have_run() {
    run_for_all_fronts_and_engines(
        "C send journal-load 1 400
         E expect fetch 1
         E expect abort 1
         C expect error",
    );
    for (client, engine, expected_error) in
        [("c1", "e1", "error 58000"), ("f1", "g1", "error Aborted")]
    {
        Harness::new(&[engine]).run_script(&format!(
            "{client} send journal-load 1 400
             {engine} expect fetch 1
             {client} expect {expected_error}"
        ));
    }
}

/// Guards against a load that begins twice: its client leaves while it runs, and its id comes again. The lookups have the
/// dispatcher decide once more, after which it knows nothing more of the first request's attempt.
#[test]
fn a_load_is_not_begun_again_when_its_id_comes_after_its_client_has_left() {
    Harness::new(&["e1"]).run_script(
        "c1 send journal-load 1
         e1 expect fetch 1
         c1 close
         e1 expect abort 1
         c9 send lookup 9
         e1 expect fetch 9
         c2 send journal-load 1
         c2 expect error 42710
         c3 send journal-load 2
         e1 expect fetch 2
         e1 send 2 OK 1 a|b|c
         c3 expect row a|b|c
         c3 expect complete 1
         c3 close
         c8 send lookup 8
         e1 expect fetch 8
         c4 send journal-load 2
         c4 expect error 42710
         c5 send lookup 3
         e1 expect fetch 3",
    );
}

#[test]
fn a_client_that_disconnects_aborts_its_attempt() {
    run_for_all_fronts_and_engines(
        "C send report 1
         E expect fetch 1
         C close
         E expect abort 1",
    );
}

#[test]
fn a_cancel_in_the_middle_of_a_stream_releases_the_engine() {
    for end_command in ["close", "cancel"] {
        Harness::new(&["g1"]).run_script(&format!(
            "f1 send report 1
             g1 expect fetch 1
             g1 send 1 OK 3 a|b|c
             f1 expect row a|b|c
             g1 expect more 1 1
             f1 send {end_command}
             g1 expect abort 1"
        ));
        Harness::new(&["e1"]).run_script(&format!(
            "f1 send report 1
             e1 expect fetch 1
             e1 send 1 OK 3 a|b|c
             e1 expect more 1 1
             e1 expect more 1 2
             f1 send {end_command}
             e1 expect done 1"
        ));
    }
}

#[test]
fn a_ticket_runs_its_statement_only_once() {
    Harness::new(&["g1"]).run_script(
        "f1 send journal-load 1
         g1 expect fetch 1
         f1 send again
         f1 expect error FailedPrecondition
         g1 send 1 OK 1 a|b|c
         f1 expect row a|b|c
         f1 expect complete 1
         f1 send again
         f1 expect error NotFound",
    );
}

#[test]
fn an_update_counts_the_rows_of_its_load() {
    Harness::new(&["e1"]).run_script(
        "f1 send update journal-load 1
         e1 expect fetch 1 kind=journal-load
         e1 send 1 OK 1 a|b|c;d|e|f
         f1 expect complete 2",
    );
}

/// Runs 24 requests against a fleet with both protocols. Returns the number of rows that the client got, and how often
/// each request was sent to an engine that did not reject it.
fn run_against_mixed_fleet(client: &str) -> (usize, Vec<usize>) {
    let engines = ["e1", "g1", "e2", "g2"];
    let (mut harness, mut rows, mut fetches) = (Harness::new(&engines), 0, vec![0; 24]);
    let mut protocols = std::collections::HashSet::new();
    for id in 0..24 {
        let class = ["lookup", "report", "journal-load"][id % 3];
        harness.run_script(&format!("{client} send {class} {}", id + 1));
        // The first engine rejects the request; the next one serves it.
        for reply in ["BUSY", "OK 1 a|b|c;d|e|f"] {
            let (engine, event) = loop {
                let (engine, event) = harness.next_event_of(&engines);
                if event.starts_with("fetch") {
                    break (engine, event);
                }
            };
            assert!(
                event.starts_with(&format!("fetch {} kind={class}", id + 1)),
                "{event}"
            );
            fetches[id] += usize::from(reply != "BUSY");
            protocols.insert(engine[..1].to_string());
            harness.run_script(&format!("{engine} send {} {reply}", id + 1));
        }
        while !harness.next_event(client).starts_with("complete") {
            rows += 1;
        }
    }
    assert_eq!(protocols.len(), 2, "engines of both protocols got requests");
    for engine in engines {
        let extra_events = harness.take_pending_events(engine);
        assert!(
            extra_events.iter().all(|event| !event.starts_with("fetch")),
            "{extra_events:?}"
        );
    }
    (rows, fetches)
}

#[test]
fn both_fronts_get_the_same_answers_from_a_mixed_fleet_and_no_load_runs_twice() {
    let (pg_results, flight_results) =
        (run_against_mixed_fleet("c1"), run_against_mixed_fleet("f1"));
    assert_eq!(pg_results, flight_results);
    assert_eq!(pg_results, (48, vec![1; 24]));
}

/// Engines detect a repeated attempt by the idempotency token of the client: without it a keyed class would run twice.
#[test]
fn the_idempotency_token_is_sent_with_every_attempt() {
    for client in ["c1", "f1"] {
        let mut harness = Harness::new(&["e1"]);
        let comment = "verb=lookup,txn=0000000000000001,limit=60000,item=rel-7,unique=673ec3bd-5";
        harness.run_script(&format!("{client} send text /* {comment} */ SELECT 1"));
        for _ in 0..2 {
            let fetch_event = harness.next_event("e1");
            let fields = fetch_event.split(' ').nth(2).expect("fields");
            assert!(
                fields.ends_with(",token=673ec3bd-5,obj=rel-7"),
                "{fetch_event}"
            );
            harness.run_script("e1 send 1 BUSY");
        }
        harness.run_script(&format!(
            "{client}2 send text /* verb=lookup,txn=0000000000000002,limit=60000,unique=a b */ SELECT 1
             {client}2 expect error"
        ));
    }
}
