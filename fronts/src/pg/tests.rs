//! What refused clients are told, on real sockets: the front alone, before a broker that the test plays.

use super::*;
use crate::connection_drain::DrainWatcher;
use crate::session_slots::SessionSlots;
use crate::test_router::{STATEMENT, desk, refuse, submitted};
use sedgebeam_operation::{Drain, DrainState};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

fn inside<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(test);
}

/// Both ends of a connection.
async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = TcpStream::connect(address).await.expect("connects");
    (client, listener.accept().await.expect("accepts").0)
}

/// A start, and a query right behind it.
fn startup_and(statement: &str) -> Vec<u8> {
    let body = b"user\0app\0database\0main\0\0";
    let mut bytes = (body.len() as u32 + 8).to_be_bytes().to_vec();
    bytes.extend((3u32 << 16).to_be_bytes());
    bytes.extend(body);
    bytes.extend(query(statement));
    bytes
}

fn query(statement: &str) -> Vec<u8> {
    let mut bytes = vec![b'Q'];
    bytes.extend((statement.len() as u32 + 5).to_be_bytes());
    bytes.extend(statement.as_bytes());
    bytes.push(0);
    bytes
}

/// The text and the hint of the first error that the client is told.
async fn error(client: &mut TcpStream) -> (String, Option<String>) {
    loop {
        let kind = client.read_u8().await.expect("a message");
        let length = client.read_u32().await.expect("a length");
        let mut body = vec![0; length as usize - 4];
        client.read_exact(&mut body).await.expect("a body");
        if kind == b'E' {
            let mut fields = body.split(|byte| *byte == 0);
            let mut field = |mark: u8| {
                let found = fields.find(|field| field.first() == Some(&mark));
                found.map(|field| String::from_utf8_lossy(&field[1..]).into_owned())
            };
            return (field(b'M').expect("a text"), field(b'H'));
        }
    }
}

fn serving(desk: &RequestRouter) -> SessionContext {
    SessionContext {
        front_context: FrontContext {
            router: desk.clone(),
        },
        max_message_bytes: 16 * 1024,
        lingering_closes: Arc::new(Semaphore::new(4)),
    }
}

/// Has the front serve a connection on which the client has said this; the client's end, and the drain's orders.
async fn session(
    desk: &RequestRouter,
    drain: Drain,
    said: &[u8],
) -> (TcpStream, watch::Sender<DrainState>) {
    let (mut client, server) = pair().await;
    client.write_all(said).await.expect("writes");
    // All of it is there to be read before the session begins.
    let mut there = vec![0; said.len()];
    while server.peek(&mut there).await.expect("reads") < said.len() {}
    let (place, _) = SessionSlots::new(1).acquire().expect("a place");
    let (order, orders) = watch::channel(drain.state(Duration::ZERO));
    let leave = DrainWatcher::new(orders, Instant::now()).new_connection(0.5);
    tokio::spawn(serve(server, serving(desk), SessionKey(7), leave, place));
    (client, order)
}

/// Has the front serve a connection that begins with this query; the broker refuses it with that advice, if it comes so far.
async fn refused(
    desk: &RequestRouter,
    drain: Drain,
    statement: &str,
    broker: Option<(
        &mut tokio::sync::mpsc::Receiver<sedgebeam_port::BrokerMessage>,
        Duration,
    )>,
) -> (String, Option<String>) {
    let (mut client, _) = session(desk, drain, &startup_and(statement)).await;
    if let Some((broker, retry_after)) = broker {
        refuse(broker, retry_after).await;
    }
    error(&mut client).await
}

/// The text and the hint that advise to stay away for so many milliseconds, or for no time.
fn advising(reason: &str, millis: Option<u64>) -> (String, Option<String>) {
    match millis {
        Some(millis) => (
            format!("{reason}; later={millis}"),
            Some(format!("try again in {millis} ms")),
        ),
        None => (reason.to_string(), None),
    }
}

#[test]
fn a_refused_query_hears_the_advice_of_its_refusal_and_none_where_there_is_none() {
    inside(async {
        let (desk, mut broker) = desk(1000).await;
        for (retry_after, told) in [
            (Duration::from_millis(250), Some(250)),
            (Duration::from_micros(1_999), Some(1)),
            (Duration::from_micros(999), None),
            (Duration::ZERO, None),
        ] {
            let broker = Some((&mut broker, retry_after));
            let heard = refused(&desk, Drain::new(false), STATEMENT, broker).await;
            let reason = "too busy to run the statement; it did not run";
            assert_eq!(heard, advising(reason, told), "{retry_after:?}");
        }
    });
}

/// The longest advice that the settings allow, and what a refusal that no queue decided on tells then.
const FIXED: [(u64, Option<u64>); 4] = [
    (0, None),
    (400, Some(400)),
    (1000, Some(1000)),
    (9000, Some(1000)),
];

#[test]
fn a_draining_dispatcher_advises_as_far_as_the_settings_allow() {
    let reason = "this dispatcher takes no more work; nothing ran";
    for (longest, told) in FIXED {
        inside(async {
            let (desk, _broker) = desk(longest).await;
            let mut drain = Drain::new(false);
            drain.set_prepared();
            drain.start_lame_duck(Duration::ZERO);
            // The platform's front asks with an empty query whether work is taken.
            let heard = refused(&desk, drain, ";", None).await;
            assert_eq!(heard, advising(reason, told), "{longest}");
            let heard = turned_away(desk, RejectReason::Draining).await;
            assert_eq!(heard, advising(reason, told), "{longest}");
        });
    }
}

