//! How long a refused client is advised to stay away before it tries again.

use sedgebeam_core::{Micros, Settings};
use sedgebeam_port::clock::to_duration;
use std::time::Duration;

/// The advice of a refusal that no queue has decided on.
const USUAL: Micros = Micros::from_millis(1000);

/// The time for which a refused client is advised to stay away: a millisecond at least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAdvice(Duration);

impl RetryAdvice {
    /// The advice of a refusal that tells this time; none where it is zero, or less than can be told.
    pub fn new(retry_after: Duration) -> Option<RetryAdvice> {
        (retry_after >= Duration::from_millis(1)).then_some(RetryAdvice(retry_after))
    }

    /// The advice of a refusal that no queue has decided on; none where the settings allow none.
    pub fn usual(settings: &Settings) -> Option<RetryAdvice> {
        RetryAdvice::new(to_duration(USUAL.min(settings.max_retry_after)))
    }

    /// The time as the protocol of the clients has it.
    pub fn millis(self) -> u128 {
        self.0.as_millis()
    }

    pub fn duration(self) -> Duration {
        self.0
    }
}
