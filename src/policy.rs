//! All decisions of the gateway. Its types, events and actions are in `src/interface.rs`.
//!
//! A request passes straight to an engine while nothing waits and a slot is spare; otherwise it
//! waits in the queue of its class and tenant, and Most Credit First says who goes next.

use crate::fleet_scan::{Surveyed, bears_on_engines};
use crate::interface::*;
use crate::shard_usage::Elsewhere;
use crate::sizing::{OWN_EXCESS, THREADS_PER_CORE, shares};
use crate::state::*;
use crate::subset::Ring;
use sedgebeam_fleet::{ConcurrencyLimit, EjectionPolicy, FAILURES_TO_EJECT, probing};
use std::collections::{BTreeMap, BTreeSet};

// ---- 1. Constants ----

/// Most credit or debt, in releases: an idle spell or a run of yielded turns is soon forgotten.
pub const MAX_CREDIT: f64 = 4.0;
/// A draw that holds less than this part of the heaviest waiting one's thread time is light.
const LIGHT_DRAW: f64 = 0.25;
/// Slower than usual by this factor is pressure.
const PRESSED: f64 = 1.5;
/// An answer that took this many times what its work takes alone tells of a crowd.
pub(crate) const CROWDED: f64 = 2.0;
/// Share of what it may have out of the threads that a gateway may have of the memory.
const MEMORY_PART: f64 = 0.5;
/// Most of its part of the memory, scaled by its traffic, that a gateway may have out where engines page:
/// what all have out must not fill the engines, whatever answers told before a burst.
const MEMORY_MOST: f64 = 0.75;
/// How long a wait or spill note or a full reply counts as pressure.
const SIGN_LASTS: Micros = Micros::from_millis(1000);
/// A queue holds at least this many queries: a bound of none would refuse at the first ripple.
const FEW: f64 = 3.0;
/// Share of the engines on which loads may hold one table group, before one more waits.
const LOADED_SHARE: f64 = 0.4;
/// The first engine of the table-group order is passed over beyond this multiple of the mean (DESIGN).
const NEAR_MEAN: f64 = 1.25;
/// Weight of a new sample in an engine's pace.
const PACE_GAIN: f64 = 0.1;
/// Step of the learned usual service time, as a log ratio.
const USUAL_STEP: f64 = 0.03;
/// Share of samples that lie under the usual: low, so that crowded spells do not become usual.
const USUAL_RANK: f64 = 0.4;
/// An engine counts at no less than this share of its cores, however slow it looks.
const LEAST_PACE: f64 = 0.2;
/// A list that could not be had is asked for again after this.
const LIST_AGAIN: Micros = Micros::from_millis(2000);
/// Note intervals without a sign of life, with attempts out, before an engine counts as silent.
const SILENT_NOTES: f64 = 2.5;
/// A plan is bad when what is left at its pace is this many times a fresh attempt.
const BAD_PLAN: f64 = 2.5;
/// An attempt that by its note takes this many times what a fresh one takes tells of a jammed engine.
const JAMMED: f64 = 6.0;
/// Without a note, an attempt is overdue after this many times what a fresh one takes.
const OVERDUE: f64 = 5.0;
/// The same for what might stand still behind a load, whose time scatters more.
const OVERDUE_HELD: f64 = 8.0;
/// Grant over the estimate before anything is learned.
const GRANT: f64 = 1.25;
/// Weight of a spill note in what is added to the grant, the most added, and how fast it falls back.
const SPILL_GAIN: f64 = 0.1;
const SPILL_MOST: f64 = 3.0;
const SPILL_DECAY: f64 = 0.005;
/// The highest priority of the scale.
const MOST_PRIORITY: usize = 3;
/// Weight of a new sample in a learned mean.
const MEAN_GAIN: f64 = 0.05;
/// Most that one answer says of an engine's pace: a heavy query is not a slow engine.
const RATIO_CAP: f64 = 1.5;
/// A load of another gateway, known by what stands still behind it, counts as running for this long.
const HELD_LASTS: Micros = Micros::from_millis(800);
/// Time between looks at what is waiting or out.
const LOOK_EVERY: Micros = Micros::from_millis(10);
/// What an engine told of its load counts for this long; later it is taken for a middling one.
const TOLD_LASTS: Micros = Micros::from_millis(3000);
/// An engine heard of within this time is not asked; others are asked when no answer came in it.
const FRESH: Micros = Micros::from_millis(150);
/// Threads a core told beyond which an engine has no slot; a wholly busy engine counts as two.
const FULL_TOLD: f64 = 1.8;
/// The same for a light class where priorities are heeded: it goes ahead of what keeps the cores busy.
const FULL_FOR_LIGHT: f64 = 2.0 * FULL_TOLD;

// ---- 2. Queues and credit ----

/// Most Credit First among numbered parties.
impl Credit {
    /// The waiting parties, most credit first.
    fn order(&self, mut waiting: Vec<usize>) -> Vec<usize> {
        waiting.sort_by(|a, b| self.credit[*b].total_cmp(&self.credit[*a]));
        waiting
    }

    /// A release: every waiting party earns its part of the price, the released one pays it.
    fn settle(&mut self, waiting: &[usize], released: usize, price: f64) {
        let total: f64 = waiting.iter().map(|&party| self.weights[party]).sum();
        for &party in waiting {
            let earned = self.weights[party] / total.max(f64::MIN_POSITIVE);
            let paid = f64::from(u8::from(party == released));
            let credit = self.credit[party] + price * (earned - paid);
            self.credit[party] = credit.clamp(-MAX_CREDIT, MAX_CREDIT);
        }
    }
}

// ---- 3. Engine budget ----

