//! The search for the highest sustained rate; it does no I/O, so that it can be tested separately.

/// Raises the rate until it is no longer sustained, then bisects between the highest sustained and the lowest
/// missed rate.
#[derive(Debug)]
pub struct RateSearch {
    highest_sustained: f64,
    lowest_missed: Option<f64>,
    next_rate: f64,
    /// Remaining steps, counted from the first missed rate on, including that one.
    remaining_steps: u32,
}

/// Factor by which the rate grows as long as it is sustained.
const GROWTH_FACTOR: f64 = 1.5;

impl RateSearch {
    pub fn new(first_rate: f64, steps: u32) -> RateSearch {
        RateSearch {
            highest_sustained: 0.0,
            lowest_missed: None,
            next_rate: first_rate,
            remaining_steps: steps,
        }
    }

    /// The rate to try next; `None` when the search is complete.
    pub fn next_rate(&self) -> Option<f64> {
        (self.remaining_steps > 0).then_some(self.next_rate)
    }

    /// Records whether the rate that was tried last was sustained.
    pub fn record(&mut self, is_sustained: bool) {
        if is_sustained {
            self.highest_sustained = self.next_rate;
        } else {
            self.lowest_missed = Some(self.next_rate);
        }
        self.next_rate = match self.lowest_missed {
            None => self.next_rate * GROWTH_FACTOR,
            Some(missed) => {
                self.remaining_steps = self.remaining_steps.saturating_sub(1);
                (self.highest_sustained + missed) / 2.0
            }
        };
    }

    /// The highest rate that was sustained so far; zero if none was.
    pub fn highest_sustained(&self) -> f64 {
        self.highest_sustained
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_highest_rate_is_found_within_the_precision_of_the_steps() {
        for capacity in [130.0, 1000.0, 4321.0, 90_000.0] {
            let mut search = RateSearch::new(500.0, 6);
            let mut tried_rates = 0;
            while let Some(rate) = search.next_rate() {
                search.record(rate <= capacity);
                tried_rates += 1;
            }
            assert!(
                search.highest_sustained() <= capacity
                    && search.highest_sustained() > capacity * 0.93,
                "{search:?}"
            );
            assert!(tried_rates < 25);
        }
    }
}
