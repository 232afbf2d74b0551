//! The codec of the PostgreSQL protocol 3.0, limited to the messages that clients of a dispatcher use.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use sedgebeam_port::Page;
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// Bound on the length of a startup packet.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Initial capacity of a connection's read buffer. A longer message gets a buffer of its own length, which is released
/// with the message.
pub const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Bound on the encoded length of a group of rows, unless it is a single row.
const MAX_ROW_GROUP_BYTES: usize = 8 * 1024;
/// The number of columns of every result.
pub const COLUMN_COUNT: usize = 3;
/// Bytes that a DataRow adds to the text of its row: type, length, number of columns, and the length of each column.
const DATA_ROW_OVERHEAD_BYTES: usize = 1 + 4 + 2 + COLUMN_COUNT * 4;

const PROTOCOL_3: u32 = 3 << 16;
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST_CODE: u32 = 80_877_104;

/// A message from a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientMessage {
    Startup,
    /// A request for SSL or GSSAPI encryption.
    EncryptionRequest,
    /// A request to cancel the query of the session with this key.
    CancelRequest(u64),
    Query(Bytes),
    Sync,
    Terminate,
    /// Any other message, by its type byte.
    Other(u8),
}

/// A message, or a group of messages, to a client.
#[derive(Clone, Debug)]
pub enum ServerMessage {
    EncryptionRefused,
    /// The end of the startup: authentication, parameters, the session's key, and ReadyForQuery.
    SessionStart(u64),
    RowDescription,
    DataRows(Page),
    /// The result is complete; it has this many rows.
    CommandComplete(u64),
    EmptyQueryResponse,
    ErrorResponse(ErrorFields),
    ReadyForQuery,
}

/// The fields of an ErrorResponse.
#[derive(Clone, Debug)]
pub struct ErrorFields {
    /// The SQLSTATE code.
    pub code: &'static str,
    pub message: String,
    pub hint: Option<String>,
}

/// Decodes the messages of one connection and encodes the answers.
pub struct PgCodec {
    /// The startup packet has been read.
    is_started: bool,
    /// Bound on the length of a message after the startup.
    max_message_bytes: usize,
}

