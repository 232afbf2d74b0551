//! Followers of a change log that loses and repeats events, disconnects, or is down.

use proptest::prelude::*;
use sedgebeam_discovery::{
    Follower, FollowerAction, ListUpdate, RetryBackoff, Target, apply_update,
};
use std::time::Duration;

/// The reference: a log that starts with the complete list, followed by changes of one engine each.
#[derive(Clone, Debug)]
struct Log {
    events: Vec<(ListUpdate, Vec<Target>)>,
}

fn target(uid: u8, state: u8) -> Target {
    Target {
        uid: uid.to_string(),
        state: ["up", "draining", "removed"][usize::from(state % 3)].to_string(),
        ..<Target as Default>::default()
    }
}

impl Log {
    fn new(changes: &[(u8, u8)]) -> Log {
        let first_list = (0..4).map(|uid| target(uid, 0)).collect();
        let changes = changes
            .iter()
            .map(|(uid, state)| (ListUpdate::Changes, vec![target(*uid, *state)]));
        Log {
            events: [(ListUpdate::Complete, first_list)]
                .into_iter()
                .chain(changes)
                .collect(),
        }
    }

    /// The list after the event `seq`, sorted by name.
    fn list(&self, seq: u64) -> Vec<Target> {
        let mut list = Vec::new();
        for (update, targets) in &self.events[..seq as usize] {
            apply_update(&mut list, *update, targets);
        }
        list.sort_by(|one, other| one.uid.cmp(&other.uid));
        list
    }
}

/// What happens to an event in transit.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Delivered,
    Lost,
    Repeated,
    /// The connection ends before the event.
    Disconnected,
    /// Nothing arrives for a while before the event, because the log is slow or has sent everything.
    Delayed,
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Delivered),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::Repeated),
        1 => Just(Delivery::Disconnected),
        1 => Just(Delivery::Delayed),
    ]
}

/// The list that a follower publishes, as its readers see it.
struct PublishedList {
    list: Vec<Target>,
    seq: u64,
}

impl PublishedList {
    fn execute(&mut self, follower: &mut Follower, action: FollowerAction, log: &Log) {
        if let FollowerAction::Publish(seq, update, targets) = action {
            assert!(seq > self.seq, "{seq} published after {}", self.seq);
            apply_update(&mut self.list, update, &targets);
            self.seq = seq;
            follower.mark_published(seq);
        }
        let mut list = self.list.clone();
        list.sort_by(|one, other| one.uid.cmp(&other.uid));
        // It always equals the list after some event: no entry is lost, and no older state returns.
        assert_eq!(list, log.list(self.seq));
    }
}

proptest! {
    #[test]
    fn published_lists_are_always_consistent_and_finally_current(
        changes in prop::collection::vec((0..6u8, 0..3u8), 1..40),
        mut deliveries in prop::collection::vec(delivery(), 0..120),
    ) {
        let log = Log::new(&changes);
        let mut follower = Follower::new(1);
        let mut published = PublishedList { list: log.list(1), seq: 1 };
        let last = log.events.len() as u64;
        deliveries.reverse();
        // Connections are repeated until one of them delivers everything; the list of faults is finite.
        for _ in 0..400 {
            let mut seq = follower.resume_after();
            'connection: while seq < last {
                seq += 1;
                let (update, targets) = log.events[seq as usize - 1].clone();
                let delivery = deliveries.pop().unwrap_or(Delivery::Delivered);
                if matches!(delivery, Delivery::Delayed) {
                    let action = follower.handle_silence();
                    published.execute(&mut follower, action, &log);
                }
                let copies = match delivery {
                    Delivery::Delivered | Delivery::Delayed => 1,
                    Delivery::Lost => 0,
                    Delivery::Repeated => 2,
                    Delivery::Disconnected => break,
                };
                for _ in 0..copies {
                    let action = follower.handle_event(seq, update, targets.clone());
                    if action == FollowerAction::Reconnect {
                        break 'connection;
                    }
                    published.execute(&mut follower, action, &log);
                }
            }
            if published.seq == last {
                break;
            }
        }
        prop_assert_eq!(published.seq, last);
    }
}

