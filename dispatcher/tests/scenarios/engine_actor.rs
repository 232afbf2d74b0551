//! An engine's actor by itself, before the scripted engines.

use crate::engines;
use crate::harness::{Peer, peer_channels};
use bytes::Bytes;
use sedgebeam_core::{AttemptNo, EngineId, Micros, RequestId};
use sedgebeam_engines::{ConnectionSlots, NetworkTransport};
use sedgebeam_operation::Figures;
use sedgebeam_port::{
    Attempt, AttemptResult, BrokerMessage, EngineCommand, EngineReport, EngineReporter,
    EngineSender, EngineTransport, Page, ProbeResult, Target,
};
use sedgebeam_settings::Connections;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Longer than any test lasts.
const LONG: Duration = Duration::from_secs(600);

struct Bench {
    engine: Peer,
    actor: EngineSender,
    reports: mpsc::Receiver<BrokerMessage>,
    /// Of the next attempt: whether it is given up, and by when it has to begin.
    cancelled: CancellationToken,
    starts_by: Instant,
}

async fn bench() -> Bench {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let endpoint = listener.local_addr().expect("an address").to_string();
    let (engine, role) = peer_channels();
    tokio::spawn(engines::run_resp_engine(listener, role));
    before(engine, endpoint, 3)
}

/// An actor before the engine at this endpoint, with so many connections at the most.
fn before(engine: Peer, endpoint: String, most: usize) -> Bench {
    among(engine, endpoint, most, 64, ConnectionSlots::default())
}

/// The same where so many are left to all engines together.
fn among(
    engine: Peer,
    endpoint: String,
    most: usize,
    in_all: usize,
    slots: ConnectionSlots,
) -> Bench {
    let connections = Connections {
        most,
        in_all,
        max_streams: 2,
        connect_timeout: Micros::from_millis(5000),
        idle: Micros::from_millis(30_000),
        max_open: 10,
    };
    let (broker, reports) = mpsc::channel(16);
    let target = Target {
        uid: "e1".to_string(),
        endpoint,
        ..Target::default()
    };
    let wires = NetworkTransport {
        connections: watch::channel(connections).1,
        metrics: Figures::default(),
        slots,
    };
    let actor = wires.start(&target, EngineReporter::new(EngineId(1), broker));
    Bench {
        engine,
        actor,
        reports,
        cancelled: CancellationToken::new(),
        starts_by: Instant::now() + LONG,
    }
}

/// The next report, but for those that an actor has nothing to do.
async fn next_but_rests(reports: &mut mpsc::Receiver<BrokerMessage>) -> Option<BrokerMessage> {
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

impl Bench {
    async fn ask(&self, message: EngineCommand) {
        self.actor.send(message).await.expect("an actor");
    }

    async fn send(&self, id: u64, number: u32) {
        self.send_statement(id, number, "SELECT".into()).await;
    }

    async fn send_statement(&self, id: u64, number: u32, statement: Bytes) {
        let attempt = Attempt {
            request: RequestId(id),
            number: AttemptNo(number),
            class: "lookup".into(),
            deadline: Instant::now() + Duration::from_secs(9),
            priority: 1,
            memory_grant_mb: None,
            statement,
            idempotency_token: None,
            order_key: None,
            cancel_token: self.cancelled.child_token(),
            starts_by: self.starts_by,
        };
        self.ask(EngineCommand::Send(attempt)).await;
    }

    /// Waits until the actor has heard all that it was asked.
    async fn has_heard(&self) {
        while self.actor.capacity() < self.actor.max_capacity() {
            tokio::task::yield_now().await;
        }
    }

    async fn hears(&mut self, words: &str) {
        let heard = self.engine.events.recv().await.expect("words");
        assert!(heard.starts_with(words), "{words}: but heard {heard:?}");
    }

    fn says(&self, words: &str) {
        self.engine
            .commands
            .send(words.to_string())
            .expect("an engine");
    }

    /// The next report is that the attempt at this request ended so.
    async fn ends(&mut self, id: u64, end: AttemptResult) {
        match self.report().await {
            EngineReport::AttemptEnded(request, _, ended) => {
                assert_eq!((request.0, ended), (id, end))
            }
            other => panic!("no end: {other:?}"),
        }
    }

    /// The next report is that the first attempt at this request is given up.
    async fn gives_up(&mut self, id: u64) {
        match self.report().await {
            EngineReport::AbortConfirmed(request, AttemptNo(0)) => assert_eq!(request.0, id),
            other => panic!("not given up: {other:?}"),
        }
    }

    async fn report(&mut self) -> EngineReport {
        match next_but_rests(&mut self.reports).await {
            Some(BrokerMessage::EngineReport(EngineId(1), report)) => report,
            other => panic!("no report: {other:?}"),
        }
    }
}

fn inside<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    // No verdict hangs on this: it only ends a test that would wait for ever.
    let played = async { tokio::time::timeout(Duration::from_secs(60), test()).await };
    let played = runtime.expect("a runtime").block_on(played);
    played.expect("something that is waited for never comes");
}

