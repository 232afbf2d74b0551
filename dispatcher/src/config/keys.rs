//! The keys of the configuration files, as they are written there.

use super::environment::Environment;
use crate::change_log::Change;
use miniserde::Deserialize;
use miniserde::json::Value;
use sedgebeam_port::Target;
use sedgebeam_settings::GatewaySettings;

/// What the platform tells a dispatcher; the dispatcher's own file may hold the same keys. A platform that
/// knows more keys than these is not misread: what it means by them is not for this program.
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
    /// These keys, and those of another file for what is absent here.
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

    /// The same with what the environment's variables say.
    pub fn overridden_by(self, environment: &Environment) -> SharedKeys {
        SharedKeys {
            name: environment.name.clone().or(self.name),
            listen: environment.listen.clone().or(self.listen),
            control: environment.control.clone().or(self.control),
            ..self
        }
    }
}

/// The keys that count in the dispatcher's own file alone.
#[derive(Default, Deserialize)]
pub(super) struct OwnKeys {
    pub engines: Option<Vec<Target>>,
    pub flight: Option<ListenerKeys>,
    pub admin: Option<ListenerKeys>,
    pub workers: Option<Value>,
    pub pin_workers: Option<bool>,
    pub shards: Option<u64>,
}

/// `limits`
#[derive(Default, Deserialize)]
pub(super) struct LimitKeys {
    pub sockets: Option<u64>,
    pub memory_mb: Option<f64>,
}

/// `known`
#[derive(Default, Deserialize)]
pub(super) struct KnownKeys {
    pub seq: Option<u64>,
    pub results: Option<Vec<Change>>,
}

/// `flight` and `admin`
#[derive(Default, Deserialize)]
pub(super) struct ListenerKeys {
    pub listen: Option<String>,
}
