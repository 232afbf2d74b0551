//! An engine's actor by itself, before the scripted engines.

use crate::engines;
use crate::stage::{Peer, peer};
use sedgebeam::broker::ToBroker;
use sedgebeam::engine::{self, Attempt, End, EngineBox, Probe, Report, ToEngine};
use sedgebeam_core::{AttemptNo, EngineId, Micros, RequestId};
use sedgebeam_settings::Connections;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

struct Bench {
    engine: Peer,
    actor: EngineBox,
    reports: mpsc::Receiver<ToBroker>,
}

async fn bench() -> Bench {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let endpoint = listener.local_addr().expect("an address").to_string();
    let (engine, role) = peer();
    tokio::spawn(engines::resp(listener, role));
    let connections = Connections {
        max_streams: 2,
        connect_timeout: Micros::from_millis(5000),
        idle: Micros::from_millis(30_000),
        max_open: 10,
    };
    let (broker, reports) = mpsc::channel(16);
    let actor = engine::start(EngineId(1), "e1", &endpoint, connections, broker);
    Bench {
        engine,
        actor,
        reports,
    }
}

impl Bench {
    async fn ask(&self, message: ToEngine) {
        self.actor.send(message).await.expect("an actor");
    }

    async fn send(&self, id: u64, number: u32) {
        let attempt = Attempt {
            request: RequestId(id),
            number: AttemptNo(number),
            class: "lookup".into(),
            timeout: Duration::from_secs(9),
            rank: 1,
            statement: "SELECT".into(),
        };
        self.ask(ToEngine::Send(attempt)).await;
    }

    async fn hears(&mut self, words: &str) {
        let heard = self.engine.heard.recv().await.expect("words");
        assert!(heard.starts_with(words), "{words}: but heard {heard:?}");
    }

    fn says(&self, words: &str) {
        self.engine.say.send(words.to_string()).expect("an engine");
    }

    async fn report(&mut self) -> Report {
        match self.reports.recv().await {
            Some(ToBroker::Engine(EngineId(1), report)) => report,
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
        bench.ask(ToEngine::Probe).await;
        bench.hears("stats p1").await;
        bench.says("p1 raw *4\\r\\n$2\\r\\np1\\r\\n$2\\r\\nUP\\r\\n$15\\r\\ngauges=util:0.5\\r\\n$0\\r\\n\\r\\n");
        let Report::Probed(Probe::Up(Some(load))) = bench.report().await else {
            panic!("no load report")
        };
        assert_eq!(load.busy, Some(0.5));
        bench.ask(ToEngine::Probe).await;
        bench.hears("stats p2").await;
        bench.says("p2 raw *3\\r\\n$2\\r\\np2\\r\\n$4\\r\\nDOWN\\r\\n$1\\r\\n-\\r\\n");
        assert!(matches!(bench.report().await, Report::Probed(Probe::Down)));
        // One that is not answered ends as silent.
        bench.ask(ToEngine::Probe).await;
        assert!(matches!(
            bench.report().await,
            Report::Probed(Probe::Silent)
        ));
    });
}

#[test]
fn a_late_answer_is_not_taken_for_one_to_a_later_attempt() {
    inside(|| async {
        let mut bench = bench().await;
        bench.send(1, 0).await;
        bench.hears("fetch 1").await;
        bench.ask(ToEngine::Abort(RequestId(1), AttemptNo(0))).await;
        bench.hears("abort 1").await;
        // The answer crosses the abort on the old connection, while the request is out again on a new one.
        bench.send(1, 1).await;
        bench.hears("fetch 1").await;
        let id = "$16\\r\\n0000000000000001";
        bench.says(&format!(
            "old raw *4\\r\\n{id}\\r\\n$2\\r\\nOK\\r\\n$7\\r\\nparts=1\\r\\n$0\\r\\n\\r\\n"
        ));
        bench.hears("done 1").await;
        bench.says("1 OK 1 new|new|new");
        let Report::Ended(RequestId(1), AttemptNo(1), End::Ok { page, .. }) = bench.report().await
        else {
            panic!("no good end")
        };
        assert_eq!(&page.rows[..], b"new\tnew\tnew\n");
    });
}

#[test]
fn attempts_beyond_what_a_connection_carries_go_on_another_and_end_with_it() {
    inside(|| async {
        let mut bench = bench().await;
        // Two on the first connection, then one on a second: each ends as its connection does.
        for id in 1..=3 {
            bench.send(id, 0).await;
            bench.hears(&format!("fetch {id}")).await;
        }
        // Nonsense on the connection of the third ends that one only.
        bench.says("3 raw nonsense\\r\\n");
        let report = bench.report().await;
        assert!(
            matches!(report, Report::Ended(RequestId(3), _, End::Reset)),
            "{report:?}"
        );
        bench.says("1 BUSY");
        let report = bench.report().await;
        assert!(
            matches!(report, Report::Ended(RequestId(1), _, End::Busy)),
            "{report:?}"
        );
        bench.says("2 VOID");
        let report = bench.report().await;
        assert!(
            matches!(report, Report::Ended(RequestId(2), _, End::Void)),
            "{report:?}"
        );
    });
}
