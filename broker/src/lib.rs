//! The module's actor: it alone owns the gateway, the open requests, their attempts and all timers.
//!
//! It gives the gateway just what the simulator's adapter would: events in the order in which they
//! came, in batches no closer than a tick, one outcome for each send, and attempts numbered from 0.

mod admin;
mod engines;
mod requests;
pub mod shards;
#[cfg(test)]
mod tests;

use admin::Tally;
use engines::{Known, probed};
use requests::{GivenUp, Open, Out};
use sedgebeam_core::{
    Action, AttemptEnded, AttemptNo, Effect, EngineId, Event, Gateway, HandoverState, Key, Micros,
    Outcome, Query, RequestId, Settings, ShardUsage, TimerId,
};
use sedgebeam_operation::{Metrics, metrics};
use sedgebeam_port::clock::{Clock, to_duration, to_micros};
use sedgebeam_port::{
    Answer, Attempt, AttemptResult, BrokerMessage, BrokerSender, EngineCommand, EngineReport,
    EngineReporter, EngineSender, EngineTransport, Failure, HEARTBEAT_INTERVAL, ListUpdate,
    NewRequest, Page, ResultPages, memory_grant,
};
use sedgebeam_reconfigure::RuntimeSettings;
use sedgebeam_settings::Names;
use shards::Shard;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// Messages that may wait for the broker; their senders wait beyond it.
const MAILBOX: usize = 4096;
/// What another process holds counts for so long if nothing more is heard of it; it tells ten times a second.
const BESIDE_LASTS: Micros = Micros::from_millis(1000);
/// An attempt that is given up has its outcome after this time, though nothing of its engine's actor confirms it: longer
/// than the actor needs to close a connection that does not take an abort.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(1);
/// Messages taken before the gateway is asked again.
const MOST_AT_ONCE: usize = 2048;

#[derive(Clone, Copy, Debug)]
enum Due {
    Module(TimerId),
    Attempt(RequestId, Instant, AttemptNo),
    /// The confirmation that an attempt is given up is overdue.
    GivenUp(RequestId, Instant, AttemptNo),
    /// The final answer is overdue.
    Answer(RequestId, Instant),
}

pub struct Broker {
    gateway: Gateway,
    settings: Settings,
    names: Names,
    class_names: Vec<Arc<str>>,
    /// The requests that may be open at once.
    most_open: usize,
    world: Arc<dyn EngineTransport>,
    part: Option<Shard>,
    /// Another shard has let go what this one may be waiting for.
    woken: bool,
    clock: Clock,
    own: BrokerSender,
    open: HashMap<RequestId, Open>,
    engines: BTreeMap<EngineId, Known>,
    /// The numbers of the engines that are known, by their names.
    numbers: HashMap<String, EngineId>,
    /// Engines that the administration has drained, whatever the list says.
    drained: BTreeSet<String>,
    counters: Tally,
    figures: Metrics,
    /// What it has last told the figures of its engines.
    told: metrics::ShardEngines,
    /// Events that the gateway has not been told yet.
    events: Vec<Event>,
    /// Requests that are over and have nothing out, once the gateway knows.
    over: Vec<RequestId>,
    due: BTreeMap<(Instant, u64), Due>,
    due_count: u64,
    last_batch: Option<Instant>,
}

/// What a broker needs to know at its start.
#[derive(Clone)]
pub struct BrokerConfig {
    pub runtime_settings: Arc<RuntimeSettings>,
    pub seed: u64,
    pub clock: Clock,
    pub metrics: Metrics,
    /// Starts the actors of engines.
    pub engine_transport: Arc<dyn EngineTransport>,
    /// Where this is one shard of several.
    pub shard: Option<Shard>,
}

