//! Simulates a fleet in virtual time: many gateways that share the same engines.
//!
//! Behaviour that is harmless in one gateway can be harmful when hundreds of gateways do it, and one machine
//! cannot run that many dispatchers. The gateways are the product's own code; engines (shared cores, paging,
//! warm-up), delayed engine lists, open-loop clients and scripted faults are models. Every run is checked
//! against the [`Rule`]s; a [`FaultyGateway`] for each rule shows that the check detects a violation. A seed
//! determines the whole run.

mod actions;
mod clients;
mod deployment;
mod engine_model;
mod engines;
mod events;
mod fault_injection;
mod faults;
mod faulty_gateway;
mod gateway_logic;
mod gateways;
mod metrics;
mod requests;
mod rules;
mod simulation;

pub use deployment::{Deployment, QueryProfile};
pub use engine_model::{ENGINE_CORES, ENGINE_MEMORY_MB, Impairment};
pub use faults::{Fault, FaultScript, SCENARIOS, scenario};
pub use faulty_gateway::{Defect, FaultyGateway};
pub use gateway_logic::GatewayLogic;
pub use metrics::{ClassCounts, Metrics, RefusalCounts, WorthPerSecond};
pub use rules::{Rule, Violation, Violations};
pub use simulation::{GatewayFactory, Simulation};
