//! Scenarios: the program itself, started on ephemeral ports of the loopback, between scripted peers.

mod actors;
mod closes;
mod command_line;
mod engines;
mod extremes;
#[path = "../faults/mod.rs"]
mod faults;
mod flight_client;
mod flight_engine;
mod fronts;
mod life;
mod operation;
mod pg_client;
mod stage;
mod wire;
mod workers;
