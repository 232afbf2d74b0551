//! Processes that start, serve, end and crash in any order, each with an outdated view of the
//! others: no two may send to cold engines at the same time, and in the end one may again.

use proptest::prelude::*;
use sedgebeam_handover::{Incarnation, Phase, ProcessPair};

#[derive(Clone, Copy, Debug)]
enum Step {
    Start,
    /// A live process becomes ready, is told to end, or crashes.
    Serve(usize),
    End(usize),
    Crash(usize),
    /// A process updates its view of the others; the flag is whether it can read their messages.
    Look(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0usize..4;
    prop_oneof![
        2 => Just(Step::Start),
        2 => index.clone().prop_map(Step::Serve),
        2 => index.clone().prop_map(Step::End),
        1 => index.clone().prop_map(Step::Crash),
        6 => (index, prop::bool::weighted(0.8))
            .prop_map(|(index, can_read)| Step::Look(index, can_read)),
    ]
}

struct Process {
    incarnation: Incarnation,
    phase: Phase,
    /// The phase in its last message; `phase` may be ahead of it.
    published_phase: Option<Phase>,
    pair: ProcessPair,
}

type MayUseColdEngines = fn(&ProcessPair, Phase) -> bool;

struct Dispatcher {
    processes: Vec<Process>,
    started_count: u32,
}

impl Dispatcher {
    fn look(&mut self, index: usize, can_read: bool) {
        let own_incarnation = self.processes[index].incarnation;
        let peers = self
            .processes
            .iter()
            .filter(|peer| peer.incarnation != own_incarnation);
        let visible_peers =
            peers.map(|peer| (peer.incarnation, peer.published_phase.filter(|_| can_read)));
        let visible_peers = visible_peers.collect();
        let process = &mut self.processes[index];
        process.pair.update(process.phase, visible_peers);
        process.published_phase = Some(process.phase);
    }

    fn cold_engine_users(&self, may_use_cold_engines: MayUseColdEngines) -> Vec<Incarnation> {
        let users = self.processes.iter();
        let users = users.filter(|process| may_use_cold_engines(&process.pair, process.phase));
        users.map(|process| process.incarnation).collect()
    }
}

fn run(steps: &[Step], may_use_cold_engines: MayUseColdEngines) -> Result<(), String> {
    let mut dispatcher = Dispatcher {
        processes: Vec::new(),
        started_count: 0,
    };
    for step in steps {
        let live_count = dispatcher.processes.len().max(1);
        match *step {
            Step::Start if dispatcher.processes.len() < 4 => {
                dispatcher.started_count += 1;
                let incarnation = Incarnation {
                    generation: u64::from(dispatcher.started_count / 2),
                    nonce: dispatcher.started_count,
                };
                dispatcher.processes.push(Process {
                    incarnation,
                    phase: Phase::Starting,
                    published_phase: None,
                    pair: ProcessPair::new(incarnation),
                });
                // A process looks at the others before it does anything.
                dispatcher.look(dispatcher.processes.len() - 1, true);
            }
            Step::Serve(index) => {
                if let Some(process) = dispatcher.processes.get_mut(index % live_count)
                    && process.phase == Phase::Starting
                {
                    process.phase = Phase::Serving;
                }
            }
            Step::End(index) => {
                if let Some(process) = dispatcher.processes.get_mut(index % live_count) {
                    process.phase = Phase::Ending;
                }
            }
            Step::Crash(index) if !dispatcher.processes.is_empty() => {
                dispatcher.processes.remove(index % live_count);
            }
            Step::Look(index, can_read) if !dispatcher.processes.is_empty() => {
                dispatcher.look(index % live_count, can_read);
            }
            Step::Start | Step::Crash(_) | Step::Look(..) => {}
        }
        let users = dispatcher.cold_engine_users(may_use_cold_engines);
        if users.len() > 1 {
            return Err(format!("after {step:?}, {users:?} send to cold engines"));
        }
    }
    // Once all processes have looked at each other, the oldest one that is not ending may send to
    // cold engines.
    for index in (0..dispatcher.processes.len()).chain(0..dispatcher.processes.len()) {
        dispatcher.look(index, true);
    }
    let has_active_process = dispatcher
        .processes
        .iter()
        .any(|process| process.phase != Phase::Ending);
    let users = dispatcher.cold_engine_users(may_use_cold_engines);
    if has_active_process && users.len() != 1 {
        return Err(format!("{users:?} send to cold engines, though one may"));
    }
    Ok(())
}

proptest! {
    #[test]
    fn at_most_one_process_may_send_to_cold_engines_and_finally_one_may(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        prop_assert_eq!(run(&steps, |pair, _| pair.may_use_cold_engines()), Ok(()));
    }
}

#[test]
fn faulty_rules_are_detected() {
    let steps = [
        Step::Start,
        Step::Serve(0),
        Step::Look(0, true),
        Step::Start,
        Step::Look(0, true),
        Step::Serve(1),
        Step::Look(1, false),
        Step::End(0),
        Step::Look(0, true),
        Step::Look(1, true),
    ];
    assert_eq!(run(&steps, |pair, _| pair.may_use_cold_engines()), Ok(()));
    let faulty_rules: [(&str, MayUseColdEngines); 3] = [
        ("peers are ignored", |_, _| true),
        ("serving is enough", |_, phase| phase == Phase::Serving),
        ("no process ever may", |_, _| false),
    ];
    for (description, rule) in faulty_rules {
        assert!(run(&steps, rule).is_err(), "{description}");
    }
}

#[test]
fn an_incarnation_is_greater_than_all_that_existed_at_its_start() {
    let first = Incarnation::after([].into_iter(), 9);
    let second = Incarnation::after([first].into_iter(), 3);
    // An incarnation of an earlier version, with its Unix time as generation.
    let earlier = Incarnation {
        generation: 1_800_000_000_000_000,
        nonce: 1,
    };
    let third = Incarnation::after([second, earlier, first].into_iter(), 0);
    assert!(first < second && second < third && earlier < third);
    for incarnation in [first, second, third, earlier] {
        assert_eq!(Incarnation::parse(&incarnation.name()), Some(incarnation));
    }
}
