//! Metrics of a process: the outcomes of requests, and the state of the engines as the dispatcher knows it.
//!
//! A request counts as outstanding until its [`RunningRequest`] is finished, or dropped because the client
//! disconnected. One lock guards all metrics, so that accepted requests always equal ended plus disconnected plus
//! outstanding ones.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, text};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How a request ended for a client that was still connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Disposition {
    Succeeded,
    /// Refused: nothing ran.
    Declined,
    /// Failed: it may have run.
    Aborted,
}

const DISPOSITIONS: [(Disposition, &str); 3] = [
    (Disposition::Succeeded, "succeeded"),
    (Disposition::Declined, "declined"),
    (Disposition::Aborted, "aborted"),
];

/// Counts of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    pub accepted: u64,
    /// Indexed by [`Disposition`].
    pub ended_by_disposition: [u64; 3],
    /// Requests whose client disconnected before they ended.
    pub client_disconnected: u64,
}

impl RequestCounts {
    /// Requests that have not ended and whose client is still connected.
    pub fn outstanding(&self) -> u64 {
        self.accepted - self.ended_by_disposition.iter().sum::<u64>() - self.client_disconnected
    }
}

/// The engines as one shard of the dispatcher sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardEngines {
    /// Number of engines in the list.
    pub discovered: usize,
    /// The IDs of ejected engines, each with the Unix time in microseconds at which its ejection ends.
    pub ejected: Vec<(u64, u64)>,
}

#[derive(Default)]
struct State {
    /// Classes that are removed from the settings stay here: their counts are still scraped.
    classes: BTreeMap<Arc<str>, RequestCounts>,
    forwards: u64,
    reloads_applied: u64,
    reloads_rejected: u64,
    engines: BTreeMap<usize, ShardEngines>,
}

/// The metrics of one process; clones share the same state.
#[derive(Clone, Default)]
pub struct Metrics(Arc<Mutex<State>>);

impl Metrics {
    fn state(&self) -> MutexGuard<'_, State> {
        // No code panics while it holds the lock, and each update leaves the state consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lists a class with counts of zero before its first request.
    pub fn register_class(&self, name: &str) {
        self.state().classes.entry(name.into()).or_default();
    }

    /// Counts an accepted request of this class.
    pub fn start_request(&self, class: &str) -> RunningRequest {
        let mut state = self.state();
        let existing = state.classes.get_key_value(class);
        let class = existing.map_or_else(|| class.into(), |(class, _)| class.clone());
        state.classes.entry(class.clone()).or_default().accepted += 1;
        RunningRequest {
            metrics: self.clone(),
            class,
            is_finished: false,
        }
    }

    fn update(&self, class: &Arc<str>, update: impl FnOnce(&mut RequestCounts)) {
        update(self.state().classes.entry(class.clone()).or_default());
    }

    /// Adds attempts that were completely written to an engine.
    pub fn count_forwards(&self, attempts: usize) {
        self.state().forwards += attempts as u64;
    }

    /// Counts a configuration file that was read on SIGHUP and either applied or rejected.
    pub fn count_reload(&self, is_applied: bool) {
        let mut state = self.state();
        if is_applied {
            state.reloads_applied += 1;
        } else {
            state.reloads_rejected += 1;
        }
    }

    /// Replaces the engines as one shard sees them.
    pub fn set_engines(&self, shard: usize, engines: ShardEngines) {
        self.state().engines.insert(shard, engines);
    }

    pub fn request_counts(&self) -> BTreeMap<Arc<str>, RequestCounts> {
        self.state().classes.clone()
    }

    /// Attempts that were completely written to an engine.
    pub fn forwards(&self) -> u64 {
        self.state().forwards
    }

    /// The metrics in the OpenMetrics text format; `now` is the Unix time in microseconds. The last line is `EOF`.
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

/// An accepted request that has not ended. If it is dropped without [`RunningRequest::finish`], its client counts as
/// disconnected.
pub struct RunningRequest {
    metrics: Metrics,
    class: Arc<str>,
    is_finished: bool,
}

impl RunningRequest {
    pub fn finish(mut self, disposition: Disposition) {
        self.is_finished = true;
        self.metrics.update(&self.class, |counts| {
            counts.ended_by_disposition[disposition as usize] += 1
        });
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if !self.is_finished {
            self.metrics
                .update(&self.class, |counts| counts.client_disconnected += 1);
        }
    }
}

impl fmt::Debug for RunningRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RunningRequest({})", self.class)
    }
}

/// The metrics at one moment.
#[derive(Debug)]
struct Snapshot {
    classes: Vec<(Arc<str>, RequestCounts)>,
    counters: [(&'static str, &'static str, u64); 3],
    gauges: [(&'static str, &'static str, i64); 3],
}

impl Snapshot {
    fn new(state: &State, now: u64) -> Snapshot {
        let shards = state.engines.values();
        let discovered = shards.clone().map(|engines| engines.discovered).max();
        let ejections = shards.flat_map(|engines| &engines.ejected);
        let ejected_ids = ejections
            .filter(|(_, until)| now < *until)
            .map(|(id, _)| *id);
        let ejected = ejected_ids.collect::<BTreeSet<u64>>().len();
        let outstanding: u64 = state.classes.values().map(RequestCounts::outstanding).sum();
        Snapshot {
            classes: state.classes.clone().into_iter().collect(),
            counters: [
                (
                    "forwards",
                    "Attempts written whole to engines",
                    state.forwards,
                ),
                (
                    "sighup_applied",
                    "Files taken at SIGHUP",
                    state.reloads_applied,
                ),
                (
                    "sighup_rejected",
                    "Files turned down at SIGHUP",
                    state.reloads_rejected,
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
            for (disposition, label) in DISPOSITIONS {
                let labels = [("service", class.as_ref()), ("disposition", label)];
                let count = ConstCounter::new(counts.ended_by_disposition[disposition as usize]);
                count.encode(family.encode_family(&labels)?)?;
            }
        }
        let (name, help) = ("dispatcher_left", "Requests whose client left");
        let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for (class, counts) in &self.classes {
            let labels = [("service", class.as_ref())];
            ConstCounter::new(counts.client_disconnected).encode(family.encode_family(&labels)?)?;
        }
        for (name, help, count) in self.counters {
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
    fn metrics_are_exported_under_their_documented_names() {
        let metrics = Metrics::default();
        metrics.register_class("report");
        let requests: Vec<RunningRequest> =
            (0..6).map(|_| metrics.start_request("lookup")).collect();
        let mut requests = requests.into_iter();
        let mut next_request = || requests.next().expect("six requests were started");
        next_request().finish(Disposition::Succeeded);
        next_request().finish(Disposition::Succeeded);
        next_request().finish(Disposition::Declined);
        next_request().finish(Disposition::Aborted);
        drop(next_request());
        metrics.count_forwards(7);
        metrics.count_reload(true);
        metrics.count_reload(false);
        metrics.count_reload(false);
        // Both shards eject engine 1; the ejection of engine 2 by the first shard is over at 500.
        let engines = |ejected: &[(u64, u64)]| ShardEngines {
            discovered: 5,
            ejected: ejected.to_vec(),
        };
        metrics.set_engines(0, engines(&[(1, 900), (2, 400)]));
        metrics.set_engines(1, engines(&[(1, 800)]));
        let text = metrics.encode(500).expect("the metrics are encoded");
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
            assert!(
                text.lines().any(|text_line| text_line == line),
                "{line} in\n{text}"
            );
        }
        assert_eq!(text.lines().last(), Some("EOF"));
    }
}
