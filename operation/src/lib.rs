//! What operations staff ask of a dispatcher, and what it tells them: calls at the door, the drain, the
//! figures. No I/O, no clock: times come in, as the time since one fixed moment.

pub mod control_command;
pub mod drain;
pub mod metrics;

pub use control_command::ControlCommand;
pub use drain::{Drain, DrainState, ExistingConnections, NewConnections};
pub use metrics::{Disposition, Metrics, RunningRequest};
