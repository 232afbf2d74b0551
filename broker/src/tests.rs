//! The broker beside the simulator's adapter: for everything that can happen, the one event that follows.

use super::*;
use bytes::Bytes;
use sedgebeam_core::{ClassId, TableGroupId};
use sedgebeam_port::{IdleEngine, Target};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const ID: RequestId = RequestId(7);
const ENGINE: EngineId = EngineId(1);
const FIRST: AttemptNo = AttemptNo(0);

struct Bench {
    broker: Broker,
    sent: mpsc::Receiver<EngineCommand>,
    answer: oneshot::Receiver<Answer>,
}

/// No engine is started in these tests: the bench holds the mailbox of its only one.
struct NoWorld;

impl EngineTransport for NoWorld {
    fn start(&self, _: &Target, _: EngineReporter) -> EngineSender {
        mpsc::channel(1).0
    }
}

fn setup() -> BrokerConfig {
    setup_with(r#"{"tells_cost": true}"#)
}

/// The settings of these tests, with this for the particulars of the engines.
fn setup_with(domain: &str) -> BrokerConfig {
    let facts = r#"{"balancers": 1, "tick": 5, "domain": DOMAIN, "kinds": ["std"], "tenants": [{"name": "acme"}],
        "limits": {"cancel": true, "max_attempts": 3}, "services": [{"name": "load", "on_time": 9000, "give_up": 9000}]}"#;
    let facts = &facts.replace("DOMAIN", domain);
    let facts: sedgebeam_settings::GatewaySettings =
        miniserde::json::from_str(facts).expect("settings");
    let tuning = RuntimeSettings {
        settings: facts.settings(),
        names: facts.names(),
        max_open_requests: 100,
    };
    BrokerConfig {
        runtime_settings: Arc::new(tuning),
        seed: 1,
        clock: Clock::start(),
        metrics: Metrics::default(),
        engine_transport: Arc::new(NoWorld),
        shard: None,
    }
}

/// A broker that has taken one request and knows one engine.
fn bench() -> Bench {
    let (mut broker, _, _) = new(setup());
    let (mailbox, sent) = mpsc::channel(16);
    let known = Known {
        target: <Target as Default>::default(),
        ready: true,
        actor: Some(engines::Actor { mailbox, told: 0 }),
        ..Known::default()
    };
    broker.engines.insert(ENGINE, known);
    let (reply, answer) = oneshot::channel();
    broker.submit(request(), reply);
    broker.events.clear();
    Bench {
        broker,
        sent,
        answer,
    }
}

fn request() -> NewRequest {
    NewRequest {
        id: ID,
        class: ClassId(0),
        tenant: Some("acme".to_string()),
        deadline: Instant::now() + Duration::from_secs(9),
        work: Micros(0),
        memory_mb: 0.0,
        group: TableGroupId(0),
        statement: Bytes::from_static(b"INSERT"),
        is_retry: false,
        idempotency_token: None,
        order_key: None,
        session: None,
        cancel_token: CancellationToken::new(),
    }
}

fn ok() -> AttemptResult {
    let page = Page {
        rows: Bytes::new(),
        is_last: true,
    };
    AttemptResult::Ok {
        page,
        work: Some(Micros(5)),
        load: None,
    }
}

impl Bench {
    fn send(&mut self) {
        self.broker
            .send(ID, ENGINE, Micros(0), None, Instant::now());
    }

    fn end(&mut self, end: AttemptResult) {
        self.broker.ended(ENGINE, ID, FIRST, end);
    }

    /// The outcomes that the gateway will be told: of which attempt, how, and whether that is the end.
    fn outcomes(&mut self) -> Vec<(u32, Outcome, bool)> {
        let ended = std::mem::take(&mut self.broker.events).into_iter();
        let ended = ended.filter_map(|event| match event {
            Event::Ended(ended) => Some((ended.attempt.0, ended.outcome, ended.request_finished)),
            _ => None,
        });
        ended.collect()
    }

