//! What holds for all brokers alike and must be told to one that is started anew: the list of engines, and
//! what the administration has set. No I/O.

use crate::{Asked, Listing, Target, apply};
use std::collections::BTreeSet;

#[derive(Debug, Default)]
pub struct Standing {
    targets: Vec<Target>,
    drained: BTreeSet<String>,
    /// Name, portion and allowance, in the order in which they were first set.
    tenants: Vec<(String, f64, f64)>,
}

impl Standing {
    /// Takes a change of the list.
    pub fn list(&mut self, listing: Listing, targets: &[Target]) {
        apply(&mut self.targets, listing, targets);
    }

    /// Takes what the administration has set, once it has been done.
    pub fn set(&mut self, asked: &Asked) {
        match asked {
            Asked::SetEngine(target) => self.list(Listing::Changes, std::slice::from_ref(target)),
            Asked::RemoveEngine(uid) => self.targets.retain(|known| known.uid != *uid),
            Asked::Drain(uid, true) => drop(self.drained.insert(uid.clone())),
            Asked::Drain(uid, false) => drop(self.drained.remove(uid)),
            Asked::SetTenant(name, portion, allowance) => {
                let told = (name.clone(), *portion, *allowance);
                match self.tenants.iter_mut().find(|(known, _, _)| known == name) {
                    Some(known) => *known = told,
                    None => self.tenants.push(told),
                }
            }
            Asked::Health | Asked::Counters | Asked::Engines | Asked::Tenants => {}
        }
    }

    pub fn targets(&self) -> Vec<Target> {
        self.targets.clone()
    }

    /// What a new broker must be asked once it has the list. Drains come with it: an engine that drains must
    /// not be sent anything for an instant.
    pub fn replay(&self) -> Vec<Asked> {
        let listed = |uid: &&String| self.targets.iter().any(|target| target.uid == **uid);
        let drained = self.drained.iter().filter(listed).cloned();
        let drains = drained.map(|uid| Asked::Drain(uid, true));
        let tenants = self.tenants.iter().cloned();
        let tenants =
            tenants.map(|(name, portion, allowance)| Asked::SetTenant(name, portion, allowance));
        drains.chain(tenants).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn target(uid: &str, state: &str) -> Target {
        Target {
            uid: uid.to_string(),
            state: state.to_string(),
            ..Target::default()
        }
    }

    #[test]
    fn a_new_broker_is_told_the_list_and_what_was_set() {
        let mut standing = Standing::default();
        standing.list(Listing::Complete, &[target("a", "up"), target("b", "up")]);
        standing.list(
            Listing::Changes,
            &[target("a", "removed"), target("c", "up")],
        );
        for asked in [
            Asked::Drain("c".to_string(), true),
            Asked::Drain("a".to_string(), true),
            Asked::SetTenant("y".to_string(), 0.2, 0.0),
            Asked::SetTenant("x".to_string(), 0.1, 0.0),
            Asked::SetTenant("y".to_string(), 0.3, 5.0),
            Asked::Drain("b".to_string(), true),
            Asked::Drain("b".to_string(), false),
        ] {
            standing.set(&asked);
        }
        let uids: Vec<String> = standing.targets().into_iter().map(|t| t.uid).collect();
        assert_eq!(uids, ["b", "c"]);
        let replay = format!("{:?}", standing.replay());
        // A drain of what is not listed would be denied; it counts again should the engine come back.
        let expected = r#"[Drain("c", true), SetTenant("y", 0.3, 5.0), SetTenant("x", 0.1, 0.0)]"#;
        assert_eq!(replay, expected);
    }
}