/// The broker and its mailbox.
pub fn new(setup: BrokerConfig) -> (Broker, BrokerSender, mpsc::Receiver<BrokerMessage>) {
    let (own, incoming) = mpsc::channel(MAILBOX);
    let RuntimeSettings {
        settings,
        names,
        max_open_requests: most_open,
    } = (*setup.runtime_settings).clone();
    let broker = Broker {
        gateway: Gateway::new(settings.clone(), setup.seed),
        class_names: class_names(&settings),
        settings,
        names,
        most_open,
        world: setup.engine_transport,
        part: setup.shard,
        woken: false,
        clock: setup.clock,
        own: own.clone(),
        open: HashMap::new(),
        engines: BTreeMap::new(),
        numbers: HashMap::new(),
        drained: BTreeSet::new(),
        counters: Tally::default(),
        figures: setup.metrics,
        told: metrics::ShardEngines::default(),
        events: Vec::new(),
        over: Vec::new(),
        due: BTreeMap::new(),
        due_count: 0,
        last_batch: None,
    };
    (broker, own, incoming)
}

fn class_names(settings: &Settings) -> Vec<Arc<str>> {
    let classes = settings.classes.iter();
    classes.map(|class| class.name.as_str().into()).collect()
}

/// What other processes hold, as a shard would tell it: classes by their places here.
fn abroad(held: &HandoverState, classes: &[Arc<str>], until: Micros) -> ShardUsage {
    let engines = held.engines.iter();
    let class = |name: &Arc<str>| {
        let held = held.classes.iter().find(|held| *held.name == **name);
        held.map(|held| held.usage).unwrap_or_default()
    };
    ShardUsage {
        engines: engines
            .map(|held| (held.engine, held.usage.clone()))
            .collect(),
        classes: classes.iter().map(class).collect(),
        all_ended_by: until,
        ..ShardUsage::default()
    }
}

impl Broker {
    /// Runs until every sender of its mailbox but its own is gone, which is never.
    pub async fn run(mut self, mut incoming: mpsc::Receiver<BrokerMessage>) {
        loop {
            let wake = self.wakes_at();
            tokio::select! {
                biased;
                message = incoming.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = woken(self.part.as_ref()) => self.woken = true,
                () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {}
            }
            for _ in 0..MOST_AT_ONCE {
                match incoming.try_recv() {
                    Ok(message) => self.take(message),
                    Err(_) => break,
                }
            }
            let now = Instant::now();
            if let Some(part) = &self.part {
                part.heartbeat();
            }
            self.fall_due(now);
            if self.has_news() && now >= self.next_batch(now) {
                self.batch(now);
            }
        }
    }

    fn next_batch(&self, now: Instant) -> Instant {
        let tick = to_duration(self.settings.tick);
        self.last_batch.map_or(now, |last| last + tick)
    }

    fn wakes_at(&self) -> Option<Instant> {
        let batch = self.has_news().then(|| self.next_batch(Instant::now()));
        let due = self.due.first_key_value().map(|((at, _), _)| *at);
        let beat = self
            .part
            .as_ref()
            .map(|_| Instant::now() + HEARTBEAT_INTERVAL);
        batch.into_iter().chain(due).chain(beat).min()
    }

    /// Whether the gateway has something to hear.
    fn has_news(&self) -> bool {
        self.woken || !self.events.is_empty()
    }

    fn at(&mut self, when: Instant, due: Due) {
        self.due_count += 1;
        self.due.insert((when, self.due_count), due);
    }

    fn fall_due(&mut self, now: Instant) {
        while let Some(first) = self.due.first_entry().filter(|first| first.key().0 <= now) {
            match first.remove() {
                Due::Module(timer) => self.events.push(Event::Timer(timer)),
                // Of a request that is over another may have the name by now, with a time of its own.
                Due::Attempt(id, deadline, number) if self.is_of(id, deadline) => {
                    self.timed_out(id, number, now);
                }
                Due::GivenUp(id, deadline, number) if self.is_of(id, deadline) => {
                    self.unconfirmed(id, number, now);
                }
                Due::Answer(id, deadline) if self.is_of(id, deadline) => self.overdue(id),
                Due::Attempt(..) | Due::GivenUp(..) | Due::Answer(..) => {}
            }
        }
    }

