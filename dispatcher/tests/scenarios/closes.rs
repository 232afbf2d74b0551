//! Ends of connections that cross what their client says, on real sockets: the front alone, before a broker that the
//! test plays.

use crate::pg_client::{query, startup, statement};
use sedgebeam_core::{ClassId, Micros, RequestId, TableGroupId};
use sedgebeam_fronts::connection_drain::DrainWatcher;
use sedgebeam_fronts::session_slots::{SessionSlots, SessionState};
use sedgebeam_fronts::{FrontContext, pg};
use sedgebeam_operation::{Drain, Figures, Orders};
use sedgebeam_port::{Answer, BrokerMessage, NewRequest, RequestRouter, SessionKey};
use sedgebeam_retune::Tuning;
use sedgebeam_settings::Facts;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

/// No verdict hangs on this: it only ends a test that would wait for ever.
const HANGS: Duration = Duration::from_secs(60);

struct Front {
    serving: pg::SessionContext,
    broker: mpsc::Receiver<BrokerMessage>,
    places: SessionSlots,
    orders: watch::Sender<Orders>,
}

async fn front(places: usize) -> Front {
    let facts: Facts = miniserde::json::from_str(crate::harness::SETTINGS).expect("settings");
    let tuning = Tuning {
        settings: facts.settings(),
        names: facts.names(),
        most_open: 100,
    };
    let desk = RequestRouter::new(1, 1, Figures::default(), tuning);
    let (mailbox, broker) = mpsc::channel(64);
    desk.open_shard(0, mailbox).await.expect("a broker");
    let mut drain = Drain::new(false);
    drain.prepared();
    let mut front = Front {
        serving: pg::SessionContext {
            front_context: FrontContext { router: desk },
            max_message_bytes: 16 * 1024,
            lingering_closes: Arc::new(Semaphore::new(4)),
        },
        broker,
        places: SessionSlots::new(places),
        orders: watch::channel(drain.orders(Duration::ZERO)).0,
    };
    // The settings and the list.
    for _ in 0..2 {
        front.broker.recv().await.expect("is told");
    }
    front
}

impl Front {
    /// Serves a connection on which the client has said this, once all of it is there to be read.
    async fn serve(&self, said: &[u8]) -> TcpStream {
        let (client, server) = pair(said).await;
        let (place, _) = self.places.acquire().expect("a place");
        let leave = DrainWatcher::new(self.orders.subscribe(), Instant::now()).new_connection(0.5);
        let serving = self.serving.clone();
        tokio::spawn(pg::serve(server, serving, SessionKey(7), leave, place));
        client
    }

    async fn told(&mut self) -> BrokerMessage {
        self.broker.recv().await.expect("the broker is told")
    }
}

/// Both ends of a connection on which the first has said this and the other can read it.
async fn pair(said: &[u8]) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut client = TcpStream::connect(address).await.expect("connects");
    let (server, _) = listener.accept().await.expect("accepts");
    client.write_all(said).await.expect("writes");
    let mut there = vec![0; said.len()];
    while server.peek(&mut there).await.expect("reads") < said.len() {}
    (client, server)
}

/// All that a client is told, to the end in order of its connection.
async fn heard(mut client: TcpStream) -> String {
    let mut heard = Vec::new();
    client.read_to_end(&mut heard).await.expect("no reset");
    String::from_utf8_lossy(&heard).into_owned()
}

fn inside<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let played = async { timeout(HANGS, test()).await };
    let played = runtime.expect("a runtime").block_on(played);
    played.expect("something that is waited for never comes");
}

/// The query has come and has not been read when the session has to give its place up.
#[test]
fn a_query_that_crosses_the_loss_of_its_place_is_refused() {
    inside(|| async {
        let mut front = front(1).await;
        let mut said = startup();
        said.extend(query(&statement("lookup 1")));
        let client = front.serve(&said).await;
        // Before the session's task has run at all.
        let (newcomer, gave_way) = front.places.acquire().expect("the stranger gives way");
        assert!(gave_way && newcomer.set_state(SessionState::Busy));
        let heard = heard(client).await;
        assert!(heard.contains("53300"), "{heard}");
        assert!(front.broker.try_recv().is_err(), "it was sent on");
    });
}

