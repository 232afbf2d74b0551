//! New settings while the gateway runs. Classes and tenants keep their places in them; what was learned goes
//! by name. Nothing is decided here.

use crate::interface::{Class, Settings};
use crate::policy::Gateway;
use crate::sizing::tenant_shares;
use crate::state::{ClassStats, Credit};
use sedgebeam_fleet::cold::Rights;

impl Settings {
    /// Attempts that a request may have.
    pub(crate) fn attempts_allowed(&self) -> usize {
        match self.max_attempts {
            0 => usize::MAX,
            most => most as usize,
        }
    }

    /// Places of the classes that are in use.
    pub(crate) fn active_classes(&self) -> impl Iterator<Item = usize> + Clone {
        let classes = self.classes.iter().enumerate();
        let used = classes.filter(|(_, class)| !class.retired);
        used.map(|(place, _)| place)
    }
}

/// The place at which a class of this name was: the same one, or else the last.
fn earlier_index(classes: &[Class], place: usize, name: &str) -> Option<usize> {
    let named = |class: &Class| class.name == name;
    let here = classes.get(place).filter(|class| named(class));
    here.map(|_| place)
        .or_else(|| classes.iter().rposition(named))
}

impl Credit {
    /// The same parties and more of them, under other weights.
    fn with_weights(&self, weights: Vec<f64>) -> Credit {
        let mut credit = self.credit.clone();
        credit.resize(weights.len(), 0.0);
        Credit { weights, credit }
    }
}

impl Gateway {
    /// Takes new settings. Classes and tenants that were there before have the places that they had; a request
    /// under way keeps its class's place, and has the fewest attempts that were allowed since it came.
    pub fn reconfigure(&mut self, settings: Settings) {
        let old = std::mem::replace(&mut self.settings, settings);
        let (settings, classes) = (&self.settings, self.settings.classes.iter());
        let usual = |(place, class): (usize, &Class)| {
            let earlier = earlier_index(&old.classes, place, &class.name);
            earlier.map_or_else(ClassStats::default, |place| self.stats[place].clone())
        };
        self.stats = classes.clone().enumerate().map(usual).collect();
        let worths = classes.map(|class| class.worth.max(0.0)).collect();
        self.class_credit = self.class_credit.with_weights(worths);
        let (before, unknown) = (old.tenants.len(), settings.tenants.len());
        self.tenant_credit
            .resize(settings.classes.len(), Credit::default());
        for credit in &mut self.tenant_credit {
            // The last place, that of no known tenant, stays the last.
            let last = credit.credit.pop().unwrap_or_default();
            credit.credit.resize(unknown, 0.0);
            credit.credit.push(last);
            *credit = credit.with_weights(tenant_shares(&settings.tenants));
        }
        self.queues.resize(settings.classes.len(), unknown + 1);
        let allowed = settings.attempts_allowed();
        for request in self.requests.values_mut() {
            request.attempts_allowed = request.attempts_allowed.min(allowed);
            if request.tenant == before {
                request.tenant = unknown;
            }
        }
        // A gateway that is told of fewer others has a larger part from now on, not of what was granted before; and its
        // place between two rights is another, as at a start: the places of before lie close together.
        let (me, other) = (
            settings.gateway_index,
            old.slow_start() != settings.slow_start(),
        );
        for engine in self.engines.values_mut() {
            engine.admission_tokens.begin_anew();
            if other || old.gateway_index != me {
                engine.admission_tokens = Rights::default();
                self.started_at = Some(self.now);
            }
        }
        self.scan.is_outdated = true;
        self.has_small_share = settings.has_small_share();
        self.concurrency_limit.retune(settings.concurrency_limit());
        self.ejection = settings.ejection_policy();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::Tenant;

    fn settings(classes: &[&str], tenants: &[&str]) -> Settings {
        let class = |name: &&str| Class {
            name: name.to_string(),
            worth: 1.0,
            ..Class::default()
        };
        let tenant = |name: &&str| Tenant {
            name: name.to_string(),
            share: 0.5,
            ..Tenant::default()
        };
        Settings {
            classes: classes.iter().map(class).collect(),
            tenants: tenants.iter().map(tenant).collect(),
            ..Settings::default()
        }
    }

    #[test]
    fn what_was_learned_goes_by_name_and_credit_by_place() {
        let mut gateway = Gateway::new(settings(&["a", "b"], &["x"]), 1);
        for (place, taken) in [(0, 5.0), (1, 7.0)] {
            gateway.stats[place].accepted_requests = taken;
            gateway.class_credit.credit[place] = taken;
            gateway.tenant_credit[place].credit = vec![1.0, -2.0];
        }
        gateway.reconfigure(settings(&["c", "b", "a"], &["x", "y"]));
        let taken: Vec<f64> = gateway
            .stats
            .iter()
            .map(|usual| usual.accepted_requests)
            .collect();
        assert_eq!(taken, [0.0, 7.0, 5.0]);
        assert_eq!(gateway.class_credit.credit, [5.0, 7.0, 0.0]);
        let credit = |place: usize| gateway.tenant_credit[place].credit.clone();
        // Whoever names no tenant stands last, as before.
        assert_eq!(
            (credit(1), credit(2)),
            (vec![1.0, 0.0, -2.0], vec![0.0, 0.0, 0.0])
        );
        assert_eq!(gateway.tenant_credit[2].weights, [0.5, 0.5, 1.0]);
    }
}
