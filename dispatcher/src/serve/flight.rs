//! Serves Flight SQL clients on the main thread, or on the workers where there are several.

use crate::worker_pool::WorkerPool;
use futures::{Stream, StreamExt};
use sedgebeam_fronts::{flight, incoming};
use sedgebeam_port::supervise;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Concurrent calls on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 128;
/// Interval of HTTP/2 pings. A client that doesn't answer one within tonic's default timeout, 20 s, counts as
/// disconnected.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Accepts clients until `stop` is set, and serves their open calls to the end: on the main thread, or on the workers,
/// to which the accepted connections are transferred.
pub(super) fn serve_flight(
    listener: TcpListener,
    worker_pool: &Arc<WorkerPool>,
    front: &flight::Front,
    stop: &watch::Sender<bool>,
    session_guard: &mpsc::Sender<()>,
    max_connections: usize,
) {
    let accepted_connections = incoming::accept_connections(listener, max_connections);
    if !worker_pool.has_several_workers() {
        let connections = incoming::local_connections(accepted_connections);
        let front_task = serve_connections(
            connections,
            front.clone(),
            stop.subscribe(),
            session_guard.clone(),
        );
        supervise::spawn_critical("the Flight SQL front", front_task);
        return;
    }
    let mut worker_senders = Vec::new();
    for worker in worker_pool.workers() {
        let (sender, receiver) = mpsc::channel(max_connections);
        let connections = incoming::transferred_connections(receiver);
        let front_task = serve_connections(
            connections,
            front.clone(),
            stop.subscribe(),
            session_guard.clone(),
        );
        worker.spawn("the Flight SQL front of a worker", front_task);
        worker_senders.push(sender);
    }
    let distribution_task = distribute_connections(
        accepted_connections,
        worker_pool.clone(),
        worker_senders,
        stop.subscribe(),
    );
    supervise::spawn_critical("accepting Flight SQL clients", distribution_task);
}

/// Transfers accepted connections to the workers until `stop` is set.
async fn distribute_connections(
    accepted_connections: impl Stream<Item = incoming::AcceptedConnection>,
    worker_pool: Arc<WorkerPool>,
    worker_senders: Vec<mpsc::Sender<incoming::TransferredConnection>>,
    mut stop: watch::Receiver<bool>,
) {
    let mut accepted_connections = std::pin::pin!(accepted_connections);
    loop {
        let accepted_connection = tokio::select! {
            connection = accepted_connections.next() => connection,
            _ = stop.wait_for(|stop| *stop) => None,
        };
        let Some(connection) = accepted_connection else {
            return;
        };
        let (worker_index, _) = worker_pool.choose_worker();
        let result = match incoming::TransferredConnection::new(connection) {
            Ok(transferred) => worker_senders[worker_index]
                .try_send(transferred)
                .map_err(io::Error::other),
            Err(error) => Err(error),
        };
        if let Err(error) = result {
            log::warn!("can't transfer a Flight SQL connection to a worker: {error}");
        }
    }
}

/// Serves these connections until `stop` is set and their calls are done; holds a session guard until then.
async fn serve_connections(
    connections: impl Stream<Item = io::Result<incoming::FlightConnection>> + Send + 'static,
    front: flight::Front,
    mut stop: watch::Receiver<bool>,
    session_guard: mpsc::Sender<()>,
) {
    let server = tonic::transport::Server::builder()
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .add_service(front.service())
        .serve_with_incoming_shutdown(connections, async move {
            // A dropped sender means the same as `true`.
            let _ = stop.wait_for(|stop| *stop).await;
        });
    if let Err(error) = server.await {
        log::error!("the Flight SQL front failed: {error}");
    }
    drop(session_guard);
}
