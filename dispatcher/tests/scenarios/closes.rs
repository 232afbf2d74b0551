//! Connections that the PostgreSQL front closes while their client sends a query, on real sockets. The test takes the
//! place of the broker.

use crate::pg_client::{query, startup, statement};
use sedgebeam_core::{ClassId, Micros, RequestId, TableGroupId};
use sedgebeam_fronts::connection_drain::DrainWatcher;
use sedgebeam_fronts::session_slots::{SessionSlots, SessionState};
use sedgebeam_fronts::{FrontContext, pg};
use sedgebeam_operation::{Drain, DrainState, Metrics};
use sedgebeam_port::{Answer, BrokerMessage, NewRequest, RequestRouter, SessionKey};
use sedgebeam_reconfigure::RuntimeSettings;
use sedgebeam_settings::GatewaySettings;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

/// Ends a test that would otherwise wait forever; no assertion depends on its length.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

struct FrontFixture {
    session_context: pg::SessionContext,
    broker_messages: mpsc::Receiver<BrokerMessage>,
    session_slots: SessionSlots,
    drain_state_sender: watch::Sender<DrainState>,
}

async fn new_fixture(max_sessions: usize) -> FrontFixture {
    let gateway_settings: GatewaySettings =
        miniserde::json::from_str(crate::harness::SETTINGS).expect("settings");
    let runtime_settings = RuntimeSettings {
        settings: gateway_settings.settings(),
        names: gateway_settings.names(),
        max_open_requests: 100,
    };
    let router = RequestRouter::new(1, 1, Metrics::default(), runtime_settings);
    let (broker_sender, broker_messages) = mpsc::channel(64);
    router.open_shard(0, broker_sender).await.expect("a broker");
    let mut drain = Drain::new(false);
    drain.set_prepared();
    let mut fixture = FrontFixture {
        session_context: pg::SessionContext {
            front_context: FrontContext { router },
            max_message_bytes: 16 * 1024,
            lingering_closes: Arc::new(Semaphore::new(4)),
        },
        broker_messages,
        session_slots: SessionSlots::new(max_sessions),
        drain_state_sender: watch::channel(drain.state(Duration::ZERO)).0,
    };
    // The first two messages are the settings and the engine list.
    for _ in 0..2 {
        fixture.broker_messages.recv().await.expect("a message");
    }
    fixture
}

impl FrontFixture {
    /// Starts to serve a connection, once all bytes that its client has sent can be read; returns the client's end.
    async fn serve(&self, client_bytes: &[u8]) -> TcpStream {
        let (client, server) = connected_pair(client_bytes).await;
        let (session_slot, _) = self.session_slots.acquire().expect("a free slot");
        let connection_drain =
            DrainWatcher::new(self.drain_state_sender.subscribe(), Instant::now())
                .new_connection(0.5);
        let session_context = self.session_context.clone();
        tokio::spawn(pg::serve(
            server,
            session_context,
            SessionKey(7),
            connection_drain,
            session_slot,
        ));
        client
    }

    async fn next_broker_message(&mut self) -> BrokerMessage {
        self.broker_messages
            .recv()
            .await
            .expect("a message to the broker")
    }
}

/// Both ends of a connection on which the client has sent these bytes and the server can read them.
async fn connected_pair(client_bytes: &[u8]) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut client = TcpStream::connect(address).await.expect("connects");
    let (server, _) = listener.accept().await.expect("accepts");
    client.write_all(client_bytes).await.expect("writes");
    let mut peeked = vec![0; client_bytes.len()];
    while server.peek(&mut peeked).await.expect("reads") < client_bytes.len() {}
    (client, server)
}

/// Reads all that a client receives until the server closes the connection; a reset fails the test.
async fn read_to_close(mut client: TcpStream) -> String {
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.expect("no reset");
    String::from_utf8_lossy(&received).into_owned()
}

fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let timed_test = async { timeout(HANG_TIMEOUT, test()).await };
    let result = runtime.expect("a runtime").block_on(timed_test);
    result.expect("the test ends in time");
}

/// The session is evicted when its query has arrived and has not been read yet.
#[test]
fn a_query_that_crosses_the_eviction_of_its_session_is_refused() {
    run_test(|| async {
        let mut fixture = new_fixture(1).await;
        let mut client_bytes = startup();
        client_bytes.extend(query(&statement("lookup 1")));
        let client = fixture.serve(&client_bytes).await;
        // The task of the session has not run yet.
        let (new_slot, has_evicted) = fixture
            .session_slots
            .acquire()
            .expect("the slot of an unproven session");
        assert!(has_evicted && new_slot.set_state(SessionState::Busy));
        let received = read_to_close(client).await;
        assert!(received.contains("53300"), "{received}");
        assert!(
            fixture.broker_messages.try_recv().is_err(),
            "the query reached the broker"
        );
    });
}

