//! Tests of the events that the broker passes to the gateway: exactly one outcome per attempt, as from the simulator's
//! adapter.

use super::*;
use bytes::Bytes;
use sedgebeam_core::{ClassId, TableGroupId};
use sedgebeam_port::{EngineReporter, IdleEngine, ProbeResult, Target};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const ID: RequestId = RequestId(7);
const ENGINE: EngineId = EngineId(1);
const ACTOR: EngineActorId = EngineActorId {
    engine: ENGINE,
    instance: 0,
};
const FIRST: AttemptNo = AttemptNo(0);

type AbortMethod = fn(&mut Broker, RequestId, AttemptNo, Instant);

/// The methods that abort an attempt, each with the outcome that it reports.
const ABORT_METHODS: [(AbortMethod, Outcome); 2] = [
    (Broker::cancel_attempt, Outcome::Cancelled),
    (Broker::attempt_timed_out, Outcome::TimedOut),
];

struct Fixture {
    broker: Broker,
    commands: mpsc::Receiver<EngineCommand>,
    answer: oneshot::Receiver<Answer>,
}

/// Starts no engines: the fixture holds the mailbox of its only one.
struct UnusedTransport;

impl EngineTransport for UnusedTransport {
    fn start(&self, _: &Target, _: EngineReporter) -> EngineSender {
        mpsc::channel(1).0
    }
}

fn config() -> BrokerConfig {
    config_with(r#"{"tells_cost": true}"#)
}

/// A configuration with this `domain` section in its settings.
fn config_with(domain: &str) -> BrokerConfig {
    let settings_json = r#"{"balancers": 1, "tick": 5, "domain": DOMAIN, "kinds": ["std"], "tenants": [{"name": "acme"}],
        "limits": {"cancel": true, "max_attempts": 3}, "services": [{"name": "load", "on_time": 9000, "give_up": 9000}]}"#;
    let settings_json = &settings_json.replace("DOMAIN", domain);
    let gateway_settings: sedgebeam_settings::GatewaySettings =
        miniserde::json::from_str(settings_json).expect("settings");
    let runtime_settings = RuntimeSettings {
        settings: gateway_settings.settings(),
        names: gateway_settings.names(),
        max_open_requests: 100,
    };
    BrokerConfig {
        runtime_settings: Arc::new(runtime_settings),
        seed: 1,
        clock: Clock::start(),
        metrics: Metrics::default(),
        engine_transport: Arc::new(UnusedTransport),
        shard: None,
    }
}

/// A broker with one open request and one engine.
fn fixture() -> Fixture {
    let (mut broker, _, _) = new(config());
    let (mailbox, commands) = mpsc::channel(16);
    let engine = KnownEngine {
        target: <Target as Default>::default(),
        is_ready: true,
        actor: Some(engines::Actor {
            id: ACTOR,
            mailbox,
            sent_count: 0,
        }),
        ..KnownEngine::default()
    };
    broker.engines.insert(ENGINE, engine);
    let (reply, answer) = oneshot::channel();
    broker.submit(request(), reply);
    broker.events.clear();
    Fixture {
        broker,
        commands,
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
        table_group: TableGroupId(0),
        statement: Bytes::from_static(b"INSERT"),
        is_retry: false,
        idempotency_token: None,
        order_key: None,
        session: None,
        cancel_token: CancellationToken::new(),
    }
}

