//! Clauses at their extremes: each request has its one answer whatever the system, the clocks and the ends of the process do.

use crate::faults::{Fault, FaultInjector, SystemCall};
use crate::pg_client::{query, startup, statement};
use crate::stage::{Options, SETTINGS, Stage};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Settings under which clients wait far longer than the platform does before it kills a process.
fn patient() -> String {
    SETTINGS.replace("\"give_up\": 60000.0", "\"give_up\": 600000.0")
}

/// The program before these engines, with system calls that may be faulty.
fn with_faults(engines: &[&str], faults: &FaultInjector) -> Stage {
    let options = Options {
        faults: Some(faults),
        ..Options::default()
    };
    Stage::with(engines, &options)
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
    let faults = FaultInjector::new();
    let mut stage = with_faults(&["e1", "log"], &faults);
    stage.play("log expect asked 1");
    faults.inject_always(SystemCall::Recv, Fault::OneByte);
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
    assert!(faults.injected_count(SystemCall::Recv) > 100);
}

/// More commands at once than a session keeps, and every read gives one byte of them: each is answered before the close.
#[test]
fn each_of_too_many_commands_sent_ahead_is_answered_though_reads_are_short() {
    const COMMANDS: usize = 80;
    let faults = FaultInjector::new();
    let stage = with_faults(&["e1"], &faults);
    let mut said = startup();
    for number in 1..=COMMANDS {
        said.extend(query(&statement(&format!("lookup {number}"))));
    }
    faults.inject_always(SystemCall::Recv, Fault::OneByte);
    let mut client = TcpStream::connect(stage.address("c")).expect("connects");
    client.write_all(&said).expect("writes");
    let mut heard = Vec::new();
    client.read_to_end(&mut heard).expect("no reset");
    let heard = String::from_utf8_lossy(&heard);
    assert_eq!(heard.matches("SERROR").count(), COMMANDS);
}

/// A lack of buffers, as the system tells of it.
const ENOBUFS: i32 = 105;

#[test]
fn an_option_that_can_not_be_set_drops_no_connection() {
    let faults = FaultInjector::new();
    let mut stage = with_faults(&["e1", "log"], &faults);
    faults.inject_always(SystemCall::SetSockOpt, Fault::Error(ENOBUFS));
    stage.play(
        "c1 send lookup 1
         e1 expect fetch 1
         e1 send 1 OK 1 a|b|c
         c1 expect row a|b|c
         c1 expect complete 1
         log close
         log expect asked 1",
    );
    assert!(faults.injected_count(SystemCall::SetSockOpt) > 0);
}

