//! Edge cases: each request gets exactly one answer under injected system call failures, clock steps and shutdown.

use crate::faults::{Fault, FaultInjector, SystemCall};
use crate::harness::{Harness, Options, SETTINGS};
use crate::pg_client::{query, startup, statement};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Settings whose requests may take far longer than the platform waits before it kills a process.
fn settings_with_long_limits() -> String {
    SETTINGS.replace("\"give_up\": 60000.0", "\"give_up\": 600000.0")
}

/// Starts the program with these engines and with injected faults in its system calls.
fn with_faults(engines: &[&str], faults: &FaultInjector) -> Harness {
    let options = Options {
        faults: Some(faults),
        ..Options::default()
    };
    Harness::with_options(engines, &options)
}

#[test]
fn requests_stalled_at_an_engine_are_answered_before_the_platform_kills_the_process() {
    let settings = settings_with_long_limits();
    let options = Options {
        settings: &settings,
        ..Options::default()
    };
    Harness::with_options(&["e1"], &options).run_script(
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

/// Every read returns one byte; the other bytes stay in the socket buffer, and no further data arrives.
#[test]
fn the_rest_after_a_short_read_is_read() {
    let faults = FaultInjector::new();
    let mut harness = with_faults(&["e1", "log"], &faults);
    harness.run_script("log expect subscribed 1");
    faults.inject_always(SystemCall::Recv, Fault::OneByte);
    harness.run_script(
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

/// A client pipelines more commands than a session buffers, and every read returns one byte: each command is answered
/// before the close.
#[test]
fn each_of_too_many_pipelined_commands_is_answered_with_short_reads() {
    const COMMANDS: usize = 80;
    let faults = FaultInjector::new();
    let harness = with_faults(&["e1"], &faults);
    let mut client_bytes = startup();
    for number in 1..=COMMANDS {
        client_bytes.extend(query(&statement(&format!("lookup {number}"))));
    }
    faults.inject_always(SystemCall::Recv, Fault::OneByte);
    let mut client = TcpStream::connect(harness.listen_address("c")).expect("connects");
    client.write_all(&client_bytes).expect("writes");
    let mut received = Vec::new();
    client.read_to_end(&mut received).expect("no reset");
    let received = String::from_utf8_lossy(&received);
    assert_eq!(received.matches("SERROR").count(), COMMANDS);
}

/// No buffer space available.
const ENOBUFS: i32 = 105;

#[test]
fn a_failed_setsockopt_drops_no_connection() {
    let faults = FaultInjector::new();
    let mut harness = with_faults(&["e1", "log"], &faults);
    faults.inject_always(SystemCall::SetSockOpt, Fault::Error(ENOBUFS));
    harness.run_script(
        "c1 send lookup 1
         e1 expect fetch 1
         e1 send 1 OK 1 a|b|c
         c1 expect row a|b|c
         c1 expect complete 1
         log close
         log expect subscribed 1",
    );
    assert!(faults.injected_count(SystemCall::SetSockOpt) > 0);
}

#[test]
fn listeners_that_fail_to_open_are_retried() {
    for call in [
        SystemCall::Socket,
        SystemCall::SetSockOpt,
        SystemCall::Bind,
        SystemCall::Listen,
    ] {
        let faults = FaultInjector::new();
        faults.inject_times(6, call, Fault::Error(ENOBUFS));
        let mut harness = with_faults(&["e1"], &faults);
        assert_eq!(faults.injected_count(call), 6, "{call:?}");
        harness.run_script(
            "c1 send lookup 1
             e1 expect fetch 1
             e1 send 1 OK 1 a|b|c
             c1 expect row a|b|c",
        );
    }
}

/// Too many open files in the system.
const ENFILE: i32 = 23;

/// The connection can't be accepted before the end of accepting, although its request was sent long before.
#[test]
fn a_connection_in_the_backlog_when_accepting_ends_gets_an_error() {
    let faults = FaultInjector::new();
    let mut harness = with_faults(&["e1"], &faults);
    faults.inject_always(SystemCall::Accept, Fault::Error(ENFILE));
    let mut client_bytes = startup();
    client_bytes.extend(query(&statement("lookup 1")));
    let client_bytes: String = client_bytes
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    // The first message must be an ErrorResponse: type `E`, 45 in hexadecimal.
    harness.run_script(&format!(
        "t1 send {client_bytes}\napp close\napp wait accepting is over"
    ));
    faults.clear(SystemCall::Accept);
    harness.run_script("t1 expect 45\nt1 expect closed\napp expect 0");
}

/// The call was interrupted by a signal.
const EINTR: i32 = 4;

#[test]
fn interrupted_calls_lose_no_request() {
    let faults = FaultInjector::new();
    let mut harness = with_faults(&["e1", "log"], &faults);
    harness.run_script("log expect subscribed 1");
    for call in [
        SystemCall::Accept,
        SystemCall::Connect,
        SystemCall::Recv,
        SystemCall::Send,
    ] {
        faults.inject_every_nth(2, call, Fault::Error(EINTR));
    }
    for id in 1..=8 {
        harness.run_script(&format!(
            "c{id} send lookup {id}
             e1 expect fetch {id}
             e1 send {id} OK 1 a|b|c
             c{id} expect row a|b|c
             c{id} expect complete 1"
        ));
    }
    harness
        .run_script("log send 2 draining e1 @e1\napp wait : draining\nop send PING\nop expect 200");
    for call in [SystemCall::Accept, SystemCall::Recv, SystemCall::Send] {
        assert!(faults.injected_count(call) > 0, "{call:?}");
    }
}

#[test]
fn transient_accept_failures_lose_no_client() {
    /// The connection was aborted before it was accepted.
    const ECONNABORTED: i32 = 103;
    for error in [ENFILE, ECONNABORTED, ENOBUFS] {
        let faults = FaultInjector::new();
        let mut harness = with_faults(&["e1"], &faults);
        faults.inject_times(5, SystemCall::Accept, Fault::Error(error));
        harness.run_script(
            "c1 send lookup 1
             e1 expect fetch 1
             e1 send 1 OK 1 a|b|c
             c1 expect row a|b|c",
        );
        assert_eq!(faults.injected_count(SystemCall::Accept), 5);
    }
}

/// The program waits for the end of a local shortage. After an error that the engine may have caused the request may be
/// refused, but is never lost.
#[test]
fn transient_connect_failures_lose_no_request() {
    const EADDRNOTAVAIL: i32 = 99;
    const ENETUNREACH: i32 = 101;
    for (call, error) in [
        (SystemCall::Connect, EADDRNOTAVAIL),
        (SystemCall::Connect, ENETUNREACH),
        (SystemCall::Socket, ENOBUFS),
    ] {
        let faults = FaultInjector::new();
        let mut harness = with_faults(&["e1"], &faults);
        faults.inject_times(2, call, Fault::Error(error));
        harness.run_script("c1 send journal-load 1");
        let (peer_name, event) = harness.next_event_of(&["c1", "e1"]);
        if peer_name == "e1" {
            assert!(event.starts_with("fetch 1"), "{event}");
            harness.run_script("e1 send 1 OK 1 a|b|c\nc1 expect row a|b|c");
        } else {
            assert!(
                error == ENETUNREACH && event.starts_with("error 53300"),
                "{event}"
            );
        }
        assert!(faults.injected_count(call) > 0, "{call:?} {error}");
    }
}

#[test]
fn a_load_on_a_connection_that_times_out_may_have_run_and_is_not_sent_again() {
    const ETIMEDOUT: i32 = 110;
    const EHOSTUNREACH: i32 = 113;
    for error in [ETIMEDOUT, EHOSTUNREACH] {
        let faults = FaultInjector::new();
        let mut harness = with_faults(&["e1", "e2"], &faults);
        harness.run_script("c1 send journal-load 1");
        let (engine, event) = harness.next_event_of(&["e1", "e2"]);
        assert!(event.starts_with("fetch 1"), "{event}");
        faults.inject_times(1, SystemCall::Recv, Fault::Error(error));
        // The next read is of the engine's reply, and it fails.
        harness.run_script(&format!("{engine} send 1 NOTE\nc1 expect error 58000"));
        assert_eq!(faults.injected_count(SystemCall::Recv), 1);
        for engine in ["e1", "e2"] {
            let events = harness.take_pending_events(engine);
            let fetches = events.iter().filter(|event| event.starts_with("fetch"));
            assert_eq!(fetches.count(), 0, "{engine}");
        }
    }
}

#[test]
fn a_step_of_the_wall_clock_moves_no_deadline() {
    const HOUR_SECONDS: i32 = 3600;
    let faults = FaultInjector::new();
    let mut harness = with_faults(&["e1"], &faults);
    let mut id = 0;
    for step_seconds in [HOUR_SECONDS, -HOUR_SECONDS, 0, 5, -5] {
        for (steps_before, steps_after) in [(true, false), (false, true)] {
            id += 1;
            if steps_before {
                faults.step_wall_clock(step_seconds);
            }
            harness.run_script(&format!(
                "c{id} send journal-load {id} 50000\ne1 expect fetch {id}"
            ));
            if steps_after {
                faults.step_wall_clock(-step_seconds);
            }
            harness.run_script(&format!(
                "e1 send {id} OK 1 a|b|c\nc{id} expect row a|b|c\nc{id} expect complete 1"
            ));
        }
    }
}

#[test]
fn a_request_with_a_limit_of_one_millisecond_is_answered() {
    let mut harness = Harness::new(&["e1"]);
    // The engine may drop the request without a reply.
    for (id, class) in [(1, "lookup"), (2, "report"), (3, "journal-load")] {
        harness.run_script(&format!("c{id} send {class} {id} 1\nc{id} expect error 5"));
    }
}
