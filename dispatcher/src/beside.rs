//! Other processes of one dispatcher: what they hold is heard, and what this one holds is told to them.
//!
//! They look for one another ten times a second in a folder that they share, and write only while there is another.

mod folder;

pub use folder::{Folder, Place};

use folder::unix_now;
use sedgebeam_core::{Held, Micros, Tenant};
use sedgebeam_fronts::session_slots::SessionSlots;
use sedgebeam_handover::{Freshness, Life, Pair, Phase, Share, Stated};
use sedgebeam_operation::Orders;
use sedgebeam_port::clock::Clock;
use sedgebeam_port::{Asked, Desk};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time between two looks for others, drawn from so far below to so far above.
const LOOK_EVERY: Duration = Duration::from_millis(100);
const SPREAD: f64 = 0.2;
/// A process that starts waits so long for a share of the one that serves: three looks, and one to spare.
const SHARE_WITHIN: Duration = Duration::from_millis(400);
const SHARE_LOOK: Duration = Duration::from_millis(20);
/// A process that can't join at once tries for so long before it starts without; it has to be ready within six seconds.
const JOIN_WITHIN: Duration = Duration::from_millis(500);

/// What each other process that lives was seen to tell.
type Seen = Vec<(Life, Option<Share>)>;

/// This process among those of its dispatcher.
pub enum Member {
    Joined(Folder),
    /// Its files can't be written yet: whether there are others is not known.
    Waiting(Place),
}

impl Member {
    /// Joins those that are there, and hears from the one that serves.
    pub async fn join(place: Place) -> (Member, Option<Share>) {
        match timeout(JOIN_WITHIN, place.join_at_last()).await {
            Ok(folder) => {
                let handed = handed(&folder).await;
                (Member::Joined(folder), handed)
            }
            Err(_) => (Member::Waiting(place), None),
        }
    }
}

/// What the process that serves tells, where there is one.
async fn handed(folder: &Folder) -> Option<Share> {
    let until = Instant::now() + SHARE_WITHIN;
    let mut pair = Pair::new(folder.own);
    loop {
        let seen = folder.see();
        let alone = seen.as_ref().is_ok_and(Vec::is_empty);
        if alone || Instant::now() >= until {
            return None;
        }
        let seen = seen.unwrap_or_default();
        pair.see(Phase::Starting, lives(&seen));
        let heir = pair.heir_of();
        let told = seen.into_iter().find(|(life, _)| Some(*life) == heir);
        if let Some((_, Some(share))) = told {
            return Some(share);
        }
        sleep(SHARE_LOOK).await;
    }
}

fn lives(seen: &Seen) -> Vec<(Life, Option<Phase>)> {
    let lives = seen.iter();
    lives
        .map(|(life, share)| (*life, phase(share.as_ref())))
        .collect()
}

fn phase(share: Option<&Share>) -> Option<Phase> {
    share.map(|share| share.stated.phase)
}

/// What others leave of the limits of one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Others {
    /// Among how many processes limits are divided.
    pub parts: usize,
    /// Sessions that the others have.
    pub sessions: usize,
}

impl Others {
    /// There are none.
    pub const NONE: Others = Others {
        parts: 1,
        sessions: 0,
    };
    /// There may be another, of which nothing is known.
    const MAYBE: Others = Others {
        parts: 2,
        sessions: 0,
    };
}

/// What this process tells of itself.
pub struct Own {
    pub clock: Clock,
    pub desk: Desk,
    pub places: SessionSlots,
    pub orders: watch::Receiver<Orders>,
    /// The change log's number.
    pub reached: watch::Receiver<crate::roster::Reached>,
    /// The platform's file that is in use.
    pub file: watch::Receiver<Arc<str>>,
}

impl Own {
    fn phase(&self) -> Phase {
        let orders = *self.orders.borrow();
        match orders {
            Orders { ends: true, .. } => Phase::Ending,
            Orders {
                prepared: false, ..
            } => Phase::Starting,
            _ => Phase::Serving,
        }
    }

    fn now(&self) -> Micros {
        self.clock.micros(Instant::now())
    }

    /// What it tells to those that it has found.
    async fn share(&self, name: &str, found: Vec<Life>) -> Share {
        // The number first: a list that is newer than its number only hears of some change twice.
        let seq = self.reached.borrow().seq;
        let file = self.file.borrow().to_string();
        let (targets, drained, tenants) = self.desk.standing().await;
        let held = self.desk.held_over().await;
        Share {
            stated: Stated {
                name: name.to_string(),
                at: unix_now().0,
                clock: Some(self.now()),
                found: Some(found),
                phase: self.phase(),
                seq,
                targets,
                sessions: self.places.in_use(),
                drained,
                tenants,
                file,
            },
            held,
        }
    }
}

