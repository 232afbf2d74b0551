//! The keys of the configuration files, under the names that they have there.

use super::environment::Environment;
use crate::change_log::Change;
use miniserde::Deserialize;
use miniserde::json::Value;
use sedgebeam_port::Target;
use sedgebeam_settings::GatewaySettings;

/// The keys of the platform's file; the dispatcher's own file may have them too. Further keys of the platform are ignored,
/// also those that have a meaning in the dispatcher's own file.
#[derive(Default, Deserialize)]
pub(super) struct SharedKeys {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub seed: Option<String>,
    pub limits: Option<LimitKeys>,
    pub control: Option<String>,
    pub changelog: Option<String>,
    pub known: Option<KnownKeys>,
    pub settings: Option<GatewaySettings>,
}

impl SharedKeys {
    /// These keys; absent ones are taken from `fallback`.
    pub fn or(self, fallback: SharedKeys) -> SharedKeys {
        SharedKeys {
            name: self.name.or(fallback.name),
            listen: self.listen.or(fallback.listen),
            seed: self.seed.or(fallback.seed),
            limits: self.limits.or(fallback.limits),
            control: self.control.or(fallback.control),
            changelog: self.changelog.or(fallback.changelog),
            known: self.known.or(fallback.known),
            settings: self.settings.or(fallback.settings),
        }
    }

    /// These keys, overridden by the environment variables.
    pub fn overridden_by(self, environment: &Environment) -> SharedKeys {
        SharedKeys {
            name: environment.name.clone().or(self.name),
            listen: environment.listen.clone().or(self.listen),
            control: environment.control.clone().or(self.control),
            ..self
        }
    }
}

/// The keys that are read from the dispatcher's own file only.
#[derive(Default, Deserialize)]
pub(super) struct OwnKeys {
    pub engines: Option<Vec<Target>>,
    pub flight: Option<ListenerKeys>,
    pub admin: Option<ListenerKeys>,
    pub workers: Option<Value>,
    pub pin_workers: Option<bool>,
    pub shards: Option<u64>,
}

/// The object `limits`.
#[derive(Default, Deserialize)]
pub(super) struct LimitKeys {
    pub sockets: Option<u64>,
    pub memory_mb: Option<f64>,
}

/// The object `known`: the initial engine list, as changes up to a sequence number.
#[derive(Default, Deserialize)]
pub(super) struct KnownKeys {
    pub seq: Option<u64>,
    pub results: Option<Vec<Change>>,
}

/// The objects `flight` and `admin`.
#[derive(Default, Deserialize)]
pub(super) struct ListenerKeys {
    pub listen: Option<String>,
}
