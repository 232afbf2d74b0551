//! A model of one engine: queries share its cores by priority, too many threads or too much memory slow all of them,
//! a started engine warms up, and one that is sent far more than it can do crashes. It is not fitted to a real engine.

mod arrivals;
#[cfg(test)]
mod tests;

use arrivals::RecentArrivals;
use rand::Rng;
use sedgebeam_core::{
    EngineId, LoadReport, Micros, Note, RequestId, Settings, TableGroupId, ZoneId,
};
use std::collections::BTreeMap;

/// Cores and memory of every engine.
pub const ENGINE_CORES: f64 = 12.0;
pub const ENGINE_MEMORY_MB: f64 = 24576.0;
/// Threads a core beyond which more threads lower the throughput.
const THRASHING_THREADS_PER_CORE: f64 = 1.8;
/// How much each further thread a core lowers it.
const THRASHING_COST: f64 = 0.7;
/// How many times slower all queries run for each whole memory that is missing.
const PAGING_COST: f64 = 6.0;
/// Weights in the shares of cores, by priority.
const PRIORITY_WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// Where the settings allow N queries of mean work in a window, a cold engine bears so many roots of N more, and so many
/// queries more: arrivals scatter by chance.
const TOLERATED_ROOTS: f64 = 2.0;
const TOLERATED_QUERIES: f64 = 2.0;
/// An engine that has crashed is down for so long.
const CRASH_DOWNTIME: Micros = Micros::from_millis(3000);

/// What is wrong with an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// It works so many times slower; zero and one are healthy.
    pub slowdown: f64,
    /// Share of queries that end in an error at once.
    pub error_rate: f64,
    /// Nothing is heard of it, though it works.
    pub silent: bool,
}

/// One attempt as its engine runs it.
#[derive(Clone, Debug)]
pub(crate) struct RunningQuery {
    pub gateway: usize,
    /// Tells attempts of one request apart.
    pub attempt: u32,
    pub class: usize,
    pub group: TableGroupId,
    pub threads: f64,
    pub memory_mb: f64,
    pub priority: usize,
    /// Core seconds in all.
    pub work: f64,
    /// Core seconds that are left.
    pub work_left: f64,
    pub last_note_at: Micros,
    pub started_at: Micros,
}

impl RunningQuery {
    /// Its weight in the shares of cores.
    fn weight(&self) -> f64 {
        let highest = PRIORITY_WEIGHTS.len() - 1;
        self.threads * PRIORITY_WEIGHTS[self.priority.min(highest)]
    }

    fn is_done(&self) -> bool {
        self.work_left <= 0.0
    }

    /// The note of its progress, once an interval has passed since the last one.
    fn note(&mut self, now: Micros, interval: Micros, blocked: bool) -> Option<Note> {
        if interval == Micros(0) || now < self.last_note_at + interval {
            return None;
        }
        self.last_note_at = now;
        if blocked {
            return Some(Note::WaitsForLoad);
        }
        Some(Note::Progress(1.0 - self.work_left / self.work))
    }
}

/// What an engine reports of a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QueryReport {
    Done,
    Failed,
    Note(Note),
}

