//! What a gateway remembers of requests and engines: plain records, no decisions.

use crate::interface::*;
use crate::shard_usage::SiblingEngineUsage;
use sedgebeam_fleet::Health;
use sedgebeam_fleet::circle::Crowd;
use sedgebeam_fleet::cold::Rights;
use std::collections::VecDeque;

pub(crate) struct Attempt {
    pub engine: EngineId,
    pub sent_at: Micros,
    /// When the engine last sent a note of it.
    pub noted_at: Micros,
    /// `None` while it is out.
    pub outcome: Option<Outcome>,
    /// Called off; its outcome is still to come.
    pub cancelled: bool,
}

impl Attempt {
    pub fn new(engine: EngineId, sent_at: Micros) -> Attempt {
        Attempt {
            engine,
            sent_at,
            noted_at: Micros(0),
            outcome: None,
            cancelled: false,
        }
    }
}

pub(crate) struct Request {
    pub query: Query,
    pub class: usize,
    pub tenant: usize,
    pub threads: f64,
    /// Memory that its attempt that is out holds.
    pub granted_memory_mb: f64,
    /// When it came, or when its key's turn came.
    pub ready_at: Micros,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    /// The fewest that were allowed since it came.
    pub attempts_allowed: usize,
    pub is_queued: bool,
    /// Its final answer has been given; it stays known while an attempt is out.
    pub answered: bool,
    pub answer_started: bool,
    /// When engines were asked for their load on its behalf.
    pub probed_at: Option<Micros>,
}

impl Request {
    pub fn new(
        query: Query,
        tenant: usize,
        threads: f64,
        attempts_allowed: usize,
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
            attempts_allowed,
            is_queued: false,
            answered: false,
            answer_started: false,
            probed_at: None,
        }
    }

    pub fn has_tried(&self, engine: EngineId) -> bool {
        self.attempts.iter().any(|a| a.engine == engine)
    }

    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    /// An attempt ended without a word whether it still runs.
    pub fn may_still_run(&self) -> bool {
        use Outcome::{Cancelled, Reset, TimedOut};
        let ended = self.attempts.iter().filter_map(|a| a.outcome);
        ended
            .into_iter()
            .any(|outcome| matches!(outcome, TimedOut | Reset | Cancelled))
    }

    /// Time that the query would take on its own, by its estimate.
    pub fn estimated_duration_us(&self) -> Option<f64> {
        let work = self.query.work.0 as f64;
        (work > 0.0).then_some(work / self.threads)
    }

    /// The first attempt that may have run or is still out.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        let may = |a: &&Attempt| a.outcome.is_none_or(Outcome::may_have_run);
        self.attempts.iter().find(may)
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
    /// Log ratio of time taken to the class's usual, lately.
    pub service_time_ratio: f64,
    pub pressure_until: Micros,
    /// Threads a core as last told, and when; when it was asked.
    pub report: Option<(f64, Micros)>,
    pub probed_at: Micros,
    /// Table groups that loads of this gateway hold there.
    pub loading_groups: Vec<TableGroupId>,
    /// Table groups that loads of other gateways hold there, as far as is known, and until when.
    pub foreign_loading_groups: Vec<(TableGroupId, Micros)>,
    pub last_seen_at: Micros,
    pub health: Health,
    /// How slow its answers were lately.
    pub congestion: Crowd,
    /// Rights to send to it while it is cold, where a gateway's part is under one query.
    pub admission_tokens: Rights,
    /// Work sent in the last cold window.
    pub recent_sends: VecDeque<(Micros, f64)>,
    /// Work sent that the siblings of this part have not been told of.
    pub unpublished_work_core_s: f64,
    /// Whether siblings have told of it, and what they hold here.
    pub siblings_known: bool,
    pub siblings: SiblingEngineUsage,
}

impl EngineView {
    pub fn is_listed(&self) -> bool {
        self.entry.state == EngineState::Ready
    }

    /// Time since its start, where that is so lately that it is not warm yet.
    pub fn cold_age_us(&self, now: Micros, warm_after: Micros) -> Option<u64> {
        let started = self.entry.started_at;
        let cold = started > Micros(0) && now < started + warm_after;
        cold.then(|| (now - started).0)
    }

    /// Threads out of this part and of its siblings.
    pub fn total_threads(&self) -> f64 {
        self.threads_in_flight + self.siblings.usage.threads
    }

