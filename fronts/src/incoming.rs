//! Connections of Flight SQL clients: so many at once, and each gives its place back when it is dropped.
//! One that says nothing, or stops in its preface, is closed: it would keep its place from others for good.

use futures::stream::{Stream, StreamExt};
use sedgebeam_sockets::{SocketStream as Whole, set_nodelay};
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

/// A pause after an accept that failed, so that a lack of descriptors does not spin.
const PAUSE: Duration = Duration::from_millis(20);

/// The length of the preface of HTTP/2, and the time within which it must have come.
const PREFACE: usize = 24;
const PREFACE_LIMIT: Duration = Duration::from_secs(2);

pub struct FlightConnection {
    stream: Whole,
    /// Bytes of the preface that are still to come, and when they must have.
    missing: usize,
    limit: Pin<Box<Sleep>>,
    _place: OwnedSemaphorePermit,
}

impl FlightConnection {
    fn new(stream: TcpStream, place: OwnedSemaphorePermit) -> FlightConnection {
        set_nodelay(&stream);
        FlightConnection {
            stream: Whole::new(stream),
            missing: PREFACE,
            limit: Box::pin(sleep(PREFACE_LIMIT)),
            _place: place,
        }
    }
}

/// A connection with its place, not yet served by any worker.
pub type AcceptedConnection = (TcpStream, OwnedSemaphorePermit);

/// The connections of a listener, no more than `most` at once; others wait to be accepted.
pub fn accept_connections(
    listener: TcpListener,
    most: usize,
) -> impl Stream<Item = AcceptedConnection> {
    let places = Arc::new(Semaphore::new(most));
    futures::stream::unfold((listener, places), |(listener, places)| async move {
        // The semaphore is never closed.
        let place = places.clone().acquire_owned().await.ok()?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => return Some(((stream, place), (listener, places))),
                Err(error) => {
                    log::warn!("accepting Flight SQL clients: {error}");
                    sleep(PAUSE).await;
                }
            }
        }
    })
}

/// Connections that this worker has accepted itself.
pub fn local_connections(
    accepted: impl Stream<Item = AcceptedConnection>,
) -> impl Stream<Item = io::Result<FlightConnection>> {
    accepted.map(|(stream, place)| Ok(FlightConnection::new(stream, place)))
}

/// A connection on its way from the worker that accepted it to the one that serves it.
pub struct TransferredConnection {
    stream: std::net::TcpStream,
    place: OwnedSemaphorePermit,
}

impl TransferredConnection {
    pub fn new((stream, place): AcceptedConnection) -> io::Result<TransferredConnection> {
        let stream = stream.into_std()?;
        Ok(TransferredConnection { stream, place })
    }
}

/// Connections that another worker has accepted, until it accepts no more.
pub fn transferred_connections(
    incoming: mpsc::Receiver<TransferredConnection>,
) -> impl Stream<Item = io::Result<FlightConnection>> {
    futures::stream::unfold(incoming, |mut incoming| async move {
        let TransferredConnection { stream, place } = incoming.recv().await?;
        let placed = TcpStream::from_std(stream).map(|stream| FlightConnection::new(stream, place));
        Some((placed, incoming))
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
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let came = buffer.filled().len() - before;
        self.missing = self.missing.saturating_sub(came);
        if polled.is_pending() && self.missing > 0 && self.limit.as_mut().poll(context).is_ready() {
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
