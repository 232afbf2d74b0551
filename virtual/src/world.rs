//! The day: gateways, engines, clients and faults on one clock that moves in steps.

use crate::check::{Rule, Tally, Verdict};
use crate::deployment::Deployment;
use crate::doubles::Decides;
use crate::engine::{self, Ailment, Running, Says};
use crate::faults::{Fault, Script};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Poisson};
use sedgebeam_core::*;
use std::collections::{BTreeMap, BTreeSet};

/// Steps of the clock. What a gateway is told is told at one.
const STEP: Micros = Micros::from_millis(10);
/// The day begins at this time: zero stands for long ago.
const BEGIN: Micros = Micros::from_millis(1_000_000);
/// A change of the list reaches a gateway within this range.
const TOLD_AFTER: (u64, u64) = (100_000, 800_000);
/// A connect to what does not answer fails after this.
const CONNECT_LIMIT: Micros = Micros::from_millis(250);
/// An engine that is replaced drains for so long before it is gone.
const DRAINS_FOR: Micros = Micros::from_millis(4000);
/// How far work scatters about its mean, and its estimate about it, as log ratios.
const SCATTER: f64 = 0.5;
const ESTIMATE: f64 = 0.3;
/// One gateway in so many sees four times the traffic of the others.
const BUSY_EVERY: u32 = 12;
const BUSY: f64 = 4.0;
const GROUPS: u64 = 60;

/// Makes the decider of a gateway, from its settings and a seed.
pub type Make = Box<dyn Fn(Settings, u64) -> Box<dyn Decides>>;

struct Node {
    decider: Box<dyn Decides>,
    /// Counts starts: what was meant for an earlier one is dropped.
    life: u32,
    up: bool,
    zone: usize,
    events: Vec<Event>,
    timers: BTreeSet<Micros>,
    /// Changes of the list arrive in order.
    told_until: Micros,
    /// What it was told: engines that drain or are gone, since when, and starts.
    ended: BTreeMap<u64, Micros>,
    starts: BTreeMap<u64, Micros>,
}

struct Out {
    engine: u64,
    number: u32,
    sent: Micros,
}

struct Asked {
    gateway: usize,
    life: u32,
    class: usize,
    came: Micros,
    work: f64,
    memory_mb: f64,
    group: u64,
    priority: usize,
    out: Option<Out>,
    attempts: u32,
    /// An attempt may have run.
    ran: bool,
}

enum Due {
    Tell(usize, u32, Box<Event>),
    Fails(RequestId, u32, Outcome),
    Overdue(RequestId),
    Fault(Fault),
    Gone(Vec<u64>),
    Starts(usize),
    Joined(usize),
}

pub struct World {
    pub deployment: Deployment,
    pub now: Micros,
    pub verdict: Verdict,
    /// By class.
    pub tallies: Vec<Tally>,
    /// Worth asked for, and served in time, by the second in which it was asked.
    pub by_second: Vec<(f64, f64)>,
    /// Work that cold engines were sent, by class, and what they could have done, in core seconds.
    pub cold_work: Vec<f64>,
    pub cold_able: f64,
    pub falls: u32,
    nodes: Vec<Node>,
    engines: BTreeMap<u64, engine::Engine>,
    open: BTreeMap<RequestId, Asked>,
    due: BTreeMap<(Micros, u64), Due>,
    count: u64,
    next_engine: u64,
    traffic: f64,
    /// Zones that are cut off.
    cut: Vec<usize>,
    weights: Vec<f64>,
    chance: ChaCha8Rng,
    make: Make,
    mean_work: f64,
}

impl World {
    /// A day of the product's gateways.
    pub fn new(deployment: Deployment, seed: u64, script: Script) -> World {
        let make: Make = Box::new(|settings, seed| Box::new(Gateway::new(settings, seed)));
        World::of(deployment, seed, script, make)
    }

