//! Decisions of a gateway: which request is sent to which engine and when, and which requests are given up.
//! Its inputs and outputs are defined in `src/interface.rs`.
//!
//! A request is sent to an engine at once if no request is queued and an engine has a free slot. Otherwise it
//! waits in the queue of its class and tenant until Most Credit First selects it for release.

use crate::fleet_scan::{FleetScan, affects_engines};
use crate::interface::*;
use crate::shard_usage::SiblingState;
use crate::sizing::{OWN_BUDGET_FACTOR, THREADS_PER_CORE, tenant_shares};
use crate::slow_start::observed_work_us;
use crate::state::*;
use crate::subset::Ring;
use sedgebeam_fleet::{ConcurrencyLimit, EjectionPolicy, FAILURES_TO_EJECT, probing, splitmix64};
use std::collections::{BTreeMap, BTreeSet};

/// Limit of a party's credit and of its debt, in releases. It bounds the later effect of an idle period or of
/// many yielded turns.
pub const MAX_CREDIT: f64 = 4.0;
/// A class is light if one of its requests takes less than this share of the thread seconds of a request of
/// the heaviest class.
const LIGHT_CLASS_RATIO: f64 = 0.25;

/// An engine is under pressure if its service times exceed the usual ones by more than this factor.
const MIN_PRESSURE_SLOWDOWN: f64 = 1.5;
/// Slowdown (response time over service time) from which an answer indicates congestion.
pub(crate) const CONGESTION_SLOWDOWN: f64 = 2.0;
/// Multiple of its share of the fleet's memory that a gateway may have in flight, relative to the multiple of
/// its share of the threads.
const MEMORY_PER_THREAD_MULTIPLE: f64 = 0.5;
/// Upper bound of the memory multiple, scaled by the gateway's traffic. Without it, a burst after a calm
/// period, which raises the concurrency limit, could fill engines that page when memory is short.
const MAX_MEMORY_MULTIPLE: f64 = 0.75;
/// How long an engine counts as under pressure after it rejected a query, or reported that a query spills or
/// waits for memory.
const PRESSURE_DURATION: Micros = Micros::from_millis(1000);

/// Smallest bound of a class's number of queued requests: a bound of zero would refuse the smallest burst.
const MIN_QUEUE_BOUND: f64 = 3.0;

/// A load waits if loads of its table group hold more than this share of the engines that it may be sent to.
const MAX_LOADING_SHARE: f64 = 0.4;
/// An engine is skipped in the preference order of a table group if its utilization is more than this
/// multiple of the mean.
const MAX_UTILIZATION_OVER_MEAN: f64 = 1.25;

/// Weight of a new sample in a service time ratio.
const SERVICE_TIME_RATIO_GAIN: f64 = 0.1;
/// Scale of the steps, one per answer, by which the usual service time of a class moves, as a log ratio.
const USUAL_RATIO_STEP: f64 = 0.03;
/// Quantile of service times that counts as usual: below the median, so that congestion doesn't become usual.
const USUAL_RATIO_QUANTILE: f64 = 0.4;
/// Smallest share of its cores that an engine is assumed to have, however slow it appears.
const MIN_CORES_SHARE: f64 = 0.2;

/// Delay before the gateway subscribes again after the engine list failed.
const LIST_RETRY_DELAY: Micros = Micros::from_millis(2000);

/// Number of note intervals without a note after which an attempt counts as lost, or an engine with attempts
/// in flight as silent.
const MAX_MISSED_NOTES: f64 = 2.5;
/// A plan is bad if, by the progress so far, the remaining time exceeds this multiple of a new attempt's.
const BAD_PLAN_FACTOR: f64 = 2.5;
/// An engine is stalled if, by its progress, an attempt takes over this multiple of a new attempt's time.
const STALL_FACTOR: f64 = 6.0;
/// An attempt without recent notes is overdue after this multiple of a new attempt's time.
const OVERDUE_FACTOR: f64 = 5.0;
/// The same for a query that may have waited for a load, as its time varies more.
const OVERDUE_FACTOR_BEHIND_LOAD: f64 = 8.0;

/// Memory grant as a multiple of the estimate, before spills are learned.
const GRANT_FACTOR: f64 = 1.25;
/// Weight of a spill note in the margin that is added to the grant factor.
const SPILL_MARGIN_GAIN: f64 = 0.1;
/// Upper bound of the spill margin, as a multiple of the estimate.
const MAX_SPILL_MARGIN: f64 = 3.0;
/// Share of the spill margin that each answer removes.
const SPILL_MARGIN_DECAY: f64 = 0.005;
/// Highest priority of an attempt; the lowest is 1.
const MAX_PRIORITY: usize = 3;

/// Weight of a new sample in a moving mean.
const MEAN_GAIN: f64 = 0.05;
/// Limit of one answer's effect on a service time ratio, as a log ratio: a heavy query is not a slow engine.
const MAX_LOG_RATIO_DEVIATION: f64 = 1.5;

/// How long another gateway's load is assumed to run once a query of this gateway waits for it.
const FOREIGN_LOAD_DURATION: Micros = Micros::from_millis(800);
/// Interval of the timer that checks requests and their attempts.
const CHECK_INTERVAL: Micros = Micros::from_millis(10);

/// A load report expires after this. An engine without a report counts as having a free slot.
const REPORT_TTL: Micros = Micros::from_millis(3000);
/// A load report younger than this makes a probe unnecessary; a probe unanswered for this long has failed.
const PROBE_TTL: Micros = Micros::from_millis(150);
/// Reported threads per core from which an engine has no free slot. An engine that reports that all its cores
/// are busy counts as 2 threads per core.
const FULL_REPORTED_LOAD: f64 = 1.8;
/// The same for a light class where engines heed priorities, as its queries run ahead of the others.
const FULL_REPORTED_LOAD_LIGHT_CLASS: f64 = 2.0 * FULL_REPORTED_LOAD;

/// Most Credit First among numbered parties: the classes, or the tenants of one class.
impl Credit {
    /// Sorts the waiting parties by their credit, the largest first.
    fn sorted_by_credit(&self, mut waiting: Vec<usize>) -> Vec<usize> {
        waiting.sort_by(|a, b| self.credit[*b].total_cmp(&self.credit[*a]));
        waiting
    }

    /// Charges a release: the released party pays the price, and every waiting party, the released one
    /// included, earns a share of it in proportion to its weight.
    fn charge(&mut self, waiting: &[usize], released: usize, price: f64) {
        let total_weight: f64 = waiting.iter().map(|&party| self.weights[party]).sum();
        for &party in waiting {
            let earned_share = self.weights[party] / total_weight.max(f64::MIN_POSITIVE);
            let paid_share = f64::from(u8::from(party == released));
            let credit = self.credit[party] + price * (earned_share - paid_share);
            self.credit[party] = credit.clamp(-MAX_CREDIT, MAX_CREDIT);
        }
    }
}

impl EngineView {
    /// Number of cores less those lost to slow hardware or a noisy neighbour, as far as service times show.
    fn effective_cores(&self, median_service_time_ratio: f64) -> f64 {
        let share = (median_service_time_ratio - self.service_time_ratio).exp();
        self.cores * share.clamp(MIN_CORES_SHARE, 1.0)
    }

