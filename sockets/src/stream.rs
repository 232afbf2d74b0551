//! Streams that are read and written until the system reports that the call would block.
//!
//! Tokio's own reads and writes treat a short call as a sign that the socket is drained or full, and wait for the next
//! edge-triggered event. If the call was short for another reason, no event follows, and the rest of the data in the
//! socket is never read. Here only the error "would block" clears the readiness.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Disables Nagle's algorithm. A failure is no reason to drop the connection: it only delays small writes.
pub fn set_nodelay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("can't set TCP_NODELAY; small writes may be delayed: {error}");
    }
}

/// Whether a call transferred nothing and must be repeated once the socket is ready.
pub fn should_retry(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}

/// Reads from a stream or from the read half of one.
#[derive(Debug)]
pub struct SocketReader<S>(pub S);

impl<S: AsRef<TcpStream> + Unpin> AsyncRead for SocketReader<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(self.0.as_ref(), context, buffer)
    }
}

fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read_buf(buffer) {
            Err(error) if should_retry(&error) => {}
            result => return Poll::Ready(result.map(drop)),
        }
    }
}

/// Reads from and writes to a stream.
#[derive(Debug)]
pub struct SocketStream(TcpStream);

impl SocketStream {
    pub fn new(stream: TcpStream) -> SocketStream {
        SocketStream(stream)
    }

    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match write(&self.0) {
                Err(error) if should_retry(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncRead for SocketStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, context, buffer)
    }
}

impl AsyncWrite for SocketStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(buffer))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Writes are not buffered here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
