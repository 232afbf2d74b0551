//! Daily operation: the door, the figures, the drain.

use crate::harness::Harness;
use crate::pg_client;
use sedgebeam_core::splitmix64;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn the_door_answers_calls_and_turns_down_what_is_none() {
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
fn a_call_may_come_in_pieces_and_callers_who_finish_none_hold_up_nobody() {
    let mut harness = Harness::new(&["e1"]);
    // 40 who say half a word; the door has 16 places.
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
    // A line without end is no call: 300 bytes.
    harness.run_script(&format!("tox send {}", "41".repeat(300)));
    assert!(harness.next_event("tox").starts_with("343030"), "400");
}

#[test]
fn a_lame_duck_is_not_ready_answers_what_it_has_and_lets_its_clients_go() {
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

/// What the door tells, by figure.
fn figures(harness: &mut Harness) -> BTreeMap<String, i64> {
    harness.run_script("op send INFO");
    let mut told = BTreeMap::new();
    loop {
        let line = harness.next_event("op");
        let value = line
            .rsplit_once(' ')
            .map(|(name, value)| (name, value.parse()));
        match value {
            _ if line == "EOF" => return told,
            Some((name, Ok(value))) => drop(told.insert(name.to_string(), value)),
            _ => {}
        }
    }
}

/// The figure of requests of a class that ended so, or `left`, in short.
fn short(name: &str) -> String {
    let words = name.split(['{', '"', '}']).collect::<Vec<_>>();
    match words[..] {
        ["dispatcher_results_total", _, class, _, how, ..] => format!("{class} {how}"),
        ["dispatcher_left_total", _, class, ..] => format!("{class} left"),
        _ => name.trim_start_matches("dispatcher_").to_string(),
    }
}

#[test]
fn each_way_in_which_a_request_ends_is_counted_once() {
    // What is played, and what it adds to the figures.
    let ways: [(&str, &[(&str, i64)]); 15] = [
        // The deadline of one that is not sent again: nothing is known yet of how long it should take.
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
        // Turned away by the engine, and sent again.
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
        // Under way, and a second one of its name.
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
        // Not a request of any class.
        ("c5 send raport 12\nc5 expect error 42601\nc1 send empty\nc1 expect empty", &[]),
        // Its engine dies before the result is whole.
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
    let mut before = figures(&mut harness);
    assert!(
        before.keys().any(|name| short(name) == "report declined"),
        "from the start"
    );
    for (way, adds) in ways {
        harness.run_script(way);
        let now = figures(&mut harness);
        let grown = now.iter().filter_map(|(name, value)| {
            let grown = value - before.get(name).copied().unwrap_or_default();
            (grown != 0).then(|| (short(name), grown))
        });
        let adds = adds.iter().map(|(name, value)| (name.to_string(), *value));
        let (grown, adds): (BTreeMap<_, _>, BTreeMap<_, _>) = (grown.collect(), adds.collect());
        assert_eq!(grown, adds, "{way}");
        before = now;
    }
}

#[test]
fn a_result_that_is_cut_off_while_its_client_reads_it_is_counted_as_aborted() {
    let mut harness = Harness::new(&["g1"]);
    harness.run_script(
        "f1 send report 1
         g1 expect fetch 1
         g1 send 1 OK 3 a|b|c
         f1 expect row
         g1 expect more 1 1",
    );
    assert_eq!(figures(&mut harness)["dispatcher_outstanding"], 1);
    harness.run_script("g1 send 1 ERR\nf1 expect error");
    let told = figures(&mut harness);
    let aborted = r#"dispatcher_results_total{service="report",disposition="aborted"}"#;
    assert_eq!((told[aborted], told["dispatcher_outstanding"]), (1, 0));
    assert_eq!(told["dispatcher_forwards_total"], 1);
}

#[test]
fn the_figures_of_several_workers_add_up() {
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
    let told = figures(&mut harness);
    let succeeded = r#"dispatcher_results_total{service="lookup",disposition="succeeded"}"#;
    assert_eq!((told[succeeded], told["dispatcher_outstanding"]), (16, 8));
    assert_eq!(
        (
            told["dispatcher_forwards_total"],
            told["dispatcher_discovered"]
        ),
        (24, 2)
    );
}

/// SIGHUP in each state: a lame duck takes new settings, and so does a dispatcher that ends.
#[test]
fn settings_are_taken_in_every_state_of_the_drain() {
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
fn a_file_that_becomes_whole_while_it_is_read_again_counts_once_as_taken() {
    let mut harness = Harness::new(&["e1"]);
    let whole = harness.platform_config();
    let half = whole[..whole.len() / 2].to_string();
    harness.write_config_and_reload(&half, "the running configuration is kept (1 of 4)");
    // Nobody tells the program.
    harness.write_platform_config(&whole);
    harness.run_script("app wait read again and taken");
    let told = figures(&mut harness);
    let count = |word: &str| told[&format!("dispatcher_sighup_{word}_total")];
    assert_eq!((count("applied"), count("rejected")), (1, 0));
}

const TAKEN: &str = "read again and taken";
const KEPT: &str = "the running configuration is kept (4 of 4)";

#[test]
fn classes_come_and_go_while_their_requests_are_under_way() {
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
fn fewer_attempts_bind_what_is_under_way_and_more_do_not() {
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

/// A settings text of some classes, the dearer ones under other names from time to time.
fn retuned(config: &str, turn: u64) -> String {
    let draw = splitmix64(turn);
    let named = |name: &str, other: u64| format!(r#""name": "{name}-{}""#, other % 4);
    config
        .replace(r#""name": "report""#, &named("report", draw))
        .replace(
            r#""name": "journal-load""#,
            &named("journal-load", draw >> 8),
        )
        .replace(
            r#""max_attempts": 3"#,
            &format!(r#""max_attempts": {}"#, 1 + (draw >> 16) % 3),
        )
        .replace(
            r#""worth": 1.0"#,
            &format!(r#""worth": {}.0"#, 1 + (draw >> 24) % 5),
        )
}

/// The same with something wrong in it.
fn broken(config: &str, turn: u64) -> String {
    let at = splitmix64(turn) as usize;
    match turn % 4 {
        0 => config[..at % config.len()].to_string(),
        1 => config.replace("give_up", "gives_up"),
        2 => config.replace(r#""max_attempts": "#, r#""max_attempts": -"#),
        _ => config.replace(r#""settings""#, r#""setting""#),
    }
}

#[test]
fn two_hundred_retunings_lose_no_request_and_are_counted_one_by_one() {
    let mut harness = Harness::new(&["e1"]);
    let config = harness.platform_config();
    let (mut applied, mut rejected) = (0, 0);
    harness.run_script("c0 send lookup 999\ne1 expect fetch 999 kind=lookup");
    for turn in 0..200u64 {
        let text = retuned(&config, turn);
        // What is under way while the file changes: a load of a class that the last file named.
        let class = text
            .split(r#""name": "journal-load"#)
            .nth(1)
            .and_then(|rest| rest.split('"').next());
        let class = format!("journal-load{}", class.expect("a load"));
        if turn % 10 == 9 {
            harness.write_config_and_reload(&broken(&text, turn / 10), KEPT);
            rejected += 1;
            continue;
        }
        harness.write_config_and_reload(&text, TAKEN);
        applied += 1;
        let id = turn + 1000;
        harness.run_script(&format!(
            "c1 send {class} {id}
             e1 expect fetch {id} kind={class}"
        ));
        harness.write_config_and_reload(&retuned(&config, turn + 7777), TAKEN);
        applied += 1;
        let (answer, told) = match turn % 2 {
            0 => (format!("{id} ERR"), "c1 expect error 58000"),
            _ => (
                format!("{id} OK 1 a|b|c"),
                "c1 expect row a|b|c\nc1 expect complete 1",
            ),
        };
        harness.run_script(&format!("e1 send {answer}\n{told}"));
    }
    harness.run_script(&format!(
        "e1 send 999 OK 1 a|b|c
         c0 expect row a|b|c
         c0 expect complete 1
         op send INFO dispatcher_sighup
         op expect 200
         op expect dispatcher_sighup_applied_total {applied}
         op expect dispatcher_sighup_rejected_total {rejected}
         op send INFO dispatcher_outstanding
         op expect 200
         op expect dispatcher_outstanding 0"
    ));
}

/// What a client says before it walks away, by the point at which it does.
fn said_before_leaving(point: usize, id: usize) -> Vec<u8> {
    let asked = pg_client::query(&pg_client::statement(&format!("report {id}")));
    let whole = [pg_client::startup(), asked].concat();
    let start = pg_client::startup().len();
    let length = match point {
        0 => 0,
        1 => start / 2,
        2 => start,
        3 => start + 7,
        4 => whole.len() - 1,
        _ => whole.len(),
    };
    whole[..length].to_vec()
}

#[test]
fn clients_that_walk_away_at_any_point_leave_nothing_behind() {
    let mut harness = Harness::new(&["e1"]);
    harness.run_script("c1 send lookup 1\ne1 expect fetch 1\ne1 send 1 OK 1 a|b|c\nc1 expect row\nc1 expect complete");
    let before = harness.open_descriptors();
    let mut asked = 0;
    for id in 0..210 {
        let point = id % 7;
        let mut client = TcpStream::connect(harness.listen_address("c")).expect("connects");
        client
            .write_all(&said_before_leaving(point, id + 2))
            .expect("writes");
        if point < 5 {
            continue;
        }
        asked += 1;
        // Of the last, half leave while their engine works on it, half before anyone has seen it.
        let fetch = format!("fetch {}", id + 2);
        if point == 6 {
            while !harness.next_event("e1").starts_with(&fetch) {}
        }
        drop(client);
        let abort = format!("abort {}", id + 2);
        while point == 6 && !harness.next_event("e1").starts_with(&abort) {}
    }
    let left = r#"dispatcher_left_total{service="report"}"#;
    for turn in 0.. {
        let told = figures(&mut harness);
        assert!(
            turn < 2000,
            "{told:?}, {} of {before} descriptors",
            harness.open_descriptors()
        );
        // Half of a query is no request; one that was taken and left at once may never have been read.
        let ended = told["dispatcher_outstanding"] == 0 && told[left] >= asked / 2;
        if ended && harness.open_descriptors() <= before + 2 {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    harness.run_script("c1 send lookup 999");
    while !harness.next_event("e1").starts_with("fetch 999") {}
    harness.run_script("e1 send 999 OK 1 a|b|c\nc1 expect row");
}
