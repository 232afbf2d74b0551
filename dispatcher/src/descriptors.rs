//! Divides the file descriptors that the process may open among their uses, so that a use that exhausts its share
//! leaves the others theirs.

/// Concurrent connections of Flight SQL clients.
const MAX_FLIGHT_CONNECTIONS: usize = 96;
/// Callers of the control socket: one for each 32 descriptors, within these bounds.
const DESCRIPTORS_PER_CONTROL_CALLER: usize = 32;
const CONTROL_CALLER_BOUNDS: (usize, usize) = (16, 32);
/// Rejected connections in their lingering close: one for each 16 descriptors, within these bounds.
const DESCRIPTORS_PER_LINGERING_CLOSE: usize = 16;
const LINGERING_CLOSE_BOUNDS: (usize, usize) = (4, 16);
/// Descriptors of the process itself: standard streams, listeners, signals, the pollers and wakers of two threads, the
/// connection to the change log and the one that replaces it, a file being read, one being written, and a connection that
/// was just accepted.
const PROCESS_DESCRIPTORS: usize = 24;
/// The poller and the waker of each further worker, and its descriptor for signals.
const DESCRIPTORS_PER_WORKER: usize = 3;
/// Concurrent connections to the administration API where it is enabled; further ones wait in the accept queue.
pub const MAX_ADMIN_CLIENTS: usize = 8;
/// The share of the remaining descriptors for clients; connections to engines get the rest. The platform's clients hold a
/// third of all descriptors, and hundreds of engines need a connection each.
const CLIENT_SHARE: f64 = 0.5;

/// The maximum number of open descriptors of each use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Sessions of PostgreSQL clients.
    pub sessions: usize,
    /// Connections of Flight SQL clients.
    pub flight: usize,
    /// Connections to engines.
    pub engines: usize,
    /// Callers of the control socket.
    pub control_callers: usize,
    /// Rejected connections in their lingering close.
    pub lingering_closes: usize,
    /// The process itself, further workers and the administration API.
    pub reserved: usize,
}

impl DescriptorBudget {
    /// Divides `max_descriptors` for the features in use; `None` if they are too few for any session or engine.
    pub fn divide(
        max_descriptors: usize,
        workers: usize,
        has_flight: bool,
        has_admin: bool,
    ) -> Option<DescriptorBudget> {
        let control_callers = (max_descriptors / DESCRIPTORS_PER_CONTROL_CALLER)
            .clamp(CONTROL_CALLER_BOUNDS.0, CONTROL_CALLER_BOUNDS.1);
        let lingering_closes = (max_descriptors / DESCRIPTORS_PER_LINGERING_CLOSE)
            .clamp(LINGERING_CLOSE_BOUNDS.0, LINGERING_CLOSE_BOUNDS.1);
        let admin_clients = if has_admin { MAX_ADMIN_CLIENTS } else { 0 };
        let reserved = PROCESS_DESCRIPTORS + DESCRIPTORS_PER_WORKER * (workers - 1) + admin_clients;
        let remaining_descriptors =
            max_descriptors.checked_sub(control_callers + lingering_closes + reserved)?;
        let client_descriptors = (remaining_descriptors as f64 * CLIENT_SHARE) as usize;
        let flight = if has_flight {
            (client_descriptors / 2).min(MAX_FLIGHT_CONNECTIONS)
        } else {
            0
        };
        let budget = DescriptorBudget {
            sessions: client_descriptors - flight,
            flight,
            engines: remaining_descriptors - client_descriptors,
            control_callers,
            lingering_closes,
            reserved,
        };
        assert!(
            budget.total() <= max_descriptors,
            "{budget:?} of {max_descriptors}"
        );
        (budget.sessions > 0 && budget.engines > 0).then_some(budget)
    }

    fn total(&self) -> usize {
        self.sessions
            + self.flight
            + self.engines
            + self.control_callers
            + self.lingering_closes
            + self.reserved
    }
}