    /// Whether the request of this name is the one with this deadline.
    fn is_of(&self, id: RequestId, deadline: Instant) -> bool {
        let open = self.open.get(&id);
        open.is_some_and(|open| open.deadline == deadline)
    }

    /// Tells the gateway what has happened and does what it says.
    fn batch(&mut self, now: Instant) {
        self.last_batch = Some(now);
        self.woken = false;
        let mut events = std::mem::take(&mut self.events);
        for event in &mut events {
            if let Event::Request(query) = event {
                let open = self.open.get(&query.id);
                let left = open.map_or(Micros(0), |open| {
                    to_micros(open.deadline.saturating_duration_since(now))
                });
                query.remaining = left;
            }
        }
        let told = std::mem::take(&mut self.over);
        events.iter().for_each(|event| log::trace!("{event:?}"));
        let (actions, stands) = self.decide(now, events);
        for action in actions {
            log::trace!("{action:?}");
            match action {
                Action::Send {
                    request, engine, ..
                } if !stands => self.not_sent(request, engine, Outcome::NotSent, now),
                action => self.act(action, now),
            }
        }
        for id in told {
            self.open.remove(&id);
            if let Some(part) = &self.part {
                part.release_request(id);
            }
        }
        self.tell_engines();
    }

    /// Tells the figures what is believed of the engines, where that has changed.
    fn tell_engines(&mut self) {
        let avoided = self.gateway.ejected_engines().into_iter();
        let engines = metrics::ShardEngines {
            discovered: self.engines.len(),
            ejected: avoided.map(|(id, until)| (id.0, until.0)).collect(),
        };
        if engines != self.told {
            let shard = self.part.as_ref().map_or(0, Shard::index);
            self.figures.set_engines(shard, engines.clone());
            self.told = engines;
        }
    }

    /// What the gateway says, and whether it may be carried out: as one shard of several it decides on room
    /// that it has borrowed, and what it decides too late may have been given to others.
    fn decide(&mut self, now: Instant, events: Vec<Event>) -> (Vec<Action>, bool) {
        let at = self.clock.micros(now);
        let Some(part) = self.part.clone() else {
            return (self.gateway.handle(at, events), true);
        };
        let wish = self.gateway.demand(at, &events);
        let loan = part.acquire(at, &wish, self.open.len());
        self.most_open = loan.max_open_requests;
        self.gateway.update_siblings(loan.siblings);
        let actions = self.gateway.handle(at, events);
        let told = self.gateway.publish();
        let stands = part.settle(loan.id, self.clock.micros(Instant::now()), told);
        if !stands {
            log::warn!("a decision took too long: nothing of it is sent");
        }
        (actions, stands)
    }

    /// A send that is not made: it never ran.
    fn not_sent(&mut self, id: RequestId, to: EngineId, outcome: Outcome, now: Instant) {
        if let Some(open) = self.open.get_mut(&id) {
            let number = AttemptNo(open.attempts.len() as u32);
            open.attempts.push(None);
            self.report(id, number, to, outcome, now, now);
        }
    }

    fn act(&mut self, action: Action, now: Instant) {
        match action {
            Action::AttemptResources {
                request,
                memory_mb,
                priority,
            } => self.terms(request, memory_mb, priority),
            Action::Send {
                request,
                engine,
                timeout,
                starts_by,
            } => self.send(request, engine, timeout, starts_by, now),
            Action::Cancel { request, attempt } => self.call_off(request, attempt, now),
            Action::Refuse {
                request,
                retry_after,
            } => {
                let retry_after = to_duration(retry_after);
                self.conclude(request, Answer::Refused { retry_after });
            }
            Action::Fail { request } => {
                self.conclude(request, Answer::Failed(Failure::OutcomeUnknown));
            }
            Action::Timer { timer, at } => {
                let at = self.clock.instant(at);
                self.at(at, Due::Module(timer));
            }
            Action::Probe { engine } => self.probe(engine),
            // The change log is followed by itself.
            Action::SubscribeToEngineList => {}
            Action::Log(text) => log::info!("{text}"),
        }
    }

