//! Checks a recorded run against the rules of the dispatcher. The checker knows what clients, engines and the change
//! log observed, and nothing about the implementation.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Microseconds: a duration, or the time since the start of the run.
pub type Micros = u64;

pub const MILLISECOND: Micros = 1_000;
/// Extends every time bound, to allow for the latency of sockets and of the scheduler.
const LATENCY_SLACK: Micros = 50 * MILLISECOND;
/// An answer up to this long after its time limit is worthless but allowed; a later one counts as missing.
const MAX_LATENESS: Micros = 500 * MILLISECOND;
/// A request written to an idle connection this shortly before the client sees the close raced with it; clients send such a
/// request again.
const CLOSE_RACE_WINDOW: Micros = 50 * MILLISECOND;
/// No attempt starts later than this after its client left.
const MAX_START_AFTER_CLIENT_LEFT: Micros = 100 * MILLISECOND;
/// How much the time limit announced to an engine may exceed the remaining time of the request.
const MAX_EXCESS_TIME_LIMIT: Micros = 150 * MILLISECOND;
/// A started dispatcher is ready within this time.
const MAX_START_TIME: Micros = 10_000 * MILLISECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    Refused,
    Failed,
}

/// Whether a request may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Another run is harmless.
    Repeatable,
    /// Another run is harmless if it starts within `window` of the first attempt that may have run.
    ByKey { window: Micros },
    /// The request must not run twice.
    Once,
}

/// How an attempt ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The attempt may have run.
    MayHaveRun,
    /// The engine reported that the attempt never ran.
    NeverRan,
}

/// An observation. Fields that no rule reads are printed with the violations.
#[derive(Clone, Copy, Debug)]
#[allow(dead_code, reason = "some fields are only printed")]
pub enum Event {
    /// A client wrote the last byte of a request to a connection of the dispatcher.
    RequestSent {
        request: u64,
        dispatcher: usize,
        time_limit: Micros,
        /// The longest time limit of this request and of those written before it in the same batch: answers come in order.
        pipeline_time_limit: Micros,
        effect: Effect,
    },
    /// The client closed its connection, or cancelled the request.
    ClientLeft {
        request: u64,
    },
    Answered {
        request: u64,
        answer: Answer,
    },
    /// The connection ended without a complete answer.
    ConnectionClosed {
        request: u64,
        /// Whether the connection was idle before the request was written.
        was_idle: bool,
    },
    /// An engine received the complete attempt.
    AttemptStarted {
        request: u64,
        engine: usize,
        /// The time limit that the dispatcher announced to the engine.
        announced_time_limit: Micros,
        work_ms: u64,
    },
    AttemptEnded {
        request: u64,
        engine: usize,
        end: AttemptEnd,
    },
    /// The dispatchers know from the change log that the engine drains, or are assumed to know.
    DrainAnnounced {
        engine: usize,
    },
    /// The dispatcher was killed before it completed an orderly shutdown.
    ProcessKilled {
        dispatcher: usize,
    },
    ProcessStarted {
        dispatcher: usize,
    },
    /// The control socket reported that the process is ready.
    ProcessReady {
        dispatcher: usize,
    },
    /// A sample of what a process used of a limited resource.
    ResourceUsage {
        dispatcher: usize,
        resource: &'static str,
        used: u64,
        allowed: u64,
    },
    /// A process exited without a signal to do so, or with a status other than 0.
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
    AttemptTimeLimitBounded,
    ColdEngineBudget,
    ResourceLimits,
    ReadyInTime,
    NoCrash,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    /// `None` if the rule is not about a request.
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

/// The bounds that depend on the settings of the run and on the machine.
#[derive(Clone, Debug)]
pub struct RunLimits {
    pub drain_grace: Micros,
    /// The cold engines by their number.
    pub cold_engines: BTreeMap<usize, ColdEngine>,
    /// The longest time for which the machine did not schedule the test itself; it extends every time bound.
    pub longest_stall: Micros,
}

/// How much work an engine may receive while it is cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdEngine {
    /// Start of the period to which the bound applies.
    pub from: Micros,
    /// End of that period.
    pub until: Micros,
    /// Length of the sliding window.
    pub window: Micros,
    /// Bound of the work received within `window`, in requests of mean work.
    pub max_requests: f64,
    pub mean_work_ms: f64,
}

