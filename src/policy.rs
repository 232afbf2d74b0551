//! All decisions of a gateway. Its types, events and actions are defined in `src/interface.rs`.
//! A request is sent to an engine at once if no request is queued and an engine has a free slot. Otherwise
//! it waits in the queue of its class and tenant, and Most Credit First picks the next one to release.

use crate::fleet_scan::{FleetScan, affects_engines};
use crate::interface::*;
use crate::shard_usage::SiblingState;
use crate::sizing::{OWN_BUDGET_FACTOR, THREADS_PER_CORE, tenant_shares};
use crate::state::*;
use crate::subset::Ring;
use sedgebeam_fleet::{ConcurrencyLimit, EjectionPolicy, FAILURES_TO_EJECT, probing};
use std::collections::{BTreeMap, BTreeSet};

/// Limit of credit and debt, in releases, so that an idle period or many yielded turns have no long effect.
pub const MAX_CREDIT: f64 = 4.0;
/// A class is light if a request takes less than this share of the heaviest class's thread seconds.
const LIGHT_CLASS_RATIO: f64 = 0.25;
/// An engine slower than usual by this factor is under pressure.
const MIN_PRESSURE_SLOWDOWN: f64 = 1.5;
/// Response time over service time (slowdown) from which an answer indicates congestion.
pub(crate) const CONGESTION_SLOWDOWN: f64 = 2.0;
/// Share of memory that a gateway may have in flight, relative to its share of the threads.
const MEMORY_PER_THREAD_SHARE: f64 = 0.5;
/// Limit of the same, scaled by traffic, where engines page: a burst after calm answers must not fill them.
const MAX_MEMORY_SHARE: f64 = 0.75;
/// How long a note of waiting or spilling, or a rejection, counts as pressure.
const PRESSURE_DURATION: Micros = Micros::from_millis(1000);
/// Smallest bound of a queue's length: a bound of zero would refuse the smallest burst.
const MIN_QUEUE_BOUND: f64 = 3.0;
/// Loads of one table group run on at most this share of the engines; further ones wait.
const MAX_LOADING_SHARE: f64 = 0.4;
/// An engine is skipped in the table group's order if its utilization exceeds the mean by this factor.
const MAX_UTILIZATION_OVER_MEAN: f64 = 1.25;
/// Weight of a new sample in a service time ratio.
const SERVICE_TIME_RATIO_GAIN: f64 = 0.1;
/// Step by which the learned usual service time moves, as a log ratio.
const USUAL_RATIO_STEP: f64 = 0.03;
/// Quantile of the samples taken as usual: below the median, so that congestion does not become usual.
const USUAL_RATIO_QUANTILE: f64 = 0.4;
/// Smallest share of its cores that an engine counts with, however slow it appears.
const MIN_CORES_SHARE: f64 = 0.2;
const LIST_RETRY_DELAY: Micros = Micros::from_millis(2000);
/// Note intervals without a note after which an attempt is lost, or an engine that runs attempts is silent.
const MISSED_NOTES: f64 = 2.5;
/// A plan is bad if the remaining time at its speed is this multiple of a new attempt's time.
const BAD_PLAN_FACTOR: f64 = 2.5;
/// An engine is stalled if by a note an attempt takes this multiple of a new attempt's time.
const STALL_FACTOR: f64 = 6.0;
/// Without notes, an attempt is overdue after this multiple of a new attempt's time.
const OVERDUE_FACTOR: f64 = 5.0;
/// The same for a query that may have waited for a load, as its time varies more.
const OVERDUE_FACTOR_BEHIND_LOAD: f64 = 8.0;
/// Memory grant relative to the estimate, before spills are learned.
const GRANT_FACTOR: f64 = 1.25;
/// Weight of a spill note in the margin added to the grant, the margin's limit, its decay per answer.
const SPILL_MARGIN_GAIN: f64 = 0.1;
const MAX_SPILL_MARGIN: f64 = 3.0;
const SPILL_MARGIN_DECAY: f64 = 0.005;
const MAX_PRIORITY: usize = 3;
/// Weight of a new sample in a moving mean.
const MEAN_GAIN: f64 = 0.05;
/// Limit of one answer's effect on the service time ratio: a heavy query is not a slow engine.
const MAX_LOG_RATIO_DEVIATION: f64 = 1.5;
/// How long another gateway's load, noticed by a query that waits for it, is assumed to run.
const FOREIGN_LOAD_DURATION: Micros = Micros::from_millis(800);
const CHECK_INTERVAL: Micros = Micros::from_millis(10);
/// Reported load expires after this; the engine then counts as having a free slot.
const REPORT_TTL: Micros = Micros::from_millis(3000);
/// A load report younger than this replaces a probe; a probe unanswered for this long has failed.
const PROBE_TTL: Micros = Micros::from_millis(150);
/// Reported threads per core from which an engine has no free slot; with all cores busy it counts as 2.
const FULL_REPORTED_LOAD: f64 = 1.8;
/// The same for a light class where engines heed priorities: it runs ahead of the other queries.
const FULL_REPORTED_LOAD_LIGHT_CLASS: f64 = 2.0 * FULL_REPORTED_LOAD;

/// Most Credit First among numbered parties (classes, or the tenants of one class).
impl Credit {
    fn sorted_by_credit(&self, mut waiting: Vec<usize>) -> Vec<usize> {
        waiting.sort_by(|a, b| self.credit[*b].total_cmp(&self.credit[*a]));
        waiting
    }

