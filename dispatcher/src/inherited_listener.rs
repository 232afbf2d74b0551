//! The clients' socket where the platform holds it and every process inherits it.

use filedescriptor::FileDescriptor;
use std::io;
use std::net::TcpListener;
use std::os::fd::OwnedFd;

/// A listener on the socket behind an inherited descriptor. It is a copy: the platform's own stays open, and
/// with it what waits to be accepted.
pub fn open(descriptor: i32) -> io::Result<TcpListener> {
    let copied = FileDescriptor::dup(&descriptor).and_then(|copy| copy.as_file());
    let listener = TcpListener::from(OwnedFd::from(copied.map_err(io::Error::other)?));
    // What is no socket shows here, and not at the first client.
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
