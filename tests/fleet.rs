//! Many gateways of the module meet at the same engines in virtual time.

mod common;
use common::*;
use sedgebeam_core::*;
use std::collections::BTreeMap;

const TICK: u64 = 10;
const CORES: f64 = 12.0;

fn fleet(gateways: u32, me: u32) -> Settings {
    let settings = settings();
    let mut classes = settings.classes;
    classes[LOAD].in_key_order = false;
    Settings {
        gateways,
        me: Some(me),
        classes,
        kinds: vec![Kind {
            cores: CORES,
            memory_mb: 24576.0,
        }],
        start_capacity: 0.3,
        warm_after: ms(14_000),
        fall_multiple: 4.0,
        overload_for: ms(1000),
        ..settings
    }
}

/// Engines that answer everything after the time it takes alone, and what the gateways sent to them.
struct World {
    gateways: Vec<Gateway>,
    now: Micros,
    started: BTreeMap<u64, Micros>,
    /// Answers to come, by time: gateway and its event.
    due: BTreeMap<(Micros, u64), (usize, Event)>,
    count: u64,
    /// By engine: time and class of each send.
    sent: BTreeMap<u64, Vec<(Micros, usize)>>,
    class_of: BTreeMap<u64, usize>,
}

fn work(class: usize) -> u64 {
    [80, 4000, 2400][class]
}

impl World {
    fn new(gateways: u32) -> World {
        let one = |me| Gateway::new(fleet(gateways, me), u64::from(me) + 1);
        World {
            gateways: (0..gateways).map(one).collect(),
            now: ms(100_000),
            started: BTreeMap::new(),
            due: BTreeMap::new(),
            count: 0,
            sent: BTreeMap::new(),
            class_of: BTreeMap::new(),
        }
    }

    fn tell(&mut self, to: usize, events: Vec<Event>) {
        for action in self.gateways[to].handle(self.now, events) {
            if let Action::Send {
                request, engine, ..
            } = action
            {
                let class = self.class_of[&request.0];
                let sent = self.sent.entry(engine.0).or_default();
                sent.push((self.now, class));
                let threads = [1, 4, 2][class];
                let took = ms(work(class) / threads);
                let Event::Ended(end) = ended(request.0, 0, engine.0, Outcome::Ok, true) else {
                    unreachable!()
                };
                self.count += 1;
                let event = Event::Ended(Ended { took, ..end });
                self.due.insert((self.now + took, self.count), (to, event));
            }
        }
    }

    fn list(&mut self, ids: &[u64]) {
        for id in ids {
            self.started.entry(*id).or_insert(Micros(0));
        }
        let engines: Vec<Engine> = ids
            .iter()
            .map(|id| Engine {
                started_at: self.started[id],
                ..engine(*id)
            })
            .collect();
        for to in 0..self.gateways.len() {
            let list = Event::List {
                kind: ListKind::Complete,
                engines: engines.clone(),
            };
            self.tell(to, vec![list]);
        }
    }

    /// Time passes; each gateway gets its part of so many queries of each class a second.
    fn run(&mut self, millis: u64, rates: [f64; 3], chance: &mut u64) {
        for _ in 0..millis / TICK {
            self.now = self.now + ms(TICK);
            while let Some(first) = self.due.first_entry().filter(|due| due.key().0 <= self.now) {
                let (to, event) = first.remove();
                self.tell(to, vec![event]);
            }
            for (class, rate) in rates.into_iter().enumerate() {
                let mut expected = rate * TICK as f64 / 1000.0;
                while expected > 0.0 {
                    *chance = mix(*chance);
                    let comes = (*chance as f64 / u64::MAX as f64) < expected;
                    expected -= 1.0;
                    if comes {
                        let to = (mix(*chance) % self.gateways.len() as u64) as usize;
                        self.count += 1;
                        self.class_of.insert(self.count, class);
                        let query = Query {
                            work: ms(work(class)),
                            group: GroupId(*chance % 60),
                            ..query(self.count, class)
                        };
                        self.tell(to, vec![Event::Request(query)]);
                    }
                }
            }
        }
    }

    /// The most work sent to a cold engine within a window, over what the rule allows.
    fn worst(&self) -> f64 {
        let rule = fleet(1, 0);
        let mut worst = 0.0_f64;
        for (id, sent) in &self.sent {
            let started = self.started[id];
            if started == Micros(0) {
                continue;
            }
            for (at, _) in sent
                .iter()
                .filter(|(at, _)| *at < started + rule.warm_after)
            {
                let recent = sent
                    .iter()
                    .filter(|(other, _)| other <= at && *other + rule.overload_for > *at);
                let weight: u64 = recent.map(|(_, class)| work(*class)).sum();
                let age = (*at - started).0 as f64 / rule.warm_after.0 as f64;
                let able = CORES * (0.3 + 0.7 * age) * 4.0 * 1000.0;
                worst = worst.max(weight as f64 / able);
            }
        }
        worst
    }
}

/// Six in ten engines are replaced at once.
fn replaced(gateways: u32, engines: u64, seed: u64) -> World {
    let mut world = World::new(gateways);
    let old: Vec<u64> = (1..=engines).collect();
    world.list(&old);
    let share = engines as f64 / 30.0;
    let rates = [450.0 * share, 10.0 * share, 15.0 * share];
    let mut chance = seed;
    world.run(2000, rates, &mut chance);
    let gone = (engines * 6 / 10) as usize;
    let new: Vec<u64> = (1000..1000 + gone as u64).collect();
    for id in &new {
        world.started.insert(*id, world.now);
    }
    let listed: Vec<u64> = old[gone..].iter().copied().chain(new).collect();
    world.list(&listed);
    world.run(6000, rates, &mut chance);
    world
}

#[test]
fn cold_engines_get_work_from_the_start_and_never_more_than_all_may_send() {
    for (gateways, engines) in [(3, 7), (30, 7), (30, 30), (100, 30), (100, 60)] {
        let world = replaced(gateways, engines, u64::from(gateways) + engines);
        let worst = world.worst();
        assert!(worst <= 1.0, "{gateways} gateways: {worst} of the rule");
        let cold = world.sent.iter().filter(|(id, _)| **id >= 1000);
        let sends: Vec<_> = cold.flat_map(|(_, sent)| sent).collect();
        let fresh = (engines * 6 / 10) as usize;
        assert!(sends.len() > 10 * fresh, "{gateways}: {}", sends.len());
        // Where a gateway's part is under one query, heavy queries get their turn as well.
        let heavy = sends.iter().filter(|(_, class)| *class != LIGHT).count();
        assert!(gateways < 30 || heavy > 0, "{gateways}: no heavy query");
    }
}

/// The checker sees it when each gateway acts as if it were alone.
#[test]
fn gateways_that_count_on_a_whole_engine_break_the_rule() {
    let mut world = World::new(100);
    world.started.insert(1, world.now);
    world.list(&[1]);
    for (me, gateway) in world.gateways.iter_mut().enumerate() {
        *gateway = Gateway::new(
            Settings {
                start_capacity: 1e9,
                warm_after: ms(1),
                ..fleet(1, me as u32)
            },
            me as u64,
        );
    }
    world.list(&[1]);
    world.run(3000, [0.0, 100.0, 0.0], &mut 7);
    assert!(world.worst() > 1.0, "{}", world.worst());
}
