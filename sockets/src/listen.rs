//! Opens listeners, with retries after transient failures.

use crate::is_transient;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep};

/// Time between two attempts to open a listener.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a failure is reported: a restarted dispatcher has to be ready within ten seconds.
const RETRY_TIMEOUT: Duration = Duration::from_secs(8);

/// Length of the accept queue, larger than the number of connections that the process may hold. The system drops
/// connection attempts while the queue is full, and a client retries only after a second.
const BACKLOG: u32 = 1024;

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // As in the standard library: the address can be bound again as soon as its last listener is closed.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Opens a listener. Transient failures are retried for eight seconds (`RETRY_TIMEOUT`).
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + RETRY_TIMEOUT;
    let mut failures = 0;
    loop {
        match bind(address) {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                if failures == 0 {
                    log::warn!("can't listen on {address}: {error}; retrying");
                }
                failures += 1;
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}
