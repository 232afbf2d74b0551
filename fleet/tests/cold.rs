//! The load that the admission tokens of all gateways together permit on a starting engine, against
//! its limit: in any window, at most `overload_factor` times the work that the engine can do.

use proptest::prelude::*;
use sedgebeam_fleet::slow_start::{AdmissionTokens, SlowStart, phase};

const MS: u64 = 1000;

fn slow_start(gateway_count: u32) -> SlowStart {
    SlowStart {
        initial_capacity: 0.3,
        warm_up_us: 14_000 * MS,
        overload_factor: 4.0,
        window_us: 1000 * MS,
        gateway_count: f64::from(gateway_count),
    }
}

/// Sends of all gateways, as time and work. In the worst case, which is simulated, gateways hold
/// their tokens back and use them together at multiples of `hold_back_us`; a token that expires
/// before that is lost.
fn sends(
    gateway_count: u32,
    cores: f64,
    classes: &[(f64, f64)],
    hold_back_us: u64,
) -> Vec<(u64, f64)> {
    sends_with_restarts(gateway_count, cores, classes, hold_back_us, (0, 0.0, 0))
}

/// Like `sends`, where some gateways restart. `restarts` has the time of the first restart, the
/// share of the gateways that restart, and the number of steps over which the restarts are spread.
fn sends_with_restarts(
    gateway_count: u32,
    cores: f64,
    classes: &[(f64, f64)],
    hold_back_us: u64,
    restarts: (u64, f64, u64),
) -> Vec<(u64, f64)> {
    sends_with_params(
        slow_start(gateway_count),
        cores,
        classes,
        hold_back_us,
        restarts,
    )
}

/// Like `sends_with_restarts`, with other parameters of the slow start.
fn sends_with_params(
    slow_start: SlowStart,
    cores: f64,
    classes: &[(f64, f64)],
    hold_back_us: u64,
    (first_restart_at, restart_share, restart_steps): (u64, f64, u64),
) -> Vec<(u64, f64)> {
    let gateway_count = slow_start.gateway_count as u32;
    let mut sends = Vec::new();
    for gateway_index in 0..gateway_count {
        let mut tokens = AdmissionTokens::default();
        let restart_at = (f64::from(gateway_index * 7 % 10) < restart_share * 10.0).then(|| {
            let step = u64::from(gateway_index) * restart_steps.max(1) / u64::from(gateway_count);
            first_restart_at + step * 1500 * MS
        });
        for now in (0..slow_start.warm_up_us).step_by(20_000) {
            if restart_at.is_some_and(|at| now >= at && now < at + 20_000) {
                tokens = AdmissionTokens::default();
            }
            // A gateway sends nothing to cold engines in the first window after its start.
            if restart_at.is_some_and(|at| now >= at && now < at + slow_start.window_us) {
                continue;
            }
            let granted_work = slow_start.granted_work(now, cores);
            tokens.refill(now, granted_work, &slow_start, classes, |class| {
                phase(
                    gateway_index,
                    f64::from(gateway_count),
                    (class as u64 * 7919) << 40,
                )
            });
            for (class, (_, work)) in classes.iter().enumerate() {
                if tokens.is_available(class, now) && now % hold_back_us < 20_000 {
                    tokens.consume(class);
                    sends.push((now, *work));
                }
            }
        }
    }
    sends.sort_by_key(|(at, _)| *at);
    sends
}

/// The maximum work within a window, relative to its limit.
fn max_load_ratio(sends: &[(u64, f64)], cores: f64) -> f64 {
    max_load_ratio_with_params(slow_start(1), sends, cores)
}