    /// Charges a release: the released party pays the price, all waiting ones earn their share of it.
    fn charge(&mut self, waiting: &[usize], released: usize, price: f64) {
        let total: f64 = waiting.iter().map(|&party| self.weights[party]).sum();
        for &party in waiting {
            let earned = self.weights[party] / total.max(f64::MIN_POSITIVE);
            let paid = f64::from(u8::from(party == released));
            let credit = self.credit[party] + price * (earned - paid);
            self.credit[party] = credit.clamp(-MAX_CREDIT, MAX_CREDIT);
        }
    }
}

impl EngineView {
    /// Cores, less what slow hardware or a noisy neighbour takes as far as service times show it.
    fn effective_cores(&self, median_service_time_ratio: f64) -> f64 {
        let share = (median_service_time_ratio - self.service_time_ratio).exp();
        self.cores * share.clamp(MIN_CORES_SHARE, 1.0)
    }

    /// Ejected, or on trial while the trial attempt is in flight.
    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        self.health.is_ejected(now.0, self.attempts_in_flight > 0)
    }
}

/// The state machine of one gateway.
#[derive(Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) now: Micros,
    pub(crate) started_at: Option<Micros>,
    pub(crate) engines: BTreeMap<EngineId, EngineView>,
    pub(crate) ring: Ring,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) queues: Queues,
    pub(crate) class_credit: Credit,
    pub(crate) tenant_credit: Vec<Credit>,
    pub(crate) siblings: SiblingState,
    pub(crate) stats: Vec<ClassStats>,
    pub(crate) fleet: FleetTotals,
    pub(crate) scan: FleetScan,
    /// Seeds the pseudo-random choices that differ among gateways.
    pub(crate) seed: u64,
    pub(crate) has_small_share: bool,
    /// Multiple of its share of the fleet that this gateway may have in flight.
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) ejection_policy: EjectionPolicy,
    /// Mean over the received requests.
    mean_worth: MovingMean,
    /// Means over the answered attempts; their ratio is the mean number of threads of a query in flight.
    mean_thread_time_us: MovingMean,
    mean_attempt_time_us: MovingMean,
    pub(crate) key_queues: BTreeMap<Key, KeyQueue>,
    /// Requests accepted, and attempts after their first, within the attempt budget's window.
    pub(crate) accepted: SlidingWindow,
    pub(crate) extra_attempts: SlidingWindow,
    resubscribe_at: Option<Micros>,
    is_timer_set: bool,
    /// Requests that arrived in this call.
    arrived_requests: Vec<RequestId>,
    actions: Vec<Action>,
}

impl Gateway {
    /// Starts without engines or statistics. Pseudo-random choices of gateways differ by `seed`.
    pub fn new(settings: Settings, seed: u64) -> Gateway {
        let on_request = settings.list_mode == ListMode::OnRequest;
        let worths = settings.classes.iter().map(|class| class.worth.max(0.0));
        let shares = tenant_shares(&settings.tenants);
        Gateway {
            queues: Queues::new(settings.classes.len(), settings.tenants.len() + 1),
            class_credit: Credit::new(worths.collect()),
            tenant_credit: vec![Credit::new(shares); settings.classes.len()],
            stats: vec![ClassStats::default(); settings.classes.len()],
            resubscribe_at: on_request.then_some(Micros(0)),
            has_small_share: settings.has_small_share(),
            concurrency_limit: settings.concurrency_limit(),
            ejection_policy: settings.ejection_policy(),
            settings,
            seed,
            ..Gateway::default()
        }
    }

    /// Applies the events and returns the actions to execute, in order.
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

    fn apply_event(&mut self, event: Event) -> Option<()> {
        match event {
            Event::List { kind, engines } => self.update_engine_list(kind, engines),
            Event::ListFailed => self.resubscribe_at = Some(self.now + LIST_RETRY_DELAY),
            Event::Request(query) => self.admit(query)?,
            Event::Started(request, _) => self.requests.get_mut(&request)?.answer_started = true,
            Event::Note(request, attempt, note) => self.handle_note(request, attempt, note)?,
            Event::Ended(end) => self.attempt_ended(end)?,
            Event::ClientLeft(id) => self.close_request(id)?,
            Event::Probed(id, found, load) => self.record_reply(id, found == Outcome::Ok, load)?,
            Event::Timer(_) => self.is_timer_set = false,
            Event::Shutdown => self.shut_down(),
        }
        Some(())
    }

    fn update_engine_list(&mut self, kind: ListKind, entries: Vec<Engine>) {
        let listed: BTreeSet<EngineId> = entries.iter().map(|entry| entry.id).collect();
        for (id, engine) in &mut self.engines {
            if kind != ListKind::Changes && !listed.contains(id) {
                engine.entry.state = EngineState::Gone;
            }
        }
        for entry in entries {
            let kind = entry.kind.and_then(|kind| self.settings.kinds.get(kind.0));
            let kind = kind.cloned().unwrap_or_default();
            self.ring.add(entry.id);
            self.engines
                .entry(entry.id)
                .or_default()
                .apply_entry(entry, kind);
        }
        let is_known = |engine: &EngineView| engine.is_listed() || engine.attempts_in_flight > 0;
        self.engines.retain(|_, engine| is_known(engine));
        self.ring.keep(|id| self.engines.contains_key(&id));
    }

    /// Threads that this gateway may have in flight on an engine under pressure.
    pub(crate) fn thread_budget(&self, engine: &EngineView) -> f64 {
        engine.effective_cores(self.fleet.median_service_time_ratio) * THREADS_PER_CORE
            / self.settings.gateway_count()
    }

    /// Reported threads per core of the engine, unless the report is outdated.
    fn recent_reported_load(&self, engine: &EngineView) -> Option<f64> {
        let (load, at) = engine.reported_load?;
        (self.now < at + REPORT_TTL).then_some(load)
    }

