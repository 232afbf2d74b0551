//! What an engine that has started lately is sent by all gateways together, where each one's part of what it
//! bears is under one query.
//!
//! A part under one query can't be kept to by counting: one gateway would never send, and if each sent one
//! query all the same, a hundred would. Instead a right to send one query of a class opens at a gateway each
//! time that its part has grown by that query's work, and is lost when not used for a while. Gateways begin at
//! different points between two rights, in equal steps, so that in any time t all of them together open rights
//! for no more than what is granted in t and one query of each class; and in any window no more is sent than
//! what was opened in it and in the time before it in which a right lasts. A gateway that starts anew begins at
//! its point again, with nothing granted: of any number that do so at one moment, those that open a right soon are
//! as many as of others, since their points are spread alike.

/// A right lasts for so many windows at the most, and at least: a shorter one is mostly lost before it is used.
const LONGEST_LIFE: f64 = 2.0;
const SHORTEST_LIFE: f64 = 1.0;
/// Share of what the rule allows that is granted: weights are estimates. Where it allows four times what an
/// engine can do, just that is granted.
const MARGIN: f64 = 0.75;

/// What all gateways together may send to a starting engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that it has at its start, and when it has all of it.
    pub initial_capacity: f64,
    pub warm_up_us: u64,
    /// It falls over if sent more than this multiple of what it can do, for the window.
    pub overload_factor: f64,
    pub window_us: u64,
    pub gateway_count: f64,
}

impl SlowStart {
    /// Share of its capacity that it has at this age, taken to grow evenly.
    pub fn capacity_share(&self, age: u64) -> f64 {
        let grown = age as f64 / self.warm_up_us.max(1) as f64;
        self.initial_capacity + (1.0 - self.initial_capacity) * grown.min(1.0)
    }

    /// How likely a right is used while it is open, where so many requests that could use it come a second. A right that
    /// nobody comes for is lost, so what is granted goes to classes by the work that they will bring.
    pub fn use_probability(&self, rate: f64) -> f64 {
        let life = self.life() as f64 / 1e6;
        1.0 - (-rate * life).exp()
    }

    /// Share of what it can do that is granted.
    fn margin(&self) -> f64 {
        (self.overload_factor * MARGIN / (1.0 + self.life_in_windows())).min(1.0)
    }

    /// How many windows a right lasts: as many as the rule leaves room for where all that an engine can do is granted.
    fn life_in_windows(&self) -> f64 {
        (self.overload_factor * MARGIN - 1.0).clamp(SHORTEST_LIFE, LONGEST_LIFE)
    }

    /// How long a right lasts.
    fn life(&self) -> u64 {
        (self.life_in_windows() * self.window_us as f64) as u64
    }

    /// Work granted to one gateway, in core seconds, for the time since an engine's start.
    pub fn granted_work(&self, age: u64, cores: f64) -> f64 {
        let share = self.margin();
        let (age, whole) = (age as f64 / 1e6, self.warm_up_us.max(1) as f64 / 1e6);
        let age = age.min(whole);
        // The integral of a capacity that grows evenly.
        let capacity =
            self.initial_capacity * age + (1.0 - self.initial_capacity) * age * age / (2.0 * whole);
        share * capacity * cores / self.gateway_count.max(1.0)
    }
}

/// Rights of one gateway to send queries of one class to one engine.
#[derive(Clone, Copy, Debug, Default)]
struct Right {
    /// Queries granted of which the right has not opened yet.
    credit: f64,
    available_until: u64,
}

/// A gateway's rights on one engine, by class.
#[derive(Clone, Debug, Default)]
pub struct AdmissionTokens {
    classes: Vec<Right>,
    /// What was granted when it was last looked at, and when; none before, and after other terms were told.
    granted: Option<(f64, u64)>,
}

impl AdmissionTokens {
    /// Lets what is granted grow. A class is its part of the work asked for and the work of one query of it;
    /// the phase, from 0 to 1, tells where this gateway begins between two rights of a class.
    pub fn refill(
        &mut self,
        now: u64,
        granted: f64,
        warming: &SlowStart,
        classes: &[(f64, f64)],
        phase: impl Fn(usize) -> f64,
    ) {
        let begin = |class| Right {
            credit: phase(class),
            available_until: 0,
        };
        let known = self.classes.len();
        // A class may come later; it begins as all do.
        self.classes.extend((known..classes.len()).map(begin));
        // What was granted before is for those who were there: all that begin anew at one moment, or hear other terms,
        // would else open rights for the whole life of the engine so far.
        let (before, at) = self
            .granted
            .replace((granted, now))
            .unwrap_or((granted, now));
        let more = (granted - before).max(0.0);
        for (right, (part, work)) in self.classes.iter_mut().zip(classes) {
            let grown = more * part / work.max(1e-6);
            right.credit += grown;
            if right.credit >= 1.0 {
                // What was not looked at for long is no reason for several at once, nor for one that came so long ago
                // that it is lost: the rights of many would else be used at the moment at which they all look.
                right.credit %= 1.0;
                let since = right.credit / grown * now.saturating_sub(at) as f64;
                right.available_until = now.saturating_sub(since as u64) + warming.life();
            }
        }
    }

    /// What is granted goes by other terms from now on.
    pub fn reset_baseline(&mut self) {
        self.granted = None;
    }

    pub fn is_available(&self, class: usize, now: u64) -> bool {
        let right = self.classes.get(class);
        right.is_some_and(|right| now < right.available_until)
    }

    pub fn consume(&mut self, class: usize) {
        if let Some(right) = self.classes.get_mut(class) {
            right.available_until = 0;
        }
    }
}

/// Where a gateway begins: evenly spread over gateways, and at another place for each engine and class.
pub fn phase(me: u32, gateways: f64, salt: u64) -> f64 {
    let shift = salt as f64 / u64::MAX as f64;
    (f64::from(me) / gateways.max(1.0) + shift).fract()
}
