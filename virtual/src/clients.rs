//! The simulated clients: requests arrive at random, whether or not earlier ones are answered (open loop).

use crate::events::ScheduledEvent;
use crate::requests::OpenRequest;
use crate::simulation::{START, STEP, Simulation};
use rand::Rng;
use rand_distr::{Distribution, LogNormal, Poisson};
use sedgebeam_core::{ClassId, Event, Micros, Query, RequestId, TableGroupId, TenantId};

/// How far work scatters about its mean, and its estimate about it, as log ratios.
const WORK_SIGMA: f64 = 0.5;
const ESTIMATE_SIGMA: f64 = 0.3;
/// One gateway in so many, at this place among them, gets so many times the traffic of the others.
const BUSY_GATEWAY_EVERY: u32 = 12;
const BUSY_GATEWAY_PLACE: u32 = 5;
const BUSY_GATEWAY_WEIGHT: f64 = 4.0;
/// Table groups that queries are of.
const TABLE_GROUPS: u64 = 60;
/// Priority before a gateway sets one.
const DEFAULT_PRIORITY: usize = 1;

/// How much traffic there is, and how it is spread over the gateways.
pub(crate) struct Traffic {
    /// Multiple of the deployment's usual traffic.
    pub multiplier: f64,
    /// By gateway.
    weights: Vec<f64>,
}

impl Traffic {
    pub fn new(gateways: u32) -> Traffic {
        let weight = |gateway: u32| match gateway % BUSY_GATEWAY_EVERY {
            BUSY_GATEWAY_PLACE => BUSY_GATEWAY_WEIGHT,
            _ => 1.0,
        };
        Traffic {
            multiplier: 1.0,
            weights: (0..gateways).map(weight).collect(),
        }
    }

    /// The gateway that a draw from 0 to 1 falls on, by weight.
    fn gateway_at(&self, draw: f64) -> usize {
        let mut left = draw * self.weights.iter().sum::<f64>();
        let reached = self.weights.iter().position(|weight| {
            left -= weight;
            left <= 0.0
        });
        reached.unwrap_or(0)
    }
}

impl Simulation {
    /// Has this step's requests of all classes arrive.
    pub(crate) fn generate_arrivals(&mut self) {
        for class in 0..self.deployment.profiles.len() {
            let rate = self.deployment.rate(class) * self.traffic.multiplier;
            let mean = rate * STEP.0 as f64 / 1e6;
            let arrivals =
                Poisson::new(mean).map_or(0.0, |poisson| poisson.sample(&mut self.rng)) as u64;
            for _ in 0..arrivals {
                let draw = self.rng.random::<f64>();
                let preferred = self.traffic.gateway_at(draw);
                if let Some(gateway) = self.first_up(preferred) {
                    self.arrive(gateway, class);
                }
            }
        }
    }

    /// The first gateway that is up, from this one on: the front routes around those that are down.
    fn first_up(&self, preferred: usize) -> Option<usize> {
        let mut candidates = (preferred..self.gateways.len()).chain(0..preferred);
        candidates.find(|gateway| self.gateways[*gateway].up)
    }

    /// Draws from a log-normal distribution of this mean.
    fn scatter(&mut self, mean: f64, sigma: f64) -> f64 {
        let distribution = LogNormal::new(-sigma * sigma / 2.0, sigma);
        mean * distribution.map_or(1.0, |normal| normal.sample(&mut self.rng))
    }

    fn arrive(&mut self, gateway: usize, class: usize) {
        let profile = self.deployment.profiles[class];
        let work = self.scatter(profile.mean_work, WORK_SIGMA);
        let memory_mb = self.scatter(profile.mean_memory_mb, WORK_SIGMA);
        let estimate = self.scatter(work, ESTIMATE_SIGMA);
        let query = self.new_query(class, estimate, memory_mb);
        let id = query.id;
        let request = OpenRequest {
            gateway,
            incarnation: self.gateways[gateway].incarnation,
            class,
            arrived_at: self.now,
            work,
            memory_mb,
            group: query.table_group,
            priority: DEFAULT_PRIORITY,
            in_flight: None,
            attempts: 0,
            may_have_run: false,
        };
        self.requests.insert(id, request);
        let settings = &self.deployment.settings;
        let worth = settings.classes[class].worth;
        self.metrics.count_arrival(class, worth, self.now - START);
        let overdue_at = self.now + query.remaining + settings.answer_slack + STEP;
        self.gateways[gateway].inbox.push(Event::Request(query));
        self.schedule(overdue_at, ScheduledEvent::AnswerOverdue(id));
    }

    /// A query as its client tells of it, with an estimate of its work in core seconds.
    fn new_query(&mut self, class: usize, estimate: f64, memory_mb: f64) -> Query {
        let id = RequestId(self.events.next_number());
        let settings = &self.deployment.settings;
        let tenants = settings.tenants.len();
        let tenant = (tenants > 0).then(|| TenantId(self.rng.random_range(0..tenants)));
        let group = TableGroupId(self.rng.random_range(0..TABLE_GROUPS));
        Query {
            tenant,
            work: Micros((estimate * 1e6) as u64),
            memory_mb,
            table_group: group,
            ..Query::new(id, ClassId(class), settings.classes[class].give_up)
        }
    }
}
