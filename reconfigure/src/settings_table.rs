//! Stable indexes of classes and tenants: an index means the same class or tenant after a change of the settings.
//!
//! A class that is removed, or returns with another effect or placement, is retired: its open requests end under the
//! settings with which they were accepted, and its name stays valid until clients that used it before have given up.
//! Its index is free once no request of it can be open.

use sedgebeam_core::{Class, Micros, Settings, Tenant};
use sedgebeam_settings::Names;

/// Maximum number of classes, and of tenants, including retired ones.
pub const MAX_TABLE_ENTRIES: usize = 1024;
/// How long a client waits for one try at most, as a multiple of the time limit (`give_up`) of its class.
const MAX_WAIT_TIME_LIMITS: u64 = 2;

/// Settings whose lists of classes and tenants have stable indexes, and the names that requests may use.
#[derive(Clone, Debug, Default)]
pub struct RuntimeSettings {
    pub settings: Settings,
    /// The name of an index that requests can no longer use is empty.
    pub names: Names,
    /// How many requests may be open at the same time.
    pub max_open_requests: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryState {
    InUse,
    /// The name is valid until the first time, which is set to zero once it has passed. The index is reserved until the
    /// second time.
    Retired(Micros, Micros),
    Free,
}

/// Runtime settings, and the lifetimes of their classes and tenants.
#[derive(Clone, Debug, Default)]
pub struct SettingsTable {
    runtime_settings: RuntimeSettings,
    class_states: Vec<EntryState>,
    tenant_states: Vec<EntryState>,
    /// Until when requests that were accepted under earlier settings may be open, by class.
    open_until: Vec<Micros>,
    /// Tenants set by administrators; they override those of the settings.
    tenant_overrides: Vec<Tenant>,
}

/// Whether requests of both classes are handled alike, apart from numeric settings.
fn is_same_class(one: &Class, other: &Class) -> bool {
    let handling = |class: &Class| {
        let flags = (class.holds_group, class.in_key_order, class.is_streamed);
        (class.effect, flags)
    };
    let has_same_placement =
        (&one.only_kinds, &one.only_zones) == (&other.only_kinds, &other.only_zones);
    one.name == other.name && handling(one) == handling(other) && has_same_placement
}

/// The index for a class or tenant: its previous one, a free one, or a new one at the end.
fn assign_index(
    states: &mut Vec<EntryState>,
    is_previous: impl Fn(usize) -> bool,
) -> Option<usize> {
    let previous =
        (0..states.len()).find(|index| states[*index] != EntryState::Free && is_previous(*index));
    let index = previous.or_else(|| states.iter().position(|state| *state == EntryState::Free));
    if index.is_none() && states.len() < MAX_TABLE_ENTRIES {
        states.push(EntryState::Free);
        return Some(states.len() - 1);
    }
    index
}

fn set_at<T: Clone + Default>(list: &mut Vec<T>, index: usize, value: T) {
    if list.len() <= index {
        list.resize(index + 1, T::default());
    }
    list[index] = value;
}

impl SettingsTable {
    pub fn new(runtime_settings: RuntimeSettings) -> SettingsTable {
        SettingsTable {
            class_states: vec![EntryState::InUse; runtime_settings.settings.classes.len()],
            tenant_states: vec![EntryState::InUse; runtime_settings.settings.tenants.len()],
            open_until: vec![Micros(0); runtime_settings.settings.classes.len()],
            tenant_overrides: Vec::new(),
            runtime_settings,
        }
    }

    pub fn runtime_settings(&self) -> &RuntimeSettings {
        &self.runtime_settings
    }

    /// Tenants set by administrators.
    pub fn tenant_overrides(&self) -> &[Tenant] {
        &self.tenant_overrides
    }

    /// How long a request of this class that is accepted now may be open, or its client may retry.
    fn max_open_time(&self, class: &Class) -> Micros {
        Micros(class.give_up.0.saturating_mul(MAX_WAIT_TIME_LIMITS))
    }

