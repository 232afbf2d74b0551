//! The settings object of a gateway: how it is decoded, and what it means to the decision module.
//!
//! A key that is absent, or null, has its default; a key that is not known is skipped.

use miniserde::Deserialize;
use sedgebeam_core::{
    AttemptBudget, Class, ClassId, DedupScope, Effect, Kind, KindId, ListMode, LoadReport,
    LoadReportMode, Micros, Settings, Tenant, TenantId, ZoneId,
};

#[derive(Clone, Debug, Default, Deserialize)]
pub struct GatewaySettings {
    balancers: Option<u32>,
    me: Option<u32>,
    services: Option<Vec<Service>>,
    tenants: Option<Vec<Account>>,
    kinds: Option<Vec<String>>,
    zones: Option<Vec<String>>,
    zone: Option<String>,
    registry_mode: Option<String>,
    domain: Option<Domain>,
    limits: Option<Limits>,
    rules: Option<Rules>,
    telemetry: Option<Telemetry>,
    prices: Option<Prices>,
    tick: Option<f64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct Service {
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
struct Account {
    name: String,
    portion: Option<f64>,
    allowance_per_s: Option<f64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct Domain {
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
struct Limits {
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
struct Rules {
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

/// What is charged, in mean requests' worth.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Prices {
    probe: Option<f64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct Telemetry {
    how: Option<String>,
}

/// What a program needs to translate messages: the names behind the numbers.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub classes: Vec<String>,
    /// By class, when a client gives up.
    pub give_up: Vec<Micros>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    pub reports_cost: bool,
}

/// How connections to engines are kept; the decision module is not told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// Connections to one engine at the most, and to all of them.
    pub max_per_engine: usize,
    pub max_total: usize,
    pub max_streams: usize,
    pub connect_timeout: Micros,
    pub idle_timeout: Micros,
    /// The requests that may be open at once.
    pub max_open_requests: usize,
}

/// Where a name stands in a list of names; an empty one is none.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    let mut places = names.iter();
    places.position(|known| known == name && !name.is_empty())
}

pub fn millis_to_micros(millis: f64) -> Micros {
    Micros((millis * 1000.0).round().max(0.0) as u64)
}

pub fn micros_to_millis(micros: Micros) -> f64 {
    micros.0 as f64 / 1000.0
}

/// A load report from its named values, under the names of the settings or of the engines' wire.
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

fn time(millis: Option<f64>) -> Micros {
    millis_to_micros(millis.unwrap_or_default())
}

fn at<T: Copy>(values: &Option<Vec<T>>, index: usize) -> Option<T> {
    values.as_ref()?.get(index).copied()
}

fn list<T>(values: &Option<Vec<T>>) -> &[T] {
    values.as_deref().unwrap_or_default()
}

/// The places of the named ones, where a restriction is told.
fn places(known: &[String], names: &Option<Vec<String>>) -> Option<Vec<usize>> {
    let names = names.as_ref()?;
    Some(
        names
            .iter()
            .filter_map(|name| index_of(known, name))
            .collect(),
    )
}

impl Service {
    fn effect(&self) -> Effect {
        let effect = self.effect.as_deref().unwrap_or_default();
        match (effect, self.group.as_deref().unwrap_or_default()) {
            ("repeatable", _) => Effect::Repeatable,
            ("by_key", "zone") => Effect::Keyed(DedupScope::Zone),
            ("by_key", "cell") => Effect::Keyed(DedupScope::Cell),
            ("by_key", _) => Effect::Keyed(DedupScope::All),
            // What is not known to be safe is never sent twice.
            _ => Effect::Once,
        }
    }
}

/// Connections that all dispatchers together keep to one engine, for each of its cores: twice the threads that an engine runs
/// on a core under pressure.
const CONNECTIONS_PER_CORE: f64 = 4.0;
/// Bounds of one dispatcher's part.
const FEWEST_CONNECTIONS: usize = 2;
const MOST_CONNECTIONS: usize = 24;

impl GatewaySettings {
    pub fn names(&self) -> Names {
        let domain = self.domain.as_ref();
        let services = list(&self.services).iter();
        let tenants = list(&self.tenants).iter();
        Names {
            classes: services.clone().map(|s| s.name.clone()).collect(),
            give_up: services.map(|service| time(service.give_up)).collect(),
            tenants: tenants.map(|tenant| tenant.name.clone()).collect(),
            kinds: list(&self.kinds).to_vec(),
            zones: list(&self.zones).to_vec(),
            reports_cost: domain.and_then(|d| d.tells_cost).unwrap_or_default(),
        }
    }

    pub fn connections(&self) -> ConnectionSettings {
        let limits = self.limits.clone().unwrap_or_default();
        ConnectionSettings {
            max_per_engine: self.connections_to_engine(),
            max_total: usize::MAX,
            max_streams: limits.max_streams.unwrap_or(32).max(1) as usize,
            connect_timeout: millis_to_micros(limits.connect_timeout.unwrap_or(250.0)),
            idle_timeout: millis_to_micros(limits.conn_idle.unwrap_or(30_000.0)),
            max_open_requests: limits.max_open.unwrap_or(20_000).max(1) as usize,
        }
    }

    /// Connections that this dispatcher keeps to one engine at the most, so that all dispatchers together leave room in
    /// the engine's table, whose size is told nowhere.
    fn connections_to_engine(&self) -> usize {
        let domain = self.domain.clone().unwrap_or_default();
        let cores = list(&domain.size_cores).iter().copied().fold(0.0, f64::max);
        let dispatchers = f64::from(self.balancers.unwrap_or(1).max(1));
        let part = (cores * CONNECTIONS_PER_CORE / dispatchers).ceil();
        if cores > 0.0 {
            (part as usize).clamp(FEWEST_CONNECTIONS, MOST_CONNECTIONS)
        } else {
            MOST_CONNECTIONS
        }
    }

    /// How many gateways there are, and the number of this one among them, where told.
    pub fn gateway_count_and_index(&self) -> (Option<u32>, Option<u32>) {
        (self.balancers, self.me)
    }

    /// The attempts allowed, where told.
    pub fn max_attempts(&self) -> Option<u32> {
        self.limits.as_ref()?.max_attempts
    }

    /// The longest that clients stay away on advice, where a front gives them any: zero where they are to have none.
    pub fn max_retry_after(&self) -> Micros {
        let limits = self.limits.as_ref();
        if limits.and_then(|limits| limits.retry_after) == Some(false) {
            return Micros(0);
        }
        millis_to_micros(limits.and_then(|l| l.max_retry_after).unwrap_or(1000.0))
    }

    fn class(&self, index: usize, service: &Service, domain: &Domain) -> Class {
        let (kinds, zones) = (list(&self.kinds), list(&self.zones));
        let only_kinds = places(kinds, &service.kinds_allowed);
        let only_zones = places(zones, &service.confined_to);
        Class {
            name: service.name.clone(),
            worth: service.worth.unwrap_or_default(),
            late_share: service.late_share.unwrap_or_default(),
            on_time: time(service.on_time),
            aim_stretch: service.aim_stretch.unwrap_or_default(),
            give_up: time(service.give_up),
            effect: service.effect(),
            dedup_window: time(service.window),
            threads: at(&domain.threads_by_class, index).unwrap_or(1.0),
            holds_group: at(&domain.class_load, index).unwrap_or_default(),
            waits_for_load: at(&domain.class_waits, index).unwrap_or_default(),
            in_key_order: service.fifo_by_key.unwrap_or_default(),
            is_streamed: service.stream.unwrap_or_default(),
            only_kinds: only_kinds.map(|places| places.into_iter().map(KindId).collect()),
            only_zones: only_zones.map(|places| places.into_iter().map(ZoneId).collect()),
            retired: false,
        }
    }

    /// The settings as the decision module takes them.
    pub fn settings(&self) -> Settings {
        let domain = self.domain.clone().unwrap_or_default();
        let rules = self.rules.clone().unwrap_or_default();
        let limits = self.limits.clone().unwrap_or_default();
        let telemetry = self.telemetry.clone().unwrap_or_default();
        let services = list(&self.services).iter().enumerate();
        let classes = services.map(|(index, service)| self.class(index, service, &domain));
        let tenants = list(&self.tenants).iter().map(|tenant| Tenant {
            name: tenant.name.clone(),
            share: tenant.portion.unwrap_or_default(),
            requests_per_second: tenant.allowance_per_s.unwrap_or_default(),
        });
        let kinds = (0..list(&self.kinds).len()).map(|index| Kind {
            cores: at(&domain.size_cores, index).unwrap_or_default(),
            memory_mb: at(&domain.size_mb, index).unwrap_or_default(),
        });
        let rationed = rules.extra_free.is_some() || rules.extra_per_request.is_some();
        let advice = limits.retry_after.unwrap_or_default();
        Settings {
            gateways: self.balancers.unwrap_or_default(),
            gateway_index: self.me,
            zone: self
                .zone
                .as_deref()
                .and_then(|zone| index_of(list(&self.zones), zone))
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
            drain_grace: time(rules.drain_grace),
            start_capacity: rules.start_capacity.unwrap_or_default(),
            warm_after: time(rules.warm_after),
            overload_multiple: rules.fall_multiple.unwrap_or_default(),
            overload_window: time(rules.overload_for),
            key_quiet_period: time(rules.key_quiet),
            attempt_budget: rationed.then_some(AttemptBudget {
                window: time(rules.look_back),
                free_attempts: rules.extra_free.unwrap_or_default(),
                extra_per_request: rules.extra_per_request.unwrap_or_default(),
            }),
            max_attempts: limits.max_attempts.unwrap_or_default(),
            may_cancel: limits.cancel.unwrap_or_default(),
            second_copies: limits.second_copies.unwrap_or_default(),
            may_probe: limits.probes.unwrap_or_default(),
            probe_cost: self.prices.and_then(|p| p.probe).unwrap_or_default(),
            takes_grants: domain.takes_grants.unwrap_or_default(),
            takes_priorities: domain.priorities.unwrap_or_default(),
            queues_for_memory: domain.on_shortage.as_deref() == Some("wait"),
            max_grant_share: domain.max_grant_share.unwrap_or_default(),
            note_interval: time(domain.progress),
            max_retry_after: time(limits.max_retry_after.filter(|_| advice)),
            answer_slack: time(rules.answer_slack),
            tick: time(self.tick),
        }
    }
}

#[cfg(test)]
mod tests;
