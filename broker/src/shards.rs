//! A broker as one shard of several: what it shares with its siblings.

use sedgebeam_core::{Demand, EngineId, Micros, RequestId, Settings, ShardUsage};
use sedgebeam_leases::{CommitResult, Lease, LeaseId, LeaseTable, LeaseTerms, ShardId};
use sedgebeam_port::RequestRouter;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Maps of open requests: as many, so that shards seldom meet at one.
const STRIPES: usize = 64;
/// A decision that takes longer than this is not carried out: others may have been given its room.
const LEASE: Micros = Micros::from_millis(250);

/// An engine's number, and the shards that know it: without the latter, names of engines that have long
/// gone would be kept for ever.
#[derive(Default)]
struct Numbered {
    id: EngineId,
    known_at: BTreeSet<ShardId>,
}

type Stripe = Mutex<HashMap<RequestId, ShardId>>;

/// What the shards of one dispatcher share.
pub struct ShardLeases {
    ledger: Mutex<LeaseTable>,
    /// Wakes a shard that waits for what another has let go.
    wakes: Vec<Notify>,
    /// Which shard has a request: one name is open once, whichever shard is asked.
    open: Vec<Stripe>,
    /// The numbers of engines, the same at all shards.
    engines: Mutex<HashMap<String, Numbered>>,
    pub router: RequestRouter,
}

/// Nothing panics while these are held; what they hold would be whole all the same.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn terms(shards: usize, open: usize, settings: &Settings) -> LeaseTerms {
    LeaseTerms {
        shard_count: shards,
        lease_duration: LEASE,
        redistribution_interval: settings.tick,
        cold_window: settings.overload_window,
        max_credit: sedgebeam_core::MAX_CREDIT,
        max_open_requests: open,
    }
}

impl ShardLeases {
    pub fn new(
        shards: usize,
        open: usize,
        settings: &Settings,
        desk: RequestRouter,
    ) -> Arc<ShardLeases> {
        let terms = terms(shards, open, settings);
        Arc::new(ShardLeases {
            ledger: Mutex::new(LeaseTable::new(terms)),
            wakes: (0..shards).map(|_| Notify::new()).collect(),
            open: (0..STRIPES).map(|_| Mutex::default()).collect(),
            engines: Mutex::default(),
            router: desk,
        })
    }

    fn wake(&self, shards: &[ShardId]) {
        let wakes = shards.iter().filter_map(|shard| self.wakes.get(shard.0));
        wakes.for_each(Notify::notify_one);
    }

    /// A shard's broker has died, and with it the actors of its engines and their connections.
    pub fn shard_crashed(&self, shard: usize) {
        let waiters = lock(&self.ledger).remove_crashed_shard(ShardId(shard));
        for stripe in &self.open {
            lock(stripe).retain(|_, at| *at != ShardId(shard));
        }
        let mut engines = lock(&self.engines);
        engines.retain(|_, engine| {
            engine.known_at.remove(&ShardId(shard));
            !engine.known_at.is_empty()
        });
        drop(engines);
        self.wake(&waiters);
    }
}

/// One shard's hold on what is shared.
#[derive(Clone)]
pub struct Shard {
    shared: Arc<ShardLeases>,
    shard: ShardId,
}

impl Shard {
    pub fn new(shared: Arc<ShardLeases>, shard: usize) -> Shard {
        Shard {
            shared,
            shard: ShardId(shard),
        }
    }

    pub fn index(&self) -> usize {
        self.shard.0
    }

    /// New settings; each shard tells of them.
    pub fn reconfigure(&self, settings: &Settings, open: usize) {
        let terms = terms(self.shared.wakes.len(), open, settings);
        lock(&self.shared.ledger).reconfigure(terms);
    }

    /// What other processes of this dispatcher hold.
    pub fn set_peer_process_usage(&self, now: Micros, told: ShardUsage) {
        lock(&self.shared.ledger).set_peer_process_usage(now, told);
    }

    pub fn acquire(&self, now: Micros, wish: &Demand, open: usize) -> Lease {
        lock(&self.shared.ledger).acquire(self.shard, now, wish, open)
    }

    /// Whether what was decided may be carried out.
    pub fn settle(&self, ticket: LeaseId, now: Micros, told: ShardUsage) -> bool {
        let settled = lock(&self.shared.ledger).commit(self.shard, ticket, now, told);
        let CommitResult {
            is_valid,
            shards_to_wake,
        } = settled;
        self.shared.wake(&shards_to_wake);
        is_valid
    }

    /// Becomes ready when another shard has let go what this one may be waiting for.
    pub async fn capacity_released(&self) {
        self.shared.wakes[self.shard.0].notified().await;
    }

    pub fn heartbeat(&self) {
        self.shared.router.heartbeat(self.shard.0);
    }

    fn stripe(&self, id: RequestId) -> &Stripe {
        &self.shared.open[(id.0 % STRIPES as u64) as usize]
    }

    /// Takes the name of a request; false where it is open, here or elsewhere.
    pub fn claim_request(&self, id: RequestId) -> bool {
        let mut open = lock(self.stripe(id));
        if open.contains_key(&id) {
            return false;
        }
        open.insert(id, self.shard);
        true
    }

    pub fn release_request(&self, id: RequestId) {
        lock(self.stripe(id)).remove(&id);
    }

    /// The number of an engine: that which the first shard gave it that heard of it.
    pub fn engine_id(&self, uid: &str, first: impl FnOnce() -> u64) -> EngineId {
        let mut engines = lock(&self.shared.engines);
        if let Some(engine) = engines.get_mut(uid) {
            engine.known_at.insert(self.shard);
            return engine.id;
        }
        let mut id = EngineId(first());
        while engines.values().any(|known| known.id == id) {
            id = EngineId(id.0.wrapping_add(1));
        }
        let known_at = BTreeSet::from([self.shard]);
        engines.insert(uid.to_string(), Numbered { id, known_at });
        id
    }

    /// This shard knows the engine no longer.
    pub fn forget_engine(&self, uid: &str) {
        let mut engines = lock(&self.shared.engines);
        if let Some(engine) = engines.get_mut(uid) {
            engine.known_at.remove(&self.shard);
            if engine.known_at.is_empty() {
                engines.remove(uid);
            }
        }
    }
}