    /// Own threads per core, plus the slowdown of answers if this gateway's share is too small to tell.
    fn utilization(&self, engine: &EngineView) -> f64 {
        let own =
            engine.total_threads() / engine.effective_cores(self.fleet.median_service_time_ratio);
        let slowdown = engine.congestion.slowdown(self.now.0);
        own + if self.has_small_share { slowdown } else { 0.0 }
    }

    /// Whether the engine has a free slot: one query always; more within the thread budget, which is strict
    /// under pressure, and within this gateway's share of the memory, as spills multiply the work. Memory
    /// estimates that are far too high may hold queries back.
    fn has_slot(&self, engine: &EngineView, request: &Request) -> bool {
        let pressure = engine.service_time_ratio > MIN_PRESSURE_SLOWDOWN.ln()
            || self.now < engine.pressure_until;
        let limit = self.thread_budget(engine) * if pressure { 1.0 } else { OWN_BUDGET_FACTOR };
        let memory_mb = engine.total_memory_mb() + self.required_memory_mb(request);
        let memory_fits = memory_mb * self.settings.gateway_count() <= engine.memory_mb;
        if request.threads > self.thread_quota(engine) {
            return false;
        }
        if self.has_small_share {
            let ahead = self.settings.takes_priorities && self.is_light_class(request.class);
            let full_load = if ahead {
                FULL_REPORTED_LOAD_LIGHT_CLASS
            } else {
                FULL_REPORTED_LOAD
            };
            return self
                .recent_reported_load(engine)
                .is_none_or(|load| load < full_load);
        }
        engine.total_threads() == 0.0
            || (engine.total_threads() + request.threads <= limit && memory_fits)
    }

    /// Whether this gateway's share of the fleet has threads and memory left; used if its budget on an engine
    /// is under one query. The limit follows the congestion that answers indicate: a fixed limit would refuse
    /// random bursts that engines could run. A random part of the query must fit, as even the share of the
    /// fleet may be under one query. Heavy queries in flight do not count against light ones, which take
    /// little; the cost is that a flood of light ones comes on top.
    fn fits_fleet_share(&self, request: &Request) -> bool {
        if !self.has_small_share {
            return true;
        }
        let light = self.is_light_class(request.class);
        let (mut threads, mut memory_mb) = (0.0, 0.0);
        let sent =
            |other: &&Request| other.attempts_in_flight() > 0 && !self.is_on_cold_engine(other);
        let own = self.requests.values().filter(sent);
        let own = own.map(|other| (other.class, other.threads, other.granted_memory_mb));
        for (class, class_threads, class_memory_mb) in own.chain(self.siblings.class_usage()) {
            if !light || self.is_light_class(class) {
                threads += class_threads;
                memory_mb += class_memory_mb;
            }
        }
        // Light queries take little and run first on engines: they may always use the full share.
        let multiple = self.concurrency_limit.limit(if light { 1.0 } else { 0.0 });
        let fraction = self.pseudo_random(request.query.id.0);
        let max_memory_mb = self.fleet.share_memory_mb
            * (MEMORY_PER_THREAD_SHARE * multiple)
                .min(MAX_MEMORY_SHARE * self.concurrency_limit.traffic_ratio());
        request.threads <= self.siblings.quota.0
            && threads + fraction * request.threads <= self.fleet.share_threads * multiple
            && (self.settings.queues_for_memory
                || memory_mb + fraction * self.required_memory_mb(request) <= max_memory_mb)
    }

    /// Memory that the query needs, by its estimate and the recent spills of its class.
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
                .work_us
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