    /// Whether the engine is ejected, or was ejected and its trial attempt is in flight.
    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        self.health.is_ejected(now.0, self.attempts_in_flight > 0)
    }
}

/// The state machine of one gateway.
#[derive(Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) now: Micros,
    /// Nothing is sent to cold engines for one overload window after this. It is the time of the first call,
    /// of a change of the slow start's settings, or of the last update in which a peer process could send to
    /// them.
    pub(crate) started_at: Option<Micros>,
    pub(crate) engines: BTreeMap<EngineId, EngineView>,
    pub(crate) ring: Ring,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) queues: Queues,
    pub(crate) class_credit: Credit,
    /// Credit of the tenants, by class.
    pub(crate) tenant_credit: Vec<Credit>,
    pub(crate) siblings: SiblingState,
    /// Learned statistics, by class.
    pub(crate) stats: Vec<ClassStats>,
    pub(crate) fleet: FleetTotals,
    pub(crate) scan: FleetScan,
    /// Seeds the pseudo-random choices that differ among gateways.
    pub(crate) seed: u64,
    /// See `Settings::has_small_share`.
    pub(crate) has_small_share: bool,
    /// Multiple of its share of the fleet that this gateway may have in flight.
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) ejection_policy: EjectionPolicy,
    /// Mean over the accepted requests.
    mean_worth: MovingMean,
    /// Mean thread time and mean elapsed time of the answered attempts; their ratio is the mean number of
    /// threads of a query in flight.
    mean_thread_time_us: MovingMean,
    mean_attempt_time_us: MovingMean,
    /// Requests of the classes that run in key order, by key.
    pub(crate) key_queues: BTreeMap<Key, KeyQueue>,
    /// Times of accepted requests, and of attempts after a request's first, within the attempt budget's
    /// window.
    pub(crate) accepted: SlidingWindow,
    pub(crate) extra_attempts: SlidingWindow,
    /// When to subscribe to the engine list, at the start or again after it failed.
    resubscribe_at: Option<Micros>,
    is_timer_set: bool,
    /// Requests that arrived in this call.
    arrived_requests: Vec<RequestId>,
    actions: Vec<Action>,
}

impl Gateway {
    /// Creates a gateway without engines or statistics. `seed` makes the pseudo-random choices of gateways
    /// differ.
    pub fn new(settings: Settings, seed: u64) -> Gateway {
        let subscribes = settings.list_mode == ListMode::OnRequest;
        let worths = settings.classes.iter().map(|class| class.worth.max(0.0));
        let shares = tenant_shares(&settings.tenants);
        Gateway {
            queues: Queues::new(settings.classes.len(), settings.tenants.len() + 1),
            class_credit: Credit::new(worths.collect()),
            tenant_credit: vec![Credit::new(shares); settings.classes.len()],
            stats: vec![ClassStats::default(); settings.classes.len()],
            resubscribe_at: subscribes.then_some(Micros(0)),
            has_small_share: settings.has_small_share(),
            concurrency_limit: settings.concurrency_limit(),
            ejection_policy: settings.ejection_policy(),
            settings,
            seed,
            ..Gateway::default()
        }
    }

    /// Applies the events and returns the actions to execute, in order. A `now` before that of an earlier
    /// call counts as the latest time seen.
    pub fn handle(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        self.now = self.now.max(now);
        self.started_at.get_or_insert(now);
        for event in events {
            self.scan.is_outdated |= affects_engines(&event);
            self.apply_event(event);
        }
        self.refresh_scan();
        self.grow_admission_tokens();
        self.check_requests();
        while self.release_next().is_some() {}
        self.refuse_over_queue_bound();
        let needs_timer = !self.requests.is_empty() || self.resubscribe_at.is_some();
        if needs_timer && !std::mem::replace(&mut self.is_timer_set, true) {
            let (timer, at) = (TimerId(0), self.now + CHECK_INTERVAL);
            self.actions.push(Action::Timer { timer, at });
        }
        std::mem::take(&mut self.actions)
    }

    /// Updates the state by one event. Returns `None` if the event does not apply, as for an unknown request.
    fn apply_event(&mut self, event: Event) -> Option<()> {
        match event {
            Event::List { kind, engines } => self.update_engine_list(kind, engines),
            Event::ListFailed => self.resubscribe_at = Some(self.now + LIST_RETRY_DELAY),
            Event::Request(query) => self.admit(query)?,
            Event::Started(request, _) => self.requests.get_mut(&request)?.answer_started = true,
            Event::Note(request, attempt, note) => self.handle_note(request, attempt, note)?,
            Event::Ended(end) => self.attempt_ended(end)?,
            Event::ClientLeft(id) => self.close_request(id)?,
            Event::Probed(id, outcome, load) => {
                self.record_reply(id, outcome == Outcome::Ok, load)?
            }
            Event::Timer(_) => self.is_timer_set = false,
            Event::Shutdown => self.shut_down(),
        }
        Some(())
    }

    /// Applies changed entries, or a complete list whose missing engines no longer exist. An engine that is
    /// not ready stays known while an attempt is in flight on it.
    fn update_engine_list(&mut self, list_kind: ListKind, entries: Vec<Engine>) {
        let entry_ids: BTreeSet<EngineId> = entries.iter().map(|entry| entry.id).collect();
        for (id, engine) in &mut self.engines {
            if list_kind != ListKind::Changes && !entry_ids.contains(id) {
                engine.entry.state = EngineState::Gone;
            }
        }
        for entry in entries {
            let engine_kind = entry.kind.and_then(|kind| self.settings.kinds.get(kind.0));
            let engine_kind = engine_kind.cloned().unwrap_or_default();
            self.ring.add(entry.id);
            self.engines
                .entry(entry.id)
                .or_default()
                .apply_entry(entry, engine_kind);
        }
        let is_kept = |engine: &EngineView| engine.is_listed() || engine.attempts_in_flight > 0;
        self.engines.retain(|_, engine| is_kept(engine));
        self.ring.retain(|id| self.engines.contains_key(&id));
    }

    /// Threads that this gateway may have in flight on an engine under pressure.
    pub(crate) fn thread_budget(&self, engine: &EngineView) -> f64 {
        engine.effective_cores(self.fleet.median_service_time_ratio) * THREADS_PER_CORE
            / self.settings.gateway_count()
    }

    /// Threads per core that the engine reported; `None` if the last report has expired.
    fn recent_reported_load(&self, engine: &EngineView) -> Option<f64> {
        let (load, at) = engine.reported_load?;
        (self.now < at + REPORT_TTL).then_some(load)
    }

    /// This gateway's threads in flight per core of the engine. If the gateway's share is small they say
    /// little about the engine, so the slowdown of its recent answers is added.
    fn utilization(&self, engine: &EngineView) -> f64 {
        let own_threads_per_core =
            engine.total_threads() / engine.effective_cores(self.fleet.median_service_time_ratio);
        let slowdown = engine.congestion.slowdown(self.now.0);
        own_threads_per_core + if self.has_small_share { slowdown } else { 0.0 }
    }

