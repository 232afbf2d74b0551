//! What holds for all brokers alike and must be told to one that is started anew: the list of engines, and
//! what the administration has set. No I/O.

use crate::{AdminRequest, ListUpdate, Target, apply_update};
use sedgebeam_reconfigure::SettingsTable;
use std::collections::BTreeSet;

#[derive(Debug)]
pub struct ReplicatedState {
    targets: Vec<Target>,
    drained: BTreeSet<String>,
    /// The settings, with the tenants that were set.
    pub table: SettingsTable,
}

impl ReplicatedState {
    pub fn new(table: SettingsTable) -> ReplicatedState {
        ReplicatedState {
            targets: Vec::new(),
            drained: BTreeSet::new(),
            table,
        }
    }

    /// Takes a change of the list.
    pub fn apply_listing(&mut self, listing: ListUpdate, targets: &[Target]) {
        apply_update(&mut self.targets, listing, targets);
    }

    /// Takes what the administration has set, once it has been done.
    pub fn record(&mut self, asked: &AdminRequest) {
        match asked {
            AdminRequest::SetEngine(target) => {
                self.apply_listing(ListUpdate::Changes, std::slice::from_ref(target))
            }
            AdminRequest::RemoveEngine(uid) => self.targets.retain(|known| known.uid != *uid),
            AdminRequest::Drain(uid, true) => drop(self.drained.insert(uid.clone())),
            AdminRequest::Drain(uid, false) => drop(self.drained.remove(uid)),
            // New shares are settings, and stand in the table.
            AdminRequest::Health | AdminRequest::Counters | AdminRequest::Engines => {}
            AdminRequest::Tenants | AdminRequest::SetTenant(..) => {}
        }
    }

    pub fn targets(&self) -> Vec<Target> {
        self.targets.clone()
    }

    /// Engines drained by the administration.
    pub fn drained(&self) -> Vec<String> {
        self.drained.iter().cloned().collect()
    }

    /// What a new broker must be asked once it has the list. Drains come with it: an engine that drains must
    /// not be sent anything for an instant.
    pub fn replay_requests(&self) -> Vec<AdminRequest> {
        let listed = |uid: &&String| self.targets.iter().any(|target| target.uid == **uid);
        let drained = self.drained.iter().filter(listed).cloned();
        drained.map(|uid| AdminRequest::Drain(uid, true)).collect()
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
        let mut standing = ReplicatedState::new(SettingsTable::default());
        standing.apply_listing(
            ListUpdate::Complete,
            &[target("a", "up"), target("b", "up")],
        );
        standing.apply_listing(
            ListUpdate::Changes,
            &[target("a", "removed"), target("c", "up")],
        );
        for asked in [
            AdminRequest::Drain("c".to_string(), true),
            AdminRequest::Drain("a".to_string(), true),
            AdminRequest::Drain("b".to_string(), true),
            AdminRequest::Drain("b".to_string(), false),
        ] {
            standing.record(&asked);
        }
        let uids: Vec<String> = standing.targets().into_iter().map(|t| t.uid).collect();
        assert_eq!(uids, ["b", "c"]);
        let replay = format!("{:?}", standing.replay_requests());
        // A drain of what is not listed would be denied; it counts again should the engine come back.
        assert_eq!(replay, r#"[Drain("c", true)]"#);
    }
}
