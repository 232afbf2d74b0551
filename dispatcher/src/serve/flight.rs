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

/// Concurrent calls of one client.
const MAX_CALLS_PER_CONNECTION: usize = 128;
/// Interval of HTTP/2 pings. A client that doesn't answer one for as long again counts as disconnected.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Accepts clients until `stop` is set, and serves the open calls to their end: on the main thread, or on the workers, to
/// which the accepted connections are transferred.
pub(super) fn serve_flight(
    listener: TcpListener,
    worker_pool: &Arc<WorkerPool>,
    front: &flight::Front,
    stop: &watch::Sender<bool>,
    session_guard: &mpsc::Sender<()>,
    max_connections: usize,
) {
    let accepted = incoming::accept_connections(listener, max_connections);
    if !worker_pool.has_several_workers() {
        let connections = incoming::local_connections(accepted);
        let serving = serve_connections(
            connections,
            front.clone(),
            stop.subscribe(),
            session_guard.clone(),
        );
        supervise::spawn_critical("the Flight SQL front", serving);
        return;
    }
    let mut workers = Vec::new();
    for worker in worker_pool.workers() {
        let (transfer, transferred) = mpsc::channel(max_connections);
        let connections = incoming::transferred_connections(transferred);
        let serving = serve_connections(
            connections,
            front.clone(),
            stop.subscribe(),
            session_guard.clone(),
        );
        worker.spawn("the Flight SQL front of a worker", serving);
        workers.push(transfer);
    }
    let distributing = distribute(accepted, worker_pool.clone(), workers, stop.subscribe());
    supervise::spawn_critical("accepting Flight SQL clients", distributing);
}

/// Transfers accepted connections to the workers until `stop` is set.
async fn distribute(
    accepted: impl Stream<Item = incoming::AcceptedConnection>,
    worker_pool: Arc<WorkerPool>,
    workers: Vec<mpsc::Sender<incoming::TransferredConnection>>,
    mut stop: watch::Receiver<bool>,
) {
    let mut accepted = std::pin::pin!(accepted);
    loop {
        let accepted_connection = tokio::select! {
            connection = accepted.next() => connection,
            _ = stop.wait_for(|stop| *stop) => None,
        };
        let Some(connection) = accepted_connection else {
            return;
        };
        let (worker_index, _) = worker_pool.choose_worker();
        let result = match incoming::TransferredConnection::new(connection) {
            Ok(transferred) => workers[worker_index]
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
    let served = tonic::transport::Server::builder()
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .add_service(front.service())
        .serve_with_incoming_shutdown(connections, async move {
            // A dropped sender means the same as `true`.
            let _ = stop.wait_for(|stop| *stop).await;
        });
    if let Err(error) = served.await {
        log::error!("the Flight SQL front failed: {error}");
    }
    drop(session_guard);
}
