//! Values derived from the settings alone, which depend on the number of gateways and on the size of engines
//! relative to that of queries.

use crate::interface::{Class, Settings, Tenant};
use sedgebeam_fleet::slow_start::SlowStart;
use sedgebeam_fleet::{ConcurrencyLimit, EjectionPolicy};

/// Threads per core that all gateways together may have in flight on an engine under pressure.
pub(crate) const THREADS_PER_CORE: f64 = 2.0;
/// Multiple of its thread budget that a gateway may have in flight on an engine without signs of pressure. It
/// is limited because these signs come late.
pub(crate) const OWN_BUDGET_FACTOR: f64 = 2.0;
/// Smallest multiple of its share that a gateway may have in flight: enough to notice the end of congestion.
const MIN_SHARE_MULTIPLE: f64 = 0.25;
/// Largest multiple of its share that any gateway may have in flight.
const MAX_SHARE_MULTIPLE: f64 = 8.0;
/// Number of standard deviations of its own traffic that a gateway may have in flight beyond its share.
const TRAFFIC_DEVIATIONS: f64 = 0.667;
/// Share of its time limit that the lightest query is assumed to take.
const LIGHTEST_QUERY_SHARE: f64 = 0.25;

/// The tenants' shares if configured, else equal ones. The last entry is for requests without a known tenant.
pub(crate) fn tenant_shares(tenants: &[Tenant]) -> Vec<f64> {
    let configured = tenants.iter().any(|tenant| tenant.share > 0.0);
    let share = |tenant: &Tenant| if configured { tenant.share } else { 1.0 };
    tenants.iter().map(share).chain([1.0]).collect()
}

impl Class {
    /// Thread seconds of a query that takes all of the time in which it should be answered.
    pub(crate) fn target_thread_seconds(&self) -> f64 {
        self.threads.max(1.0) * self.on_time.0 as f64 / 1e6
    }
}

impl Settings {
    /// Cores of the largest kind of engine.
    fn max_cores(&self) -> f64 {
        let cores = self.kinds.iter().map(|kind| kind.cores);
        cores.fold(1.0, f64::max)
    }

    /// Number of gateways, at least 1.
    pub(crate) fn gateway_count(&self) -> f64 {
        f64::from(self.gateways.max(1))
    }

    /// Requests per second that each gateway expects, by the tenants' settings; zero if unknown.
    fn expected_requests_per_second(&self) -> f64 {
        let rates = self
            .tenants
            .iter()
            .map(|tenant| tenant.requests_per_second.max(0.0));
        rates.sum::<f64>() / self.gateway_count()
    }

    /// The initial concurrency limit of a gateway. Its bounds are wider if engines queue for memory, as these
    /// engines limit what they run by themselves.
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

    /// Upper bound of the concurrency limit of a gateway whose share of the fleet is `share_threads`. It is
    /// what the engines can take from all gateways, plus the random variation of this gateway's traffic. The
    /// fewer heavy queries the share has room for, the larger is that variation.
    pub(crate) fn max_share_multiple(&self, share_threads: f64) -> f64 {
        if self.queues_for_memory {
            return MAX_SHARE_MULTIPLE;
        }
        let heaviest_threads = self.heaviest_class_threads();
        // One query must fit an engine, whatever its size.
        let one_query_multiple = heaviest_threads / (self.max_cores() * THREADS_PER_CORE);
        let relative_deviation = (heaviest_threads / share_threads.max(f64::MIN_POSITIVE)).sqrt();
        (1.0 + TRAFFIC_DEVIATIONS * relative_deviation).clamp(
            one_query_multiple.max(1.0),
            MAX_SHARE_MULTIPLE.max(one_query_multiple),
        )
    }

    /// Whether a gateway's share of an engine is less than its heaviest query. If so, the gateway's own
    /// attempts in flight say little about the engine's load, and the reported load decides.
    pub(crate) fn has_small_share(&self) -> bool {
        self.max_cores() * THREADS_PER_CORE < self.heaviest_class_threads() * self.gateway_count()
    }

    /// Threads of a query of the heaviest active class.
    fn heaviest_class_threads(&self) -> f64 {
        let threads = self
            .active_classes()
            .map(|index| self.classes[index].threads);
        threads.fold(1.0, f64::max)
    }

    /// Limits for sends to cold engines.
    pub(crate) fn slow_start(&self) -> SlowStart {
        SlowStart {
            initial_capacity: self.start_capacity,
            warm_up_us: self.warm_after.0,
            overload_factor: self.overload_multiple,
            window_us: self.overload_window.0,
            gateway_count: self.gateway_count(),
        }
    }

    /// Durations of ejections. They depend on the work of the lightest query, with which ejected engines are
    /// tried.
    pub(crate) fn ejection_policy(&self) -> EjectionPolicy {
        let classes = self.active_classes().map(|index| &self.classes[index]);
        let lightest_thread_seconds = classes
            .map(Class::target_thread_seconds)
            .fold(f64::MAX, f64::min)
            * LIGHTEST_QUERY_SHARE;
        let (gateways, cores) = (self.gateway_count(), self.max_cores());
        EjectionPolicy::new(
            gateways,
            cores,
            lightest_thread_seconds,
            self.has_small_share(),
        )
    }
}