fn success() -> AttemptResult {
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

impl Fixture {
    fn send(&mut self) {
        self.broker
            .send(ID, ENGINE, Micros(0), None, Instant::now());
    }

    fn end(&mut self, result: AttemptResult) {
        self.broker.attempt_ended(ACTOR, ID, FIRST, result);
    }

    /// The outcomes in the gateway's next batch: attempt number, outcome, and whether the request is finished.
    fn outcomes(&mut self) -> Vec<(u32, Outcome, bool)> {
        let ended = std::mem::take(&mut self.broker.events).into_iter();
        let ended = ended.filter_map(|event| match event {
            Event::Ended(ended) => Some((ended.attempt.0, ended.outcome, ended.request_finished)),
            _ => None,
        });
        ended.collect()
    }

    /// The names of the commands sent to the engine since the last call.
    fn command_names(&mut self) -> Vec<String> {
        let commands = std::iter::from_fn(|| self.commands.try_recv().ok());
        let name = |command: EngineCommand| {
            format!("{command:?}")
                .split(['(', ' '])
                .next()
                .unwrap_or("")
                .to_string()
        };
        commands.map(name).collect()
    }
}

/// Runs a test inside a runtime.
fn run_in_runtime(test: impl FnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(async { test() });
}

#[test]
fn each_result_of_an_attempt_is_reported_as_one_outcome() {
    let cases = [
        (success(), Outcome::Ok, true),
        (AttemptResult::Busy, Outcome::Rejected, false),
        (AttemptResult::Error, Outcome::Error, false),
        (AttemptResult::NotRun, Outcome::NotSent, false),
        (AttemptResult::ConnectFailed, Outcome::ConnectFailed, false),
        (AttemptResult::Reset, Outcome::Reset, false),
    ];
    run_in_runtime(|| {
        for (result, outcome, is_finished) in cases {
            let mut fixture = fixture();
            fixture.send();
            fixture.end(result.clone());
            assert_eq!(fixture.outcomes(), [(0, outcome, is_finished)]);
            // Later events of the same attempt are no second outcome.
            fixture.end(result);
            fixture.broker.attempt_timed_out(ID, FIRST, Instant::now());
            fixture.broker.cancel_attempt(ID, FIRST, Instant::now());
            assert_eq!(fixture.outcomes(), []);
            assert_eq!(fixture.answer.try_recv().is_ok(), is_finished);
        }
    });
}

#[test]
fn a_cancelled_or_timed_out_attempt_is_aborted_once_and_a_late_result_is_dropped() {
    run_in_runtime(|| {
        for (abort_method, outcome) in ABORT_METHODS {
            let mut fixture = fixture();
            fixture.send();
            abort_method(&mut fixture.broker, ID, FIRST, Instant::now());
            abort_method(&mut fixture.broker, ID, FIRST, Instant::now());
            fixture.end(success());
            // The request is still unanswered, and the late result did not reach the client.
            assert_eq!(fixture.outcomes(), [(0, outcome, false)]);
            assert_eq!(fixture.command_names(), ["Send", "Abort"]);
            assert!(fixture.answer.try_recv().is_err());
        }
    });
}

#[test]
fn an_impossible_send_is_reported_as_not_sent_and_counts_as_an_attempt() {
    run_in_runtime(|| {
        let mut with_attempt_in_flight = fixture();
        with_attempt_in_flight.send();
        with_attempt_in_flight.send();
        assert_eq!(
            with_attempt_in_flight.outcomes(),
            [(1, Outcome::NotSent, false)],
            "an attempt is in flight already"
        );

        let mut with_attempts_exhausted = fixture();
        for _ in 0..4 {
            with_attempts_exhausted.send();
            with_attempts_exhausted.broker.attempt_ended(
                ACTOR,
                ID,
                AttemptNo(
                    with_attempts_exhausted.broker.open_requests[&ID]
                        .attempts
                        .len() as u32
                        - 1,
                ),
                AttemptResult::Busy,
            );
        }
        let rejected = |attempt_no| (attempt_no, Outcome::Rejected, false);
        assert_eq!(
            with_attempts_exhausted.outcomes(),
            [
                rejected(0),
                rejected(1),
                rejected(2),
                (3, Outcome::NotSent, false)
            ]
        );

        let mut after_disconnect = fixture();
        after_disconnect.broker.client_left(ID, Failure::Cancelled);
        after_disconnect.send();
        assert_eq!(after_disconnect.outcomes(), [(0, Outcome::NotSent, true)]);
        assert!(after_disconnect.command_names().is_empty());

        let mut after_deadline = fixture();
        after_deadline.broker.send(
            ID,
            ENGINE,
            Micros(0),
            None,
            Instant::now() + Duration::from_secs(10),
        );
        assert_eq!(after_deadline.outcomes(), [(0, Outcome::NotSent, false)]);
    });
}

#[test]
fn a_draining_or_removed_engine_gets_no_new_attempts() {
    run_in_runtime(|| {
        let mut draining = fixture();
        draining
            .broker
            .engines
            .get_mut(&ENGINE)
            .expect("known")
            .is_ready = false;
        let mut removed = fixture();
        removed.broker.remove_engine(ENGINE);
        for mut fixture in [draining, removed] {
            fixture.command_names();
            fixture.send();
            assert_eq!(fixture.outcomes(), [(0, Outcome::ConnectFailed, false)]);
            assert!(fixture.command_names().is_empty());
        }
    });
}

#[test]
fn a_client_disconnect_is_reported_once_and_the_attempt_still_ends() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        fixture.send();
        // A front cancels the token of its request before it sends the message.
        fixture.broker.open_requests[&ID].cancel_token.cancel();
        fixture.broker.handle_message(BrokerMessage::ClientLeft(ID));
        fixture.broker.handle_message(BrokerMessage::ClientLeft(ID));
        let client_left_events = fixture
            .broker
            .events
            .iter()
            .filter(|event| matches!(event, Event::ClientLeft(_)));
        assert_eq!(client_left_events.count(), 1);
        fixture.end(success());
        assert_eq!(fixture.outcomes(), [(0, Outcome::Ok, true)]);
        let answer = fixture.answer.try_recv().expect("an answer");
        assert!(matches!(answer, Answer::Failed(Failure::Cancelled)));
    });
}

