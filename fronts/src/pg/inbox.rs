//! What a client has said while its session was busy, and when each message came.
//!
//! A client's patience counts from the last byte of its command. A command that was read while an earlier one was under way
//! has been waiting since then, not since it was begun.

use super::codec::Said;
use std::collections::VecDeque;
use std::io;
use tokio::time::Instant;

/// Messages that a client may have sent ahead of the answer to an earlier one.
const MOST_HELD: usize = 64;

/// A message, and when its last byte was read.
#[derive(Debug)]
pub struct Heard {
    pub said: Said,
    pub came: Instant,
}

impl Heard {
    /// A message that was read just now.
    pub fn now(said: Said) -> Heard {
        Heard {
            said,
            came: Instant::now(),
        }
    }
}

/// Messages that wait, in order.
#[derive(Debug)]
pub struct Inbox {
    waiting: VecDeque<Heard>,
    /// Bytes of their statements, and the most that there may be.
    bytes: usize,
    most_bytes: usize,
}

impl Inbox {
    /// One that holds no more bytes of statements than one message may have.
    pub fn new(most_bytes: usize) -> Inbox {
        Inbox {
            waiting: VecDeque::new(),
            bytes: 0,
            most_bytes,
        }
    }

    /// Keeps a message that has come just now; an error where that is more than can be kept.
    pub fn keep(&mut self, said: Said) -> io::Result<()> {
        self.bytes += length(&said);
        self.waiting.push_back(Heard::now(said));
        if self.bytes > self.most_bytes || self.waiting.len() > MOST_HELD {
            let why = "too much was sent ahead of an answer";
            return Err(io::Error::new(io::ErrorKind::InvalidData, why));
        }
        Ok(())
    }

    /// The message that came first.
    pub fn next(&mut self) -> Option<Heard> {
        let heard = self.waiting.pop_front()?;
        self.bytes -= length(&heard.said);
        Some(heard)
    }
}

fn length(said: &Said) -> usize {
    match said {
        Said::Query(text) => text.len(),
        _ => 0,
    }
}