    /// A day of other gateways.
    pub fn of(deployment: Deployment, seed: u64, script: Script, make: Make) -> World {
        let busy = |me: u32| if me % BUSY_EVERY == 5 { BUSY } else { 1.0 };
        let weights: Vec<f64> = (0..deployment.gateways).map(busy).collect();
        let rates = (0..deployment.work.len()).map(|class| deployment.rate(class));
        let work: f64 = deployment
            .work
            .iter()
            .zip(rates.clone())
            .map(|(w, r)| w.seconds * r)
            .sum();
        let mut world = World {
            now: BEGIN,
            verdict: Verdict::default(),
            tallies: vec![Tally::default(); deployment.work.len()],
            by_second: Vec::new(),
            cold_work: vec![0.0; deployment.work.len()],
            cold_able: 0.0,
            falls: 0,
            nodes: Vec::new(),
            engines: BTreeMap::new(),
            open: BTreeMap::new(),
            due: BTreeMap::new(),
            count: 0,
            next_engine: 1,
            traffic: 1.0,
            cut: Vec::new(),
            weights,
            chance: ChaCha8Rng::seed_from_u64(seed),
            make,
            mean_work: work / rates.sum::<f64>().max(1e-9),
            deployment,
        };
        for _ in 0..world.deployment.engines {
            world.new_engine(Micros(0));
        }
        for me in 0..world.deployment.gateways {
            let node = world.new_node(me, 0);
            world.nodes.push(node);
        }
        for (after, fault) in script {
            world.later(BEGIN + after, Due::Fault(fault));
        }
        world
    }

    fn later(&mut self, at: Micros, due: Due) {
        self.count += 1;
        self.due.insert((at, self.count), due);
    }

    fn new_engine(&mut self, started_at: Micros) -> u64 {
        // Numbers tell nothing of zone or age.
        let id = mix(self.next_engine);
        let zone = self.deployment.zone(self.next_engine).0;
        self.next_engine += 1;
        self.engines
            .insert(id, engine::Engine::new(id, zone, started_at));
        id
    }

    fn new_node(&mut self, me: u32, life: u32) -> Node {
        let settings = self.deployment.settings_of(me);
        let zone = settings.zone.map_or(0, |zone| zone.0);
        let decider = (self.make)(settings, self.chance.random());
        let mut node = Node {
            decider,
            life,
            up: true,
            zone,
            events: Vec::new(),
            timers: BTreeSet::new(),
            told_until: self.now,
            ended: BTreeMap::new(),
            starts: BTreeMap::new(),
        };
        let listed: Vec<Engine> = self
            .engines
            .values()
            .filter(|e| !e.gone)
            .map(entry)
            .collect();
        node.hears(
            self.now,
            Event::List {
                kind: ListKind::Complete,
                engines: listed,
            },
        );
        node
    }

    // ---- Time ----

    /// Lets so much time pass, with traffic.
    pub fn run(&mut self, lasts: Micros) {
        let until = self.now + lasts;
        while self.now < until {
            self.step(true);
        }
    }

    /// Lets all that is open end, without further traffic.
    pub fn finish(&mut self) {
        let longest = self
            .deployment
            .settings
            .classes
            .iter()
            .map(|class| class.give_up.0)
            .max();
        let until = self.now + Micros(longest.unwrap_or(0)) + Micros::from_millis(1000);
        while self.now < until && !self.open.is_empty() {
            self.step(false);
        }
    }

    fn step(&mut self, traffic: bool) {
        self.now = self.now + STEP;
        while let Some(first) = self.due.first_entry().filter(|due| due.key().0 <= self.now) {
            let due = first.remove();
            self.comes(due);
        }
        self.engines_run();
        if traffic {
            self.clients_ask();
        }
        for at in 0..self.nodes.len() {
            self.decide(at);
        }
    }