/// The same where as many connections as may are being closed without a place already.
#[test]
fn a_query_that_crosses_the_loss_of_its_place_is_refused_though_nobody_may_stay_to_hear_it() {
    inside(|| async {
        let mut front = front(1).await;
        front.serving.lingering_closes = Arc::new(Semaphore::new(0));
        let mut said = startup();
        said.extend(query(&statement("lookup 1")));
        let client = front.serve(&said).await;
        assert!(front.places.acquire().expect("the stranger gives way").1);
        let heard = heard(client).await;
        assert!(heard.contains("53300"), "{heard}");
        assert!(front.broker.try_recv().is_err(), "it was sent on");
    });
}

/// Its first query may be on its way when a session has to go: it is told why, and not only closed.
#[test]
fn a_session_that_has_asked_nothing_is_told_why_it_ends() {
    inside(|| async {
        let front = front(1).await;
        let mut client = front.serve(&startup()).await;
        let mut welcome = [0; 1024];
        assert!(client.read(&mut welcome).await.expect("reads") > 0);
        let (newcomer, _) = front.places.acquire().expect("the stranger gives way");
        assert!(newcomer.set_state(SessionState::Busy));
        let heard = heard(client).await;
        assert!(heard.contains("53300"), "{heard}");
    });
}

/// What the client has said meanwhile is unread when the session ends: a plain close would be a reset.
#[test]
fn a_session_that_ends_over_unread_bytes_ends_in_order() {
    inside(|| async {
        let front = front(1).await;
        let mut said = startup();
        (0..7).for_each(|_| said.extend(query("SELECT 1")));
        let mut client = front.serve(&said).await;
        let (mut heard, mut part) = (Vec::new(), [0; 1024]);
        let errors = |heard: &[u8]| String::from_utf8_lossy(heard).matches("42601").count();
        while errors(&heard) < 6 {
            let count = client.read(&mut part).await.expect("reads");
            assert!(count > 0, "closed too early");
            heard.extend(&part[..count]);
        }
        // It has the seventh already, and reads nothing more before it closes.
        client.write_all(&query("SELECT 1")).await.expect("writes");
        client.read_to_end(&mut heard).await.expect("no reset");
        assert_eq!(errors(&heard), 7);
    });
}

/// A newcomer that finds no place, and nobody more may stay to hear why.
#[test]
fn a_newcomer_is_refused_in_order_though_nobody_may_stay_to_hear_it() {
    inside(|| async {
        let mut front = front(1).await;
        front.serving.lingering_closes = Arc::new(Semaphore::new(0));
        let mut said = startup();
        said.extend(query(&statement("lookup 1")));
        let (client, server) = pair(&said).await;
        pg::reject_connection(server, &front.serving, pg::RejectReason::NoFreeSlot).await;
        let heard = heard(client).await;
        assert!(heard.contains("53300"), "{heard}");
    });
}

#[test]
fn a_cancel_finds_its_request_though_all_places_are_taken() {
    inside(|| async {
        let mut front = front(1).await;
        let cancelled = CancellationToken::new();
        let desk = front.serving.front_context.router.clone();
        let request = NewRequest {
            id: RequestId(5),
            class: ClassId(1),
            tenant: None,
            deadline: Instant::now() + HANGS,
            work: Micros(0),
            memory_mb: 0.0,
            group: TableGroupId(0),
            statement: "SELECT".into(),
            is_retry: false,
            idempotency_token: None,
            order_key: None,
            session: Some(SessionKey(7)),
            cancel_token: cancelled.clone(),
        };
        let pending = desk.submit(request).await;
        let BrokerMessage::Submit(_, reply) = front.told().await else {
            panic!("no request")
        };
        let said = sedgebeam_lab::wire::cancel(&7u64.to_be_bytes());
        let (client, server) = pair(&said).await;
        let away = pg::reject_connection(server, &front.serving, pg::RejectReason::NoFreeSlot);
        let (_, heard) = tokio::join!(away, heard(client));
        assert!(heard.contains("53300"), "{heard}");
        // Nothing is sent from then on, before the broker has heard of it.
        assert!(cancelled.is_cancelled());
        assert!(matches!(
            front.told().await,
            BrokerMessage::ClientLeft(RequestId(5))
        ));
        drop(reply);
        assert!(matches!(pending.await, Answer::Refused { .. }));
    });
}
