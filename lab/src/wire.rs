//! The bytes of both wires, as a client and an engine need them: written from the public pages of the
//! PostgreSQL protocol and of RESP, and not shared with the program that is measured.

use bytes::{Buf, BufMut, BytesMut};
use std::io;

/// The start of a session.
pub fn startup() -> BytesMut {
    let body = b"user\0app\0database\0main\0\0";
    let mut bytes = BytesMut::new();
    bytes.put_u32(body.len() as u32 + 8);
    bytes.put_u32(3 << 16);
    bytes.put_slice(body);
    bytes
}

pub fn query(text: &str) -> BytesMut {
    let mut bytes = BytesMut::new();
    bytes.put_u8(b'Q');
    bytes.put_u32(text.len() as u32 + 5);
    bytes.put_slice(text.as_bytes());
    bytes.put_u8(0);
    bytes
}

/// A request, on a connection of its own, to cancel what the session of this key has under way.
pub fn cancel(key: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::new();
    bytes.put_u32(8 + key.len() as u32);
    bytes.put_u32(80_877_102);
    bytes.put_slice(key);
    bytes
}

fn spoilt(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// A message of the server, whole: its kind and its body.
pub fn message(bytes: &mut BytesMut) -> io::Result<Option<(u8, BytesMut)>> {
    let Some(mut head) = bytes.get(..5) else {
        return Ok(None);
    };
    let kind = head.get_u8();
    let length = head.get_u32() as usize;
    if !(4..=1 << 24).contains(&length) {
        return Err(spoilt("a message of an impossible length"));
    }
    if bytes.len() < length + 1 {
        return Ok(None);
    }
    let mut body = bytes.split_to(length + 1);
    body.advance(5);
    Ok(Some((kind, body)))
}

/// The SQLSTATE in an error's body.
pub fn sqlstate(body: &[u8]) -> &[u8] {
    let fields = body.split(|byte| *byte == 0);
    let code = fields.filter_map(|field| field.strip_prefix(b"C"));
    code.into_iter().next().unwrap_or_default()
}

/// One array of bulk strings, whole.
pub fn array(bytes: &mut BytesMut) -> io::Result<Option<Vec<BytesMut>>> {
    let Some((count, mut at)) = number(bytes, 0, b'*')? else {
        return Ok(None);
    };
    let mut places = Vec::new();
    for _ in 0..count.min(16) {
        let Some((length, start)) = number(bytes, at, b'$')? else {
            return Ok(None);
        };
        if length > 1 << 20 {
            return Err(spoilt("a string of an impossible length"));
        }
        at = start + length + 2;
        if bytes.len() < at {
            return Ok(None);
        }
        places.push(start..start + length);
    }
    let whole = bytes.split_to(at);
    Ok(Some(
        places
            .into_iter()
            .map(|place| BytesMut::from(&whole[place]))
            .collect(),
    ))
}

/// A number behind its mark, and where what follows its line begins.
fn number(bytes: &[u8], at: usize, mark: u8) -> io::Result<Option<(usize, usize)>> {
    let rest = &bytes[at.min(bytes.len())..];
    let Some(end) = rest.iter().position(|byte| *byte == b'\n') else {
        return if rest.len() > 32 {
            Err(spoilt("a number without end"))
        } else {
            Ok(None)
        };
    };
    let text = rest[..end]
        .strip_prefix(&[mark])
        .ok_or_else(|| spoilt("not the mark expected"))?;
    let text = std::str::from_utf8(text).map_err(|_| spoilt("a number that is none"))?;
    let number = text
        .trim()
        .parse()
        .map_err(|_| spoilt("a number that is none"))?;
    Ok(Some((number, at + end + 1)))
}

/// Appends an array of bulk strings.
pub fn put_array(bytes: &mut BytesMut, parts: &[&[u8]]) {
    bytes.put_slice(format!("*{}\r\n", parts.len()).as_bytes());
    for part in parts {
        bytes.put_slice(format!("${}\r\n", part.len()).as_bytes());
        bytes.put_slice(part);
        bytes.put_slice(b"\r\n");
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn arrays_are_read_however_they_are_cut() {
        let mut whole = BytesMut::new();
        put_array(&mut whole, &[b"fetch", b"01", b"-", b"SELECT\r\n1"]);
        put_array(&mut whole, &[b"done", b"01"]);
        for cut in 0..whole.len() {
            let mut bytes = BytesMut::from(&whole[..cut]);
            let mut read = Vec::new();
            while let Some(array) = array(&mut bytes).expect("sound") {
                read.push(array.len());
            }
            bytes.put_slice(&whole[cut..]);
            while let Some(array) = array(&mut bytes).expect("sound") {
                read.push(array.len());
            }
            assert_eq!(read, [4, 2], "cut at {cut}");
        }
        for wrong in [
            "+OK\r\n",
            "*x\r\n",
            "*1\r\n$99999999999\r\n",
            "*111111111111111111111111111111111",
        ] {
            assert!(array(&mut BytesMut::from(wrong)).is_err(), "{wrong}");
        }
    }

    #[test]
    fn messages_of_a_server_are_read_whole_and_an_errors_code_is_found() {
        let mut bytes = BytesMut::new();
        let body = b"SERROR\0C53300\0Mtoo busy\0\0";
        bytes.put_u8(b'E');
        bytes.put_u32(body.len() as u32 + 4);
        bytes.put_slice(body);
        let cut = bytes.split_off(9);
        assert_eq!(message(&mut bytes).expect("sound"), None);
        bytes.unsplit(cut);
        let (kind, body) = message(&mut bytes).expect("sound").expect("whole");
        assert_eq!((kind, sqlstate(&body)), (b'E', &b"53300"[..]));
        assert!(message(&mut BytesMut::from(&[b'Z', 0xff, 0xff, 0xff, 0xff][..])).is_err());
    }
}
