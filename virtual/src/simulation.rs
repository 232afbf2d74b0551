//! The simulation itself: gateways, engines, clients and faults on one clock that moves in steps.
//!
//! Each concern has a module of its own that extends [`Simulation`]: `clients` (arrivals), `gateways` and `actions`
//! (what gateways are told and do), `engines` (what runs and ends) and `fault_injection`.

use crate::clients::Traffic;
use crate::deployment::Deployment;
use crate::engine_model::EngineModel;
use crate::events::{EventQueue, ScheduledEvent};
use crate::faults::FaultScript;
use crate::gateway_logic::GatewayLogic;
use crate::gateways::GatewayNode;
use crate::metrics::Metrics;
use crate::requests::OpenRequest;
use crate::rules::{Rule, Violations};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sedgebeam_core::{EngineId, Event, Gateway, Micros, RequestId, Settings, ZoneId};
use std::collections::BTreeMap;

/// Steps of the clock. Gateways are told what happened, and decide, once a step.
pub(crate) const STEP: Micros = Micros::from_millis(10);
/// The time at which a simulation starts: zero stands for long ago.
pub(crate) const START: Micros = Micros::from_millis(1_000_000);
/// After the longest wait of a client, how much longer [`Simulation::finish`] goes on.
const FINISH_MARGIN: Micros = Micros::from_millis(1000);

/// Makes the logic of a gateway, from its settings and a seed.
pub type GatewayFactory = Box<dyn Fn(Settings, u64) -> Box<dyn GatewayLogic>>;

/// Many gateways before the same engines, in virtual time. One seed gives one run.
pub struct Simulation {
    pub deployment: Deployment,
    pub now: Micros,
    pub violations: Violations,
    pub metrics: Metrics,
    pub(crate) gateways: Vec<GatewayNode>,
    pub(crate) engines: BTreeMap<EngineId, EngineModel>,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    pub(crate) events: EventQueue,
    pub(crate) traffic: Traffic,
    /// Zones that nothing passes to or from.
    pub(crate) partitioned_zones: Vec<ZoneId>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) gateway_factory: GatewayFactory,
    /// Core seconds of the mean request.
    pub(crate) mean_work: f64,
    /// Engines started so far.
    pub(crate) engines_started: u64,
}

impl Simulation {
    /// A simulation of the product's gateways.
    pub fn new(deployment: Deployment, seed: u64, script: FaultScript) -> Simulation {
        let factory: GatewayFactory =
            Box::new(|settings, seed| Box::new(Gateway::new(settings, seed)));
        Simulation::with_gateways(deployment, seed, script, factory)
    }

    /// A simulation of other gateways.
    pub fn with_gateways(
        deployment: Deployment,
        seed: u64,
        script: FaultScript,
        gateway_factory: GatewayFactory,
    ) -> Simulation {
        let mut simulation = Simulation {
            now: START,
            violations: Violations::default(),
            metrics: Metrics::new(deployment.profiles.len()),
            gateways: Vec::new(),
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            events: EventQueue::default(),
            traffic: Traffic::new(deployment.gateways),
            partitioned_zones: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            gateway_factory,
            mean_work: deployment.mean_work(),
            engines_started: 0,
            deployment,
        };
        simulation.populate();
        for (after, fault) in script {
            simulation.schedule(START + after, ScheduledEvent::Fault(fault));
        }
        simulation
    }

    /// Starts the first engines, as warm ones, and the gateways.
    fn populate(&mut self) {
        for _ in 0..self.deployment.engines {
            self.start_engine(Micros(0));
        }
        for number in 0..self.deployment.gateways {
            let gateway = self.new_gateway(number, 0);
            self.gateways.push(gateway);
        }
    }

    /// Lets time pass, with traffic.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.step(true);
        }
    }

    /// Lets the open requests end, without further traffic.
    pub fn finish(&mut self) {
        let classes = self.deployment.settings.classes.iter();
        let longest = classes.map(|class| class.give_up).max();
        let end = self.now + longest.unwrap_or_default() + FINISH_MARGIN;
        while self.now < end && !self.requests.is_empty() {
            self.step(false);
        }
    }

    fn step(&mut self, with_traffic: bool) {
        self.now = self.now + STEP;
        while let Some(event) = self.events.pop_due(self.now) {
            self.handle(event);
        }
        self.run_engines();
        if with_traffic {
            self.generate_arrivals();
        }
        for gateway in 0..self.gateways.len() {
            self.run_gateway(gateway);
        }
    }

    pub(crate) fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.events.schedule(at, event);
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Deliver {
                gateway,
                incarnation,
                event,
            } => self.deliver(gateway, incarnation, *event),
            ScheduledEvent::AttemptFails {
                request,
                attempt,
                outcome,
            } => self.end_attempt(request, attempt, outcome),
            ScheduledEvent::AnswerOverdue(request) => self.check_answered(request),
            ScheduledEvent::Fault(fault) => self.inject(fault),
            ScheduledEvent::EnginesRemoved(engines) => self.remove_engines(&engines),
            ScheduledEvent::GatewayStarts(gateway) => self.start_gateway(gateway),
            ScheduledEvent::PartitionHeals(zone) => {
                self.partitioned_zones.retain(|other| *other != zone);
            }
        }
    }

    /// A request that is open now has had no answer in time.
    fn check_answered(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let detail = format!("request {} of gateway {}", id.0, request.gateway);
        self.violations.record(Rule::AnswerInTime, self.now, detail);
        self.metrics.classes[request.class].failed += 1;
        self.abandon_attempt(id, &request);
        let inbox = &mut self.gateways[request.gateway].inbox;
        inbox.push(Event::ClientLeft(id));
    }

    /// Whether nothing passes between the two zones.
    pub(crate) fn is_partitioned(&self, one: ZoneId, other: ZoneId) -> bool {
        let separates = |zone: &ZoneId| (one == *zone) != (other == *zone);
        self.partitioned_zones.iter().any(separates)
    }

    /// Goodput: the share of the worth offered that was served on time.
    pub fn goodput(&self) -> f64 {
        self.metrics.goodput(&self.deployment.settings.classes)
    }

    /// Requests that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }
}