#[test]
fn an_answer_is_sent_once_and_an_overdue_one_is_sent_by_the_broker() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        fixture.broker.answer_overdue(ID);
        fixture.broker.send_answer(
            ID,
            Answer::Refused {
                retry_after: Duration::ZERO,
            },
        );
        let answer = fixture.answer.try_recv().expect("an answer");
        assert!(matches!(answer, Answer::Failed(Failure::OutcomeUnknown)));
        fixture.broker.process_batch(Instant::now());
        assert!(
            fixture.broker.open_requests.is_empty(),
            "a finished request is removed after the gateway's batch"
        );
    });
}

#[test]
fn a_request_with_an_open_id_gets_an_error_and_does_not_reach_the_gateway() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        let (reply, mut second) = oneshot::channel();
        fixture.broker.submit(request(), reply);
        let answer = second.try_recv().expect("an answer");
        assert!(matches!(answer, Answer::Failed(Failure::DuplicateId)));
        assert!(fixture.broker.events.is_empty());
        assert!(
            fixture.answer.try_recv().is_err(),
            "the first request is still open"
        );
    });
}

/// A client sends an id that is open for another client, and leaves before it has read that this failed: the message that it
/// has left carries the id alone.
#[test]
fn a_client_that_leaves_does_not_end_the_request_of_another_client_with_its_id() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        fixture.send();
        let (reply, _unread) = oneshot::channel();
        let duplicate = request();
        let cancel_token = duplicate.cancel_token.clone();
        fixture.broker.submit(duplicate, reply);
        cancel_token.cancel();
        fixture.broker.handle_message(BrokerMessage::ClientLeft(ID));
        let unanswered = oneshot::error::TryRecvError::Empty;
        assert_eq!(fixture.answer.try_recv().err(), Some(unanswered));
        assert!(fixture.broker.is_in_flight(ACTOR, ID, FIRST));
    });
}

#[test]
fn batches_are_a_tick_apart_and_timeouts_end_at_the_deadline() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        let now = Instant::now();
        assert_eq!(fixture.broker.next_batch_at(now), now);
        fixture.broker.process_batch(now);
        assert_eq!(
            fixture.broker.next_batch_at(now),
            now + Duration::from_millis(5)
        );
        // A timeout is limited to the client's deadline, also in what the engine is sent.
        fixture
            .broker
            .send(ID, ENGINE, Micros::from_millis(60_000), None, now);
        let Ok(EngineCommand::Send(attempt)) = fixture.commands.try_recv() else {
            panic!("no send")
        };
        assert!(attempt.deadline - Instant::now() <= Duration::from_secs(9));
        assert_eq!(attempt.priority, 1);
    });
}

#[test]
fn a_new_priority_is_sent_for_attempts_in_flight() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        fixture.send();
        fixture.broker.update_attempt_resources(ID, 0.0, 1);
        fixture.broker.update_attempt_resources(ID, 0.0, 3);
        assert_eq!(fixture.command_names(), ["Send", "Reprioritize"]);
    });
}

#[test]
fn attempts_in_flight_at_a_dead_actor_may_have_run() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        fixture.send();
        fixture
            .broker
            .handle_message(BrokerMessage::EngineActorDied(ACTOR));
        assert_eq!(fixture.outcomes(), [(0, Outcome::Reset, false)]);
    });
}

#[test]
fn engine_ids_are_taken_from_uids() {
    run_in_runtime(|| {
        let broker = fixture().broker;
        assert_eq!(broker.engine_id("s-00c41f7a"), EngineId(0x00c4_1f7a));
        // An id that is in use is not assigned again.
        assert_eq!(broker.engine_id("s-00000001"), EngineId(2));
    });
}

/// `ClientLeft` may wait behind thousands of other messages; what the gateway decides meanwhile must not be sent.
#[test]
fn nothing_is_sent_after_a_client_disconnects_even_before_the_broker_is_notified() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        fixture.command_names();
        fixture.broker.open_requests[&ID].cancel_token.cancel();
        fixture.send();
        assert!(fixture.command_names().is_empty());
        assert_eq!(fixture.outcomes(), [(0, Outcome::NotSent, true)]);
        let answer = fixture.answer.try_recv().expect("an answer");
        assert!(matches!(answer, Answer::Failed(Failure::Cancelled)));
        fixture.broker.handle_message(BrokerMessage::ClientLeft(ID));
        assert!(
            fixture.broker.events.is_empty(),
            "the disconnect is reported once"
        );
        // A request whose client disconnects before the broker receives it is not opened.
        let (reply, _answer) = oneshot::channel();
        let cancelled = NewRequest {
            id: RequestId(8),
            ..request()
        };
        cancelled.cancel_token.cancel();
        fixture.broker.submit(cancelled, reply);
        assert!(
            fixture.broker.events.is_empty()
                && !fixture.broker.open_requests.contains_key(&RequestId(8))
        );
    });
}

