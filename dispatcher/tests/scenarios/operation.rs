//! Daily operation: the door, the figures, the drain.

use crate::stage::Stage;

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