impl EngineView {
    /// Cores less what a slow machine or a neighbour takes away, as far as service times show it.
    fn able_cores(&self, peers_pace: f64) -> f64 {
        let share = (peers_pace - self.pace).exp();
        self.cores * share.clamp(LEAST_PACE, 1.0)
    }

    /// Set aside, or on trial with the trial still out.
    pub(crate) fn rests(&self, now: Micros) -> bool {
        self.health.is_ejected(now.0, self.attempts_out > 0)
    }
}

/// The decisions of one gateway.
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
    pub(crate) elsewhere: Elsewhere,
    pub(crate) usual: Vec<Usual>,
    pub(crate) fleet: Fleet,
    pub(crate) surveyed: Surveyed,
    /// For draws that spread the gateways apart.
    pub(crate) seed: u64,
    pub(crate) small_part: bool,
    /// How many times its part of the fleet this gateway may have out.
    pub(crate) multiple: ConcurrencyLimit,
    pub(crate) rests: EjectionPolicy,
    /// Mean worth of what is asked.
    worth: Mean,
    /// Thread time and time of what was answered: their ratio is the threads of a query out.
    thread_time: Mean,
    time: Mean,
    pub(crate) keys: BTreeMap<Key, KeyLine>,
    /// Requests taken and further attempts made within the attempt budget's window.
    pub(crate) taken: Recent,
    pub(crate) extra: Recent,
    follow_at: Option<Micros>,
    timer_set: bool,
    /// Taken in this call.
    arrived: Vec<RequestId>,
    actions: Vec<Action>,
}

impl Gateway {
    /// A gateway that knows nothing yet. The seed is for the choices that spread gateways apart.
    pub fn new(settings: Settings, seed: u64) -> Gateway {
        let asked = settings.list_mode == ListMode::OnRequest;
        let worths = settings.classes.iter().map(|class| class.worth.max(0.0));
        let shares = shares(&settings.tenants);
        Gateway {
            queues: Queues::new(settings.classes.len(), settings.tenants.len() + 1),
            class_credit: Credit::new(worths.collect()),
            tenant_credit: vec![Credit::new(shares); settings.classes.len()],
            usual: vec![Usual::default(); settings.classes.len()],
            follow_at: asked.then_some(Micros(0)),
            small_part: settings.small_part(),
            multiple: settings.multiple(),
            rests: settings.rests(),
            settings,
            seed,
            ..Gateway::default()
        }
    }

    /// Takes what happened and returns what to do, in order.
    pub fn handle(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        self.now = self.now.max(now);
        self.started_at.get_or_insert(now);
        for event in events {
            self.surveyed.outdated |= bears_on_engines(&event);
            self.take(event);
        }
        self.survey();
        self.warm();
        self.look();
        while self.release().is_some() {}
        self.refuse_beyond_bound();
        let waiting = !self.requests.is_empty() || self.follow_at.is_some();
        if waiting && !std::mem::replace(&mut self.timer_set, true) {
            let (timer, at) = (TimerId(0), self.now + LOOK_EVERY);
            self.actions.push(Action::Timer { timer, at });
        }
        std::mem::take(&mut self.actions)
    }

    fn take(&mut self, event: Event) -> Option<()> {
        match event {
            Event::List { kind, engines } => self.list(kind, engines),
            Event::ListFailed => self.follow_at = Some(self.now + LIST_AGAIN),
            Event::Request(query) => self.admit(query)?,
            Event::Started(request, _) => self.requests.get_mut(&request)?.streaming = true,
            Event::Note(request, attempt, note) => self.note(request, attempt, note)?,
            Event::Ended(end) => self.ended(end)?,
            Event::ClientLeft(id) => self.close(id)?,
            Event::Probed(id, how, load) => self.heard(id, how == Outcome::Ok, load)?,
            Event::Timer(_) => self.timer_set = false,
            Event::Shutdown => self.last_call(),
        }
        Some(())
    }

