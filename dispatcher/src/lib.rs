//! A dispatcher: clients in front, ledger engines behind, and the decision module between.
//!
//! Each peer has an actor with a bounded mailbox, and so have the change log and the module. The
//! [`broker`] is the module's actor: it deals in requests, attempts and outcomes and knows no wire.

pub mod admin;
pub mod arrow;
pub mod broker;
pub mod clock;
pub mod config;
pub mod engine;
pub mod front;
pub mod import;
pub mod reload;
pub mod roster;
pub mod serve;
mod supervise;
