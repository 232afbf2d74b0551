//! The port between requests and the world: what fronts ask, what engines are told and what they report.
//!
//! It knows no wire. Fronts and engines depend on it and not on one another; the broker stands on it too.

mod administration;
mod answer;
pub mod clock;
mod engine;
mod request;
mod roster;
pub mod supervise;

pub use administration::{Asked, Denied};
pub use answer::{Answer, Broken, Delivery, Failure, Pending};
pub use engine::{Attempt, End, EngineBox, Engines, More, Page, Probe, Report, Reports, ToEngine};
pub use request::{BrokerBox, NewRequest, SessionKey, ToBroker, submit};
pub use roster::{Listing, Target};
