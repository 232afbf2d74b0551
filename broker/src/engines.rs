//! The engines of the list, their numbers, and the actors of those that are in use.
//!
//! A list may hold thousands of engines of which one dispatcher uses a few at a time: an engine's actor is started for the first
//! attempt or probe, and ends once it has nothing out and no connection left.

use super::{Broker, EngineSender, post};
use sedgebeam_core::{
    AttemptNo, CellId, Engine, EngineId, EngineState, Event, Key, ListKind, LoadReport, Micros,
    Outcome, RequestId,
};
use sedgebeam_port::{
    EngineCommand, EngineReporter, EngineTransport, IdleEngine, ListUpdate, ProbeResult, Target,
};
use sedgebeam_settings::millis_to_micros;
use std::collections::HashSet;
use tokio::time::Instant;

/// What the change log has to tell counts as told after this time at the latest.
const CHANGE_LATE_BY: Micros = Micros::from_millis(7_000);

/// An engine as the broker knows it.
#[derive(Default)]
pub(super) struct Known {
    pub target: Target,
    pub ready: bool,
    /// Its start as the list tells it, by a clock of its own.
    pub told_start: Option<f64>,
    /// When it started, by this process's clock; zero: long ago.
    pub started_at: Micros,
    /// None while nothing is asked of the engine.
    pub actor: Option<Actor>,
}

/// The actor of an engine, from here.
pub(super) struct Actor {
    pub mailbox: EngineSender,
    /// Attempts and probes that it has been told of.
    pub told: u64,
}

impl Known {
    /// Tells the engine's actor of an attempt or a probe, and starts it where none runs; `None` where it takes no more.
    pub fn post(
        &mut self,
        message: EngineCommand,
        world: &dyn EngineTransport,
        reports: impl FnOnce() -> EngineReporter,
    ) -> Option<EngineSender> {
        let target = &self.target;
        let actor = self.actor.get_or_insert_with(|| Actor {
            mailbox: world.start(target, reports()),
            told: 0,
        });
        actor.mailbox.try_send(message).ok()?;
        actor.told += 1;
        Some(actor.mailbox.clone())
    }

    /// The list tells of its start. The clocks of two machines may be apart, and may have been stepped: it can't start later
    /// than now, and one that a change tells of did not start longer ago than a change may be late. What the first list
    /// tells of may be of any age. A start that is told again is the same one.
    fn start_told(&mut self, told: Option<f64>, listing: ListUpdate, now: Micros) {
        if self.told_start == told {
            return;
        }
        let started_at = millis_to_micros(told.unwrap_or_default());
        let earliest = match listing {
            ListUpdate::Changes => now - CHANGE_LATE_BY,
            ListUpdate::Saved | ListUpdate::Complete => Micros(0),
        };
        self.told_start = told;
        self.started_at = if started_at == Micros(0) {
            started_at
        } else {
            started_at.max(earliest).min(now)
        };
    }

    /// Has what is not written yet come back.
    fn nothing_new(&self) {
        if let Some(actor) = &self.actor {
            post(&actor.mailbox, EngineCommand::ReturnUnsent);
        }
    }

    /// Lets the actor end that reports so, if it has taken all that it was told of. One that was told of more meanwhile
    /// reports again.
    fn let_go(&mut self, resting: &IdleEngine) {
        let done = |actor: &Actor| {
            let mailbox = resting.mailbox.upgrade();
            let same = mailbox.is_some_and(|mailbox| mailbox.same_channel(&actor.mailbox));
            same && actor.told == resting.received_count
        };
        if self.actor.as_ref().is_some_and(done) {
            self.actor = None;
        }
    }
}

impl Broker {
    pub(super) fn probe(&mut self, engine: EngineId) {
        let reports = || EngineReporter::new(engine, self.own.clone());
        let known = self.engines.get_mut(&engine);
        let asked = known.and_then(|known| known.post(EngineCommand::Probe, &*self.world, reports));
        if asked.is_none() {
            self.events
                .push(Event::Probed(engine, Outcome::ConnectFailed, None));
        }
    }

