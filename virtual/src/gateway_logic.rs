//! The interface between the simulation and a gateway: the product's gateway or a substitute in a test.

use sedgebeam_core::{Action, Event, Gateway, Micros, Settings};

/// The decisions of a gateway.
pub trait GatewayLogic {
    /// Handles events and returns the actions to perform, in order.
    fn handle(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action>;

    /// Applies new settings; ignored by default.
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
