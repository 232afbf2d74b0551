//! Codec of the RESP protocol of engines: commands are encoded to, and answers decoded from, arrays of bulk strings.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use sedgebeam_core::{LoadReport, Note, RequestId};
use sedgebeam_port::Attempt;
use std::io;
use std::ops::RangeInclusive;
use tokio_util::codec::{Decoder, Encoder};

/// Bounds on the parts of an answer: id, status word, fields, and page. A longer part is rejected as soon as its length
/// is read, before its bytes arrive.
const MAX_BULK_BYTES: [usize; 4] = [64, 16, 1024, 6000];
/// Bound on a line with the length of an array or of a bulk string.
const MAX_LENGTH_LINE_BYTES: usize = 16;
/// Bound on the pages of a result, which has up to 48,000 bytes; two consecutive pages together have more than 6,000.
pub const MAX_PAGES: u32 = 17;
const COLUMNS_PER_ROW: usize = 3;

/// A command to an engine.
#[derive(Clone, Debug)]
pub enum Command {
    /// Starts an attempt.
    Fetch(Attempt),
    Abort(RequestId),
    /// Changes the priority of a request.
    Reprioritize(RequestId, u8),
    /// Requests the page with this index.
    More(RequestId, u32),
    /// No further pages of the result will be requested.
    Done(RequestId),
    /// A probe with this tag.
    Stats(u64),
    /// Sends nothing; makes the connection check which queued attempts may no longer start.
    RecheckQueue,
}

/// The subject of an answer, according to its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplySubject {
    Request(RequestId),
    ProbeTag(u64),
    /// The id has neither form, so nothing was ever sent with it.
    Unknown,
}

/// The content of an answer, by its status word.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplyBody {
    Ok {
        page_count: u32,
        work_ms: Option<f64>,
        load: Option<LoadReport>,
        rows: Bytes,
    },
    /// Rejected without running.
    Busy,
    /// Failed; the request may have run.
    Err,
    /// Never ran.
    Void,
    Note(Option<Note>),
    Rows {
        page: u32,
        rows: Bytes,
    },
    /// The answer to a probe: the engine is up.
    Up(Option<LoadReport>),
    /// The answer to a probe: the engine is down.
    Down,
    /// A complete array with invalid content. The connection is abandoned only if the request is in flight on it, since
    /// a malformed answer to another id may precede a valid answer.
    Malformed(String),
}

/// An answer of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub subject: ReplySubject,
    pub body: ReplyBody,
}

/// Encodes commands and decodes answers.
#[derive(Default)]
pub struct RespCodec;

/// The first letter of the id of a probe. It is not a hexadecimal digit, so no request id starts with it.
const PROBE_TAG_PREFIX: char = 'p';

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

fn put_array(bytes: &mut BytesMut, parts: &[&[u8]]) {
    let mut put_length_line = |prefix: u8, length: usize| {
        bytes.put_u8(prefix);
        bytes.put_slice(length.to_string().as_bytes());
        bytes.put_slice(b"\r\n");
    };
    put_length_line(b'*', parts.len());
    for part in parts {
        bytes.put_u8(b'$');
        bytes.put_slice(part.len().to_string().as_bytes());
        bytes.put_slice(b"\r\n");
        bytes.put_slice(part);
        bytes.put_slice(b"\r\n");
    }
}

fn hex(request_id: RequestId) -> String {
    format!("{:016x}", request_id.0)
}

/// Writes the command that starts an attempt, with the time that remains for the attempt now.
pub fn put_fetch(bytes: &mut BytesMut, attempt: &Attempt) {
    let remaining_ms = attempt.remaining_ms();
    let mut fields = format!(
        "kind={},ms={remaining_ms},rank={}",
        attempt.class, attempt.priority
    );
    if let Some(memory_mb) = attempt.memory_grant_mb {
        fields.push_str(&format!(",grant={memory_mb}"));
    }
    for (name, value) in attempt.wire_fields() {
        fields.push_str(&format!(",{name}={value}"));
    }
    let request_id = hex(attempt.request);
    put_array(
        bytes,
        &[
            b"fetch",
            request_id.as_bytes(),
            fields.as_bytes(),
            &attempt.statement,
        ],
    );
}

impl Encoder<Command> for RespCodec {
    type Error = io::Error;

