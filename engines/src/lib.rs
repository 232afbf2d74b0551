//! Connections to engines over the network: one actor per engine, with the same messages for every protocol.

mod connection_slots;
pub mod flight;
pub mod resp;

pub use connection_slots::ConnectionSlots;

use sedgebeam_operation::Metrics;
use sedgebeam_port::{EngineReporter, EngineSender, EngineTransport, Target, supervise};
use sedgebeam_settings::ConnectionSettings;
use tokio::sync::{mpsc, watch};

/// Maximum number of commands in the mailbox of an engine's actor: far more than an engine ever runs at once.
const MAILBOX_CAPACITY: usize = 4096;

/// Prefix of the endpoints that speak Arrow Flight SQL; all others speak RESP.
pub const FLIGHT_SCHEME: &str = "grpc://";

/// Starts the actors that talk to engines over the network.
#[derive(Clone)]
pub struct NetworkTransport {
    /// Connection settings, which may change at runtime.
    pub connections: watch::Receiver<ConnectionSettings>,
    /// Counts the attempts that were written to an engine.
    pub metrics: Metrics,
    /// Limits the connections to all engines together; each connection holds one slot.
    pub slots: ConnectionSlots,
}

impl EngineTransport for NetworkTransport {
    fn start(&self, target: &Target, reporter: EngineReporter) -> EngineSender {
        let (mailbox, commands) = mpsc::channel(MAILBOX_CAPACITY);
        let (name, endpoint) = (format!("engine {}", target.uid), target.endpoint.clone());
        let panic_reporter = reporter.clone();
        let report_panic = move || {
            tokio::spawn(async move { panic_reporter.actor_died().await });
        };
        if endpoint.starts_with(FLIGHT_SCHEME) {
            let actor = flight::run(endpoint, self.clone(), commands, reporter);
            supervise::spawn_supervised(name, actor, report_panic);
        } else {
            let weak_mailbox = mailbox.downgrade();
            let actor = resp::run(endpoint, self.clone(), weak_mailbox, commands, reporter);
            supervise::spawn_supervised(name, actor, report_panic);
        }
        mailbox
    }
}
