//! A model of an engine: queries share its cores by priority, too many threads or too much memory slow all of them, a
//! started one warms up, and one that is sent far more than it can do falls over. Not a measurement of a real one.

use rand::Rng;
use sedgebeam_core::{Load, Micros, Note, RequestId, Settings};
use std::collections::{BTreeMap, VecDeque};

/// Of every engine here.
pub const CORES: f64 = 12.0;
pub const MEMORY_MB: f64 = 24576.0;
/// Threads a core beyond which more of them do less, and how much less each further core's worth does.
const KNEE: f64 = 1.8;
const THRASH: f64 = 0.7;
/// How many times slower all run for each whole memory that is missing.
const PAGE: f64 = 6.0;
/// Shares of cores by priority.
const WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// Beyond N queries of mean work that it may be sent in a window, an engine takes this many roots of N more, and so many.
const ROOTS: f64 = 2.0;
const MORE: f64 = 2.0;
/// A fallen engine is down for so long.
const DOWN: Micros = Micros::from_millis(3000);

/// What is wrong with an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ailment {
    /// It does its work so many times slower; zero and one are well.
    pub slow: f64,
    /// Share of queries that end in an error at once.
    pub failing: f64,
    /// Nothing is heard of it, though it works.
    pub silent: bool,
}

/// One attempt as its engine runs it.
#[derive(Clone, Debug)]
pub struct Running {
    pub gateway: usize,
    /// Tells attempts of one request apart.
    pub attempt: u32,
    pub class: usize,
    pub group: u64,
    pub threads: f64,
    pub memory_mb: f64,
    pub priority: usize,
    /// Core seconds: of all, and of what is left.
    pub work: f64,
    pub left: f64,
    pub noted: Micros,
    pub began: Micros,
}

/// What an engine says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Says {
    Done,
    Failed,
    Noted(Note),
}

#[derive(Clone, Debug)]
pub struct Engine {
    pub id: u64,
    pub zone: usize,
    /// Zero for long ago.
    pub started_at: Micros,
    pub down_until: Micros,
    pub gone: bool,
    pub draining: bool,
    pub ailment: Ailment,
    pub running: BTreeMap<RequestId, Running>,
    /// Work that came within the window that the settings name, and whether its sender knew of the start.
    recent: VecDeque<(Micros, f64, bool)>,
    pub falls: u32,
}

impl Engine {
    pub fn new(id: u64, zone: usize, started_at: Micros) -> Engine {
        Engine {
            id,
            zone,
            started_at,
            down_until: Micros(0),
            gone: false,
            draining: false,
            ailment: Ailment::default(),
            running: BTreeMap::new(),
            recent: VecDeque::new(),
            falls: 0,
        }
    }

    pub fn up(&self, now: Micros) -> bool {
        !self.gone && now >= self.down_until
    }

    /// Share of its capacity that it can do.
    pub fn able(&self, now: Micros, rules: &Settings) -> f64 {
        if self.started_at == Micros(0) || rules.warm_after == Micros(0) {
            return 1.0;
        }
        let age = (now - self.started_at).0 as f64 / rules.warm_after.0 as f64;
        rules.start_capacity + (1.0 - rules.start_capacity) * age.min(1.0)
    }

    pub fn cold(&self, now: Micros, rules: &Settings) -> bool {
        self.started_at > Micros(0) && now < self.started_at + rules.warm_after
    }

    /// How far what came within the window is beyond what a cold engine bears, as a ratio; zero for a warm one.
    pub fn pushed(&mut self, now: Micros, rules: &Settings, mean: f64) -> f64 {
        let window = rules.overload_for;
        while self
            .recent
            .front()
            .is_some_and(|(at, ..)| *at + window <= now)
        {
            self.recent.pop_front();
        }
        if !self.cold(now, rules) {
            return 0.0;
        }
        let able = CORES * self.able(now, rules) * rules.fall_multiple * window.0 as f64 / 1e6;
        let bears = able / mean.max(1e-9);
        let came: f64 = self.recent.iter().map(|(_, work, _)| work).sum();
        came / mean.max(1e-9) / (bears + ROOTS * bears.sqrt() + MORE)
    }

