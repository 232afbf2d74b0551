//! The drain under any order of commands, signals, client events and delays, checked against the platform's rules.

use proptest::prelude::*;
use sedgebeam_operation::drain::idle_close_at;
use sedgebeam_operation::{Drain, DrainState, ExistingConnections, NewConnections};
use std::time::Duration;

/// From this time after LAMEDUCK on, no connection may be idle, or have a request that began within
/// [`MAX_RECENT_AGE`].
const DRAIN_LIMIT: Duration = Duration::from_secs(4);
const MAX_RECENT_AGE: Duration = Duration::from_secs(2);
/// The front may connect for this time after LAMEDUCK: it polls every 0.1 s, and goes on connecting for 0.2 s.
const FRONT_CONNECTS_FOR: Duration = Duration::from_millis(300);
/// Requests on kept connections may arrive for this time after SIGTERM, and new connections no longer than that.
const ARRIVALS_AFTER_SIGTERM: Duration = Duration::from_millis(600);
/// By this time after SIGTERM, all idle connections are closed.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
enum Step {
    Prepared,
    LameDuck,
    Rejoin,
    Shutdown,
    /// A new connection, with the random number that staggers its closing.
    Connect(f64),
    /// A request begins on the connection with this index, or is answered.
    Begin(usize),
    Answer(usize),
    /// Time passes, in milliseconds.
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::LameDuck),
        1 => Just(Step::Rejoin),
        1 => Just(Step::Prepared),
        1 => prop::bool::weighted(0.2).prop_map(|is_shutdown| if is_shutdown { Step::Shutdown } else { Step::Rejoin }),
        4 => (0.0..1.0).prop_map(Step::Connect),
        6 => (0usize..8).prop_map(Step::Begin),
        5 => (0usize..8).prop_map(Step::Answer),
        8 => (1u64..900).prop_map(Step::Advance),
    ]
}

struct Session {
    accepted_at: Duration,
    draw: f64,
    /// The start of its request, if one is open.
    request_since: Option<Duration>,
}

/// How a faulty variant changes the state that the drain returns.
type Distortion = fn(DrainState, Duration) -> DrainState;

/// A model of a dispatcher whose sessions follow the drain.
struct DispatcherModel {
    drain: Drain,
    has_inherited_listener: bool,
    distortion: Distortion,
    now: Duration,
    sessions: Vec<Session>,
    is_prepared: bool,
    lame_duck_since: Option<Duration>,
    shutdown_since: Option<Duration>,
}

impl DispatcherModel {
    fn state(&self) -> DrainState {
        (self.distortion)(self.drain.state(self.now), self.now)
    }

    /// Closes the sessions whose closing time has come, and checks the rules that apply at this time.
    fn close_and_check(&mut self) -> Result<(), String> {
        let (now, existing_connections) = (self.now, self.state().existing_connections);
        self.sessions.retain(|session| {
            let must_close = match existing_connections {
                ExistingConnections::Keep => false,
                ExistingConnections::CloseGradually(since) => {
                    now >= idle_close_at(session.accepted_at, since, session.draw)
                }
                ExistingConnections::CloseWhenIdle => true,
            };
            session.request_since.is_some() || !must_close
        });
        let is_ready =
            self.is_prepared && self.lame_duck_since.is_none() && self.shutdown_since.is_none();
        if self.state().is_ready != is_ready {
            return Err(format!("is_ready is {} at {now:?}", self.state().is_ready));
        }
        let overdue_drain_since = self
            .lame_duck_since
            .filter(|since| now >= *since + DRAIN_LIMIT);
        let open_session = self.sessions.iter().find(|session| {
            session
                .request_since
                .is_none_or(|began_at| began_at + MAX_RECENT_AGE > now)
        });
        if let (Some(since), Some(session)) = (overdue_drain_since, open_session) {
            return Err(format!(
                "a session with a request since {:?} is open at {now:?}, draining since {since:?}",
                session.request_since
            ));
        }
        Ok(())
    }

