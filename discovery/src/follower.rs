//! Follows a change log: handles its events, and decides from which event to resume and after which delay.
//!
//! The delays are randomized and grow with the number of followers, because hundreds of them may react to the same
//! event: when the log disconnects, moves or omits an event, all would otherwise retry at the same time, repeatedly,
//! and request the complete list. Does no I/O and reads no clock.

use crate::{ListUpdate, Target, apply_update};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Upper bound of the first delay, per follower: all followers together make at most 1000 first tries per second.
const FIRST_DELAY_PER_FOLLOWER: Duration = Duration::from_millis(1);
/// Longest delay, per follower: all followers together make 200 to 300 tries per second while the log is down.
const LONGEST_DELAY_PER_FOLLOWER: Duration = Duration::from_millis(5);
/// Lower bounds of both delays, which apply where there are few followers.
const MIN_FIRST_DELAY: Duration = Duration::from_millis(50);
const MIN_LONGEST_DELAY: Duration = Duration::from_millis(250);
/// Upper bound of all delays. A change counts as known to each follower 7 s after the log publishes it, received or
/// not; a try may take 1 s, and the first one after the log returns may be lost.
const MAX_DELAY: Duration = Duration::from_millis(2000);
/// Smallest random factor of a delay; the largest is 1.
const MIN_JITTER: f64 = 0.5;

/// Exponential backoff with jitter between tries to reach the change log. Its bounds grow with the number of followers.
#[derive(Debug)]
pub struct RetryBackoff {
    first_delay: Duration,
    longest_delay: Duration,
    /// Tries since the last new event.
    tries: u32,
    rng: StdRng,
}

impl RetryBackoff {
    pub fn new(followers: u32, seed: u64) -> RetryBackoff {
        let scaled = |delay: Duration| delay.saturating_mul(followers);
        RetryBackoff {
            first_delay: scaled(FIRST_DELAY_PER_FOLLOWER).clamp(MIN_FIRST_DELAY, MAX_DELAY),
            longest_delay: scaled(LONGEST_DELAY_PER_FOLLOWER).clamp(MIN_LONGEST_DELAY, MAX_DELAY),
            tries: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts again with the first delay, after a new event.
    pub fn reset(&mut self) {
        self.tries = 0;
    }

    /// The delay before the next try.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.first_delay.saturating_mul(1 << self.tries.min(16));
        let is_first_try = self.tries == 0;
        self.tries += 1;
        // The first delay starts at zero: after an event that reaches all followers, their tries are spread evenly.
        let min_jitter = if is_first_try { 0.0 } else { MIN_JITTER };
        let jitter = self.rng.random_range(min_jitter..=1.0);
        delay.min(self.longest_delay).mul_f64(jitter)
    }
}

/// A complete list that is being received again.
#[derive(Clone, Debug, Default)]
struct Rebuild {
    list: Vec<Target>,
    /// The last event that the list includes; `None` before the complete list arrives.
    last_seq: Option<u64>,
    /// The latest event that is known to exist: the list is published once it includes this event.
    required_seq: u64,
}

/// What the caller must do after an event.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerAction {
    /// Nothing: the event is old, or more events are needed first.
    Ignore,
    /// Publish this update, then call [`Follower::mark_published`] with this sequence number.
    Publish(u64, ListUpdate, Vec<Target>),
    /// Connect to the log again.
    Reconnect,
}

/// What one follower knows of the change log.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    published_seq: u64,
    /// Whether the events after the published one were already requested again because of a gap.
    has_retried_gap: bool,
    rebuild: Option<Rebuild>,
}

impl Follower {
    /// `published_seq` is the last event that is already known.
    pub fn new(published_seq: u64) -> Follower {
        Follower {
            published_seq,
            ..Follower::default()
        }
    }

    /// The sequence number after which events are requested on a new connection; zero requests the complete list.
    pub fn resume_after(&mut self) -> u64 {
        match &mut self.rebuild {
            Some(rebuild) => {
                // Each connection starts with the complete list.
                (rebuild.list, rebuild.last_seq) = (Vec::new(), None);
                0
            }
            None => self.published_seq,
        }
    }

    /// Handles an event. After a gap, the events after the published one are requested once more, which is cheap and
    /// recovers events lost in transit. If the gap remains, the complete list is requested. It is published only once
    /// it includes all events that are known to exist, so that no engine is lost meanwhile.
    pub fn handle_event(
        &mut self,
        seq: u64,
        update: ListUpdate,
        targets: Vec<Target>,
    ) -> FollowerAction {
        let is_complete = update != ListUpdate::Changes;
        if let Some(rebuild) = &mut self.rebuild {
            match rebuild.last_seq {
                None if !is_complete => return FollowerAction::Ignore,
                Some(last_seq) if seq <= last_seq => return FollowerAction::Ignore,
                Some(last_seq) if !is_complete && seq > last_seq + 1 => {
                    return FollowerAction::Reconnect;
                }
                _ => {}
            }
            apply_update(&mut rebuild.list, update, &targets);
            rebuild.last_seq = Some(seq);
            let list = (seq >= rebuild.required_seq).then(|| rebuild.list.clone());
            return list.map_or(FollowerAction::Ignore, |list| {
                FollowerAction::Publish(seq, ListUpdate::Complete, list)
            });
        }
        // A repeated event has an old state, even if it is a complete list.
        if seq <= self.published_seq {
            return FollowerAction::Ignore;
        }
        if is_complete || seq == self.published_seq + 1 {
            return FollowerAction::Publish(seq, update, targets);
        }
        if std::mem::replace(&mut self.has_retried_gap, true) {
            self.rebuild = Some(Rebuild {
                required_seq: seq,
                ..Rebuild::default()
            });
        }
        FollowerAction::Reconnect
    }

    /// Handles a log that sends nothing for a while, because it has sent everything or is slow. A list that is being
    /// rebuilt is published as far as it was received, even where later events are known to exist, but only if it is
    /// newer than the published one.
    pub fn handle_silence(&mut self) -> FollowerAction {
        let Some(rebuild) = &self.rebuild else {
            return FollowerAction::Ignore;
        };
        match rebuild.last_seq {
            Some(seq) if seq > self.published_seq => {
                FollowerAction::Publish(seq, ListUpdate::Complete, rebuild.list.clone())
            }
            _ => FollowerAction::Ignore,
        }
    }

    /// Records that an update was published.
    pub fn mark_published(&mut self, seq: u64) {
        self.published_seq = seq;
        (self.rebuild, self.has_retried_gap) = (None, false);
    }

    /// Whether the complete list is being received again.
    pub fn is_rebuilding(&self) -> bool {
        self.rebuild.is_some()
    }
}
