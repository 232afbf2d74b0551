//! The metrics of a simulation.

use sedgebeam_core::{Class, Micros};

/// Number of refused requests, by the stage at which they were refused.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RefusalCounts {
    pub on_arrival: u64,
    /// While waiting for the first attempt.
    pub while_waiting: u64,
    pub after_attempt: u64,
}

impl RefusalCounts {
    fn total(&self) -> u64 {
        self.on_arrival + self.while_waiting + self.after_attempt
    }
}

/// Number of requests of a class, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassCounts {
    pub arrived: u64,
    /// Served within the on-time limit of the class.
    pub on_time: u64,
    /// Served after that limit.
    pub late: u64,
    pub refused: RefusalCounts,
    /// Answered with an error although they may have run, or not answered in time.
    pub failed: u64,
    /// Lost because their gateway stopped.
    pub lost: u64,
    /// Number of attempts, including retries.
    pub attempts: u64,
}

impl ClassCounts {
    /// Share of requests that were served on time, out of those that were not lost with their gateway.
    pub fn served_share(&self) -> f64 {
        self.on_time as f64 / (self.arrived - self.lost).max(1) as f64
    }

    /// Number of requests that have ended with any outcome.
    pub fn ended(&self) -> u64 {
        self.on_time + self.late + self.refused.total() + self.failed + self.lost
    }
}

/// Total worth of the requests that arrived in one second of the simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorthPerSecond {
    pub offered: f64,
    /// Worth of those that were served on time, whenever their answers arrived.
    pub served: f64,
}

/// The metrics of a whole simulation.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Indexed by class.
    pub classes: Vec<ClassCounts>,
    /// Indexed by the second of arrival, counted from the start.
    pub per_second: Vec<WorthPerSecond>,
    /// Work sent to cold engines in core seconds, indexed by class.
    pub cold_work: Vec<f64>,
    /// Work that the cold engines had capacity for, in core seconds.
    pub cold_capacity: f64,
    /// Number of crashes of cold engines that were overloaded.
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

    /// Counts a request that arrived at this time since the start.
    pub(crate) fn count_arrival(&mut self, class: usize, worth: f64, arrived_after: Micros) {
        self.classes[class].arrived += 1;
        let second = second_index(arrived_after);
        if self.per_second.len() <= second {
            let empty = WorthPerSecond::default();
            self.per_second.resize(second + 1, empty);
        }
        self.per_second[second].offered += worth;
    }

    /// Counts a request that was answered on time and had arrived at this time since the start.
    pub(crate) fn count_on_time(&mut self, class: usize, worth: f64, arrived_after: Micros) {
        self.classes[class].on_time += 1;
        self.per_second[second_index(arrived_after)].served += worth;
    }

    /// Share of the offered worth that was served on time.
    pub(crate) fn goodput(&self, classes: &[Class]) -> f64 {
        let worth = |count: fn(&ClassCounts) -> u64| -> f64 {
            let classes = classes.iter().zip(&self.classes);
            let worths = classes.map(|(class, counts)| class.worth * count(counts) as f64);
            worths.sum()
        };
        let offered = worth(|counts| counts.arrived - counts.lost);
        worth(|counts| counts.on_time) / offered.max(1e-9)
    }

    /// Mean number of attempts per request.
    pub fn attempts_per_request(&self) -> f64 {
        let attempts: u64 = self.classes.iter().map(|counts| counts.attempts).sum();
        let arrived: u64 = self.classes.iter().map(|counts| counts.arrived).sum();
        attempts as f64 / arrived.max(1) as f64
    }

    /// Work sent to cold engines as a share of their capacity.
    pub fn cold_utilization(&self) -> f64 {
        self.cold_work.iter().sum::<f64>() / self.cold_capacity.max(1e-9)
    }
}

fn second_index(after_start: Micros) -> usize {
    (after_start.0 / 1_000_000) as usize
}
