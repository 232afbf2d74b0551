//! Tests of the encoding of commands and the decoding of answers.

use super::*;
use std::time::Duration;
use tokio::time::Instant;

const ID: &str = "00000000000000ff";

fn decode(text: &str) -> io::Result<Option<Reply>> {
    RespCodec.decode(&mut BytesMut::from(text))
}

fn array(parts: &[&str]) -> String {
    let parts = parts
        .iter()
        .map(|part| format!("${}\r\n{part}\r\n", part.len()));
    format!("*{}\r\n{}", parts.len(), parts.collect::<String>())
}

#[test]
fn each_answer_is_decoded_once_it_is_complete() {
    let rows = Bytes::from_static(b"a\tb\tc\n");
    let load_report = LoadReport {
        busy_cores_share: Some(0.5),
        ..LoadReport::default()
    };
    let ok = ReplyBody::Ok {
        page_count: 3,
        work_ms: Some(81.5),
        load: Some(load_report),
        rows: rows.clone(),
    };
    let cases = [
        (
            [
                "OK",
                "parts=3,work=81.5,peak=9,gauges=util:0.5",
                "a\tb\tc\n",
            ],
            ok,
        ),
        (["BUSY", "-", ""], ReplyBody::Busy),
        (["ERR", "-", ""], ReplyBody::Err),
        (["VOID", "-", ""], ReplyBody::Void),
        (
            ["NOTE", "res=p,value=0.25", ""],
            ReplyBody::Note(Some(Note::Progress(0.25))),
        ),
        (
            ["NOTE", "res=s,value=64", ""],
            ReplyBody::Note(Some(Note::Spills(64.0))),
        ),
        (
            ["NOTE", "res=w,value=1", ""],
            ReplyBody::Note(Some(Note::WaitsForMemory)),
        ),
        (
            ["NOTE", "res=w,value=2", ""],
            ReplyBody::Note(Some(Note::WaitsForLoad)),
        ),
        (["NOTE", "-", ""], ReplyBody::Note(None)),
        (
            ["ROWS", "part_no=2", "a\tb\tc\n"],
            ReplyBody::Rows { page: 2, rows },
        ),
    ];
    for ([status_word, fields, rows], expected) in cases {
        let text = array(&["00000000000000ff", status_word, fields, rows]);
        let reply = decode(&text).expect("decodes").expect("is complete");
        assert_eq!(
            reply,
            Reply {
                subject: ReplySubject::Request(RequestId(255)),
                body: expected
            }
        );
        // No prefix of the answer decodes.
        for length in 0..text.len() {
            assert_eq!(decode(&text[..length]).expect("is no error"), None);
        }
    }
    let up = decode(&array(&["p7", "UP", "gauges=cpu:0.5", ""])).expect("decodes");
    assert_eq!(
        up,
        Some(Reply {
            subject: ReplySubject::ProbeTag(7),
            body: ReplyBody::Up(Some(load_report))
        })
    );
}

#[test]
fn an_answer_with_an_unknown_id_is_decoded_without_error() {
    for id in [
        "zz",
        "p",
        "",
        "ff",
        "0000000000000000ff",
        "+0000000000000ff",
    ] {
        let reply = decode(&array(&[id, "OK", "parts=1", "a\tb\tc\n"]));
        let reply = reply.expect("decodes").expect("is complete");
        assert_eq!(reply.subject, ReplySubject::Unknown, "{id}");
    }
}