    fn connect(&mut self, draw: f64) -> Result<(), String> {
        let new_connections = self.state().new_connections;
        let must_be_accepted = match (self.shutdown_since, self.lame_duck_since) {
            (Some(since), _) if self.has_inherited_listener => {
                let is_queued = new_connections == NewConnections::LeaveInBacklog;
                return if is_queued {
                    Ok(())
                } else {
                    Err(format!("accepts although shutting down since {since:?}"))
                };
            }
            (Some(since), None) => self.now < since + ARRIVALS_AFTER_SIGTERM,
            (Some(_), Some(_)) => false,
            (None, Some(since)) => self.now < since + FRONT_CONNECTS_FOR,
            (None, None) => self.is_prepared,
        };
        match new_connections {
            NewConnections::Accept => self.sessions.push(Session {
                accepted_at: self.now,
                draw,
                request_since: None,
            }),
            _ if must_be_accepted => {
                return Err(format!(
                    "a connection that must be accepted gets {new_connections:?}"
                ));
            }
            _ => {}
        }
        Ok(())
    }

    /// Advances the time in steps: to each change that the drain announces, and to each time at which a session closes.
    fn advance(&mut self, until: Duration) -> Result<(), String> {
        while self.now < until {
            let existing_connections = self.state().existing_connections;
            let closings = self
                .sessions
                .iter()
                .filter_map(|session| match existing_connections {
                    ExistingConnections::CloseGradually(since) => {
                        Some(idle_close_at(session.accepted_at, since, session.draw))
                    }
                    _ => None,
                });
            // The drain limit is checked even though the drain announces no change at this time.
            let check_times = [
                self.lame_duck_since.map(|since| since + DRAIN_LIMIT),
                self.drain.next_change(self.now),
            ];
            let next = closings
                .chain(check_times.into_iter().flatten())
                .filter(|at| *at > self.now);
            let next = next.min().unwrap_or(until).min(until);
            let state = self.drain.state(self.now);
            let just_before = next.saturating_sub(Duration::from_nanos(1)).max(self.now);
            if self.drain.state(just_before) != state {
                return Err(format!(
                    "the state changes before {next:?} without an announcement"
                ));
            }
            self.now = next;
            self.close_and_check()?;
        }
        Ok(())
    }
}

/// Applies the steps; returns the first violation of a rule.
fn run_steps(
    steps: &[Step],
    has_inherited_listener: bool,
    distortion: Distortion,
) -> Result<(), String> {
    let mut dispatcher = DispatcherModel {
        drain: Drain::new(has_inherited_listener),
        has_inherited_listener,
        distortion,
        now: Duration::ZERO,
        sessions: Vec::new(),
        is_prepared: false,
        lame_duck_since: None,
        shutdown_since: None,
    };
    for step in steps {
        let now = dispatcher.now;
        match *step {
            Step::Prepared => {
                dispatcher.drain.set_prepared();
                dispatcher.is_prepared = true;
            }
            Step::LameDuck => {
                dispatcher.drain.start_lame_duck(now);
                dispatcher.lame_duck_since.get_or_insert(now);
            }
            Step::Rejoin => {
                let has_rejoined = dispatcher.drain.rejoin();
                if has_rejoined != dispatcher.shutdown_since.is_none() {
                    return Err(format!("has_rejoined: {has_rejoined}"));
                }
                if has_rejoined {
                    dispatcher.lame_duck_since = None;
                }
            }
            Step::Shutdown => {
                dispatcher.drain.start_shutdown(now);
                dispatcher.shutdown_since.get_or_insert(now);
            }
            Step::Connect(draw) => dispatcher.connect(draw)?,
            Step::Begin(index) => {
                let session_count = dispatcher.sessions.len().max(1);
                if let Some(session) = dispatcher.sessions.get_mut(index % session_count) {
                    session.request_since.get_or_insert(now);
                }
            }
            Step::Answer(index) => {
                let (session_count, existing_connections) = (
                    dispatcher.sessions.len().max(1),
                    dispatcher.state().existing_connections,
                );
                if let Some(session) = dispatcher.sessions.get_mut(index % session_count)
                    && session.request_since.take().is_some()
                    && existing_connections != ExistingConnections::Keep
                {
                    dispatcher.sessions.remove(index % session_count);
                }
            }
            Step::Advance(millis) => dispatcher.advance(now + Duration::from_millis(millis))?,
        }
        dispatcher.close_and_check()?;
    }
    let (is_grace_over, existing_connections) = (
        dispatcher.state().is_shutdown_grace_over,
        dispatcher.state().existing_connections,
    );
    let shutdown_time = dispatcher
        .shutdown_since
        .map(|since| dispatcher.now - since);
    if is_grace_over && shutdown_time.is_none_or(|time| time < ARRIVALS_AFTER_SIGTERM) {
        return Err("the grace period is over while requests may arrive".to_string());
    }
    if shutdown_time.is_some_and(|time| time >= SHUTDOWN_LIMIT)
        && !(is_grace_over && existing_connections == ExistingConnections::CloseWhenIdle)
    {
        return Err("the shutdown does not end".to_string());
    }
    Ok(())
}

