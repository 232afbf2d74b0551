//! The signals that the program heeds.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receivers of the signals.
pub struct Signals {
    pub(super) hangup: Signal,
    pub(super) terminate: Signal,
    pub(super) interrupt: Signal,
}

impl Signals {
    /// Heeds them from here on: one that comes before would end the program, whatever it has taken.
    pub fn register() -> io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}
