//! Limits how much one gateway may have in flight in the whole fleet, by the congestion that
//! responses report.

/// Decrease of the limit's logarithm for a response that reports congestion. Any other response
/// increases it by `INCREASE_RATIO` times as much, so that the limit settles where a fifth of the
/// responses report congestion.
const DECREASE_STEP: f64 = 0.1;
const INCREASE_RATIO: f64 = 0.25;
/// Time over which a gateway's traffic is averaged, in seconds: longer than a burst, which all
/// gateways see, and shorter than the front needs to distribute its clients again.
const TRAFFIC_WINDOW_S: f64 = 10.0;
/// Upper bound of a gateway's traffic relative to an equal share.
const MAX_TRAFFIC_RATIO: f64 = 8.0;

/// How much a gateway may have in flight, as a multiple of an equal share of the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    current: f64,
    min: f64,
    max: f64,
    traffic: Traffic,
}

impl ConcurrencyLimit {
    /// Starts at `start` and stays between `min` and `max`. `usual_rate` is the configured number
    /// of requests per second for each gateway, zero if unknown. When a burst follows a quiet
    /// period, all gateways may use their limits at the same time, and responses report the
    /// congestion only once engines are full: `max` must be a load that engines can bear from all
    /// gateways together.
    pub fn new(start: f64, (min, max): (f64, f64), usual_rate: f64) -> ConcurrencyLimit {
        let traffic = Traffic {
            usual_rate,
            recent_requests: usual_rate * TRAFFIC_WINDOW_S,
            updated_at: None,
        };
        ConcurrencyLimit {
            current: start.clamp(min, max.max(min)),
            min,
            max: max.max(min),
            traffic,
        }
    }

    /// Applies the bounds and the usual traffic of `other`; the learned limit stays.
    pub fn reconfigure(&mut self, other: ConcurrencyLimit) {
        (self.min, self.max) = (other.min, other.max);
        self.current = self.current.clamp(self.min, self.max);
        self.traffic.usual_rate = other.traffic.usual_rate;
    }

    /// Sets the upper bound, which depends on the size of a share and so on the list of engines.
    pub fn set_max(&mut self, max: f64) {
        self.max = max.max(self.min);
        self.current = self.current.min(self.max);
    }

    /// Updates the limit by one response, which reports congestion or not.
    pub fn adjust(&mut self, is_congested: bool) {
        let step = DECREASE_STEP * if is_congested { -1.0 } else { INCREASE_RATIO };
        self.current = (self.current * step.exp()).clamp(self.min, self.max);
    }

    /// The learned limit without the factor for traffic, for another process of this gateway.
    pub fn handover_state(&self) -> f64 {
        self.current
    }

    /// Sets the limit that an earlier process had learned; ignores values that are not finite.
    pub fn restore(&mut self, learned_limit: f64) {
        if learned_limit.is_finite() {
            self.current = learned_limit.clamp(self.min, self.max);
        }
    }

    pub fn record_request(&mut self, now: u64) {
        self.traffic.record_request(now);
    }

    /// Requests per second that this gateway receives.
    pub fn request_rate(&self) -> f64 {
        self.traffic.recent_requests / TRAFFIC_WINDOW_S
    }

    /// Equal shares of the fleet that this gateway may have in flight: at least `min` where its
    /// traffic is average, and more in proportion to its traffic. All gateways see the same
    /// congestion, so with the same limit for all, one with several times the mean traffic would
    /// refuse most of it.
    pub fn limit(&self, min: f64) -> f64 {
        self.current.max(min) * self.traffic_ratio()
    }

    /// This gateway's traffic relative to an equal share; at least one.
    pub fn traffic_ratio(&self) -> f64 {
        self.traffic.ratio()
    }
}

/// A gateway's traffic, to be compared with an equal share of the fleet's traffic.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    /// Configured requests per second for each gateway; zero if unknown.
    usual_rate: f64,
    /// Recent requests, weighted by exponential decay.
    recent_requests: f64,
    updated_at: Option<u64>,
}

impl Traffic {
    fn record_request(&mut self, now: u64) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let elapsed_s = now.saturating_sub(updated_at) as f64 / 1e6;
        self.recent_requests = self.recent_requests * (-elapsed_s / TRAFFIC_WINDOW_S).exp() + 1.0;
    }

    /// At least one: a limit that a gateway does not use costs nothing.
    fn ratio(&self) -> f64 {
        let ratio = self.recent_requests / (self.usual_rate * TRAFFIC_WINDOW_S);
        if ratio.is_finite() {
            ratio.clamp(1.0, MAX_TRAFFIC_RATIO)
        } else {
            1.0
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The limit of a gateway that receives `rate` requests per second for `seconds`.
    fn limit_after(usual_rate: f64, rate: u64, seconds: u64) -> f64 {
        let mut limit = ConcurrencyLimit::new(2.0, (0.5, 8.0), usual_rate);
        for count in 0..rate * seconds {
            limit.record_request(count * 1_000_000 / rate);
        }
        limit.limit(0.0)
    }

    #[test]
    fn limit_stays_within_its_bounds_whatever_responses_report() {
        let mut limit = ConcurrencyLimit::new(2.0, (0.25, 1.5), 0.0);
        let mut after = |is_congested, count| {
            (0..count).for_each(|_| limit.adjust(is_congested));
            limit.handover_state()
        };
        assert_eq!(after(false, 0), 1.5);
        assert_eq!(after(true, 1000), 0.25);
        assert!((after(false, 20) - 0.25 * 0.5_f64.exp()).abs() < 1e-9);
        assert_eq!(after(false, 1000), 1.5);
        limit.reconfigure(ConcurrencyLimit::new(2.0, (2.0, 1.0), 0.0));
        assert_eq!(
            limit.handover_state(),
            2.0,
            "the minimum takes precedence over the maximum"
        );
    }

    #[test]
    fn limit_follows_sustained_traffic_and_ignores_a_short_burst() {
        assert!((limit_after(7.0, 7, 60) - 2.0).abs() < 0.1);
        assert!(
            limit_after(7.0, 28, 60) > 7.5,
            "four times the mean traffic"
        );
        assert!(
            limit_after(7.0, 14, 2) < 2.6,
            "two seconds of twice the mean"
        );
        assert!(
            (limit_after(7.0, 2, 60) - 2.0).abs() < 0.01,
            "never less than one equal share"
        );
        assert!(
            (limit_after(0.0, 50, 60) - 2.0).abs() < 0.01,
            "the usual rate is unknown"
        );
    }
}
