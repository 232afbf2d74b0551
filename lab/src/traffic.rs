//! What is to be asked, and when: drawn from a seed ahead of the run, whatever the answers are.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use std::time::Duration;

/// The classes of request, as the ledger warehouse sees them: name, share of the requests, threads.
pub const CLASSES: [(&str, f64, u32); 3] = [
    ("lookup", 0.79, 1),
    ("report", 0.15, 4),
    ("journal-load", 0.06, 2),
];

/// A request that is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledRequest {
    /// From the start of the run.
    pub due: Duration,
    pub id: u64,
    pub class: usize,
    pub firm: usize,
    pub group: u32,
    /// What it takes on an engine.
    pub service: Duration,
}

/// The traffic of a run.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub seed: u64,
    /// Requests a second, all firms together.
    pub rate: f64,
    pub length: Duration,
    /// What part of the requests each firm sends; the rest is the last one's.
    pub firms: Vec<f64>,
    /// Groups of tables, each as likely as the other.
    pub groups: u32,
    /// The mean of what a class takes on an engine, by class.
    pub service: [Duration; 3],
}

/// Draws the place of a list of shares that `draw` (0 to 1) falls on.
fn place(shares: impl IntoIterator<Item = f64>, mut draw: f64) -> usize {
    let mut last = 0;
    for (place, share) in shares.into_iter().enumerate() {
        last = place;
        if draw < share {
            return place;
        }
        draw -= share;
    }
    last
}

impl Traffic {
    /// The requests in the order in which they are due: arrivals that don't wait for one another (Poisson).
    pub fn schedule(&self) -> Vec<ScheduledRequest> {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        // A rate that is no number sends nothing.
        let Ok(gaps) = Exp::new(self.rate) else {
            return Vec::new();
        };
        let mut jobs = Vec::new();
        let mut due = 0.0;
        loop {
            due += gaps.sample(&mut random);
            if due >= self.length.as_secs_f64() {
                return jobs;
            }
            let class = place(CLASSES.map(|(_, share, _)| share), random.random());
            // Between half of the mean and one and a half: spread, but without a tail of its own.
            let service = self.service[class].mul_f64(random.random_range(0.5..1.5));
            jobs.push(ScheduledRequest {
                due: Duration::from_secs_f64(due),
                id: random.random(),
                class,
                firm: place(self.firms.iter().copied(), random.random()),
                group: random.random_range(0..self.groups.max(1)),
                service,
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
            length: Duration::from_secs(10),
            firms: vec![0.5, 0.3, 0.2],
            groups: 8,
            service: [Duration::from_millis(2); 3],
        }
    }

    #[test]
    fn a_seed_draws_the_same_traffic_again_and_another_draws_other() {
        assert_eq!(traffic().schedule(), traffic().schedule());
        let other = Traffic {
            seed: 8,
            ..traffic()
        };
        assert_ne!(traffic().schedule(), other.schedule());
    }

    #[test]
    fn rates_and_shares_are_those_asked_for() {
        let jobs = traffic().schedule();
        let part = |count: usize| count as f64 / jobs.len() as f64;
        assert!((jobs.len() as f64 / 20_000.0 - 1.0).abs() < 0.03);
        assert!(jobs.is_sorted_by_key(|job| job.due));
        for (firm, share) in [0.5, 0.3, 0.2].into_iter().enumerate() {
            let count = jobs.iter().filter(|job| job.firm == firm).count();
            assert!((part(count) - share).abs() < 0.02);
        }
        for (class, (_, share, _)) in CLASSES.into_iter().enumerate() {
            let count = jobs.iter().filter(|job| job.class == class).count();
            assert!((part(count) - share).abs() < 0.02);
        }
    }
}
