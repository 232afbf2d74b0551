//! The search for the highest rate that is held: free of I/O, so that it can be tested by itself.

/// Grows a rate until it is not held any more, and then halves the distance in between.
#[derive(Debug)]
pub struct RateSearch {
    held: f64,
    missed: Option<f64>,
    next: f64,
    /// Steps that are left once a rate has been missed.
    steps: u32,
}

/// By this factor a rate grows while it is held.
const GROWTH: f64 = 1.5;

impl RateSearch {
    pub fn new(first: f64, steps: u32) -> RateSearch {
        RateSearch {
            held: 0.0,
            missed: None,
            next: first,
            steps,
        }
    }

    /// The rate to try next; `None` once the search is over.
    pub fn next_rate(&self) -> Option<f64> {
        (self.steps > 0).then_some(self.next)
    }

    pub fn record(&mut self, held: bool) {
        if held {
            self.held = self.next;
        } else {
            self.missed = Some(self.next);
        }
        self.next = match self.missed {
            None => self.next * GROWTH,
            Some(missed) => {
                self.steps = self.steps.saturating_sub(1);
                (self.held + missed) / 2.0
            }
        };
    }

    /// The highest rate that was held.
    pub fn highest_sustained(&self) -> f64 {
        self.held
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_highest_rate_is_found_to_within_its_steps() {
        for truth in [130.0, 1000.0, 4321.0, 90_000.0] {
            let mut search = RateSearch::new(500.0, 6);
            let mut tries = 0;
            while let Some(rate) = search.next_rate() {
                search.record(rate <= truth);
                tries += 1;
            }
            assert!(
                search.highest_sustained() <= truth && search.highest_sustained() > truth * 0.93,
                "{search:?}"
            );
            assert!(tries < 25);
        }
    }
}
