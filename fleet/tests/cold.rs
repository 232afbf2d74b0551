//! The rights of all gateways together, against the rule that they are made to keep.

use proptest::prelude::*;
use sedgebeam_fleet::slow_start::{AdmissionTokens, SlowStart, phase};

const MS: u64 = 1000;

fn warming(gateways: u32) -> SlowStart {
    SlowStart {
        initial_capacity: 0.3,
        warm_up_us: 14_000 * MS,
        overload_factor: 4.0,
        window_us: 1000 * MS,
        gateway_count: f64::from(gateways),
    }
}

/// Sends of all gateways, as time and work: each uses a right at the end of a span as long as the caller says,
/// which is the worst that chance can bring together, and at the latest when it would be lost.
fn sends(gateways: u32, cores: f64, classes: &[(f64, f64)], hoard: u64) -> Vec<(u64, f64)> {
    sends_with_restarts(gateways, cores, classes, hoard, (0, 0.0, 0))
}

/// The same, where a share of the gateways starts anew at a time, one after the other in so many steps.
fn sends_with_restarts(
    gateways: u32,
    cores: f64,
    classes: &[(f64, f64)],
    hoard: u64,
    restarts: (u64, f64, u64),
) -> Vec<(u64, f64)> {
    sends_under(warming(gateways), cores, classes, hoard, restarts)
}

/// The same under any terms.
fn sends_under(
    warming: SlowStart,
    cores: f64,
    classes: &[(f64, f64)],
    hoard: u64,
    (at, share, steps): (u64, f64, u64),
) -> Vec<(u64, f64)> {
    let gateways = warming.gateway_count as u32;
    let mut sends = Vec::new();
    for me in 0..gateways {
        let mut rights = AdmissionTokens::default();
        let restarts = (f64::from(me * 7 % 10) < share * 10.0).then(|| {
            let step = u64::from(me) * steps.max(1) / u64::from(gateways);
            at + step * 1500 * MS
        });
        for now in (0..warming.warm_up_us).step_by(20_000) {
            if restarts.is_some_and(|at| now >= at && now < at + 20_000) {
                rights = AdmissionTokens::default();
            }
            // Nothing goes to cold engines in the first window of a gateway's life.
            if restarts.is_some_and(|at| now >= at && now < at + warming.window_us) {
                continue;
            }
            let granted = warming.granted_work(now, cores);
            rights.refill(now, granted, &warming, classes, |class| {
                phase(me, f64::from(gateways), (class as u64 * 7919) << 40)
            });
            for (class, (_, work)) in classes.iter().enumerate() {
                if rights.is_available(class, now) && now % hoard < 20_000 {
                    rights.consume(class);
                    sends.push((now, *work));
                }
            }
        }
    }
    sends.sort_by_key(|(at, _)| *at);
    sends
}

/// The most work within a window, over what the rule allows there.
fn worst(sends: &[(u64, f64)], cores: f64) -> f64 {
    worst_under(warming(1), sends, cores)
}

/// The same under any terms.
fn worst_under(warming: SlowStart, sends: &[(u64, f64)], cores: f64) -> f64 {
    let window = |at: u64| {
        let within = sends
            .iter()
            .filter(|(t, _)| *t <= at && t + warming.window_us > at);
        let age = at.saturating_sub(warming.window_us) as f64 / warming.warm_up_us as f64;
        let able = cores * (warming.initial_capacity + (1.0 - warming.initial_capacity) * age);
        within.map(|(_, work)| work).sum::<f64>() / (warming.overload_factor * able)
    };
    sends.iter().map(|(at, _)| window(*at)).fold(0.0, f64::max)
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
        prop_assert!(worst(&sends, 12.0) <= 1.0, "{}", worst(&sends, 12.0));
    }
}

