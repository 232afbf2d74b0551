//! State that is the same at all brokers and is sent to each broker that starts: the engine list, the settings, and
//! what the administration has set.

use crate::{AdminRequest, ListUpdate, Target, apply_update};
use sedgebeam_reconfigure::SettingsTable;
use std::collections::BTreeSet;

/// The state replicated to all brokers.
#[derive(Debug)]
pub struct ReplicatedState {
    targets: Vec<Target>,
    /// Uids of the engines drained by the administration.
    drained: BTreeSet<String>,
    /// The settings, with the tenants set by the administration.
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

    /// Applies an update of the engine list.
    pub fn update_engine_list(&mut self, update: ListUpdate, targets: &[Target]) {
        apply_update(&mut self.targets, update, targets);
    }

    /// Records an administration request that brokers have carried out.
    pub fn record(&mut self, request: &AdminRequest) {
        match request {
            AdminRequest::SetEngine(target) => {
                self.update_engine_list(ListUpdate::Changes, std::slice::from_ref(target))
            }
            AdminRequest::RemoveEngine(uid) => self.targets.retain(|known| known.uid != *uid),
            AdminRequest::Drain(uid, true) => drop(self.drained.insert(uid.clone())),
            AdminRequest::Drain(uid, false) => drop(self.drained.remove(uid)),
            // Tenants are settings and are kept in the table.
            AdminRequest::Health | AdminRequest::Counters | AdminRequest::Engines => {}
            AdminRequest::Tenants | AdminRequest::SetTenant(..) => {}
        }
    }

    /// The listed engines.
    pub fn targets(&self) -> Vec<Target> {
        self.targets.clone()
    }

    /// Uids of the engines drained by the administration.
    pub fn drained(&self) -> Vec<String> {
        self.drained.iter().cloned().collect()
    }

    /// Requests to send to a new broker after the engine list: the drains of listed engines. The broker gets them
    /// before any client request, so that a draining engine is never sent an attempt.
    pub fn replay_requests(&self) -> Vec<AdminRequest> {
        let is_listed = |uid: &&String| self.targets.iter().any(|target| target.uid == **uid);
        let drained = self.drained.iter().filter(is_listed).cloned();
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
    fn a_new_broker_gets_the_engine_list_and_the_drains() {
        let mut state = ReplicatedState::new(SettingsTable::default());
        state.update_engine_list(
            ListUpdate::Complete,
            &[target("a", "up"), target("b", "up")],
        );
        state.update_engine_list(
            ListUpdate::Changes,
            &[target("a", "removed"), target("c", "up")],
        );
        for request in [
            AdminRequest::Drain("c".to_string(), true),
            AdminRequest::Drain("a".to_string(), true),
            AdminRequest::Drain("b".to_string(), true),
            AdminRequest::Drain("b".to_string(), false),
        ] {
            state.record(&request);
        }
        let uids: Vec<String> = state
            .targets()
            .into_iter()
            .map(|target| target.uid)
            .collect();
        assert_eq!(uids, ["b", "c"]);
        let replay = format!("{:?}", state.replay_requests());
        // The drain of "a" is not replayed: brokers reject drains of unlisted engines. It applies again once "a" is
        // listed.
        assert_eq!(replay, r#"[Drain("c", true)]"#);
    }
}
