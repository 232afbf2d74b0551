//! Simulated clients: requests arrive at random, independently of the answers to earlier ones (open loop).

use crate::events::ScheduledEvent;
use crate::requests::OpenRequest;
use crate::simulation::{START, STEP, Simulation};
use rand::Rng;
use rand_distr::{Distribution, LogNormal, Poisson};
use sedgebeam_core::{ClassId, Event, Micros, Query, RequestId, TableGroupId, TenantId};

/// Standard deviation of the logarithms of a query's work and memory, whose means are those of its class.
const WORK_LOG_SIGMA: f64 = 0.5;
/// Standard deviation of the logarithm of a query's estimated work, whose mean is the actual work.
const ESTIMATE_LOG_SIGMA: f64 = 0.3;
/// Of every `BUSY_GATEWAY_PERIOD` gateways, the one at `BUSY_GATEWAY_OFFSET` gets `BUSY_GATEWAY_WEIGHT` times
/// the traffic of the others.
const BUSY_GATEWAY_PERIOD: u32 = 12;
const BUSY_GATEWAY_OFFSET: u32 = 5;
const BUSY_GATEWAY_WEIGHT: f64 = 4.0;
/// Number of table groups that queries choose from.
const TABLE_GROUP_COUNT: u64 = 60;
/// Priority of a request until its gateway sets one.
const DEFAULT_PRIORITY: usize = 1;

/// The amount of traffic and its distribution over the gateways.
pub(crate) struct Traffic {
    /// Factor by which the deployment's normal traffic is multiplied.
    pub multiplier: f64,
    /// Relative traffic of each gateway, not normalized.
    weights: Vec<f64>,
}

impl Traffic {
    pub fn new(gateways: u32) -> Traffic {
        let weight = |gateway: u32| match gateway % BUSY_GATEWAY_PERIOD {
            BUSY_GATEWAY_OFFSET => BUSY_GATEWAY_WEIGHT,
            _ => 1.0,
        };
        Traffic {
            multiplier: 1.0,
            weights: (0..gateways).map(weight).collect(),
        }
    }

    /// Maps a random draw between 0 and 1 to a gateway, according to the weights.
    fn select_gateway(&self, draw: f64) -> usize {
        let mut remaining_weight = draw * self.weights.iter().sum::<f64>();
        let selected = self.weights.iter().position(|weight| {
            remaining_weight -= weight;
            remaining_weight <= 0.0
        });
        selected.unwrap_or(0)
    }
}

impl Simulation {
    /// Generates the requests of all classes that arrive in this step.
    pub(crate) fn generate_arrivals(&mut self) {
        for class in 0..self.deployment.profiles.len() {
            let rate = self.deployment.rate(class) * self.traffic.multiplier;
            let mean = rate * STEP.0 as f64 / 1e6;
            let arrivals =
                Poisson::new(mean).map_or(0.0, |poisson| poisson.sample(&mut self.rng)) as u64;
            for _ in 0..arrivals {
                let draw = self.rng.random::<f64>();
                let preferred = self.traffic.select_gateway(draw);
                if let Some(gateway) = self.first_available_gateway(preferred) {
                    self.add_request(gateway, class);
                }
            }
        }
    }

    /// The preferred gateway or, if it is down, the next one that is up: clients are routed around gateways
    /// that are down.
    fn first_available_gateway(&self, preferred: usize) -> Option<usize> {
        let mut candidates = (preferred..self.gateways.len()).chain(0..preferred);
        candidates.find(|gateway| self.gateways[*gateway].is_up)
    }

    /// Draws from a log-normal distribution with the given mean.
    fn draw_log_normal(&mut self, mean: f64, sigma: f64) -> f64 {
        let distribution = LogNormal::new(-sigma * sigma / 2.0, sigma);
        mean * distribution.map_or(1.0, |normal| normal.sample(&mut self.rng))
    }

    fn add_request(&mut self, gateway: usize, class: usize) {
        let profile = self.deployment.profiles[class];
        let work = self.draw_log_normal(profile.mean_work, WORK_LOG_SIGMA);
        let memory_mb = self.draw_log_normal(profile.mean_memory_mb, WORK_LOG_SIGMA);
        let estimated_work = self.draw_log_normal(work, ESTIMATE_LOG_SIGMA);
        let query = self.new_query(class, estimated_work, memory_mb);
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

    /// Creates a query as its client sends it. The estimated work is in core seconds.
    fn new_query(&mut self, class: usize, estimated_work: f64, memory_mb: f64) -> Query {
        let id = RequestId(self.events.next_number());
        let settings = &self.deployment.settings;
        let tenant_count = settings.tenants.len();
        let tenant = (tenant_count > 0).then(|| TenantId(self.rng.random_range(0..tenant_count)));
        let group = TableGroupId(self.rng.random_range(0..TABLE_GROUP_COUNT));
        Query {
            tenant,
            work: Micros((estimated_work * 1e6) as u64),
            memory_mb,
            table_group: group,
            ..Query::new(id, ClassId(class), settings.classes[class].give_up)
        }
    }
}
