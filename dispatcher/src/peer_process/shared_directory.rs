//! The directory that the processes of one dispatcher share, and their files in it.
//!
//! Each process holds a lock on its own file, which the system releases however the process ends. The next process that
//! reads the directory removes the files of a dead one. An I/O error doesn't tell whether a process is alive.

use sedgebeam_handover::{CancelMessage, HandoverMessage, Incarnation};
use sedgebeam_port::clock::to_micros;
use std::fs::{DirBuilder, File, OpenOptions, TryLockError};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// Prefix of the lock files. All prefixes stay as they are: during an upgrade, processes of two versions read these files.
const LOCK_PREFIX: &str = "lives-";
/// Prefix of the message files.
const MESSAGE_PREFIX: &str = "tells-";
/// Prefix of the files with cancel requests.
const CANCELS_PREFIX: &str = "cancels-";
/// Prefix of files that are not complete yet.
const INCOMPLETE_PREFIX: &str = "new-";
/// The same for cancel requests, which are written independently of the messages.
const INCOMPLETE_CANCELS_PREFIX: &str = "new-cancels-";
/// Time between two attempts to join.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Where the shared directory of a dispatcher is.
#[derive(Clone, Debug)]
pub struct SharedDirectoryPath {
    /// The directory for temporary files, the same for all processes of the dispatcher.
    pub parent: PathBuf,
    /// The dispatcher's name; messages of dispatchers with other names are ignored.
    pub dispatcher_name: String,
}

/// The shared directory, joined by this process.
pub struct SharedDirectory {
    path: PathBuf,
    pub(super) own_incarnation: Incarnation,
    pub(super) dispatcher_name: String,
    /// Locked until the process ends.
    _lock: File,
}

pub(super) fn unix_now() -> sedgebeam_core::Micros {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    to_micros(now.unwrap_or_default())
}

/// The processes with files in the directory, alive or dead.
fn known_incarnations(path: &Path) -> io::Result<Vec<Incarnation>> {
    let mut incarnations = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let name = entry?.file_name();
        let prefixes = [LOCK_PREFIX, MESSAGE_PREFIX, INCOMPLETE_PREFIX].into_iter();
        let mut incarnation_names =
            prefixes.filter_map(|prefix| name.to_str()?.strip_prefix(prefix));
        incarnations.extend(incarnation_names.next().and_then(Incarnation::parse));
    }
    Ok(incarnations)
}

/// A random number that distinguishes this process from one that starts at the same moment.
fn random_nonce() -> u32 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish() as u32
}

impl SharedDirectoryPath {
    /// Creates the directory if needed, and this process's lock file in it.
    pub fn join(&self) -> io::Result<SharedDirectory> {
        let path = self.parent.join("sedgebeam");
        DirBuilder::new()
            .recursive(true)
            .mode(0o700)
            .create(&path)?;
        let own_incarnation =
            Incarnation::after(known_incarnations(&path)?.into_iter(), random_nonce());
        // The file is locked before it gets its name: a lock file without a lock counts as that of a dead process.
        let incomplete_path = path.join(format!("{INCOMPLETE_PREFIX}{}", own_incarnation.name()));
        let lock = OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(&incomplete_path)?;
        let lock_path = path.join(format!("{LOCK_PREFIX}{}", own_incarnation.name()));
        let joined = lock
            .lock()
            .and_then(|()| std::fs::rename(&incomplete_path, lock_path));
        if joined.is_err() {
            // Otherwise each failed attempt would leave one more file.
            let _ = std::fs::remove_file(&incomplete_path);
        }
        joined?;
        Ok(SharedDirectory {
            path,
            own_incarnation,
            dispatcher_name: self.dispatcher_name.clone(),
            _lock: lock,
        })
    }

    /// Joins like `join`, and retries until that succeeds.
    pub async fn join_with_retries(&self) -> SharedDirectory {
        let mut failed_attempts = 0;
        loop {
            match self.join() {
                Ok(directory) => return directory,
                Err(error) if failed_attempts == 0 => {
                    let parent = self.parent.display();
                    log::warn!("can't join the processes in {parent}: {error}; retrying");
                }
                Err(_) => {}
            }
            failed_attempts += 1;
            sleep(JOIN_RETRY_DELAY).await;
        }
    }
}

impl SharedDirectory {
    fn file_path(&self, prefix: &str, incarnation: Incarnation) -> PathBuf {
        self.path.join(format!("{prefix}{}", incarnation.name()))
    }

