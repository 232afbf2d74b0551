//! Clauses at their extremes: each request has its one answer whatever the system, the clocks and the ends of the process do.

use crate::faults::{Call, Fault, Faults};
use crate::pg_client::{query, startup, statement};
use crate::stage::{Options, SETTINGS, Stage};

/// Settings under which clients wait far longer than the platform does before it kills a process.
fn patient() -> String {
    SETTINGS.replace("\"give_up\": 60000.0", "\"give_up\": 600000.0")
}

#[test]
fn what_hangs_at_an_engine_is_answered_before_the_earliest_kill() {
    let settings = patient();
    let options = Options {
        settings: &settings,
        ..Options::default()
    };
    Stage::with(&["e1"], &options).play(
        "c1 send lookup 1 600000
         e1 expect fetch 1
         c2 send journal-load 2 600000
         e1 expect fetch 2
         app close
         app wait last call
         c1 expect error 53300
         c1 expect closed
         c2 expect error 58000
         c2 expect closed
         app expect 0",
    );
}

/// Every read gives one byte, and the rest lies in the socket though nothing more comes.
#[test]
fn what_a_short_read_leaves_in_a_socket_is_read() {
    let faults = Faults::none();
    let options = Options {
        faults: Some(&faults),
        ..Options::default()
    };
    let mut stage = Stage::with(&["e1", "log"], &options);
    stage.play("log expect asked 1");
    faults.always(Call::Recv, Fault::Short);
    stage.play(
        "log send 2 up e1 @e1
         c1 send lookup 1
         e1 expect fetch 1
         e1 send 1 OK 1 a|b|c
         c1 expect row a|b|c
         c1 expect complete 1
         op send PING
         op expect 200
         log send 3 draining e1 @e1
         app wait : draining",
    );
    assert!(faults.injected(Call::Recv) > 100);
}

/// A lack of buffers, as the system tells of it.
const ENOBUFS: i32 = 105;

#[test]
fn an_option_that_can_not_be_set_drops_no_connection() {
    let faults = Faults::none();
    let options = Options {
        faults: Some(&faults),
        ..Options::default()
    };
    let mut stage = Stage::with(&["e1", "log"], &options);
    faults.always(Call::SetSockOpt, Fault::Error(ENOBUFS));
    stage.play(
        "c1 send lookup 1
         e1 expect fetch 1
         e1 send 1 OK 1 a|b|c
         c1 expect row a|b|c
         c1 expect complete 1
         log close
         log expect asked 1",
    );
    assert!(faults.injected(Call::SetSockOpt) > 0);
}

#[test]
fn listeners_that_can_not_be_had_at_first_are_tried_for_again() {
    for call in [Call::Socket, Call::SetSockOpt, Call::Bind, Call::Listen] {
        let faults = Faults::none();
        faults.times(6, call, Fault::Error(ENOBUFS));
        let options = Options {
            faults: Some(&faults),
            ..Options::default()
        };
        let mut stage = Stage::with(&["e1"], &options);
        assert_eq!(faults.injected(call), 6, "{call:?}");
        stage.play(
            "c1 send lookup 1
             e1 expect fetch 1
             e1 send 1 OK 1 a|b|c
             c1 expect row a|b|c",
        );
    }
}

/// Too many files are open in the system.
const ENFILE: i32 = 23;

/// It can't be accepted until accepting is over; its request has been written long before.
#[test]
fn a_connection_in_the_queue_when_accepting_ends_is_told() {
    let faults = Faults::none();
    let options = Options {
        faults: Some(&faults),
        ..Options::default()
    };
    let mut stage = Stage::with(&["e1"], &options);
    faults.always(Call::Accept, Fault::Error(ENFILE));
    let mut said = startup();
    said.extend(query(&statement("lookup 1")));
    let said: String = said.iter().map(|byte| format!("{byte:02x}")).collect();
    // An error, before anything else.
    stage.play(&format!(
        "t1 send {said}\napp close\napp wait accepting is over"
    ));
    faults.end(Call::Accept);
    stage.play("t1 expect 45\nt1 expect closed\napp expect 0");
}
