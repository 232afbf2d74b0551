//! Deployments: how many gateways and engines, what is asked of them, and by which settings.

use crate::engine::{CORES, MEMORY_MB};
use sedgebeam_core::{Class, Effect, Group, Kind, Micros, Reports, Settings, Tenant, ZoneId};

/// What the queries of a class are like.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Mean work, in core seconds.
    pub seconds: f64,
    /// Mean memory needed.
    pub memory_mb: f64,
    /// Part of all work that is of this class.
    pub part: f64,
}

/// One deployment. Its settings lack a gateway's own number and zone.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub gateways: u32,
    pub engines: u64,
    pub zones: usize,
    /// By class.
    pub work: Vec<Work>,
    /// Part of all engines' cores that traffic asks for.
    pub asked: f64,
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
        window: ms(5000),
        ..Class::default()
    }
}

impl Deployment {
    /// Light, heavy and once-only classes, three tenants and three zones, engines that page.
    pub fn usual(gateways: u32, engines: u64) -> Deployment {
        let load = Class {
            effect: Effect::Once,
            holds_group: true,
            ..class("load", 12.0, 2.0, 3000, 15000)
        };
        let heavy = Class {
            waits_for_load: true,
            ..class("heavy", 12.0, 4.0, 2000, 10000)
        };
        let work = |seconds, memory_mb, part| Work {
            seconds,
            memory_mb,
            part,
        };
        let tenant = |name: &str, share: f64| Tenant {
            name: name.to_string(),
            share,
            per_second: 0.0,
        };
        let settings = Settings {
            gateways,
            classes: vec![class("light", 1.0, 1.0, 300, 1500), heavy, load],
            tenants: vec![tenant("a", 0.5), tenant("b", 0.3), tenant("c", 0.2)],
            kinds: vec![Kind {
                cores: CORES,
                memory_mb: MEMORY_MB,
            }],
            max_attempts: 3,
            may_cancel: true,
            takes_priorities: true,
            max_grant_share: 0.4,
            drain_grace: ms(500),
            start_capacity: 0.3,
            warm_after: ms(14_000),
            fall_multiple: 4.0,
            overload_for: ms(1000),
            note_every: ms(1000),
            answer_slack: ms(500),
            tick: ms(5),
            ..Settings::default()
        };
        let work = vec![
            work(0.08, 10.0, 0.25),
            work(4.0, 900.0, 0.55),
            work(2.4, 300.0, 0.2),
        ];
        Deployment {
            gateways,
            engines,
            zones: 3,
            work,
            asked: 0.55,
            settings,
        }
        .with_allowances()
    }

    /// Has traffic ask for this part of the engines' cores.
    pub fn ask(&mut self, asked: f64) {
        self.asked = asked;
        *self = self.clone().with_allowances();
    }

    /// Tells tenants' allowances as those of the traffic.
    fn with_allowances(mut self) -> Deployment {
        let rate: f64 = (0..self.work.len()).map(|class| self.rate(class)).sum();
        for tenant in &mut self.settings.tenants {
            tenant.per_second = rate * tenant.share;
        }
        self
    }

    /// Light queries alone.
    pub fn one_class(gateways: u32, engines: u64) -> Deployment {
        let mut other = Deployment::usual(gateways, engines);
        other.settings.classes.truncate(1);
        other.work.truncate(1);
        other.work[0].part = 1.0;
        other.with_allowances()
    }

    /// No tenants, no zones, no priorities, no notes: the least that settings may tell.
    pub fn bare(gateways: u32, engines: u64) -> Deployment {
        let mut other = Deployment::usual(gateways, engines);
        other.zones = 1;
        other.settings.tenants.clear();
        other.settings.takes_priorities = false;
        other.settings.note_every = Micros(0);
        other
    }

    /// Load reports, by probes that are free or in answers.
    pub fn reporting(gateways: u32, engines: u64, reports: Reports) -> Deployment {
        let mut other = Deployment::usual(gateways, engines);
        other.settings.reports = reports;
        other.settings.may_probe = reports == Reports::InProbes;
        other
    }

    /// Heavy queries whose repeats their zone drops.
    pub fn keyed(gateways: u32, engines: u64) -> Deployment {
        let mut other = Deployment::usual(gateways, engines);
        other.settings.classes[1].effect = Effect::Keyed(Group::Zone);
        other
    }

    /// Requests a second of a class, over all gateways.
    pub fn rate(&self, class: usize) -> f64 {
        let work = self.work[class];
        self.asked * self.engines as f64 * CORES * work.part / work.seconds
    }

    /// The settings of one gateway.
    pub fn settings_of(&self, me: u32) -> Settings {
        Settings {
            me: Some(me),
            zone: Some(self.zone(u64::from(me))),
            ..self.settings.clone()
        }
    }

    /// The zone of the gateway, or of the engine, of this number.
    pub fn zone(&self, number: u64) -> ZoneId {
        ZoneId((number % self.zones.max(1) as u64) as usize)
    }
}
