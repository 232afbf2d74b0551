//! Leases of what is divided among the shards of one dispatcher.
//!
//! A shard is a gateway of its own with a part of the requests. Before each decision it borrows room at
//! the [`Ledger`], decides, and settles: it tells what it holds now and gives back the rest. What is
//! borrowed counts to all others as if it were out, so whatever shards decide at the same moment, the sum
//! is never more than one gateway would have sent. There is no clock and no I/O here; the caller tells the
//! time in microseconds of one clock for all shards.
//!
//! | divided | how |
//! | --- | --- |
//! | threads of an engine, of the fleet | borrowed for one decision, and counted while they are out |
//! | memory of an engine, its loads' groups | counted while they are out |
//! | what a cold engine may be sent | only one shard at a time may borrow there; what was sent counts for a window |
//! | credit of classes and tenants | one credit for all, to which each adds its changes |
//! | open requests | a lease of a number, renewed at each decision ([`counts`]) |
//!
//! Another process of the same dispatcher, during an upgrade, counts as one more shard that never borrows.
//!
//! A lease that is not settled in time is void: its room goes to others, and the caller must not send what
//! it decided. What was out of a shard that is silent counts until the last of it must have ended; of a
//! shard that died, whose connections are closed, it counts no more. What was sent to a cold engine counts
//! on in both cases.

mod engine_leases;
pub mod placement;
pub mod quota;

use engine_leases::{EngineLeases, LeaseRequest};
use quota::SharedQuota;
use sedgebeam_core::{
    ClassUsage, Demand, EngineId, EngineUsage, Micros, ShardUsage, SiblingEngineUsage,
    SiblingUsage, ThreadQuota,
};
use std::collections::BTreeMap;

/// Names a shard, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub usize);

/// Names one borrowing; one that has been settled, voided or crashed is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(u64);

/// The figures of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms {
    pub shard_count: usize,
    /// A borrowing that is not settled within this time is void.
    pub lease_duration: Micros,
    /// What comes free on an engine that is nearly full is lent again after this.
    pub redistribution_interval: Micros,
    /// How long what was sent to an engine counts against what a cold one can bear.
    pub cold_window: Micros,
    /// The most credit or debt of a class or tenant.
    pub max_credit: f64,
    /// Requests that may be open at once, over all shards.
    pub max_open_requests: usize,
}

/// What a shard has borrowed.
#[derive(Debug)]
pub struct Lease {
    pub id: LeaseId,
    pub siblings: SiblingUsage,
    /// Requests that the shard may have open until it borrows again.
    pub max_open_requests: usize,
}

/// What a settlement came to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CommitResult {
    /// Whether the lease was good to the end; else nothing that was decided on it may be sent.
    pub is_valid: bool,
    /// Shards that wait for what has become free.
    pub shards_to_wake: Vec<ShardId>,
}

/// A borrowing that is not settled yet.
#[derive(Clone, Copy, Debug)]
struct Lent {
    ticket: LeaseId,
    at: Micros,
    /// Threads that the shard may send to the fleet on it.
    threads: f64,
}

/// A shard as the ledger knows it.
#[derive(Clone, Debug, Default)]
struct Shard {
    lent: Option<Lent>,
    wants: f64,
    classes: Vec<ClassUsage>,
    waiting: Vec<Vec<usize>>,
    /// By when all that it has out has ended.
    until: Micros,
    threads: f64,
}

impl Shard {
    fn waits(&self) -> bool {
        self.waiting.iter().flatten().any(|count| *count > 0)
    }
}

/// What all shards hold.
#[derive(Debug)]
pub struct LeaseTable {
    terms: LeaseTerms,
    shards: Vec<Shard>,
    engines: BTreeMap<EngineId, EngineLeases>,
    class_credit: Vec<f64>,
    tenant_credit: Vec<Vec<f64>>,
    open: SharedQuota,
    tickets: u64,
    /// Leases that were voided because they were not settled in time.
    voided: u64,
}

impl LeaseTable {
    pub fn new(terms: LeaseTerms) -> LeaseTable {
        LeaseTable {
            terms,
            // One more for the other processes of this dispatcher, which borrow nothing here.
            shards: vec![Shard::default(); terms.shard_count + 1],
            engines: BTreeMap::new(),
            class_credit: Vec::new(),
            tenant_credit: Vec::new(),
            open: SharedQuota::new(terms.shard_count, terms.max_open_requests),
            tickets: 0,
            voided: 0,
        }
    }

