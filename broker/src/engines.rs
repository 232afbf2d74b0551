//! The listed engines, their ids, and the actors of those in use.
//!
//! A list may contain thousands of engines of which a dispatcher uses a few at a time. An engine's actor is therefore
//! started for the first attempt or probe, and ends once it has no attempt in flight and no open connection.

use super::{Broker, EngineSender, send_command};
use sedgebeam_core::{
    AttemptNo, CellId, Engine, EngineId, EngineState, Event, Key, ListKind, LoadReport, Micros,
    Outcome, RequestId,
};
use sedgebeam_port::{
    BrokerSender, EngineActorId, EngineCommand, EngineReporter, EngineTransport, IdleEngine,
    ListUpdate, ProbeResult, Target,
};
use sedgebeam_settings::millis_to_micros;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use tokio::time::Instant;

/// Maximum time between a change and its delivery by the change log.
const MAX_CHANGE_DELAY: Micros = Micros::from_millis(7_000);

/// A listed engine.
#[derive(Default)]
pub(super) struct KnownEngine {
    pub target: Target,
    pub is_ready: bool,
    /// Start time as listed, in Unix time by the engine's clock.
    pub reported_start_ms: Option<f64>,
    /// Start time limited by this process's clock; zero, which counts as long ago, if none is listed.
    pub started_at: Micros,
    /// `None` while the engine is not in use.
    pub actor: Option<Actor>,
}

/// The broker's handle of an engine's actor.
pub(super) struct Actor {
    pub id: EngineActorId,
    pub mailbox: EngineSender,
    /// Attempts and probes sent to the actor.
    pub sent_count: u64,
}

impl KnownEngine {
    /// Sends an attempt or a probe to the engine's actor, which is started if none runs. Returns `None` if the mailbox
    /// is full or closed.
    pub fn send_to_actor(
        &mut self,
        command: EngineCommand,
        start: impl FnOnce(&Target) -> Actor,
    ) -> Option<&Actor> {
        let target = &self.target;
        let actor = self.actor.get_or_insert_with(|| start(target));
        actor.mailbox.try_send(command).ok()?;
        actor.sent_count += 1;
        Some(actor)
    }

    /// Whether this is the engine's actor.
    fn has_actor(&self, id: EngineActorId) -> bool {
        self.actor.as_ref().is_some_and(|actor| actor.id == id)
    }

    /// Sets the listed start time. The clocks of two machines may differ or be stepped, so the time is limited: it is
    /// not in the future, and an engine in a change started at most [`MAX_CHANGE_DELAY`] ago. Engines in a full list
    /// may be of any age. A repeated report of the same start changes nothing.
    fn set_reported_start(&mut self, start_ms: Option<f64>, update: ListUpdate, now: Micros) {
        if self.reported_start_ms == start_ms {
            return;
        }
        let started_at = millis_to_micros(start_ms.unwrap_or_default());
        let earliest = match update {
            ListUpdate::Changes => now - MAX_CHANGE_DELAY,
            ListUpdate::Saved | ListUpdate::Complete => Micros(0),
        };
        self.reported_start_ms = start_ms;
        self.started_at = if started_at == Micros(0) {
            started_at
        } else {
            started_at.max(earliest).min(now)
        };
    }

    /// Start time as listed, in Unix time by the engine's clock; zero if none is listed.
    fn reported_start(&self) -> f64 {
        self.reported_start_ms.unwrap_or_default()
    }

    /// Tells the actor to return the attempts that are not yet written.
    fn return_unsent(&self) {
        if let Some(actor) = &self.actor {
            send_command(&actor.mailbox, EngineCommand::ReturnUnsent);
        }
    }

    /// Drops an actor that has reported to be idle. If more commands were sent to it meanwhile, it is kept and will
    /// report again.
    fn release_idle_actor(&mut self, idle_engine: &IdleEngine) {
        let has_received_all = |actor: &Actor| {
            let mailbox = idle_engine.mailbox.upgrade();
            let is_same_actor = mailbox.is_some_and(|mailbox| mailbox.same_channel(&actor.mailbox));
            is_same_actor && actor.sent_count == idle_engine.received_count
        };
        if self.actor.as_ref().is_some_and(has_received_all) {
            self.actor = None;
        }
    }
}

/// Starts the actors of engines and numbers them.
pub(super) struct ActorStarter {
    pub engine_transport: Arc<dyn EngineTransport>,
    /// Sends to the broker's mailbox.
    pub broker: BrokerSender,
    pub started_count: u64,
}

