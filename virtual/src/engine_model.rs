//! A model of one engine, not fitted to a real one. Queries share the cores by priority, and excess threads or
//! memory slow all of them down. A started engine warms up, and a cold engine that gets far more work than it
//! can handle crashes.

mod arrivals;
#[cfg(test)]
mod tests;

use arrivals::RecentArrivals;
use rand::Rng;
use sedgebeam_core::{
    EngineId, LoadReport, Micros, Note, RequestId, Settings, TableGroupId, ZoneId,
};
use std::collections::BTreeMap;

/// Cores of each engine.
pub const ENGINE_CORES: f64 = 12.0;
/// Memory of each engine, in megabytes.
pub const ENGINE_MEMORY_MB: f64 = 24576.0;
/// Threads per core above which additional threads reduce the throughput.
const THRASHING_THREADS_PER_CORE: f64 = 1.8;
/// Relative increase of execution times for each additional thread per core above that.
const THRASHING_COST: f64 = 0.7;
/// Relative increase of execution times if queries need twice the engine's memory; proportional to the excess.
const PAGING_COST: f64 = 6.0;
/// Weights by which cores are shared, indexed by priority.
const PRIORITY_WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// A cold engine tolerates more queries of mean work in a window than the settings allow, because random
/// arrivals fluctuate: `TOLERATED_DEVIATIONS` standard deviations (the square root of the allowed number) plus
/// `TOLERATED_QUERIES` more.
const TOLERATED_DEVIATIONS: f64 = 2.0;
const TOLERATED_QUERIES: f64 = 2.0;
/// Time for which a crashed engine is down.
const CRASH_DOWNTIME: Micros = Micros::from_millis(3000);

/// The impairment of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// Factor by which all work is slower; zero and one mean healthy.
    pub slowdown: f64,
    /// Share of queries that fail immediately.
    pub error_rate: f64,
    /// Whether the engine works, but its reports do not arrive.
    pub silent: bool,
}

/// An attempt that runs on an engine.
#[derive(Clone, Debug)]
pub(crate) struct RunningQuery {
    pub gateway: usize,
    /// Distinguishes the attempts of one request.
    pub attempt_no: u32,
    pub class: usize,
    pub group: TableGroupId,
    pub threads: f64,
    pub memory_mb: f64,
    pub priority: usize,
    /// Total work in core seconds.
    pub work: f64,
    /// Remaining work in core seconds.
    pub remaining_work: f64,
    pub last_note_at: Micros,
    pub started_at: Micros,
}

impl RunningQuery {
    /// The weight by which the query gets its share of the cores.
    fn weight(&self) -> f64 {
        let highest_priority = PRIORITY_WEIGHTS.len() - 1;
        self.threads * PRIORITY_WEIGHTS[self.priority.min(highest_priority)]
    }

    fn is_done(&self) -> bool {
        self.remaining_work <= 0.0
    }

    /// The next progress note, if the interval since the last note has passed.
    fn progress_note(&mut self, now: Micros, interval: Micros, is_blocked: bool) -> Option<Note> {
        if interval == Micros(0) || now < self.last_note_at + interval {
            return None;
        }
        self.last_note_at = now;
        if is_blocked {
            return Some(Note::WaitsForLoad);
        }
        Some(Note::Progress(1.0 - self.remaining_work / self.work))
    }
}

/// A report of an engine about a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QueryReport {
    Done,
    Failed,
    Note(Note),
}

/// An engine with its running queries.
#[derive(Clone, Debug)]
pub(crate) struct EngineModel {
    pub id: EngineId,
    pub zone: ZoneId,
    /// Zero for an engine that has been running for a long time.
    pub started_at: Micros,
    pub down_until: Micros,
    pub is_removed: bool,
    pub is_draining: bool,
    pub impairment: Impairment,
    pub running: BTreeMap<RequestId, RunningQuery>,
    recent_arrivals: RecentArrivals,
}

impl EngineModel {
    pub fn new(id: EngineId, zone: ZoneId, started_at: Micros) -> EngineModel {
        EngineModel {
            id,
            zone,
            started_at,
            down_until: Micros(0),
            is_removed: false,
            is_draining: false,
            impairment: Impairment::default(),
            running: BTreeMap::new(),
            recent_arrivals: RecentArrivals::default(),
        }
    }

    pub fn is_up(&self, now: Micros) -> bool {
        !self.is_removed && now >= self.down_until
    }

    /// Share of the full capacity that is available while the engine warms up.
    pub fn capacity_share(&self, now: Micros, settings: &Settings) -> f64 {
        if self.started_at == Micros(0) || settings.warm_after == Micros(0) {
            return 1.0;
        }
        let age = (now - self.started_at).0 as f64 / settings.warm_after.0 as f64;
        settings.start_capacity + (1.0 - settings.start_capacity) * age.min(1.0)
    }

    pub fn is_cold(&self, now: Micros, settings: &Settings) -> bool {
        self.started_at > Micros(0) && now < self.started_at + settings.warm_after
    }

