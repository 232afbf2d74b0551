//! When a dispatcher may connect to an engine: exponential backoff from an engine that rejects
//! connections.
//!
//! An engine beyond its connection limit refuses connections, or accepts and closes them. That
//! takes hardly more than a round trip, so callers that connect again for each attempt do so
//! thousands of times per second, and together they keep the engine from recovering. Here, the
//! number of connections that are not proven yet is limited, and each consecutive failure doubles
//! the pause before the next connection. A connection is proven once it has received a response, or
//! has been up for `BackoffConfig::rejection_window_us`.
//!
//! An engine that rejects all connections sees at most `MAX_IN_FLIGHT` connects of one dispatcher
//! in any window, plus one for each pause that fits into the window, where the pauses are at least
//! half of `BackoffConfig::initial_us`, twice that, and so on up to half of
//! `BackoffConfig::max_us`. With several dispatchers, or several shards of one, it sees their sum;
//! the pauses are random, so that they do not connect at the same time. An engine that neither
//! responds nor closes early sees at most `MAX_IN_FLIGHT` connects of each in
//! `BackoffConfig::rejection_window_us`.

use crate::random::next_random;

/// Connects to one engine that may be in flight at once while none has failed; further attempts
/// share connections. The limit is low enough that a burst at an engine that rejects all
/// connections is harmless, and high enough that a burst is spread over several connections.
pub const MAX_IN_FLIGHT: usize = 8;

/// Upper bound of a pause: the longest ejection of an engine by `Health` where there are few
/// gateways. Otherwise a trial after such an ejection could find connects still in backoff, and
/// count as another failure although the engine was not contacted.
pub const MAX_BACKOFF_US: u64 = 4_000_000;

/// Durations that are derived from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffConfig {
    /// Upper bound of the pause after the first failure; doubles with each further failure.
    pub initial_us: u64,
    pub max_us: u64,
    /// A connection that the engine closes within this time after it was established, without a
    /// response, counts as rejected.
    pub rejection_window_us: u64,
}

impl BackoffConfig {
    /// Derives the durations from the connect timeout: a connect that is not established within it
    /// has failed, so it is the shortest time in which a dispatcher may learn that the engine's
    /// state has changed.
    pub fn new(connect_timeout_us: u64) -> BackoffConfig {
        BackoffConfig {
            initial_us: connect_timeout_us.clamp(1, MAX_BACKOFF_US),
            max_us: MAX_BACKOFF_US,
            rejection_window_us: connect_timeout_us,
        }
    }

    /// Upper bound of the pause after this many consecutive failures.
    fn max_pause_us(&self, failures: u32) -> u64 {
        let doublings = failures.saturating_sub(1).min(u64::BITS - 1);
        self.initial_us
            .saturating_mul(1 << doublings)
            .min(self.max_us)
    }
}

/// Whether a connect may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    Granted,
    /// Many connects are in flight already: an open connection with free capacity is preferred.
    PreferReuse,
    /// The last connect was rejected, and its pause is not over or the next connect is in flight.
    BackingOff,
}

/// How a connection or a connect ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The connection was proven before it ended.
    Proven,
    /// The first failure since the last success.
    FirstFailure,
    RepeatedFailure,
}

/// Handle of a connect that has begun, and of the connection that it becomes.
#[derive(Debug)]
pub struct TrackedConnection {
    sequence: u64,
    has_response: bool,
}

/// A connect or connection that has neither received a response nor ended.
#[derive(Clone, Copy, Debug)]
struct InFlightConnection {
    sequence: u64,
    /// When the connection counts as proven without a response; `None` until it is established.
    proven_at: Option<u64>,
}

impl InFlightConnection {
    fn is_proven(&self, now: u64) -> bool {
        self.proven_at.is_some_and(|at| now >= at)
    }
}

/// Backoff state of one dispatcher's connects to one engine.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// Consecutive failures, each of a connect that began after the previous failure.
    consecutive_failures: u32,
    /// All failures since the last success, including those of connects in flight together.
    failures_since_success: u64,
    next_connect_at: u64,
    next_sequence: u64,
    /// Sequence number of the first connect after the last failure: results of earlier connects are
    /// no new information.
    first_after_failure: u64,
    in_flight: Vec<InFlightConnection>,
    random_state: u64,
}

