//! The broker: the actor that owns a gateway, the open requests, their attempts and all timers.
//!
//! The gateway gets the same input as from the simulator's adapter: events in order of arrival, in batches at least a
//! tick apart, exactly one outcome per send, and attempts numbered from 0.

mod admin;
mod engines;
mod recent_requests;
mod requests;
pub mod shards;
#[cfg(test)]
mod tests;
mod timers;

use admin::Tally;
use engines::{ActorStarter, KnownEngine};
use recent_requests::RecentRequests;
use requests::{InFlightAttempt, OpenRequest, PendingAbort};
use sedgebeam_core::{
    Action, AttemptEnded, AttemptNo, Effect, EngineId, Event, Gateway, HandoverState, Key, Micros,
    Outcome, Query, RequestId, Settings, ShardUsage,
};
use sedgebeam_operation::{Metrics, metrics};
use sedgebeam_port::clock::{Clock, to_duration, to_micros};
use sedgebeam_port::{
    Answer, Attempt, AttemptResult, BrokerMessage, BrokerSender, EngineActorId, EngineCommand,
    EngineReport, EngineSender, EngineTransport, Failure, HEARTBEAT_INTERVAL, ListUpdate,
    NewRequest, Page, ResultPages, memory_grant,
};
use sedgebeam_reconfigure::RuntimeSettings;
use sedgebeam_settings::Names;
use shards::Shard;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use timers::{BrokerTimer, Timers};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// Capacity of the broker's mailbox; senders wait while it is full.
const MAILBOX_CAPACITY: usize = 4096;
/// How long a usage report of a peer process stays valid. Peer processes report ten times a second.
const PEER_USAGE_LIFETIME: Micros = Micros::from_millis(1000);
/// An aborted attempt gets its outcome after this time even if the engine's actor does not confirm the abort. It is
/// longer than the actor needs to close a connection on which the abort can't be written.
const ABORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of messages handled before the gateway gets the next batch of events.
const MAX_MESSAGES_PER_BATCH: usize = 2048;

/// The broker's state.
pub struct Broker {
    gateway: Gateway,
    settings: Settings,
    names: Names,
    class_names: Vec<Arc<str>>,
    /// Maximum number of open requests, updated with each lease if there are several shards.
    max_open_requests: usize,
    actor_starter: ActorStarter,
    shard: Option<Shard>,
    /// Another shard has released capacity that this one may be waiting for.
    capacity_released: bool,
    clock: Clock,
    open_requests: HashMap<RequestId, OpenRequest>,
    recent_requests: RecentRequests,
    engines: BTreeMap<EngineId, KnownEngine>,
    /// Ids of the known engines by uid.
    engine_ids: HashMap<String, EngineId>,
    /// Uids of the engines drained by the administration, regardless of their listed state.
    drained: BTreeSet<String>,
    counters: Tally,
    metrics: Metrics,
    /// The engine metrics that were reported last.
    reported_engines: metrics::ShardEngines,
    /// Events for the gateway's next batch.
    events: Vec<Event>,
    /// Requests that are answered and have no attempt in flight, removed after the next batch.
    finished_requests: Vec<RequestId>,
    timers: Timers,
    last_batch_at: Option<Instant>,
}

/// Configuration of a broker.
#[derive(Clone)]
pub struct BrokerConfig {
    pub runtime_settings: Arc<RuntimeSettings>,
    /// Seed of the gateway's random numbers.
    pub seed: u64,
    pub clock: Clock,
    pub metrics: Metrics,
    /// Starts the actors of engines.
    pub engine_transport: Arc<dyn EngineTransport>,
    /// Set if this broker is one of several shards.
    pub shard: Option<Shard>,
}

