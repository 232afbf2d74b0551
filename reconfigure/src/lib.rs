//! New settings while a dispatcher runs: which files are taken, and what becomes of classes and tenants
//! whose requests are under way. No I/O, no clock: times come in, in microseconds.

pub mod completeness;
mod settings_table;

pub use settings_table::{MAX_TABLE_ENTRIES, RuntimeSettings, SettingsTable};