    /// Whether the engine has a free slot for the request. If the gateway's share is small, the reported load
    /// decides. Otherwise an idle engine always has a slot, and further queries must fit the thread budget,
    /// which is strict under pressure, and this gateway's share of the memory, as spills multiply the work.
    /// Memory estimates that are far too high may hold queries back.
    fn has_slot(&self, engine: &EngineView, request: &Request) -> bool {
        let under_pressure = engine.service_time_ratio > MIN_PRESSURE_SLOWDOWN.ln()
            || self.now < engine.pressure_until;
        let max_threads = self.thread_budget(engine)
            * if under_pressure {
                1.0
            } else {
                OWN_BUDGET_FACTOR
            };
        let memory_mb = engine.total_memory_mb() + self.required_memory_mb(request);
        let memory_fits = memory_mb * self.settings.gateway_count() <= engine.memory_mb;
        if request.threads > self.thread_quota(engine) {
            return false;
        }
        if self.has_small_share {
            let runs_ahead = self.settings.takes_priorities && self.is_light_class(request.class);
            let full_load = if runs_ahead {
                FULL_REPORTED_LOAD_LIGHT_CLASS
            } else {
                FULL_REPORTED_LOAD
            };
            return self
                .recent_reported_load(engine)
                .is_none_or(|load| load < full_load);
        }
        engine.total_threads() == 0.0
            || (engine.total_threads() + request.threads <= max_threads && memory_fits)
    }

    /// Whether this gateway's share of the fleet has threads and memory left for the request. Applies only if
    /// the gateway's share of an engine is under one query. The share is multiplied by the concurrency limit,
    /// which follows the congestion that answers indicate: a fixed limit would refuse random bursts that
    /// engines could run. Only a random fraction of the query must fit, as even the share of the fleet may be
    /// under one query. Heavy queries in flight do not count against light ones, which take little. The cost
    /// is that a flood of light queries comes on top of the heavy ones.
    fn fits_fleet_share(&self, request: &Request) -> bool {
        if !self.has_small_share {
            return true;
        }
        let is_light = self.is_light_class(request.class);
        let (mut threads, mut memory_mb) = (0.0, 0.0);
        let uses_share =
            |other: &&Request| other.attempts_in_flight() > 0 && !self.is_on_cold_engine(other);
        let usages = self.requests.values().filter(uses_share);
        let usages = usages.map(|other| (other.class, other.threads, other.granted_memory_mb));
        for (class, class_threads, class_memory_mb) in usages.chain(self.siblings.class_usage()) {
            if !is_light || self.is_light_class(class) {
                threads += class_threads;
                memory_mb += class_memory_mb;
            }
        }
        // Light queries take little and run first on engines, so they may always use the full share.
        let share_multiple = self
            .concurrency_limit
            .limit(if is_light { 1.0 } else { 0.0 });
        let random_fraction = self.pseudo_random(request.query.id.0);
        let max_memory_mb = self.fleet.share_memory_mb
            * (MEMORY_PER_THREAD_MULTIPLE * share_multiple)
                .min(MAX_MEMORY_MULTIPLE * self.concurrency_limit.traffic_ratio());
        request.threads <= self.siblings.quota.0
            && threads + random_fraction * request.threads
                <= self.fleet.share_threads * share_multiple
            && (self.settings.queues_for_memory
                || memory_mb + random_fraction * self.required_memory_mb(request) <= max_memory_mb)
    }

    /// Memory that the query needs, by its estimate and the learned spill margin of its class.
    fn required_memory_mb(&self, request: &Request) -> f64 {
        request.query.memory_mb * (GRANT_FACTOR + self.stats[request.class].spill_margin)
    }

    /// Accepts a request: sends it if no request is queued and an engine has a free slot, else queues it.
    fn admit(&mut self, query: Query) -> Option<()> {
        let (id, class) = (query.id, query.class.0);
        let class_settings = self.settings.classes.get(class)?;
        if self.requests.contains_key(&id) {
            return None;
        }
        if let Some(budget) = self.settings.attempt_budget {
            self.accepted.add(self.now, budget.window);
        }
        if query.work > Micros(0) {
            self.stats[class]
                .estimated_work_us
                .add(MEAN_GAIN, query.work.0 as f64);
        }
        self.mean_worth.add(MEAN_GAIN, class_settings.worth);
        self.stats[class].accepted_requests += 1.0;
        self.concurrency_limit.record_request(self.now.0);
        if let Some(key) = query.key.filter(|_| class_settings.in_key_order) {
            self.key_queues.entry(key).or_default().queue.push_back(id);
        }
        let unknown = self.settings.tenants.len();
        let tenant = query.tenant.map_or(unknown, |tenant| tenant.0.min(unknown));
        let max_attempts = self.settings.attempt_limit();
        let request = Request::new(
            query,
            tenant,
            class_settings.threads,
            max_attempts,
            self.now,
        );
        self.requests.insert(id, request);
        self.arrived_requests.push(id);
        self.probe_candidates(id);
        let queues_empty = self.queues.waiting_classes().is_empty();
        if let Some(engine) = self.choose_engine(id).filter(|_| queues_empty) {
            return self.send(id, engine);
        }
        self.queues.add(self.requests.get_mut(&id)?, false);
        Some(())
    }

    /// Probes the preferred engines for their load before a query that is not light is sent. Probes are used
    /// only if the gateway's share of an engine is small.
    fn probe_candidates(&mut self, id: RequestId) -> Option<()> {
        let is_enabled =
            self.settings.load_reports == LoadReportMode::InProbes && self.settings.may_probe;
        let request = self.requests.get(&id)?;
        if !is_enabled || self.is_light_class(request.class) || !self.has_small_share {
            return None;
        }
        let probe_count = self.probe_count(request.class);
        let mut candidates = self.eligible_engines(request);
        self.narrow_to_subset(&mut candidates);
        self.sort_by_preference(request, &mut candidates);
        let preferred = candidates
            .iter()
            .take(probe_count)
            .map(|engine| engine.entry.id);
        let candidate_ids: Vec<EngineId> = preferred.collect();
        let now = self.now;
        for engine_id in candidate_ids {
            let engine = self.engines.get_mut(&engine_id)?;
            let is_fresh = engine
                .reported_load
                .is_some_and(|(_, at)| now < at + PROBE_TTL);
            if !is_fresh && now >= engine.probed_at + PROBE_TTL {
                engine.probed_at = now;
                self.actions.push(Action::Probe { engine: engine_id });
            }
        }
        self.requests.get_mut(&id)?.probed_at = Some(now);
        Some(())
    }

    /// Number of engines probed for a query of the class.
    fn probe_count(&self, class: usize) -> usize {
        let (cost, worth) = (self.settings.probe_cost, self.settings.classes[class].worth);
        probing::probe_count(cost, worth, self.mean_worth.0.unwrap_or(worth))
    }

    /// Refuses requests over the queue bound of their class, after everything that engines can take was
    /// released. The bound is the number of requests that can be released within the time limit of the class.
    /// The newest request of the tenant farthest over its share is refused first: otherwise a tenant that
    /// floods the queue would get the requests of others refused.
    fn refuse_over_queue_bound(&mut self) {
        for id in std::mem::take(&mut self.arrived_requests).into_iter().rev() {
            let request = self.requests.get(&id).filter(|request| request.is_queued);
            let class = request.map_or(0, |request| request.class);
            let max_wait_s = self.settings.classes[class].on_time.0 as f64 / 1e6;
            let max_queued = self.release_rate(class) * max_wait_s;
            if request.is_some() && self.queues.len(class) as f64 > max_queued.max(MIN_QUEUE_BOUND)
            {
                let refused_id = self
                    .queues
                    .newest_over_share(class, &self.tenant_credit[class]);
                self.give_up(refused_id.unwrap_or(id));
            }
        }
    }

