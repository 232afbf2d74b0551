//! A dispatcher: clients in front, ledger engines behind, and the decision module between.
//!
//! This package wires the others up. Each peer has an actor with a bounded mailbox, and so have the
//! change log and the module, whose actor is the broker.

pub mod admin;
pub mod beside;
pub mod config;
pub mod crew;
pub mod descriptors;
pub mod door;
pub mod duty;
pub mod import;
pub mod passed;
pub mod reload;
pub mod roster;
pub mod serve;
