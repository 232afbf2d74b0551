//! What follows from the settings alone: the size of the fleet against that of its queries.

use crate::interface::{Class, Settings, Tenant};
use sedgebeam_fleet::cold::Warming;
use sedgebeam_fleet::{Multiple, Rests};

/// Threads out a core, over all gateways, that an engine under pressure gets (DESIGN).
pub(crate) const THREADS_PER_CORE: f64 = 2.0;
/// Own threads beyond this multiple of the budget are pressure by themselves: the signs come late.
pub(crate) const OWN_BUDGET_FACTOR: f64 = 2.0;
/// Least multiple of its part that a gateway may have out: enough to hear when a crowd is over.
const MIN_SHARE_MULTIPLE: f64 = 0.25;
/// Most multiple of all.
const MAX_SHARE_MULTIPLE: f64 = 8.0;
/// Standard deviations of a gateway's own traffic that it may have out beyond its part.
const TRAFFIC_DEVIATIONS: f64 = 0.667;
/// The lightest query takes about this part of its time limit.
const LIGHTEST_QUERY_SHARE: f64 = 0.25;

/// Shares of tenants where told, else all alike; last those of no known tenant.
pub(crate) fn tenant_shares(tenants: &[Tenant]) -> Vec<f64> {
    let told = tenants.iter().any(|tenant| tenant.share > 0.0);
    let share = |tenant: &Tenant| if told { tenant.share } else { 1.0 };
    tenants.iter().map(share).chain([1.0]).collect()
}

impl Settings {
    /// Cores of the largest kind of engine.
    fn max_cores(&self) -> f64 {
        let cores = self.kinds.iter().map(|kind| kind.cores);
        cores.fold(1.0, f64::max)
    }

    pub(crate) fn gateway_count(&self) -> f64 {
        f64::from(self.gateways.max(1))
    }

    /// Requests a second that come to each gateway, as far as tenants' shares tell; zero where they do not.
    fn expected_rate(&self) -> f64 {
        let rates = self
            .tenants
            .iter()
            .map(|tenant| tenant.requests_per_second.max(0.0));
        rates.sum::<f64>() / self.gateway_count()
    }

    /// How much of the fleet a gateway may have out. Engines with a line for memory bound themselves what they run.
    pub(crate) fn concurrency_limit(&self) -> Multiple {
        let bounds = if self.queues_for_memory {
            (OWN_BUDGET_FACTOR, MAX_SHARE_MULTIPLE)
        } else {
            (MIN_SHARE_MULTIPLE, OWN_BUDGET_FACTOR)
        };
        Multiple::new(OWN_BUDGET_FACTOR, bounds, self.expected_rate())
    }

    /// The most of that, for a gateway whose part is so many threads: what engines bear of all together, and what its own
    /// traffic scatters by chance, which is more the fewer of the heaviest queries a part holds.
    pub(crate) fn max_share_multiple(&self, part: f64) -> f64 {
        if self.queues_for_memory {
            return MAX_SHARE_MULTIPLE;
        }
        let heaviest = self.heaviest_class_threads();
        // One query must fit an engine, whatever its size.
        let whole = heaviest / (self.max_cores() * THREADS_PER_CORE);
        let chance = (heaviest / part.max(f64::MIN_POSITIVE)).sqrt();
        (1.0 + TRAFFIC_DEVIATIONS * chance).clamp(whole.max(1.0), MAX_SHARE_MULTIPLE.max(whole))
    }

    /// A gateway's part of an engine is less than its heaviest query: its own counts say next to nothing of
    /// the engine's load, and what is told must.
    pub(crate) fn has_small_share(&self) -> bool {
        self.max_cores() * THREADS_PER_CORE < self.heaviest_class_threads() * self.gateway_count()
    }

    /// Threads of the heaviest class.
    fn heaviest_class_threads(&self) -> f64 {
        let threads = self
            .active_classes()
            .map(|place| self.classes[place].threads);
        threads.fold(1.0, f64::max)
    }

    pub(crate) fn slow_start(&self) -> Warming {
        Warming {
            start: self.start_capacity,
            warm_after: self.warm_after.0,
            multiple: self.overload_multiple,
            window: self.overload_window.0,
            gateways: self.gateway_count(),
        }
    }

    /// Rests of engines that are tried with the lightest query.
    pub(crate) fn ejection_policy(&self) -> Rests {
        let work = |class: &Class| class.threads.max(1.0) * class.on_time.0 as f64 / 1e6;
        let classes = self.active_classes().map(|place| &self.classes[place]);
        let lightest = classes.map(work).fold(f64::MAX, f64::min) * LIGHTEST_QUERY_SHARE;
        let (gateways, cores) = (self.gateway_count(), self.max_cores());
        Rests::new(gateways, cores, lightest, self.has_small_share())
    }
}
