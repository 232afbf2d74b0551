//! Statements of the greatest length, whose content takes the most time to parse.

use crate::harness::Harness;
use std::time::{Duration, Instant};

/// The greatest length of a message is 256 KiB; this leaves room for the request's own fields.
const CONTENT_BYTES: usize = 262_144 - 144;

/// A request with a limit of one second that was under way before a statement is lost if the statement stops the
/// dispatcher for longer: the limit, the half second in which a late answer is not lost yet, and 50 ms for the sockets.
const MAX_PARSE_TIME: Duration = Duration::from_millis(1000 + 500 + 50);

/// Repeats a text up to the greatest length.
fn repeated(text: &str) -> String {
    text.repeat(CONTENT_BYTES / text.len())
}

/// As many further fields, all with different names, as the greatest length holds.
fn distinct_fields() -> String {
    let mut fields = String::with_capacity(CONTENT_BYTES);
    for number in 0.. {
        let field = format!(",{number:x}=");
        if fields.len() + field.len() > CONTENT_BYTES {
            break;
        }
        fields.push_str(&field);
    }
    fields
}

/// Guards against one statement of one client that stops the dispatcher for all clients: the time to parse nested
/// comments, and fields with different names, grew with the square of the length.
#[test]
fn no_statement_of_the_greatest_length_stops_the_dispatcher() {
    let statements = [
        // Without the spaces, "/*/*" would also hold the end of a comment.
        repeated("/* ").trim_end().to_string() + "*/",
        "/* ".repeat(CONTENT_BYTES / 6) + &"*/ ".repeat(CONTENT_BYTES / 6),
        repeated("/*"),
        repeated("/**/"),
        repeated("$"),
        repeated("$ "),
        repeated("$a"),
        repeated("'"),
        repeated("\""),
        repeated("E'\\"),
        repeated("--\r"),
        repeated("a."),
        repeated("from a_1"),
        repeated("é"),
    ];
    let without_fields = statements.map(|statement| (String::new(), statement));
    let with_fields = (distinct_fields(), "SELECT 1".to_string());
    let mut harness = Harness::new(&["e1"]);
    harness.run_script("c1 send empty\nc1 expect empty");
    for (id, (fields, statement)) in (1..).zip(without_fields.into_iter().chain([with_fields])) {
        let sent_at = Instant::now();
        harness.run_script(&format!(
            "c1 send text /* verb=lookup,txn={id:016x},limit=60000{fields} */ {statement}
             e1 expect fetch {id:x}"
        ));
        let elapsed = sent_at.elapsed();
        assert!(elapsed < MAX_PARSE_TIME, "{statement:.20}: {elapsed:?}");
        harness.run_script(&format!(
            "e1 send {id:x} OK 1 a|b|c
             c1 expect row a|b|c
             c1 expect complete 1"
        ));
    }
}
