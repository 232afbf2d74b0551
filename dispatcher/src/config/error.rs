//! Configuration errors.

/// An invalid or missing key.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The path of the key, such as `settings.tick`, or the environment variable or option at fault.
    pub key: String,
    pub reason: String,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.reason)
    }
}

pub fn config_error(key: &str, reason: impl Into<String>) -> ConfigError {
    ConfigError {
        key: key.to_string(),
        reason: reason.into(),
    }
}