/// Creates a broker, with the sender and the receiver of its mailbox.
pub fn new(config: BrokerConfig) -> (Broker, BrokerSender, mpsc::Receiver<BrokerMessage>) {
    let (own_sender, incoming) = mpsc::channel(MAILBOX_CAPACITY);
    let RuntimeSettings {
        settings,
        names,
        max_open_requests,
    } = (*config.runtime_settings).clone();
    let broker = Broker {
        gateway: Gateway::new(settings.clone(), config.seed),
        class_names: class_names(&settings),
        settings,
        names,
        max_open_requests,
        actor_starter: ActorStarter {
            engine_transport: config.engine_transport,
            broker: own_sender.clone(),
            started_count: 0,
        },
        shard: config.shard,
        capacity_released: false,
        clock: config.clock,
        open_requests: HashMap::new(),
        recent_requests: RecentRequests::default(),
        engines: BTreeMap::new(),
        engine_ids: HashMap::new(),
        drained: BTreeSet::new(),
        counters: Tally::default(),
        metrics: config.metrics,
        reported_engines: metrics::ShardEngines::default(),
        events: Vec::new(),
        finished_requests: Vec::new(),
        timers: Timers::default(),
        last_batch_at: None,
    };
    (broker, own_sender, incoming)
}

fn class_names(settings: &Settings) -> Vec<Arc<str>> {
    let classes = settings.classes.iter();
    classes.map(|class| class.name.as_str().into()).collect()
}

/// Converts the usage of peer processes to that of a shard, with classes in the order of this process's settings.
fn peer_usage(usage: &HandoverState, classes: &[Arc<str>], valid_until: Micros) -> ShardUsage {
    let engines = usage.engines.iter();
    let class_usage = |name: &Arc<str>| {
        let class = usage.classes.iter().find(|class| *class.name == **name);
        class.map(|class| class.usage).unwrap_or_default()
    };
    ShardUsage {
        engines: engines
            .map(|engine| (engine.engine, engine.usage.clone()))
            .collect(),
        classes: classes.iter().map(class_usage).collect(),
        all_ended_by: valid_until,
        ..ShardUsage::default()
    }
}

impl Broker {
    /// Runs the broker. It never returns in practice, because the broker holds a sender of its own mailbox.
    pub async fn run(mut self, mut incoming: mpsc::Receiver<BrokerMessage>) {
        loop {
            let wakeup_at = self.next_wakeup();
            tokio::select! {
                biased;
                message = incoming.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = wait_for_capacity(self.shard.as_ref()) => self.capacity_released = true,
                () = sleep_until(wakeup_at.unwrap_or_else(Instant::now)), if wakeup_at.is_some() => {}
            }
            for _ in 0..MAX_MESSAGES_PER_BATCH {
                match incoming.try_recv() {
                    Ok(message) => self.handle_message(message),
                    Err(_) => break,
                }
            }
            let now = Instant::now();
            if let Some(shard) = &self.shard {
                shard.heartbeat();
            }
            self.fire_timers(now);
            self.forget_expired_requests(now);
            if self.has_pending_events() && now >= self.next_batch_at(now) {
                self.process_batch(now);
            }
        }
    }

    fn next_batch_at(&self, now: Instant) -> Instant {
        let tick = to_duration(self.settings.tick);
        self.last_batch_at.map_or(now, |last| last + tick)
    }

    fn next_wakeup(&self) -> Option<Instant> {
        let batch_at = self
            .has_pending_events()
            .then(|| self.next_batch_at(Instant::now()));
        let timer_at = self.timers.next_at();
        let heartbeat_at = self
            .shard
            .as_ref()
            .map(|_| Instant::now() + HEARTBEAT_INTERVAL);
        batch_at
            .into_iter()
            .chain(timer_at)
            .chain(heartbeat_at)
            .min()
    }

    /// Whether there are events for the gateway, or capacity was released.
    fn has_pending_events(&self) -> bool {
        self.capacity_released || !self.events.is_empty()
    }

