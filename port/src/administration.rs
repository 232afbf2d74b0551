//! What the administration may ask of the broker.

use crate::Target;

#[derive(Clone, Debug)]
pub enum Asked {
    Health,
    Counters,
    Engines,
    SetEngine(Target),
    RemoveEngine(String),
    /// Whether an engine is to be sent nothing new.
    Drain(String, bool),
    Tenants,
    /// A tenant's share, and its requests a second.
    SetTenant(String, f64, f64),
}

/// Why something is not done.
#[derive(Debug, PartialEq, Eq)]
pub enum Denied {
    Invalid(String),
    Unknown(String),
    Method,
}