    /// Memory out of this part and of its siblings.
    pub fn total_memory_mb(&self) -> f64 {
        self.memory_in_flight_mb + self.siblings.usage.memory_mb
    }

    /// A load of this part or of a sibling holds the group here.
    pub fn is_loading(&self, group: TableGroupId) -> bool {
        self.loading_groups.contains(&group) || self.siblings.usage.table_groups.contains(&group)
    }

    /// Work sent here within a window that ends now, by all parts.
    pub fn cold_work_core_s(&self, now: Micros, window: Micros) -> f64 {
        let recent = self
            .recent_sends
            .iter()
            .filter(|(at, _)| *at + window > now);
        recent.map(|(_, work)| work).sum::<f64>() + self.siblings.cold_work_core_s
    }

    /// Takes a new entry of the list; what was held against an earlier process does not count.
    pub fn apply(&mut self, entry: Engine, kind: Kind) {
        (self.cores, self.memory_mb) = (kind.cores.max(1.0), kind.memory_mb);
        if entry.started_at > self.entry.started_at {
            (self.report, self.service_time_ratio) = (None, 0.0);
            (self.health, self.admission_tokens) = (Health::default(), Rights::default());
            self.congestion = Crowd::default();
        }
        self.entry = entry;
    }

    /// An attempt goes out; a load holds its table group.
    pub fn attempt_started(&mut self, request: &Request, load: bool) {
        self.threads_in_flight += request.threads;
        self.siblings.quota.0 -= request.threads;
        self.memory_in_flight_mb += request.granted_memory_mb;
        self.attempts_in_flight += 1;
        if load {
            self.loading_groups.push(request.query.table_group);
        }
    }

    pub fn mark_loading(&mut self, group: TableGroupId, now: Micros, until: Micros) {
        self.foreign_loading_groups
            .retain(|(held, until)| *held != group && *until > now);
        self.foreign_loading_groups.push((group, until));
    }

    /// Notes the work of a send, for the window in which a cold engine counts it.
    pub fn record_send(&mut self, now: Micros, window: Micros, work: f64) {
        self.recent_sends.retain(|(at, _)| *at + window > now);
        self.recent_sends.push_back((now, work));
        self.unpublished_work_core_s += work;
    }

    pub fn attempt_ended(&mut self, request: &Request, load: bool) {
        self.threads_in_flight -= request.threads;
        self.memory_in_flight_mb -= request.granted_memory_mb;
        self.attempts_in_flight -= 1;
        let group = request.query.table_group;
        let place = self.loading_groups.iter().position(|held| *held == group);
        if let Some(place) = place.filter(|_| load) {
            self.loading_groups.swap_remove(place);
        }
    }
}

/// Times within a window that ends now.
#[derive(Default)]
pub(crate) struct SlidingWindow(VecDeque<Micros>);

impl SlidingWindow {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn add(&mut self, now: Micros, window: Micros) {
        self.0.retain(|at| *at + window > now);
        self.0.push_back(now);
    }

    pub fn count(&self, now: Micros, window: Micros) -> f64 {
        self.0.iter().filter(|at| **at + window > now).count() as f64
    }
}

/// Keeps the engines that pass the test, or all where none does.
pub(crate) fn prefer(engines: &mut Vec<&EngineView>, test: impl Fn(&EngineView) -> bool) {
    if engines.iter().any(|engine| test(engine)) {
        engines.retain(|engine| test(engine));
    }
}

/// A moving mean; none before the first sample.
#[derive(Clone, Copy, Default)]
pub(crate) struct MovingMean(pub Option<f64>);

impl MovingMean {
    pub fn add(&mut self, gain: f64, sample: f64) {
        let old = self.0.unwrap_or(sample);
        self.0 = Some(old + gain * (sample - old));
    }
}

/// What the gateway has learned of a class.
#[derive(Clone, Default)]
pub(crate) struct ClassStats {
    /// Usual log ratio of time taken to time expected.
    pub usual_ratio: Option<f64>,
    /// Log ratio to that usual, lately: how slow the class is on all engines.
    pub service_time_ratio: f64,
    /// Mean time that an attempt takes, and mean estimate of the work, in microseconds.
    pub attempt_us: MovingMean,
    pub work_us: MovingMean,
    /// How many were taken.
    pub accepted_requests: f64,
    /// Memory needed over the granted estimate.
    pub spill_margin: f64,
}

