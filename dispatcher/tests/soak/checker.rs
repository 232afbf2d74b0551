//! What must hold of a run, judged by what clients, engines and the change log have seen, and by nothing of the program.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Microseconds since the run began.
pub type Micros = u64;

pub const MILLISECOND: Micros = 1_000;
/// Every limit of time is this much longer on sockets.
const SLACK: Micros = 50 * MILLISECOND;
/// An answer so long after its time earns nothing; later it is lost.
const LATE_BY: Micros = 500 * MILLISECOND;
/// What goes on to a resting connection while that is being closed is sent again.
const CROSSES: Micros = 50 * MILLISECOND;
/// An attempt begins no longer than this after its client has gone.
const GONE_BY: Micros = 100 * MILLISECOND;
/// The time passed to an engine is at most what is left, and this.
const LEFT_AND: Micros = 150 * MILLISECOND;
/// A dispatcher that starts is ready by then.
const READY_BY: Micros = 10_000 * MILLISECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    Refused,
    Failed,
}

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Repeatable,
    /// Nothing, where it begins so soon after the first attempt that may have run.
    ByKey { window: Micros },
    /// Harm.
    Once,
}

/// How an attempt ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It may have run.
    MayHaveRun,
    /// The engine said that it never ran.
    NeverRan,
}

/// What was seen. Fields that no rule reads stand in the histories of violations.
#[derive(Clone, Copy, Debug)]
#[allow(dead_code, reason = "some fields are only shown")]
pub enum Event {
    /// The last byte of a request was written to a connection of the dispatcher.
    RequestSent {
        request: u64,
        dispatcher: usize,
        time_limit: Micros,
        /// Answers come in order: the longest limit of it and of those that were written ahead of it with it.
        pipeline_time_limit: Micros,
        effect: Effect,
    },
    /// Its client closed or cancelled.
    ClientLeft {
        request: u64,
    },
    Answered {
        request: u64,
        answer: Answer,
    },
    /// Its connection ended without a whole answer; whether it had rested until the request was written.
    ConnectionClosed {
        request: u64,
        was_idle: bool,
    },
    /// An engine has read it whole.
    AttemptStarted {
        request: u64,
        engine: usize,
        announced_time_limit: Micros,
        work_ms: u64,
    },
    AttemptEnded {
        request: u64,
        engine: usize,
        end: AttemptEnd,
    },
    /// The change log has told a dispatcher that the engine drains, or counts as having told it.
    DrainAnnounced {
        engine: usize,
    },
    /// The dispatcher was killed, earlier than the end of an orderly shutdown.
    ProcessKilled {
        dispatcher: usize,
    },
    /// The process was started, and said that it is ready.
    ProcessStarted {
        dispatcher: usize,
    },
    ProcessReady {
        dispatcher: usize,
    },
    /// What a process held, and may hold.
    ResourceUsage {
        dispatcher: usize,
        resource: &'static str,
        used: u64,
        allowed: u64,
    },
    /// A process ended though nobody had told it to, or with a status other than 0.
    ProcessCrashed {
        dispatcher: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    AnsweredInTime,
    AtMostOneAnswer,
    NoUnsafeRepeat,
    NoRefusalAfterRun,
    OneAttemptInFlight,
    NoAttemptAfterClientLeft,
    NoAttemptWhileDraining,
    RemainingTimePassed,
    ColdEngineBudget,
    ResourceLimits,
    ReadyInTime,
    NoCrash,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    /// None where it is about no request.
    pub request: Option<u64>,
    pub history: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.request {
            Some(request) => writeln!(f, "{:?}: request {request:016x}", self.rule)?,
            None => writeln!(f, "{:?}", self.rule)?,
        }
        self.history
            .iter()
            .try_for_each(|line| writeln!(f, "  {line}"))
    }
}

/// What the run allows.
#[derive(Clone, Debug)]
pub struct RunLimits {
    pub drain_grace: Micros,
    /// The most that cold engines may be sent in a window, by the engine, and until when it is cold.
    pub cold_engines: BTreeMap<usize, ColdEngine>,
    /// The longest time for which this machine kept the run itself from going on.
    pub longest_stall: Micros,
}

#[derive(Clone, Copy, Debug)]
pub struct ColdEngine {
    pub from: Micros,
    pub until: Micros,
    pub window: Micros,
    /// So many requests of mean work.
    pub max_requests: f64,
    pub mean_work_ms: f64,
}

impl ColdEngine {
    /// The most requests of mean work where so many are what the settings allow.
    pub fn with_margin(allowed: f64) -> f64 {
        let root = allowed.sqrt();
        if allowed < 30.0 {
            allowed + 3.0 * root + 3.0
        } else {
            allowed + 2.0 * root + 2.0
        }
    }
}

pub struct Trace(pub Vec<(Micros, Event)>);

/// A request; the default is of no effect.
#[derive(Default)]
struct History {
    taken: Vec<(Micros, usize, Micros)>,
    behind: Micros,
    effect: Option<Effect>,
    gone: Option<Micros>,
    answers: Vec<(Micros, Answer)>,
    closes: Vec<(Micros, bool)>,
    begun: Vec<(Micros, usize, Micros)>,
    over: Vec<(Micros, usize, AttemptEnd)>,
}

