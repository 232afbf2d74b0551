//! The PostgreSQL protocol 3.0, as far as clients of a dispatcher speak it.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use sedgebeam_port::Page;
use std::io;
use tokio_util::codec::{Decoder, Encoder};

const MOST_STARTUP: usize = 10_000;
/// Columns of every result.
pub const COLUMNS: usize = 3;

const PROTOCOL_3: u32 = 3 << 16;
const CANCEL: u32 = 80_877_102;
const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;

/// What a client says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    Startup,
    /// Asks for encryption of either kind.
    Encrypt,
    Cancel(u64),
    Query(Bytes),
    Sync,
    Terminate,
    Other(u8),
}

/// What a client is told.
#[derive(Clone, Debug)]
pub enum Say {
    NoEncryption,
    /// The start is over: the session's key, and ready.
    Welcome(u64),
    Columns,
    Rows(Page),
    Complete(u64),
    Empty,
    Error(Error),
    Ready,
}

#[derive(Clone, Debug)]
pub struct Error {
    pub code: &'static str,
    pub message: String,
    pub hint: Option<String>,
}

pub struct Pg {
    started: bool,
    /// The longest message that a client may send.
    most: usize,
}

fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

impl Pg {
    pub fn new(most: usize) -> Pg {
        let started = false;
        Pg { started, most }
    }

    fn startup(&mut self, mut body: Bytes) -> io::Result<Said> {
        let code = body
            .try_get_u32()
            .map_err(|_| invalid("a start without a version"))?;
        Ok(match code {
            SSL | GSS => Said::Encrypt,
            CANCEL => Said::Cancel(
                body.try_get_u64()
                    .map_err(|_| invalid("a cancel without key"))?,
            ),
            code if code >> 16 == PROTOCOL_3 >> 16 => {
                self.started = true;
                Said::Startup
            }
            _ => return Err(invalid("not protocol 3")),
        })
    }
}

impl Decoder for Pg {
    type Item = Said;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<Said>> {
        let (head, most) = if self.started {
            (1, self.most)
        } else {
            (0, MOST_STARTUP)
        };
        let Some(length) = bytes.get(head..head + 4) else {
            return Ok(None);
        };
        let length = length
            .iter()
            .fold(0usize, |sum, byte| sum << 8 | usize::from(*byte));
        if !(4..=most).contains(&length) {
            return Err(invalid("a message of an impossible length"));
        }
        if bytes.len() < head + length {
            bytes.reserve(head + length - bytes.len());
            return Ok(None);
        }
        let mut message = bytes.split_to(head + length).freeze();
        let kind = message[0];
        message.advance(head + 4);
        if !self.started {
            return self.startup(message).map(Some);
        }
        Ok(Some(match kind {
            b'Q' => {
                let end = message.iter().position(|byte| *byte == 0);
                Said::Query(message.slice(..end.ok_or_else(|| invalid("a query without end"))?))
            }
            b'S' => Said::Sync,
            b'X' => Said::Terminate,
            other => Said::Other(other),
        }))
    }
}

