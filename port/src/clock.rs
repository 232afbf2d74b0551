//! The Unix clock in microseconds, advanced by the monotonic one so that it never goes back.

use sedgebeam_core::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Micros,
    at: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            unix: to_micros(unix.unwrap_or_default()),
            at: Instant::now(),
        }
    }

    pub fn micros(&self, instant: Instant) -> Micros {
        self.unix + to_micros(instant.saturating_duration_since(self.at))
    }

    pub fn instant(&self, micros: Micros) -> Instant {
        self.at + to_duration(micros - self.unix)
    }
}

pub fn to_micros(duration: Duration) -> Micros {
    Micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}

/// A length of time, at most a day: timers far beyond any deadline must not overflow.
pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.0.min(86_400_000_000))
}
