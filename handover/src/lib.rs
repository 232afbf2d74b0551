//! State that the processes of one dispatcher exchange, for example during an upgrade, and what
//! each process may do meanwhile. Does no I/O and reads no clock: messages are encoded to bytes,
//! and callers pass the time in microseconds.

mod freshness;
mod message;
mod process_pair;

pub use freshness::Freshness;
pub use message::{FORMAT_VERSION, HandoverMessage, MessageError, ProcessStatus};
pub use process_pair::{Incarnation, Phase, ProcessPair};
