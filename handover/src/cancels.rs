//! Cancel requests that reached one process of a dispatcher and may be meant for a session of another one.
//!
//! While two processes accept connections on one listening socket, a client's cancel request reaches either of them. The one
//! that has no request open under its session key publishes the cancel, and its peers execute it if the session is theirs.

use crate::framing::{self, Format, MessageError};
use crate::process_pair::Incarnation;
use miniserde::{Deserialize, Serialize, json};
use sedgebeam_core::Micros;
use std::collections::{HashMap, VecDeque};

const FORMAT: Format = Format {
    name: "sedgebeam-cancels",
    version: 1,
    max_bytes: 128 << 10,
};
/// Maximum number of cancels that a message holds; with more, the oldest are dropped.
const MAX_RECENT_CANCELS: usize = 1024;
/// Cancels older than this are dropped. It is longer than an ending process lives on.
const MAX_CANCEL_AGE: Micros = Micros::from_millis(10_000);

/// A cancel request for the session with this key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionCancel {
    pub session_key: u64,
    /// How long before the message the process received it.
    pub age: Micros,
}

/// The cancels that a process publishes, each with its sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancelMessage {
    pub dispatcher_name: String,
    pub cancels: Vec<(u64, SessionCancel)>,
}

/// The JSON form of a message. The field names of this and the following record are part of the format.
#[derive(Serialize, Deserialize)]
struct MessageRecord {
    name: String,
    cancels: Vec<CancelRecord>,
}

#[derive(Serialize, Deserialize)]
struct CancelRecord {
    seq: u64,
    session: u64,
    age_us: u64,
}

impl CancelMessage {
    pub fn encode(&self) -> Vec<u8> {
        let cancels = self.cancels.iter();
        let record = MessageRecord {
            name: self.dispatcher_name.clone(),
            cancels: cancels
                .map(|(seq, cancel)| CancelRecord {
                    seq: *seq,
                    session: cancel.session_key,
                    age_us: cancel.age.0,
                })
                .collect(),
        };
        framing::encode(&FORMAT, &json::to_string(&record))
    }

    /// Decodes a message of the dispatcher `dispatcher_name`.
    pub fn decode(bytes: &[u8], dispatcher_name: &str) -> Result<CancelMessage, MessageError> {
        let body = framing::decode(&FORMAT, bytes)?;
        let record: MessageRecord =
            json::from_str(body).map_err(|_| MessageError::UnsupportedFormat)?;
        if record.name != dispatcher_name {
            return Err(MessageError::OtherDispatcher);
        }
        let cancels = record.cancels.into_iter();
        let cancels = cancels.map(|record| {
            let cancel = SessionCancel {
                session_key: record.session,
                age: Micros(record.age_us),
            };
            (record.seq, cancel)
        });
        Ok(CancelMessage {
            dispatcher_name: record.name,
            cancels: cancels.collect(),
        })
    }
}

/// A cancel that waits for the peers.
#[derive(Clone, Copy, Debug)]
struct QueuedCancel {
    seq: u64,
    session_key: u64,
    received_at: Micros,
}

/// The recent cancels of this process. All times are those of its own clock.
#[derive(Debug, Default)]
pub struct CancelOutbox {
    last_seq: u64,
    recent: VecDeque<QueuedCancel>,
}

impl CancelOutbox {
    pub fn push(&mut self, session_key: u64, received_at: Micros) {
        self.last_seq += 1;
        self.recent.push_back(QueuedCancel {
            seq: self.last_seq,
            session_key,
            received_at,
        });
        if self.recent.len() > MAX_RECENT_CANCELS {
            self.recent.pop_front();
        }
    }

    /// The message to publish at `now`, without cancels that are too old.
    pub fn message(&mut self, dispatcher_name: &str, now: Micros) -> CancelMessage {
        self.recent
            .retain(|queued| now - queued.received_at <= MAX_CANCEL_AGE);
        let cancels = self.recent.iter().map(|queued| {
            let cancel = SessionCancel {
                session_key: queued.session_key,
                age: now - queued.received_at,
            };
            (queued.seq, cancel)
        });
        CancelMessage {
            dispatcher_name: dispatcher_name.to_string(),
            cancels: cancels.collect(),
        }
    }
}

/// What this process has read of its peers' cancels.
#[derive(Debug, Default)]
pub struct CancelInbox {
    /// The sequence number of the last cancel read, by peer.
    last_seqs: HashMap<Incarnation, u64>,
}

impl CancelInbox {
    /// The cancels of a peer's message that were not read before.
    pub fn take_new(&mut self, peer: Incarnation, message: &CancelMessage) -> Vec<SessionCancel> {
        let last_seq = self.last_seqs.entry(peer).or_default();
        let previous_seq = *last_seq;
        let new_cancels = message
            .cancels
            .iter()
            .filter(|(seq, _)| *seq > previous_seq);
        let (seqs, cancels): (Vec<u64>, Vec<SessionCancel>) = new_cancels.copied().unzip();
        *last_seq = seqs.into_iter().fold(previous_seq, u64::max);
        cancels
    }

    /// Forgets all peers but the live ones.
    pub fn retain(&mut self, live_peers: &[Incarnation]) {
        self.last_seqs.retain(|peer, _| live_peers.contains(peer));
    }
}