impl Trace {
    /// All that was broken.
    pub fn find_violations(&self, terms: &RunLimits) -> Vec<Violation> {
        let mut broken = Vec::new();
        let slack = SLACK + terms.longest_stall;
        for (request, history) in self.histories() {
            for rule in history.broken(terms, slack, self) {
                let request = Some(request);
                let history = self.lines_about(request);
                broken.push(Violation {
                    rule,
                    request,
                    history,
                });
            }
        }
        broken.extend(self.broken_by_processes(slack));
        broken.extend(self.cold_budgets_broken(terms));
        broken
    }

    fn histories(&self) -> BTreeMap<u64, History> {
        let mut histories: BTreeMap<u64, History> = BTreeMap::new();
        for (at, seen) in &self.0 {
            let at = *at;
            let Some(request) = request_of(seen) else {
                continue;
            };
            let history = histories.entry(request).or_default();
            match *seen {
                Event::RequestSent {
                    dispatcher,
                    time_limit: limit,
                    pipeline_time_limit: behind,
                    effect,
                    ..
                } => {
                    history.behind = behind;
                    history.taken.push((at, dispatcher, limit));
                    history.effect = Some(effect);
                }
                Event::ClientLeft { .. } => history.gone = history.gone.or(Some(at)),
                Event::Answered { answer, .. } => history.answers.push((at, answer)),
                Event::ConnectionClosed {
                    was_idle: rested, ..
                } => history.closes.push((at, rested)),
                Event::AttemptStarted {
                    engine,
                    announced_time_limit: told,
                    ..
                } => history.begun.push((at, engine, told)),
                Event::AttemptEnded { engine, end, .. } => history.over.push((at, engine, end)),
                _ => {}
            }
        }
        histories
    }

    /// What was seen of a request, and what became of processes meanwhile: it may explain the rest.
    fn lines_about(&self, request: Option<u64>) -> Vec<String> {
        let of_process = |seen: &Event| {
            matches!(
                seen,
                Event::ProcessKilled { .. }
                    | Event::ProcessStarted { .. }
                    | Event::ProcessCrashed { .. }
            )
        };
        let about = |seen: &Event| request_of(seen) == request || of_process(seen);
        let about = self.0.iter().filter(|(_, seen)| about(seen));
        let line = |(at, seen): &(Micros, Event)| format!("{:>9.3} ms {seen:?}", *at as f64 / 1e3);
        about.map(line).collect()
    }

    fn killed_within(&self, dispatcher: usize, from: Micros, to: Micros) -> bool {
        self.0.iter().any(|(at, seen)| {
            matches!(seen, Event::ProcessKilled { dispatcher: killed } if *killed == dispatcher)
                && (from..=to).contains(at)
        })
    }

    fn drained(&self, engine: usize) -> Option<Micros> {
        self.0.iter().find_map(|(at, seen)| {
            matches!(seen, Event::DrainAnnounced { engine: drained } if *drained == engine)
                .then_some(*at)
        })
    }

    fn broken_by_processes(&self, slack: Micros) -> Vec<Violation> {
        let mut broken = Vec::new();
        let mut started: HashMap<usize, Micros> = HashMap::new();
        let mut violation = |rule, at: Micros, seen: &Event| {
            broken.push(Violation {
                rule,
                request: None,
                history: vec![format!("{:>9.3} ms {seen:?}", at as f64 / 1e3)],
            });
        };
        for (at, seen) in &self.0 {
            match seen {
                Event::ProcessStarted { dispatcher } => {
                    started.insert(*dispatcher, *at);
                }
                Event::ProcessReady { dispatcher } => {
                    let began = started.remove(dispatcher).unwrap_or(*at);
                    if *at > began + READY_BY + slack {
                        violation(Rule::ReadyInTime, *at, seen);
                    }
                }
                Event::ResourceUsage {
                    used: held,
                    allowed,
                    ..
                } if held > allowed => {
                    violation(Rule::ResourceLimits, *at, seen);
                }
                Event::ProcessCrashed { .. } => violation(Rule::NoCrash, *at, seen),
                _ => {}
            }
        }
        broken
    }

    fn cold_budgets_broken(&self, terms: &RunLimits) -> Vec<Violation> {
        let mut broken = Vec::new();
        for (engine, cold) in &terms.cold_engines {
            let sends = self.0.iter().filter_map(|(at, seen)| match seen {
                Event::AttemptStarted {
                    engine: to,
                    work_ms,
                    ..
                } if to == engine => Some((*at, *work_ms)),
                _ => None,
            });
            let sends = sends.filter(|(at, _)| (cold.from..cold.until).contains(at));
            let sends: Vec<(Micros, u64)> = sends.collect();
            let most = (0..sends.len()).map(|first| {
                let until = sends[first].0 + cold.window;
                let within = sends[first..].iter().take_while(|(at, _)| *at < until);
                within
                    .map(|(_, work_ms)| *work_ms as f64 / cold.mean_work_ms)
                    .sum()
            });
            let most = most.fold(0.0, f64::max);
            if most > cold.max_requests {
                broken.push(Violation {
                    rule: Rule::ColdEngineBudget,
                    request: None,
                    history: vec![format!(
                        "engine {engine}: {most:.1} of mean work in a window, {cold:?}"
                    )],
                });
            }
        }
        broken
    }
}