    /// Part of what came within the window that was sent by those who knew of the start.
    pub fn knowingly(&self) -> f64 {
        let sum = |knew: bool| {
            let recent = self.recent.iter().filter(|recent| knew || recent.2);
            recent.map(|(_, work, _)| work).sum::<f64>()
        };
        sum(false) / sum(true).max(1e-9)
    }

    /// An attempt comes; its sender knew of the engine's start or did not.
    pub fn takes(&mut self, now: Micros, id: RequestId, running: Running, knew: bool) {
        self.recent.push_back((now, running.work, knew));
        self.running.insert(id, running);
    }

    /// Falls over: all that runs is lost, and it starts anew later.
    pub fn falls(&mut self, now: Micros) -> Vec<(RequestId, Running)> {
        self.falls += 1;
        self.restarts(now, now + DOWN)
    }

    /// Stops now and is back, cold, at a time.
    pub fn restarts(&mut self, now: Micros, back: Micros) -> Vec<(RequestId, Running)> {
        (self.down_until, self.started_at) = (back.max(now), back.max(now));
        self.recent.clear();
        std::mem::take(&mut self.running).into_iter().collect()
    }

    fn threads(&self) -> f64 {
        self.running.values().map(|running| running.threads).sum()
    }

    fn memory_mb(&self) -> f64 {
        self.running.values().map(|running| running.memory_mb).sum()
    }

    /// Core seconds done in a second, by all that runs.
    fn pace(&self, now: Micros, rules: &Settings) -> f64 {
        let crowd = (self.threads() / CORES - KNEE).max(0.0);
        let missing = (self.memory_mb() / MEMORY_MB - 1.0).max(0.0);
        let slow = self.ailment.slow.max(1.0);
        CORES * self.able(now, rules) / (1.0 + THRASH * crowd) / (1.0 + PAGE * missing) / slow
    }

    /// Lets so much time pass; what is said at its end, by request. A load holds its group against what waits for loads.
    pub fn run(
        &mut self,
        now: Micros,
        passed: Micros,
        rules: &Settings,
        chance: &mut impl Rng,
    ) -> Vec<(RequestId, Says)> {
        let class = |running: &Running| &rules.classes[running.class];
        let holds = |running: &Running| class(running).holds_group;
        let held: Vec<u64> = self
            .running
            .values()
            .filter(|r| holds(r))
            .map(|r| r.group)
            .collect();
        let still =
            |running: &Running| class(running).waits_for_load && held.contains(&running.group);
        let weight = |running: &Running| running.threads * WEIGHTS[running.priority.min(3)];
        let pace = self.pace(now, rules) * passed.0 as f64 / 1e6;
        let moving: f64 = self
            .running
            .values()
            .filter(|r| !still(r))
            .map(weight)
            .sum();
        let most = passed.0 as f64 / 1e6;
        let (failing, note_every) = (self.ailment.failing, rules.note_every);
        let mut said = Vec::new();
        for (id, running) in &mut self.running {
            let waits = still(running);
            if !waits {
                let part = pace * weight(running) / moving.max(1e-9);
                running.left -= part.min(most * running.threads);
            }
            let fails = running.began + passed >= now && chance.random_bool(failing);
            let says = if fails {
                Some(Says::Failed)
            } else if running.left <= 0.0 {
                Some(Says::Done)
            } else if note_every > Micros(0) && now >= running.noted + note_every {
                running.noted = now;
                let done = Note::Progress(1.0 - running.left / running.work);
                Some(Says::Noted(if waits { Note::WaitsForLoad } else { done }))
            } else {
                None
            };
            said.extend(says.map(|says| (*id, says)));
        }
        said
    }