/// Like `max_load_ratio`, with other parameters of the slow start.
fn max_load_ratio_with_params(slow_start: SlowStart, sends: &[(u64, f64)], cores: f64) -> f64 {
    let load_ratio_of_window = |at: u64| {
        let within_window = sends
            .iter()
            .filter(|(sent_at, _)| *sent_at <= at && sent_at + slow_start.window_us > at);
        let warm_up_progress =
            at.saturating_sub(slow_start.window_us) as f64 / slow_start.warm_up_us as f64;
        let capacity = cores
            * (slow_start.initial_capacity
                + (1.0 - slow_start.initial_capacity) * warm_up_progress);
        within_window.map(|(_, work)| work).sum::<f64>() / (slow_start.overload_factor * capacity)
    };
    sends
        .iter()
        .map(|(at, _)| load_ratio_of_window(*at))
        .fold(0.0, f64::max)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]
    #[test]
    fn no_window_holds_more_where_gateways_start_anew(
        gateways in 20u32..920,
        heavy in 1.0f64..4.5,
        part in 0.1f64..0.9,
        hoard in 1u64..2000,
        at in 0u64..13_000,
        share in prop::sample::select(vec![0.1, 0.7, 1.0]),
        steps in prop::sample::select(vec![1u64, 10]),
    ) {
        let classes = [(part, 0.08), (1.0 - part, heavy)];
        let restarts = (at * MS, share, steps);
        let sends = sends_with_restarts(gateways, 12.0, &classes, hoard * MS, restarts);
        prop_assert!(max_load_ratio(&sends, 12.0) <= 1.0, "{}", max_load_ratio(&sends, 12.0));
    }
}

/// Sends of gateways that refill their tokens only when `is_refill_time` is true, all at the same
/// moments. Until `reconfigured_at` the configured number of gateways is `count_factor` times the
/// real one.
fn sends_after_rare_refills(
    gateway_count: u32,
    classes: &[(f64, f64)],
    is_refill_time: impl Fn(u64) -> bool,
    (reconfigured_at, count_factor): (u64, f64),
) -> Vec<(u64, f64)> {
    let mut sends = Vec::new();
    for gateway_index in 0..gateway_count {
        let mut tokens = AdmissionTokens::default();
        let mut params = SlowStart {
            gateway_count: f64::from(gateway_count) * count_factor,
            ..slow_start(gateway_count)
        };
        let mut quiet_until = 0;
        for now in (0..params.warm_up_us).step_by(20_000) {
            if now >= reconfigured_at && params.gateway_count > f64::from(gateway_count) {
                params = slow_start(gateway_count);
                // As after a restart, with a quiet window.
                tokens = AdmissionTokens::default();
                quiet_until = now + params.window_us;
            }
            if now > 0 && (!is_refill_time(now) || now < quiet_until) {
                continue;
            }
            let granted_work = params.granted_work(now, 12.0);
            tokens.refill(now, granted_work, &params, classes, |class| {
                phase(
                    gateway_index,
                    params.gateway_count,
                    (class as u64 * 7919) << 40,
                )
            });
            for (class, (_, work)) in classes.iter().enumerate() {
                if tokens.is_available(class, now) {
                    tokens.consume(class);
                    sends.push((now, *work));
                }
            }
        }
    }
    sends.sort_by_key(|(at, _)| *at);
    sends
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]
    /// Guards against old tokens that all gateways use together: a gateway without requests does
    /// not refill its tokens, and when all get requests at once, tokens that were due long ago must
    /// have expired.
    #[test]
    fn no_window_exceeds_the_limit_with_rare_refills_or_changed_parameters(
        gateway_count in prop::sample::select(vec![8u32, 20, 30, 100, 300, 900]),
        heavy_work in 1.0f64..4.5,
        light_share in 0.1f64..0.9,
        quiet_ms in 1u64..13_000,
        reconfigured_at_ms in 0u64..13_000,
        count_factor in prop::sample::select(vec![1.0, 2.0, 10.0]),
    ) {
        let classes = [(light_share, 0.08), (1.0 - light_share, heavy_work)];
        // No gateway refills for a while; then all do at each step.
        let is_refill_time = |now: u64| now >= quiet_ms * MS;
        let sends = sends_after_rare_refills(
            gateway_count,
            &classes,
            is_refill_time,
            (reconfigured_at_ms * MS, count_factor),
        );
        prop_assert!(max_load_ratio(&sends, 12.0) <= 1.0, "{}", max_load_ratio(&sends, 12.0));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]
    #[test]
    fn no_window_exceeds_the_limit(
        gateway_count in 7u32..150,
        heavy_work in 1.0f64..4.5,
        light_share in 0.1f64..0.9,
        hold_back_ms in 1u64..2000,
    ) {
        let classes = [(light_share, 0.08), (1.0 - light_share, heavy_work)];
        let sends = sends(gateway_count, 12.0, &classes, hold_back_ms * MS);
        prop_assert!(max_load_ratio(&sends, 12.0) <= 1.0, "{}", max_load_ratio(&sends, 12.0));
        // A cold engine still gets queries of both classes.
        let heavy_count = sends.iter().filter(|(_, work)| *work >= 1.0).count();
        prop_assert!(
            hold_back_ms > 100 || (sends.len() > 50 && heavy_count > 0),
            "{} {heavy_count}",
            sends.len()
        );
    }
}

