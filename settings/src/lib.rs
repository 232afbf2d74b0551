//! Decodes the settings object of a gateway and converts it to the settings of the decision module.
//!
//! A key that is absent or null has its default; an unknown key is ignored.

use miniserde::Deserialize;
use sedgebeam_core::{
    AttemptBudget, Class, ClassId, DedupScope, Effect, Kind, KindId, ListMode, LoadReport,
    LoadReportMode, Micros, Settings, Tenant, TenantId, ZoneId,
};

/// The settings object of a gateway, as decoded.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct GatewaySettings {
    balancers: Option<u32>,
    me: Option<u32>,
    services: Option<Vec<ServiceSettings>>,
    tenants: Option<Vec<TenantSettings>>,
    kinds: Option<Vec<String>>,
    zones: Option<Vec<String>>,
    zone: Option<String>,
    registry_mode: Option<String>,
    domain: Option<DomainSettings>,
    limits: Option<LimitSettings>,
    rules: Option<RuleSettings>,
    telemetry: Option<TelemetrySettings>,
    prices: Option<PriceSettings>,
    tick: Option<f64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct ServiceSettings {
    name: String,
    worth: Option<f64>,
    late_share: Option<f64>,
    on_time: Option<f64>,
    aim_stretch: Option<f64>,
    give_up: Option<f64>,
    effect: Option<String>,
    group: Option<String>,
    window: Option<f64>,
    fifo_by_key: Option<bool>,
    stream: Option<bool>,
    kinds_allowed: Option<Vec<String>>,
    confined_to: Option<Vec<String>>,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct TenantSettings {
    name: String,
    portion: Option<f64>,
    allowance_per_s: Option<f64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct DomainSettings {
    class_load: Option<Vec<bool>>,
    class_waits: Option<Vec<bool>>,
    threads_by_class: Option<Vec<f64>>,
    size_cores: Option<Vec<f64>>,
    size_mb: Option<Vec<f64>>,
    max_grant_share: Option<f64>,
    takes_grants: Option<bool>,
    on_shortage: Option<String>,
    priorities: Option<bool>,
    progress: Option<f64>,
    tells_cost: Option<bool>,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct LimitSettings {
    cancel: Option<bool>,
    max_attempts: Option<u32>,
    max_retry_after: Option<f64>,
    retry_after: Option<bool>,
    probes: Option<bool>,
    second_copies: Option<bool>,
    max_streams: Option<u32>,
    max_open: Option<u32>,
    connect_timeout: Option<f64>,
    conn_idle: Option<f64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct RuleSettings {
    answer_slack: Option<f64>,
    drain_grace: Option<f64>,
    fall_multiple: Option<f64>,
    overload_for: Option<f64>,
    start_capacity: Option<f64>,
    warm_after: Option<f64>,
    key_quiet: Option<f64>,
    extra_free: Option<f64>,
    extra_per_request: Option<f64>,
    look_back: Option<f64>,
}

/// Costs, in multiples of the mean worth of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct PriceSettings {
    probe: Option<f64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct TelemetrySettings {
    how: Option<String>,
}

/// The names behind the indexes of the decision module, for the translation of messages.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub classes: Vec<String>,
    /// How long a client waits before it gives up, by class.
    pub give_up: Vec<Micros>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    /// Whether engines report the cost of a query.
    pub reports_cost: bool,
}

/// Limits and timeouts of connections to engines. The decision module does not use them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// Maximum number of connections to one engine.
    pub max_per_engine: usize,
    /// Maximum number of connections to all engines.
    pub max_total: usize,
    /// Maximum number of concurrent streams on one connection.
    pub max_streams: usize,
    pub connect_timeout: Micros,
    pub idle_timeout: Micros,
    /// How many requests may be open at the same time.
    pub max_open_requests: usize,
}

/// The index of a name in a list; `None` for an empty name.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    let mut known_names = names.iter();
    known_names.position(|known| known == name && !name.is_empty())
}

pub fn millis_to_micros(millis: f64) -> Micros {
    Micros((millis * 1000.0).round().max(0.0) as u64)
}

pub fn micros_to_millis(micros: Micros) -> f64 {
    micros.0 as f64 / 1000.0
}

/// A load report from named values. The names are those of the settings or of the protocols of engines.
pub fn load_report<'a>(values: impl IntoIterator<Item = (&'a str, f64)>) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in values {
        match name {
            "active" | "inflight" => load.active_queries = Some(value),
            "waiting" | "queue" => load.queries_waiting_for_memory = Some(value),
            "cpu" | "util" => load.busy_cores_share = Some(value),
            "x0" => load.granted_memory_share = Some(value),
            _ => {}
        }
    }
    load
}

