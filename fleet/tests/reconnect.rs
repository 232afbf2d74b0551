//! The limit on connects to an engine, for one dispatcher and for many that call the same engine.

use proptest::prelude::*;
use sedgebeam_fleet::reconnect::{
    Backoff, BackoffConfig, ConnectionEnd, MAX_BACKOFF_US, MAX_IN_FLIGHT, Permit, TrackedConnection,
};
use sedgebeam_fleet::{EjectionPolicy, FAILURES_TO_EJECT, Health};

const MS: u64 = 1000;
const SECOND: u64 = 1000 * MS;
const CONNECT_TIMEOUT: u64 = 250 * MS;
const FLEETS: [u64; 4] = [3, 30, 300, 800];

/// Connects that an engine that turns all away may see of one dispatcher in any window of this length.
fn most_connects(config: &BackoffConfig, window: u64) -> u64 {
    let mut connects = MAX_IN_FLIGHT as u64;
    let (mut at, mut bound) = (0, config.initial_us);
    loop {
        at += bound / 2;
        if at > window {
            return connects;
        }
        connects += 1;
        bound = (2 * bound).min(config.max_us);
    }
}

/// How an engine that turns all away does so: a connect comes up after a time, and is closed after another.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    up_after: u64,
    closed_after: u64,
}

/// When each connect of one dispatcher began, where an attempt asks for one in each step.
fn connects(seed: u64, refusal: Refusal, step: u64, until: u64) -> Vec<u64> {
    let config = BackoffConfig::new(CONNECT_TIMEOUT);
    let mut backoff = Backoff::new(seed);
    let mut begun = Vec::new();
    let mut open: Vec<(u64, bool, TrackedConnection)> = Vec::new();
    for now in (0..until).step_by(step as usize) {
        let (ended, kept): (Vec<_>, Vec<_>) = open
            .into_iter()
            .partition(|(at, ..)| now >= at + refusal.up_after + refusal.closed_after);
        open = kept;
        for (_, _, connect) in ended {
            assert_ne!(
                backoff.record_end(connect, now, &config),
                ConnectionEnd::Proven
            );
        }
        for (at, up, connect) in &mut open {
            if !*up && now >= *at + refusal.up_after {
                *up = true;
                backoff.record_connected(connect, now, &config);
            }
        }
        let failing = backoff.is_failing();
        if backoff.permit(now) == Permit::Granted {
            assert!(!failing || open.is_empty(), "one in flight at a time");
            open.push((now, false, backoff.begin(now)));
            begun.push(now);
        }
        assert!(open.len() <= MAX_IN_FLIGHT);
    }
    begun
}