fn invalid_data(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

impl PgCodec {
    pub fn new(max_message_bytes: usize) -> PgCodec {
        let is_started = false;
        PgCodec {
            is_started,
            max_message_bytes,
        }
    }

    /// Changes the bound on the length of the messages that follow the startup.
    pub fn set_max_message_bytes(&mut self, max_message_bytes: usize) {
        self.max_message_bytes = max_message_bytes;
    }

    fn decode_message(&mut self, message_type: u8, body: &[u8]) -> io::Result<ClientMessage> {
        if !self.is_started {
            return self.decode_startup(body);
        }
        Ok(match message_type {
            b'Q' => {
                let end = body.iter().position(|byte| *byte == 0);
                let end = end.ok_or_else(|| invalid_data("a query without end"))?;
                // A slice would keep the whole read buffer for as long as the statement waits.
                ClientMessage::Query(Bytes::copy_from_slice(&body[..end]))
            }
            b'S' => ClientMessage::Sync,
            b'X' => ClientMessage::Terminate,
            other => ClientMessage::Other(other),
        })
    }

    fn decode_startup(&mut self, mut body: &[u8]) -> io::Result<ClientMessage> {
        let code = body
            .try_get_u32()
            .map_err(|_| invalid_data("a start without a version"))?;
        Ok(match code {
            SSL_REQUEST_CODE | GSS_ENCRYPTION_REQUEST_CODE => ClientMessage::EncryptionRequest,
            CANCEL_REQUEST_CODE => ClientMessage::CancelRequest(
                body.try_get_u64()
                    .map_err(|_| invalid_data("a cancel without key"))?,
            ),
            code if code >> 16 == PROTOCOL_3 >> 16 => {
                self.is_started = true;
                ClientMessage::Startup
            }
            _ => return Err(invalid_data("not protocol 3")),
        })
    }
}

impl Decoder for PgCodec {
    type Item = ClientMessage;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<ClientMessage>> {
        // The startup packet has no type byte.
        let (type_bytes, max_length) = if self.is_started {
            (1, self.max_message_bytes)
        } else {
            (0, MAX_STARTUP_BYTES)
        };
        let Some(length) = bytes.get(type_bytes..type_bytes + 4) else {
            return Ok(None);
        };
        let length = length
            .iter()
            .fold(0usize, |sum, byte| sum << 8 | usize::from(*byte));
        if !(4..=max_length).contains(&length) {
            return Err(invalid_data("a message of an impossible length"));
        }
        let total_length = type_bytes + length;
        if bytes.len() < total_length {
            grow_to(bytes, total_length);
            return Ok(None);
        }
        let message = self.decode_message(bytes[0], &bytes[type_bytes + 4..total_length])?;
        bytes.advance(total_length);
        if total_length > READ_BUFFER_BYTES {
            release_large_buffer(bytes);
        }
        Ok(Some(message))
    }
}

/// Makes room for a message of this length, and for no more than that: `reserve` alone may double the buffer.
fn grow_to(bytes: &mut BytesMut, length: usize) {
    if length > bytes.capacity() {
        let mut grown = BytesMut::with_capacity(length.max(READ_BUFFER_BYTES));
        grown.extend_from_slice(bytes);
        *bytes = grown;
    }
}

/// Replaces a buffer that has grown for one message; the bytes of the next message are kept.
fn release_large_buffer(bytes: &mut BytesMut) {
    let mut released = BytesMut::with_capacity(READ_BUFFER_BYTES.max(bytes.len()));
    released.extend_from_slice(bytes);
    *bytes = released;
}

/// Splits a page into groups of whole rows, so that its encoding is never in memory as a whole: a session would keep a
/// write buffer of that size.
pub fn row_groups(page: &Page) -> impl Iterator<Item = Page> {
    let (rows, is_last) = (page.rows.clone(), page.is_last);
    let mut start = 0;
    std::iter::from_fn(move || {
        let length = row_group_length(&rows[start..]);
        if length == 0 {
            return None;
        }
        let group = rows.slice(start..start + length);
        start += length;
        Some(Page {
            rows: group,
            is_last: is_last && start == rows.len(),
        })
    })
}

/// The length of the first group of rows; zero if there is no complete row.
fn row_group_length(rows: &[u8]) -> usize {
    let (mut length, mut encoded_bytes) = (0, 0);
    for row in rows.split_inclusive(|byte| *byte == b'\n') {
        encoded_bytes += row.len() + DATA_ROW_OVERHEAD_BYTES;
        let is_complete = row.ends_with(b"\n");
        if !is_complete || (length > 0 && encoded_bytes > MAX_ROW_GROUP_BYTES) {
            break;
        }
        length += row.len();
    }
    length
}

/// Writes a message: its type, its length and its body.
fn put_message(bytes: &mut BytesMut, message_type: u8, body: impl FnOnce(&mut BytesMut)) {
    bytes.put_u8(message_type);
    let start = bytes.len();
    bytes.put_u32(0);
    body(bytes);
    let length = (bytes.len() - start) as u32;
    bytes[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Writes a string with the zero byte that ends it.
fn put_string(bytes: &mut BytesMut, text: &str) {
    bytes.put_slice(text.as_bytes());
    bytes.put_u8(0);
}

/// Writes a row of text columns from a tab-separated line; missing columns are null.
fn put_data_row(bytes: &mut BytesMut, line: &[u8]) {
    put_message(bytes, b'D', |bytes| {
        bytes.put_u16(COLUMN_COUNT as u16);
        let mut values = line.splitn(COLUMN_COUNT, |byte| *byte == b'\t');
        for _ in 0..COLUMN_COUNT {
            match values.next() {
                Some(value) => {
                    bytes.put_u32(value.len() as u32);
                    bytes.put_slice(value);
                }
                None => bytes.put_i32(-1),
            }
        }
    });
}

fn put_row_description(bytes: &mut BytesMut) {
    put_message(bytes, b'T', |bytes| {
        bytes.put_u16(COLUMN_COUNT as u16);
        for column in 1..=COLUMN_COUNT {
            put_string(bytes, &format!("column{column}"));
            // No table OID and no column number; type text (OID 25) of variable size, no modifier, text format.
            bytes.put_u32(0);
            bytes.put_u16(0);
            bytes.put_u32(25);
            bytes.put_i16(-1);
            bytes.put_i32(-1);
            bytes.put_u16(0);
        }
    });
}

fn put_session_start(bytes: &mut BytesMut, key: u64) {
    put_message(bytes, b'R', |bytes| bytes.put_u32(0));
    let parameters = [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        put_message(bytes, b'S', |bytes| {
            put_string(bytes, name);
            put_string(bytes, value);
        });
    }
    put_message(bytes, b'K', |bytes| bytes.put_u64(key));
    put_ready_for_query(bytes);
}

fn put_ready_for_query(bytes: &mut BytesMut) {
    put_message(bytes, b'Z', |bytes| bytes.put_u8(b'I'));
}

fn put_error(bytes: &mut BytesMut, error: &ErrorFields) {
    put_message(bytes, b'E', |bytes| {
        let fields = [
            (b'S', "ERROR"),
            (b'V', "ERROR"),
            (b'C', error.code),
            (b'M', error.message.as_str()),
        ];
        let hint = error.hint.as_deref().map(|hint| (b'H', hint));
        for (field, value) in fields.into_iter().chain(hint) {
            bytes.put_u8(field);
            put_string(bytes, value);
        }
        bytes.put_u8(0);
    });
}

impl Encoder<ServerMessage> for PgCodec {
    type Error = io::Error;

    fn encode(&mut self, message: ServerMessage, bytes: &mut BytesMut) -> io::Result<()> {
        match message {
            ServerMessage::EncryptionRefused => bytes.put_u8(b'N'),
            ServerMessage::SessionStart(key) => put_session_start(bytes, key),
            ServerMessage::RowDescription => put_row_description(bytes),
            ServerMessage::DataRows(page) => {
                let lines = page.rows.split(|byte| *byte == b'\n');
                // Text after the last line feed is not a row.
                let row_count = page.rows.iter().filter(|byte| **byte == b'\n').count();
                lines
                    .take(row_count)
                    .for_each(|line| put_data_row(bytes, line));
            }
            ServerMessage::CommandComplete(rows) => {
                put_message(bytes, b'C', |bytes| {
                    put_string(bytes, &format!("SELECT {rows}"))
                });
            }
            ServerMessage::EmptyQueryResponse => put_message(bytes, b'I', |_| {}),
            ServerMessage::ErrorResponse(error) => put_error(bytes, &error),
            ServerMessage::ReadyForQuery => put_ready_for_query(bytes),
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn decode(is_started: bool, bytes: &[u8]) -> io::Result<Option<ClientMessage>> {
        let max_message_bytes = 4096;
        PgCodec {
            is_started,
            max_message_bytes,
        }
        .decode(&mut BytesMut::from(bytes))
    }

    #[test]
    fn a_startup_with_a_first_query_is_decoded_wherever_the_stream_is_split() {
        let input = b"\0\0\0\x09\0\x03\0\0\0Q\0\0\0\x06;\0X\0\0\0\x04";
        let query = ClientMessage::Query(Bytes::from_static(b";"));
        for first_split in 0..input.len() {
            for second_split in first_split..input.len() {
                let (mut codec, mut bytes, mut messages) =
                    (PgCodec::new(4096), BytesMut::new(), Vec::new());
                for piece in [
                    &input[..first_split],
                    &input[first_split..second_split],
                    &input[second_split..],
                ] {
                    bytes.extend_from_slice(piece);
                    while let Some(message) = codec.decode(&mut bytes).expect("the input is valid")
                    {
                        messages.push(message);
                    }
                }
                assert_eq!(
                    messages,
                    [
                        ClientMessage::Startup,
                        query.clone(),
                        ClientMessage::Terminate
                    ]
                );
            }
        }
    }

    #[test]
    fn malformed_input_is_an_error_and_never_an_endless_wait() {
        for (is_started, bytes) in [
            (false, &b"\0\0\0\x03"[..]),
            (false, b"\x7f\0\0\0"),
            (false, b"\0\0\0\x06\0\x03"),
            (false, b"\0\0\0\x08\0\x02\0\0"),
            (false, b"\0\0\0\x08\x04\xd2\x16\x2e"),
            (true, b"Q\0\0\0\0"),
            (true, b"Q\x7f\xff\xff\xff"),
            (true, b"Q\0\0\0\x05x"),
        ] {
            assert!(decode(is_started, bytes).is_err(), "{bytes:?}");
        }
        assert_eq!(
            decode(true, b"Q\0\0").expect("an incomplete message is no error"),
            None
        );
    }

    #[test]
    fn every_row_has_three_columns_whatever_its_line_contains() {
        let page = |rows: &'static [u8]| Page {
            rows: Bytes::from_static(rows),
            is_last: true,
        };
        for (rows, expected) in [
            (&b""[..], 0),
            (b"a\tb\tc\n", 1),
            (b"a\n\n", 2),
            (b"a\tb\tc\td\ncut", 1),
        ] {
            let mut bytes = BytesMut::new();
            PgCodec::new(4096)
                .encode(ServerMessage::DataRows(page(rows)), &mut bytes)
                .expect("the page is encoded");
            let mut row_count = 0;
            while !bytes.is_empty() {
                assert_eq!(&bytes[5..7], &[0, 3]);
                let length = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
                bytes.advance(1 + length as usize);
                row_count += 1;
            }
            assert_eq!(row_count, expected, "{rows:?}");
        }
    }
}
