//! The actor of one engine, without a broker, against scripted engines.

use crate::engines;
use crate::flight_engine;
use crate::harness::{Peer, peer_channels};
use bytes::Bytes;
use sedgebeam_core::{AttemptNo, EngineId, Micros, Note, RequestId};
use sedgebeam_engines::{ConnectionSlots, NetworkTransport};
use sedgebeam_operation::Metrics;
use sedgebeam_port::{
    Attempt, AttemptResult, BrokerMessage, EngineActorId, EngineCommand, EngineReport,
    EngineReporter, EngineSender, EngineTransport, Page, ProbeResult, Target,
};
use sedgebeam_settings::ConnectionSettings;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const ACTOR: EngineActorId = EngineActorId {
    engine: EngineId(1),
    instance: 0,
};

/// Longer than any test runs.
const LONGER_THAN_ANY_TEST: Duration = Duration::from_secs(600);

struct ActorFixture {
    engine: Peer,
    actor: EngineSender,
    reports: mpsc::Receiver<BrokerMessage>,
    /// The cancel token and the latest start of the next attempt.
    cancel_token: CancellationToken,
    starts_by: Instant,
}

async fn new_fixture() -> ActorFixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let endpoint = listener.local_addr().expect("an address").to_string();
    let (engine, peer_task) = peer_channels();
    tokio::spawn(engines::run_resp_engine(listener, peer_task));
    fixture_for_endpoint(engine, endpoint, 3)
}

/// An actor for the engine at this endpoint, with its limit on connections.
fn fixture_for_endpoint(engine: Peer, endpoint: String, max_connections: usize) -> ActorFixture {
    fixture_with_shared_slots(
        engine,
        endpoint,
        max_connections,
        64,
        ConnectionSlots::default(),
    )
}

/// An actor with a limit on the connections to all engines together, and the slots that it shares with other actors.
fn fixture_with_shared_slots(
    engine: Peer,
    endpoint: String,
    max_connections: usize,
    max_total_connections: usize,
    slots: ConnectionSlots,
) -> ActorFixture {
    let connections = ConnectionSettings {
        max_per_engine: max_connections,
        max_total: max_total_connections,
        max_streams: 2,
        connect_timeout: Micros::from_millis(5000),
        idle_timeout: Micros::from_millis(30_000),
        max_open_requests: 10,
    };
    let (broker, reports) = mpsc::channel(16);
    let target = Target {
        uid: "e1".to_string(),
        endpoint,
        ..Target::default()
    };
    let engine_transport = NetworkTransport {
        connections: watch::channel(connections).1,
        metrics: Metrics::default(),
        slots,
    };
    let actor = engine_transport.start(&target, EngineReporter::new(ACTOR, broker));
    ActorFixture {
        engine,
        actor,
        reports,
        cancel_token: CancellationToken::new(),
        starts_by: Instant::now() + LONGER_THAN_ANY_TEST,
    }
}

/// Waits for the next report other than `Idle`.
async fn next_report_except_idle(
    reports: &mut mpsc::Receiver<BrokerMessage>,
) -> Option<BrokerMessage> {
    loop {
        let report = reports.recv().await;
        if !matches!(
            report,
            Some(BrokerMessage::EngineReport(_, EngineReport::Idle(_)))
        ) {
            return report;
        }
    }
}

impl ActorFixture {
    async fn send_command(&self, command: EngineCommand) {
        self.actor.send(command).await.expect("an actor");
    }

    async fn send_attempt(&self, id: u64, attempt_no: u32) {
        self.send_attempt_with_statement(id, attempt_no, "SELECT".into())
            .await;
    }

    async fn send_attempt_with_statement(&self, id: u64, attempt_no: u32, statement: Bytes) {
        let attempt = Attempt {
            request: RequestId(id),
            attempt_no: AttemptNo(attempt_no),
            class: "lookup".into(),
            deadline: Instant::now() + Duration::from_secs(9),
            priority: 1,
            memory_grant_mb: None,
            statement,
            idempotency_token: None,
            order_key: None,
            cancel_token: self.cancel_token.child_token(),
            starts_by: self.starts_by,
        };
        self.send_command(EngineCommand::Send(attempt)).await;
    }

    /// Waits until the actor has received all commands.
    async fn wait_until_commands_received(&self) {
        while self.actor.capacity() < self.actor.max_capacity() {
            tokio::task::yield_now().await;
        }
    }

