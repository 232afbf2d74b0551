//! Two processes of one dispatcher, the gateway of each a part of one: what the one holds and has learned, and
//! what the other makes of it. Nothing is decided here; as long as nothing is heard, a gateway is alone.

use crate::interface::*;
use crate::policy::Gateway;
use crate::shard_usage::{ClassUsage, EngineUsage, SiblingEngineUsage, ThreadQuota};
use crate::state::{ClassStats, MovingMean, Request};
use std::collections::BTreeMap;

/// What a gateway holds, and what it has learned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    pub engines: Vec<EngineHandover>,
    pub classes: Vec<ClassHandover>,
    /// How many times its part of the fleet it may have out.
    pub concurrency_limit: f64,
}

/// The same of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineHandover {
    pub engine: EngineId,
    pub usage: EngineUsage,
    /// Work sent within the window in which a cold engine counts it, in core seconds, and when.
    pub recent_sends: Vec<(Micros, f64)>,
    /// Log ratio of time taken to the usual.
    pub service_time_ratio: f64,
    /// Until when it is set aside after strikes, and after a jam; zero where it is not.
    pub ejected_until: (Micros, Micros),
}

/// The same of a class, by its name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassHandover {
    pub name: String,
    pub usage: ClassUsage,
    /// Log ratios of time taken to time expected, usually, and lately to that.
    pub usual_ratio: Option<f64>,
    pub service_time_ratio: f64,
    /// Mean time of an attempt, and mean estimate of the work, in microseconds.
    pub mean_attempt_us: Option<f64>,
    pub mean_work_us: Option<f64>,
    /// How many were taken.
    pub accepted_requests: f64,
    /// Memory needed over the granted estimate.
    pub spill_margin: f64,
}

impl Gateway {
    /// Tells what it holds and has learned.
    pub fn handover_state(&self) -> HandoverState {
        let engines = self.engines.iter().map(|(id, engine)| {
            let (rests, jammed) = engine.health.rests_handed_over();
            EngineHandover {
                engine: *id,
                usage: EngineUsage {
                    threads: engine.threads_in_flight,
                    memory_mb: engine.memory_in_flight_mb,
                    table_groups: engine.loading_groups.clone(),
                },
                recent_sends: engine.recent_sends.iter().copied().collect(),
                service_time_ratio: engine.service_time_ratio,
                ejected_until: (Micros(rests), Micros(jammed)),
            }
        });
        let mut classes: Vec<ClassHandover> = Vec::new();
        for (class, usual) in self.settings.classes.iter().zip(&self.stats) {
            classes.push(ClassHandover {
                name: class.name.clone(),
                usage: ClassUsage::default(),
                usual_ratio: usual.usual_ratio,
                service_time_ratio: usual.service_time_ratio,
                mean_attempt_us: usual.attempt_us.0,
                mean_work_us: usual.work_us.0,
                accepted_requests: usual.accepted_requests,
                spill_margin: usual.spill_margin,
            });
        }
        let out = |request: &&Request| request.attempts_in_flight() > 0;
        for request in self.requests.values().filter(out) {
            if let Some(class) = classes.get_mut(request.class) {
                class.usage.threads += request.threads;
                class.usage.memory_mb += request.granted_memory_mb;
            }
        }
        HandoverState {
            engines: engines.collect(),
            classes,
            concurrency_limit: self.concurrency_limit.handed_over(),
        }
    }

    /// Begins with what another process of this gateway has learned, where it has learned nothing itself.
    pub fn restore(&mut self, held: &HandoverState) {
        self.scan.is_outdated = true;
        for (class, usual) in self.settings.classes.iter().zip(&mut self.stats) {
            let known = held.classes.iter().find(|known| known.name == class.name);
            let Some(known) = known.filter(|_| usual.accepted_requests == 0.0) else {
                continue;
            };
            *usual = ClassStats {
                usual_ratio: known.usual_ratio,
                service_time_ratio: known.service_time_ratio,
                attempt_us: MovingMean(known.mean_attempt_us),
                work_us: MovingMean(known.mean_work_us),
                accepted_requests: known.accepted_requests,
                spill_margin: known.spill_margin,
            };
        }
        for held in &held.engines {
            if let Some(engine) = self.engines.get_mut(&held.engine) {
                engine.service_time_ratio = held.service_time_ratio;
                let (rests, jammed) = held.ejected_until;
                engine.health.take_rests((rests.0, jammed.0));
            }
        }
        self.concurrency_limit.take_over(held.concurrency_limit);
    }

    /// Gives every request its final answer: whoever ends the process waits no longer.
    pub(crate) fn shut_down(&mut self) {
        let open: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in open {
            self.give_up(id);
        }
    }

    /// Hears what the others hold, all of them added up; nothing, where it is alone. While another sends to cold
    /// engines, this one does not, nor for a window after that.
    pub fn set_peer_process_usage(&mut self, now: Micros, others: &HandoverState, may_warm: bool) {
        let window = self.settings.overload_window;
        let held = others.engines.iter().map(|held| (held.engine, held));
        let held: BTreeMap<EngineId, &EngineHandover> = held.collect();
        for (id, engine) in &mut self.engines {
            let held = held.get(id).copied().cloned().unwrap_or_default();
            let recent = held
                .recent_sends
                .iter()
                .filter(|(at, _)| *at + window > now);
            engine.siblings = SiblingEngineUsage {
                engine: *id,
                usage: held.usage,
                cold_work_core_s: recent.map(|(_, work)| work).sum(),
                quota: ThreadQuota::default(),
            };
        }
        let classes = self.settings.classes.iter();
        let out = |class: &Class| {
            let named = |held: &&ClassHandover| held.name == class.name && !class.retired;
            let held = others.classes.iter().find(named);
            held.map(|held| held.usage).unwrap_or_default()
        };
        self.siblings.classes = classes.map(out).collect();
        if !may_warm {
            self.started_at = Some(self.now.max(now));
        }
    }
}

/// This moment of one clock on another, given what both show now; zero stays what it is, no moment.
fn translate_time(at: Micros, from: Micros, to: Micros) -> Micros {
    if at == Micros(0) {
        return at;
    }
    Micros(at.0.saturating_add(to.0).saturating_sub(from.0))
}

impl HandoverState {
    /// The same with its times on another clock, given what both clocks show now.
    pub fn translate_clock(mut self, from: Micros, to: Micros) -> HandoverState {
        for engine in &mut self.engines {
            for (at, _) in &mut engine.recent_sends {
                *at = translate_time(*at, from, to);
            }
            let (rests, jammed) = engine.ejected_until;
            engine.ejected_until = (
                translate_time(rests, from, to),
                translate_time(jammed, from, to),
            );
        }
        self
    }

    /// What several hold, as one.
    pub fn merge(mut self, other: HandoverState) -> HandoverState {
        for more in other.engines {
            match self
                .engines
                .iter_mut()
                .find(|held| held.engine == more.engine)
            {
                Some(held) => {
                    held.usage.threads += more.usage.threads;
                    held.usage.memory_mb += more.usage.memory_mb;
                    held.usage.table_groups.extend(more.usage.table_groups);
                    held.recent_sends.extend(more.recent_sends);
                }
                None => self.engines.push(more),
            }
        }
        for more in other.classes {
            match self.classes.iter_mut().find(|held| held.name == more.name) {
                Some(held) => {
                    held.usage.threads += more.usage.threads;
                    held.usage.memory_mb += more.usage.memory_mb;
                }
                None => self.classes.push(more),
            }
        }
        self
    }
}
