//! A dispatcher: clients in front, ledger engines behind, and the decision module between.
//!
//! This package wires the others up. Each peer has an actor with a bounded mailbox, and so have the
//! change log and the module, whose actor is the broker.

pub mod admin;
pub mod change_log;
pub mod config;
pub mod control_socket;
pub mod descriptors;
pub mod drain_manager;
pub mod haproxy_import;
pub mod inherited_listener;
pub mod peer_process;
pub mod reload;
pub mod serve;
pub mod worker_pool;