    async fn expect_engine_receives(&mut self, prefix: &str) {
        let command = self.engine.events.recv().await.expect("a command");
        assert!(command.starts_with(prefix), "{prefix}: got {command:?}");
    }

    fn send_engine_reply(&self, reply: &str) {
        self.engine
            .commands
            .send(reply.to_string())
            .expect("an engine");
    }

    /// Expects that the next report is the end of the attempt at this request with this result.
    async fn expect_attempt_ended(&mut self, id: u64, expected: AttemptResult) {
        match self.next_report().await {
            EngineReport::AttemptEnded(request, _, result) => {
                assert_eq!((request.0, result), (id, expected))
            }
            other => panic!("the attempt has not ended: {other:?}"),
        }
    }

    /// Expects that the next report confirms the abort of the first attempt at this request.
    async fn expect_abort_confirmed(&mut self, id: u64) {
        match self.next_report().await {
            EngineReport::AbortConfirmed(request, AttemptNo(0)) => assert_eq!(request.0, id),
            other => panic!("no confirmation of an abort: {other:?}"),
        }
    }

    async fn next_report(&mut self) -> EngineReport {
        match next_report_except_idle(&mut self.reports).await {
            Some(BrokerMessage::EngineReport(ACTOR, report)) => report,
            other => panic!("no report: {other:?}"),
        }
    }
}

fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    // Ends a test that would otherwise wait forever; no assertion depends on its length.
    let timed_test = async { tokio::time::timeout(Duration::from_secs(60), test()).await };
    let result = runtime.expect("a runtime").block_on(timed_test);
    result.expect("the test ends in time");
}

#[test]
fn a_probe_reports_the_load_or_that_the_engine_is_down() {
    run_test(|| async {
        let mut fixture = new_fixture().await;
        fixture.send_command(EngineCommand::Probe).await;
        fixture.expect_engine_receives("stats p1").await;
        fixture.send_engine_reply("p1 raw *4\\r\\n$2\\r\\np1\\r\\n$2\\r\\nUP\\r\\n$15\\r\\ngauges=util:0.5\\r\\n$0\\r\\n\\r\\n");
        let EngineReport::Probed(ProbeResult::Up(Some(load))) = fixture.next_report().await else {
            panic!("no load report")
        };
        assert_eq!(load.busy_cores_share, Some(0.5));
        fixture.send_command(EngineCommand::Probe).await;
        fixture.expect_engine_receives("stats p2").await;
        fixture
            .send_engine_reply("p2 raw *3\\r\\n$2\\r\\np2\\r\\n$4\\r\\nDOWN\\r\\n$1\\r\\n-\\r\\n");
        assert!(matches!(
            fixture.next_report().await,
            EngineReport::Probed(ProbeResult::Down)
        ));
        // A probe without an answer times out.
        fixture.send_command(EngineCommand::Probe).await;
        assert!(matches!(
            fixture.next_report().await,
            EngineReport::Probed(ProbeResult::TimedOut)
        ));
    });
}

#[test]
fn a_late_answer_is_not_attributed_to_a_later_attempt() {
    run_test(|| async {
        let mut fixture = new_fixture().await;
        fixture.send_attempt(1, 0).await;
        fixture.expect_engine_receives("fetch 1").await;
        fixture
            .send_command(EngineCommand::Abort(RequestId(1), AttemptNo(0)))
            .await;
        fixture.expect_engine_receives("abort 1").await;
        fixture.expect_abort_confirmed(1).await;
        // The answer to the aborted attempt arrives on the old connection while the next attempt is in flight on a new one.
        fixture.send_attempt(1, 1).await;
        fixture.expect_engine_receives("fetch 1").await;
        let id = "$16\\r\\n0000000000000001";
        fixture.send_engine_reply(&format!(
            "old raw *4\\r\\n{id}\\r\\n$2\\r\\nOK\\r\\n$7\\r\\nparts=1\\r\\n$0\\r\\n\\r\\n"
        ));
        fixture.expect_engine_receives("done 1").await;
        fixture.send_engine_reply("1 OK 1 new|new|new");
        let EngineReport::AttemptEnded(RequestId(1), AttemptNo(1), AttemptResult::Ok { page, .. }) =
            fixture.next_report().await
        else {
            panic!("the attempt did not succeed")
        };
        assert_eq!(&page.rows[..], b"new\tnew\tnew\n");
    });
}