    fn asked(&mut self) -> Vec<String> {
        let asked = std::iter::from_fn(|| self.sent.try_recv().ok());
        let name = |asked: EngineCommand| {
            format!("{asked:?}")
                .split(['(', ' '])
                .next()
                .unwrap_or("")
                .to_string()
        };
        asked.map(name).collect()
    }
}

/// Runs a test inside a runtime.
fn inside(test: impl FnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(async { test() });
}

#[test]
fn each_end_of_an_attempt_is_one_outcome() {
    let cases = [
        (ok(), Outcome::Ok, true),
        (AttemptResult::Busy, Outcome::Rejected, false),
        (AttemptResult::Error, Outcome::Error, false),
        (AttemptResult::NotRun, Outcome::NotSent, false),
        (AttemptResult::ConnectFailed, Outcome::ConnectFailed, false),
        (AttemptResult::Reset, Outcome::Reset, false),
    ];
    inside(|| {
        for (end, outcome, finished) in cases {
            let mut bench = bench();
            bench.send();
            bench.end(end.clone());
            assert_eq!(bench.outcomes(), [(0, outcome, finished)]);
            // Whatever else comes of it is no second outcome.
            bench.end(end);
            bench.broker.timed_out(ID, FIRST, Instant::now());
            bench.broker.call_off(ID, FIRST, Instant::now());
            assert_eq!(bench.outcomes(), []);
            assert_eq!(bench.answer.try_recv().is_ok(), finished);
        }
    });
}

#[test]
fn what_is_called_off_or_times_out_is_aborted_once_and_a_late_end_is_dropped() {
    type Deed = fn(&mut Broker, RequestId, AttemptNo, Instant);
    let cases: [(Deed, Outcome); 2] = [
        (Broker::call_off, Outcome::Cancelled),
        (Broker::timed_out, Outcome::TimedOut),
    ];
    inside(|| {
        for (deed, outcome) in cases {
            let mut bench = bench();
            bench.send();
            deed(&mut bench.broker, ID, FIRST, Instant::now());
            deed(&mut bench.broker, ID, FIRST, Instant::now());
            bench.end(ok());
            // The request still owes its answer, and the late result did not reach the client.
            assert_eq!(bench.outcomes(), [(0, outcome, false)]);
            assert_eq!(bench.asked(), ["Send", "Abort"]);
            assert!(bench.answer.try_recv().is_err());
        }
    });
}

#[test]
fn a_send_that_can_not_be_is_moot_and_counts_as_an_attempt() {
    inside(|| {
        let mut twice = bench();
        twice.send();
        twice.send();
        assert_eq!(
            twice.outcomes(),
            [(1, Outcome::NotSent, false)],
            "one is out already"
        );

        let mut spent = bench();
        for _ in 0..4 {
            spent.send();
            spent.broker.ended(
                ENGINE,
                ID,
                AttemptNo(spent.broker.open[&ID].attempts.len() as u32 - 1),
                AttemptResult::Busy,
            );
        }
        let full = |number| (number, Outcome::Rejected, false);
        assert_eq!(
            spent.outcomes(),
            [full(0), full(1), full(2), (3, Outcome::NotSent, false)]
        );

        let mut over = bench();
        over.broker.client_left(ID, Failure::Cancelled);
        over.send();
        assert_eq!(over.outcomes(), [(0, Outcome::NotSent, true)]);
        assert!(over.asked().is_empty());

        let mut late = bench();
        late.broker.send(
            ID,
            ENGINE,
            Micros(0),
            None,
            Instant::now() + Duration::from_secs(10),
        );
        assert_eq!(late.outcomes(), [(0, Outcome::NotSent, false)]);
    });
}

#[test]
fn an_engine_that_drains_or_is_gone_gets_nothing_new() {
    inside(|| {
        let mut draining = bench();
        draining
            .broker
            .engines
            .get_mut(&ENGINE)
            .expect("known")
            .ready = false;
        let mut gone = bench();
        gone.broker.forget(ENGINE);
        for mut bench in [draining, gone] {
            bench.asked();
            bench.send();
            assert_eq!(bench.outcomes(), [(0, Outcome::ConnectFailed, false)]);
            assert!(bench.asked().is_empty());
        }
    });
}

