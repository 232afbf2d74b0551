//! Decisions that depend on the size of a fleet of gateways: behaviour that is harmless in one
//! gateway and harmful when all of them do it. Does no I/O, reads no clock and has no dependencies;
//! times are in microseconds.

mod concurrency_limit;
mod health;
pub mod probing;
mod random;
pub mod reconnect;
pub mod slow_start;
pub mod subset;

pub use concurrency_limit::ConcurrencyLimit;
pub use health::{EjectionPolicy, FAILURES_TO_EJECT, Health};
pub use random::{next_random, splitmix64};