/// Writes a message: its kind, its length, and its body.
fn message(bytes: &mut BytesMut, kind: u8, body: impl FnOnce(&mut BytesMut)) {
    bytes.put_u8(kind);
    let start = bytes.len();
    bytes.put_u32(0);
    body(bytes);
    let length = (bytes.len() - start) as u32;
    bytes[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn text(bytes: &mut BytesMut, text: &str) {
    bytes.put_slice(text.as_bytes());
    bytes.put_u8(0);
}

/// A row of text columns; what is missing is null.
fn row(bytes: &mut BytesMut, line: &[u8]) {
    message(bytes, b'D', |bytes| {
        bytes.put_u16(COLUMNS as u16);
        let mut cells = line.splitn(COLUMNS, |byte| *byte == b'\t');
        for _ in 0..COLUMNS {
            match cells.next() {
                Some(cell) => {
                    bytes.put_u32(cell.len() as u32);
                    bytes.put_slice(cell);
                }
                None => bytes.put_i32(-1),
            }
        }
    });
}

fn columns(bytes: &mut BytesMut) {
    message(bytes, b'T', |bytes| {
        bytes.put_u16(COLUMNS as u16);
        for column in 1..=COLUMNS {
            text(bytes, &format!("column{column}"));
            // No table, no column of one; text, of any length, without modifier, in text format.
            bytes.put_u32(0);
            bytes.put_u16(0);
            bytes.put_u32(25);
            bytes.put_i16(-1);
            bytes.put_i32(-1);
            bytes.put_u16(0);
        }
    });
}

fn welcome(bytes: &mut BytesMut, key: u64) {
    message(bytes, b'R', |bytes| bytes.put_u32(0));
    let told = [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in told {
        message(bytes, b'S', |bytes| {
            text(bytes, name);
            text(bytes, value);
        });
    }
    message(bytes, b'K', |bytes| bytes.put_u64(key));
    ready(bytes);
}

fn ready(bytes: &mut BytesMut) {
    message(bytes, b'Z', |bytes| bytes.put_u8(b'I'));
}

fn error(bytes: &mut BytesMut, error: &Error) {
    message(bytes, b'E', |bytes| {
        let fields = [
            (b'S', "ERROR"),
            (b'V', "ERROR"),
            (b'C', error.code),
            (b'M', error.message.as_str()),
        ];
        let hint = error.hint.as_deref().map(|hint| (b'H', hint));
        for (field, value) in fields.into_iter().chain(hint) {
            bytes.put_u8(field);
            text(bytes, value);
        }
        bytes.put_u8(0);
    });
}

impl Encoder<Say> for Pg {
    type Error = io::Error;

    fn encode(&mut self, say: Say, bytes: &mut BytesMut) -> io::Result<()> {
        match say {
            Say::NoEncryption => bytes.put_u8(b'N'),
            Say::Welcome(key) => welcome(bytes, key),
            Say::Columns => columns(bytes),
            Say::Rows(page) => {
                let lines = page.rows.split(|byte| *byte == b'\n');
                // Behind the last line feed stands no row.
                let whole = page.rows.iter().filter(|byte| **byte == b'\n').count();
                lines.take(whole).for_each(|line| row(bytes, line));
            }
            Say::Complete(rows) => {
                message(bytes, b'C', |bytes| text(bytes, &format!("SELECT {rows}")));
            }
            Say::Empty => message(bytes, b'I', |_| {}),
            Say::Error(told) => error(bytes, &told),
            Say::Ready => ready(bytes),
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn decode(started: bool, bytes: &[u8]) -> io::Result<Option<Said>> {
        let most = 4096;
        Pg { started, most }.decode(&mut BytesMut::from(bytes))
    }

    #[test]
    fn the_first_query_may_come_with_the_start_and_all_cut_at_any_byte() {
        let whole = b"\0\0\0\x09\0\x03\0\0\0Q\0\0\0\x06;\0X\0\0\0\x04";
        let query = Said::Query(Bytes::from_static(b";"));
        for first in 0..whole.len() {
            for second in first..whole.len() {
                let (mut codec, mut bytes, mut said) = (Pg::new(4096), BytesMut::new(), Vec::new());
                for piece in [&whole[..first], &whole[first..second], &whole[second..]] {
                    bytes.extend_from_slice(piece);
                    while let Some(message) = codec.decode(&mut bytes).expect("is read") {
                        said.push(message);
                    }
                }
                assert_eq!(said, [Said::Startup, query.clone(), Said::Terminate]);
            }
        }
    }

    #[test]
    fn what_is_malformed_is_an_error_and_never_a_wait_without_end() {
        for (started, bytes) in [
            (false, &b"\0\0\0\x03"[..]),
            (false, b"\x7f\0\0\0"),
            (false, b"\0\0\0\x06\0\x03"),
            (false, b"\0\0\0\x08\0\x02\0\0"),
            (false, b"\0\0\0\x08\x04\xd2\x16\x2e"),
            (true, b"Q\0\0\0\0"),
            (true, b"Q\x7f\xff\xff\xff"),
            (true, b"Q\0\0\0\x05x"),
        ] {
            assert!(decode(started, bytes).is_err(), "{bytes:?}");
        }
        assert_eq!(decode(true, b"Q\0\0").expect("is no error"), None);
    }

    #[test]
    fn rows_have_three_columns_whatever_a_line_holds() {
        let page = |rows: &'static [u8]| Page {
            rows: Bytes::from_static(rows),
            is_last: true,
        };
        for (rows, count) in [
            (&b""[..], 0),
            (b"a\tb\tc\n", 1),
            (b"a\n\n", 2),
            (b"a\tb\tc\td\ncut", 1),
        ] {
            let mut bytes = BytesMut::new();
            Pg::new(4096)
                .encode(Say::Rows(page(rows)), &mut bytes)
                .expect("encodes");
            let mut found = 0;
            while !bytes.is_empty() {
                assert_eq!(&bytes[5..7], &[0, 3]);
                let length = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
                bytes.advance(1 + length as usize);
                found += 1;
            }
            assert_eq!(found, count, "{rows:?}");
        }
    }
}
