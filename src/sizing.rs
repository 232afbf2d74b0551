//! What follows from the settings alone: the size of the fleet against that of its queries.

use crate::interface::{Class, Settings, Tenant};
use sedgebeam_fleet::slow_start::SlowStart;
use sedgebeam_fleet::{ConcurrencyLimit, EjectionPolicy};

/// Threads out a core, over all gateways, that an engine under pressure gets (DESIGN).
pub(crate) const THREADS_PER_CORE: f64 = 2.0;
/// Own threads beyond this multiple of the budget are pressure by themselves: the signs come late.
pub(crate) const OWN_EXCESS: f64 = 2.0;
/// Least multiple of its part that a gateway may have out: enough to hear when a crowd is over.
const LEAST_PART: f64 = 0.25;
/// Most multiple of all.
const MOST_PARTS: f64 = 8.0;
/// Standard deviations of a gateway's own traffic that it may have out beyond its part.
const CHANCE: f64 = 0.667;
/// The lightest query takes about this part of its time limit.
const LIGHTEST_PART: f64 = 0.25;

/// Shares of tenants where told, else all alike; last those of no known tenant.
pub(crate) fn shares(tenants: &[Tenant]) -> Vec<f64> {
    let told = tenants.iter().any(|tenant| tenant.share > 0.0);
    let share = |tenant: &Tenant| if told { tenant.share } else { 1.0 };
    tenants.iter().map(share).chain([1.0]).collect()
}

impl Settings {
    /// Cores of the largest kind of engine.
    fn most_cores(&self) -> f64 {
        let cores = self.kinds.iter().map(|kind| kind.cores);
        cores.fold(1.0, f64::max)
    }

    pub(crate) fn all_gateways(&self) -> f64 {
        f64::from(self.gateways.max(1))
    }

    /// Requests a second that come to each gateway, as far as tenants' shares tell; zero where they do not.
    fn usual_rate(&self) -> f64 {
        let rates = self
            .tenants
            .iter()
            .map(|tenant| tenant.requests_per_second.max(0.0));
        rates.sum::<f64>() / self.all_gateways()
    }

    /// How much of the fleet a gateway may have out. Engines with a line for memory bound themselves what they run.
    pub(crate) fn multiple(&self) -> ConcurrencyLimit {
        let bounds = if self.queues_for_memory {
            (OWN_EXCESS, MOST_PARTS)
        } else {
            (LEAST_PART, OWN_EXCESS)
        };
        ConcurrencyLimit::new(OWN_EXCESS, bounds, self.usual_rate())
    }

    /// The most of that, for a gateway whose part is so many threads: what engines bear of all together, and what its own
    /// traffic scatters by chance, which is more the fewer of the heaviest queries a part holds.
    pub(crate) fn most_parts(&self, part: f64) -> f64 {
        if self.queues_for_memory {
            return MOST_PARTS;
        }
        let heaviest = self.heaviest();
        // One query must fit an engine, whatever its size.
        let whole = heaviest / (self.most_cores() * THREADS_PER_CORE);
        let chance = (heaviest / part.max(f64::MIN_POSITIVE)).sqrt();
        (1.0 + CHANCE * chance).clamp(whole.max(1.0), MOST_PARTS.max(whole))
    }

    /// A gateway's part of an engine is less than its heaviest query: its own counts say next to nothing of
    /// the engine's load, and what is told must.
    pub(crate) fn small_part(&self) -> bool {
        self.most_cores() * THREADS_PER_CORE < self.heaviest() * self.all_gateways()
    }

    /// Threads of the heaviest class.
    fn heaviest(&self) -> f64 {
        let threads = self.in_use().map(|place| self.classes[place].threads);
        threads.fold(1.0, f64::max)
    }

    pub(crate) fn warming(&self) -> SlowStart {
        SlowStart {
            initial_capacity: self.start_capacity,
            warm_up_us: self.warm_after.0,
            overload_factor: self.overload_multiple,
            window_us: self.overload_window.0,
            gateway_count: self.all_gateways(),
        }
    }

    /// Rests of engines that are tried with the lightest query.
    pub(crate) fn rests(&self) -> EjectionPolicy {
        let work = |class: &Class| class.threads.max(1.0) * class.on_time.0 as f64 / 1e6;
        let classes = self.in_use().map(|place| &self.classes[place]);
        let lightest = classes.map(work).fold(f64::MAX, f64::min) * LIGHTEST_PART;
        let (gateways, cores) = (self.all_gateways(), self.most_cores());
        EjectionPolicy::new(gateways, cores, lightest, self.small_part())
    }
}
