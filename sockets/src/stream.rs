//! Streams that are read and written until the system says that it would block.
//!
//! Tokio's own reads and writes take one that moved less than it could for a sign that the socket is drained or full, and
//! wait for the next edge from the system. Where a call was merely short no edge follows, and what lies in the socket is
//! never read. Here only an error "would block" counts.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Has small writes go out at once. An option that can't be set is no reason to drop a connection: its writes go out
/// later.
pub fn set_nodelay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a connection may delay small writes: {error}");
    }
}

/// Whether a call has moved nothing and is made again, once the socket is ready.
pub fn should_retry(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}

/// The reading side of a stream, or of a half of one.
#[derive(Debug)]
pub struct SocketReader<S>(pub S);

impl<S: AsRef<TcpStream> + Unpin> AsyncRead for SocketReader<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(self.0.as_ref(), context, bytes)
    }
}

fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    bytes: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read_buf(bytes) {
            Err(error) if should_retry(&error) => {}
            read => return Poll::Ready(read.map(drop)),
        }
    }
}

/// A stream that is read and written.
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
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncRead for SocketStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, context, bytes)
    }
}

impl AsyncWrite for SocketStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is kept back here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