/// The session is evicted while the maximum number of lingering closes is in use.
#[test]
fn a_query_that_crosses_an_eviction_is_refused_when_no_lingering_close_is_free() {
    run_test(|| async {
        let mut fixture = new_fixture(1).await;
        fixture.session_context.lingering_closes = Arc::new(Semaphore::new(0));
        let mut client_bytes = startup();
        client_bytes.extend(query(&statement("lookup 1")));
        let client = fixture.serve(&client_bytes).await;
        assert!(
            fixture
                .session_slots
                .acquire()
                .expect("the slot of an unproven session")
                .1
        );
        let received = read_to_close(client).await;
        assert!(received.contains("53300"), "{received}");
        assert!(
            fixture.broker_messages.try_recv().is_err(),
            "the query reached the broker"
        );
    });
}

/// The first query may be in transit when a session is evicted, so the client gets an error and not only a close.
#[test]
fn a_session_that_is_evicted_before_its_first_query_gets_an_error() {
    run_test(|| async {
        let fixture = new_fixture(1).await;
        let mut client = fixture.serve(&startup()).await;
        let mut startup_response = [0; 1024];
        assert!(client.read(&mut startup_response).await.expect("reads") > 0);
        let (new_slot, _) = fixture
            .session_slots
            .acquire()
            .expect("the slot of an unproven session");
        assert!(new_slot.set_state(SessionState::Busy));
        let received = read_to_close(client).await;
        assert!(received.contains("53300"), "{received}");
    });
}

/// Bytes that the client has sent meanwhile are unread when the session ends, so a plain close would reset the connection.
#[test]
fn a_session_that_ends_with_unread_bytes_is_closed_without_a_reset() {
    run_test(|| async {
        let fixture = new_fixture(1).await;
        let mut client_bytes = startup();
        (0..7).for_each(|_| client_bytes.extend(query("SELECT 1")));
        let mut client = fixture.serve(&client_bytes).await;
        let (mut received, mut buffer) = (Vec::new(), [0; 1024]);
        let error_count =
            |received: &[u8]| String::from_utf8_lossy(received).matches("42601").count();
        while error_count(&received) < 6 {
            let count = client.read(&mut buffer).await.expect("reads");
            assert!(count > 0, "closed too early");
            received.extend(&buffer[..count]);
        }
        // The server has the seventh query already and reads nothing more before it closes.
        client.write_all(&query("SELECT 1")).await.expect("writes");
        client.read_to_end(&mut received).await.expect("no reset");
        assert_eq!(error_count(&received), 7);
    });
}

/// A new connection finds no free slot while the maximum number of lingering closes is in use.
#[test]
fn a_new_connection_is_rejected_without_a_reset_when_no_lingering_close_is_free() {
    run_test(|| async {
        let mut fixture = new_fixture(1).await;
        fixture.session_context.lingering_closes = Arc::new(Semaphore::new(0));
        let mut client_bytes = startup();
        client_bytes.extend(query(&statement("lookup 1")));
        let (client, server) = connected_pair(&client_bytes).await;
        pg::reject_connection(
            server,
            &fixture.session_context,
            pg::RejectReason::NoFreeSlot,
        )
        .await;
        let received = read_to_close(client).await;
        assert!(received.contains("53300"), "{received}");
    });
}

#[test]
fn a_cancel_reaches_its_request_while_all_session_slots_are_in_use() {
    run_test(|| async {
        let mut fixture = new_fixture(1).await;
        let cancel_token = CancellationToken::new();
        let router = fixture.session_context.front_context.router.clone();
        let request = NewRequest {
            id: RequestId(5),
            class: ClassId(1),
            tenant: None,
            deadline: Instant::now() + HANG_TIMEOUT,
            work: Micros(0),
            memory_mb: 0.0,
            table_group: TableGroupId(0),
            statement: "SELECT".into(),
            is_retry: false,
            idempotency_token: None,
            order_key: None,
            session: Some(SessionKey(7)),
            cancel_token: cancel_token.clone(),
        };
        let pending_answer = router.submit(request).await;
        let BrokerMessage::Submit(_, reply) = fixture.next_broker_message().await else {
            panic!("no request")
        };
        let client_bytes = sedgebeam_lab::wire::cancel(&7u64.to_be_bytes());
        let (client, server) = connected_pair(&client_bytes).await;
        let rejection = pg::reject_connection(
            server,
            &fixture.session_context,
            pg::RejectReason::NoFreeSlot,
        );
        let (_, received) = tokio::join!(rejection, read_to_close(client));
        assert!(received.contains("53300"), "{received}");
        // The token stops the request before the broker has received the message.
        assert!(cancel_token.is_cancelled());
        assert!(matches!(
            fixture.next_broker_message().await,
            BrokerMessage::ClientLeft(RequestId(5))
        ));
        drop(reply);
        assert!(matches!(pending_answer.await, Answer::Refused { .. }));
    });
}
