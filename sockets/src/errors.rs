//! Classification of system call failures: local resource shortages and transient failures.

use rustix::io::Errno;
use std::io;

/// Errors that mean a shortage on this machine: of file descriptors, memory, buffers or ports.
const LOCAL_SHORTAGES: [Errno; 6] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::AGAIN,
    Errno::ADDRNOTAVAIL,
];

/// Whether a connect was interrupted or failed because of a local shortage, which says nothing about the peer.
pub fn is_local_shortage(error: &io::Error) -> bool {
    let is_shortage =
        Errno::from_io_error(error).is_some_and(|errno| LOCAL_SHORTAGES.contains(&errno));
    is_shortage || error.kind() == io::ErrorKind::Interrupted
}

/// Whether opening a listener may succeed later after this failure.
pub fn is_transient(error: &io::Error) -> bool {
    is_local_shortage(error) || error.kind() == io::ErrorKind::AddrInUse
}
