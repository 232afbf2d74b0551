//! A listener whose owner accepts nothing for a while.

use std::net::TcpStream;
use std::time::Duration;

/// More clients than come at one moment to a process that stands still.
const CLIENTS: usize = 300;

/// A client that finds the queue full is dropped by the system and tries again only after a second.
#[test]
fn hundreds_of_clients_wait_for_a_listener_that_accepts_nothing_yet() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let address = "127.0.0.1:0".parse().expect("an address");
    let listener = runtime.block_on(sedgebeam_sockets::listen(address));
    let listener = listener.expect("a listener");
    let address = listener.local_addr().expect("an address");
    // Nothing is accepted: a queue that is full stays full, so this only ends the test.
    let connects =
        (0..CLIENTS).map(|_| TcpStream::connect_timeout(&address, Duration::from_secs(5)));
    let connected: Vec<TcpStream> = connects.map_while(Result::ok).collect();
    assert_eq!(connected.len(), CLIENTS);
}
