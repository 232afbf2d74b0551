//! What the administration may ask of brokers, and what they tell.

use crate::Target;
use miniserde::{Serialize, json};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum AdminRequest {
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
pub enum AdminError {
    Invalid(String),
    NotFound(String),
    MethodNotAllowed,
    /// The dispatcher is ending, or no worker of it says anything.
    Unavailable,
}

/// What a broker tells; what several tell adds up.
#[derive(Debug, PartialEq)]
pub enum AdminResponse {
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
    #[serde(rename = "open")]
    pub open_requests: usize,
}

/// How requests have ended; what is neither has its client gone or is still open.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AnswerCounts {
    #[serde(rename = "taken")]
    pub accepted: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

/// Requests by class and tenant, and attempts by outcome, since the start.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counters {
    pub classes: BTreeMap<String, AnswerCounts>,
    pub tenants: BTreeMap<String, AnswerCounts>,
    pub attempts: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EngineRow {
    pub uid: String,
    pub endpoint: String,
    pub state: String,
    pub drained: bool,
    /// Attempts that are out there.
    #[serde(rename = "out")]
    pub attempts_in_flight: usize,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TenantRow {
    pub name: String,
    #[serde(rename = "portion")]
    pub share: f64,
    #[serde(rename = "allowance_per_s")]
    pub requests_per_s: f64,
}

impl AnswerCounts {
    fn add(&mut self, other: &AnswerCounts) {
        self.accepted += other.accepted;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
    }
}

fn add_answers(sum: &mut BTreeMap<String, AnswerCounts>, more: BTreeMap<String, AnswerCounts>) {
    for (name, answers) in more {
        sum.entry(name).or_default().add(&answers);
    }
}

impl AdminResponse {
    /// What two brokers tell of the same question, as one.
    pub fn merge(mut self, other: AdminResponse) -> AdminResponse {
        match (&mut self, other) {
            (AdminResponse::Health(sum), AdminResponse::Health(more)) => {
                sum.ready |= more.ready;
                sum.engines = sum.engines.max(more.engines);
                sum.open_requests += more.open_requests;
            }
            (AdminResponse::Counters(sum), AdminResponse::Counters(more)) => {
                add_answers(&mut sum.classes, more.classes);
                add_answers(&mut sum.tenants, more.tenants);
                for (outcome, count) in more.attempts {
                    *sum.attempts.entry(outcome).or_default() += count;
                }
            }
            (AdminResponse::Engines(sum), AdminResponse::Engines(more)) => {
                for row in more {
                    match sum.iter_mut().find(|known| known.uid == row.uid) {
                        Some(known) => {
                            known.attempts_in_flight += row.attempts_in_flight;
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
            AdminResponse::Health(health) => json::to_string(health),
            AdminResponse::Counters(counters) => json::to_string(counters),
            AdminResponse::Engines(rows) => json::to_string(rows),
            AdminResponse::Tenants(rows) => json::to_string(rows),
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
            attempts_in_flight: out,
            drained,
            ..EngineRow::default()
        };
        let first = AdminResponse::Engines(vec![row("a", 2, false), row("b", 0, true)]);
        let both = first.merge(AdminResponse::Engines(vec![
            row("b", 3, false),
            row("c", 1, false),
        ]));
        let rows = vec![row("a", 2, false), row("b", 3, true), row("c", 1, false)];
        assert_eq!(both, AdminResponse::Engines(rows));
        let counted = |served, ok| {
            let answers = AnswerCounts {
                served,
                ..AnswerCounts::default()
            };
            AdminResponse::Counters(Counters {
                classes: BTreeMap::from([("lookup".to_string(), answers)]),
                attempts: BTreeMap::from([("ok".to_string(), ok)]),
                ..Counters::default()
            })
        };
        assert_eq!(counted(1, 2).merge(counted(3, 4)), counted(4, 6));
        let health = |ready, engines, open| {
            AdminResponse::Health(Health {
                ready,
                engines,
                open_requests: open,
            })
        };
        assert_eq!(
            health(false, 0, 1).merge(health(true, 2, 5)),
            health(true, 2, 6)
        );
    }
}
