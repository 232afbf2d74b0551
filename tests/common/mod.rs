//! A gateway under test: short calls for what happens, and a look at what it does.
#![allow(dead_code)]

use sedgebeam_core::*;

pub const LIGHT: usize = 0;
pub const HEAVY: usize = 1;
pub const LOAD: usize = 2;

pub fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

pub fn class(worth: f64, threads: f64, on_time: u64, give_up: u64) -> Class {
    Class {
        worth,
        threads,
        on_time: ms(on_time),
        give_up: ms(give_up),
        dedup_window: ms(5000),
        ..Class::default()
    }
}

/// A light and a heavy class that may be repeated, and loads that never may, in key order.
pub fn settings() -> Settings {
    let load = Class {
        effect: Effect::Once,
        in_key_order: true,
        holds_group: true,
        ..class(15.0, 2.0, 3000, 25000)
    };
    Settings {
        gateways: 1,
        classes: vec![
            class(1.0, 1.0, 300, 1500),
            class(20.0, 4.0, 2000, 15000),
            load,
        ],
        kinds: vec![Kind {
            cores: 8.0,
            memory_mb: 16384.0,
        }],
        max_attempts: 5,
        may_cancel: true,
        takes_priorities: true,
        max_grant_share: 0.4,
        max_retry_after: ms(1000),
        drain_grace: ms(1000),
        start_capacity: 0.33,
        warm_after: ms(15000),
        overload_multiple: 2.0,
        overload_window: ms(2000),
        note_interval: ms(1000),
        answer_slack: ms(20),
        tick: ms(5),
        ..Settings::default()
    }
}

pub struct Harness {
    pub gateway: Gateway,
    pub now: Micros,
}

/// What a call returned, without timers, terms and log lines.
pub type Actions = Vec<Action>;

impl Harness {
    pub fn new(settings: Settings) -> Harness {
        Harness {
            gateway: Gateway::new(settings, 1),
            now: ms(100_000),
        }
    }

    pub fn with_engines(settings: Settings, engines: u64) -> Harness {
        let mut harness = Harness::new(settings);
        harness.set_engines((1..=engines).map(engine).collect());
        harness
    }

    pub fn handle_all(&mut self, events: Vec<Event>) -> Vec<Action> {
        self.gateway.handle(self.now, events)
    }

    pub fn handle(&mut self, event: Event) -> Actions {
        let keeps = |action: &Action| {
            !matches!(
                action,
                Action::Timer { .. } | Action::AttemptResources { .. } | Action::Log(_)
            )
        };
        self.handle_all(vec![event])
            .into_iter()
            .filter(keeps)
            .collect()
    }

    pub fn set_engines(&mut self, engines: Vec<Engine>) -> Actions {
        self.handle(Event::List {
            kind: ListKind::Complete,
            engines,
        })
    }

    pub fn update_engine(&mut self, engine: Engine) -> Actions {
        self.handle(Event::List {
            kind: ListKind::Changes,
            engines: vec![engine],
        })
    }

    pub fn submit(&mut self, id: u64, class: usize) -> Actions {
        self.handle(Event::Request(query(id, class)))
    }

    /// Time passes in steps as short as the gateway's own timer.
    pub fn advance(&mut self, millis: u64) -> Actions {
        let mut done = Actions::new();
        for _ in 0..millis.div_ceil(10) {
            self.now = self.now + ms(10);
            done.extend(self.handle(Event::Timer(TimerId(0))));
        }
        done
    }

    pub fn end_attempt(&mut self, id: u64, attempt: u32, engine: u64, outcome: Outcome) -> Actions {
        let finished = outcome == Outcome::Ok;
        self.handle(attempt_ended(id, attempt, engine, outcome, finished))
    }
}

pub fn attempt_ended(
    id: u64,
    attempt: u32,
    engine: u64,
    outcome: Outcome,
    finished: bool,
) -> Event {
    Event::Ended(AttemptEnded {
        request: RequestId(id),
        attempt: AttemptNo(attempt),
        engine: EngineId(engine),
        outcome,
        elapsed: ms(50),
        request_finished: finished,
        work: None,
        load_report: None,
    })
}

pub fn engine(id: u64) -> Engine {
    Engine {
        kind: Some(KindId(0)),
        zone: Some(ZoneId(0)),
        ..Engine::ready(EngineId(id))
    }
}

pub fn query(id: u64, class: usize) -> Query {
    let remaining = if class == LIGHT { ms(1500) } else { ms(15000) };
    Query {
        work: if class == LIGHT { ms(50) } else { ms(4000) },
        ..Query::new(RequestId(id), ClassId(class), remaining)
    }
}

/// The engine that the first send went to.
pub fn sent_to(done: &[Action]) -> Option<u64> {
    sends(done).first().map(|(_, engine)| *engine)
}

/// Request and engine of each send.
pub fn sends(done: &[Action]) -> Vec<(u64, u64)> {
    let send = |action: &Action| match action {
        Action::Send {
            request, engine, ..
        } => Some((request.0, engine.0)),
        _ => None,
    };
    done.iter().filter_map(send).collect()
}

pub fn is_refused(done: &[Action], id: u64) -> bool {
    done.iter()
        .any(|action| matches!(action, Action::Refuse { request, .. } if request.0 == id))
}

pub fn is_failed(done: &[Action], id: u64) -> bool {
    done.contains(&Action::Fail {
        request: RequestId(id),
    })
}
