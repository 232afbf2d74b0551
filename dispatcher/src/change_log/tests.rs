//! Tests of the decoding of the change log and of its engine lists.

use super::event_decoder::{EventDecoder, MAX_LINE_BYTES};
use super::line_buffer::LineBuffer;
use super::*;
use bytes::BytesMut;
use tokio_util::codec::Decoder;

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const DATA: &str = r#"{"seq":41,"fleet":{"rev":7,"all":false,"targets":[{"uid":"s-00c41f7a","endpoint":"127.1.0.9:10080","az":"east","model":"std","pod_group":2,"state":"up","capacity_hint":4,"boot_ms":0}]}}"#;

/// Decodes the text in pieces of `piece_bytes`; returns the sequence numbers of its events.
fn decode_seqs(text: &str, piece_bytes: usize) -> io::Result<Vec<u64>> {
    let (mut decoder, mut bytes, mut seqs) = (EventDecoder::default(), BytesMut::new(), Vec::new());
    for piece in text.as_bytes().chunks(piece_bytes) {
        bytes.extend_from_slice(piece);
        while let Some(event) = decoder.decode(&mut bytes)? {
            seqs.extend(event.map(|change| change.seq));
        }
    }
    Ok(seqs)
}

#[test]
fn events_are_decoded_whatever_the_sizes_of_the_pieces() {
    let body = format!(": hello\nid: 41\ndata: {DATA}\n\n:\n\nid: 41\r\ndata: {DATA}\r\n\r\n");
    let plain = format!("{HEAD}\r\n{body}");
    let mut chunked = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n");
    for chunk in body.as_bytes().chunks(50) {
        let chunk = std::str::from_utf8(chunk).expect("ASCII");
        chunked.push_str(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    }
    for text in [plain, chunked] {
        for piece_bytes in [1, 7, 4096] {
            assert_eq!(
                decode_seqs(&text, piece_bytes).expect("valid events"),
                [41, 41]
            );
        }
    }
}

#[test]
fn an_invalid_response_is_an_error() {
    for text in [
        "HTTP/1.1 404 Not Found\r\n\r\n".to_string(),
        "no HTTP at all\r\n\r\n".to_string(),
        format!("{HEAD}\r\ndata: not JSON\n\n"),
        format!("{HEAD}Transfer-Encoding: chunked\r\n\r\nxyz\r\n"),
        format!("{HEAD}\r\n{}", "x".repeat(MAX_LINE_BYTES + 1)),
    ] {
        assert!(decode_seqs(&text, 4096).is_err(), "{:.60}", text);
    }
}

#[test]
fn changes_are_applied_in_order_to_the_initial_list() {
    let target = |uid: &str, state: &str| Target {
        uid: uid.to_string(),
        state: state.to_string(),
        ..<Target as Default>::default()
    };
    let change = |is_complete, targets| Change {
        seq: 0,
        fleet: Fleet {
            is_complete,
            targets,
        },
    };
    let list = fold_changes(vec![
        change(Some(true), vec![target("old", "up")]),
        change(Some(true), vec![target("a", "up"), target("b", "up")]),
        change(
            Some(false),
            vec![target("a", "draining"), target("b", "removed")],
        ),
    ]);
    assert_eq!(list, [target("a", "draining")]);
}

/// Guards against a line that is searched from its start with each piece: the time to receive it grew with the square of
/// its length.
#[test]
fn an_incomplete_line_is_searched_once() {
    let mut buffer = LineBuffer::default();
    for length in 1..=1000 {
        buffer.extend_from_slice(b"x");
        assert_eq!(buffer.next_line(), None);
        assert_eq!(buffer.searched_bytes(), length);
    }
    buffer.extend_from_slice(b"y\r\n\n\r\nrest");
    let line = buffer.next_line().expect("a complete line");
    assert_eq!(
        &line[..],
        ["x".repeat(1000), "y".to_string()].concat().as_bytes()
    );
    assert_eq!(buffer.next_line().as_deref(), Some(&b""[..]));
    assert_eq!(buffer.next_line().as_deref(), Some(&b""[..]));
    assert_eq!(buffer.next_line(), None);
    assert_eq!(buffer.len(), "rest".len());
}

/// Guards against a head without end, which is parsed anew with each piece.
#[test]
fn a_response_head_is_limited_to_16_kilobytes() {
    let text = format!("{HEAD}X-Filler: {}", "x".repeat(16 << 10));
    assert!(decode_seqs(&text, 4096).is_err());
}
