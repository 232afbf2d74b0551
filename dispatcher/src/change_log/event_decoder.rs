//! Decodes the HTTP response of the change log.

use super::Change;
use super::line_buffer::LineBuffer;
use bytes::BytesMut;
use miniserde::json;
use std::io;
use tokio_util::codec::Decoder;

/// The longest head of a response. It is parsed anew with each piece that arrives.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The longest line of the change log: a complete list of the largest fleet, 3,200 engines of 640 bytes each.
pub(super) const MAX_LINE_BYTES: usize = 2 << 20;
/// The length of the CRLF after each chunk.
const CHUNK_END_BYTES: usize = 2;

/// Decodes the HTTP response of the change log: its head, and then its server-sent events. Yields `None` for a
/// keep-alive comment.
#[derive(Default)]
pub(super) struct EventDecoder {
    /// The head of the response has been read.
    has_head: bool,
    is_chunked: bool,
    /// Remaining bytes of the current chunk and of the CRLF after it.
    chunk_remaining: usize,
    /// Received text of the body that is not decoded yet.
    text: LineBuffer,
    /// The data lines of the current event.
    data: Vec<u8>,
}

fn invalid_data(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

impl EventDecoder {
    /// Whether the head of the response has been received.
    pub(super) fn has_head(&self) -> bool {
        self.has_head
    }

    /// Reads the head of the response; false while it is incomplete.
    fn read_head(&mut self, bytes: &mut BytesMut) -> io::Result<bool> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        let status = response
            .parse(bytes)
            .map_err(|_| invalid_data("the response is not HTTP"))?;
        let httparse::Status::Complete(length) = status else {
            return if bytes.len() > MAX_HEAD_BYTES {
                Err(invalid_data("the response head is too long"))
            } else {
                Ok(false)
            };
        };
        if response.code != Some(200) {
            return Err(invalid_data("the HTTP status is not 200"));
        }
        self.is_chunked = response.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("transfer-encoding")
                && header.value.eq_ignore_ascii_case(b"chunked")
        });
        self.has_head = true;
        let _ = bytes.split_to(length);
        Ok(true)
    }

    /// Moves received bytes of the body to the text, without the framing of chunks.
    fn read_body(&mut self, bytes: &mut BytesMut) -> io::Result<()> {
        if !self.is_chunked {
            self.text.extend_from_slice(&bytes.split());
        }
        while self.is_chunked && !bytes.is_empty() {
            if self.chunk_remaining > 0 {
                let (text_bytes, end_bytes) = (
                    self.chunk_remaining.saturating_sub(CHUNK_END_BYTES),
                    self.chunk_remaining,
                );
                let piece = bytes.split_to(
                    if text_bytes > 0 {
                        text_bytes
                    } else {
                        end_bytes
                    }
                    .min(bytes.len()),
                );
                self.chunk_remaining -= piece.len();
                if text_bytes > 0 {
                    self.text.extend_from_slice(&piece);
                }
                continue;
            }
            match httparse::parse_chunk_size(bytes)
                .map_err(|_| invalid_data("invalid chunk size"))?
            {
                httparse::Status::Partial => break,
                httparse::Status::Complete((start, size)) => {
                    let size = usize::try_from(size).unwrap_or(usize::MAX);
                    self.chunk_remaining = size.saturating_add(CHUNK_END_BYTES);
                    let _ = bytes.split_to(start);
                }
            }
        }
        if self.text.len() > MAX_LINE_BYTES {
            Err(invalid_data("a line is too long"))
        } else {
            Ok(())
        }
    }
}

impl Decoder for EventDecoder {
    type Item = Option<Change>;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        if !self.has_head && !self.read_head(bytes)? {
            return Ok(None);
        }
        self.read_body(bytes)?;
        while let Some(line) = self.text.next_line() {
            if let Some(data) = line.strip_prefix(b"data:") {
                self.data.extend_from_slice(data);
            } else if line.is_empty() && !self.data.is_empty() {
                let data = std::mem::take(&mut self.data);
                let text = std::str::from_utf8(&data)
                    .map_err(|_| invalid_data("an event is not UTF-8"))?;
                let change = json::from_str(text)
                    .map_err(|_| invalid_data("an event is not a valid change"))?;
                return Ok(Some(Some(change)));
            } else if line.starts_with(b":") {
                return Ok(Some(None));
            }
        }
        Ok(None)
    }
}