impl Names {
    pub fn class(&self, name: &str) -> Option<ClassId> {
        index_of(&self.classes, name).map(ClassId)
    }

    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        index_of(&self.tenants, name).map(TenantId)
    }

    pub fn kind(&self, name: &str) -> Option<KindId> {
        index_of(&self.kinds, name).map(KindId)
    }

    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        index_of(&self.zones, name).map(ZoneId)
    }
}

fn micros_or_zero(millis: Option<f64>) -> Micros {
    millis_to_micros(millis.unwrap_or_default())
}

fn copy_at<T: Copy>(values: &Option<Vec<T>>, index: usize) -> Option<T> {
    values.as_ref()?.get(index).copied()
}

fn slice_or_empty<T>(values: &Option<Vec<T>>) -> &[T] {
    values.as_deref().unwrap_or_default()
}

/// The indexes of the names that are known; `None` if no names are given, which means no restriction.
fn indexes_of(known: &[String], names: &Option<Vec<String>>) -> Option<Vec<usize>> {
    let names = names.as_ref()?;
    Some(
        names
            .iter()
            .filter_map(|name| index_of(known, name))
            .collect(),
    )
}

impl ServiceSettings {
    fn effect(&self) -> Effect {
        let effect = self.effect.as_deref().unwrap_or_default();
        match (effect, self.group.as_deref().unwrap_or_default()) {
            ("repeatable", _) => Effect::Repeatable,
            ("by_key", "zone") => Effect::Keyed(DedupScope::Zone),
            ("by_key", "cell") => Effect::Keyed(DedupScope::Cell),
            ("by_key", _) => Effect::Keyed(DedupScope::All),
            // A request whose effect is unknown is never sent twice.
            _ => Effect::Once,
        }
    }
}

/// Maximum number of connections from all dispatchers together to one engine, per core of the engine: twice the threads
/// that an engine runs on each core under load.
const CONNECTIONS_PER_CORE: f64 = 4.0;
/// Bounds of the connections of one dispatcher to one engine.
const MIN_CONNECTIONS_PER_ENGINE: usize = 2;
const MAX_CONNECTIONS_PER_ENGINE: usize = 24;

impl GatewaySettings {
    pub fn names(&self) -> Names {
        let domain = self.domain.as_ref();
        let services = slice_or_empty(&self.services).iter();
        let tenants = slice_or_empty(&self.tenants).iter();
        Names {
            classes: services
                .clone()
                .map(|service| service.name.clone())
                .collect(),
            give_up: services
                .map(|service| micros_or_zero(service.give_up))
                .collect(),
            tenants: tenants.map(|tenant| tenant.name.clone()).collect(),
            kinds: slice_or_empty(&self.kinds).to_vec(),
            zones: slice_or_empty(&self.zones).to_vec(),
            reports_cost: domain
                .and_then(|domain| domain.tells_cost)
                .unwrap_or_default(),
        }
    }

    pub fn connections(&self) -> ConnectionSettings {
        let limits = self.limits.clone().unwrap_or_default();
        ConnectionSettings {
            max_per_engine: self.max_connections_to_engine(),
            max_total: usize::MAX,
            max_streams: limits.max_streams.unwrap_or(32).max(1) as usize,
            connect_timeout: millis_to_micros(limits.connect_timeout.unwrap_or(250.0)),
            idle_timeout: millis_to_micros(limits.conn_idle.unwrap_or(30_000.0)),
            max_open_requests: limits.max_open.unwrap_or(20_000).max(1) as usize,
        }
    }

    /// The maximum number of connections from this dispatcher to one engine. All dispatchers together must leave room
    /// in the connection table of the engine, whose size is not known.
    fn max_connections_to_engine(&self) -> usize {
        let domain = self.domain.clone().unwrap_or_default();
        let cores = slice_or_empty(&domain.size_cores)
            .iter()
            .copied()
            .fold(0.0, f64::max);
        let dispatcher_count = f64::from(self.balancers.unwrap_or(1).max(1));
        let connections = (cores * CONNECTIONS_PER_CORE / dispatcher_count).ceil();
        if cores > 0.0 {
            (connections as usize).clamp(MIN_CONNECTIONS_PER_ENGINE, MAX_CONNECTIONS_PER_ENGINE)
        } else {
            MAX_CONNECTIONS_PER_ENGINE
        }
    }

    /// The number of gateways, and the index of this one among them, if configured.
    pub fn gateway_count_and_index(&self) -> (Option<u32>, Option<u32>) {
        (self.balancers, self.me)
    }

    /// The maximum number of attempts of a request, if configured.
    pub fn max_attempts(&self) -> Option<u32> {
        self.limits.as_ref()?.max_attempts
    }

    /// The longest delay that a front advises clients to wait before a retry; zero if it gives no advice.
    pub fn max_retry_after(&self) -> Micros {
        let limits = self.limits.as_ref();
        if limits.and_then(|limits| limits.retry_after) == Some(false) {
            return Micros(0);
        }
        millis_to_micros(
            limits
                .and_then(|limits| limits.max_retry_after)
                .unwrap_or(1000.0),
        )
    }

