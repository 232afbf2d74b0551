//! The delay that a refusal suggests to its client before a retry.

use sedgebeam_core::{Micros, Settings};
use sedgebeam_port::clock::to_duration;
use std::time::Duration;

/// The delay suggested by refusals that no queue decided on.
const DEFAULT_RETRY_DELAY: Micros = Micros::from_millis(1000);

/// The delay before the retry of a refused request: at least 1 ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDelay(Duration);

impl RetryDelay {
    /// `None` below 1 ms, the shortest delay that can be sent to a client. A `retry_after` of zero suggests none.
    pub fn new(retry_after: Duration) -> Option<RetryDelay> {
        (retry_after >= Duration::from_millis(1)).then_some(RetryDelay(retry_after))
    }

    /// The delay for a refusal that no queue decided on, capped at `max_retry_after`; `None` if the cap is below 1 ms.
    pub fn default_for(settings: &Settings) -> Option<RetryDelay> {
        RetryDelay::new(to_duration(
            DEFAULT_RETRY_DELAY.min(settings.max_retry_after),
        ))
    }

    /// The delay in whole milliseconds, as PostgreSQL clients receive it.
    pub fn as_millis(self) -> u128 {
        self.0.as_millis()
    }

    pub fn as_duration(self) -> Duration {
        self.0
    }
}
