//! RESP arrays of bulk strings, and the commands and answers that they carry.

use bytes::{BufMut, Bytes, BytesMut};
use sedgebeam_core::{LoadReport, Note, RequestId};
use sedgebeam_port::Attempt;
use std::io;
use std::ops::RangeInclusive;
use tokio_util::codec::{Decoder, Encoder};

/// The longest each part of an answer may be: id, word, fields, and a page. What is longer is spoilt, and
/// is not waited for, however much of it is announced.
const MOST_BULK: [usize; 4] = [64, 16, 1024, 6000];
const MOST_LINE: usize = 16;
/// Pages of a result at the most: it holds 48,000 bytes, and two pages in a row more than 6,000.
pub const MOST_PAGES: u32 = 17;
/// Columns of every row.
const COLUMNS: usize = 3;

/// A command to an engine.
#[derive(Clone, Debug)]
pub enum Command {
    Fetch(Attempt),
    Abort(RequestId),
    Renice(RequestId, u8),
    More(RequestId, u32),
    Done(RequestId),
    Stats(u64),
    /// Nothing to the engine: what waits to be written is looked at once more.
    LookAgain,
}

/// What an answer is about: a request, or a probe's tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum About {
    Request(RequestId),
    Tag(u64),
    /// A name that was never given: nothing here belongs to it.
    Nobody,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    Ok {
        parts: u32,
        work: Option<f64>,
        load: Option<LoadReport>,
        rows: Bytes,
    },
    Busy,
    Err,
    Void,
    Note(Option<Note>),
    Rows {
        page: u32,
        rows: Bytes,
    },
    Up(Option<LoadReport>),
    Down,
    /// Whole, but nothing that can be used. It is a fault only of what it is about: an answer that belongs to
    /// nobody may come ahead of a good one.
    Spoilt(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub about: About,
    pub word: Word,
}

#[derive(Default)]
pub struct Resp;

/// Tags of probes start with this letter, which no request's hexadecimal name does.
const TAG: char = 'p';

fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

fn put(bytes: &mut BytesMut, words: &[&[u8]]) {
    let mut number = |mark: u8, value: usize| {
        bytes.put_u8(mark);
        bytes.put_slice(value.to_string().as_bytes());
        bytes.put_slice(b"\r\n");
    };
    number(b'*', words.len());
    for word in words {
        bytes.put_u8(b'$');
        bytes.put_slice(word.len().to_string().as_bytes());
        bytes.put_slice(b"\r\n");
        bytes.put_slice(word);
        bytes.put_slice(b"\r\n");
    }
}

fn hex(id: RequestId) -> String {
    format!("{:016x}", id.0)
}

/// Writes the command that begins an attempt, with the time that is left for it now.
pub fn put_fetch(bytes: &mut BytesMut, attempt: &Attempt) {
    let wait = attempt.remaining_ms();
    let mut fields = format!("kind={},ms={wait},rank={}", attempt.class, attempt.priority);
    if let Some(memory_mb) = attempt.memory_grant_mb {
        fields.push_str(&format!(",grant={memory_mb}"));
    }
    for (name, word) in attempt.wire_fields() {
        fields.push_str(&format!(",{name}={word}"));
    }
    let id = hex(attempt.request);
    put(
        bytes,
        &[
            b"fetch",
            id.as_bytes(),
            fields.as_bytes(),
            &attempt.statement,
        ],
    );
}

impl Encoder<Command> for Resp {
    type Error = io::Error;

    fn encode(&mut self, command: Command, bytes: &mut BytesMut) -> io::Result<()> {
        let tag = |tag: u64| format!("{TAG}{tag}");
        match command {
            Command::Fetch(attempt) => put_fetch(bytes, &attempt),
            Command::Abort(id) => put(bytes, &[b"abort", hex(id).as_bytes()]),
            Command::Renice(id, rank) => {
                put(
                    bytes,
                    &[b"renice", hex(id).as_bytes(), rank.to_string().as_bytes()],
                );
            }
            Command::More(id, page) => {
                put(
                    bytes,
                    &[b"more", hex(id).as_bytes(), page.to_string().as_bytes()],
                );
            }
            Command::Done(id) => put(bytes, &[b"done", hex(id).as_bytes()]),
            Command::LookAgain => {}
            Command::Stats(number) => put(bytes, &[b"stats", tag(number).as_bytes()]),
        }
        Ok(())
    }
}

/// A line that holds a count behind its mark: the count, and where the next byte stands.
fn count(bytes: &[u8], start: usize, mark: u8, most: usize) -> io::Result<Option<(usize, usize)>> {
    let rest = &bytes[start.min(bytes.len())..];
    let Some(end) = rest.iter().take(MOST_LINE).position(|byte| *byte == b'\n') else {
        let endless = rest.len() >= MOST_LINE;
        return if endless {
            Err(invalid("an endless count"))
        } else {
            Ok(None)
        };
    };
    let line = rest[..end].strip_suffix(b"\r").unwrap_or(&rest[..end]);
    let digits = line
        .strip_prefix(&[mark])
        .ok_or_else(|| invalid("not an array of bulk strings"))?;
    let digits = std::str::from_utf8(digits).map_err(|_| invalid("not a count"))?;
    let count: usize = digits.parse().map_err(|_| invalid("not a count"))?;
    if count > most {
        return Err(invalid("a count beyond what an answer may hold"));
    }
    Ok(Some((count, start + end + 1)))
}

