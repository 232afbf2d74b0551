//! The health of one engine, as seen by one of many gateways.
//!
//! Where many gateways share an engine, each sends to it only every few seconds. A gateway has to
//! remember what it learned of a failing engine for longer than that, because the trials of all
//! gateways together load the engine: a stalled engine does not recover if each of many gateways
//! tries it as often as each of three gateways may.

/// Consecutive refused connects that eject an engine; a timeout counts as this many.
pub const FAILURES_TO_EJECT: u32 = 2;
/// Weight of a new response or error in the error rate, and the error rate beyond which an engine
/// is ejected: two errors in a row, with no good response between them.
const ERROR_WEIGHT: f64 = 0.25;
const MAX_ERROR_RATE: f64 = 0.4;
/// Duration of the first ejection, doubled for each failed trial at most `MAX_EJECTION_DOUBLINGS`
/// times.
const BASE_EJECTION_US: u64 = 1_000_000;
const MAX_EJECTION_DOUBLINGS: u32 = 2;
/// Additional doublings where a gateway sends to an engine only about every ten seconds: a shorter
/// ejection would have no effect.
const RARE_CONTACT_DOUBLINGS: u32 = 2;
/// Share of an engine's cores that the trials of all gateways together may use while it is stalled.
const MAX_TRIAL_LOAD: f64 = 0.1;
/// Relative jitter of an ejection after a stall, in both directions: otherwise the ejections of all
/// gateways, started by one event, would end together.
const EJECTION_JITTER: f64 = 0.25;

/// How long engines are ejected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EjectionPolicy {
    first_ejection_us: u64,
    stall_ejection_us: u64,
}

impl EjectionPolicy {
    /// For gateways that try an engine with queries of `trial_work` core seconds.
    /// `has_rare_contact` is set where a gateway's share of an engine is less than one query.
    pub fn new(
        gateway_count: f64,
        cores: f64,
        trial_work: f64,
        has_rare_contact: bool,
    ) -> EjectionPolicy {
        let trial_interval_s =
            gateway_count.max(1.0) * trial_work.max(0.0) / (cores.max(1.0) * MAX_TRIAL_LOAD);
        let first_ejection_us = BASE_EJECTION_US
            << if has_rare_contact {
                RARE_CONTACT_DOUBLINGS
            } else {
                0
            };
        let stall_ejection_us = ((trial_interval_s * 1e6) as u64).clamp(
            BASE_EJECTION_US,
            BASE_EJECTION_US << (2 * RARE_CONTACT_DOUBLINGS + 1),
        );
        EjectionPolicy {
            first_ejection_us,
            stall_ejection_us,
        }
    }
}

/// Applies jitter to a duration; `draw` is a random number from 0 to 1.
fn with_jitter(duration_us: u64, draw: f64) -> u64 {
    (duration_us as f64 * (1.0 + EJECTION_JITTER * (2.0 * draw - 1.0))) as u64
}

/// One gateway's record of an engine's failures.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    /// Moving average of errors among recent responses.
    error_rate: f64,
    failed_trials: u32,
    ejected_until: Option<u64>,
    /// End of the ejection after the last stall; zero without one.
    stalled_until: u64,
    consecutive_stalls: u32,
    /// When the engine last responded about as fast as an idle one.
    last_fast_response_at: Option<u64>,
}

impl Health {
    /// Whether the engine is ejected: until the ejection ends, and then while a trial is in flight.
    pub fn is_ejected(&self, now: u64, has_trial_in_flight: bool) -> bool {
        now < self.ejected_until(has_trial_in_flight)
    }

    /// When the ejection ends without further responses; never while a trial is in flight.
    pub fn ejected_until(&self, has_trial_in_flight: bool) -> u64 {
        let ejected_until = match self.ejected_until {
            Some(_) if has_trial_in_flight => u64::MAX,
            until => until.unwrap_or(0),
        };
        ejected_until.max(self.stalled_until)
    }

    /// The ends of the ejections after failures and after a stall, for another process of this
    /// gateway; zero for none.
    pub fn handover_state(&self) -> (u64, u64) {
        (self.ejected_until.unwrap_or(0), self.stalled_until)
    }

    /// Sets the ejections that an earlier process of this gateway had recorded.
    pub fn restore(&mut self, (ejected_until, stalled_until): (u64, u64)) {
        self.ejected_until = Some(ejected_until).filter(|until| *until > 0);
        self.stalled_until = stalled_until;
    }