    fn class(&self, index: usize, service: &ServiceSettings, domain: &DomainSettings) -> Class {
        let (kinds, zones) = (slice_or_empty(&self.kinds), slice_or_empty(&self.zones));
        let only_kinds = indexes_of(kinds, &service.kinds_allowed);
        let only_zones = indexes_of(zones, &service.confined_to);
        Class {
            name: service.name.clone(),
            worth: service.worth.unwrap_or_default(),
            late_share: service.late_share.unwrap_or_default(),
            on_time: micros_or_zero(service.on_time),
            aim_stretch: service.aim_stretch.unwrap_or_default(),
            give_up: micros_or_zero(service.give_up),
            effect: service.effect(),
            dedup_window: micros_or_zero(service.window),
            threads: copy_at(&domain.threads_by_class, index).unwrap_or(1.0),
            holds_group: copy_at(&domain.class_load, index).unwrap_or_default(),
            waits_for_load: copy_at(&domain.class_waits, index).unwrap_or_default(),
            in_key_order: service.fifo_by_key.unwrap_or_default(),
            is_streamed: service.stream.unwrap_or_default(),
            only_kinds: only_kinds.map(|indexes| indexes.into_iter().map(KindId).collect()),
            only_zones: only_zones.map(|indexes| indexes.into_iter().map(ZoneId).collect()),
            retired: false,
        }
    }

    /// Converts to the settings of the decision module.
    pub fn settings(&self) -> Settings {
        let domain = self.domain.clone().unwrap_or_default();
        let rules = self.rules.clone().unwrap_or_default();
        let limits = self.limits.clone().unwrap_or_default();
        let telemetry = self.telemetry.clone().unwrap_or_default();
        let services = slice_or_empty(&self.services).iter().enumerate();
        let classes = services.map(|(index, service)| self.class(index, service, &domain));
        let tenants = slice_or_empty(&self.tenants).iter().map(|tenant| Tenant {
            name: tenant.name.clone(),
            share: tenant.portion.unwrap_or_default(),
            requests_per_second: tenant.allowance_per_s.unwrap_or_default(),
        });
        let kinds = (0..slice_or_empty(&self.kinds).len()).map(|index| Kind {
            cores: copy_at(&domain.size_cores, index).unwrap_or_default(),
            memory_mb: copy_at(&domain.size_mb, index).unwrap_or_default(),
        });
        let has_attempt_budget = rules.extra_free.is_some() || rules.extra_per_request.is_some();
        let advises_retry = limits.retry_after.unwrap_or_default();
        Settings {
            gateways: self.balancers.unwrap_or_default(),
            gateway_index: self.me,
            zone: self
                .zone
                .as_deref()
                .and_then(|zone| index_of(slice_or_empty(&self.zones), zone))
                .map(ZoneId),
            classes: classes.collect(),
            tenants: tenants.collect(),
            kinds: kinds.collect(),
            list_mode: match self.registry_mode.as_deref() {
                Some("subscribe") => ListMode::OnRequest,
                _ => ListMode::Pushed,
            },
            load_reports: match telemetry.how.as_deref() {
                Some("piggyback") => LoadReportMode::InAnswers,
                Some("pull") => LoadReportMode::InProbes,
                _ => LoadReportMode::None,
            },
            drain_grace: micros_or_zero(rules.drain_grace),
            start_capacity: rules.start_capacity.unwrap_or_default(),
            warm_after: micros_or_zero(rules.warm_after),
            overload_multiple: rules.fall_multiple.unwrap_or_default(),
            overload_window: micros_or_zero(rules.overload_for),
            key_quiet_period: micros_or_zero(rules.key_quiet),
            attempt_budget: has_attempt_budget.then_some(AttemptBudget {
                window: micros_or_zero(rules.look_back),
                free_attempts: rules.extra_free.unwrap_or_default(),
                extra_per_request: rules.extra_per_request.unwrap_or_default(),
            }),
            max_attempts: limits.max_attempts.unwrap_or_default(),
            may_cancel: limits.cancel.unwrap_or_default(),
            second_copies: limits.second_copies.unwrap_or_default(),
            may_probe: limits.probes.unwrap_or_default(),
            probe_cost: self
                .prices
                .and_then(|prices| prices.probe)
                .unwrap_or_default(),
            takes_grants: domain.takes_grants.unwrap_or_default(),
            takes_priorities: domain.priorities.unwrap_or_default(),
            queues_for_memory: domain.on_shortage.as_deref() == Some("wait"),
            max_grant_share: domain.max_grant_share.unwrap_or_default(),
            note_interval: micros_or_zero(domain.progress),
            max_retry_after: micros_or_zero(limits.max_retry_after.filter(|_| advises_retry)),
            answer_slack: micros_or_zero(rules.answer_slack),
            tick: micros_or_zero(self.tick),
        }
    }
}

#[cfg(test)]
mod tests;
