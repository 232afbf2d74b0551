//! Handover between two processes of one dispatcher, whose gateways together act as one: exports usage and
//! learned statistics, and applies those of the peer process. Contains no decisions; a gateway without a peer
//! process acts alone.

use crate::interface::*;
use crate::policy::Gateway;
use crate::shard_usage::{ClassUsage, EngineUsage, SiblingEngineUsage, ThreadQuota};
use crate::state::{ClassStats, MovingMean, Request};
use std::collections::BTreeMap;

/// A gateway's usage of engines, and its learned statistics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    pub engines: Vec<EngineHandover>,
    pub classes: Vec<ClassHandover>,
    /// Multiple of its share of the fleet that the gateway may have in flight.
    pub concurrency_limit: f64,
}

/// The part of the handover state about one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineHandover {
    pub engine: EngineId,
    pub usage: EngineUsage,
    /// Times and work, in core seconds, of the sends within the overload window.
    pub recent_sends: Vec<(Micros, f64)>,
    /// Moving mean of the log ratio of its service times to the usual ones.
    pub service_time_ratio: f64,
    /// Until when it is ejected for consecutive failures, and for a stall; zero if it is not.
    pub ejected_until: (Micros, Micros),
}

/// The part of the handover state about one class, identified by its name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassHandover {
    pub name: String,
    pub usage: ClassUsage,
    /// Usual log ratio of an attempt's time to its estimated time; `None` before the first answer.
    pub usual_ratio: Option<f64>,
    /// Moving mean of the log ratio of an attempt's time to the usual one.
    pub service_time_ratio: f64,
    /// Mean time of an attempt; `None` before the first answer.
    pub mean_attempt_us: Option<f64>,
    /// Mean work of a request, as its process reckons with; `None` before the first estimate.
    pub mean_work_us: Option<f64>,
    /// Number of requests accepted so far.
    pub accepted_requests: f64,
    /// Learned addition to the memory grant, as a multiple of the estimate.
    pub spill_margin: f64,
}

impl Gateway {
    /// Exports this gateway's usage and statistics.
    pub fn handover_state(&self) -> HandoverState {
        let engines = self.engines.iter().map(|(id, engine)| {
            let (failures_until, stall_until) = engine.health.handover_state();
            EngineHandover {
                engine: *id,
                usage: EngineUsage {
                    threads: engine.threads_in_flight,
                    memory_mb: engine.memory_in_flight_mb,
                    table_groups: engine.loading_groups.clone(),
                },
                recent_sends: engine.recent_sends.iter().copied().collect(),
                service_time_ratio: engine.service_time_ratio,
                ejected_until: (Micros(failures_until), Micros(stall_until)),
            }
        });
        let mut classes: Vec<ClassHandover> = Vec::new();
        for (index, (class, stats)) in self.settings.classes.iter().zip(&self.stats).enumerate() {
            let mean_work_us = |_| self.mean_core_seconds(index) * 1e6;
            classes.push(ClassHandover {
                name: class.name.clone(),
                usage: ClassUsage::default(),
                usual_ratio: stats.usual_ratio,
                service_time_ratio: stats.service_time_ratio,
                mean_attempt_us: stats.attempt_us.0,
                mean_work_us: stats.estimated_work_us.0.map(mean_work_us),
                accepted_requests: stats.accepted_requests,
                spill_margin: stats.spill_margin,
            });
        }
        let in_flight = |request: &&Request| request.attempts_in_flight() > 0;
        for request in self.requests.values().filter(in_flight) {
            if let Some(class) = classes.get_mut(request.class) {
                class.usage.threads += request.threads;
                class.usage.memory_mb += request.granted_memory_mb;
            }
        }
        HandoverState {
            engines: engines.collect(),
            classes,
            concurrency_limit: self.concurrency_limit.handover_state(),
        }
    }

