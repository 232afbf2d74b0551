//! Listeners that are tried for again while they can't be had.

use crate::is_transient;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep};

/// Time between two tries.
const PAUSE: Duration = Duration::from_millis(50);
/// A dispatcher that starts anew has to be ready within ten seconds; what can't be had by then is reported.
const PATIENCE: Duration = Duration::from_secs(8);

/// Connections that may wait to be accepted: more than the process may hold at once. What comes when the queue is full is
/// dropped by the system, and its client tries again only after a second.
const QUEUE: u32 = 1024;

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // As the standard library's listeners do: an address is free again as soon as its last listener is gone.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(QUEUE)
}

/// A listener there. A failure that may pass is tried again for [`PATIENCE`].
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + PATIENCE;
    let mut tries = 0;
    loop {
        match bind(address) {
            Err(error) if is_transient(&error) && Instant::now() < until => {
                if tries == 0 {
                    log::warn!("listening on {address}: {error}; trying again");
                }
                tries += 1;
                sleep(PAUSE).await;
            }
            listening => return listening,
        }
    }
}
