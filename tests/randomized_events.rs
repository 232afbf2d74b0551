//! A seeded storm of legal and odd events, against an independent checker of the seven rules.

mod common;

use common::*;
use sedgebeam_core::*;
use std::collections::BTreeMap;

/// A small fixed generator (xorshift64*).
struct Chance(u64);

impl Chance {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) % bound
    }
}

struct Try {
    engine: Engine,
    sent_at: Micros,
    times_out: Micros,
    outcome: Option<Outcome>,
}

struct Taken {
    query: Query,
    deadline: Micros,
    tries: Vec<Try>,
    answered: bool,
}

/// What the world knows, told apart from what the gateway thinks.
struct World {
    settings: Settings,
    now: Micros,
    requests: BTreeMap<u64, Taken>,
    engines: BTreeMap<u64, Engine>,
    /// Requests of each key in the order taken, and when the last attempt that may still run ended.
    keys: BTreeMap<u64, Vec<u64>>,
    unsure: BTreeMap<u64, (u64, Micros)>,
    extra: Vec<Micros>,
    taken: Vec<Micros>,
    cold: BTreeMap<u64, Vec<(Micros, f64)>>,
    sends: usize,
}

impl World {
    fn new(settings: Settings) -> World {
        World {
            settings,
            now: ms(50_000),
            requests: BTreeMap::new(),
            engines: BTreeMap::new(),
            keys: BTreeMap::new(),
            unsure: BTreeMap::new(),
            extra: Vec::new(),
            taken: Vec::new(),
            cold: BTreeMap::new(),
            sends: 0,
        }
    }

