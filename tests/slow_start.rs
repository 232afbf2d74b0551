//! Sends to cold engines while clients state any work for their requests.

mod common;
use common::*;
use sedgebeam_core::*;
use std::collections::BTreeMap;

const COLD_ENGINE: u64 = 9;
/// Work of each request, whatever its client states.
const WORK: Micros = Micros::from_millis(80);
const STEP_MS: u64 = 10;
const REQUESTS_PER_STEP: u64 = 10;

/// What engines and clients tell of the work of a request.
#[derive(Clone, Copy, Debug)]
struct Statements {
    by_clients: Micros,
    by_answers: Option<Micros>,
}

/// The gateway's requests, of which each runs for as long as its work takes.
struct Traffic {
    harness: Harness,
    statements: Statements,
    last_id: u64,
    /// Attempts in flight by their end: request and engine.
    in_flight: BTreeMap<Micros, Vec<(u64, u64)>>,
    /// Times of the sends to the cold engine.
    cold_sends: Vec<Micros>,
}

impl Traffic {
    /// A gateway with two warm engines.
    fn new(statements: Statements) -> Traffic {
        let settings = Settings {
            overload_multiple: 4.0,
            overload_window: ms(1000),
            ..settings()
        };
        Traffic {
            harness: Harness::with_engines(settings, 2),
            statements,
            last_id: 0,
            in_flight: BTreeMap::new(),
            cold_sends: Vec::new(),
        }
    }

    fn record_sends(&mut self, actions: Actions) {
        let now = self.harness.now;
        for send in sends(&actions) {
            self.in_flight.entry(now + WORK).or_default().push(send);
            if send.1 == COLD_ENGINE {
                self.cold_sends.push(now);
            }
        }
    }

    fn end_attempts(&mut self) {
        let now = self.harness.now;
        while let Some(due) = self.in_flight.first_entry().filter(|due| *due.key() <= now) {
            for (id, engine) in due.remove() {
                let answer = Event::Ended(AttemptEnded {
                    request: RequestId(id),
                    attempt: AttemptNo(0),
                    engine: EngineId(engine),
                    outcome: Outcome::Ok,
                    elapsed: WORK,
                    request_finished: true,
                    work: self.statements.by_answers,
                    load_report: None,
                });
                let actions = self.harness.handle(answer);
                self.record_sends(actions);
            }
        }
    }

    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            let actions = self.harness.advance(STEP_MS);
            self.record_sends(actions);
            self.end_attempts();
            for _ in 0..REQUESTS_PER_STEP {
                self.last_id += 1;
                let request = Event::Request(Query {
                    work: self.statements.by_clients,
                    ..query(self.last_id, LIGHT)
                });
                let actions = self.harness.handle(request);
                self.record_sends(actions);
            }
        }
    }

    fn start_cold_engine(&mut self) {
        let started_at = self.harness.now;
        let actions = self.harness.update_engine(Engine {
            started_at,
            ..engine(COLD_ENGINE)
        });
        self.record_sends(actions);
    }

    /// The most sends to the cold engine in any window.
    fn max_cold_sends(&self) -> usize {
        let window = ms(1000);
        let sends_from = |first: usize| {
            let until = self.cold_sends[first] + window;
            let later = self.cold_sends[first..].iter();
            later.take_while(|at| **at < until).count()
        };
        (0..self.cold_sends.len())
            .map(sends_from)
            .max()
            .unwrap_or_default()
    }
}

/// What a cold engine of eight cores bears in its first window: four times a third of its capacity.
const MAX_COLD_SENDS: usize = (4.0 * 0.33 * 8.0 / 0.08) as usize;

const STATED_WORK: [Micros; 4] = [Micros(0), Micros(1), WORK, Micros::from_millis(10_000_000)];

/// Guards against clients whose false estimates have a cold engine sent more than it bears, or nothing at all.
#[test]
fn false_estimates_of_clients_change_nothing_for_cold_engines() {
    for by_answers in [Some(WORK), None] {
        for by_clients in STATED_WORK {
            let statements = Statements {
                by_clients,
                by_answers,
            };
            let mut traffic = Traffic::new(statements);
            traffic.run(2000);
            traffic.start_cold_engine();
            traffic.run(2000);
            let sends = traffic.max_cold_sends();
            assert!(
                (1..=MAX_COLD_SENDS).contains(&sends),
                "{sends} sends, {statements:?}"
            );
        }
    }
}

/// The same while no answer has told anything of the class: its first requests come with the cold engine.
#[test]
fn a_class_without_an_answer_cannot_push_a_cold_engine_over() {
    for by_clients in STATED_WORK {
        let statements = Statements {
            by_clients,
            by_answers: Some(WORK),
        };
        let mut traffic = Traffic::new(statements);
        traffic.harness.advance(2000);
        traffic.start_cold_engine();
        traffic.run(2000);
        let sends = traffic.max_cold_sends();
        assert!(sends <= MAX_COLD_SENDS, "{sends} sends, {statements:?}");
    }
}
