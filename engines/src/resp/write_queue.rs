//! Commands on their way to an engine. Each waits here until the socket takes its first byte, and is looked at once more
//! at that moment.
//!
//! Guards against an engine that reads nothing for a while: what waited would be written long after its client had left,
//! its attempt had been given up, or the engine had been told of as draining.

use super::codec::{Command, RespCodec, put_fetch};
use bytes::{Buf, Bytes, BytesMut};
use sedgebeam_core::{AttemptNo, RequestId};
use sedgebeam_port::Attempt;
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use tokio_util::codec::Encoder;

/// Commands given to the socket at once.
const MOST_AT_ONCE: usize = 16;

/// An attempt by its names.
pub type AttemptKey = (RequestId, AttemptNo);

struct Frame {
    /// What is left to be written; of an attempt that has not begun, as it was last offered to the socket, if it was.
    bytes: Bytes,
    /// The attempt that it begins, while none of it is written.
    begins: Option<Attempt>,
    /// The request that it gives up.
    aborts: Option<RequestId>,
}

/// What a write has brought to the engine.
#[derive(Default)]
pub struct Written {
    /// How many attempts began.
    pub begun: usize,
    /// The requests whose aborts are written whole.
    pub aborted: Vec<RequestId>,
}

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
            begins: None,
            aborts: None,
        };
        match command {
            // Encoded once it is offered to the socket: the time that is left is told then.
            Command::Fetch(attempt) => frame.begins = Some(attempt),
            command => {
                if let Command::Abort(id) = &command {
                    frame.aborts = Some(*id);
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

    /// Takes out the attempts that may not begin any more.
    pub fn withdraw(&mut self) -> Vec<AttemptKey> {
        let mut withdrawn = Vec::new();
        self.frames.retain(|frame| match &frame.begins {
            Some(attempt) if attempt.is_void() => {
                withdrawn.push((attempt.request, attempt.number));
                false
            }
            _ => true,
        });
        withdrawn
    }

    /// What is to be written next, in pieces. An attempt of which nothing is written yet names the time that is left now.
    pub fn slices(&mut self) -> Vec<IoSlice<'_>> {
        let frames = self.frames.iter_mut().take(MOST_AT_ONCE);
        let slices = frames.map(|frame| {
            if let Some(attempt) = &frame.begins {
                let mut bytes = BytesMut::new();
                put_fetch(&mut bytes, attempt);
                frame.bytes = bytes.freeze();
            }
            IoSlice::new(&frame.bytes)
        });
        slices.collect()
    }

    /// So many bytes have been written.
    pub fn written(&mut self, mut count: usize) -> Written {
        let mut written = Written::default();
        while count > 0
            && let Some(frame) = self.frames.front_mut()
        {
            written.begun += usize::from(frame.begins.take().is_some());
            let part = count.min(frame.bytes.len());
            frame.bytes.advance(part);
            count -= part;
            if frame.bytes.is_empty() {
                written.aborted.extend(frame.aborts);
                self.frames.pop_front();
            }
        }
        written
    }

    /// The attempts of which not a byte has been written.
    pub fn unwritten(self) -> impl Iterator<Item = RequestId> {
        let begins = self.frames.into_iter().filter_map(|frame| frame.begins);
        begins.map(|attempt| attempt.request)
    }
}

#[cfg(test)]
mod tests;
