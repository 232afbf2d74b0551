//! Selects the subset of engines that one of many gateways sends to, and estimates how congested
//! each engine is.
//!
//! A gateway among hundreds that spreads its requests over all engines gets a response from each
//! only about every ten seconds: it can't tell an engine that swaps memory from an idle one, and
//! random placement leaves some engines with three times the mean load. Each gateway therefore
//! sends to a subset, small enough that it gets a response from each engine about once a second,
//! and replaces engines that respond slowly. The subsets of all gateways together cover the engines
//! evenly.

/// Target time between responses of each engine of the subset, in seconds: well under the time that
/// a heavy query takes, since by then what is known of an engine is out of date.
const TARGET_RESPONSE_INTERVAL_S: f64 = 1.0;
/// With fewer engines than this, two congested ones would leave no choice.
const MIN_SUBSET_SIZE: usize = 4;
/// Maximum number of different strides over the ring of engines. When gateways replace an engine,
/// its load is spread over as many others.
const MAX_STRIDES: usize = 5;
/// Half-life of the logarithm of an observed slowdown, in seconds.
const CONGESTION_HALF_LIFE_S: f64 = 2.0;
/// Weight of a new response against the decayed estimate.
const SAMPLE_WEIGHT: f64 = 0.5;
/// Upper bound of the logarithm of the slowdown that one response reports.
const MAX_LOG_SLOWDOWN: f64 = 3.0;

/// How slow an engine's recent responses were, relative to the time that their work takes on an
/// idle engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Congestion {
    log_slowdown: f64,
    updated_at: u64,
}

impl Congestion {
    fn log_slowdown(&self, now: u64) -> f64 {
        // Shortcut: each decision looks at all engines, and most have no estimate.
        if self.log_slowdown == 0.0 {
            return 0.0;
        }
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.log_slowdown * 0.5_f64.powf(elapsed_s / CONGESTION_HALF_LIFE_S)
    }

    /// Records a response that took `slowdown` times as long as its work takes on an idle engine.
    pub fn record(&mut self, now: u64, slowdown: f64) {
        let sample = slowdown.max(1.0).ln().min(MAX_LOG_SLOWDOWN);
        let decayed = self.log_slowdown(now);
        (self.log_slowdown, self.updated_at) = (decayed + SAMPLE_WEIGHT * (sample - decayed), now);
    }

    /// Estimates how many times as long as on an idle engine a response will take; 1 without an
    /// estimate.
    pub fn slowdown(&self, now: u64) -> f64 {
        let log_slowdown = self.log_slowdown(now);
        if log_slowdown == 0.0 {
            1.0
        } else {
            log_slowdown.exp()
        }
    }
}

/// Number of engines in the subset of a gateway that receives `request_rate` requests per second.
pub fn subset_size(request_rate: f64, engine_count: usize) -> usize {
    let observable_engines = (request_rate * TARGET_RESPONSE_INTERVAL_S).ceil() as usize;
    observable_engines.max(MIN_SUBSET_SIZE).min(engine_count)
}

fn greatest_common_divisor(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        greatest_common_divisor(b, a % b)
    }
}

/// Positions on the ring of engines, in the order in which a gateway adds them to its subset.
/// Gateways with the same stride start at even distances, so that prefixes of their orders of any
/// length cover the ring evenly.
pub fn selection_order(
    gateway_index: usize,
    gateway_count: usize,
    engine_count: usize,
) -> impl Iterator<Item = usize> {
    let stride_count = MAX_STRIDES.min(gateway_count).max(1);
    let (stride_index, start_index) = (gateway_index % stride_count, gateway_index / stride_count);
    let gateways_per_stride = gateway_count.div_ceil(stride_count).max(1);
    let start = start_index * engine_count / gateways_per_stride;
    let is_coprime = |stride: &usize| greatest_common_divisor(*stride, engine_count.max(1)) == 1;
    let stride = (1 + stride_index * engine_count / stride_count..)
        .find(is_coprime)
        .unwrap_or(1);
    (0..engine_count).map(move |step| (start + step * stride) % engine_count)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn subsets_of_all_gateways_cover_the_engines_evenly() {
        for (gateway_count, engine_count) in [(300, 80), (270, 79), (100, 30), (350, 300), (64, 7)]
        {
            let subset_size = subset_size(7.0, engine_count);
            let mut covered = vec![0; engine_count];
            for gateway_index in 0..gateway_count {
                selection_order(gateway_index, gateway_count, engine_count)
                    .take(subset_size)
                    .for_each(|position| covered[position] += 1);
            }
            let mean = (gateway_count * subset_size) as f64 / engine_count as f64;
            let (min, max) = (covered.iter().min(), covered.iter().max());
            let is_near_mean = |count: Option<&usize>| {
                count.is_some_and(|count| (*count as f64 - mean).abs() <= 6.0)
            };
            assert!(
                is_near_mean(min) && is_near_mean(max),
                "{gateway_count} {engine_count}: {covered:?}"
            );
        }
    }

    #[test]
    fn selection_order_visits_every_engine_once() {
        for engine_count in 1..=100 {
            for gateway_index in [0, 1, 2, 3, 4, 17, 299] {
                let mut positions: Vec<usize> =
                    selection_order(gateway_index, 300, engine_count).collect();
                positions.sort();
                assert_eq!(positions, (0..engine_count).collect::<Vec<_>>());
            }
        }
    }

    #[test]
    fn congestion_is_detected_at_once_and_decays_within_seconds() {
        let mut congestion = Congestion::default();
        congestion.record(0, 1.2);
        assert!(congestion.slowdown(0) < 1.2);
        congestion.record(0, 9.0);
        congestion.record(100_000, 9.0);
        assert!(congestion.slowdown(100_000) > 4.0);
        assert!(congestion.slowdown(10_000_000) < 1.2);
        assert!(congestion.slowdown(u64::MAX) >= 1.0);
    }
}