fn request_of(seen: &Event) -> Option<u64> {
    match seen {
        Event::RequestSent { request, .. }
        | Event::ClientLeft { request }
        | Event::Answered { request, .. }
        | Event::ConnectionClosed { request, .. }
        | Event::AttemptStarted { request, .. }
        | Event::AttemptEnded { request, .. } => Some(*request),
        _ => None,
    }
}

impl History {
    fn broken(&self, terms: &RunLimits, slack: Micros, trace: &Trace) -> Vec<Rule> {
        let mut broken = Vec::new();
        let mut check = |rule, holds: bool| {
            if !holds {
                broken.push(rule);
            }
        };
        check(Rule::AnsweredInTime, self.is_answered(slack, trace));
        check(Rule::AtMostOneAnswer, self.answers.len() <= 1);
        check(Rule::NoUnsafeRepeat, self.is_repeated_as_may(slack));
        check(Rule::NoRefusalAfterRun, self.is_refused_as_may());
        check(Rule::OneAttemptInFlight, self.has_one_out(slack));
        let gone = self.gone.map(|gone| gone + GONE_BY + slack);
        let after = |begun: &&(Micros, usize, Micros)| gone.is_some_and(|gone| begun.0 > gone);
        check(
            Rule::NoAttemptAfterClientLeft,
            self.begun.iter().find(after).is_none(),
        );
        let drained = |(at, engine, _): &&(Micros, usize, Micros)| {
            let told = trace.drained(*engine);
            told.is_some_and(|told| *at > told + terms.drain_grace + slack)
        };
        check(
            Rule::NoAttemptWhileDraining,
            self.begun.iter().find(drained).is_none(),
        );
        let too_long = |(at, _, told): &&(Micros, usize, Micros)| {
            let taken = self.taken.last();
            taken.is_some_and(|(taken, _, limit)| at + told > taken + limit + LEFT_AND + slack)
        };
        check(
            Rule::RemainingTimePassed,
            self.begun.iter().find(too_long).is_none(),
        );
        broken
    }

    /// One whole final answer in time; or its client has gone, its dispatcher was killed, or it crossed the close of a
    /// connection that rested, and nothing of it was sent on.
    fn is_answered(&self, slack: Micros, trace: &Trace) -> bool {
        let Some((taken, dispatcher, _)) = self.taken.last().copied() else {
            return true;
        };
        let due = taken + self.behind + LATE_BY + slack;
        if let Some((at, _)) = self.answers.first() {
            return *at <= due || self.gone.is_some();
        }
        let crossed = self.closes.last().is_some_and(|(at, rested)| {
            *rested && *at <= taken + CROSSES + slack && self.begun.is_empty()
        });
        // What was written as its process had just been killed met a connection that nobody served any more.
        let from = taken.saturating_sub(CROSSES + slack);
        self.gone.is_some() || crossed || trace.killed_within(dispatcher, from, due)
    }

    /// Whether the attempt may have run at its engine: unless that has said that it never ran.
    fn may_have_run(&self, (_, engine, _): &(Micros, usize, Micros)) -> bool {
        let mut ends = self.over.iter().filter(|(_, at, _)| at == engine);
        !ends.any(|(_, _, end)| *end == AttemptEnd::NeverRan)
    }

    /// What may not be repeated has no attempt after one that may have run; what may for a while, none after that.
    fn is_repeated_as_may(&self, slack: Micros) -> bool {
        let window = match self.effect {
            Some(Effect::Once) => None,
            Some(Effect::ByKey { window }) => Some(window + slack),
            Some(Effect::Repeatable) | None => return true,
        };
        let first = self.begun.iter().position(|begun| self.may_have_run(begun));
        let Some(first) = first else { return true };
        let (began, _, _) = self.begun[first];
        let mut further = self.begun[first + 1..].iter();
        further.all(|(at, _, _)| window.is_some_and(|window| *at <= began + window))
    }

    /// A refusal says that trying again does no harm: not where a request that may not be repeated may have run.
    fn is_refused_as_may(&self) -> bool {
        let mut answers = self.answers.iter();
        let refused = answers.any(|(_, answer)| *answer == Answer::Refused);
        let may_have_run = || self.begun.iter().any(|begun| self.may_have_run(begun));
        !(refused && self.effect == Some(Effect::Once) && may_have_run())
    }

    fn has_one_out(&self, slack: Micros) -> bool {
        self.begun.windows(2).all(|pair| {
            let ((_, engine, _), (next, _, _)) = (pair[0], pair[1]);
            let mut ends = self.over.iter().filter(|(_, at, _)| *at == engine);
            ends.any(|(at, _, _)| *at <= next + slack)
        })
    }
}
