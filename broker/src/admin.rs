//! Administration requests, and the counters that they report.

use super::Broker;
use sedgebeam_core::{Outcome, Tenant};
use sedgebeam_port::{
    AdminError, AdminRequest, AdminResponse, Answer, AnswerCounts, Counters, EngineRow, Health,
    ListUpdate, Target, TenantRow,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Counters of answers by class and tenant, and of attempts by outcome.
#[derive(Debug, Default)]
pub struct Tally {
    classes: BTreeMap<Arc<str>, AnswerCounts>,
    tenants: BTreeMap<String, AnswerCounts>,
    attempts: BTreeMap<&'static str, u64>,
}

fn count_answer_kind(answers: &mut AnswerCounts, answer: &Answer) {
    match answer {
        Answer::Rows(_) => answers.served += 1,
        Answer::Refused { .. } => answers.refused += 1,
        Answer::Failed(_) => answers.failed += 1,
    }
}

impl Tally {
    pub fn count_accepted(&mut self, class: &Arc<str>, tenant: Option<&str>) {
        self.count(class, tenant, |answers| answers.accepted += 1);
    }

    pub fn count_answer(&mut self, class: &Arc<str>, tenant: Option<&str>, answer: &Answer) {
        self.count(class, tenant, |answers| count_answer_kind(answers, answer));
    }

    fn count(
        &mut self,
        class: &Arc<str>,
        tenant: Option<&str>,
        add_one: impl Fn(&mut AnswerCounts),
    ) {
        add_one(self.classes.entry(class.clone()).or_default());
        let Some(tenant) = tenant else { return };
        match self.tenants.get_mut(tenant) {
            Some(answers) => add_one(answers),
            None => add_one(self.tenants.entry(tenant.to_string()).or_default()),
        }
    }

    /// Counts the outcome of an attempt under its name in the administration's response.
    pub fn count_attempt(&mut self, outcome: Outcome) {
        let name = match outcome {
            Outcome::Ok => "ok",
            Outcome::Error => "error",
            Outcome::Rejected => "full",
            Outcome::TimedOut => "timed_out",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "moot",
        };
        *self.attempts.entry(name).or_default() += 1;
    }
}

/// Counters by name, with zeros for names that nothing was counted for yet.
fn with_zero_counters<N: AsRef<str>>(
    names: impl Iterator<Item = String>,
    counted: &BTreeMap<N, AnswerCounts>,
) -> BTreeMap<String, AnswerCounts> {
    let zeros = names.map(|name| (name, AnswerCounts::default()));
    let counted = counted.iter();
    zeros
        .chain(counted.map(|(name, answers)| (name.as_ref().to_string(), answers.clone())))
        .collect()
}

impl Broker {
    pub(super) fn administer(
        &mut self,
        request: AdminRequest,
    ) -> Result<AdminResponse, AdminError> {
        match request {
            AdminRequest::Health => {
                let engines = self
                    .engines
                    .values()
                    .filter(|engine| engine.is_ready)
                    .count();
                let ready = engines > 0;
                let open_requests = self
                    .open_requests
                    .values()
                    .filter(|request| request.reply.is_some())
                    .count();
                return Ok(AdminResponse::Health(Health {
                    ready,
                    engines,
                    open_requests,
                }));
            }
            AdminRequest::Counters => return Ok(self.counters_response()),
            AdminRequest::Engines => return Ok(self.engines_response()),
            // The router sends the new tenant with the settings, before this request.
            AdminRequest::Tenants | AdminRequest::SetTenant(..) => {
                return Ok(self.tenants_response());
            }
            AdminRequest::SetEngine(target) => {
                self.update_engine_list(ListUpdate::Changes, vec![target])
            }
            AdminRequest::RemoveEngine(uid) => {
                let mut target = self.find_target(&uid)?;
                target.state = "removed".to_string();
                self.update_engine_list(ListUpdate::Changes, vec![target]);
            }
            AdminRequest::Drain(uid, drained) => {
                let target = self.find_target(&uid)?;
                if drained {
                    self.drained.insert(uid);
                } else {
                    self.drained.remove(&uid);
                }
                self.update_engine_list(ListUpdate::Changes, vec![target]);
            }
        }
        Ok(self.engines_response())
    }

    fn find_target(&self, uid: &str) -> Result<Target, AdminError> {
        let engine = self
            .engines
            .values()
            .find(|engine| engine.target.uid == uid);
        let engine = engine.ok_or_else(|| AdminError::NotFound(format!("no engine {uid:?}")))?;
        Ok(engine.target.clone())
    }

    fn counters_response(&self) -> AdminResponse {
        let attempts = self.counters.attempts.iter();
        let (classes, tenants) = (&self.settings.classes, &self.settings.tenants);
        let classes = classes.iter().map(|class| class.name.clone());
        let tenants = tenants.iter().map(|tenant| tenant.name.clone());
        AdminResponse::Counters(Counters {
            classes: with_zero_counters(classes, &self.counters.classes),
            tenants: with_zero_counters(tenants, &self.counters.tenants),
            attempts: attempts
                .map(|(name, count)| (name.to_string(), *count))
                .collect(),
        })
    }

    fn engines_response(&self) -> AdminResponse {
        let row = |(id, engine): (&sedgebeam_core::EngineId, &super::KnownEngine)| EngineRow {
            uid: engine.target.uid.clone(),
            endpoint: engine.target.endpoint.clone(),
            state: engine.target.state.clone(),
            drained: self.drained.contains(&engine.target.uid),
            attempts_in_flight: self
                .open_requests
                .values()
                .flat_map(super::OpenRequest::attempts_in_flight)
                .filter(|(_, attempt)| attempt.actor.engine == *id)
                .count(),
        };
        AdminResponse::Engines(self.engines.iter().map(row).collect())
    }

    fn tenants_response(&self) -> AdminResponse {
        let row = |tenant: &Tenant| TenantRow {
            name: tenant.name.clone(),
            share: tenant.share,
            requests_per_s: tenant.requests_per_second,
        };
        AdminResponse::Tenants(self.settings.tenants.iter().map(row).collect())
    }
}
