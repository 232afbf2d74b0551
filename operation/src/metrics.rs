//! The figures: what has become of requests, and what the dispatcher believes of its engines.
//!
//! Each thing is counted in one place, where it happens: a request from when it is taken until its
//! [`Running`] is told how it ended, or is dropped because its client has left. All figures stand behind one
//! lock, so that at any moment what was taken is what has ended, has left or is outstanding.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, text};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How a request ended for a client that was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Disposition {
    Succeeded,
    Declined,
    Aborted,
}

const DISPOSITIONS: [(Disposition, &str); 3] = [
    (Disposition::Succeeded, "succeeded"),
    (Disposition::Declined, "declined"),
    (Disposition::Aborted, "aborted"),
];

/// What was counted of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    pub accepted: u64,
    pub ended_by_disposition: [u64; 3],
    /// Requests whose client left before they ended.
    pub client_disconnected: u64,
}

impl RequestCounts {
    pub fn outstanding(&self) -> u64 {
        self.accepted - self.ended_by_disposition.iter().sum::<u64>() - self.client_disconnected
    }
}

/// The engines as one shard of the dispatcher sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardEngines {
    pub discovered: usize,
    /// Those that are set aside, by number, and until which Unix microsecond.
    pub ejected: Vec<(u64, u64)>,
}

#[derive(Default)]
struct State {
    /// Classes that have gone stay: their counts are still asked for.
    classes: BTreeMap<Arc<str>, RequestCounts>,
    forwards: u64,
    applied: u64,
    rejected: u64,
    engines: BTreeMap<usize, ShardEngines>,
}

/// The figures of one process; clones are handles on the same.
#[derive(Clone, Default)]
pub struct Metrics(Arc<Mutex<State>>);

impl Metrics {
    fn state(&self) -> MutexGuard<'_, State> {
        // Nothing panics while it is held; what it holds would be whole all the same.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has a class stand among the figures before anything of it is counted.
    pub fn register_class(&self, name: &str) {
        self.state().classes.entry(name.into()).or_default();
    }

    /// A request of this class is taken.
    pub fn start_request(&self, class: &str) -> RunningRequest {
        let mut state = self.state();
        let known = state.classes.get_key_value(class);
        let class = known.map_or_else(|| class.into(), |(class, _)| class.clone());
        state.classes.entry(class.clone()).or_default().accepted += 1;
        RunningRequest {
            metrics: self.clone(),
            class,
            counted: false,
        }
    }

    fn count(&self, class: &Arc<str>, count: impl FnOnce(&mut RequestCounts)) {
        count(self.state().classes.entry(class.clone()).or_default());
    }

    /// So many attempts have been written whole to an engine.
    pub fn count_forwards(&self, attempts: usize) {
        self.state().forwards += attempts as u64;
    }

    /// A file was read at SIGHUP and taken, or turned down.
    pub fn count_reload(&self, applied: bool) {
        let mut state = self.state();
        if applied {
            state.applied += 1;
        } else {
            state.rejected += 1;
        }
    }

    /// What a shard now believes of the engines.
    pub fn set_engines(&self, shard: usize, engines: ShardEngines) {
        self.state().engines.insert(shard, engines);
    }

    pub fn request_counts(&self) -> BTreeMap<Arc<str>, RequestCounts> {
        self.state().classes.clone()
    }

    pub fn forwards(&self) -> u64 {
        self.state().forwards
    }

    /// The figures in the text form of OpenMetrics, as of this Unix microsecond; its last line is `EOF`.
    pub fn encode(&self, now: u64) -> Result<String, fmt::Error> {
        let snapshot = Snapshot::new(&self.state(), now);
        let mut registry = Registry::default();
        registry.register_collector(Box::new(snapshot));
        let mut text = String::new();
        text::encode_registry(&mut text, &registry)?;
        text.push_str("EOF\n");
        Ok(text)
    }
}

/// A request under way, counted as outstanding until this is told of its end; dropped, its client has left.
pub struct RunningRequest {
    metrics: Metrics,
    class: Arc<str>,
    counted: bool,
}

impl RunningRequest {
    pub fn finish(mut self, how: Disposition) {
        self.counted = true;
        self.metrics.count(&self.class, |counts| {
            counts.ended_by_disposition[how as usize] += 1
        });
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if !self.counted {
            self.metrics
                .count(&self.class, |counts| counts.client_disconnected += 1);
        }
    }
}

impl fmt::Debug for RunningRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RunningRequest({})", self.class)
    }
}

