//! Faults and the scripts that schedule them.

use crate::engine_model::Impairment;
use sedgebeam_core::{Micros, ZoneId};

/// A fault or another change in the fleet. Shares are fractions of all gateways or engines. The affected ones
/// are selected by age or number; only broken connections are chosen at random.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Engines drain and are removed some seconds later; the same number of new engines start.
    ReplaceEngines { share: f64 },
    /// Engines drain and are not removed.
    DrainEngines { share: f64 },
    /// Engines are impaired from now on.
    ImpairEngines { share: f64, impairment: Impairment },
    /// The engines of a zone stop and restart cold after this duration.
    ZoneOutage { zone: ZoneId, duration: Micros },
    /// A zone is cut off from the others, and its gateways receive no changes of the engine list.
    ZonePartition { zone: ZoneId, duration: Micros },
    /// The gateways in a range of shares stop at the same time and restart after the downtime, knowing only the
    /// engine list.
    RestartGateways {
        from_share: f64,
        to_share: f64,
        downtime: Micros,
    },
    /// The connections of this share of the attempts in flight are reset.
    ResetConnections { share: f64 },
    /// The traffic is a multiple of the normal traffic from now on.
    Traffic { multiplier: f64 },
    /// New settings with this number of gateways are applied to all gateways.
    ReloadSettings { gateways: u32 },
}

/// Faults with the time since the start at which they happen.
pub type FaultScript = Vec<(Micros, Fault)>;

/// The names of the scenarios that [`scenario`] provides.
pub const SCENARIOS: [&str; 11] = [
    "calm", "replaced", "rolled", "killed", "lost", "cut", "slow", "failing", "silent", "resets",
    "burst",
];

/// Time of the fault in scenarios with a single fault.
const FAULT_AT: Micros = Micros::from_millis(2000);
/// Share of the engines that are impaired in scenarios with an impairment.
const IMPAIRED_SHARE: f64 = 0.125;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// The script of the scenario with this name; `None` if the name is unknown.
pub fn scenario(name: &str) -> Option<FaultScript> {
    let single_fault = |fault: Fault| vec![(FAULT_AT, fault)];
    let with_impairment = |impairment: Impairment| {
        single_fault(Fault::ImpairEngines {
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
        "killed" => single_fault(Fault::RestartGateways {
            from_share: 0.0,
            to_share: 0.7,
            downtime: ms(500),
        }),
        "lost" => single_fault(Fault::ZoneOutage {
            zone: ZoneId(1),
            duration: ms(2000),
        }),
        "cut" => [
            single_fault(Fault::ZonePartition {
                zone: ZoneId(0),
                duration: ms(3000),
            }),
            Fault::replacement(0.3, 3, 2500, 300),
        ]
        .concat(),
        "slow" => with_impairment(Impairment {
            slowdown: 8.0,
            ..healthy
        }),
        "failing" => with_impairment(Impairment {
            error_rate: 0.5,
            ..healthy
        }),
        "silent" => with_impairment(Impairment {
            silent: true,
            ..healthy
        }),
        "resets" => Fault::repeated_resets(6, 0.3),
        "burst" => Fault::burst(2.0, 2000, 3000),
        _ => return None,
    })
}

impl Fault {
    /// Replaces a share of the engines in steps. Times are in milliseconds.
    pub fn replacement(share: f64, steps: u64, start_ms: u64, interval_ms: u64) -> FaultScript {
        let step = Fault::ReplaceEngines {
            share: share / steps as f64,
        };
        let times = (0..steps).map(|number| ms(start_ms + number * interval_ms));
        times.map(|at| (at, step.clone())).collect()
    }

    /// Restarts all gateways, a tenth at a time. Times are in milliseconds.
    pub fn rolling_restart(start_ms: u64, interval_ms: u64) -> FaultScript {
        let tenth = |number: u64| Fault::RestartGateways {
            from_share: number as f64 / 10.0,
            to_share: (number + 1) as f64 / 10.0,
            downtime: ms(300),
        };
        let tenths = 0..10;
        tenths
            .map(|number| (ms(start_ms + number * interval_ms), tenth(number)))
            .collect()
    }

    /// Multiplies the traffic for some time. Times are in milliseconds.
    pub fn burst(multiplier: f64, start_ms: u64, duration_ms: u64) -> FaultScript {
        let traffic = |multiplier| Fault::Traffic { multiplier };
        vec![
            (ms(start_ms), traffic(multiplier)),
            (ms(start_ms + duration_ms), traffic(1.0)),
        ]
    }

    /// Resets a share of the connections several times, half a second apart.
    fn repeated_resets(count: u64, share: f64) -> FaultScript {
        let at = |number: u64| FAULT_AT + ms(500 * number);
        let reset = Fault::ResetConnections { share };
        (0..count)
            .map(|number| (at(number), reset.clone()))
            .collect()
    }
}