    /// Whether a request of the class takes far less thread time than one of the heaviest class.
    fn is_light_class(&self, class: usize) -> bool {
        let costs = self
            .settings
            .active_classes()
            .map(|other| self.mean_thread_seconds(other));
        self.mean_thread_seconds(class) < LIGHT_CLASS_RATIO * costs.fold(0.0, f64::max)
    }

    /// Mean thread seconds of a request of the class. Before the first answer, its time limit counts as its
    /// time.
    pub(crate) fn mean_thread_seconds(&self, class: usize) -> f64 {
        let class_settings = &self.settings.classes[class];
        let on_time_us = class_settings.on_time.0 as f64;
        let attempt_us = self.stats[class]
            .attempt_us
            .0
            .unwrap_or(on_time_us)
            .max(1000.0);
        class_settings.threads.max(1.0) * attempt_us / 1e6
    }

    /// Credit that a release of the class costs: 1, or for a light class the ratio of its thread seconds to
    /// those of the heaviest queued class. At equal prices, one heavy query would be released per light one,
    /// which would starve the light class although all its queries together take little. If no class is
    /// light, every release costs 1.
    fn release_price(&self, class: usize) -> f64 {
        let waiting = self.queues.waiting_classes();
        let costs = waiting.iter().map(|&other| self.mean_thread_seconds(other));
        let cost_ratio =
            self.mean_thread_seconds(class) / costs.fold(self.mean_thread_seconds(class), f64::max);
        if cost_ratio < LIGHT_CLASS_RATIO {
            cost_ratio
        } else {
            1.0
        }
    }

    /// Expected releases of the class per second while it and all classes that are queued now stay queued.
    fn release_rate(&self, class: usize) -> f64 {
        let mut waiting = self.queues.waiting_classes();
        waiting.retain(|other| *other != class);
        waiting.push(class);
        let worth = |class: usize| self.settings.classes[class].worth;
        let weight = |class| (worth(class) / self.release_price(class)).max(1e-9);
        let costs = waiting
            .iter()
            .map(|&other| weight(other) * self.mean_thread_seconds(other));
        let total_cost: f64 = costs.sum();
        self.fleet.share_threads * weight(class) / total_cost
    }

    /// Sends the next queued request, if one can be sent, and charges its class and tenant.
    fn release_next(&mut self) -> Option<()> {
        let (id, engine) = self.choose_release()?;
        let request = self.requests.get(&id)?;
        let (class, tenant, price) = (
            request.class,
            request.tenant,
            self.release_price(request.class),
        );
        let classes = self.queues.waiting_classes();
        self.class_credit.charge(&classes, class, price);
        let tenants = self.queues.waiting_tenants(class);
        self.tenant_credit[class].charge(&tenants, tenant, 1.0);
        self.queues.remove(self.requests.get_mut(&id)?);
        self.send(id, engine)
    }

    /// The request to release next, and its engine. A class or tenant yields its turn if no engine has a slot
    /// for it.
    fn choose_release(&self) -> Option<(RequestId, EngineId)> {
        for class in self
            .class_credit
            .sorted_by_credit(self.queues.waiting_classes())
        {
            for tenant in
                self.tenant_credit[class].sorted_by_credit(self.queues.waiting_tenants(class))
            {
                let queue = self.queues.by_class[class][tenant].iter();
                for request in queue.filter_map(|id| self.requests.get(id)) {
                    let id = request.query.id;
                    if let Some(engine) = self.choose_engine(id) {
                        return Some((id, engine));
                    }
                    // Key order, engines tried before and a loading table group may block this request but
                    // not the next one of the queue.
                    let is_load = self.settings.classes[class].holds_group;
                    if !is_load && request.attempts.is_empty() && self.key_order_allows(request) {
                        break;
                    }
                }
            }
        }
        None
    }

