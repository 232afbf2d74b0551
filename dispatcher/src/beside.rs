//! The files through which two processes of one dispatcher find each other and tell what they hold.
//!
//! Each locks a file of its own for as long as it lives, however it dies; what one has left behind, the next
//! to look removes. They look ten times a second, and write only while there is another.

use sedgebeam_core::{Held, Tenant};
use sedgebeam_fronts::places::Places;
use sedgebeam_handover::{Life, Pair, Phase, Share, Stated};
use sedgebeam_operation::Orders;
use sedgebeam_port::clock::span;
use sedgebeam_port::{Asked, Desk};
use std::fs::{DirBuilder, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// Time between two looks for others, drawn from so far below to so far above.
const LOOK_EVERY: Duration = Duration::from_millis(100);
const SPREAD: f64 = 0.2;
/// A process that starts waits so long for a share of the one that serves: three looks, and one to spare.
const SHARE_WITHIN: Duration = Duration::from_millis(400);
const SHARE_LOOK: Duration = Duration::from_millis(20);

const LIVES: &str = "lives-";
const TELLS: &str = "tells-";

/// The folder that processes of one dispatcher share, and this process in it.
pub struct Folder {
    path: PathBuf,
    own: Life,
    name: String,
    /// Locked until the process ends.
    _lock: File,
}

fn unix_now() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    span(now.unwrap_or_default()).0
}

impl Folder {
    /// Makes this process known there; `name` is the dispatcher's.
    pub fn join(parent: &Path, name: &str) -> io::Result<Folder> {
        let path = parent.join("sedgebeam");
        DirBuilder::new()
            .recursive(true)
            .mode(0o700)
            .create(&path)?;
        let own = Life {
            began: unix_now(),
            process: std::process::id(),
        };
        // Locked before it has its name: one without a lock is taken for that of a dead process.
        let hidden = path.join(format!("new-{}", own.name()));
        let lock = OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(&hidden)?;
        lock.lock()?;
        std::fs::rename(&hidden, path.join(format!("{LIVES}{}", own.name())))?;
        Ok(Folder {
            path,
            own,
            name: name.to_string(),
            _lock: lock,
        })
    }

    fn of(&self, kind: &str, life: Life) -> PathBuf {
        self.path.join(format!("{kind}{}", life.name()))
    }

    /// The others that live.
    fn others(&self) -> io::Result<Vec<Life>> {
        let mut others = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            let life = name.to_str().and_then(|name| name.strip_prefix(LIVES));
            let life = life.and_then(Life::named).filter(|life| *life != self.own);
            if let Some(life) = life
                && self.lives(life)
            {
                others.push(life);
            }
        }
        Ok(others)
    }

    /// Whether a process holds its lock; what is left of one that does not is removed.
    fn lives(&self, life: Life) -> bool {
        let path = self.of(LIVES, life);
        // It may have been removed by another that looked.
        let Ok(file) = File::open(&path) else {
            return false;
        };
        if let Err(TryLockError::WouldBlock) = file.try_lock() {
            return true;
        }
        for left in [path, self.of(TELLS, life)] {
            if let Err(error) = std::fs::remove_file(&left) {
                log::debug!("{}: {error}", left.display());
            }
        }
        false
    }

    /// What another tells.
    fn read(&self, life: Life) -> Option<Share> {
        let bytes = std::fs::read(self.of(TELLS, life)).ok()?;
        let share = Share::decode(&bytes, &self.name, unix_now());
        share
            .inspect_err(|why| log::debug!("what {} tells: {why:?}", life.name()))
            .ok()
    }

    /// Tells the others; whole, as it has its name only once it is written.
    fn write(&self, share: &Share) -> io::Result<()> {
        let hidden = self.of("new-", self.own);
        std::fs::write(&hidden, share.encode())?;
        std::fs::rename(&hidden, self.of(TELLS, self.own))
    }

    /// What the process that serves tells, where there is one.
    pub async fn handed(&self) -> Option<Share> {
        let until = Instant::now() + SHARE_WITHIN;
        let mut pair = Pair::new(self.own);
        loop {
            let seen = self.see().unwrap_or_default();
            let lives = seen
                .iter()
                .map(|(life, share)| (*life, phase(share.as_ref())));
            pair.see(Phase::Starting, lives.collect());
            if pair.parts() == 1 || Instant::now() >= until {
                return None;
            }
            let heir = pair.heir_of();
            let told = seen.into_iter().find(|(life, _)| Some(*life) == heir);
            if let Some((_, Some(share))) = told {
                return Some(share);
            }
            sleep(SHARE_LOOK).await;
        }
    }

    /// The others that live, and what each tells.
    fn see(&self) -> io::Result<Vec<(Life, Option<Share>)>> {
        let others = self.others()?.into_iter();
        Ok(others.map(|life| (life, self.read(life))).collect())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        for kind in [TELLS, LIVES] {
            // What stays is removed by the next to look.
            let _ = std::fs::remove_file(self.of(kind, self.own));
        }
    }
}