/// Takes part as long as the process runs, and tells what the others leave.
pub async fn keep(member: Member, own: Own, left: watch::Sender<Others>) {
    let (folder, known) = match member {
        Member::Joined(folder) => (folder, Some(Others::NONE.parts)),
        Member::Waiting(place) => {
            // As beside one that sends to cold engines and has half of all limits.
            left.send_replace(Others::MAYBE);
            own.desk.beside(Held::default(), false).await;
            (place.join_at_last().await, None)
        }
    };
    Meeting::new(folder, own).hold(known, left).await;
}

/// This process's regular looks for the others.
struct Meeting {
    folder: Arc<Folder>,
    own: Own,
    pair: Pair,
    seen: Seen,
    freshness: Freshness,
    seed: u64,
}

impl Meeting {
    fn new(folder: Folder, own: Own) -> Meeting {
        let Life { generation, draw } = folder.own;
        Meeting {
            pair: Pair::new(folder.own),
            seed: generation ^ u64::from(draw),
            folder: Arc::new(folder),
            own,
            seen: Vec::new(),
            freshness: Freshness::default(),
        }
    }

    /// Looks and tells for ever. Until now limits were divided among so many processes; `None` where that was a guess.
    async fn hold(mut self, mut known: Option<usize>, left: watch::Sender<Others>) {
        let alone = Some(Others::NONE.parts);
        loop {
            self.look().await;
            let others = self.others();
            let parts = Some(others.parts);
            if parts != known {
                log::info!("{} processes serve as one dispatcher", others.parts);
            }
            left.send_if_modified(|left| std::mem::replace(left, others) != others);
            // The brokers first: what is told next may have the other begin with what this one must leave.
            if parts != alone || known != alone {
                self.tell_brokers().await;
            }
            if parts != alone {
                self.tell_others().await;
            }
            known = parts;
            sleep_until(Instant::now() + self.pause()).await;
        }
    }

    /// Sees who is there. Where that fails for a moment, those seen last are still there, in a phase that is not known.
    async fn look(&mut self) {
        let folder = self.folder.clone();
        let seen = tokio::task::spawn_blocking(move || folder.see()).await;
        match seen.map_err(io::Error::other).and_then(|seen| seen) {
            Ok(seen) => self.seen = seen,
            Err(error) => {
                log::warn!("looking for other processes: {error}");
                self.seen.iter_mut().for_each(|(_, share)| *share = None);
            }
        }
        let now = self.own.now();
        for (life, share) in &mut self.seen {
            let fresh = |told: &Share| self.freshness.is_fresh(*life, told.stated.at, now);
            *share = share.take().filter(fresh);
        }
        self.freshness.keep(&self.found());
        self.pair.see(self.own.phase(), lives(&self.seen));
    }

    fn found(&self) -> Vec<Life> {
        self.seen.iter().map(|(life, _)| *life).collect()
    }

    fn others(&self) -> Others {
        let told = self.seen.iter().filter_map(|(_, share)| share.as_ref());
        Others {
            parts: self.pair.parts(),
            sessions: told.map(|share| share.stated.sessions).sum(),
        }
    }

    async fn tell_brokers(&self) {
        let now = self.own.now();
        let told = self.seen.iter().filter_map(|(_, share)| share.as_ref());
        let held = told.fold(Held::default(), |sum, share| sum.and(share.held_at(now)));
        self.own.desk.beside(held, self.pair.may_warm()).await;
    }

    async fn tell_others(&self) {
        let share = self.own.share(&self.folder.name, self.found()).await;
        let folder = self.folder.clone();
        let written = tokio::task::spawn_blocking(move || folder.write(&share)).await;
        if let Err(error) = written.map_err(io::Error::other).and_then(|done| done) {
            log::warn!("telling the other process: {error}");
        }
    }

    fn pause(&mut self) -> Duration {
        self.seed = sedgebeam_core::mix(self.seed);
        let draw = 2.0 * (self.seed as f64 / u64::MAX as f64) - 1.0;
        LOOK_EVERY.mul_f64(1.0 + SPREAD * draw)
    }
}

/// Has brokers begin with what the administration had set before.
pub async fn set_again(desk: &Desk, drained: Vec<String>, tenants: Vec<Tenant>) {
    let tenants = tenants.into_iter();
    let tenants = tenants.map(|t| Asked::SetTenant(t.name, t.share, t.per_second));
    let drains = drained.into_iter().map(|uid| Asked::Drain(uid, true));
    for asked in drains.chain(tenants) {
        if let Err(denied) = desk.ask(asked).await {
            log::info!("what was set before is not set again: {denied:?}");
        }
    }
}
