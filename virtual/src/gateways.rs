//! Simulated gateways: starts, stops and runs them, and delivers the engine list to them.

use crate::engine_model::EngineModel;
use crate::events::ScheduledEvent;
use crate::gateway_logic::GatewayLogic;
use crate::simulation::Simulation;
use rand::Rng;
use sedgebeam_core::{
    CellId, Engine, EngineId, EngineState, Event, KindId, ListKind, Micros, RequestId, TimerId,
    ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Range of delays after which a change of the engine list reaches a gateway, in microseconds.
const LIST_DELAY_MICROS: Range<u64> = 100_000..800_000;

/// One gateway and the information it has received.
pub(crate) struct GatewayNode {
    pub logic: Box<dyn GatewayLogic>,
    /// Number of restarts so far. Events for an earlier incarnation are dropped.
    pub incarnation: u32,
    pub is_up: bool,
    pub zone: ZoneId,
    /// Events to handle in the next step.
    pub inbox: Vec<Event>,
    timers: BTreeSet<Micros>,
    /// Earliest time at which the next change of the engine list arrives: changes arrive in order, and none
    /// arrives during a partition.
    pub earliest_list_arrival: Micros,
    /// Engines that were announced as draining or removed, with the time of the announcement.
    withdrawn_at: BTreeMap<EngineId, Micros>,
    /// Start times of engines, as last announced to this gateway.
    known_start_times: BTreeMap<EngineId, Micros>,
}

impl GatewayNode {
    pub fn set_timer(&mut self, at: Micros) {
        self.timers.insert(at);
    }

    fn receive(&mut self, now: Micros, event: Event) {
        if let Event::List { engines, .. } = &event {
            self.record_list(now, engines);
        }
        self.inbox.push(event);
    }

    fn record_list(&mut self, now: Micros, engines: &[Engine]) {
        for engine in engines {
            self.known_start_times.insert(engine.id, engine.started_at);
            if engine.state != EngineState::Ready {
                self.withdrawn_at.entry(engine.id).or_insert(now);
            }
        }
    }

    /// Whether the gateway knows of the engine's latest start.
    pub fn knows_latest_start(&self, engine: &EngineModel) -> bool {
        self.known_start_times.get(&engine.id) == Some(&engine.started_at)
    }

    /// When the gateway was notified that the engine accepts no new work; `None` if it was not.
    pub fn withdrawn_at(&self, engine: EngineId) -> Option<Micros> {
        self.withdrawn_at.get(&engine).copied()
    }

    /// Takes the pending events and, if one is due, a timer event. A gateway that is down gets none.
    fn take_events(&mut self, now: Micros) -> Vec<Event> {
        if !self.is_up {
            self.inbox.clear();
            return Vec::new();
        }
        if self.timers.first().is_some_and(|timer| *timer <= now) {
            self.timers.retain(|timer| *timer > now);
            self.inbox.push(Event::Timer(TimerId(0)));
        }
        std::mem::take(&mut self.inbox)
    }
}

impl Simulation {
    /// Creates a gateway that has just started and receives the complete current engine list.
    pub(crate) fn new_gateway(&mut self, gateway_index: u32, incarnation: u32) -> GatewayNode {
        let settings = self.deployment.gateway_settings(gateway_index);
        let zone = settings.zone.unwrap_or_default();
        let seed = self.rng.random();
        let mut node = GatewayNode {
            logic: (self.gateway_factory)(settings, seed),
            incarnation,
            is_up: true,
            zone,
            inbox: Vec::new(),
            timers: BTreeSet::new(),
            earliest_list_arrival: self.now,
            withdrawn_at: BTreeMap::new(),
            known_start_times: BTreeMap::new(),
        };
        let listed_engines = self.engines.values().filter(|engine| !engine.is_removed);
        let list = Event::List {
            kind: ListKind::Complete,
            engines: listed_engines.map(list_entry).collect(),
        };
        node.receive(self.now, list);
        node
    }

    /// Starts a stopped gateway as a new incarnation.
    pub(crate) fn start_gateway(&mut self, gateway: usize) {
        let incarnation = self.gateways[gateway].incarnation + 1;
        self.gateways[gateway] = self.new_gateway(gateway as u32, incarnation);
    }

    /// Stops a gateway: its requests are lost and their attempts are removed from the engines.
    pub(crate) fn stop_gateway(&mut self, gateway: usize) {
        let node = &mut self.gateways[gateway];
        node.is_up = false;
        node.inbox.clear();
        let incarnation = node.incarnation;
        let requests = self.requests.iter().filter(|(_, request)| {
            request.gateway == gateway && request.incarnation == incarnation
        });
        let lost_requests: Vec<RequestId> = requests.map(|(id, _)| *id).collect();
        for id in lost_requests {
            if let Some(request) = self.requests.remove(&id) {
                self.metrics.classes[request.class].lost += 1;
                self.abandon_attempt(id, &request);
            }
        }
    }

    /// Lets a gateway handle its pending events and performs the resulting actions.
    pub(crate) fn run_gateway(&mut self, gateway: usize) {
        let now = self.now;
        let node = &mut self.gateways[gateway];
        let events = node.take_events(now);
        if events.is_empty() {
            return;
        }
        for action in node.logic.handle(now, events) {
            self.perform(gateway, action);
        }
    }

    /// Delivers an event to a gateway, unless the gateway is down or has restarted since the event was sent.
    pub(crate) fn deliver(&mut self, gateway: usize, incarnation: u32, event: Event) {
        let node = &mut self.gateways[gateway];
        if node.is_up && node.incarnation == incarnation {
            node.receive(self.now, event);
        }
    }

    /// Schedules an event for the current incarnation of a gateway.
    pub(crate) fn deliver_at(&mut self, at: Micros, gateway: usize, event: Event) {
        let incarnation = self.gateways[gateway].incarnation;
        let event = Box::new(event);
        let deliver = ScheduledEvent::Deliver {
            gateway,
            incarnation,
            event,
        };
        self.schedule(at, deliver);
    }

    /// Announces the current state of these engines to all gateways, each after a separate random delay.
    pub(crate) fn announce_engines(&mut self, ids: &[EngineId]) {
        let changed_engines = ids.iter().filter_map(|id| self.engines.get(id));
        let changed_engines: Vec<Engine> = changed_engines.map(list_entry).collect();
        for gateway in 0..self.gateways.len() {
            let delay = Micros(self.rng.random_range(LIST_DELAY_MICROS));
            let node = &mut self.gateways[gateway];
            let at = (self.now + delay).max(node.earliest_list_arrival);
            node.earliest_list_arrival = at;
            let list = Event::List {
                kind: ListKind::Changes,
                engines: changed_engines.clone(),
            };
            self.deliver_at(at, gateway, list);
        }
    }
}

/// The entry of an engine in the engine list.
fn list_entry(engine: &EngineModel) -> Engine {
    let state = match (engine.is_removed, engine.is_draining) {
        (true, _) => EngineState::Gone,
        (false, true) => EngineState::Draining,
        (false, false) => EngineState::Ready,
    };
    Engine {
        id: engine.id,
        zone: Some(engine.zone),
        kind: Some(KindId(0)),
        cell: CellId(engine.zone.0 as u64),
        state,
        started_at: engine.started_at,
    }
}
