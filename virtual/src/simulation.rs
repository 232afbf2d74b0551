//! The simulation loop: gateways, engines, clients and faults on one clock that advances in steps.
//!
//! Other modules extend [`Simulation`], one for each concern: `clients` (arrivals), `gateways` (event
//! delivery), `actions` (what gateways do), `engines` (execution of queries) and `fault_injection`.

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

/// Step of the clock. In each step, a gateway handles its pending events once.
pub(crate) const STEP: Micros = Micros::from_millis(10);
/// The time at which a simulation starts: well above zero, because a start time of zero marks an engine that
/// has been running for a long time.
pub(crate) const START: Micros = Micros::from_millis(1_000_000);
/// Time for which [`Simulation::finish`] continues after the longest time limit of any class.
const FINISH_MARGIN: Micros = Micros::from_millis(1000);

/// Creates the logic of a gateway from its settings and a seed.
pub type GatewayFactory = Box<dyn Fn(Settings, u64) -> Box<dyn GatewayLogic>>;

/// Many gateways that share the same engines, in virtual time. A seed determines the whole run.
pub struct Simulation {
    pub deployment: Deployment,
    /// The simulated time.
    pub now: Micros,
    pub violations: Violations,
    pub metrics: Metrics,
    pub(crate) gateways: Vec<GatewayNode>,
    pub(crate) engines: BTreeMap<EngineId, EngineModel>,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    pub(crate) events: EventQueue,
    pub(crate) traffic: Traffic,
    /// Zones without a connection to the other zones.
    pub(crate) partitioned_zones: Vec<ZoneId>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) gateway_factory: GatewayFactory,
    /// Mean work of a request, in core seconds.
    pub(crate) mean_work: f64,
    /// Number of engines started so far.
    pub(crate) engines_started: u64,
}

impl Simulation {
    /// Creates a simulation of the product's gateways.
    pub fn new(deployment: Deployment, seed: u64, script: FaultScript) -> Simulation {
        let factory: GatewayFactory =
            Box::new(|settings, seed| Box::new(Gateway::new(settings, seed)));
        Simulation::with_gateways(deployment, seed, script, factory)
    }

    /// Creates a simulation with gateways from a custom factory.
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

    /// Starts the gateways and the initial engines, which are warm.
    fn populate(&mut self) {
        for _ in 0..self.deployment.engines {
            self.start_engine(Micros(0));
        }
        for gateway_index in 0..self.deployment.gateways {
            let gateway = self.new_gateway(gateway_index, 0);
            self.gateways.push(gateway);
        }
    }

    /// Advances the clock by a duration, with traffic.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.step(true);
        }
    }

    /// Advances the clock without new traffic until all requests are closed, or until the longest time limit of
    /// a class has passed.
    pub fn finish(&mut self) {
        let classes = self.deployment.settings.classes.iter();
        let longest_limit = classes.map(|class| class.give_up).max();
        let end = self.now + longest_limit.unwrap_or_default() + FINISH_MARGIN;
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
                attempt_no,
                outcome,
            } => self.end_attempt(request, attempt_no, outcome),
            ScheduledEvent::AnswerOverdue(request) => self.check_answered(request),
            ScheduledEvent::Fault(fault) => self.inject(fault),
            ScheduledEvent::EnginesRemoved(engines) => self.remove_engines(&engines),
            ScheduledEvent::GatewayStarts(gateway) => self.start_gateway(gateway),
            ScheduledEvent::PartitionHeals(zone) => {
                self.partitioned_zones.retain(|other| *other != zone);
            }
        }
    }

    /// Records a violation if the request is still open after its latest answer time.
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

    /// Whether the two zones cannot reach each other.
    pub(crate) fn is_partitioned(&self, one: ZoneId, other: ZoneId) -> bool {
        let separates = |zone: &ZoneId| (one == *zone) != (other == *zone);
        self.partitioned_zones.iter().any(separates)
    }

    /// Share of the offered worth that was served on time.
    pub fn goodput(&self) -> f64 {
        self.metrics.goodput(&self.deployment.settings.classes)
    }

    /// Number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }
}