    fn comes(&mut self, due: Due) {
        match due {
            Due::Tell(gateway, life, event) => {
                let node = &mut self.nodes[gateway];
                if node.up && node.life == life {
                    node.hears(self.now, *event);
                }
            }
            Due::Fails(id, number, how) => self.ends(id, number, how),
            Due::Overdue(id) => {
                if let Some(asked) = self.open.remove(&id) {
                    let how = format!("request {} of gateway {}", id.0, asked.gateway);
                    self.verdict.break_rule(Rule::Answered, self.now, how);
                    self.tallies[asked.class].failed += 1;
                    self.leaves_engine(id, &asked);
                    self.nodes[asked.gateway].events.push(Event::ClientLeft(id));
                }
            }
            Due::Fault(fault) => self.happens(fault),
            Due::Gone(ids) => self.are_gone(&ids),
            Due::Starts(gateway) => {
                let life = self.nodes[gateway].life + 1;
                self.nodes[gateway] = self.new_node(gateway as u32, life);
            }
            Due::Joined(zone) => self.cut.retain(|cut| *cut != zone),
        }
    }

    // ---- Engines ----

    fn engines_run(&mut self) {
        let (now, rules) = (self.now, &self.deployment.settings);
        let mut said = Vec::new();
        let mut fallen = Vec::new();
        for engine in self.engines.values_mut() {
            if !engine.up(now) {
                continue;
            }
            if engine.pushed(now, rules, self.mean_work) > 1.0 {
                if engine.knowingly() > 2.0 / 3.0 {
                    let how = format!("engine {:x}", engine.id);
                    self.verdict.break_rule(Rule::ColdLoad, now, how);
                }
                fallen.extend(engine.falls(now));
                self.falls += 1;
                continue;
            }
            if engine.cold(now, rules) && !engine.draining {
                self.cold_able += engine::CORES * engine.able(now, rules) * STEP.0 as f64 / 1e6;
            }
            let zone = engine.zone;
            let silent = engine.ailment.silent;
            for (id, says) in engine.run(now, STEP, rules, &mut self.chance) {
                said.push((engine.id, zone, silent, id, says));
            }
        }
        for (id, running) in fallen {
            self.ends(id, running.attempt, Outcome::Reset);
        }
        for (engine, zone, silent, id, says) in said {
            let Some(running) = self.running(engine, id) else {
                continue;
            };
            let (gateway, number) = (running.gateway, running.attempt);
            let unheard = silent || self.is_cut(zone, self.nodes[gateway].zone);
            if let Says::Noted(note) = says {
                if !unheard {
                    let event = Event::Note(id, AttemptNo(number), note);
                    self.nodes[gateway].events.push(event);
                }
                continue;
            }
            if let Some(engine) = self.engines.get_mut(&engine) {
                engine.running.remove(&id);
            }
            if !unheard {
                let how = if says == Says::Done {
                    Outcome::Ok
                } else {
                    Outcome::Error
                };
                self.ends(id, number, how);
            }
        }
    }

    fn running(&self, engine: u64, id: RequestId) -> Option<&Running> {
        self.engines.get(&engine)?.running.get(&id)
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let apart = |zone: usize| (one == zone) != (other == zone);
        self.cut.iter().any(|zone| apart(*zone))
    }

    fn leaves_engine(&mut self, id: RequestId, asked: &Asked) {
        if let Some(out) = &asked.out
            && let Some(engine) = self.engines.get_mut(&out.engine)
        {
            engine.running.remove(&id);
        }
    }

    /// An attempt ends, and its gateway hears how.
    fn ends(&mut self, id: RequestId, number: u32, how: Outcome) {
        let Some(asked) = self.open.get_mut(&id) else {
            return;
        };
        let Some(out) = asked.out.take_if(|out| out.number == number) else {
            return;
        };
        asked.ran |= how.may_have_run();
        let (engine, gateway) = (out.engine, asked.gateway);
        let load = self.engines.get_mut(&engine).map(|engine| {
            engine.running.remove(&id);
            engine.load()
        });
        let rules = &self.deployment.settings;
        let told = how == Outcome::Ok && rules.reports == Reports::InAnswers;
        let event = Event::Ended(Ended {
            request: id,
            attempt: AttemptNo(number),
            engine: EngineId(engine),
            outcome: how,
            took: self.now - out.sent,
            finished: how == Outcome::Ok,
            work: (how == Outcome::Ok).then_some(Micros((asked.work * 1e6) as u64)),
            load: load.filter(|_| told),
        });
        self.nodes[gateway].events.push(event);
        if how == Outcome::Ok
            && let Some(asked) = self.open.remove(&id)
        {
            let class = &rules.classes[asked.class];
            let alone = asked.work / class.threads;
            let wanted = class.on_time + Micros((4.0 * alone * 1e6) as u64);
            let tally = &mut self.tallies[asked.class];
            if self.now - asked.came <= wanted {
                tally.in_time += 1;
                let second = ((asked.came - BEGIN).0 / 1_000_000) as usize;
                self.by_second[second].1 += class.worth;
            } else {
                tally.late += 1;
            }
        }
    }

