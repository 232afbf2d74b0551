//! The port between requests and the world: what fronts ask, what engines are told and what they report.
//!
//! It knows no wire. Fronts and engines depend on it and not on one another; the broker stands on it too.

mod administration;
mod answer;
pub mod clock;
mod desk;
mod engine;
mod request;
mod standing;
pub mod supervise;

pub use administration::{Answers, Asked, Counters, Denied, EngineRow, Health, TenantRow, Told};
pub use answer::{Answer, Broken, Delivery, Failure, Pending};
pub use desk::{BEAT, Closed, Desk};
pub use engine::{
    Attempt, End, EngineBox, Engines, More, Page, Probe, Report, Reports, Resting, ToEngine,
    memory_grant,
};
pub use request::{BrokerBox, NewRequest, SessionKey, ToBroker};
pub use sedgebeam_roster::{Listing, Target, apply};
