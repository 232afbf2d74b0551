//! Injects the scripted faults into a simulation.

use crate::engine_model::Impairment;
use crate::events::ScheduledEvent;
use crate::faults::Fault;
use crate::simulation::Simulation;
use rand::Rng;
use sedgebeam_core::{EngineId, Micros, Outcome, RequestId, ZoneId};

/// Time for which a replaced engine drains before it is removed.
const DRAIN_DURATION: Micros = Micros::from_millis(4000);

impl Simulation {
    pub(crate) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::ReplaceEngines { share } => self.replace_engines(share),
            Fault::DrainEngines { share } => {
                let engines = self.oldest_engines(share);
                self.drain_engines(&engines);
            }
            Fault::ImpairEngines { share, impairment } => self.impair_engines(share, impairment),
            Fault::ZoneOutage { zone, duration } => self.stop_zone(zone, duration),
            Fault::ZonePartition { zone, duration } => self.partition_zone(zone, duration),
            Fault::RestartGateways {
                from_share,
                to_share,
                downtime,
            } => {
                self.restart_gateways(from_share, to_share, downtime);
            }
            Fault::ResetConnections { share } => self.reset_connections(share),
            Fault::Traffic { multiplier } => self.traffic.multiplier = multiplier,
            Fault::ReloadSettings { gateways } => self.reload_settings(gateways),
        }
    }

    /// A share of the engines that accept new work, the oldest first, so that a replacement does not hit the
    /// engines that were just started.
    fn oldest_engines(&self, share: f64) -> Vec<EngineId> {
        let engines = self.engines.values();
        let mut serving: Vec<_> = engines
            .filter(|engine| !engine.is_removed && !engine.is_draining)
            .collect();
        serving.sort_by_key(|engine| (engine.started_at, engine.id));
        let count = (share * self.deployment.engines as f64).round() as usize;
        let oldest = serving.into_iter().take(count);
        oldest.map(|engine| engine.id).collect()
    }

    fn replace_engines(&mut self, share: f64) {
        let replaced_engines = self.oldest_engines(share);
        let replacements: Vec<EngineId> = replaced_engines
            .iter()
            .map(|_| self.start_engine(self.now))
            .collect();
        self.drain_engines(&replaced_engines);
        self.announce_engines(&replacements);
        let removed_at = self.now + DRAIN_DURATION;
        self.schedule(removed_at, ScheduledEvent::EnginesRemoved(replaced_engines));
    }

    fn drain_engines(&mut self, ids: &[EngineId]) {
        for id in ids {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.is_draining = true;
            }
        }
        self.announce_engines(ids);
    }

    /// Removes engines; queries that still run on them are lost.
    pub(crate) fn remove_engines(&mut self, ids: &[EngineId]) {
        let mut lost_queries = Vec::new();
        for id in ids {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.is_removed = true;
                lost_queries.extend(std::mem::take(&mut engine.running));
            }
        }
        self.reset_queries(lost_queries);
        self.announce_engines(ids);
    }

    fn impair_engines(&mut self, share: f64, impairment: Impairment) {
        for id in self.oldest_engines(share) {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.impairment = impairment;
            }
        }
    }

    fn stop_zone(&mut self, zone: ZoneId, duration: Micros) {
        let (now, back_at) = (self.now, self.now + duration);
        let mut stopped_engines = Vec::new();
        let mut lost_queries = Vec::new();
        for engine in self.engines.values_mut() {
            if engine.zone == zone && !engine.is_removed {
                stopped_engines.push(engine.id);
                lost_queries.extend(engine.restart(now, back_at));
            }
        }
        self.reset_queries(lost_queries);
        // The announcement reaches the gateways with the usual delay, so that they learn of the restart only later.
        self.announce_engines(&stopped_engines);
    }

    fn partition_zone(&mut self, zone: ZoneId, duration: Micros) {
        let healed_at = self.now + duration;
        self.partitioned_zones.push(zone);
        for gateway in self.gateways.iter_mut().filter(|node| node.zone == zone) {
            gateway.earliest_list_arrival = gateway.earliest_list_arrival.max(healed_at);
        }
        self.schedule(healed_at, ScheduledEvent::PartitionHeals(zone));
    }

    fn restart_gateways(&mut self, from_share: f64, to_share: f64, downtime: Micros) {
        let count = self.gateways.len() as f64;
        let (first, end) = ((from_share * count).round(), (to_share * count).round());
        for gateway in first as usize..end as usize {
            self.stop_gateway(gateway);
            let starts_at = self.now + downtime;
            self.schedule(starts_at, ScheduledEvent::GatewayStarts(gateway));
        }
    }

    fn reset_connections(&mut self, share: f64) {
        let requests = self.requests.iter();
        let in_flight: Vec<(RequestId, u32)> = requests
            .filter_map(|(id, request)| Some((*id, request.in_flight.as_ref()?.attempt_no)))
            .collect();
        for (id, attempt_no) in in_flight {
            if self.rng.random_bool(share) {
                self.end_attempt(id, attempt_no, Outcome::Reset);
            }
        }
    }

    fn reload_settings(&mut self, gateways: u32) {
        self.deployment.settings.gateways = gateways;
        for (gateway_index, node) in self.gateways.iter_mut().enumerate() {
            node.logic
                .reconfigure(self.deployment.gateway_settings(gateway_index as u32));
        }
    }
}
