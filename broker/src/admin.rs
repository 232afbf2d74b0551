//! What the administration asks of the broker, and what has been counted for it.

use super::Broker;
use sedgebeam_core::{ClassId, Outcome, Tenant, TenantId};
use sedgebeam_port::{
    Answer, Answers, Asked, Counters, Denied, EngineRow, Health, Listing, Target, TenantRow, Told,
};
use std::collections::BTreeMap;

/// What is counted by class and tenant, by their places, and attempts by outcome.
#[derive(Debug, Default)]
pub struct Tally {
    classes: Vec<Answers>,
    tenants: Vec<Answers>,
    attempts: BTreeMap<&'static str, u64>,
}

fn count(answers: &mut Answers, answer: &Answer) {
    match answer {
        Answer::Rows(_) => answers.served += 1,
        Answer::Refused { .. } => answers.refused += 1,
        Answer::Failed(_) => answers.failed += 1,
    }
}

fn at(list: &mut Vec<Answers>, place: usize) -> &mut Answers {
    if list.len() <= place {
        list.resize(place + 1, Answers::default());
    }
    &mut list[place]
}

impl Tally {
    pub fn taken(&mut self, class: ClassId, tenant: Option<TenantId>) {
        at(&mut self.classes, class.0).taken += 1;
        if let Some(tenant) = tenant {
            at(&mut self.tenants, tenant.0).taken += 1;
        }
    }

    pub fn answered(&mut self, class: ClassId, tenant: Option<TenantId>, answer: &Answer) {
        count(at(&mut self.classes, class.0), answer);
        if let Some(tenant) = tenant {
            count(at(&mut self.tenants, tenant.0), answer);
        }
    }

    pub fn ended(&mut self, outcome: Outcome) {
        let name = match outcome {
            Outcome::Ok => "ok",
            Outcome::Error => "error",
            Outcome::Full => "full",
            Outcome::TimedOut => "timed_out",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::Moot => "moot",
        };
        *self.attempts.entry(name).or_default() += 1;
    }
}

/// Each has a line a class in the module.
const MOST_TENANTS: usize = 1000;

/// Names with what was counted under them; what is not counted yet is nothing.
fn named(names: &[String], counted: &[Answers]) -> BTreeMap<String, Answers> {
    let counted = counted
        .iter()
        .cloned()
        .chain(std::iter::repeat(Answers::default()));
    names.iter().cloned().zip(counted).collect()
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
            Asked::Tenants => return Ok(self.tenant_rows()),
            Asked::SetTenant(name, share, per_second) => {
                self.set_tenant(name, share, per_second)?;
                return Ok(self.tenant_rows());
            }
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
        Told::Counters(Counters {
            classes: named(&self.names.classes, &self.counters.classes),
            tenants: named(&self.names.tenants, &self.counters.tenants),
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
            allowance_per_s: tenant.per_second,
        };
        Told::Tenants(self.settings.tenants.iter().map(row).collect())
    }

    fn set_tenant(&mut self, name: String, share: f64, per_second: f64) -> Result<(), Denied> {
        let tenants = &mut self.settings.tenants;
        let full = tenants.len() >= MOST_TENANTS;
        match tenants.iter_mut().find(|tenant| tenant.name == name) {
            Some(tenant) => (tenant.share, tenant.per_second) = (share, per_second),
            None if full => {
                return Err(Denied::Invalid("there are too many tenants".to_string()));
            }
            None => {
                self.names.tenants.push(name.clone());
                tenants.push(Tenant {
                    name,
                    share,
                    per_second,
                });
            }
        }
        self.gateway.set_tenants(self.settings.tenants.clone());
        Ok(())
    }
}