#[test]
fn a_probe_brings_the_load_report_or_that_the_engine_is_down() {
    inside(|| async {
        let mut bench = bench().await;
        bench.ask(EngineCommand::Probe).await;
        bench.hears("stats p1").await;
        bench.says("p1 raw *4\\r\\n$2\\r\\np1\\r\\n$2\\r\\nUP\\r\\n$15\\r\\ngauges=util:0.5\\r\\n$0\\r\\n\\r\\n");
        let EngineReport::Probed(ProbeResult::Up(Some(load))) = bench.report().await else {
            panic!("no load report")
        };
        assert_eq!(load.busy_cores_share, Some(0.5));
        bench.ask(EngineCommand::Probe).await;
        bench.hears("stats p2").await;
        bench.says("p2 raw *3\\r\\n$2\\r\\np2\\r\\n$4\\r\\nDOWN\\r\\n$1\\r\\n-\\r\\n");
        assert!(matches!(
            bench.report().await,
            EngineReport::Probed(ProbeResult::Down)
        ));
        // One that is not answered ends as silent.
        bench.ask(EngineCommand::Probe).await;
        assert!(matches!(
            bench.report().await,
            EngineReport::Probed(ProbeResult::TimedOut)
        ));
    });
}

#[test]
fn a_late_answer_is_not_taken_for_one_to_a_later_attempt() {
    inside(|| async {
        let mut bench = bench().await;
        bench.send(1, 0).await;
        bench.hears("fetch 1").await;
        bench
            .ask(EngineCommand::Abort(RequestId(1), AttemptNo(0)))
            .await;
        bench.hears("abort 1").await;
        bench.gives_up(1).await;
        // The answer crosses the abort on the old connection, while the request is out again on a new one.
        bench.send(1, 1).await;
        bench.hears("fetch 1").await;
        let id = "$16\\r\\n0000000000000001";
        bench.says(&format!(
            "old raw *4\\r\\n{id}\\r\\n$2\\r\\nOK\\r\\n$7\\r\\nparts=1\\r\\n$0\\r\\n\\r\\n"
        ));
        bench.hears("done 1").await;
        bench.says("1 OK 1 new|new|new");
        let EngineReport::AttemptEnded(RequestId(1), AttemptNo(1), AttemptResult::Ok { page, .. }) =
            bench.report().await
        else {
            panic!("no good end")
        };
        assert_eq!(&page.rows[..], b"new\tnew\tnew\n");
    });
}

#[test]
fn each_attempt_has_its_connection_while_there_may_be_more_and_ends_with_it() {
    inside(|| async {
        let mut bench = bench().await;
        for id in 1..=3 {
            bench.send(id, 0).await;
            bench.hears(&format!("fetch {id}")).await;
        }
        // Nonsense on the connection of the third ends that one only.
        bench.says("3 raw nonsense\\r\\n");
        bench.ends(3, AttemptResult::Reset).await;
        bench.says("1 BUSY");
        bench.ends(1, AttemptResult::Busy).await;
        bench.says("2 VOID");
        bench.ends(2, AttemptResult::NotRun).await;
    });
}