fn phase(share: Option<&Share>) -> Option<Phase> {
    share.map(|share| share.stated.phase)
}

/// What others leave of the limits of one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Others {
    /// Among how many processes limits are divided.
    pub parts: usize,
    /// Sessions that the others have.
    pub sessions: usize,
}

/// What this process tells of itself.
pub struct Own {
    pub desk: Desk,
    pub places: Places,
    pub orders: watch::Receiver<Orders>,
    /// The change log's number.
    pub reached: watch::Receiver<crate::roster::Reached>,
    /// The platform's file that is in use.
    pub file: watch::Receiver<Arc<str>>,
}

impl Own {
    fn phase(&self) -> Phase {
        let orders = *self.orders.borrow();
        match orders {
            Orders { ends: true, .. } => Phase::Ending,
            Orders {
                prepared: false, ..
            } => Phase::Starting,
            _ => Phase::Serving,
        }
    }

    async fn share(&self, name: &str) -> Share {
        // The number first: a list that is newer than its number only hears of some change twice.
        let seq = self.reached.borrow().seq;
        let file = self.file.borrow().to_string();
        let (targets, drained, tenants) = self.desk.standing().await;
        Share {
            stated: Stated {
                name: name.to_string(),
                at: unix_now(),
                phase: self.phase(),
                seq,
                targets,
                sessions: self.places.taken(),
                drained,
                tenants,
                file,
            },
            held: self.desk.held_over().await,
        }
    }
}

/// Looks for others as long as the process runs, and tells what they leave.
pub async fn keep(folder: Folder, own: Own, left: watch::Sender<Others>) {
    let folder = Arc::new(folder);
    let mut pair = Pair::new(folder.own);
    let mut seed = folder.own.began;
    loop {
        let (looking, before) = (folder.clone(), pair.parts());
        let seen = tokio::task::spawn_blocking(move || looking.see()).await;
        let seen = match seen.map_err(io::Error::other).and_then(|seen| seen) {
            Ok(seen) => seen,
            Err(error) => {
                log::warn!("looking for other processes: {error}");
                Vec::new()
            }
        };
        let lives = seen
            .iter()
            .map(|(life, share)| (*life, phase(share.as_ref())));
        pair.see(own.phase(), lives.collect());
        if pair.parts() != before {
            log::info!("{} processes serve as one dispatcher", pair.parts());
        }
        let sessions = seen.iter().filter_map(|(_, share)| share.as_ref());
        let others = Others {
            parts: pair.parts(),
            sessions: sessions.map(|share| share.stated.sessions).sum(),
        };
        left.send_if_modified(|known| std::mem::replace(known, others) != others);
        // The brokers first: what is told next may have the other begin with what this one must leave.
        if pair.parts() > 1 || before > 1 {
            let others = seen.into_iter().filter_map(|(_, share)| share);
            let held = others.fold(Held::default(), |sum, share| sum.and(share.held));
            own.desk.beside(held, pair.may_warm()).await;
        }
        if pair.parts() > 1 {
            let share = own.share(&folder.name).await;
            let writing = folder.clone();
            let written = tokio::task::spawn_blocking(move || writing.write(&share)).await;
            if let Err(error) = written.map_err(io::Error::other).and_then(|done| done) {
                log::warn!("telling the other process: {error}");
            }
        }
        seed = sedgebeam_core::mix(seed);
        let draw = 1.0 + SPREAD * (2.0 * (seed as f64 / u64::MAX as f64) - 1.0);
        sleep_until(Instant::now() + LOOK_EVERY.mul_f64(draw)).await;
    }
}

/// Has brokers begin with what the administration had set before.
pub async fn set_again(desk: &Desk, drained: Vec<String>, tenants: Vec<Tenant>) {
    let tenants = tenants.into_iter();
    let tenants = tenants.map(|t| Asked::SetTenant(t.name, t.share, t.per_second));
    let drains = drained.into_iter().map(|uid| Asked::Drain(uid, true));
    for asked in drains.chain(tenants) {
        if let Err(denied) = desk.ask(asked).await {
            log::info!("what was set before is not set again: {denied:?}");
        }
    }
}
