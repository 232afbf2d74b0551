//! Decisions of a gateway that keeps short and long queries apart on shared engines.
//!
//! [`Gateway`] is a state machine without I/O: it takes the time and events, and returns actions in
//! the order of their execution. `src/policy.rs` makes the decisions.
//!
//! ```
//! use sedgebeam_core::*;
//!
//! let settings = Settings {
//!     gateways: 1,
//!     classes: vec![Class { name: "look-up".into(), worth: 1.0, ..Class::default() }],
//!     kinds: vec![Kind { cores: 8.0, memory_mb: 16384.0 }],
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 7);
//! let engine = Engine { kind: Some(KindId(0)), ..Engine::ready(EngineId(1)) };
//! let query = Query::new(RequestId(1), ClassId(0), Micros::from_millis(1500));
//! let actions = gateway.handle(
//!     Micros::from_millis(10),
//!     vec![Event::List { kind: ListKind::Complete, engines: vec![engine] }, Event::Request(query)],
//! );
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { engine: EngineId(1), .. })));
//! ```

#![deny(clippy::too_many_lines)]

mod fleet_scan;
mod handover;
mod interface;
mod policy;
mod reconfigure;
mod retries;
mod shard_usage;
mod sharding;
mod sizing;
mod slow_start;
mod state;
mod state_sizes;
mod subset;

pub use handover::{ClassHandover, EngineHandover, HandoverState};
pub use interface::*;
pub use policy::{Gateway, MAX_CREDIT};
pub use sedgebeam_fleet::{next_random, splitmix64};
pub use shard_usage::{
    ClassUsage, Demand, EngineDemand, EngineUsage, ShardUsage, SiblingEngineUsage, SiblingUsage,
    ThreadQuota,
};
pub use state_sizes::StateSizes;