    fn take(&mut self, message: BrokerMessage) {
        match message {
            BrokerMessage::Submit(request, reply) => self.submit(request, reply),
            BrokerMessage::ClientLeft(id) => self.client_left(id, Failure::Cancelled),
            BrokerMessage::EngineReport(engine, EngineReport::AttemptEnded(id, number, end)) => {
                self.ended(engine, id, number, end);
            }
            BrokerMessage::EngineReport(engine, EngineReport::AbortConfirmed(id, number)) => {
                if self.is_out(engine, id, number) {
                    self.confirmed(id, number);
                }
            }
            BrokerMessage::EngineReport(engine, EngineReport::Note(id, number, note)) => {
                if self.is_out(engine, id, number) && !self.is_given_up(id, number) {
                    self.events.push(Event::Note(id, number, note));
                }
            }
            BrokerMessage::EngineReport(engine, EngineReport::Probed(probe)) => {
                let (outcome, load) = probed(probe);
                self.events.push(Event::Probed(engine, outcome, load));
            }
            BrokerMessage::EngineReport(engine, EngineReport::Idle(resting)) => {
                self.rests(engine, &resting)
            }
            BrokerMessage::EngineActorDied(engine) => self.engine_died(engine),
            BrokerMessage::EngineList(listing, targets) => self.list(listing, targets),
            BrokerMessage::GetHandoverState(reply) => {
                // Whoever asked may have gone.
                let _ = reply.send(self.gateway.handover_state());
            }
            BrokerMessage::RestoreHandoverState(held) => {
                // The gateway must know of the engines first.
                self.batch(Instant::now());
                self.gateway.restore(&held);
            }
            BrokerMessage::SetPeerProcessUsage(held, may_warm) => self.beside(&held, may_warm),
            BrokerMessage::Shutdown => self.events.push(Event::Shutdown),
            // Whoever told of them waits for the sender to be dropped.
            BrokerMessage::Reconfigure(tuning, _held) => self.retune(&tuning),
            BrokerMessage::Admin(asked, reply) => {
                // A client that has gone needs no answer.
                let _ = reply.send(self.administer(asked));
            }
        }
    }

    /// Takes new settings: what came before was told under the old ones, and the gateway hears it first.
    fn retune(&mut self, tuning: &RuntimeSettings) {
        if !self.events.is_empty() {
            self.batch(Instant::now());
        }
        self.settings = tuning.settings.clone();
        self.names = tuning.names.clone();
        self.most_open = tuning.max_open_requests;
        self.class_names = class_names(&self.settings);
        if let Some(part) = &self.part {
            part.reconfigure(&self.settings, self.most_open);
        }
        self.gateway.reconfigure(tuning.settings.clone());
        // Kinds and zones may stand at other places now.
        let targets = self.engines.values().map(|known| known.target.clone());
        self.list(ListUpdate::Complete, targets.collect());
    }

    /// Other processes of this dispatcher hold so much. Of several shards the ledger tells each what the others
    /// hold, and what other processes do; each shard hears of those and tells it the same.
    fn beside(&mut self, held: &HandoverState, may_warm: bool) {
        let (now, nothing) = (self.clock.micros(Instant::now()), HandoverState::default());
        if let Some(part) = &self.part {
            part.set_peer_process_usage(now, abroad(held, &self.class_names, now + BESIDE_LASTS));
            self.gateway.set_peer_process_usage(now, &nothing, may_warm);
        } else {
            self.gateway.set_peer_process_usage(now, held, may_warm);
        }
    }

    // ---- Requests ----

