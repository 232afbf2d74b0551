//! Deployments: how many gateways and engines, what is asked of them, and by which settings.

use crate::engine_model::{ENGINE_CORES, ENGINE_MEMORY_MB};
use sedgebeam_core::{
    Class, DedupScope, Effect, Kind, LoadReportMode, Micros, Settings, Tenant, ZoneId,
};

/// What the queries of a class are like.
#[derive(Clone, Copy, Debug)]
pub struct QueryProfile {
    /// Mean work, in core seconds.
    pub mean_work: f64,
    pub mean_memory_mb: f64,
    /// Share of the traffic's work that is of this class.
    pub work_share: f64,
}

/// One deployment. Its settings lack a gateway's own number and zone.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub gateways: u32,
    pub engines: u64,
    pub zones: usize,
    /// By class.
    pub profiles: Vec<QueryProfile>,
    /// Offered load, as a share of all engines' cores.
    pub offered_load: f64,
    pub settings: Settings,
}

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn class(name: &str, worth: f64, threads: f64, on_time: u64, give_up: u64) -> Class {
    Class {
        name: name.to_string(),
        worth,
        threads,
        on_time: ms(on_time),
        give_up: ms(give_up),
        dedup_window: ms(5000),
        ..Class::default()
    }
}

impl Deployment {
    /// Light, heavy and once-only classes, three tenants and three zones, engines that page.
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

    /// Sets the offered load, as a share of all engines' cores.
    pub fn set_offered_load(&mut self, offered_load: f64) {
        self.offered_load = offered_load;
        self.update_allowances();
    }

    /// Sets tenants' allowances to what they send.
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

    /// Light queries alone.
    pub fn single_class(gateways: u32, engines: u64) -> Deployment {
        let mut deployment = Deployment::standard(gateways, engines);
        deployment.settings.classes.truncate(1);
        deployment.profiles.truncate(1);
        deployment.profiles[0].work_share = 1.0;
        deployment.with_allowances()
    }

    /// No tenants, zones, priorities or notes: the least that settings may hold.
    pub fn minimal(gateways: u32, engines: u64) -> Deployment {
        let mut deployment = Deployment::standard(gateways, engines);
        deployment.zones = 1;
        deployment.settings.tenants.clear();
        deployment.settings.takes_priorities = false;
        deployment.settings.note_interval = Micros(0);
        deployment
    }

    /// Load reports, by probes that are free or in answers.
    pub fn with_load_reports(gateways: u32, engines: u64, reports: LoadReportMode) -> Deployment {
        let mut deployment = Deployment::standard(gateways, engines);
        deployment.settings.load_reports = reports;
        deployment.settings.may_probe = reports == LoadReportMode::InProbes;
        deployment
    }

    /// Heavy queries whose repeats their zone drops.
    pub fn with_deduplication(gateways: u32, engines: u64) -> Deployment {
        let mut deployment = Deployment::standard(gateways, engines);
        deployment.settings.classes[1].effect = Effect::Keyed(DedupScope::Zone);
        deployment
    }

    /// Requests a second of a class, over all gateways.
    pub fn rate(&self, class: usize) -> f64 {
        let profile = self.profiles[class];
        let offered_cores = self.offered_load * self.engines as f64 * ENGINE_CORES;
        offered_cores * profile.work_share / profile.mean_work
    }

    /// The same of each class.
    fn rates(&self) -> impl Iterator<Item = f64> {
        (0..self.profiles.len()).map(|class| self.rate(class))
    }

    /// Core seconds of the mean request.
    pub(crate) fn mean_work(&self) -> f64 {
        let profiles = self.profiles.iter().zip(self.rates());
        let work: f64 = profiles
            .map(|(profile, rate)| profile.mean_work * rate)
            .sum();
        work / self.rates().sum::<f64>().max(1e-9)
    }

    /// The settings of one gateway.
    pub fn gateway_settings(&self, number: u32) -> Settings {
        Settings {
            gateway_index: Some(number),
            zone: Some(self.zone(u64::from(number))),
            ..self.settings.clone()
        }
    }

    /// The zone of the gateway, or of the engine, of this number.
    pub fn zone(&self, number: u64) -> ZoneId {
        ZoneId((number % self.zones.max(1) as u64) as usize)
    }
}
