//! The health of one engine, as one of many gateways sees it.
//!
//! Where many gateways share an engine, each sends to it only every few seconds. What one learns of an ill
//! engine it must keep for longer, since the trials of all gateways together are load: an engine that is
//! jammed stays so while each gateway tries it again as often as a gateway among three may.

/// Refused connects in a row before an engine is set aside; silence counts as so many.
pub const FAILURES_TO_EJECT: u32 = 2;
/// Weight of an answer, or of a fault, in the share of faults among what an engine was sent lately, and the
/// share beyond which it is set aside: two in a row, with no answer between.
const FAULT_GAIN: f64 = 0.25;
const MOST_FAULTS: f64 = 0.4;
/// First rest of an engine set aside, doubled at most `REST_DOUBLINGS` times.
const REST: u64 = 1_000_000;
const REST_DOUBLINGS: u32 = 2;
/// So many doublings more where a gateway sends to an engine every ten seconds or so: less is no rest.
const RARE_VISITS: u32 = 2;
/// Share of an engine's cores that the trials of all gateways together may take while it is jammed.
const TRIAL_SHARE: f64 = 0.1;
/// A rest is drawn from this far below its length to this far above, so that those of all gateways, which
/// one event began, do not end together.
const SPREAD: f64 = 0.25;

/// How long engines rest.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EjectionPolicy {
    first: u64,
    jammed: u64,
}

impl EjectionPolicy {
    /// For so many gateways, which try an engine of so many cores with queries of so much work, in core
    /// seconds; `rare` where a gateway's part of an engine is under one query.
    pub fn new(gateways: f64, cores: f64, trial: f64, rare: bool) -> EjectionPolicy {
        let trials = gateways.max(1.0) * trial.max(0.0) / (cores.max(1.0) * TRIAL_SHARE);
        let first = REST << if rare { RARE_VISITS } else { 0 };
        let jammed = ((trials * 1e6) as u64).clamp(REST, REST << (2 * RARE_VISITS + 1));
        EjectionPolicy { first, jammed }
    }
}

/// A length drawn about its middle; the draw is from 0 to 1.
fn spread(length: u64, draw: f64) -> u64 {
    (length as f64 * (1.0 + SPREAD * (2.0 * draw - 1.0))) as u64
}

/// What one gateway holds against an engine.
#[derive(Clone, Debug, Default)]
pub struct Health {
    strikes: u32,
    /// Share of faults among what it was sent lately.
    faults: f64,
    failed_trials: u32,
    ejected_until: Option<u64>,
    /// It was jammed when last seen, and may be until then.
    jammed_until: u64,
    jams: u32,
    /// When it last answered about as quickly as an engine with nothing else to do.
    quick_answer_at: Option<u64>,
}

impl Health {
    /// Set aside, or on trial with the trial still out.
    pub fn is_ejected(&self, now: u64, on_trial: bool) -> bool {
        now < self.ejected_until(on_trial)
    }

    /// Until when it is set aside, if nothing is heard; for as long as its trial is out.
    pub fn ejected_until(&self, on_trial: bool) -> u64 {
        let rest = match self.ejected_until {
            Some(_) if on_trial => u64::MAX,
            until => until.unwrap_or(0),
        };
        rest.max(self.jammed_until)
    }

    /// Until when it is set aside after strikes, and after a jam; for another process of this gateway.
    pub fn handover_state(&self) -> (u64, u64) {
        (self.ejected_until.unwrap_or(0), self.jammed_until)
    }

    /// Takes over what an earlier process held against the engine.
    pub fn restore(&mut self, (ejected_until, jammed_until): (u64, u64)) {
        self.ejected_until = Some(ejected_until).filter(|until| *until > 0);
        self.jammed_until = jammed_until;
    }

    /// A word from the engine; true if it ends a rest. A word does not show that a jam is over: what is
    /// jammed answers probes and tells of progress all the time.
    pub fn mark_responsive(&mut self) -> bool {
        (self.strikes, self.failed_trials) = (0, 0);
        self.ejected_until.take().is_some()
    }

    /// Signs in a row that the engine is not well; true if they set it aside now.
    pub fn record_failures(&mut self, strikes: u32, now: u64, rests: EjectionPolicy) -> bool {
        self.strikes += strikes;
        let resting = self.ejected_until.is_some_and(|until| now < until);
        if self.strikes < FAILURES_TO_EJECT || resting {
            return false;
        }
        let news = self.ejected_until.is_none();
        let rest = rests.first << self.failed_trials.min(REST_DOUBLINGS);
        self.ejected_until = Some(now + rest);
        self.failed_trials += 1;
        news
    }

    /// A fault that is the engine's own; true if it has had too many.
    pub fn record_engine_error(&mut self) -> bool {
        self.faults += FAULT_GAIN * (1.0 - self.faults);
        self.faults > MOST_FAULTS
    }

    /// A good answer.
    pub fn record_success(&mut self, now: u64) {
        self.faults *= 1.0 - FAULT_GAIN;
        if now >= self.jammed_until {
            self.jams = 0;
        }
    }

    /// It answered about as quickly as an engine with nothing else to do.
    pub fn record_fast_response(&mut self, now: u64) {
        self.quick_answer_at = Some(now);
    }

    /// Whether it has answered so since: then an attempt that hardly moves there has a bad plan, and the engine is not jammed.
    pub fn has_responded_fast_since(&self, since: u64) -> bool {
        self.quick_answer_at.is_some_and(|at| at > since)
    }

    /// What it was sent hardly moves: it rests, longer each time that it is found so; true if that is new.
    pub fn record_stall(&mut self, now: u64, rests: EjectionPolicy, draw: f64) -> bool {
        if now < self.jammed_until {
            return false;
        }
        let rest = rests.jammed << self.jams.min(REST_DOUBLINGS);
        self.jams += 1;
        self.jammed_until = now + spread(rest, draw);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: u64 = 1_000_000;

    #[test]
    fn trials_of_all_gateways_together_stay_a_small_part_of_an_engine() {
        for (gateways, cores) in [(3.0, 12.0), (30.0, 12.0), (100.0, 12.0), (100.0, 4.0)] {
            let rests = EjectionPolicy::new(gateways, cores, 0.1, true);
            let trials = gateways * 0.1 / (rests.jammed as f64 / 1e6);
            assert!(trials <= cores * TRIAL_SHARE * 1.01, "{gateways} {cores}");
        }
    }

    #[test]
    fn rests_of_many_gateways_do_not_end_together() {
        let rests = EjectionPolicy::new(100.0, 12.0, 0.1, true);
        let ends = (0..100).map(|n| {
            let mut health = Health::default();
            assert!(health.record_stall(0, rests, f64::from(n) / 99.0));
            (0..1000).find(|tenth| !health.is_ejected(tenth * SECOND / 10, false))
        });
        let mut ends: Vec<Option<u64>> = ends.collect();
        ends.sort();
        ends.dedup();
        assert!(ends.len() > 30 && ends[0] > Some(40), "{ends:?}");
    }

    #[test]
    fn a_word_ends_a_rest_after_silence_but_not_one_after_a_jam() {
        let rests = EjectionPolicy::new(100.0, 12.0, 0.1, true);
        let mut health = Health::default();
        assert!(health.record_failures(FAILURES_TO_EJECT, 0, rests));
        assert!(
            health.is_ejected(SECOND, false)
                && health.mark_responsive()
                && !health.is_ejected(SECOND, false)
        );
        assert!(health.record_stall(SECOND, rests, 0.5));
        assert!(!health.mark_responsive() && health.is_ejected(2 * SECOND, false));
    }
}