#[test]
fn a_client_that_leaves_is_told_of_once_and_its_attempt_still_ends() {
    inside(|| {
        let mut bench = bench();
        bench.send();
        bench.broker.take(BrokerMessage::ClientLeft(ID));
        bench.broker.take(BrokerMessage::ClientLeft(ID));
        let left = bench
            .broker
            .events
            .iter()
            .filter(|event| matches!(event, Event::ClientLeft(_)));
        assert_eq!(left.count(), 1);
        bench.end(ok());
        assert_eq!(bench.outcomes(), [(0, Outcome::Ok, true)]);
        let answer = bench.answer.try_recv().expect("an answer");
        assert!(matches!(answer, Answer::Failed(Failure::Cancelled)));
    });
}

#[test]
fn an_answer_is_given_once_and_an_overdue_one_is_given_here() {
    inside(|| {
        let mut bench = bench();
        bench.broker.overdue(ID);
        bench.broker.conclude(
            ID,
            Answer::Refused {
                retry_after: Duration::ZERO,
            },
        );
        let answer = bench.answer.try_recv().expect("an answer");
        assert!(matches!(answer, Answer::Failed(Failure::OutcomeUnknown)));
        bench.broker.batch(Instant::now());
        assert!(
            bench.broker.open.is_empty(),
            "what is over is forgotten once the gateway knows"
        );
    });
}

#[test]
fn a_request_whose_name_is_open_gets_an_error_and_does_not_reach_the_gateway() {
    inside(|| {
        let mut bench = bench();
        let (reply, mut second) = oneshot::channel();
        bench.broker.submit(request(), reply);
        let answer = second.try_recv().expect("an answer");
        assert!(matches!(answer, Answer::Failed(Failure::DuplicateId)));
        assert!(bench.broker.events.is_empty());
        assert!(
            bench.answer.try_recv().is_err(),
            "the first one is still under way"
        );
    });
}

#[test]
fn batches_are_a_tick_apart_and_tell_the_time_that_is_left() {
    inside(|| {
        let mut bench = bench();
        let now = Instant::now();
        assert_eq!(bench.broker.next_batch(now), now);
        bench.broker.batch(now);
        assert_eq!(bench.broker.next_batch(now), now + Duration::from_millis(5));
        // A time-out is cut to the client's deadline, and the engine is told as much.
        bench
            .broker
            .send(ID, ENGINE, Micros::from_millis(60_000), None, now);
        let Ok(EngineCommand::Send(attempt)) = bench.sent.try_recv() else {
            panic!("no send")
        };
        assert!(attempt.deadline - Instant::now() <= Duration::from_secs(9));
        assert_eq!(attempt.priority, 1);
    });
}

#[test]
fn a_new_priority_goes_to_what_is_out() {
    inside(|| {
        let mut bench = bench();
        bench.send();
        bench.broker.terms(ID, 0.0, 1);
        bench.broker.terms(ID, 0.0, 3);
        assert_eq!(bench.asked(), ["Send", "Reprioritize"]);
    });
}

#[test]
fn what_is_out_at_an_actor_that_died_may_have_run() {
    inside(|| {
        let mut bench = bench();
        bench.send();
        bench.broker.take(BrokerMessage::EngineActorDied(ENGINE));
        assert_eq!(bench.outcomes(), [(0, Outcome::Reset, false)]);
    });
}

#[test]
fn engines_are_numbered_by_their_names() {
    inside(|| {
        let broker = bench().broker;
        assert_eq!(broker.identify("s-00c41f7a"), EngineId(0x00c4_1f7a));
        // A number that is taken goes to no second engine.
        assert_eq!(broker.identify("s-00000001"), EngineId(2));
    });
}

