//! A gateway's records of requests, engines, classes and queues. Contains no decisions.

use crate::interface::*;
use crate::shard_usage::SiblingEngineUsage;
use sedgebeam_fleet::Health;
use sedgebeam_fleet::slow_start::AdmissionTokens;
use sedgebeam_fleet::subset::Congestion;
use std::collections::VecDeque;

/// One attempt of a request: one send to an engine.
pub(crate) struct Attempt {
    pub engine: EngineId,
    pub sent_at: Micros,
    /// Time of the engine's last note about it; zero before the first.
    pub last_note_at: Micros,
    /// `None` while it is in flight.
    pub outcome: Option<Outcome>,
    /// Cancelled by the gateway. Its outcome may still be pending.
    pub is_cancelled: bool,
}

impl Attempt {
    pub fn new(engine: EngineId, sent_at: Micros) -> Attempt {
        Attempt {
            engine,
            sent_at,
            last_note_at: Micros(0),
            outcome: None,
            is_cancelled: false,
        }
    }
}

/// A request of a client, until it has its final answer and no attempt in flight.
pub(crate) struct Request {
    pub query: Query,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant; the last index is for requests without a known tenant.
    pub tenant: usize,
    pub threads: f64,
    /// Memory counted for its last attempt while that is in flight.
    pub granted_memory_mb: f64,
    /// Time of its arrival, or when it became the first of its key.
    pub ready_at: Micros,
    /// When the client gives up.
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    /// Smallest limit of attempts per request configured since its arrival.
    pub max_attempts: usize,
    pub is_queued: bool,
    /// It has its final answer, and is kept only while an attempt is in flight.
    pub is_answered: bool,
    /// The answer of a streamed attempt has started.
    pub answer_started: bool,
    /// When engines were last probed for their load on its behalf.
    pub probed_at: Option<Micros>,
}

impl Request {
    pub fn new(
        query: Query,
        tenant: usize,
        threads: f64,
        max_attempts: usize,
        now: Micros,
    ) -> Request {
        Request {
            class: query.class.0,
            tenant,
            threads: threads.max(1.0),
            granted_memory_mb: 0.0,
            ready_at: now,
            deadline: now + query.remaining,
            query,
            attempts: Vec::new(),
            max_attempts,
            is_queued: false,
            is_answered: false,
            answer_started: false,
            probed_at: None,
        }
    }

    pub fn has_tried(&self, engine: EngineId) -> bool {
        self.attempts.iter().any(|attempt| attempt.engine == engine)
    }

    pub fn attempts_in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
            .count()
    }

    /// Whether an attempt ended without proof that the engine stopped its query.
    pub fn may_still_run(&self) -> bool {
        let mut outcomes = self.attempts.iter().filter_map(|attempt| attempt.outcome);
        outcomes.any(Outcome::may_still_run)
    }

    /// Time that the query takes on an idle engine, by its estimated work; `None` without an estimate.
    pub fn estimated_duration_us(&self) -> Option<f64> {
        let work_us = self.query.work.0 as f64;
        (work_us > 0.0).then_some(work_us / self.threads)
    }

    /// The first attempt that is in flight or may have run.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        let may_have_run = |attempt: &&Attempt| attempt.outcome.is_none_or(Outcome::may_have_run);
        self.attempts.iter().find(may_have_run)
    }
}

/// What the gateway knows of an engine.
#[derive(Default)]
pub(crate) struct EngineView {
    pub entry: Engine,
    pub cores: f64,
    pub memory_mb: f64,
    pub threads_in_flight: f64,
    pub memory_in_flight_mb: f64,
    pub attempts_in_flight: u32,
    /// Moving mean of the log ratio of its service times to the usual ones of their classes.
    pub service_time_ratio: f64,
    /// Until when it counts as under pressure.
    pub pressure_until: Micros,
    /// Last reported load in threads per core, and when it was reported.
    pub reported_load: Option<(f64, Micros)>,
    /// When it was last probed.
    pub probed_at: Micros,
    /// Table groups that loads of this gateway hold there, one entry per load.
    pub loading_groups: Vec<TableGroupId>,
    /// Table groups that loads of other gateways are assumed to hold there, and until when.
    pub foreign_loading_groups: Vec<(TableGroupId, Micros)>,
    /// When it last gave a sign of life, or was sent an attempt while it had none in flight.
    pub last_seen_at: Micros,
    pub health: Health,
    /// Recent slowdown of its answers.
    pub congestion: Congestion,
    /// Tokens that allow sends while it is cold, if a gateway's share of it is under one query.
    pub admission_tokens: AdmissionTokens,
    /// Times and work, in core seconds, of the sends within the overload window.
    pub recent_sends: VecDeque<(Micros, f64)>,
    /// Work sent since this shard last published its usage.
    pub unpublished_work_core_s: f64,
    /// Whether siblings have published their usage of it.
    pub siblings_known: bool,
    /// Usage of the siblings, or of the peer process during an upgrade, and this shard's thread quota.
    pub siblings: SiblingEngineUsage,
}