/// An attempt that has ended in any way must not be written any more, wherever it is queued.
#[test]
fn an_ended_attempt_that_waits_to_be_written_becomes_stale() {
    let endings: [fn(&mut Fixture); 4] = [
        |fixture| fixture.broker.cancel_attempt(ID, FIRST, Instant::now()),
        |fixture| fixture.broker.attempt_timed_out(ID, FIRST, Instant::now()),
        |fixture| fixture.end(AttemptResult::Reset),
        |fixture| fixture.broker.open_requests[&ID].cancel_token.cancel(),
    ];
    for end in endings {
        run_in_runtime(|| {
            let mut fixture = fixture();
            fixture.send();
            let Ok(EngineCommand::Send(attempt)) = fixture.commands.try_recv() else {
                panic!("no attempt")
            };
            assert!(!attempt.is_stale());
            end(&mut fixture);
            assert!(attempt.is_stale());
        });
    }
}

/// A client disconnects and submits a request with the same id again: events, timers and reports that remain of the
/// first request must not affect the second.
#[test]
fn a_request_with_a_reused_id_is_not_affected_by_the_first() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        fixture.send();
        fixture.broker.client_left(ID, Failure::Cancelled);
        fixture.broker.cancel_attempt(ID, FIRST, Instant::now());
        fixture.broker.process_batch(Instant::now());
        // The id is free again once the first request can't run any more.
        let deadline_passed_at = Instant::now() + Duration::from_secs(30);
        fixture.broker.forget_expired_requests(deadline_passed_at);
        let (reply, mut answer) = oneshot::channel();
        let second_request = NewRequest {
            deadline: Instant::now() + Duration::from_secs(90),
            ..request()
        };
        fixture.broker.submit(second_request, reply);
        fixture.send();
        fixture.broker.process_batch(Instant::now());
        fixture.broker.process_batch(Instant::now());
        let other_actor = EngineActorId {
            engine: EngineId(2),
            ..ACTOR
        };
        // All timers of the first request fire, and another engine ends an attempt with the same number.
        fixture
            .broker
            .fire_timers(Instant::now() + Duration::from_secs(30));
        fixture
            .broker
            .attempt_ended(other_actor, ID, FIRST, AttemptResult::NotRun);
        let unanswered = oneshot::error::TryRecvError::Empty;
        assert_eq!(answer.try_recv().err(), Some(unanswered));
        assert!(fixture.broker.is_in_flight(ACTOR, ID, FIRST));
    });
}

/// The gateway sends a request in the same batch in which it learns that the client has left. The failed send schedules
/// the removal of the request again, after the list of removals was taken; it must not remove a later request with that
/// id.
#[test]
fn a_request_is_removed_once() {
    run_in_runtime(|| {
        let (mut broker, _own, _incoming) = new(config());
        let target = Target {
            uid: "s-1".to_string(),
            endpoint: "127.0.0.1:1".to_string(),
            state: "up".to_string(),
            ..Target::default()
        };
        broker.handle_message(BrokerMessage::EngineList(
            ListUpdate::Complete,
            vec![target],
        ));
        let (reply, _answer) = oneshot::channel();
        broker.submit(request(), reply);
        broker.client_left(ID, Failure::Cancelled);
        broker.process_batch(Instant::now());
        let (reply, mut second_answer) = oneshot::channel();
        broker.submit(request(), reply);
        broker.process_batch(Instant::now());
        assert_eq!(
            second_answer.try_recv().err(),
            Some(oneshot::error::TryRecvError::Empty)
        );
    });
}

/// All engines share one mailbox, whose receiver the test holds.
struct SingleMailboxTransport(EngineSender);

impl EngineTransport for SingleMailboxTransport {
    fn start(&self, _: &Target, _: EngineReporter) -> EngineSender {
        self.0.clone()
    }
}

/// The memory granted to a request with this estimate at an engine of 1,001 MB, of which one query gets at most 0.4.
fn granted_mb(takes_grants: bool, memory_mb: f64) -> Option<u32> {
    let (mailbox, mut sent) = mpsc::channel(16);
    let domain = format!(
        r#"{{"takes_grants": {takes_grants}, "priorities": true, "max_grant_share": 0.4, "size_cores": [8], "size_mb": [1001.0]}}"#
    );
    let config = BrokerConfig {
        engine_transport: Arc::new(SingleMailboxTransport(mailbox)),
        ..config_with(&domain)
    };
    let (mut broker, _own, _incoming) = new(config);
    let target = Target {
        uid: "s-1".to_string(),
        endpoint: "127.0.0.1:1".to_string(),
        state: "up".to_string(),
        model: Some("std".to_string()),
        ..Target::default()
    };
    broker.handle_message(BrokerMessage::EngineList(
        ListUpdate::Complete,
        vec![target],
    ));
    let (reply, _answer) = oneshot::channel();
    let new_request = NewRequest {
        memory_mb,
        ..request()
    };
    broker.submit(new_request, reply);
    broker.process_batch(Instant::now());
    match sent.try_recv() {
        Ok(EngineCommand::Send(attempt)) => attempt.memory_grant_mb.map(u32::from),
        other => panic!("no attempt, but {other:?}"),
    }
}