    /// The live peers.
    fn live_peers(&self) -> io::Result<Vec<Incarnation>> {
        let mut peers = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            let incarnation = name
                .to_str()
                .and_then(|name| name.strip_prefix(LOCK_PREFIX));
            let incarnation = incarnation
                .and_then(Incarnation::parse)
                .filter(|incarnation| *incarnation != self.own_incarnation);
            if let Some(incarnation) = incarnation
                && self.is_alive(incarnation)?
            {
                peers.push(incarnation);
            }
        }
        Ok(peers)
    }

    /// Whether the process holds its lock; removes its files if it doesn't.
    fn is_alive(&self, incarnation: Incarnation) -> io::Result<bool> {
        let path = self.file_path(LOCK_PREFIX, incarnation);
        let file = match File::open(&path) {
            Ok(file) => file,
            // Another process has removed it.
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
            Err(error) => return Err(error),
        };
        match file.try_lock() {
            Err(TryLockError::WouldBlock) => return Ok(true),
            Err(TryLockError::Error(error)) => return Err(error),
            Ok(()) => {}
        }
        let leftover_prefixes = [
            MESSAGE_PREFIX,
            CANCELS_PREFIX,
            INCOMPLETE_PREFIX,
            INCOMPLETE_CANCELS_PREFIX,
        ];
        let leftovers = leftover_prefixes.map(|prefix| self.file_path(prefix, incarnation));
        for leftover in std::iter::once(path).chain(leftovers) {
            if let Err(error) = std::fs::remove_file(&leftover) {
                log::debug!("can't remove {}: {error}", leftover.display());
            }
        }
        Ok(false)
    }

    /// Reads the message of a peer if it is addressed to this process.
    fn read_message(&self, incarnation: Incarnation) -> Option<HandoverMessage> {
        let bytes = std::fs::read(self.file_path(MESSAGE_PREFIX, incarnation)).ok()?;
        let message = HandoverMessage::decode(&bytes, &self.dispatcher_name);
        message
            .inspect_err(|error| {
                log::debug!(
                    "invalid message of process {}: {error:?}",
                    incarnation.name()
                )
            })
            .ok()
            .filter(|message| message.is_addressed_to(self.own_incarnation, unix_now()))
    }

    /// Writes the message for the peers.
    pub(super) fn publish(&self, message: &HandoverMessage) -> io::Result<()> {
        self.write_file(INCOMPLETE_PREFIX, MESSAGE_PREFIX, &message.encode())
    }

    /// Writes the cancel requests for the peers.
    pub(super) fn publish_cancels(&self, message: &CancelMessage) -> io::Result<()> {
        self.write_file(INCOMPLETE_CANCELS_PREFIX, CANCELS_PREFIX, &message.encode())
    }

    /// Writes a file of this process. It gets its name once it is complete, so no peer reads a partial one.
    fn write_file(&self, incomplete_prefix: &str, prefix: &str, bytes: &[u8]) -> io::Result<()> {
        let incomplete_path = self.file_path(incomplete_prefix, self.own_incarnation);
        std::fs::write(&incomplete_path, bytes)?;
        std::fs::rename(
            &incomplete_path,
            self.file_path(prefix, self.own_incarnation),
        )
    }

    /// Reads the cancel requests of a peer; `None` if it has published none.
    pub(super) fn read_cancels(&self, peer: Incarnation) -> Option<CancelMessage> {
        let bytes = std::fs::read(self.file_path(CANCELS_PREFIX, peer)).ok()?;
        let message = CancelMessage::decode(&bytes, &self.dispatcher_name);
        message
            .inspect_err(|error| log::debug!("invalid cancels of {}: {error:?}", peer.name()))
            .ok()
    }

    /// The live peers, each with its message if there is a valid one.
    pub(super) fn read_peers(&self) -> io::Result<Vec<(Incarnation, Option<HandoverMessage>)>> {
        let peers = self.live_peers()?.into_iter();
        Ok(peers
            .map(|incarnation| (incarnation, self.read_message(incarnation)))
            .collect())
    }
}

impl Drop for SharedDirectory {
    fn drop(&mut self) {
        for prefix in [CANCELS_PREFIX, MESSAGE_PREFIX, LOCK_PREFIX] {
            // If this fails, the next process that reads the directory removes the file.
            let _ = std::fs::remove_file(self.file_path(prefix, self.own_incarnation));
        }
    }
}
