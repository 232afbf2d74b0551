//! How one follower of a change log among many keeps up with it: what becomes of each event, from which number the
//! log is asked again, and after which pause. No I/O, no clock.
//!
//! Guards against what hundreds of followers do together when one event reaches all: a log that breaks off, moves or
//! leaves an event out would be asked by all at one moment, over and over while it is down, and for its whole list.

use crate::{ListUpdate, Target, apply_update};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// A first try comes within this much for each follower: at most a thousand a second of all together.
const FIRST_EACH: Duration = Duration::from_millis(1);
/// The longest pause for each follower: two to three hundred tries a second of all while the log is down.
const LONGEST_EACH: Duration = Duration::from_millis(5);
/// The pauses of few followers.
const FIRST: Duration = Duration::from_millis(50);
const LONGEST: Duration = Duration::from_millis(250);
/// What the log tells counts as told seven seconds later at the latest, heard or not; a try may take a second, and
/// the first after its return may be lost.
const MOST: Duration = Duration::from_millis(2000);
/// A pause is drawn from this part of its length to the whole.
const SHORTEST_PART: f64 = 0.5;

/// Pauses between tries: the first is short, each further one twice as long up to a bound that grows with the number
/// of followers, and each is drawn.
#[derive(Debug)]
pub struct RetryBackoff {
    first: Duration,
    longest: Duration,
    /// Tries since something new was heard.
    tries: u32,
    draws: StdRng,
}

impl RetryBackoff {
    /// For one of so many followers.
    pub fn new(followers: u32, seed: u64) -> RetryBackoff {
        let each = |length: Duration| length.saturating_mul(followers);
        RetryBackoff {
            first: each(FIRST_EACH).clamp(FIRST, MOST),
            longest: each(LONGEST_EACH).clamp(LONGEST, MOST),
            tries: 0,
            draws: StdRng::seed_from_u64(seed),
        }
    }

    /// Something new was heard.
    pub fn reset(&mut self) {
        self.tries = 0;
    }

    /// The pause before the next try.
    pub fn next_delay(&mut self) -> Duration {
        let length = self.first.saturating_mul(1 << self.tries.min(16));
        let first = self.tries == 0;
        self.tries += 1;
        // A first try may come at once: one event has just reached all, and spread over it they ask evenly.
        let least = if first { 0.0 } else { SHORTEST_PART };
        let part = self.draws.random_range(least..=1.0);
        length.min(self.longest).mul_f64(part)
    }
}

/// A whole list that is being had again.
#[derive(Clone, Debug, Default)]
struct Rebuild {
    list: Vec<Target>,
    /// The number up to which the list holds; none before the whole list has begun.
    reached: Option<u64>,
    /// It holds all that is known to exist from this number on.
    until: u64,
}

/// What follows from an event.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerAction {
    /// Nothing: it is old, or more must come first.
    Ignore,
    /// This is to be told, and then [`Follower::told`] of this number.
    Publish(u64, ListUpdate, Vec<Target>),
    /// The log is to be asked again.
    Reconnect,
}

/// What one follower has heard of the change log.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    reached: u64,
    /// The log has been asked again from the number reached because of a gap.
    asked_again: bool,
    rebuild: Option<Rebuild>,
}

impl Follower {
    /// One that knows all up to a number.
    pub fn new(reached: u64) -> Follower {
        Follower {
            reached,
            ..Follower::default()
        }
    }

    /// The number after which the log is asked; zero for its whole list.
    pub fn resume_after(&mut self) -> u64 {
        match &mut self.rebuild {
            Some(rebuild) => {
                // Each connection begins with the whole list anew.
                (rebuild.list, rebuild.reached) = (Vec::new(), None);
                0
            }
            None => self.reached,
        }
    }

    /// An event has come. A gap has the log asked again from the number reached, which is cheap and mends what got lost
    /// on the way; where it stays, the whole list is had, and told only once it holds all that is known to exist, so
    /// that no engine is forgotten meanwhile.
    pub fn handle_event(
        &mut self,
        seq: u64,
        listing: ListUpdate,
        targets: Vec<Target>,
    ) -> FollowerAction {
        let whole = listing != ListUpdate::Changes;
        if let Some(rebuild) = &mut self.rebuild {
            match rebuild.reached {
                None if !whole => return FollowerAction::Ignore,
                Some(reached) if seq <= reached => return FollowerAction::Ignore,
                Some(reached) if !whole && seq > reached + 1 => return FollowerAction::Reconnect,
                _ => {}
            }
            apply_update(&mut rebuild.list, listing, &targets);
            rebuild.reached = Some(seq);
            let list = (seq >= rebuild.until).then(|| rebuild.list.clone());
            return list.map_or(FollowerAction::Ignore, |list| {
                FollowerAction::Publish(seq, ListUpdate::Complete, list)
            });
        }
        // An event that is told again is an old state, also where it holds the whole list.
        if seq <= self.reached {
            return FollowerAction::Ignore;
        }
        if whole || seq == self.reached + 1 {
            return FollowerAction::Publish(seq, listing, targets);
        }
        if std::mem::replace(&mut self.asked_again, true) {
            self.rebuild = Some(Rebuild {
                until: seq,
                ..Rebuild::default()
            });
        }
        FollowerAction::Reconnect
    }

    /// The log says nothing for a while: it has said all that it has, or is slow. A list that is being had again is told
    /// as far as it came, though it lacks what was heard of before, but only where it is newer than what was told.
    pub fn handle_silence(&mut self) -> FollowerAction {
        let Some(rebuild) = &self.rebuild else {
            return FollowerAction::Ignore;
        };
        match rebuild.reached {
            Some(seq) if seq > self.reached => {
                FollowerAction::Publish(seq, ListUpdate::Complete, rebuild.list.clone())
            }
            _ => FollowerAction::Ignore,
        }
    }

    /// What was to be told has been told.
    pub fn mark_published(&mut self, seq: u64) {
        self.reached = seq;
        (self.rebuild, self.asked_again) = (None, false);
    }

    /// Whether the whole list is being had.
    pub fn is_rebuilding(&self) -> bool {
        self.rebuild.is_some()
    }
}
