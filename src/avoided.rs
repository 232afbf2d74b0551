//! What a gateway tells of the engines that it sets aside.

use crate::interface::{EngineId, Micros};
use crate::policy::Gateway;

impl Gateway {
    /// Engines that are listed and set aside, and until when if nothing is heard of them.
    pub fn avoided(&self) -> Vec<(EngineId, Micros)> {
        let listed = self.engines.iter().filter(|(_, engine)| engine.listed());
        let until = listed.map(|(id, engine)| {
            let until = engine.health.rests_until(engine.attempts_out > 0);
            (*id, Micros(until))
        });
        until.filter(|(_, until)| *until > self.now).collect()
    }
}
