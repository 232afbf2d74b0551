//! Harness for tests of a gateway: feeds it events, advances its time and reads its actions.
#![allow(dead_code)]

use sedgebeam_core::*;

pub const LIGHT: usize = 0;
pub const HEAVY: usize = 1;
pub const LOAD: usize = 2;

pub fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

pub fn class(worth: f64, threads: f64, on_time_ms: u64, give_up_ms: u64) -> Class {
    Class {
        worth,
        threads,
        on_time: ms(on_time_ms),
        give_up: ms(give_up_ms),
        dedup_window: ms(5000),
        ..Class::default()
    }
}

/// A light and a heavy repeatable class, and loads, which run at most once and in key order.
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

/// Actions of a call, without timers, attempt resources and log lines.
pub type Actions = Vec<Action>;

impl Harness {
    /// A gateway without engines.
    pub fn new(settings: Settings) -> Harness {
        Harness {
            gateway: Gateway::new(settings, 1),
            now: ms(100_000),
        }
    }

    /// A gateway with the engines 1 to `engines`.
    pub fn with_engines(settings: Settings, engines: u64) -> Harness {
        let mut harness = Harness::new(settings);
        harness.set_engines((1..=engines).map(engine).collect());
        harness
    }

    /// Handles the events in one call and returns all actions.
    pub fn handle_all(&mut self, events: Vec<Event>) -> Vec<Action> {
        self.gateway.handle(self.now, events)
    }

    /// Handles one event and returns its actions without timers, attempt resources and log lines.
    pub fn handle(&mut self, event: Event) -> Actions {
        let is_kept = |action: &Action| {
            !matches!(
                action,
                Action::Timer { .. } | Action::AttemptResources { .. } | Action::Log(_)
            )
        };
        self.handle_all(vec![event])
            .into_iter()
            .filter(is_kept)
            .collect()
    }

    /// Delivers a complete engine list.
    pub fn set_engines(&mut self, engines: Vec<Engine>) -> Actions {
        self.handle(Event::List {
            kind: ListKind::Complete,
            engines,
        })
    }

    /// Delivers a changed entry of the engine list.
    pub fn update_engine(&mut self, engine: Engine) -> Actions {
        self.handle(Event::List {
            kind: ListKind::Changes,
            engines: vec![engine],
        })
    }

    pub fn submit(&mut self, id: u64, class: usize) -> Actions {
        self.handle(Event::Request(query(id, class)))
    }

    /// Advances the time in steps of 10 ms, the interval of the gateway's timer, with a timer event in each.
    pub fn advance(&mut self, millis: u64) -> Actions {
        let mut actions = Actions::new();
        for _ in 0..millis.div_ceil(10) {
            self.now = self.now + ms(10);
            actions.extend(self.handle(Event::Timer(TimerId(0))));
        }
        actions
    }

    /// Ends an attempt after 50 ms; the client has its answer if the outcome is `Ok`.
    pub fn end_attempt(
        &mut self,
        id: u64,
        attempt_no: u32,
        engine: u64,
        outcome: Outcome,
    ) -> Actions {
        let request_finished = outcome == Outcome::Ok;
        self.handle(attempt_ended(
            id,
            attempt_no,
            engine,
            outcome,
            request_finished,
        ))
    }
}

/// The event that an attempt ended after 50 ms.
pub fn attempt_ended(
    id: u64,
    attempt_no: u32,
    engine: u64,
    outcome: Outcome,
    request_finished: bool,
) -> Event {
    Event::Ended(AttemptEnded {
        request: RequestId(id),
        attempt: AttemptNo(attempt_no),
        engine: EngineId(engine),
        outcome,
        elapsed: ms(50),
        request_finished,
        work: None,
        load_report: None,
    })
}

/// An engine that has been running for a long time, in zone 0 and of kind 0.
pub fn engine(id: u64) -> Engine {
    Engine {
        kind: Some(KindId(0)),
        zone: Some(ZoneId(0)),
        ..Engine::ready(EngineId(id))
    }
}

/// A query with 50 ms of work if it is light, else 4 s.
pub fn query(id: u64, class: usize) -> Query {
    let remaining = if class == LIGHT { ms(1500) } else { ms(15000) };
    Query {
        work: if class == LIGHT { ms(50) } else { ms(4000) },
        ..Query::new(RequestId(id), ClassId(class), remaining)
    }
}

/// The engine of the first send.
pub fn sent_to(actions: &[Action]) -> Option<u64> {
    sends(actions).first().map(|(_, engine)| *engine)
}

/// Request and engine of each send.
pub fn sends(actions: &[Action]) -> Vec<(u64, u64)> {
    let send_target = |action: &Action| match action {
        Action::Send {
            request, engine, ..
        } => Some((request.0, engine.0)),
        _ => None,
    };
    actions.iter().filter_map(send_target).collect()
}

pub fn is_refused(actions: &[Action], id: u64) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Refuse { request, .. } if request.0 == id))
}

pub fn is_failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail {
        request: RequestId(id),
    })
}
