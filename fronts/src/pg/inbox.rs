//! Messages that a client sent while its session was busy, each with the time at which it was received.
//!
//! A client's time limit counts from the last byte of its command, so the time that a command waits behind an earlier
//! one counts too.

use super::codec::ClientMessage;
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
    /// A message that was read just now.
    pub fn now(message: ClientMessage) -> ReceivedMessage {
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
    /// The total length of the queued statements.
    statement_bytes: usize,
    max_statement_bytes: usize,
}

impl Inbox {
    /// Creates an inbox; `max_statement_bytes` limits the total length of the queued statements.
    pub fn new(max_statement_bytes: usize) -> Inbox {
        Inbox {
            queue: VecDeque::new(),
            statement_bytes: 0,
            max_statement_bytes,
        }
    }

    /// Queues a message that was read just now; fails if that exceeds a limit of the inbox.
    pub fn push(&mut self, message: ClientMessage) -> io::Result<()> {
        self.statement_bytes += statement_length(&message);
        self.queue.push_back(ReceivedMessage::now(message));
        if self.statement_bytes > self.max_statement_bytes || self.queue.len() > MAX_QUEUED_MESSAGES
        {
            let reason = "too much was sent ahead of an answer";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(())
    }

    /// Removes the oldest message.
    pub fn pop(&mut self) -> Option<ReceivedMessage> {
        let received = self.queue.pop_front()?;
        self.statement_bytes -= statement_length(&received.message);
        Some(received)
    }
}

fn statement_length(message: &ClientMessage) -> usize {
    match message {
        ClientMessage::Query(text) => text.len(),
        _ => 0,
    }
}