    fn fire_timers(&mut self, now: Instant) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                BrokerTimer::Gateway(timer) => self.events.push(Event::Timer(timer)),
                BrokerTimer::AttemptTimeout(id, attempt_no) => {
                    self.attempt_timed_out(id, attempt_no, now);
                }
                BrokerTimer::AbortTimeout(id, attempt_no) => {
                    self.abort_timed_out(id, attempt_no, now);
                }
                BrokerTimer::AnswerTimeout(id) => self.answer_overdue(id),
            }
        }
    }

    /// Passes the collected events to the gateway and executes its actions.
    fn process_batch(&mut self, now: Instant) {
        self.last_batch_at = Some(now);
        self.capacity_released = false;
        let mut events = std::mem::take(&mut self.events);
        for event in &mut events {
            if let Event::Request(query) = event {
                let request = self.open_requests.get(&query.id);
                let remaining = request.map_or(Micros(0), |request| {
                    to_micros(request.deadline.saturating_duration_since(now))
                });
                query.remaining = remaining;
            }
        }
        let finished_requests = std::mem::take(&mut self.finished_requests);
        events.iter().for_each(|event| log::trace!("{event:?}"));
        let (actions, is_valid) = self.decide(now, events);
        for action in actions {
            log::trace!("{action:?}");
            match action {
                Action::Send {
                    request, engine, ..
                } if !is_valid => self.report_unsent(request, engine, Outcome::NotSent, now),
                action => self.execute(action, now),
            }
        }
        for id in finished_requests {
            self.remove_request(id, now);
        }
        self.update_engine_metrics();
    }

    /// Removes a finished request. Its id is remembered while a request under the same id could run beside it or repeat
    /// it.
    fn remove_request(&mut self, id: RequestId, now: Instant) {
        let Some(request) = self.open_requests.remove(&id) else {
            return;
        };
        let forgotten = match self.remembered_until(&request, now) {
            Some(until) => self
                .recent_requests
                .insert(id, until, self.max_open_requests),
            None => Some(id),
        };
        self.release_ids(forgotten);
    }

    /// Until when the id of a finished request is remembered; `None` if a repeat would do no harm.
    fn remembered_until(&self, request: &OpenRequest, now: Instant) -> Option<Instant> {
        let may_run_until = now + ABORT_TIMEOUT;
        let class = self.settings.classes.get(request.class.0);
        let is_repeat_harmless = class.is_none_or(|class| class.effect.is_repeat_harmless());
        if request.may_have_run && !is_repeat_harmless {
            // After its deadline nobody waits for the request any more.
            return Some(request.deadline.max(may_run_until));
        }
        request.may_still_run.then_some(may_run_until)
    }

    /// Forgets the ids that need not be remembered any more.
    fn forget_expired_requests(&mut self, now: Instant) {
        while let Some(id) = self.recent_requests.pop_expired(now) {
            self.release_ids(Some(id));
        }
    }

    /// Lets other shards open requests with these ids.
    fn release_ids(&self, ids: impl IntoIterator<Item = RequestId>) {
        if let Some(shard) = &self.shard {
            ids.into_iter().for_each(|id| shard.release_request(id));
        }
    }

    /// Updates the metrics of discovered and ejected engines if they have changed.
    fn update_engine_metrics(&mut self) {
        let ejected = self.gateway.ejected_engines().into_iter();
        let engines = metrics::ShardEngines {
            discovered: self.engines.len(),
            ejected: ejected.map(|(id, until)| (id.0, until.0)).collect(),
        };
        if engines != self.reported_engines {
            let shard = self.shard.as_ref().map_or(0, Shard::index);
            self.metrics.set_engines(shard, engines.clone());
            self.reported_engines = engines;
        }
    }

    /// Returns the gateway's actions and whether sends may be executed. With several shards the gateway decides on
    /// leased capacity: if the decision outlasts the lease, the capacity may already be leased to another shard.
    fn decide(&mut self, now: Instant, events: Vec<Event>) -> (Vec<Action>, bool) {
        let at = self.clock.micros(now);
        let Some(shard) = self.shard.clone() else {
            return (self.gateway.handle(at, events), true);
        };
        let demand = self.gateway.demand(at, &events);
        let lease = shard.acquire(at, &demand, self.open_requests.len());
        self.max_open_requests = lease.max_open_requests;
        self.gateway.update_siblings(lease.siblings);
        let actions = self.gateway.handle(at, events);
        let usage = self.gateway.publish();
        let is_valid = shard.commit(lease.id, self.clock.micros(Instant::now()), usage);
        if !is_valid {
            log::warn!("the lease expired before the decision was complete; its sends are dropped");
        }
        (actions, is_valid)
    }

    /// Reports the outcome of a send that was not made.
    fn report_unsent(
        &mut self,
        id: RequestId,
        engine_id: EngineId,
        outcome: Outcome,
        now: Instant,
    ) {
        if let Some(request) = self.open_requests.get_mut(&id) {
            let attempt_no = AttemptNo(request.attempts.len() as u32);
            request.attempts.push(None);
            self.report_outcome(id, attempt_no, engine_id, outcome, now, now);
        }
    }

    fn execute(&mut self, action: Action, now: Instant) {
        match action {
            Action::AttemptResources {
                request,
                memory_mb,
                priority,
            } => self.update_attempt_resources(request, memory_mb, priority),
            Action::Send {
                request,
                engine,
                timeout,
                starts_by,
            } => self.send(request, engine, timeout, starts_by, now),
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt, now),
            Action::Refuse {
                request,
                retry_after,
            } => {
                let retry_after = to_duration(retry_after);
                self.send_answer(request, Answer::Refused { retry_after });
            }
            Action::Fail { request } => {
                self.send_answer(request, Answer::Failed(Failure::OutcomeUnknown));
            }
            Action::Timer { timer, at } => {
                let at = self.clock.instant(at);
                self.timers.set(at, BrokerTimer::Gateway(timer));
            }
            Action::Probe { engine } => self.probe(engine),
            // A separate task follows the change log.
            Action::SubscribeToEngineList => {}
            Action::Log(text) => log::info!("{text}"),
        }
    }

    fn handle_message(&mut self, message: BrokerMessage) {
        match message {
            BrokerMessage::Submit(request, reply) => self.submit(request, reply),
            BrokerMessage::ClientLeft(id) => self.client_left_message(id),
            BrokerMessage::EngineReport(actor, report) => self.handle_report(actor, report),
            BrokerMessage::EngineActorDied(actor) => self.engine_actor_died(actor),
            BrokerMessage::EngineList(update, targets) => self.update_engine_list(update, targets),
            BrokerMessage::GetHandoverState(reply) => {
                // The requester may have stopped waiting.
                let _ = reply.send(self.gateway.handover_state());
            }
            BrokerMessage::RestoreHandoverState(state) => {
                // The gateway must have the engine list first.
                self.process_batch(Instant::now());
                self.gateway.restore(&state);
            }
            BrokerMessage::SetPeerProcessUsage(usage, may_use_cold_engines) => {
                self.set_peer_process_usage(&usage, may_use_cold_engines)
            }
            BrokerMessage::Shutdown => self.events.push(Event::Shutdown),
            // The requester waits until `_applied` is dropped, which happens after the call.
            BrokerMessage::Reconfigure(runtime_settings, _applied) => {
                self.reconfigure(&runtime_settings)
            }
            BrokerMessage::Admin(request, reply) => {
                // The requester may have stopped waiting.
                let _ = reply.send(self.administer(request));
            }
        }
    }

    fn handle_report(&mut self, actor: EngineActorId, report: EngineReport) {
        match report {
            EngineReport::AttemptEnded(id, attempt_no, result) => {
                self.attempt_ended(actor, id, attempt_no, result);
            }
            EngineReport::AbortConfirmed(id, attempt_no) => {
                if self.is_in_flight(actor, id, attempt_no) {
                    self.abort_confirmed(id, attempt_no);
                }
            }
            EngineReport::Note(id, attempt_no, note) => {
                if self.is_in_flight(actor, id, attempt_no) && !self.is_aborting(id, attempt_no) {
                    self.events.push(Event::Note(id, attempt_no, note));
                }
            }
            EngineReport::Probed(probe) => self.probe_ended(actor, probe),
            EngineReport::Idle(idle_engine) => self.engine_idle(actor.engine, &idle_engine),
        }
    }

    /// Applies new settings. Earlier events refer to the old settings, so the gateway processes them first.
    fn reconfigure(&mut self, runtime_settings: &RuntimeSettings) {
        if !self.events.is_empty() {
            self.process_batch(Instant::now());
        }
        self.settings = runtime_settings.settings.clone();
        self.names = runtime_settings.names.clone();
        self.max_open_requests = runtime_settings.max_open_requests;
        self.class_names = class_names(&self.settings);
        if let Some(shard) = &self.shard {
            shard.reconfigure(&self.settings, self.max_open_requests);
        }
        self.gateway.reconfigure(runtime_settings.settings.clone());
        // Kinds and zones may be numbered differently now.
        let targets = self.engines.values().map(|engine| engine.target.clone());
        self.update_engine_list(ListUpdate::Complete, targets.collect());
    }

    /// Sets the usage by other processes of this dispatcher. With several shards every shard passes it to the lease
    /// table, which adds it to the usage of siblings in each lease; the gateway itself then gets none, so it is not
    /// counted twice.
    fn set_peer_process_usage(&mut self, usage: &HandoverState, may_use_cold_engines: bool) {
        let (now, no_usage) = (self.clock.micros(Instant::now()), HandoverState::default());
        if let Some(shard) = &self.shard {
            shard.set_peer_process_usage(
                now,
                peer_usage(usage, &self.class_names, now + PEER_USAGE_LIFETIME),
            );
            self.gateway
                .set_peer_process_usage(now, &no_usage, may_use_cold_engines);
        } else {
            self.gateway
                .set_peer_process_usage(now, usage, may_use_cold_engines);
        }
    }

    // ---- Requests ----

    fn submit(&mut self, request: NewRequest, reply: oneshot::Sender<Answer>) {
        let refusal = Answer::Refused {
            retry_after: to_duration(self.settings.max_retry_after),
        };
        // `send` fails only if nobody waits for the answer any more.
        if request.cancel_token.is_cancelled() {
            let _ = reply.send(Answer::Failed(Failure::Cancelled));
            return;
        }
        let is_recent = self.recent_requests.contains(request.id, Instant::now());
        if is_recent || self.open_requests.contains_key(&request.id) {
            let _ = reply.send(Answer::Failed(Failure::DuplicateId));
            return;
        }
        // The gateway would never answer a request of an unknown class.
        let is_unknown_class = request.class.0 >= self.class_names.len();
        if self.open_requests.len() >= self.max_open_requests || is_unknown_class {
            let _ = reply.send(refusal);
            return;
        }
        let id = request.id;
        let tenant_name = request.tenant.as_deref();
        let tenant = tenant_name.and_then(|name| self.names.tenant(name));
        // A request of an unknown tenant must not be served as one without a tenant.
        if tenant_name.is_some() && tenant.is_none() {
            let _ = reply.send(Answer::Failed(Failure::UnknownTenant));
            return;
        }
        if self
            .shard
            .as_ref()
            .is_some_and(|shard| !shard.claim_request(id))
        {
            let _ = reply.send(Answer::Failed(Failure::DuplicateId));
            return;
        }
        let class = &self.class_names[request.class.0];
        self.counters.count_accepted(class, tenant_name);
        self.events.push(Event::Request(Query {
            id,
            class: request.class,
            tenant,
            key: request.order_key.as_deref().map(Key::from_name),
            // Set when the batch is processed.
            remaining: Micros(0),
            work: request.work,
            memory_mb: request.memory_mb,
            table_group: request.table_group,
            is_retry: request.is_retry,
        }));
        let slack = to_duration(self.settings.answer_slack);
        let answer_timer = self
            .timers
            .set(request.deadline + slack, BrokerTimer::AnswerTimeout(id));
        self.open_requests
            .insert(id, OpenRequest::new(request, tenant, reply, answer_timer));
    }

    /// Sends the final answer, unless the request has been answered.
    fn send_answer(&mut self, id: RequestId, answer: Answer) {
        let Some(request) = self.open_requests.get_mut(&id) else {
            return;
        };
        let Some(reply) = request.reply.take() else {
            return;
        };
        self.timers.cancel(request.answer_timer);
        let class = &self.class_names[request.class.0];
        let tenant = request
            .tenant
            .and_then(|tenant| self.settings.tenants.get(tenant.0));
        let tenant = tenant.map(|tenant| tenant.name.as_str());
        self.counters.count_answer(class, tenant, &answer);
        // If the client has just disconnected, the result is dropped, which releases it at the engine.
        let _ = reply.send(answer);
        self.schedule_removal_if_finished(id);
    }

    /// Schedules the removal of a request that is answered and has no attempt in flight. This happens once: a second
    /// removal could hit a later request with the same id.
    fn schedule_removal_if_finished(&mut self, id: RequestId) {
        if let Some(request) = self.open_requests.get_mut(&id)
            && request.is_finished()
            && !std::mem::replace(&mut request.is_removal_scheduled, true)
        {
            self.finished_requests.push(id);
        }
    }

    /// Handles the message that a client has left. It may come from the client of an earlier request with this id, or of
    /// one that was answered as a duplicate: only the token of that request is cancelled then.
    fn client_left_message(&mut self, id: RequestId) {
        let request = self.open_requests.get(&id);
        if request.is_some_and(|request| request.cancel_token.is_cancelled()) {
            self.client_left(id, Failure::Cancelled);
        }
    }

    /// Handles a client that has disconnected or cancelled its request, which is answered with this failure.
    fn client_left(&mut self, id: RequestId, failure: Failure) {
        if self
            .open_requests
            .get(&id)
            .is_some_and(|request| request.reply.is_some())
        {
            self.events.push(Event::ClientLeft(id));
            self.send_answer(id, Answer::Failed(failure));
        }
    }

    /// Answers a request for which the gateway has sent no answer.
    fn answer_overdue(&mut self, id: RequestId) {
        if self
            .open_requests
            .get(&id)
            .is_some_and(|request| request.reply.is_some())
        {
            log::error!("request {:016x} has no answer after its deadline", id.0);
            self.client_left(id, Failure::OutcomeUnknown);
        }
    }

    // ---- Attempts ----

    /// Whether the attempt is in flight at this actor. An attempt with the same number of an earlier request with the
    /// same id may have been sent to another one.
    fn is_in_flight(&self, actor: EngineActorId, id: RequestId, attempt_no: AttemptNo) -> bool {
        let attempt = self
            .open_requests
            .get(&id)
            .and_then(|request| request.attempt_in_flight(attempt_no));
        attempt.is_some_and(|attempt| attempt.actor == actor)
    }

    /// Sets the memory grant of the next attempt, and the priority, which also applies to attempts in flight.
    fn update_attempt_resources(&mut self, id: RequestId, memory_mb: f64, priority: u8) {
        let Some(request) = self.open_requests.get_mut(&id) else {
            return;
        };
        request.memory_grant_mb = memory_grant(memory_mb);
        let has_changed = std::mem::replace(&mut request.priority, priority) != priority;
        for (attempt_no, attempt) in request.attempts_in_flight().filter(|_| has_changed) {
            send_command(
                &attempt.mailbox,
                EngineCommand::Reprioritize(id, attempt_no, priority),
            );
        }
    }

    /// Sends an attempt of a request to an engine, unless the request or the engine no longer allows it.
    fn send(
        &mut self,
        id: RequestId,
        engine_id: EngineId,
        timeout: Micros,
        starts_by: Option<Micros>,
        now: Instant,
    ) {
        // The client has left, but `ClientLeft` is still queued in the mailbox.
        if self
            .open_requests
            .get(&id)
            .is_some_and(|request| request.cancel_token.is_cancelled())
        {
            self.client_left(id, Failure::Cancelled);
        }
        let Some(request) = self.open_requests.get_mut(&id) else {
            log::error!("the gateway sent request {:016x}, which is not open", id.0);
            return;
        };
        let engine = self
            .engines
            .get_mut(&engine_id)
            .filter(|engine| engine.is_ready);
        let attempt_no = AttemptNo(request.attempts.len() as u32);
        let max_attempts = self.settings.max_attempts;
        let attempts_exhausted = max_attempts > 0 && attempt_no.0 >= max_attempts;
        let has_attempt_in_flight =
            !self.settings.second_copies && request.attempts_in_flight().next().is_some();
        let is_obsolete = request.reply.is_none()
            || now >= request.deadline
            || attempts_exhausted
            || has_attempt_in_flight;
        let Some(engine) = engine.filter(|_| !is_obsolete) else {
            let outcome = if is_obsolete {
                Outcome::NotSent
            } else {
                Outcome::ConnectFailed
            };
            return self.report_unsent(id, engine_id, outcome, now);
        };
        let remaining = request.deadline - now;
        let timeout = match timeout {
            Micros(0) => remaining,
            timeout => to_duration(timeout).min(remaining),
        };
        let attempt = Attempt {
            request: id,
            attempt_no,
            class: self.class_names[request.class.0].clone(),
            deadline: now + timeout,
            priority: request.priority,
            // Grants may have been disabled by new settings since the grant was set.
            memory_grant_mb: request
                .memory_grant_mb
                .filter(|_| self.settings.takes_grants),
            statement: request.statement.clone(),
            idempotency_token: request.idempotency_token.clone(),
            order_key: request.order_key.clone(),
            cancel_token: request.cancel_token.child_token(),
            starts_by: starts_by.map_or(now + timeout, |starts_by| {
                self.clock.instant(starts_by).min(now + timeout)
            }),
        };
        let cancel_token = attempt.cancel_token.clone();
        let start = self.actor_starter.start(engine_id);
        let Some(actor) = engine.send_to_actor(EngineCommand::Send(attempt), start) else {
            return self.report_unsent(id, engine_id, Outcome::ConnectFailed, now);
        };
        request.attempts.push(Some(InFlightAttempt {
            actor: actor.id,
            mailbox: actor.mailbox.clone(),
            sent_at: now,
            cancel_token,
            timeout_timer: self
                .timers
                .set(now + timeout, BrokerTimer::AttemptTimeout(id, attempt_no)),
            abort: None,
        }));
    }

    /// Reports the outcome of an attempt to the gateway.
    fn report_outcome(
        &mut self,
        id: RequestId,
        attempt_no: AttemptNo,
        engine: EngineId,
        outcome: Outcome,
        sent_at: Instant,
        ended_at: Instant,
    ) {
        self.counters.count_attempt(outcome);
        if let Some(request) = self.open_requests.get_mut(&id) {
            request.attempt_ended(outcome);
        }
        let request = self.open_requests.get(&id);
        self.events.push(Event::Ended(AttemptEnded {
            request: id,
            attempt: attempt_no,
            engine,
            outcome,
            elapsed: to_micros(ended_at - sent_at),
            request_finished: request.is_none_or(|request| request.reply.is_none()),
            work: None,
            load_report: None,
        }));
        self.schedule_removal_if_finished(id);
    }

    /// Removes an attempt that is in flight and cancels its timers and its token, so that nothing more of it is written.
    fn remove_attempt(&mut self, id: RequestId, attempt_no: AttemptNo) -> Option<InFlightAttempt> {
        let request = self.open_requests.get_mut(&id)?;
        let attempt = request.attempts.get_mut(attempt_no.0 as usize)?.take()?;
        attempt.cancel_token.cancel();
        self.timers.cancel(attempt.timeout_timer);
        if let Some(confirmation_timer) = attempt.abort.and_then(|abort| abort.confirmation_timer) {
            self.timers.cancel(confirmation_timer);
        }
        Some(attempt)
    }

    fn cancel_attempt(&mut self, id: RequestId, attempt_no: AttemptNo, now: Instant) {
        self.abort_attempt(id, attempt_no, Outcome::Cancelled, now);
    }

    fn attempt_timed_out(&mut self, id: RequestId, attempt_no: AttemptNo, now: Instant) {
        self.abort_attempt(id, attempt_no, Outcome::TimedOut, now);
    }

    /// Aborts an attempt that is in flight. If another attempt may follow, the outcome is reported only after the
    /// engine's actor has confirmed the abort, because two attempts of one request must not be in flight together.
    fn abort_attempt(
        &mut self,
        id: RequestId,
        attempt_no: AttemptNo,
        outcome: Outcome,
        now: Instant,
    ) {
        let Some(request) = self.open_requests.get_mut(&id) else {
            return;
        };
        let effect = self.settings.classes[request.class.0].effect;
        let is_final_attempt =
            request.reply.is_none() || now >= request.deadline || effect == Effect::Once;
        let deadline = request.deadline;
        let attempt = request.attempts.get_mut(attempt_no.0 as usize);
        let Some(attempt) = attempt.and_then(Option::as_mut) else {
            return;
        };
        if attempt.abort.is_some() {
            return;
        }
        attempt.cancel_token.cancel();
        // No attempt follows after the deadline.
        let expires_at = deadline.min(now + ABORT_TIMEOUT);
        let confirmation_timer = (!is_final_attempt).then(|| {
            self.timers
                .set(expires_at, BrokerTimer::AbortTimeout(id, attempt_no))
        });
        attempt.abort = Some(PendingAbort {
            outcome,
            aborted_at: now,
            confirmation_timer,
        });
        send_command(&attempt.mailbox, EngineCommand::Abort(id, attempt_no));
        if is_final_attempt {
            self.abort_confirmed(id, attempt_no);
        }
    }

    fn is_aborting(&self, id: RequestId, attempt_no: AttemptNo) -> bool {
        let attempt = self
            .open_requests
            .get(&id)
            .and_then(|request| request.attempt_in_flight(attempt_no));
        attempt.is_some_and(|attempt| attempt.abort.is_some())
    }

    /// Removes an aborted attempt and reports its outcome.
    fn abort_confirmed(&mut self, id: RequestId, attempt_no: AttemptNo) {
        if !self.is_aborting(id, attempt_no) {
            return;
        }
        if let Some(attempt) = self.remove_attempt(id, attempt_no)
            && let Some(PendingAbort {
                outcome,
                aborted_at,
                ..
            }) = attempt.abort
        {
            self.report_outcome(
                id,
                attempt_no,
                attempt.actor.engine,
                outcome,
                attempt.sent_at,
                aborted_at,
            );
        }
    }

    /// Ends an aborted attempt whose abort is not confirmed in time, so that its request can go on.
    fn abort_timed_out(&mut self, id: RequestId, attempt_no: AttemptNo, now: Instant) {
        if !self.is_aborting(id, attempt_no) {
            return;
        }
        let deadline_passed = self
            .open_requests
            .get(&id)
            .is_none_or(|request| now >= request.deadline);
        if !deadline_passed {
            log::warn!("request {:016x}: an abort was not confirmed in time", id.0);
        }
        self.abort_confirmed(id, attempt_no);
    }

    fn attempt_ended(
        &mut self,
        actor: EngineActorId,
        id: RequestId,
        attempt_no: AttemptNo,
        result: AttemptResult,
    ) {
        let now = Instant::now();
        // A result that arrives after a cancellation or a timeout is ignored: the attempt has its outcome.
        if !self.is_in_flight(actor, id, attempt_no) {
            return;
        }
        if self.is_aborting(id, attempt_no) {
            return self.abort_confirmed(id, attempt_no);
        }
        let Some(attempt) = self.remove_attempt(id, attempt_no) else {
            return;
        };
        let outcome = match result {
            AttemptResult::Ok { page, work, load } => {
                return self.attempt_succeeded(id, attempt_no, attempt, page, work, load);
            }
            AttemptResult::Busy => Outcome::Rejected,
            AttemptResult::Error => Outcome::Error,
            AttemptResult::NotRun => Outcome::NotSent,
            AttemptResult::ConnectFailed => Outcome::ConnectFailed,
            AttemptResult::Reset => Outcome::Reset,
        };
        self.report_outcome(id, attempt_no, actor.engine, outcome, attempt.sent_at, now);
    }

    /// Answers the request with the result of its first successful attempt.
    fn attempt_succeeded(
        &mut self,
        id: RequestId,
        attempt_no: AttemptNo,
        attempt: InFlightAttempt,
        page: Page,
        work: Option<Micros>,
        load: Option<sedgebeam_core::LoadReport>,
    ) {
        let Some(request) = self.open_requests.get_mut(&id) else {
            return;
        };
        request.attempt_ended(Outcome::Ok);
        let pages = ResultPages::new(page, request.deadline, attempt.mailbox, id, attempt_no);
        self.send_answer(id, Answer::Rows(pages));
        self.counters.count_attempt(Outcome::Ok);
        self.events.push(Event::Ended(AttemptEnded {
            request: id,
            attempt: attempt_no,
            engine: attempt.actor.engine,
            outcome: Outcome::Ok,
            elapsed: to_micros(attempt.sent_at.elapsed()),
            request_finished: true,
            work: work.filter(|_| self.names.reports_cost),
            load_report: load,
        }));
    }
}

/// Waits until another shard has released capacity; forever if there is only one.
async fn wait_for_capacity(shard: Option<&Shard>) {
    match shard {
        Some(shard) => shard.capacity_released().await,
        None => std::future::pending().await,
    }
}

/// Sends a command to an engine's actor; if its mailbox is full or closed, logs that and drops the command.
fn send_command(mailbox: &EngineSender, command: EngineCommand) {
    if let Err(error) = mailbox.try_send(command) {
        log::warn!("dropped a command to an engine's actor: {error}");
    }
}