    fn encode(&mut self, command: Command, bytes: &mut BytesMut) -> io::Result<()> {
        let probe_id = |tag: u64| format!("{PROBE_TAG_PREFIX}{tag}");
        match command {
            Command::Fetch(attempt) => put_fetch(bytes, &attempt),
            Command::Abort(request_id) => put_array(bytes, &[b"abort", hex(request_id).as_bytes()]),
            Command::Reprioritize(request_id, priority) => {
                put_array(
                    bytes,
                    &[
                        b"renice",
                        hex(request_id).as_bytes(),
                        priority.to_string().as_bytes(),
                    ],
                );
            }
            Command::More(request_id, page) => {
                put_array(
                    bytes,
                    &[
                        b"more",
                        hex(request_id).as_bytes(),
                        page.to_string().as_bytes(),
                    ],
                );
            }
            Command::Done(request_id) => put_array(bytes, &[b"done", hex(request_id).as_bytes()]),
            Command::RecheckQueue => {}
            Command::Stats(tag) => put_array(bytes, &[b"stats", probe_id(tag).as_bytes()]),
        }
        Ok(())
    }
}

/// Parses a line with a prefix and a length; returns the length and the position after the line, or `None` while the
/// line is incomplete.
fn parse_length_line(
    bytes: &[u8],
    start: usize,
    prefix: u8,
    max_length: usize,
) -> io::Result<Option<(usize, usize)>> {
    let rest = &bytes[start.min(bytes.len())..];
    let Some(end) = rest
        .iter()
        .take(MAX_LENGTH_LINE_BYTES)
        .position(|byte| *byte == b'\n')
    else {
        let is_too_long = rest.len() >= MAX_LENGTH_LINE_BYTES;
        return if is_too_long {
            Err(invalid("a length line is too long"))
        } else {
            Ok(None)
        };
    };
    let line = rest[..end].strip_suffix(b"\r").unwrap_or(&rest[..end]);
    let digits = line
        .strip_prefix(&[prefix])
        .ok_or_else(|| invalid("an answer is not an array of bulk strings"))?;
    let digits = std::str::from_utf8(digits).map_err(|_| invalid("a length is not a number"))?;
    let length: usize = digits
        .parse()
        .map_err(|_| invalid("a length is not a number"))?;
    if length > max_length {
        return Err(invalid("a length exceeds its limit"));
    }
    Ok(Some((length, start + end + 1)))
}

/// The byte ranges of the parts of an array, and the length of the encoded array.
type Frame = (Vec<(usize, usize)>, usize);

/// Parses the next array; `None` while it is incomplete.
fn parse_frame(bytes: &[u8]) -> io::Result<Option<Frame>> {
    let Some((part_count, mut position)) = parse_length_line(bytes, 0, b'*', MAX_BULK_BYTES.len())?
    else {
        return Ok(None);
    };
    let mut ranges = Vec::with_capacity(part_count);
    for max_bytes in MAX_BULK_BYTES.into_iter().take(part_count) {
        let Some((length, start)) = parse_length_line(bytes, position, b'$', max_bytes)? else {
            return Ok(None);
        };
        position = start + length + 2;
        if bytes.len() < position {
            return Ok(None);
        }
        if &bytes[position - 2..position] != b"\r\n" {
            return Err(invalid("a bulk string does not end in CRLF"));
        }
        ranges.push((start, start + length));
    }
    Ok(Some((ranges, position)))
}

impl Decoder for RespCodec {
    type Item = Reply;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<Reply>> {
        let Some((ranges, length)) = parse_frame(bytes)? else {
            return Ok(None);
        };
        // A slice would keep the whole read buffer for as long as the result waits for its other pages.
        let frame = Bytes::copy_from_slice(&bytes[..length]);
        bytes.advance(length);
        let part = |index: usize| {
            ranges
                .get(index)
                .map(|(start, end)| frame.slice(*start..*end))
        };
        let (Some(id), Some(status_word)) = (part(0), part(1)) else {
            return Err(invalid("an answer lacks its id or its status word"));
        };
        let fields = part(2).unwrap_or_default();
        let body = Fields::parse(&fields)
            .and_then(|fields| parse_body(&status_word, &fields, part(3).unwrap_or_default()));
        Ok(Some(Reply {
            subject: parse_subject(&id),
            body: body.unwrap_or_else(|error| ReplyBody::Malformed(error.to_string())),
        }))
    }
}