#[test]
fn who_finds_no_place_is_advised_as_far_as_the_settings_allow() {
    let reason = "there are too many sessions; nothing ran";
    for (longest, told) in FIXED {
        inside(async {
            let (desk, _broker) = desk(longest).await;
            let heard = turned_away(desk, RejectReason::NoFreeSlot).await;
            assert_eq!(heard, advising(reason, told), "{longest}");
        });
    }
}

async fn turned_away(desk: RequestRouter, why: RejectReason) -> (String, Option<String>) {
    let (mut client, server) = pair().await;
    tokio::spawn(async move { reject_connection(server, &serving(&desk), why).await });
    error(&mut client).await
}

/// A statement of a request of this name, whose client waits for so many milliseconds.
fn limited(name: u64, limit: u64) -> String {
    format!("/* verb=lookup,txn={name:016x},limit={limit} */ SELECT 1 FROM sales_1.orders")
}

const NO_ADVICE: Answer = Answer::Refused {
    retry_after: Duration::ZERO,
};

/// Lets everything that can run do so, while the clock stands still.
async fn run_all() {
    for _ in 0..1000 {
        tokio::task::yield_now().await;
    }
}

#[test]
fn a_command_sent_ahead_has_waited_since_it_was_read() {
    inside(async {
        let (desk, mut broker) = desk(1000).await;
        let mut said = startup_and(&limited(1, 60_000));
        said.extend(query(&limited(2, 1_500)));
        let (_client, _order) = session(&desk, Drain::new(false), &said).await;
        let (_, reply) = submitted(&mut broker).await;
        tokio::time::pause();
        run_all().await;
        tokio::time::advance(Duration::from_secs(1)).await;
        assert!(reply.send(NO_ADVICE).is_ok(), "is waited for");
        run_all().await;
        let (request, _reply) = submitted(&mut broker).await;
        let left = request.deadline - Instant::now();
        assert!(left <= Duration::from_millis(500), "{left:?} are left");
    });
}

#[test]
fn a_command_sent_after_a_useless_one_has_waited_since_it_came() {
    inside(async {
        let (desk, mut broker) = desk(1000).await;
        let (mut client, _order) =
            session(&desk, Drain::new(false), &startup_and("SELECT 1")).await;
        error(&mut client).await;
        tokio::time::pause();
        let sent = Instant::now();
        client
            .write_all(&query(&limited(2, 1_500)))
            .await
            .expect("writes");
        run_all().await;
        // The pause before more is listened to; by then the command has been there for all of it.
        tokio::time::advance(2 * FIRST_PAUSE).await;
        run_all().await;
        let (request, _reply) = submitted(&mut broker).await;
        let waits = request.deadline - sent;
        assert!(
            waits <= Duration::from_millis(1_500),
            "{waits:?} from its last byte"
        );
    });
}

/// The codes of all errors that the client is told, to the end of its connection.
async fn codes(mut client: TcpStream) -> Vec<String> {
    let mut heard = Vec::new();
    client.read_to_end(&mut heard).await.expect("no reset");
    let text = String::from_utf8_lossy(&heard).into_owned();
    let codes = text.split("VERROR\0C").skip(1);
    codes.map(|code| code[..5].to_string()).collect()
}

#[test]
fn what_was_sent_ahead_is_answered_though_the_session_ends_in_a_drain() {
    inside(async {
        let (desk, mut broker) = desk(1000).await;
        let mut said = startup_and(&limited(1, 60_000));
        (2..=4).for_each(|name| said.extend(query(&limited(name, 60_000))));
        let (client, order) = session(&desk, Drain::new(false), &said).await;
        let (_, reply) = submitted(&mut broker).await;
        let mut ending = Drain::new(false);
        ending.start_shutdown(Duration::ZERO);
        order.send_replace(ending.state(Duration::from_secs(1)));
        assert!(reply.send(NO_ADVICE).is_ok(), "is waited for");
        assert_eq!(codes(client).await, ["53300", "57P03", "57P03", "57P03"]);
        assert!(broker.try_recv().is_err(), "nothing of them is sent on");
    });
}

#[test]
fn each_of_too_many_commands_sent_ahead_is_answered() {
    inside(async {
        let (desk, mut broker) = desk(1000).await;
        let mut said = startup_and(&limited(1, 60_000));
        (2..=80).for_each(|name| said.extend(query(&limited(name, 60_000))));
        let mut serving = Drain::new(false);
        serving.set_prepared();
        let (client, _order) = session(&desk, serving, &said).await;
        let (_, _reply) = submitted(&mut broker).await;
        let codes = codes(client).await;
        assert_eq!(codes[0], "08P01");
        assert_eq!(codes.len(), 80, "{codes:?}");
        assert!(codes[1..].iter().all(|code| code == "53300"), "{codes:?}");
    });
}

/// It goes while nothing is listened to after a useless command, and leaves a good one behind.
#[test]
fn nothing_is_begun_for_a_client_that_has_gone_during_a_pause() {
    inside(async {
        let (desk, mut broker) = desk(1000).await;
        let mut said = startup_and("SELECT 1");
        said.extend(query(&limited(2, 60_000)));
        let (mut client, _order) = session(&desk, Drain::new(false), &said).await;
        error(&mut client).await;
        tokio::time::pause();
        drop(client);
        run_all().await;
        tokio::time::advance(2 * FIRST_PAUSE).await;
        run_all().await;
        assert!(
            !std::iter::from_fn(|| broker.try_recv().ok())
                .any(|told| matches!(told, sedgebeam_port::BrokerMessage::Submit(..))),
            "its command is begun"
        );
    });
}
