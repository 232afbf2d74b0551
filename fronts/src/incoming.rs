//! Connections of Flight SQL clients: so many at once, and each gives its place back when it is dropped.
//! One that says nothing, or stops in its preface, is closed: it would keep its place from others for good.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Sleep, sleep};
use tonic::transport::server::Connected;

/// A pause after an accept that failed, so that a lack of descriptors does not spin.
const PAUSE: Duration = Duration::from_millis(20);

/// The length of the preface of HTTP/2, and the time within which it must have come.
const PREFACE: usize = 24;
const PREFACE_LIMIT: Duration = Duration::from_secs(2);

pub struct Placed {
    stream: TcpStream,
    /// Bytes of the preface that are still to come, and when they must have.
    missing: usize,
    limit: Pin<Box<Sleep>>,
    _place: OwnedSemaphorePermit,
}

/// The connections of a listener, no more than `most` at once; others wait to be accepted.
pub fn places(
    listener: TcpListener,
    most: usize,
) -> impl futures::Stream<Item = io::Result<Placed>> {
    let places = Arc::new(Semaphore::new(most));
    futures::stream::unfold((listener, places), |(listener, places)| async move {
        // The semaphore is never closed.
        let place = places.clone().acquire_owned().await.ok()?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let placed = stream.set_nodelay(true).map(|()| Placed {
                        stream,
                        missing: PREFACE,
                        limit: Box::pin(sleep(PREFACE_LIMIT)),
                        _place: place,
                    });
                    return Some((placed, (listener, places)));
                }
                Err(error) => {
                    log::warn!("accepting Flight SQL clients: {error}");
                    sleep(PAUSE).await;
                }
            }
        }
    })
}

impl Connected for Placed {
    type ConnectInfo = ();
    fn connect_info(&self) {}
}

impl AsyncRead for Placed {
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

impl AsyncWrite for Placed {
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
