//! What the administration may ask of brokers, and what they tell.

use crate::Target;
use miniserde::{Serialize, json};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Asked {
    Health,
    Counters,
    Engines,
    SetEngine(Target),
    RemoveEngine(String),
    /// Whether an engine is to be sent nothing new.
    Drain(String, bool),
    Tenants,
    /// A tenant's share, and its requests a second.
    SetTenant(String, f64, f64),
}

/// Why something is not done.
#[derive(Debug, PartialEq, Eq)]
pub enum Denied {
    Invalid(String),
    Unknown(String),
    Method,
    /// The dispatcher is ending, or no worker of it says anything.
    Silent,
}

/// What a broker tells; what several tell adds up.
#[derive(Debug, PartialEq)]
pub enum Told {
    Health(Health),
    Counters(Counters),
    Engines(Vec<EngineRow>),
    Tenants(Vec<TenantRow>),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Health {
    /// There is an engine to send to.
    pub ready: bool,
    pub engines: usize,
    /// Requests that have no answer yet.
    pub open: usize,
}

/// How requests have ended; what is neither has its client gone or is still open.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Answers {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

/// Requests by class and tenant, and attempts by outcome, since the start.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counters {
    pub classes: BTreeMap<String, Answers>,
    pub tenants: BTreeMap<String, Answers>,
    pub attempts: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EngineRow {
    pub uid: String,
    pub endpoint: String,
    pub state: String,
    pub drained: bool,
    /// Attempts that are out there.
    pub out: usize,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TenantRow {
    pub name: String,
    pub portion: f64,
    pub allowance_per_s: f64,
}

impl Answers {
    fn add(&mut self, other: &Answers) {
        self.taken += other.taken;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
    }
}

fn add_answers(sum: &mut BTreeMap<String, Answers>, more: BTreeMap<String, Answers>) {
    for (name, answers) in more {
        sum.entry(name).or_default().add(&answers);
    }
}

impl Told {
    /// What two brokers tell of the same question, as one.
    pub fn and(mut self, other: Told) -> Told {
        match (&mut self, other) {
            (Told::Health(sum), Told::Health(more)) => {
                sum.ready |= more.ready;
                sum.engines = sum.engines.max(more.engines);
                sum.open += more.open;
            }
            (Told::Counters(sum), Told::Counters(more)) => {
                add_answers(&mut sum.classes, more.classes);
                add_answers(&mut sum.tenants, more.tenants);
                for (outcome, count) in more.attempts {
                    *sum.attempts.entry(outcome).or_default() += count;
                }
            }
            (Told::Engines(sum), Told::Engines(more)) => {
                for row in more {
                    match sum.iter_mut().find(|known| known.uid == row.uid) {
                        Some(known) => {
                            known.out += row.out;
                            known.drained |= row.drained;
                        }
                        None => sum.push(row),
                    }
                }
            }
            // Shares are the same at all brokers.
            _ => {}
        }
        self
    }

    pub fn to_json(&self) -> String {
        match self {
            Told::Health(health) => json::to_string(health),
            Told::Counters(counters) => json::to_string(counters),
            Told::Engines(rows) => json::to_string(rows),
            Told::Tenants(rows) => json::to_string(rows),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_several_brokers_tell_adds_up() {
        let row = |uid: &str, out, drained| EngineRow {
            uid: uid.to_string(),
            out,
            drained,
            ..EngineRow::default()
        };
        let first = Told::Engines(vec![row("a", 2, false), row("b", 0, true)]);
        let both = first.and(Told::Engines(vec![row("b", 3, false), row("c", 1, false)]));
        let rows = vec![row("a", 2, false), row("b", 3, true), row("c", 1, false)];
        assert_eq!(both, Told::Engines(rows));
        let counted = |served, ok| {
            let answers = Answers {
                served,
                ..Answers::default()
            };
            Told::Counters(Counters {
                classes: BTreeMap::from([("lookup".to_string(), answers)]),
                attempts: BTreeMap::from([("ok".to_string(), ok)]),
                ..Counters::default()
            })
        };
        assert_eq!(counted(1, 2).and(counted(3, 4)), counted(4, 6));
        let health = |ready, engines, open| {
            Told::Health(Health {
                ready,
                engines,
                open,
            })
        };
        assert_eq!(
            health(false, 0, 1).and(health(true, 2, 5)),
            health(true, 2, 6)
        );
    }
}
