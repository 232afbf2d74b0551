//! Administration requests to brokers, their responses, and how responses of several brokers are merged.

use crate::Target;
use miniserde::{Serialize, json};
use std::collections::BTreeMap;

/// An administration request to a broker.
#[derive(Clone, Debug)]
pub enum AdminRequest {
    Health,
    Counters,
    Engines,
    /// Adds an engine, or replaces the listed one with the same uid.
    SetEngine(Target),
    /// Removes the engine with this uid.
    RemoveEngine(String),
    /// Starts (`true`) or ends the drain of the engine with this uid: a draining engine is sent no new attempts.
    Drain(String, bool),
    Tenants,
    /// Sets a tenant's share and its requests per second.
    SetTenant(String, f64, f64),
}

/// Why an administration request failed.
#[derive(Debug, PartialEq, Eq)]
pub enum AdminError {
    Invalid(String),
    NotFound(String),
    MethodNotAllowed,
    /// The dispatcher is shutting down, or no broker replies.
    Unavailable,
}

/// A broker's response; responses of several brokers can be merged.
#[derive(Debug, PartialEq)]
pub enum AdminResponse {
    Health(Health),
    Counters(Counters),
    Engines(Vec<EngineRow>),
    Tenants(Vec<TenantRow>),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Health {
    /// At least one engine is ready for attempts.
    pub ready: bool,
    /// Number of engines that are ready for attempts.
    pub engines: usize,
    /// Requests without an answer so far.
    #[serde(rename = "open")]
    pub open_requests: usize,
}

/// Numbers of requests by their answers. Accepted requests that are not counted by an answer are still open.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AnswerCounts {
    #[serde(rename = "taken")]
    pub accepted: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

/// Answers by class and tenant, and attempts by outcome, since the start.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counters {
    pub classes: BTreeMap<String, AnswerCounts>,
    pub tenants: BTreeMap<String, AnswerCounts>,
    pub attempts: BTreeMap<String, u64>,
}

/// A listed engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EngineRow {
    pub uid: String,
    pub endpoint: String,
    /// The state as listed.
    pub state: String,
    /// Drained by the administration, regardless of the listed state.
    pub drained: bool,
    /// Attempts in flight at this engine.
    #[serde(rename = "out")]
    pub attempts_in_flight: usize,
}

/// A tenant with its limits.
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
    /// Merges the responses of two brokers to the same request.
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
            // Tenants are the same at all brokers.
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
    fn responses_of_several_brokers_are_merged() {
        let row = |uid: &str, attempts_in_flight, drained| EngineRow {
            uid: uid.to_string(),
            attempts_in_flight,
            drained,
            ..EngineRow::default()
        };
        let first = AdminResponse::Engines(vec![row("a", 2, false), row("b", 0, true)]);
        let merged = first.merge(AdminResponse::Engines(vec![
            row("b", 3, false),
            row("c", 1, false),
        ]));
        let rows = vec![row("a", 2, false), row("b", 3, true), row("c", 1, false)];
        assert_eq!(merged, AdminResponse::Engines(rows));
        let counters = |served, ok_attempts| {
            let answers = AnswerCounts {
                served,
                ..AnswerCounts::default()
            };
            AdminResponse::Counters(Counters {
                classes: BTreeMap::from([("lookup".to_string(), answers)]),
                attempts: BTreeMap::from([("ok".to_string(), ok_attempts)]),
                ..Counters::default()
            })
        };
        assert_eq!(counters(1, 2).merge(counters(3, 4)), counters(4, 6));
        let health = |ready, engines, open_requests| {
            AdminResponse::Health(Health {
                ready,
                engines,
                open_requests,
            })
        };
        assert_eq!(
            health(false, 0, 1).merge(health(true, 2, 5)),
            health(true, 2, 6)
        );
    }
}