    pub(super) fn list(&mut self, listing: ListUpdate, targets: Vec<Target>) {
        let mut engines = Vec::new();
        for target in &targets {
            let id = self.identify(&target.uid);
            let state = self.state(target);
            match state {
                EngineState::Gone => {
                    self.forget(id);
                    if let Some(part) = &self.part {
                        part.forget_engine(&target.uid);
                    }
                }
                state => self.know(id, target, state == EngineState::Ready, listing),
            }
            engines.push(self.entry(id, target, state));
        }
        let kind = match listing {
            ListUpdate::Saved => ListKind::Saved,
            ListUpdate::Complete => ListKind::Complete,
            ListUpdate::Changes => ListKind::Changes,
        };
        if listing != ListUpdate::Changes {
            let listed: HashSet<EngineId> = engines.iter().map(|engine| engine.id).collect();
            let known = self.engines.keys().copied();
            let gone: Vec<EngineId> = known.filter(|id| !listed.contains(id)).collect();
            gone.into_iter().for_each(|id| self.forget(id));
        }
        self.events.push(Event::List { kind, engines });
        self.tell_engines();
    }

    fn entry(&self, id: EngineId, target: &Target, state: EngineState) -> Engine {
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
                .map_or(Micros(0), |known| known.started_at),
        }
    }

    fn state(&self, target: &Target) -> EngineState {
        match target.state.as_str() {
            "up" if !self.drained.contains(&target.uid) => EngineState::Ready,
            "up" | "draining" => EngineState::Draining,
            _ => EngineState::Gone,
        }
    }

    /// The number of an engine: that in its name, so that all dispatchers order engines alike.
    pub(super) fn identify(&self, uid: &str) -> EngineId {
        if let Some(id) = self.numbers.get(uid) {
            return *id;
        }
        if let Some(part) = &self.part {
            return part.engine_id(uid, || number_in(uid));
        }
        let mut number = number_in(uid);
        while self.engines.contains_key(&EngineId(number)) {
            number = number.wrapping_add(1);
        }
        EngineId(number)
    }

    fn know(&mut self, id: EngineId, target: &Target, ready: bool, listing: ListUpdate) {
        let before = self.engines.get(&id).map(|known| &known.target.state);
        if before != Some(&target.state) {
            log::info!(
                "engine {} at {}: {}",
                target.uid,
                target.endpoint,
                target.state
            );
        }
        let moved = self
            .engines
            .get(&id)
            .is_some_and(|known| known.target.endpoint != target.endpoint);
        if moved {
            self.forget(id);
        }
        if self.numbers.insert(target.uid.clone(), id).is_none() {
            self.world.engine_listed(target);
        }
        let now = self.clock.micros(Instant::now());
        let known = self.engines.entry(id).or_default();
        known.start_told(target.boot_ms, listing, now);
        known.target = target.clone();
        known.ready = ready;
        if !ready {
            known.nothing_new();
        }
    }

    /// An engine is gone from the list; its actor ends once nothing of it is out.
    pub(super) fn forget(&mut self, id: EngineId) {
        if let Some(known) = self.engines.remove(&id) {
            log::info!("engine {}: no longer listed", known.target.uid);
            if let Some(part) = &self.part {
                part.forget_engine(&known.target.uid);
            }
            self.numbers.remove(&known.target.uid);
            known.nothing_new();
        }
    }

    /// An engine's actor has nothing to do; it ends, unless it has been told something meanwhile.
    pub(super) fn rests(&mut self, engine: EngineId, resting: &IdleEngine) {
        if let Some(known) = self.engines.get_mut(&engine) {
            known.let_go(resting);
        }
    }

    /// Guards against attempts that wait for an actor that has died.
    pub(super) fn engine_died(&mut self, engine: EngineId) {
        let now = Instant::now();
        let out = self.open.iter().flat_map(|(id, open)| {
            let there = open.all_out().filter(|(_, out)| out.engine == engine);
            there.map(|(number, _)| (*id, number))
        });
        let out: Vec<(RequestId, AttemptNo)> = out.collect();
        for (id, number) in out {
            if self.is_given_up(id, number) {
                self.confirmed(id, number);
            } else if let Some(out) = self.take_back(id, number) {
                self.report(id, number, engine, Outcome::Reset, out.sent, now);
            }
        }
        // The next attempt or probe starts another.
        if let Some(known) = self.engines.get_mut(&engine) {
            known.actor = None;
        }
    }
}

/// The number that an engine's name ends in, or else one made of it.
fn number_in(uid: &str) -> u64 {
    let told = uid.rsplit('-').next();
    let told = told.and_then(|hex| u64::from_str_radix(hex, 16).ok());
    told.unwrap_or_else(|| Key::from_name(uid).0)
}

pub(super) fn probed(probe: ProbeResult) -> (Outcome, Option<LoadReport>) {
    match probe {
        ProbeResult::Up(load) => (Outcome::Ok, load),
        ProbeResult::Down => (Outcome::Error, None),
        ProbeResult::TimedOut => (Outcome::TimedOut, None),
        ProbeResult::ConnectFailed => (Outcome::ConnectFailed, None),
    }
}