    /// Until when a request that was accepted by now may be open.
    fn open_until(&self, index: usize, now: Micros) -> Micros {
        let max_open_time = self.max_open_time(&self.runtime_settings.settings.classes[index]);
        (now + max_open_time + self.runtime_settings.settings.answer_slack)
            .max(self.open_until[index])
    }

    /// Until when a request of any class that was accepted by now may be open.
    fn any_class_open_until(&self, now: Micros) -> Micros {
        let indexes = 0..self.class_states.len();
        let until = indexes.map(|index| self.open_until(index, now));
        until.max().unwrap_or_default()
    }

    /// Applies new settings as read from a file. Returns `None` and changes nothing if their classes or tenants do not
    /// fit into the table.
    pub fn reconfigure(&mut self, now: Micros, new: &RuntimeSettings) -> Option<&RuntimeSettings> {
        let mut next = self.clone();
        next.expire(now);
        next.update_classes(now, &new.settings.classes)?;
        next.update_tenants(now, &new.settings.tenants)?;
        let settings = std::mem::take(&mut next.runtime_settings.settings);
        next.runtime_settings = new.clone();
        next.runtime_settings.settings.classes = settings.classes;
        next.runtime_settings.settings.tenants = settings.tenants;
        next.update_names();
        *self = next;
        Some(&self.runtime_settings)
    }

    fn update_classes(&mut self, now: Micros, new_classes: &[Class]) -> Option<()> {
        let mut used_indexes = Vec::new();
        for class in new_classes {
            let classes = &self.runtime_settings.settings.classes;
            let is_previous = |index: usize| {
                is_same_class(&classes[index], class) && !used_indexes.contains(&index)
            };
            let index = assign_index(&mut self.class_states, is_previous)?;
            let until = match self.class_states[index] {
                EntryState::Free => now,
                _ => self.open_until(index, now),
            };
            set_at(&mut self.open_until, index, until);
            self.class_states[index] = EntryState::InUse;
            used_indexes.push(index);
            set_at(
                &mut self.runtime_settings.settings.classes,
                index,
                class.clone(),
            );
        }
        for index in 0..self.class_states.len() {
            if self.class_states[index] == EntryState::InUse && !used_indexes.contains(&index) {
                let name_until =
                    now + self.max_open_time(&self.runtime_settings.settings.classes[index]);
                let index_until = self.open_until(index, name_until);
                let class = &mut self.runtime_settings.settings.classes[index];
                class.retired = true;
                let name = class.name.clone();
                self.expire_retired_names(&name);
                self.class_states[index] = EntryState::Retired(name_until, index_until);
            }
        }
        Some(())
    }

    /// A name refers to the class that used it last, so it is removed from classes that were retired earlier.
    fn expire_retired_names(&mut self, name: &str) {
        let classes = self.runtime_settings.settings.classes.iter();
        for (state, _) in self
            .class_states
            .iter_mut()
            .zip(classes)
            .filter(|(_, class)| class.name == name)
        {
            if let EntryState::Retired(name_until, _) = state {
                *name_until = Micros(0);
            }
        }
    }

