//! Work that reached an engine lately, which tells whether it is overloaded while cold.

use sedgebeam_core::Micros;
use std::collections::VecDeque;

#[derive(Clone, Debug)]
struct Arrival {
    at: Micros,
    /// Core seconds.
    work: f64,
    sender_knew_start: bool,
}

/// Arrivals within the window in which the settings count them.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentArrivals(VecDeque<Arrival>);

impl RecentArrivals {
    pub fn add(&mut self, at: Micros, work: f64, sender_knew_start: bool) {
        self.0.push_back(Arrival {
            at,
            work,
            sender_knew_start,
        });
    }

    /// Drops what came before the window that ends now.
    pub fn expire(&mut self, now: Micros, window: Micros) {
        let is_old = |arrival: &Arrival| arrival.at + window <= now;
        while self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Core seconds in all.
    pub fn work(&self) -> f64 {
        self.0.iter().map(|arrival| arrival.work).sum()
    }

    /// Share of the work that was sent by gateways that knew of the engine's start.
    pub fn informed_share(&self) -> f64 {
        let informed = self.0.iter().filter(|arrival| arrival.sender_knew_start);
        let informed: f64 = informed.map(|arrival| arrival.work).sum();
        informed / self.work().max(1e-9)
    }
}
