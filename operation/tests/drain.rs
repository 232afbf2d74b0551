//! The drain under any order of calls, signals, clients and time, held against the words of the platform's page.

use proptest::prelude::*;
use sedgebeam_operation::drain::idle_close_at;
use sedgebeam_operation::{Drain, DrainState, ExistingConnections, NewConnections};
use std::time::Duration;

/// From so long after LAMEDUCK no connection may be idle, or hold a request of the time before.
const AWAY: Duration = Duration::from_secs(4);
const LATELY: Duration = Duration::from_secs(2);
/// The front may connect for so long after the call: it asks every 0.1 s, and goes on for 0.2 s.
const COMING: Duration = Duration::from_millis(300);
/// After SIGTERM requests on kept connections go on for so long, as new connections do at most.
const AFTER_TERM: Duration = Duration::from_millis(600);
/// By then idle connections go, whatever comes.
const LAST: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
enum Step {
    Prepared,
    LameDuck,
    Rejoin,
    End,
    Connect(f64),
    /// A connection begins a request, or ends it.
    Begin(usize),
    Answer(usize),
    Passes(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::LameDuck),
        1 => Just(Step::Rejoin),
        1 => Just(Step::Prepared),
        1 => prop::bool::weighted(0.2).prop_map(|ends| if ends { Step::End } else { Step::Rejoin }),
        4 => (0.0..1.0).prop_map(Step::Connect),
        6 => (0usize..8).prop_map(Step::Begin),
        5 => (0usize..8).prop_map(Step::Answer),
        8 => (1u64..900).prop_map(Step::Passes),
    ]
}

struct Session {
    came: Duration,
    draw: f64,
    /// When its request began, while it has one.
    busy: Option<Duration>,
}

/// What a double does with the orders of the real one.
type Bends = fn(DrainState, Duration) -> DrainState;

/// A dispatcher whose sessions obey the drain.
struct House {
    drain: Drain,
    passed: bool,
    bends: Bends,
    now: Duration,
    sessions: Vec<Session>,
    prepared: bool,
    called: Option<Duration>,
    ended: Option<Duration>,
}

impl House {
    fn orders(&self) -> DrainState {
        (self.bends)(self.drain.state(self.now), self.now)
    }

    /// Sessions go as they must, and what holds at this moment is checked.
    fn settle(&mut self) -> Result<(), String> {
        let (now, kept) = (self.now, self.orders().existing_connections);
        self.sessions.retain(|session| {
            let goes = match kept {
                ExistingConnections::Keep => false,
                ExistingConnections::CloseGradually(since) => {
                    now >= idle_close_at(session.came, since, session.draw)
                }
                ExistingConnections::CloseWhenIdle => true,
            };
            session.busy.is_some() || !goes
        });
        let ready = self.prepared && self.called.is_none() && self.ended.is_none();
        if self.orders().is_ready != ready {
            return Err(format!("it says {} at {now:?}", self.orders().is_ready));
        }
        let away = self.called.filter(|called| now >= *called + AWAY);
        let held = self
            .sessions
            .iter()
            .find(|session| session.busy.is_none_or(|began| began + LATELY > now));
        if let (Some(called), Some(held)) = (away, held) {
            return Err(format!(
                "called at {called:?}, it holds {:?} at {now:?}",
                held.busy
            ));
        }
        Ok(())
    }

    fn connect(&mut self, draw: f64) -> Result<(), String> {
        let newcomers = self.orders().new_connections;
        let coming = match (self.ended, self.called) {
            (Some(ended), _) if self.passed => {
                let left = newcomers == NewConnections::LeaveInBacklog;
                return if left {
                    Ok(())
                } else {
                    Err(format!("ended at {ended:?}, it accepts"))
                };
            }
            (Some(ended), None) => self.now < ended + AFTER_TERM,
            (Some(_), Some(_)) => false,
            (None, Some(called)) => self.now < called + COMING,
            (None, None) => self.prepared,
        };
        match newcomers {
            NewConnections::Accept => self.sessions.push(Session {
                came: self.now,
                draw,
                busy: None,
            }),
            _ if coming => return Err(format!("a client that may come is {newcomers:?}")),
            _ => {}
        }
        Ok(())
    }

    /// Time passes in the steps at which the drain says that something changes, or a session goes.
    fn pass(&mut self, until: Duration) -> Result<(), String> {
        while self.now < until {
            let kept = self.orders().existing_connections;
            let going = self.sessions.iter().filter_map(|session| match kept {
                ExistingConnections::CloseGradually(since) => {
                    Some(idle_close_at(session.came, since, session.draw))
                }
                _ => None,
            });
            // The page's own moments are looked at whatever the drain says.
            let looks = [
                self.called.map(|at| at + AWAY),
                self.drain.next_change(self.now),
            ];
            let next = going
                .chain(looks.into_iter().flatten())
                .filter(|at| *at > self.now);
            let next = next.min().unwrap_or(until).min(until);
            let before = self.drain.state(self.now);
            let just_before = next.saturating_sub(Duration::from_nanos(1)).max(self.now);
            if self.drain.state(just_before) != before {
                return Err(format!(
                    "orders change before {next:?}, of which nobody was told"
                ));
            }
            self.now = next;
            self.settle()?;
        }
        Ok(())
    }
}

