//! The desk: where fronts hand in requests and where the list and the administration reach all brokers,
//! whether there is one or there are several shards.
//!
//! A request goes to the shard that its id names, so that shards get the same mixture whatever connection
//! it came on; a shard that has been silent for a while gets nothing, as long as there is another.

use crate::standing::Standing;
use crate::{
    Answer, Asked, BrokerBox, Denied, Failure, Listing, NewRequest, Pending, SessionKey, Target,
    ToBroker, Told,
};
use sedgebeam_core::{RequestId, mix};
use sedgebeam_operation::Figures;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, oneshot};
use tokio::time::timeout;

/// A broker beats so often while there are several.
pub const BEAT: Duration = Duration::from_millis(20);
/// One that has not for this long gets no request.
const SILENT: Duration = Duration::from_millis(100);
/// What a silent broker would tell is not waited for any longer.
const TELLS_WITHIN: Duration = Duration::from_millis(500);

/// What the desk knows of a class.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: Arc<str>,
    /// Whether one that was with a broker that died may be repeated by anyone; others may have run.
    pub repeatable: bool,
}

/// What is counted at the desk, and what clients are told of requests that were with a broker that died.
#[derive(Clone, Default)]
pub struct Terms {
    pub classes: Vec<Class>,
    /// When a request that did not run may be repeated.
    pub retry_after: Duration,
    pub figures: Figures,
}

struct Slot {
    mailbox: RwLock<Option<BrokerBox>>,
    /// When its broker last showed that it runs, in milliseconds since the desk's start.
    beat: AtomicU64,
}

struct Shared {
    slots: Vec<Slot>,
    terms: Terms,
    /// Clients choose their ids: without it one could have all that it asks land on one shard.
    seed: u64,
    began: Instant,
    /// Held while all brokers are told something, so that they hear all in the same order.
    standing: Mutex<Standing>,
}

#[derive(Clone)]
pub struct Desk {
    shared: Arc<Shared>,
}

/// No broker takes anything any more.
#[derive(Debug)]
pub struct Closed;

impl Desk {
    /// A desk before so many brokers, none of which has come yet.
    pub fn new(shards: usize, seed: u64, terms: Terms) -> Desk {
        let slot = |_| Slot {
            mailbox: RwLock::new(None),
            beat: AtomicU64::new(0),
        };
        Desk {
            shared: Arc::new(Shared {
                slots: (0..shards).map(slot).collect(),
                terms,
                seed,
                began: Instant::now(),
                standing: Mutex::default(),
            }),
        }
    }

    fn slots(&self) -> &[Slot] {
        &self.shared.slots
    }

    fn mailbox(&self, shard: usize) -> Option<BrokerBox> {
        let mailbox = &self.slots().get(shard)?.mailbox;
        let mailbox = mailbox.read().unwrap_or_else(PoisonError::into_inner);
        mailbox.clone()
    }

