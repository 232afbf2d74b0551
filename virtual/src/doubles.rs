//! Gateways that break a rule each: a checker that does not see it is none.

use sedgebeam_core::{
    Action, Effect, EngineId, EngineState, Event, Gateway, Micros, Outcome, RequestId, Settings,
};
use std::collections::BTreeSet;

/// Decides what a gateway does.
pub trait Decides {
    fn handle(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action>;

    /// Takes new settings, where it knows how.
    fn retune(&mut self, _settings: Settings) {}
}

impl Decides for Gateway {
    fn handle(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        Gateway::handle(self, now, events)
    }

    fn retune(&mut self, settings: Settings) {
        Gateway::retune(self, settings);
    }
}

/// What a double does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breaks {
    /// It answers twice.
    AnswersTwice,
    /// It says nothing to those it gives up.
    SaysNothing,
    /// It sends to two engines at once.
    SendsTwice,
    /// It sends a load again that may have run.
    RepeatsLoads,
    /// It goes on with an engine that drains.
    KeepsDrained,
    /// It sends all to the engine that started last.
    PushesCold,
}

/// A gateway with one fault.
pub struct Double {
    gateway: Gateway,
    settings: Settings,
    breaks: Breaks,
    loads: BTreeSet<RequestId>,
    drained: Option<EngineId>,
    coldest: Option<(Micros, EngineId)>,
}

impl Double {
    pub fn new(settings: Settings, seed: u64, breaks: Breaks) -> Double {
        Double {
            gateway: Gateway::new(settings.clone(), seed),
            settings,
            breaks,
            loads: BTreeSet::new(),
            drained: None,
            coldest: None,
        }
    }

    fn note(&mut self, event: &Event) {
        match event {
            Event::Request(query) => {
                let class = &self.settings.classes[query.class.0];
                if class.effect == Effect::Once {
                    self.loads.insert(query.id);
                }
            }
            Event::List { engines, .. } => {
                for engine in engines {
                    if engine.state != EngineState::Ready {
                        self.drained = Some(engine.id);
                    } else if engine.started_at > self.coldest.map_or(Micros(0), |cold| cold.0) {
                        self.coldest = Some((engine.started_at, engine.id));
                    }
                }
            }
            _ => {}
        }
    }
}

impl Decides for Double {
    fn handle(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        let mut again = Vec::new();
        for event in &events {
            self.note(event);
            if let Event::Ended(end) = event
                && end.outcome == Outcome::Reset
                && self.loads.contains(&end.request)
            {
                again.push(Action::send(
                    end.request,
                    end.engine,
                    Micros::from_millis(1000),
                ));
            }
        }
        let mut out = Vec::new();
        for action in self.gateway.handle(now, events) {
            match (self.breaks, action) {
                (Breaks::AnswersTwice, Action::Refuse { request, .. }) => {
                    out.push(Action::Fail { request });
                    out.push(Action::refuse(request, Micros(0)));
                }
                (Breaks::SaysNothing, Action::Refuse { .. } | Action::Fail { .. }) => {}
                (Breaks::RepeatsLoads, Action::Fail { request })
                    if again.iter().any(|send| sends(send, request)) => {}
                (Breaks::SendsTwice, action @ Action::Send { .. }) => {
                    out.extend([action.clone(), action]);
                }
                (
                    Breaks::KeepsDrained,
                    Action::Send {
                        request,
                        engine,
                        timeout,
                        ..
                    },
                ) => {
                    let engine = self.drained.unwrap_or(engine);
                    out.push(Action::send(request, engine, timeout));
                }
                (
                    Breaks::PushesCold,
                    Action::Send {
                        request,
                        engine,
                        timeout,
                        ..
                    },
                ) => {
                    let engine = self.coldest.map_or(engine, |cold| cold.1);
                    out.push(Action::send(request, engine, timeout));
                }
                (_, action) => out.push(action),
            }
        }
        if self.breaks == Breaks::RepeatsLoads {
            out.extend(again);
        }
        out
    }
}

fn sends(action: &Action, id: RequestId) -> bool {
    matches!(action, Action::Send { request, .. } if *request == id)
}
