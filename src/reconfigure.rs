//! Applies new settings to a running gateway. Classes and tenants keep their indices; statistics follow the
//! name of the class. Contains no decisions.

use crate::interface::{Class, Settings};
use crate::policy::Gateway;
use crate::sizing::tenant_shares;
use crate::state::{ClassStats, Credit};
use sedgebeam_fleet::slow_start::AdmissionTokens;

impl Settings {
    /// `max_attempts`, where zero means no limit.
    pub(crate) fn attempt_limit(&self) -> usize {
        match self.max_attempts {
            0 => usize::MAX,
            max => max as usize,
        }
    }

    /// Indices of the classes that are not retired.
    pub(crate) fn active_classes(&self) -> impl Iterator<Item = usize> + Clone {
        let classes = self.classes.iter().enumerate();
        let active = classes.filter(|(_, class)| !class.retired);
        active.map(|(index, _)| index)
    }
}

/// Index of the class of this name in the earlier settings: the same index if its name is the same, else that
/// of the last class of this name.
fn earlier_index(classes: &[Class], index: usize, name: &str) -> Option<usize> {
    let is_named = |class: &Class| class.name == name;
    let same_index = classes.get(index).filter(|class| is_named(class));
    same_index
        .map(|_| index)
        .or_else(|| classes.iter().rposition(is_named))
}

impl Credit {
    /// The same credits with other weights; additional parties start with zero credit.
    fn with_weights(&self, weights: Vec<f64>) -> Credit {
        let mut credit = self.credit.clone();
        credit.resize(weights.len(), 0.0);
        Credit { weights, credit }
    }
}

impl Gateway {
    /// Applies new settings. Classes and tenants must keep their earlier indices. A request that was accepted
    /// before keeps the index of its class, and its limit of attempts is the smallest one since its arrival.
    pub fn reconfigure(&mut self, settings: Settings) {
        let old_settings = std::mem::replace(&mut self.settings, settings);
        let (settings, classes) = (&self.settings, self.settings.classes.iter());
        let class_stats = |(index, class): (usize, &Class)| {
            let old_index = earlier_index(&old_settings.classes, index, &class.name);
            old_index.map_or_else(ClassStats::default, |index| self.stats[index].clone())
        };
        self.stats = classes.clone().enumerate().map(class_stats).collect();
        let worths = classes.map(|class| class.worth.max(0.0)).collect();
        self.class_credit = self.class_credit.with_weights(worths);
        let (old_unknown_tenant, unknown_tenant) =
            (old_settings.tenants.len(), settings.tenants.len());
        self.tenant_credit
            .resize(settings.classes.len(), Credit::default());
        for credit in &mut self.tenant_credit {
            // The entry for requests without a known tenant stays the last one.
            let unknown_credit = credit.credit.pop().unwrap_or_default();
            credit.credit.resize(unknown_tenant, 0.0);
            credit.credit.push(unknown_credit);
            *credit = credit.with_weights(tenant_shares(&settings.tenants));
        }
        self.queues
            .resize(settings.classes.len(), unknown_tenant + 1);
        let max_attempts = settings.attempt_limit();
        for request in self.requests.values_mut() {
            request.max_attempts = request.max_attempts.min(max_attempts);
            if request.tenant == old_unknown_tenant {
                request.tenant = unknown_tenant;
            }
        }
        // If there are fewer gateways, this gateway's share grows from now on, but not for tokens granted
        // before. A change of its index or of the slow start resets its tokens, and with them its phase
        // between two tokens, as at a start: the earlier phases of the gateways are close together.
        let (gateway_index, slow_start_changed) = (
            settings.gateway_index,
            old_settings.slow_start() != settings.slow_start(),
        );
        for engine in self.engines.values_mut() {
            engine.admission_tokens.reset_baseline();
            if slow_start_changed || old_settings.gateway_index != gateway_index {
                engine.admission_tokens = AdmissionTokens::default();
                self.started_at = Some(self.now);
            }
        }
        self.scan.is_outdated = true;
        self.has_small_share = settings.has_small_share();
        self.concurrency_limit
            .reconfigure(settings.concurrency_limit());
        self.ejection_policy = settings.ejection_policy();
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
    fn statistics_move_with_the_class_name_and_credit_stays_at_its_index() {
        let mut gateway = Gateway::new(settings(&["a", "b"], &["x"]), 1);
        for (index, value) in [(0, 5.0), (1, 7.0)] {
            gateway.stats[index].accepted_requests = value;
            gateway.class_credit.credit[index] = value;
            gateway.tenant_credit[index].credit = vec![1.0, -2.0];
        }
        gateway.reconfigure(settings(&["c", "b", "a"], &["x", "y"]));
        let accepted: Vec<f64> = gateway
            .stats
            .iter()
            .map(|stats| stats.accepted_requests)
            .collect();
        assert_eq!(accepted, [0.0, 7.0, 5.0]);
        assert_eq!(gateway.class_credit.credit, [5.0, 7.0, 0.0]);
        let credit = |index: usize| gateway.tenant_credit[index].credit.clone();
        // The entry for requests without a known tenant is still the last one.
        assert_eq!(
            (credit(1), credit(2)),
            (vec![1.0, 0.0, -2.0], vec![0.0, 0.0, 0.0])
        );
        assert_eq!(gateway.tenant_credit[2].weights, [0.5, 0.5, 1.0]);
    }
}
