//! Two processes of one dispatcher, as during an upgrade: what the one tells the other, and what each may do
//! meanwhile. No I/O, no clock: files are bytes here, and times come in, in microseconds.

mod freshness;
mod message;
mod process_pair;

pub use freshness::Freshness;
pub use message::{FORMAT_VERSION, HandoverMessage, MessageError, ProcessStatus};
pub use process_pair::{Incarnation, Phase, ProcessPair};
