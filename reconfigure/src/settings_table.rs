//! The places of classes and tenants: all that goes by a place still means the same after a retuning.
//!
//! A class that stays keeps its place. One that vanishes, or comes back with another effect or placement,
//! is retired: its requests end under the terms under which they were taken. Clients that began before may
//! come back with its name until they have given up; later nobody knows it, and once no request of it can
//! be under way its place is free.

use sedgebeam_core::{Class, Micros, Settings, Tenant};
use sedgebeam_settings::Names;

/// Classes, and tenants, that there can be at once, retired ones counted.
pub const MAX_TABLE_ENTRIES: usize = 1024;
/// A client waits for one try at most this many times as long as its class's deadline.
const PATIENCE: u64 = 2;

/// Settings whose lists stand by place, and the names that requests may use.
#[derive(Clone, Debug, Default)]
pub struct RuntimeSettings {
    pub settings: Settings,
    /// A place that requests can't name any more has an empty name.
    pub names: Names,
    /// The requests that may be open at once.
    pub max_open_requests: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Used,
    /// Its name is known until the first time, zero once that is over, and its place is taken until the second.
    Retired(Micros, Micros),
    Free,
}

#[derive(Clone, Debug, Default)]
pub struct SettingsTable {
    runtime_settings: RuntimeSettings,
    classes: Vec<Life>,
    tenants: Vec<Life>,
    /// By class, until when requests may be open that were taken under other figures.
    open_until: Vec<Micros>,
    /// Tenants set by the administration: they count over those of the settings.
    set: Vec<Tenant>,
}

/// Whether a request of the one is decided on as one of the other would be, but for figures.
fn same(one: &Class, other: &Class) -> bool {
    let terms = |class: &Class| {
        let order = (class.holds_group, class.in_key_order, class.is_streamed);
        (class.effect, order)
    };
    let placement = (&one.only_kinds, &one.only_zones) == (&other.only_kinds, &other.only_zones);
    one.name == other.name && terms(one) == terms(other) && placement
}

/// The place for a newcomer: that of its earlier self, or a free one, or one more.
fn place(lives: &mut Vec<Life>, earlier: impl Fn(usize) -> bool) -> Option<usize> {
    let was = (0..lives.len()).find(|place| lives[*place] != Life::Free && earlier(*place));
    let place = was.or_else(|| lives.iter().position(|life| *life == Life::Free));
    if place.is_none() && lives.len() < MAX_TABLE_ENTRIES {
        lives.push(Life::Free);
        return Some(lives.len() - 1);
    }
    place
}

fn put<T: Clone + Default>(list: &mut Vec<T>, place: usize, value: T) {
    if list.len() <= place {
        list.resize(place + 1, T::default());
    }
    list[place] = value;
}

impl SettingsTable {
    pub fn new(tuning: RuntimeSettings) -> SettingsTable {
        SettingsTable {
            classes: vec![Life::Used; tuning.settings.classes.len()],
            tenants: vec![Life::Used; tuning.settings.tenants.len()],
            open_until: vec![Micros(0); tuning.settings.classes.len()],
            set: Vec::new(),
            runtime_settings: tuning,
        }
    }

    pub fn runtime_settings(&self) -> &RuntimeSettings {
        &self.runtime_settings
    }

    /// Tenants set by the administration.
    pub fn tenant_overrides(&self) -> &[Tenant] {
        &self.set
    }

    /// How long requests of a class that are taken now may be open, or a client may come back.
    fn patience(&self, class: &Class) -> Micros {
        Micros(class.give_up.0.saturating_mul(PATIENCE))
    }

    /// Until when a request that was taken by now may be open.
    fn open_until(&self, place: usize, now: Micros) -> Micros {
        let patience = self.patience(&self.runtime_settings.settings.classes[place]);
        (now + patience + self.runtime_settings.settings.answer_slack).max(self.open_until[place])
    }

    /// The same of requests of any class.
    fn all_open_until(&self, now: Micros) -> Micros {
        let places = 0..self.classes.len();
        let until = places.map(|place| self.open_until(place, now));
        until.max().unwrap_or_default()
    }

    /// Takes new settings as a file has them; `None`, and nothing changes, where there is no room for all of
    /// their classes and tenants.
    pub fn reconfigure(&mut self, now: Micros, told: &RuntimeSettings) -> Option<&RuntimeSettings> {
        let mut next = self.clone();
        next.expire(now);
        next.take_classes(now, &told.settings.classes)?;
        next.take_tenants(now, &told.settings.tenants)?;
        let settings = std::mem::take(&mut next.runtime_settings.settings);
        next.runtime_settings = told.clone();
        next.runtime_settings.settings.classes = settings.classes;
        next.runtime_settings.settings.tenants = settings.tenants;
        next.name();
        *self = next;
        Some(&self.runtime_settings)
    }

