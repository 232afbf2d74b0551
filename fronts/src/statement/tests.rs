//! Tests of the request fields in the comment ahead of a statement, and of the table group that a statement names.

use super::table_group::comment_length;
use super::*;

#[test]
fn the_table_group_comes_from_the_schema_name_only() {
    let cases = [
        (
            "SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c'",
            Some(17),
        ),
        ("SELECT 'from a_1.b', \"x\" FROM sales_2.orders", Some(2)),
        ("SELECT 1 -- from a_1.b\n FROM sales_3.orders", Some(3)),
        (
            "SELECT 1 /* from a_1.b /* from a_2.b */ from a_3.c */ FROM sales_4.o",
            Some(4),
        ),
        (
            "INSERT INTO sales_5.orders SELECT * FROM staging.batch_9",
            Some(5),
        ),
        (
            "INSERT INTO staging.batch_9 SELECT * FROM sales_6.orders",
            Some(6),
        ),
        ("COPY \"sales_7\".\"orders\" FROM STDIN", Some(7)),
        ("SELECT t_1.a FROM sales_8.orders t_1", Some(8)),
        ("SELECT E'it\\'s a_1.b' FROM sales_9.o", Some(9)),
        ("SELECT 'it''s a_1.b' FROM sales_10.o", Some(10)),
        (
            "SELECT $tag$ from a_1.b $tag$, $1 FROM sales_11.o",
            Some(11),
        ),
        (
            "UPDATE main . sales SET a = 1.5 FROM sales_12 . o",
            Some(12),
        ),
        ("DELETE FROM ONLY sales_13.o", Some(13)),
        ("SELECT db.sales_14.o", None),
        ("SELECT 1.5, a_b.c, x_.y FROM plain", None),
        ("SELECT 'never ended FROM sales_1.o", None),
        ("/* never ended FROM sales_1.o", None),
        ("SELECT $tag$ never ended FROM sales_1.o", None),
        ("", None),
    ];
    for (statement, number) in cases {
        assert_eq!(table_group(statement), number, "{statement}");
    }
}

#[test]
fn a_rejection_names_the_invalid_field() {
    let names = Names {
        classes: vec!["lookup".to_string()],
        give_up: vec![millis_to_micros(2500.0)],
        ..Names::default()
    };
    let parsed = |text: &str| {
        let text = Bytes::copy_from_slice(text.as_bytes());
        parse(&text, Instant::now(), &names, None).map_err(|InvalidStatement(message)| message)
    };
    let valid = "/* verb=lookup,txn=9b1f03aa5c7e2d41,limit=1500,cpu=820.0 */ SELECT 1";
    let request = parsed(valid).expect("the statement is valid");
    assert_eq!(request.id, RequestId(0x9b1f_03aa_5c7e_2d41));
    assert_eq!(request.work.0, 820_000);
    assert_eq!(&request.statement[..], b"SELECT 1");
    for (text, expected) in [
        (valid.replace("lookup", "other"), "verb"),
        (valid.replace("9b1f", "9b1fx"), "txn"),
        (valid.replace("9b1f", "9b1f9b1f"), "txn"),
        (valid.replace("9b1f", ""), "txn"),
        (valid.replace("9b1f", "+b1f"), "txn"),
        (valid.replace("9b1f", "9B1F"), "txn"),
        (valid.replace("txn=9b1f03aa5c7e2d41,", ""), "txn"),
        (valid.replace("limit=1500,", ""), "limit"),
        (valid.replace("1500", "5001"), "limit"),
        (valid.replace("cpu=820.0", "verb=report"), "verb"),
        (valid.replace("cpu=820.0", "cpu"), "pairs"),
        (valid.replace("820.0", "-1"), "cpu"),
        (valid.replace("820.0", "1e300"), "cpu"),
        (valid.replace("cpu=820.0", "memory=1e12"), "memory"),
        (valid.replace("SELECT 1", " "), "no statement"),
        (valid.replace("1500", "0"), "limit"),
        (valid.replace("1500", "-1"), "limit"),
        (valid.replace("1500", "NaN"), "limit"),
        (valid.replace("820.0", "inf"), "cpu"),
        (format!("/* second=0,{}", &valid[3..]), "second"),
        (format!("/* second=,{}", &valid[3..]), "second"),
        (format!("/* second=true,{}", &valid[3..]), "second"),
        (format!("/* second=11,{}", &valid[3..]), "second"),
        (format!("/* second=1,second=1,{}", &valid[3..]), "second"),
        (valid.replace("*/", ""), "no comment"),
        ("SELECT 1".to_string(), "no comment"),
    ] {
        let message = parsed(&text).expect_err(&text);
        assert!(message.contains(expected), "{expected} in {message}");
    }
}

#[test]
fn a_request_is_a_retry_only_if_its_client_marks_it() {
    let names = Names {
        classes: vec!["lookup".to_string()],
        give_up: vec![millis_to_micros(2500.0)],
        ..Names::default()
    };
    for (field, is_retry) in [("", false), (",second=1", true)] {
        let text = format!("/* verb=lookup,txn=9b1f03aa5c7e2d41,limit=1500{field} */ SELECT 1");
        let request = parse(&Bytes::from(text), Instant::now(), &names, None);
        assert_eq!(
            request.expect("the statement is valid").is_retry,
            is_retry,
            "{field:?}"
        );
    }
}

#[test]
fn the_value_of_the_field_unique_is_kept_unchanged() {
    let names = Names {
        classes: vec!["lookup".to_string()],
        give_up: vec![millis_to_micros(2500.0)],
        ..Names::default()
    };
    let token = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    for (field, expected) in [
        (String::new(), None),
        (format!(",unique={token}"), Some(token)),
    ] {
        let text = format!("/* verb=lookup,txn=9b1f03aa5c7e2d41,limit=1500{field} */ SELECT 1");
        let request = parse(&Bytes::from(text), Instant::now(), &names, None)
            .expect("the statement is valid");
        assert_eq!(request.idempotency_token.as_deref(), expected);
    }
}

/// Guards against a statement of nested comments that stops the dispatcher: the time to skip a comment must not grow with
/// the square of its length.
#[test]
fn each_byte_of_a_comment_is_read_once() {
    for (comment, length) in [
        ("/* a */ b".to_string(), 7),
        ("/* /* a */ */ b".to_string(), 13),
        ("/*/ a */".to_string(), 8),
        ("/**/*/".to_string(), 4),
        ("/* ".repeat(1000), 3000),
        (format!("{}*/", "/* ".repeat(1000)), 3002),
        (
            format!("{}{} a", "/* ".repeat(1000), " */".repeat(1000)),
            6000,
        ),
        ("/*".repeat(1000), 2000),
    ] {
        let mut bytes_read = 0;
        let bytes = comment.bytes().inspect(|_| bytes_read += 1);
        assert_eq!(comment_length(bytes), length, "{comment:.20}");
        assert_eq!(bytes_read, length, "{comment:.20}");
    }
}
