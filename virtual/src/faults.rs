//! What goes wrong, and when.

use crate::engine::Ailment;
use sedgebeam_core::Micros;

/// One thing that happens to the fleet. Parts are of all gateways or engines; which, follows from their numbers.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Engines drain and, some seconds later, are gone; as many new ones start.
    Replace { part: f64 },
    /// Engines drain and stay.
    Drain { part: f64 },
    /// Engines fall ill, until they are told to be well.
    Ail { part: f64, ailment: Ailment },
    /// A zone's engines stop; they are back, cold, after a while.
    ZoneLost { zone: usize, lasts: Micros },
    /// Nothing passes between a zone and the others, and its gateways hear of no change of the list.
    ZoneCut { zone: usize, lasts: Micros },
    /// Gateways from this part to that one stop at once and start anew after a while, knowing only the list.
    Restart { from: f64, to: f64, away: Micros },
    /// Connections break under this part of the attempts that are out.
    Resets { part: f64 },
    /// So many times the usual traffic.
    Traffic { times: f64 },
    /// New settings reach all gateways: they name so many.
    Retune { gateways: u32 },
}

/// Faults by the time since the day's start.
pub type Script = Vec<(Micros, Fault)>;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// The kinds of day that have a script of their own.
pub const KINDS: [&str; 11] = [
    "calm", "replaced", "rolled", "killed", "lost", "cut", "slow", "failing", "silent", "resets",
    "burst",
];

/// What goes wrong on a day of this kind, after its first two seconds; `None` where there is no such kind.
pub fn script(kind: &str) -> Option<Script> {
    let once = |fault: Fault| vec![(ms(2000), fault)];
    let lost = Fault::ZoneLost {
        zone: 1,
        lasts: ms(2000),
    };
    let cut = Fault::ZoneCut {
        zone: 0,
        lasts: ms(3000),
    };
    let ailing = |slow: f64, failing: f64, silent: bool| Fault::Ail {
        part: 0.125,
        ailment: Ailment {
            slow,
            failing,
            silent,
        },
    };
    let resets = |n: u64| (ms(2000 + 500 * n), Fault::Resets { part: 0.3 });
    Some(match kind {
        "calm" => Script::new(),
        "replaced" => Fault::replacement(0.6, 4, 2000, 400),
        "rolled" => [
            Fault::rolling(2000, 500),
            Fault::replacement(0.5, 5, 2500, 800),
        ]
        .concat(),
        "killed" => once(Fault::Restart {
            from: 0.0,
            to: 0.7,
            away: ms(500),
        }),
        "lost" => once(lost),
        "cut" => [once(cut), Fault::replacement(0.3, 3, 2500, 300)].concat(),
        "slow" => once(ailing(8.0, 0.0, false)),
        "failing" => once(ailing(1.0, 0.5, false)),
        "silent" => once(ailing(1.0, 0.0, true)),
        "resets" => (0..6).map(resets).collect(),
        "burst" => Fault::burst(2.0, 2000, 3000),
        _ => return None,
    })
}

impl Fault {
    /// A part of the engines is replaced in steps.
    pub fn replacement(part: f64, steps: u64, from: u64, every: u64) -> Script {
        let step = Fault::Replace {
            part: part / steps as f64,
        };
        (0..steps)
            .map(|n| (ms(from + n * every), step.clone()))
            .collect()
    }

    /// All gateways restart, a tenth at a time.
    pub fn rolling(from: u64, every: u64) -> Script {
        let tenth = |n: u64| {
            let (from, to) = (n as f64 / 10.0, (n + 1) as f64 / 10.0);
            Fault::Restart {
                from,
                to,
                away: ms(300),
            }
        };
        (0..10).map(|n| (ms(from + n * every), tenth(n))).collect()
    }

    /// A burst of so many times the traffic.
    pub fn burst(times: f64, from: u64, lasts: u64) -> Script {
        let to = |times| Fault::Traffic { times };
        vec![(ms(from), to(times)), (ms(from + lasts), to(1.0))]
    }
}