/// The figures of one moment.
#[derive(Debug)]
struct Snapshot {
    classes: Vec<(Arc<str>, RequestCounts)>,
    totals: [(&'static str, &'static str, u64); 3],
    gauges: [(&'static str, &'static str, i64); 3],
}

impl Snapshot {
    fn new(state: &State, now: u64) -> Snapshot {
        let shards = state.engines.values();
        let discovered = shards.clone().map(|engines| engines.discovered).max();
        let avoided = shards.flat_map(|engines| &engines.ejected);
        let avoided = avoided.filter(|(_, until)| now < *until).map(|(id, _)| *id);
        let ejected = avoided.collect::<BTreeSet<u64>>().len();
        let outstanding: u64 = state.classes.values().map(RequestCounts::outstanding).sum();
        Snapshot {
            classes: state.classes.clone().into_iter().collect(),
            totals: [
                (
                    "forwards",
                    "Attempts written whole to engines",
                    state.forwards,
                ),
                ("sighup_applied", "Files taken at SIGHUP", state.applied),
                (
                    "sighup_rejected",
                    "Files turned down at SIGHUP",
                    state.rejected,
                ),
            ],
            gauges: [
                (
                    "outstanding",
                    "Requests taken and not ended",
                    outstanding as i64,
                ),
                (
                    "discovered",
                    "Engines listed",
                    discovered.unwrap_or(0) as i64,
                ),
                ("ejected", "Engines listed and set aside", ejected as i64),
            ],
        }
    }
}

impl Collector for Snapshot {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let (name, help) = ("dispatcher_results", "Requests ended, by class and how");
        let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for (class, counts) in &self.classes {
            for (how, word) in DISPOSITIONS {
                let labels = [("service", class.as_ref()), ("disposition", word)];
                let count = ConstCounter::new(counts.ended_by_disposition[how as usize]);
                count.encode(family.encode_family(&labels)?)?;
            }
        }
        let (name, help) = ("dispatcher_left", "Requests whose client left");
        let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for (class, counts) in &self.classes {
            let labels = [("service", class.as_ref())];
            ConstCounter::new(counts.client_disconnected).encode(family.encode_family(&labels)?)?;
        }
        for (name, help, count) in self.totals {
            let name = format!("dispatcher_{name}");
            let metric = encoder.encode_descriptor(&name, help, None, MetricType::Counter)?;
            ConstCounter::new(count).encode(metric)?;
        }
        for (name, help, value) in self.gauges {
            let name = format!("dispatcher_{name}");
            let metric = encoder.encode_descriptor(&name, help, None, MetricType::Gauge)?;
            ConstGauge::new(value).encode(metric)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_figures_stand_under_the_names_that_staff_look_for() {
        let figures = Metrics::default();
        figures.register_class("report");
        let running: Vec<RunningRequest> =
            (0..6).map(|_| figures.start_request("lookup")).collect();
        let mut running = running.into_iter();
        let mut next = || running.next().expect("there are six");
        next().finish(Disposition::Succeeded);
        next().finish(Disposition::Succeeded);
        next().finish(Disposition::Declined);
        next().finish(Disposition::Aborted);
        drop(next());
        figures.count_forwards(7);
        figures.count_reload(true);
        figures.count_reload(false);
        figures.count_reload(false);
        // Two shards, of whom both avoid one engine and one has found another well meanwhile.
        let engines = |avoided: &[(u64, u64)]| ShardEngines {
            discovered: 5,
            ejected: avoided.to_vec(),
        };
        figures.set_engines(0, engines(&[(1, 900), (2, 400)]));
        figures.set_engines(1, engines(&[(1, 800)]));
        let text = figures.encode(500).expect("is written");
        for line in [
            r#"dispatcher_results_total{service="lookup",disposition="succeeded"} 2"#,
            r#"dispatcher_results_total{service="lookup",disposition="declined"} 1"#,
            r#"dispatcher_results_total{service="lookup",disposition="aborted"} 1"#,
            r#"dispatcher_results_total{service="report",disposition="aborted"} 0"#,
            r#"dispatcher_left_total{service="lookup"} 1"#,
            "dispatcher_forwards_total 7",
            "dispatcher_outstanding 1",
            "dispatcher_discovered 5",
            "dispatcher_ejected 1",
            "dispatcher_sighup_applied_total 1",
            "dispatcher_sighup_rejected_total 2",
        ] {
            assert!(text.lines().any(|told| told == line), "{line} in\n{text}");
        }
        assert_eq!(text.lines().last(), Some("EOF"));
    }
}
