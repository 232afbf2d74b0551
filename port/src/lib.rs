//! The port between requests and the world: what fronts ask, what engines are told and what they report.
//!
//! It knows no wire. Fronts and engines depend on it and not on one another; the broker stands on it too.

mod administration;
mod answer;
pub mod clock;
mod engine;
mod replicated_state;
mod request;
mod request_router;
pub mod supervise;

pub use administration::{
    AdminError, AdminRequest, AdminResponse, AnswerCounts, Counters, EngineRow, Health, TenantRow,
};
pub use answer::{Answer, Failure, PendingAnswer, ResultLost, ResultPages};
pub use engine::{
    Attempt, AttemptResult, EngineCommand, EngineReport, EngineReporter, EngineSender,
    EngineTransport, IdleEngine, Page, PageRequest, ProbeResult, memory_grant,
};
pub use request::{BrokerMessage, BrokerSender, NewRequest, SessionKey};
pub use request_router::{HEARTBEAT_INTERVAL, RequestRouter, RouterClosed};
pub use sedgebeam_discovery::{ListUpdate, Target, apply_update};