#[test]
fn an_attempt_gets_its_memory_grant_up_to_the_share_of_one_query() {
    run_in_runtime(|| {
        // A quarter more than the estimate, in whole megabytes.
        assert_eq!(granted_mb(true, 96.0), Some(120));
        assert_eq!(granted_mb(true, 96.2), Some(121));
        assert_eq!(granted_mb(true, 0.1), Some(1));
        assert_eq!(granted_mb(true, 900.0), Some(400), "the share is 400.4 MB");
        assert_eq!(granted_mb(true, 1e6), Some(400));
        assert_eq!(granted_mb(true, 0.0), None, "nothing was estimated");
        assert_eq!(granted_mb(false, 96.0), None, "grants are disabled");
    });
}

#[test]
fn a_new_grant_applies_to_the_next_attempt_and_not_to_the_one_in_flight() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        fixture.broker.settings.takes_grants = true;
        let grant_of = |fixture: &mut Fixture| match fixture.commands.try_recv() {
            Ok(EngineCommand::Send(attempt)) => attempt.memory_grant_mb.map(u32::from),
            other => panic!("no attempt, but {other:?}"),
        };
        let set_memory_grant = |fixture: &mut Fixture, memory_mb| {
            let resources = Action::attempt_resources(ID, memory_mb, 1);
            fixture.broker.execute(resources, Instant::now());
        };
        set_memory_grant(&mut fixture, 96.0);
        fixture.send();
        set_memory_grant(&mut fixture, 128.0);
        assert_eq!(grant_of(&mut fixture), Some(96));
        assert!(
            fixture.command_names().is_empty(),
            "nothing more is sent to the engine"
        );
        fixture.end(AttemptResult::Busy);
        fixture.send();
        assert_eq!(grant_of(&mut fixture), Some(128));
        fixture
            .broker
            .attempt_ended(ACTOR, ID, AttemptNo(1), AttemptResult::Busy);
        // New settings disable grants, and the gateway may not replace the grant that it set before.
        fixture.broker.settings.takes_grants = false;
        fixture.send();
        assert_eq!(grant_of(&mut fixture), None);
    });
}

#[test]
fn an_invalid_amount_of_memory_is_no_grant() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        for invalid_mb in [0.0, 0.4, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
            fixture.broker.update_attempt_resources(ID, invalid_mb, 1);
            assert_eq!(
                fixture.broker.open_requests[&ID].memory_grant_mb, None,
                "{invalid_mb}"
            );
        }
        fixture.broker.update_attempt_resources(ID, 96.0, 1);
        let granted_mb = fixture.broker.open_requests[&ID].memory_grant_mb;
        assert_eq!(granted_mb.map(u32::from), Some(96));
    });
}

#[test]
fn the_gateway_learns_whether_a_request_is_a_retry() {
    run_in_runtime(|| {
        for is_retry in [false, true] {
            let (mut broker, _own, _incoming) = new(config());
            let (reply, _answer) = oneshot::channel();
            let new_request = NewRequest {
                is_retry,
                ..request()
            };
            broker.submit(new_request, reply);
            let event = broker.events.first();
            assert!(matches!(event, Some(Event::Request(query)) if query.is_retry == is_retry));
        }
    });
}

fn abort_confirmation(attempt_no: u32) -> BrokerMessage {
    BrokerMessage::EngineReport(
        ACTOR,
        EngineReport::AbortConfirmed(ID, AttemptNo(attempt_no)),
    )
}

/// A broker whose only class is repeatable: another attempt may follow an aborted one.
fn repeatable_fixture() -> Fixture {
    let mut fixture = fixture();
    fixture.broker.settings.classes[0].effect = Effect::Repeatable;
    fixture
}

/// Two attempts of one request must not be in flight together: an outcome is reported only after the abort is
/// confirmed.
#[test]
fn an_aborted_attempt_is_in_flight_until_the_abort_is_confirmed() {
    run_in_runtime(|| {
        for (abort_method, outcome) in ABORT_METHODS {
            let mut fixture = repeatable_fixture();
            fixture.send();
            abort_method(&mut fixture.broker, ID, FIRST, Instant::now());
            assert_eq!(fixture.command_names(), ["Send", "Abort"]);
            assert_eq!(fixture.outcomes(), []);
            fixture.send();
            assert_eq!(fixture.outcomes(), [(1, Outcome::NotSent, false)]);
            assert!(fixture.command_names().is_empty());
            fixture.broker.handle_message(abort_confirmation(0));
            fixture.broker.handle_message(abort_confirmation(0));
            fixture.end(AttemptResult::Reset);
            assert_eq!(fixture.outcomes(), [(0, outcome, false)]);
            fixture.send();
            assert_eq!(fixture.command_names(), ["Send"]);
            // A confirmation is ignored for an attempt that was not aborted.
            fixture.broker.handle_message(abort_confirmation(2));
            assert_eq!(fixture.outcomes(), []);
        }
    });
}