    fn submit(&mut self, request: NewRequest, reply: oneshot::Sender<Answer>) {
        let refused = Answer::Refused {
            retry_after: to_duration(self.settings.max_retry_after),
        };
        // An answer that nobody waits for any more is no loss.
        if request.cancel_token.is_cancelled() {
            let _ = reply.send(Answer::Failed(Failure::Cancelled));
            return;
        }
        if self.open.contains_key(&request.id) {
            let _ = reply.send(Answer::Failed(Failure::DuplicateId));
            return;
        }
        // A class that is not known would never have an answer.
        let unknown = request.class.0 >= self.class_names.len();
        if self.open.len() >= self.most_open || unknown {
            let _ = reply.send(refused);
            return;
        }
        let id = request.id;
        let named = request.tenant.as_deref();
        let tenant = named.and_then(|name| self.names.tenant(name));
        // One that names a tenant that there is not must not be served as if it named none.
        if named.is_some() && tenant.is_none() {
            let _ = reply.send(Answer::Failed(Failure::UnknownTenant));
            return;
        }
        if self
            .part
            .as_ref()
            .is_some_and(|part| !part.claim_request(id))
        {
            let _ = reply.send(Answer::Failed(Failure::DuplicateId));
            return;
        }
        let class = &self.class_names[request.class.0];
        self.counters.taken(class, named);
        self.events.push(Event::Request(Query {
            id,
            class: request.class,
            tenant,
            key: request.order_key.as_deref().map(Key::from_name),
            // Set when the gateway is told.
            remaining: Micros(0),
            work: request.work,
            memory_mb: request.memory_mb,
            table_group: request.group,
            is_retry: request.is_retry,
        }));
        let slack = to_duration(self.settings.answer_slack);
        self.at(request.deadline + slack, Due::Answer(id, request.deadline));
        self.open.insert(id, Open::new(request, tenant, reply));
    }

