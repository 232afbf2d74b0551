//! The rules that every run is checked against, and the violations found.

use sedgebeam_core::Micros;
use std::collections::BTreeMap;

/// What holds in any run, whatever faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request gets one final answer, and nothing is sent for it after that.
    SingleAnswer,
    /// A request gets its final answer in time.
    AnswerInTime,
    /// No second attempt starts while one is in flight.
    SingleAttemptInFlight,
    /// A request that may have run is retried, or refused as harmless, only where its class allows it.
    NoUnsafeRetry,
    /// Nothing new goes to an engine that drains or is gone, a grace period after the gateway was told.
    NoSendAfterDrain,
    /// A cold engine is not overloaded by gateways that know that it is cold.
    NoColdOverload,
}

/// Violations kept of each rule: enough to find the cause.
const MAX_KEPT_PER_RULE: usize = 5;

/// One violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    pub at: Micros,
    pub detail: String,
}

/// The violations found in a run, by rule.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    by_rule: BTreeMap<Rule, Vec<Violation>>,
}

impl Violations {
    pub(crate) fn record(&mut self, rule: Rule, at: Micros, detail: String) {
        let kept = self.by_rule.entry(rule).or_default();
        if kept.len() < MAX_KEPT_PER_RULE {
            kept.push(Violation { at, detail });
        }
    }

    pub fn is_empty(&self) -> bool {
        self.by_rule.is_empty()
    }

    pub fn contains(&self, rule: Rule) -> bool {
        self.by_rule.contains_key(&rule)
    }

    /// The first violations of each rule that was violated.
    pub fn iter(&self) -> impl Iterator<Item = (Rule, &[Violation])> {
        let rules = self.by_rule.iter();
        rules.map(|(rule, violations)| (*rule, violations.as_slice()))
    }
}
