//! What the administration asks of the broker, and what has been counted for it.

use super::Broker;
use sedgebeam_core::{Outcome, Tenant};
use sedgebeam_port::{
    Answer, Answers, Asked, Counters, Denied, EngineRow, Health, Listing, Target, TenantRow, Told,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is counted by class and tenant, and attempts by outcome.
#[derive(Debug, Default)]
pub struct Tally {
    classes: BTreeMap<Arc<str>, Answers>,
    tenants: BTreeMap<String, Answers>,
    attempts: BTreeMap<&'static str, u64>,
}

fn count(answers: &mut Answers, answer: &Answer) {
    match answer {
        Answer::Rows(_) => answers.served += 1,
        Answer::Refused { .. } => answers.refused += 1,
        Answer::Failed(_) => answers.failed += 1,
    }
}

impl Tally {
    pub fn taken(&mut self, class: &Arc<str>, tenant: Option<&str>) {
        self.count(class, tenant, |answers| answers.taken += 1);
    }

    pub fn answered(&mut self, class: &Arc<str>, tenant: Option<&str>, answer: &Answer) {
        self.count(class, tenant, |answers| count(answers, answer));
    }

    fn count(&mut self, class: &Arc<str>, tenant: Option<&str>, count: impl Fn(&mut Answers)) {
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
    counted: &BTreeMap<N, Answers>,
) -> BTreeMap<String, Answers> {
    let fresh = names.map(|name| (name, Answers::default()));
    let counted = counted.iter();
    fresh
        .chain(counted.map(|(name, answers)| (name.as_ref().to_string(), answers.clone())))
        .collect()
}

impl Broker {
    pub(super) fn administer(&mut self, asked: Asked) -> Result<Told, Denied> {
        match asked {
            Asked::Health => {
                let engines = self.engines.values().filter(|known| known.ready).count();
                let ready = engines > 0;
                let open = self
                    .open
                    .values()
                    .filter(|open| open.reply.is_some())
                    .count();
                return Ok(Told::Health(Health {
                    ready,
                    engines,
                    open,
                }));
            }
            Asked::Counters => return Ok(self.counted()),
            Asked::Engines => return Ok(self.engine_rows()),
            // The desk has told of new shares as of all new settings.
            Asked::Tenants | Asked::SetTenant(..) => return Ok(self.tenant_rows()),
            Asked::SetEngine(target) => self.list(Listing::Changes, vec![target]),
            Asked::RemoveEngine(uid) => {
                let mut target = self.target(&uid)?;
                target.state = "removed".to_string();
                self.list(Listing::Changes, vec![target]);
            }
            Asked::Drain(uid, drained) => {
                let target = self.target(&uid)?;
                if drained {
                    self.drained.insert(uid);
                } else {
                    self.drained.remove(&uid);
                }
                self.list(Listing::Changes, vec![target]);
            }
        }
        Ok(self.engine_rows())
    }

    fn target(&self, uid: &str) -> Result<Target, Denied> {
        let known = self.engines.values().find(|known| known.target.uid == uid);
        let known = known.ok_or_else(|| Denied::Unknown(format!("no engine {uid:?}")))?;
        Ok(known.target.clone())
    }

    fn counted(&self) -> Told {
        let attempts = self.counters.attempts.iter();
        let (classes, tenants) = (&self.settings.classes, &self.settings.tenants);
        let classes = classes.iter().map(|class| class.name.clone());
        let tenants = tenants.iter().map(|tenant| tenant.name.clone());
        Told::Counters(Counters {
            classes: named(classes, &self.counters.classes),
            tenants: named(tenants, &self.counters.tenants),
            attempts: attempts
                .map(|(name, count)| (name.to_string(), *count))
                .collect(),
        })
    }

    fn engine_rows(&self) -> Told {
        let row = |(id, known): (&sedgebeam_core::EngineId, &super::Known)| EngineRow {
            uid: known.target.uid.clone(),
            endpoint: known.target.endpoint.clone(),
            state: known.target.state.clone(),
            drained: self.drained.contains(&known.target.uid),
            out: self
                .open
                .values()
                .flat_map(super::Open::all_out)
                .filter(|(_, out)| out.engine == *id)
                .count(),
        };
        Told::Engines(self.engines.iter().map(row).collect())
    }

    fn tenant_rows(&self) -> Told {
        let row = |tenant: &Tenant| TenantRow {
            name: tenant.name.clone(),
            portion: tenant.share,
            allowance_per_s: tenant.requests_per_second,
        };
        Told::Tenants(self.settings.tenants.iter().map(row).collect())
    }
}
