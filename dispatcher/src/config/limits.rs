//! Sizes that follow from the limits stated, and the limits where none are stated.

use super::keys::LimitKeys;

/// Limits of a process whose file states none, and the least that a file can state.
const DEFAULT_MEMORY_MB: f64 = 256.0;
const MIN_MEMORY_MB: f64 = 16.0;
const DEFAULT_SOCKETS: u64 = 1024;
const MIN_SOCKETS: u64 = 64;
/// The share of the memory that messages may fill which come to all sessions at once, and its bounds for one.
const MESSAGES_SHARE: f64 = 0.25;
const MIN_MESSAGE: usize = 16 * 1024;
const MAX_MESSAGE: usize = 256 * 1024;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// Requests that may be open at once for each megabyte.
const OPEN_REQUESTS_PER_MB: f64 = 64.0;
/// Engines that may come on top of those that are known.
const SPARE_ENGINES: usize = 2;
/// Bounds of the connections to one engine.
const MIN_ENGINE_CONNECTIONS: usize = 2;
const MAX_ENGINE_CONNECTIONS: usize = 32;

/// What the process may hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Descriptors.
    pub sockets: usize,
    pub memory_mb: f64,
}

impl Limits {
    pub fn of(keys: LimitKeys) -> Limits {
        let sockets = keys.sockets.unwrap_or(DEFAULT_SOCKETS).max(MIN_SOCKETS);
        let memory_mb = keys.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        Limits {
            sockets: sockets as usize,
            memory_mb: memory_mb.max(MIN_MEMORY_MB),
        }
    }

    /// The longest message: guards against sessions that all send the longest one at once.
    pub fn longest_message(&self, sessions: usize) -> usize {
        let share = self.memory_mb * BYTES_PER_MB * MESSAGES_SHARE / sessions as f64;
        (share as usize).clamp(MIN_MESSAGE, MAX_MESSAGE)
    }

    /// Requests that may be open at once, where the settings allow so many.
    pub fn max_open(&self, allowed: usize) -> usize {
        allowed.min((self.memory_mb * OPEN_REQUESTS_PER_MB) as usize)
    }
}

/// Connections to one engine: its share of the descriptors that engines may hold, with room for new engines. All of them
/// together are bounded by those.
pub(super) fn engine_connections(descriptors: usize, engines: usize) -> usize {
    let share = descriptors / (engines + SPARE_ENGINES);
    share.clamp(MIN_ENGINE_CONNECTIONS, MAX_ENGINE_CONNECTIONS)
}
