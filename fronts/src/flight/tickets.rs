//! The outstanding tickets of the Flight SQL front, bounded in number and in the bytes of their statements.

use bytes::Bytes;
use sedgebeam_port::NewRequest;
use std::collections::HashMap;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Maximum number of outstanding tickets: issued, or redeemed by a call that has not ended.
pub const MAX_TICKETS: usize = 4096;
/// Bound on the total length of the statements whose tickets have not been redeemed.
pub const MAX_ISSUED_BYTES: usize = 4 * 1024 * 1024;
/// Step between the numbers of consecutive tickets. It is odd, so no number repeats before all others were used.
const TICKET_NUMBER_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

pub enum TicketState {
    Issued(Box<NewRequest>),
    /// Redeemed: the token that cancels the request, and the request's deadline.
    Redeemed(CancellationToken, Instant),
}

/// Why a ticket can't be redeemed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedeemError {
    /// It was never issued, or is over.
    Unknown,
    /// It has been redeemed already.
    Redeemed,
}

/// The outstanding tickets by their numbers.
pub struct TicketTable {
    tickets: HashMap<u64, TicketState>,
    last_number: u64,
    /// The total length of the statements of issued tickets.
    issued_bytes: usize,
}

fn issued_bytes(state: &TicketState) -> usize {
    match state {
        TicketState::Issued(request) => request.statement.len(),
        TicketState::Redeemed(..) => 0,
    }
}

impl TicketTable {
    /// Creates a table whose ticket numbers continue from `seed`.
    pub fn new(seed: u64) -> TicketTable {
        TicketTable {
            tickets: HashMap::new(),
            last_number: seed,
            issued_bytes: 0,
        }
    }

    /// Stores a request under a new ticket and returns its number; `None` if there is no room for it.
    pub fn issue(&mut self, mut request: NewRequest, now: Instant) -> Option<u64> {
        if !self.has_room_for(&request) {
            self.remove_expired(now);
        }
        if !self.has_room_for(&request) {
            return None;
        }
        // The statement may be a small part of a long message.
        request.statement = Bytes::copy_from_slice(&request.statement);
        self.last_number = self.last_number.wrapping_add(TICKET_NUMBER_STEP);
        self.insert(self.last_number, TicketState::Issued(Box::new(request)));
        Some(self.last_number)
    }

    /// Returns the request of a ticket, only once.
    pub fn redeem(&mut self, number: u64) -> Result<NewRequest, RedeemError> {
        match self.remove(number).ok_or(RedeemError::Unknown)? {
            TicketState::Issued(request) => {
                let cancel_token = request.cancel_token.clone();
                self.insert(
                    number,
                    TicketState::Redeemed(cancel_token, request.deadline),
                );
                Ok(*request)
            }
            redeemed => {
                self.insert(number, redeemed);
                Err(RedeemError::Redeemed)
            }
        }
    }

    /// Removes a ticket.
    pub fn remove(&mut self, number: u64) -> Option<TicketState> {
        let state = self.tickets.remove(&number)?;
        self.issued_bytes -= issued_bytes(&state);
        Some(state)
    }

    fn insert(&mut self, number: u64, state: TicketState) {
        self.issued_bytes += issued_bytes(&state);
        self.tickets.insert(number, state);
    }

    fn has_room_for(&self, request: &NewRequest) -> bool {
        let issued_bytes = self.issued_bytes + request.statement.len();
        self.tickets.len() < MAX_TICKETS && issued_bytes <= MAX_ISSUED_BYTES
    }

    fn remove_expired(&mut self, now: Instant) {
        self.tickets.retain(|_, state| match state {
            TicketState::Issued(request) => now < request.deadline,
            TicketState::Redeemed(_, deadline) => now < *deadline,
        });
        self.issued_bytes = self.tickets.values().map(issued_bytes).sum();
    }
}
