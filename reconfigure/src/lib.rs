//! Reconfiguration of a running dispatcher: which configuration files are accepted, and how classes and tenants with
//! open requests are treated. Does no I/O and reads no clock: callers pass times in microseconds.

pub mod completeness;
mod settings_table;

pub use settings_table::{MAX_TABLE_ENTRIES, RuntimeSettings, SettingsTable};