impl EngineView {
    /// Whether the engine list has it as ready.
    pub fn is_listed(&self) -> bool {
        self.entry.state == EngineState::Ready
    }

    /// Time since its start while it is cold, else `None`.
    pub fn cold_age_us(&self, now: Micros, warm_after: Micros) -> Option<u64> {
        let started_at = self.entry.started_at;
        let is_cold = started_at > Micros(0) && now < started_at + warm_after;
        is_cold.then(|| (now - started_at).0)
    }

    /// Threads in flight of this shard and its siblings.
    pub fn total_threads(&self) -> f64 {
        self.threads_in_flight + self.siblings.usage.threads
    }

    /// Memory in flight of this shard and its siblings.
    pub fn total_memory_mb(&self) -> f64 {
        self.memory_in_flight_mb + self.siblings.usage.memory_mb
    }

    /// Whether a load of this shard or of a sibling holds the table group on it.
    pub fn is_loading(&self, group: TableGroupId) -> bool {
        self.loading_groups.contains(&group) || self.siblings.usage.table_groups.contains(&group)
    }

    /// Work that all shards sent to it within the window that ends now.
    pub fn cold_work_core_s(&self, now: Micros, window: Micros) -> f64 {
        let recent = self
            .recent_sends
            .iter()
            .filter(|(at, _)| *at + window > now);
        recent.map(|(_, work)| work).sum::<f64>() + self.siblings.cold_work_core_s
    }

    /// Applies a new entry of the engine list. If the engine was restarted, its statistics start anew.
    pub fn apply_entry(&mut self, entry: Engine, kind: Kind) {
        (self.cores, self.memory_mb) = (kind.cores.max(1.0), kind.memory_mb);
        if entry.started_at > self.entry.started_at {
            (self.reported_load, self.service_time_ratio) = (None, 0.0);
            (self.health, self.admission_tokens) = (Health::default(), AdmissionTokens::default());
            self.congestion = Congestion::default();
        }
        self.entry = entry;
    }

    /// Counts an attempt as in flight; a load holds its table group.
    pub fn attempt_started(&mut self, request: &Request, is_load: bool) {
        self.threads_in_flight += request.threads;
        self.siblings.quota.0 -= request.threads;
        self.memory_in_flight_mb += request.granted_memory_mb;
        self.attempts_in_flight += 1;
        if is_load {
            self.loading_groups.push(request.query.table_group);
        }
    }

    /// Assumes that a load of another gateway holds the table group until the given time.
    pub fn mark_loading(&mut self, group: TableGroupId, now: Micros, until: Micros) {
        self.foreign_loading_groups
            .retain(|(loading, until)| *loading != group && *until > now);
        self.foreign_loading_groups.push((group, until));
    }

    /// Records the work of a send, which counts towards the limit of a cold engine during the window.
    pub fn record_send(&mut self, now: Micros, window: Micros, work_core_s: f64) {
        self.recent_sends.retain(|(at, _)| *at + window > now);
        self.recent_sends.push_back((now, work_core_s));
        self.unpublished_work_core_s += work_core_s;
    }

    /// Ends what `attempt_started` counted.
    pub fn attempt_ended(&mut self, request: &Request, is_load: bool) {
        self.threads_in_flight -= request.threads;
        self.memory_in_flight_mb -= request.granted_memory_mb;
        self.attempts_in_flight -= 1;
        let group = request.query.table_group;
        let load_index = self
            .loading_groups
            .iter()
            .position(|loading| *loading == group);
        if let Some(load_index) = load_index.filter(|_| is_load) {
            self.loading_groups.swap_remove(load_index);
        }
    }
}

