//! The folder that the processes of one dispatcher share, and the files of each in it.
//!
//! Each process locks a file of its own for as long as it lives, however it dies; what one has left behind, the next to
//! look removes. A file that can't be read or written for a moment says nothing about who lives.

use sedgebeam_handover::{HandoverMessage, Incarnation};
use sedgebeam_port::clock::to_micros;
use std::fs::{DirBuilder, File, OpenOptions, TryLockError};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

const LIVES: &str = "lives-";
const TELLS: &str = "tells-";
/// A file has this kind until it is whole.
const NEW: &str = "new-";
/// Time between two tries to join.
const JOIN_PAUSE: Duration = Duration::from_millis(50);

/// Where the processes of a dispatcher meet.
#[derive(Clone, Debug)]
pub struct SharedDirectoryPath {
    /// The folder that all of them have for temporary files.
    pub parent: PathBuf,
    /// The dispatcher's name.
    pub dispatcher_name: String,
}

/// The folder, and this process in it.
pub struct SharedDirectory {
    path: PathBuf,
    pub(super) own: Incarnation,
    pub(super) dispatcher_name: String,
    /// Locked until the process ends.
    _lock: File,
}

pub(super) fn unix_now() -> sedgebeam_core::Micros {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    to_micros(now.unwrap_or_default())
}

/// The processes that have files there, living or not.
fn known(path: &Path) -> io::Result<Vec<Incarnation>> {
    let mut known = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let name = entry?.file_name();
        let kinds = [LIVES, TELLS, NEW].into_iter();
        let mut lives = kinds.filter_map(|kind| name.to_str()?.strip_prefix(kind));
        known.extend(lives.next().and_then(Incarnation::parse));
    }
    Ok(known)
}

/// Tells this process apart from one that begins at the same moment.
fn draw() -> u32 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish() as u32
}

impl SharedDirectoryPath {
    /// Makes this process known there.
    pub fn join(&self) -> io::Result<SharedDirectory> {
        let path = self.parent.join("sedgebeam");
        DirBuilder::new()
            .recursive(true)
            .mode(0o700)
            .create(&path)?;
        let own = Incarnation::after(known(&path)?.into_iter(), draw());
        // Locked before it has its name: one without a lock is taken for that of a dead process.
        let hidden = path.join(format!("{NEW}{}", own.name()));
        let lock = OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(&hidden)?;
        let named = path.join(format!("{LIVES}{}", own.name()));
        let joined = lock.lock().and_then(|()| std::fs::rename(&hidden, named));
        if joined.is_err() {
            // It would stay for good, one more with each try.
            let _ = std::fs::remove_file(&hidden);
        }
        joined?;
        Ok(SharedDirectory {
            path,
            own,
            dispatcher_name: self.dispatcher_name.clone(),
            _lock: lock,
        })
    }

    /// Joins as soon as it can.
    pub async fn join_with_retries(&self) -> SharedDirectory {
        let mut tries = 0;
        loop {
            match self.join() {
                Ok(folder) => return folder,
                Err(error) if tries == 0 => {
                    let parent = self.parent.display();
                    log::warn!("{parent}: {error}; trying again");
                }
                Err(_) => {}
            }
            tries += 1;
            sleep(JOIN_PAUSE).await;
        }
    }
}

impl SharedDirectory {
    fn of(&self, kind: &str, life: Incarnation) -> PathBuf {
        self.path.join(format!("{kind}{}", life.name()))
    }

    /// The others that live.
    fn others(&self) -> io::Result<Vec<Incarnation>> {
        let mut others = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            let life = name.to_str().and_then(|name| name.strip_prefix(LIVES));
            let life = life
                .and_then(Incarnation::parse)
                .filter(|life| *life != self.own);
            if let Some(life) = life
                && self.lives(life)?
            {
                others.push(life);
            }
        }
        Ok(others)
    }

    /// Whether a process holds its lock; what is left of one that does not is removed.
    fn lives(&self, life: Incarnation) -> io::Result<bool> {
        let path = self.of(LIVES, life);
        let file = match File::open(&path) {
            Ok(file) => file,
            // Another that looked has removed it.
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
            Err(error) => return Err(error),
        };
        match file.try_lock() {
            Err(TryLockError::WouldBlock) => return Ok(true),
            Err(TryLockError::Error(error)) => return Err(error),
            Ok(()) => {}
        }
        for left in [path, self.of(TELLS, life), self.of(NEW, life)] {
            if let Err(error) = std::fs::remove_file(&left) {
                log::debug!("{}: {error}", left.display());
            }
        }
        Ok(false)
    }

    /// What another tells to this process.
    fn read(&self, life: Incarnation) -> Option<HandoverMessage> {
        let bytes = std::fs::read(self.of(TELLS, life)).ok()?;
        let share = HandoverMessage::decode(&bytes, &self.dispatcher_name);
        share
            .inspect_err(|why| log::debug!("what {} tells: {why:?}", life.name()))
            .ok()
            .filter(|share| share.is_addressed_to(self.own, unix_now()))
    }

    /// Tells the others; whole, as it has its name only once it is written.
    pub(super) fn publish(&self, share: &HandoverMessage) -> io::Result<()> {
        let hidden = self.of(NEW, self.own);
        std::fs::write(&hidden, share.encode())?;
        std::fs::rename(&hidden, self.of(TELLS, self.own))
    }

    /// The others that live, and what each tells.
    pub(super) fn read_peers(&self) -> io::Result<Vec<(Incarnation, Option<HandoverMessage>)>> {
        let others = self.others()?.into_iter();
        Ok(others.map(|life| (life, self.read(life))).collect())
    }
}

impl Drop for SharedDirectory {
    fn drop(&mut self) {
        for kind in [TELLS, LIVES] {
            // What stays is removed by the next to look.
            let _ = std::fs::remove_file(self.of(kind, self.own));
        }
    }
}