    fn update_tenants(&mut self, now: Micros, new_tenants: &[Tenant]) -> Option<()> {
        let mut used_indexes = Vec::new();
        let overrides = self.tenant_overrides.clone();
        let not_overridden = new_tenants
            .iter()
            .filter(|tenant| !overrides.iter().any(|known| known.name == tenant.name));
        for tenant in not_overridden.chain(&overrides) {
            let tenants = &self.runtime_settings.settings.tenants;
            let is_previous = |index: usize| tenants[index].name == tenant.name;
            let index = assign_index(&mut self.tenant_states, is_previous)?;
            self.tenant_states[index] = EntryState::InUse;
            used_indexes.push(index);
            set_at(
                &mut self.runtime_settings.settings.tenants,
                index,
                tenant.clone(),
            );
        }
        let classes = self.runtime_settings.settings.classes.iter();
        let name_until = classes.map(|class| now + self.max_open_time(class)).max();
        let name_until = name_until.unwrap_or_default();
        for index in 0..self.tenant_states.len() {
            match self.tenant_states[index] {
                EntryState::InUse if !used_indexes.contains(&index) => {
                    self.tenant_states[index] =
                        EntryState::Retired(name_until, self.any_class_open_until(name_until));
                    // Its open requests continue without a guaranteed share.
                    let tenant = &mut self.runtime_settings.settings.tenants[index];
                    (tenant.share, tenant.requests_per_second) = (0.0, 0.0);
                }
                // Its last requests may be of classes whose time limits have become longer.
                EntryState::Retired(name_until, index_until) => {
                    let index_until = self.any_class_open_until(name_until).max(index_until);
                    self.tenant_states[index] = EntryState::Retired(name_until, index_until);
                }
                EntryState::InUse | EntryState::Free => {}
            }
        }
        Some(())
    }

    /// Sets a tenant on behalf of an administrator, or adds it; returns false if the table is full.
    pub fn set_tenant(&mut self, tenant: &Tenant) -> bool {
        let tenants = &self.runtime_settings.settings.tenants;
        let index = assign_index(&mut self.tenant_states, |index| {
            tenants[index].name == tenant.name
        });
        let Some(index) = index else { return false };
        self.tenant_states[index] = EntryState::InUse;
        set_at(
            &mut self.runtime_settings.settings.tenants,
            index,
            tenant.clone(),
        );
        self.tenant_overrides
            .retain(|known| known.name != tenant.name);
        self.tenant_overrides.push(tenant.clone());
        self.update_names();
        true
    }

    /// Removes names and indexes whose time has passed; returns whether the names that requests may use have changed.
    pub fn expire(&mut self, now: Micros) -> bool {
        for state in self.class_states.iter_mut().chain(&mut self.tenant_states) {
            match state {
                EntryState::Retired(_, index_until) if *index_until <= now => {
                    *state = EntryState::Free
                }
                EntryState::Retired(name_until, _) if *name_until <= now => *name_until = Micros(0),
                _ => {}
            }
        }
        let before = self.runtime_settings.names.clone();
        self.update_names();
        let names = &self.runtime_settings.names;
        (before.classes, before.tenants) != (names.classes.clone(), names.tenants.clone())
    }

    /// When the next retired name becomes invalid.
    pub fn next_expiry(&self) -> Option<Micros> {
        let states = self.class_states.iter().chain(&self.tenant_states);
        let expiries = states.filter_map(|state| match state {
            EntryState::Retired(name_until, _) if *name_until > Micros(0) => Some(*name_until),
            _ => None,
        });
        expiries.min()
    }

    /// Updates the names that requests may use. If two entries have the same name, the one in use keeps it.
    fn update_names(&mut self) {
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
            .map(|tenant| tenant.name.as_str())
            .collect();
        names.classes = visible_names(&classes, &self.class_states);
        names.tenants = visible_names(&tenants, &self.tenant_states);
        names.give_up = settings.classes.iter().map(|class| class.give_up).collect();
    }
}

/// The name of each entry, empty if requests can no longer use it.
fn visible_names(names: &[&str], states: &[EntryState]) -> Vec<String> {
    let is_in_use = |name: &str| {
        let mut entries = names.iter().zip(states);
        entries.any(|(known, state)| *known == name && *state == EntryState::InUse)
    };
    let visible_name = |(name, state): (&&str, &EntryState)| match state {
        EntryState::InUse => name.to_string(),
        EntryState::Retired(name_until, _) if *name_until > Micros(0) && !is_in_use(name) => {
            name.to_string()
        }
        _ => String::new(),
    };
    names.iter().zip(states).map(visible_name).collect()
}
