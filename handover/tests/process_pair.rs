//! Processes that come, serve, end and die in any order, each seeing the others as late as it looks: no two send
//! to cold engines, and one always may again.

use proptest::prelude::*;
use sedgebeam_handover::{Incarnation, Phase, ProcessPair};

#[derive(Clone, Copy, Debug)]
enum Step {
    Starts,
    /// One of those that live is ready, is told to end, or dies.
    Serves(usize),
    Ends(usize),
    Dies(usize),
    /// One looks at the others; whether it can read what they tell.
    Looks(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let which = 0usize..4;
    prop_oneof![
        2 => Just(Step::Starts),
        2 => which.clone().prop_map(Step::Serves),
        2 => which.clone().prop_map(Step::Ends),
        1 => which.clone().prop_map(Step::Dies),
        6 => (which, prop::bool::weighted(0.8)).prop_map(|(which, reads)| Step::Looks(which, reads)),
    ]
}

struct Process {
    life: Incarnation,
    phase: Phase,
    /// The phase that it has told last; what it is at now may be ahead of that.
    told: Option<Phase>,
    pair: ProcessPair,
}

type MayWarm = fn(&ProcessPair, Phase) -> bool;

struct House {
    processes: Vec<Process>,
    count: u32,
}

impl House {
    fn look(&mut self, at: usize, reads: bool) {
        let own = self.processes[at].life;
        let others = self.processes.iter().filter(|other| other.life != own);
        let seen = others.map(|other| (other.life, other.told.filter(|_| reads)));
        let seen = seen.collect();
        let process = &mut self.processes[at];
        process.pair.update(process.phase, seen);
        process.told = Some(process.phase);
    }

    fn warming(&self, may_warm: MayWarm) -> Vec<Incarnation> {
        let may = self.processes.iter();
        let may = may.filter(|process| may_warm(&process.pair, process.phase));
        may.map(|process| process.life).collect()
    }
}

fn play(steps: &[Step], may_warm: MayWarm) -> Result<(), String> {
    let mut house = House {
        processes: Vec::new(),
        count: 0,
    };
    for step in steps {
        let living = house.processes.len().max(1);
        match *step {
            Step::Starts if house.processes.len() < 4 => {
                house.count += 1;
                let life = Incarnation {
                    generation: u64::from(house.count / 2),
                    nonce: house.count,
                };
                house.processes.push(Process {
                    life,
                    phase: Phase::Starting,
                    told: None,
                    pair: ProcessPair::new(life),
                });
                // It looks before it does anything.
                house.look(house.processes.len() - 1, true);
            }
            Step::Serves(which) => {
                if let Some(process) = house.processes.get_mut(which % living)
                    && process.phase == Phase::Starting
                {
                    process.phase = Phase::Serving;
                }
            }
            Step::Ends(which) => {
                if let Some(process) = house.processes.get_mut(which % living) {
                    process.phase = Phase::Ending;
                }
            }
            Step::Dies(which) if !house.processes.is_empty() => {
                house.processes.remove(which % living);
            }
            Step::Looks(which, reads) if !house.processes.is_empty() => {
                house.look(which % living, reads);
            }
            Step::Starts | Step::Dies(_) | Step::Looks(..) => {}
        }
        let warming = house.warming(may_warm);
        if warming.len() > 1 {
            return Err(format!("after {step:?}, {warming:?} send to cold engines"));
        }
    }
    // All look: the oldest that does not end may.
    for at in (0..house.processes.len()).chain(0..house.processes.len()) {
        house.look(at, true);
    }
    let serving = house
        .processes
        .iter()
        .any(|process| process.phase != Phase::Ending);
    let warming = house.warming(may_warm);
    if serving && warming.len() != 1 {
        return Err(format!("{warming:?} send to cold engines, though one may"));
    }
    Ok(())
}

proptest! {
    #[test]
    fn no_two_processes_send_to_cold_engines_and_one_that_serves_may(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        prop_assert_eq!(play(&steps, |pair, _| pair.may_use_cold_engines()), Ok(()));
    }
}

#[test]
fn doubles_are_caught() {
    let steps = [
        Step::Starts,
        Step::Serves(0),
        Step::Looks(0, true),
        Step::Starts,
        Step::Looks(0, true),
        Step::Serves(1),
        Step::Looks(1, false),
        Step::Ends(0),
        Step::Looks(0, true),
        Step::Looks(1, true),
    ];
    assert_eq!(play(&steps, |pair, _| pair.may_use_cold_engines()), Ok(()));
    let doubles: [(&str, MayWarm); 3] = [
        ("nobody looks for others", |_, _| true),
        ("whoever serves may", |_, phase| phase == Phase::Serving),
        ("nobody ever may", |_, _| false),
    ];
    for (fault, double) in doubles {
        assert!(play(&steps, double).is_err(), "{fault}");
    }
}

#[test]
fn a_process_is_younger_than_all_that_it_finds() {
    let first = Incarnation::after([].into_iter(), 9);
    let second = Incarnation::after([first].into_iter(), 3);
    // One of an earlier version, which began at a Unix time.
    let earlier = Incarnation {
        generation: 1_800_000_000_000_000,
        nonce: 1,
    };
    let third = Incarnation::after([second, earlier, first].into_iter(), 0);
    assert!(first < second && second < third && earlier < third);
    for life in [first, second, third, earlier] {
        assert_eq!(Incarnation::parse(&life.name()), Some(life));
    }
}
