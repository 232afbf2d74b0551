//! The limit on connects to one engine, for one dispatcher and for a fleet of them.

use proptest::prelude::*;
use sedgebeam_fleet::reconnect::{
    Backoff, BackoffConfig, ConnectionEnd, MAX_BACKOFF_US, MAX_IN_FLIGHT, Permit, TrackedConnection,
};
use sedgebeam_fleet::{EjectionPolicy, FAILURES_TO_EJECT, Health};

const MS: u64 = 1000;
const SECOND: u64 = 1000 * MS;
const CONNECT_TIMEOUT: u64 = 250 * MS;
const DISPATCHER_COUNTS: [u64; 4] = [3, 30, 300, 800];

/// Maximum connects of one dispatcher that an engine which rejects all connections may see in any
/// window of this length.
fn max_connects(config: &BackoffConfig, window_us: u64) -> u64 {
    let mut connects = MAX_IN_FLIGHT as u64;
    let (mut connect_at, mut max_pause_us) = (0, config.initial_us);
    loop {
        connect_at += max_pause_us / 2;
        if connect_at > window_us {
            return connects;
        }
        connects += 1;
        max_pause_us = (2 * max_pause_us).min(config.max_us);
    }
}

/// How an engine rejects connections: it accepts them after a delay, and closes them after another.
#[derive(Clone, Copy, Debug)]
struct Rejection {
    accept_in_us: u64,
    close_in_us: u64,
}

/// Times of the connects of one dispatcher that needs a connection in each step of `step_us`.
fn connects(seed: u64, rejection: Rejection, step_us: u64, until_us: u64) -> Vec<u64> {
    let config = BackoffConfig::new(CONNECT_TIMEOUT);
    let mut backoff = Backoff::new(seed);
    let mut connect_times = Vec::new();
    let mut open_connections: Vec<(u64, bool, TrackedConnection)> = Vec::new();
    for now in (0..until_us).step_by(step_us as usize) {
        let (ended, still_open): (Vec<_>, Vec<_>) =
            open_connections.into_iter().partition(|(started_at, ..)| {
                now >= started_at + rejection.accept_in_us + rejection.close_in_us
            });
        open_connections = still_open;
        for (_, _, connection) in ended {
            assert_ne!(
                backoff.record_end(connection, now, &config),
                ConnectionEnd::Proven
            );
        }
        for (started_at, is_up, connection) in &mut open_connections {
            if !*is_up && now >= *started_at + rejection.accept_in_us {
                *is_up = true;
                backoff.record_connected(connection, now, &config);
            }
        }
        let was_failing = backoff.is_failing();
        if backoff.permit(now) == Permit::Granted {
            assert!(
                !was_failing || open_connections.is_empty(),
                "one in flight at a time"
            );
            open_connections.push((now, false, backoff.begin(now)));
            connect_times.push(now);
        }
        assert!(open_connections.len() <= MAX_IN_FLIGHT);
    }
    connect_times
}

/// Maximum number of these sorted times within any window of this length.
fn max_within(times: &[u64], window_us: u64) -> u64 {
    let count_from = |(first, at): (usize, &u64)| {
        let later = &times[first..];
        later.partition_point(|time| *time <= at + window_us) as u64
    };
    times.iter().enumerate().map(count_from).max().unwrap_or(0)
}

