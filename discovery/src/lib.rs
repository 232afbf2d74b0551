//! Discovery of engines: the entries of an engine list, its updates, and a follower of its change log. Does no I/O.

mod follower;

pub use follower::{Follower, FollowerAction, RetryBackoff};

use miniserde::{Deserialize, Serialize};

/// An entry of the engine list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The name that identifies the engine.
    pub uid: String,
    pub endpoint: String,
    /// The availability zone.
    pub az: Option<String>,
    /// The kind of engine.
    pub model: Option<String>,
    /// The cell.
    pub pod_group: Option<u64>,
    /// `up`, `draining`, or `removed`, which deletes the entry from a list.
    pub state: String,
    /// Start time by the engine's own clock, in milliseconds.
    pub boot_ms: Option<f64>,
}

/// Applies an update to a list: updated entries move to its end, and removed ones are deleted.
pub fn apply_update(list: &mut Vec<Target>, update: ListUpdate, targets: &[Target]) {
    if update != ListUpdate::Changes {
        list.clear();
    }
    for target in targets {
        list.retain(|listed| listed.uid != target.uid);
        if target.state != "removed" {
            list.push(target.clone());
        }
    }
}

/// What a received list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// A complete list from an earlier time.
    Saved,
    /// The complete current list.
    Complete,
    /// Only the entries that changed.
    Changes,
}
