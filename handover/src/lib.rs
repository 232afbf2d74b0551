//! State that the processes of one dispatcher exchange, as during an upgrade, and what each process
//! may do meanwhile. No I/O and no clock: files are bytes here, and the caller passes the time in
//! microseconds.

mod freshness;
mod message;
mod process_pair;

pub use freshness::Freshness;
pub use message::{FORMAT_VERSION, HandoverMessage, MessageError, ProcessStatus};
pub use process_pair::{Incarnation, Phase, ProcessPair};