proptest! {
    #[test]
    fn no_order_of_events_breaks_a_rule_of_the_platform(
        steps in prop::collection::vec(step(), 1..60),
        has_inherited_listener in any::<bool>(),
    ) {
        prop_assert_eq!(run_steps(&steps, has_inherited_listener, |state, _| state), Ok(()));
    }
}

#[test]
fn variants_that_break_a_rule_are_detected() {
    let advance = Step::Advance(850);
    let lame_duck = [
        Step::Prepared,
        Step::Connect(0.6),
        Step::Connect(0.9),
        Step::LameDuck,
        advance,
        Step::Begin(0),
        advance,
        advance,
        advance,
        advance,
        Step::Rejoin,
        Step::Connect(0.1),
    ];
    let connect_in_drain = [
        Step::Prepared,
        Step::LameDuck,
        Step::Advance(200),
        Step::Connect(0.5),
    ];
    let shutdown = [
        Step::Prepared,
        Step::Shutdown,
        advance,
        Step::Connect(0.5),
        advance,
    ];
    for steps in [&lame_duck[..], &connect_in_drain, &shutdown] {
        assert_eq!(run_steps(steps, true, |state, _| state), Ok(()));
    }
    let variants: [(&str, &[Step], Distortion); 6] = [
        ("stays ready", &lame_duck, |state, _| DrainState {
            is_ready: true,
            ..state
        }),
        ("never becomes ready again", &lame_duck, |state, now| {
            DrainState {
                is_ready: state.is_ready && now < Duration::from_secs(1),
                ..state
            }
        }),
        ("keeps idle connections", &lame_duck, |state, _| {
            DrainState {
                existing_connections: ExistingConnections::Keep,
                ..state
            }
        }),
        (
            "closes idle connections late",
            &lame_duck,
            |state, _| match state.existing_connections {
                ExistingConnections::Keep => state,
                _ => DrainState {
                    existing_connections: ExistingConnections::CloseGradually(
                        MAX_RECENT_AGE + SHUTDOWN_LIMIT,
                    ),
                    ..state
                },
            },
        ),
        (
            "rejects a connection too early",
            &connect_in_drain,
            |state, _| match state.is_ready {
                false => DrainState {
                    new_connections: NewConnections::Reject,
                    ..state
                },
                true => state,
            },
        ),
        ("accepts in a shutdown", &shutdown, |state, _| DrainState {
            new_connections: NewConnections::Accept,
            ..state
        }),
    ];
    for (fault, steps, distortion) in variants {
        assert!(run_steps(steps, true, distortion).is_err(), "{fault}");
    }
}
