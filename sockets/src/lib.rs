//! TCP sockets whose system calls may fail for a moment, or do a part of their work.

mod errors;
mod listen;
mod stream;

pub use errors::{is_local_shortage, is_transient};
pub use listen::listen;
pub use stream::{SocketReader, SocketStream, set_nodelay, should_retry};
