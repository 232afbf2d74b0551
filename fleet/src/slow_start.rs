//! Limits what all gateways together send to a recently started (cold) engine, where the share of
//! one gateway is less than one query.
//!
//! Such a share can't be enforced by counting: a gateway would either never send, or all of a
//! hundred gateways would send one query each. Instead, a gateway gets an admission token for one
//! query of a class each time its share has grown by the work of that query, and a token that is
//! not used expires. Gateways start at evenly spaced phases between two tokens, so that in any
//! period all gateways together issue tokens for no more than the work granted in that period plus
//! one query of each class. The work sent in any window is therefore at most what was issued in the
//! window and in one token lifetime before it. A gateway that restarts begins at its phase again,
//! with no granted work: since phases are evenly spread, the proportion that gets a token soon is
//! the same among gateways that restart together as among the others.

/// Bounds of a token's lifetime, in windows: a token that lives for less than the minimum mostly
/// expires before it is used.
const MAX_TOKEN_LIFETIME_WINDOWS: f64 = 2.0;
const MIN_TOKEN_LIFETIME_WINDOWS: f64 = 1.0;
/// Share of the permitted load that is granted, because the work of queries is estimated. With an
/// overload factor of four, exactly the engine's capacity is granted.
const GRANT_MARGIN: f64 = 0.75;

/// What all gateways together may send to a starting engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that an engine has when it starts.
    pub initial_capacity: f64,
    /// Age at which an engine has its full capacity.
    pub warm_up_us: u64,
    /// An engine fails when it is sent more than this multiple of its current capacity within a
    /// window.
    pub overload_factor: f64,
    pub window_us: u64,
    pub gateway_count: f64,
}

impl SlowStart {
    /// Share of its capacity that an engine of this age has, assuming linear growth.
    pub fn capacity_share(&self, age_us: u64) -> f64 {
        let warm_up_progress = age_us as f64 / self.warm_up_us.max(1) as f64;
        self.initial_capacity + (1.0 - self.initial_capacity) * warm_up_progress.min(1.0)
    }

    /// Probability that a token is used before it expires, where `request_rate` requests per second
    /// could use it. An unused token is lost, so granted work is divided among classes by the work
    /// that they are expected to send.
    pub fn use_probability(&self, request_rate: f64) -> f64 {
        let lifetime_s = self.token_lifetime_us() as f64 / 1e6;
        1.0 - (-request_rate * lifetime_s).exp()
    }

    /// Share of the engine's current capacity that is granted.
    fn granted_share(&self) -> f64 {
        (self.overload_factor * GRANT_MARGIN / (1.0 + self.token_lifetime_windows())).min(1.0)
    }

    /// Lifetime of a token in windows: the longest at which the full capacity can be granted within
    /// the limit.
    fn token_lifetime_windows(&self) -> f64 {
        (self.overload_factor * GRANT_MARGIN - 1.0)
            .clamp(MIN_TOKEN_LIFETIME_WINDOWS, MAX_TOKEN_LIFETIME_WINDOWS)
    }

    fn token_lifetime_us(&self) -> u64 {
        (self.token_lifetime_windows() * self.window_us as f64) as u64
    }

    /// Work granted to one gateway since the engine's start, in core seconds.
    pub fn granted_work(&self, age_us: u64, cores: f64) -> f64 {
        let granted_share = self.granted_share();
        let (age_s, warm_up_s) = (age_us as f64 / 1e6, self.warm_up_us.max(1) as f64 / 1e6);
        let age_s = age_s.min(warm_up_s);
        // The integral of the linearly growing capacity.
        let capacity_s = self.initial_capacity * age_s
            + (1.0 - self.initial_capacity) * age_s * age_s / (2.0 * warm_up_s);
        granted_share * capacity_s * cores / self.gateway_count.max(1.0)
    }
}

/// A gateway's tokens for one class of queries to one engine.
#[derive(Clone, Copy, Debug, Default)]
struct ClassTokens {
    /// Fraction of the next token that has been granted.
    credit: f64,
    /// When the current token expires; zero if there is none.
    available_until: u64,
}

/// A gateway's admission tokens for one engine, by class.
#[derive(Clone, Debug, Default)]
pub struct AdmissionTokens {
    classes: Vec<ClassTokens>,
    /// Work granted up to the last refill, and the time of that refill; `None` before the first
    /// refill and after a change of the parameters.
    last_refill: Option<(f64, u64)>,
}

impl AdmissionTokens {
    /// Adds credit for the work granted since the last refill, and issues tokens. `classes` has
    /// each class's share of the requested work and the work of one of its queries in core seconds.
    /// `phase`, from 0 to 1, is the initial credit of this gateway for a class.
    pub fn refill(
        &mut self,
        now: u64,
        granted_work: f64,
        slow_start: &SlowStart,
        classes: &[(f64, f64)],
        phase: impl Fn(usize) -> f64,
    ) {
        let initial_tokens = |class| ClassTokens {
            credit: phase(class),
            available_until: 0,
        };
        let known_classes = self.classes.len();
        // A class that is added later starts at its phase too.
        self.classes
            .extend((known_classes..classes.len()).map(initial_tokens));
        // Work granted before the first refill is not counted: gateways that restart at the same
        // moment, or get new parameters, would otherwise issue tokens for the engine's whole age.
        let (previously_granted, last_refill_at) = self
            .last_refill
            .replace((granted_work, now))
            .unwrap_or((granted_work, now));
        let newly_granted = (granted_work - previously_granted).max(0.0);
        for (tokens, (share, query_work)) in self.classes.iter_mut().zip(classes) {
            let added_credit = newly_granted * share / query_work.max(1e-6);
            tokens.credit += added_credit;
            if tokens.credit >= 1.0 {
                // After a long gap, at most one token is issued, and its lifetime counts from when
                // it was due, so that it may have expired already. Otherwise gateways that all
                // refill at the same moment would use their tokens together.
                tokens.credit %= 1.0;
                let overdue_us =
                    tokens.credit / added_credit * now.saturating_sub(last_refill_at) as f64;
                tokens.available_until =
                    now.saturating_sub(overdue_us as u64) + slow_start.token_lifetime_us();
            }
        }
    }

    /// Makes the next refill count only work that is granted after it, under new parameters.
    pub fn reset_baseline(&mut self) {
        self.last_refill = None;
    }

    /// Whether the gateway has a token for a query of this class.
    pub fn is_available(&self, class: usize, now: u64) -> bool {
        let tokens = self.classes.get(class);
        tokens.is_some_and(|tokens| now < tokens.available_until)
    }

    /// Uses up the token for a query of this class.
    pub fn consume(&mut self, class: usize) {
        if let Some(tokens) = self.classes.get_mut(class) {
            tokens.available_until = 0;
        }
    }
}

/// Initial credit of a gateway: evenly spread over the gateways, and shifted by `salt`, which
/// differs for each engine and class.
pub fn phase(gateway_index: u32, gateway_count: f64, salt: u64) -> f64 {
    let shift = salt as f64 / u64::MAX as f64;
    (f64::from(gateway_index) / gateway_count.max(1.0) + shift).fract()
}