/// The word that a client has gone waits behind thousands of others; what the gateway decides meanwhile is not sent.
#[test]
fn nothing_is_sent_for_a_client_that_has_gone_though_its_word_is_still_to_come() {
    inside(|| {
        let mut bench = bench();
        bench.asked();
        bench.broker.open[&ID].cancelled.cancel();
        bench.send();
        assert!(bench.asked().is_empty());
        assert_eq!(bench.outcomes(), [(0, Outcome::NotSent, true)]);
        let answer = bench.answer.try_recv().expect("an answer");
        assert!(matches!(answer, Answer::Failed(Failure::Cancelled)));
        bench.broker.take(BrokerMessage::ClientLeft(ID));
        assert!(bench.broker.events.is_empty(), "it is told of once");
        // One that has gone before the broker takes it is not opened at all.
        let (reply, _answer) = oneshot::channel();
        let gone = NewRequest {
            id: RequestId(8),
            ..request()
        };
        gone.cancel_token.cancel();
        bench.broker.submit(gone, reply);
        assert!(bench.broker.events.is_empty() && !bench.broker.open.contains_key(&RequestId(8)));
    });
}

/// An attempt that is over in any way must not be written any more, wherever it waits.
#[test]
fn what_is_over_is_called_off_where_it_waits_to_be_written() {
    let ends: [fn(&mut Bench); 4] = [
        |bench| bench.broker.call_off(ID, FIRST, Instant::now()),
        |bench| bench.broker.timed_out(ID, FIRST, Instant::now()),
        |bench| bench.end(AttemptResult::Reset),
        |bench| bench.broker.open[&ID].cancelled.cancel(),
    ];
    for end in ends {
        inside(|| {
            let mut bench = bench();
            bench.send();
            let Ok(EngineCommand::Send(attempt)) = bench.sent.try_recv() else {
                panic!("no attempt")
            };
            assert!(!attempt.is_stale());
            end(&mut bench);
            assert!(attempt.is_stale());
        });
    }
}

/// A client that has gone comes again under the name of its request: what is left of the first one, to be told, to fall due or
/// to be reported, must not touch the second.
#[test]
fn a_request_that_comes_again_under_its_name_has_nothing_of_the_first() {
    inside(|| {
        let mut bench = bench();
        bench.send();
        bench.broker.client_left(ID, Failure::Cancelled);
        bench.broker.call_off(ID, FIRST, Instant::now());
        bench.broker.batch(Instant::now());
        let (reply, mut answer) = oneshot::channel();
        let again = NewRequest {
            deadline: Instant::now() + Duration::from_secs(90),
            ..request()
        };
        bench.broker.submit(again, reply);
        bench.send();
        bench.broker.batch(Instant::now());
        bench.broker.batch(Instant::now());
        // All that the first had to fall due does, and another engine ends an attempt of the same number.
        bench
            .broker
            .fall_due(Instant::now() + Duration::from_secs(30));
        bench
            .broker
            .ended(EngineId(2), ID, FIRST, AttemptResult::NotRun);
        let unanswered = oneshot::error::TryRecvError::Empty;
        assert_eq!(answer.try_recv().err(), Some(unanswered));
        assert!(bench.broker.is_out(ENGINE, ID, FIRST));
    });
}

/// The gateway sends in the batch in which it also hears that the client has left: that notes the request as over once more,
/// after those that were over have been taken out.
#[test]
fn a_request_is_noted_as_over_once() {
    inside(|| {
        let (mut broker, _own, _incoming) = new(setup());
        let up = Target {
            uid: "s-1".to_string(),
            endpoint: "127.0.0.1:1".to_string(),
            state: "up".to_string(),
            ..Target::default()
        };
        broker.take(BrokerMessage::EngineList(ListUpdate::Complete, vec![up]));
        let (reply, _gone) = oneshot::channel();
        broker.submit(request(), reply);
        broker.client_left(ID, Failure::Cancelled);
        broker.batch(Instant::now());
        let (reply, mut again) = oneshot::channel();
        broker.submit(request(), reply);
        broker.batch(Instant::now());
        assert_eq!(
            again.try_recv().err(),
            Some(oneshot::error::TryRecvError::Empty)
        );
    });
}

