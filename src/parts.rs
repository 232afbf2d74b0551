//! One gateway in several parts: each decides for its own requests, and all together keep to what one may do.
//!
//! A part is told what its siblings hold before it decides ([`Gateway::hear`]) and tells what it holds
//! itself afterwards ([`Gateway::publish`]). In between it sends no more than the room that it was given,
//! so what two parts decide at the same moment can't add up to more than one gateway would send. Nothing
//! is decided here: a gateway that has heard nothing of siblings acts as one whole.

use crate::interface::*;
use crate::policy::{Gateway, OWN_EXCESS};
use crate::state::{EngineView, Queues, Request};
use std::collections::BTreeMap;

/// What is out on an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Out {
    pub threads: f64,
    pub memory_mb: f64,
    /// Table groups that loads hold there; one that two loads hold stands twice.
    pub groups: Vec<GroupId>,
}

/// What is out of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassOut {
    pub threads: f64,
    pub memory_mb: f64,
}

/// Threads that may still be sent; without a bound unless one is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room(pub f64);

impl Default for Room {
    fn default() -> Room {
        Room(f64::INFINITY)
    }
}

/// What the siblings hold on an engine, and what this part may add.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineShare {
    pub engine: EngineId,
    /// What is out there of the siblings, and what they may be sending at this moment.
    pub out: Out,
    /// Work that they sent there within the cold window, in core seconds.
    pub cold_work: f64,
    pub room: Room,
}

/// What a part is told of its siblings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Siblings {
    pub engines: Vec<EngineShare>,
    /// By class, what is out of the siblings on all engines.
    pub classes: Vec<ClassOut>,
    /// By class and tenant, how many requests wait at them.
    pub waiting: Vec<Vec<usize>>,
    /// Threads that this part may send to all engines together.
    pub room: Room,
    /// The credit of classes, and of tenants by class, over all parts.
    pub class_credit: Vec<f64>,
    pub tenant_credit: Vec<Vec<f64>>,
}

/// What a part tells of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Published {
    pub engines: Vec<(EngineId, Out)>,
    pub classes: Vec<ClassOut>,
    pub waiting: Vec<Vec<usize>>,
    /// By engine, the work sent since the last time, in core seconds.
    pub sent: Vec<(EngineId, f64)>,
    /// By when all that is out has ended, one way or the other.
    pub until: Micros,
    /// By how much the credits have changed since the part heard of its siblings.
    pub class_credit: Vec<f64>,
    pub tenant_credit: Vec<Vec<f64>>,
}

/// What a part would like to send.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wish {
    /// Threads of all that waits.
    pub threads: f64,
    /// Threads of the heaviest class: less room than that would be of no use to it.
    pub heaviest: f64,
    pub engines: Vec<EngineWish>,
}

/// An engine to which a part might send.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineWish {
    pub engine: EngineId,
    /// Threads that one gateway may have out there.
    pub limit: f64,
    pub cold: bool,
    /// Threads of what was out of this part and has ended, of which the part itself is told only now.
    pub ended: f64,
}

/// What the gateway keeps of its siblings.
#[derive(Clone, Debug, Default)]
pub(crate) struct Elsewhere {
    /// It has siblings: an engine of which they have told nothing yet has no room.
    pub parted: bool,
    pub classes: Vec<ClassOut>,
    pub room: Room,
    class_credit: Vec<f64>,
    tenant_credit: Vec<Vec<f64>>,
}

impl Elsewhere {
    /// By class, threads and memory that are out.
    pub fn out(&self) -> impl Iterator<Item = (usize, f64, f64)> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(class, out)| (class, out.threads, out.memory_mb))
    }
}

/// Changes from one list of credits to the next; what is new began at nothing.
fn changes(before: &[f64], after: &[f64]) -> Vec<f64> {
    let before = before.iter().copied().chain(std::iter::repeat(0.0));
    after
        .iter()
        .zip(before)
        .map(|(now, was)| now - was)
        .collect()
}

fn overwrite(credit: &mut [f64], told: &[f64]) {
    credit
        .iter_mut()
        .zip(told)
        .for_each(|(own, told)| *own = *told);
}