#[test]
fn a_spoilt_answer_ends_its_connection_though_that_stays_open() {
    let id = "*4\\r\\n$16\\r\\n0000000000000001\\r\\n$2\\r\\nOK\\r\\n";
    let spoilt = [
        // Rows of another shape; a length that does not fit; one that stops short; a page that never comes.
        "OK 1 a|b".to_string(),
        "OK 1 a|b|c;d|e".to_string(),
        "OK 99 a|b|c".to_string(),
        format!("raw {id}$7\\r\\nparts=1\\r\\n$3\\r\\na\\tb\\tc\\n\\r\\n"),
        format!("raw {id}$7\\r\\nparts=1\\r\\n$3000000000\\r\\n"),
        format!("raw {id}$7\\r\\n"),
        "OK 2 a|b|c".to_string(),
    ];
    for spoilt in spoilt {
        inside(|| async {
            let mut bench = bench().await;
            bench.send(1, 0).await;
            bench.hears("fetch 1").await;
            bench.says(&format!("1 {spoilt}"));
            bench.ends(1, AttemptResult::Reset).await;
        });
    }
}

#[test]
fn a_second_copy_and_an_unknown_name_ahead_do_no_harm() {
    inside(|| async {
        let mut bench = bench().await;
        bench.send(1, 0).await;
        bench.hears("fetch 1").await;
        bench.says("9 OK 1 no|no|no");
        bench.says("8 WHAT");
        bench.says("old raw *3\\r\\n$4\\r\\nzzzz\\r\\n$3\\r\\nERR\\r\\n$1\\r\\n-\\r\\n");
        bench.says("1 OK 2 a|b|c");
        bench.hears("more 1 1").await;
        bench.says("1 OK 2 a|b|c");
        bench.says("1 ROWS 1 d|e|f");
        let rows = Bytes::from_static(b"a\tb\tc\nd\te\tf\n");
        let page = Page {
            rows,
            is_last: true,
        };
        let work = Some(Micros::from_millis(80));
        let load = None;
        bench.ends(1, AttemptResult::Ok { page, work, load }).await;
        // A copy of its refusal must not be taken for the answer to the next attempt.
        bench.send(2, 0).await;
        bench.hears("done 1").await;
        bench.hears("fetch 2").await;
        bench.says("2 BUSY");
        bench.ends(2, AttemptResult::Busy).await;
        bench.send(2, 1).await;
        bench.hears("fetch 2").await;
        bench.says("old BUSY");
        let id = "$16\\r\\n0000000000000002";
        bench.says(&format!(
            "old raw *3\\r\\n{id}\\r\\n$4\\r\\nBUSY\\r\\n$1\\r\\n-\\r\\n"
        ));
        bench.ask(EngineCommand::Probe).await;
        bench.hears("stats p1").await;
        bench.says("2 VOID");
        bench.ends(2, AttemptResult::NotRun).await;
    });
}

#[test]
fn what_has_been_written_is_never_said_to_be_unwritten_when_its_engine_drains() {
    // At some of these moments the connection has just come up and written it, and the actor not heard so.
    for moment in 0..200 {
        inside(|| async {
            let mut bench = bench().await;
            bench.send(1, 0).await;
            for _ in 0..moment % 20 {
                tokio::task::yield_now().await;
            }
            bench.ask(EngineCommand::ReturnUnsent).await;
            bench.ask(EngineCommand::Probe).await;
            let heard = bench.engine.events.recv().await.expect("words");
            if heard.starts_with("stats") {
                return;
            }
            assert!(heard.starts_with("fetch 1"), "{heard}");
            bench.says("1 VOID");
            bench.ends(1, AttemptResult::NotRun).await;
        });
    }
}

/// A connection that comes up late must not bring what was given up while it was awaited: another attempt may have
/// answered the request by then.
#[test]
fn what_is_given_up_while_its_connection_comes_up_is_never_written() {
    inside(|| async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("a port");
        let listener = socket.listen(0).expect("listens");
        let endpoint = listener.local_addr().expect("an address").to_string();
        // Those that are not accepted fill the engine's table: what comes then waits.
        let mut first = Vec::new();
        while let Ok(Ok(stream)) =
            tokio::time::timeout(Duration::from_millis(200), TcpStream::connect(&endpoint)).await
        {
            first.push(stream);
        }
        let (engine, role) = peer_channels();
        let mut bench = before(engine, endpoint, 1);
        bench.send(1, 0).await;
        bench.send(2, 0).await;
        bench
            .ask(EngineCommand::Abort(RequestId(1), AttemptNo(0)))
            .await;
        // The actor has heard all of it before the table has room.
        bench.has_heard().await;
        drop(first);
        tokio::spawn(engines::run_resp_engine(listener, role));
        bench.hears("fetch 2").await;
        bench.gives_up(1).await;
        bench.says("2 OK 1 a|b|c");
        assert!(matches!(
            bench.report().await,
            EngineReport::AttemptEnded(RequestId(2), _, AttemptResult::Ok { .. })
        ));
    });
}

