//! Drains, ends and restarts.

use crate::stage::Stage;

#[test]
fn a_draining_engine_gets_nothing_new() {
    Stage::new(&["e1", "log"]).play(
        "log expect asked 1
         c1 send report 1
         e1 expect fetch 1
         log send 2 draining e1 @e1
         log close
         log expect asked 2
         e1 send 1 OK 1 a|b|c
         c1 expect row a|b|c
         c1 expect complete 1
         c1 send lookup 2
         c1 expect error 53300",
    );
}

#[test]
fn what_was_taken_is_answered_before_the_program_ends() {
    Stage::new(&["e1"]).play(
        "c1 send lookup 1
         e1 expect fetch 1
         app close
         app wait last call
         e1 send 1 OK 1 a|b|c
         c1 expect row a|b|c
         c1 expect complete 1
         c1 expect closed
         app expect 0",
    );
}

#[test]
fn a_new_engine_at_the_address_of_a_gone_one_is_another_engine() {
    Stage::new(&["e1", "log"]).play(
        "log expect asked 1
         log send 2 removed e1 @e1
         log send 3 up e2 @e1
         log close
         log expect asked 3
         c1 send lookup 1
         e1 expect fetch 1
         e1 send 1 OK 1 a|b|c
         c1 expect row a|b|c
         c1 expect complete 1",
    );
}

#[test]
fn a_gap_in_the_change_log_asks_for_the_whole_list() {
    Stage::new(&["e1", "log"]).play(
        "log expect asked 1
         log send 4 draining e1 @e1
         app wait asking for the whole list
         log close
         log expect asked 0",
    );
}
