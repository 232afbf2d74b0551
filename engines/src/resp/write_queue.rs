//! Commands queued for the socket of an engine. An attempt may be withdrawn until the socket accepts its first byte.
//!
//! Otherwise an engine that stops reading for a while would later receive attempts that were cancelled, whose client
//! has disconnected, or that must not start because the engine is by then listed as draining.

use super::codec::{Command, RespCodec, put_fetch};
use bytes::{Buf, Bytes, BytesMut};
use sedgebeam_core::{AttemptNo, RequestId};
use sedgebeam_port::Attempt;
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use tokio_util::codec::Encoder;

/// Maximum number of commands that are passed to the socket in one write.
const MAX_FRAMES_PER_WRITE: usize = 16;

/// Identifies an attempt.
pub type AttemptKey = (RequestId, AttemptNo);

/// A command that is not completely written.
struct Frame {
    /// The unwritten bytes. For an unstarted attempt, its encoding when it was last offered to the socket; empty
    /// before.
    bytes: Bytes,
    /// The attempt that this frame starts; `None` once its first byte is written.
    unstarted_attempt: Option<Attempt>,
    /// The request that this frame aborts.
    aborted_request: Option<RequestId>,
}

/// What a write to the socket completed.
#[derive(Default)]
pub struct Written {
    /// Attempts whose first byte was written.
    pub started_attempts: usize,
    /// Requests whose abort was written completely.
    pub aborted_requests: Vec<RequestId>,
}

/// The commands of one connection that are not completely written, in order.
#[derive(Default)]
pub struct WriteQueue {
    frames: VecDeque<Frame>,
}

impl WriteQueue {
    pub fn len(&self) -> usize {
        self.frames.len()
    }

    pub fn push(&mut self, command: Command) -> io::Result<()> {
        let mut frame = Frame {
            bytes: Bytes::new(),
            unstarted_attempt: None,
            aborted_request: None,
        };
        match command {
            // Encoded when it is offered to the socket, because it contains the remaining time.
            Command::Fetch(attempt) => frame.unstarted_attempt = Some(attempt),
            command => {
                if let Command::Abort(request_id) = &command {
                    frame.aborted_request = Some(*request_id);
                }
                let mut bytes = BytesMut::new();
                RespCodec.encode(command, &mut bytes)?;
                if bytes.is_empty() {
                    return Ok(());
                }
                frame.bytes = bytes.freeze();
            }
        }
        self.frames.push_back(frame);
        Ok(())
    }

    /// Removes and returns the attempts that may no longer start.
    pub fn withdraw(&mut self) -> Vec<AttemptKey> {
        let mut withdrawn = Vec::new();
        self.frames.retain(|frame| match &frame.unstarted_attempt {
            Some(attempt) if attempt.is_stale() => {
                withdrawn.push((attempt.request, attempt.attempt_no));
                false
            }
            _ => true,
        });
        withdrawn
    }

    /// The next frames to write. Unstarted attempts are encoded with the time that remains now.
    pub fn slices(&mut self) -> Vec<IoSlice<'_>> {
        let frames = self.frames.iter_mut().take(MAX_FRAMES_PER_WRITE);
        let slices = frames.map(|frame| {
            if let Some(attempt) = &frame.unstarted_attempt {
                let mut bytes = BytesMut::new();
                put_fetch(&mut bytes, attempt);
                frame.bytes = bytes.freeze();
            }
            IoSlice::new(&frame.bytes)
        });
        slices.collect()
    }

    /// Removes the first `count` bytes, which the socket has accepted.
    pub fn advance(&mut self, count: usize) -> Written {
        let written = self.remove_written(count);
        self.release_unstarted();
        written
    }

    /// Releases the encodings of unstarted attempts, which are encoded anew when they are offered again.
    pub fn release_unstarted(&mut self) {
        let offered = self.frames.iter_mut().take(MAX_FRAMES_PER_WRITE);
        for frame in offered.filter(|frame| frame.unstarted_attempt.is_some()) {
            frame.bytes = Bytes::new();
        }
    }

    fn remove_written(&mut self, mut count: usize) -> Written {
        let mut written = Written::default();
        while count > 0
            && let Some(frame) = self.frames.front_mut()
        {
            written.started_attempts += usize::from(frame.unstarted_attempt.take().is_some());
            let written_bytes = count.min(frame.bytes.len());
            frame.bytes.advance(written_bytes);
            count -= written_bytes;
            if frame.bytes.is_empty() {
                written.aborted_requests.extend(frame.aborted_request);
                self.frames.pop_front();
            }
        }
        written
    }

    /// The requests of the attempts of which no byte was written.
    pub fn into_unstarted_requests(self) -> impl Iterator<Item = RequestId> {
        let unstarted = self
            .frames
            .into_iter()
            .filter_map(|frame| frame.unstarted_attempt);
        unstarted.map(|attempt| attempt.request)
    }
}

#[cfg(test)]
mod tests;