impl ColdEngine {
    /// Adds a margin of a few square roots, for random variation, to the number of requests that the settings allow.
    pub fn with_margin(allowed: f64) -> f64 {
        let square_root = allowed.sqrt();
        if allowed < 30.0 {
            allowed + 3.0 * square_root + 3.0
        } else {
            allowed + 2.0 * square_root + 2.0
        }
    }
}

pub struct Trace(pub Vec<(Micros, Event)>);

/// The events of one request.
#[derive(Default)]
struct RequestHistory {
    /// Time, dispatcher and time limit.
    sends: Vec<(Micros, usize, Micros)>,
    pipeline_time_limit: Micros,
    effect: Option<Effect>,
    client_left_at: Option<Micros>,
    answers: Vec<(Micros, Answer)>,
    /// Time, and whether the connection was idle before the request.
    closes: Vec<(Micros, bool)>,
    /// Time, engine and announced time limit.
    attempt_starts: Vec<(Micros, usize, Micros)>,
    /// Time, engine and end.
    attempt_ends: Vec<(Micros, usize, AttemptEnd)>,
}

impl Trace {
    /// Returns all violations of the rules.
    pub fn find_violations(&self, limits: &RunLimits) -> Vec<Violation> {
        let mut violations = Vec::new();
        let slack = LATENCY_SLACK + limits.longest_stall;
        for (request, history) in self.histories() {
            for rule in history.broken_rules(limits, slack, self) {
                let request = Some(request);
                let history = self.event_lines(request);
                violations.push(Violation {
                    rule,
                    request,
                    history,
                });
            }
        }
        violations.extend(self.process_violations(slack));
        violations.extend(self.cold_engine_violations(limits));
        violations
    }

    fn histories(&self) -> BTreeMap<u64, RequestHistory> {
        let mut histories: BTreeMap<u64, RequestHistory> = BTreeMap::new();
        for (time, event) in &self.0 {
            let time = *time;
            let Some(request) = request_of(event) else {
                continue;
            };
            let history = histories.entry(request).or_default();
            match *event {
                Event::RequestSent {
                    dispatcher,
                    time_limit,
                    pipeline_time_limit,
                    effect,
                    ..
                } => {
                    history.pipeline_time_limit = pipeline_time_limit;
                    history.sends.push((time, dispatcher, time_limit));
                    history.effect = Some(effect);
                }
                Event::ClientLeft { .. } => {
                    history.client_left_at = history.client_left_at.or(Some(time))
                }
                Event::Answered { answer, .. } => history.answers.push((time, answer)),
                Event::ConnectionClosed { was_idle, .. } => history.closes.push((time, was_idle)),
                Event::AttemptStarted {
                    engine,
                    announced_time_limit,
                    ..
                } => history
                    .attempt_starts
                    .push((time, engine, announced_time_limit)),
                Event::AttemptEnded { engine, end, .. } => {
                    history.attempt_ends.push((time, engine, end))
                }
                _ => {}
            }
        }
        histories
    }

    /// Formats the events of a request, and those of all processes, which may explain them.
    fn event_lines(&self, request: Option<u64>) -> Vec<String> {
        let is_process_event = |event: &Event| {
            matches!(
                event,
                Event::ProcessKilled { .. }
                    | Event::ProcessStarted { .. }
                    | Event::ProcessCrashed { .. }
            )
        };
        let is_relevant = |event: &Event| request_of(event) == request || is_process_event(event);
        let relevant = self.0.iter().filter(|(_, event)| is_relevant(event));
        let line =
            |(time, event): &(Micros, Event)| format!("{:>9.3} ms {event:?}", *time as f64 / 1e3);
        relevant.map(line).collect()
    }

    fn killed_within(&self, dispatcher: usize, from: Micros, to: Micros) -> bool {
        self.0.iter().any(|(time, event)| {
            matches!(event, Event::ProcessKilled { dispatcher: killed_dispatcher } if *killed_dispatcher == dispatcher)
                && (from..=to).contains(time)
        })
    }

