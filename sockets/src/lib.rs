//! TCP sockets whose system calls may fail for a moment, or do a part of their work.

mod errors;
mod listen;
mod stream;

pub use errors::{is_local, may_pass};
pub use listen::listen;
pub use stream::{Reading, Stream, is_to_be_repeated, without_delay};
