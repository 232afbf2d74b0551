//! Performs the actions of gateways (attempts, cancellations, probes, final answers) and checks them against
//! the rules.

use crate::engine_model::RunningQuery;
use crate::events::ScheduledEvent;
use crate::requests::OpenRequest;
use crate::rules::Rule;
use crate::simulation::{STEP, Simulation};
use sedgebeam_core::{Action, AttemptNo, Effect, EngineId, Event, Micros, Outcome, RequestId};

/// Time after which a connection into a partitioned zone fails.
const CONNECT_TIMEOUT: Micros = Micros::from_millis(250);

/// A final answer without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ErrorAnswer {
    /// Nothing ran, so that a retry is safe.
    Refused,
    /// The request may have run.
    Failed,
}

/// An attempt that a gateway starts.
#[derive(Clone, Copy, Debug)]
struct NewAttempt {
    gateway: usize,
    request: RequestId,
    engine: EngineId,
    timeout: Micros,
}

impl Simulation {
    pub(crate) fn perform(&mut self, gateway: usize, action: Action) {
        match action {
            Action::AttemptResources {
                request, priority, ..
            } => self.set_priority(request, usize::from(priority)),
            Action::Send {
                request,
                engine,
                timeout,
                ..
            } => self.send(NewAttempt {
                gateway,
                request,
                engine,
                timeout,
            }),
            Action::Cancel { request, attempt } => self.cancel(request, attempt),
            Action::Refuse { request, .. } => {
                self.answer_with_error(gateway, request, ErrorAnswer::Refused)
            }
            Action::Fail { request } => {
                self.answer_with_error(gateway, request, ErrorAnswer::Failed)
            }
            Action::Timer { at, .. } => self.gateways[gateway].set_timer(at),
            Action::Probe { engine } => self.probe(gateway, engine),
            Action::SubscribeToEngineList | Action::Log(_) => {}
        }
    }