impl ActorStarter {
    /// A function that starts the actor of an engine.
    pub fn start(&mut self, engine: EngineId) -> impl FnOnce(&Target) -> Actor {
        move |target| {
            let id = EngineActorId {
                engine,
                instance: self.started_count,
            };
            self.started_count += 1;
            let reporter = EngineReporter::new(id, self.broker.clone());
            Actor {
                id,
                mailbox: self.engine_transport.start(target, reporter),
                sent_count: 0,
            }
        }
    }
}

impl Broker {
    /// Handles the answer to a probe. That of an earlier actor is ignored: the engine may have moved.
    pub(super) fn probe_ended(&mut self, actor: EngineActorId, probe: ProbeResult) {
        let engine = self.engines.get(&actor.engine);
        if engine.is_some_and(|engine| engine.has_actor(actor)) {
            let (outcome, load) = probe_outcome(probe);
            self.events.push(Event::Probed(actor.engine, outcome, load));
        }
    }

    pub(super) fn probe(&mut self, engine: EngineId) {
        let start = self.actor_starter.start(engine);
        let known_engine = self.engines.get_mut(&engine);
        let sent = known_engine
            .and_then(|known_engine| known_engine.send_to_actor(EngineCommand::Probe, start));
        if sent.is_none() {
            self.events
                .push(Event::Probed(engine, Outcome::ConnectFailed, None));
        }
    }

    pub(super) fn update_engine_list(&mut self, update: ListUpdate, targets: Vec<Target>) {
        let mut engines = Vec::new();
        for target in &targets {
            let id = self.engine_id(&target.uid);
            let state = self.engine_state(target);
            match state {
                EngineState::Gone => {
                    self.remove_engine(id);
                    if let Some(shard) = &self.shard {
                        shard.forget_engine(&target.uid);
                    }
                }
                state => self.update_engine(id, target, state == EngineState::Ready, update),
            }
            engines.push(self.list_entry(id, target, state));
        }
        let kind = match update {
            ListUpdate::Saved => ListKind::Saved,
            ListUpdate::Complete => ListKind::Complete,
            ListUpdate::Changes => ListKind::Changes,
        };
        if update != ListUpdate::Changes {
            let listed_ids: HashSet<EngineId> = engines.iter().map(|engine| engine.id).collect();
            let known_ids = self.engines.keys().copied();
            let unlisted: Vec<EngineId> = known_ids.filter(|id| !listed_ids.contains(id)).collect();
            unlisted.into_iter().for_each(|id| self.remove_engine(id));
        }
        engines.extend(self.remove_replaced_engines(&targets));
        self.events.push(Event::List { kind, engines });
        self.update_engine_metrics();
    }

    fn list_entry(&self, id: EngineId, target: &Target, state: EngineState) -> Engine {
        Engine {
            id,
            zone: target.az.as_deref().and_then(|zone| self.names.zone(zone)),
            kind: target
                .model
                .as_deref()
                .and_then(|kind| self.names.kind(kind)),
            cell: CellId(target.pod_group.unwrap_or_default()),
            state,
            started_at: self
                .engines
                .get(&id)
                .map_or(Micros(0), |engine| engine.started_at),
        }
    }

    fn engine_state(&self, target: &Target) -> EngineState {
        match target.state.as_str() {
            "up" if !self.drained.contains(&target.uid) => EngineState::Ready,
            "up" | "draining" => EngineState::Draining,
            _ => EngineState::Gone,
        }
    }

    /// The id of an engine. It is derived from the uid, so that all dispatchers order engines alike.
    pub(super) fn engine_id(&self, uid: &str) -> EngineId {
        if let Some(id) = self.engine_ids.get(uid) {
            return *id;
        }
        if let Some(shard) = &self.shard {
            return shard.engine_id(uid, || id_from_uid(uid));
        }
        let mut id = id_from_uid(uid);
        while self.engines.contains_key(&EngineId(id)) {
            id = id.wrapping_add(1);
        }
        EngineId(id)
    }

    fn update_engine(&mut self, id: EngineId, target: &Target, is_ready: bool, update: ListUpdate) {
        let previous_state = self.engines.get(&id).map(|engine| &engine.target.state);
        if previous_state != Some(&target.state) {
            log::info!(
                "engine {} at {}: {}",
                target.uid,
                target.endpoint,
                target.state
            );
        }
        let has_moved = self
            .engines
            .get(&id)
            .is_some_and(|engine| engine.target.endpoint != target.endpoint);
        if has_moved {
            self.remove_engine(id);
        }
        if self.engine_ids.insert(target.uid.clone(), id).is_none() {
            self.actor_starter.engine_transport.engine_listed(target);
        }
        let now = self.clock.micros(Instant::now());
        let engine = self.engines.entry(id).or_default();
        engine.set_reported_start(target.boot_ms, update, now);
        engine.target = target.clone();
        engine.is_ready = is_ready;
        if !is_ready {
            engine.return_unsent();
        }
    }

