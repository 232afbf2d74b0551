//! What the administration asks of the broker, and what has been counted for it.

use super::Broker;
use sedgebeam_core::{Outcome, Tenant};
use sedgebeam_port::{
    AdminError, AdminRequest, AdminResponse, Answer, AnswerCounts, Counters, EngineRow, Health,
    ListUpdate, Target, TenantRow,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is counted by class and tenant, and attempts by outcome.
#[derive(Debug, Default)]
pub struct Tally {
    classes: BTreeMap<Arc<str>, AnswerCounts>,
    tenants: BTreeMap<String, AnswerCounts>,
    attempts: BTreeMap<&'static str, u64>,
}

fn count(answers: &mut AnswerCounts, answer: &Answer) {
    match answer {
        Answer::Rows(_) => answers.served += 1,
        Answer::Refused { .. } => answers.refused += 1,
        Answer::Failed(_) => answers.failed += 1,
    }
}

impl Tally {
    pub fn taken(&mut self, class: &Arc<str>, tenant: Option<&str>) {
        self.count(class, tenant, |answers| answers.accepted += 1);
    }

    pub fn answered(&mut self, class: &Arc<str>, tenant: Option<&str>, answer: &Answer) {
        self.count(class, tenant, |answers| count(answers, answer));
    }

    fn count(&mut self, class: &Arc<str>, tenant: Option<&str>, count: impl Fn(&mut AnswerCounts)) {
        count(self.classes.entry(class.clone()).or_default());
        let Some(tenant) = tenant else { return };
        match self.tenants.get_mut(tenant) {
            Some(answers) => count(answers),
            None => count(self.tenants.entry(tenant.to_string()).or_default()),
        }
    }

    pub fn ended(&mut self, outcome: Outcome) {
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

/// Names with what was counted under them; what is not counted yet is nothing.
fn named<N: AsRef<str>>(
    names: impl Iterator<Item = String>,
    counted: &BTreeMap<N, AnswerCounts>,
) -> BTreeMap<String, AnswerCounts> {
    let fresh = names.map(|name| (name, AnswerCounts::default()));
    let counted = counted.iter();
    fresh
        .chain(counted.map(|(name, answers)| (name.as_ref().to_string(), answers.clone())))
        .collect()
}

impl Broker {
    pub(super) fn administer(&mut self, asked: AdminRequest) -> Result<AdminResponse, AdminError> {
        match asked {
            AdminRequest::Health => {
                let engines = self.engines.values().filter(|known| known.ready).count();
                let ready = engines > 0;
                let open = self
                    .open
                    .values()
                    .filter(|open| open.reply.is_some())
                    .count();
                return Ok(AdminResponse::Health(Health {
                    ready,
                    engines,
                    open_requests: open,
                }));
            }
            AdminRequest::Counters => return Ok(self.counted()),
            AdminRequest::Engines => return Ok(self.engine_rows()),
            // The desk has told of new shares as of all new settings.
            AdminRequest::Tenants | AdminRequest::SetTenant(..) => return Ok(self.tenant_rows()),
            AdminRequest::SetEngine(target) => self.list(ListUpdate::Changes, vec![target]),
            AdminRequest::RemoveEngine(uid) => {
                let mut target = self.target(&uid)?;
                target.state = "removed".to_string();
                self.list(ListUpdate::Changes, vec![target]);
            }
            AdminRequest::Drain(uid, drained) => {
                let target = self.target(&uid)?;
                if drained {
                    self.drained.insert(uid);
                } else {
                    self.drained.remove(&uid);
                }
                self.list(ListUpdate::Changes, vec![target]);
            }
        }
        Ok(self.engine_rows())
    }

    fn target(&self, uid: &str) -> Result<Target, AdminError> {
        let known = self.engines.values().find(|known| known.target.uid == uid);
        let known = known.ok_or_else(|| AdminError::NotFound(format!("no engine {uid:?}")))?;
        Ok(known.target.clone())
    }

    fn counted(&self) -> AdminResponse {
        let attempts = self.counters.attempts.iter();
        let (classes, tenants) = (&self.settings.classes, &self.settings.tenants);
        let classes = classes.iter().map(|class| class.name.clone());
        let tenants = tenants.iter().map(|tenant| tenant.name.clone());
        AdminResponse::Counters(Counters {
            classes: named(classes, &self.counters.classes),
            tenants: named(tenants, &self.counters.tenants),
            attempts: attempts
                .map(|(name, count)| (name.to_string(), *count))
                .collect(),
        })
    }

    fn engine_rows(&self) -> AdminResponse {
        let row = |(id, known): (&sedgebeam_core::EngineId, &super::Known)| EngineRow {
            uid: known.target.uid.clone(),
            endpoint: known.target.endpoint.clone(),
            state: known.target.state.clone(),
            drained: self.drained.contains(&known.target.uid),
            attempts_in_flight: self
                .open
                .values()
                .flat_map(super::Open::all_out)
                .filter(|(_, out)| out.engine == *id)
                .count(),
        };
        AdminResponse::Engines(self.engines.iter().map(row).collect())
    }

    fn tenant_rows(&self) -> AdminResponse {
        let row = |tenant: &Tenant| TenantRow {
            name: tenant.name.clone(),
            share: tenant.share,
            requests_per_s: tenant.requests_per_second,
        };
        AdminResponse::Tenants(self.settings.tenants.iter().map(row).collect())
    }
}
