//! What only one wire has: starts, cancels, what is malformed.

use crate::harness::{Harness, MAX_DESCRIPTORS};
use sedgebeam::descriptors::Descriptors;

#[test]
fn an_empty_query_is_answered_at_the_start_of_a_session() {
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
fn what_begins_and_never_ends_is_closed() {
    // Half a start; a start and half a query; nothing at all; half a preface of HTTP/2; half a head.
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

/// More than the sessions that the stage's descriptors allow.
const CROWD: usize = 36;

#[test]
fn strangers_by_the_hundred_give_way_to_clients_and_those_that_ask_nothing_more_do_too() {
    // Each request has a name of its own: the broker hears of an end a tick after the client.
    let served = |name| {
        format!(
            "c0 send lookup {name}\ne1 expect fetch {name}\ne1 send {name} OK 1 a|b|c
             c0 expect row\nc0 expect complete"
        )
    };
    let mut harness = Harness::new(&["e1"]);
    harness.run_script(&served(1));
    for number in 1..=CROWD {
        harness.run_script(&format!("c{number} send empty\nc{number} expect empty"));
    }
    harness.run_script(&format!("c1 expect closed\n{}", served(3)));
    // All of these ask once and keep their connection: the one that has been idle for longest goes.
    for number in 1..=CROWD {
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
fn a_client_that_sends_the_same_useless_statement_again_and_again_is_closed() {
    let mut harness = Harness::new(&["e1"]);
    let useless = "c1 send text SELECT 1\nc1 expect error 42601\n".repeat(6);
    // A good one between begins the count anew.
    harness.run_script(&useless);
    harness.run_script(
        "c1 send lookup 1
         e1 expect fetch 1
         e1 send 1 OK 1 a|b|c
         c1 expect row
         c1 expect complete",
    );
    harness.run_script(&useless);
    harness.run_script("c1 send text SELECT 1\nc1 expect error 42601\nc1 expect closed");
}

#[test]
fn a_cancel_request_on_its_own_connection_calls_the_query_off() {
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
fn an_engine_that_answers_nonsense_is_cut_off_and_its_attempt_may_have_run() {
    Harness::new(&["e1"]).run_script(
        "c1 send journal-load 1
         e1 expect fetch 1
         e1 send 1 raw *9999999\\r\\n
         c1 expect error 58000",
    );
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    // The module may send the load again, and refuses it, which is harmless, once it gives it up.
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
fn a_flight_engine_that_is_gone_never_ran_what_is_sent_to_it() {
    // Once before any connection, and once on one that has broken since.
    for first in [
        "",
        "c1 send lookup 1\ng1 expect fetch 1\ng1 send 1 OK 1 a|b|c\nc1 expect row\nc1 expect complete",
    ] {
        let mut harness = Harness::new(&["g1"]);
        harness.run_script(first);
        harness.run_script(
            "g1 close
             g1 expect closed
             c1 send journal-load 2 700
             c1 expect error 53300",
        );
    }
}

#[test]
fn a_flight_engine_that_stays_open_and_says_nothing_is_let_go_before_the_deadline() {
    for client in ["c1", "f1"] {
        Harness::new(&["m1"]).run_script(&format!(
            "{client} send journal-load 1
             m1 expect accepted
             {client} expect error"
        ));
    }
}

#[test]
fn a_client_that_sends_ahead_is_watched_all_the_same() {
    // It leaves behind what it has sent ahead; or sends ahead more than is held, which ends its session alone.
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

/// Whatever idle clients, callers and strangers fill, the change log, the door, the engines and the files keep theirs.
#[test]
fn idle_clients_of_every_kind_leave_descriptors_for_all_else() {
    let mut harness = Harness::new(&["e1", "e2", "log", "log2"]);
    harness.run_script("log expect subscribed 1");
    // What is set apart for the process itself is no less than it holds.
    let parts = Descriptors::of(MAX_DESCRIPTORS, 1, true, true).expect("enough for all");
    assert!(
        harness.open_descriptors() <= parts.own,
        "{}",
        harness.open_descriptors()
    );
    for number in 1..=MAX_DESCRIPTORS {
        harness.run_script(&format!(
            "to{number} send 50\ntf{number} send 50\nta{number} send 47"
        ));
    }
    for number in 1..=CROWD {
        harness.run_script(&format!("c{number} send empty\nc{number} expect empty"));
    }
    // Discovery is away, and back at another address; the file is read, the door answers, an engine is asked.
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