/// Counts events within a window that ends now. Events of the same time share an entry, so that the number
/// of entries is bounded by the window over the tick, and not by the rate of the events.
#[derive(Default)]
pub(crate) struct SlidingWindow(VecDeque<(Micros, u32)>);

impl SlidingWindow {
    /// Number of entries kept, including those that have left the window since the last addition.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Counts an event; `now` is not before that of an earlier call.
    pub fn add(&mut self, now: Micros, window: Micros) {
        while self.0.front().is_some_and(|(at, _)| *at + window <= now) {
            self.0.pop_front();
        }
        match self.0.back_mut().filter(|(at, _)| *at == now) {
            Some((_, count)) => *count += 1,
            None => self.0.push_back((now, 1)),
        }
    }

    pub fn count(&self, now: Micros, window: Micros) -> f64 {
        let recent = self.0.iter().filter(|(at, _)| *at + window > now);
        recent.map(|(_, count)| f64::from(*count)).sum()
    }
}

/// Keeps the engines that pass the test, or all if none does.
pub(crate) fn prefer(engines: &mut Vec<&EngineView>, test: impl Fn(&EngineView) -> bool) {
    if engines.iter().any(|engine| test(engine)) {
        engines.retain(|engine| test(engine));
    }
}

/// An exponentially weighted moving mean; `None` before the first sample.
#[derive(Clone, Copy, Default)]
pub(crate) struct MovingMean(pub Option<f64>);

impl MovingMean {
    pub fn add(&mut self, gain: f64, sample: f64) {
        let mean = self.0.unwrap_or(sample);
        self.0 = Some(mean + gain * (sample - mean));
    }
}

/// Mean of the work that answers show, and their number.
#[derive(Clone, Copy, Default)]
pub(crate) struct ObservedWork {
    pub mean_us: f64,
    pub answers: u32,
}

impl ObservedWork {
    /// Adds the work of an answered request. The first answers count alike, later ones with `min_gain`.
    pub fn add(&mut self, min_gain: f64, work_us: f64) {
        self.answers = self.answers.saturating_add(1);
        let gain = min_gain.max(1.0 / f64::from(self.answers));
        self.mean_us += gain * (work_us - self.mean_us);
    }
}

/// Learned statistics of a class.
#[derive(Clone, Default)]
pub(crate) struct ClassStats {
    /// Usual log ratio of an attempt's time to its estimated time; `None` before the first answer.
    pub usual_ratio: Option<f64>,
    /// Moving mean of the log ratio of an attempt's time to the usual one: how slow the class is on all
    /// engines.
    pub service_time_ratio: f64,
    /// Mean time of an attempt.
    pub attempt_us: MovingMean,
    /// Mean work of a request by the estimates of clients, which may be wrong.
    pub estimated_work_us: MovingMean,
    /// Work of answered requests.
    pub observed_work: ObservedWork,
    /// Number of requests accepted so far.
    pub accepted_requests: f64,
    /// Learned addition to the memory grant, as a multiple of the estimate.
    pub spill_margin: f64,
}

/// A first-in, first-out queue for each class and tenant. A request that is retried goes to the front.
#[derive(Default)]
pub(crate) struct Queues {
    /// The queues, by class and tenant.
    pub by_class: Vec<Vec<VecDeque<RequestId>>>,
    /// Number of requests queued at siblings, by class and tenant.
    pub sibling_counts: Vec<Vec<usize>>,
}

impl Queues {
    pub fn new(classes: usize, tenants: usize) -> Queues {
        Queues {
            by_class: vec![vec![VecDeque::new(); tenants]; classes],
            sibling_counts: Vec::new(),
        }
    }

    /// Changes the number of classes and tenants. The last queue of a class is always for unknown tenants.
    pub fn resize(&mut self, classes: usize, tenants: usize) {
        self.by_class.resize_with(classes, Vec::new);
        for queues in &mut self.by_class {
            let unknown = queues.pop().unwrap_or_default();
            queues.resize_with(tenants - 1, VecDeque::new);
            queues.push(unknown);
        }
    }

