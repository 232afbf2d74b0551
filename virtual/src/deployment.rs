//! Deployments: the numbers of gateways and engines, the traffic and the settings.

use crate::engine_model::{ENGINE_CORES, ENGINE_MEMORY_MB};
use sedgebeam_core::{
    Class, DedupScope, Effect, Kind, LoadReportMode, Micros, Settings, Tenant, ZoneId,
};

/// Characteristics of the queries of a class.
#[derive(Clone, Copy, Debug)]
pub struct QueryProfile {
    /// Mean work, in core seconds.
    pub mean_work: f64,
    pub mean_memory_mb: f64,
    /// Share of the total work that this class accounts for.
    pub work_share: f64,
}

/// One deployment. Its settings are common to all gateways: they do not contain a gateway's index and zone.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of gateways.
    pub gateways: u32,
    /// Number of engines at the start.
    pub engines: u64,
    /// Number of zones, to which gateways and engines are assigned in turn.
    pub zones: usize,
    /// Indexed by class.
    pub profiles: Vec<QueryProfile>,
    /// Offered load, as a fraction of the cores of all engines.
    pub offered_load: f64,
    pub settings: Settings,
}

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn class(name: &str, worth: f64, threads: f64, on_time_ms: u64, give_up_ms: u64) -> Class {
    Class {
        name: name.to_string(),
        worth,
        threads,
        on_time: ms(on_time_ms),
        give_up: ms(give_up_ms),
        dedup_window: ms(5000),
        ..Class::default()
    }
}

impl Deployment {
    /// A light, a heavy and a non-repeatable class, three tenants and three zones, on engines that slow down
    /// when memory is overcommitted.
    pub fn standard(gateways: u32, engines: u64) -> Deployment {
        let load = Class {
            effect: Effect::Once,
            holds_group: true,
            ..class("load", 12.0, 2.0, 3000, 15000)
        };
        let heavy = Class {
            waits_for_load: true,
            ..class("heavy", 12.0, 4.0, 2000, 10000)
        };
        let profile = |mean_work, mean_memory_mb, work_share| QueryProfile {
            mean_work,
            mean_memory_mb,
            work_share,
        };
        let tenant = |name: &str, share: f64| Tenant {
            name: name.to_string(),
            share,
            requests_per_second: 0.0,
        };
        let settings = Settings {
            gateways,
            classes: vec![class("light", 1.0, 1.0, 300, 1500), heavy, load],
            tenants: vec![tenant("a", 0.5), tenant("b", 0.3), tenant("c", 0.2)],
            kinds: vec![Kind {
                cores: ENGINE_CORES,
                memory_mb: ENGINE_MEMORY_MB,
            }],
            max_attempts: 3,
            may_cancel: true,
            takes_priorities: true,
            max_grant_share: 0.4,
            drain_grace: ms(500),
            start_capacity: 0.3,
            warm_after: ms(14_000),
            overload_multiple: 4.0,
            overload_window: ms(1000),
            note_interval: ms(1000),
            answer_slack: ms(500),
            tick: ms(5),
            ..Settings::default()
        };
        let profiles = vec![
            profile(0.08, 10.0, 0.25),
            profile(4.0, 900.0, 0.55),
            profile(2.4, 300.0, 0.2),
        ];
        Deployment {
            gateways,
            engines,
            zones: 3,
            profiles,
            offered_load: 0.55,
            settings,
        }
        .with_allowances()
    }

    /// Sets the offered load, as a fraction of the cores of all engines.
    pub fn set_offered_load(&mut self, offered_load: f64) {
        self.offered_load = offered_load;
        self.update_allowances();
    }

    /// Sets the allowance of each tenant to its request rate.
    fn update_allowances(&mut self) {
        let rate: f64 = self.rates().sum();
        for tenant in &mut self.settings.tenants {
            tenant.requests_per_second = rate * tenant.share;
        }
    }

    fn with_allowances(mut self) -> Deployment {
        self.update_allowances();
        self
    }

    /// The standard deployment with the light class only.
    pub fn single_class(gateways: u32, engines: u64) -> Deployment {
        let mut deployment = Deployment::standard(gateways, engines);
        deployment.settings.classes.truncate(1);
        deployment.profiles.truncate(1);
        deployment.profiles[0].work_share = 1.0;
        deployment.with_allowances()
    }

    /// The minimal settings: no tenants, a single zone, no priorities and no progress notes.
    pub fn minimal(gateways: u32, engines: u64) -> Deployment {
        let mut deployment = Deployment::standard(gateways, engines);
        deployment.zones = 1;
        deployment.settings.tenants.clear();
        deployment.settings.takes_priorities = false;
        deployment.settings.note_interval = Micros(0);
        deployment
    }

    /// The standard deployment with load reports, in probes or in answers; gateways may probe engines only in the
    /// former case.
    pub fn with_load_reports(gateways: u32, engines: u64, reports: LoadReportMode) -> Deployment {
        let mut deployment = Deployment::standard(gateways, engines);
        deployment.settings.load_reports = reports;
        deployment.settings.may_probe = reports == LoadReportMode::InProbes;
        deployment
    }

    /// The standard deployment, with heavy queries whose duplicates are dropped within a zone.
    pub fn with_deduplication(gateways: u32, engines: u64) -> Deployment {
        let mut deployment = Deployment::standard(gateways, engines);
        deployment.settings.classes[1].effect = Effect::Keyed(DedupScope::Zone);
        deployment
    }

    /// Requests per second of a class, over all gateways.
    pub fn rate(&self, class: usize) -> f64 {
        let profile = self.profiles[class];
        let offered_cores = self.offered_load * self.engines as f64 * ENGINE_CORES;
        offered_cores * profile.work_share / profile.mean_work
    }

    /// Requests per second of each class, over all gateways.
    fn rates(&self) -> impl Iterator<Item = f64> {
        (0..self.profiles.len()).map(|class| self.rate(class))
    }

    /// Mean work of a request over all classes, in core seconds.
    pub(crate) fn mean_work(&self) -> f64 {
        let profiles = self.profiles.iter().zip(self.rates());
        let work: f64 = profiles
            .map(|(profile, rate)| profile.mean_work * rate)
            .sum();
        work / self.rates().sum::<f64>().max(1e-9)
    }

    /// The settings of one gateway, with its index and zone.
    pub fn gateway_settings(&self, gateway_index: u32) -> Settings {
        Settings {
            gateway_index: Some(gateway_index),
            zone: Some(self.zone(u64::from(gateway_index))),
            ..self.settings.clone()
        }
    }

    /// The zone of the gateway or engine with this number.
    pub fn zone(&self, number: u64) -> ZoneId {
        ZoneId((number % self.zones.max(1) as u64) as usize)
    }
}
