//! The simulated engines: what they run in a step, and how attempts end.

use crate::engine_model::{ENGINE_CORES, EngineModel, QueryReport, RunningQuery};
use crate::requests::OpenRequest;
use crate::rules::Rule;
use crate::simulation::{START, STEP, Simulation};
use sedgebeam_core::{
    AttemptEnded, AttemptNo, EngineId, Event, LoadReport, LoadReportMode, Micros, Outcome,
    RequestId, ZoneId, splitmix64,
};

/// The overload of a cold engine is the fault of those who knew of its start if they sent more than this share.
const INFORMED_SHARE_LIMIT: f64 = 2.0 / 3.0;
/// What a class wants an answer within grows by so many times the time that its work takes alone.
const ON_TIME_STRETCH: f64 = 4.0;

/// What an engine reports of one of its queries.
struct EngineReport {
    engine: EngineId,
    zone: ZoneId,
    /// Nothing of it arrives.
    silent: bool,
    request: RequestId,
    report: QueryReport,
}

/// What comes of a step of all engines.
#[derive(Default)]
struct StepResults {
    reports: Vec<EngineReport>,
    /// Queries of engines that have crashed.
    crashed: Vec<(RequestId, RunningQuery)>,
}

impl Simulation {
    /// Starts an engine; at zero, one that has been there for long.
    pub(crate) fn start_engine(&mut self, started_at: Micros) -> EngineId {
        self.engines_started += 1;
        let number = self.engines_started;
        // An id tells nothing of zone or age.
        let id = EngineId(splitmix64(number));
        let engine = EngineModel::new(id, self.deployment.zone(number), started_at);
        self.engines.insert(id, engine);
        id
    }

    /// Lets all engines run for a step, and tells gateways what comes of it.
    pub(crate) fn run_engines(&mut self) {
        let ids: Vec<EngineId> = self.engines.keys().copied().collect();
        let mut results = StepResults::default();
        for id in ids {
            self.run_engine(id, &mut results);
        }
        self.reset_queries(results.crashed);
        for report in results.reports {
            self.handle_report(report);
        }
    }

    fn run_engine(&mut self, id: EngineId, results: &mut StepResults) {
        let (now, settings) = (self.now, &self.deployment.settings);
        let engine = self.engines.get_mut(&id);
        let Some(engine) = engine.filter(|engine| engine.is_up(now)) else {
            return;
        };
        if engine.overload(now, settings, self.mean_work) > 1.0 {
            if engine.informed_share() > INFORMED_SHARE_LIMIT {
                let detail = format!("engine {:x}", id.0);
                self.violations.record(Rule::NoColdOverload, now, detail);
            }
            results.crashed.extend(engine.crash(now));
            self.metrics.engine_crashes += 1;
            return;
        }
        if engine.is_cold(now, settings) && !engine.draining {
            let capacity = ENGINE_CORES * engine.warm_share(now, settings);
            self.metrics.cold_capacity += capacity * STEP.0 as f64 / 1e6;
        }
        let (zone, silent) = (engine.zone, engine.impairment.silent);
        let reports = engine.advance(now, STEP, settings, &mut self.rng);
        let reports = reports.into_iter().map(|(request, report)| EngineReport {
            engine: id,
            zone,
            silent,
            request,
            report,
        });
        results.reports.extend(reports);
    }

    fn handle_report(&mut self, report: EngineReport) {
        let id = report.request;
        let engine = self.engines.get_mut(&report.engine);
        let Some(engine) = engine.filter(|engine| engine.running.contains_key(&id)) else {
            return;
        };
        let query = match report.report {
            QueryReport::Note(_) => engine.running.get(&id).cloned(),
            QueryReport::Done | QueryReport::Failed => engine.running.remove(&id),
        };
        let Some(RunningQuery {
            gateway, attempt, ..
        }) = query
        else {
            return;
        };
        if report.silent || self.is_partitioned(report.zone, self.gateways[gateway].zone) {
            return;
        }
        match report.report {
            QueryReport::Note(note) => {
                let event = Event::Note(id, AttemptNo(attempt), note);
                self.gateways[gateway].inbox.push(event);
            }
            QueryReport::Done => self.end_attempt(id, attempt, Outcome::Ok),
            QueryReport::Failed => self.end_attempt(id, attempt, Outcome::Error),
        }
    }

    /// Ends attempts whose engine has gone.
    pub(crate) fn reset_queries(&mut self, queries: Vec<(RequestId, RunningQuery)>) {
        for (id, query) in queries {
            self.end_attempt(id, query.attempt, Outcome::Reset);
        }
    }

    /// The engine drops the attempt of a request that is open no more.
    pub(crate) fn abandon_attempt(&mut self, id: RequestId, request: &OpenRequest) {
        if let Some(in_flight) = &request.in_flight
            && let Some(engine) = self.engines.get_mut(&in_flight.engine)
        {
            engine.running.remove(&id);
        }
    }

    /// An attempt ends, and its gateway hears how; with an answer, the request ends too.
    pub(crate) fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let in_flight = &mut request.in_flight;
        let Some(ended) = in_flight.take_if(|in_flight| in_flight.number == attempt) else {
            return;
        };
        request.may_have_run |= outcome.may_have_run();
        let served = outcome == Outcome::Ok;
        let (gateway, work) = (request.gateway, Micros((request.work * 1e6) as u64));
        let load = self.remove_query(ended.engine, id);
        let reports_load = self.deployment.settings.load_reports == LoadReportMode::InAnswers;
        let event = Event::Ended(AttemptEnded {
            request: id,
            attempt: AttemptNo(attempt),
            engine: ended.engine,
            outcome,
            elapsed: self.now - ended.sent_at,
            request_finished: served,
            work: served.then_some(work),
            load_report: load.filter(|_| served && reports_load),
        });
        self.gateways[gateway].inbox.push(event);
        if served {
            self.close_served(id);
        }
    }

    /// Drops a query from its engine and returns the engine's load after it.
    fn remove_query(&mut self, engine: EngineId, id: RequestId) -> Option<LoadReport> {
        let engine = self.engines.get_mut(&engine)?;
        engine.running.remove(&id);
        Some(engine.load())
    }

    /// Closes a request that was served, and counts whether it was on time.
    fn close_served(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let class = &self.deployment.settings.classes[request.class];
        let time_alone = request.work / class.threads;
        let wanted_within = class.on_time + Micros((ON_TIME_STRETCH * time_alone * 1e6) as u64);
        if self.now - request.arrived_at <= wanted_within {
            let arrived_after = request.arrived_at - START;
            self.metrics
                .count_on_time(request.class, class.worth, arrived_after);
        } else {
            self.metrics.classes[request.class].late += 1;
        }
    }
}
