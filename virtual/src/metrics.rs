//! What is counted during a simulation.

use sedgebeam_core::{Class, Micros};

/// Requests refused, by when.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RefusalCounts {
    pub on_arrival: u64,
    /// While they waited for their first attempt.
    pub while_waiting: u64,
    pub after_attempt: u64,
}

impl RefusalCounts {
    fn total(&self) -> u64 {
        self.on_arrival + self.while_waiting + self.after_attempt
    }
}

/// Requests of a class by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassCounts {
    pub arrived: u64,
    /// Served within the time that the class wants.
    pub on_time: u64,
    pub late: u64,
    pub refused: RefusalCounts,
    pub failed: u64,
    /// Lost with their gateway.
    pub lost: u64,
    pub attempts: u64,
}

impl ClassCounts {
    /// Share served on time of those that were not lost with their gateway.
    pub fn served_share(&self) -> f64 {
        self.on_time as f64 / (self.arrived - self.lost).max(1) as f64
    }

    /// Requests that have ended, one way or the other.
    pub fn ended(&self) -> u64 {
        self.on_time + self.late + self.refused.total() + self.failed + self.lost
    }
}

/// Worth of the requests that arrived in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorthPerSecond {
    pub offered: f64,
    /// Of that, the worth served on time, whenever the answer came.
    pub served: f64,
}

/// Everything that is counted.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// By class.
    pub classes: Vec<ClassCounts>,
    /// By the second since the start in which requests arrived.
    pub per_second: Vec<WorthPerSecond>,
    /// Core seconds that cold engines were sent, by class.
    pub cold_work: Vec<f64>,
    /// Core seconds that cold engines could have done.
    pub cold_capacity: f64,
    pub engine_crashes: u32,
}

impl Metrics {
    pub(crate) fn new(classes: usize) -> Metrics {
        Metrics {
            classes: vec![ClassCounts::default(); classes],
            cold_work: vec![0.0; classes],
            ..Metrics::default()
        }
    }

    /// Counts an arrival, so long after the start.
    pub(crate) fn count_arrival(&mut self, class: usize, worth: f64, after: Micros) {
        self.classes[class].arrived += 1;
        let second = second_of(after);
        if self.per_second.len() <= second {
            let empty = WorthPerSecond::default();
            self.per_second.resize(second + 1, empty);
        }
        self.per_second[second].offered += worth;
    }

    /// Counts an answer on time to a request that arrived so long after the start.
    pub(crate) fn count_on_time(&mut self, class: usize, worth: f64, arrived_after: Micros) {
        self.classes[class].on_time += 1;
        self.per_second[second_of(arrived_after)].served += worth;
    }

    /// Share of the worth offered that was served on time.
    pub(crate) fn goodput(&self, classes: &[Class]) -> f64 {
        let worth = |count: fn(&ClassCounts) -> u64| -> f64 {
            let classes = classes.iter().zip(&self.classes);
            let worths = classes.map(|(class, counts)| class.worth * count(counts) as f64);
            worths.sum()
        };
        let offered = worth(|counts| counts.arrived - counts.lost);
        worth(|counts| counts.on_time) / offered.max(1e-9)
    }

    /// Attempts for each request.
    pub fn attempts_per_request(&self) -> f64 {
        let attempts: u64 = self.classes.iter().map(|counts| counts.attempts).sum();
        let arrived: u64 = self.classes.iter().map(|counts| counts.arrived).sum();
        attempts as f64 / arrived.max(1) as f64
    }

    /// What cold engines were sent, over what they could have done.
    pub fn cold_utilization(&self) -> f64 {
        self.cold_work.iter().sum::<f64>() / self.cold_capacity.max(1e-9)
    }
}

fn second_of(after_start: Micros) -> usize {
    (after_start.0 / 1_000_000) as usize
}
