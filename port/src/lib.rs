//! The interface between fronts, the broker and engines: requests, commands to engines, and their reports.
//!
//! It contains no protocol code. Fronts, engines and the broker depend on this crate; fronts and engines do not depend
//! on each other.

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
    Attempt, AttemptResult, EngineActorId, EngineCommand, EngineReport, EngineReporter,
    EngineSender, EngineTransport, IdleEngine, Page, PageRequest, ProbeResult, memory_grant,
};
pub use request::{BrokerMessage, BrokerSender, NewRequest, SessionKey};
pub use request_router::{BrokerClosed, HEARTBEAT_INTERVAL, RequestRouter, UnmatchedCancel};
pub use sedgebeam_discovery::{ListUpdate, Target, apply_update};
