//! Stand-in engines, open-loop load and experiments on the dispatcher, on loopback.

pub mod cores;
pub mod decide;
pub mod door;
pub mod engine;
pub mod fleet;
pub mod load;
pub mod plan;
pub mod program;
pub mod search;
pub mod wire;
