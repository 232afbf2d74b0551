//! Daily operation: the door, the figures, the drain.

use crate::stage::Stage;
use sedgebeam_core::mix;

#[test]
fn the_door_answers_calls_and_turns_down_what_is_none() {
    Stage::new(&["e1"]).play(
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
    let mut stage = Stage::new(&["e1"]);
    // 40 who say half a word; the door has 32 places.
    for caller in 0..40 {
        stage.play(&format!("to{caller} send 50 49"));
    }
    stage.play(
        "op send PING
         op expect 200
         to39 send 4e
         to39 send 47 0a
         to39 expect 3230302072656164790a
         to39 expect closed
         to0 expect closed",
    );
    // A line without end is no call: 300 bytes.
    stage.play(&format!("tox send {}", "41".repeat(300)));
    assert!(stage.hear("tox").starts_with("343030"), "400");
}

#[test]
fn a_lame_duck_is_not_ready_answers_what_it_has_and_lets_its_clients_go() {
    Stage::new(&["e1"]).play(
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

#[test]
fn each_way_in_which_a_request_ends_is_counted_once() {
    let mut stage = Stage::new(&["e1"]);
    stage.play(
        "c1 send lookup 1
         e1 expect fetch 1
         e1 send 1 OK 1 a|b|c
         c1 expect row a|b|c
         c1 expect complete 1
         c1 send report 2
         e1 expect fetch 2
         op send INFO dispatcher_outstanding
         op expect 200
         op expect dispatcher_outstanding 1
         c1 close
         e1 expect abort 2
         c2 send journal-load 3
         e1 expect fetch 3
         e1 send 3 ERR
         c2 expect error 58000
         adm send POST /engines/s-00006531/drain
         adm expect 200
         c2 send lookup 4
         c2 expect error 53300
         op send INFO dispatcher_
         op expect 200",
    );
    for told in [
        r#"dispatcher_results_total{service="journal-load",disposition="succeeded"} 0"#,
        r#"dispatcher_results_total{service="journal-load",disposition="declined"} 0"#,
        r#"dispatcher_results_total{service="journal-load",disposition="aborted"} 1"#,
        r#"dispatcher_results_total{service="lookup",disposition="succeeded"} 1"#,
        r#"dispatcher_results_total{service="lookup",disposition="declined"} 1"#,
        r#"dispatcher_results_total{service="lookup",disposition="aborted"} 0"#,
        r#"dispatcher_results_total{service="report",disposition="succeeded"} 0"#,
        r#"dispatcher_results_total{service="report",disposition="declined"} 0"#,
        r#"dispatcher_results_total{service="report",disposition="aborted"} 0"#,
        r#"dispatcher_left_total{service="journal-load"} 0"#,
        r#"dispatcher_left_total{service="lookup"} 0"#,
        r#"dispatcher_left_total{service="report"} 1"#,
        "dispatcher_forwards_total 3",
        "dispatcher_sighup_applied_total 0",
        "dispatcher_sighup_rejected_total 0",
        "dispatcher_outstanding 0",
    ] {
        assert_eq!(stage.hear("op"), told);
    }
}

const TAKEN: &str = "read again and taken";
const KEPT: &str = "the running configuration is kept (4 of 4)";

#[test]
fn classes_come_and_go_while_their_requests_are_under_way() {
    Stage::new(&["e1"]).play(
        r#"c1 send report 1
         e1 expect fetch 1 kind=report
         app send put "name": "report" => "name": "report-2"
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
         app send put "effect": "once" => "effect": "once", "worth": 3.0
         app wait read again and taken
         app send put "name": "lookup", "worth" => "name": "lookup", "value"
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
    Stage::new(&["e1"]).play(
        r#"c1 send lookup 1
         e1 expect fetch 1
         app send put "max_attempts": 3 => "max_attempts": 1
         app wait read again and taken
         e1 send 1 ERR
         c1 expect error 53300
         c1 send lookup 2
         e1 expect fetch 2
         app send put "max_attempts": 1 => "max_attempts": 3
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
    let draw = mix(turn);
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
    let at = mix(turn) as usize;
    match turn % 4 {
        0 => config[..at % config.len()].to_string(),
        1 => config.replace("give_up", "gives_up"),
        2 => config.replace(r#""max_attempts": "#, r#""max_attempts": -"#),
        _ => config.replace(r#""settings""#, r#""setting""#),
    }
}

#[test]
fn two_hundred_retunings_lose_no_request_and_are_counted_one_by_one() {
    let mut stage = Stage::new(&["e1"]);
    let config = stage.config();
    let (mut applied, mut rejected) = (0, 0);
    stage.play("c0 send lookup 999\ne1 expect fetch 999 kind=lookup");
    for turn in 0..200u64 {
        let text = retuned(&config, turn);
        // What is under way while the file changes: a load of a class that the last file named.
        let class = text
            .split(r#""name": "journal-load"#)
            .nth(1)
            .and_then(|rest| rest.split('"').next());
        let class = format!("journal-load{}", class.expect("a load"));
        if turn % 10 == 9 {
            stage.retune(&broken(&text, turn / 10), KEPT);
            rejected += 1;
            continue;
        }
        stage.retune(&text, TAKEN);
        applied += 1;
        let id = turn + 1000;
        stage.play(&format!(
            "c1 send {class} {id}
             e1 expect fetch {id} kind={class}"
        ));
        stage.retune(&retuned(&config, turn + 7777), TAKEN);
        applied += 1;
        let (answer, told) = match turn % 2 {
            0 => (format!("{id} ERR"), "c1 expect error 58000"),
            _ => (
                format!("{id} OK 1 a|b|c"),
                "c1 expect row a|b|c\nc1 expect complete 1",
            ),
        };
        stage.play(&format!("e1 send {answer}\n{told}"));
    }
    stage.play(&format!(
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
