//! Default limits of the process, and sizes derived from its limits.

use super::keys::LimitKeys;

/// Defaults of the limits that the file may state, and their lower bounds.
const DEFAULT_MEMORY_MB: f64 = 256.0;
const MIN_MEMORY_MB: f64 = 16.0;
const DEFAULT_DESCRIPTORS: u64 = 1024;
const MIN_DESCRIPTORS: u64 = 64;
/// The share of the memory that messages of all sessions may fill at once, and the bounds of the resulting maximum length.
const MESSAGE_MEMORY_SHARE: f64 = 0.25;
const MIN_MESSAGE_BYTES: usize = 16 * 1024;
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// Maximum number of open requests for each megabyte of memory.
const OPEN_REQUESTS_PER_MB: f64 = 64.0;
/// New engines for which connections are kept free.
const SPARE_ENGINES: usize = 2;
/// Bounds of the number of connections to one engine.
const MIN_ENGINE_CONNECTIONS: usize = 2;
const MAX_ENGINE_CONNECTIONS: usize = 32;

/// The resource limits of the process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// File descriptors.
    pub max_descriptors: usize,
    pub memory_mb: f64,
}

impl Limits {
    pub fn from_keys(keys: LimitKeys) -> Limits {
        let max_descriptors = keys
            .sockets
            .unwrap_or(DEFAULT_DESCRIPTORS)
            .max(MIN_DESCRIPTORS);
        let memory_mb = keys.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        Limits {
            max_descriptors: max_descriptors as usize,
            memory_mb: memory_mb.max(MIN_MEMORY_MB),
        }
    }

    /// The longest message that a session accepts. Bounds the memory in use when all sessions send such a message at once.
    pub fn max_message_bytes(&self, sessions: usize) -> usize {
        let session_bytes = self.memory_mb * BYTES_PER_MB * MESSAGE_MEMORY_SHARE / sessions as f64;
        (session_bytes as usize).clamp(MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES)
    }

    /// The maximum number of open requests: that of the settings, or fewer if the memory does not suffice.
    pub fn max_open_requests(&self, settings_max: usize) -> usize {
        settings_max.min((self.memory_mb * OPEN_REQUESTS_PER_MB) as usize)
    }
}

/// The maximum number of connections to one engine: an even share of the descriptors for engines, with some kept for new
/// engines. The total of all engines is limited separately, to those descriptors.
pub(super) fn max_connections_per_engine(descriptors: usize, engine_count: usize) -> usize {
    let share = descriptors / (engine_count + SPARE_ENGINES);
    share.clamp(MIN_ENGINE_CONNECTIONS, MAX_ENGINE_CONNECTIONS)
}