    fn over(&self, id: u64) -> bool {
        let taken = &self.requests[&id];
        taken.answered && taken.tries.iter().all(|attempt| attempt.outcome.is_some())
    }

    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send {
                    request,
                    engine,
                    timeout,
                    starts_by,
                } => self.check_send(request.0, engine.0, *timeout, *starts_by),
                Action::Refuse { request, .. } => {
                    let taken = &self.requests[&request.0];
                    let class = &self.settings.classes[taken.query.class.0];
                    let ran = |a: &Try| a.outcome.is_none_or(Outcome::may_have_run);
                    let harmless = match class.effect {
                        Effect::Repeatable | Effect::Keyed(DedupScope::All) => true,
                        _ => !taken.tries.iter().any(ran),
                    };
                    assert!(harmless, "rule 2: a refusal that may do harm");
                    self.answer(request.0);
                }
                Action::Fail { request } => self.answer(request.0),
                Action::Cancel { request, attempt } => {
                    let tries = &self.requests[&request.0].tries;
                    assert!((attempt.0 as usize) < tries.len(), "an attempt never made");
                }
                _ => {}
            }
        }
        for (id, taken) in &self.requests {
            let slack = self.settings.answer_slack;
            assert!(
                taken.answered || self.now <= taken.deadline + slack,
                "rule 1: {id} has no answer"
            );
        }
    }

    fn answer(&mut self, id: u64) {
        let taken = self
            .requests
            .get_mut(&id)
            .expect("only what was taken is answered");
        assert!(
            !std::mem::replace(&mut taken.answered, true),
            "rule 1: two answers"
        );
    }

    fn check_send(&mut self, id: u64, to: u64, timeout: Micros, starts_by: Option<Micros>) {
        let (settings, now) = (&self.settings, self.now);
        let taken = &self.requests[&id];
        let class = &settings.classes[taken.query.class.0];
        assert!(!taken.answered, "rule 1: sent after its end");
        let engine = self
            .engines
            .get(&to)
            .expect("rule 3: the engine is listed")
            .clone();
        assert_eq!(engine.state, EngineState::Ready, "rule 3");
        let out = taken
            .tries
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
            .count();
        assert!(
            out <= usize::from(settings.second_copies),
            "rule 2: attempts out"
        );
        assert!(
            taken.tries.len() < settings.max_attempts as usize,
            "attempts in all"
        );
        let earlier = taken
            .tries
            .iter()
            .find(|a| a.outcome.is_none_or(Outcome::may_have_run));
        if let Some(earlier) = earlier {
            match class.effect {
                Effect::Repeatable => {}
                Effect::Once => panic!("rule 2: sent again"),
                Effect::Keyed(group) => {
                    assert!(now < earlier.sent_at + class.dedup_window, "rule 2: window");
                    let by = starts_by.expect("rule 2: a bound for its beginning");
                    assert!(
                        now < by && by < earlier.sent_at + class.dedup_window,
                        "rule 2"
                    );
                    match group {
                        DedupScope::All => {}
                        DedupScope::Zone => assert_eq!(engine.zone, earlier.engine.zone, "rule 2"),
                        DedupScope::Cell => assert_eq!(engine.cell, earlier.engine.cell, "rule 2"),
                    }
                }
            }
        }
        if let (Some(key), true) = (taken.query.key, class.in_key_order) {
            let line = &self.keys[&key.0];
            for other in line.iter().take_while(|other| **other != id) {
                assert!(self.over(*other), "rule 5: {other} is not over");
            }
            if let Some((owner, at)) = self.unsure.get(&key.0) {
                assert!(
                    *owner == id || now >= *at + settings.key_quiet_period,
                    "rule 5: the key rests"
                );
            }
        }
        if let Some(kinds) = &class.only_kinds {
            assert!(
                engine.kind.is_some_and(|kind| kinds.contains(&kind)),
                "rule 6: kind"
            );
        }
        if let Some(zones) = &class.only_zones {
            assert!(
                engine.zone.is_some_and(|zone| zones.contains(&zone)),
                "rule 6: zone"
            );
        }
        if !taken.tries.is_empty() {
            self.extra.push(now);
            let budget = settings.attempt_budget.expect("the storm has a budget");
            let within = |times: &[Micros]| {
                times.iter().filter(|at| **at + budget.window > now).count() as f64
            };
            let most = budget.free_attempts + budget.extra_per_request * within(&self.taken);
            assert!(within(&self.extra) <= most, "rule 7");
        }
        if engine.started_at > Micros(0) && now < engine.started_at + settings.warm_after {
            let sends = self.cold.entry(to).or_default();
            sends.push((now, taken.query.work.0 as f64 / 1e6));
            let window = settings.overload_window;
            let recent = sends.iter().filter(|(at, _)| *at + window > now);
            let work: f64 = recent.map(|(_, work)| work).sum();
            let able = 8.0 * settings.start_capacity * window.0 as f64 / 1e6;
            let most = settings.overload_multiple * able / f64::from(settings.gateways);
            assert!(work <= most, "rule 4: {work} of {most}");
        }
        self.sends += 1;
        let taken = self.requests.get_mut(&id).expect("known");
        let times_out = now + timeout.min(taken.deadline - now);
        taken.tries.push(Try {
            engine,
            sent_at: now,
            times_out,
            outcome: None,
        });
    }

    /// An outcome of the attempt, as the world tells it.
    fn end(&mut self, id: u64, number: usize, outcome: Outcome, took: Micros) -> Event {
        let taken = self.requests.get_mut(&id).expect("known");
        let attempt = &mut taken.tries[number];
        attempt.outcome = Some(outcome);
        let engine = attempt.engine.id;
        let finished = outcome == Outcome::Ok || taken.answered;
        taken.answered |= outcome == Outcome::Ok;
        let unsure = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if let (Some(key), true) = (taken.query.key, unsure) {
            self.unsure.insert(key.0, (id, self.now));
        }
        Event::Ended(AttemptEnded {
            request: RequestId(id),
            attempt: AttemptNo(number as u32),
            engine,
            outcome,
            elapsed: took,
            request_finished: finished,
            work: None,
            load_report: Some(LoadReport {
                queries_waiting_for_memory: Some((id % 3) as f64),
                ..LoadReport::default()
            }),
        })
    }
}

fn stormy() -> Settings {
    let mut settings = settings();
    settings.gateways = 2;
    settings.attempt_budget = Some(AttemptBudget {
        window: ms(3000),
        free_attempts: 5.0,
        extra_per_request: 0.3,
    });
    settings.key_quiet_period = ms(300);
    settings.tenants = vec![
        Tenant {
            share: 0.7,
            ..Tenant::default()
        },
        Tenant::default(),
    ];
    settings.kinds.push(Kind {
        cores: 8.0,
        memory_mb: 8192.0,
    });
    settings.classes[HEAVY].only_kinds = Some(vec![KindId(0)]);
    for group in [DedupScope::All, DedupScope::Zone, DedupScope::Cell] {
        let effect = Effect::Keyed(group);
        let only_zones = (group == DedupScope::Zone).then(|| vec![ZoneId(0), ZoneId(1)]);
        settings.classes.push(Class {
            effect,
            only_zones,
            ..class(5.0, 2.0, 1000, 8000)
        });
    }
    settings
}

