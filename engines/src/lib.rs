//! Ledger engines: one actor each behind one message type, whatever its wire.

mod connection_slots;
pub mod flight;
pub mod resp;

pub use connection_slots::ConnectionSlots;

use sedgebeam_operation::Metrics;
use sedgebeam_port::{EngineReporter, EngineSender, EngineTransport, Target, supervise};
use sedgebeam_settings::ConnectionSettings;
use tokio::sync::{mpsc, watch};

/// Requests that may wait in an engine's mailbox: far more than it ever runs.
const MAILBOX: usize = 4096;

/// An endpoint with this ahead of it speaks Arrow Flight SQL; any other speaks RESP.
pub const FLIGHT_SCHEME: &str = "grpc://";

/// Engines over the network.
#[derive(Clone)]
pub struct NetworkTransport {
    /// They may change while engines are served.
    pub connections: watch::Receiver<ConnectionSettings>,
    /// Attempts are counted there once they are written.
    pub metrics: Metrics,
    /// Connections to all engines take one each.
    pub slots: ConnectionSlots,
}

impl EngineTransport for NetworkTransport {
    fn start(&self, target: &Target, reports: EngineReporter) -> EngineSender {
        let (mailbox, incoming) = mpsc::channel(MAILBOX);
        let (name, endpoint) = (format!("engine {}", target.uid), target.endpoint.clone());
        let last = reports.clone();
        let died = move || {
            tokio::spawn(async move { last.actor_died().await });
        };
        if endpoint.starts_with(FLIGHT_SCHEME) {
            let actor = flight::run(endpoint, self.clone(), incoming, reports);
            supervise::spawn_supervised(name, actor, died);
        } else {
            let own = mailbox.downgrade();
            let actor = resp::run(endpoint, self.clone(), own, incoming, reports);
            supervise::spawn_supervised(name, actor, died);
        }
        mailbox
    }
}
