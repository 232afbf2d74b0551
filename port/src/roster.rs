//! Engines as a list names them, wherever the list comes from.

use miniserde::Deserialize;

/// An engine as listed.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: String,
    pub az: Option<String>,
    pub model: Option<String>,
    pub pod_group: Option<u64>,
    pub state: String,
    pub boot_ms: Option<f64>,
}

/// What a list stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    Saved,
    Complete,
    Changes,
}
