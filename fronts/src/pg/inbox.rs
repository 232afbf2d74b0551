//! Messages that a client sent while its session was busy, each with the time at which it was received.
//!
//! The statements of a session, the one that runs and those that wait, share one bound: the memory that all sessions use
//! for statements is at most that bound times their number.
//!
//! A client's time limit counts from the last byte of its command, so the time that a command waits behind an earlier
//! one counts too.

use super::codec::{ClientMessage, READ_BUFFER_BYTES};
use std::collections::VecDeque;
use std::io;
use tokio::time::Instant;

/// Maximum number of messages that a client may send ahead of the answer to an earlier one.
const MAX_QUEUED_MESSAGES: usize = 64;

/// A message, and when its last byte was read.
#[derive(Debug)]
pub struct ReceivedMessage {
    pub message: ClientMessage,
    pub received_at: Instant,
}

impl ReceivedMessage {
    fn now(message: ClientMessage) -> ReceivedMessage {
        ReceivedMessage {
            message,
            received_at: Instant::now(),
        }
    }
}

/// The messages that wait to be processed, in order.
#[derive(Debug)]
pub struct Inbox {
    queue: VecDeque<ReceivedMessage>,
    /// The length of the statement that was taken last, which may be running.
    current_bytes: usize,
    /// The total length of the queued statements.
    queued_bytes: usize,
    max_statement_bytes: usize,
}

impl Inbox {
    /// Creates an inbox; `max_statement_bytes` is the greatest length of a statement.
    pub fn new(max_statement_bytes: usize) -> Inbox {
        Inbox {
            queue: VecDeque::new(),
            current_bytes: 0,
            queued_bytes: 0,
            max_statement_bytes,
        }
    }

    /// The length that the next message may have. Short messages may be sent ahead even of the longest statement.
    pub fn available_bytes(&self) -> usize {
        let held_bytes = self.current_bytes + self.queued_bytes;
        if held_bytes == 0 {
            return self.max_statement_bytes;
        }
        let available_bytes =
            (self.max_statement_bytes + READ_BUFFER_BYTES).saturating_sub(held_bytes);
        available_bytes.min(self.max_statement_bytes)
    }

    /// Queues a message that was read just now; fails if that exceeds a limit of the inbox.
    pub fn push(&mut self, message: ClientMessage) -> io::Result<()> {
        let is_too_long = statement_length(&message) > self.available_bytes();
        self.queued_bytes += statement_length(&message);
        self.queue.push_back(ReceivedMessage::now(message));
        if is_too_long || self.queue.len() > MAX_QUEUED_MESSAGES {
            let reason = "too much was sent ahead of an answer";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(())
    }

    /// Removes the oldest message. The one that was taken before it is complete.
    pub fn pop(&mut self) -> Option<ReceivedMessage> {
        self.current_bytes = 0;
        let received = self.queue.pop_front()?;
        self.current_bytes = statement_length(&received.message);
        self.queued_bytes -= self.current_bytes;
        Some(received)
    }

    /// Counts a message that was read just now and is processed at once, as the queue is empty.
    pub fn take_directly(&mut self, message: ClientMessage) -> ReceivedMessage {
        self.current_bytes = statement_length(&message);
        ReceivedMessage::now(message)
    }
}

fn statement_length(message: &ClientMessage) -> usize {
    match message {
        ClientMessage::Query(text) => text.len(),
        _ => 0,
    }
}
