//! Connections to an engine that speaks Flight SQL.
//!
//! A [`Channel`] of the library connects again by itself when its connection has closed, so a later call of an attempt
//! could reach another process at the same address, or fail with a refused connect although the attempt has begun.
//! Here a channel has one connection for its whole life: once that is closed, each call fails without being sent.

use super::super::FLIGHT_SCHEME;
use arrow_flight::flight_service_client::FlightServiceClient;
use hyper_util::rt::TokioIo;
use sedgebeam_sockets::{SocketStream, set_nodelay};
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tonic::Status;
use tonic::transport::{Channel, Endpoint};

/// The interval of HTTP/2 pings while calls are in flight, and the time limit for their acknowledgement. Without pings
/// a connection that is dead but still open would block its calls and all later ones.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(700);
/// Bound on the size of one gRPC message from an engine.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

pub(super) type Client = FlightServiceClient<Channel>;

/// A channel with one connection, which is never made again.
#[derive(Clone)]
pub(super) struct OpenChannel {
    pub(super) channel: Channel,
    closed: CancellationToken,
}

impl OpenChannel {
    /// Whether the connection has closed. While it closes, calls may fail before this is true.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }
}

/// The socket of a connection; cancels `closed` when it is dropped.
struct TrackedStream {
    stream: SocketStream,
    endpoint: Arc<str>,
    closed: CancellationToken,
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        log::info!("connection to {} ended", self.endpoint);
        self.closed.cancel();
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

pub(super) fn client(channel: Channel) -> Client {
    FlightServiceClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

async fn open_socket(address: &str, connect_timeout: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(connect_timeout, connecting).await;
    let timed_out = |_| io::Error::new(io::ErrorKind::TimedOut, "the connect timed out");
    let stream = connected.map_err(timed_out)??;
    set_nodelay(&stream);
    Ok(stream)
}

async fn connect(
    endpoint: &str,
    connect_timeout: Duration,
) -> Result<OpenChannel, Box<dyn Error + Send + Sync>> {
    let address = endpoint.trim_start_matches(FLIGHT_SCHEME);
    let closed = CancellationToken::new();
    let stream = TrackedStream {
        stream: SocketStream::new(open_socket(address, connect_timeout).await?),
        endpoint: endpoint.into(),
        closed: closed.clone(),
    };
    let unused_stream = Arc::new(Mutex::new(Some(stream)));
    let take_stream = tower::service_fn(move |_uri| {
        let stream = unused_stream
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let connection_closed =
            || io::Error::new(io::ErrorKind::NotConnected, "the connection has closed");
        std::future::ready(stream.map(TokioIo::new).ok_or_else(connection_closed))
    });
    let channel = Endpoint::from_shared(format!("http://{address}"))?
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
        .connect_with_connector(take_stream)
        .await?;
    Ok(OpenChannel { channel, closed })
}

/// Opens a channel; `None`, with a log line, if the engine does not accept the connection.
pub(super) async fn open_channel(
    endpoint: String,
    connect_timeout: Duration,
) -> Option<OpenChannel> {
    let connected = connect(&endpoint, connect_timeout).await;
    connected
        .inspect_err(|error| log::info!("connecting to {endpoint} failed: {error}"))
        .ok()
}

/// Whether the call failed because the connection of its channel had closed before, so that nothing of it was sent.
pub(super) fn is_unsent(status: &Status) -> bool {
    let mut cause = status.source();
    while let Some(error) = cause {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Whether the call failed on its way: the engine has not answered it. A status that the engine sent has no source.
pub(super) fn is_transport_failure(status: &Status) -> bool {
    status.source().is_some()
}
