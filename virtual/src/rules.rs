//! The rules that every run is checked against, and the violations that were found.

use sedgebeam_core::Micros;
use std::collections::BTreeMap;

/// A property that must hold in every run, whichever faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request gets exactly one final answer, and no attempt is sent after it.
    SingleAnswer,
    /// A request gets its final answer within its time limit plus the configured slack.
    AnswerInTime,
    /// A request has at most one attempt in flight.
    SingleAttemptInFlight,
    /// A request that may have run is retried, or refused (which tells the client that a retry is safe), only
    /// if its class allows it.
    NoUnsafeRetry,
    /// No attempt is sent to a draining or removed engine once the grace period after the gateway's
    /// notification is over.
    NoSendAfterDrain,
    /// A cold engine is not overloaded by gateways that know of its latest start.
    NoColdOverload,
}

/// Number of violations that are kept for each rule; the first few are enough to find the cause.
const MAX_VIOLATIONS_PER_RULE: usize = 5;

/// One violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Simulated time of the violation.
    pub at: Micros,
    pub detail: String,
}

/// The violations of a run, by rule.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    by_rule: BTreeMap<Rule, Vec<Violation>>,
}

impl Violations {
    pub(crate) fn record(&mut self, rule: Rule, at: Micros, detail: String) {
        let recorded = self.by_rule.entry(rule).or_default();
        if recorded.len() < MAX_VIOLATIONS_PER_RULE {
            recorded.push(Violation { at, detail });
        }
    }

    pub fn is_empty(&self) -> bool {
        self.by_rule.is_empty()
    }

    pub fn contains(&self, rule: Rule) -> bool {
        self.by_rule.contains_key(&rule)
    }

    /// The violations that were kept, for each rule that was violated.
    pub fn iter(&self) -> impl Iterator<Item = (Rule, &[Violation])> {
        let rules = self.by_rule.iter();
        rules.map(|(rule, violations)| (*rule, violations.as_slice()))
    }
}
