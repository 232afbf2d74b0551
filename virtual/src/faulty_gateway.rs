//! Gateways that each violate one rule, which shows that the checks detect the violation.

use crate::gateway_logic::GatewayLogic;
use sedgebeam_core::{
    Action, Effect, Engine, EngineId, EngineState, Event, Gateway, Micros, Outcome, RequestId,
    Settings,
};
use std::collections::BTreeSet;

/// Time limit of attempts that a defect sends.
const RETRY_TIMEOUT: Micros = Micros::from_millis(1000);

/// The defect of a faulty gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Sends two final answers for each refused request.
    AnswersTwice,
    /// Sends no final answer where it would refuse or fail a request.
    NeverAnswers,
    /// Sends each attempt twice.
    SendsTwice,
    /// Retries loads that may have run.
    RetriesLoads,
    /// Sends all attempts to a draining engine.
    SendsToDraining,
    /// Sends all attempts to the engine that started last.
    OverloadsColdEngine,
}

/// A gateway with one defect.
pub struct FaultyGateway {
    gateway: Gateway,
    settings: Settings,
    defect: Defect,
    loads: BTreeSet<RequestId>,
    /// The engine that was last announced as draining or removed.
    draining_engine: Option<EngineId>,
    /// The engine with the latest start time, and that time.
    newest_engine: Option<(Micros, EngineId)>,
}

impl FaultyGateway {
    pub fn new(settings: Settings, seed: u64, defect: Defect) -> FaultyGateway {
        FaultyGateway {
            gateway: Gateway::new(settings.clone(), seed),
            settings,
            defect,
            loads: BTreeSet::new(),
            draining_engine: None,
            newest_engine: None,
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
        let latest_start = self
            .newest_engine
            .map_or(Micros(0), |(started_at, _)| started_at);
        if engine.state != EngineState::Ready {
            self.draining_engine = Some(engine.id);
        } else if engine.started_at > latest_start {
            self.newest_engine = Some((engine.started_at, engine.id));
        }
    }

    /// The retry of a load whose connection was reset.
    fn unsafe_retry(&self, event: &Event) -> Option<Action> {
        let Event::Ended(ended) = event else {
            return None;
        };
        let is_reset = ended.outcome == Outcome::Reset && self.loads.contains(&ended.request);
        is_reset.then(|| Action::send(ended.request, ended.engine, RETRY_TIMEOUT))
    }

    /// Replaces the engine of a send by `target`, if there is one.
    fn redirect(action: Action, target: Option<EngineId>) -> Action {
        match action {
            Action::Send {
                request,
                engine,
                timeout,
                ..
            } => Action::send(request, target.unwrap_or(engine), timeout),
            action => action,
        }
    }

    /// Applies the defect to an action of the correct gateway.
    fn apply_defect(&self, action: Action, retries: &[Action]) -> Vec<Action> {
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
            (Defect::SendsToDraining, action) => vec![Self::redirect(action, self.draining_engine)],
            (Defect::OverloadsColdEngine, action) => {
                let newest_engine = self.newest_engine.map(|(_, engine)| engine);
                vec![Self::redirect(action, newest_engine)]
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
            actions.extend(self.apply_defect(action, &retries));
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