    /// When the dispatchers knew that the engine drains.
    fn drain_announced_at(&self, engine: usize) -> Option<Micros> {
        self.0.iter().find_map(|(time, event)| {
            matches!(event, Event::DrainAnnounced { engine: draining_engine } if *draining_engine == engine)
                .then_some(*time)
        })
    }

    fn process_violations(&self, slack: Micros) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut started_at: HashMap<usize, Micros> = HashMap::new();
        let mut add_violation = |rule, time: Micros, event: &Event| {
            violations.push(Violation {
                rule,
                request: None,
                history: vec![format!("{:>9.3} ms {event:?}", time as f64 / 1e3)],
            });
        };
        for (time, event) in &self.0 {
            match event {
                Event::ProcessStarted { dispatcher } => {
                    started_at.insert(*dispatcher, *time);
                }
                Event::ProcessReady { dispatcher } => {
                    let started = started_at.remove(dispatcher).unwrap_or(*time);
                    if *time > started + MAX_START_TIME + slack {
                        add_violation(Rule::ReadyInTime, *time, event);
                    }
                }
                Event::ResourceUsage { used, allowed, .. } if used > allowed => {
                    add_violation(Rule::ResourceLimits, *time, event);
                }
                Event::ProcessCrashed { .. } => add_violation(Rule::NoCrash, *time, event),
                _ => {}
            }
        }
        violations
    }

    fn cold_engine_violations(&self, limits: &RunLimits) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (engine, cold_engine) in &limits.cold_engines {
            let attempts = self.0.iter().filter_map(|(time, event)| match event {
                Event::AttemptStarted {
                    engine: receiver,
                    work_ms,
                    ..
                } if receiver == engine => Some((*time, *work_ms)),
                _ => None,
            });
            let attempts =
                attempts.filter(|(time, _)| (cold_engine.from..cold_engine.until).contains(time));
            let attempts: Vec<(Micros, u64)> = attempts.collect();
            let window_work = (0..attempts.len()).map(|first| {
                let until = attempts[first].0 + cold_engine.window;
                let in_window = attempts[first..]
                    .iter()
                    .take_while(|(time, _)| *time < until);
                in_window
                    .map(|(_, work_ms)| *work_ms as f64 / cold_engine.mean_work_ms)
                    .sum()
            });
            let max_work = window_work.fold(0.0, f64::max);
            if max_work > cold_engine.max_requests {
                violations.push(Violation {
                    rule: Rule::ColdEngineBudget,
                    request: None,
                    history: vec![format!(
                        "engine {engine}: {max_work:.1} requests of mean work in a window, {cold_engine:?}"
                    )],
                });
            }
        }
        violations
    }
}

fn request_of(event: &Event) -> Option<u64> {
    match event {
        Event::RequestSent { request, .. }
        | Event::ClientLeft { request }
        | Event::Answered { request, .. }
        | Event::ConnectionClosed { request, .. }
        | Event::AttemptStarted { request, .. }
        | Event::AttemptEnded { request, .. } => Some(*request),
        _ => None,
    }
}

impl RequestHistory {
    fn broken_rules(&self, limits: &RunLimits, slack: Micros, trace: &Trace) -> Vec<Rule> {
        let mut broken = Vec::new();
        let mut check = |rule, holds: bool| {
            if !holds {
                broken.push(rule);
            }
        };
        check(Rule::AnsweredInTime, self.is_answered_in_time(slack, trace));
        check(Rule::AtMostOneAnswer, self.answers.len() <= 1);
        check(Rule::NoUnsafeRepeat, self.is_repeated_safely(slack));
        check(Rule::NoRefusalAfterRun, self.is_refused_safely());
        check(
            Rule::OneAttemptInFlight,
            self.has_one_attempt_in_flight(slack),
        );
        let last_start = self
            .client_left_at
            .map(|left_at| left_at + MAX_START_AFTER_CLIENT_LEFT + slack);
        let starts_too_late = |attempt: &&(Micros, usize, Micros)| {
            last_start.is_some_and(|last_start| attempt.0 > last_start)
        };
        check(
            Rule::NoAttemptAfterClientLeft,
            self.attempt_starts.iter().find(starts_too_late).is_none(),
        );
        let starts_in_drain = |(time, engine, _): &&(Micros, usize, Micros)| {
            let announced_at = trace.drain_announced_at(*engine);
            announced_at
                .is_some_and(|announced_at| *time > announced_at + limits.drain_grace + slack)
        };
        check(
            Rule::NoAttemptWhileDraining,
            self.attempt_starts.iter().find(starts_in_drain).is_none(),
        );
        let may_run_too_long = |(time, _, announced_time_limit): &&(Micros, usize, Micros)| {
            let last_send = self.sends.last();
            last_send.is_some_and(|(sent_at, _, time_limit)| {
                time + announced_time_limit > sent_at + time_limit + MAX_EXCESS_TIME_LIMIT + slack
            })
        };
        check(
            Rule::AttemptTimeLimitBounded,
            self.attempt_starts.iter().find(may_run_too_long).is_none(),
        );
        broken
    }

