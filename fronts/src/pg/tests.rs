//! Tests of refusals and of messages sent ahead, over real sockets. The tests act as the broker.

use super::codec::READ_BUFFER_BYTES;
use super::*;
use crate::connection_drain::DrainWatcher;
use crate::session_slots::SessionSlots;
use crate::test_router::{STATEMENT, next_request, refuse_next_request, test_router};
use bytes::BytesMut;
use sedgebeam_operation::{Drain, DrainState};
use sedgebeam_port::Page;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::codec::{Decoder, Encoder};

fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(test);
}

/// The client and the server end of a connection.
async fn connection_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = TcpStream::connect(address).await.expect("connects");
    (client, listener.accept().await.expect("accepts").0)
}

/// A startup packet, followed by a query.
fn startup_and_query(statement: &str) -> Vec<u8> {
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

/// The message and the hint of the first error that the client receives.
async fn next_error(client: &mut TcpStream) -> (String, Option<String>) {
    loop {
        let message_type = client.read_u8().await.expect("a message");
        let length = client.read_u32().await.expect("a length");
        let mut body = vec![0; length as usize - 4];
        client.read_exact(&mut body).await.expect("a body");
        if message_type == b'E' {
            let mut fields = body.split(|byte| *byte == 0);
            let mut field = |field_type: u8| {
                let field = fields.find(|field| field.first() == Some(&field_type));
                field.map(|field| String::from_utf8_lossy(&field[1..]).into_owned())
            };
            return (field(b'M').expect("an error has a message"), field(b'H'));
        }
    }
}

fn session_context(router: &RequestRouter) -> SessionContext {
    SessionContext {
        front_context: FrontContext {
            router: router.clone(),
        },
        max_message_bytes: 16 * 1024,
        lingering_closes: Arc::new(Semaphore::new(4)),
    }
}

/// Serves a connection on which the client has sent these bytes. Returns the client's end and the sender of the drain's
/// state.
async fn start_session(
    router: &RequestRouter,
    drain: Drain,
    sent: &[u8],
) -> (TcpStream, watch::Sender<DrainState>) {
    let (mut client, server) = connection_pair().await;
    client.write_all(sent).await.expect("writes");
    // All bytes are readable before the session begins.
    let mut readable = vec![0; sent.len()];
    while server.peek(&mut readable).await.expect("reads") < sent.len() {}
    let (slot, _) = SessionSlots::new(1).acquire().expect("a slot");
    let (drain_sender, drain_state) = watch::channel(drain.state(Duration::ZERO));
    let connection_drain = DrainWatcher::new(drain_state, Instant::now()).new_connection(0.5);
    tokio::spawn(serve(
        server,
        session_context(router),
        SessionKey(7),
        connection_drain,
        slot,
    ));
    (client, drain_sender)
}

/// The error that answers a query right after the startup. If a broker is given, it refuses the query with this retry
/// delay.
async fn refusal_of(
    router: &RequestRouter,
    drain: Drain,
    statement: &str,
    broker: Option<(
        &mut tokio::sync::mpsc::Receiver<sedgebeam_port::BrokerMessage>,
        Duration,
    )>,
) -> (String, Option<String>) {
    let (mut client, _) = start_session(router, drain, &startup_and_query(statement)).await;
    if let Some((broker, retry_after)) = broker {
        refuse_next_request(broker, retry_after).await;
    }
    next_error(&mut client).await
}

/// The message and the hint of a refusal that suggests this retry delay, or none.
fn expected_error(reason: &str, retry_delay_ms: Option<u64>) -> (String, Option<String>) {
    match retry_delay_ms {
        Some(millis) => (
            format!("{reason}; later={millis}"),
            Some(format!("try again in {millis} ms")),
        ),
        None => (reason.to_string(), None),
    }
}

#[test]
fn a_refused_query_is_answered_with_the_retry_delay_of_its_refusal_if_there_is_one() {
    run(async {
        let (router, mut broker) = test_router(1000).await;
        for (retry_after, retry_delay_ms) in [
            (Duration::from_millis(250), Some(250)),
            (Duration::from_micros(1_999), Some(1)),
            (Duration::from_micros(999), None),
            (Duration::ZERO, None),
        ] {
            let broker = Some((&mut broker, retry_after));
            let error = refusal_of(&router, Drain::new(false), STATEMENT, broker).await;
            let reason = "too busy to run the statement; it did not run";
            assert_eq!(
                error,
                expected_error(reason, retry_delay_ms),
                "{retry_after:?}"
            );
        }
    });
}

/// Values of `max_retry_after`, and the retry delay of a refusal that no queue decided on, in milliseconds.
const CAPPED_DEFAULT_DELAYS_MS: [(u64, Option<u64>); 4] = [
    (0, None),
    (400, Some(400)),
    (1000, Some(1000)),
    (9000, Some(1000)),
];

#[test]
fn a_draining_dispatcher_suggests_the_default_delay_capped_by_the_settings() {
    let reason = "this dispatcher takes no more work; nothing ran";
    for (max_retry_after_ms, retry_delay_ms) in CAPPED_DEFAULT_DELAYS_MS {
        run(async {
            let (router, _broker) = test_router(max_retry_after_ms).await;
            let mut drain = Drain::new(false);
            drain.set_prepared();
            drain.start_lame_duck(Duration::ZERO);
            // The platform sends an empty query to check whether the dispatcher accepts work.
            let error = refusal_of(&router, drain, ";", None).await;
            assert_eq!(
                error,
                expected_error(reason, retry_delay_ms),
                "{max_retry_after_ms}"
            );
            let error = rejection_error(router, RejectReason::Draining).await;
            assert_eq!(
                error,
                expected_error(reason, retry_delay_ms),
                "{max_retry_after_ms}"
            );
        });
    }
}

#[test]
fn a_connection_without_a_free_slot_gets_the_default_delay_capped_by_the_settings() {
    let reason = "there are too many sessions; nothing ran";
    for (max_retry_after_ms, retry_delay_ms) in CAPPED_DEFAULT_DELAYS_MS {
        run(async {
            let (router, _broker) = test_router(max_retry_after_ms).await;
            let error = rejection_error(router, RejectReason::NoFreeSlot).await;
            assert_eq!(
                error,
                expected_error(reason, retry_delay_ms),
                "{max_retry_after_ms}"
            );
        });
    }
}

async fn rejection_error(router: RequestRouter, reason: RejectReason) -> (String, Option<String>) {
    let (mut client, server) = connection_pair().await;
    tokio::spawn(async move { reject_connection(server, &session_context(&router), reason).await });
    next_error(&mut client).await
}

/// A statement of the request with this id, whose client waits for `limit_ms`.
fn statement_with_limit(id: u64, limit_ms: u64) -> String {
    format!("/* verb=lookup,txn={id:016x},limit={limit_ms} */ SELECT 1 FROM sales_1.orders")
}

const REFUSED_WITHOUT_DELAY: Answer = Answer::Refused {
    retry_after: Duration::ZERO,
};

/// Lets all tasks run until they wait, while the clock is paused.
async fn run_all_tasks() {
    for _ in 0..1000 {
        tokio::task::yield_now().await;
    }
}

#[test]
fn the_limit_of_a_command_sent_ahead_counts_from_when_it_was_read() {
    run(async {
        let (router, mut broker) = test_router(1000).await;
        let mut sent = startup_and_query(&statement_with_limit(1, 60_000));
        sent.extend(query(&statement_with_limit(2, 1_500)));
        let (_client, _drain_sender) = start_session(&router, Drain::new(false), &sent).await;
        let (_, reply) = next_request(&mut broker).await;
        tokio::time::pause();
        run_all_tasks().await;
        tokio::time::advance(Duration::from_secs(1)).await;
        assert!(
            reply.send(REFUSED_WITHOUT_DELAY).is_ok(),
            "the session waits for the answer"
        );
        run_all_tasks().await;
        let (request, _reply) = next_request(&mut broker).await;
        let remaining = request.deadline - Instant::now();
        assert!(
            remaining <= Duration::from_millis(500),
            "{remaining:?} remain"
        );
    });
}

#[test]
fn the_limit_of_a_command_sent_after_a_rejected_one_counts_from_when_it_was_received() {
    run(async {
        let (router, mut broker) = test_router(1000).await;
        let (mut client, _drain_sender) =
            start_session(&router, Drain::new(false), &startup_and_query("SELECT 1")).await;
        next_error(&mut client).await;
        tokio::time::pause();
        let sent_at = Instant::now();
        client
            .write_all(&query(&statement_with_limit(2, 1_500)))
            .await
            .expect("writes");
        run_all_tasks().await;
        // The pause after the rejection, during all of which the command waits.
        tokio::time::advance(2 * BASE_REJECTION_PAUSE).await;
        run_all_tasks().await;
        let (request, _reply) = next_request(&mut broker).await;
        let time_limit = request.deadline - sent_at;
        assert!(
            time_limit <= Duration::from_millis(1_500),
            "{time_limit:?} from its last byte"
        );
    });
}

/// The codes of all errors that the client receives until its connection is closed.
async fn error_codes(mut client: TcpStream) -> Vec<String> {
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.expect("no reset");
    let text = String::from_utf8_lossy(&received).into_owned();
    let codes = text.split("VERROR\0C").skip(1);
    codes.map(|code| code[..5].to_string()).collect()
}

#[test]
fn commands_sent_ahead_are_answered_although_a_drain_ends_the_session() {
    run(async {
        let (router, mut broker) = test_router(1000).await;
        let mut sent = startup_and_query(&statement_with_limit(1, 60_000));
        (2..=4).for_each(|id| sent.extend(query(&statement_with_limit(id, 60_000))));
        let (client, drain_sender) = start_session(&router, Drain::new(false), &sent).await;
        let (_, reply) = next_request(&mut broker).await;
        let mut drain = Drain::new(false);
        drain.start_shutdown(Duration::ZERO);
        drain_sender.send_replace(drain.state(Duration::from_secs(1)));
        assert!(
            reply.send(REFUSED_WITHOUT_DELAY).is_ok(),
            "the session waits for the answer"
        );
        assert_eq!(
            error_codes(client).await,
            ["53300", "57P03", "57P03", "57P03"]
        );
        assert!(broker.try_recv().is_err(), "none of them is submitted");
    });
}

#[test]
fn each_command_is_answered_although_too_many_are_sent_ahead() {
    run(async {
        let (router, mut broker) = test_router(1000).await;
        let mut sent = startup_and_query(&statement_with_limit(1, 60_000));
        (2..=80).for_each(|id| sent.extend(query(&statement_with_limit(id, 60_000))));
        let mut drain = Drain::new(false);
        drain.set_prepared();
        let (client, _drain_sender) = start_session(&router, drain, &sent).await;
        let (_, _reply) = next_request(&mut broker).await;
        let codes = error_codes(client).await;
        assert_eq!(codes[0], "08P01");
        assert_eq!(codes.len(), 80, "{codes:?}");
        assert!(codes[1..].iter().all(|code| code == "53300"), "{codes:?}");
    });
}

/// The client closes its connection during the pause after a rejected statement, while a valid command is unprocessed.
#[test]
fn no_command_is_submitted_for_a_client_that_disconnected_during_a_pause() {
    run(async {
        let (router, mut broker) = test_router(1000).await;
        let mut sent = startup_and_query("SELECT 1");
        sent.extend(query(&statement_with_limit(2, 60_000)));
        let (mut client, _drain_sender) = start_session(&router, Drain::new(false), &sent).await;
        next_error(&mut client).await;
        tokio::time::pause();
        drop(client);
        run_all_tasks().await;
        tokio::time::advance(2 * BASE_REJECTION_PAUSE).await;
        run_all_tasks().await;
        assert!(
            !std::iter::from_fn(|| broker.try_recv().ok())
                .any(|message| matches!(message, sedgebeam_port::BrokerMessage::Submit(..))),
            "the command of the disconnected client is submitted"
        );
    });
}

fn message(message_type: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![message_type];
    bytes.extend((body.len() as u32 + 4).to_be_bytes());
    bytes.extend(body);
    bytes
}

/// Decodes a stream that arrives in pieces of this length. Returns the messages and the capacity of the read buffer
/// afterwards.
fn decode_in_pieces(sent: &[u8], piece_length: usize) -> (Vec<ClientMessage>, usize) {
    let mut codec = PgCodec::new(256 * 1024);
    let (mut buffer, mut messages) = (BytesMut::with_capacity(READ_BUFFER_BYTES), Vec::new());
    for piece in sent.chunks(piece_length) {
        buffer.extend_from_slice(piece);
        while let Some(message) = codec.decode(&mut buffer).expect("the input is valid") {
            messages.push(message);
        }
    }
    (messages, buffer.capacity())
}

/// Guards against queued queries that keep the read buffers of the long messages around them: a few clients made the
/// dispatcher exceed its memory limit.
#[test]
fn a_query_keeps_no_more_memory_than_its_own_text() {
    let text = STATEMENT.as_bytes();
    let long = vec![b'x'; 100_000];
    let mut sent = startup_and_query(STATEMENT);
    for _ in 0..3 {
        sent.extend(message(b'P', &long));
        sent.extend(query(STATEMENT));
        // Text behind the zero byte that ends a query.
        sent.extend(message(b'Q', &[text, b"\0", &long].concat()));
    }
    for piece_length in [1_000, 8_192, 20_000, 262_144] {
        let (messages, buffer_capacity) = decode_in_pieces(&sent, piece_length);
        let queries = messages.into_iter().filter_map(|message| match message {
            ClientMessage::Query(text) => Some(text),
            _ => None,
        });
        let queries: Vec<Bytes> = queries.collect();
        assert_eq!(queries.len(), 7);
        for query in queries {
            assert_eq!(query, text);
            let held = query.try_into_mut().map(|buffer| buffer.capacity());
            assert_eq!(held.ok(), Some(text.len()), "{piece_length}");
        }
        let max_capacity = READ_BUFFER_BYTES.max(2 * piece_length);
        assert!(buffer_capacity <= max_capacity, "{buffer_capacity}");
    }
}

/// The statements of one session share a bound, whether they run, wait or are still being received.
#[test]
fn a_long_command_sent_ahead_of_the_answer_to_a_long_one_ends_the_session() {
    run(async {
        let (router, mut broker) = test_router(1000).await;
        let long = |id: u64, length: usize| {
            let statement = statement_with_limit(id, 60_000);
            format!("{statement}{}", " ".repeat(length - statement.len()))
        };
        let mut sent = startup_and_query(&long(1, 15_000));
        // Short commands may be sent ahead even of a long one.
        sent.extend(query(&statement_with_limit(2, 60_000)));
        sent.extend(&query(&long(3, 12_000))[..100]);
        let (client, _drain_sender) = start_session(&router, Drain::new(false), &sent).await;
        let (_, _reply) = next_request(&mut broker).await;
        let codes = tokio::time::timeout(Duration::from_secs(5), error_codes(client)).await;
        assert_eq!(codes.expect("the session ends"), ["08P01", "53300"]);
    });
}

/// Guards against sessions that each keep a write buffer as long as the largest result that they have sent.
#[test]
fn a_page_is_encoded_in_groups_of_whole_rows() {
    let encoded_bytes = |page: &Page| {
        let mut bytes = BytesMut::new();
        let message = ServerMessage::DataRows(page.clone());
        PgCodec::new(0)
            .encode(message, &mut bytes)
            .expect("is encoded");
        bytes
    };
    let long_row = format!("{}\n", "x".repeat(20_000));
    for rows in [
        "a\tb\tc\n".repeat(8_000),
        "\n".repeat(10_000),
        format!("a\n{long_row}{long_row}b\n"),
        "a\tb\tc\ncut off".to_string(),
        String::new(),
    ] {
        let page = Page {
            rows: rows.into(),
            is_last: true,
        };
        let mut encoded = BytesMut::new();
        for group in row_groups(&page) {
            let group_bytes = encoded_bytes(&group);
            let is_single_row = group.rows.iter().filter(|byte| **byte == b'\n').count() == 1;
            assert!(group_bytes.len() <= 8 * 1024 || is_single_row);
            encoded.extend_from_slice(&group_bytes);
        }
        assert_eq!(encoded, encoded_bytes(&page));
    }
}
