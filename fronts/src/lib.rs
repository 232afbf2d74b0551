//! The fronts that clients connect to: each decodes requests, submits them to the broker and encodes the answers.

pub mod connection_drain;
pub mod flight;
pub mod incoming;
pub mod pg;
mod retry_delay;
pub mod session_slots;
pub mod statement;
#[cfg(test)]
mod test_router;

use sedgebeam_port::{Failure, RequestRouter};

/// State that all fronts use.
#[derive(Clone)]
pub struct FrontContext {
    pub router: RequestRouter,
}

/// The message that tells a client why its request failed.
pub fn failure_message(failure: Failure) -> &'static str {
    match failure {
        Failure::OutcomeUnknown => "no ledger engine answered; the statement may have run",
        Failure::Cancelled => "the statement was cancelled; it may have run",
        Failure::DuplicateId => "a request of this txn is open, or was and may have run",
        Failure::UnknownTenant => "the field \"team\" names no tenant; nothing ran",
        Failure::ShuttingDown => "the dispatcher is ending; the statement may have run",
    }
}
