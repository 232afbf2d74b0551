//! What gateways do: attempts, cancellations, probes and final answers, each checked against the rules.

use crate::engine_model::RunningQuery;
use crate::events::ScheduledEvent;
use crate::requests::OpenRequest;
use crate::rules::Rule;
use crate::simulation::{STEP, Simulation};
use sedgebeam_core::{Action, AttemptNo, Effect, EngineId, Event, Micros, Outcome, RequestId};

/// A connection into a zone that is partitioned off fails after this.
const CONNECT_TIMEOUT: Micros = Micros::from_millis(250);

/// A final answer other than a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rejection {
    /// Nothing ran: it is harmless to try again.
    Refused,
    /// It may have run.
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
            Action::Refuse { request, .. } => self.reject(gateway, request, Rejection::Refused),
            Action::Fail { request } => self.reject(gateway, request, Rejection::Failed),
            Action::Timer { at, .. } => self.gateways[gateway].set_timer(at),
            Action::Probe { engine } => self.probe(gateway, engine),
            Action::SubscribeToEngineList | Action::Log(_) => {}
        }
    }

    /// Sets the priority of a request's next attempts and of the one in flight.
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
        let load = engine
            .filter(|engine| engine.is_up(self.now))
            .map(|engine| engine.load());
        let outcome = match load {
            Some(_) => Outcome::Ok,
            None => Outcome::TimedOut,
        };
        let probed = Event::Probed(id, outcome, load);
        self.deliver_at(self.now + STEP, gateway, probed);
    }

    fn fail_attempt_at(&mut self, at: Micros, request: RequestId, attempt: u32, outcome: Outcome) {
        let failure = ScheduledEvent::AttemptFails {
            request,
            attempt,
            outcome,
        };
        self.schedule(at, failure);
    }

    // ---- Final answers ----

    fn reject(&mut self, gateway: usize, id: RequestId, rejection: Rejection) {
        let request = self.requests.get(&id);
        if request.is_none_or(|request| request.gateway != gateway) {
            let detail = format!("request {} of gateway {gateway}", id.0);
            self.violations.record(Rule::SingleAnswer, self.now, detail);
            return;
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if rejection == Rejection::Refused {
            self.check_refusal(id, &request);
        }
        self.count_rejection(&request, rejection);
        self.abandon_attempt(id, &request);
    }

    /// A refusal promises that nothing ran.
    fn check_refusal(&mut self, id: RequestId, request: &OpenRequest) {
        let effect = self.deployment.settings.classes[request.class].effect;
        let may_have_run = request.may_have_run || request.in_flight.is_some();
        if effect == Effect::Once && may_have_run {
            let detail = format!("request {} may have run and is refused as harmless", id.0);
            self.violations
                .record(Rule::NoUnsafeRetry, self.now, detail);
        }
    }

    fn count_rejection(&mut self, request: &OpenRequest, rejection: Rejection) {
        let counts = &mut self.metrics.classes[request.class];
        let waited = self.now > request.arrived_at + STEP;
        match rejection {
            Rejection::Failed => counts.failed += 1,
            Rejection::Refused if request.attempts > 0 => counts.refused.after_attempt += 1,
            Rejection::Refused if waited => counts.refused.while_waiting += 1,
            Rejection::Refused => counts.refused.on_arrival += 1,
        }
    }

    // ---- Attempts ----

    fn send(&mut self, new: NewAttempt) {
        if !self.check_send(new) {
            return;
        }
        let Some(request) = self.requests.get_mut(&new.request) else {
            return;
        };
        let attempt = request.begin_attempt(new.engine, self.now);
        self.metrics.classes[request.class].attempts += 1;
        match self.connect_failure(new.gateway, new.engine) {
            Some(after) => {
                let at = self.now + after;
                self.fail_attempt_at(at, new.request, attempt, Outcome::ConnectFailed);
            }
            None => {
                self.start_query(new, attempt);
                let at = self.now + new.timeout;
                self.fail_attempt_at(at, new.request, attempt, Outcome::TimedOut);
            }
        }
    }

    /// Checks an attempt against the rules; false if there is nothing to send.
    fn check_send(&mut self, new: NewAttempt) -> bool {
        let (now, settings) = (self.now, &self.deployment.settings);
        let (gateway, id) = (new.gateway, new.request.0);
        let request = self.requests.get(&new.request);
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
        let withdrawn = self.gateways[gateway].withdrawn_at(new.engine);
        if withdrawn.is_some_and(|told| told + settings.drain_grace + STEP < now) {
            let detail = format!("gateway {gateway} to engine {:x}", new.engine.0);
            self.violations.record(Rule::NoSendAfterDrain, now, detail);
        }
        true
    }

    /// After how long a connection to the engine fails; none where it does not.
    fn connect_failure(&self, gateway: usize, engine: EngineId) -> Option<Micros> {
        let Some(engine) = self.engines.get(&engine) else {
            return Some(STEP);
        };
        if self.is_partitioned(engine.zone, self.gateways[gateway].zone) {
            return Some(CONNECT_TIMEOUT);
        }
        (!engine.is_up(self.now)).then_some(STEP)
    }

    fn start_query(&mut self, new: NewAttempt, attempt: u32) {
        let (now, settings) = (self.now, &self.deployment.settings);
        let request = self.requests.get(&new.request);
        let Some((request, engine)) = request.zip(self.engines.get_mut(&new.engine)) else {
            return;
        };
        let query = RunningQuery {
            gateway: new.gateway,
            attempt,
            class: request.class,
            group: request.group,
            threads: settings.classes[request.class].threads,
            memory_mb: request.memory_mb,
            priority: request.priority,
            work: request.work,
            work_left: request.work,
            last_note_at: now,
            started_at: now,
        };
        if engine.is_cold(now, settings) {
            self.metrics.cold_work[query.class] += query.work;
        }
        let knows_start = self.gateways[new.gateway].knows_start(engine);
        engine.start(now, new.request, query, knows_start);
    }
}
