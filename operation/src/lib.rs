//! The interface of a dispatcher to its operators: control commands, drain and metrics.
//!
//! Does no I/O and reads no clock: callers pass times as offsets from one fixed moment.

pub mod control_command;
pub mod drain;
pub mod metrics;

pub use control_command::ControlCommand;
pub use drain::{Drain, DrainState, ExistingConnections, NewConnections};
pub use metrics::{Disposition, Metrics, RunningRequest};
