//! Which engines one of many gateways sends to, and how crowded each looks to it.
//!
//! A gateway among hundreds that spreads its requests over all engines hears of each every ten seconds or so:
//! it can't tell one that pages from an idle one, and random placement leaves some engines with three times the
//! mean. Instead each keeps to a few, its circle, so few that it hears of each about once a second, and leaves
//! those that answer slowly for others. Circles of all gateways together cover the engines evenly.

/// How often a gateway wants to hear of each engine of its circle, in seconds: well under the time that a heavy
/// query takes, since what is known of an engine is out of date by then.
const HEARD_EVERY: f64 = 1.0;
/// A circle holds at least this many: of fewer, two that are crowded leave no choice.
const FEWEST: usize = 4;
/// Ways to walk the ring of engines. What leaves an engine goes on to as many others.
const STRIDES: usize = 5;
/// What was seen of a crowd halves, as a log ratio, within this time, in seconds.
const HALF_LIFE: f64 = 2.0;
/// Weight of the newest answer against what is left of those before it.
const NEWEST: f64 = 0.5;
/// Most that one answer says.
const MOST: f64 = 3.0;

/// How slow an engine's answers were lately, against what their work takes alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Congestion {
    level: f64,
    at: u64,
}

impl Congestion {
    fn level(&self, now: u64) -> f64 {
        // Of most engines nothing is known, and each decision looks at all.
        if self.level == 0.0 {
            return 0.0;
        }
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.level * 0.5_f64.powf(passed / HALF_LIFE)
    }

    /// An answer took so many times what its work takes alone.
    pub fn record(&mut self, now: u64, slowdown: f64) {
        let news = slowdown.max(1.0).ln().min(MOST);
        let left = self.level(now);
        (self.level, self.at) = (left + NEWEST * (news - left), now);
    }

    /// So many times as long as alone will an answer take, as far as is known; one where nothing is.
    pub fn slowdown(&self, now: u64) -> f64 {
        let level = self.level(now);
        if level == 0.0 { 1.0 } else { level.exp() }
    }
}

/// Engines in a circle of a gateway to which so many requests come a second.
pub fn subset_size(rate: f64, engines: usize) -> usize {
    let heard = (rate * HEARD_EVERY).ceil() as usize;
    heard.max(FEWEST).min(engines)
}

fn divisor(a: usize, b: usize) -> usize {
    if b == 0 { a } else { divisor(b, a % b) }
}

/// The engines of the ring, by place, in the order in which a gateway takes them into its circle: all gateways
/// that walk it alike begin at even distances, so that any first part of their walks covers it evenly.
pub fn selection_order(me: usize, gateways: usize, engines: usize) -> impl Iterator<Item = usize> {
    let ways = STRIDES.min(gateways).max(1);
    let (way, place) = (me % ways, me / ways);
    let alike = gateways.div_ceil(ways).max(1);
    let start = place * engines / alike;
    let coprime = |stride: &usize| divisor(*stride, engines.max(1)) == 1;
    let stride = (1 + way * engines / ways..).find(coprime).unwrap_or(1);
    (0..engines).map(move |step| (start + step * stride) % engines)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn circles_of_all_gateways_cover_the_engines_evenly() {
        for (gateways, engines) in [(300, 80), (270, 79), (100, 30), (350, 300), (64, 7)] {
            let width = subset_size(7.0, engines);
            let mut covered = vec![0; engines];
            for me in 0..gateways {
                selection_order(me, gateways, engines)
                    .take(width)
                    .for_each(|place| covered[place] += 1);
            }
            let mean = (gateways * width) as f64 / engines as f64;
            let (least, most) = (covered.iter().min(), covered.iter().max());
            let within =
                |count: Option<&usize>| count.is_some_and(|c| (*c as f64 - mean).abs() <= 6.0);
            assert!(
                within(least) && within(most),
                "{gateways} {engines}: {covered:?}"
            );
        }
    }

    #[test]
    fn a_walk_comes_to_every_engine_once() {
        for engines in 1..=100 {
            for me in [0, 1, 2, 3, 4, 17, 299] {
                let mut places: Vec<usize> = selection_order(me, 300, engines).collect();
                places.sort();
                assert_eq!(places, (0..engines).collect::<Vec<_>>());
            }
        }
    }

    #[test]
    fn a_crowd_is_seen_at_once_and_forgotten_after_some_seconds() {
        let mut crowd = Congestion::default();
        crowd.record(0, 1.2);
        assert!(crowd.slowdown(0) < 1.2);
        crowd.record(0, 9.0);
        crowd.record(100_000, 9.0);
        assert!(crowd.slowdown(100_000) > 4.0);
        assert!(crowd.slowdown(10_000_000) < 1.2);
        assert!(crowd.slowdown(u64::MAX) >= 1.0);
    }
}