    /// Takes other terms for the same shards.
    pub fn reconfigure(&mut self, terms: LeaseTerms) {
        self.open.reconfigure(terms.max_open_requests);
        self.terms = terms;
    }

    /// Hears what other processes of this dispatcher hold, all of them added up. It counts for every shard, until something
    /// else is told or all that is out there must have ended.
    pub fn set_peer_process_usage(&mut self, now: Micros, told: ShardUsage) {
        self.publish(self.terms.shard_count, now, told);
    }

    /// How many leases were void before they were settled.
    pub fn expired_lease_count(&self) -> u64 {
        self.voided
    }

    /// Lends room for one decision. `open` tells how many requests the shard has open.
    pub fn acquire(&mut self, shard: ShardId, now: Micros, wish: &Demand, open: usize) -> Lease {
        self.expire_leases(now);
        self.take_back(shard);
        self.tickets += 1;
        let ticket = LeaseId(self.tickets);
        let own = shard.0;
        let wants = wish.threads.max(0.0);
        self.shards[own].wants = wants;
        let others: f64 = self.others(shard).map(|other| other.wants).sum();
        // Its part of what is free, by what it waits for against what all wait for.
        let part = if wants > 0.0 {
            wants / (wants + others)
        } else {
            0.0
        };
        let most = wants.max(wish.heaviest_class_threads);
        let claim = LeaseRequest {
            now,
            redistribution_interval: self.terms.redistribution_interval,
            part,
            most,
            heaviest: wish.heaviest_class_threads,
        };
        let engines = wish.engines.iter().map(|wished| {
            let book = self.engines.entry(wished.engine).or_default();
            let room = book.lend(own, wished, &claim);
            SiblingEngineUsage {
                engine: wished.engine,
                usage: book.elsewhere(own),
                cold_work_core_s: book.work_of_others(own, now, self.terms.cold_window),
                quota: ThreadQuota(room),
            }
        });
        let engines: Vec<SiblingEngineUsage> = engines.collect();
        let (classes, waiting) = (self.classes(shard), self.waiting(shard));
        self.shards[own].lent = Some(Lent {
            ticket,
            at: now,
            threads: most,
        });
        Lease {
            id: ticket,
            siblings: SiblingUsage {
                engines,
                classes,
                waiting_requests: waiting,
                quota: ThreadQuota(most),
                class_credit: self.class_credit.clone(),
                tenant_credit: self.tenant_credit.clone(),
            },
            max_open_requests: self.open.renew(own, open),
        }
    }

    /// Takes what the shard holds now, and back what it has borrowed. Where the lease was void, what it
    /// tells is of no use either: it speaks of sends that must not be made.
    pub fn commit(
        &mut self,
        shard: ShardId,
        ticket: LeaseId,
        now: Micros,
        told: ShardUsage,
    ) -> CommitResult {
        self.expire_leases(now);
        let own = shard.0;
        let lent = self.shards[own].lent;
        if lent.is_none_or(|lent| lent.ticket != ticket) {
            return CommitResult::default();
        }
        self.take_back(shard);
        let before = self.shards[own].threads;
        self.publish(own, now, told);
        let freed = self.shards[own].threads < before;
        let wake = if freed {
            self.waiters(shard)
        } else {
            Vec::new()
        };
        CommitResult {
            is_valid: true,
            shards_to_wake: wake,
        }
    }

    /// A shard has died and its connections to engines are closed: nothing of it is out any more. Gives
    /// the shards that may be waiting for that.
    pub fn remove_crashed_shard(&mut self, shard: ShardId) -> Vec<ShardId> {
        self.forget(shard);
        self.open.release(shard.0);
        self.waiters(shard)
    }

    /// Leases that ran out become void; what was out of a silent shard counts until it must have ended.
    pub fn expire_leases(&mut self, now: Micros) {
        for place in 0..self.shards.len() {
            let shard = &self.shards[place];
            let late = |lent: Lent| now > lent.at + self.terms.lease_duration;
            if shard.lent.is_some_and(late) {
                self.voided += 1;
                self.take_back(ShardId(place));
                self.shards[place].wants = 0.0;
            }
            // A shard that lives publishes again long before.
            let shard = &self.shards[place];
            if shard.threads > 0.0 && now > shard.until + self.terms.lease_duration {
                self.forget(ShardId(place));
            }
        }
    }