    /// Gives the final answer, unless it has been given.
    fn conclude(&mut self, id: RequestId, answer: Answer) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(reply) = open.reply.take() else {
            return;
        };
        let class = &self.class_names[open.class.0];
        let tenant = open
            .tenant
            .and_then(|tenant| self.settings.tenants.get(tenant.0));
        let tenant = tenant.map(|tenant| tenant.name.as_str());
        self.counters.answered(class, tenant, &answer);
        // The client may have gone in this moment; then its result is dropped, and so let go.
        let _ = reply.send(answer);
        self.settle(id);
    }

    /// Notes a request that is over and has nothing out, once: noted again it would take one of the same name with it
    /// that has come since.
    fn settle(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id)
            && open.is_settled()
            && !std::mem::replace(&mut open.noted, true)
        {
            self.over.push(id);
        }
    }

    fn client_left(&mut self, id: RequestId, why: Failure) {
        if self.open.get(&id).is_some_and(|open| open.reply.is_some()) {
            self.events.push(Event::ClientLeft(id));
            self.conclude(id, Answer::Failed(why));
        }
    }

    /// Guards against a request that the gateway leaves without an answer.
    fn overdue(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|open| open.reply.is_some()) {
            log::error!("request {:016x} is overdue", id.0);
            self.client_left(id, Failure::OutcomeUnknown);
        }
    }

    // ---- Attempts ----

    /// Whether it is out there: of an earlier request of this name the same attempt may have been elsewhere.
    fn is_out(&self, engine: EngineId, id: RequestId, number: AttemptNo) -> bool {
        let out = self.open.get(&id).and_then(|open| open.out(number));
        out.is_some_and(|out| out.engine == engine)
    }

    /// Memory for what is sent next; the priority holds at once for what is out as well.
    fn terms(&mut self, id: RequestId, memory_mb: f64, priority: u8) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.memory_grant_mb = memory_grant(memory_mb);
        let changed = std::mem::replace(&mut open.rank, priority) != priority;
        for (number, out) in open.all_out().filter(|_| changed) {
            post(
                &out.mailbox,
                EngineCommand::Reprioritize(id, number, priority),
            );
        }
    }

    fn send(
        &mut self,
        id: RequestId,
        to: EngineId,
        timeout: Micros,
        starts_by: Option<Micros>,
        now: Instant,
    ) {
        // Its client has gone, and the word of that waits behind other messages.
        if self
            .open
            .get(&id)
            .is_some_and(|open| open.cancelled.is_cancelled())
        {
            self.client_left(id, Failure::Cancelled);
        }
        let Some(open) = self.open.get_mut(&id) else {
            log::error!("a send for request {:016x}, which is not open", id.0);
            return;
        };
        let known = self.engines.get_mut(&to).filter(|known| known.ready);
        let number = AttemptNo(open.attempts.len() as u32);
        let most = self.settings.max_attempts;
        let spent = most > 0 && number.0 >= most;
        let doubled = !self.settings.second_copies && open.all_out().next().is_some();
        let moot = open.reply.is_none() || now >= open.deadline || spent || doubled;
        let Some(known) = known.filter(|_| !moot) else {
            let outcome = if moot {
                Outcome::NotSent
            } else {
                Outcome::ConnectFailed
            };
            return self.not_sent(id, to, outcome, now);
        };
        let left = open.deadline - now;
        let timeout = match timeout {
            Micros(0) => left,
            timeout => to_duration(timeout).min(left),
        };
        let attempt = Attempt {
            request: id,
            number,
            class: self.class_names[open.class.0].clone(),
            deadline: now + timeout,
            priority: open.rank,
            // Settings that came since the terms may heed none.
            memory_grant_mb: open.memory_grant_mb.filter(|_| self.settings.takes_grants),
            statement: open.statement.clone(),
            idempotency_token: open.token.clone(),
            order_key: open.order_key.clone(),
            cancel_token: open.cancelled.child_token(),
            starts_by: starts_by.map_or(now + timeout, |by| {
                self.clock.instant(by).min(now + timeout)
            }),
        };
        let cancelled = attempt.cancel_token.clone();
        let reports = || EngineReporter::new(to, self.own.clone());
        let Some(mailbox) = known.post(EngineCommand::Send(attempt), &*self.world, reports) else {
            return self.not_sent(id, to, Outcome::ConnectFailed, now);
        };
        open.attempts.push(Some(Out {
            engine: to,
            mailbox,
            sent: now,
            cancelled,
            given_up: None,
        }));
        let deadline = open.deadline;
        self.at(now + timeout, Due::Attempt(id, deadline, number));
    }

    /// Tells the gateway how an attempt ended.
    fn report(
        &mut self,
        id: RequestId,
        number: AttemptNo,
        engine: EngineId,
        outcome: Outcome,
        sent: Instant,
        now: Instant,
    ) {
        self.counters.ended(outcome);
        let open = self.open.get(&id);
        self.events.push(Event::Ended(AttemptEnded {
            request: id,
            attempt: number,
            engine,
            outcome,
            elapsed: to_micros(now - sent),
            request_finished: open.is_none_or(|open| open.reply.is_none()),
            work: None,
            load_report: None,
        }));
        self.settle(id);
    }

    /// Takes an attempt back, if it is out; what is still unwritten of it stays so.
    fn take_back(&mut self, id: RequestId, number: AttemptNo) -> Option<Out> {
        let open = self.open.get_mut(&id)?;
        let out = open.attempts.get_mut(number.0 as usize)?.take()?;
        out.cancelled.cancel();
        Some(out)
    }

    fn call_off(&mut self, id: RequestId, number: AttemptNo, now: Instant) {
        self.give_up(id, number, Outcome::Cancelled, now);
    }

    fn timed_out(&mut self, id: RequestId, number: AttemptNo, now: Instant) {
        self.give_up(id, number, Outcome::TimedOut, now);
    }

    /// Gives an attempt up, if it is out. Where another may follow, the gateway hears of it only once its engine's actor
    /// has confirmed that it is out no longer: two attempts of one request must not be out together.
    fn give_up(&mut self, id: RequestId, number: AttemptNo, outcome: Outcome, now: Instant) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let effect = self.settings.classes[open.class.0].effect;
        let final_attempt = open.reply.is_none() || now >= open.deadline || effect == Effect::Once;
        let deadline = open.deadline;
        let out = open.attempts.get_mut(number.0 as usize);
        let Some(out) = out.and_then(Option::as_mut) else {
            return;
        };
        if out.given_up.is_some() {
            return;
        }
        out.cancelled.cancel();
        out.given_up = Some(GivenUp { outcome, at: now });
        post(&out.mailbox, EngineCommand::Abort(id, number));
        if final_attempt {
            self.confirmed(id, number);
        } else {
            // From the deadline on nothing follows.
            let latest = deadline.min(now + GIVEN_UP_WITHIN);
            self.at(latest, Due::GivenUp(id, deadline, number));
        }
    }

    fn is_given_up(&self, id: RequestId, number: AttemptNo) -> bool {
        let out = self.open.get(&id).and_then(|open| open.out(number));
        out.is_some_and(|out| out.given_up.is_some())
    }

    /// An attempt that was given up is out no longer.
    fn confirmed(&mut self, id: RequestId, number: AttemptNo) {
        if !self.is_given_up(id, number) {
            return;
        }
        if let Some(out) = self.take_back(id, number)
            && let Some(GivenUp { outcome, at }) = out.given_up
        {
            self.report(id, number, out.engine, outcome, out.sent, at);
        }
    }

    /// Guards against an attempt that is given up without a confirmation: its request goes on.
    fn unconfirmed(&mut self, id: RequestId, number: AttemptNo, now: Instant) {
        if !self.is_given_up(id, number) {
            return;
        }
        let over = self.open.get(&id).is_none_or(|open| now >= open.deadline);
        if !over {
            log::warn!("request {:016x}: no word that an attempt is given up", id.0);
        }
        self.confirmed(id, number);
    }

    fn ended(&mut self, engine: EngineId, id: RequestId, number: AttemptNo, end: AttemptResult) {
        let now = Instant::now();
        // What was called off or timed out has its outcome, whatever crosses that.
        if !self.is_out(engine, id, number) {
            return;
        }
        if self.is_given_up(id, number) {
            return self.confirmed(id, number);
        }
        let Some(out) = self.take_back(id, number) else {
            return;
        };
        let outcome = match end {
            AttemptResult::Ok { page, work, load } => {
                return self.served(id, number, out, page, work, load);
            }
            AttemptResult::Busy => Outcome::Rejected,
            AttemptResult::Error => Outcome::Error,
            AttemptResult::NotRun => Outcome::NotSent,
            AttemptResult::ConnectFailed => Outcome::ConnectFailed,
            AttemptResult::Reset => Outcome::Reset,
        };
        self.report(id, number, engine, outcome, out.sent, now);
    }

    /// The first good end reaches the client and concludes the request.
    fn served(
        &mut self,
        id: RequestId,
        number: AttemptNo,
        out: Out,
        page: Page,
        work: Option<Micros>,
        load: Option<sedgebeam_core::LoadReport>,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let delivery = ResultPages::new(page, open.deadline, out.mailbox, id, number);
        self.conclude(id, Answer::Rows(delivery));
        self.counters.ended(Outcome::Ok);
        self.events.push(Event::Ended(AttemptEnded {
            request: id,
            attempt: number,
            engine: out.engine,
            outcome: Outcome::Ok,
            elapsed: to_micros(out.sent.elapsed()),
            request_finished: true,
            work: work.filter(|_| self.names.reports_cost),
            load_report: load,
        }));
    }
}

/// Waits until another shard has let something go; for ever, where there is none.
async fn woken(part: Option<&Shard>) {
    match part {
        Some(part) => part.capacity_released().await,
        None => std::future::pending().await,
    }
}

/// Tells an engine's actor what needs no answer.
fn post(mailbox: &EngineSender, message: EngineCommand) {
    if let Err(error) = mailbox.try_send(message) {
        log::warn!("an engine's mailbox: {error}");
    }
}
