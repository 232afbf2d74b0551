//! Decisions that follow from the size of a fleet: what is harmless in one gateway and harmful when all do it.
//! No I/O, no clock, no dependency; times are in microseconds.

pub mod asking;
pub mod circle;
pub mod cold;
mod crowd;
mod health;
pub mod reconnect;

pub use crowd::Multiple;
pub use health::{Health, Rests, STRIKES};