/// An engine and what it runs.
#[derive(Clone, Debug)]
pub(crate) struct EngineModel {
    pub id: EngineId,
    pub zone: ZoneId,
    /// Zero for long ago.
    pub started_at: Micros,
    pub down_until: Micros,
    pub removed: bool,
    pub draining: bool,
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
            removed: false,
            draining: false,
            impairment: Impairment::default(),
            running: BTreeMap::new(),
            recent_arrivals: RecentArrivals::default(),
        }
    }

    pub fn is_up(&self, now: Micros) -> bool {
        !self.removed && now >= self.down_until
    }

    /// Share of its capacity that it has while it warms up.
    pub fn warm_share(&self, now: Micros, settings: &Settings) -> f64 {
        if self.started_at == Micros(0) || settings.warm_after == Micros(0) {
            return 1.0;
        }
        let age = (now - self.started_at).0 as f64 / settings.warm_after.0 as f64;
        settings.start_capacity + (1.0 - settings.start_capacity) * age.min(1.0)
    }

    pub fn is_cold(&self, now: Micros, settings: &Settings) -> bool {
        self.started_at > Micros(0) && now < self.started_at + settings.warm_after
    }

    /// What arrived within the window over what a cold engine bears; zero for a warm one.
    pub fn overload(&mut self, now: Micros, settings: &Settings, mean_work: f64) -> f64 {
        let window = settings.overload_window;
        self.recent_arrivals.expire(now, window);
        if !self.is_cold(now, settings) {
            return 0.0;
        }
        let capacity = ENGINE_CORES * self.warm_share(now, settings);
        let allowed_work = capacity * settings.overload_multiple * window.0 as f64 / 1e6;
        let allowed = allowed_work / mean_work.max(1e-9);
        let arrived = self.recent_arrivals.work() / mean_work.max(1e-9);
        arrived / (allowed + TOLERATED_ROOTS * allowed.sqrt() + TOLERATED_QUERIES)
    }

    /// Share of what arrived within the window that was sent by gateways that knew of the start.
    pub fn informed_share(&self) -> f64 {
        self.recent_arrivals.informed_share()
    }

    /// Starts a query; its sender knew of the engine's start or did not.
    pub fn start(
        &mut self,
        now: Micros,
        id: RequestId,
        query: RunningQuery,
        sender_knew_start: bool,
    ) {
        self.recent_arrivals.add(now, query.work, sender_knew_start);
        self.running.insert(id, query);
    }

    /// Crashes: all that runs is lost, and it starts again later.
    pub fn crash(&mut self, now: Micros) -> Vec<(RequestId, RunningQuery)> {
        self.restart(now, now + CRASH_DOWNTIME)
    }

    /// Stops now and is back, cold, at a time; returns what ran.
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

    /// Memory that is missing, as a multiple of what there is.
    fn memory_shortage(&self) -> f64 {
        (self.memory_mb() / ENGINE_MEMORY_MB - 1.0).max(0.0)
    }

    /// Core seconds done in a second, by all that runs.
    fn throughput(&self, now: Micros, settings: &Settings) -> f64 {
        let excess_threads = (self.threads() / ENGINE_CORES - THRASHING_THREADS_PER_CORE).max(0.0);
        let thrashing = 1.0 + THRASHING_COST * excess_threads;
        let paging = 1.0 + PAGING_COST * self.memory_shortage();
        let slowdown = self.impairment.slowdown.max(1.0);
        ENGINE_CORES * self.warm_share(now, settings) / thrashing / paging / slowdown
    }

    /// Table groups that are locked by loads.
    fn locked_groups(&self, settings: &Settings) -> Vec<TableGroupId> {
        let holds = |query: &&RunningQuery| settings.classes[query.class].holds_group;
        let holders = self.running.values().filter(holds);
        holders.map(|query| query.group).collect()
    }

    /// Lets time pass up to now, and returns what is reported at its end. A load blocks the queries of its group that wait
    /// for loads.
    pub fn advance(
        &mut self,
        now: Micros,
        elapsed: Micros,
        settings: &Settings,
        rng: &mut impl Rng,
    ) -> Vec<(RequestId, QueryReport)> {
        let locked = self.locked_groups(settings);
        let is_blocked = |query: &RunningQuery| {
            settings.classes[query.class].waits_for_load && locked.contains(&query.group)
        };
        let active = self.running.values().filter(|query| !is_blocked(query));
        let total_weight: f64 = active.map(RunningQuery::weight).sum();
        let work_done = self.throughput(now, settings) * elapsed.0 as f64 / 1e6;
        let seconds = elapsed.0 as f64 / 1e6;
        let error_rate = self.impairment.error_rate;
        let mut reports = Vec::new();
        for (id, query) in &mut self.running {
            let blocked = is_blocked(query);
            if !blocked {
                let share = work_done * query.weight() / total_weight.max(1e-9);
                query.work_left -= share.min(seconds * query.threads);
            }
            let is_new = query.started_at + elapsed >= now;
            let report = if is_new && rng.random_bool(error_rate) {
                Some(QueryReport::Failed)
            } else if query.is_done() {
                Some(QueryReport::Done)
            } else {
                let note = query.note(now, settings.note_interval, blocked);
                note.map(QueryReport::Note)
            };
            reports.extend(report.map(|report| (*id, report)));
        }
        reports
    }

    /// What it tells of its load. One that pages looks idle: its cores wait.
    pub fn load(&self) -> LoadReport {
        let paging = 1.0 + self.memory_shortage() * PAGING_COST;
        LoadReport {
            active_queries: Some(self.running.len() as f64),
            queries_waiting_for_memory: Some(0.0),
            busy_cores_share: Some((self.threads() / ENGINE_CORES).min(1.0) / paging),
            granted_memory_share: Some((self.memory_mb() / ENGINE_MEMORY_MB).min(1.0)),
        }
    }
}
