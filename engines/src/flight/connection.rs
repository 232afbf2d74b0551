//! Connections to an engine that speaks Flight SQL.

use super::super::FLIGHT_SCHEME;
use arrow_flight::flight_service_client::FlightServiceClient;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};

/// The interval of HTTP/2 pings while calls are in flight, and the time limit for their acknowledgement. Without pings
/// a connection that is dead but still open would block its calls and all later ones.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(700);
/// Bound on the size of one gRPC message from an engine.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

pub(super) type Client = FlightServiceClient<Channel>;

pub(super) fn client(channel: Channel) -> Client {
    FlightServiceClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

async fn connect(
    endpoint: &str,
    connect_timeout: Duration,
) -> Result<Channel, tonic::transport::Error> {
    let address = endpoint.trim_start_matches(FLIGHT_SCHEME);
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(connect_timeout)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
        .tcp_nodelay(true);
    endpoint.connect().await
}

pub(super) async fn open_channel(endpoint: String, connect_timeout: Duration) -> Option<Channel> {
    let connected = connect(&endpoint, connect_timeout).await;
    connected
        .inspect_err(|error| log::info!("connecting to {endpoint} failed: {error}"))
        .ok()
}
