//! What the simulation needs of a gateway: the product's, or one that a test puts in its place.

use sedgebeam_core::{Action, Event, Gateway, Micros, Settings};

/// Decides what a gateway does.
pub trait GatewayLogic {
    /// Takes what happened and returns what to do, in order.
    fn handle(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action>;

    /// Takes new settings, where it can.
    fn reconfigure(&mut self, _settings: Settings) {}
}

impl GatewayLogic for Gateway {
    fn handle(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        Gateway::handle(self, now, events)
    }

    fn reconfigure(&mut self, settings: Settings) {
        Gateway::reconfigure(self, settings);
    }
}