    /// Probes the preferred engines for their load before a heavy query is sent.
    fn probe_candidates(&mut self, id: RequestId) -> Option<()> {
        let enabled =
            self.settings.load_reports == LoadReportMode::InProbes && self.settings.may_probe;
        let request = self.requests.get(&id)?;
        if !enabled || self.is_light_class(request.class) || !self.has_small_share {
            return None;
        }
        let count = self.probe_count(request.class);
        let mut candidates = self.eligible_engines(request);
        self.narrow_to_subset(&mut candidates);
        self.sort_by_preference(request, &mut candidates);
        let preferred = candidates.iter().take(count).map(|engine| engine.entry.id);
        let candidates: Vec<EngineId> = preferred.collect();
        let now = self.now;
        for to in candidates {
            let engine = self.engines.get_mut(&to)?;
            let is_fresh = engine
                .reported_load
                .is_some_and(|(_, at)| now < at + PROBE_TTL);
            if !is_fresh && now >= engine.probed_at + PROBE_TTL {
                engine.probed_at = now;
                self.actions.push(Action::Probe { engine: to });
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

    /// Refuses requests over the queue bound of their class once no more can be released to any engine. The
    /// newest one of the tenant farthest over its share goes first: otherwise a tenant that floods the queue
    /// would get the requests of others refused.
    fn refuse_over_queue_bound(&mut self) {
        for id in std::mem::take(&mut self.arrived_requests).into_iter().rev() {
            let request = self.requests.get(&id).filter(|request| request.is_queued);
            let class = request.map_or(0, |request| request.class);
            let max_wait_s = self.settings.classes[class].on_time.0 as f64 / 1e6;
            let bound = self.release_rate(class) * max_wait_s;
            if request.is_some() && self.queues.len(class) as f64 > bound.max(MIN_QUEUE_BOUND) {
                let victim = self
                    .queues
                    .newest_over_share(class, &self.tenant_credit[class]);
                self.give_up(victim.unwrap_or(id));
            }
        }
    }

    fn is_light_class(&self, class: usize) -> bool {
        let costs = self
            .settings
            .active_classes()
            .map(|c| self.mean_thread_seconds(c));
        self.mean_thread_seconds(class) < LIGHT_CLASS_RATIO * costs.fold(0.0, f64::max)
    }

    /// Mean thread seconds of a request of the class; by its time limit before the first answer.
    pub(crate) fn mean_thread_seconds(&self, class: usize) -> f64 {
        let class_settings = &self.settings.classes[class];
        let limit = class_settings.on_time.0 as f64;
        let us = self.stats[class].attempt_us.0.unwrap_or(limit).max(1000.0);
        class_settings.threads.max(1.0) * us / 1e6
    }

    /// Credit that a release costs: 1, or for a light class its part of the heaviest waiting class's thread
    /// seconds. At equal prices one heavy query per light one would starve the light class, although all its
    /// queries together take little. No effect if classes are alike.
    fn release_price(&self, class: usize) -> f64 {
        let waiting = self.queues.waiting_classes();
        let costs = waiting.iter().map(|&other| self.mean_thread_seconds(other));
        let share =
            self.mean_thread_seconds(class) / costs.fold(self.mean_thread_seconds(class), f64::max);
        if share < LIGHT_CLASS_RATIO {
            share
        } else {
            1.0
        }
    }

    /// Releases of the class per second while it and all classes that wait now keep waiting.
    fn release_rate(&self, class: usize) -> f64 {
        let mut waiting = self.queues.waiting_classes();
        waiting.retain(|other| *other != class);
        waiting.push(class);
        let worth = |class: usize| self.settings.classes[class].worth;
        let weight = |class| (worth(class) / self.release_price(class)).max(1e-9);
        let costs = waiting
            .iter()
            .map(|&other| weight(other) * self.mean_thread_seconds(other));
        let cost: f64 = costs.sum();
        self.fleet.share_threads * weight(class) / cost
    }

    fn release_next(&mut self) -> Option<()> {
        let (id, engine) = self.next_release()?;
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

    /// The request to release next, and its engine. A class or tenant without a slot yields its turn.
    fn next_release(&self) -> Option<(RequestId, EngineId)> {
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
                    // Key order, tried engines and a loading table group may block one but not the next.
                    let is_load = self.settings.classes[class].holds_group;
                    if !is_load && request.attempts.is_empty() && self.key_order_allows(request) {
                        break;
                    }
                }
            }
        }
        None
    }

    /// The first engine in the table group's order with near-average utilization, else the least utilized.
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
        // A query behind a load of its table group would wait while it holds memory and threads; loads run on
        // few engines so that most stay usable for those queries.
        let loading = |engine: &EngineView| self.is_loading(engine, group);
        if class.holds_group || class.waits_for_load {
            let count = eligible.iter().filter(|engine| loading(engine)).count();
            if class.holds_group && count as f64 > MAX_LOADING_SHARE * eligible.len() as f64 {
                return None;
            }
            prefer(&mut eligible, |engine| !loading(engine));
        }
        self.narrow_to_subset(&mut eligible);
        let usage = |engine: &EngineView| self.utilization(engine);
        let mean = eligible.iter().map(|e| usage(e)).sum::<f64>() / eligible.len() as f64;
        if let Some(probed_at) = request.probed_at {
            let fresh = |e: &EngineView| {
                e.reported_load
                    .is_some_and(|(_, at)| at + PROBE_TTL > probed_at)
            };
            let awaited = |e: &&EngineView| e.probed_at + PROBE_TTL > probed_at && !fresh(e);
            if self.now < probed_at + PROBE_TTL && eligible.iter().any(awaited) {
                return None;
            }
            // Without further probes, an engine without a report beats a probed one without a slot.
            if !probing::may_probe_repeatedly(self.probe_count(request.class)) {
                eligible.retain(|engine| self.has_slot(engine, request));
            }
            prefer(&mut eligible, fresh);
        }
        eligible.retain(|engine| self.has_slot(engine, request));
        prefer(&mut eligible, |engine| !request.has_tried(engine.entry.id));
        // Admission tokens for heavy queries are rare and expire if they are not used.
        if self.uses_admission_tokens() {
            prefer(&mut eligible, |engine| self.is_cold(engine, self.now));
        }
        self.sort_by_preference(request, &mut eligible);
        let near = |engine: &&&EngineView| usage(engine) <= MAX_UTILIZATION_OVER_MEAN * mean;
        let least = || eligible.iter().min_by(|a, b| usage(a).total_cmp(&usage(b)));
        let chosen = eligible.iter().find(near).or_else(least);
        chosen.map(|engine| engine.entry.id)
    }

    /// Engines that the request may be sent to, by id; ejected ones only if there are no others.
    fn eligible_engines(&self, request: &Request) -> Vec<&EngineView> {
        if !self.may_send_now(request) {
            return Vec::new();
        }
        let engines = self.engines.values();
        let mut eligible = engines.filter(|e| self.may_send_to(request, e)).collect();
        prefer(&mut eligible, |engine| !engine.is_ejected(self.now));
        eligible
    }

    /// Sorts by the hash of the table group. If many gateways share each engine, the start is random in the
    /// first half: with one order, all gateways would send a hot group's queries to one engine. Loads start
    /// from the other end if queries wait for them.
    fn sort_by_preference(&self, request: &Request, engines: &mut Vec<&EngineView>) {
        let group = request.query.table_group;
        engines.sort_by_key(|engine| splitmix64(splitmix64(group.0) ^ engine.entry.id.0));
        if self.has_small_share && !engines.is_empty() {
            let queries_wait = self.settings.classes.iter().any(|c| c.waits_for_load);
            if self.settings.classes[request.class].holds_group && queries_wait {
                engines.reverse();
            }
            let half = engines.len() as f64 / 2.0;
            let probed_at = request.probed_at.map_or(0, |at| at.0);
            let fraction = self.pseudo_random(request.query.id.0 ^ probed_at);
            engines.rotate_left((fraction * half) as usize);
        }
    }

