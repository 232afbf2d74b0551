//! Values derived from the settings alone, from the size of the fleet relative to its queries.

use crate::interface::{Class, Settings, Tenant};
use sedgebeam_fleet::slow_start::SlowStart;
use sedgebeam_fleet::{ConcurrencyLimit, EjectionPolicy};

/// Threads in flight per core, over all gateways, on an engine under pressure.
pub(crate) const THREADS_PER_CORE: f64 = 2.0;
/// Limit of own threads as a multiple of the budget while there is no pressure, as signs of pressure come late.
pub(crate) const OWN_BUDGET_FACTOR: f64 = 2.0;
/// Least multiple of its share that a gateway may have in flight: enough to notice the end of congestion.
const MIN_SHARE_MULTIPLE: f64 = 0.25;
/// Largest multiple for any gateway.
const MAX_SHARE_MULTIPLE: f64 = 8.0;
/// Standard deviations of its own traffic that a gateway may have in flight beyond its share.
const TRAFFIC_DEVIATIONS: f64 = 0.667;
/// The lightest query takes about this share of its time limit.
const LIGHTEST_QUERY_SHARE: f64 = 0.25;

/// The tenants' shares if configured, else equal ones; the last is for requests without a known tenant.
pub(crate) fn tenant_shares(tenants: &[Tenant]) -> Vec<f64> {
    let configured = tenants.iter().any(|tenant| tenant.share > 0.0);
    let share = |tenant: &Tenant| if configured { tenant.share } else { 1.0 };
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

    /// Requests per second at each gateway by the tenants' settings; zero if unknown.
    fn expected_requests_per_second(&self) -> f64 {
        let rates = self
            .tenants
            .iter()
            .map(|tenant| tenant.requests_per_second.max(0.0));
        rates.sum::<f64>() / self.gateway_count()
    }

    /// Concurrency limit of a gateway. Engines that queue for memory limit themselves what they run, so that the
    /// bounds are wider.
    pub(crate) fn concurrency_limit(&self) -> ConcurrencyLimit {
        let bounds = if self.queues_for_memory {
            (OWN_BUDGET_FACTOR, MAX_SHARE_MULTIPLE)
        } else {
            (MIN_SHARE_MULTIPLE, OWN_BUDGET_FACTOR)
        };
        ConcurrencyLimit::new(
            OWN_BUDGET_FACTOR,
            bounds,
            self.expected_requests_per_second(),
        )
    }

    /// Largest concurrency limit of a gateway whose share is `share_threads`: what the engines can take from all
    /// gateways, plus the random variation of its own traffic, which grows as the share holds fewer heavy queries.
    pub(crate) fn max_share_multiple(&self, share_threads: f64) -> f64 {
        if self.queues_for_memory {
            return MAX_SHARE_MULTIPLE;
        }
        let heaviest = self.heaviest_class_threads();
        // One query must fit an engine, whatever its size.
        let one_query = heaviest / (self.max_cores() * THREADS_PER_CORE);
        let deviation = (heaviest / share_threads.max(f64::MIN_POSITIVE)).sqrt();
        (1.0 + TRAFFIC_DEVIATIONS * deviation)
            .clamp(one_query.max(1.0), MAX_SHARE_MULTIPLE.max(one_query))
    }

    /// Whether a gateway's share of an engine is less than its heaviest query. Then its own counts say little about
    /// the engine's load, and reported load decides.
    pub(crate) fn has_small_share(&self) -> bool {
        self.max_cores() * THREADS_PER_CORE < self.heaviest_class_threads() * self.gateway_count()
    }

    fn heaviest_class_threads(&self) -> f64 {
        let threads = self
            .active_classes()
            .map(|index| self.classes[index].threads);
        threads.fold(1.0, f64::max)
    }

    pub(crate) fn slow_start(&self) -> SlowStart {
        SlowStart {
            initial_capacity: self.start_capacity,
            warm_up_us: self.warm_after.0,
            overload_factor: self.overload_multiple,
            window_us: self.overload_window.0,
            gateway_count: self.gateway_count(),
        }
    }

    /// Ejection policy; ejected engines are tried with the lightest query.
    pub(crate) fn ejection_policy(&self) -> EjectionPolicy {
        let mean_thread_seconds =
            |class: &Class| class.threads.max(1.0) * class.on_time.0 as f64 / 1e6;
        let classes = self.active_classes().map(|index| &self.classes[index]);
        let lightest =
            classes.map(mean_thread_seconds).fold(f64::MAX, f64::min) * LIGHTEST_QUERY_SHARE;
        let (gateways, cores) = (self.gateway_count(), self.max_cores());
        EjectionPolicy::new(gateways, cores, lightest, self.has_small_share())
    }
}