    /// Adopts the learned statistics of another process of this gateway. Those of a class are adopted only if
    /// this process has accepted no request of it.
    pub fn restore(&mut self, state: &HandoverState) {
        self.scan.is_outdated = true;
        for (class, stats) in self.settings.classes.iter().zip(&mut self.stats) {
            let known = state.classes.iter().find(|known| known.name == class.name);
            let Some(known) = known.filter(|_| stats.accepted_requests == 0.0) else {
                continue;
            };
            *stats = ClassStats {
                usual_ratio: known.usual_ratio,
                service_time_ratio: known.service_time_ratio,
                attempt_us: MovingMean(known.mean_attempt_us),
                estimated_work_us: MovingMean(known.mean_work_us),
                observed_work: stats.observed_work,
                accepted_requests: known.accepted_requests,
                spill_margin: known.spill_margin,
            };
        }
        for handover in &state.engines {
            if let Some(engine) = self.engines.get_mut(&handover.engine) {
                engine.service_time_ratio = handover.service_time_ratio;
                let (failures_until, stall_until) = handover.ejected_until;
                engine.health.restore((failures_until.0, stall_until.0));
            }
        }
        self.concurrency_limit.restore(state.concurrency_limit);
    }

    /// Gives every request its final answer, as the process is about to end.
    pub(crate) fn shut_down(&mut self) {
        let open_requests: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in open_requests {
            self.give_up(id);
        }
    }

    /// Sets the combined usage of the peer processes, which is empty if there are none.
    /// `may_use_cold_engines` is false while a peer process sends to cold engines: this gateway then sends
    /// nothing to them, until one overload window has passed after that.
    pub fn set_peer_process_usage(
        &mut self,
        now: Micros,
        peers: &HandoverState,
        may_use_cold_engines: bool,
    ) {
        let window = self.settings.overload_window;
        let engines = peers.engines.iter().map(|engine| (engine.engine, engine));
        let engines: BTreeMap<EngineId, &EngineHandover> = engines.collect();
        for (id, engine) in &mut self.engines {
            let peer = engines.get(id).copied().cloned().unwrap_or_default();
            let recent = peer
                .recent_sends
                .iter()
                .filter(|(at, _)| *at + window > now);
            engine.siblings = SiblingEngineUsage {
                engine: *id,
                usage: peer.usage,
                cold_work_core_s: recent.map(|(_, work)| work).sum(),
                quota: ThreadQuota::default(),
            };
        }
        let classes = self.settings.classes.iter();
        let usage = |class: &Class| {
            let is_same_class = |peer: &&ClassHandover| peer.name == class.name && !class.retired;
            let peer = peers.classes.iter().find(is_same_class);
            peer.map(|peer| peer.usage).unwrap_or_default()
        };
        self.siblings.classes = classes.map(usage).collect();
        if !may_use_cold_engines {
            self.started_at = Some(self.now.max(now));
        }
    }
}

/// Converts a time between two clocks, given what both show now; zero means no time and stays zero.
fn translate_time(at: Micros, from: Micros, to: Micros) -> Micros {
    if at == Micros(0) {
        return at;
    }
    Micros(at.0.saturating_add(to.0).saturating_sub(from.0))
}

impl HandoverState {
    /// Converts all times to another clock, given what both clocks show now.
    pub fn translate_clock(mut self, from: Micros, to: Micros) -> HandoverState {
        for engine in &mut self.engines {
            for (at, _) in &mut engine.recent_sends {
                *at = translate_time(*at, from, to);
            }
            let (failures_until, stall_until) = engine.ejected_until;
            engine.ejected_until = (
                translate_time(failures_until, from, to),
                translate_time(stall_until, from, to),
            );
        }
        self
    }

    /// Adds the usage of another process. Where both have statistics, those of `self` are kept.
    pub fn merge(mut self, other: HandoverState) -> HandoverState {
        for engine in other.engines {
            match self
                .engines
                .iter_mut()
                .find(|known| known.engine == engine.engine)
            {
                Some(known) => {
                    known.usage.threads += engine.usage.threads;
                    known.usage.memory_mb += engine.usage.memory_mb;
                    known.usage.table_groups.extend(engine.usage.table_groups);
                    known.recent_sends.extend(engine.recent_sends);
                }
                None => self.engines.push(engine),
            }
        }
        for class in other.classes {
            match self
                .classes
                .iter_mut()
                .find(|known| known.name == class.name)
            {
                Some(known) => {
                    known.usage.threads += class.usage.threads;
                    known.usage.memory_mb += class.usage.memory_mb;
                }
                None => self.classes.push(class),
            }
        }
        self
    }
}