    fn now(&self) -> u64 {
        u64::try_from(self.shared.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// A broker shows that it runs.
    pub fn beat(&self, shard: usize) {
        if let Some(slot) = self.slots().get(shard) {
            slot.beat.store(self.now(), Ordering::Relaxed);
        }
    }

    /// Whether the shard has shown lately that it runs.
    pub fn lives(&self, shard: usize) -> bool {
        let slot = self.slots().get(shard);
        let beat = slot.map_or(0, |slot| slot.beat.load(Ordering::Relaxed));
        self.now() < beat + SILENT.as_millis() as u64
    }

    /// A broker has come: it is told what holds, and then takes requests.
    pub async fn open(&self, shard: usize, mailbox: BrokerBox) -> Result<(), Closed> {
        let standing = self.shared.standing.lock().await;
        let list = ToBroker::List(Listing::Saved, standing.targets());
        mailbox.send(list).await.map_err(|_| Closed)?;
        for asked in standing.replay() {
            let (reply, _) = oneshot::channel();
            let told = mailbox.send(ToBroker::Admin(asked, reply)).await;
            told.map_err(|_| Closed)?;
        }
        self.beat(shard);
        if let Some(slot) = self.slots().get(shard) {
            let mut place = slot.mailbox.write().unwrap_or_else(PoisonError::into_inner);
            *place = Some(mailbox);
        }
        Ok(())
    }

    /// A broker has gone.
    pub fn close(&self, shard: usize) {
        if let Some(slot) = self.slots().get(shard) {
            let mut place = slot.mailbox.write().unwrap_or_else(PoisonError::into_inner);
            *place = None;
        }
    }

    /// The mailbox for a request: of the shard that its id names, or of another while that one is silent.
    fn mailbox_for(&self, id: RequestId) -> Option<BrokerBox> {
        let shards = self.slots().len() as u64;
        if shards == 1 {
            return self.mailbox(0);
        }
        let draw = |turn: u64| (mix(id.0 ^ mix(self.shared.seed ^ turn)) % shards) as usize;
        let mut living = (0..4 * shards).map(draw).filter(|shard| self.lives(*shard));
        let living = living.find_map(|shard| self.mailbox(shard));
        living.or_else(|| self.mailbox(draw(0)))
    }

    /// Hands a request over; the answer is waited for on what this returns.
    pub async fn submit(&self, request: NewRequest) -> Pending {
        let (reply, answer) = oneshot::channel();
        let terms = &self.shared.terms;
        let class = terms.classes.get(request.class.0);
        let lost = match class {
            Some(class) if class.repeatable => Answer::Refused {
                retry_after: terms.retry_after,
            },
            _ => Answer::Failed(Failure::Ending),
        };
        let running = class.map(|class| terms.figures.take(&class.name));
        let mailbox = self.mailbox_for(request.id);
        let pending = Pending::new(request.id, answer, mailbox.clone(), lost, running);
        if let Some(mailbox) = mailbox {
            // Where the broker is gone, the reply goes with the message and the answer says so.
            let _ = mailbox.send(ToBroker::Submit(request, reply)).await;
        }
        pending
    }

    fn all(&self) -> impl Iterator<Item = BrokerBox> {
        (0..self.slots().len()).filter_map(|shard| self.mailbox(shard))
    }

    /// Calls off what a session asked, whichever shard has it.
    pub async fn cancel(&self, session: SessionKey) {
        let told = self.all().map(|mailbox| async move {
            // A broker that is gone has nothing to cancel.
            let _ = mailbox.send(ToBroker::Cancel(session)).await;
        });
        futures::future::join_all(told).await;
    }

    /// Tells all brokers of a change of the list, a silent one too: it hears of it first of all.
    pub async fn list(&self, listing: Listing, targets: Vec<Target>) -> Result<(), Closed> {
        let mut standing = self.shared.standing.lock().await;
        standing.list(listing, &targets);
        let told = self.all().map(|mailbox| {
            let targets = targets.clone();
            async move { mailbox.send(ToBroker::List(listing, targets)).await.is_ok() }
        });
        let told = futures::future::join_all(told).await;
        // Where there are several, one that died is started anew and told then.
        let ended = self.slots().len() == 1 && !told.iter().all(|told| *told);
        if ended { Err(Closed) } else { Ok(()) }
    }

    /// Asks all brokers, and adds up what they tell.
    pub async fn ask(&self, asked: Asked) -> Result<Told, Denied> {
        let mut standing = self.shared.standing.lock().await;
        let asking = self.all().map(|mailbox| ask(mailbox, asked.clone()));
        let told = futures::future::join_all(asking).await;
        let mut sum: Option<Told> = None;
        for told in told.into_iter().flatten() {
            let told = told?;
            sum = Some(match sum {
                Some(sum) => sum.and(told),
                None => told,
            });
        }
        let sum = sum.ok_or(Denied::Silent)?;
        standing.set(&asked);
        Ok(sum)
    }
}

/// What one broker tells; `None` where it is gone or silent. What was asked reaches a silent one all the same.
async fn ask(mailbox: BrokerBox, asked: Asked) -> Option<Result<Told, Denied>> {
    let (reply, told) = oneshot::channel();
    mailbox.send(ToBroker::Admin(asked, reply)).await.ok()?;
    timeout(TELLS_WITHIN, told).await.ok()?.ok()
}
