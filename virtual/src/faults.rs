//! Faults, and scripts of when they happen.

use crate::engine_model::Impairment;
use sedgebeam_core::{Micros, ZoneId};

/// One thing that happens to the fleet. Shares are of all gateways or engines; which ones follows from their age or
/// number, but for connections, which are drawn.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Engines drain and, some seconds later, are gone; as many new ones start.
    ReplaceEngines { share: f64 },
    /// Engines drain and stay.
    DrainEngines { share: f64 },
    /// Engines are impaired from now on.
    ImpairEngines { share: f64, impairment: Impairment },
    /// A zone's engines stop; they are back, cold, after a while.
    ZoneOutage { zone: ZoneId, duration: Micros },
    /// Nothing passes between a zone and the others, and its gateways hear of no change of the list.
    ZonePartition { zone: ZoneId, duration: Micros },
    /// Gateways from this share to that one stop at once and start again after a while, knowing only the list.
    RestartGateways {
        from_share: f64,
        to_share: f64,
        downtime: Micros,
    },
    /// Connections break under this share of the attempts in flight.
    ResetConnections { share: f64 },
    /// So many times the usual traffic, from now on.
    Traffic { multiplier: f64 },
    /// New settings reach all gateways: they name so many gateways.
    ReloadSettings { gateways: u32 },
}

/// Faults by the time since the start.
pub type FaultScript = Vec<(Micros, Fault)>;

/// The scenarios that [`scenario`] knows.
pub const SCENARIOS: [&str; 11] = [
    "calm", "replaced", "rolled", "killed", "lost", "cut", "slow", "failing", "silent", "resets",
    "burst",
];

/// When the single fault of a scenario happens.
const FAULT_AT: Micros = Micros::from_millis(2000);
/// Share of the engines that a scenario impairs.
const IMPAIRED_SHARE: f64 = 0.125;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// The script of a scenario; `None` where there is none of this name.
pub fn scenario(name: &str) -> Option<FaultScript> {
    let once = |fault: Fault| vec![(FAULT_AT, fault)];
    let impaired = |impairment: Impairment| {
        once(Fault::ImpairEngines {
            share: IMPAIRED_SHARE,
            impairment,
        })
    };
    let healthy = Impairment {
        slowdown: 1.0,
        ..Impairment::default()
    };
    Some(match name {
        "calm" => FaultScript::new(),
        "replaced" => Fault::replacement(0.6, 4, 2000, 400),
        "rolled" => [
            Fault::rolling_restart(2000, 500),
            Fault::replacement(0.5, 5, 2500, 800),
        ]
        .concat(),
        "killed" => once(Fault::RestartGateways {
            from_share: 0.0,
            to_share: 0.7,
            downtime: ms(500),
        }),
        "lost" => once(Fault::ZoneOutage {
            zone: ZoneId(1),
            duration: ms(2000),
        }),
        "cut" => [
            once(Fault::ZonePartition {
                zone: ZoneId(0),
                duration: ms(3000),
            }),
            Fault::replacement(0.3, 3, 2500, 300),
        ]
        .concat(),
        "slow" => impaired(Impairment {
            slowdown: 8.0,
            ..healthy
        }),
        "failing" => impaired(Impairment {
            error_rate: 0.5,
            ..healthy
        }),
        "silent" => impaired(Impairment {
            silent: true,
            ..healthy
        }),
        "resets" => Fault::repeated_resets(6, 0.3),
        "burst" => Fault::burst(2.0, 2000, 3000),
        _ => return None,
    })
}

impl Fault {
    /// A share of the engines is replaced in steps; times in milliseconds.
    pub fn replacement(share: f64, steps: u64, from: u64, interval: u64) -> FaultScript {
        let step = Fault::ReplaceEngines {
            share: share / steps as f64,
        };
        let times = (0..steps).map(|number| ms(from + number * interval));
        times.map(|at| (at, step.clone())).collect()
    }

    /// All gateways restart, a tenth at a time; times in milliseconds.
    pub fn rolling_restart(from: u64, interval: u64) -> FaultScript {
        let tenth = |number: u64| Fault::RestartGateways {
            from_share: number as f64 / 10.0,
            to_share: (number + 1) as f64 / 10.0,
            downtime: ms(300),
        };
        let tenths = 0..10;
        tenths
            .map(|number| (ms(from + number * interval), tenth(number)))
            .collect()
    }

    /// So many times the traffic for a while; times in milliseconds.
    pub fn burst(multiplier: f64, from: u64, duration: u64) -> FaultScript {
        let traffic = |multiplier| Fault::Traffic { multiplier };
        vec![
            (ms(from), traffic(multiplier)),
            (ms(from + duration), traffic(1.0)),
        ]
    }

    /// Connections break several times, half a second apart.
    fn repeated_resets(count: u64, share: f64) -> FaultScript {
        let at = |number: u64| FAULT_AT + ms(500 * number);
        let reset = Fault::ResetConnections { share };
        (0..count)
            .map(|number| (at(number), reset.clone()))
            .collect()
    }
}