fn parse_subject(id: &[u8]) -> ReplySubject {
    let Ok(id) = std::str::from_utf8(id) else {
        return ReplySubject::Unknown;
    };
    let subject = match id.strip_prefix(PROBE_TAG_PREFIX) {
        Some(tag) => tag.parse().map(ReplySubject::ProbeTag),
        // `from_str_radix` accepts a leading sign, which no id has.
        None if id.len() == 16 && !id.starts_with('+') => {
            u64::from_str_radix(id, 16).map(|id| ReplySubject::Request(RequestId(id)))
        }
        None => return ReplySubject::Unknown,
    };
    subject.unwrap_or(ReplySubject::Unknown)
}

/// Checks that the rows are UTF-8 and that each has its line feed and all its columns. Errors inside a cell can't be
/// detected.
fn check_rows(rows: Bytes) -> io::Result<Bytes> {
    let ends_with_row = rows.is_empty() || rows.ends_with(b"\n");
    let mut lines = rows.split_inclusive(|byte| *byte == b'\n');
    let has_all_columns =
        |line: &[u8]| line.iter().filter(|byte| **byte == b'\t').count() + 1 == COLUMNS_PER_ROW;
    if ends_with_row && lines.all(has_all_columns) && std::str::from_utf8(&rows).is_ok() {
        Ok(rows)
    } else {
        Err(invalid("rows are incomplete or malformed"))
    }
}

fn parse_body(status_word: &[u8], fields: &Fields, rows: Bytes) -> io::Result<ReplyBody> {
    Ok(match status_word {
        b"OK" => ReplyBody::Ok {
            page_count: fields.count("parts", 1..=MAX_PAGES)?,
            work_ms: fields.number("work")?,
            load: fields.load(),
            rows: check_rows(rows)?,
        },
        b"BUSY" => ReplyBody::Busy,
        b"ERR" => ReplyBody::Err,
        b"VOID" => ReplyBody::Void,
        b"NOTE" => ReplyBody::Note(fields.note()),
        b"ROWS" => ReplyBody::Rows {
            page: fields.count("part_no", 1..=MAX_PAGES - 1)?,
            rows: check_rows(rows)?,
        },
        b"UP" => ReplyBody::Up(fields.load()),
        b"DOWN" => ReplyBody::Down,
        _ => return Err(invalid("an answer has an unknown status word")),
    })
}

/// The fields of an answer: `name=value,name=value`, or `-` for none.
struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    fn parse(bytes: &'a [u8]) -> io::Result<Fields<'a>> {
        let text =
            std::str::from_utf8(bytes).map_err(|_| invalid("the fields are not valid UTF-8"))?;
        if text.is_empty() || text == "-" {
            return Ok(Fields(Vec::new()));
        }
        let pairs = text.split(',').map(|pair| pair.split_once('='));
        let pairs: Option<Vec<_>> = pairs.collect();
        pairs
            .map(Fields)
            .ok_or_else(|| invalid("the fields are not name=value pairs"))
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        let field = self.0.iter().find(|(field_name, _)| *field_name == name);
        field.map(|(_, value)| *value)
    }

    /// An optional field, which must be a finite number and not negative.
    fn number(&self, name: &str) -> io::Result<Option<f64>> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        let number = text.parse().ok();
        let number = number.filter(|number: &f64| number.is_finite() && *number >= 0.0);
        number
            .map(Some)
            .ok_or_else(|| invalid("a field is not a number, or it is negative"))
    }

    /// A required field, which must be an integer within `bounds`.
    fn count(&self, name: &str, bounds: RangeInclusive<u32>) -> io::Result<u32> {
        let count = self.text(name).and_then(|text| text.parse().ok());
        count.filter(|count| bounds.contains(count)).ok_or_else(|| {
            let value = self.text(name).unwrap_or("no value");
            invalid(&format!("field {name} is out of range: {value:.40}"))
        })
    }

    fn load(&self) -> Option<LoadReport> {
        let values = self.text("gauges")?.split(';').filter_map(|gauge| {
            let (name, value) = gauge.split_once(':')?;
            Some((name, value.parse().ok()?))
        });
        Some(sedgebeam_settings::load_report(values))
    }

    fn note(&self) -> Option<Note> {
        let value = self.number("value").ok()??;
        Some(match self.text("res")? {
            "p" => Note::Progress(value),
            "s" => Note::Spills(value),
            "w" if value >= 2.0 => Note::WaitsForLoad,
            "w" => Note::WaitsForMemory,
            _ => return None,
        })
    }
}

#[cfg(test)]
mod tests;
