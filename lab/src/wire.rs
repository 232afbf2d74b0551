//! The parts of the PostgreSQL protocol and of RESP that a test client and a mock engine need. Implemented from
//! the public specifications, independently of the dispatcher's code.

use bytes::{Buf, BufMut, BytesMut};
use std::io;

/// A startup message.
pub fn startup() -> BytesMut {
    let body = b"user\0app\0database\0main\0\0";
    let mut bytes = BytesMut::new();
    bytes.put_u32(body.len() as u32 + 8);
    bytes.put_u32(3 << 16);
    bytes.put_slice(body);
    bytes
}

/// A simple query.
pub fn query(text: &str) -> BytesMut {
    let mut bytes = BytesMut::new();
    bytes.put_u8(b'Q');
    bytes.put_u32(text.len() as u32 + 5);
    bytes.put_slice(text.as_bytes());
    bytes.put_u8(0);
    bytes
}

/// A cancel request for the running query of the session with this key, to be sent on a separate connection.
pub fn cancel(key: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::new();
    bytes.put_u32(8 + key.len() as u32);
    bytes.put_u32(80_877_102);
    bytes.put_slice(key);
    bytes
}

fn invalid_data(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// Takes a complete server message: its type and body. `None` if it has not arrived completely.
pub fn message(bytes: &mut BytesMut) -> io::Result<Option<(u8, BytesMut)>> {
    let Some(mut header) = bytes.get(..5) else {
        return Ok(None);
    };
    let message_type = header.get_u8();
    let length = header.get_u32() as usize;
    if !(4..=1 << 24).contains(&length) {
        return Err(invalid_data("message length is out of range"));
    }
    if bytes.len() < length + 1 {
        return Ok(None);
    }
    let mut body = bytes.split_to(length + 1);
    body.advance(5);
    Ok(Some((message_type, body)))
}

/// The SQLSTATE in the body of an error message; empty if it has none.
pub fn sqlstate(body: &[u8]) -> &[u8] {
    let fields = body.split(|byte| *byte == 0);
    let code = fields.filter_map(|field| field.strip_prefix(b"C"));
    code.into_iter().next().unwrap_or_default()
}

/// Takes a complete array of bulk strings. `None` if it has not arrived completely.
pub fn array(bytes: &mut BytesMut) -> io::Result<Option<Vec<BytesMut>>> {
    let Some((count, mut position)) = number(bytes, 0, b'*')? else {
        return Ok(None);
    };
    let mut ranges = Vec::new();
    for _ in 0..count.min(16) {
        let Some((length, start)) = number(bytes, position, b'$')? else {
            return Ok(None);
        };
        if length > 1 << 20 {
            return Err(invalid_data("bulk string is too long"));
        }
        position = start + length + 2;
        if bytes.len() < position {
            return Ok(None);
        }
        ranges.push(start..start + length);
    }
    let encoded = bytes.split_to(position);
    Ok(Some(
        ranges
            .into_iter()
            .map(|range| BytesMut::from(&encoded[range]))
            .collect(),
    ))
}

/// Parses the line of a number after its type marker. Returns the number and the position after the line.
fn number(bytes: &[u8], start: usize, marker: u8) -> io::Result<Option<(usize, usize)>> {
    let rest = &bytes[start.min(bytes.len())..];
    let Some(end) = rest.iter().position(|byte| *byte == b'\n') else {
        return if rest.len() > 32 {
            Err(invalid_data("number is not terminated"))
        } else {
            Ok(None)
        };
    };
    let text = rest[..end]
        .strip_prefix(&[marker])
        .ok_or_else(|| invalid_data("unexpected type marker"))?;
    let text = std::str::from_utf8(text).map_err(|_| invalid_data("number is malformed"))?;
    let number = text
        .trim()
        .parse()
        .map_err(|_| invalid_data("number is malformed"))?;
    Ok(Some((number, start + end + 1)))
}

/// Appends an array of bulk strings.
pub fn put_array(bytes: &mut BytesMut, elements: &[&[u8]]) {
    bytes.put_slice(format!("*{}\r\n", elements.len()).as_bytes());
    for element in elements {
        bytes.put_slice(format!("${}\r\n", element.len()).as_bytes());
        bytes.put_slice(element);
        bytes.put_slice(b"\r\n");
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn arrays_are_parsed_at_any_split() {
        let mut encoded = BytesMut::new();
        put_array(&mut encoded, &[b"fetch", b"01", b"-", b"SELECT\r\n1"]);
        put_array(&mut encoded, &[b"done", b"01"]);
        for split in 0..encoded.len() {
            let mut bytes = BytesMut::from(&encoded[..split]);
            let mut lengths = Vec::new();
            while let Some(array) = array(&mut bytes).expect("valid input") {
                lengths.push(array.len());
            }
            bytes.put_slice(&encoded[split..]);
            while let Some(array) = array(&mut bytes).expect("valid input") {
                lengths.push(array.len());
            }
            assert_eq!(lengths, [4, 2], "split at {split}");
        }
        for malformed in [
            "+OK\r\n",
            "*x\r\n",
            "*1\r\n$99999999999\r\n",
            "*111111111111111111111111111111111",
        ] {
            assert!(
                array(&mut BytesMut::from(malformed)).is_err(),
                "{malformed}"
            );
        }
    }

    #[test]
    fn server_messages_are_returned_when_complete_and_the_sqlstate_is_extracted() {
        let mut bytes = BytesMut::new();
        let body = b"SERROR\0C53300\0Mtoo busy\0\0";
        bytes.put_u8(b'E');
        bytes.put_u32(body.len() as u32 + 4);
        bytes.put_slice(body);
        let rest = bytes.split_off(9);
        assert_eq!(message(&mut bytes).expect("valid input"), None);
        bytes.unsplit(rest);
        let (message_type, body) = message(&mut bytes)
            .expect("valid input")
            .expect("a complete message");
        assert_eq!((message_type, sqlstate(&body)), (b'E', &b"53300"[..]));
        assert!(message(&mut BytesMut::from(&[b'Z', 0xff, 0xff, 0xff, 0xff][..])).is_err());
    }
}
