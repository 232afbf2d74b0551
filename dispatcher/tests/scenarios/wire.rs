//! Behaviour of a single protocol: startup, cancel requests, malformed input, idle connections.

use crate::harness::{Harness, MAX_DESCRIPTORS};
use sedgebeam::descriptors::DescriptorBudget;

#[test]
fn an_empty_query_in_a_new_session_is_answered() {
    Harness::new(&["e1"]).run_script("c1 send empty\nc1 expect empty");
}

#[test]
fn encryption_is_declined_and_the_session_goes_on() {
    Harness::new(&["e1"]).run_script(
        "tcp send 00000008 04d2162f
         tcp expect 4e
         tcp send 0000000c 00030000 00000000
         tcp expect 52",
    );
}

#[test]
fn malformed_input_ends_its_connection_and_no_other() {
    Harness::new(&["e1"]).run_script(
        "tcp send ffffffff 04d2162f
         tcp expect closed
         c1 send text SELECT 1
         c1 expect error 42601
         c1 send parse
         c1 expect error 0A000
         c1 send parse
         c1 send sync
         c1 send empty
         c1 expect empty",
    );
}

#[test]
fn connections_that_never_complete_a_request_are_closed() {
    // Half a startup message; a startup message and half a query; nothing; half an HTTP/2 preface; half an HTTP head.
    Harness::new(&["e1"]).run_script(
        "tcp1 send 0000000c 0003
         tcp2 send 00000009 00030000 00 51000000ff
         tcp2 expect 52
         tcp3 send
         tf send 505249
         ta send 47455420
         tf expect 0000
         tf expect closed
         ta expect closed
         tcp1 expect closed
         tcp2 expect closed
         tcp3 expect closed",
    );
}

/// More sessions than the descriptors of the program allow.
const CLIENTS_OVER_SESSION_LIMIT: usize = 36;

#[test]
fn sessions_without_a_request_are_evicted_first_and_then_those_idle_longest() {
    // Each request has its own id, because the broker learns of the end of a request up to one tick after the client.
    let served_lookup = |request_id| {
        format!(
            "c0 send lookup {request_id}\ne1 expect fetch {request_id}\ne1 send {request_id} OK 1 a|b|c
             c0 expect row\nc0 expect complete"
        )
    };
    let mut harness = Harness::new(&["e1"]);
    harness.run_script(&served_lookup(1));
    for number in 1..=CLIENTS_OVER_SESSION_LIMIT {
        harness.run_script(&format!("c{number} send empty\nc{number} expect empty"));
    }
    harness.run_script(&format!("c1 expect closed\n{}", served_lookup(3)));
    // Each of these clients sends one request and keeps its connection, so the session idle longest is evicted.
    for number in 1..=CLIENTS_OVER_SESSION_LIMIT {
        harness.run_script(&format!(
            "c10{number} send lookup 2{number}
             e1 expect fetch 2{number}
             e1 send 2{number} OK 1 a|b|c
             c10{number} expect row
             c10{number} expect complete"
        ));
    }
    harness.run_script("c0 expect closed");
}

#[test]
fn a_client_that_keeps_sending_an_invalid_statement_is_closed() {
    let mut harness = Harness::new(&["e1"]);
    let invalid_statements = "c1 send text SELECT 1\nc1 expect error 42601\n".repeat(6);
    // A valid statement in between resets the count.
    harness.run_script(&invalid_statements);
    harness.run_script(
        "c1 send lookup 1
         e1 expect fetch 1
         e1 send 1 OK 1 a|b|c
         c1 expect row
         c1 expect complete",
    );
    harness.run_script(&invalid_statements);
    harness.run_script("c1 send text SELECT 1\nc1 expect error 42601\nc1 expect closed");
}

#[test]
fn a_cancel_request_on_a_second_connection_cancels_the_query() {
    Harness::new(&["e1"]).run_script(
        "c1 send empty
         c1 expect empty
         c1 send report 1
         e1 expect fetch 1
         c1 send cancel
         e1 expect abort 1
         c1 expect error 57014
         c1 send empty
         c1 expect empty",
    );
}

#[test]
fn a_malformed_answer_closes_the_connection_and_its_attempt_may_have_run() {
    Harness::new(&["e1"]).run_script(
        "c1 send journal-load 1
         e1 expect fetch 1
         e1 send 1 raw *9999999\\r\\n
         c1 expect error 58000",
    );
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    // The gateway may send the load again. Once it gives up, it refuses the load, because nothing has run.
    Harness::new(&["e1"]).run_script(
        "c1 send lookup 1
         e1 expect fetch 1
         e1 send 1 OK 1 a|b|c
         c1 expect row a|b|c
         c1 expect complete 1
         e1 send refuse
         e1 send close
         app wait closed by the engine
         c1 send journal-load 2 700
         c1 expect error 53300",
    );
}

#[test]
fn a_flight_engine_that_has_stopped_never_ran_the_attempts_sent_to_it() {
    // Once without an earlier connection, and once with a connection that has broken since. A load that is sent before
    // the dispatcher has noticed that may have run.
    for (earlier_request, close_noticed) in [
        ("", ""),
        (
            "c1 send lookup 1\ng1 expect fetch 1\ng1 send 1 OK 1 a|b|c\nc1 expect row\nc1 expect complete",
            "app wait connection to grpc",
        ),
    ] {
        let mut harness = Harness::new(&["g1"]);
        harness.run_script(earlier_request);
        harness.run_script("g1 close\ng1 expect closed");
        harness.run_script(close_noticed);
        harness.run_script(
            "c1 send journal-load 2 700
             c1 expect error 53300",
        );
    }
}