#[test]
fn a_gap_is_filled_by_the_missing_events_or_by_the_complete_list() {
    let log = Log::new(&[(4, 0), (5, 0), (1, 2), (2, 1)]);
    let event = |seq: u64| log.events[seq as usize - 1].clone();
    let mut follower = Follower::new(2);
    let mut published = PublishedList {
        list: log.list(2),
        seq: 2,
    };
    let deliver = |follower: &mut Follower, seq| {
        let (update, targets) = event(seq);
        follower.handle_event(seq, update, targets)
    };
    assert_eq!(deliver(&mut follower, 5), FollowerAction::Reconnect);
    assert_eq!(
        (follower.resume_after(), follower.is_rebuilding()),
        (2, false)
    );
    assert_eq!(
        deliver(&mut follower, 4),
        FollowerAction::Reconnect,
        "the gap remains"
    );
    assert_eq!(
        (follower.resume_after(), follower.is_rebuilding()),
        (0, true)
    );
    for seq in [1, 2, 3] {
        let action = deliver(&mut follower, seq);
        assert_eq!(
            action,
            FollowerAction::Ignore,
            "events that are known to exist are missing"
        );
    }
    let action = deliver(&mut follower, 4);
    published.execute(&mut follower, action, &log);
    assert_eq!((published.seq, follower.resume_after()), (4, 4));
    // A pause of the log while it sends the complete list does not count as a loss of earlier events.
    assert_eq!(
        deliver(&mut follower, 5),
        FollowerAction::Publish(5, ListUpdate::Changes, event(5).1)
    );
    follower.mark_published(5);
    let event_after_gap =
        |follower: &mut Follower| follower.handle_event(9, ListUpdate::Changes, Vec::new());
    assert_eq!(
        (
            event_after_gap(&mut follower),
            event_after_gap(&mut follower)
        ),
        (FollowerAction::Reconnect, FollowerAction::Reconnect)
    );
    assert_eq!(follower.resume_after(), 0);
    assert_eq!(follower.handle_silence(), FollowerAction::Ignore);
    for seq in 1..=5 {
        assert_eq!(deliver(&mut follower, seq), FollowerAction::Ignore);
        assert_eq!(
            follower.handle_silence(),
            FollowerAction::Ignore,
            "the list is not newer than the published one"
        );
    }
    // A newer list is published although a later event is known to exist.
    assert_eq!(
        follower.handle_event(6, ListUpdate::Changes, Vec::new()),
        FollowerAction::Ignore
    );
    assert!(matches!(
        follower.handle_silence(),
        FollowerAction::Publish(6, ListUpdate::Complete, _)
    ));
}

/// The tries of each follower within `downtime`, in milliseconds since the log went down. Each follower assumes
/// `assumed_followers` in total.
fn tries(followers: u32, assumed_followers: u32, downtime: Duration) -> Vec<Vec<u128>> {
    let tries_of = |number: u32| {
        let mut backoff = RetryBackoff::new(assumed_followers, u64::from(number));
        let (mut time, mut tries) = (Duration::ZERO, Vec::new());
        while time < downtime {
            time += backoff.next_delay();
            tries.push(time.as_millis());
        }
        tries
    };
    (0..followers).map(tries_of).collect()
}

/// The maximum number of tries of all followers within one tenth of a second.
fn max_tries_per_tenth(tries: &[Vec<u128>]) -> usize {
    let tries_in_tenth = |tenth: u128| {
        tries
            .iter()
            .flatten()
            .filter(|time| **time / 100 == tenth)
            .count()
    };
    (0..80).map(tries_in_tenth).max().unwrap_or(0)
}

#[test]
fn tries_of_hundreds_of_followers_are_spread_and_reach_a_returning_log_soon() {
    let downtime = Duration::from_millis(8000);
    for followers in [3, 30, 300, 350] {
        let all_tries = tries(followers, followers, downtime);
        let bound = 160.min(2 * followers as usize);
        assert!(
            max_tries_per_tenth(&all_tries) <= bound,
            "{followers}: {}",
            max_tries_per_tenth(&all_tries)
        );
        for tries in &all_tries {
            // Whenever the log returns, the next try follows within the longest delay.
            assert!(
                tries.windows(2).all(|pair| pair[1] - pair[0] <= 2000),
                "{tries:?}"
            );
            assert!(
                tries[0]
                    <= if followers <= 50 {
                        50
                    } else {
                        u128::from(followers)
                    }
            );
        }
        let total: usize = all_tries.iter().map(Vec::len).sum();
        // About 300 tries per second of many followers, and about 5 per second of each of a few.
        let rate = 320.min(6 * followers as usize).max(18);
        assert!(
            total <= 8 * rate + 2 * followers as usize,
            "{followers}: {total}"
        );
    }
    // Followers that assume too few others exceed the bound.
    assert!(max_tries_per_tenth(&tries(300, 3, downtime)) > 160);
}