/// All engines have one mailbox, which the test holds.
struct OneMailbox(EngineSender);

impl EngineTransport for OneMailbox {
    fn start(&self, _: &Target, _: EngineReporter) -> EngineSender {
        self.0.clone()
    }
}

/// What the gateway has an engine of 1,001 MB grant a request of this estimate, where one query gets 0.4 of it at most.
fn granted(takes_grants: bool, memory_mb: f64) -> Option<u32> {
    let (mailbox, mut sent) = mpsc::channel(16);
    let domain = format!(
        r#"{{"takes_grants": {takes_grants}, "priorities": true, "max_grant_share": 0.4, "size_cores": [8], "size_mb": [1001.0]}}"#
    );
    let setup = BrokerConfig {
        engine_transport: Arc::new(OneMailbox(mailbox)),
        ..setup_with(&domain)
    };
    let (mut broker, _own, _incoming) = new(setup);
    let up = Target {
        uid: "s-1".to_string(),
        endpoint: "127.0.0.1:1".to_string(),
        state: "up".to_string(),
        model: Some("std".to_string()),
        ..Target::default()
    };
    broker.take(BrokerMessage::EngineList(ListUpdate::Complete, vec![up]));
    let (reply, _answer) = oneshot::channel();
    let asked = NewRequest {
        memory_mb,
        ..request()
    };
    broker.submit(asked, reply);
    broker.batch(Instant::now());
    match sent.try_recv() {
        Ok(EngineCommand::Send(attempt)) => attempt.memory_grant_mb.map(u32::from),
        other => panic!("no attempt, but {other:?}"),
    }
}

#[test]
fn the_grant_of_the_terms_goes_with_the_attempt_and_never_beyond_one_query_s_share() {
    inside(|| {
        // A quarter more than the estimate, in whole megabytes.
        assert_eq!(granted(true, 96.0), Some(120));
        assert_eq!(granted(true, 96.2), Some(121));
        assert_eq!(granted(true, 0.1), Some(1));
        assert_eq!(granted(true, 900.0), Some(400), "the share is 400.4 MB");
        assert_eq!(granted(true, 1e6), Some(400));
        assert_eq!(granted(true, 0.0), None, "nothing was estimated");
        assert_eq!(granted(false, 96.0), None, "grants are not heeded");
    });
}

#[test]
fn a_new_grant_is_for_the_next_attempt_and_not_for_the_one_that_is_out() {
    inside(|| {
        let mut bench = bench();
        bench.broker.settings.takes_grants = true;
        let grant_of = |bench: &mut Bench| match bench.sent.try_recv() {
            Ok(EngineCommand::Send(attempt)) => attempt.memory_grant_mb.map(u32::from),
            other => panic!("no attempt, but {other:?}"),
        };
        let act = |bench: &mut Bench, memory_mb| {
            let terms = Action::attempt_resources(ID, memory_mb, 1);
            bench.broker.act(terms, Instant::now());
        };
        act(&mut bench, 96.0);
        bench.send();
        act(&mut bench, 128.0);
        assert_eq!(grant_of(&mut bench), Some(96));
        assert!(bench.asked().is_empty(), "it is told nothing more");
        bench.end(AttemptResult::Busy);
        bench.send();
        assert_eq!(grant_of(&mut bench), Some(128));
        bench
            .broker
            .ended(ENGINE, ID, AttemptNo(1), AttemptResult::Busy);
        // New settings heed no grants: the gateway may have no terms to tell under them.
        bench.broker.settings.takes_grants = false;
        bench.send();
        assert_eq!(grant_of(&mut bench), None);
    });
}

#[test]
fn what_is_no_amount_of_memory_is_no_grant() {
    inside(|| {
        let mut bench = bench();
        for nothing in [0.0, 0.4, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
            bench.broker.terms(ID, nothing, 1);
            assert_eq!(bench.broker.open[&ID].memory_grant_mb, None, "{nothing}");
        }
        bench.broker.terms(ID, 96.0, 1);
        let granted = bench.broker.open[&ID].memory_grant_mb;
        assert_eq!(granted.map(u32::from), Some(96));
    });
}