/// Guards against a load that runs on a second engine after its Flight SQL engine has crashed between two polls, or
/// between the last poll and the fetch of the result: the refused connect proves nothing about a load that has begun.
#[test]
fn a_load_that_a_crashed_flight_engine_has_begun_is_not_sent_again() {
    for last_reply in ["NOTE-CLOSE 0.5", "OK-CLOSE 1 a|b|c"] {
        Harness::new(&["g1"]).run_script(&format!(
            "c1 send journal-load 1 20000
             g1 expect fetch 1
             g1 send refuse
             g1 send 1 {last_reply}
             c1 expect error 58000"
        ));
    }
}

/// Guards against a load that a poll begins anew at the process that has replaced its engine at the same address.
#[test]
fn a_flight_attempt_never_goes_on_over_another_connection() {
    for (last_reply, cancel) in [
        ("NOTE-CLOSE 0.5", ""),
        ("OK-CLOSE 1 a|b|c", "g1 expect action CancelFlightInfo"),
    ] {
        Harness::new(&["g1"]).run_script(&format!(
            "c1 send journal-load 1 20000
             g1 expect fetch 1
             g1 send 1 {last_reply}
             c1 expect error 58000
             {cancel}
             c2 send lookup 2
             g1 expect fetch 2"
        ));
    }
}

/// Guards against a load that GetFlightInfo begins once more at an engine that has answered a poll.
#[test]
fn a_load_is_not_begun_again_by_get_flight_info_after_its_first_poll() {
    Harness::new(&["g1"]).run_script(
        "c1 send journal-load 1 20000
         g1 expect fetch 1
         g1 send 1 UNIMPLEMENTED
         c1 expect error 58000
         c2 send lookup 2
         g1 expect fetch 2",
    );
}

#[test]
fn a_load_gets_a_new_connection_after_an_idle_one_was_closed() {
    Harness::new(&["g1"]).run_script(
        "c1 send lookup 1
         g1 expect fetch 1
         g1 send 1 OK 1 a|b|c
         c1 expect row
         c1 expect complete
         g1 send disconnect
         app wait connection to grpc
         c1 send journal-load 2 20000
         g1 expect fetch 2
         g1 send 2 OK 1 a|b|c
         c1 expect row
         c1 expect complete",
    );
}

#[test]
fn an_attempt_at_a_flight_engine_that_never_replies_ends_before_the_deadline() {
    for client in ["c1", "f1"] {
        Harness::new(&["m1"]).run_script(&format!(
            "{client} send journal-load 1
             m1 expect accepted
             {client} expect error"
        ));
    }
}

#[test]
fn the_disconnect_of_a_client_that_pipelines_is_noticed() {
    // The first client disconnects with a pipelined query; the second pipelines more than the buffer of a session holds,
    // which ends only its own session.
    Harness::new(&["e1"]).run_script(&format!(
        "c1 send report 1
         e1 expect fetch 1
         c1 send report 2
         c1 close
         e1 expect abort 1
         c2 send report 3
         e1 expect fetch 3
         {}e1 expect abort 3
         c2 expect error 08P01
         c2 expect closed
         c3 send lookup 4
         e1 expect fetch 4
         e1 send 4 OK 1 a|b|c
         c3 expect row
         c3 expect complete",
        "c2 send empty\n".repeat(65)
    ));
}

/// Idle clients of every kind use up only their share of the descriptors: the change log, the control socket, the
/// engines and the configuration files keep theirs.
#[test]
fn idle_clients_of_every_kind_leave_descriptors_for_all_other_uses() {
    let mut harness = Harness::new(&["e1", "e2", "log", "log2"]);
    harness.run_script("log expect subscribed 1");
    // The share of the process itself covers the descriptors that it has open.
    let descriptor_budget =
        DescriptorBudget::divide(MAX_DESCRIPTORS, 1, true, true).expect("enough descriptors");
    assert!(
        harness.open_descriptors() <= descriptor_budget.reserved,
        "{}",
        harness.open_descriptors()
    );
    for number in 1..=MAX_DESCRIPTORS {
        harness.run_script(&format!(
            "to{number} send 50\ntf{number} send 50\nta{number} send 47"
        ));
    }
    for number in 1..=CLIENTS_OVER_SESSION_LIMIT {
        harness.run_script(&format!("c{number} send empty\nc{number} expect empty"));
    }
    // The change log moves to another address, the file is reloaded, the control socket answers, and an engine gets a request.
    harness.run_script(
        "log close
         app send reload log2
         log2 expect subscribed 1
         op send INFO WORD
         op expect 200
         log2 send 2 draining e2 @e2
         c0 send lookup 1
         e1 expect fetch 1
         e1 send 1 OK 1 a|b|c
         c0 expect row
         c0 expect complete",
    );
    assert!(harness.open_descriptors() <= MAX_DESCRIPTORS);
}
