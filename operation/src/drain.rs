//! Drain of a dispatcher: whether it is ready, and how new and existing client connections are treated.
//!
//! The platform's front polls readiness every 0.1 s and goes on connecting for 0.2 s after the first negative
//! answer. From 4 s after LAMEDUCK no connection may be idle or hold a request that began in the last 2 s.
//! Times are offsets from one fixed moment.

use std::time::Duration;

/// New connections are expected for this time after LAMEDUCK: 0.1 s until the front polls, 0.2 s in which it goes on
/// connecting, and a margin of one sixth for connections in transit. A client whose connection is closed earlier would
/// reconnect to this dispatcher.
const FRONT_REACTION_TIME: Duration = Duration::from_millis(350);
/// End of the staggered closing, after LAMEDUCK: by then each idle connection has been closed at its own random time.
const STAGGERED_CLOSE_END: Duration = Duration::from_millis(1600);
/// From this time after LAMEDUCK on, new connections are rejected, because no time would remain for a request.
const REJECT_NEW_AFTER: Duration = Duration::from_millis(1200);
/// From this time after LAMEDUCK on, no idle connection is kept: a request that begins 2 s or less before the limit of
/// 4 s violates it.
const CLOSE_ALL_IDLE_AFTER: Duration = Duration::from_millis(1700);
/// Time that a new connection has for its first request while others are being closed.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(250);
/// Time after SIGTERM in which connections and requests still arrive, with a margin.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(700);

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewConnections {
    Accept,
    /// Accepted, answered with an error and closed.
    Reject,
    /// Not accepted: it stays in the listen backlog, for another process if one accepts from the same socket.
    LeaveInBacklog,
}

/// What happens to a connection that is kept open between requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExistingConnections {
    Keep,
    /// Closed after its current answer or, when idle, at its own time ([`idle_close_at`]). Holds the start of the
    /// drain.
    CloseGradually(Duration),
    CloseWhenIdle,
}

/// Readiness, and the treatment of connections and requests, at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainState {
    pub is_ready: bool,
    pub new_connections: NewConnections,
    pub existing_connections: ExistingConnections,
    /// Whether the engine list and the engines are available.
    pub is_prepared: bool,
    /// Whether SIGTERM was received.
    pub is_shutting_down: bool,
    /// Whether requests are no longer accepted: the process exits once all accepted ones are answered.
    pub is_shutdown_grace_over: bool,
}

/// The events that decide how a dispatcher treats its clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    /// Whether the engine list and the engines are available.
    is_prepared: bool,
    /// Whether another process accepts from the same socket, or will.
    has_inherited_listener: bool,
    lame_duck_since: Option<Duration>,
    shutdown_since: Option<Duration>,
}

impl Drain {
    /// `has_inherited_listener` is set where the platform holds the listening socket: connections that this process
    /// does not accept remain for another one.
    pub fn new(has_inherited_listener: bool) -> Drain {
        Drain {
            has_inherited_listener,
            ..Drain::default()
        }
    }

    pub fn set_prepared(&mut self) {
        self.is_prepared = true;
    }

    /// Handles LAMEDUCK; a repeated one does not restart the drain.
    pub fn start_lame_duck(&mut self, now: Duration) {
        self.lame_duck_since.get_or_insert(now);
    }

    /// Handles REJOIN; returns false during a shutdown, which can't be undone.
    pub fn rejoin(&mut self) -> bool {
        if self.shutdown_since.is_none() {
            self.lame_duck_since = None;
        }
        self.shutdown_since.is_none()
    }

    /// Handles SIGTERM; a repeated one does not restart the grace period.
    pub fn start_shutdown(&mut self, now: Duration) {
        self.shutdown_since.get_or_insert(now);
    }

    pub fn state(&self, now: Duration) -> DrainState {
        let (new_connections, existing_connections) =
            match (self.shutdown_since, self.lame_duck_since) {
                (Some(shutdown_since), lame_duck_since) => {
                    let is_grace_over = now >= shutdown_since + SHUTDOWN_GRACE;
                    let existing_connections = match lame_duck_since {
                        _ if is_grace_over => ExistingConnections::CloseWhenIdle,
                        Some(lame_duck_since) => lame_duck_connections(lame_duck_since, now).1,
                        None => ExistingConnections::Keep,
                    };
                    let new_connections = if self.has_inherited_listener || is_grace_over {
                        NewConnections::LeaveInBacklog
                    } else {
                        NewConnections::Accept
                    };
                    (new_connections, existing_connections)
                }
                (None, Some(lame_duck_since)) => lame_duck_connections(lame_duck_since, now),
                // Clients that connect before the engines are known wait in the listen backlog.
                (None, None) if !self.is_prepared => {
                    (NewConnections::LeaveInBacklog, ExistingConnections::Keep)
                }
                (None, None) => (NewConnections::Accept, ExistingConnections::Keep),
            };
        let is_shutdown_grace_over = self
            .shutdown_since
            .is_some_and(|since| now >= since + SHUTDOWN_GRACE);
        let is_ready =
            self.is_prepared && self.shutdown_since.is_none() && self.lame_duck_since.is_none();
        DrainState {
            is_ready,
            new_connections,
            existing_connections,
            is_prepared: self.is_prepared,
            is_shutting_down: self.shutdown_since.is_some(),
            is_shutdown_grace_over,
        }
    }

    /// When [`Drain::state`] next changes if no event occurs.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let shutdown_change = self.shutdown_since.map(|since| since + SHUTDOWN_GRACE);
        let offsets = [FRONT_REACTION_TIME, REJECT_NEW_AFTER, CLOSE_ALL_IDLE_AFTER];
        let lame_duck_changes =
            offsets.map(|offset| self.lame_duck_since.map(|since| since + offset));
        let changes = lame_duck_changes
            .into_iter()
            .chain([shutdown_change])
            .flatten();
        changes.filter(|change| *change > now).min()
    }
}

fn lame_duck_connections(since: Duration, now: Duration) -> (NewConnections, ExistingConnections) {
    let new_connections = if now < since + REJECT_NEW_AFTER {
        NewConnections::Accept
    } else {
        NewConnections::Reject
    };
    let existing_connections = if now < since + FRONT_REACTION_TIME {
        ExistingConnections::Keep
    } else if now < since + CLOSE_ALL_IDLE_AFTER {
        ExistingConnections::CloseGradually(since)
    } else {
        ExistingConnections::CloseWhenIdle
    };
    (new_connections, existing_connections)
}

/// When an idle connection is closed in a drain; `draw` is a random number from 0 to 1 that staggers the closing.
pub fn idle_close_at(accepted_at: Duration, drain_started_at: Duration, draw: f64) -> Duration {
    let offset = FRONT_REACTION_TIME
        + (STAGGERED_CLOSE_END - FRONT_REACTION_TIME).mul_f64(draw.clamp(0.0, 1.0));
    (drain_started_at + offset)
        .max(accepted_at + NEW_CONNECTION_GRACE)
        .min(drain_started_at + CLOSE_ALL_IDLE_AFTER)
}
