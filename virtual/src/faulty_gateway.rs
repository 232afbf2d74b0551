//! Gateways that each violate one rule, to show that the checks notice it.

use crate::gateway_logic::GatewayLogic;
use sedgebeam_core::{
    Action, Effect, Engine, EngineId, EngineState, Event, Gateway, Micros, Outcome, RequestId,
    Settings,
};
use std::collections::BTreeSet;

/// Time limit of an attempt that a defect makes.
const RETRY_TIMEOUT: Micros = Micros::from_millis(1000);

/// What a faulty gateway does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// It answers twice.
    AnswersTwice,
    /// It gives no answer where it gives a request up.
    NeverAnswers,
    /// It sends each attempt twice.
    SendsTwice,
    /// It retries loads that may have run.
    RetriesLoads,
    /// It goes on sending to an engine that drains.
    SendsToDraining,
    /// It sends everything to the engine that started last.
    OverloadsColdEngine,
}

/// A gateway with one defect.
pub struct FaultyGateway {
    gateway: Gateway,
    settings: Settings,
    defect: Defect,
    loads: BTreeSet<RequestId>,
    draining: Option<EngineId>,
    /// The engine that started last, and when.
    newest: Option<(Micros, EngineId)>,
}

impl FaultyGateway {
    pub fn new(settings: Settings, seed: u64, defect: Defect) -> FaultyGateway {
        FaultyGateway {
            gateway: Gateway::new(settings.clone(), seed),
            settings,
            defect,
            loads: BTreeSet::new(),
            draining: None,
            newest: None,
        }
    }

    fn observe(&mut self, event: &Event) {
        match event {
            Event::Request(query) => {
                let class = &self.settings.classes[query.class.0];
                if class.effect == Effect::Once {
                    self.loads.insert(query.id);
                }
            }
            Event::List { engines, .. } => {
                for engine in engines {
                    self.observe_engine(engine);
                }
            }
            _ => {}
        }
    }

    fn observe_engine(&mut self, engine: &Engine) {
        let newest_start = self.newest.map_or(Micros(0), |(started_at, _)| started_at);
        if engine.state != EngineState::Ready {
            self.draining = Some(engine.id);
        } else if engine.started_at > newest_start {
            self.newest = Some((engine.started_at, engine.id));
        }
    }

    /// A retry of a load whose connection was reset.
    fn unsafe_retry(&self, event: &Event) -> Option<Action> {
        let Event::Ended(ended) = event else {
            return None;
        };
        let is_reset = ended.outcome == Outcome::Reset && self.loads.contains(&ended.request);
        is_reset.then(|| Action::send(ended.request, ended.engine, RETRY_TIMEOUT))
    }

    /// The same attempt on another engine.
    fn redirect(action: Action, other: Option<EngineId>) -> Action {
        match action {
            Action::Send {
                request,
                engine,
                timeout,
                ..
            } => Action::send(request, other.unwrap_or(engine), timeout),
            action => action,
        }
    }

    /// What becomes of an action of the sound gateway.
    fn distort(&self, action: Action, retries: &[Action]) -> Vec<Action> {
        match (self.defect, action) {
            (Defect::AnswersTwice, Action::Refuse { request, .. }) => {
                vec![Action::Fail { request }, Action::refuse(request, Micros(0))]
            }
            (Defect::NeverAnswers, Action::Refuse { .. } | Action::Fail { .. }) => Vec::new(),
            (Defect::RetriesLoads, Action::Fail { request })
                if retries.iter().any(|retry| is_send_of(retry, request)) =>
            {
                Vec::new()
            }
            (Defect::SendsTwice, action @ Action::Send { .. }) => vec![action.clone(), action],
            (Defect::SendsToDraining, action) => vec![Self::redirect(action, self.draining)],
            (Defect::OverloadsColdEngine, action) => {
                let newest = self.newest.map(|(_, engine)| engine);
                vec![Self::redirect(action, newest)]
            }
            (_, action) => vec![action],
        }
    }
}

impl GatewayLogic for FaultyGateway {
    fn handle(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        let mut retries = Vec::new();
        for event in &events {
            self.observe(event);
            retries.extend(self.unsafe_retry(event));
        }
        let mut actions = Vec::new();
        for action in self.gateway.handle(now, events) {
            actions.extend(self.distort(action, &retries));
        }
        if self.defect == Defect::RetriesLoads {
            actions.extend(retries);
        }
        actions
    }
}

fn is_send_of(action: &Action, id: RequestId) -> bool {
    matches!(action, Action::Send { request, .. } if *request == id)
}
