//! The simulated gateways: when they start, stop and decide, and how they learn of the list of engines.

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

/// A change of the list of engines reaches a gateway within this range, in microseconds.
const LIST_DELAY: Range<u64> = 100_000..800_000;

/// One gateway and what it was told.
pub(crate) struct GatewayNode {
    pub logic: Box<dyn GatewayLogic>,
    /// Counts starts: what was meant for an earlier one is dropped.
    pub incarnation: u32,
    pub up: bool,
    pub zone: ZoneId,
    /// What it is told at its next step.
    pub inbox: Vec<Event>,
    timers: BTreeSet<Micros>,
    /// When the last change of the list so far arrives: changes arrive in order.
    pub list_delivered_until: Micros,
    /// Engines that it was told are draining or gone, and when.
    withdrawn_at: BTreeMap<EngineId, Micros>,
    /// Starts of engines, as it was told.
    known_starts: BTreeMap<EngineId, Micros>,
}

impl GatewayNode {
    pub fn set_timer(&mut self, at: Micros) {
        self.timers.insert(at);
    }

    fn receive(&mut self, now: Micros, event: Event) {
        if let Event::List { engines, .. } = &event {
            self.note_list(now, engines);
        }
        self.inbox.push(event);
    }

    fn note_list(&mut self, now: Micros, engines: &[Engine]) {
        for engine in engines {
            self.known_starts.insert(engine.id, engine.started_at);
            if engine.state != EngineState::Ready {
                self.withdrawn_at.entry(engine.id).or_insert(now);
            }
        }
    }

    /// Whether it knows of the engine's latest start.
    pub fn knows_start(&self, engine: &EngineModel) -> bool {
        self.known_starts.get(&engine.id) == Some(&engine.started_at)
    }

    /// When it was told that the engine takes nothing new, if it was.
    pub fn withdrawn_at(&self, engine: EngineId) -> Option<Micros> {
        self.withdrawn_at.get(&engine).copied()
    }

    /// Takes what it is told now; nothing while it is down.
    fn take_events(&mut self, now: Micros) -> Vec<Event> {
        if !self.up {
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
    /// A gateway that has just started and is told the list as it is.
    pub(crate) fn new_gateway(&mut self, number: u32, incarnation: u32) -> GatewayNode {
        let settings = self.deployment.gateway_settings(number);
        let zone = settings.zone.unwrap_or_default();
        let seed = self.rng.random();
        let mut node = GatewayNode {
            logic: (self.gateway_factory)(settings, seed),
            incarnation,
            up: true,
            zone,
            inbox: Vec::new(),
            timers: BTreeSet::new(),
            list_delivered_until: self.now,
            withdrawn_at: BTreeMap::new(),
            known_starts: BTreeMap::new(),
        };
        let present = self.engines.values().filter(|engine| !engine.removed);
        let list = Event::List {
            kind: ListKind::Complete,
            engines: present.map(list_entry).collect(),
        };
        node.receive(self.now, list);
        node
    }

    /// Starts a gateway that was stopped.
    pub(crate) fn start_gateway(&mut self, gateway: usize) {
        let incarnation = self.gateways[gateway].incarnation + 1;
        self.gateways[gateway] = self.new_gateway(gateway as u32, incarnation);
    }

    /// Stops a gateway: its requests are lost, and its engines notice.
    pub(crate) fn stop_gateway(&mut self, gateway: usize) {
        let node = &mut self.gateways[gateway];
        node.up = false;
        node.inbox.clear();
        let incarnation = node.incarnation;
        let requests = self.requests.iter().filter(|(_, request)| {
            request.gateway == gateway && request.incarnation == incarnation
        });
        let lost: Vec<RequestId> = requests.map(|(id, _)| *id).collect();
        for id in lost {
            if let Some(request) = self.requests.remove(&id) {
                self.metrics.classes[request.class].lost += 1;
                self.abandon_attempt(id, &request);
            }
        }
    }

    /// Has a gateway handle what it is told, and does what it answers.
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

    /// Tells a gateway of an event, unless it is down or has restarted since that was sent.
    pub(crate) fn deliver(&mut self, gateway: usize, incarnation: u32, event: Event) {
        let node = &mut self.gateways[gateway];
        if node.up && node.incarnation == incarnation {
            node.receive(self.now, event);
        }
    }

    /// Sends an event to the present incarnation of a gateway.
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

    /// Tells all gateways how these engines are now, each after a delay of its own.
    pub(crate) fn announce_engines(&mut self, ids: &[EngineId]) {
        let changed = ids.iter().filter_map(|id| self.engines.get(id));
        let changed: Vec<Engine> = changed.map(list_entry).collect();
        for gateway in 0..self.gateways.len() {
            let delay = Micros(self.rng.random_range(LIST_DELAY));
            let node = &mut self.gateways[gateway];
            let at = (self.now + delay).max(node.list_delivered_until);
            node.list_delivered_until = at;
            let list = Event::List {
                kind: ListKind::Changes,
                engines: changed.clone(),
            };
            self.deliver_at(at, gateway, list);
        }
    }
}

/// An engine as the list of engines has it.
fn list_entry(engine: &EngineModel) -> Engine {
    let state = match (engine.removed, engine.draining) {
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
