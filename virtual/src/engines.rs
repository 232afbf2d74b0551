//! Simulated engines: runs their queries in each step and ends attempts.

use crate::engine_model::{ENGINE_CORES, EngineModel, QueryReport, RunningQuery};
use crate::requests::OpenRequest;
use crate::rules::Rule;
use crate::simulation::{START, STEP, Simulation};
use sedgebeam_core::{
    AttemptEnded, AttemptNo, EngineId, Event, LoadReport, LoadReportMode, Micros, Outcome,
    RequestId, ZoneId, splitmix64,
};

/// The overload of a cold engine violates a rule if more than this share of the recent work came from gateways
/// that knew of the engine's latest start.
const MAX_INFORMED_SHARE: f64 = 2.0 / 3.0;
/// The on-time limit of a request is that of its class plus this many times the request's execution time on an
/// idle engine.
const ON_TIME_EXTENSION: f64 = 4.0;

/// A report of an engine about one of its queries.
struct EngineReport {
    engine: EngineId,
    zone: ZoneId,
    /// Whether the engine's reports are lost on the way.
    is_silent: bool,
    request: RequestId,
    report: QueryReport,
}

/// Results of one step of all engines.
#[derive(Default)]
struct StepResults {
    reports: Vec<EngineReport>,
    /// Queries that were running on engines that crashed.
    crashed: Vec<(RequestId, RunningQuery)>,
}

impl Simulation {
    /// Starts an engine. A start time of zero means that the engine is already warm.
    pub(crate) fn start_engine(&mut self, started_at: Micros) -> EngineId {
        self.engines_started += 1;
        let number = self.engines_started;
        // Ids are scrambled so that they do not reveal the zone or the age of an engine.
        let id = EngineId(splitmix64(number));
        let engine = EngineModel::new(id, self.deployment.zone(number), started_at);
        self.engines.insert(id, engine);
        id
    }

    /// Runs all engines for one step and delivers their reports to the gateways.
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
            if engine.informed_share() > MAX_INFORMED_SHARE {
                let detail = format!("engine {:x}", id.0);
                self.violations.record(Rule::NoColdOverload, now, detail);
            }
            results.crashed.extend(engine.crash(now));
            self.metrics.engine_crashes += 1;
            return;
        }
        if engine.is_cold(now, settings) && !engine.is_draining {
            let capacity = ENGINE_CORES * engine.capacity_share(now, settings);
            self.metrics.cold_capacity += capacity * STEP.0 as f64 / 1e6;
        }
        let (zone, is_silent) = (engine.zone, engine.impairment.silent);
        let reports = engine.advance(now, STEP, settings, &mut self.rng);
        let reports = reports.into_iter().map(|(request, report)| EngineReport {
            engine: id,
            zone,
            is_silent,
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
            gateway,
            attempt_no,
            ..
        }) = query
        else {
            return;
        };
        if report.is_silent || self.is_partitioned(report.zone, self.gateways[gateway].zone) {
            return;
        }
        match report.report {
            QueryReport::Note(note) => {
                let event = Event::Note(id, AttemptNo(attempt_no), note);
                self.gateways[gateway].inbox.push(event);
            }
            QueryReport::Done => self.end_attempt(id, attempt_no, Outcome::Ok),
            QueryReport::Failed => self.end_attempt(id, attempt_no, Outcome::Error),
        }
    }

    /// Ends the attempts of queries that were lost with their engine.
    pub(crate) fn reset_queries(&mut self, queries: Vec<(RequestId, RunningQuery)>) {
        for (id, query) in queries {
            self.end_attempt(id, query.attempt_no, Outcome::Reset);
        }
    }

    /// Removes the attempt of a closed request from its engine.
    pub(crate) fn abandon_attempt(&mut self, id: RequestId, request: &OpenRequest) {
        if let Some(in_flight) = &request.in_flight
            && let Some(engine) = self.engines.get_mut(&in_flight.engine)
        {
            engine.running.remove(&id);
        }
    }

    /// Ends an attempt and notifies its gateway; a successful attempt closes the request.
    pub(crate) fn end_attempt(&mut self, id: RequestId, attempt_no: u32, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let in_flight = &mut request.in_flight;
        let Some(ended) = in_flight.take_if(|in_flight| in_flight.attempt_no == attempt_no) else {
            return;
        };
        request.may_have_run |= outcome.may_have_run();
        let is_served = outcome == Outcome::Ok;
        let (gateway, work) = (request.gateway, Micros((request.work * 1e6) as u64));
        let load_report = self.remove_query(ended.engine, id);
        let reports_load = self.deployment.settings.load_reports == LoadReportMode::InAnswers;
        let event = Event::Ended(AttemptEnded {
            request: id,
            attempt: AttemptNo(attempt_no),
            engine: ended.engine,
            outcome,
            elapsed: self.now - ended.sent_at,
            request_finished: is_served,
            work: is_served.then_some(work),
            load_report: load_report.filter(|_| is_served && reports_load),
        });
        self.gateways[gateway].inbox.push(event);
        if is_served {
            self.close_served(id);
        }
    }

    /// Removes a query from its engine and returns the engine's load afterwards.
    fn remove_query(&mut self, engine: EngineId, id: RequestId) -> Option<LoadReport> {
        let engine = self.engines.get_mut(&engine)?;
        engine.running.remove(&id);
        Some(engine.load_report())
    }

    /// Closes a served request and counts it as on time or late.
    fn close_served(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let class = &self.deployment.settings.classes[request.class];
        let unloaded_time = request.work / class.threads;
        let on_time_limit =
            class.on_time + Micros((ON_TIME_EXTENSION * unloaded_time * 1e6) as u64);
        if self.now - request.arrived_at <= on_time_limit {
            let arrived_after = request.arrived_at - START;
            self.metrics
                .count_on_time(request.class, class.worth, arrived_after);
        } else {
            self.metrics.classes[request.class].late += 1;
        }
    }
}