/// Checks that a violation is detected: here each gateway sends one query whatever its share is.
#[test]
fn one_query_from_each_gateway_exceeds_the_limit() {
    let sends: Vec<(u64, f64)> = (0..100).map(|_| (20 * MS, 2.4)).collect();
    assert!(max_load_ratio(&sends, 12.0) > 1.0);
}

/// The granted work follows the engine's capacity, up to the margin, and stops growing when the
/// engine is warm.
#[test]
fn granted_work_grows_with_the_capacity_of_the_engine() {
    let slow_start = slow_start(100);
    let granted_work = |age_ms: u64| slow_start.granted_work(age_ms * MS, 12.0);
    let (initial_work, final_work) = (
        granted_work(100),
        granted_work(14_000) - granted_work(13_900),
    );
    let ratio = initial_work / final_work;
    assert!(
        (ratio - 0.3).abs() < 0.01 && final_work <= 0.1 * 12.0 / 100.0,
        "{initial_work} {final_work}"
    );
    assert_eq!(granted_work(60_000), granted_work(14_000));
}

/// An unused token is lost, so a class is weighted by the probability that one of its requests
/// arrives in time.
#[test]
fn use_probability_grows_with_the_request_rate() {
    let slow_start = slow_start(100);
    let probabilities = [0.0, 0.25, 0.5, 3.0].map(|rate| slow_start.use_probability(rate));
    assert!(
        probabilities[0] == 0.0 && probabilities[3] > 0.95 && probabilities.is_sorted(),
        "{probabilities:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]
    /// The lifetime of tokens depends on the overload factor: it grows with what the limit permits.
    #[test]
    fn no_window_exceeds_the_limit_for_any_overload_factor(
        gateway_count in prop::sample::select(vec![8u32, 32, 100, 300, 900]),
        overload_factor in 2.0f64..6.0,
        heavy_work in 1.0f64..4.5,
        light_share in 0.1f64..0.9,
        hold_back_ms in 1u64..2000,
    ) {
        let classes = [(light_share, 0.08), (1.0 - light_share, heavy_work)];
        let params = SlowStart { overload_factor, ..slow_start(gateway_count) };
        let sends = sends_with_params(params, 12.0, &classes, hold_back_ms * MS, (0, 0.0, 0));
        let max_ratio = max_load_ratio_with_params(params, &sends, 12.0);
        prop_assert!(max_ratio <= 1.0, "{max_ratio}");
    }
}

/// Where the limit permits it with short-lived tokens, all of a cold engine's capacity is granted.
#[test]
fn full_capacity_is_granted_where_the_overload_factor_permits() {
    let granted_share = |overload_factor| {
        let params = SlowStart {
            overload_factor,
            ..slow_start(1)
        };
        let work_of_a_second =
            params.granted_work(14_000 * MS, 1.0) - params.granted_work(13_000 * MS, 1.0);
        work_of_a_second / params.capacity_share(13_500 * MS)
    };
    assert!(
        (granted_share(3.0) - 1.0).abs() < 0.01,
        "{}",
        granted_share(3.0)
    );
    assert!(
        (granted_share(4.0) - 1.0).abs() < 0.01,
        "{}",
        granted_share(4.0)
    );
    assert!(granted_share(1.5) < 0.8, "{}", granted_share(1.5));
}
