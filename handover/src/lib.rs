//! Two processes of one dispatcher, as during an upgrade: what the one tells the other, and what each may do
//! meanwhile. No I/O, no clock: files are bytes here, and times come in, in microseconds.

mod freshness;
mod pair;
mod share;

pub use freshness::Freshness;
pub use pair::{Life, Pair, Phase};
pub use share::{Refused, Share, Stated, VERSION};