/// Plays a storm and returns every action, for comparison.
fn storm(seed: u64, steps: u64) -> (Vec<Action>, usize) {
    let mut chance = Chance(seed);
    let mut world = World::new(stormy());
    let mut gateway = Gateway::new(stormy(), seed);
    let mut log = Vec::new();
    let mut next = 1;
    for step in 0..steps {
        // Time stands still now and then.
        world.now = world.now + ms(5 * chance.below(3));
        let (mut events, before) = (Vec::new(), next);
        if step == 0 || chance.below(60) == 0 {
            let entry = |chance: &mut Chance, id: u64, now: Micros| Engine {
                kind: Some(KindId((id % 2) as usize)),
                zone: Some(ZoneId((id % 3) as usize)),
                cell: CellId(id % 4),
                started_at: if chance.below(8) == 0 { now } else { Micros(0) },
                state: [
                    EngineState::Ready,
                    EngineState::Ready,
                    EngineState::Ready,
                    EngineState::Draining,
                ][chance.below(4) as usize],
                ..Engine::ready(EngineId(id))
            };
            let ids: Vec<u64> = (1..=8).filter(|_| chance.below(6) > 0).collect();
            let engines: Vec<Engine> = ids
                .into_iter()
                .map(|id| entry(&mut chance, id, world.now))
                .collect();
            world.engines = engines
                .iter()
                .map(|engine| (engine.id.0, engine.clone()))
                .collect();
            events.push(Event::List {
                kind: ListKind::Complete,
                engines,
            });
        }
        for _ in 0..chance.below(4) {
            let class = chance.below(6) as usize;
            let key = (class == LOAD).then(|| Key(chance.below(4)));
            let remaining = ms(300 + chance.below(4000));
            let query = Query {
                key,
                tenant: (chance.below(5) > 0).then(|| TenantId(chance.below(2) as usize)),
                remaining,
                work: ms(100),
                memory_mb: 500.0,
                table_group: TableGroupId(chance.below(10)),
                ..Query::new(RequestId(next), ClassId(class), remaining)
            };
            if let Some(key) = key {
                world.keys.entry(key.0).or_default().push(next);
            }
            world.taken.push(world.now);
            let deadline = world.now + remaining;
            let taken = Taken {
                query: query.clone(),
                deadline,
                tries: Vec::new(),
                answered: false,
            };
            world.requests.insert(next, taken);
            events.push(Event::Request(query));
            next += 1;
        }
        let out: Vec<(u64, usize)> = world
            .requests
            .iter()
            .flat_map(|(id, taken)| (0..taken.tries.len()).map(|number| (*id, number)))
            .filter(|(id, number)| world.requests[id].tries[*number].outcome.is_none())
            .collect();
        for (id, number) in out {
            let attempt = &world.requests[&id].tries[number];
            let took = world.now - attempt.sent_at;
            let outcome = match chance.below(120) {
                _ if world.now >= attempt.times_out => Outcome::TimedOut,
                0..=20 => Outcome::Ok,
                21..=22 => Outcome::Error,
                23 => Outcome::Rejected,
                24..=25 => Outcome::ConnectFailed,
                26 => Outcome::Reset,
                27 => Outcome::Cancelled,
                28 => {
                    let note = [
                        Note::Progress(0.01),
                        Note::Spills(90.0),
                        Note::WaitsForMemory,
                    ];
                    let note = note[chance.below(3) as usize];
                    events.push(Event::Note(RequestId(id), AttemptNo(number as u32), note));
                    continue;
                }
                _ => continue,
            };
            let event = world.end(id, number, outcome, took);
            if chance.below(10) == 0 {
                events.push(event.clone()); // Told twice: the second is to be ignored.
            }
            events.push(event);
        }
        if chance.below(50) == 0 {
            // One that came in this batch may have been sent before its client left in it.
            let id = chance.below(before);
            if let Some(taken) = world.requests.get_mut(&id) {
                taken.answered = true;
            }
            events.push(Event::ClientLeft(RequestId(id)));
            events.push(attempt_ended(next + 99, 0, 1, Outcome::Ok, true));
            events.push(Event::ListFailed);
        }
        events.push(Event::Timer(TimerId(0)));
        let actions = gateway.handle(world.now, events);
        world.check(&actions);
        log.extend(actions);
    }
    (log, world.sends)
}

#[test]
fn a_storm_breaks_no_rule() {
    for seed in 1..=8 {
        let (_, sends) = storm(seed * 7919, 800);
        assert!(sends > 300, "the storm must send: {sends}");
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(storm(5, 600).0, storm(5, 600).0);
}

#[test]
fn gateways_side_by_side_share_nothing() {
    let mut one = Harness::with_engines(settings(), 2);
    let mut alone = Harness::with_engines(settings(), 2);
    let mut other = Harness::with_engines(settings(), 2);
    for id in 1..=30 {
        other.submit(id, HEAVY);
        assert_eq!(one.submit(id, LIGHT), alone.submit(id, LIGHT));
    }
}