    fn list(&mut self, kind: ListKind, entries: Vec<Engine>) {
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
            self.engines.entry(entry.id).or_default().renew(entry, kind);
        }
        let known = |engine: &EngineView| engine.listed() || engine.attempts_out > 0;
        self.engines.retain(|_, engine| known(engine));
        self.ring.keep(|id| self.engines.contains_key(&id));
    }

    /// Threads that this gateway may have out on the engine while it is under pressure.
    pub(crate) fn budget(&self, engine: &EngineView) -> f64 {
        engine.able_cores(self.fleet.pace) * THREADS_PER_CORE / self.settings.all_gateways()
    }

    /// Threads a core on the engine, as lately told.
    fn told(&self, engine: &EngineView) -> Option<f64> {
        let (told, at) = engine.told?;
        (self.now < at + TOLD_LASTS).then_some(told)
    }

    /// How loaded the engine is: by own threads a core; where they tell little, by slow answers too.
    fn load(&self, engine: &EngineView) -> f64 {
        let own = engine.all_threads() / engine.able_cores(self.fleet.pace);
        let slow = engine.crowd.slowdown(self.now.0);
        own + if self.small_part { slow } else { 0.0 }
    }

    /// Whether the engine has a slot: one query always, more within the budget, which binds under pressure,
    /// and within this gateway's part of the memory. Guards against spills, which multiply the work;
    /// could hold queries back where memory estimates lie far too high.
    fn has_slot(&self, engine: &EngineView, request: &Request) -> bool {
        let pressed = engine.pace > PRESSED.ln() || self.now < engine.pressed_until;
        let limit = self.budget(engine) * if pressed { 1.0 } else { OWN_EXCESS };
        let memory_mb = engine.all_memory() + self.need(request);
        let room = memory_mb * self.settings.all_gateways() <= engine.memory_mb;
        if request.threads > self.room(engine) {
            return false;
        }
        if self.small_part {
            let goes_ahead = self.settings.takes_priorities && self.light(request.class);
            let full = if goes_ahead {
                FULL_FOR_LIGHT
            } else {
                FULL_TOLD
            };
            return self.told(engine).is_none_or(|told| told < full);
        }
        engine.all_threads() == 0.0 || (engine.all_threads() + request.threads <= limit && room)
    }

    /// Whether this gateway's part of the whole fleet leaves room, of threads and of memory. Stands in for
    /// the budget of each engine where that is under one query. It is a multiple that follows what answers
    /// tell of crowds: a fixed part would refuse chance bursts while engines have room. The part may itself
    /// be under one query, so how much of a query has to fit is drawn. Heavy queries out do not count
    /// against light ones, which hold little (harm: a flood of light ones comes on top).
    fn fleet_room(&self, request: &Request) -> bool {
        if !self.small_part {
            return true;
        }
        let light = self.light(request.class);
        let (mut threads, mut memory_mb) = (0.0, 0.0);
        let out = |other: &&Request| other.attempts_out() > 0 && !self.on_cold(other);
        let own = self.requests.values().filter(out);
        let own = own.map(|other| (other.class, other.threads, other.memory_held));
        for (class, held, memory_held) in own.chain(self.elsewhere.out()) {
            if !light || self.light(class) {
                threads += held;
                memory_mb += memory_held;
            }
        }
        // Light ones hold little and come first on engines: they keep a whole part.
        let parts = self.multiple.limit(if light { 1.0 } else { 0.0 });
        let draw = self.draw(request.query.id.0);
        let memory_part = self.fleet.memory_mb
            * (MEMORY_PART * parts).min(MEMORY_MOST * self.multiple.traffic_ratio());
        request.threads <= self.elsewhere.room.0
            && threads + draw * request.threads <= self.fleet.threads * parts
            && (self.settings.queues_for_memory
                || memory_mb + draw * self.need(request) <= memory_part)
    }

    /// Memory that the query will hold, by its estimate and what its class lacked lately.
    fn need(&self, request: &Request) -> f64 {
        request.query.memory_mb * (GRANT + self.usual[request.class].spilled)
    }

    // ---- 4. Admission ----

    /// Takes a request: it passes straight while nothing waits and a slot is spare, else it waits.
    fn admit(&mut self, query: Query) -> Option<()> {
        let (id, class) = (query.id, query.class.0);
        let settings = self.settings.classes.get(class)?;
        if self.requests.contains_key(&id) {
            return None;
        }
        if let Some(budget) = self.settings.attempt_budget {
            self.taken.add(self.now, budget.window);
        }
        if query.work > Micros(0) {
            self.usual[class].work.add(MEAN_GAIN, query.work.0 as f64);
        }
        self.worth.add(MEAN_GAIN, settings.worth);
        self.usual[class].taken += 1.0;
        self.multiple.record_request(self.now.0);
        if let Some(key) = query.key.filter(|_| settings.in_key_order) {
            self.keys.entry(key).or_default().waiting.push_back(id);
        }
        let unknown = self.settings.tenants.len();
        let tenant = query.tenant.map_or(unknown, |tenant| tenant.0.min(unknown));
        let allowed = self.settings.attempts_allowed();
        let request = Request::new(query, tenant, settings.threads, allowed, self.now);
        self.requests.insert(id, request);
        self.arrived.push(id);
        self.ask(id);
        let direct = self.queues.classes_waiting().is_empty();
        if let Some(engine) = self.choose(id).filter(|_| direct) {
            return self.send(id, engine);
        }
        self.queues.add(self.requests.get_mut(&id)?, false);
        Some(())
    }

    /// Asks the first engines of its order for their load before a heavy query is sent.
    fn ask(&mut self, id: RequestId) -> Option<()> {
        let told =
            self.settings.load_reports == LoadReportMode::InProbes && self.settings.may_probe;
        let request = self.requests.get(&id)?;
        if !told || self.light(request.class) || !self.small_part {
            return None;
        }
        let asked = self.asked(request.class);
        let mut order = self.eligible(request);
        self.narrow(&mut order);
        self.in_order(request, &mut order);
        let first = order.iter().take(asked).map(|engine| engine.entry.id);
        let order: Vec<EngineId> = first.collect();
        let now = self.now;
        for to in order {
            let engine = self.engines.get_mut(&to)?;
            let heard = engine.told.is_some_and(|(_, at)| now < at + FRESH);
            if !heard && now >= engine.asked_at + FRESH {
                engine.asked_at = now;
                self.actions.push(Action::Probe { engine: to });
            }
        }
        self.requests.get_mut(&id)?.asked_at = Some(now);
        Some(())
    }

    /// Engines that a query of the class asks.
    fn asked(&self, class: usize) -> usize {
        let (price, worth) = (self.settings.probe_cost, self.settings.classes[class].worth);
        probing::probe_count(price, worth, self.worth.0.unwrap_or(worth))
    }

    /// Refuses at once what waits beyond its class's bound once all ready engines have been tried, the newest
    /// of the tenant farthest beyond its share: else one that floods turns the others away.
    fn refuse_beyond_bound(&mut self) {
        for id in std::mem::take(&mut self.arrived).into_iter().rev() {
            let request = self.requests.get(&id).filter(|request| request.queued);
            let class = request.map_or(0, |request| request.class);
            let patience = self.settings.classes[class].on_time.0 as f64 / 1e6;
            let bound = self.release_rate(class) * patience;
            if request.is_some() && self.queues.len(class) as f64 > bound.max(FEW) {
                let over = self.queues.beyond_share(class, &self.tenant_credit[class]);
                self.give_up(over.unwrap_or(id));
            }
        }
    }

    /// Whether a draw of the class holds little beside one of the heaviest class.
    fn light(&self, class: usize) -> bool {
        let held = self.settings.in_use().map(|class| self.held(class));
        self.held(class) < LIGHT_DRAW * held.fold(0.0, f64::max)
    }

    /// Thread seconds that a draw of the class usually holds.
    pub(crate) fn held(&self, class: usize) -> f64 {
        let settings = &self.settings.classes[class];
        let unknown = settings.on_time.0 as f64;
        let took = self.usual[class].took.0.unwrap_or(unknown).max(1000.0);
        settings.threads.max(1.0) * took / 1e6
    }

    /// What a release pays: one, as in the design, but for a draw that holds its slot far shorter than
    /// the heaviest waiting one only its part. Without this, one heavy query for one light one starves
    /// the light class, although all its queries together hold little. Harm: none while draws are alike.
    fn price(&self, class: usize) -> f64 {
        let waiting = self.queues.classes_waiting();
        let held = waiting.iter().map(|&other| self.held(other));
        let part = self.held(class) / held.fold(self.held(class), f64::max);
        if part < LIGHT_DRAW { part } else { 1.0 }
    }

    /// Releases of the class a second, while it and every class that waits now wait.
    fn release_rate(&self, class: usize) -> f64 {
        let mut waiting = self.queues.classes_waiting();
        waiting.retain(|other| *other != class);
        waiting.push(class);
        let worth = |class: usize| self.settings.classes[class].worth;
        let weight = |class| (worth(class) / self.price(class)).max(1e-9);
        let costs = waiting
            .iter()
            .map(|&other| weight(other) * self.held(other));
        let cost: f64 = costs.sum();
        self.fleet.threads * weight(class) / cost
    }

    fn release(&mut self) -> Option<()> {
        let (id, engine) = self.next_release()?;
        let request = self.requests.get(&id)?;
        let (class, tenant, price) = (request.class, request.tenant, self.price(request.class));
        let classes = self.queues.classes_waiting();
        self.class_credit.settle(&classes, class, price);
        let tenants = self.queues.tenants_waiting(class);
        self.tenant_credit[class].settle(&tenants, tenant, 1.0);
        self.queues.remove(self.requests.get_mut(&id)?);
        self.send(id, engine)
    }

    /// The query whose turn it is, and its engine. A class or tenant that fits nowhere yields its turn.
    fn next_release(&self) -> Option<(RequestId, EngineId)> {
        for class in self.class_credit.order(self.queues.classes_waiting()) {
            for tenant in self.tenant_credit[class].order(self.queues.tenants_waiting(class)) {
                let line = self.queues.lines[class][tenant].iter();
                for request in line.filter_map(|id| self.requests.get(id)) {
                    let id = request.query.id;
                    if let Some(engine) = self.choose(id) {
                        return Some((id, engine));
                    }
                    // Its key, its earlier attempts or its group may bind one and not the next.
                    let load = self.settings.classes[class].holds_group;
                    if !load && request.attempts.is_empty() && self.key_ready(request) {
                        break;
                    }
                }
            }
        }
        None
    }

    // ---- 5. Engine choice ----

    /// The engine for the request: near-average in its table-group order, else least loaded.
    fn choose(&self, id: RequestId) -> Option<EngineId> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        let group = request.query.table_group;
        let room = self.fleet_room(request);
        if !room && !self.by_rights() {
            return None;
        }
        let mut eligible = self.eligible(request);
        // A right on a cold engine is room of its own, there alone.
        if !room {
            eligible.retain(|engine| self.is_cold(engine, self.now));
        }
        // Behind a load of its own group a query would hold memory and threads and stand still; loads
        // leave most engines free of their group for the queries that would wait.
        let held = |engine: &EngineView| self.held_there(engine, group);
        if class.holds_group || class.waits_for_load {
            let holding = eligible.iter().filter(|engine| held(engine)).count();
            if class.holds_group && holding as f64 > LOADED_SHARE * eligible.len() as f64 {
                return None;
            }
            prefer(&mut eligible, |engine| !held(engine));
        }
        self.narrow(&mut eligible);
        let load = |engine: &EngineView| self.load(engine);
        let mean = eligible.iter().map(|e| load(e)).sum::<f64>() / eligible.len() as f64;
        if let Some(asked) = request.asked_at {
            let fresh = |e: &EngineView| e.told.is_some_and(|(_, at)| at + FRESH > asked);
            let awaited = |e: &&EngineView| e.asked_at + FRESH > asked && !fresh(e);
            if self.now < asked + FRESH && eligible.iter().any(awaited) {
                return None;
            }
            // What can't ask others takes an engine unheard of over an asked one that has no slot.
            if !probing::may_probe_repeatedly(self.asked(request.class)) {
                eligible.retain(|engine| self.has_slot(engine, request));
            }
            prefer(&mut eligible, fresh);
        }
        eligible.retain(|engine| self.has_slot(engine, request));
        prefer(&mut eligible, |engine| !request.tried(engine.entry.id));
        // A right on a cold engine is rare for a heavy query, and lost when not used.
        if self.by_rights() {
            prefer(&mut eligible, |engine| self.is_cold(engine, self.now));
        }
        self.in_order(request, &mut eligible);
        let near = |engine: &&&EngineView| load(engine) <= NEAR_MEAN * mean;
        let least = || eligible.iter().min_by(|a, b| load(a).total_cmp(&load(b)));
        let chosen = eligible.iter().find(near).or_else(least);
        chosen.map(|engine| engine.entry.id)
    }

    /// The engines that it may be sent to, by their numbers, but for those set aside while there are others.
    fn eligible(&self, request: &Request) -> Vec<&EngineView> {
        if !self.may_go(request) {
            return Vec::new();
        }
        let engines = self.engines.values();
        let mut eligible = engines.filter(|e| self.may_go_to(request, e)).collect();
        prefer(&mut eligible, |engine| !engine.rests(self.now));
        eligible
    }

    /// Sorts by the hash of the table group. Where many gateways share each engine, the start is drawn
    /// among the first half of the engines: one order at all gateways would send a hot
    /// group's whole herd to one engine. Loads start from the other end where queries wait for them.
    fn in_order(&self, request: &Request, engines: &mut Vec<&EngineView>) {
        let group = request.query.table_group;
        engines.sort_by_key(|engine| splitmix64(splitmix64(group.0) ^ engine.entry.id.0));
        if self.small_part && !engines.is_empty() {
            let waits = self.settings.classes.iter().any(|c| c.waits_for_load);
            if self.settings.classes[request.class].holds_group && waits {
                engines.reverse();
            }
            let half = engines.len() as f64 / 2.0;
            let asked = request.asked_at.map_or(0, |at| at.0);
            let draw = self.draw(request.query.id.0 ^ asked);
            engines.rotate_left((draw * half) as usize);
        }
    }

    // ---- 6. Engine health ----

    /// A word from the engine, good or bad, with its load where it gives it.
    fn heard(&mut self, id: EngineId, well: bool, load: Option<LoadReport>) -> Option<()> {
        let engine = self.engines.get_mut(&id)?;
        if load.and_then(|load| load.queries_waiting_for_memory) >= Some(1.0) {
            engine.pressed_until = self.now + SIGN_LASTS;
        }
        let (threads, time) = (self.thread_time.0, self.time.0);
        let threads = threads.zip(time).map_or(1.0, |(sum, time)| sum / time);
        let load = load.unwrap_or_default();
        let active = load
            .active_queries
            .map(|active| active * threads / engine.cores);
        let busy = load.busy_cores_share.map(|busy| busy * THREADS_PER_CORE);
        let granted = load.granted_memory_share.map(|granted| granted * FULL_TOLD);
        let told = [active, busy, granted].into_iter().flatten();
        if let Some(told) = told.max_by(f64::total_cmp) {
            engine.told = Some((told, self.now));
        }
        if well {
            engine.heard_at = self.now;
            if engine.health.mark_responsive() {
                let log = format!("engine {} is back", id.0);
                self.actions.push(Action::Log(log));
            }
        }
        Some(())
    }

    fn pressed(&mut self, id: EngineId) -> Option<()> {
        self.engines.get_mut(&id)?.pressed_until = self.now + SIGN_LASTS;
        Some(())
    }

    /// A sign that the engine is not well; enough of them in a row set it aside for a while.
    fn strike(&mut self, id: EngineId, strikes: u32, why: &str) -> Option<()> {
        self.surveyed.outdated = true;
        let engine = self.engines.get_mut(&id)?;
        if engine
            .health
            .record_failures(strikes, self.now.0, self.rests)
        {
            let log = format!("engine {} set aside: {why}", id.0);
            self.actions.push(Action::Log(log));
        }
        Some(())
    }

    /// An attempt hardly moves, as its note tells or as it says nothing: its engine is jammed. It may tell of
    /// little load for that, since what waits for its disks takes no cores. One of few gateways sees an
    /// engine often enough to go by its pace, and what one attempt says is as often its own trouble.
    fn jammed(&mut self, id: EngineId, sent_at: Micros) -> Option<()> {
        if !self.small_part {
            return None;
        }
        // One attempt among others that are answered as quickly as ever has a bad plan.
        if self.answers_quickly(id, sent_at) {
            return Some(());
        }
        let draw = self.draw(id.0 ^ self.now.0);
        self.surveyed.outdated = true;
        let engine = self.engines.get_mut(&id)?;
        if engine.health.record_stall(self.now.0, self.rests, draw) {
            let log = format!("engine {} set aside: what runs there hardly moves", id.0);
            self.actions.push(Action::Log(log));
        }
        self.multiple.adjust(true);
        Some(())
    }

    /// Whether the engine has answered others quickly since an attempt was sent to it.
    fn answers_quickly(&self, id: EngineId, sent_at: Micros) -> bool {
        let engine = self.engines.get(&id);
        engine.is_some_and(|engine| engine.health.has_responded_fast_since(sent_at.0))
    }

    /// A draw from 0 to 1 that differs among gateways.
    fn draw(&self, salt: u64) -> f64 {
        splitmix64(self.seed ^ splitmix64(salt)) as f64 / u64::MAX as f64
    }

    /// Whose fault a reset or an error was shows only once another engine has answered the same request well:
    /// a request that no engine can use, of which a bad client sends hundreds, says nothing of engines. What
    /// may not be sent again counts at once.
    fn blame(&mut self, id: RequestId, to: EngineId, outcome: Outcome) -> Option<()> {
        let request = self.requests.get(&id)?;
        let failed = |how: &Outcome| matches!(how, Outcome::Reset | Outcome::Error);
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
                self.strike(id, FAILURES_TO_EJECT, "fails what others can do");
            }
        }
        Some(())
    }

    /// Whether an answer tells of a crowd: it took long for its work, or by its report more runs or is
    /// granted on the engine than it can bear. A line for memory is no crowd: it costs no work.
    fn tells_of_a_crowd(&self, request: &Request, end: &AttemptEnded) -> bool {
        // Twice as far from a guess as from the work told: a heavy query is no crowd.
        let guess = if end.work.is_some() { 1.0 } else { CROWDED };
        let engine = self.engines.get(&end.engine);
        self.stretch(request, end) > CROWDED * guess
            || engine.and_then(|engine| self.told(engine)) > Some(FULL_TOLD)
    }

    /// Learns from how long an answer took.
    fn learn(&mut self, request: RequestId, engine: EngineId, end: &AttemptEnded) -> Option<()> {
        self.multiple
            .adjust(self.tells_of_a_crowd(self.requests.get(&request)?, end));
        let request = self.requests.get(&request)?;
        let stretch = self.stretch(request, end);
        let usual = &mut self.usual[request.class];
        let took = end.elapsed.0.max(1) as f64;
        let ratio = (took / request.estimate().unwrap_or(1e6)).ln();
        let level = usual.ratio.get_or_insert(ratio);
        let away = (ratio - *level).clamp(-RATIO_CAP, RATIO_CAP);
        let step = USUAL_RANK - f64::from(u8::from(away < 0.0));
        *level += USUAL_STEP * step;
        usual.pace += PACE_GAIN * (away - usual.pace);
        usual.took.add(MEAN_GAIN, took);
        self.thread_time.add(MEAN_GAIN, took * request.threads);
        self.time.add(MEAN_GAIN, took);
        usual.spilled *= 1.0 - SPILL_DECAY;
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.pace += PACE_GAIN * (away - engine.pace);
            engine.crowd.record(self.now.0, stretch);
            if stretch < CROWDED {
                engine.health.record_fast_response(self.now.0);
            }
        }
        Some(())
    }

    // ---- 7. Guards ----

    /// The gate that every send passes: whatever a send could break.
    fn may_send(&self, request: &Request, engine: &EngineView) -> bool {
        self.may_go(request) && self.may_go_to(request, engine)
    }

    /// Whether it may be sent at all now.
    fn may_go(&self, request: &Request) -> bool {
        !request.over && self.key_ready(request) && self.attempts_allow(request)
    }

    /// Whether it may be sent to this engine, if it may be sent at all.
    fn may_go_to(&self, request: &Request, engine: &EngineView) -> bool {
        engine.listed()
            && self.placed(request, &engine.entry)
            && self.effect_allows(request, &engine.entry)
            && self.cold_allows(request, engine)
    }

    fn placed(&self, request: &Request, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.class];
        let kinds = class.only_kinds.as_ref();
        let zones = class.only_zones.as_ref();
        kinds.is_none_or(|only| engine.kind.is_some_and(|kind| only.contains(&kind)))
            && zones.is_none_or(|only| engine.zone.is_some_and(|zone| only.contains(&zone)))
    }

    /// The first of its key, and the key does not rest after an earlier one that may still run.
    fn key_ready(&self, request: &Request) -> bool {
        let ordered = self.settings.classes[request.class].in_key_order;
        let key = request.query.key.filter(|_| ordered);
        let Some(line) = key.and_then(|key| self.keys.get(&key)) else {
            return true;
        };
        let rested = self.now >= line.rests_until || !request.attempts.is_empty();
        line.waiting.front() == Some(&request.query.id) && rested
    }

    // ---- 8. Attempts ----

    fn send(&mut self, id: RequestId, to: EngineId) -> Option<()> {
        let (now, window) = (self.now, self.settings.overload_window);
        let (request, engine) = self.requests.get(&id).zip(self.engines.get(&to))?;
        if !self.may_send(request, engine) {
            return None;
        }
        let (work, need) = (self.weight(request.class), self.need(request));
        let starts_by = self.starts_by(request);
        if self.settings.takes_grants || self.settings.takes_priorities {
            self.actions.push(self.terms(request, engine));
        }
        let (request, engine) = self.requests.get_mut(&id).zip(self.engines.get_mut(&to))?;
        let timeout = request.deadline - now;
        self.actions.push(Action::Send {
            request: id,
            engine: to,
            timeout,
            starts_by,
        });
        if engine.attempts_out == 0 {
            engine.heard_at = now;
        }
        request.memory_held = need;
        let rested = engine.rests(now);
        engine.begins(request, self.settings.classes[request.class].holds_group);
        // Its trial is out.
        self.surveyed.outdated |= engine.rests(now) != rested;
        self.elsewhere.room.0 -= request.threads;
        engine.sent(now, window, work);
        engine.rights.consume(request.class);
        if let (Some(budget), false) = (self.settings.attempt_budget, request.attempts.is_empty()) {
            self.extra.add(now, budget.window);
        }
        request.attempts.push(Attempt::new(to, now));
        Some(())
    }

    /// Memory by need, in whole megabytes and at most a query's share of the engine's: none where that is not
    /// told. As priority the rank by worth for thread time, least at the usual one.
    fn terms(&self, request: &Request, engine: &EngineView) -> Action {
        let classes = self.settings.in_use();
        let worth = |class: usize| self.settings.classes[class].worth / self.held(class);
        let own = worth(request.class);
        let less = classes.filter(|class| worth(*class) < own).count();
        let heeded = f64::from(u8::from(self.settings.takes_grants));
        let largest_grant = (self.settings.max_grant_share * engine.memory_mb).floor();
        let memory_mb = heeded * self.need(request).ceil().min(largest_grant);
        let priority = (1 + less).min(MOST_PRIORITY) as u8;
        Action::attempt_resources(request.query.id, memory_mb, priority)
    }

    fn ended(&mut self, end: AttemptEnded) -> Option<()> {
        let request = self.requests.get_mut(&end.request)?;
        let attempt = request.attempts.get_mut(end.attempt.0 as usize)?;
        if attempt.outcome.is_some() {
            return None;
        }
        attempt.outcome = Some(end.outcome);
        let to = attempt.engine;
        if let Some(engine) = self.engines.get_mut(&to) {
            engine.ends(request, self.settings.classes[request.class].holds_group);
        }
        match end.outcome {
            // One of many gateways comes back so rarely that the second refusal would be another's.
            Outcome::ConnectFailed if self.small_part => {
                self.strike(to, FAILURES_TO_EJECT, "can't be reached")
            }
            Outcome::ConnectFailed => self.strike(to, 1, "refuses connections"),
            Outcome::Reset | Outcome::Error | Outcome::Ok => {
                self.blame(end.request, to, end.outcome)
            }
            Outcome::Rejected => self.pressed(to),
            _ => None,
        };
        let well = matches!(end.outcome, Outcome::Ok | Outcome::Rejected);
        self.heard(to, well, end.load_report);
        match end.outcome {
            Outcome::Rejected | Outcome::TimedOut => self.multiple.adjust(true),
            Outcome::Ok => self.learn(end.request, to, &end)?,
            _ => {}
        }
        if end.request_finished {
            self.close(end.request);
        } else {
            self.again(end.request);
        }
        self.forget(end.request)
    }

    /// After an attempt without an answer: another, if that is allowed and can still be of use.
    fn again(&mut self, id: RequestId) -> Option<()> {
        let request = self.requests.get(&id)?;
        if request.over || request.queued || request.attempts_out() > 0 {
            return None;
        }
        let mut engines = self.engines.values();
        let possible = engines.any(|engine| self.effect_allows(request, &engine.entry));
        let time = self.now + LOOK_EVERY < request.deadline;
        if possible && time && self.attempts_allow(request) {
            self.queues.add(self.requests.get_mut(&id)?, true);
        } else {
            self.give_up(id);
        }
        Some(())
    }

    /// The final answer to a request that is not served: a refusal where that is harmless.
    pub(crate) fn give_up(&mut self, id: RequestId) -> Option<()> {
        let request = self.requests.get(&id).filter(|request| !request.over)?;
        let harmless = match self.settings.classes[request.class].effect {
            Effect::Repeatable | Effect::Keyed(DedupScope::All) => true,
            Effect::Keyed(_) | Effect::Once => request.may_have_run().is_none(),
        };
        // It is worth coming back once the class's queue has moved on.
        let waiting = self.queues.len(request.class) as f64 + 1.0;
        let wait = waiting / self.release_rate(request.class).max(1e-3);
        let retry_after = Micros::from_millis(1000).times(wait);
        let retry_after = retry_after.min(self.settings.max_retry_after);
        let refused = Action::refuse(id, retry_after);
        let failed = Action::Fail { request: id };
        self.actions.push(if harmless { refused } else { failed });
        self.close(id)
    }

    /// The request is finished: nothing more is sent for it, and what is out is called off.
    fn close(&mut self, id: RequestId) -> Option<()> {
        let request = self.requests.get_mut(&id)?;
        self.queues.remove(request);
        request.over = true;
        let numbers = 0..request.attempts.len() as u32;
        for number in numbers {
            self.call_off(id, AttemptNo(number));
        }
        self.forget(id)
    }

    fn call_off(&mut self, id: RequestId, number: AttemptNo) -> Option<()> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempts.get_mut(number.0 as usize)?;
        let out = attempt.outcome.is_none() && !attempt.called_off;
        if out && self.settings.may_cancel && !request.streaming {
            attempt.called_off = true;
            let (request, attempt) = (id, number);
            self.actions.push(Action::Cancel { request, attempt });
        }
        Some(())
    }

    /// Drops a finished request once no attempt is out, and lets the next of its key go.
    fn forget(&mut self, id: RequestId) -> Option<()> {
        let request = self.requests.get(&id)?;
        if !request.over || request.attempts_out() > 0 {
            return None;
        }
        let (request, now) = (self.requests.remove(&id)?, self.now);
        let rest = request
            .may_still_run()
            .then_some(self.settings.key_quiet_period);
        let line = self.keys.get_mut(&request.query.key?)?;
        let next = line.leave(id, now + rest.unwrap_or_default());
        if let Some(next) = next.and_then(|next| self.requests.get_mut(&next)) {
            next.ready_at = now;
        }
        self.keys
            .retain(|_, line| !line.waiting.is_empty() || line.rests_until > now);
        Some(())
    }

    fn note(&mut self, id: RequestId, number: AttemptNo, note: Note) -> Option<()> {
        let request = self.requests.get(&id)?;
        let attempt = request.attempts.get(number.0 as usize)?;
        if attempt.outcome.is_some() {
            return None;
        }
        let to = attempt.engine;
        match note {
            Note::Progress(done) if self.stuck(request, attempt, done) => self
                .jammed(to, attempt.sent_at)
                .and_then(|()| self.replan(id, number)),
            Note::Progress(done) if self.bad_plan(request, attempt, Some(done)) => {
                if !self.answers_quickly(to, attempt.sent_at) {
                    self.multiple.adjust(true);
                }
                self.replan(id, number)
            }
            Note::Spills(missing) => {
                let lacking = missing / request.query.memory_mb.max(1.0);
                let usual = &mut self.usual[request.class];
                usual.spilled = (usual.spilled + SPILL_GAIN * lacking).min(SPILL_MOST);
                self.pressed(to)
            }
            Note::WaitsForMemory => self.pressed(to),
            Note::WaitsForLoad => self.stands_still(id, number, to),
            Note::Progress(_) => None,
        };
        let request = self.requests.get_mut(&id)?;
        request.attempts[number.0 as usize].noted_at = self.now;
        self.heard(to, true, None)
    }

    /// An attempt stands still behind a load, maybe of another gateway: its group is held there for a while,
    /// and it goes elsewhere, as it has done nothing yet.
    fn stands_still(&mut self, id: RequestId, number: AttemptNo, to: EngineId) -> Option<()> {
        let group = self.requests.get(&id)?.query.table_group;
        let (now, until) = (self.now, self.now + HELD_LASTS);
        self.engines.get_mut(&to)?.holds(group, now, until);
        let request = self.requests.get(&id)?;
        let free = |engine: &EngineView| {
            engine.listed() && !engine.rests(self.now) && !self.held_there(engine, group)
        };
        let mut others = self.engines.values().filter(|engine| free(engine));
        if !others.any(|engine| self.has_slot(engine, request)) {
            return None;
        }
        self.replan(id, number)
    }

    fn held_there(&self, engine: &EngineView, group: TableGroupId) -> bool {
        let told = engine.held_by_others.iter();
        let mut told = told.filter(|(_, until)| self.now < *until);
        engine.holds_now(group) || told.any(|(held, _)| *held == group)
    }

    /// Whether an attempt needs far more than a fresh one: guards against bad plans and lost attempts.
    /// What stands still behind a load says so at once and is not judged; what has said nothing got lost. No
    /// slow class or engine is taken for a bad plan; what looks bad again at each try is a big query or a
    /// crowd, so each try gets twice the time.
    fn bad_plan(&self, request: &Request, attempt: &Attempt, done: Option<f64>) -> bool {
        let usual = &self.usual[request.class];
        let class = &self.settings.classes[request.class];
        let said = done.is_some() || attempt.noted_at > Micros(0);
        let still = class.holds_group || (class.waits_for_load && said);
        let Some((ratio, took)) = usual.ratio.zip(usual.took.0).filter(|_| !still) else {
            return false;
        };
        let fresh = request
            .estimate()
            .map_or(took, |estimate| estimate * ratio.exp());
        // Nothing is judged by less than the time between two looks.
        let fresh = fresh.max(LOOK_EVERY.0 as f64);
        let engine = self.engines.get(&attempt.engine);
        let slow = engine.map_or(0.0, |engine| engine.pace).max(usual.pace);
        let tries = 2f64.powi(request.attempts.len() as i32 - 1);
        let fresh_now = fresh * slow.exp().max(1.0) * tries / self.able_of(attempt.engine);
        let spent = (self.now - attempt.sent_at).0 as f64;
        let noted = self.now < attempt.noted_at + self.settings.note_interval.times(SILENT_NOTES);
        let patience = if class.waits_for_load {
            OVERDUE_HELD
        } else {
            OVERDUE
        };
        let bad = match done {
            Some(done) => spent * (1.0 - done) / done.max(0.001) > BAD_PLAN * fresh_now,
            None => !noted && spent > patience * fresh_now,
        };
        bad && self.now.0 as f64 + fresh < request.deadline.0 as f64
    }

    /// Whether by its note an attempt takes so long, and has, that its engine must be jammed.
    fn stuck(&self, request: &Request, attempt: &Attempt, done: f64) -> bool {
        let usual = &self.usual[request.class];
        let slow = usual.pace.max(0.0);
        let fresh = usual.ratio.zip(request.estimate());
        let fresh = fresh.map_or(f64::MAX, |(ratio, work)| work * (ratio + slow).exp());
        let spent = (self.now - attempt.sent_at).0 as f64;
        let longest = JAMMED * fresh / self.able_of(attempt.engine);
        let due = self.settings.note_interval.0 as f64 / 4.0;
        self.small_part && due > 0.0 && spent > due && spent / done.max(0.001) > longest
    }

    /// Calls an attempt off so that another takes its place, where the class and the limits allow.
    fn replan(&mut self, id: RequestId, number: AttemptNo) -> Option<()> {
        let request = self.requests.get(&id)?;
        let room = request.attempts.len() < request.attempts_allowed;
        let effect = self.settings.classes[request.class].effect;
        if room && matches!(effect, Effect::Repeatable | Effect::Keyed(DedupScope::All)) {
            self.call_off(id, number);
        }
        Some(())
    }

    /// A look at all that waits or is out: ends what is overdue, finds engines that went silent.
    fn look(&mut self) {
        let (now, silence) = (self.now, self.settings.note_interval.times(SILENT_NOTES));
        let (mut late, mut lost, mut silent) = (Vec::new(), Vec::new(), BTreeSet::new());
        let mut again = Vec::new();
        for (id, request) in &self.requests {
            // The wait for a slot is limited; that for the key's turn only by the client.
            let slot = request.attempts.is_empty() && self.key_ready(request);
            let patience = self.settings.classes[request.class].on_time;
            let patience = if slot { patience } else { Micros::MAX };
            let latest = request.deadline.min(request.ready_at + patience);
            if request.queued && now + LOOK_EVERY >= latest {
                late.push(*id);
            }
            // The first of a line asks others, when those it asked had no slot.
            let first = self.queues.lines[request.class][request.tenant].front() == Some(id);
            let first = first && probing::may_probe_repeatedly(self.asked(request.class));
            if first && request.asked_at.is_some_and(|at| now >= at + FRESH) {
                again.push(*id);
            }
            for (number, attempt) in request.attempts.iter().enumerate() {
                let to = attempt.engine;
                let heard = self.engines.get(&to).map_or(now, |to| to.heard_at);
                let unheard = now > heard.max(attempt.sent_at) + silence && silence > Micros(0);
                let out = attempt.outcome.is_none() && !attempt.called_off;
                if out && unheard {
                    silent.insert(to);
                }
                // An engine that is well tells of each attempt at every interval; without, one is lost.
                let word = attempt.noted_at.max(attempt.sent_at);
                let untold = silence > Micros(0) && now > word + silence;
                if out && (unheard || untold || self.bad_plan(request, attempt, None)) {
                    lost.push((*id, AttemptNo(number as u32), to, attempt.sent_at, unheard));
                }
            }
        }
        for id in late {
            self.give_up(id);
        }
        let common = 2 * silent.len() > self.engines.len();
        for engine in silent.into_iter().filter(|_| !common) {
            self.strike(engine, FAILURES_TO_EJECT, "is silent");
        }
        for (id, number, to, sent_at, _) in lost.into_iter().filter(|lost| !(common && lost.4)) {
            self.jammed(to, sent_at);
            self.replan(id, number);
        }
        if self.follow_at.take_if(|at| now >= *at).is_some() {
            self.actions.push(Action::SubscribeToEngineList);
        }
        for id in again {
            self.ask(id);
        }
    }
}