    fn take_classes(&mut self, now: Micros, told: &[Class]) -> Option<()> {
        let mut used = Vec::new();
        for class in told {
            let known = &self.runtime_settings.settings.classes;
            let earlier = |place: usize| same(&known[place], class) && !used.contains(&place);
            let place = place(&mut self.classes, earlier)?;
            let until = match self.classes[place] {
                Life::Free => now,
                _ => self.open_until(place, now),
            };
            put(&mut self.open_until, place, until);
            self.classes[place] = Life::Used;
            used.push(place);
            put(
                &mut self.runtime_settings.settings.classes,
                place,
                class.clone(),
            );
        }
        for place in 0..self.classes.len() {
            if self.classes[place] == Life::Used && !used.contains(&place) {
                let named = now + self.patience(&self.runtime_settings.settings.classes[place]);
                let taken = self.open_until(place, named);
                let class = &mut self.runtime_settings.settings.classes[place];
                class.retired = true;
                let name = class.name.clone();
                self.unname(&name);
                self.classes[place] = Life::Retired(named, taken);
            }
        }
        Some(())
    }

    /// Whoever comes back with a name means the class that had it last, not those before.
    fn unname(&mut self, name: &str) {
        let classes = self.runtime_settings.settings.classes.iter();
        for (life, _) in self
            .classes
            .iter_mut()
            .zip(classes)
            .filter(|(_, class)| class.name == name)
        {
            if let Life::Retired(named, _) = life {
                *named = Micros(0);
            }
        }
    }

    fn take_tenants(&mut self, now: Micros, told: &[Tenant]) -> Option<()> {
        let mut used = Vec::new();
        let set = self.set.clone();
        let told = told
            .iter()
            .filter(|tenant| !set.iter().any(|set| set.name == tenant.name));
        for tenant in told.chain(&set) {
            let known = &self.runtime_settings.settings.tenants;
            let earlier = |place: usize| known[place].name == tenant.name;
            let place = place(&mut self.tenants, earlier)?;
            self.tenants[place] = Life::Used;
            used.push(place);
            put(
                &mut self.runtime_settings.settings.tenants,
                place,
                tenant.clone(),
            );
        }
        let classes = self.runtime_settings.settings.classes.iter();
        let named = classes.map(|class| now + self.patience(class)).max();
        let named = named.unwrap_or_default();
        for place in 0..self.tenants.len() {
            match self.tenants[place] {
                Life::Used if !used.contains(&place) => {
                    self.tenants[place] = Life::Retired(named, self.all_open_until(named));
                    // What is under way of it goes on with no claim of its own.
                    let tenant = &mut self.runtime_settings.settings.tenants[place];
                    (tenant.share, tenant.requests_per_second) = (0.0, 0.0);
                }
                // Its last requests may be of classes whose deadlines are longer now.
                Life::Retired(named, taken) => {
                    let taken = self.all_open_until(named).max(taken);
                    self.tenants[place] = Life::Retired(named, taken);
                }
                Life::Used | Life::Free => {}
            }
        }
        Some(())
    }

    /// The administration sets a tenant's share, or adds it; false where there is no room for one more.
    pub fn set_tenant(&mut self, tenant: &Tenant) -> bool {
        let known = &self.runtime_settings.settings.tenants;
        let place = place(&mut self.tenants, |place| known[place].name == tenant.name);
        let Some(place) = place else { return false };
        self.tenants[place] = Life::Used;
        put(
            &mut self.runtime_settings.settings.tenants,
            place,
            tenant.clone(),
        );
        self.set.retain(|set| set.name != tenant.name);
        self.set.push(tenant.clone());
        self.name();
        true
    }

    /// Forgets what is over by now; true where names that requests may use have changed.
    pub fn expire(&mut self, now: Micros) -> bool {
        for life in self.classes.iter_mut().chain(&mut self.tenants) {
            match life {
                Life::Retired(_, taken) if *taken <= now => *life = Life::Free,
                Life::Retired(named, _) if *named <= now => *named = Micros(0),
                _ => {}
            }
        }
        let before = self.runtime_settings.names.clone();
        self.name();
        let names = &self.runtime_settings.names;
        (before.classes, before.tenants) != (names.classes.clone(), names.tenants.clone())
    }

    /// When the next name is known no longer.
    pub fn next_expiry(&self) -> Option<Micros> {
        let lives = self.classes.iter().chain(&self.tenants);
        let ends = lives.filter_map(|life| match life {
            Life::Retired(named, _) if *named > Micros(0) => Some(*named),
            _ => None,
        });
        ends.min()
    }

    /// Writes the names that requests may use; of two of one name, that of the settings.
    fn name(&mut self) {
        let (settings, names) = (
            &self.runtime_settings.settings,
            &mut self.runtime_settings.names,
        );
        let classes: Vec<&str> = settings
            .classes
            .iter()
            .map(|class| class.name.as_str())
            .collect();
        let tenants: Vec<&str> = settings
            .tenants
            .iter()
            .map(|known| known.name.as_str())
            .collect();
        names.classes = named(&classes, &self.classes);
        names.tenants = named(&tenants, &self.tenants);
        names.give_up = settings.classes.iter().map(|class| class.give_up).collect();
    }
}

fn named(names: &[&str], lives: &[Life]) -> Vec<String> {
    let used = |name: &str| {
        let mut places = names.iter().zip(lives);
        places.any(|(known, life)| *known == name && *life == Life::Used)
    };
    let name = |(name, life): (&&str, &Life)| match life {
        Life::Used => name.to_string(),
        Life::Retired(until, _) if *until > Micros(0) && !used(name) => name.to_string(),
        _ => String::new(),
    };
    names.iter().zip(lives).map(name).collect()
}
