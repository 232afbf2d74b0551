//! TCP sockets that handle transient failures and short reads and writes of system calls.

mod errors;
mod listen;
mod stream;

pub use errors::{is_local_shortage, is_transient};
pub use listen::listen;
pub use stream::{SocketReader, SocketStream, set_nodelay, should_retry};
