//! How many engines a query may ask for their load, by what asking costs.

/// What asking one engine more is taken to bring, as a share of the request's worth: a guess, of which no
/// other value was tried.
const GAIN: f64 = 0.02;
/// Engines asked at once at the most.
const MOST: usize = 3;

/// Engines that a request may ask at once, where the price of a probe is in mean requests' worth.
pub fn probe_count(price: f64, worth: f64, mean_worth: f64) -> usize {
    if price <= 0.0 || mean_worth <= 0.0 {
        return MOST;
    }
    let pays = GAIN * worth / (mean_worth * price);
    (pays as usize).min(MOST)
}

/// Whether asking is so cheap that what still waits may ask others over and over.
pub fn may_probe_repeatedly(probe_count: usize) -> bool {
    probe_count >= MOST
}
