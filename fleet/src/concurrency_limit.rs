//! How much of the fleet one gateway may have out at once, following what answers tell of crowds.

/// Step of the multiple, as a log ratio: down for an answer that tells of a crowd, this share of it up for
/// another, so that it settles where a fifth tell of one.
const STEP: f64 = 0.1;
const RISE: f64 = 0.25;
/// Time over which a gateway's traffic is taken, in seconds: longer than a burst, which is everybody's, and
/// shorter than the front takes to spread its clients anew.
const TRAFFIC_OVER: f64 = 10.0;
/// The largest part of the traffic that is believed, in even parts.
const LARGEST: f64 = 8.0;

/// How many times its part of the fleet a gateway may have out.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    now: f64,
    least: f64,
    most: f64,
    traffic: Traffic,
}

impl ConcurrencyLimit {
    /// It starts at so much and stays from the least to the most; where told, so many requests a second come to
    /// each gateway. What a quiet time has it grow to, all gateways use at once when a burst comes, and what answers
    /// tell of that is heard only once engines are full: the most is what engines bear of all together.
    pub fn new(start: f64, (least, most): (f64, f64), usual: f64) -> ConcurrencyLimit {
        let traffic = Traffic {
            usual,
            recent: usual * TRAFFIC_OVER,
            at: None,
        };
        ConcurrencyLimit {
            now: start.clamp(least, most.max(least)),
            least,
            most: most.max(least),
            traffic,
        }
    }

    /// Takes other bounds and another usual traffic; what answers told stays.
    pub fn reconfigure(&mut self, other: ConcurrencyLimit) {
        (self.least, self.most) = (other.least, other.most);
        self.now = self.now.clamp(self.least, self.most);
        self.traffic.usual = other.traffic.usual;
    }

    /// Takes another most: it follows from the size of a part, which changes with the list of engines.
    pub fn set_max(&mut self, most: f64) {
        self.most = most.max(self.least);
        self.now = self.now.min(self.most);
    }

    /// A sign of a crowd, or of none.
    pub fn adjust(&mut self, crowded: bool) {
        let step = STEP * if crowded { -1.0 } else { RISE };
        self.now = (self.now * step.exp()).clamp(self.least, self.most);
    }

    /// Even parts of the fleet that the traffic alone would not give; for another process of this gateway.
    pub fn handover_state(&self) -> f64 {
        self.now
    }

    /// Takes over what answers told an earlier process; what is no number is not heeded.
    pub fn restore(&mut self, now: f64) {
        if now.is_finite() {
            self.now = now.clamp(self.least, self.most);
        }
    }

    /// A request came.
    pub fn record_request(&mut self, now: u64) {
        self.traffic.record_request(now);
    }

    /// Requests a second that come to this gateway.
    pub fn request_rate(&self) -> f64 {
        self.traffic.recent / TRAFFIC_OVER
    }

    /// Even parts of the fleet that this gateway may have out, at least so many where its traffic is even. Crowds
    /// tell all gateways the same, so one with several times the mean traffic would refuse most of it if all had
    /// the same room.
    pub fn limit(&self, least: f64) -> f64 {
        self.now.max(least) * self.traffic_ratio()
    }

    /// This gateway's traffic, in even parts of that of all; never under one.
    pub fn traffic_ratio(&self) -> f64 {
        self.traffic.ratio()
    }
}

/// A gateway's traffic against an even part of it.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    /// Requests a second that come to each gateway by the settings; zero where not told.
    usual: f64,
    /// Requests lately, each counted for less the longer ago it was.
    recent: f64,
    at: Option<u64>,
}

impl Traffic {
    fn record_request(&mut self, now: u64) {
        let before = self.at.replace(now).unwrap_or(now);
        let passed = now.saturating_sub(before) as f64 / 1e6;
        self.recent = self.recent * (-passed / TRAFFIC_OVER).exp() + 1.0;
    }

    /// Never under one: room that nobody asks for costs nothing.
    fn ratio(&self) -> f64 {
        let parts = self.recent / (self.usual * TRAFFIC_OVER);
        if parts.is_finite() {
            parts.clamp(1.0, LARGEST)
        } else {
            1.0
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The parts of a gateway that is asked so many times a second for so many seconds.
    fn parts(usual: f64, rate: u64, seconds: u64) -> f64 {
        let mut multiple = ConcurrencyLimit::new(2.0, (0.5, 8.0), usual);
        for count in 0..rate * seconds {
            multiple.record_request(count * 1_000_000 / rate);
        }
        multiple.limit(0.0)
    }

    #[test]
    fn it_stays_within_its_bounds_whatever_answers_tell() {
        let mut multiple = ConcurrencyLimit::new(2.0, (0.25, 1.5), 0.0);
        let mut after = |crowded, count| {
            (0..count).for_each(|_| multiple.adjust(crowded));
            multiple.handover_state()
        };
        assert_eq!(after(false, 0), 1.5);
        assert_eq!(after(true, 1000), 0.25);
        assert!((after(false, 20) - 0.25 * 0.5_f64.exp()).abs() < 1e-9);
        assert_eq!(after(false, 1000), 1.5);
        multiple.reconfigure(ConcurrencyLimit::new(2.0, (2.0, 1.0), 0.0));
        assert_eq!(
            multiple.handover_state(),
            2.0,
            "the least counts over the most"
        );
    }

    #[test]
    fn room_follows_the_traffic_of_a_gateway_and_not_a_short_burst() {
        assert!((parts(7.0, 7, 60) - 2.0).abs() < 0.1);
        assert!(parts(7.0, 28, 60) > 7.5, "four times the mean traffic");
        assert!(parts(7.0, 14, 2) < 2.6, "two seconds of twice the mean");
        assert!(
            (parts(7.0, 2, 60) - 2.0).abs() < 0.01,
            "never under one part"
        );
        assert!(
            (parts(0.0, 50, 60) - 2.0).abs() < 0.01,
            "rates are not told"
        );
    }
}