    /// Records any message from the engine; returns whether it ends an ejection. It does not end an
    /// ejection after a stall, because a stalled engine still answers probes and reports progress.
    pub fn mark_responsive(&mut self) -> bool {
        (self.consecutive_failures, self.failed_trials) = (0, 0);
        self.ejected_until.take().is_some()
    }

    /// Records consecutive failures; returns whether they newly eject the engine.
    pub fn record_failures(&mut self, count: u32, now: u64, policy: EjectionPolicy) -> bool {
        self.consecutive_failures += count;
        let is_ejected = self.ejected_until.is_some_and(|until| now < until);
        if self.consecutive_failures < FAILURES_TO_EJECT || is_ejected {
            return false;
        }
        let is_new = self.ejected_until.is_none();
        let duration_us =
            policy.first_ejection_us << self.failed_trials.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = Some(now + duration_us);
        self.failed_trials += 1;
        is_new
    }

    /// Records an error that the engine caused; returns whether its error rate is too high.
    pub fn record_engine_error(&mut self) -> bool {
        self.error_rate += ERROR_WEIGHT * (1.0 - self.error_rate);
        self.error_rate > MAX_ERROR_RATE
    }

    pub fn record_success(&mut self, now: u64) {
        self.error_rate *= 1.0 - ERROR_WEIGHT;
        if now >= self.stalled_until {
            self.consecutive_stalls = 0;
        }
    }

    /// Records a response about as fast as that of an idle engine.
    pub fn record_fast_response(&mut self, now: u64) {
        self.last_fast_response_at = Some(now);
    }

    /// Whether the engine has responded fast after `since`: then an attempt that hardly progresses
    /// there has a bad query plan, and the engine is not stalled.
    pub fn has_responded_fast_since(&self, since: u64) -> bool {
        self.last_fast_response_at.is_some_and(|at| at > since)
    }

    /// Ejects an engine on which attempts hardly progress, for longer each consecutive time;
    /// returns whether this is a new ejection. `draw` is a random number from 0 to 1 for the
    /// jitter.
    pub fn record_stall(&mut self, now: u64, policy: EjectionPolicy, draw: f64) -> bool {
        if now < self.stalled_until {
            return false;
        }
        let duration_us =
            policy.stall_ejection_us << self.consecutive_stalls.min(MAX_EJECTION_DOUBLINGS);
        self.consecutive_stalls += 1;
        self.stalled_until = now + with_jitter(duration_us, draw);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: u64 = 1_000_000;

    #[test]
    fn trials_of_all_gateways_together_use_a_small_share_of_an_engine() {
        for (gateway_count, cores) in [(3.0, 12.0), (30.0, 12.0), (100.0, 12.0), (100.0, 4.0)] {
            let policy = EjectionPolicy::new(gateway_count, cores, 0.1, true);
            let trial_load = gateway_count * 0.1 / (policy.stall_ejection_us as f64 / 1e6);
            assert!(
                trial_load <= cores * MAX_TRIAL_LOAD * 1.01,
                "{gateway_count} {cores}"
            );
        }
    }

    #[test]
    fn ejections_of_many_gateways_do_not_end_together() {
        let policy = EjectionPolicy::new(100.0, 12.0, 0.1, true);
        let ends = (0..100).map(|n| {
            let mut health = Health::default();
            assert!(health.record_stall(0, policy, f64::from(n) / 99.0));
            (0..1000).find(|tenth| !health.is_ejected(tenth * SECOND / 10, false))
        });
        let mut ends: Vec<Option<u64>> = ends.collect();
        ends.sort();
        ends.dedup();
        assert!(ends.len() > 30 && ends[0] > Some(40), "{ends:?}");
    }

    #[test]
    fn a_message_ends_an_ejection_after_failures_but_not_one_after_a_stall() {
        let policy = EjectionPolicy::new(100.0, 12.0, 0.1, true);
        let mut health = Health::default();
        assert!(health.record_failures(FAILURES_TO_EJECT, 0, policy));
        assert!(
            health.is_ejected(SECOND, false)
                && health.mark_responsive()
                && !health.is_ejected(SECOND, false)
        );
        assert!(health.record_stall(SECOND, policy, 0.5));
        assert!(!health.mark_responsive() && health.is_ejected(2 * SECOND, false));
    }
}