#[test]
fn the_gateway_is_told_of_a_client_s_retry() {
    inside(|| {
        for is_retry in [false, true] {
            let (mut broker, _own, _incoming) = new(setup());
            let (reply, _answer) = oneshot::channel();
            let asked = NewRequest {
                is_retry,
                ..request()
            };
            broker.submit(asked, reply);
            let told = broker.events.first();
            assert!(matches!(told, Some(Event::Request(query)) if query.is_retry == is_retry));
        }
    });
}

fn given_up(number: u32) -> BrokerMessage {
    BrokerMessage::EngineReport(ENGINE, EngineReport::AbortConfirmed(ID, AttemptNo(number)))
}

/// A broker whose only class may be repeated: another attempt may follow one that is given up.
fn repeatable() -> Bench {
    let mut bench = bench();
    bench.broker.settings.classes[0].effect = Effect::Repeatable;
    bench
}

/// Two attempts of one request must not be out together: what the gateway hears of has left its engine.
#[test]
fn an_attempt_that_is_given_up_is_out_until_that_is_confirmed() {
    type Deed = fn(&mut Broker, RequestId, AttemptNo, Instant);
    let cases: [(Deed, Outcome); 2] = [
        (Broker::call_off, Outcome::Cancelled),
        (Broker::timed_out, Outcome::TimedOut),
    ];
    inside(|| {
        for (deed, outcome) in cases {
            let mut bench = repeatable();
            bench.send();
            deed(&mut bench.broker, ID, FIRST, Instant::now());
            assert_eq!(bench.asked(), ["Send", "Abort"]);
            assert_eq!(bench.outcomes(), []);
            bench.send();
            assert_eq!(bench.outcomes(), [(1, Outcome::NotSent, false)]);
            assert!(bench.asked().is_empty());
            bench.broker.take(given_up(0));
            bench.broker.take(given_up(0));
            bench.end(AttemptResult::Reset);
            assert_eq!(bench.outcomes(), [(0, outcome, false)]);
            bench.send();
            assert_eq!(bench.asked(), ["Send"]);
            // A confirmation is none of an attempt that was not given up.
            bench.broker.take(given_up(2));
            assert_eq!(bench.outcomes(), []);
        }
    });
}

#[test]
fn an_attempt_that_none_may_follow_has_its_outcome_at_once() {
    inside(|| {
        let now = Instant::now();
        let mut gone = repeatable();
        gone.send();
        gone.broker.client_left(ID, Failure::Cancelled);
        gone.broker.call_off(ID, FIRST, now);
        assert_eq!(gone.outcomes(), [(0, Outcome::Cancelled, true)]);

        let mut late = repeatable();
        late.send();
        let deadline = late.broker.open[&ID].deadline;
        late.broker.timed_out(ID, FIRST, deadline);
        assert_eq!(late.outcomes(), [(0, Outcome::TimedOut, false)]);

        let mut once = bench();
        once.broker.settings.classes[0].effect = Effect::Once;
        once.send();
        once.broker.call_off(ID, FIRST, now);
        assert_eq!(once.outcomes(), [(0, Outcome::Cancelled, false)]);
    });
}

