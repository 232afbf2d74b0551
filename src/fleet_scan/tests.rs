//! A look at all engines that is left out changes no decision: a gateway that looks at each call does the same as one that
//! looks only where something may have changed.

use crate::interface::*;
use crate::policy::Gateway;
use crate::state::splitmix64;
use std::collections::VecDeque;

const MS: u64 = 1000;

struct Draws(u64);

impl Draws {
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

/// What the engines and clients do next, given what was sent.
fn events(draws: &mut Draws, now: Micros, out: &mut VecDeque<AttemptEnded>) -> Vec<Event> {
    let mut events = Vec::new();
    for _ in 0..draws.below(3) {
        let class = ClassId(draws.below(3) as usize);
        let remaining = Micros::from_millis(300 + draws.below(2000));
        let query = Query {
            work: Micros::from_millis(20 + draws.below(400)),
            table_group: TableGroupId(draws.below(9)),
            ..Query::new(
                RequestId(splitmix64(now.0 ^ draws.below(1 << 40))),
                class,
                remaining,
            )
        };
        events.push(Event::Request(query));
    }
    for _ in 0..draws.below(3) {
        let Some(mut end) = out.pop_front() else {
            break;
        };
        end.outcome = match draws.below(8) {
            0 => Outcome::Reset,
            1 => Outcome::ConnectFailed,
            2 => Outcome::TimedOut,
            3 => Outcome::Rejected,
            _ => Outcome::Ok,
        };
        end.request_finished = end.outcome == Outcome::Ok;
        end.elapsed = Micros::from_millis(5 + draws.below(900));
        events.push(Event::Ended(end));
    }
    if draws.below(20) == 0 {
        let id = 1 + draws.below(12);
        let state = if draws.below(3) == 0 {
            EngineState::Draining
        } else {
            EngineState::Ready
        };
        let started_at = Micros(draws.below(2) * now.0);
        let engines = vec![engine(id, state, started_at)];
        let kind = ListKind::Changes;
        events.push(Event::List { kind, engines });
    }
    if draws.below(10) == 0 {
        let engine = EngineId(1 + draws.below(12));
        events.push(Event::Probed(engine, Outcome::Ok, None));
    }
    events.push(Event::Timer(TimerId(0)));
    events
}

fn play(seed: u64, gateways: u32) {
    let mut draws = Draws(seed);
    let (mut always, mut seldom) = (
        Gateway::new(settings(gateways), seed),
        Gateway::new(settings(gateways), seed),
    );
    let mut now = Micros::from_millis(10_000);
    let listed = (1..=10).map(|id| engine(id, EngineState::Ready, Micros(0)));
    let mut next = vec![Event::List {
        kind: ListKind::Complete,
        engines: listed.collect(),
    }];
    let mut out = VecDeque::new();
    let mut sent = 0;
    for _ in 0..1500 {
        always.scan.is_outdated = true;
        let actions = always.handle(now, next.clone());
        assert_eq!(actions, seldom.handle(now, next), "seed {seed} at {now:?}");
        assert_eq!(
            always.ejected_engines(),
            seldom.ejected_engines(),
            "seed {seed} at {now:?}"
        );
        for action in &actions {
            if let Action::Send {
                request, engine, ..
            } = action
            {
                sent += 1;
                let earlier = out
                    .iter()
                    .filter(|end: &&AttemptEnded| end.request == *request);
                assert_eq!(earlier.count(), 0, "two attempts are out");
                let known = &always.requests[request];
                out.push_back(AttemptEnded {
                    request: *request,
                    attempt: AttemptNo(known.attempts.len() as u32 - 1),
                    engine: *engine,
                    outcome: Outcome::Ok,
                    elapsed: Micros(0),
                    request_finished: true,
                    work: None,
                    load_report: None,
                });
            }
        }
        now = now + Micros(draws.below(40 * MS));
        next = events(&mut draws, now, &mut out);
    }
    assert!(sent > 100, "{sent}");
}

#[test]
fn a_look_that_is_left_out_changes_no_decision() {
    for seed in 1..=20 {
        for gateways in [1, 3, 60] {
            play(seed, gateways);
        }
    }
}
