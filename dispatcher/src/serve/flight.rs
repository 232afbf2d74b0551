//! Serves Flight SQL clients, on the program's own thread or on the workers.

use crate::worker_pool::WorkerPool;
use futures::{Stream, StreamExt};
use sedgebeam_fronts::{flight, incoming};
use sedgebeam_port::supervise;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Calls that one client may have under way.
const MAX_CALLS: usize = 128;
/// A client that answers no ping for as long again has gone.
const KEEPALIVE: Duration = Duration::from_secs(10);

/// Serves clients until the end, and then what they have under way: on the program's own thread,
/// or on the workers, to which connections are handed over.
pub(super) fn serve_flight(
    listener: TcpListener,
    worker_pool: &Arc<WorkerPool>,
    front: &flight::Front,
    end: &watch::Sender<bool>,
    alive: &mpsc::Sender<()>,
    most: usize,
) {
    let accepted = incoming::accept_connections(listener, most);
    if !worker_pool.has_several_workers() {
        let placed = incoming::local_connections(accepted);
        let serving = serve_connections(placed, front.clone(), end.subscribe(), alive.clone());
        supervise::spawn_critical("the Flight SQL front", serving);
        return;
    }
    let mut workers = Vec::new();
    for worker in worker_pool.workers() {
        let (hand_over, taken) = mpsc::channel(most);
        let taken = incoming::transferred_connections(taken);
        let serving = serve_connections(taken, front.clone(), end.subscribe(), alive.clone());
        worker.spawn("the Flight SQL front of a worker", serving);
        workers.push(hand_over);
    }
    let spreading = spread(accepted, worker_pool.clone(), workers, end.subscribe());
    supervise::spawn_critical("accepting Flight SQL clients", spreading);
}

/// Hands connections over to the workers until the end.
async fn spread(
    accepted: impl Stream<Item = incoming::AcceptedConnection>,
    worker_pool: Arc<WorkerPool>,
    workers: Vec<mpsc::Sender<incoming::TransferredConnection>>,
    mut end: watch::Receiver<bool>,
) {
    let mut accepted = std::pin::pin!(accepted);
    loop {
        let next = tokio::select! {
            next = accepted.next() => next,
            _ = end.wait_for(|end| *end) => None,
        };
        let Some(connection) = next else { return };
        let (place, _) = worker_pool.choose_worker();
        let handed = match incoming::TransferredConnection::new(connection) {
            Ok(handed) => workers[place].try_send(handed).map_err(io::Error::other),
            Err(error) => Err(error),
        };
        if let Err(error) = handed {
            log::warn!("a Flight SQL client is not handed over: {error}");
        }
    }
}

/// Serves these connections until the end; counts as a session until then.
async fn serve_connections(
    connections: impl Stream<Item = io::Result<incoming::FlightConnection>> + Send + 'static,
    front: flight::Front,
    mut end: watch::Receiver<bool>,
    alive: mpsc::Sender<()>,
) {
    let served = tonic::transport::Server::builder()
        .concurrency_limit_per_connection(MAX_CALLS)
        .http2_keepalive_interval(Some(KEEPALIVE))
        .add_service(front.service())
        .serve_with_incoming_shutdown(connections, async move {
            // A sender that is gone has ended too.
            let _ = end.wait_for(|end| *end).await;
        });
    if let Err(error) = served.await {
        log::error!("the Flight SQL front: {error}");
    }
    drop(alive);
}
