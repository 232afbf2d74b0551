//! The Unix time in microseconds, advanced by the monotonic clock so that it never goes back.

use sedgebeam_core::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Converts between monotonic instants and Unix time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The Unix time at `start_instant`.
    start_unix: Micros,
    start_instant: Instant,
}

impl Clock {
    /// Reads the system clock once; from then on only the monotonic clock counts.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            start_unix: to_micros(unix.unwrap_or_default()),
            start_instant: Instant::now(),
        }
    }

    /// The Unix time of an instant.
    pub fn micros(&self, instant: Instant) -> Micros {
        self.start_unix + to_micros(instant.saturating_duration_since(self.start_instant))
    }

    /// The instant of a Unix time.
    pub fn instant(&self, micros: Micros) -> Instant {
        self.start_instant + to_duration(micros - self.start_unix)
    }
}

/// Converts a duration; one that is too long becomes the maximum.
pub fn to_micros(duration: Duration) -> Micros {
    Micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}

/// Converts to a duration of at most one day, so that timers far beyond any deadline don't overflow.
pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.0.min(86_400_000_000))
}
