//! How much of the fleet one gateway may have out at once, following what answers tell of crowds.

/// Step of the multiple, as a log ratio: down for an answer that tells of a crowd, this share of it up for
/// another, so that it settles where a fifth tell of one; and the most it grows to.
const STEP: f64 = 0.1;
const RISE: f64 = 0.25;
const MOST: f64 = 8.0;

/// How many times its part of the fleet a gateway may have out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Multiple {
    pub now: f64,
    least: f64,
}

impl Multiple {
    /// It starts at so much and never falls below the least.
    pub fn new(start: f64, least: f64) -> Multiple {
        Multiple { now: start, least }
    }

    /// A sign of a crowd, or of none.
    pub fn follow(&mut self, crowded: bool) {
        let step = STEP * if crowded { -1.0 } else { RISE };
        self.now = (self.now * step.exp()).clamp(self.least, MOST);
    }
}
