//! The clients' listening socket when the platform holds it and each process of the dispatcher inherits it.

use filedescriptor::FileDescriptor;
use std::io;
use std::net::TcpListener;
use std::os::fd::OwnedFd;

/// Opens a listener on a duplicate of an inherited descriptor. The inherited descriptor stays open, so the connections in
/// the socket's accept queue survive when this process closes the listener.
pub fn open(descriptor: i32) -> io::Result<TcpListener> {
    let duplicate = FileDescriptor::dup(&descriptor).and_then(|duplicate| duplicate.as_file());
    let listener = TcpListener::from(OwnedFd::from(duplicate.map_err(io::Error::other)?));
    // Fails now, rather than at the first client, if the descriptor is not a socket.
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