#[test]
fn a_malformed_frame_is_an_error_and_malformed_content_decodes_as_malformed() {
    let endless_line = "9".repeat(40);
    for text in [
        "+OK\r\n",
        "*x\r\n",
        "*-1\r\n",
        "*99\r\n",
        "*1\r\n:3\r\n",
        "*2\r\n$2\r\nab__",
        "*2\r\n$999999999\r\n",
        "*0\r\n",
        &endless_line,
        &array(&[ID, "OK", "parts=1", &"a\tb\tc\n".repeat(1001)]),
        "*4\r\n$16\r\n00000000000000ff\r\n$2\r\nOK\r\n$7\r\nparts=1\r\n$3000000000\r\n",
    ] {
        assert!(decode(text).is_err(), "{text:?}");
    }
    for text in [
        &array(&[ID, "WHAT", "-", ""]),
        &array(&[ID, "ROWS", "-", ""]),
        &array(&[ID, "ROWS", "part_no=0", ""]),
        &array(&[ID, "OK", "-", ""]),
        &array(&[ID, "OK", "parts=0", ""]),
        &array(&[ID, "OK", "parts=1e9", ""]),
        &array(&[ID, "OK", "parts=1,work=x", ""]),
        &array(&[ID, "OK", "p@rts", ""]),
        &array(&[ID, "OK", "parts=1", "a\tb\tc"]),
        &array(&[ID, "OK", "parts=1", "a\tb\tc\na\tb\n"]),
        &array(&[ID, "OK", "parts=1", "a\tb\tc\td\n"]),
    ] {
        let reply = decode(text).expect("decodes").expect("is complete");
        assert!(matches!(reply.body, ReplyBody::Malformed(_)), "{text:?}");
    }
}

/// Guards against pages that keep the whole read buffer while their result waits for its other pages.
#[test]
fn the_rows_of_an_answer_keep_no_more_memory_than_the_answer() {
    let answer = array(&[ID, "OK", "parts=2", "a\tb\tc\n"]);
    let mut buffer = BytesMut::from(&*answer.repeat(100));
    let mut answers = 0;
    while let Some(reply) = RespCodec.decode(&mut buffer).expect("decodes") {
        let ReplyBody::Ok { rows, .. } = reply.body else {
            panic!("{:?} instead of rows", reply.body);
        };
        let kept = rows.try_into_mut().map(|buffer| buffer.capacity());
        assert!(kept.is_ok_and(|kept| kept <= answer.len()));
        answers += 1;
    }
    assert_eq!(answers, 100);
}

/// An attempt of class `report` with this memory grant.
fn attempt(memory_mb: f64) -> Attempt {
    Attempt {
        request: RequestId(255),
        attempt_no: sedgebeam_core::AttemptNo(0),
        class: "report".into(),
        deadline: Instant::now() + Duration::from_millis(1500),
        priority: 2,
        memory_grant_mb: sedgebeam_port::memory_grant(memory_mb),
        statement: Bytes::from_static(b"SELECT 1"),
        idempotency_token: Some("5c0f".into()),
        order_key: None,
        cancel_token: tokio_util::sync::CancellationToken::new(),
        starts_by: Instant::now(),
    }
}

// The paused clock keeps the remaining time at its initial 1500 ms.
#[tokio::test(start_paused = true)]
async fn a_fetch_has_the_memory_grant_only_if_it_is_positive() {
    let cases = [
        (96.0, "kind=report,ms=1500,rank=2,grant=96,token=5c0f"),
        (0.0, "kind=report,ms=1500,rank=2,token=5c0f"),
        (0.4, "kind=report,ms=1500,rank=2,token=5c0f"),
        (-1.0, "kind=report,ms=1500,rank=2,token=5c0f"),
        (f64::NAN, "kind=report,ms=1500,rank=2,token=5c0f"),
        (f64::INFINITY, "kind=report,ms=1500,rank=2,token=5c0f"),
    ];
    for (memory_mb, fields) in cases {
        let mut bytes = BytesMut::new();
        let fetch = Command::Fetch(attempt(memory_mb));
        RespCodec.encode(fetch, &mut bytes).expect("encodes");
        let expected = array(&["fetch", ID, fields, "SELECT 1"]);
        assert_eq!(std::str::from_utf8(&bytes), Ok(&*expected), "{memory_mb}");
    }
}
