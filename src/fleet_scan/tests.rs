//! Skipping a scan of the engines must not change a decision: a gateway that scans in each call must act the
//! same as one that scans only after changes.

use crate::interface::*;
use crate::policy::Gateway;
use sedgebeam_fleet::splitmix64;
use std::collections::VecDeque;

const MS: u64 = 1000;

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = splitmix64(self.0);
        self.0 % bound
    }
}

fn settings(gateways: u32) -> Settings {
    let class = |name: &str, threads: f64, effect| Class {
        name: name.to_string(),
        worth: threads,
        on_time: Micros::from_millis(500),
        give_up: Micros::from_millis(2500),
        threads,
        effect,
        ..Class::default()
    };
    Settings {
        gateways,
        classes: vec![
            class("lookup", 1.0, Effect::Repeatable),
            class("report", 4.0, Effect::Repeatable),
            class("load", 2.0, Effect::Once),
        ],
        kinds: vec![Kind {
            cores: 12.0,
            memory_mb: 24_576.0,
        }],
        start_capacity: 0.3,
        warm_after: Micros::from_millis(3000),
        overload_multiple: 4.0,
        overload_window: Micros::from_millis(1000),
        max_attempts: 3,
        may_cancel: true,
        note_interval: Micros::from_millis(200),
        ..Settings::default()
    }
}

fn engine(id: u64, state: EngineState, started_at: Micros) -> Engine {
    Engine {
        kind: Some(KindId(0)),
        state,
        started_at,
        ..Engine::ready(EngineId(id))
    }
}

/// Draws random events: new requests, outcomes of the oldest attempts in flight, changes of the engine list,
/// replies to probes.
fn random_events(
    random: &mut Random,
    now: Micros,
    in_flight: &mut VecDeque<AttemptEnded>,
) -> Vec<Event> {
    let mut events = Vec::new();
    for _ in 0..random.below(3) {
        let class = ClassId(random.below(3) as usize);
        let remaining = Micros::from_millis(300 + random.below(2000));
        let query = Query {
            work: Micros::from_millis(20 + random.below(400)),
            table_group: TableGroupId(random.below(9)),
            ..Query::new(
                RequestId(splitmix64(now.0 ^ random.below(1 << 40))),
                class,
                remaining,
            )
        };
        events.push(Event::Request(query));
    }
    for _ in 0..random.below(3) {
        let Some(mut attempt) = in_flight.pop_front() else {
            break;
        };
        attempt.outcome = match random.below(8) {
            0 => Outcome::Reset,
            1 => Outcome::ConnectFailed,
            2 => Outcome::TimedOut,
            3 => Outcome::Rejected,
            _ => Outcome::Ok,
        };
        attempt.request_finished = attempt.outcome == Outcome::Ok;
        attempt.elapsed = Micros::from_millis(5 + random.below(900));
        events.push(Event::Ended(attempt));
    }
    if random.below(20) == 0 {
        let id = 1 + random.below(12);
        let state = if random.below(3) == 0 {
            EngineState::Draining
        } else {
            EngineState::Ready
        };
        let started_at = Micros(random.below(2) * now.0);
        let engines = vec![engine(id, state, started_at)];
        let kind = ListKind::Changes;
        events.push(Event::List { kind, engines });
    }
    if random.below(10) == 0 {
        let engine = EngineId(1 + random.below(12));
        events.push(Event::Probed(engine, Outcome::Ok, None));
    }
    events.push(Event::Timer(TimerId(0)));
    events
}

/// Feeds the same events to both gateways and compares their actions and ejected engines.
fn compare_gateways(seed: u64, gateways: u32) {
    let mut random = Random(seed);
    let (mut always_scans, mut scans_on_change) = (
        Gateway::new(settings(gateways), seed),
        Gateway::new(settings(gateways), seed),
    );
    let mut now = Micros::from_millis(10_000);
    let entries = (1..=10).map(|id| engine(id, EngineState::Ready, Micros(0)));
    let mut next_events = vec![Event::List {
        kind: ListKind::Complete,
        engines: entries.collect(),
    }];
    let mut in_flight = VecDeque::new();
    let mut sent = 0;
    for _ in 0..1500 {
        always_scans.scan.is_outdated = true;
        let actions = always_scans.handle(now, next_events.clone());
        assert_eq!(
            actions,
            scans_on_change.handle(now, next_events),
            "seed {seed} at {now:?}"
        );
        assert_eq!(
            always_scans.ejected_engines(),
            scans_on_change.ejected_engines(),
            "seed {seed} at {now:?}"
        );
        for action in &actions {
            if let Action::Send {
                request, engine, ..
            } = action
            {
                sent += 1;
                let earlier = in_flight
                    .iter()
                    .filter(|attempt: &&AttemptEnded| attempt.request == *request);
                assert_eq!(earlier.count(), 0, "two attempts are in flight");
                let request_state = &always_scans.requests[request];
                in_flight.push_back(AttemptEnded {
                    request: *request,
                    attempt: AttemptNo(request_state.attempts.len() as u32 - 1),
                    engine: *engine,
                    outcome: Outcome::Ok,
                    elapsed: Micros(0),
                    request_finished: true,
                    work: None,
                    load_report: None,
                });
            }
        }
        now = now + Micros(random.below(40 * MS));
        next_events = random_events(&mut random, now, &mut in_flight);
    }
    assert!(sent > 100, "only {sent} sends");
}

#[test]
fn skipping_a_scan_of_the_engines_changes_no_decision() {
    for seed in 1..=20 {
        for gateways in [1, 3, 60] {
            compare_gateways(seed, gateways);
        }
    }
}
