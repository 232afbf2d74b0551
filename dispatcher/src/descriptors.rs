//! What the descriptors of the process are for, stated in one place: whatever fills one part, the others keep theirs.

/// Connections of Flight SQL clients at once, at the most.
const MOST_FLIGHT: usize = 96;
/// Callers at the door, and connections that are closed without a place: for each so many descriptors one, within bounds.
const FOR_A_CALLER: usize = 32;
const CALLERS: (usize, usize) = (16, 32);
const FOR_A_FAREWELL: usize = 16;
const FAREWELLS: (usize, usize) = (4, 16);
/// The process itself: standard streams, listeners, signals, the pollers and wakers of two threads, the change log's
/// connection with the one that takes its place, a file that is read and one that is written, and one just accepted.
const OWN: usize = 24;
/// The poller and the waker of each further worker, and what it shares of signals.
const OF_A_WORKER: usize = 3;
/// Administration clients at once, where there are any; more wait to be accepted.
pub const MAX_ADMIN_CLIENTS: usize = 8;
/// Clients take so much of what is left, and connections to engines the rest: the platform's clients hold a third of all, and
/// hundreds of engines want a connection each.
const CLIENTS_PART: f64 = 0.5;

/// The most that each part holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Sessions of the PostgreSQL protocol.
    pub sessions: usize,
    /// Connections of Flight SQL clients.
    pub flight: usize,
    /// Connections to engines.
    pub engines: usize,
    /// Callers at the door.
    pub control_callers: usize,
    /// Connections that are closed without a place.
    pub lingering_closes: usize,
    /// All else.
    pub reserved: usize,
}

impl DescriptorBudget {
    /// Of so many, with these parts of the program in use; none where they are too few.
    pub fn divide(
        sockets: usize,
        workers: usize,
        flight: bool,
        admin: bool,
    ) -> Option<DescriptorBudget> {
        let control_callers = (sockets / FOR_A_CALLER).clamp(CALLERS.0, CALLERS.1);
        let lingering_closes = (sockets / FOR_A_FAREWELL).clamp(FAREWELLS.0, FAREWELLS.1);
        let administrators = if admin { MAX_ADMIN_CLIENTS } else { 0 };
        let reserved = OWN + OF_A_WORKER * (workers - 1) + administrators;
        let left = sockets.checked_sub(control_callers + lingering_closes + reserved)?;
        let clients = (left as f64 * CLIENTS_PART) as usize;
        let flight = if flight {
            (clients / 2).min(MOST_FLIGHT)
        } else {
            0
        };
        let descriptors = DescriptorBudget {
            sessions: clients - flight,
            flight,
            engines: left - clients,
            control_callers,
            lingering_closes,
            reserved,
        };
        assert!(descriptors.sum() <= sockets, "{descriptors:?} of {sockets}");
        (descriptors.sessions > 0 && descriptors.engines > 0).then_some(descriptors)
    }

    fn sum(&self) -> usize {
        self.sessions
            + self.flight
            + self.engines
            + self.control_callers
            + self.lingering_closes
            + self.reserved
    }
}