    pub fn add(&mut self, request: &mut Request, front: bool) {
        request.is_queued = true;
        let queue = &mut self.by_class[request.class][request.tenant];
        let index = if front { 0 } else { queue.len() };
        queue.insert(index, request.query.id);
    }

    pub fn remove(&mut self, request: &mut Request) {
        request.is_queued = false;
        let queue = &mut self.by_class[request.class][request.tenant];
        queue.retain(|other| *other != request.query.id);
    }

    fn sibling_counts(&self, class: usize) -> &[usize] {
        self.sibling_counts.get(class).map_or(&[], Vec::as_slice)
    }

    /// Number of queued requests of the class, at this shard and its siblings.
    pub fn len(&self, class: usize) -> usize {
        let own: usize = self.by_class[class].iter().map(VecDeque::len).sum();
        own + self.sibling_counts(class).iter().sum::<usize>()
    }

    /// The newest request of the tenant farthest over its share: the one with the most queued requests per
    /// weight, not counting its first request. `None` if no tenant has two. The first is not counted because,
    /// in queues as short as those of one gateway among hundreds, the only request of a tenant with a small
    /// weight would always be over its share.
    pub fn newest_over_share(&self, class: usize, tenants: &Credit) -> Option<RequestId> {
        let siblings = self.sibling_counts(class);
        let queues = self.by_class[class]
            .iter()
            .zip(&tenants.weights)
            .enumerate();
        let own = queues.filter(|(_, (queue, _))| !queue.is_empty());
        let excesses = own.map(|(tenant, (queue, weight))| {
            let count = queue.len() + siblings.get(tenant).copied().unwrap_or(0);
            ((count - 1) as f64 / weight.max(1e-9), queue.back().copied())
        });
        let largest = excesses.max_by(|a, b| a.0.total_cmp(&b.0));
        largest.filter(|largest| largest.0 > 0.0)?.1
    }

    /// Classes with queued requests, at this shard or a sibling.
    pub fn waiting_classes(&self) -> Vec<usize> {
        let classes = 0..self.by_class.len();
        classes.filter(|&class| self.len(class) > 0).collect()
    }

    /// Tenants with queued requests of the class, at this shard or a sibling.
    pub fn waiting_tenants(&self, class: usize) -> Vec<usize> {
        let (queues, siblings) = (&self.by_class[class], self.sibling_counts(class));
        let at_siblings = |tenant: usize| siblings.get(tenant).is_some_and(|&count| count > 0);
        let tenants = 0..queues.len();
        tenants
            .filter(|&tenant| !queues[tenant].is_empty() || at_siblings(tenant))
            .collect()
    }
}

/// Values computed from all engines, refreshed when engines change.
#[derive(Default)]
pub(crate) struct FleetTotals {
    /// Median of the engines' service time ratios.
    pub median_service_time_ratio: f64,
    /// Number of threads that are this gateway's share of all engines.
    pub share_threads: f64,
    /// Memory that is this gateway's share of all engines.
    pub share_memory_mb: f64,
}

/// Requests of an order key, in order of arrival.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub queue: VecDeque<RequestId>,
    /// Until when no further request is sent, as an earlier one may still run.
    pub quiet_until: Micros,
}

impl KeyQueue {
    /// Removes a request and extends the quiet period to `quiet_until`. Returns the next request if the
    /// removed one was first.
    pub fn remove(&mut self, id: RequestId, quiet_until: Micros) -> Option<RequestId> {
        self.quiet_until = self.quiet_until.max(quiet_until);
        let was_first = self.queue.front() == Some(&id);
        self.queue.retain(|other| *other != id);
        self.queue.front().copied().filter(|_| was_first)
    }
}

/// Weight and credit of each party (class, or tenant of a class), by its index. Credit is in releases.
#[derive(Clone, Default)]
pub(crate) struct Credit {
    pub weights: Vec<f64>,
    pub credit: Vec<f64>,
}

impl Credit {
    pub fn new(weights: Vec<f64>) -> Credit {
        let credit = vec![0.0; weights.len()];
        Credit { weights, credit }
    }
}