/// Plays the steps; what the page forbids first.
fn play(steps: &[Step], passed: bool, bends: Bends) -> Result<(), String> {
    let mut house = House {
        drain: Drain::new(passed),
        passed,
        bends,
        now: Duration::ZERO,
        sessions: Vec::new(),
        prepared: false,
        called: None,
        ended: None,
    };
    for step in steps {
        let now = house.now;
        match *step {
            Step::Prepared => {
                house.drain.set_prepared();
                house.prepared = true;
            }
            Step::LameDuck => {
                house.drain.start_lame_duck(now);
                house.called.get_or_insert(now);
            }
            Step::Rejoin => {
                let rejoined = house.drain.rejoin();
                if rejoined != house.ended.is_none() {
                    return Err(format!("rejoined: {rejoined}"));
                }
                if rejoined {
                    house.called = None;
                }
            }
            Step::End => {
                house.drain.start_shutdown(now);
                house.ended.get_or_insert(now);
            }
            Step::Connect(draw) => house.connect(draw)?,
            Step::Begin(place) => {
                let kept = house.sessions.len().max(1);
                if let Some(session) = house.sessions.get_mut(place % kept) {
                    session.busy.get_or_insert(now);
                }
            }
            Step::Answer(place) => {
                let (kept, stays) = (
                    house.sessions.len().max(1),
                    house.orders().existing_connections,
                );
                if let Some(session) = house.sessions.get_mut(place % kept)
                    && session.busy.take().is_some()
                    && stays != ExistingConnections::Keep
                {
                    house.sessions.remove(place % kept);
                }
            }
            Step::Passes(millis) => house.pass(now + Duration::from_millis(millis))?,
        }
        house.settle()?;
    }
    let (over, kept) = (
        house.orders().is_shutdown_grace_over,
        house.orders().existing_connections,
    );
    let since = house.ended.map(|ended| house.now - ended);
    if over && since.is_none_or(|since| since < AFTER_TERM) {
        return Err("over while requests may come".to_string());
    }
    if since.is_some_and(|since| since >= LAST)
        && !(over && kept == ExistingConnections::CloseWhenIdle)
    {
        return Err("it does not end".to_string());
    }
    Ok(())
}

proptest! {
    #[test]
    fn no_order_of_events_breaks_a_rule_of_the_page(
        steps in prop::collection::vec(step(), 1..60),
        passed in any::<bool>(),
    ) {
        prop_assert_eq!(play(&steps, passed, |orders, _| orders), Ok(()));
    }
}

#[test]
fn doubles_that_break_a_rule_are_caught() {
    let passes = Step::Passes(850);
    let lame_duck = [
        Step::Prepared,
        Step::Connect(0.6),
        Step::Connect(0.9),
        Step::LameDuck,
        passes,
        Step::Begin(0),
        passes,
        passes,
        passes,
        passes,
        Step::Rejoin,
        Step::Connect(0.1),
    ];
    let coming = [
        Step::Prepared,
        Step::LameDuck,
        Step::Passes(200),
        Step::Connect(0.5),
    ];
    let ending = [
        Step::Prepared,
        Step::End,
        passes,
        Step::Connect(0.5),
        passes,
    ];
    for steps in [&lame_duck[..], &coming, &ending] {
        assert_eq!(play(steps, true, |orders, _| orders), Ok(()));
    }
    let doubles: [(&str, &[Step], Bends); 6] = [
        ("still says yes", &lame_duck, |orders, _| DrainState {
            is_ready: true,
            ..orders
        }),
        ("never says yes again", &lame_duck, |orders, now| {
            DrainState {
                is_ready: orders.is_ready && now < Duration::from_secs(1),
                ..orders
            }
        }),
        ("keeps idle ones", &lame_duck, |orders, _| DrainState {
            existing_connections: ExistingConnections::Keep,
            ..orders
        }),
        ("lets them go late", &lame_duck, |orders, _| {
            match orders.existing_connections {
                ExistingConnections::Keep => orders,
                _ => DrainState {
                    existing_connections: ExistingConnections::CloseGradually(LATELY + LAST),
                    ..orders
                },
            }
        }),
        (
            "turns away who may come",
            &coming,
            |orders, _| match orders.is_ready {
                false => DrainState {
                    new_connections: NewConnections::Reject,
                    ..orders
                },
                true => orders,
            },
        ),
        ("accepts what is another's", &ending, |orders, _| {
            DrainState {
                new_connections: NewConnections::Accept,
                ..orders
            }
        }),
    ];
    for (fault, steps, bends) in doubles {
        assert!(play(steps, true, bends).is_err(), "{fault}");
    }
}