/// Where the parts of an array stand, and its whole length.
type Frame = (Vec<(usize, usize)>, usize);

/// The next array, if it has come whole.
fn frame(bytes: &[u8]) -> io::Result<Option<Frame>> {
    let Some((parts, mut at)) = count(bytes, 0, b'*', MOST_BULK.len())? else {
        return Ok(None);
    };
    let mut places = Vec::with_capacity(parts);
    for most in MOST_BULK.into_iter().take(parts) {
        let Some((length, start)) = count(bytes, at, b'$', most)? else {
            return Ok(None);
        };
        at = start + length + 2;
        if bytes.len() < at {
            return Ok(None);
        }
        if &bytes[at - 2..at] != b"\r\n" {
            return Err(invalid("a bulk string without its end"));
        }
        places.push((start, start + length));
    }
    Ok(Some((places, at)))
}

impl Decoder for Resp {
    type Item = Reply;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<Reply>> {
        let Some((places, length)) = frame(bytes)? else {
            return Ok(None);
        };
        let whole = bytes.split_to(length).freeze();
        let part = |index: usize| {
            places
                .get(index)
                .map(|(start, end)| whole.slice(*start..*end))
        };
        let (Some(id), Some(word)) = (part(0), part(1)) else {
            return Err(invalid("an answer without id or word"));
        };
        let fields = part(2).unwrap_or_default();
        let read = Fields::parse(&fields)
            .and_then(|fields| reply_word(&word, &fields, part(3).unwrap_or_default()));
        Ok(Some(Reply {
            about: about(&id),
            word: read.unwrap_or_else(|error| Word::Spoilt(error.to_string())),
        }))
    }
}

fn about(id: &[u8]) -> About {
    let Ok(id) = std::str::from_utf8(id) else {
        return About::Nobody;
    };
    let about = match id.strip_prefix(TAG) {
        Some(tag) => tag.parse().map(About::Tag),
        // A sign would be read as a part of the number.
        None if id.len() == 16 && !id.starts_with('+') => {
            u64::from_str_radix(id, 16).map(|id| About::Request(RequestId(id)))
        }
        None => return About::Nobody,
    };
    about.unwrap_or(About::Nobody)
}

/// Rows as they must be: each ends, and each has its columns. What is spoilt inside a cell can't be told.
fn rows(rows: Bytes) -> io::Result<Bytes> {
    let whole = rows.is_empty() || rows.ends_with(b"\n");
    let mut lines = rows.split_inclusive(|byte| *byte == b'\n');
    let shaped = |line: &[u8]| line.iter().filter(|byte| **byte == b'\t').count() + 1 == COLUMNS;
    if whole && lines.all(shaped) && std::str::from_utf8(&rows).is_ok() {
        Ok(rows)
    } else {
        Err(invalid("rows that are not whole"))
    }
}

fn reply_word(word: &[u8], fields: &Fields, body: Bytes) -> io::Result<Word> {
    Ok(match word {
        b"OK" => Word::Ok {
            parts: fields.count("parts", 1..=MOST_PAGES)?,
            work: fields.number("work")?,
            load: fields.load(),
            rows: rows(body)?,
        },
        b"BUSY" => Word::Busy,
        b"ERR" => Word::Err,
        b"VOID" => Word::Void,
        b"NOTE" => Word::Note(fields.note()),
        b"ROWS" => Word::Rows {
            page: fields.count("part_no", 1..=MOST_PAGES - 1)?,
            rows: rows(body)?,
        },
        b"UP" => Word::Up(fields.load()),
        b"DOWN" => Word::Down,
        _ => return Err(invalid("an answer of an unknown word")),
    })
}

/// The fields of an answer: `name=value,name=value`, or `-` for none.
struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    fn parse(bytes: &'a [u8]) -> io::Result<Fields<'a>> {
        let text = std::str::from_utf8(bytes).map_err(|_| invalid("fields that are not text"))?;
        if text.is_empty() || text == "-" {
            return Ok(Fields(Vec::new()));
        }
        let pairs = text.split(',').map(|pair| pair.split_once('='));
        let pairs: Option<Vec<_>> = pairs.collect();
        pairs
            .map(Fields)
            .ok_or_else(|| invalid("fields that are no pairs"))
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        let found = self.0.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| *value)
    }

    /// A figure, where the field is there; it must be one, and not negative.
    fn number(&self, name: &str) -> io::Result<Option<f64>> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        let number = text.parse().ok();
        let number = number.filter(|number: &f64| number.is_finite() && *number >= 0.0);
        number
            .map(Some)
            .ok_or_else(|| invalid("a field that is no figure"))
    }

    /// A count that must be there, within its bounds.
    fn count(&self, name: &str, bounds: RangeInclusive<u32>) -> io::Result<u32> {
        let count = self.text(name).and_then(|text| text.parse().ok());
        count.filter(|count| bounds.contains(count)).ok_or_else(|| {
            let told = self.text(name).unwrap_or("nothing");
            invalid(&format!("a count that can't be: {told:.40} in {name}"))
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
