//! The dispatcher: accepts client requests and forwards each to a ledger engine that a gateway chooses.
//!
//! This crate connects the other crates of the workspace and holds the command line. Each client, each engine, the
//! change log and each gateway is an actor with a bounded mailbox; the actor that owns a gateway is the broker.

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