    // ---- Clients ----

    fn clients_ask(&mut self) {
        let total: f64 = self.weights.iter().sum();
        for class in 0..self.deployment.work.len() {
            let rate = self.deployment.rate(class) * self.traffic * STEP.0 as f64 / 1e6;
            let come = Poisson::new(rate).map_or(0.0, |poisson| poisson.sample(&mut self.chance));
            for _ in 0..come as u64 {
                let mut draw = self.chance.random::<f64>() * total;
                let reached = self.weights.iter().position(|weight| {
                    draw -= weight;
                    draw <= 0.0
                });
                let first = reached.unwrap_or(0);
                // The front takes another one while one is away.
                let ring = (first..self.nodes.len()).chain(0..first);
                if let Some(gateway) = ring.into_iter().find(|at| self.nodes[*at].up) {
                    self.asks(gateway, class);
                }
            }
        }
    }

    fn scattered(&mut self, mean: f64, sigma: f64) -> f64 {
        let normal = LogNormal::new(-sigma * sigma / 2.0, sigma);
        mean * normal.map_or(1.0, |normal| normal.sample(&mut self.chance))
    }

    fn asks(&mut self, gateway: usize, class: usize) {
        let mean = self.deployment.work[class];
        let (work, memory_mb) = (
            self.scattered(mean.seconds, SCATTER),
            self.scattered(mean.memory_mb, SCATTER),
        );
        let estimate = self.scattered(work, ESTIMATE);
        let tenants = self.deployment.settings.tenants.len();
        self.count += 1;
        let id = RequestId(self.count);
        let settings = &self.deployment.settings.classes[class];
        let query = Query {
            tenant: (tenants > 0).then(|| TenantId(self.chance.random_range(0..tenants))),
            work: Micros((estimate * 1e6) as u64),
            memory_mb,
            group: GroupId(self.chance.random_range(0..GROUPS)),
            ..Query::new(id, ClassId(class), settings.give_up)
        };
        let overdue = self.now + settings.give_up + self.deployment.settings.answer_slack + STEP;
        let asked = Asked {
            gateway,
            life: self.nodes[gateway].life,
            class,
            came: self.now,
            work,
            memory_mb,
            group: query.group.0,
            priority: 1,
            out: None,
            attempts: 0,
            ran: false,
        };
        self.open.insert(id, asked);
        self.tallies[class].asked += 1;
        let second = ((self.now - BEGIN).0 / 1_000_000) as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, (0.0, 0.0));
        }
        self.by_second[second].0 += self.deployment.settings.classes[class].worth;
        self.nodes[gateway].events.push(Event::Request(query));
        self.later(overdue, Due::Overdue(id));
    }

    // ---- Gateways ----

    fn decide(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if !node.up {
            node.events.clear();
            return;
        }
        let due = node.timers.range(..=now).next().is_some();
        if due {
            node.timers.retain(|timer| *timer > now);
            node.events.push(Event::Timer(TimerId(0)));
        }
        if node.events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut node.events);
        for action in node.decider.handle(now, events) {
            self.does(at, action);
        }
    }

    fn does(&mut self, at: usize, action: Action) {
        match action {
            Action::Terms {
                request, priority, ..
            } => {
                let priority = usize::from(priority);
                let Some(asked) = self.open.get_mut(&request) else {
                    return;
                };
                asked.priority = priority;
                if let Some(out) = &asked.out
                    && let Some(engine) = self.engines.get_mut(&out.engine)
                    && let Some(running) = engine.running.get_mut(&request)
                {
                    running.priority = priority;
                }
            }
            Action::Send {
                request,
                engine,
                timeout,
                ..
            } => self.sends(at, request, engine.0, timeout),
            Action::Cancel { request, attempt } => {
                if let Some(asked) = self.open.get(&request)
                    && asked
                        .out
                        .as_ref()
                        .is_some_and(|out| out.number == attempt.0)
                {
                    self.later(
                        self.now + STEP,
                        Due::Fails(request, attempt.0, Outcome::Cancelled),
                    );
                }
            }
            Action::Refuse { request, .. } => self.gives_up(at, request, true),
            Action::Fail { request } => self.gives_up(at, request, false),
            Action::Timer { at: time, .. } => {
                self.nodes[at].timers.insert(time);
            }
            Action::Probe { engine } => {
                let load = self
                    .engines
                    .get(&engine.0)
                    .filter(|engine| engine.up(self.now));
                let load = load.map(|engine| engine.load());
                let how = if load.is_some() {
                    Outcome::Ok
                } else {
                    Outcome::TimedOut
                };
                let told = Box::new(Event::Probed(engine, how, load));
                let life = self.nodes[at].life;
                self.later(self.now + STEP, Due::Tell(at, life, told));
            }
            Action::Follow | Action::Log(_) => {}
        }
    }

    fn gives_up(&mut self, at: usize, id: RequestId, refused: bool) {
        let now = self.now;
        let Some(asked) = self.open.get(&id).filter(|asked| asked.gateway == at) else {
            let how = format!("request {} of gateway {at}", id.0);
            return self.verdict.break_rule(Rule::OneAnswer, now, how);
        };
        let (class, once) = (
            asked.class,
            self.deployment.settings.classes[asked.class].effect,
        );
        if refused && once == Effect::Once && (asked.ran || asked.out.is_some()) {
            let how = format!("request {} may have run and is refused as harmless", id.0);
            self.verdict.break_rule(Rule::OnceOnly, now, how);
        }
        let waited = now > asked.came + STEP;
        let tally = &mut self.tallies[class];
        if refused {
            let when = if asked.attempts > 0 {
                2
            } else {
                usize::from(waited)
            };
            tally.refused[when] += 1;
        } else {
            tally.failed += 1;
        }
        if let Some(asked) = self.open.remove(&id) {
            self.leaves_engine(id, &asked);
        }
    }

    fn sends(&mut self, at: usize, id: RequestId, to: u64, timeout: Micros) {
        let (now, rules) = (self.now, &self.deployment.settings);
        let Some(asked) = self.open.get_mut(&id).filter(|asked| asked.gateway == at) else {
            let how = format!("request {} is sent after its end", id.0);
            return self.verdict.break_rule(Rule::OneAnswer, now, how);
        };
        if asked.out.is_some() {
            let how = format!("request {} of gateway {at}", id.0);
            return self.verdict.break_rule(Rule::OneOut, now, how);
        }
        if asked.ran && rules.classes[asked.class].effect == Effect::Once {
            let how = format!("request {} is sent again", id.0);
            self.verdict.break_rule(Rule::OnceOnly, now, how);
        }
        let node = &self.nodes[at];
        if node
            .ended
            .get(&to)
            .is_some_and(|told| *told + rules.drain_grace + STEP < now)
        {
            let how = format!("gateway {at} to engine {to:x}");
            self.verdict.break_rule(Rule::Drained, now, how);
        }
        let number = asked.attempts;
        asked.attempts += 1;
        self.tallies[asked.class].attempts += 1;
        asked.out = Some(Out {
            engine: to,
            number,
            sent: now,
        });
        let running = Running {
            gateway: at,
            attempt: number,
            class: asked.class,
            group: asked.group,
            threads: rules.classes[asked.class].threads,
            memory_mb: asked.memory_mb,
            priority: asked.priority,
            work: asked.work,
            left: asked.work,
            noted: now,
            began: now,
        };
        let zone = node.zone;
        let lost = self.engines.get(&to).is_none_or(|engine| !engine.up(now));
        let cut = self
            .engines
            .get(&to)
            .is_some_and(|engine| self.is_cut(engine.zone, zone));
        if lost || cut {
            let limit = if cut { CONNECT_LIMIT } else { STEP };
            return self.later(now + limit, Due::Fails(id, number, Outcome::ConnectFailed));
        }
        if let Some(engine) = self.engines.get_mut(&to) {
            let knew = self.nodes[at].starts.get(&to) == Some(&engine.started_at);
            if engine.cold(now, rules) {
                self.cold_work[running.class] += running.work;
            }
            engine.takes(now, id, running, knew);
        }
        self.later(now + timeout, Due::Fails(id, number, Outcome::TimedOut));
    }

    // ---- Faults ----

    /// A part of the engines that are listed and take work.
    fn some_engines(&self, part: f64) -> Vec<u64> {
        let serving = self
            .engines
            .values()
            .filter(|engine| !engine.gone && !engine.draining);
        let mut ids: Vec<u64> = serving.map(|engine| engine.id).collect();
        let count = (part * self.deployment.engines as f64).round() as usize;
        // The oldest first: who is replaced is not who has just come.
        ids.sort_by_key(|id| (self.engines[id].started_at, *id));
        ids.truncate(count);
        ids
    }

    fn happens(&mut self, fault: Fault) {
        match fault {
            Fault::Replace { part } => {
                let ids = self.some_engines(part);
                let fresh: Vec<u64> = ids.iter().map(|_| self.new_engine(self.now)).collect();
                self.drain(&ids);
                self.tell_list(&fresh);
                self.later(self.now + DRAINS_FOR, Due::Gone(ids));
            }
            Fault::Retune { gateways } => {
                self.deployment.settings.gateways = gateways;
                for (me, node) in self.nodes.iter_mut().enumerate() {
                    node.decider.retune(self.deployment.settings_of(me as u32));
                }
            }
            Fault::Drain { part } => {
                let ids = self.some_engines(part);
                self.drain(&ids);
            }
            Fault::Ail { part, ailment } => {
                for id in self.some_engines(part) {
                    self.ails(id, ailment);
                }
            }
            Fault::ZoneLost { zone, lasts } => {
                let (now, back) = (self.now, self.now + lasts);
                let here = self
                    .engines
                    .values_mut()
                    .filter(|engine| engine.zone == zone && !engine.gone);
                let mut lost = Vec::new();
                let mut ids = Vec::new();
                for engine in here {
                    ids.push(engine.id);
                    lost.extend(engine.restarts(now, back));
                }
                for (id, running) in lost {
                    self.ends(id, running.attempt, Outcome::Reset);
                }
                // Their list tells of the start some time after it.
                self.tell_list(&ids);
            }
            Fault::ZoneCut { zone, lasts } => {
                let until = self.now + lasts;
                self.cut.push(zone);
                for node in self.nodes.iter_mut().filter(|node| node.zone == zone) {
                    node.told_until = node.told_until.max(until);
                }
                self.later(until, Due::Joined(zone));
            }
            Fault::Restart { from, to, away } => {
                let all = self.nodes.len() as f64;
                let some = (from * all).round() as usize..(to * all).round() as usize;
                for gateway in some {
                    self.stops(gateway);
                    self.later(self.now + away, Due::Starts(gateway));
                }
            }
            Fault::Resets { part } => {
                let out: Vec<(RequestId, u32)> = self
                    .open
                    .iter()
                    .filter_map(|(id, asked)| Some((*id, asked.out.as_ref()?.number)))
                    .collect();
                for (id, number) in out {
                    if self.chance.random_bool(part) {
                        self.ends(id, number, Outcome::Reset);
                    }
                }
            }
            Fault::Traffic { times } => self.traffic = times,
        }
    }

    fn ails(&mut self, id: u64, ailment: Ailment) {
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.ailment = ailment;
        }
    }

    fn drain(&mut self, ids: &[u64]) {
        for id in ids {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.draining = true;
            }
        }
        self.tell_list(ids);
    }

    fn are_gone(&mut self, ids: &[u64]) {
        let mut lost = Vec::new();
        for id in ids {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.gone = true;
                lost.extend(std::mem::take(&mut engine.running));
            }
        }
        for (id, running) in lost {
            self.ends(id, running.attempt, Outcome::Reset);
        }
        self.tell_list(ids);
    }

    /// A gateway stops: its requests are gone, and its engines hear of it.
    fn stops(&mut self, gateway: usize) {
        let node = &mut self.nodes[gateway];
        node.up = false;
        node.events.clear();
        let ids: Vec<RequestId> = self
            .open
            .iter()
            .filter(|(_, asked)| asked.gateway == gateway && asked.life == node.life)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            if let Some(asked) = self.open.remove(&id) {
                self.tallies[asked.class].lost += 1;
                self.leaves_engine(id, &asked);
            }
        }
    }

    /// Tells all gateways of changes, each at a time of its own.
    fn tell_list(&mut self, ids: &[u64]) {
        let changed: Vec<Engine> = ids
            .iter()
            .filter_map(|id| self.engines.get(id))
            .map(entry)
            .collect();
        for at in 0..self.nodes.len() {
            let after = Micros(self.chance.random_range(TOLD_AFTER.0..TOLD_AFTER.1));
            let node = &mut self.nodes[at];
            let when = (self.now + after).max(node.told_until);
            node.told_until = when;
            let event = Event::List {
                kind: ListKind::Changes,
                engines: changed.clone(),
            };
            let life = node.life;
            self.later(when, Due::Tell(at, life, Box::new(event)));
        }
    }

    // ---- What came of it ----

    /// Share of the worth asked for that was served in time.
    pub fn worth(&self) -> f64 {
        let classes = self.deployment.settings.classes.iter().zip(&self.tallies);
        let worth = |count: fn(&Tally) -> u64| -> f64 {
            let each = classes
                .clone()
                .map(|(class, tally)| class.worth * count(tally) as f64);
            each.sum()
        };
        worth(|tally| tally.in_time) / worth(|tally| tally.asked - tally.lost).max(1e-9)
    }

    /// Attempts for each request.
    pub fn amplification(&self) -> f64 {
        let sum = |count: fn(&Tally) -> u64| -> u64 { self.tallies.iter().map(count).sum() };
        sum(|tally| tally.attempts) as f64 / sum(|tally| tally.asked).max(1) as f64
    }

    /// What cold engines were sent, over what they could have done.
    pub fn cold_used(&self) -> f64 {
        self.cold_work.iter().sum::<f64>() / self.cold_able.max(1e-9)
    }

    /// Requests that have no end yet.
    pub fn outstanding(&self) -> usize {
        self.open.len()
    }
}

impl Node {
    fn hears(&mut self, now: Micros, event: Event) {
        if let Event::List { engines, .. } = &event {
            for engine in engines {
                self.starts.insert(engine.id.0, engine.started_at);
                if engine.state != EngineState::Ready {
                    self.ended.entry(engine.id.0).or_insert(now);
                }
            }
        }
        self.events.push(event);
    }
}

/// An engine as its list tells of it.
fn entry(engine: &engine::Engine) -> Engine {
    Engine {
        zone: Some(ZoneId(engine.zone)),
        kind: Some(KindId(0)),
        cell: CellId(engine.zone as u64),
        state: match (engine.gone, engine.draining) {
            (true, _) => EngineState::Gone,
            (_, true) => EngineState::Draining,
            _ => EngineState::Ready,
        },
        started_at: engine.started_at,
        ..Engine::ready(EngineId(engine.id))
    }
}
