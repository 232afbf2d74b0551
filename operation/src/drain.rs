//! The drain: whether the dispatcher is ready, what becomes of new connections, and when kept ones go.
//!
//! The platform's front asks every 0.1 s whether the dispatcher is ready. After the first no it goes on
//! connecting for 0.2 s; kept connections stay in use while they are open. From the fourth second of a lame
//! duck none may be idle, nor hold a request of the last two seconds. Times are since one fixed moment.

use std::time::Duration;

/// Connections go on coming for so long after LAMEDUCK: 0.1 s until the front asks, 0.2 s more, and until
/// then nobody is let go, as he would come back here. A sixth more for what is on its way.
const STILL_COMING: Duration = Duration::from_millis(350);
/// Until then idle connections have gone, each at a time of its own.
const ALL_ASKED: Duration = Duration::from_millis(1600);
/// From then on a new connection is refused: it would find no time for a request.
const TURNED_AWAY: Duration = Duration::from_millis(1200);
/// From then on nothing idle is kept: what begins within two seconds before the fourth counts against it.
const NONE_IDLE: Duration = Duration::from_millis(1700);
/// A new connection has so long to ask something while others are being let go.
const NEWCOMER: Duration = Duration::from_millis(250);
/// After SIGTERM connections and requests go on coming for so long, with some to spare.
const LAST_CALL: Duration = Duration::from_millis(700);

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewConnections {
    Accept,
    /// Refused with a word, and closed.
    Reject,
    /// Not accepted: it is for another process, or for nobody.
    LeaveInBacklog,
}

/// What becomes of a connection that is kept between requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExistingConnections {
    Keep,
    /// It goes once it has answered, and when idle at a time of its own ([`goes_at`]); so since then.
    CloseGradually(Duration),
    CloseWhenIdle,
}

/// All that follows from the state at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainState {
    pub is_ready: bool,
    pub new_connections: NewConnections,
    pub existing_connections: ExistingConnections,
    /// The list and the engines are there.
    pub is_prepared: bool,
    /// The process was told to end.
    pub is_shutting_down: bool,
    /// The last call is over: the process ends once all that was taken is answered.
    pub is_shutdown_grace_over: bool,
}

/// The state of a dispatcher as to its clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    /// The list and the engines are there.
    prepared: bool,
    /// Another process accepts from the same socket, or will.
    passed: bool,
    lame_duck: Option<Duration>,
    ending: Option<Duration>,
}

impl Drain {
    /// `passed` where the platform holds the socket: what is not accepted stays for another process.
    pub fn new(passed: bool) -> Drain {
        Drain {
            passed,
            ..Drain::default()
        }
    }

    pub fn set_prepared(&mut self) {
        self.prepared = true;
    }

    /// LAMEDUCK; a second one does not begin the drain anew.
    pub fn start_lame_duck(&mut self, now: Duration) {
        self.lame_duck.get_or_insert(now);
    }

    /// REJOIN; false where the process is ending, which nothing takes back.
    pub fn rejoin(&mut self) -> bool {
        if self.ending.is_none() {
            self.lame_duck = None;
        }
        self.ending.is_none()
    }

    /// SIGTERM; a second one does not begin the last call anew.
    pub fn start_shutdown(&mut self, now: Duration) {
        self.ending.get_or_insert(now);
    }

    pub fn state(&self, now: Duration) -> DrainState {
        let (newcomers, kept) = match (self.ending, self.lame_duck) {
            (Some(since), lame_duck) => {
                let over = now >= since + LAST_CALL;
                let kept = match lame_duck {
                    _ if over => ExistingConnections::CloseWhenIdle,
                    Some(since) => leaving(since, now).1,
                    None => ExistingConnections::Keep,
                };
                let newcomers = if self.passed || over {
                    NewConnections::LeaveInBacklog
                } else {
                    NewConnections::Accept
                };
                (newcomers, kept)
            }
            (None, Some(since)) => leaving(since, now),
            // Who comes before all is there waits to be accepted.
            (None, None) if !self.prepared => {
                (NewConnections::LeaveInBacklog, ExistingConnections::Keep)
            }
            (None, None) => (NewConnections::Accept, ExistingConnections::Keep),
        };
        let over = self.ending.is_some_and(|since| now >= since + LAST_CALL);
        let ready = self.prepared && self.ending.is_none() && self.lame_duck.is_none();
        DrainState {
            is_ready: ready,
            new_connections: newcomers,
            existing_connections: kept,
            is_prepared: self.prepared,
            is_shutting_down: self.ending.is_some(),
            is_shutdown_grace_over: over,
        }
    }

    /// When the orders will be others if nothing happens.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let ending = self.ending.map(|since| since + LAST_CALL);
        let steps = [STILL_COMING, TURNED_AWAY, NONE_IDLE];
        let lame_duck = steps.map(|step| self.lame_duck.map(|since| since + step));
        let changes = lame_duck.into_iter().chain([ending]).flatten();
        changes.filter(|change| *change > now).min()
    }
}

fn leaving(since: Duration, now: Duration) -> (NewConnections, ExistingConnections) {
    let newcomers = if now < since + TURNED_AWAY {
        NewConnections::Accept
    } else {
        NewConnections::Reject
    };
    let kept = if now < since + STILL_COMING {
        ExistingConnections::Keep
    } else if now < since + NONE_IDLE {
        ExistingConnections::CloseGradually(since)
    } else {
        ExistingConnections::CloseWhenIdle
    };
    (newcomers, kept)
}

/// When an idle connection that came at this time goes in a lame duck that began at that one; the draw is
/// from 0 to 1.
pub fn idle_close_at(came: Duration, since: Duration, draw: f64) -> Duration {
    let drawn = STILL_COMING + (ALL_ASKED - STILL_COMING).mul_f64(draw.clamp(0.0, 1.0));
    (since + drawn).max(came + NEWCOMER).min(since + NONE_IDLE)
}
