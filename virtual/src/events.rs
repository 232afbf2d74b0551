//! The event queue, ordered by due time and, for equal times, by order of scheduling.

use crate::faults::Fault;
use sedgebeam_core::{EngineId, Event, Micros, Outcome, RequestId, ZoneId};
use std::collections::BTreeMap;

/// An event that is scheduled for a later time.
pub(crate) enum ScheduledEvent {
    /// An event reaches a gateway, unless the gateway has restarted in the meantime.
    Deliver {
        gateway: usize,
        incarnation: u32,
        event: Box<Event>,
    },
    /// An attempt ends without an answer, unless it has already ended.
    AttemptFails {
        request: RequestId,
        attempt_no: u32,
        outcome: Outcome,
    },
    /// The latest time for the final answer to a request has passed.
    AnswerOverdue(RequestId),
    Fault(Fault),
    /// Engines that were draining are removed.
    EnginesRemoved(Vec<EngineId>),
    GatewayStarts(usize),
    PartitionHeals(ZoneId),
}

/// Scheduled events. One counter numbers both events and requests, so that a seed determines the whole run.
#[derive(Default)]
pub(crate) struct EventQueue {
    scheduled: BTreeMap<(Micros, u64), ScheduledEvent>,
    last_number: u64,
}

impl EventQueue {
    pub fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        let number = self.next_number();
        self.scheduled.insert((at, number), event);
    }

    /// Removes and returns the first event that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<ScheduledEvent> {
        let first = self.scheduled.first_entry()?;
        let (at, _) = *first.key();
        (at <= now).then(|| first.remove())
    }

    /// Returns a number that was not returned before.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