/// What waits behind a write that the engine does not take must not go out once it may not begin any more: it was given
/// up, its client has gone, its engine drains, or its time is over.
#[test]
fn what_may_not_begin_any_more_is_not_written_when_its_engine_reads_again() {
    for how in ["abort 2", "gone", "drains", "late"] {
        inside(|| async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let endpoint = listener.local_addr().expect("an address").to_string();
            let mut bench = before(peer_channels().0, endpoint, 1);
            // More than the buffers between the two hold.
            bench
                .send_statement(1, 0, vec![b'x'; 32 << 20].into())
                .await;
            let (mut engine, _) = listener.accept().await.expect("accepts");
            engine.readable().await.expect("it is being written");
            bench.cancelled = CancellationToken::new();
            if how == "late" {
                bench.starts_by = Instant::now();
            }
            bench.send(2, 0).await;
            bench.has_heard().await;
            let number = AttemptNo(0);
            match how {
                "abort 2" => bench.ask(EngineCommand::Abort(RequestId(2), number)).await,
                "gone" => bench.cancelled.cancel(),
                "drains" => bench.ask(EngineCommand::ReturnUnsent).await,
                _ => {}
            }
            // Something behind it, to know when it would have come.
            bench
                .ask(EngineCommand::Reprioritize(RequestId(1), number, 3))
                .await;
            bench.has_heard().await;
            let (mut came, mut part) = (Vec::new(), vec![0; 1 << 20]);
            let told = |came: &[u8], word: &str| {
                let last = &came[came.len().saturating_sub(1 << 10)..];
                String::from_utf8_lossy(last).contains(word)
            };
            while !told(&came, "renice") {
                let count = engine.read(&mut part).await.expect("reads");
                assert!(count > 0, "{how}: the connection ended");
                came.extend(&part[..count]);
            }
            assert!(
                !told(&came, "fetch\r\n$16\r\n0000000000000002"),
                "{how}: it was written"
            );
            if how != "abort 2" {
                bench.ends(2, AttemptResult::NotRun).await;
            }
        });
    }
}

/// Connections to all engines together are bounded, whatever each may have; an idle one goes for another's sake, and
/// that there was no room is no fault of an engine.
#[test]
fn an_idle_connection_gives_its_slot_to_another_engine() {
    inside(|| async {
        let slots = ConnectionSlots::default();
        let mut benches = Vec::new();
        for _ in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let endpoint = listener.local_addr().expect("an address").to_string();
            let (engine, role) = peer_channels();
            tokio::spawn(engines::run_resp_engine(listener, role));
            benches.push(among(engine, endpoint, 3, 1, slots.clone()));
        }
        let [first, second] = &mut benches[..] else {
            panic!("two")
        };
        first.send(1, 0).await;
        first.hears("fetch 1").await;
        second.send(2, 0).await;
        second.ends(2, AttemptResult::NotRun).await;
        first.says("1 BUSY");
        first.ends(1, AttemptResult::Busy).await;
        // It is idle now: what was refused its place wants it, and then has it.
        let mut id = 3;
        loop {
            second.send(id, 0).await;
            tokio::select! {
                heard = second.engine.events.recv() => {
                    assert!(heard.expect("words").starts_with(&format!("fetch {id}")));
                    return;
                }
                report = next_but_rests(&mut second.reports) => {
                    let void = EngineReport::AttemptEnded(RequestId(id), AttemptNo(0), AttemptResult::NotRun);
                    assert_eq!(format!("{report:?}"), format!("{:?}", Some(BrokerMessage::EngineReport(EngineId(1), void))));
                }
            }
            id += 1;
        }
    });
}

#[test]
fn a_flight_engine_is_not_asked_for_what_may_not_begin_when_its_connection_is_up() {
    inside(|| async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut bench = before(peer_channels().0, format!("grpc://{address}"), 1);
        bench.starts_by = Instant::now();
        bench.send(1, 0).await;
        bench.ends(1, AttemptResult::NotRun).await;
    });
}
