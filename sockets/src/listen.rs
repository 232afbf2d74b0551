//! Listeners that are tried for again while they can't be had.

use crate::may_pass;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Time between two tries.
const PAUSE: Duration = Duration::from_millis(50);
/// A dispatcher that starts anew has to be ready within ten seconds; what can't be had by then is reported.
const PATIENCE: Duration = Duration::from_secs(8);

/// A listener there. A failure that may pass is tried again for [`PATIENCE`].
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + PATIENCE;
    let mut tries = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if may_pass(&error) && Instant::now() < until => {
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