fn rejections() -> impl Strategy<Value = Rejection> {
    (0..CONNECT_TIMEOUT, 0..CONNECT_TIMEOUT - 20 * MS).prop_map(|(accept_in_us, close_in_us)| {
        Rejection {
            accept_in_us,
            close_in_us,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_the_connect_limit_of_one_dispatcher(
        seed: u64,
        rejection in rejections(),
        step_us in MS..20 * MS,
    ) {
        let config = BackoffConfig::new(CONNECT_TIMEOUT);
        let connect_times = connects(seed, rejection, step_us, 60 * SECOND);
        for window_us in [0, 100 * MS, SECOND, 4 * SECOND, 24 * SECOND, 60 * SECOND] {
            let (count, limit) =
                (max_within(&connect_times, window_us), max_connects(&config, window_us));
            prop_assert!(count <= limit, "{count} in {window_us} us, limit {limit}");
        }
        // Connects go on, so that a recovered engine is found.
        let gaps = connect_times.windows(2).map(|pair| pair[1] - pair[0]);
        let rejected_after_us = rejection.accept_in_us + rejection.close_in_us;
        prop_assert!(gaps.max() <= Some(config.max_us + rejected_after_us + 2 * step_us));
    }

    #[test]
    fn an_engine_that_neither_responds_nor_closes_gets_few_connects(
        seed: u64,
        accept_in_us in 0..CONNECT_TIMEOUT,
        step_us in MS..20 * MS,
    ) {
        let config = BackoffConfig::new(CONNECT_TIMEOUT);
        let mut backoff = Backoff::new(seed);
        let mut open_connections: Vec<(u64, bool, TrackedConnection)> = Vec::new();
        let mut connect_times = Vec::new();
        for now in (0..5 * SECOND).step_by(step_us as usize) {
            for (started_at, is_up, connection) in &mut open_connections {
                if !*is_up && now >= *started_at + accept_in_us {
                    *is_up = true;
                    backoff.record_connected(connection, now, &config);
                }
            }
            while backoff.permit(now) == Permit::Granted {
                open_connections.push((now, false, backoff.begin(now)));
                connect_times.push(now);
            }
        }
        prop_assert!(
            max_within(&connect_times, config.rejection_window_us - 1) <= MAX_IN_FLIGHT as u64
        );
    }
}

proptest! {
    // Each case simulates 1133 dispatchers.
    #![proptest_config(ProptestConfig { cases: 6, ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_the_connect_limit_of_a_fleet(
        seed in 0..u64::MAX / 2,
        close_in_us in 0..5 * MS,
    ) {
        let config = BackoffConfig::new(CONNECT_TIMEOUT);
        let rejection = Rejection { accept_in_us: MS, close_in_us };
        for dispatcher_count in DISPATCHER_COUNTS {
            let connect_times = (0..dispatcher_count)
                .flat_map(|index| connects(seed + index, rejection, 10 * MS, 24 * SECOND));
            let mut connect_times: Vec<u64> = connect_times.collect();
            connect_times.sort_unstable();
            for window_us in [100 * MS, SECOND, 24 * SECOND] {
                let (count, limit) =
                    (max_within(&connect_times, window_us), max_connects(&config, window_us));
                prop_assert!(
                    count <= dispatcher_count * limit,
                    "{dispatcher_count}: {count} in {window_us} us"
                );
            }
            // Once pauses have reached their maximum, no dispatcher connects twice within half of
            // it.
            let first_late_index = connect_times.partition_point(|at| *at < 8 * SECOND);
            let count = max_within(&connect_times[first_late_index..], config.max_us / 2 - 20 * MS);
            prop_assert!(
                count <= dispatcher_count,
                "{dispatcher_count}: {count} in half of the longest pause"
            );
            // Dispatchers do not connect together: at most twice the mean, plus a statistical
            // margin.
            let mean = dispatcher_count as f64 * 100.0 * MS as f64 / (0.75 * config.max_us as f64);
            let count = max_within(&connect_times[first_late_index..], 100 * MS) as f64;
            prop_assert!(
                count <= 2.0 * mean + 8.0 * mean.sqrt() + 6.0,
                "{dispatcher_count}: {count}, mean {mean}"
            );
        }
    }
}

fn fail_connect(backoff: &mut Backoff, now: u64) -> ConnectionEnd {
    let connection = backoff.begin(now);
    backoff.record_end(connection, now, &BackoffConfig::new(CONNECT_TIMEOUT))
}

#[test]
fn the_first_connect_is_immediate_and_a_response_resets_the_backoff() {
    let config = BackoffConfig::new(CONNECT_TIMEOUT);
    let mut backoff = Backoff::new(1);
    assert_eq!(backoff.permit(0), Permit::Granted);
    assert_eq!(fail_connect(&mut backoff, 0), ConnectionEnd::FirstFailure);
    assert_eq!(backoff.permit(0), Permit::BackingOff);
    assert_eq!(backoff.permit(CONNECT_TIMEOUT / 2 - 1), Permit::BackingOff);
    assert_eq!(backoff.permit(CONNECT_TIMEOUT), Permit::Granted);
    assert_eq!(
        fail_connect(&mut backoff, CONNECT_TIMEOUT),
        ConnectionEnd::RepeatedFailure,
        "no success since the first failure"
    );
    let mut trial = backoff.begin(SECOND);
    assert_eq!(backoff.permit(SECOND), Permit::BackingOff, "one in flight");
    backoff.record_connected(&trial, SECOND, &config);
    assert_eq!(backoff.permit(SECOND), Permit::BackingOff, "not proven yet");
    assert!(!backoff.is_proven(&trial, SECOND));
    assert_eq!(backoff.record_response(&mut trial), Some(2));
    assert!(backoff.is_proven(&trial, SECOND) && !backoff.is_failing());
    assert_eq!(backoff.permit(SECOND), Permit::Granted);
    assert_eq!(
        backoff.record_response(&mut trial),
        None,
        "only the first response counts"
    );
    assert_eq!(
        backoff.record_end(trial, SECOND, &config),
        ConnectionEnd::Proven
    );
    assert_eq!(backoff.permit(SECOND), Permit::Granted);
}

#[test]
fn responses_on_connections_older_than_the_failure_do_not_reset_the_backoff() {
    let mut backoff = Backoff::new(1);
    let mut older = backoff.begin(0);
    fail_connect(&mut backoff, MS);
    assert_eq!(backoff.record_response(&mut older), None);
    assert_eq!(backoff.permit(2 * MS), Permit::BackingOff);
}

#[test]
fn connects_that_fail_together_count_as_one_failure() {
    let config = BackoffConfig::new(CONNECT_TIMEOUT);
    let mut backoff = Backoff::new(1);
    let burst: Vec<TrackedConnection> = (0..MAX_IN_FLIGHT).map(|_| backoff.begin(0)).collect();
    assert_eq!(backoff.permit(0), Permit::PreferReuse);
    for connection in burst {
        backoff.record_end(connection, MS, &config);
    }
    assert_eq!(backoff.permit(MS + config.initial_us), Permit::Granted);
    let mut trial = backoff.begin(SECOND);
    assert_eq!(
        backoff.record_response(&mut trial),
        Some(MAX_IN_FLIGHT as u64)
    );
}

#[test]
fn a_connection_closed_locally_or_after_the_rejection_window_is_no_failure() {
    let config = BackoffConfig::new(CONNECT_TIMEOUT);
    let mut backoff = Backoff::new(1);
    let connection = backoff.begin(0);
    backoff.record_connected(&connection, 0, &config);
    backoff.record_local_close(connection);
    let connection = backoff.begin(0);
    backoff.record_connected(&connection, 0, &config);
    assert_eq!(
        backoff.record_end(connection, config.rejection_window_us, &config),
        ConnectionEnd::Proven
    );
    assert!(!backoff.is_failing());
}

#[test]
fn no_pause_outlasts_the_longest_ejection() {
    for connect_timeout_us in [0, MS, CONNECT_TIMEOUT, 60 * SECOND] {
        let config = BackoffConfig::new(connect_timeout_us);
        assert!(0 < config.initial_us && config.initial_us <= config.max_us);
        assert_eq!(config.max_us, MAX_BACKOFF_US);
    }
    let policy = EjectionPolicy::new(1.0, 4.0, 0.1, false);
    let (mut health, mut now, mut ejection_us) = (Health::default(), 0, 0);
    for _ in 0..5 {
        health.record_failures(FAILURES_TO_EJECT, now, policy);
        ejection_us = health.ejected_until(false) - now;
        now += ejection_us;
    }
    assert_eq!(ejection_us, MAX_BACKOFF_US);
}