#[test]
fn the_last_attempt_of_a_request_has_its_outcome_at_once() {
    run_in_runtime(|| {
        let now = Instant::now();
        let mut after_disconnect = repeatable_fixture();
        after_disconnect.send();
        after_disconnect.broker.client_left(ID, Failure::Cancelled);
        after_disconnect.broker.cancel_attempt(ID, FIRST, now);
        assert_eq!(after_disconnect.outcomes(), [(0, Outcome::Cancelled, true)]);

        let mut at_deadline = repeatable_fixture();
        at_deadline.send();
        let deadline = at_deadline.broker.open_requests[&ID].deadline;
        at_deadline.broker.attempt_timed_out(ID, FIRST, deadline);
        assert_eq!(at_deadline.outcomes(), [(0, Outcome::TimedOut, false)]);

        let mut not_repeatable = fixture();
        not_repeatable.broker.settings.classes[0].effect = Effect::Once;
        not_repeatable.send();
        not_repeatable.broker.cancel_attempt(ID, FIRST, now);
        assert_eq!(not_repeatable.outcomes(), [(0, Outcome::Cancelled, false)]);
    });
}

#[test]
fn a_request_goes_on_if_an_abort_is_not_confirmed() {
    run_in_runtime(|| {
        let mut unconfirmed = repeatable_fixture();
        unconfirmed.send();
        let now = Instant::now();
        unconfirmed.broker.cancel_attempt(ID, FIRST, now);
        unconfirmed.broker.fire_timers(now + ABORT_TIMEOUT / 2);
        assert_eq!(unconfirmed.outcomes(), []);
        unconfirmed.broker.fire_timers(now + ABORT_TIMEOUT);
        unconfirmed.broker.handle_message(abort_confirmation(0));
        assert_eq!(unconfirmed.outcomes(), [(0, Outcome::Cancelled, false)]);

        let mut at_deadline = repeatable_fixture();
        at_deadline.send();
        let deadline = at_deadline.broker.open_requests[&ID].deadline;
        let shortly_before = deadline - ABORT_TIMEOUT / 2;
        at_deadline.broker.cancel_attempt(ID, FIRST, shortly_before);
        at_deadline.broker.fire_timers(deadline);
        // These settings have no answer slack, so the final answer is due at the deadline.
        assert_eq!(at_deadline.outcomes(), [(0, Outcome::Cancelled, true)]);

        let mut with_dead_actor = repeatable_fixture();
        with_dead_actor.send();
        with_dead_actor.broker.cancel_attempt(ID, FIRST, now);
        with_dead_actor
            .broker
            .handle_message(BrokerMessage::EngineActorDied(ACTOR));
        assert_eq!(with_dead_actor.outcomes(), [(0, Outcome::Cancelled, false)]);
    });
}

/// An actor reports to be idle while an attempt is on its way to it: the attempt must not be lost with the actor.
#[test]
fn an_idle_actor_ends_unless_it_was_sent_another_command_meanwhile() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        let mailbox = fixture.broker.engines[&ENGINE].actor.as_ref();
        let mailbox = mailbox.expect("an actor").mailbox.downgrade();
        let idle_engine = |received_count| IdleEngine {
            mailbox: mailbox.clone(),
            received_count,
        };
        let has_actor = |fixture: &Fixture| fixture.broker.engines[&ENGINE].actor.is_some();
        fixture.broker.probe(ENGINE);
        fixture.broker.engine_idle(ENGINE, &idle_engine(0));
        assert!(
            has_actor(&fixture),
            "the actor has not received the probe yet"
        );
        let (other_mailbox, _receiver) = mpsc::channel(1);
        let from_earlier_actor = IdleEngine {
            mailbox: other_mailbox.downgrade(),
            received_count: 1,
        };
        fixture.broker.engine_idle(ENGINE, &from_earlier_actor);
        assert!(
            has_actor(&fixture),
            "the report comes from an earlier actor"
        );
        fixture.broker.engine_idle(ENGINE, &idle_engine(1));
        assert!(!has_actor(&fixture));
    });
}

/// The age that the gateway gets for an engine with a listed start time `start_offset_ms` from now.
fn listed_age(update: ListUpdate, start_offset_ms: f64) -> Micros {
    let config = config();
    let clock = config.clock;
    let (mut broker, _, _) = new(config);
    let now = clock.micros(Instant::now()).0 as f64 / 1000.0;
    let target = Target {
        uid: "s-00000001".to_string(),
        state: "up".to_string(),
        boot_ms: Some(now + start_offset_ms),
        ..Target::default()
    };
    broker.update_engine_list(update, vec![target]);
    let started_at = broker.events.iter().find_map(|event| match event {
        Event::List { engines, .. } => Some(engines[0].started_at),
        _ => None,
    });
    let started_at = started_at.expect("a list");
    let now = clock.micros(Instant::now());
    assert!(
        started_at <= now,
        "the engine starts in {:?}",
        started_at - now
    );
    now - started_at
}

const HOUR_MS: f64 = 3_600_000.0;