/// A first-in, first-out line for each class and tenant.
#[derive(Default)]
pub(crate) struct Queues {
    pub by_class: Vec<Vec<VecDeque<RequestId>>>,
    /// How many wait at siblings, by class and tenant.
    pub sibling_counts: Vec<Vec<usize>>,
}

impl Queues {
    pub fn new(classes: usize, tenants: usize) -> Queues {
        Queues {
            by_class: vec![vec![VecDeque::new(); tenants]; classes],
            sibling_counts: Vec::new(),
        }
    }

    /// Makes lines for so many classes and tenants; the last stays that of no known tenant.
    pub fn resize(&mut self, classes: usize, tenants: usize) {
        self.by_class.resize_with(classes, Vec::new);
        for lines in &mut self.by_class {
            let unknown = lines.pop().unwrap_or_default();
            lines.resize_with(tenants - 1, VecDeque::new);
            lines.push(unknown);
        }
    }

    pub fn add(&mut self, request: &mut Request, front: bool) {
        request.is_queued = true;
        let line = &mut self.by_class[request.class][request.tenant];
        let place = if front { 0 } else { line.len() };
        line.insert(place, request.query.id);
    }

    pub fn remove(&mut self, request: &mut Request) {
        request.is_queued = false;
        let line = &mut self.by_class[request.class][request.tenant];
        line.retain(|other| *other != request.query.id);
    }

    fn sibling_counts(&self, class: usize) -> &[usize] {
        self.sibling_counts.get(class).map_or(&[], Vec::as_slice)
    }

    pub fn len(&self, class: usize) -> usize {
        let own: usize = self.by_class[class].iter().map(VecDeque::len).sum();
        own + self.sibling_counts(class).iter().sum::<usize>()
    }

    /// The newest request of the tenant that holds most of the class's queue against its weight, beyond one
    /// request; none where no tenant has two. In queues as short as those of one gateway among hundreds, the
    /// one request of a tenant with a small weight would always be too much.
    pub fn over_share(&self, class: usize, tenants: &Credit) -> Option<RequestId> {
        let elsewhere = self.sibling_counts(class);
        let lines = self.by_class[class]
            .iter()
            .zip(&tenants.weights)
            .enumerate();
        let own = lines.filter(|(_, (line, _))| !line.is_empty());
        let held = own.map(|(tenant, (line, weight))| {
            let all = line.len() + elsewhere.get(tenant).copied().unwrap_or(0);
            ((all - 1) as f64 / weight.max(1e-9), line.back().copied())
        });
        let most = held.max_by(|a, b| a.0.total_cmp(&b.0));
        most.filter(|most| most.0 > 0.0)?.1
    }

    pub fn waiting_classes(&self) -> Vec<usize> {
        let classes = 0..self.by_class.len();
        classes.filter(|&class| self.len(class) > 0).collect()
    }

    pub fn waiting_tenants(&self, class: usize) -> Vec<usize> {
        let (lines, elsewhere) = (&self.by_class[class], self.sibling_counts(class));
        let told = |tenant: usize| elsewhere.get(tenant).is_some_and(|&count| count > 0);
        let tenants = 0..lines.len();
        tenants
            .filter(|&tenant| !lines[tenant].is_empty() || told(tenant))
            .collect()
    }
}

/// What holds for the fleet as a whole, found once a call.
#[derive(Default)]
pub(crate) struct FleetTotals {
    /// The pace of the middle engine.
    pub median_ratio: f64,
    /// This gateway's part of all threads, and of all memory.
    pub thread_share: f64,
    pub memory_share_mb: f64,
}

/// A fixed mixer (splitmix64): what is ordered or drawn by it is so at every gateway alike.
pub fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Requests of a key in the order taken, and until when the key rests.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub queue: VecDeque<RequestId>,
    pub quiet_until: Micros,
}

impl KeyQueue {
    /// A request leaves; the next one, if this had the turn.
    pub fn remove(&mut self, id: RequestId, rests_until: Micros) -> Option<RequestId> {
        self.quiet_until = self.quiet_until.max(rests_until);
        let had_turn = self.queue.front() == Some(&id);
        self.queue.retain(|other| *other != id);
        self.queue.front().copied().filter(|_| had_turn)
    }
}

/// Weights of numbered parties, and the credit of each.
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
