//! Engines as a list names them, wherever the list comes from, and how it is followed. No I/O.

mod follower;

pub use follower::{Follower, FollowerAction, RetryBackoff};

use miniserde::{Deserialize, Serialize};

/// An engine as listed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: String,
    pub az: Option<String>,
    pub model: Option<String>,
    pub pod_group: Option<u64>,
    pub state: String,
    pub boot_ms: Option<f64>,
}

/// Applies a change to a list: what it names stands behind the rest, and what is removed goes.
pub fn apply_update(list: &mut Vec<Target>, listing: ListUpdate, targets: &[Target]) {
    if listing != ListUpdate::Changes {
        list.clear();
    }
    for target in targets {
        list.retain(|known| known.uid != target.uid);
        if target.state != "removed" {
            list.push(target.clone());
        }
    }
}

/// What a list stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    Saved,
    Complete,
    Changes,
}
