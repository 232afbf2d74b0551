//! How many engines a request may probe for their load, given what a probe costs.

/// Expected benefit of probing one more engine, as a share of the request's worth.
const PROBE_BENEFIT: f64 = 0.02;
const MAX_CONCURRENT_PROBES: usize = 3;

/// Returns how many engines a request may probe at once. `probe_cost` is in units of the mean worth
/// of a request.
pub fn probe_count(probe_cost: f64, worth: f64, mean_worth: f64) -> usize {
    if probe_cost <= 0.0 || mean_worth <= 0.0 {
        return MAX_CONCURRENT_PROBES;
    }
    let affordable_probes = PROBE_BENEFIT * worth / (mean_worth * probe_cost);
    (affordable_probes as usize).min(MAX_CONCURRENT_PROBES)
}

/// Whether probes are cheap enough for a waiting request to keep probing further engines.
pub fn may_probe_repeatedly(probe_count: usize) -> bool {
    probe_count >= MAX_CONCURRENT_PROBES
}
