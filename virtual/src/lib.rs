//! A virtual fleet: many gateways of the decision module before the same engines, in virtual time.
//!
//! What is harmless in one gateway may harm when hundreds do it, and no machine holds so many programs. Here the
//! gateways are those of the product and all else is a model: engines that share their cores, page and warm up,
//! lists that come late, clients that arrive whether or not they are answered, and faults by script. Checkers
//! hold what is seen against the rules; each is caught by a double that breaks its rule. The same seed gives the
//! same day.

mod check;
mod deployment;
mod doubles;
mod engine;
mod faults;
mod world;

pub use check::{Rule, Tally, Verdict};
pub use deployment::{Deployment, Work};
pub use doubles::{Breaks, Decides, Double};
pub use engine::{Ailment, CORES, MEMORY_MB};
pub use faults::{Fault, KINDS, Script, script};
pub use world::World;