/// Clocks of machines differ and are stepped, so the age of an engine is limited by this process's clock.
#[test]
fn an_engine_whose_clock_is_ahead_counts_as_started_when_listed() {
    run_in_runtime(|| {
        for update in [ListUpdate::Saved, ListUpdate::Complete, ListUpdate::Changes] {
            let age = listed_age(update, HOUR_MS);
            assert!(age < Micros::from_millis(1_000), "{update:?}: {age:?}");
        }
    });
}

#[test]
fn an_engine_in_a_change_is_no_older_than_the_maximum_change_delay() {
    run_in_runtime(|| {
        let age = listed_age(ListUpdate::Changes, -HOUR_MS);
        assert!(age <= Micros::from_millis(8_000), "{age:?}");
        let age = listed_age(ListUpdate::Changes, -3_000.0);
        assert!(age >= Micros::from_millis(3_000), "{age:?}");
        // The first list may contain engines that started long ago.
        let age = listed_age(ListUpdate::Saved, -HOUR_MS);
        assert!(age >= Micros::from_millis(3_600_000), "{age:?}");
    });
}

/// A target at the only address of these tests.
fn target_at_address(uid: &str, state: &str, boot_ms: f64) -> Target {
    Target {
        uid: uid.to_string(),
        endpoint: "127.0.0.1:1".to_string(),
        state: state.to_string(),
        boot_ms: Some(boot_ms),
        ..Target::default()
    }
}

/// The states of the engines in the gateway's next lists, by the numbers of their ids; the last one counts.
fn listed_states(broker: &mut Broker) -> BTreeMap<u64, sedgebeam_core::EngineState> {
    let events = std::mem::take(&mut broker.events).into_iter();
    let lists = events.filter_map(|event| match event {
        Event::List { engines, .. } => Some(engines),
        _ => None,
    });
    lists
        .flatten()
        .map(|engine| (engine.id.0, engine.state))
        .collect()
}

/// Guards against two entries that send to one process: a new process at the address of one that is still listed got what
/// both may send, before and beside its slow start.
#[test]
fn an_engine_is_gone_once_a_later_process_is_listed_at_its_address() {
    use sedgebeam_core::EngineState::{Draining, Gone, Ready};
    let old = || target_at_address("s-1", "up", 0.0);
    run_in_runtime(|| {
        for (state, new_state) in [("up", Ready), ("draining", Draining)] {
            let new_target = || target_at_address("s-2", state, 5_000.0);
            let as_change = [
                (ListUpdate::Complete, vec![old()]),
                (ListUpdate::Changes, vec![new_target()]),
            ];
            let as_list = [(ListUpdate::Complete, vec![new_target(), old()])];
            let repeated = [
                (ListUpdate::Saved, vec![new_target()]),
                (ListUpdate::Changes, vec![old()]),
            ];
            for updates in [&as_change[..], &as_list, &repeated] {
                let (mut broker, _, _) = new(config());
                for (update, targets) in updates {
                    broker.update_engine_list(*update, targets.clone());
                }
                let expected = BTreeMap::from([(1, Gone), (2, new_state)]);
                assert_eq!(listed_states(&mut broker), expected);
                assert!(broker.engines.keys().eq([&EngineId(2)]));
                let removal = target_at_address("s-1", "removed", 0.0);
                broker.update_engine_list(ListUpdate::Changes, vec![removal]);
                assert_eq!(listed_states(&mut broker), [(1, Gone)].into());
                assert!(broker.engines.keys().eq([&EngineId(2)]));
            }
        }
        // Without start times nothing tells which process is the later one.
        let (mut broker, _, _) = new(config());
        let other = target_at_address("s-2", "up", 0.0);
        broker.update_engine_list(ListUpdate::Complete, vec![old(), other]);
        assert_eq!(broker.engines.len(), 2);
    });
}

/// An engine has moved to another address while a probe and an attempt are out at its earlier actor: what that actor
/// reports is not taken for the process at the new address.
#[test]
fn reports_of_an_earlier_actor_are_not_taken_for_those_of_a_later_one() {
    run_in_runtime(|| {
        let mut fixture = fixture();
        fixture.send();
        fixture.broker.remove_engine(ENGINE);
        let later_actor = EngineActorId {
            instance: 1,
            ..ACTOR
        };
        let (mailbox, _commands) = mpsc::channel(16);
        let moved = KnownEngine {
            is_ready: true,
            actor: Some(engines::Actor {
                id: later_actor,
                mailbox,
                sent_count: 0,
            }),
            ..KnownEngine::default()
        };
        fixture.broker.engines.insert(ENGINE, moved);
        fixture.broker.probe(ENGINE);
        let probe_report = |actor| {
            let report = EngineReport::Probed(ProbeResult::Up(None));
            BrokerMessage::EngineReport(actor, report)
        };
        fixture.broker.handle_message(probe_report(ACTOR));
        assert!(fixture.broker.events.is_empty(), "an earlier probe");
        fixture.broker.handle_message(probe_report(later_actor));
        assert!(matches!(
            fixture.broker.events[..],
            [Event::Probed(ENGINE, Outcome::Ok, None)]
        ));
        let died = BrokerMessage::EngineActorDied(later_actor);
        fixture.broker.handle_message(died);
        assert!(fixture.broker.is_in_flight(ACTOR, ID, FIRST));
        fixture.end(success());
        assert_eq!(fixture.outcomes(), [(0, Outcome::Ok, true)]);
    });
}

