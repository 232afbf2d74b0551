//! Which failures of system calls are this machine's own, and which may pass.

use rustix::io::Errno;
use std::io;

/// A lack of this machine's own: of descriptors, memory, buffers or ports.
const LACKS: [Errno; 6] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::AGAIN,
    Errno::ADDRNOTAVAIL,
];

/// Whether a connect failed for a lack on this side, or was interrupted: it says nothing of the peer.
pub fn is_local_shortage(error: &io::Error) -> bool {
    let lacks = Errno::from_io_error(error).is_some_and(|errno| LACKS.contains(&errno));
    lacks || error.kind() == io::ErrorKind::Interrupted
}

/// Whether a listener that can't be had now may be had later.
pub fn is_transient(error: &io::Error) -> bool {
    is_local_shortage(error) || error.kind() == io::ErrorKind::AddrInUse
}
