//! State that the processes of one dispatcher exchange, for example during an upgrade, and what
//! each process may do meanwhile. Does no I/O and reads no clock: messages are encoded to bytes,
//! and callers pass the time in microseconds.

mod cancels;
mod framing;
mod freshness;
mod message;
mod process_pair;

pub use cancels::{CancelInbox, CancelMessage, CancelOutbox, SessionCancel};
pub use framing::MessageError;
pub use freshness::Freshness;
pub use message::{FORMAT_VERSION, HandoverMessage, ProcessStatus};
pub use process_pair::{Incarnation, Phase, ProcessPair};
