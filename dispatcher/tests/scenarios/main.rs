//! Scenarios: the program itself, started on ephemeral ports of the loopback, between scripted peers.

mod closes;
mod command_line;
mod edge_cases;
mod engine_actor;
mod engines;
#[path = "../faults/mod.rs"]
mod faults;
mod flight_client;
mod flight_engine;
mod fronts;
mod harness;
mod lifecycle;
mod operation;
mod pg_client;
mod wire;
mod workers;
