//! The work that an engine received recently, which determines whether a cold engine is overloaded.

use sedgebeam_core::Micros;
use std::collections::VecDeque;

#[derive(Clone, Debug)]
struct Arrival {
    at: Micros,
    /// In core seconds.
    work: f64,
    sender_knew_latest_start: bool,
}

/// Arrivals within the overload window of the settings, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentArrivals(VecDeque<Arrival>);

impl RecentArrivals {
    pub fn add(&mut self, at: Micros, work: f64, sender_knew_latest_start: bool) {
        self.0.push_back(Arrival {
            at,
            work,
            sender_knew_latest_start,
        });
    }

    /// Removes arrivals that are older than the window.
    pub fn expire(&mut self, now: Micros, window: Micros) {
        let is_expired = |arrival: &Arrival| arrival.at + window <= now;
        while self.0.front().is_some_and(is_expired) {
            self.0.pop_front();
        }
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Total work in core seconds.
    pub fn work(&self) -> f64 {
        self.0.iter().map(|arrival| arrival.work).sum()
    }

    /// Share of the work that was sent by gateways that knew of the engine's latest start.
    pub fn informed_share(&self) -> f64 {
        let informed = self
            .0
            .iter()
            .filter(|arrival| arrival.sender_knew_latest_start);
        let informed: f64 = informed.map(|arrival| arrival.work).sum();
        informed / self.work().max(1e-9)
    }
}
