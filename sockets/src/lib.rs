//! TCP sockets whose system calls may fail for a moment, or do a part of their work.

mod errors;
mod stream;

pub use errors::is_local;
pub use stream::{Reading, Stream, without_delay};
