//! Experiments on the dispatcher: mock engines, an open-loop load generator and fleet simulations.

pub mod control_latency;
pub mod decision_throughput;
pub mod dispatcher_process;
pub mod engine;
pub mod fleet_scenarios;
pub mod load_generator;
pub mod rate_search;
pub mod traffic;
pub mod wire;
pub mod worker_scaling;
