//! What is wrong with a configuration.

/// A fault, by its key.
#[derive(Debug, PartialEq, Eq)]
pub struct Wrong {
    pub key: String,
    pub why: String,
}

impl std::fmt::Display for Wrong {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.why)
    }
}

pub fn wrong(key: &str, why: impl Into<String>) -> Wrong {
    Wrong {
        key: key.to_string(),
        why: why.into(),
    }
}
