//! A simulated fleet: many gateways of the decision module before the same engines, in virtual time.
//!
//! What is harmless in one gateway may harm when hundreds do it, and no machine holds so many programs. Here the
//! gateways are those of the product and all else is a model: engines that share their cores, page and warm up,
//! lists of engines that arrive late, clients that send whether or not they are answered, and scripted faults. What
//! happens is checked against the [`Rule`]s; a [`FaultyGateway`] for each rule shows that its check works. The same
//! seed gives the same run.

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