#[test]
fn each_attempt_below_the_limit_has_its_own_connection_and_ends_with_it() {
    run_test(|| async {
        let mut fixture = new_fixture().await;
        for id in 1..=3 {
            fixture.send_attempt(id, 0).await;
            fixture.expect_engine_receives(&format!("fetch {id}")).await;
        }
        // A malformed answer on the third connection ends the third attempt only.
        fixture.send_engine_reply("3 raw nonsense\\r\\n");
        fixture.expect_attempt_ended(3, AttemptResult::Reset).await;
        fixture.send_engine_reply("1 BUSY");
        fixture.expect_attempt_ended(1, AttemptResult::Busy).await;
        fixture.send_engine_reply("2 VOID");
        fixture.expect_attempt_ended(2, AttemptResult::NotRun).await;
    });
}

#[test]
fn a_malformed_answer_resets_its_attempt_though_the_engine_keeps_the_connection_open() {
    let id = "*4\\r\\n$16\\r\\n0000000000000001\\r\\n$2\\r\\nOK\\r\\n";
    let malformed_answers = [
        // Rows with the wrong number of cells, a page count out of bounds, lengths that are wrong or out of bounds, an
        // answer that stops early, and a page that never arrives.
        "OK 1 a|b".to_string(),
        "OK 1 a|b|c;d|e".to_string(),
        "OK 99 a|b|c".to_string(),
        format!("raw {id}$7\\r\\nparts=1\\r\\n$3\\r\\na\\tb\\tc\\n\\r\\n"),
        format!("raw {id}$7\\r\\nparts=1\\r\\n$3000000000\\r\\n"),
        format!("raw {id}$7\\r\\n"),
        "OK 2 a|b|c".to_string(),
    ];
    for answer in malformed_answers {
        run_test(|| async {
            let mut fixture = new_fixture().await;
            fixture.send_attempt(1, 0).await;
            fixture.expect_engine_receives("fetch 1").await;
            fixture.send_engine_reply(&format!("1 {answer}"));
            fixture.expect_attempt_ended(1, AttemptResult::Reset).await;
        });
    }
}

#[test]
fn duplicate_answers_and_answers_to_unknown_requests_are_ignored() {
    run_test(|| async {
        let mut fixture = new_fixture().await;
        fixture.send_attempt(1, 0).await;
        fixture.expect_engine_receives("fetch 1").await;
        fixture.send_engine_reply("9 OK 1 no|no|no");
        fixture.send_engine_reply("8 WHAT");
        fixture.send_engine_reply(
            "old raw *3\\r\\n$4\\r\\nzzzz\\r\\n$3\\r\\nERR\\r\\n$1\\r\\n-\\r\\n",
        );
        fixture.send_engine_reply("1 OK 2 a|b|c");
        fixture.expect_engine_receives("more 1 1").await;
        fixture.send_engine_reply("1 OK 2 a|b|c");
        fixture.send_engine_reply("1 ROWS 1 d|e|f");
        let rows = Bytes::from_static(b"a\tb\tc\nd\te\tf\n");
        let page = Page {
            rows,
            is_last: true,
        };
        let work = Some(Micros::from_millis(80));
        let load = None;
        fixture
            .expect_attempt_ended(1, AttemptResult::Ok { page, work, load })
            .await;
        // A duplicate of the rejection of an attempt must not be attributed to the next attempt.
        fixture.send_attempt(2, 0).await;
        fixture.expect_engine_receives("done 1").await;
        fixture.expect_engine_receives("fetch 2").await;
        fixture.send_engine_reply("2 BUSY");
        fixture.expect_attempt_ended(2, AttemptResult::Busy).await;
        fixture.send_attempt(2, 1).await;
        fixture.expect_engine_receives("fetch 2").await;
        fixture.send_engine_reply("old BUSY");
        let id = "$16\\r\\n0000000000000002";
        fixture.send_engine_reply(&format!(
            "old raw *3\\r\\n{id}\\r\\n$4\\r\\nBUSY\\r\\n$1\\r\\n-\\r\\n"
        ));
        fixture.send_command(EngineCommand::Probe).await;
        fixture.expect_engine_receives("stats p1").await;
        fixture.send_engine_reply("2 VOID");
        fixture.expect_attempt_ended(2, AttemptResult::NotRun).await;
    });
}