    /// Records a reply of the engine, whether it is healthy, and its load if reported.
    fn record_reply(&mut self, id: EngineId, ok: bool, report: Option<LoadReport>) -> Option<()> {
        let engine = self.engines.get_mut(&id)?;
        if report.and_then(|report| report.queries_waiting_for_memory) >= Some(1.0) {
            engine.pressure_until = self.now + PRESSURE_DURATION;
        }
        let (thread_time, time) = (self.mean_thread_time_us.0, self.mean_attempt_time_us.0);
        let threads = thread_time.zip(time).map_or(1.0, |(sum, time)| sum / time);
        let report = report.unwrap_or_default();
        let active = report.active_queries.map(|n| n * threads / engine.cores);
        let busy = report.busy_cores_share.map(|busy| busy * THREADS_PER_CORE);
        let granted = report
            .granted_memory_share
            .map(|share| share * FULL_REPORTED_LOAD);
        let loads = [active, busy, granted].into_iter().flatten();
        if let Some(load) = loads.max_by(f64::total_cmp) {
            engine.reported_load = Some((load, self.now));
        }
        if ok {
            engine.last_seen_at = self.now;
            if engine.health.mark_responsive() {
                let log = format!("engine {} is no longer ejected", id.0);
                self.actions.push(Action::Log(log));
            }
        }
        Some(())
    }

    fn record_pressure(&mut self, id: EngineId) -> Option<()> {
        self.engines.get_mut(&id)?.pressure_until = self.now + PRESSURE_DURATION;
        Some(())
    }

    /// Records failures of the engine; enough consecutive ones eject it for a while.
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