#[test]
fn a_request_goes_on_though_nothing_confirms_that_its_attempt_is_given_up() {
    inside(|| {
        let mut silent = repeatable();
        silent.send();
        let now = Instant::now();
        silent.broker.call_off(ID, FIRST, now);
        silent.broker.fall_due(now + GIVEN_UP_WITHIN / 2);
        assert_eq!(silent.outcomes(), []);
        silent.broker.fall_due(now + GIVEN_UP_WITHIN);
        silent.broker.take(given_up(0));
        assert_eq!(silent.outcomes(), [(0, Outcome::Cancelled, false)]);

        let mut at_deadline = repeatable();
        at_deadline.send();
        let deadline = at_deadline.broker.open[&ID].deadline;
        let shortly_before = deadline - GIVEN_UP_WITHIN / 2;
        at_deadline.broker.call_off(ID, FIRST, shortly_before);
        at_deadline.broker.fall_due(deadline);
        // These settings allow no time beyond the deadline: its final answer is due first.
        assert_eq!(at_deadline.outcomes(), [(0, Outcome::Cancelled, true)]);

        let mut died = repeatable();
        died.send();
        died.broker.call_off(ID, FIRST, now);
        died.broker.take(BrokerMessage::EngineActorDied(ENGINE));
        assert_eq!(died.outcomes(), [(0, Outcome::Cancelled, false)]);
    });
}

/// An engine's actor lets go, and an attempt crosses its word: it must not be left with an actor that ends.
#[test]
fn an_actor_that_rests_ends_unless_it_was_told_of_more_meanwhile() {
    inside(|| {
        let mut bench = bench();
        let mailbox = bench.broker.engines[&ENGINE].actor.as_ref();
        let mailbox = mailbox.expect("an actor").mailbox.downgrade();
        let resting = |taken| IdleEngine {
            mailbox: mailbox.clone(),
            received_count: taken,
        };
        let runs = |bench: &Bench| bench.broker.engines[&ENGINE].actor.is_some();
        bench.broker.probe(ENGINE);
        bench.broker.rests(ENGINE, &resting(0));
        assert!(runs(&bench), "it has not taken the probe yet");
        let (other, _kept) = mpsc::channel(1);
        let foreign = IdleEngine {
            mailbox: other.downgrade(),
            received_count: 1,
        };
        bench.broker.rests(ENGINE, &foreign);
        assert!(runs(&bench), "the word of an earlier actor");
        bench.broker.rests(ENGINE, &resting(1));
        assert!(!runs(&bench));
    });
}

/// The start of an engine by its own clock is so far from now, and it is told of in this way: how long ago it started, as the
/// gateway hears it.
fn told_age(listing: ListUpdate, from_now_ms: f64) -> Micros {
    let setup = setup();
    let clock = setup.clock;
    let (mut broker, _, _) = new(setup);
    let now = clock.micros(Instant::now()).0 as f64 / 1000.0;
    let target = Target {
        uid: "s-00000001".to_string(),
        state: "up".to_string(),
        boot_ms: Some(now + from_now_ms),
        ..Target::default()
    };
    broker.list(listing, vec![target]);
    let started_at = broker.events.iter().find_map(|event| match event {
        Event::List { engines, .. } => Some(engines[0].started_at),
        _ => None,
    });
    let started_at = started_at.expect("a list");
    let now = clock.micros(Instant::now());
    assert!(started_at <= now, "it starts in {:?}", started_at - now);
    now - started_at
}

const HOUR_MS: f64 = 3_600_000.0;

/// Clocks of machines are apart, and are stepped: the age of an engine is bounded by what this process knows itself.
#[test]
fn an_engine_whose_clock_is_ahead_has_started_when_it_is_told_of() {
    inside(|| {
        for listing in [ListUpdate::Saved, ListUpdate::Complete, ListUpdate::Changes] {
            let age = told_age(listing, HOUR_MS);
            assert!(age < Micros::from_millis(1_000), "{listing:?}: {age:?}");
        }
    });
}

#[test]
fn an_engine_that_a_change_tells_of_is_no_older_than_a_change_may_be_late() {
    inside(|| {
        let age = told_age(ListUpdate::Changes, -HOUR_MS);
        assert!(age <= Micros::from_millis(8_000), "{age:?}");
        let age = told_age(ListUpdate::Changes, -3_000.0);
        assert!(age >= Micros::from_millis(3_000), "{age:?}");
        // The first list may tell of one that has long been there.
        let age = told_age(ListUpdate::Saved, -HOUR_MS);
        assert!(age >= Micros::from_millis(3_600_000), "{age:?}");
    });
}