    /// What it tells of its load. One that pages looks idle: its cores wait.
    pub fn load(&self) -> Load {
        let paging = 1.0 + (self.memory_mb() / MEMORY_MB - 1.0).max(0.0) * PAGE;
        Load {
            active: Some(self.running.len() as f64),
            waiting: Some(0.0),
            busy: Some((self.threads() / CORES).min(1.0) / paging),
            granted: Some((self.memory_mb() / MEMORY_MB).min(1.0)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Deployment;
    use rand::SeedableRng;
    use rand_chacha::ChaCha8Rng;

    fn ms(millis: u64) -> Micros {
        Micros::from_millis(millis)
    }

    /// Seconds until a query of so much work is done beside so many more of this memory.
    fn takes(others: u64, memory_mb: f64, priority: usize) -> f64 {
        let rules = Deployment::usual(1, 1).settings;
        let mut engine = Engine::new(1, 0, Micros(0));
        for id in 0..=others {
            let mine = id == 0;
            let work = if mine { 4.0 } else { 1e6 };
            let running = Running {
                gateway: 0,
                attempt: 0,
                class: 1,
                group: id,
                threads: 4.0,
                memory_mb,
                priority: if mine { priority } else { 1 },
                work,
                left: work,
                noted: ms(0),
                began: ms(0),
            };
            engine.takes(ms(0), RequestId(id), running, true);
        }
        let mut chance = ChaCha8Rng::seed_from_u64(1);
        let done = (1..100_000).find(|tick| {
            let said = engine.run(ms(10 * tick), ms(10), &rules, &mut chance);
            said.contains(&(RequestId(0), Says::Done))
        });
        done.expect("it ends") as f64 / 100.0
    }

    #[test]
    fn cores_are_shared_by_priority_and_crowds_and_missing_memory_slow_all() {
        let alone = takes(0, 100.0, 1);
        assert!((alone - 1.0).abs() < 0.02, "{alone}");
        assert!(
            (takes(2, 100.0, 1) - 1.0).abs() < 0.02,
            "three fill the cores"
        );
        let (crowd, first) = (takes(11, 100.0, 1), takes(11, 100.0, 3));
        assert!(crowd > 4.5, "a crowd does less than its cores: {crowd}");
        assert!(first < crowd / 2.0, "the first by priority: {first}");
        assert!(takes(2, 12_000.0, 1) > 3.0, "missing memory");
    }

    #[test]
    fn a_cold_engine_can_do_its_part_and_bears_what_the_settings_allow() {
        let rules = Deployment::usual(1, 1).settings;
        let mut engine = Engine::new(1, 0, ms(10_000));
        assert!((engine.able(ms(10_000), &rules) - 0.3).abs() < 1e-9);
        assert!((engine.able(ms(30_000), &rules) - 1.0).abs() < 1e-9);
        let running = Running {
            gateway: 0,
            attempt: 0,
            class: 1,
            group: 0,
            threads: 4.0,
            memory_mb: 1.0,
            priority: 1,
            work: 4.0,
            left: 4.0,
            noted: ms(0),
            began: ms(0),
        };
        // 12 cores, 0.3 of them, four times that: 3.6 queries of 4 core seconds, 3.8 and 2 more by chance.
        for id in 0..9 {
            engine.takes(ms(10_000), RequestId(id), running.clone(), true);
        }
        assert!(engine.pushed(ms(10_000), &rules, 4.0) < 1.0);
        engine.takes(ms(10_000), RequestId(99), running, false);
        assert!((engine.knowingly() - 9.0 / 10.0).abs() < 1e-9);
        assert!(engine.pushed(ms(10_000), &rules, 4.0) > 1.0);
        assert_eq!(
            engine.pushed(ms(11_100), &rules, 4.0),
            0.0,
            "the window is over"
        );
    }
}
