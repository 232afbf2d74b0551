//! State shared by the brokers of several shards: the lease table, claims of request ids, and engine ids.

use sedgebeam_core::{Demand, EngineId, Micros, RequestId, Settings, ShardUsage};
use sedgebeam_leases::{CommitResult, Lease, LeaseId, LeaseTable, LeaseTerms, ShardId};
use sedgebeam_port::RequestRouter;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Number of maps into which the open requests are split, to keep lock contention between shards low.
const STRIPE_COUNT: usize = 64;
/// Sends of a decision that takes longer than this are dropped: the capacity may already be leased to another shard.
const LEASE_DURATION: Micros = Micros::from_millis(250);

/// An engine's id and the shards that know the engine. The entry is removed with the last of them; otherwise uids of
/// removed engines would be kept forever.
#[derive(Default)]
struct NumberedEngine {
    id: EngineId,
    known_by: BTreeSet<ShardId>,
}

type Stripe = Mutex<HashMap<RequestId, ShardId>>;

/// State shared by the shards of one dispatcher.
pub struct ShardLeases {
    lease_table: Mutex<LeaseTable>,
    /// One per shard, notified when another shard has released capacity that the shard waits for.
    capacity_released: Vec<Notify>,
    /// The shard of each open request. An id is open at one shard only.
    open_requests: Vec<Stripe>,
    /// Engine ids by uid, the same at all shards.
    engine_ids: Mutex<HashMap<String, NumberedEngine>>,
    pub router: RequestRouter,
}

/// Locks a mutex. No code panics while holding these locks, and their data would be consistent even then.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn lease_terms(shard_count: usize, max_open_requests: usize, settings: &Settings) -> LeaseTerms {
    LeaseTerms {
        shard_count,
        lease_duration: LEASE_DURATION,
        redistribution_interval: settings.tick,
        cold_window: settings.overload_window,
        max_credit: sedgebeam_core::MAX_CREDIT,
        max_open_requests,
    }
}

impl ShardLeases {
    pub fn new(
        shard_count: usize,
        max_open_requests: usize,
        settings: &Settings,
        router: RequestRouter,
    ) -> Arc<ShardLeases> {
        let terms = lease_terms(shard_count, max_open_requests, settings);
        Arc::new(ShardLeases {
            lease_table: Mutex::new(LeaseTable::new(terms)),
            capacity_released: (0..shard_count).map(|_| Notify::new()).collect(),
            open_requests: (0..STRIPE_COUNT).map(|_| Mutex::default()).collect(),
            engine_ids: Mutex::default(),
            router,
        })
    }

    fn notify(&self, shards: &[ShardId]) {
        let notifiers = shards
            .iter()
            .filter_map(|shard| self.capacity_released.get(shard.0));
        notifiers.for_each(Notify::notify_one);
    }

    /// Releases the leases, request ids and engine ids of a shard whose broker has died. The actors and connections of
    /// its engines have ended with the broker.
    pub fn shard_crashed(&self, shard: usize) {
        let waiters = lock(&self.lease_table).remove_crashed_shard(ShardId(shard));
        for stripe in &self.open_requests {
            lock(stripe).retain(|_, owner| *owner != ShardId(shard));
        }
        let mut engines = lock(&self.engine_ids);
        engines.retain(|_, engine| {
            engine.known_by.remove(&ShardId(shard));
            !engine.known_by.is_empty()
        });
        drop(engines);
        self.notify(&waiters);
    }
}

/// One shard's handle of the shared state.
#[derive(Clone)]
pub struct Shard {
    shared: Arc<ShardLeases>,
    id: ShardId,
}

impl Shard {
    pub fn new(shared: Arc<ShardLeases>, shard: usize) -> Shard {
        Shard {
            shared,
            id: ShardId(shard),
        }
    }

    pub fn index(&self) -> usize {
        self.id.0
    }

    /// Applies new settings to the lease table; each shard calls this with the same settings.
    pub fn reconfigure(&self, settings: &Settings, max_open_requests: usize) {
        let terms = lease_terms(
            self.shared.capacity_released.len(),
            max_open_requests,
            settings,
        );
        lock(&self.shared.lease_table).reconfigure(terms);
    }

    /// Sets the usage by other processes of this dispatcher.
    pub fn set_peer_process_usage(&self, now: Micros, usage: ShardUsage) {
        lock(&self.shared.lease_table).set_peer_process_usage(now, usage);
    }

    /// Leases capacity for one decision; `open_requests` is the number of requests that the shard has open.
    pub fn acquire(&self, now: Micros, demand: &Demand, open_requests: usize) -> Lease {
        lock(&self.shared.lease_table).acquire(self.id, now, demand, open_requests)
    }

    /// Commits the usage after a decision on a lease; returns whether the lease is still valid, so that the decision's
    /// sends may be executed.
    pub fn commit(&self, lease_id: LeaseId, now: Micros, usage: ShardUsage) -> bool {
        let committed = lock(&self.shared.lease_table).commit(self.id, lease_id, now, usage);
        let CommitResult {
            is_valid,
            shards_to_wake,
        } = committed;
        self.shared.notify(&shards_to_wake);
        is_valid
    }

    /// Waits until another shard has released capacity that this one may be waiting for.
    pub async fn capacity_released(&self) {
        self.shared.capacity_released[self.id.0].notified().await;
    }

    /// Records at the router that this shard's broker is running.
    pub fn heartbeat(&self) {
        self.shared.router.heartbeat(self.id.0);
    }

    fn stripe(&self, id: RequestId) -> &Stripe {
        &self.shared.open_requests[(id.0 % STRIPE_COUNT as u64) as usize]
    }

    /// Claims a request id for this shard; returns false if the id is open at any shard.
    pub fn claim_request(&self, id: RequestId) -> bool {
        let mut open_requests = lock(self.stripe(id));
        if open_requests.contains_key(&id) {
            return false;
        }
        open_requests.insert(id, self.id);
        true
    }

    /// Releases the claim of a request id.
    pub fn release_request(&self, id: RequestId) {
        lock(self.stripe(id)).remove(&id);
    }

    /// The id of an engine, the same at all shards. The first call for a uid assigns it: `preferred_id`, or the next id
    /// that is not in use.
    pub fn engine_id(&self, uid: &str, preferred_id: impl FnOnce() -> u64) -> EngineId {
        let mut engines = lock(&self.shared.engine_ids);
        if let Some(engine) = engines.get_mut(uid) {
            engine.known_by.insert(self.id);
            return engine.id;
        }
        let mut id = EngineId(preferred_id());
        while engines.values().any(|engine| engine.id == id) {
            id = EngineId(id.0.wrapping_add(1));
        }
        let known_by = BTreeSet::from([self.id]);
        engines.insert(uid.to_string(), NumberedEngine { id, known_by });
        id
    }

    /// Releases the engine's id once no shard knows the engine.
    pub fn forget_engine(&self, uid: &str) {
        let mut engines = lock(&self.shared.engine_ids);
        if let Some(engine) = engines.get_mut(uid) {
            engine.known_by.remove(&self.id);
            if engine.known_by.is_empty() {
                engines.remove(uid);
            }
        }
    }
}
