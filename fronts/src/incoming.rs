//! Connections of Flight SQL clients, limited in number: each holds a permit until it is dropped. A connection whose
//! HTTP/2 preface is not complete in time is closed; otherwise it would keep its permit forever.

use futures::stream::{Stream, StreamExt};
use sedgebeam_sockets::{SocketStream, set_nodelay};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Sleep, sleep};
use tonic::transport::server::Connected;

/// The pause after a failed accept, so that the loop does not spin while no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The length of the HTTP/2 client preface.
const PREFACE_BYTES: usize = 24;
/// The time within which a client must have sent its preface.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(2);

/// A client connection that holds a permit and checks that the preface arrives in time.
pub struct FlightConnection {
    stream: SocketStream,
    /// Bytes of the preface that have not been received yet.
    missing_preface_bytes: usize,
    preface_timeout: Pin<Box<Sleep>>,
    _permit: OwnedSemaphorePermit,
}

impl FlightConnection {
    fn new(stream: TcpStream, permit: OwnedSemaphorePermit) -> FlightConnection {
        set_nodelay(&stream);
        FlightConnection {
            stream: SocketStream::new(stream),
            missing_preface_bytes: PREFACE_BYTES,
            preface_timeout: Box::pin(sleep(PREFACE_TIMEOUT)),
            _permit: permit,
        }
    }
}

/// A connection with its permit, not yet served by any worker.
pub type AcceptedConnection = (TcpStream, OwnedSemaphorePermit);

/// The connections of a listener, at most `max_connections` at once; further ones wait in the accept queue.
pub fn accept_connections(
    listener: TcpListener,
    max_connections: usize,
) -> impl Stream<Item = AcceptedConnection> {
    let permits = Arc::new(Semaphore::new(max_connections));
    futures::stream::unfold((listener, permits), |(listener, permits)| async move {
        // The semaphore is never closed.
        let permit = permits.clone().acquire_owned().await.ok()?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => return Some(((stream, permit), (listener, permits))),
                Err(error) => {
                    log::warn!("failed to accept a Flight SQL client: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    })
}

/// Connections that are served by the worker that accepted them.
pub fn local_connections(
    accepted: impl Stream<Item = AcceptedConnection>,
) -> impl Stream<Item = io::Result<FlightConnection>> {
    accepted.map(|(stream, permit)| Ok(FlightConnection::new(stream, permit)))
}

/// A connection that is handed from the worker that accepted it to the one that serves it. Its socket is registered
/// with neither runtime.
pub struct TransferredConnection {
    stream: std::net::TcpStream,
    permit: OwnedSemaphorePermit,
}

impl TransferredConnection {
    pub fn new((stream, permit): AcceptedConnection) -> io::Result<TransferredConnection> {
        let stream = stream.into_std()?;
        Ok(TransferredConnection { stream, permit })
    }
}

/// Connections that another worker accepted; ends when the sender is dropped.
pub fn transferred_connections(
    incoming: mpsc::Receiver<TransferredConnection>,
) -> impl Stream<Item = io::Result<FlightConnection>> {
    futures::stream::unfold(incoming, |mut incoming| async move {
        let TransferredConnection { stream, permit } = incoming.recv().await?;
        let connection =
            TcpStream::from_std(stream).map(|stream| FlightConnection::new(stream, permit));
        Some((connection, incoming))
    })
}

impl Connected for FlightConnection {
    type ConnectInfo = ();
    fn connect_info(&self) {}
}

impl AsyncRead for FlightConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - filled_before;
        self.missing_preface_bytes = self.missing_preface_bytes.saturating_sub(received);
        if polled.is_pending()
            && self.missing_preface_bytes > 0
            && self.preface_timeout.as_mut().poll(context).is_ready()
        {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        polled
    }
}

impl AsyncWrite for FlightConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
