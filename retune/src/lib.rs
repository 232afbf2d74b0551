//! New settings while a dispatcher runs: which files are taken, and what becomes of classes and tenants
//! whose requests are under way. No I/O, no clock: times come in, in microseconds.

pub mod file;
mod table;

pub use table::{MOST_PLACES, Table, Tuning};
