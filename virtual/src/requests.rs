//! Requests without a final answer.

use sedgebeam_core::{EngineId, Micros, TableGroupId};

/// The attempt of a request that is in flight.
pub(crate) struct AttemptInFlight {
    pub engine: EngineId,
    /// Zero for the first attempt of the request.
    pub attempt_no: u32,
    pub sent_at: Micros,
}

/// A request without a final answer.
pub(crate) struct OpenRequest {
    pub gateway: usize,
    /// The incarnation of the gateway that received the request.
    pub incarnation: u32,
    pub class: usize,
    pub arrived_at: Micros,
    /// Actual work in core seconds; the gateway only knows an estimate.
    pub work: f64,
    pub memory_mb: f64,
    pub group: TableGroupId,
    pub priority: usize,
    pub in_flight: Option<AttemptInFlight>,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
}

impl OpenRequest {
    /// Starts the next attempt and returns its number.
    pub fn start_attempt(&mut self, engine: EngineId, now: Micros) -> u32 {
        let attempt_no = self.attempts;
        self.attempts += 1;
        self.in_flight = Some(AttemptInFlight {
            engine,
            attempt_no,
            sent_at: now,
        });
        attempt_no
    }

    /// Whether the attempt with this number is in flight.
    pub fn is_in_flight(&self, attempt_no: u32) -> bool {
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|in_flight| in_flight.attempt_no == attempt_no)
    }
}