impl Gateway {
    /// What this part would like to send, once it is told of these events.
    pub fn wish(&self, now: Micros, events: &[Event]) -> Wish {
        let mut arriving = 0.0;
        let mut ended: BTreeMap<EngineId, f64> = BTreeMap::new();
        for event in events {
            match event {
                Event::Request(query) => {
                    let class = self.settings.classes.get(query.class.0);
                    arriving += class.map_or(0.0, |class| class.threads.max(1.0));
                }
                Event::Ended(end) => {
                    let threads = self.requests.get(&end.request).map_or(0.0, |r| r.threads);
                    *ended.entry(end.engine).or_default() += threads;
                }
                _ => {}
            }
        }
        let queued = self.requests.values().filter(|request| request.queued);
        let heaviest = self.settings.classes.iter().map(|class| class.threads);
        let listed = self.engines.values().filter(|engine| engine.listed());
        let engines = listed.map(|engine| {
            let ended = ended.get(&engine.entry.id).copied().unwrap_or(0.0);
            EngineWish {
                engine: engine.entry.id,
                limit: self.most_threads(engine),
                cold: self.is_cold(engine, now),
                // No more than what it has out: of what it had called off it knows already.
                ended: ended.min(engine.threads_out),
            }
        });
        Wish {
            threads: arriving + queued.map(|request| request.threads).sum::<f64>(),
            heaviest: heaviest.fold(1.0, f64::max),
            engines: engines.collect(),
        }
    }

    /// Threads that one gateway may have out on the engine while it is under no pressure.
    fn most_threads(&self, engine: &EngineView) -> f64 {
        self.budget(engine) * OWN_EXCESS
    }

    /// Threads that may be sent to the engine now.
    pub(crate) fn room(&self, engine: &EngineView) -> f64 {
        let unheard = self.elsewhere.parted && !engine.told_of;
        if unheard {
            0.0
        } else {
            engine.elsewhere.room.0
        }
    }

    /// Hears what its siblings hold, and what room it has until it publishes.
    pub fn hear(&mut self, siblings: Siblings) {
        for share in siblings.engines {
            if let Some(engine) = self.engines.get_mut(&share.engine) {
                engine.elsewhere = share;
                engine.told_of = true;
            }
        }
        self.queues.elsewhere = siblings.waiting;
        overwrite(&mut self.class_credit.credit, &siblings.class_credit);
        let tenants = self.tenant_credit.iter_mut();
        for (credit, told) in tenants.zip(&siblings.tenant_credit) {
            overwrite(&mut credit.credit, told);
        }
        self.elsewhere = Elsewhere {
            parted: true,
            classes: siblings.classes,
            room: siblings.room,
            class_credit: self.class_credit.credit.clone(),
            tenant_credit: self
                .tenant_credit
                .iter()
                .map(|c| c.credit.clone())
                .collect(),
        };
    }

    /// Tells what it holds now.
    pub fn publish(&mut self) -> Published {
        let mut classes = vec![ClassOut::default(); self.settings.classes.len()];
        let mut until = Micros(0);
        let out = |request: &&Request| request.attempts_out() > 0;
        for request in self.requests.values().filter(out) {
            classes[request.class].threads += request.threads;
            classes[request.class].memory_mb += request.memory_held;
            until = until.max(request.deadline);
        }
        let mut published = Published {
            classes,
            waiting: self.queues.own(),
            until: until + self.settings.answer_slack,
            class_credit: changes(&self.elsewhere.class_credit, &self.class_credit.credit),
            ..Published::default()
        };
        for (place, credit) in self.tenant_credit.iter().enumerate() {
            let before = self.elsewhere.tenant_credit.get(place);
            let before = before.map_or(&[][..], Vec::as_slice);
            published
                .tenant_credit
                .push(changes(before, &credit.credit));
        }
        for (id, engine) in &mut self.engines {
            let work = std::mem::take(&mut engine.unpublished);
            if work > 0.0 {
                published.sent.push((*id, work));
            }
            let out = Out {
                threads: engine.threads_out,
                memory_mb: engine.memory_out,
                groups: engine.held.clone(),
            };
            published.engines.push((*id, out));
        }
        published
    }
}

impl Queues {
    /// By class and tenant, how many requests of this part wait.
    fn own(&self) -> Vec<Vec<usize>> {
        let lines = self.lines.iter();
        lines
            .map(|lines| lines.iter().map(|line| line.len()).collect())
            .collect()
    }
}