/// Guards against timers that outlive what they guard: clients that ask again as soon as they are refused made the
/// dispatcher exceed its memory limit.
#[test]
fn requests_that_have_ended_leave_no_timers() {
    let refusal = || Answer::Refused {
        retry_after: Duration::ZERO,
    };
    run_in_runtime(|| {
        let ends: [fn(&mut Fixture, Answer); 5] = [
            |fixture, refusal| fixture.broker.send_answer(ID, refusal),
            |fixture, _| {
                fixture.send();
                fixture.end(success());
            },
            |fixture, refusal| {
                fixture.send();
                fixture.end(AttemptResult::Busy);
                fixture.broker.send_answer(ID, refusal);
            },
            |fixture, refusal| {
                fixture.send();
                fixture.broker.attempt_timed_out(ID, FIRST, Instant::now());
                fixture.broker.handle_message(abort_confirmation(0));
                fixture.broker.send_answer(ID, refusal);
            },
            |fixture, _| {
                fixture.send();
                fixture.broker.client_left(ID, Failure::Cancelled);
                fixture.broker.cancel_attempt(ID, FIRST, Instant::now());
            },
        ];
        for (case, end) in ends.into_iter().enumerate() {
            let mut fixture = repeatable_fixture();
            end(&mut fixture, refusal());
            fixture.broker.process_batch(Instant::now());
            assert!(fixture.broker.open_requests.is_empty(), "case {case}");
            // The gateway's own timer may be set.
            assert!(fixture.broker.timers.len() <= 1, "case {case}");
        }
    });
}

/// Ends the request of a fixture.
type RequestEnd = fn(&mut Fixture);

/// Guards against a request that runs beside the attempt of an earlier one with its id, whose client has left, or repeats
/// what that one may have done.
#[test]
fn an_id_is_not_run_again_while_that_could_do_harm() {
    let second_after = Duration::from_secs(2);
    let serve: RequestEnd = |fixture| fixture.end(success());
    let leave_unserved: RequestEnd = |fixture| {
        fixture.end(AttemptResult::ConnectFailed);
        leave(fixture);
    };
    // Whether the id is refused at once, after the abort is overdue, and after the deadline.
    let cases = [
        (
            "left",
            Effect::Once,
            leave as RequestEnd,
            [true, true, false],
        ),
        ("left", Effect::Repeatable, leave, [true, false, false]),
        ("served", Effect::Once, serve, [true, true, false]),
        ("served", Effect::Repeatable, serve, [false, false, false]),
        (
            "never ran",
            Effect::Once,
            leave_unserved,
            [false, false, false],
        ),
    ];
    run_in_runtime(|| {
        for (name, effect, end, expected) in cases {
            let mut fixture = fixture();
            fixture.broker.settings.classes[0].effect = effect;
            fixture.send();
            end(&mut fixture);
            fixture.broker.process_batch(Instant::now());
            assert!(fixture.broker.open_requests.is_empty(), "{name}");
            let now = Instant::now();
            let is_refused = [now, now + second_after, now + Duration::from_secs(10)].map(|at| {
                fixture.broker.forget_expired_requests(at);
                fixture.broker.recent_requests.contains(ID, at)
            });
            assert_eq!(is_refused, expected, "{name}, {effect:?}");
            assert_eq!(fixture.broker.recent_requests.len(), 0, "{name}");
        }
    });
}

/// The client leaves, and the gateway cancels the attempt if it is in flight.
fn leave(fixture: &mut Fixture) {
    fixture.broker.client_left(ID, Failure::Cancelled);
    fixture.broker.cancel_attempt(ID, FIRST, Instant::now());
}

#[test]
fn the_number_of_remembered_ids_is_limited() {
    let now = Instant::now();
    let mut recent_requests = RecentRequests::default();
    for id in 0..10 {
        let until = now + Duration::from_secs(10 - id);
        let forgotten = recent_requests.insert(RequestId(id), until, 4);
        // The id that expires first is the newest.
        assert_eq!(forgotten, (id >= 4).then_some(RequestId(id)));
    }
    assert_eq!(recent_requests.len(), 4);
    let extended = recent_requests.insert(RequestId(3), now + Duration::from_secs(60), 4);
    assert_eq!(extended, None);
    assert!(recent_requests.contains(RequestId(3), now + Duration::from_secs(59)));
    assert_eq!(
        recent_requests.pop_expired(now + Duration::from_secs(59)),
        Some(RequestId(2))
    );
}
