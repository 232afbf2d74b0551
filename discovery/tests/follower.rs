//! Followers of a change log that drops, repeats and cuts what it tells, and of one that is away.

use proptest::prelude::*;
use sedgebeam_discovery::{
    Follower, FollowerAction, ListUpdate, RetryBackoff, Target, apply_update,
};
use std::time::Duration;

/// The truth: a log of changes, each of one engine, behind a first one that holds the whole list.
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
        let whole = (0..4).map(|uid| target(uid, 0)).collect();
        let changes = changes
            .iter()
            .map(|(uid, state)| (ListUpdate::Changes, vec![target(*uid, *state)]));
        Log {
            events: [(ListUpdate::Complete, whole)]
                .into_iter()
                .chain(changes)
                .collect(),
        }
    }

    /// The list that holds after so many events, by name.
    fn list(&self, seq: u64) -> Vec<Target> {
        let mut list = Vec::new();
        for (listing, targets) in &self.events[..seq as usize] {
            apply_update(&mut list, *listing, targets);
        }
        list.sort_by(|one, other| one.uid.cmp(&other.uid));
        list
    }
}

/// What happens to an event on its way.
#[derive(Clone, Copy, Debug)]
enum Way {
    Comes,
    Lost,
    Twice,
    /// The connection ends before it.
    Cut,
    /// Nothing comes for a while before it: the log is slow, or had said all that it had.
    Quiet,
}

fn way() -> impl Strategy<Value = Way> {
    prop_oneof![
        6 => Just(Way::Comes),
        1 => Just(Way::Lost),
        1 => Just(Way::Twice),
        1 => Just(Way::Cut),
        1 => Just(Way::Quiet),
    ]
}

/// A follower's list, as those hear it who are told.
struct Told {
    list: Vec<Target>,
    seq: u64,
}

impl Told {
    fn tell(&mut self, follower: &mut Follower, next: FollowerAction, log: &Log) {
        if let FollowerAction::Publish(seq, listing, targets) = next {
            assert!(seq > self.seq, "{seq} over the newer {}", self.seq);
            apply_update(&mut self.list, listing, &targets);
            self.seq = seq;
            follower.mark_published(seq);
        }
        let mut list = self.list.clone();
        list.sort_by(|one, other| one.uid.cmp(&other.uid));
        // At every moment it is the list of some one number: nothing is forgotten, nothing older comes back.
        assert_eq!(list, log.list(self.seq));
    }
}

proptest! {
    #[test]
    fn what_is_told_is_always_a_list_that_held_and_in_the_end_the_last(
        changes in prop::collection::vec((0..6u8, 0..3u8), 1..40),
        mut ways in prop::collection::vec(way(), 0..120),
    ) {
        let log = Log::new(&changes);
        let mut follower = Follower::new(1);
        let mut told = Told { list: log.list(1), seq: 1 };
        let last = log.events.len() as u64;
        ways.reverse();
        // Connections go on until one of them has told everything; faults run out at last.
        for _ in 0..400 {
            let mut at = follower.resume_after();
            'connection: while at < last {
                at += 1;
                let (listing, targets) = log.events[at as usize - 1].clone();
                let way = ways.pop().unwrap_or(Way::Comes);
                if matches!(way, Way::Quiet) {
                    let next = follower.handle_silence();
                    told.tell(&mut follower, next, &log);
                }
                let times = match way {
                    Way::Comes | Way::Quiet => 1,
                    Way::Lost => 0,
                    Way::Twice => 2,
                    Way::Cut => break,
                };
                for _ in 0..times {
                    let next = follower.handle_event(at, listing, targets.clone());
                    if next == FollowerAction::Reconnect {
                        break 'connection;
                    }
                    told.tell(&mut follower, next, &log);
                }
            }
            if told.seq == last {
                break;
            }
        }
        prop_assert_eq!(told.seq, last);
    }
}

