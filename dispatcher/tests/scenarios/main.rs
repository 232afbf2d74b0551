//! Scenario tests: the program runs on ephemeral loopback ports between scripted clients, engines and change logs.

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
mod long_statements;
mod operation;
mod pg_client;
mod wire;
mod workers;
