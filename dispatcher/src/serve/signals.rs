//! The signals that the dispatcher handles: SIGHUP reloads the configuration, SIGTERM and SIGINT shut down.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The streams of the handled signals.
pub struct Signals {
    pub(super) hangup: Signal,
    pub(super) terminate: Signal,
    pub(super) interrupt: Signal,
}

impl Signals {
    /// Installs the handlers. A signal that arrives earlier has its default action, which kills the process.
    pub fn register() -> io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}
