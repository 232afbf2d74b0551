//! What the administration asks of the broker, and what has been counted for it.

use super::Broker;
use miniserde::{Serialize, json};
use sedgebeam_core::{ClassId, Outcome, Tenant, TenantId};
use sedgebeam_port::{Answer, Asked, Denied, Listing, Target};
use std::collections::BTreeMap;

/// How requests have ended; what is neither has its client gone or is still open.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Answers {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

impl Answers {
    fn add(&mut self, answer: &Answer) {
        match answer {
            Answer::Rows(_) => self.served += 1,
            Answer::Refused { .. } => self.refused += 1,
            Answer::Failed(_) => self.failed += 1,
        }
    }
}

/// Requests by class and tenant, and attempts by outcome, since the start.
#[derive(Debug, Default)]
pub struct Counters {
    classes: Vec<Answers>,
    tenants: Vec<Answers>,
    attempts: BTreeMap<&'static str, u64>,
}

fn at(list: &mut Vec<Answers>, place: usize) -> &mut Answers {
    if list.len() <= place {
        list.resize(place + 1, Answers::default());
    }
    &mut list[place]
}

impl Counters {
    pub fn taken(&mut self, class: ClassId, tenant: Option<TenantId>) {
        at(&mut self.classes, class.0).taken += 1;
        if let Some(tenant) = tenant {
            at(&mut self.tenants, tenant.0).taken += 1;
        }
    }

    pub fn answered(&mut self, class: ClassId, tenant: Option<TenantId>, answer: &Answer) {
        at(&mut self.classes, class.0).add(answer);
        if let Some(tenant) = tenant {
            at(&mut self.tenants, tenant.0).add(answer);
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

#[derive(Serialize)]
struct Health {
    ready: bool,
    engines: usize,
    open: usize,
}

#[derive(Serialize)]
struct Counted {
    classes: BTreeMap<String, Answers>,
    tenants: BTreeMap<String, Answers>,
    attempts: BTreeMap<String, u64>,
}

#[derive(Serialize)]
struct EngineRow {
    uid: String,
    endpoint: String,
    state: String,
    drained: bool,
    out: usize,
}

#[derive(Serialize)]
struct TenantRow {
    name: String,
    portion: f64,
    allowance_per_s: f64,
}

/// Names with what was counted under them; what is not counted yet is nothing.
fn named(names: &[String], counted: &[Answers]) -> BTreeMap<String, Answers> {
    let counted = counted
        .iter()
        .cloned()
        .chain(std::iter::repeat(Answers::default()));
    names.iter().cloned().zip(counted).collect()
}

impl Broker {
    pub(super) fn administer(&mut self, asked: Asked) -> Result<String, Denied> {
        match asked {
            Asked::Health => {
                let engines = self.engines.values().filter(|known| known.ready).count();
                let ready = engines > 0;
                let open = self
                    .open
                    .values()
                    .filter(|open| open.reply.is_some())
                    .count();
                return Ok(json::to_string(&Health {
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

    fn counted(&self) -> String {
        let attempts = self.counters.attempts.iter();
        json::to_string(&Counted {
            classes: named(&self.names.classes, &self.counters.classes),
            tenants: named(&self.names.tenants, &self.counters.tenants),
            attempts: attempts
                .map(|(name, count)| (name.to_string(), *count))
                .collect(),
        })
    }

    fn engine_rows(&self) -> String {
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
        json::to_string(&self.engines.iter().map(row).collect::<Vec<_>>())
    }

    fn tenant_rows(&self) -> String {
        let row = |tenant: &Tenant| TenantRow {
            name: tenant.name.clone(),
            portion: tenant.share,
            allowance_per_s: tenant.per_second,
        };
        json::to_string(&self.settings.tenants.iter().map(row).collect::<Vec<_>>())
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