/// Sends of gateways that look at their rights only now and then, all at the same moments, and are told at a time that
/// they are fewer by a factor than they were told before.
fn sends_after_looks(
    gateways: u32,
    classes: &[(f64, f64)],
    looks: impl Fn(u64) -> bool,
    (at, fewer): (u64, f64),
) -> Vec<(u64, f64)> {
    let mut sends = Vec::new();
    for me in 0..gateways {
        let mut rights = AdmissionTokens::default();
        let mut terms = SlowStart {
            gateway_count: f64::from(gateways) * fewer,
            ..warming(gateways)
        };
        let mut settled = 0;
        for now in (0..terms.warm_up_us).step_by(20_000) {
            if now >= at && terms.gateway_count > f64::from(gateways) {
                terms = warming(gateways);
                // As at a start, with the quiet window of one.
                rights = AdmissionTokens::default();
                settled = now + terms.window_us;
            }
            if now > 0 && (!looks(now) || now < settled) {
                continue;
            }
            let granted = terms.granted_work(now, 12.0);
            rights.refill(now, granted, &terms, classes, |class| {
                phase(me, terms.gateway_count, (class as u64 * 7919) << 40)
            });
            for (class, (_, work)) in classes.iter().enumerate() {
                if rights.is_available(class, now) {
                    rights.consume(class);
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
    /// A gateway that nobody asks does not look; when all are asked at once, what came due long ago is lost.
    #[test]
    fn no_window_holds_more_where_gateways_look_seldom_or_hear_other_terms(
        gateways in prop::sample::select(vec![8u32, 20, 30, 100, 300, 900]),
        heavy in 1.0f64..4.5,
        part in 0.1f64..0.9,
        quiet in 1u64..13_000,
        at in 0u64..13_000,
        fewer in prop::sample::select(vec![1.0, 2.0, 10.0]),
    ) {
        let classes = [(part, 0.08), (1.0 - part, heavy)];
        // Nobody looks for a while; then all do, and go on.
        let looks = |now: u64| now >= quiet * MS;
        let sends = sends_after_looks(gateways, &classes, looks, (at * MS, fewer));
        prop_assert!(worst(&sends, 12.0) <= 1.0, "{}", worst(&sends, 12.0));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]
    #[test]
    fn no_window_holds_more_than_the_rule_allows(
        gateways in 7u32..150,
        heavy in 1.0f64..4.5,
        part in 0.1f64..0.9,
        hoard in 1u64..2000,
    ) {
        let classes = [(part, 0.08), (1.0 - part, heavy)];
        let sends = sends(gateways, 12.0, &classes, hoard * MS);
        prop_assert!(worst(&sends, 12.0) <= 1.0, "{}", worst(&sends, 12.0));
        // And a cold engine does get work of both classes.
        let heavies = sends.iter().filter(|(_, work)| *work >= 1.0).count();
        prop_assert!(hoard > 100 || (sends.len() > 50 && heavies > 0), "{} {heavies}", sends.len());
    }
}

/// The check fails where each gateway sends one query whatever its part is.
#[test]
fn one_query_each_breaks_the_rule() {
    let all: Vec<(u64, f64)> = (0..100).map(|_| (20 * MS, 2.4)).collect();
    assert!(worst(&all, 12.0) > 1.0);
}

/// What is granted follows what the engine can do, up to its margin, and ends when it is warm.
#[test]
fn what_is_granted_grows_with_what_the_engine_can_do() {
    let warming = warming(100);
    let granted = |age: u64| warming.granted_work(age * MS, 12.0);
    let (first, last) = (granted(100), granted(14_000) - granted(13_900));
    let part = first / last;
    assert!(
        (part - 0.3).abs() < 0.01 && last <= 0.1 * 12.0 / 100.0,
        "{first} {last}"
    );
    assert_eq!(granted(60_000), granted(14_000));
}

/// A right that nobody comes for is lost: a class counts by how likely one of its requests comes in its life.
#[test]
fn a_right_is_met_by_what_comes_while_it_is_open() {
    let warming = warming(100);
    let met = [0.0, 0.25, 0.5, 3.0].map(|rate| warming.use_probability(rate));
    assert!(met[0] == 0.0 && met[3] > 0.95 && met.is_sorted(), "{met:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]
    /// Whatever multiple of its capacity the rule lets a cold engine bear: rights last longer the more it is.
    #[test]
    fn no_window_holds_more_whatever_the_rule_allows(
        gateways in prop::sample::select(vec![8u32, 32, 100, 300, 900]),
        multiple in 2.0f64..6.0,
        heavy in 1.0f64..4.5,
        part in 0.1f64..0.9,
        hoard in 1u64..2000,
    ) {
        let classes = [(part, 0.08), (1.0 - part, heavy)];
        let terms = SlowStart { overload_factor: multiple, ..warming(gateways) };
        let sends = sends_under(terms, 12.0, &classes, hoard * MS, (0, 0.0, 0));
        let worst = worst_under(terms, &sends, 12.0);
        prop_assert!(worst <= 1.0, "{worst}");
    }
}

/// Where the rule leaves room for it, all that a cold engine can do is granted.
#[test]
fn all_that_an_engine_can_do_is_granted_where_rights_may_be_short() {
    let granted = |multiple| {
        let terms = SlowStart {
            overload_factor: multiple,
            ..warming(1)
        };
        let second = terms.granted_work(14_000 * MS, 1.0) - terms.granted_work(13_000 * MS, 1.0);
        second / terms.capacity_share(13_500 * MS)
    };
    assert!((granted(3.0) - 1.0).abs() < 0.01, "{}", granted(3.0));
    assert!((granted(4.0) - 1.0).abs() < 0.01, "{}", granted(4.0));
    assert!(granted(1.5) < 0.8, "{}", granted(1.5));
}