#[test]
fn a_gap_is_mended_by_what_is_missing_and_one_that_stays_by_the_whole_list() {
    let log = Log::new(&[(4, 0), (5, 0), (1, 2), (2, 1)]);
    let event = |seq: u64| log.events[seq as usize - 1].clone();
    let mut follower = Follower::new(2);
    let mut told = Told {
        list: log.list(2),
        seq: 2,
    };
    let hear = |follower: &mut Follower, seq| {
        let (listing, targets) = event(seq);
        follower.handle_event(seq, listing, targets)
    };
    assert_eq!(hear(&mut follower, 5), FollowerAction::Reconnect);
    assert_eq!(
        (follower.resume_after(), follower.is_rebuilding()),
        (2, false)
    );
    assert_eq!(
        hear(&mut follower, 4),
        FollowerAction::Reconnect,
        "it is not there"
    );
    assert_eq!(
        (follower.resume_after(), follower.is_rebuilding()),
        (0, true)
    );
    for seq in [1, 2, 3] {
        let next = hear(&mut follower, seq);
        assert_eq!(
            next,
            FollowerAction::Ignore,
            "not before all is there that was heard of"
        );
    }
    let next = hear(&mut follower, 4);
    told.tell(&mut follower, next, &log);
    assert_eq!((told.seq, follower.resume_after()), (4, 4));
    // A log that pauses in the middle of its whole list is not believed to have lost what it told once.
    assert_eq!(
        hear(&mut follower, 5),
        FollowerAction::Publish(5, ListUpdate::Changes, event(5).1)
    );
    follower.mark_published(5);
    let lost = |follower: &mut Follower| follower.handle_event(9, ListUpdate::Changes, Vec::new());
    assert_eq!(
        (lost(&mut follower), lost(&mut follower)),
        (FollowerAction::Reconnect, FollowerAction::Reconnect)
    );
    assert_eq!(follower.resume_after(), 0);
    assert_eq!(follower.handle_silence(), FollowerAction::Ignore);
    for seq in 1..=5 {
        assert_eq!(hear(&mut follower, seq), FollowerAction::Ignore);
        assert_eq!(
            follower.handle_silence(),
            FollowerAction::Ignore,
            "no newer than what was told"
        );
    }
    // What it has beyond that is all there is, though more was heard of.
    assert_eq!(
        follower.handle_event(6, ListUpdate::Changes, Vec::new()),
        FollowerAction::Ignore
    );
    assert!(matches!(
        follower.handle_silence(),
        FollowerAction::Publish(6, ListUpdate::Complete, _)
    ));
}

/// Tries of so many followers, in milliseconds since the log went away, for so long.
fn tries(followers: u32, told: u32, lasts: Duration) -> Vec<Vec<u128>> {
    let one = |number: u32| {
        let mut pauses = RetryBackoff::new(told, u64::from(number));
        let (mut at, mut tries) = (Duration::ZERO, Vec::new());
        while at < lasts {
            at += pauses.next_delay();
            tries.push(at.as_millis());
        }
        tries
    };
    (0..followers).map(one).collect()
}

/// Most tries of all within a tenth of a second.
fn most(tries: &[Vec<u128>]) -> usize {
    let tenth = |n: u128| tries.iter().flatten().filter(|at| **at / 100 == n).count();
    (0..80).map(tenth).max().unwrap_or(0)
}

#[test]
fn hundreds_ask_a_log_that_is_away_spread_out_and_find_it_soon_when_it_is_back() {
    let away = Duration::from_millis(8000);
    for followers in [3, 30, 300, 350] {
        let all = tries(followers, followers, away);
        let bound = 160.min(2 * followers as usize);
        assert!(most(&all) <= bound, "{followers}: {}", most(&all));
        for tries in &all {
            // Wherever in its absence the log comes back, it is asked within the longest pause.
            assert!(
                tries.windows(2).all(|two| two[1] - two[0] <= 2000),
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
        let total: usize = all.iter().map(Vec::len).sum();
        // Of many, some three hundred a second; of few, each some five.
        let rate = 320.min(6 * followers as usize).max(18);
        assert!(
            total <= 8 * rate + 2 * followers as usize,
            "{followers}: {total}"
        );
    }
    // Those who take themselves for few are seen.
    assert!(most(&tries(300, 3, away)) > 160);
}