#[test]
fn a_written_attempt_is_never_returned_as_unsent_when_its_engine_drains() {
    // The drain starts at different points: at some of them, the connection has just opened and written the attempt,
    // and the actor does not know it yet.
    for yields in 0..200 {
        run_test(|| async {
            let mut fixture = new_fixture().await;
            fixture.send_attempt(1, 0).await;
            for _ in 0..yields % 20 {
                tokio::task::yield_now().await;
            }
            fixture.send_command(EngineCommand::ReturnUnsent).await;
            fixture.send_command(EngineCommand::Probe).await;
            let command = fixture.engine.events.recv().await.expect("a command");
            if command.starts_with("stats") {
                return;
            }
            assert!(command.starts_with("fetch 1"), "{command}");
            fixture.send_engine_reply("1 VOID");
            fixture.expect_attempt_ended(1, AttemptResult::NotRun).await;
        });
    }
}

/// An attempt that is aborted while its connection opens must not be written later: another attempt may have answered the
/// request by then.
#[test]
fn an_attempt_aborted_while_its_connection_opens_is_never_written() {
    run_test(|| async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("a port");
        let listener = socket.listen(0).expect("listens");
        let endpoint = listener.local_addr().expect("an address").to_string();
        // Connections that are not accepted fill the listen backlog, so that the next connection attempt waits.
        let mut backlog_connections = Vec::new();
        while let Ok(Ok(stream)) =
            tokio::time::timeout(Duration::from_millis(200), TcpStream::connect(&endpoint)).await
        {
            backlog_connections.push(stream);
        }
        let (engine, peer_task) = peer_channels();
        let mut fixture = fixture_for_endpoint(engine, endpoint, 1);
        fixture.send_attempt(1, 0).await;
        fixture.send_attempt(2, 0).await;
        fixture
            .send_command(EngineCommand::Abort(RequestId(1), AttemptNo(0)))
            .await;
        // The actor has received all commands before the backlog has space.
        fixture.wait_until_commands_received().await;
        drop(backlog_connections);
        tokio::spawn(engines::run_resp_engine(listener, peer_task));
        fixture.expect_engine_receives("fetch 2").await;
        fixture.expect_abort_confirmed(1).await;
        fixture.send_engine_reply("2 OK 1 a|b|c");
        assert!(matches!(
            fixture.next_report().await,
            EngineReport::AttemptEnded(RequestId(2), _, AttemptResult::Ok { .. })
        ));
    });
}

/// An attempt that is queued behind a blocked write must not be written once it may not start any more: it was aborted, its
/// client has disconnected, its engine drains, or its start limit has passed.
#[test]
fn an_attempt_that_may_not_start_any_more_is_not_written_when_its_engine_reads_again() {
    for cause in ["aborted", "client left", "engine drains", "too late"] {
        run_test(|| async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let endpoint = listener.local_addr().expect("an address").to_string();
            let mut fixture = fixture_for_endpoint(peer_channels().0, endpoint, 1);
            // More than the socket buffers of both sides can take.
            fixture
                .send_attempt_with_statement(1, 0, vec![b'x'; 32 << 20].into())
                .await;
            let (mut engine, _) = listener.accept().await.expect("accepts");
            engine.readable().await.expect("the write has begun");
            fixture.cancel_token = CancellationToken::new();
            if cause == "too late" {
                fixture.starts_by = Instant::now();
            }
            fixture.send_attempt(2, 0).await;
            fixture.wait_until_commands_received().await;
            let attempt_no = AttemptNo(0);
            match cause {
                "aborted" => {
                    fixture
                        .send_command(EngineCommand::Abort(RequestId(2), attempt_no))
                        .await
                }
                "client left" => fixture.cancel_token.cancel(),
                "engine drains" => fixture.send_command(EngineCommand::ReturnUnsent).await,
                _ => {}
            }
            // A command that is written after the attempt shows when the attempt would have been written.
            fixture
                .send_command(EngineCommand::Reprioritize(RequestId(1), attempt_no, 3))
                .await;
            fixture.wait_until_commands_received().await;
            let (mut received, mut buffer) = (Vec::new(), vec![0; 1 << 20]);
            let tail_contains = |received: &[u8], text: &str| {
                let tail = &received[received.len().saturating_sub(1 << 10)..];
                String::from_utf8_lossy(tail).contains(text)
            };
            while !tail_contains(&received, "renice") {
                let count = engine.read(&mut buffer).await.expect("reads");
                assert!(count > 0, "{cause}: the connection ended");
                received.extend(&buffer[..count]);
            }
            assert!(
                !tail_contains(&received, "fetch\r\n$16\r\n0000000000000002"),
                "{cause}: the attempt was written"
            );
            if cause != "aborted" {
                fixture.expect_attempt_ended(2, AttemptResult::NotRun).await;
            }
        });
    }
}