    /// An attempt hardly progresses, by its note or the lack of one: its engine is stalled. The reported load
    /// may be low, as queries that wait for disks use no cores. Few gateways see an engine often enough to go
    /// by its service times, and one slow attempt is as likely its own fault.
    fn record_stall(&mut self, id: EngineId, sent_at: Micros) -> Option<()> {
        if !self.has_small_share {
            return None;
        }
        // If other attempts are answered as quickly as ever, this one has a bad plan.
        if self.has_answered_quickly_since(id, sent_at) {
            return Some(());
        }
        let fraction = self.pseudo_random(id.0 ^ self.now.0);
        self.scan.is_outdated = true;
        let engine = self.engines.get_mut(&id)?;
        if engine
            .health
            .record_stall(self.now.0, self.ejection_policy, fraction)
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

    /// From 0 to 1, different at each gateway.
    fn pseudo_random(&self, salt: u64) -> f64 {
        splitmix64(self.seed ^ splitmix64(salt)) as f64 / u64::MAX as f64
    }

    /// A reset or error counts against an engine once another engine has served the same request, as a faulty
    /// client sends hundreds that fail on every engine. If the request must not be resent it counts at once.
    fn attribute_failure(&mut self, id: RequestId, to: EngineId, outcome: Outcome) -> Option<()> {
        let request = self.requests.get(&id)?;
        let failed = |outcome: &Outcome| matches!(outcome, Outcome::Reset | Outcome::Error);
        let mut faulty: Vec<EngineId> = Vec::new();
        if outcome == Outcome::Ok {
            let earlier = request.attempts.iter();
            let earlier =
                earlier.filter(|a| a.engine != to && a.outcome.as_ref().is_some_and(failed));
            faulty.extend(earlier.map(|attempt| attempt.engine));
            self.engines.get_mut(&to)?.health.record_success(self.now.0);
        } else if self.settings.classes[request.class].effect == Effect::Once {
            faulty.push(to);
        }
        for id in faulty {
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

    /// Whether an answer indicates congestion: by its time for its work, or by a reported load over the
    /// engine's capacity. Queries that wait for memory are no congestion, as they cost no work.
    fn indicates_congestion(&self, request: &Request, end: &AttemptEnded) -> bool {
        // Twice the threshold if the work is only estimated: a heavy query is no congestion.
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
        request: RequestId,
        engine: EngineId,
        end: &AttemptEnded,
    ) -> Option<()> {
        self.concurrency_limit
            .adjust(self.indicates_congestion(self.requests.get(&request)?, end));
        let request = self.requests.get(&request)?;
        let slowdown = self.slowdown(request, end);
        let stats = &mut self.stats[request.class];
        let us = end.elapsed.0.max(1) as f64;
        let ratio = (us / request.estimated_duration_us().unwrap_or(1e6)).ln();
        let usual = stats.usual_ratio.get_or_insert(ratio);
        let deviation = (ratio - *usual).clamp(-MAX_LOG_RATIO_DEVIATION, MAX_LOG_RATIO_DEVIATION);
        let step = USUAL_RATIO_QUANTILE - f64::from(u8::from(deviation < 0.0));
        *usual += USUAL_RATIO_STEP * step;
        stats.service_time_ratio +=
            SERVICE_TIME_RATIO_GAIN * (deviation - stats.service_time_ratio);
        stats.attempt_us.add(MEAN_GAIN, us);
        self.mean_thread_time_us
            .add(MEAN_GAIN, us * request.threads);
        self.mean_attempt_time_us.add(MEAN_GAIN, us);
        stats.spill_margin *= 1.0 - SPILL_MARGIN_DECAY;
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.service_time_ratio +=
                SERVICE_TIME_RATIO_GAIN * (deviation - engine.service_time_ratio);
            engine.congestion.record(self.now.0, slowdown);
            if slowdown < CONGESTION_SLOWDOWN {
                engine.health.record_fast_response(self.now.0);
            }
        }
        Some(())
    }

    /// Checks every rule that a send could violate; each send passes it.
    fn may_send(&self, request: &Request, engine: &EngineView) -> bool {
        self.may_send_now(request) && self.may_send_to(request, engine)
    }

    fn may_send_now(&self, request: &Request) -> bool {
        !request.answered && self.key_order_allows(request) && self.attempt_limits_allow(request)
    }

    /// Whether this engine may get the request, if it may be sent at all now.
    fn may_send_to(&self, request: &Request, engine: &EngineView) -> bool {
        engine.is_listed()
            && self.placement_allows(request, &engine.entry)
            && self.effect_allows(request, &engine.entry)
            && self.slow_start_allows(request, engine)
    }

    fn placement_allows(&self, request: &Request, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.class];
        let kinds = class.only_kinds.as_ref();
        let zones = class.only_zones.as_ref();
        kinds.is_none_or(|only| engine.kind.is_some_and(|kind| only.contains(&kind)))
            && zones.is_none_or(|only| engine.zone.is_some_and(|zone| only.contains(&zone)))
    }

    /// First in its key's order, and the key is not quiet after an earlier request that may still run.
    fn key_order_allows(&self, request: &Request) -> bool {
        let ordered = self.settings.classes[request.class].in_key_order;
        let key = request.query.key.filter(|_| ordered);
        let Some(order) = key.and_then(|key| self.key_queues.get(&key)) else {
            return true;
        };
        let quiet_is_over = self.now >= order.quiet_until || !request.attempts.is_empty();
        order.queue.front() == Some(&request.query.id) && quiet_is_over
    }

    fn send(&mut self, id: RequestId, to: EngineId) -> Option<()> {
        let (now, window) = (self.now, self.settings.overload_window);
        let (request, engine) = self.requests.get(&id).zip(self.engines.get(&to))?;
        if !self.may_send(request, engine) {
            return None;
        }
        let (work, memory_mb) = (
            self.mean_core_seconds(request.class),
            self.required_memory_mb(request),
        );
        let starts_by = self.latest_repeat_start(request);
        if self.settings.takes_grants || self.settings.takes_priorities {
            self.actions.push(self.attempt_resources(request, engine));
        }
        let (request, engine) = self.requests.get_mut(&id).zip(self.engines.get_mut(&to))?;
        let timeout = request.deadline - now;
        self.actions.push(Action::Send {
            request: id,
            engine: to,
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
        engine.record_send(now, window, work);
        engine.admission_tokens.consume(request.class);
        if let (Some(budget), false) = (self.settings.attempt_budget, request.attempts.is_empty()) {
            self.extra_attempts.add(now, budget.window);
        }
        request.attempts.push(Attempt::new(to, now));
        Some(())
    }

    /// Memory grant in whole megabytes, at most a query's share of the engine (0: the engine chooses), and a
    /// priority from 1 by the class's rank in worth per thread second.
    fn attempt_resources(&self, request: &Request, engine: &EngineView) -> Action {
        let classes = self.settings.active_classes();
        let worth =
            |class: usize| self.settings.classes[class].worth / self.mean_thread_seconds(class);
        let own_worth = worth(request.class);
        let lower_classes = classes.filter(|class| worth(*class) < own_worth).count();
        let grants_used = f64::from(u8::from(self.settings.takes_grants));
        let largest_grant = (self.settings.max_grant_share * engine.memory_mb).floor();
        let memory_mb = grants_used * self.required_memory_mb(request).ceil().min(largest_grant);
        let priority = (1 + lower_classes).min(MAX_PRIORITY) as u8;
        Action::attempt_resources(request.query.id, memory_mb, priority)
    }

    fn attempt_ended(&mut self, end: AttemptEnded) -> Option<()> {
        let request = self.requests.get_mut(&end.request)?;
        let attempt = request.attempts.get_mut(end.attempt.0 as usize)?;
        if attempt.outcome.is_some() {
            return None;
        }
        attempt.outcome = Some(end.outcome);
        let to = attempt.engine;
        if let Some(engine) = self.engines.get_mut(&to) {
            engine.attempt_ended(request, self.settings.classes[request.class].holds_group);
        }
        match end.outcome {
            // One of many gateways sends to an engine so rarely that it ejects it at the first refusal.
            Outcome::ConnectFailed if self.has_small_share => {
                self.record_failure(to, FAILURES_TO_EJECT, "can't be reached")
            }
            Outcome::ConnectFailed => self.record_failure(to, 1, "refuses connections"),
            Outcome::Reset | Outcome::Error | Outcome::Ok => {
                self.attribute_failure(end.request, to, end.outcome)
            }
            Outcome::Rejected => self.record_pressure(to),
            _ => None,
        };
        let healthy = matches!(end.outcome, Outcome::Ok | Outcome::Rejected);
        self.record_reply(to, healthy, end.load_report);
        match end.outcome {
            Outcome::Rejected | Outcome::TimedOut => self.concurrency_limit.adjust(true),
            Outcome::Ok => self.learn_from_answer(end.request, to, &end)?,
            _ => {}
        }
        if end.request_finished {
            self.close_request(end.request);
        } else {
            self.retry_or_give_up(end.request);
        }
        self.remove_if_done(end.request)
    }

    /// After an attempt without an answer: queues the request again if a retry is allowed and in time.
    fn retry_or_give_up(&mut self, id: RequestId) -> Option<()> {
        let request = self.requests.get(&id)?;
        if request.answered || request.is_queued || request.attempts_in_flight() > 0 {
            return None;
        }
        let mut engines = self.engines.values();
        let possible = engines.any(|engine| self.effect_allows(request, &engine.entry));
        let in_time = self.now + CHECK_INTERVAL < request.deadline;
        if possible && in_time && self.attempt_limits_allow(request) {
            self.queues.add(self.requests.get_mut(&id)?, true);
        } else {
            self.give_up(id);
        }
        Some(())
    }

    /// Final answer to a request that is not served: a refusal if nothing ran or a retry is harmless.
    pub(crate) fn give_up(&mut self, id: RequestId) -> Option<()> {
        let request = self.requests.get(&id).filter(|request| !request.answered)?;
        let harmless = match self.settings.classes[request.class].effect {
            Effect::Repeatable | Effect::Keyed(DedupScope::All) => true,
            Effect::Keyed(_) | Effect::Once => request.first_that_may_have_run().is_none(),
        };
        // A retry is useful once the requests queued now have been released.
        let waiting = self.queues.len(request.class) as f64 + 1.0;
        let wait_s = waiting / self.release_rate(request.class).max(1e-3);
        let retry_after = Micros::from_millis(1000).times(wait_s);
        let retry_after = retry_after.min(self.settings.max_retry_after);
        let refused = Action::refuse(id, retry_after);
        let failed = Action::Fail { request: id };
        self.actions.push(if harmless { refused } else { failed });
        self.close_request(id)
    }

    /// Ends a request: removes it from its queue and cancels its attempts.
    fn close_request(&mut self, id: RequestId) -> Option<()> {
        let request = self.requests.get_mut(&id)?;
        self.queues.remove(request);
        request.answered = true;
        let numbers = 0..request.attempts.len() as u32;
        for number in numbers {
            self.cancel_attempt(id, AttemptNo(number));
        }
        self.remove_if_done(id)
    }

    fn cancel_attempt(&mut self, id: RequestId, number: AttemptNo) -> Option<()> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempts.get_mut(number.0 as usize)?;
        let in_flight = attempt.outcome.is_none() && !attempt.cancelled;
        if in_flight && self.settings.may_cancel && !request.answer_started {
            attempt.cancelled = true;
            let (request, attempt) = (id, number);
            self.actions.push(Action::Cancel { request, attempt });
        }
        Some(())
    }

    /// Drops an answered request once no attempt is in flight, and lets the next request of its key run.
    fn remove_if_done(&mut self, id: RequestId) -> Option<()> {
        let request = self.requests.get(&id)?;
        if !request.answered || request.attempts_in_flight() > 0 {
            return None;
        }
        let (request, now) = (self.requests.remove(&id)?, self.now);
        let quiet_period = request
            .may_still_run()
            .then_some(self.settings.key_quiet_period);
        let order = self.key_queues.get_mut(&request.query.key?)?;
        let next = order.remove(id, now + quiet_period.unwrap_or_default());
        if let Some(next) = next.and_then(|next| self.requests.get_mut(&next)) {
            next.ready_at = now;
        }
        self.key_queues
            .retain(|_, order| !order.queue.is_empty() || order.quiet_until > now);
        Some(())
    }

    fn handle_note(&mut self, id: RequestId, number: AttemptNo, note: Note) -> Option<()> {
        let request = self.requests.get(&id)?;
        let attempt = request.attempts.get(number.0 as usize)?;
        if attempt.outcome.is_some() {
            return None;
        }
        let to = attempt.engine;
        match note {
            Note::Progress(done) if self.is_stalled(request, attempt, done) => self
                .record_stall(to, attempt.sent_at)
                .and_then(|()| self.cancel_for_retry(id, number)),
            Note::Progress(done) if self.has_bad_plan(request, attempt, Some(done)) => {
                if !self.has_answered_quickly_since(to, attempt.sent_at) {
                    self.concurrency_limit.adjust(true);
                }
                self.cancel_for_retry(id, number)
            }
            Note::Spills(missing) => {
                let shortfall = missing / request.query.memory_mb.max(1.0);
                let stats = &mut self.stats[request.class];
                stats.spill_margin =
                    (stats.spill_margin + SPILL_MARGIN_GAIN * shortfall).min(MAX_SPILL_MARGIN);
                self.record_pressure(to)
            }
            Note::WaitsForMemory => self.record_pressure(to),
            Note::WaitsForLoad => self.handle_load_wait(id, number, to),
            Note::Progress(_) => None,
        };
        let request = self.requests.get_mut(&id)?;
        request.attempts[number.0 as usize].last_note_at = self.now;
        self.record_reply(to, true, None)
    }

    /// An attempt waits for a load, maybe of another gateway: its table group counts as loading there for a
    /// while, and the request goes to another engine, as nothing has run yet.
    fn handle_load_wait(&mut self, id: RequestId, number: AttemptNo, to: EngineId) -> Option<()> {
        let group = self.requests.get(&id)?.query.table_group;
        let (now, until) = (self.now, self.now + FOREIGN_LOAD_DURATION);
        self.engines.get_mut(&to)?.mark_loading(group, now, until);
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

    fn is_loading(&self, engine: &EngineView, group: TableGroupId) -> bool {
        let foreign = engine.foreign_loading_groups.iter();
        let mut foreign = foreign.filter(|(_, until)| self.now < *until);
        engine.is_loading(group) || foreign.any(|(loading, _)| *loading == group)
    }

    /// Whether an attempt needs far longer than a new one would: finds bad plans and lost attempts. A query
    /// that waits for a load notes that at once and is exempt; one without a note got lost. Slow classes and
    /// engines are allowed for. A query that exceeds the limit again is large, or the engines are congested,
    /// so the limit doubles with each attempt.
    fn has_bad_plan(&self, request: &Request, attempt: &Attempt, done: Option<f64>) -> bool {
        let stats = &self.stats[request.class];
        let class = &self.settings.classes[request.class];
        let has_note = done.is_some() || attempt.last_note_at > Micros(0);
        let skip = class.holds_group || (class.waits_for_load && has_note);
        let Some((ratio, us)) = stats.usual_ratio.zip(stats.attempt_us.0).filter(|_| !skip) else {
            return false;
        };
        let new_us = request
            .estimated_duration_us()
            .map_or(us, |estimate| estimate * ratio.exp());
        // Checks are no more precise than their interval.
        let new_us = new_us.max(CHECK_INTERVAL.0 as f64);
        let engine = self.engines.get(&attempt.engine);
        let slowness = engine
            .map_or(0.0, |engine| engine.service_time_ratio)
            .max(stats.service_time_ratio);
        let scale = 2f64.powi(request.attempts.len() as i32 - 1);
        let due_us = new_us * slowness.exp().max(1.0) * scale / self.capacity_share(attempt.engine);
        let age_us = (self.now - attempt.sent_at).0 as f64;
        let noted =
            self.now < attempt.last_note_at + self.settings.note_interval.times(MISSED_NOTES);
        let overdue = if class.waits_for_load {
            OVERDUE_FACTOR_BEHIND_LOAD
        } else {
            OVERDUE_FACTOR
        };
        let bad = match done {
            Some(done) => age_us * (1.0 - done) / done.max(0.001) > BAD_PLAN_FACTOR * due_us,
            None => !noted && age_us > overdue * due_us,
        };
        bad && self.now.0 as f64 + new_us < request.deadline.0 as f64
    }

    /// Whether an attempt progresses so slowly, by its note, that its engine must be stalled.
    fn is_stalled(&self, request: &Request, attempt: &Attempt, done: f64) -> bool {
        let stats = &self.stats[request.class];
        let slowness = stats.service_time_ratio.max(0.0);
        let new_us = stats.usual_ratio.zip(request.estimated_duration_us());
        let new_us = new_us.map_or(f64::MAX, |(ratio, work)| work * (ratio + slowness).exp());
        let age_us = (self.now - attempt.sent_at).0 as f64;
        let limit_us = STALL_FACTOR * new_us / self.capacity_share(attempt.engine);
        let min_us = self.settings.note_interval.0 as f64 / 4.0;
        self.has_small_share
            && min_us > 0.0
            && age_us > min_us
            && age_us / done.max(0.001) > limit_us
    }

    /// Cancels an attempt so that another replaces it, if the class and the limits allow a retry.
    fn cancel_for_retry(&mut self, id: RequestId, number: AttemptNo) -> Option<()> {
        let request = self.requests.get(&id)?;
        let may_retry = request.attempts.len() < request.max_attempts;
        let effect = self.settings.classes[request.class].effect;
        if may_retry && matches!(effect, Effect::Repeatable | Effect::Keyed(DedupScope::All)) {
            self.cancel_attempt(id, number);
        }
        Some(())
    }

    /// Checks all requests: gives up overdue ones, cancels lost attempts, finds silent engines.
    fn check_requests(&mut self) {
        let (now, silence) = (self.now, self.settings.note_interval.times(MISSED_NOTES));
        let (mut late, mut lost, mut silent) = (Vec::new(), Vec::new(), BTreeSet::new());
        let mut to_probe = Vec::new();
        for (id, request) in &self.requests {
            // The wait for a slot is limited by the class; that for the key's turn only by the client.
            let needs_slot = request.attempts.is_empty() && self.key_order_allows(request);
            let max_wait = self.settings.classes[request.class].on_time;
            let max_wait = if needs_slot { max_wait } else { Micros::MAX };
            let latest = request.deadline.min(request.ready_at + max_wait);
            if request.is_queued && now + CHECK_INTERVAL >= latest {
                late.push(*id);
            }
            // The first of a queue probes other engines if the probed ones had no slot.
            let reprobe = self.queues.by_class[request.class][request.tenant].front() == Some(id);
            let reprobe = reprobe && probing::may_probe_repeatedly(self.probe_count(request.class));
            if reprobe && request.probed_at.is_some_and(|at| now >= at + PROBE_TTL) {
                to_probe.push(*id);
            }
            for (number, attempt) in request.attempts.iter().enumerate() {
                let to = attempt.engine;
                let last_seen = self.engines.get(&to).map_or(now, |to| to.last_seen_at);
                let unseen = now > last_seen.max(attempt.sent_at) + silence && silence > Micros(0);
                let in_flight = attempt.outcome.is_none() && !attempt.cancelled;
                if in_flight && unseen {
                    silent.insert(to);
                }
                // A healthy engine sends a note of each attempt in every interval; else the attempt is lost.
                let last_note = attempt.last_note_at.max(attempt.sent_at);
                let no_note = silence > Micros(0) && now > last_note + silence;
                if in_flight && (unseen || no_note || self.has_bad_plan(request, attempt, None)) {
                    lost.push((*id, AttemptNo(number as u32), to, attempt.sent_at, unseen));
                }
            }
        }
        for id in late {
            self.give_up(id);
        }
        let outage = 2 * silent.len() > self.engines.len();
        for engine in silent.into_iter().filter(|_| !outage) {
            self.record_failure(engine, FAILURES_TO_EJECT, "is silent");
        }
        for (id, number, to, sent_at, _) in lost.into_iter().filter(|lost| !(outage && lost.4)) {
            self.record_stall(to, sent_at);
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
