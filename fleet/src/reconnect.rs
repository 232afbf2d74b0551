//! When a dispatcher may connect to an engine: backoff from one that turns connections away.
//!
//! An engine beyond its limit of connections accepts and closes, or refuses. That costs a caller hardly more than a round
//! trip, so callers that connect anew for each attempt call thousands of times a second, and all of them together keep the
//! engine from getting well. Here connects that have not proved good yet are limited in number, and each failure in a row
//! doubles the pause before the next one.
//!
//! Of one dispatcher, an engine that turns all away sees in any window `w` no more connects than `MOST_IN_FLIGHT`, and one
//! for each pause that fits into `w`, where pauses are at least half of `Pauses::first`, twice that, and so on up to half of
//! `Pauses::longest`. Of several dispatchers, or shards of one, it sees the sum; their pauses are drawn, so that they do not
//! call together. An engine that neither answers nor closes soon sees at most `MOST_IN_FLIGHT` connects of each in
//! `Pauses::soon`.

/// Connects to one engine that may be in flight at once while none has failed. Attempts beyond them share: few enough that
/// a burst at an engine that turns all away is harmless, enough that a burst is spread over several connections.
pub const MAX_IN_FLIGHT: usize = 8;

/// No longer than the longest rest that `Health` gives an engine among few gateways: a trial after such a rest, which found
/// connects still held back, would be another strike though the engine was not called.
pub const MAX_BACKOFF_US: u64 = 4_000_000;

/// Lengths of time that follow from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffConfig {
    /// The upper bound of the pause after the first failure; it doubles with each one that follows.
    pub initial_us: u64,
    pub max_us: u64,
    /// A connection that its engine closes within this time after it came up, without an answer, was turned away.
    pub rejection_window_us: u64,
}

impl BackoffConfig {
    /// A connect that is not up within its timeout never is: that is the shortest time in which a dispatcher may learn
    /// that something has changed.
    pub fn new(connect_timeout: u64) -> BackoffConfig {
        BackoffConfig {
            initial_us: connect_timeout.clamp(1, MAX_BACKOFF_US),
            max_us: MAX_BACKOFF_US,
            rejection_window_us: connect_timeout,
        }
    }

    /// The upper bound of the pause after so many failures in a row.
    fn bound(&self, failures: u32) -> u64 {
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
    /// Many are in flight already: an open connection is to be shared, where one has room.
    PreferReuse,
    /// The last connect was turned away, and its pause is not over or its successor is in flight.
    BackingOff,
}

/// What the end of a connection was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It had proved good.
    Proven,
    FirstFailure,
    RepeatedFailure,
}

/// A connect that has begun, and the connection that it becomes.
#[derive(Debug)]
pub struct TrackedConnection {
    sequence: u64,
    answered: bool,
}

/// A connect that has neither answered nor ended.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    sequence: u64,
    /// When it has proved good though it has not answered; none until it is up.
    proven_at: Option<u64>,
}

impl InFlight {
    fn is_proven(&self, now: u64) -> bool {
        self.proven_at.is_some_and(|at| now >= at)
    }
}

/// Connects of one dispatcher to one engine.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// Failures in a row, each of a connect that began after the one before it had failed.
    failures: u32,
    /// All failures of this run, also of connects that were in flight together.
    failed_in_run: u64,
    not_before: u64,
    next_sequence: u64,
    /// The first connect that begins after the last failure: what earlier ones bring tells nothing new.
    next_trial: u64,
    in_flight: Vec<InFlight>,
    random: u64,
}

impl Backoff {
    /// Different dispatchers need different seeds.
    pub fn new(seed: u64) -> Backoff {
        Backoff {
            failures: 0,
            failed_in_run: 0,
            not_before: 0,
            next_sequence: 0,
            next_trial: 0,
            in_flight: Vec::new(),
            random: seed,
        }
    }

    /// Whether the last connect was turned away.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    pub fn permit(&self, now: u64) -> Permit {
        let in_flight = self.in_flight.iter();
        let in_flight = in_flight.filter(|connect| !connect.is_proven(now)).count();
        if self.is_failing() {
            let free = in_flight == 0 && now >= self.not_before;
            return if free {
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

    /// A connect begins now.
    pub fn begin(&mut self, now: u64) -> TrackedConnection {
        self.in_flight.retain(|connect| !connect.is_proven(now));
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.in_flight.push(InFlight {
            sequence,
            proven_at: None,
        });
        TrackedConnection {
            sequence,
            answered: false,
        }
    }

    pub fn record_connected(
        &mut self,
        connect: &TrackedConnection,
        now: u64,
        config: &BackoffConfig,
    ) {
        let mut in_flight = self.in_flight.iter_mut();
        if let Some(found) = in_flight.find(|known| known.sequence == connect.sequence) {
            found.proven_at = Some(now.saturating_add(config.rejection_window_us));
        }
    }

    /// Whether it has answered, or has been up for so long that it was not turned away.
    pub fn is_proven(&self, connect: &TrackedConnection, now: u64) -> bool {
        let mut in_flight = self.in_flight.iter();
        let found = in_flight.find(|known| known.sequence == connect.sequence);
        found.is_none_or(|found| found.is_proven(now))
    }

    /// A word came on the connection. Where it ends a run of failures: how many there were.
    pub fn record_response(&mut self, connect: &mut TrackedConnection) -> Option<u64> {
        if std::mem::replace(&mut connect.answered, true) {
            return None;
        }
        self.remove(connect);
        let ends_run = self.is_failing() && connect.sequence >= self.next_trial;
        ends_run.then(|| {
            self.failures = 0;
            std::mem::take(&mut self.failed_in_run)
        })
    }

    /// The connect failed, or the connection was closed or broken by the other side.
    pub fn record_end(
        &mut self,
        connect: TrackedConnection,
        now: u64,
        config: &BackoffConfig,
    ) -> ConnectionEnd {
        let proven = self.is_proven(&connect, now);
        self.remove(&connect);
        if proven {
            return ConnectionEnd::Proven;
        }
        self.failed_in_run += 1;
        // One event made those fail that were in flight together.
        if connect.sequence >= self.next_trial {
            self.failures = self.failures.saturating_add(1);
            self.next_trial = self.next_sequence;
            let pause = self.draw_pause(config);
            self.not_before = now.saturating_add(pause);
        }
        if self.failed_in_run == 1 {
            ConnectionEnd::FirstFailure
        } else {
            ConnectionEnd::RepeatedFailure
        }
    }

    /// The connection was closed by this side.
    pub fn record_local_close(&mut self, connect: TrackedConnection) {
        self.remove(&connect);
    }

    fn remove(&mut self, connect: &TrackedConnection) {
        self.in_flight
            .retain(|known| known.sequence != connect.sequence);
    }

    /// Between half of the bound, so that there is a limit to how often one calls, and all of it, so that many do not
    /// call together.
    fn draw_pause(&mut self, config: &BackoffConfig) -> u64 {
        let bound = config.bound(self.failures);
        let least = bound / 2;
        least + self.next_random() % (bound - least + 1)
    }

    /// The next of a sequence of numbers (splitmix64).
    fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