/// The limit on connections to all engines together applies in addition to the limit of each engine. An idle connection
/// is closed when another engine needs its slot, and an attempt that gets no slot ends as not run, which is no failure
/// of its engine.
#[test]
fn an_idle_connection_is_closed_to_free_its_slot_for_another_engine() {
    run_test(|| async {
        let slots = ConnectionSlots::default();
        let mut fixtures = Vec::new();
        for _ in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let endpoint = listener.local_addr().expect("an address").to_string();
            let (engine, peer_task) = peer_channels();
            tokio::spawn(engines::run_resp_engine(listener, peer_task));
            fixtures.push(fixture_with_shared_slots(
                engine,
                endpoint,
                3,
                1,
                slots.clone(),
            ));
        }
        let [first, second] = &mut fixtures[..] else {
            panic!("two fixtures")
        };
        first.send_attempt(1, 0).await;
        first.expect_engine_receives("fetch 1").await;
        second.send_attempt(2, 0).await;
        second.expect_attempt_ended(2, AttemptResult::NotRun).await;
        first.send_engine_reply("1 BUSY");
        first.expect_attempt_ended(1, AttemptResult::Busy).await;
        // The connection is idle now: an attempt at the second engine that gets no slot asks for it, and a later one gets it.
        let mut id = 3;
        loop {
            second.send_attempt(id, 0).await;
            tokio::select! {
                command = second.engine.events.recv() => {
                    assert!(
                        command
                            .expect("a command")
                            .starts_with(&format!("fetch {id}"))
                    );
                    return;
                }
                report = next_report_except_idle(&mut second.reports) => {
                    let not_run =
                        EngineReport::AttemptEnded(RequestId(id), AttemptNo(0), AttemptResult::NotRun);
                    assert_eq!(
                        format!("{report:?}"),
                        format!("{:?}", Some(BrokerMessage::EngineReport(ACTOR, not_run)))
                    );
                }
            }
            id += 1;
        }
    });
}

#[test]
fn a_flight_attempt_past_its_start_limit_is_not_sent_once_its_connection_is_open() {
    run_test(|| async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut fixture = fixture_for_endpoint(peer_channels().0, format!("grpc://{address}"), 1);
        fixture.starts_by = Instant::now();
        fixture.send_attempt(1, 0).await;
        fixture.expect_attempt_ended(1, AttemptResult::NotRun).await;
    });
}

/// Guards against an engine that counts as down because its probe went to a connection that takes no further calls.
#[test]
fn a_probe_does_not_use_a_flight_connection_that_is_closing() {
    run_test(|| async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (engine, peer_task) = peer_channels();
        tokio::spawn(flight_engine::run_flight_engine(listener, peer_task));
        let mut fixture = fixture_for_endpoint(engine, format!("grpc://{address}"), 1);
        for id in [1, 2] {
            fixture.send_attempt(id, 0).await;
            fixture.expect_engine_receives(&format!("fetch {id}")).await;
        }
        // The close is announced ahead of the note. The second attempt keeps the connection open.
        fixture.send_engine_reply("1 NOTE-CLOSE 0.5");
        let half_done = Note::Progress(0.5);
        while !matches!(fixture.next_report().await, EngineReport::Note(_, _, note) if note == half_done)
        {
        }
        fixture.send_command(EngineCommand::Probe).await;
        loop {
            match fixture.next_report().await {
                EngineReport::Probed(probe) => {
                    assert!(matches!(probe, ProbeResult::Up(_)), "{probe:?}");
                    return;
                }
                EngineReport::AttemptEnded(..) | EngineReport::Note(..) => {}
                other => panic!("no probe: {other:?}"),
            }
        }
    });
}
