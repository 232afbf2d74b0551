//! Decisions that follow from the size of a fleet: what is harmless in one gateway and harmful when all do it.
//! No I/O, no clock, no dependency; times are in microseconds.

mod concurrency_limit;
mod health;
pub mod probing;
pub mod reconnect;
pub mod slow_start;
pub mod subset;

pub use concurrency_limit::ConcurrencyLimit;
pub use health::{EjectionPolicy, FAILURES_TO_EJECT, Health};
