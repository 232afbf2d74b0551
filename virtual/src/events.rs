//! The event queue: what is scheduled, ordered by time and, at one time, by when it was scheduled.

use crate::faults::Fault;
use sedgebeam_core::{EngineId, Event, Micros, Outcome, RequestId, ZoneId};
use std::collections::BTreeMap;

/// Something that is scheduled to happen.
pub(crate) enum ScheduledEvent {
    /// An event reaches a gateway, unless that has restarted since.
    Deliver {
        gateway: usize,
        incarnation: u32,
        event: Box<Event>,
    },
    /// An attempt ends without an answer, unless it has ended before.
    AttemptFails {
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
    },
    /// A request must have had its final answer by now.
    AnswerOverdue(RequestId),
    Fault(Fault),
    /// Engines that were draining are gone.
    EnginesRemoved(Vec<EngineId>),
    GatewayStarts(usize),
    PartitionHeals(ZoneId),
}

/// Scheduled events. One counter numbers both events and requests, so that a seed names one run.
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

    /// Removes the first event that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<ScheduledEvent> {
        let first = self.scheduled.first_entry()?;
        let (at, _) = *first.key();
        (at <= now).then(|| first.remove())
    }

    /// A number that was not given out before.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