/// The most of these times, which are in order, within any window of this length.
fn most_within(times: &[u64], window: u64) -> u64 {
    let within = |(first, at): (usize, &u64)| {
        let rest = &times[first..];
        rest.partition_point(|time| *time <= at + window) as u64
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

fn refusals() -> impl Strategy<Value = Refusal> {
    (0..CONNECT_TIMEOUT, 0..CONNECT_TIMEOUT - 20 * MS).prop_map(|(up_after, closed_after)| {
        Refusal {
            up_after,
            closed_after,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, ..ProptestConfig::default() })]

    #[test]
    fn no_window_sees_more_connects_of_one_dispatcher_than_stated(
        seed: u64,
        refusal in refusals(),
        step in MS..20 * MS,
    ) {
        let config = BackoffConfig::new(CONNECT_TIMEOUT);
        let begun = connects(seed, refusal, step, 60 * SECOND);
        for window in [0, 100 * MS, SECOND, 4 * SECOND, 24 * SECOND, 60 * SECOND] {
            let (most, stated) = (most_within(&begun, window), most_connects(&config, window));
            prop_assert!(most <= stated, "{most} in {window}, stated {stated}");
        }
        // It goes on being called, so that it is found when it is well again.
        let waits = begun.windows(2).map(|pair| pair[1] - pair[0]);
        let took = refusal.up_after + refusal.closed_after;
        prop_assert!(waits.max() <= Some(config.max_us + took + 2 * step));
    }

    #[test]
    fn an_engine_that_neither_answers_nor_closes_sees_few_connects(
        seed: u64,
        up_after in 0..CONNECT_TIMEOUT,
        step in MS..20 * MS,
    ) {
        let config = BackoffConfig::new(CONNECT_TIMEOUT);
        let mut backoff = Backoff::new(seed);
        let mut open: Vec<(u64, bool, TrackedConnection)> = Vec::new();
        let mut begun = Vec::new();
        for now in (0..5 * SECOND).step_by(step as usize) {
            for (at, up, connect) in &mut open {
                if !*up && now >= *at + up_after {
                    *up = true;
                    backoff.record_connected(connect, now, &config);
                }
            }
            while backoff.permit(now) == Permit::Granted {
                open.push((now, false, backoff.begin(now)));
                begun.push(now);
            }
        }
        prop_assert!(most_within(&begun, config.rejection_window_us - 1) <= MAX_IN_FLIGHT as u64);
    }
}

proptest! {
    // Each case plays 1133 dispatchers.
    #![proptest_config(ProptestConfig { cases: 6, ..ProptestConfig::default() })]

    #[test]
    fn no_window_sees_more_connects_of_a_fleet_than_stated(
        seed in 0..u64::MAX / 2,
        closed_after in 0..5 * MS,
    ) {
        let config = BackoffConfig::new(CONNECT_TIMEOUT);
        let refusal = Refusal { up_after: MS, closed_after };
        for dispatchers in FLEETS {
            let begun = (0..dispatchers)
                .flat_map(|me| connects(seed + me, refusal, 10 * MS, 24 * SECOND));
            let mut begun: Vec<u64> = begun.collect();
            begun.sort_unstable();
            for window in [100 * MS, SECOND, 24 * SECOND] {
                let (most, stated) = (most_within(&begun, window), most_connects(&config, window));
                prop_assert!(most <= dispatchers * stated, "{dispatchers}: {most} in {window}");
            }
            // Once pauses are at their longest, no dispatcher calls twice within half of one.
            let late = begun.partition_point(|at| *at < 8 * SECOND);
            let most = most_within(&begun[late..], config.max_us / 2 - 20 * MS);
            prop_assert!(most <= dispatchers, "{dispatchers}: {most} in half of the longest pause");
            // Nor do they call together: twice their mean, and what chance may add.
            let mean = dispatchers as f64 * 100.0 * MS as f64 / (0.75 * config.max_us as f64);
            let most = most_within(&begun[late..], 100 * MS) as f64;
            prop_assert!(most <= 2.0 * mean + 8.0 * mean.sqrt() + 6.0, "{dispatchers}: {most}, mean {mean}");
        }
    }
}

fn fail(backoff: &mut Backoff, now: u64) -> ConnectionEnd {
    let connect = backoff.begin(now);
    backoff.record_end(connect, now, &BackoffConfig::new(CONNECT_TIMEOUT))
}

#[test]
fn the_first_connect_goes_at_once_and_an_answer_after_failures_resets_the_backoff() {
    let config = BackoffConfig::new(CONNECT_TIMEOUT);
    let mut backoff = Backoff::new(1);
    assert_eq!(backoff.permit(0), Permit::Granted);
    assert_eq!(fail(&mut backoff, 0), ConnectionEnd::FirstFailure);
    assert_eq!(backoff.permit(0), Permit::BackingOff);
    assert_eq!(backoff.permit(CONNECT_TIMEOUT / 2 - 1), Permit::BackingOff);
    assert_eq!(backoff.permit(CONNECT_TIMEOUT), Permit::Granted);
    assert_eq!(
        fail(&mut backoff, CONNECT_TIMEOUT),
        ConnectionEnd::RepeatedFailure,
        "of the same run"
    );
    let mut trial = backoff.begin(SECOND);
    assert_eq!(backoff.permit(SECOND), Permit::BackingOff, "one in flight");
    backoff.record_connected(&trial, SECOND, &config);
    assert_eq!(backoff.permit(SECOND), Permit::BackingOff, "not proved yet");
    assert!(!backoff.is_proven(&trial, SECOND));
    assert_eq!(backoff.record_response(&mut trial), Some(2));
    assert!(backoff.is_proven(&trial, SECOND) && !backoff.is_failing());
    assert_eq!(backoff.permit(SECOND), Permit::Granted);
    assert_eq!(
        backoff.record_response(&mut trial),
        None,
        "its first answer only"
    );
    assert_eq!(
        backoff.record_end(trial, SECOND, &config),
        ConnectionEnd::Proven
    );
    assert_eq!(backoff.permit(SECOND), Permit::Granted);
}

#[test]
fn answers_on_connections_older_than_the_failure_do_not_reset_the_backoff() {
    let mut backoff = Backoff::new(1);
    let mut older = backoff.begin(0);
    fail(&mut backoff, MS);
    assert_eq!(backoff.record_response(&mut older), None);
    assert_eq!(backoff.permit(2 * MS), Permit::BackingOff);
}

#[test]
fn connects_that_fail_together_are_one_failure() {
    let config = BackoffConfig::new(CONNECT_TIMEOUT);
    let mut backoff = Backoff::new(1);
    let burst: Vec<TrackedConnection> = (0..MAX_IN_FLIGHT).map(|_| backoff.begin(0)).collect();
    assert_eq!(backoff.permit(0), Permit::PreferReuse);
    for connect in burst {
        backoff.record_end(connect, MS, &config);
    }
    assert_eq!(backoff.permit(MS + config.initial_us), Permit::Granted);
    let mut trial = backoff.begin(SECOND);
    assert_eq!(
        backoff.record_response(&mut trial),
        Some(MAX_IN_FLIGHT as u64)
    );
}

#[test]
fn a_connection_closed_by_its_dispatcher_or_long_after_it_came_up_is_no_failure() {
    let config = BackoffConfig::new(CONNECT_TIMEOUT);
    let mut backoff = Backoff::new(1);
    let connect = backoff.begin(0);
    backoff.record_connected(&connect, 0, &config);
    backoff.record_local_close(connect);
    let connect = backoff.begin(0);
    backoff.record_connected(&connect, 0, &config);
    assert_eq!(
        backoff.record_end(connect, config.rejection_window_us, &config),
        ConnectionEnd::Proven
    );
    assert!(!backoff.is_failing());
}

#[test]
fn no_pause_outlasts_the_rest_of_an_engine_set_aside() {
    for connect_timeout in [0, MS, CONNECT_TIMEOUT, 60 * SECOND] {
        let config = BackoffConfig::new(connect_timeout);
        assert!(0 < config.initial_us && config.initial_us <= config.max_us);
        assert_eq!(config.max_us, MAX_BACKOFF_US);
    }
    let rests = EjectionPolicy::new(1.0, 4.0, 0.1, false);
    let (mut health, mut now, mut longest) = (Health::default(), 0, 0);
    for _ in 0..5 {
        health.record_failures(FAILURES_TO_EJECT, now, rests);
        longest = health.ejected_until(false) - now;
        now += longest;
    }
    assert_eq!(longest, MAX_BACKOFF_US);
}