impl Backoff {
    /// Dispatchers need different seeds, so that they do not connect at the same time.
    pub fn new(seed: u64) -> Backoff {
        Backoff {
            consecutive_failures: 0,
            failures_since_success: 0,
            next_connect_at: 0,
            next_sequence: 0,
            first_after_failure: 0,
            in_flight: Vec::new(),
            random_state: seed,
        }
    }

    /// Whether the last connect was rejected.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    pub fn permit(&self, now: u64) -> Permit {
        let in_flight = self.in_flight.iter();
        let in_flight = in_flight
            .filter(|connection| !connection.is_proven(now))
            .count();
        if self.is_failing() {
            let may_connect = in_flight == 0 && now >= self.next_connect_at;
            return if may_connect {
                Permit::Granted
            } else {
                Permit::BackingOff
            };
        }
        if in_flight < MAX_IN_FLIGHT {
            Permit::Granted
        } else {
            Permit::PreferReuse
        }
    }

    /// Registers a connect that begins now.
    pub fn begin(&mut self, now: u64) -> TrackedConnection {
        self.in_flight
            .retain(|connection| !connection.is_proven(now));
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.in_flight.push(InFlightConnection {
            sequence,
            proven_at: None,
        });
        TrackedConnection {
            sequence,
            has_response: false,
        }
    }

    pub fn record_connected(
        &mut self,
        connection: &TrackedConnection,
        now: u64,
        config: &BackoffConfig,
    ) {
        let mut in_flight = self.in_flight.iter_mut();
        if let Some(known) = in_flight.find(|known| known.sequence == connection.sequence) {
            known.proven_at = Some(now.saturating_add(config.rejection_window_us));
        }
    }

    /// Whether the connection has received a response, or has been up for long enough that it was
    /// not rejected.
    pub fn is_proven(&self, connection: &TrackedConnection, now: u64) -> bool {
        let mut in_flight = self.in_flight.iter();
        let known = in_flight.find(|known| known.sequence == connection.sequence);
        known.is_none_or(|known| known.is_proven(now))
    }

    /// Records a message on the connection. Returns the number of failures that it ends, if any.
    pub fn record_response(&mut self, connection: &mut TrackedConnection) -> Option<u64> {
        if std::mem::replace(&mut connection.has_response, true) {
            return None;
        }
        self.remove(connection);
        let ends_failures = self.is_failing() && connection.sequence >= self.first_after_failure;
        ends_failures.then(|| {
            self.consecutive_failures = 0;
            std::mem::take(&mut self.failures_since_success)
        })
    }

    /// Records that the connect failed, or that the engine closed or broke the connection.
    pub fn record_end(
        &mut self,
        connection: TrackedConnection,
        now: u64,
        config: &BackoffConfig,
    ) -> ConnectionEnd {
        let was_proven = self.is_proven(&connection, now);
        self.remove(&connection);
        if was_proven {
            return ConnectionEnd::Proven;
        }
        self.failures_since_success += 1;
        // Connects in flight together fail for the same reason and count as one failure.
        if connection.sequence >= self.first_after_failure {
            self.consecutive_failures = self.consecutive_failures.saturating_add(1);
            self.first_after_failure = self.next_sequence;
            let pause_us = self.draw_pause_us(config);
            self.next_connect_at = now.saturating_add(pause_us);
        }
        if self.failures_since_success == 1 {
            ConnectionEnd::FirstFailure
        } else {
            ConnectionEnd::RepeatedFailure
        }
    }

    /// Records that this dispatcher closed the connection.
    pub fn record_local_close(&mut self, connection: TrackedConnection) {
        self.remove(&connection);
    }

    fn remove(&mut self, connection: &TrackedConnection) {
        self.in_flight
            .retain(|known| known.sequence != connection.sequence);
    }

    /// Draws a pause between half of its upper bound, to limit how often a dispatcher connects, and
    /// the whole bound, so that dispatchers do not connect at the same time.
    fn draw_pause_us(&mut self, config: &BackoffConfig) -> u64 {
        let max_us = config.max_pause_us(self.consecutive_failures);
        let min_us = max_us / 2;
        min_us + next_random(&mut self.random_state) % (max_us - min_us + 1)
    }
}
