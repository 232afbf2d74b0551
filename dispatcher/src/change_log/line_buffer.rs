//! Received text, taken line by line.

use bytes::BytesMut;

/// Text whose last line may be incomplete. Each byte is searched for the end of a line once, in however many pieces the
/// text arrives.
#[derive(Default)]
pub(super) struct LineBuffer {
    text: BytesMut,
    /// The number of bytes at the start of the text that hold no end of a line.
    searched_bytes: usize,
}

impl LineBuffer {
    pub(super) fn extend_from_slice(&mut self, bytes: &[u8]) {
        self.text.extend_from_slice(bytes);
    }

    /// The length of the text that has not been taken.
    pub(super) fn len(&self) -> usize {
        self.text.len()
    }

    /// Takes the next complete line, without its line end.
    pub(super) fn next_line(&mut self) -> Option<BytesMut> {
        let unsearched = &self.text[self.searched_bytes..];
        let Some(position) = unsearched.iter().position(|byte| *byte == b'\n') else {
            self.searched_bytes = self.text.len();
            return None;
        };
        let end = self.searched_bytes + position;
        self.searched_bytes = 0;
        let mut line = self.text.split_to(end + 1);
        line.truncate(end);
        if line.ends_with(b"\r") {
            line.truncate(end - 1);
        }
        Some(line)
    }

    /// The number of bytes that are not searched again.
    #[cfg(test)]
    pub(super) fn searched_bytes(&self) -> usize {
        self.searched_bytes
    }
}