    /// Work that arrived within the window, as a multiple of what a cold engine tolerates; zero for a warm engine.
    pub fn overload(&mut self, now: Micros, settings: &Settings, mean_work: f64) -> f64 {
        let window = settings.overload_window;
        self.recent_arrivals.expire(now, window);
        if !self.is_cold(now, settings) {
            return 0.0;
        }
        let capacity = ENGINE_CORES * self.capacity_share(now, settings);
        let allowed_work = capacity * settings.overload_multiple * window.0 as f64 / 1e6;
        let allowed_queries = allowed_work / mean_work.max(1e-9);
        let arrived_queries = self.recent_arrivals.work() / mean_work.max(1e-9);
        arrived_queries
            / (allowed_queries + TOLERATED_DEVIATIONS * allowed_queries.sqrt() + TOLERATED_QUERIES)
    }

    /// Share of the work within the window that was sent by gateways that knew of the engine's latest start.
    pub fn informed_share(&self) -> f64 {
        self.recent_arrivals.informed_share()
    }

    /// Starts a query and records whether its sender knew of the engine's latest start.
    pub fn start(
        &mut self,
        now: Micros,
        id: RequestId,
        query: RunningQuery,
        sender_knew_latest_start: bool,
    ) {
        self.recent_arrivals
            .add(now, query.work, sender_knew_latest_start);
        self.running.insert(id, query);
    }

    /// Crashes the engine: returns the running queries, which are lost; the engine restarts after a downtime.
    pub fn crash(&mut self, now: Micros) -> Vec<(RequestId, RunningQuery)> {
        self.restart(now, now + CRASH_DOWNTIME)
    }

    /// Stops the engine now and restarts it cold at `back_at`. Returns the queries that were running.
    pub fn restart(&mut self, now: Micros, back_at: Micros) -> Vec<(RequestId, RunningQuery)> {
        let back_at = back_at.max(now);
        self.down_until = back_at;
        self.started_at = back_at;
        self.recent_arrivals.clear();
        std::mem::take(&mut self.running).into_iter().collect()
    }

    fn threads(&self) -> f64 {
        self.running.values().map(|query| query.threads).sum()
    }

    fn memory_mb(&self) -> f64 {
        self.running.values().map(|query| query.memory_mb).sum()
    }

    /// Missing memory, as a multiple of the engine's memory.
    fn memory_shortage(&self) -> f64 {
        (self.memory_mb() / ENGINE_MEMORY_MB - 1.0).max(0.0)
    }

    /// Work of all queries together, in core seconds per second.
    fn throughput(&self, now: Micros, settings: &Settings) -> f64 {
        let excess_threads = (self.threads() / ENGINE_CORES - THRASHING_THREADS_PER_CORE).max(0.0);
        let thrashing = 1.0 + THRASHING_COST * excess_threads;
        let paging = 1.0 + PAGING_COST * self.memory_shortage();
        let slowdown = self.impairment.slowdown.max(1.0);
        ENGINE_CORES * self.capacity_share(now, settings) / thrashing / paging / slowdown
    }

    /// Table groups that are locked by running loads.
    fn locked_groups(&self, settings: &Settings) -> Vec<TableGroupId> {
        let holds_group = |query: &&RunningQuery| settings.classes[query.class].holds_group;
        let holders = self.running.values().filter(holds_group);
        holders.map(|query| query.group).collect()
    }

    /// Runs the queries for the elapsed time and returns the reports at its end. A load blocks the queries of
    /// its table group that wait for loads.
    pub fn advance(
        &mut self,
        now: Micros,
        elapsed: Micros,
        settings: &Settings,
        rng: &mut impl Rng,
    ) -> Vec<(RequestId, QueryReport)> {
        let locked_groups = self.locked_groups(settings);
        let is_blocked = |query: &RunningQuery| {
            settings.classes[query.class].waits_for_load && locked_groups.contains(&query.group)
        };
        let active_queries = self.running.values().filter(|query| !is_blocked(query));
        let total_weight: f64 = active_queries.map(RunningQuery::weight).sum();
        let work_done = self.throughput(now, settings) * elapsed.0 as f64 / 1e6;
        let seconds = elapsed.0 as f64 / 1e6;
        let error_rate = self.impairment.error_rate;
        let mut reports = Vec::new();
        for (id, query) in &mut self.running {
            let blocked = is_blocked(query);
            if !blocked {
                let query_work = work_done * query.weight() / total_weight.max(1e-9);
                query.remaining_work -= query_work.min(seconds * query.threads);
            }
            let is_first_step = query.started_at + elapsed >= now;
            let report = if is_first_step && rng.random_bool(error_rate) {
                Some(QueryReport::Failed)
            } else if query.is_done() {
                Some(QueryReport::Done)
            } else {
                let note = query.progress_note(now, settings.note_interval, blocked);
                note.map(QueryReport::Note)
            };
            reports.extend(report.map(|report| (*id, report)));
        }
        reports
    }

    /// The engine's load report. An engine that pages looks idle, because its cores wait for memory.
    pub fn load_report(&self) -> LoadReport {
        let paging = 1.0 + self.memory_shortage() * PAGING_COST;
        LoadReport {
            active_queries: Some(self.running.len() as f64),
            queries_waiting_for_memory: Some(0.0),
            busy_cores_share: Some((self.threads() / ENGINE_CORES).min(1.0) / paging),
            granted_memory_share: Some((self.memory_mb() / ENGINE_MEMORY_MB).min(1.0)),
        }
    }
}
