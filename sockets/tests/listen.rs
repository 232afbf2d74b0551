//! Tests of the accept queue of a listener whose process accepts no connections.

use std::net::TcpStream;
use std::time::Duration;

/// More clients than connect at once to a process that is stopped.
const CLIENT_COUNT: usize = 300;

/// The system drops the connection attempts of clients while the queue is full; they retry only after a second.
#[test]
fn hundreds_of_clients_can_wait_in_the_accept_queue() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let address = "127.0.0.1:0".parse().expect("an address");
    let listener = runtime.block_on(sedgebeam_sockets::listen(address));
    let listener = listener.expect("a listener");
    let address = listener.local_addr().expect("an address");
    // Nothing is accepted, so a full queue stays full; the timeout only bounds the test.
    let connects =
        (0..CLIENT_COUNT).map(|_| TcpStream::connect_timeout(&address, Duration::from_secs(5)));
    let connected: Vec<TcpStream> = connects.map_while(Result::ok).collect();
    assert_eq!(connected.len(), CLIENT_COUNT);
}