    /// Removes an engine that is no longer listed; its actor ends once no attempt is in flight.
    pub(super) fn remove_engine(&mut self, id: EngineId) {
        if let Some(engine) = self.engines.remove(&id) {
            log::info!("engine {}: no longer listed", engine.target.uid);
            if let Some(shard) = &self.shard {
                shard.forget_engine(&engine.target.uid);
            }
            self.engine_ids.remove(&engine.target.uid);
            engine.return_unsent();
        }
    }

    /// Removes the engines at whose addresses these targets list processes that have started later, and returns their
    /// entries. Their own processes are gone, although the list has not said so yet: what would be sent to them would
    /// reach the later processes.
    fn remove_replaced_engines(&mut self, targets: &[Target]) -> Vec<Engine> {
        let endpoints = targets.iter().map(|target| target.endpoint.as_str());
        let endpoints: HashSet<&str> = endpoints.collect();
        let mut latest_starts: HashMap<String, f64> = HashMap::new();
        let at_endpoints = |engine: &&KnownEngine| endpoints.contains(&*engine.target.endpoint);
        for engine in self.engines.values().filter(at_endpoints) {
            let endpoint = engine.target.endpoint.clone();
            let latest_start = latest_starts.entry(endpoint).or_default();
            *latest_start = latest_start.max(engine.reported_start());
        }
        let is_replaced = |engine: &KnownEngine| {
            let latest_start = latest_starts.get(&engine.target.endpoint);
            latest_start.is_some_and(|latest_start| engine.reported_start() < *latest_start)
        };
        let replaced = self
            .engines
            .iter()
            .filter(|(_, engine)| is_replaced(engine));
        let replaced: Vec<(EngineId, Target)> = replaced
            .map(|(id, engine)| (*id, engine.target.clone()))
            .collect();
        let remove = |(id, target): (EngineId, Target)| {
            let Target { uid, endpoint, .. } = &target;
            log::info!("engine {uid}: a later process is listed at its address {endpoint}");
            self.remove_engine(id);
            self.list_entry(id, &target, EngineState::Gone)
        };
        replaced.into_iter().map(remove).collect()
    }

    /// Handles the report of an idle actor, which is ended unless another command was sent to it meanwhile.
    pub(super) fn engine_idle(&mut self, engine: EngineId, idle_engine: &IdleEngine) {
        if let Some(known_engine) = self.engines.get_mut(&engine) {
            known_engine.release_idle_actor(idle_engine);
        }
    }

    /// Ends the attempts of an actor that has died; they may have run.
    pub(super) fn engine_actor_died(&mut self, actor: EngineActorId) {
        let now = Instant::now();
        let attempts = self.open_requests.iter().flat_map(|(id, request)| {
            let of_actor = request
                .attempts_in_flight()
                .filter(|(_, attempt)| attempt.actor == actor);
            of_actor.map(|(attempt_no, _)| (*id, attempt_no))
        });
        let attempts: Vec<(RequestId, AttemptNo)> = attempts.collect();
        for (id, attempt_no) in attempts {
            if self.is_aborting(id, attempt_no) {
                self.abort_confirmed(id, attempt_no);
            } else if let Some(attempt) = self.remove_attempt(id, attempt_no) {
                let outcome = Outcome::Reset;
                self.report_outcome(id, attempt_no, actor.engine, outcome, attempt.sent_at, now);
            }
        }
        // The next attempt or probe starts a new actor.
        let known_engine = self.engines.get_mut(&actor.engine);
        if let Some(known_engine) = known_engine.filter(|engine| engine.has_actor(actor)) {
            known_engine.actor = None;
        }
    }
}

/// The hexadecimal number after the last hyphen of the uid, or else a hash of the uid.
fn id_from_uid(uid: &str) -> u64 {
    let suffix = uid.rsplit('-').next();
    let number = suffix.and_then(|hex| u64::from_str_radix(hex, 16).ok());
    number.unwrap_or_else(|| Key::from_name(uid).0)
}

/// The outcome and the load report that the gateway gets for a probe.
pub(super) fn probe_outcome(probe: ProbeResult) -> (Outcome, Option<LoadReport>) {
    match probe {
        ProbeResult::Up(load) => (Outcome::Ok, load),
        ProbeResult::Down => (Outcome::Error, None),
        ProbeResult::TimedOut => (Outcome::TimedOut, None),
        ProbeResult::ConnectFailed => (Outcome::ConnectFailed, None),
    }
}