    /// Threads out on an engine, and threads lent there, over all shards.
    pub fn engine_threads(&self, engine: EngineId) -> (f64, f64) {
        let book = self.engines.get(&engine);
        book.map_or((0.0, 0.0), |book| (book.threads(), book.lent()))
    }

    fn others(&self, shard: ShardId) -> impl Iterator<Item = &Shard> {
        let shards = self.shards.iter().enumerate();
        shards.filter_map(move |(place, other)| (place != shard.0).then_some(other))
    }

    fn waiters(&self, shard: ShardId) -> Vec<ShardId> {
        let shards = self.shards.iter().enumerate();
        let waits = shards.filter(|(place, other)| *place != shard.0 && other.waits());
        waits.map(|(place, _)| ShardId(place)).collect()
    }

    /// Ends what the shard has borrowed.
    fn take_back(&mut self, shard: ShardId) {
        if self.shards[shard.0].lent.take().is_some() {
            self.engines
                .values_mut()
                .for_each(|book| book.take_back(shard.0));
        }
    }

    fn forget(&mut self, shard: ShardId) {
        self.take_back(shard);
        self.engines
            .values_mut()
            .for_each(|book| book.forget(shard.0));
        self.shards[shard.0] = Shard::default();
    }

    fn publish(&mut self, own: usize, now: Micros, mut told: ShardUsage) {
        told.engines.sort_by_key(|(id, _)| *id);
        let threads: f64 = told.engines.iter().map(|(_, out)| out.threads).sum();
        let window = self.terms.cold_window;
        let engines = &told.engines;
        self.engines.retain(|id, book| {
            let known = engines
                .binary_search_by_key(id, |(engine, _)| *engine)
                .is_ok();
            if !known {
                // An engine that the shard no longer knows has nothing of it out.
                book.publish(own, EngineUsage::default());
            }
            known || !book.is_empty(now, window)
        });
        for (id, out) in told.engines {
            self.engines.entry(id).or_default().publish(own, out);
        }
        for (id, work) in told.work_sent_core_s {
            let book = self.engines.entry(id).or_default();
            book.sent(own, now, window, work);
        }
        let shard = &mut self.shards[own];
        (shard.classes, shard.waiting) = (told.classes, told.waiting_requests);
        shard.until = told.all_ended_by;
        // What it could not send it still waits for.
        let sent = (threads - shard.threads).max(0.0);
        shard.wants = if shard.waits() {
            (shard.wants - sent).max(0.0)
        } else {
            0.0
        };
        shard.threads = threads;
        let cap = self.terms.max_credit;
        add(&mut self.class_credit, &told.class_credit, cap);
        let classes = told.tenant_credit.len().max(self.tenant_credit.len());
        self.tenant_credit.resize(classes, Vec::new());
        for (credit, change) in self.tenant_credit.iter_mut().zip(&told.tenant_credit) {
            add(credit, change, cap);
        }
    }

    /// By class, what the others have out, and might be sending.
    fn classes(&self, shard: ShardId) -> Vec<ClassUsage> {
        let mut sum: Vec<ClassUsage> = Vec::new();
        for other in self.others(shard) {
            sum.resize(sum.len().max(other.classes.len()), ClassUsage::default());
            for (sum, out) in sum.iter_mut().zip(&other.classes) {
                sum.threads += out.threads;
                sum.memory_mb += out.memory_mb;
            }
        }
        // What others may be sending at this moment may be of any class.
        let lent = self.others(shard).filter_map(|other| other.lent);
        let reserved: f64 = lent.map(|lent| lent.threads).sum();
        sum.iter_mut().for_each(|class| class.threads += reserved);
        sum
    }

    fn waiting(&self, shard: ShardId) -> Vec<Vec<usize>> {
        let mut sum: Vec<Vec<usize>> = Vec::new();
        for other in self.others(shard) {
            sum.resize(sum.len().max(other.waiting.len()), Vec::new());
            for (sum, class) in sum.iter_mut().zip(&other.waiting) {
                sum.resize(sum.len().max(class.len()), 0);
                sum.iter_mut()
                    .zip(class)
                    .for_each(|(sum, count)| *sum += count);
            }
        }
        sum
    }
}

/// Adds changes to credits, within the cap.
fn add(credit: &mut Vec<f64>, change: &[f64], cap: f64) {
    credit.resize(credit.len().max(change.len()), 0.0);
    for (credit, change) in credit.iter_mut().zip(change) {
        *credit = (*credit + change).clamp(-cap, cap);
    }
}
