//! Two processes of one dispatcher, the gateway of each a part of one: what the one holds and has learned, and
//! what the other makes of it. Nothing is decided here; as long as nothing is heard, a gateway is alone.

use crate::interface::*;
use crate::parts::{ClassOut, EngineShare, Out, Room};
use crate::policy::Gateway;
use crate::state::{Mean, Request, Usual};
use std::collections::BTreeMap;

/// What a gateway holds, and what it has learned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Held {
    pub engines: Vec<EngineHeld>,
    pub classes: Vec<ClassHeld>,
    /// How many times its part of the fleet it may have out.
    pub multiple: f64,
}

/// The same of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineHeld {
    pub engine: EngineId,
    pub out: Out,
    /// Work sent within the window in which a cold engine counts it, in core seconds, and when.
    pub sent: Vec<(Micros, f64)>,
    /// Log ratio of time taken to the usual.
    pub pace: f64,
    /// Until when it is set aside after strikes, and after a jam; zero where it is not.
    pub rests_until: (Micros, Micros),
}

/// The same of a class, by its name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassHeld {
    pub name: String,
    pub out: ClassOut,
    /// Log ratios of time taken to time expected, usually, and lately to that.
    pub ratio: Option<f64>,
    pub pace: f64,
    /// Mean time of an attempt, and mean estimate of the work, in microseconds.
    pub took: Option<f64>,
    pub work: Option<f64>,
    /// How many were taken.
    pub taken: f64,
    /// Memory needed over the granted estimate.
    pub spilled: f64,
}

impl Gateway {
    /// Tells what it holds and has learned.
    pub fn held_over(&self) -> Held {
        let engines = self.engines.iter().map(|(id, engine)| {
            let (rests, jammed) = engine.health.handover_state();
            EngineHeld {
                engine: *id,
                out: Out {
                    threads: engine.threads_out,
                    memory_mb: engine.memory_out,
                    groups: engine.held.clone(),
                },
                sent: engine.sends.iter().copied().collect(),
                pace: engine.pace,
                rests_until: (Micros(rests), Micros(jammed)),
            }
        });
        let mut classes: Vec<ClassHeld> = Vec::new();
        for (class, usual) in self.settings.classes.iter().zip(&self.usual) {
            classes.push(ClassHeld {
                name: class.name.clone(),
                out: ClassOut::default(),
                ratio: usual.ratio,
                pace: usual.pace,
                took: usual.took.0,
                work: usual.work.0,
                taken: usual.taken,
                spilled: usual.spilled,
            });
        }
        let out = |request: &&Request| request.attempts_out() > 0;
        for request in self.requests.values().filter(out) {
            if let Some(class) = classes.get_mut(request.class) {
                class.out.threads += request.threads;
                class.out.memory_mb += request.memory_held;
            }
        }
        Held {
            engines: engines.collect(),
            classes,
            multiple: self.multiple.handover_state(),
        }
    }

    /// Begins with what another process of this gateway has learned, where it has learned nothing itself.
    pub fn take_over(&mut self, held: &Held) {
        self.surveyed.outdated = true;
        for (class, usual) in self.settings.classes.iter().zip(&mut self.usual) {
            let known = held.classes.iter().find(|known| known.name == class.name);
            let Some(known) = known.filter(|_| usual.taken == 0.0) else {
                continue;
            };
            *usual = Usual {
                ratio: known.ratio,
                pace: known.pace,
                took: Mean(known.took),
                work: Mean(known.work),
                taken: known.taken,
                spilled: known.spilled,
            };
        }
        for held in &held.engines {
            if let Some(engine) = self.engines.get_mut(&held.engine) {
                engine.pace = held.pace;
                let (rests, jammed) = held.rests_until;
                engine.health.restore((rests.0, jammed.0));
            }
        }
        self.multiple.restore(held.multiple);
    }

    /// Gives every request its final answer: whoever ends the process waits no longer.
    pub(crate) fn last_call(&mut self) {
        let open: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in open {
            self.give_up(id);
        }
    }

    /// Hears what the others hold, all of them added up; nothing, where it is alone. While another sends to cold
    /// engines, this one does not, nor for a window after that.
    pub fn beside(&mut self, now: Micros, others: &Held, may_warm: bool) {
        let window = self.settings.overload_for;
        let held = others.engines.iter().map(|held| (held.engine, held));
        let held: BTreeMap<EngineId, &EngineHeld> = held.collect();
        for (id, engine) in &mut self.engines {
            let held = held.get(id).copied().cloned().unwrap_or_default();
            let recent = held.sent.iter().filter(|(at, _)| *at + window > now);
            engine.elsewhere = EngineShare {
                engine: *id,
                out: held.out,
                cold_work: recent.map(|(_, work)| work).sum(),
                room: Room::default(),
            };
        }
        let classes = self.settings.classes.iter();
        let out = |class: &Class| {
            let named = |held: &&ClassHeld| held.name == class.name && !class.retired;
            let held = others.classes.iter().find(named);
            held.map(|held| held.out).unwrap_or_default()
        };
        self.elsewhere.classes = classes.map(out).collect();
        if !may_warm {
            self.started_at = Some(self.now.max(now));
        }
    }
}

/// This moment of one clock on another, given what both show now; zero stays what it is, no moment.
fn moved(at: Micros, from: Micros, to: Micros) -> Micros {
    if at == Micros(0) {
        return at;
    }
    Micros(at.0.saturating_add(to.0).saturating_sub(from.0))
}

impl Held {
    /// The same with its times on another clock, given what both clocks show now.
    pub fn on_clock(mut self, from: Micros, to: Micros) -> Held {
        for engine in &mut self.engines {
            for (at, _) in &mut engine.sent {
                *at = moved(*at, from, to);
            }
            let (rests, jammed) = engine.rests_until;
            engine.rests_until = (moved(rests, from, to), moved(jammed, from, to));
        }
        self
    }

    /// What several hold, as one.
    pub fn and(mut self, other: Held) -> Held {
        for more in other.engines {
            match self
                .engines
                .iter_mut()
                .find(|held| held.engine == more.engine)
            {
                Some(held) => {
                    held.out.threads += more.out.threads;
                    held.out.memory_mb += more.out.memory_mb;
                    held.out.groups.extend(more.out.groups);
                    held.sent.extend(more.sent);
                }
                None => self.engines.push(more),
            }
        }
        for more in other.classes {
            match self.classes.iter_mut().find(|held| held.name == more.name) {
                Some(held) => {
                    held.out.threads += more.out.threads;
                    held.out.memory_mb += more.out.memory_mb;
                }
                None => self.classes.push(more),
            }
        }
        self
    }
}