    /// Sets the priority of the attempt in flight and of later attempts.
    fn set_priority(&mut self, id: RequestId, priority: usize) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.priority = priority;
        if let Some(in_flight) = &request.in_flight
            && let Some(engine) = self.engines.get_mut(&in_flight.engine)
            && let Some(query) = engine.running.get_mut(&id)
        {
            query.priority = priority;
        }
    }

    fn cancel(&mut self, id: RequestId, attempt: AttemptNo) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.is_in_flight(attempt.0)) {
            self.fail_attempt_at(self.now + STEP, id, attempt.0, Outcome::Cancelled);
        }
    }

    fn probe(&mut self, gateway: usize, id: EngineId) {
        let engine = self.engines.get(&id);
        let load_report = engine
            .filter(|engine| engine.is_up(self.now))
            .map(|engine| engine.load_report());
        let outcome = match load_report {
            Some(_) => Outcome::Ok,
            None => Outcome::TimedOut,
        };
        let probed = Event::Probed(id, outcome, load_report);
        self.deliver_at(self.now + STEP, gateway, probed);
    }

    fn fail_attempt_at(
        &mut self,
        at: Micros,
        request: RequestId,
        attempt_no: u32,
        outcome: Outcome,
    ) {
        let failure = ScheduledEvent::AttemptFails {
            request,
            attempt_no,
            outcome,
        };
        self.schedule(at, failure);
    }

    // ---- Final answers ----

    fn answer_with_error(&mut self, gateway: usize, id: RequestId, answer: ErrorAnswer) {
        let request = self.requests.get(&id);
        if request.is_none_or(|request| request.gateway != gateway) {
            let detail = format!("request {} of gateway {gateway}", id.0);
            self.violations.record(Rule::SingleAnswer, self.now, detail);
            return;
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if answer == ErrorAnswer::Refused {
            self.check_refusal(id, &request);
        }
        self.count_error_answer(&request, answer);
        self.abandon_attempt(id, &request);
    }

    /// Checks that a refused request has not run: a refusal tells the client that a retry is safe.
    fn check_refusal(&mut self, id: RequestId, request: &OpenRequest) {
        let effect = self.deployment.settings.classes[request.class].effect;
        let may_have_run = request.may_have_run || request.in_flight.is_some();
        if effect == Effect::Once && may_have_run {
            let detail = format!("request {} may have run and is refused as harmless", id.0);
            self.violations
                .record(Rule::NoUnsafeRetry, self.now, detail);
        }
    }

    fn count_error_answer(&mut self, request: &OpenRequest, answer: ErrorAnswer) {
        let counts = &mut self.metrics.classes[request.class];
        let waited = self.now > request.arrived_at + STEP;
        match answer {
            ErrorAnswer::Failed => counts.failed += 1,
            ErrorAnswer::Refused if request.attempts > 0 => counts.refused.after_attempt += 1,
            ErrorAnswer::Refused if waited => counts.refused.while_waiting += 1,
            ErrorAnswer::Refused => counts.refused.on_arrival += 1,
        }
    }

    // ---- Attempts ----

    fn send(&mut self, new_attempt: NewAttempt) {
        if !self.check_send(new_attempt) {
            return;
        }
        let Some(request) = self.requests.get_mut(&new_attempt.request) else {
            return;
        };
        let attempt_no = request.start_attempt(new_attempt.engine, self.now);
        self.metrics.classes[request.class].attempts += 1;
        match self.connect_failure(new_attempt.gateway, new_attempt.engine) {
            Some(delay) => {
                let at = self.now + delay;
                self.fail_attempt_at(at, new_attempt.request, attempt_no, Outcome::ConnectFailed);
            }
            None => {
                self.start_query(new_attempt, attempt_no);
                let at = self.now + new_attempt.timeout;
                self.fail_attempt_at(at, new_attempt.request, attempt_no, Outcome::TimedOut);
            }
        }
    }

    /// Checks an attempt against the rules. Returns false if it must not be sent.
    fn check_send(&mut self, new_attempt: NewAttempt) -> bool {
        let (now, settings) = (self.now, &self.deployment.settings);
        let (gateway, id) = (new_attempt.gateway, new_attempt.request.0);
        let request = self.requests.get(&new_attempt.request);
        let Some(request) = request.filter(|request| request.gateway == gateway) else {
            let detail = format!("request {id} is sent after its end");
            self.violations.record(Rule::SingleAnswer, now, detail);
            return false;
        };
        if request.in_flight.is_some() {
            let detail = format!("request {id} of gateway {gateway}");
            self.violations
                .record(Rule::SingleAttemptInFlight, now, detail);
            return false;
        }
        if request.may_have_run && settings.classes[request.class].effect == Effect::Once {
            let detail = format!("request {id} is sent again");
            self.violations.record(Rule::NoUnsafeRetry, now, detail);
        }
        let withdrawn_at = self.gateways[gateway].withdrawn_at(new_attempt.engine);
        if withdrawn_at.is_some_and(|withdrawn_at| withdrawn_at + settings.drain_grace + STEP < now)
        {
            let detail = format!("gateway {gateway} to engine {:x}", new_attempt.engine.0);
            self.violations.record(Rule::NoSendAfterDrain, now, detail);
        }
        true
    }

    /// Time until a connection to the engine fails; `None` if it succeeds.
    fn connect_failure(&self, gateway: usize, engine: EngineId) -> Option<Micros> {
        let Some(engine) = self.engines.get(&engine) else {
            return Some(STEP);
        };
        if self.is_partitioned(engine.zone, self.gateways[gateway].zone) {
            return Some(CONNECT_TIMEOUT);
        }
        (!engine.is_up(self.now)).then_some(STEP)
    }

    fn start_query(&mut self, new_attempt: NewAttempt, attempt_no: u32) {
        let (now, settings) = (self.now, &self.deployment.settings);
        let request = self.requests.get(&new_attempt.request);
        let Some((request, engine)) = request.zip(self.engines.get_mut(&new_attempt.engine)) else {
            return;
        };
        let query = RunningQuery {
            gateway: new_attempt.gateway,
            attempt_no,
            class: request.class,
            group: request.group,
            threads: settings.classes[request.class].threads,
            memory_mb: request.memory_mb,
            priority: request.priority,
            work: request.work,
            remaining_work: request.work,
            last_note_at: now,
            started_at: now,
        };
        if engine.is_cold(now, settings) {
            self.metrics.cold_work[query.class] += query.work;
        }
        let knows_latest_start = self.gateways[new_attempt.gateway].knows_latest_start(engine);
        engine.start(now, new_attempt.request, query, knows_latest_start);
    }
}
