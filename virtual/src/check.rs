//! What is counted of a day, and the rules that are held against it.

use sedgebeam_core::Micros;
use std::collections::BTreeMap;

/// What holds on any day, whatever goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request gets one final answer, and none after its end.
    OneAnswer,
    /// It gets it in time.
    Answered,
    /// No second attempt while one is out.
    OneOut,
    /// What may have run is sent again only where its class allows.
    OnceOnly,
    /// Nothing new to an engine that drains or is gone, some time after the gateway was told.
    Drained,
    /// A cold engine is not pushed over by those who knew that it is cold.
    ColdLoad,
}

/// Kept of each rule: enough to find the cause.
const MOST_KEPT: usize = 5;

/// The rules broken, with when and how.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub broken: BTreeMap<Rule, Vec<(Micros, String)>>,
}

impl Verdict {
    pub fn break_rule(&mut self, rule: Rule, at: Micros, how: String) {
        let kept = self.broken.entry(rule).or_default();
        if kept.len() < MOST_KEPT {
            kept.push((at, how));
        }
    }

    pub fn broke(&self, rule: Rule) -> bool {
        self.broken.contains_key(&rule)
    }
}

/// Requests of a class by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub asked: u64,
    /// Served within what the class wants.
    pub in_time: u64,
    pub late: u64,
    /// Refused at once, while they waited, and after an attempt.
    pub refused: [u64; 3],
    pub failed: u64,
    /// Gone with their gateway.
    pub lost: u64,
    pub attempts: u64,
}

impl Tally {
    /// Share served in time of what was asked and not lost with its gateway.
    pub fn served(&self) -> f64 {
        self.in_time as f64 / (self.asked - self.lost).max(1) as f64
    }

    pub fn ended(&self) -> u64 {
        self.in_time + self.late + self.refused.iter().sum::<u64>() + self.failed + self.lost
    }
}