#[test]
fn listeners_that_can_not_be_had_at_first_are_tried_for_again() {
    for call in [
        SystemCall::Socket,
        SystemCall::SetSockOpt,
        SystemCall::Bind,
        SystemCall::Listen,
    ] {
        let faults = FaultInjector::new();
        faults.inject_times(6, call, Fault::Error(ENOBUFS));
        let mut stage = with_faults(&["e1"], &faults);
        assert_eq!(faults.injected_count(call), 6, "{call:?}");
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
    let faults = FaultInjector::new();
    let mut stage = with_faults(&["e1"], &faults);
    faults.inject_always(SystemCall::Accept, Fault::Error(ENFILE));
    let mut said = startup();
    said.extend(query(&statement("lookup 1")));
    let said: String = said.iter().map(|byte| format!("{byte:02x}")).collect();
    // An error, before anything else.
    stage.play(&format!(
        "t1 send {said}\napp close\napp wait accepting is over"
    ));
    faults.clear(SystemCall::Accept);
    stage.play("t1 expect 45\nt1 expect closed\napp expect 0");
}

/// A call that a signal interrupted.
const EINTR: i32 = 4;

#[test]
fn interrupted_calls_lose_no_request() {
    let faults = FaultInjector::new();
    let mut stage = with_faults(&["e1", "log"], &faults);
    stage.play("log expect asked 1");
    for call in [
        SystemCall::Accept,
        SystemCall::Connect,
        SystemCall::Recv,
        SystemCall::Send,
    ] {
        faults.inject_every_nth(2, call, Fault::Error(EINTR));
    }
    for id in 1..=8 {
        stage.play(&format!(
            "c{id} send lookup {id}
             e1 expect fetch {id}
             e1 send {id} OK 1 a|b|c
             c{id} expect row a|b|c
             c{id} expect complete 1"
        ));
    }
    stage.play("log send 2 draining e1 @e1\napp wait : draining\nop send PING\nop expect 200");
    for call in [SystemCall::Accept, SystemCall::Recv, SystemCall::Send] {
        assert!(faults.injected_count(call) > 0, "{call:?}");
    }
}

#[test]
fn accepts_that_fail_for_a_moment_lose_no_client() {
    /// A connection was aborted before it was accepted.
    const ECONNABORTED: i32 = 103;
    for error in [ENFILE, ECONNABORTED, ENOBUFS] {
        let faults = FaultInjector::new();
        let mut stage = with_faults(&["e1"], &faults);
        faults.inject_times(5, SystemCall::Accept, Fault::Error(error));
        stage.play(
            "c1 send lookup 1
             e1 expect fetch 1
             e1 send 1 OK 1 a|b|c
             c1 expect row a|b|c",
        );
        assert_eq!(faults.injected_count(SystemCall::Accept), 5);
    }
}

/// A lack on this side is waited for; what may be the engine's trouble may have the request refused, and never lost.
#[test]
fn connects_that_fail_for_a_moment_lose_no_request() {
    const EADDRNOTAVAIL: i32 = 99;
    const ENETUNREACH: i32 = 101;
    for (call, error) in [
        (SystemCall::Connect, EADDRNOTAVAIL),
        (SystemCall::Connect, ENETUNREACH),
        (SystemCall::Socket, ENOBUFS),
    ] {
        let faults = FaultInjector::new();
        let mut stage = with_faults(&["e1"], &faults);
        faults.inject_times(2, call, Fault::Error(error));
        stage.play("c1 send journal-load 1");
        let (who, heard) = stage.hear_any(&["c1", "e1"]);
        if who == "e1" {
            assert!(heard.starts_with("fetch 1"), "{heard}");
            stage.play("e1 send 1 OK 1 a|b|c\nc1 expect row a|b|c");
        } else {
            assert!(
                error == ENETUNREACH && heard.starts_with("error 53300"),
                "{heard}"
            );
        }
        assert!(faults.injected_count(call) > 0, "{call:?} {error}");
    }
}

#[test]
fn a_connection_that_times_out_may_have_run_what_was_written() {
    const ETIMEDOUT: i32 = 110;
    const EHOSTUNREACH: i32 = 113;
    for error in [ETIMEDOUT, EHOSTUNREACH] {
        let faults = FaultInjector::new();
        let mut stage = with_faults(&["e1", "e2"], &faults);
        stage.play("c1 send journal-load 1");
        let (engine, heard) = stage.hear_any(&["e1", "e2"]);
        assert!(heard.starts_with("fetch 1"), "{heard}");
        faults.inject_times(1, SystemCall::Recv, Fault::Error(error));
        // What is read next is the engine's word, and the read fails.
        stage.play(&format!("{engine} send 1 NOTE\nc1 expect error 58000"));
        assert_eq!(faults.injected_count(SystemCall::Recv), 1);
        for engine in ["e1", "e2"] {
            let again = stage.left(engine);
            let again = again.iter().filter(|heard| heard.starts_with("fetch"));
            assert_eq!(again.count(), 0, "{engine}");
        }
    }
}

#[test]
fn a_wall_clock_that_is_stepped_moves_no_deadline() {
    const HOUR: i32 = 3600;
    let faults = FaultInjector::new();
    let mut stage = with_faults(&["e1"], &faults);
    let mut id = 0;
    for step in [HOUR, -HOUR, 0, 5, -5] {
        for (before, after) in [(true, false), (false, true)] {
            id += 1;
            if before {
                faults.step_wall_clock(step);
            }
            stage.play(&format!(
                "c{id} send journal-load {id} 50000\ne1 expect fetch {id}"
            ));
            if after {
                faults.step_wall_clock(-step);
            }
            stage.play(&format!(
                "e1 send {id} OK 1 a|b|c\nc{id} expect row a|b|c\nc{id} expect complete 1"
            ));
        }
    }
}

#[test]
fn a_request_with_hardly_any_time_left_is_answered() {
    let mut stage = Stage::new(&["e1"]);
    // Its engine may drop it without a word.
    for (id, class) in [(1, "lookup"), (2, "report"), (3, "journal-load")] {
        stage.play(&format!("c{id} send {class} {id} 1\nc{id} expect error 5"));
    }
}