    /// Whether the request has a complete final answer in time. It needs none if its client left, if its dispatcher was killed,
    /// or if it raced with the close of an idle connection and no attempt was sent.
    fn is_answered_in_time(&self, slack: Micros, trace: &Trace) -> bool {
        let Some((sent_at, dispatcher, _)) = self.sends.last().copied() else {
            return true;
        };
        let answer_deadline = sent_at + self.pipeline_time_limit + MAX_LATENESS + slack;
        if let Some((answered_at, _)) = self.answers.first() {
            return *answered_at <= answer_deadline || self.client_left_at.is_some();
        }
        let raced_with_close = self.closes.last().is_some_and(|(closed_at, was_idle)| {
            *was_idle
                && *closed_at <= sent_at + CLOSE_RACE_WINDOW + slack
                && self.attempt_starts.is_empty()
        });
        // A request written right after its process was killed reached a connection that no process served any more.
        let from = sent_at.saturating_sub(CLOSE_RACE_WINDOW + slack);
        self.client_left_at.is_some()
            || raced_with_close
            || trace.killed_within(dispatcher, from, answer_deadline)
    }

    /// Whether the attempt may have run: always, unless its engine reported that it never ran.
    fn may_have_run(&self, (_, engine, _): &(Micros, usize, Micros)) -> bool {
        let mut ends = self
            .attempt_ends
            .iter()
            .filter(|(_, ended_on, _)| ended_on == engine);
        !ends.any(|(_, _, end)| *end == AttemptEnd::NeverRan)
    }

    /// Whether no attempt follows one that may have run. A request with a key may be repeated within its window.
    fn is_repeated_safely(&self, slack: Micros) -> bool {
        let window = match self.effect {
            Some(Effect::Once) => None,
            Some(Effect::ByKey { window }) => Some(window + slack),
            Some(Effect::Repeatable) | None => return true,
        };
        let first_run = self
            .attempt_starts
            .iter()
            .position(|attempt| self.may_have_run(attempt));
        let Some(first_run) = first_run else {
            return true;
        };
        let (first_start, _, _) = self.attempt_starts[first_run];
        let mut repeats = self.attempt_starts[first_run + 1..].iter();
        repeats.all(|(start, _, _)| window.is_some_and(|window| *start <= first_start + window))
    }

    /// Whether no refusal answers a request that may have run and must not be repeated: a refusal tells the client that it may
    /// try again.
    fn is_refused_safely(&self) -> bool {
        let mut answers = self.answers.iter();
        let is_refused = answers.any(|(_, answer)| *answer == Answer::Refused);
        let may_have_run = || {
            self.attempt_starts
                .iter()
                .any(|attempt| self.may_have_run(attempt))
        };
        !(is_refused && self.effect == Some(Effect::Once) && may_have_run())
    }

    /// Whether each attempt ended before the next one started.
    fn has_one_attempt_in_flight(&self, slack: Micros) -> bool {
        self.attempt_starts.windows(2).all(|pair| {
            let ((_, engine, _), (next_start, _, _)) = (pair[0], pair[1]);
            let mut ends = self
                .attempt_ends
                .iter()
                .filter(|(_, ended_on, _)| *ended_on == engine);
            ends.any(|(ended_at, _, _)| *ended_at <= next_start + slack)
        })
    }
}
