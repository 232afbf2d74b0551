//! The requests of a run and their times: drawn from a seed before the run, independently of the answers.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use std::time::Duration;

/// The request classes of the modelled accounting workload: name, share of the requests, threads.
pub const CLASSES: [(&str, f64, u32); 3] = [
    ("lookup", 0.79, 1),
    ("report", 0.15, 4),
    ("journal-load", 0.06, 2),
];

/// A request with the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledRequest {
    /// Due time, since the start of the run.
    pub due_after: Duration,
    pub id: u64,
    pub class: usize,
    pub tenant: usize,
    pub table_group: u32,
    /// Execution time on an engine.
    pub service_time: Duration,
}

/// The traffic of a run.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub seed: u64,
    /// Requests per second, over all tenants.
    pub rate: f64,
    pub duration: Duration,
    /// Share of the requests that each tenant sends; the last tenant sends the remainder.
    pub tenant_shares: Vec<f64>,
    /// Number of table groups, which are equally likely.
    pub table_groups: u32,
    /// Mean execution time on an engine, by class.
    pub mean_service_times: [Duration; 3],
}

/// Selects an index with the probability of its share. `draw` is a random number from 0 to 1.
fn index_of_share(shares: impl IntoIterator<Item = f64>, mut draw: f64) -> usize {
    let mut last_index = 0;
    for (index, share) in shares.into_iter().enumerate() {
        last_index = index;
        if draw < share {
            return index;
        }
        draw -= share;
    }
    last_index
}

impl Traffic {
    /// Draws the requests in the order in which they are due; arrivals are independent (a Poisson process).
    pub fn schedule(&self) -> Vec<ScheduledRequest> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        // An invalid rate generates no requests.
        let Ok(interarrival_times) = Exp::new(self.rate) else {
            return Vec::new();
        };
        let mut requests = Vec::new();
        let mut due_secs = 0.0;
        loop {
            due_secs += interarrival_times.sample(&mut rng);
            if due_secs >= self.duration.as_secs_f64() {
                return requests;
            }
            let class = index_of_share(CLASSES.map(|(_, share, _)| share), rng.random());
            // Service times vary between 0.5 and 1.5 times the mean, so that they add no tail to the measured
            // latency.
            let service_time = self.mean_service_times[class].mul_f64(rng.random_range(0.5..1.5));
            requests.push(ScheduledRequest {
                due_after: Duration::from_secs_f64(due_secs),
                id: rng.random(),
                class,
                tenant: index_of_share(self.tenant_shares.iter().copied(), rng.random()),
                table_group: rng.random_range(0..self.table_groups.max(1)),
                service_time,
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn traffic() -> Traffic {
        Traffic {
            seed: 7,
            rate: 2000.0,
            duration: Duration::from_secs(10),
            tenant_shares: vec![0.5, 0.3, 0.2],
            table_groups: 8,
            mean_service_times: [Duration::from_millis(2); 3],
        }
    }

    #[test]
    fn the_same_seed_draws_the_same_traffic_and_another_seed_draws_different_traffic() {
        assert_eq!(traffic().schedule(), traffic().schedule());
        let other = Traffic {
            seed: 8,
            ..traffic()
        };
        assert_ne!(traffic().schedule(), other.schedule());
    }

    #[test]
    fn rates_and_shares_match_the_configuration() {
        let requests = traffic().schedule();
        let share_of = |count: usize| count as f64 / requests.len() as f64;
        assert!((requests.len() as f64 / 20_000.0 - 1.0).abs() < 0.03);
        assert!(requests.is_sorted_by_key(|request| request.due_after));
        for (tenant, share) in [0.5, 0.3, 0.2].into_iter().enumerate() {
            let count = requests
                .iter()
                .filter(|request| request.tenant == tenant)
                .count();
            assert!((share_of(count) - share).abs() < 0.02);
        }
        for (class, (_, share, _)) in CLASSES.into_iter().enumerate() {
            let count = requests
                .iter()
                .filter(|request| request.class == class)
                .count();
            assert!((share_of(count) - share).abs() < 0.02);
        }
    }
}