    /// The engine to send the request to: of those with a slot, the first in preference order whose
    /// utilization is near the mean, else the least utilized.
    fn choose_engine(&self, id: RequestId) -> Option<EngineId> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        let group = request.query.table_group;
        let fits_share = self.fits_fleet_share(request);
        if !fits_share && !self.uses_admission_tokens() {
            return None;
        }
        let mut eligible = self.eligible_engines(request);
        // Admission tokens allow sends to cold engines on top of the fleet share.
        if !fits_share {
            eligible.retain(|engine| self.is_cold(engine, self.now));
        }
        // A query that waits for a load of its table group holds memory and threads meanwhile. Loads run on
        // few engines so that most engines stay usable for these queries.
        let is_loading = |engine: &EngineView| self.is_loading(engine, group);
        if class.holds_group || class.waits_for_load {
            let loading_count = eligible.iter().filter(|engine| is_loading(engine)).count();
            if class.holds_group && loading_count as f64 > MAX_LOADING_SHARE * eligible.len() as f64
            {
                return None;
            }
            prefer(&mut eligible, |engine| !is_loading(engine));
        }
        self.narrow_to_subset(&mut eligible);
        let utilization = |engine: &EngineView| self.utilization(engine);
        let mean_utilization = eligible
            .iter()
            .map(|engine| utilization(engine))
            .sum::<f64>()
            / eligible.len() as f64;
        if let Some(probed_at) = request.probed_at {
            let has_fresh_report = |engine: &EngineView| {
                engine
                    .reported_load
                    .is_some_and(|(_, at)| at + PROBE_TTL > probed_at)
            };
            let awaits_report = |engine: &&EngineView| {
                engine.probed_at + PROBE_TTL > probed_at && !has_fresh_report(engine)
            };
            if self.now < probed_at + PROBE_TTL && eligible.iter().any(awaits_report) {
                return None;
            }
            // If probes are not repeated, an engine without a report is preferred to one without a slot.
            if !probing::may_probe_repeatedly(self.probe_count(request.class)) {
                eligible.retain(|engine| self.has_slot(engine, request));
            }
            prefer(&mut eligible, has_fresh_report);
        }
        eligible.retain(|engine| self.has_slot(engine, request));
        prefer(&mut eligible, |engine| !request.has_tried(engine.entry.id));
        // Admission tokens for heavy queries are rare and expire if they are not used.
        if self.uses_admission_tokens() {
            prefer(&mut eligible, |engine| self.is_cold(engine, self.now));
        }
        self.sort_by_preference(request, &mut eligible);
        let is_near_mean = |engine: &&&EngineView| {
            utilization(engine) <= MAX_UTILIZATION_OVER_MEAN * mean_utilization
        };
        let least_utilized = || {
            eligible
                .iter()
                .min_by(|a, b| utilization(a).total_cmp(&utilization(b)))
        };
        let chosen = eligible.iter().find(is_near_mean).or_else(least_utilized);
        chosen.map(|engine| engine.entry.id)
    }

    /// Engines that the request may be sent to, sorted by id; ejected ones only if there are no others.
    fn eligible_engines(&self, request: &Request) -> Vec<&EngineView> {
        if !self.may_send_now(request) {
            return Vec::new();
        }
        let engines = self.engines.values();
        let mut eligible = engines
            .filter(|engine| self.may_send_to(request, engine))
            .collect();
        prefer(&mut eligible, |engine| !engine.is_ejected(self.now));
        eligible
    }

    /// Sorts engines by a hash of their id and the request's table group. If many gateways share each engine,
    /// the order starts at a random engine of the first half: with one order, all gateways would send the
    /// queries of a hot group to one engine. Loads start from the other end if queries wait for them.
    fn sort_by_preference(&self, request: &Request, engines: &mut Vec<&EngineView>) {
        let group = request.query.table_group;
        engines.sort_by_key(|engine| splitmix64(splitmix64(group.0) ^ engine.entry.id.0));
        if self.has_small_share && !engines.is_empty() {
            let queries_wait = self
                .settings
                .classes
                .iter()
                .any(|class| class.waits_for_load);
            if self.settings.classes[request.class].holds_group && queries_wait {
                engines.reverse();
            }
            let half = engines.len() as f64 / 2.0;
            let probed_at_us = request.probed_at.map_or(0, |at| at.0);
            let random_fraction = self.pseudo_random(request.query.id.0 ^ probed_at_us);
            engines.rotate_left((random_fraction * half) as usize);
        }
    }

    /// Records a reply of the engine: its load if reported, and, if the reply is healthy, that it responds.
    fn record_reply(
        &mut self,
        id: EngineId,
        is_healthy: bool,
        load_report: Option<LoadReport>,
    ) -> Option<()> {
        let engine = self.engines.get_mut(&id)?;
        if load_report.and_then(|report| report.queries_waiting_for_memory) >= Some(1.0) {
            engine.pressure_until = self.now + PRESSURE_DURATION;
        }
        let (thread_time_us, attempt_time_us) =
            (self.mean_thread_time_us.0, self.mean_attempt_time_us.0);
        let mean_threads = thread_time_us
            .zip(attempt_time_us)
            .map_or(1.0, |(thread_time, time)| thread_time / time);
        let report = load_report.unwrap_or_default();
        let active_load = report
            .active_queries
            .map(|queries| queries * mean_threads / engine.cores);
        let busy_load = report
            .busy_cores_share
            .map(|busy_share| busy_share * THREADS_PER_CORE);
        let granted_load = report
            .granted_memory_share
            .map(|share| share * FULL_REPORTED_LOAD);
        let loads = [active_load, busy_load, granted_load].into_iter().flatten();
        if let Some(load) = loads.max_by(f64::total_cmp) {
            engine.reported_load = Some((load, self.now));
        }
        if is_healthy {
            engine.last_seen_at = self.now;
            if engine.health.mark_responsive() {
                let log = format!("engine {} is no longer ejected", id.0);
                self.actions.push(Action::Log(log));
            }
        }
        Some(())
    }

    /// Records that the engine is short of memory or full.
    fn record_pressure(&mut self, id: EngineId) -> Option<()> {
        self.engines.get_mut(&id)?.pressure_until = self.now + PRESSURE_DURATION;
        Some(())
    }

    /// Records consecutive failures of the engine. From `FAILURES_TO_EJECT` on, they eject it for a while.
    fn record_failure(&mut self, id: EngineId, failures: u32, reason: &str) -> Option<()> {
        self.scan.is_outdated = true;
        let engine = self.engines.get_mut(&id)?;
        if engine
            .health
            .record_failures(failures, self.now.0, self.ejection_policy)
        {
            let log = format!("engine {} ejected: {reason}", id.0);
            self.actions.push(Action::Log(log));
        }
        Some(())
    }

    /// Handles an attempt that hardly progresses, by its note or the lack of notes, as its engine is stalled.
    /// The reported load of a stalled engine may be low, as queries that wait for disks use no cores. Returns
    /// `None` and does nothing if the gateway's share of an engine is not small: that gateway sees the
    /// engine often enough to go by its service times, and one slow attempt is as likely its own fault.
    fn record_stall(&mut self, id: EngineId, sent_at: Micros) -> Option<()> {
        if !self.has_small_share {
            return None;
        }
        // If other attempts are answered as quickly as ever, this one has a bad plan.
        if self.has_answered_quickly_since(id, sent_at) {
            return Some(());
        }
        let random_fraction = self.pseudo_random(id.0 ^ self.now.0);
        self.scan.is_outdated = true;
        let engine = self.engines.get_mut(&id)?;
        if engine
            .health
            .record_stall(self.now.0, self.ejection_policy, random_fraction)
        {
            let log = format!("engine {} ejected: its queries hardly progress", id.0);
            self.actions.push(Action::Log(log));
        }
        self.concurrency_limit.adjust(true);
        Some(())
    }

    fn has_answered_quickly_since(&self, id: EngineId, sent_at: Micros) -> bool {
        let engine = self.engines.get(&id);
        engine.is_some_and(|engine| engine.health.has_responded_fast_since(sent_at.0))
    }

    /// A pseudo-random number from 0 to 1 that depends on `salt` and differs between gateways.
    fn pseudo_random(&self, salt: u64) -> f64 {
        splitmix64(self.seed ^ splitmix64(salt)) as f64 / u64::MAX as f64
    }

    /// Counts a reset or an error against an engine once another engine has served the same request, as a
    /// faulty client sends hundreds of requests that fail on every engine. If the request must not be sent
    /// again, it counts at once.
    fn attribute_failure(
        &mut self,
        id: RequestId,
        engine_id: EngineId,
        outcome: Outcome,
    ) -> Option<()> {
        let request = self.requests.get(&id)?;
        let is_failure = |outcome: &Outcome| matches!(outcome, Outcome::Reset | Outcome::Error);
        let mut faulty_engines: Vec<EngineId> = Vec::new();
        if outcome == Outcome::Ok {
            let earlier = request.attempts.iter();
            let earlier = earlier.filter(|attempt| {
                attempt.engine != engine_id && attempt.outcome.as_ref().is_some_and(is_failure)
            });
            faulty_engines.extend(earlier.map(|attempt| attempt.engine));
            self.engines
                .get_mut(&engine_id)?
                .health
                .record_success(self.now.0);
        } else if self.settings.classes[request.class].effect == Effect::Once {
            faulty_engines.push(engine_id);
        }
        for id in faulty_engines {
            let engine = self.engines.get_mut(&id);
            if engine.is_some_and(|engine| engine.health.record_engine_error()) {
                self.record_failure(
                    id,
                    FAILURES_TO_EJECT,
                    "fails requests that other engines serve",
                );
            }
        }
        Some(())
    }

    /// Whether an answer indicates congestion: it took long for its work, or the engine reported a load over
    /// its capacity. Queries that wait for memory are no congestion, as they cost no work.
    fn indicates_congestion(&self, request: &Request, end: &AttemptEnded) -> bool {
        // The threshold is twice as high if the work is only estimated: a heavy query is no congestion.
        let factor = if end.work.is_some() {
            1.0
        } else {
            CONGESTION_SLOWDOWN
        };
        let engine = self.engines.get(&end.engine);
        self.slowdown(request, end) > CONGESTION_SLOWDOWN * factor
            || engine.and_then(|engine| self.recent_reported_load(engine))
                > Some(FULL_REPORTED_LOAD)
    }

    /// Updates the statistics of the class and the engine from an answer.
    fn learn_from_answer(
        &mut self,
        id: RequestId,
        engine_id: EngineId,
        end: &AttemptEnded,
    ) -> Option<()> {
        self.concurrency_limit
            .adjust(self.indicates_congestion(self.requests.get(&id)?, end));
        let request = self.requests.get(&id)?;
        let slowdown = self.slowdown(request, end);
        let stats = &mut self.stats[request.class];
        let elapsed_us = end.elapsed.0.max(1) as f64;
        let log_ratio = (elapsed_us / request.estimated_duration_us().unwrap_or(1e6)).ln();
        let usual_ratio = stats.usual_ratio.get_or_insert(log_ratio);
        let deviation =
            (log_ratio - *usual_ratio).clamp(-MAX_LOG_RATIO_DEVIATION, MAX_LOG_RATIO_DEVIATION);
        let step = USUAL_RATIO_QUANTILE - f64::from(u8::from(deviation < 0.0));
        *usual_ratio += USUAL_RATIO_STEP * step;
        stats.service_time_ratio +=
            SERVICE_TIME_RATIO_GAIN * (deviation - stats.service_time_ratio);
        stats.attempt_us.add(MEAN_GAIN, elapsed_us);
        stats
            .observed_work
            .add(MEAN_GAIN, observed_work_us(request, end));
        self.mean_thread_time_us
            .add(MEAN_GAIN, elapsed_us * request.threads);
        self.mean_attempt_time_us.add(MEAN_GAIN, elapsed_us);
        stats.spill_margin *= 1.0 - SPILL_MARGIN_DECAY;
        if let Some(engine) = self.engines.get_mut(&engine_id) {
            engine.service_time_ratio +=
                SERVICE_TIME_RATIO_GAIN * (deviation - engine.service_time_ratio);
            engine.congestion.record(self.now.0, slowdown);
            if slowdown < CONGESTION_SLOWDOWN {
                engine.health.record_fast_response(self.now.0);
            }
        }
        Some(())
    }

    /// Whether the request may be sent to the engine now. `send` calls this for every send, so it checks
    /// every rule that a send could violate.
    fn may_send(&self, request: &Request, engine: &EngineView) -> bool {
        self.may_send_now(request) && self.may_send_to(request, engine)
    }

    /// Whether the request may be sent to any engine now.
    fn may_send_now(&self, request: &Request) -> bool {
        !request.is_answered && self.key_order_allows(request) && self.attempt_limits_allow(request)
    }

    /// Whether this engine may get the request, if it may be sent at all now.
    fn may_send_to(&self, request: &Request, engine: &EngineView) -> bool {
        engine.is_listed()
            && self.placement_allows(request, &engine.entry)
            && self.effect_allows(request, &engine.entry)
            && self.slow_start_allows(request, engine)
    }

    /// Whether the class may run on this kind of engine and in this zone.
    fn placement_allows(&self, request: &Request, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.class];
        let kinds = class.only_kinds.as_ref();
        let zones = class.only_zones.as_ref();
        kinds.is_none_or(|only| engine.kind.is_some_and(|kind| only.contains(&kind)))
            && zones.is_none_or(|only| engine.zone.is_some_and(|zone| only.contains(&zone)))
    }

    /// Whether the request is the first of its key, and the key's quiet period after an earlier request that
    /// may still run has ended. A request that was sent before is exempt from the quiet period.
    fn key_order_allows(&self, request: &Request) -> bool {
        let is_ordered = self.settings.classes[request.class].in_key_order;
        let key = request.query.key.filter(|_| is_ordered);
        let Some(key_queue) = key.and_then(|key| self.key_queues.get(&key)) else {
            return true;
        };
        let quiet_period_is_over =
            self.now >= key_queue.quiet_until || !request.attempts.is_empty();
        key_queue.queue.front() == Some(&request.query.id) && quiet_period_is_over
    }

    /// Sends the request's next attempt to the engine, unless a rule forbids it.
    fn send(&mut self, id: RequestId, engine_id: EngineId) -> Option<()> {
        let (now, window) = (self.now, self.settings.overload_window);
        let (request, engine) = self.requests.get(&id).zip(self.engines.get(&engine_id))?;
        if !self.may_send(request, engine) {
            return None;
        }
        let (work_core_s, memory_mb) = (
            self.cold_send_core_seconds(request.class, engine),
            self.required_memory_mb(request),
        );
        let starts_by = self.latest_repeat_start(request);
        if self.settings.takes_grants || self.settings.takes_priorities {
            self.actions.push(self.attempt_resources(request, engine));
        }
        let (request, engine) = self
            .requests
            .get_mut(&id)
            .zip(self.engines.get_mut(&engine_id))?;
        let timeout = request.deadline - now;
        self.actions.push(Action::Send {
            request: id,
            engine: engine_id,
            timeout,
            starts_by,
        });
        if engine.attempts_in_flight == 0 {
            engine.last_seen_at = now;
        }
        request.granted_memory_mb = memory_mb;
        let was_ejected = engine.is_ejected(now);
        engine.attempt_started(request, self.settings.classes[request.class].holds_group);
        // A trial attempt may be in flight now.
        self.scan.is_outdated |= engine.is_ejected(now) != was_ejected;
        self.siblings.quota.0 -= request.threads;
        engine.record_send(now, window, work_core_s);
        engine.admission_tokens.consume(request.class);
        if let (Some(budget), false) = (self.settings.attempt_budget, request.attempts.is_empty()) {
            self.extra_attempts.add(now, budget.window);
        }
        request.attempts.push(Attempt::new(engine_id, now));
        Some(())
    }

    /// The memory grant and the priority of an attempt. The grant is in whole megabytes, at most the share of
    /// the engine's memory that one query gets (0: the engine chooses). The priority, from 1, is the class's
    /// rank by worth per thread second, limited to `MAX_PRIORITY`.
    fn attempt_resources(&self, request: &Request, engine: &EngineView) -> Action {
        let classes = self.settings.active_classes();
        let worth_per_thread_second =
            |class: usize| self.settings.classes[class].worth / self.mean_thread_seconds(class);
        let own_worth = worth_per_thread_second(request.class);
        let lower_class_count = classes
            .filter(|class| worth_per_thread_second(*class) < own_worth)
            .count();
        let takes_grants = f64::from(u8::from(self.settings.takes_grants));
        let max_grant_mb = (self.settings.max_grant_share * engine.memory_mb).floor();
        let memory_mb = takes_grants * self.required_memory_mb(request).ceil().min(max_grant_mb);
        let priority = (1 + lower_class_count).min(MAX_PRIORITY) as u8;
        Action::attempt_resources(request.query.id, memory_mb, priority)
    }

    /// Handles the end of an attempt: updates the records of its engine, learns from an answer, and closes
    /// the request or prepares its retry.
    fn attempt_ended(&mut self, end: AttemptEnded) -> Option<()> {
        let request = self.requests.get_mut(&end.request)?;
        let attempt = request.attempts.get_mut(end.attempt.0 as usize)?;
        if attempt.outcome.is_some() {
            return None;
        }
        attempt.outcome = Some(end.outcome);
        let engine_id = attempt.engine;
        if let Some(engine) = self.engines.get_mut(&engine_id) {
            engine.attempt_ended(request, self.settings.classes[request.class].holds_group);
        }
        match end.outcome {
            // With a small share, a gateway sends to an engine so rarely that it ejects it at the first
            // refused connection.
            Outcome::ConnectFailed if self.has_small_share => {
                self.record_failure(engine_id, FAILURES_TO_EJECT, "can't be reached")
            }
            Outcome::ConnectFailed => self.record_failure(engine_id, 1, "refuses connections"),
            Outcome::Reset | Outcome::Error | Outcome::Ok => {
                self.attribute_failure(end.request, engine_id, end.outcome)
            }
            Outcome::Rejected => self.record_pressure(engine_id),
            _ => None,
        };
        let is_healthy = matches!(end.outcome, Outcome::Ok | Outcome::Rejected);
        self.record_reply(engine_id, is_healthy, end.load_report);
        match end.outcome {
            Outcome::Rejected | Outcome::TimedOut => self.concurrency_limit.adjust(true),
            Outcome::Ok => self.learn_from_answer(end.request, engine_id, &end)?,
            _ => {}
        }
        if end.request_finished {
            self.close_request(end.request);
        } else {
            self.retry_or_give_up(end.request);
        }
        self.remove_if_done(end.request)
    }

    /// Queues a request without an answer or an attempt in flight again, if a retry is allowed and in time;
    /// else gives it up.
    fn retry_or_give_up(&mut self, id: RequestId) -> Option<()> {
        let request = self.requests.get(&id)?;
        if request.is_answered || request.is_queued || request.attempts_in_flight() > 0 {
            return None;
        }
        let mut engines = self.engines.values();
        let has_allowed_engine = engines.any(|engine| self.effect_allows(request, &engine.entry));
        let is_in_time = self.now + CHECK_INTERVAL < request.deadline;
        if has_allowed_engine && is_in_time && self.attempt_limits_allow(request) {
            self.queues.add(self.requests.get_mut(&id)?, true);
        } else {
            self.give_up(id);
        }
        Some(())
    }

    /// Gives the final answer to a request that is not served: a refusal if nothing ran or a retry is
    /// harmless, else a failure.
    pub(crate) fn give_up(&mut self, id: RequestId) -> Option<()> {
        let request = self
            .requests
            .get(&id)
            .filter(|request| !request.is_answered)?;
        let effect = self.settings.classes[request.class].effect;
        let is_retry_harmless =
            effect.is_repeat_harmless() || request.first_that_may_have_run().is_none();
        // A retry can succeed once the requests queued now have been released.
        let queued_count = self.queues.len(request.class) as f64 + 1.0;
        let wait_s = queued_count / self.release_rate(request.class).max(1e-3);
        let retry_after = Micros::from_millis(1000).times(wait_s);
        let retry_after = retry_after.min(self.settings.max_retry_after);
        let refusal = Action::refuse(id, retry_after);
        let failure = Action::Fail { request: id };
        self.actions
            .push(if is_retry_harmless { refusal } else { failure });
        self.close_request(id)
    }

    /// Marks a request as answered, removes it from its queue and cancels its attempts.
    fn close_request(&mut self, id: RequestId) -> Option<()> {
        let request = self.requests.get_mut(&id)?;
        self.queues.remove(request);
        request.is_answered = true;
        let numbers = 0..request.attempts.len() as u32;
        for number in numbers {
            self.cancel_attempt(id, AttemptNo(number));
        }
        self.remove_if_done(id)
    }

    /// Cancels an attempt in flight, if engines allow it and its answer has not started.
    fn cancel_attempt(&mut self, id: RequestId, number: AttemptNo) -> Option<()> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempts.get_mut(number.0 as usize)?;
        let is_in_flight = attempt.outcome.is_none() && !attempt.is_cancelled;
        if is_in_flight && self.settings.may_cancel && !request.answer_started {
            attempt.is_cancelled = true;
            let (request, attempt) = (id, number);
            self.actions.push(Action::Cancel { request, attempt });
        }
        Some(())
    }

    /// Removes an answered request once none of its attempts is in flight, and lets the next request of its
    /// key run.
    fn remove_if_done(&mut self, id: RequestId) -> Option<()> {
        let request = self.requests.get(&id)?;
        if !request.is_answered || request.attempts_in_flight() > 0 {
            return None;
        }
        let (request, now) = (self.requests.remove(&id)?, self.now);
        let quiet_period = request
            .may_still_run()
            .then_some(self.settings.key_quiet_period);
        let key_queue = self.key_queues.get_mut(&request.query.key?)?;
        let next = key_queue.remove(id, now + quiet_period.unwrap_or_default());
        if let Some(next) = next.and_then(|id| self.requests.get_mut(&id)) {
            next.ready_at = now;
        }
        self.key_queues
            .retain(|_, key_queue| !key_queue.queue.is_empty() || key_queue.quiet_until > now);
        Some(())
    }

    /// Handles an engine's note about an attempt: may cancel a stalled attempt or one with a bad plan, and
    /// records spills and waits.
    fn handle_note(&mut self, id: RequestId, number: AttemptNo, note: Note) -> Option<()> {
        let request = self.requests.get(&id)?;
        let attempt = request.attempts.get(number.0 as usize)?;
        if attempt.outcome.is_some() {
            return None;
        }
        let engine_id = attempt.engine;
        match note {
            Note::Progress(done) if self.is_stalled(request, attempt, done) => self
                .record_stall(engine_id, attempt.sent_at)
                .and_then(|()| self.cancel_for_retry(id, number)),
            Note::Progress(done) if self.has_bad_plan(request, attempt, Some(done)) => {
                if !self.has_answered_quickly_since(engine_id, attempt.sent_at) {
                    self.concurrency_limit.adjust(true);
                }
                self.cancel_for_retry(id, number)
            }
            Note::Spills(missing_mb) => {
                let missing_share = missing_mb / request.query.memory_mb.max(1.0);
                let stats = &mut self.stats[request.class];
                stats.spill_margin =
                    (stats.spill_margin + SPILL_MARGIN_GAIN * missing_share).min(MAX_SPILL_MARGIN);
                self.record_pressure(engine_id)
            }
            Note::WaitsForMemory => self.record_pressure(engine_id),
            Note::WaitsForLoad => self.handle_load_wait(id, number, engine_id),
            Note::Progress(_) => None,
        };
        let request = self.requests.get_mut(&id)?;
        request.attempts[number.0 as usize].last_note_at = self.now;
        self.record_reply(engine_id, true, None)
    }

    /// Handles an attempt that waits for a load, maybe of another gateway: the table group counts as loading
    /// on that engine for a while. If another engine has a slot, the attempt is cancelled so that the request
    /// goes there, as nothing has run yet.
    fn handle_load_wait(
        &mut self,
        id: RequestId,
        number: AttemptNo,
        engine_id: EngineId,
    ) -> Option<()> {
        let group = self.requests.get(&id)?.query.table_group;
        let (now, until) = (self.now, self.now + FOREIGN_LOAD_DURATION);
        self.engines
            .get_mut(&engine_id)?
            .mark_loading(group, now, until);
        let request = self.requests.get(&id)?;
        let is_usable = |engine: &EngineView| {
            engine.is_listed() && !engine.is_ejected(self.now) && !self.is_loading(engine, group)
        };
        let mut others = self.engines.values().filter(|engine| is_usable(engine));
        if !others.any(|engine| self.has_slot(engine, request)) {
            return None;
        }
        self.cancel_for_retry(id, number)
    }

    /// Whether a load holds the table group on the engine, as far as this gateway knows.
    fn is_loading(&self, engine: &EngineView, group: TableGroupId) -> bool {
        let foreign_loads = engine.foreign_loading_groups.iter();
        let mut foreign_loads = foreign_loads.filter(|(_, until)| self.now < *until);
        engine.is_loading(group) || foreign_loads.any(|(loading, _)| *loading == group)
    }

    /// Whether an attempt needs far longer than a new one would, which is a sign of a bad plan or a lost
    /// attempt. `done` is the share of its work that a new note reports, if there is one. A query that waits
    /// for a load notes that at once and is exempt; one without a note is lost. The limit allows for slow
    /// classes and engines. It doubles with each attempt: a query that exceeds it again is large, or the
    /// engines are congested.
    fn has_bad_plan(&self, request: &Request, attempt: &Attempt, done: Option<f64>) -> bool {
        let stats = &self.stats[request.class];
        let class = &self.settings.classes[request.class];
        let has_note = done.is_some() || attempt.last_note_at > Micros(0);
        let is_exempt = class.holds_group || (class.waits_for_load && has_note);
        let Some((usual_ratio, mean_attempt_us)) = stats
            .usual_ratio
            .zip(stats.attempt_us.0)
            .filter(|_| !is_exempt)
        else {
            return false;
        };
        let new_attempt_us = request
            .estimated_duration_us()
            .map_or(mean_attempt_us, |estimate_us| {
                estimate_us * usual_ratio.exp()
            });
        // Checks are no more precise than their interval.
        let new_attempt_us = new_attempt_us.max(CHECK_INTERVAL.0 as f64);
        let engine = self.engines.get(&attempt.engine);
        let log_slowdown = engine
            .map_or(0.0, |engine| engine.service_time_ratio)
            .max(stats.service_time_ratio);
        let attempt_factor = 2f64.powi(request.attempts.len() as i32 - 1);
        let due_us = new_attempt_us * log_slowdown.exp().max(1.0) * attempt_factor
            / self.capacity_share(attempt.engine);
        let age_us = (self.now - attempt.sent_at).0 as f64;
        let has_recent_note =
            self.now < attempt.last_note_at + self.settings.note_interval.times(MAX_MISSED_NOTES);
        let overdue_factor = if class.waits_for_load {
            OVERDUE_FACTOR_BEHIND_LOAD
        } else {
            OVERDUE_FACTOR
        };
        let is_bad = match done {
            Some(done) => age_us * (1.0 - done) / done.max(0.001) > BAD_PLAN_FACTOR * due_us,
            None => !has_recent_note && age_us > overdue_factor * due_us,
        };
        is_bad && self.now.0 as f64 + new_attempt_us < request.deadline.0 as f64
    }

    /// Whether an attempt progresses so slowly, by its note, that its engine must be stalled. `done` is the
    /// share of its work that the note reports.
    fn is_stalled(&self, request: &Request, attempt: &Attempt, done: f64) -> bool {
        let stats = &self.stats[request.class];
        let log_slowdown = stats.service_time_ratio.max(0.0);
        let new_attempt_us = stats.usual_ratio.zip(request.estimated_duration_us());
        let new_attempt_us = new_attempt_us.map_or(f64::MAX, |(usual_ratio, estimate_us)| {
            estimate_us * (usual_ratio + log_slowdown).exp()
        });
        let age_us = (self.now - attempt.sent_at).0 as f64;
        let limit_us = STALL_FACTOR * new_attempt_us / self.capacity_share(attempt.engine);
        let min_age_us = self.settings.note_interval.0 as f64 / 4.0;
        self.has_small_share
            && min_age_us > 0.0
            && age_us > min_age_us
            && age_us / done.max(0.001) > limit_us
    }

    /// Cancels an attempt so that another replaces it, if the class and the limits allow a retry.
    fn cancel_for_retry(&mut self, id: RequestId, number: AttemptNo) -> Option<()> {
        let request = self.requests.get(&id)?;
        let may_retry = request.attempts.len() < request.max_attempts;
        let effect = self.settings.classes[request.class].effect;
        if may_retry && effect.is_repeat_harmless() {
            self.cancel_attempt(id, number);
        }
        Some(())
    }

    /// Checks all requests and their attempts: gives up requests that can't be sent in time, cancels lost
    /// attempts, repeats probes, and counts silent engines as failed. Then subscribes to the engine list if
    /// that is due.
    fn check_requests(&mut self) {
        let (now, max_silence) = (
            self.now,
            self.settings.note_interval.times(MAX_MISSED_NOTES),
        );
        let (mut overdue_requests, mut lost_attempts, mut silent_engines) =
            (Vec::new(), Vec::new(), BTreeSet::new());
        let mut to_probe = Vec::new();
        for (id, request) in &self.requests {
            // The class's time limit bounds the wait for a slot; only the client's bounds the wait for the
            // key's turn.
            let needs_slot = request.attempts.is_empty() && self.key_order_allows(request);
            let max_wait = self.settings.classes[request.class].on_time;
            let max_wait = if needs_slot { max_wait } else { Micros::MAX };
            let send_by = request.deadline.min(request.ready_at + max_wait);
            if request.is_queued && now + CHECK_INTERVAL >= send_by {
                overdue_requests.push(*id);
            }
            // The first request of a queue probes other engines if the probed ones had no slot.
            let needs_probe =
                self.queues.by_class[request.class][request.tenant].front() == Some(id);
            let needs_probe =
                needs_probe && probing::may_probe_repeatedly(self.probe_count(request.class));
            if needs_probe && request.probed_at.is_some_and(|at| now >= at + PROBE_TTL) {
                to_probe.push(*id);
            }
            for (number, attempt) in request.attempts.iter().enumerate() {
                let engine_id = attempt.engine;
                let last_seen_at = self
                    .engines
                    .get(&engine_id)
                    .map_or(now, |engine| engine.last_seen_at);
                let is_silent = now > last_seen_at.max(attempt.sent_at) + max_silence
                    && max_silence > Micros(0);
                let is_in_flight = attempt.outcome.is_none() && !attempt.is_cancelled;
                if is_in_flight && is_silent {
                    silent_engines.insert(engine_id);
                }
                // A healthy engine sends a note about each attempt in every interval, so an attempt without
                // notes is lost.
                let last_note_at = attempt.last_note_at.max(attempt.sent_at);
                let misses_notes = max_silence > Micros(0) && now > last_note_at + max_silence;
                if is_in_flight
                    && (is_silent || misses_notes || self.has_bad_plan(request, attempt, None))
                {
                    lost_attempts.push((
                        *id,
                        AttemptNo(number as u32),
                        engine_id,
                        attempt.sent_at,
                        is_silent,
                    ));
                }
            }
        }
        for id in overdue_requests {
            self.give_up(id);
        }
        let is_outage = 2 * silent_engines.len() > self.engines.len();
        for engine in silent_engines.into_iter().filter(|_| !is_outage) {
            self.record_failure(engine, FAILURES_TO_EJECT, "is silent");
        }
        for (id, number, engine_id, sent_at, _) in lost_attempts
            .into_iter()
            .filter(|lost| !(is_outage && lost.4))
        {
            self.record_stall(engine_id, sent_at);
            self.cancel_for_retry(id, number);
        }
        if self.resubscribe_at.take_if(|at| now >= *at).is_some() {
            self.actions.push(Action::SubscribeToEngineList);
        }
        for id in to_probe {
            self.probe_candidates(id);
        }
    }
}
